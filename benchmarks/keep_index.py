"""Keys of earlier incarnations: the table over arrays against a dict, and bounds by seconds against a heap.

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

RETENTION = 17 * SECOND


def measured(act: Callable[[], Any]) -> tuple[Any, float, float]:
    began = time.perf_counter()
    act()
    took = time.perf_counter() - began
    tracemalloc.start()
    made = act()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    return made, took, held


def main() -> None:
    for count in (1_000, 100_000, 1_000_000):
        raw = os.urandom(16 * count)

        def by_index(raw: bytes = raw, count: int = count) -> KeyIndex:
            made = KeyIndex()
            made.reserve(count)
            for n in range(count):
                made.put(raw[16 * n : 16 * n + 16], RETENTION, n)
            return made

        def by_dict(raw: bytes = raw, count: int = count) -> dict[bytes, tuple[int, int]]:
            return {raw[16 * n : 16 * n + 16]: (RETENTION, n) for n in range(count)}

        for name, act in (("table", by_index), ("dict", by_dict)):
            made, took, held = measured(act)
            asked = [raw[16 * n : 16 * n + 16] for n in range(0, count, max(1, count // 20_000))]
            began = time.perf_counter()
            for key in asked:
                made.get(key, 0) if name == "table" else made.get(key)
            each = (time.perf_counter() - began) / len(asked) * 1e6
            print(f"{count:8} keys, {name:6} made in {took:6.3f} s, {held:7.2f} MB, found in {each:.2f} us")

        def by_seconds(count: int = count) -> Any:
            budget = RetentionBudget(1 << 30, 1 << 40, 0)
            for n in range(count):
                budget.add_entry(n * RETENTION // count)
                if not n % 100:
                    budget.remove_expired_entries(n * RETENTION // count - RETENTION // 2)
            return budget

        def by_heap(count: int = count) -> Any:
            ends: list[int] = []
            for n in range(count):
                heapq.heappush(ends, n * RETENTION // count)
                while not n % 100 and ends[0] < n * RETENTION // count - RETENTION // 2:
                    heapq.heappop(ends)
            return ends

        for name, act in (("seconds", by_seconds), ("heap", by_heap)):
            _, took, held = measured(act)
            print(f"{count:8} ends,   {name:7} {took / count * 1e6:5.2f} us each, {held:7.2f} MB")


if __name__ == "__main__":
    main()
