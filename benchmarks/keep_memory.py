"""Measure the memory of the whole program with unexpired keys of an earlier incarnation, and without any.

python benchmarks/keep_memory.py [KEYS]
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.admission.types import Outcome
from birchslip.idempotency.record_format import RecordKind, ResultRecord, encode
from birchslip.idempotency.segment_files import SegmentFiles

ROOT = Path(__file__).resolve().parent.parent
RETENTION = 6_000_000  # 600 s in tenths of a millisecond, as `window_s` in `measure_program`
RESULT = os.urandom(400)  # random, so that it can't be compressed
KEYS_PER_SEGMENT = 25_000


def fill_store(folder, name, keys):
    """Write started and completed records of `keys` keys, as a killed program leaves them.

    `name` is the app server that owns the store.
    """
    now = time.time_ns() // 100_000
    with SegmentFiles(folder, name) as files:
        files.lock()
        for n in range(keys):
            if not n % KEYS_PER_SEGMENT:
                files.create_segment(1 + n // KEYS_PER_SEGMENT)
            key, digest = n.to_bytes(16), b"d" * 16
            started = ResultRecord(RecordKind.STARTED, key, now, RETENTION, f"{n:016x}", digest)
            fields = {"request_digest": digest, "outcome": Outcome.SERVED, "result": RESULT}
            completed = ResultRecord(RecordKind.COMPLETED, key, now, RETENTION, **fields)
            files.append(encode(started))
            files.append(encode(completed))
        if keys:
            files.flush()


def measure_program(folder, keys):
    """Start the program with `keys` keys in its store, or without a store if `keys` is negative.

    Returns:
        Current and peak resident KB once the program listens, and the seconds until then.

    Raises:
        RuntimeError: If the program exits before it listens.
    """
    config = json.loads((ROOT / "examples" / "app-server.json").read_text()) | {"listen": "127.0.0.1:0"}
    config["settings"]["classes"][1]["window_s"] = 600.0
    (folder / "config.json").write_text(json.dumps(config))
    environment = os.environ | {"PROXY_CONFIG": str(folder / "config.json")}
    if keys >= 0:
        fill_store(folder / "kept", config["name"], keys)
        keep = {"folder": str(folder / "kept"), "bytes": 256 << 20, "entries": 1_000_000}
        (folder / "keep.json").write_text(json.dumps(keep))
        environment["BIRCHSLIP_KEEP"] = str(folder / "keep.json")
    started_at = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "birchslip"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    while "listening" not in process.stderr.readline():
        if process.poll() is not None:
            raise RuntimeError("the program exited before it listened")
    duration_s = time.monotonic() - started_at
    status = Path(f"/proc/{process.pid}/status").read_text().split("\n")
    memory_kb = {
        line.split(":")[0]: line.split()[1] for line in status if line.startswith(("VmRSS", "VmHWM"))
    }
    process.send_signal(signal.SIGTERM)
    process.wait(20)
    process.stderr.close()
    return int(memory_kb["VmRSS"]), int(memory_kb["VmHWM"]), duration_s


def main():
    """Measure the program without a store, with an empty one and with a filled one."""
    keys = int((sys.argv[1:] or ["100000"])[0])
    for name, count in (("no store", -1), ("an empty store", 0), (f"{keys} live keys", keys)):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "kept").mkdir()
            resident_kb, peak_kb, duration_s = measure_program(Path(folder), count)
            print(
                f"{name:22} {resident_kb / 1024:6.1f} MB resident, {peak_kb / 1024:6.1f} MB at peak, "
                f"listening after {duration_s:.2f} s",
                flush=True,
            )


if __name__ == "__main__":
    main()
