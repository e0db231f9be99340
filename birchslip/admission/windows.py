"""Sliding windows over amounts and durations, in a ring of time buckets.

The windows read no clock: each method takes the current time, which must not go back.
"""

from __future__ import annotations

from bisect import bisect_left, insort

from .units import SECOND

QUANTILE_BUCKETS = 60  # of one second each
QUANTILE_SAMPLES_PER_BUCKET = 100  # more samples of one second add cost and no information
LOW_QUANTILE = 0.25
HIGH_QUANTILE = 0.8
RECENT_BUCKETS = 10


class WindowedCounter:
    """Sum of the amounts in the last `count` buckets, each of the length `span` in any unit of time."""

    __slots__ = ("buckets", "slot", "span", "sum")

    def __init__(self, count: int, span: int) -> None:
        """Start with empty buckets at time 0."""
        self.buckets = [0] * count
        self.span = span
        self.slot = 0
        self.sum = 0

    def total(self, now: int) -> int:
        """Drop the expired buckets and return the sum of the rest."""
        slot = now // self.span
        count = len(self.buckets)
        if slot <= self.slot:
            return self.sum
        for expired in range(max(self.slot + 1, slot - count + 1), slot + 1):
            self.sum -= self.buckets[expired % count]
            self.buckets[expired % count] = 0
        self.slot = slot
        return self.sum

    def add(self, now: int, amount: int) -> None:
        """Add an amount to the current bucket."""
        self.total(now)
        self.buckets[self.slot % len(self.buckets)] += amount
        self.sum += amount

    def subtract(self, now: int, added_at: int, amount: int) -> None:
        """Subtract an amount that was added at `added_at`, unless its bucket has expired."""
        self.total(now)
        if added_at // self.span > self.slot - len(self.buckets):
            self.buckets[added_at // self.span % len(self.buckets)] -= amount
            self.sum -= amount


class QuantileWindow:
    """Mean, low quantile and high quantile of the samples of the last minute."""

    def __init__(self) -> None:
        """Start without samples; all figures are 0."""
        self.buckets: list[list[float]] = [[] for _ in range(QUANTILE_BUCKETS)]
        self.slot = 0
        self.count = 0  # of all samples ever added, including those dropped from the window
        self.ordered: list[float] = []
        self.sum = 0.0
        self.mean = 0.0
        self.low = 0.0
        self.high = 0.0

    def add(self, now: int, value: float) -> None:
        """Add a sample and update the figures."""
        slot = now // SECOND
        self._drop_before(slot)
        self.slot = slot
        self.count += 1
        bucket = self.buckets[slot % QUANTILE_BUCKETS]
        if len(bucket) >= QUANTILE_SAMPLES_PER_BUCKET:
            return
        bucket.append(value)
        insort(self.ordered, value)
        self.sum += value
        size = len(self.ordered)
        self.mean = self.sum / size
        self.low = self.ordered[int(size * LOW_QUANTILE)]
        self.high = self.ordered[int(size * HIGH_QUANTILE)]

    def _drop_before(self, slot: int) -> None:
        for expired in range(max(self.slot + 1, slot - QUANTILE_BUCKETS + 1), slot + 1):
            bucket = self.buckets[expired % QUANTILE_BUCKETS]
            for old in bucket:
                del self.ordered[bisect_left(self.ordered, old)]
                self.sum -= old
            bucket.clear()

    def recent(self, now: int) -> list[float]:
        """Return the samples of the last ten seconds, sorted by value."""
        first = max(now // SECOND - RECENT_BUCKETS, self.slot - QUANTILE_BUCKETS) + 1
        slots = range(first, self.slot + 1)
        return sorted(value for slot in slots for value in self.buckets[slot % QUANTILE_BUCKETS])
