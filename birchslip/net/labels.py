"""The table of labels: which try has the entry, which one ran, and what it made.

A label's run is claimed here and nowhere else, so a second launch within its window cannot happen, whatever
the timing: the claim names the try that runs, and stands until the window is over, also when that try was
written off.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ..admission.types import MS, Outcome
from .passage import Conclusion, Label, Passage

SLACK = 50 * MS  # by which the protocol's limits of time are longer on sockets


class Labels:
    def __init__(self, longest_wait: int) -> None:
        # An entry is found by arrival, however late the repeat is read: it is kept for that much longer.
        self.longest_wait = longest_wait
        self.table: dict[str, Label] = {}
        self.ends: list[tuple[int, int, Label]] = []
        self.serial = 0
        # what a try repeats that ran in an earlier life, where that is kept
        self.earlier: Callable[[Passage], Label | None] = lambda passage: None

    def standing(self, name: str, arrived: int) -> Label | None:
        """The entry that one which arrived then repeats."""
        entry = self.table.get(name)
        return entry if entry is not None and arrived <= entry.until else None

    def remember(self, passage: Passage, until: int, now: int) -> None:
        self.purge(now)
        entry = self.standing(passage.label_name, passage.stamp)
        if entry is None:
            entry = self.table[passage.label_name] = Label(passage.label_name, passage, until + SLACK)
        entry.holder, entry.until = passage, max(until + SLACK, entry.until)
        passage.label = entry
        self.keep(entry)

    def keep(self, entry: Label) -> None:
        self.serial += 1
        heapq.heappush(self.ends, (entry.until + self.longest_wait, self.serial, entry))

    def forget(self, passage: Passage, claimed: bool = False) -> list[Passage]:
        """Drop the entry of one that never ran, even if it was `claimed`; those that waited are returned."""
        entry = passage.label
        owner = passage if claimed else None
        if entry is None or entry.ran is not owner or (not claimed and entry.holder is not passage):
            return []
        if self.table.get(entry.name) is entry:
            del self.table[entry.name]
        waiting, entry.waiting = entry.waiting, []
        entry.leave(passage, *waiting)
        return waiting

    def claim(self, passage: Passage) -> bool:
        """Whether this try may run: only one may, for as long as the entry stands."""
        entry = passage.label
        if entry is None or (entry.ran is not None and entry.ran is not passage):
            return False
        entry.ran = passage
        until = passage.window_from + passage.transaction.request_class.key_retention + SLACK
        if until > entry.until:
            # Its clock lies ahead of ours: it is kept for longer than was thought when it was remembered.
            entry.until = until
            self.keep(entry)
        return True

    def attach(self, passage: Passage) -> Conclusion | None:
        """What its label has come to, or None: then this one waits for it."""
        entry = passage.label
        if entry is None:
            return Conclusion(Outcome.FAILED)
        if entry.conclusion is None:
            entry.waiting.append(passage)
        return entry.conclusion

    def conclude(self, passage: Passage, conclusion: Conclusion) -> list[Passage]:
        """The claimed run is over; those that waited for it are returned."""
        entry = passage.label
        if entry is None or entry.ran is not passage:
            return []
        entry.conclusion = conclusion
        waiting, entry.waiting = entry.waiting, []
        entry.leave(passage, *waiting)
        return waiting

    def purge(self, now: int) -> None:
        while self.ends and self.ends[0][0] < now:
            entry = heapq.heappop(self.ends)[2]
            if entry.until + self.longest_wait < now and self.table.get(entry.name) is entry:
                del self.table[entry.name]
