"""Stored results: a row of checked records against SQLite in WAL mode, both with group commit, on this disk.

    python benchmarks/keep_engines.py [COMMITS]

Each commit flushes so many keys' records (what has come while the flush before was under way).
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

NOW, RETENTION = time.time_ns() // 100_000, 170_000


def records(count: int) -> list[tuple[bytes, bytes]]:
    made = []
    for n in range(count):
        key = os.urandom(16)
        first = ResultRecord(RecordKind.STARTED, key, NOW, RETENTION, f"{n:016x}", request_digest=b"d" * 16)
        last = ResultRecord(
            RecordKind.COMPLETED,
            key,
            NOW,
            RETENTION,
            request_digest=b"d" * 16,
            outcome=Outcome.SERVED,
            result=b"r" * 400,
        )
        made.append((key, encode(first if n % 2 else last)))
    return made


def timed(commits: int, act: Callable[[int], None]) -> list[float]:
    took = []
    for n in range(commits):
        began = time.perf_counter()
        act(n)
        took.append((time.perf_counter() - began) * 1000)
    return sorted(took)


def main() -> None:
    commits = int((sys.argv[1:] or ["400"])[0])
    folder = Path(tempfile.mkdtemp(prefix="birchslip-engines-"))
    try:
        for group in (1, 8, 64):
            some = records(commits * group)
            files = SegmentFiles(folder / f"log-{group}", "x")
            files.lock()
            files.create_segment(1)

            def by_log(n: int, files: SegmentFiles = files, some: list = some, group: int = group) -> None:
                for _, raw in some[n * group : (n + 1) * group]:
                    files.append(raw)
                files.flush()

            base = sqlite3.connect(folder / f"{group}.db", isolation_level=None)
            base.execute("pragma journal_mode = wal")
            base.execute("pragma synchronous = full")
            base.execute("create table kept (key blob primary key, until integer, raw blob) without rowid")

            def by_sqlite(
                n: int, base: sqlite3.Connection = base, some: list = some, group: int = group
            ) -> None:
                base.execute("begin immediate")
                rows = [(key, NOW, raw) for key, raw in some[n * group : (n + 1) * group]]
                base.executemany("insert or replace into kept values (?, ?, ?)", rows)
                base.execute("commit")

            for name, act in (("records", by_log), ("sqlite", by_sqlite)):
                took = timed(commits, act)
                whole = sum(took) / 1000
                print(
                    f"{group:3} a commit, {name:8} {commits * group / whole:9.0f} records a second, commit "
                    f"median {took[commits // 2]:6.2f} ms, p99 {took[int(0.99 * commits)]:6.2f} ms"
                )
            files.close()
        for count in (1_000, 100_000):
            some = records(2 * count)
            files = SegmentFiles(folder / f"many-{count}", "x")
            files.lock()
            files.create_segment(1)
            for _, raw in some:
                files.append(raw)
            files.flush()
            began = time.perf_counter()
            segments = list(files.read_segments())
            budget = RetentionBudget(1 << 30, 1 << 40, 0)
            store = recover(segments, budget, NOW, RETENTION, segments[-1].serial)
            segment_mb = len(segments[0].raw) / 1e6
            print(
                f"{len(store.index)} keys read in {time.perf_counter() - began:.2f} s, "
                f"index of {store.index.memory_bytes / 1e6:.1f} MB, file of {segment_mb:.1f} MB"
            )
            files.close()
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
