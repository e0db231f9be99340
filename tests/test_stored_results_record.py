"""Compatibility with a store and records that the previous version wrote.

The bytes were written by the previous version (`birchslip/keep/`), with keys 1 to 9 and 20 to 27: results in
several files, a record that extends the retention of its key, one with a corrupt body, and one that is cut
short.
"""

import msgspec
import pytest

from birchslip.admission.types import Outcome
from birchslip.idempotency.key_index import UNKNOWN_LOCATION, unpack_location
from birchslip.idempotency.maintenance import compact_store, show_store, verify_store
from birchslip.idempotency.record_format import (
    RecordKind,
    ResultRecord,
    digest_request,
    encode,
    read_fragments,
)
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import RetentionBudget
from birchslip.idempotency.segment_files import SegmentFiles
from birchslip.idempotency.segment_header import encode_segment_header

NOW = 10**13
RETENTION = 170_000
RECOVERED_AT = NOW + RETENTION // 2
DIGEST = b"d" * 16
UNKNOWN_RESULT = (None, None)
REPEATED = b"repeated " * 60
STORED_FILES = {
    1: bytes.fromhex(
        "62736c706b65657001000000010000001f4e961eb632c6e698993ab4b56b010020000000000000000000000000000000"
        "0000000100a0724e18090000109802008df1cf3006352dbc646464646464646464646464646464643030303030303030"
        "3030303030303031b56b02001a0000000000000000000000000000000000000100a0724e1809000010980200da9ab1d7"
        "081c8700646464646464646464646464646464640000726573756c742031b56b01002000000000000000000000000000"
        "00000000000200a0724e1809000010980200f72c2678f2c33b8164646464646464646464646464646464303030303030"
        "30303030303030303032b56b02002b0000000000000000000000000000000000000200a0724e18090000109802005fc1"
        "81c46b213dd764646464646464646464646464646464000178012b4a2d484d2c494d51281a658c06026a4a0000d038cc"
        "d9b56b0100200000000000000000000000000000000000000300a0724e1809000010980200260ae061b4fff318646464"
        "6464646464646464646464646430303030303030303030303030303033b56b0100200000000000000000000000000000"
        "000000000960af584e1809000010980200cc83a073f3a0b74a6464646464646464646464646464646430303030303030"
        "303030303030303039b56b02001a0000000000000000000000000000000000000960af584e180900001098020060ba85"
        "2ecf162fe2646464646464646464646464646464640000726573756c742039"
    ),
    2: bytes.fromhex(
        "62736c706b65657001000000020000001f4e961eb632c6e64553b592b56b02001a000000000000000000000000000000"
        "0000000300a0724e18090000109802000c38fb822d9a4279646464646464646464646464646464640000726573756c74"
        "2033b56b0100200000000000000000000000000000000000000400a0724e180900001098020054df56cfcdebd9486464"
        "646464646464646464646464646430303030303030303030303030303034b56b02001200000000000000000000000000"
        "00000000000400a0724e180900001098020032ac3030338a8ea8646464646464646464646464646464640700b56b0300"
        "000000000000000000000000000000000000000000a0724e1809000000000000055dcc02dd9b124eb56b010020000000"
        "0000000000000000000000000000000500a0724e18090000109802005eda37995455f2d8646464646464646464646464"
        "6464646430303030303030303030303030303035b56b02001a0000000000000000000000000000000000000500a0724e"
        "180900001098020016fca4010d96e992646464646464646464646464646464640000726573756c742034"
    ),
    3: bytes.fromhex(
        "62736c706b65657001000000030000001f4e961eb632c6e61116c62bb56b010020000000000000000000000000000000"
        "0000000600a0724e18090000109802003f36caa08b321911646464646464646464646464646464643030303030303030"
        "3030303030303036b56b02001a0000000000000000000000000000000000000600a0724e18090000109802008d8f8691"
        "51a5e42a646464646464646464646464646464640000726573756c742036b56b01002000000000000000000000000000"
        "00000000000608ec734e18090000109802003f36caa0bfc6d74664646464646464646464646464646464303030303030"
        "30303030303030303036b56b02001a0000000000000000000000000000000000000608ec734e1809000010980200d8a3"
        "36c80a07aec0646464646464646464646464646464640000657874656e646564b56b0100200000000000000000000000"
        "000000000000000700a0724e18090000109802007d43d59ac55272486464646464646464646464646464646430303030"
        "303030303030303030303037"
    ),
    4: bytes.fromhex(
        "62736c706b65657001000000040000001f4e961eb632c6e6413be286b56b02001b000000000000000000000000000000"
        "0000001400a0724e180900001098020054ba2a05cec84a0a646464646464646464646464646464640000726573756c74"
        "203230b56b02001b0000000000000000000000000000000000001500a0724e1809000010980200a30e01c45bdac57e64"
        "6464646464646464646464646464640100726573756c74203231b56b02001b0000000000000000000000000000000000"
        "001600a0724e1809000010980200137efdbeb7b23c6e646464646464646464646464646464640200726573756c742032"
        "32b56b02001b0000000000000000000000000000000000001700a0724e18090000109802004ca076194005299f646464"
        "646464646464646464646464640300726573756c74203233b56b02001b00000000000000000000000000000000000018"
        "00a0724e180900001098020056fccdfa15efb25f646464646464646464646464646464640400726573756c74203234b5"
        "6b02001b0000000000000000000000000000000000001900a0724e18090000109802004c727cd9e9e6edb46464646464"
        "64646464646464646464640500726573756c74203235b56b02001b0000000000000000000000000000000000001a00a0"
        "724e18090000109802001d19039607b2afe8646464646464646464646464646464640600726573756c74203236b56b02"
        "001b0000000000000000000000000000000000001b00a0724e18090000109802004bad3d8e4b8828cb64646464646464"
        "6464646464646464640700726573756c74203237b56b0100200000000000000000000000000000000000000800a0724e"
        "180900001098020014336fb5940592676464646464646464646464646464646430303030303030303030303030303038"
        "b56b02001a0000000000000000000000000000000000000800a0724e180900001098020037d99f9f5c6e622964646464"
        "6464646464646464646464640000726573"
    ),
}
COMPACTED_FILE = bytes.fromhex(
    "62736c706b65657001000000050000001f4e961eb632c6e6c246aabeb56b02001b000000000000000000000000000000"
    "0000001600a0724e1809000010980200137efdbeb7b23c6e646464646464646464646464646464640200726573756c74"
    "203232b56b0100200000000000000000000000000000000000000700a0724e18090000109802007d43d59ac552724864"
    "64646464646464646464646464646430303030303030303030303030303037b56b02001b000000000000000000000000"
    "0000000000001800a0724e180900001098020056fccdfa15efb25f646464646464646464646464646464640400726573"
    "756c74203234b56b0100100000000000000000000000000000000000000500a0724e18090000109802003a2b028e9d6d"
    "810c00000000000000000000000000000000b56b02001a0000000000000000000000000000000000000300a0724e1809"
    "0000109802000c38fb822d9a4279646464646464646464646464646464640000726573756c742033b56b010020000000"
    "0000000000000000000000000000000800a0724e180900001098020014336fb594059267646464646464646464646464"
    "6464646430303030303030303030303030303038b56b02001b0000000000000000000000000000000000001500a0724e"
    "1809000010980200a30e01c45bdac57e646464646464646464646464646464640100726573756c74203231b56b02001a"
    "0000000000000000000000000000000000000100a0724e1809000010980200da9ab1d7081c8700646464646464646464"
    "646464646464640000726573756c742031b56b02001a0000000000000000000000000000000000000608ec734e180900"
    "0010980200d8a336c80a07aec0646464646464646464646464646464640000657874656e646564b56b02001b00000000"
    "00000000000000000000000000001700a0724e18090000109802004ca076194005299f64646464646464646464646464"
    "6464640300726573756c74203233b56b02002b0000000000000000000000000000000000000200a0724e180900001098"
    "02005fc181c46b213dd764646464646464646464646464646464000178012b4a2d484d2c494d51281a658c06026a4a00"
    "00d038ccd9b56b02001b0000000000000000000000000000000000001400a0724e180900001098020054ba2a05cec84a"
    "0a646464646464646464646464646464640000726573756c74203230"
)
STORED_RECORDS = {
    "started": bytes.fromhex(
        "b56b0100200000000000000000000000000000000000000100a0724e18090000109802008df1cf3006352dbc64646464"
        "64646464646464646464646430303030303030303030303030303031"
    ),
    "completed": bytes.fromhex(
        "b56b02001a0000000000000000000000000000000000000100a0724e1809000010980200da9ab1d7081c870064646464"
        "6464646464646464646464640000726573756c742031"
    ),
    "completed compressed": bytes.fromhex(
        "b56b02002b0000000000000000000000000000000000000200a0724e18090000109802005fc181c46b213dd764646464"
        "646464646464646464646464000178012b4a2d484d2c494d51281a658c06026a4a0000d038ccd9"
    ),
    "void": bytes.fromhex(
        "b56b0300000000000000000000000000000000000000000000a0724e1809000000000000055dcc02dd9b124e"
    ),
    "completed as honoured": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001400a0724e1809000010980200a5c2aef140fe1ead64646464"
        "6464646464646464646464640000"
    ),
    "completed as erred": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001500a0724e1809000010980200493f43fd7bb84e9f64646464"
        "6464646464646464646464640100"
    ),
    "completed as overdue": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001600a0724e1809000010980200126f09e37e139dde64646464"
        "6464646464646464646464640200"
    ),
    "completed as severed": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001700a0724e1809000010980200ef6fcf89deb8e6df64646464"
        "6464646464646464646464640300"
    ),
    "completed as recalled": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001800a0724e1809000010980200aad73c504311c52364646464"
        "6464646464646464646464640400"
    ),
    "completed as saturated": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001900a0724e1809000010980200b660b0a725afb65264646464"
        "6464646464646464646464640500"
    ),
    "completed as unreached": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001a00a0724e18090000109802006acfe715027b94c464646464"
        "6464646464646464646464640600"
    ),
    "completed as moot": bytes.fromhex(
        "b56b0200120000000000000000000000000000000000001b00a0724e180900001098020032ac3030875526fe64646464"
        "6464646464646464646464640700"
    ),
}
STORED_SEGMENT_HEADER = bytes.fromhex("62736c706b65657001000000070000001f4e961eb632c6e629fb2502")
STORED_DIGEST = bytes.fromhex("7b56ecadcda3742ceef8b83e67f6f784")


