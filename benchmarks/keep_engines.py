"""Compare segment files with SQLite in WAL mode as storage of results, with group commit on this disk.

    python benchmarks/keep_engines.py [COMMITS]

Each commit flushes the records of 1, 8 or 64 keys, as many as may arrive while the previous flush is in
progress. Then the time and memory of a recovery from segment files are measured.
"""

import os
import shutil
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.admission.types import Outcome
from birchslip.idempotency.record_format import RecordKind, ResultRecord, encode
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import RetentionBudget
from birchslip.idempotency.segment_files import SegmentFiles

NOW, RETENTION = time.time_ns() // 100_000, 170_000  # in tenths of a millisecond


def make_records(count: int) -> list[tuple[bytes, bytes]]:
    """Return `count` random keys, each with one encoded record: completed and started records alternate."""
    records = []
    for n in range(count):
        key = os.urandom(16)
        started = ResultRecord(RecordKind.STARTED, key, NOW, RETENTION, f"{n:016x}", request_digest=b"d" * 16)
        completed = ResultRecord(
            RecordKind.COMPLETED,
            key,
            NOW,
            RETENTION,
            request_digest=b"d" * 16,
            outcome=Outcome.SERVED,
            result=b"r" * 400,
        )
        records.append((key, encode(started if n % 2 else completed)))
    return records


def measure_latencies(commits: int, commit: Callable[[int], None]) -> list[float]:
    """Call `commit` with each number below `commits` and return the sorted latencies in milliseconds."""
    latencies_ms = []
    for n in range(commits):
        started_at = time.perf_counter()
        commit(n)
        latencies_ms.append((time.perf_counter() - started_at) * 1000)
    return sorted(latencies_ms)


def main() -> None:
    """Measure commits of both engines and recoveries of the segment files."""
    commits = int((sys.argv[1:] or ["400"])[0])
    folder = Path(tempfile.mkdtemp(prefix="birchslip-engines-"))
    try:
        for group in (1, 8, 64):
            records = make_records(commits * group)
            files = SegmentFiles(folder / f"log-{group}", "x")
            files.lock()
            files.create_segment(1)

            def commit_to_segments(
                n: int, files: SegmentFiles = files, records: list = records, group: int = group
            ) -> None:
                for _, raw in records[n * group : (n + 1) * group]:
                    files.append(raw)
                files.flush()

            database = sqlite3.connect(folder / f"{group}.db", isolation_level=None)
            database.execute("pragma journal_mode = wal")
            database.execute("pragma synchronous = full")
            database.execute(
                "create table kept (key blob primary key, until integer, raw blob) without rowid"
            )

            def commit_to_sqlite(
                n: int, database: sqlite3.Connection = database, records: list = records, group: int = group
            ) -> None:
                database.execute("begin immediate")
                rows = [(key, NOW, raw) for key, raw in records[n * group : (n + 1) * group]]
                database.executemany("insert or replace into kept values (?, ?, ?)", rows)
                database.execute("commit")

            for name, commit in (("records", commit_to_segments), ("sqlite", commit_to_sqlite)):
                latencies_ms = measure_latencies(commits, commit)
                total_s = sum(latencies_ms) / 1000
                print(
                    f"{group:3} a commit, {name:8} {commits * group / total_s:9.0f} records a second, commit "
                    f"median {latencies_ms[commits // 2]:6.2f} ms, "
                    f"p99 {latencies_ms[int(0.99 * commits)]:6.2f} ms"
                )
            files.close()
        for count in (1_000, 100_000):
            records = make_records(2 * count)
            files = SegmentFiles(folder / f"many-{count}", "x")
            files.lock()
            files.create_segment(1)
            for _, raw in records:
                files.append(raw)
            files.flush()
            started_at = time.perf_counter()
            segments = list(files.read_segments())
            budget = RetentionBudget(1 << 30, 1 << 40, 0)
            store = recover(segments, budget, NOW, RETENTION, segments[-1].serial)
            segment_mb = len(segments[0].raw) / 1e6
            print(
                f"{len(store.index)} keys read in {time.perf_counter() - started_at:.2f} s, "
                f"index of {store.index.memory_bytes / 1e6:.1f} MB, file of {segment_mb:.1f} MB"
            )
            files.close()
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
