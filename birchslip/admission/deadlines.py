"""The time by which each request must be answered, and how a drain shortens it.

This module owns the queue of open requests and the state of a drain. Every request is answered: `overdue`
yields those that are open at their deadline or shortly before the process ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from .expiry_queue import ExpiryQueue
from .types import Request, RequestState
from .units import MS

TIMER_INTERVAL = 50 * MS


class Deadlines:
    """Deadlines of open requests and the end of the process."""

    def __init__(self) -> None:
        """Start without open requests and without a drain."""
        self.watched: ExpiryQueue[Request] = ExpiryQueue()
        self.admits_until = inf
        self.ends_at: int | None = None

    def begin_drain(self, now: int, grace: int, ends_at: int) -> None:
        """Admit only requests that arrive within `grace`, and make all overdue shortly before `ends_at`."""
        self.admits_until = now + grace
        self.ends_at = ends_at

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun."""
        return self.ends_at is not None

    def watch(self, request: Request) -> None:
        """Add an open request, so that `overdue` yields it at its deadline."""
        self.watched.put(request, request.deadline - TIMER_INTERVAL)

    def unwatch(self, request: Request) -> None:
        """Remove a request that is over, so that it is not held in memory until its deadline."""
        self.watched.remove(request)

    def useful_until(self, request: Request) -> int:
        """Return the time until which an answer has its full value and can still be sent."""
        if self.ends_at is None:
            return request.latency_deadline
        return min(request.latency_deadline, self.ends_at - 2 * TIMER_INTERVAL)

    def overdue(self, now: int) -> Iterator[Request]:
        """Yield the open requests that must be answered now."""
        is_ending = self.ends_at is not None and now >= self.ends_at - 2 * TIMER_INTERVAL
        for request in self.watched.take_expired(inf if is_ending else now):
            if request.state is not RequestState.COMPLETED and not request.is_answered:
                yield request
