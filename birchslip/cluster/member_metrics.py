"""What a member measures of itself for its reports: rates over the last two seconds, its room, and figures to
be judged by.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Mapping, Sequence

from ..admission.types import SECOND
from ..admission.windows import WindowedCounter

SLICES, SLICE = 8, 2_500  # two seconds, a quarter of a second at a time
SPAN = SLICES * SLICE


def room_of(cores: int, usual: float, honoured: float) -> float:
    """Transactions a second that it can do; 0 while nothing is known of it.

    By its cores and what a run usually takes, or what it has just done if that is more. The running limit
    says nothing here: where it rises, more runs share the same cores, and each takes longer.
    """
    return max(cores * SECOND / usual, honoured) if usual > 0 else 0.0


class Rates:
    """Counts in rings; no work grows with callers or history."""

    def __init__(self, tenants: list[str]) -> None:
        self.load = {name: WindowedCounter(SLICES, SLICE) for name in [*tenants, ""]}
        self.visits, self.again, self.honoured, self.shed = (WindowedCounter(SLICES, SLICE) for _ in range(4))
        self.counted = [0, 0]

    def arrived(self, now: int, tenant: str, at_home: bool, again: bool) -> None:
        if again:
            self.again.add(now, 1)
        elif not at_home:
            self.visits.add(now, 1)
        else:
            self.load[tenant].add(now, 1)

    def answered(self, now: int, honoured: int, shed: int) -> None:
        """By what the counters stand at."""
        self.honoured.add(now, honoured - self.counted[0])
        self.shed.add(now, shed - self.counted[1])
        self.counted = [honoured, shed]

    def now(self, now: int) -> tuple[dict[str, float], float, float, float, float]:
        """Rates a second: load by tenant, visits, further tries, honoured, shed."""
        load = {name: ring.total(now) * SECOND / SPAN for name, ring in self.load.items() if name}
        alone = self.load[""].total(now) * SECOND / SPAN
        if alone or not load:
            load["all"] = alone
        return (
            load,
            *(
                ring.total(now) * SECOND / SPAN
                for ring in (self.visits, self.again, self.honoured, self.shed)
            ),
        )  # type: ignore[return-value]


TOOK = tuple(int(100 * 2 ** (step / 2)) for step in range(19))  # bounds of buckets, from 10 ms up
CALLS_BAD = ("erred", "overdue", "severed", "saturated", "unreached")


class Figures:
    """What became of transactions since this life began: by kind and profile, bad ones and all.

    They only grow, so that whoever reads them may miss any number of reports, and read the difference.
    """

    def __init__(self, profiles: Sequence[str]) -> None:
        self.took = {name: [0] * (len(TOOK) + 1) for name in profiles}  # honoured, by how long they ran
        self.counts = {
            f"{kind}:{name}": [0, 0] for name in profiles for kind in ("late", "shed", "written_off")
        }

    def add(self, kind: str, profile: str, bad: bool) -> None:
        count = self.counts[f"{kind}:{profile}"]
        count[0] += bad
        count[1] += 1

    def answered(self, profile: str, what: str, ran: int, late: bool) -> None:
        """`what` is the book's word. One whose caller has gone tells something only if late by then.

        `ran` is from its launch on, in tenths of a millisecond (what it waited before says more of the load),
        and below 0 for a repeat, which ran as another.
        """
        if what == "gone":
            if late:
                self.add("late", profile, True)
            return
        self.add("shed", profile, what == "shed")
        if what == "honoured":
            self.add("late", profile, late)
            if ran >= 0:
                self.took[profile][bisect(TOOK, ran)] += 1
        if what != "shed":
            self.add("written_off", profile, what != "honoured")

    def told(self, counts: Mapping[str, int]) -> dict[str, tuple[int, int]]:
        """Those that have counted, and calls below by the program's counters."""
        made = {name: (bad, every) for name, (bad, every) in self.counts.items() if every}
        called = counts.get("relay.called", 0)
        if called:
            bad = sum(counts.get(f"relay.{word}", 0) for word in CALLS_BAD)
            made["calls"] = (min(bad, called), called)
        return made
