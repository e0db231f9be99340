"""Limits of the store in entries and bytes, and the time until a full store has room again.

A segment is deleted as a whole once all its records have expired. Nothing is rewritten to make room and
nothing is deleted before it expires; a full store only reports when it will have room. This module does no
I/O and reads no clock. Times are in ticks of a tenth of a millisecond, on the clock of request arrivals.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..admission.types import SECOND

MIN_SEGMENTS = 8  # minimum number of segments that a full store is divided into
COMPLETION_RESERVE_BYTES = 5_120  # size of the largest completed record
MIN_WAIT = SECOND // 10


@dataclass(eq=False, slots=True)
class Segment:
    """One file of the store.

    Attributes:
        serial: Serial number.
        size: Size in bytes.
        last_expiry: Time at which its last record expires, in ticks.
    """

    serial: int
    size: int = 0
    last_expiry: int = 0


class RetentionBudget:
    """Accounts for the segments and the live entries of a store.

    Attributes:
        max_entries: Maximum number of live entries.
        max_bytes: Maximum size of all segments in bytes.
        grace: Time for which an entry is retained beyond its expiry, in ticks.
        segments: The segments, oldest first.
        live_entries: Number of entries that are still retained.
    """

    def __init__(self, max_entries: int, max_bytes: int, grace: int) -> None:
        """Start empty.

        Args:
            max_entries: Maximum number of live entries.
            max_bytes: Maximum size of all segments in bytes.
            grace: Time in ticks for which an entry is retained beyond its expiry, because a repeat that
                arrived in time may be read later.
        """
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.grace = grace
        self.segments: deque[Segment] = deque()
        self.live_entries = 0
        self._entries_by_second: dict[int, int] = {}  # live entries by second of expiry, grace included
        self._reserved_bytes = 0
        self._swept_second = 0

    @property
    def max_segment_bytes(self) -> int:
        """The maximum size of a segment in bytes."""
        return self.max_bytes // MIN_SEGMENTS

    @property
    def stored_bytes(self) -> int:
        """The size of all segments in bytes."""
        return sum(segment.size for segment in self.segments)

    def needs_new_segment(self, size: int) -> bool:
        """Return whether a record of `size` bytes does not fit into the last segment."""
        return not self.segments or self.segments[-1].size + size > self.max_segment_bytes

    def add_segment(self, serial: int, size: int) -> None:
        """Account for a new last segment of `size` bytes."""
        self.segments.append(Segment(serial, size))

    def add_record(self, size: int, expires_at: int) -> None:
        """Account for a record of `size` bytes that is appended to the last segment."""
        segment = self.segments[-1]
        segment.size += size
        segment.last_expiry = max(segment.last_expiry, expires_at)

    def remove_expired_segments(self, now: int) -> list[int]:
        """Remove the segments whose records have all expired, and return their serial numbers.

        The last segment is kept, because records are appended to it.
        """
        removed = []
        while len(self.segments) > 1 and self.segments[0].last_expiry + self.grace < now:
            removed.append(self.segments.popleft().serial)
        return removed

    def add_entry(self, expires_at: int) -> None:
        """Count a live entry, without reserving room for a completed record."""
        second = (expires_at + self.grace) // SECOND
        self._entries_by_second[second] = self._entries_by_second.get(second, 0) + 1
        self.live_entries += 1

    def start_entry(self, expires_at: int) -> None:
        """Count a live entry, and reserve room for its completed record."""
        self.add_entry(expires_at)
        self._reserved_bytes += COMPLETION_RESERVE_BYTES

    def release_reserve(self) -> None:
        """Release the room reserved for an entry that has completed or was never run."""
        self._reserved_bytes -= COMPLETION_RESERVE_BYTES

    def remove_expired_entries(self, now: int) -> None:
        """Subtract the entries that expired in past seconds; the work depends on seconds, not on entries."""
        current_second = now // SECOND
        if current_second - self._swept_second > len(self._entries_by_second):
            past_seconds = [second for second in self._entries_by_second if second < current_second]
        else:
            past_seconds = list(range(self._swept_second, current_second))
        for second in past_seconds:
            self.live_entries -= self._entries_by_second.pop(second, 0)
        self._swept_second = current_second

    def remaining_entries(self, now: int) -> int:
        """Return how many more entries may be started."""
        self.remove_expired_entries(now)
        remaining_by_size = self._free_bytes() // COMPLETION_RESERVE_BYTES
        return max(0, min(self.max_entries - self.live_entries, remaining_by_size))

    def time_until_room(self, now: int) -> int:
        """Return the estimated ticks until an entry may be started; 0 if one may be started now."""
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
