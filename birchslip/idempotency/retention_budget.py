"""What may still be begun: the bounds of a store in entries, bytes and age, and when there is room again.

A store is a row of files; the oldest goes whole once the window of all that is in it is over. So nothing is
rewritten to make room, and nothing that is in its window is thrown away: a full store says when room comes.
Free of I/O and of clocks; times are tenths of a millisecond of the clock that labels are stamped by.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SECOND = 10_000
FILES = 8  # into which a store is divided at least
CLOSING = 5_120  # bytes that one begun may need for its end: the largest result, and a head


@dataclass(eq=False, slots=True)
class StoreFile:
    """One file of the row. `last` is the latest end of a window in it."""

    serial: int
    size: int = 0
    last: int = 0


class RetentionBudget:
    """`entries` and `size` bound the store; a label may be asked for until `linger` after its window."""

    def __init__(self, entries: int, size: int, linger: int) -> None:
        self.entries, self.size, self.linger = entries, size, linger
        self.files: deque[StoreFile] = deque()
        self.ending: dict[int, int] = {}  # second in which windows end: how many
        self.live = 0
        self.reserved = 0  # for the ends of what was begun and is not concluded
        self.swept = 0

    # ---- files -----------------------------------------------------------------------------------------

    @property
    def file_most(self) -> int:
        return self.size // FILES

    @property
    def held(self) -> int:
        return sum(file.size for file in self.files)

    def wants_new_file(self, size: int) -> bool:
        return not self.files or self.files[-1].size + size > self.file_most

    def open_file(self, serial: int, size: int) -> None:
        self.files.append(StoreFile(serial, size))

    def written(self, size: int, until: int) -> None:
        file = self.files[-1]
        file.size += size
        file.last = max(file.last, until)

    def gone(self, now: int) -> list[int]:
        """Files of which nothing stands any more; the last one stays, as it is written to."""
        over = []
        while len(self.files) > 1 and self.files[0].last + self.linger < now:
            over.append(self.files.popleft().serial)
        return over

    # ---- entries ---------------------------------------------------------------------------------------

    def count(self, until: int) -> None:
        second = (until + self.linger) // SECOND
        self.ending[second] = self.ending.get(second, 0) + 1
        self.live += 1

    def begin(self, until: int) -> None:
        self.count(until)
        self.reserved += CLOSING

    def conclude(self) -> None:
        """Or found never to have run: its end takes no more room than was kept for it."""
        self.reserved -= CLOSING

    def sweep(self, now: int) -> None:
        """Seconds that have passed; work by seconds, not by entries."""
        second = now // SECOND
        if second - self.swept > len(self.ending):
            for ended in [one for one in self.ending if one < second]:
                self.live -= self.ending.pop(ended)
        else:
            for ended in range(self.swept, second):
                self.live -= self.ending.pop(ended, 0)
        self.swept = second

    # ---- room ------------------------------------------------------------------------------------------

    def room(self, now: int) -> int:
        """How many may still be begun."""
        self.sweep(now)
        left = self.size - self.held - self.reserved
        return max(0, min(self.entries - self.live, left // CLOSING))

    def wait(self, now: int) -> int:
        """Until there is room again, as far as is known: the next end of a window, or of a whole file."""
        if self.room(now):
            return 0
        ends = []
        if self.live >= self.entries and self.ending:
            ends.append((min(self.ending) + 1) * SECOND)
        if self.size - self.held - self.reserved < CLOSING and len(self.files) > 1:
            ends.append(self.files[0].last + self.linger)
        return max(SECOND // 10, max(ends, default=now + SECOND) - now)
