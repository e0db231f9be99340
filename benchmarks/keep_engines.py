"""Kept results: a row of checked records against SQLite in WAL mode, both with group commit, on this disk.

    python benchmarks/keep_engines.py [COMMITS]

Each commit flushes so many labels' records (what has come while the flush before was under way).
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
from birchslip.idempotency.files import Files
from birchslip.idempotency.record_format import FILE, RecordKind, ResultRecord, encode
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import RetentionBudget

NOW, WINDOW = time.time_ns() // 100_000, 170_000


def records(count: int) -> list[tuple[bytes, bytes]]:
    made = []
    for n in range(count):
        label = os.urandom(16)
        first = ResultRecord(RecordKind.BEGUN, label, NOW, WINDOW, f"{n:016x}", b"d" * 16)
        last = ResultRecord(
            RecordKind.CONCLUDED,
            label,
            NOW,
            WINDOW,
            digest=b"d" * 16,
            outcome=Outcome.SERVED,
            result=b"r" * 400,
        )
        made.append((label, encode(first if n % 2 else last)))
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
            files = Files(folder / f"log-{group}", "x")
            files.hold()
            files.begin(1)

            def by_log(n: int, files: Files = files, some: list = some, group: int = group) -> None:
                for _, raw in some[n * group : (n + 1) * group]:
                    files.append(raw)
                files.flush()

            base = sqlite3.connect(folder / f"{group}.db", isolation_level=None)
            base.execute("pragma journal_mode = wal")
            base.execute("pragma synchronous = full")
            base.execute("create table kept (label blob primary key, until integer, raw blob) without rowid")

            def by_sqlite(
                n: int, base: sqlite3.Connection = base, some: list = some, group: int = group
            ) -> None:
                base.execute("begin immediate")
                rows = [(label, NOW, raw) for label, raw in some[n * group : (n + 1) * group]]
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
            files = Files(folder / f"many-{count}", "x")
            files.hold()
            files.begin(1)
            for _, raw in some:
                files.append(raw)
            files.flush()
            began = time.perf_counter()
            held, _ = files.read_all()
            made = recover(held, RetentionBudget(1 << 30, 1 << 40, 0), NOW, WINDOW, FILE.size, held[-1][0])
            print(
                f"{len(made.index)} labels read in {time.perf_counter() - began:.2f} s, "
                f"index of {made.index.held / 1e6:.1f} MB, file of {len(held[0][1]) / 1e6:.1f} MB"
            )
            files.close()
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
