"""Health of the store's disk, derived from its flushes: whether new keyed requests may start.

| state | event | next state |
| --- | --- | --- |
| healthy | a flush is older than the stall limit | stalled |
| stalled | the flush succeeds | healthy |
| healthy, stalled | a flush fails | failed |
| failed | a probe is flushed | healthy |

In every state but healthy, keyed requests are rejected before they start; other requests are served. The
state recovers without a restart: while the disk has failed, void records are written as probes, at intervals
that double up to a limit. This module does no I/O and reads no clock. Times are in ticks of a tenth of a
millisecond.
"""

from __future__ import annotations

from enum import Enum

from ..admission.types import MS, SECOND

MIN_PROBE_INTERVAL = SECOND // 2
MAX_PROBE_INTERVAL = 10 * SECOND
NO_FLUSH = -1  # in place of a time: no flush is pending


class DiskState(Enum):
    """State of the disk; the values are shown to operators."""

    HEALTHY = "good"
    STALLED = "stalled"
    FAILED = "failed"


class DiskHealth:
    """State machine of one disk.

    The methods for events return whether the state has changed.

    Attributes:
        stall_limit: Age in ticks at which an unfinished flush counts as stalled.
        state: The current state.
        reason: Why the disk is not healthy, in one line; empty if it is.
    """

    def __init__(self, stall_limit: int) -> None:
        """Start healthy, without a pending flush."""
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
        """Handle a request for a flush; the pending flush counts from the first one."""
        if self._oldest_flush_at == NO_FLUSH:
            self._oldest_flush_at = now

    def flush_succeeded(self, now: int, more_pending: bool) -> bool:
        """Handle a successful flush; `more_pending` states whether records wait for the next flush."""
        self._oldest_flush_at = now if more_pending else NO_FLUSH
        self._probe_interval = MIN_PROBE_INTERVAL
        return self._enter(DiskState.HEALTHY, "")

    def flush_failed(self, now: int, reason: str) -> bool:
        """Handle a failed write or flush, and schedule the next probe."""
        self._oldest_flush_at = NO_FLUSH
        self._next_probe_at = now + self._probe_interval
        self._probe_interval = min(2 * self._probe_interval, MAX_PROBE_INTERVAL)
        return self._enter(DiskState.FAILED, reason)

    def detect_stall(self, now: int) -> bool:
        """Detect a stalled flush; called periodically."""
        is_waiting = self._oldest_flush_at != NO_FLUSH
        if not self.is_healthy or not is_waiting or now - self._oldest_flush_at < self.stall_limit:
            return False
        waited_ms = (now - self._oldest_flush_at) // MS
        return self._enter(DiskState.STALLED, f"no flush for {waited_ms} ms")

    def needs_probe(self, now: int) -> bool:
        """Return whether a probe is due; none is due while another one is pending."""
        is_waiting = self._oldest_flush_at != NO_FLUSH
        return self.state is DiskState.FAILED and not is_waiting and now >= self._next_probe_at

    def _enter(self, state: DiskState, reason: str) -> bool:
        has_changed = state is not self.state
        self.state = state
        self.reason = reason
        return has_changed
