"""Memory of the whole program with so many live keys of an earlier incarnation in its store, and with none.

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
RETENTION = 6_000_000
RESULT = os.urandom(400)  # which no compression makes smaller
KEYS_PER_SEGMENT = 25_000


def fill(folder, name, keys):
    """Started and completed just now, as a program that was killed leaves them."""
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


def start(folder, keys):
    """Resident KB once it listens, and how long that took."""
    config = json.loads((ROOT / "examples" / "app-server.json").read_text()) | {"listen": "127.0.0.1:0"}
    config["settings"]["classes"][1]["window_s"] = 600.0
    (folder / "config.json").write_text(json.dumps(config))
    environment = os.environ | {"PROXY_CONFIG": str(folder / "config.json")}
    if keys >= 0:
        fill(folder / "kept", config["name"], keys)
        keep = {"folder": str(folder / "kept"), "bytes": 256 << 20, "entries": 1_000_000}
        (folder / "keep.json").write_text(json.dumps(keep))
        environment["BIRCHSLIP_KEEP"] = str(folder / "keep.json")
    began = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "birchslip"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )
    while "listening" not in process.stderr.readline():
        if process.poll() is not None:
            raise RuntimeError("it did not start")
    took = time.monotonic() - began
    status = Path(f"/proc/{process.pid}/status").read_text().split("\n")
    told = {line.split(":")[0]: line.split()[1] for line in status if line.startswith(("VmRSS", "VmHWM"))}
    process.send_signal(signal.SIGTERM)
    process.wait(20)
    process.stderr.close()
    return int(told["VmRSS"]), int(told["VmHWM"]), took


def main():
    keys = int((sys.argv[1:] or ["100000"])[0])
    for name, count in (("no store", -1), ("an empty store", 0), (f"{keys} live keys", keys)):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "kept").mkdir()
            held, most, took = start(Path(folder), count)
            print(
                f"{name:22} {held / 1024:6.1f} MB held, {most / 1024:6.1f} MB at most, up in {took:.2f} s",
                flush=True,
            )


if __name__ == "__main__":
    main()
