"""Whether the disk of the store is fit for new keyed requests, as its flushes show.

| state | event | next state |
| --- | --- | --- |
| healthy | a flush is older than the stall limit | stalled |
| stalled | the flush succeeds | healthy |
| healthy, stalled | a flush fails | failed |
| failed | a probe is flushed | healthy |

In every state but healthy, keyed requests are rejected before they start; the others are served. The state
recovers without a restart: while the disk has failed, a void record is written now and then as a probe. This
module does no I/O and reads no clock; times are in ticks.
"""

from __future__ import annotations

from enum import Enum

from ..admission.types import MS, SECOND

MIN_PROBE_INTERVAL = SECOND // 2
MAX_PROBE_INTERVAL = 10 * SECOND
NO_FLUSH = -1


class DiskState(Enum):
    """The value is the operators' word for the state."""

    HEALTHY = "good"
    STALLED = "stalled"
    FAILED = "failed"


class DiskHealth:
    """The state machine of one disk; each event returns whether the state has changed."""

    def __init__(self, stall_limit: int) -> None:
        """Start healthy; a flush that takes longer than `stall_limit` ticks counts as stalled."""
        self.stall_limit = stall_limit
        self.state = DiskState.HEALTHY
        self.reason = ""
        self._oldest_flush_at = NO_FLUSH
        self._next_probe_at = 0
        self._probe_interval = MIN_PROBE_INTERVAL

    @property
    def is_healthy(self) -> bool:
        """Whether keyed requests may start."""
        return self.state is DiskState.HEALTHY

    def flush_requested(self, now: int) -> None:
        """Something waits for a flush from now on."""
        if self._oldest_flush_at == NO_FLUSH:
            self._oldest_flush_at = now

    def flush_succeeded(self, now: int, more_pending: bool) -> bool:
        """A flush has succeeded; `more_pending` is whether others wait for the next one."""
        self._oldest_flush_at = now if more_pending else NO_FLUSH
        self._probe_interval = MIN_PROBE_INTERVAL
        return self._enter(DiskState.HEALTHY, "")

    def flush_failed(self, now: int, reason: str) -> bool:
        """A write or a flush has failed."""
        self._oldest_flush_at = NO_FLUSH
        self._next_probe_at = now + self._probe_interval
        self._probe_interval = min(2 * self._probe_interval, MAX_PROBE_INTERVAL)
        return self._enter(DiskState.FAILED, reason)

    def time_passed(self, now: int) -> bool:
        """Detect a stall."""
        is_waiting = self._oldest_flush_at != NO_FLUSH
        if not self.is_healthy or not is_waiting or now - self._oldest_flush_at < self.stall_limit:
            return False
        waited_ms = (now - self._oldest_flush_at) // MS
        return self._enter(DiskState.STALLED, f"no flush for {waited_ms} ms")

    def needs_probe(self, now: int) -> bool:
        """Whether a probe is due; none is while one is under way."""
        is_waiting = self._oldest_flush_at != NO_FLUSH
        return self.state is DiskState.FAILED and not is_waiting and now >= self._next_probe_at

    def _enter(self, state: DiskState, reason: str) -> bool:
        has_changed = state is not self.state
        self.state = state
        self.reason = reason
        return has_changed
