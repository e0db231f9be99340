"""A virtual clock: runs callbacks in the order of their times; time passes only between callbacks."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND = 10_000  # units of 0.1 ms


class Clock:
    """A queue of callbacks in virtual time, which starts at 0 and counts units of 0.1 ms.

    Callbacks that are due at the same time run in the order in which they were scheduled.

    Attributes:
        now: The current time.
        serial: Number of callbacks scheduled so far, which orders callbacks of the same time.
        queue: A heap of (time, serial, callback, arguments).
    """

    def __init__(self) -> None:
        """Create a clock at time 0 with nothing scheduled."""
        self.now = 0
        self.serial = 0
        self.queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []

    def at(self, time: int, callback: Callable[..., None], *args: object) -> None:
        """Run a callback once at a time, or as soon as possible if the time has passed.

        A scheduled callback cannot be cancelled: it checks itself whether it is still relevant.
        """
        self.serial += 1
        heapq.heappush(self.queue, (max(time, self.now), self.serial, callback, args))

    def after(self, delay: int, callback: Callable[..., None], *args: object) -> None:
        """Run a callback once after a delay."""
        self.at(self.now + delay, callback, *args)

    def every(self, interval: int, callback: Callable[[], None], until: int) -> None:
        """Run a callback now and repeat it at an interval, up to and including the time `until`."""

        def run_and_reschedule() -> None:
            callback()
            if self.now + interval <= until:
                self.at(self.now + interval, run_and_reschedule)

        self.at(self.now, run_and_reschedule)

    def run(self, until: int) -> None:
        """Run all callbacks that are due up to and including the time `until`, and advance to it."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(queue)
            callback(*args)
        self.now = max(self.now, until)
