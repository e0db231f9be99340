"""The rate sensor of one caller or tenant, as in KIP-13 (Kafka quotas).

It owns the windows of one caller or tenant and computes the delay for a given quota; `quota.py` decides
which quota applies.
"""

from __future__ import annotations

from math import ceil

from .units import SECOND
from .windows import WindowedCounter

WINDOW_COUNT = 10
WINDOW_LENGTH = SECOND
WINDOW_SPAN = WINDOW_COUNT * WINDOW_LENGTH
MAX_CALLERS = 4096  # measured at a time; callers can make up names faster than they expire


class QuotaMeter:
    """Requested and admitted amounts of one caller or tenant.

    The amounts are numbers of requests if there is a configured quota, and bytes otherwise.
    """

    __slots__ = ("admitted", "configured_quota", "last_seen_at", "planned_quota", "requested")

    def __init__(self, configured_quota: float = 0.0) -> None:
        """Start with empty windows; `configured_quota` is in requests a second here, 0 for none."""
        self.admitted = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.requested = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.configured_quota = configured_quota
        self.planned_quota = 0.0  # from the plan in force, 0 if it sets none
        self.last_seen_at = 0

    def delay(self, now: int, quota: float) -> int:
        """Return the delay that brings the rate back to `quota` per second: (total - bound) / quota."""
        if quota <= 0:
            return 0
        bound = quota * WINDOW_SPAN / SECOND
        return max(0, ceil((self.admitted.total(now) - bound) / quota * SECOND))


UNMETERED = QuotaMeter()  # meter of requests that have not been counted yet
