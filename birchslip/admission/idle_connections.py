"""The choice of the idle timeout with the lowest cost, from the intervals between callers' requests.

An idle connection costs core time and room in a table, a new connection costs a handshake. This module owns
the recent intervals between requests of the same caller.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from .concurrency_limit import ConcurrencyLimit
from .quota_meter import MAX_CALLERS, WINDOW_COUNT, WINDOW_SPAN
from .rejection_stats import RejectionStats
from .types import AdmissionSettings
from .units import MS, SECOND

TIMEOUT_CHOICES = tuple(100 * MS << step for step in range(7, -1, -1))
HANDSHAKE_COST = WINDOW_SPAN // 2  # idle time that costs as much as a handshake, on fully used cores
MAX_INTERVALS = 100
MIN_INTERVALS = 6
CHOICE_INTERVAL = SECOND
NO_TIMEOUT = 0
NOT_ANNOUNCED = -1
MIN_UTILIZATION = 0.01
OVERLOAD_RATIO = 2.0  # ratio of rejected requests to those that the cores could serve
OVERLOAD_END_RATIO = 1.0
OVERLOAD_READ_DELAY = SECOND
OVERLOAD_END_READ_DELAY = 300 * MS


class RequestIntervals:
    """Intervals between successive requests of the same caller."""

    def __init__(self, now: int, keepalive_timeout: int, caller_count: int) -> None:
        """Start without callers; a `caller_count` of 0 means that their number is unknown."""
        self.started_at = now
        self.keepalive_timeout = keepalive_timeout
        self.caller_count = caller_count
        self.last_seen: OrderedDict[int, int] = OrderedDict()
        self.intervals: deque[int] = deque(maxlen=MAX_INTERVALS)
        self.request_count = 0

    def add(self, caller: int, now: int) -> None:
        """Record a request of a caller."""
        self.request_count += 1
        interval = now - self.last_seen.pop(caller, now - 2 * self.keepalive_timeout)
        self.last_seen[caller] = now
        if len(self.last_seen) > MAX_CALLERS:
            self.last_seen.popitem(last=False)
        uptime = now - self.started_at
        if interval > self.keepalive_timeout > uptime:
            # First request since the start: assume the mean interval of all callers.
            callers = self.caller_count or len(self.last_seen)
            interval = min(interval, callers * max(SECOND, uptime) // self.request_count)
        self.intervals.append(interval)

    def drop_idle_callers(self, now: int) -> None:
        """Drop the callers whose connections have been closed by the keepalive timeout."""
        while self.last_seen:
            caller, seen_at = next(iter(self.last_seen.items()))
            if seen_at > now - self.keepalive_timeout:
                return
            del self.last_seen[caller]

    def cheapest_timeout(self, handshake_cost: float) -> int:
        """Return the timeout with the lowest total cost of idle connections and handshakes."""

        def cost(timeout: int) -> float:
            return sum(
                interval if interval <= timeout else timeout + handshake_cost for interval in self.intervals
            )

        shorter = (timeout for timeout in TIMEOUT_CHOICES if timeout < self.keepalive_timeout)
        return min((self.keepalive_timeout, *shorter), key=cost)


class IdleConnections:
    """Chooses when idle connections are closed, and detects the overload in which they stay open."""

    def __init__(
        self, settings: AdmissionSettings, limit: ConcurrencyLimit, stats: RejectionStats, now: int
    ) -> None:
        """Start with no timeout announced."""
        self.keepalive_timeout = settings.keepalive_timeout
        self.limit = limit
        self.stats = stats
        self.request_intervals = RequestIntervals(now, settings.keepalive_timeout, settings.caller_count)
        self.next_choice_at = now
        self.timeout = NOT_ANNOUNCED
        self.is_overloaded = False
        self.retry_needs_handshake = False

    def choose(self, now: int, read_delay: int) -> int | None:
        """Choose the timeout once a second; returns it if it has changed.

        During an overload connections stay open: a full connection table refuses callers at no cost, while a
        rejection costs a handshake and the reading of a request.
        """
        self._measure_overload(now, read_delay)
        intervals = self.request_intervals.intervals
        if now < self.next_choice_at or len(intervals) < MIN_INTERVALS:
            return None
        self.next_choice_at = now + CHOICE_INTERVAL
        cost = HANDSHAKE_COST / max(MIN_UTILIZATION, self.limit.utilization)
        cheapest = self.request_intervals.cheapest_timeout(cost)
        self.retry_needs_handshake = 2 * sum(interval > cheapest for interval in intervals) > len(intervals)
        is_shorter = cheapest < self.keepalive_timeout and not self.is_overloaded
        timeout = cheapest if is_shorter else NO_TIMEOUT
        if timeout == self.timeout:
            return None
        self.timeout = timeout
        return timeout

    def _measure_overload(self, now: int, read_delay: int) -> None:
        """Update `is_overloaded`; an overload ends at lower bounds than those at which it starts."""
        rejected = self.stats.count.total(now)
        serviceable = self.limit.throughput() * WINDOW_COUNT
        ratio = OVERLOAD_RATIO
        max_read_delay = OVERLOAD_READ_DELAY
        if self.is_overloaded:
            ratio = OVERLOAD_END_RATIO
            max_read_delay = OVERLOAD_END_READ_DELAY
        self.is_overloaded = read_delay > max_read_delay or 0 < serviceable * ratio < rejected
