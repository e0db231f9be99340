"""How much the store may hold: bounds in entries and bytes, and the time until there is room again.

A segment is deleted whole once everything in it has expired. Nothing is rewritten to make room, and nothing
is dropped before it expires: a full store says when room comes. This module does no I/O and reads no clock;
times are in ticks of the clock that stamps the requests.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..admission.types import SECOND

MIN_SEGMENTS = 8  # a store is divided into at least so many
COMPLETION_RESERVE_BYTES = 5_120  # the largest completed record
MIN_WAIT = SECOND // 10


@dataclass(eq=False, slots=True)
class Segment:
    """One file of the store; `last_expiry` is when the last record in it expires."""

    serial: int
    size: int = 0
    last_expiry: int = 0


class RetentionBudget:
    """Accounts for the segments and the live entries of a store."""

    def __init__(self, max_entries: int, max_bytes: int, grace: int) -> None:
        """Start empty.

        Args:
            max_entries: How many entries may be live at a time.
            max_bytes: How many bytes the segments may take.
            grace: For how long, in ticks, an entry is retained beyond its expiry, since a repeat that
                arrived in time may be read later.
        """
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.grace = grace
        self.segments: deque[Segment] = deque()
        self.live_entries = 0
        self._entries_by_second: dict[int, int] = {}  # by the second in which they end
        self._reserved_bytes = 0
        self._swept_second = 0

    @property
    def max_segment_bytes(self) -> int:
        """The size from which on a new segment is started."""
        return self.max_bytes // MIN_SEGMENTS

    @property
    def stored_bytes(self) -> int:
        """The bytes of all segments."""
        return sum(segment.size for segment in self.segments)

    def needs_new_segment(self, size: int) -> bool:
        """Whether a record of `size` bytes has to go to a new segment."""
        return not self.segments or self.segments[-1].size + size > self.max_segment_bytes

    def add_segment(self, serial: int, size: int) -> None:
        """Account for a segment that follows the others."""
        self.segments.append(Segment(serial, size))

    def add_record(self, size: int, expires_at: int) -> None:
        """Account for a record that is written to the last segment."""
        segment = self.segments[-1]
        segment.size += size
        segment.last_expiry = max(segment.last_expiry, expires_at)

    def remove_expired_segments(self, now: int) -> list[int]:
        """Forget the segments in which everything has expired, and return their serial numbers.

        The last segment stays, since it is written to.
        """
        removed = []
        while len(self.segments) > 1 and self.segments[0].last_expiry + self.grace < now:
            removed.append(self.segments.popleft().serial)
        return removed

    def add_entry(self, expires_at: int) -> None:
        """Count a live entry that needs no room for its completion."""
        second = (expires_at + self.grace) // SECOND
        self._entries_by_second[second] = self._entries_by_second.get(second, 0) + 1
        self.live_entries += 1

    def start_entry(self, expires_at: int) -> None:
        """Count a live entry, and reserve the room for its completed record."""
        self.add_entry(expires_at)
        self._reserved_bytes += COMPLETION_RESERVE_BYTES

    def release_reserve(self) -> None:
        """Release the reserve of an entry that is complete, or that turned out never to have run."""
        self._reserved_bytes -= COMPLETION_RESERVE_BYTES

    def remove_expired_entries(self, now: int) -> None:
        """Uncount the entries of the seconds that have passed; the work grows with seconds, not entries."""
        current_second = now // SECOND
        if current_second - self._swept_second > len(self._entries_by_second):
            passed = [second for second in self._entries_by_second if second < current_second]
        else:
            passed = list(range(self._swept_second, current_second))
        for second in passed:
            self.live_entries -= self._entries_by_second.pop(second, 0)
        self._swept_second = current_second

    def remaining_entries(self, now: int) -> int:
        """How many entries may still be started."""
        self.remove_expired_entries(now)
        remaining_by_size = self._free_bytes() // COMPLETION_RESERVE_BYTES
        return max(0, min(self.max_entries - self.live_entries, remaining_by_size))

    def time_until_room(self, now: int) -> int:
        """The ticks until there is room again, as far as is known; 0 while there is room."""
        if self.remaining_entries(now):
            return 0
        room_times = []
        if self.live_entries >= self.max_entries and self._entries_by_second:
            room_times.append((min(self._entries_by_second) + 1) * SECOND)
        if self._free_bytes() < COMPLETION_RESERVE_BYTES and len(self.segments) > 1:
            room_times.append(self.segments[0].last_expiry + self.grace)
        return max(MIN_WAIT, max(room_times, default=now + SECOND) - now)

    def _free_bytes(self) -> int:
        return self.max_bytes - self.stored_bytes - self._reserved_bytes
