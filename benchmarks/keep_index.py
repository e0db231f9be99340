"""Compare the index of stored keys with a dict, and the counts of expiries by second with a heap.

python benchmarks/keep_index.py
"""

import heapq
import os
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.admission.types import SECOND
from birchslip.idempotency.key_index import KeyIndex
from birchslip.idempotency.retention_budget import RetentionBudget

RETENTION = 17 * SECOND  # in tenths of a millisecond


def measure(build: Callable[[], Any]) -> tuple[Any, float, float]:
    """Call `build` twice and return its result, its time in seconds, and the MB that its result occupies.

    The time is that of the first call, as tracing memory slows down the second one.
    """
    started_at = time.perf_counter()
    build()
    duration_s = time.perf_counter() - started_at
    tracemalloc.start()
    result = build()
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return result, duration_s, memory_mb


def main() -> None:
    """Measure both indexes and both expiry structures at several sizes."""
    for count in (1_000, 100_000, 1_000_000):
        raw = os.urandom(16 * count)

        def build_table(raw: bytes = raw, count: int = count) -> KeyIndex:
            index = KeyIndex()
            index.reserve(count)
            for n in range(count):
                index.put(raw[16 * n : 16 * n + 16], RETENTION, n)
            return index

        def build_dict(raw: bytes = raw, count: int = count) -> dict[bytes, tuple[int, int]]:
            return {raw[16 * n : 16 * n + 16]: (RETENTION, n) for n in range(count)}

        for name, build in (("table", build_table), ("dict", build_dict)):
            index, duration_s, memory_mb = measure(build)
            keys = [raw[16 * n : 16 * n + 16] for n in range(0, count, max(1, count // 20_000))]
            started_at = time.perf_counter()
            for key in keys:
                index.get(key, 0) if name == "table" else index.get(key)
            lookup_us = (time.perf_counter() - started_at) / len(keys) * 1e6
            print(
                f"{count:8} keys, {name:6} made in {duration_s:6.3f} s, {memory_mb:7.2f} MB, "
                f"found in {lookup_us:.2f} us"
            )

        def build_counts(count: int = count) -> Any:
            budget = RetentionBudget(1 << 30, 1 << 40, 0)
            for n in range(count):
                budget.add_entry(n * RETENTION // count)
                if not n % 100:
                    budget.remove_expired_entries(n * RETENTION // count - RETENTION // 2)
            return budget

        def build_heap(count: int = count) -> Any:
            expiries: list[int] = []
            for n in range(count):
                heapq.heappush(expiries, n * RETENTION // count)
                while not n % 100 and expiries[0] < n * RETENTION // count - RETENTION // 2:
                    heapq.heappop(expiries)
            return expiries

        for name, build in (("seconds", build_counts), ("heap", build_heap)):
            _, duration_s, memory_mb = measure(build)
            print(
                f"{count:8} expiries, {name:7} {duration_s / count * 1e6:5.2f} us each, {memory_mb:7.2f} MB"
            )


if __name__ == "__main__":
    main()
