"""Virtual time: what is due happens in order, and nothing else takes any."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

SECOND = 10_000


class Clock:
    """Times are whole tenths of a millisecond from 0. What is due at one moment happens as it was asked."""

    def __init__(self) -> None:
        self.now = 0
        self.serial = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: int, callback: Callable[..., None], *args: Any) -> None:
        """Once, at that moment or at once; whoever is called looks whether it still matters."""
        self.serial += 1
        heapq.heappush(self.queue, (max(time, self.now), self.serial, callback, args))

    def after(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        self.at(self.now + delay, callback, *args)

    def every(self, interval: int, callback: Callable[[], None], until: int) -> None:
        """From now on, up to `until`."""

        def run_and_reschedule() -> None:
            callback()
            if self.now + interval <= until:
                self.at(self.now + interval, run_and_reschedule)

        self.at(self.now, run_and_reschedule)

    def run(self, until: int) -> None:
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = max(self.now, until)
