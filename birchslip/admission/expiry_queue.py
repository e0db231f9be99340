"""Items by the time at which they expire, for items that often end before that time.

A plain heap keeps an item that has ended until its time comes. Here the heap is rebuilt once most of it is of
that kind, so the memory in use depends on the items that are left, whatever the rate at which others end.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

MIN_STALE_TO_REBUILD = 64  # below this number a rebuild saves nothing

Item = TypeVar("Item", bound=Hashable)


class ExpiryQueue(Generic[Item]):
    """Items with the time at which each expires, in any unit.

    Attributes:
        heap: Time of expiry, serial number and item; items of the same time expire in the order of `put`.
        serials: The serial number of each item in the queue. A heap entry with another number is stale: its
            item was removed, or put again with another time.
        last_serial: The highest serial number in use.
    """

    def __init__(self) -> None:
        """Start without items."""
        self.heap: list[tuple[int, int, Item]] = []
        self.serials: dict[Item, int] = {}
        self.last_serial = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self.serials)

    def put(self, item: Item, expires_at: int) -> None:
        """Add an item, or change the time of one that is in the queue."""
        self.last_serial += 1
        self.serials[item] = self.last_serial
        heapq.heappush(self.heap, (expires_at, self.last_serial, item))
        self._rebuild_if_mostly_stale()

    def remove(self, item: Item) -> None:
        """Remove an item; do nothing if it is not in the queue."""
        if self.serials.pop(item, None) is not None:
            self._rebuild_if_mostly_stale()

    def take_expired(self, now: float) -> Iterator[Item]:
        """Remove and yield the items that expire at `now` or earlier; items may be removed meanwhile."""
        while self.heap and self.heap[0][0] <= now:
            _, serial, item = heapq.heappop(self.heap)
            if self.serials.get(item) == serial:
                del self.serials[item]
                yield item

    def _rebuild_if_mostly_stale(self) -> None:
        if len(self.heap) - len(self.serials) < len(self.serials) + MIN_STALE_TO_REBUILD:
            return
        self.heap = [entry for entry in self.heap if self.serials.get(entry[2]) == entry[1]]
        heapq.heapify(self.heap)