def key(number):
    return number.to_bytes(16)


def started(number):
    return ResultRecord(
        RecordKind.STARTED, key(number), NOW, RETENTION, f"{number:016x}", request_digest=DIGEST
    )


def completed(number, outcome, result):
    return ResultRecord(
        RecordKind.COMPLETED,
        key(number),
        NOW,
        RETENTION,
        request_digest=DIGEST,
        outcome=outcome,
        result=result,
    )


RECORDS = {
    "started": started(1),
    "completed": completed(1, Outcome.SERVED, b"result 1"),
    "completed compressed": completed(2, Outcome.SERVED, REPEATED),
    "void": ResultRecord(RecordKind.VOID, bytes(16), NOW, 0),
    "completed as honoured": completed(20, Outcome.SERVED, b""),
    "completed as erred": completed(21, Outcome.FAILED, b""),
    "completed as overdue": completed(22, Outcome.TIMED_OUT, b""),
    "completed as severed": completed(23, Outcome.CONNECTION_LOST, b""),
    "completed as recalled": completed(24, Outcome.CANCELLED, b""),
    "completed as saturated": completed(25, Outcome.REJECTED, b""),
    "completed as unreached": completed(26, Outcome.UNREACHABLE, b""),
    "completed as moot": completed(27, Outcome.SUPERSEDED, b""),
}
RESULTS = {
    1: (Outcome.SERVED, b"result 1"),
    2: (Outcome.SERVED, REPEATED),
    3: (Outcome.SERVED, b"result 3"),
    5: UNKNOWN_RESULT,
    6: (Outcome.SERVED, b"extended"),
    7: UNKNOWN_RESULT,
    8: UNKNOWN_RESULT,
    20: (Outcome.SERVED, b"result 20"),
    21: (Outcome.FAILED, b"result 21"),
    22: (Outcome.TIMED_OUT, b"result 22"),
    23: (Outcome.CONNECTION_LOST, b"result 23"),
    24: (Outcome.CANCELLED, b"result 24"),
}


