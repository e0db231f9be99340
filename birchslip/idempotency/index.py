"""Labels of earlier lives, found in constant time in a few bytes each.

Open addressing over arrays: a slot holds a label's two halves, when it ends, and where its last record
stands. Objects and a dict would take several times the memory (`benchmarks/keep_index.py`). Nothing is ever
taken out one by one: what has ended is passed over, and gone when the table is made anew.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

FIRST = 1 << 10
FULL = 0.7  # of the slots
LAST = (1 << 32) - 1  # ends are kept from `base` on: four bytes hold five days of tenths of a millisecond
UNKNOWN = (1 << 64) - 1  # in place of where a result stands: begun, and nothing known of its end


class Index:
    """`base` is before the end of every window that is still of use."""

    def __init__(self, base: int = 0) -> None:
        self.base = base
        self.make(FIRST)

    def make(self, slots: int) -> None:
        self.slots, self.used = slots, 0
        self.high, self.low = array("Q", bytes(8 * slots)), array("Q", bytes(8 * slots))
        self.ends, self.where = array("I", bytes(4 * slots)), array("Q", bytes(8 * slots))

    def __len__(self) -> int:
        return self.used

    @property
    def held(self) -> int:
        """Bytes, whatever stands in it."""
        return self.slots * (8 + 8 + 4 + 8)

    def slot(self, high: int, low: int) -> int:
        """Where it stands, or where it would."""
        # The labels of callers may be of any form: both halves are mixed before they are cut short.
        mixed = (high ^ (low * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
        at = ((mixed >> 32) ^ mixed) % self.slots
        while self.ends[at] and (self.high[at] != high or self.low[at] != low):
            at = (at + 1) % self.slots
        return at

    def put(self, label: bytes, until: int, where: int = UNKNOWN) -> None:
        if self.used >= FULL * self.slots:
            self.grow(0)
        high, low = int.from_bytes(label[:8]), int.from_bytes(label[8:])
        at = self.slot(high, low)
        if not self.ends[at]:
            self.used += 1
            self.high[at], self.low[at] = high, low
        self.ends[at], self.where[at] = max(1, min(LAST, until - self.base)), where

    def get(self, label: bytes, arrived: int) -> int | None:
        """Where the last record of one that stands for this arrival is, UNKNOWN, or None."""
        at = self.slot(int.from_bytes(label[:8]), int.from_bytes(label[8:]))
        return self.where[at] if self.ends[at] and arrived <= self.base + self.ends[at] else None

    def make_room(self, count: int) -> None:
        """For so many, before they come: growing step by step would put each of them twice."""
        self.make(max(FIRST, 1 << int(count / FULL).bit_length()))

    def grow(self, now: int) -> None:
        """Made anew, with room for as much again; what has ended by `now` is left behind."""
        kept = list(self.items(now))
        self.make(max(FIRST, 1 << (2 * len(kept)).bit_length()))
        for label, until, where in kept:
            self.put(label, until, where)

    def items(self, now: int) -> Iterator[tuple[bytes, int, int]]:
        for at in range(self.slots):
            if self.ends[at] and self.base + self.ends[at] >= now:
                label = self.high[at].to_bytes(8) + self.low[at].to_bytes(8)
                yield label, self.base + self.ends[at], self.where[at]
