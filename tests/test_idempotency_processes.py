"""The result store across processes: the program is killed at chosen points, and its store is inspected."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from birchslip.admission.types import Outcome
from birchslip.errors import StoreWriteError
from birchslip.idempotency.maintenance import DamagedRecord, compact_store, show_store, verify_store
from birchslip.idempotency.record_format import (
    RecordKind,
    RecordState,
    ResultRecord,
    encode,
    read_fragments,
)
from birchslip.idempotency.segment_files import SegmentFiles
from birchslip.idempotency.segment_header import SEGMENT_HEADER
from birchslip.idempotency.settings_file import store_settings_schema

from .decision_harness import run_command

pytestmark = pytest.mark.xdist_group("processes")
ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 150
FAULTS = {
    "none": (400, 10),
    "agent-too": (400, 10),
    "full-disk": (400, 10),
    "filling": (1_200, 0),
}  # numbers of keys and kills
NOW = time.time_ns() // 100_000
RETENTION = 600_000  # a minute in tenths of a millisecond, the unit of `NOW`
DIGEST = b"d" * 16


def start(fault, folder):
    key_count, kill_count = FAULTS[fault]
    arguments = ["lab", "play", "kept", "--seed", "7", "--fault", fault]
    arguments += ["--labels", str(key_count), "--kills", str(kill_count)]
    arguments += ["--alone", "--json", str(folder / f"{fault}.json")]
    with (folder / f"{fault}.out").open("w") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "birchslip", *arguments],
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )


@pytest.fixture(scope="module")
def runs(tmp_path_factory):
    folder = tmp_path_factory.mktemp("kept")
    running = {fault: start(fault, folder) for fault in FAULTS}
    exit_codes = {fault: process.wait(TIMEOUT_S) for fault, process in running.items()}
    outputs = {fault: (folder / f"{fault}.out").read_text() for fault in FAULTS}
    return exit_codes, outputs, folder


@pytest.mark.parametrize("fault", FAULTS)
def test_no_key_runs_twice_and_every_attempt_is_answered(runs, fault):
    exit_codes, outputs, folder = runs
    assert exit_codes[fault] == 0, outputs[fault]
    report = json.loads((folder / f"{fault}.json").read_text())
    assert report["broken"] == []
    assert report["double_runs"] == report["unanswered"] == report["other_answer"] == 0
    assert (report["labels"], report["kills"] >= FAULTS[fault][1]) == (FAULTS[fault][0], True)
    assert report["first_answer_again"] > 20
    # On a full disk a request may be answered although its result is not stored.
    assert report["unknown_beyond"] == 0 or fault == "full-disk"


def test_a_surge_that_fills_the_store_leaves_room_for_other_tenants(runs):
    rejections = json.loads((runs[2] / "filling.json").read_text())["sheds_each"]
    assert rejections["blue"] > 3 * max(rejections["green"], rejections["red"])


def write_segment(folder, records, serial=1):
    with SegmentFiles(folder, "a") as files:
        files.lock()
        files.create_segment(serial)
        for record in records:
            files.append(encode(record))
        files.flush()
    return files.path_of(serial)


def started(n, arrived_at=NOW):
    return ResultRecord(
        RecordKind.STARTED, n.to_bytes(16), arrived_at, RETENTION, f"{n:016x}", request_digest=DIGEST
    )


def completed(n, arrived_at=NOW):
    return ResultRecord(
        RecordKind.COMPLETED,
        n.to_bytes(16),
        arrived_at,
        RETENTION,
        request_digest=DIGEST,
        outcome=Outcome.SERVED,
        result=b"made",
    )


def test_a_store_is_shown_verified_and_compacted(tmp_path):
    old = NOW - 10**8
    write_segment(tmp_path, [started(1, old), completed(1, old), started(2), completed(2), started(3)])
    path = write_segment(tmp_path, [started(4)], serial=2)
    raw = bytearray(path.read_bytes())
    raw[SEGMENT_HEADER.size + 50] ^= 1
    path.write_bytes(raw)
    report = show_store(tmp_path, NOW)
    assert (report.keys, report.unknown, report.expired, report.corrupt) == (3, 2, 2, 1)
    offset = SEGMENT_HEADER.size
    damaged = DamagedRecord(path.name, offset, RecordState.CORRUPT, len(raw) - offset)
    assert verify_store(tmp_path).damaged_records == [damaged]
    assert run_command("keep", "verify", str(tmp_path))[0] == 1
    compaction = compact_store(tmp_path, NOW)
    assert compaction.keys == 3
    assert compaction.bytes_after < compaction.bytes_before
    report = show_store(tmp_path, NOW)
    assert (report.keys, report.unknown, report.segments, report.is_in_doubt) == (3, 2, 1, False)
    assert verify_store(tmp_path).damaged_records == []


@pytest.mark.parametrize("deletions", [0, 1])
def test_a_store_whose_compaction_is_killed_keeps_the_state_of_every_key(tmp_path, monkeypatch, deletions):
    write_segment(tmp_path, [started(1), completed(1), started(2)])
    write_segment(tmp_path, [completed(2), started(3)], serial=2)
    before, original, remaining = show_store(tmp_path, NOW), SegmentFiles.delete_segment, [deletions]

    def delete_segment(files, serial):
        if not remaining[0]:
            raise KeyboardInterrupt
        remaining[0] -= 1
        original(files, serial)

    monkeypatch.setattr(SegmentFiles, "delete_segment", delete_segment)
    with pytest.raises(KeyboardInterrupt):
        compact_store(tmp_path, NOW)
    after = show_store(tmp_path, NOW)
    assert (after.keys, after.unknown, after.is_in_doubt) == (3, 1, False)
    assert after.open_runs == before.open_runs


def test_a_store_with_lost_records_is_not_compacted(tmp_path):
    path = write_segment(tmp_path, [started(1), started(2)])
    raw = bytearray(path.read_bytes())
    raw[SEGMENT_HEADER.size + 5] ^= 1
    path.write_bytes(raw)
    with pytest.raises(StoreWriteError, match="lost"):
        compact_store(tmp_path, NOW)
    assert path.read_bytes() == raw


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ("{", "truncated"),
        ('{"folder": ""}', "`$.folder`"),
        ('{"folder": "x", "speed": 1}', "unknown field `speed`"),
        ('{"folder": "x", "bytes": 10}', "`$.bytes`"),
    ],
)
def test_the_program_does_not_start_with_invalid_store_settings(tmp_path, settings, message):
    path = tmp_path / "keep.json"
    path.write_text(settings)
    config = str(ROOT / "examples" / "app-server.json")
    code, _, error_output = run_command(PROXY_CONFIG=config, BIRCHSLIP_KEEP=str(path))
    assert code == 2
    assert message in error_output
    assert "Traceback" not in error_output


def test_the_schema_in_the_repository_matches_the_settings():
    stored_schema = json.loads((ROOT / "deploy" / "keep.schema.json").read_text())
    assert stored_schema == json.loads(json.dumps(store_settings_schema()))


def test_a_second_program_on_the_folder_does_not_start(tmp_path):
    config = json.loads((ROOT / "examples" / "app-server.json").read_text()) | {"listen": "127.0.0.1:0"}
    config_path, settings_path = tmp_path / "config.json", tmp_path / "keep.json"
    config_path.write_text(json.dumps(config))
    settings_path.write_text(json.dumps({"folder": str(tmp_path / "kept")}))
    environment = {"PROXY_CONFIG": str(config_path), "BIRCHSLIP_KEEP": str(settings_path)}
    first = subprocess.Popen(
        [sys.executable, "-m", "birchslip"],
        cwd=ROOT,
        env=os.environ | environment,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        while "listening" not in first.stderr.readline():
            assert first.poll() is None
        code, _, error_output = run_command(**environment)
        assert code == 2
        assert "another program has the store" in error_output
        assert "Traceback" not in error_output
        assert run_command("keep", "show", str(tmp_path / "kept"))[0] == 0
        assert run_command("keep", "compact", str(tmp_path / "kept"))[0] == 2
    finally:
        first.send_signal(signal.SIGTERM)
        first.wait(TIMEOUT_S)
        first.stderr.close()
    files = SegmentFiles(tmp_path / "kept", config["name"])
    (segment,) = files.read_segments()
    assert not files.has_damaged_header
    assert list(read_fragments(segment.raw, SEGMENT_HEADER.size)) == []