@pytest.fixture
def folder(tmp_path):
    for serial, raw in STORED_FILES.items():
        (tmp_path / f"a-{serial:08}.kept").write_bytes(raw)
    return tmp_path


def flip_byte(path, offset):
    raw = bytearray(path.read_bytes())
    raw[offset] ^= 1
    path.write_bytes(raw)


def recover_folder(folder):
    """Return the recovered store and the budget that accounts for its files."""
    files = SegmentFiles(folder, "a")
    budget = RetentionBudget(10**6, 1 << 30, 10_000)
    recovered = recover(files.read_segments(), budget, RECOVERED_AT, RETENTION, 4)
    assert not files.has_damaged_header
    return recovered, budget


def recovered_results(recovered):
    results = {}
    for number in range(1, 28):
        packed = recovered.index.get(key(number), NOW + RETENTION)
        if packed is None:
            continue
        if packed == UNKNOWN_LOCATION:
            results[number] = UNKNOWN_RESULT
            continue
        location = unpack_location(packed)
        raw = STORED_FILES[location.serial]
        record = next(read_fragments(raw, location.offset)).decode(raw)
        results[number] = (record.outcome, record.result)
    return results


def state_counts(recovered):
    return {state.value: count for state, count in recovered.fragment_counts.items()}


def test_a_stored_folder_recovers_to_the_same_results(folder):
    recovered, budget = recover_folder(folder)
    assert recovered_results(recovered) == RESULTS
    assert state_counts(recovered) == {"good": 26, "torn": 1, "spoilt": 1, "lost": 0}
    assert sorted(recovered.open_runs) == [f"{7:016x}", f"{8:016x}"]
    assert (recovered.expired, recovered.unknown, recovered.truncated_at) == (3, 3, 672)
    assert not recovered.is_in_doubt
    assert budget.live_entries == 12
    assert [(segment.serial, segment.size, segment.last_expiry - NOW) for segment in budget.segments] == [
        (1, 559, RETENTION),
        (2, 426, RETENTION),
        (3, 396, RETENTION + RETENTION // 2),
        (4, 672, RETENTION),
    ]


def test_an_extended_key_is_retained_longer_than_the_others(folder):
    recovered, _ = recover_folder(folder)
    assert recovered.index.get(key(6), NOW + RETENTION + RETENTION // 2) is not None
    assert recovered.index.get(key(1), NOW + RETENTION + 1) is None


def test_a_stored_folder_with_a_lost_record_is_in_doubt(folder):
    flip_byte(folder / "a-00000001.kept", 180)
    recovered, _ = recover_folder(folder)
    assert recovered_results(recovered) == RESULTS
    assert state_counts(recovered) == {"good": 25, "torn": 1, "spoilt": 1, "lost": 1}
    assert recovered.is_in_doubt
    assert recovered.unknown == 3


def test_show_and_verify_report_the_same_for_a_stored_folder(folder):
    assert msgspec.to_builtins(show_store(folder, RECOVERED_AT)) == {
        "name": "a",
        "held": False,
        "files": 4,
        "bytes": 2053,
        "labels": 12,
        "unknown": 3,
        "over": 3,
        "first_end_s": 8.5,
        "last_end_s": 17.0,
        "runs": ["0000000000000007", "0000000000000008"],
        "good": 26,
        "torn": 1,
        "spoilt": 1,
        "lost": 0,
        "doubt": False,
    }
    assert msgspec.to_builtins(verify_store(folder)) == {
        "name": "a",
        "files": 4,
        "heads": True,
        "troubles": [
            {"file": "a-00000002.kept", "at": 356, "found": "spoilt", "bytes": 70},
            {"file": "a-00000004.kept", "at": 672, "found": "torn", "bytes": 65},
        ],
    }


def test_compaction_writes_the_same_file(folder):
    report = msgspec.to_builtins(compact_store(folder, RECOVERED_AT))
    assert report == {"name": "a", "labels": 12, "bytes_before": 2053, "bytes": 892}
    assert [path.name for path in sorted(folder.glob("*.kept"))] == ["a-00000005.kept"]
    assert (folder / "a-00000005.kept").read_bytes() == COMPACTED_FILE


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_encoded_byte_for_byte_as_before(name):
    assert encode(RECORDS[name]) == STORED_RECORDS[name]


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_of_the_previous_version_is_decoded(name):
    raw = STORED_RECORDS[name]
    assert [fragment.decode(raw) for fragment in read_fragments(raw)] == [RECORDS[name]]


def test_every_outcome_has_a_stored_record():
    assert {record.outcome for record in RECORDS.values()} == set(Outcome)
    assert set(RECORDS) == set(STORED_RECORDS)


def test_the_segment_header_and_the_request_digest_are_unchanged():
    assert encode_segment_header(7, "a") == STORED_SEGMENT_HEADER
    assert digest_request("order", b"body") == STORED_DIGEST
