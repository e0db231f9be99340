"""Who may have how many calls in hand at the shared vault, while sites are lost and come back.

Every member has a base share. A *kept* part of it is never lent, so that one that hears nobody keeps calling;
the rest is a lease of a known end (Gray and Cheriton 1989). Lent on to others is only the leased part of
members of a lost site whose lease has surely ended. At no instant may the parts that somebody may use add
up to more than the vault has room for, whoever is paused, cut off or led by whom: a lease counts from when
the member *sent* the report that it answers, on the member's own clock; here it counts from when the answer
is *given*, and longer by a margin for clocks that go at different speeds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

DRIFT = 0.02  # two clocks that don't jump differ by less than this part


def surely_over(span: int) -> int:
    """After so long here, a lease of `span` has ended there."""
    return int(span * (1 + DRIFT)) + 100


class LeaseRecord:
    """What one member may still use of its leased part: amounts that fall, each with the time until it
    may.
    """

    def __init__(self) -> None:
        self.steps: list[tuple[int, float]] = []

    @property
    def amount(self) -> float:
        return self.steps[0][1] if self.steps else 0.0

    def add(self, amount: float, until: int) -> None:
        self.steps = [step for step in self.steps if step[0] > until or step[1] > amount]
        self.steps.append((until, amount))
        self.steps.sort(key=lambda step: -step[1])

    def lapse(self, now: int) -> None:
        self.steps = [step for step in self.steps if step[0] > now]


class QuotaLeases:
    """The leader's book. `bases` are calls by member, of the fleet file; `since` is when it began to lead."""

    def __init__(self, bases: Mapping[str, float], total: float, kept: float, span: int, since: int) -> None:
        self.bases, self.total, self.kept, self.span = bases, total, kept, span
        self.sure_from = since + surely_over(span)
        self.parts = {name: LeaseRecord() for name in bases}
        self.ends: list[tuple[int, str]] = []
        self.out = 0.0
        self.kept_sum = kept * sum(bases.values())

    def amend(self, bases: Mapping[str, float]) -> None:
        """Members have joined or left; who stays has the base it had. What one that left may still use stays
        booked to its end, its kept part too: until the next reign its base counts as used.
        """
        self.kept_sum += self.kept * sum(base for name, base in bases.items() if name not in self.parts)
        self.bases = {**self.bases, **bases}
        for name in bases:
            self.parts.setdefault(name, LeaseRecord())

    def lapse(self, now: int) -> None:
        while self.ends and self.ends[0][0] <= now:
            name = heapq.heappop(self.ends)[1]
            self.change(name, lambda booked: booked.lapse(now))

    def change(self, name: str, act: Callable[[LeaseRecord], None]) -> None:
        booked = self.parts[name]
        self.out -= booked.amount
        act(booked)
        self.out += booked.amount

    def own(self, member: str) -> float:
        return (1 - self.kept) * self.bases[member]

    def free(self, now: int) -> float:
        """What nobody may use any more and is not granted again."""
        self.lapse(now)
        return max(0.0, self.total - self.kept_sum - self.out)

    def sure(self, now: int) -> bool:
        """Whether all leases that a leader before may have given have ended."""
        return now >= self.sure_from

    def grant(self, member: str, wanted: float, held: float, now: int) -> float:
        """The leased part that this member may use from now on, for `span`.

        Until all leases of the leader before are over, only what is reported as still held is renewed: that
        has been granted beside all others. After that, as much of what it wants as is free. A part that was
        larger may be used up to its own end, and is booked until then.
        """
        free = self.free(now) + self.parts[member].amount
        amount = min(wanted, held) if not self.sure(now) else min(wanted, free)
        until = now + surely_over(self.span)
        self.change(member, lambda booked: booked.add(amount, until))
        heapq.heappush(self.ends, (until, member))
        return amount
