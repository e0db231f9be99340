"""Who may be out: permits within budgets that nest, held until their holder is seen back in service.

A *group* is a set of members (a site, the whole fleet) with a most that may be out, as a count, a share or
both, and a least room that must stay in. Groups nest or overlap as they will: a member counts in each group
it is in. Out counts the planned and the unplanned alike: a member that holds a permit, and one that is
crashed, suspected, lost, cold or leaving, and one whose service below is out. Services below are members of
groups like any other; who needs one goes out with it, and is counted when its permit is asked for.

- A permit names its holder, the holder's incarnation, and why. It ends when the holder is seen back, warm,
  in a later incarnation, or is struck from the fleet; never by time, as one that has fallen silent is out.
- Asking twice gets the same permit. Another incarnation of a holder gets none until the old one's has ended.
- Waiting askers are served first come, first served. A later one may go before an earlier one only where that
  leaves the earlier one's room in every group untouched: nobody starves.
- A budget that is lowered below what is out already grants nothing until enough are back. What the platform
  does binds with or without a permit: it is counted, and planned drains wait.
- An override is explicit: who, why, for how many and how long; it stands in the record.

The leader alone decides, and tells a grant only once a majority of planners keeps it: a minority grants
nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from .messages import Count, Incarnation, Message, Name, Span, Text

RECORD_MOST = 256  # lines of the record that are kept
OVERRIDE_MOST = 3  # members that one override may let out
OVERRIDE_LONGEST = 3_600 * 10_000  # an hour
WAITING_MOST = 1_024


class UnavailabilityReason(Enum):
    """Why a member counts as out."""

    PERMIT = "permit"
    SILENT = "silent"
    LEAVING = "leaving"
    COLD = "cold"
    BELOW = "below"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class BudgetGroup:
    """`most` members and `share` of them may be out, whichever is less; `least` is the room that stays in."""

    name: str
    members: frozenset[str]
    most: int | None = None
    share: float | None = None
    least: float = 0.0

    @property
    def allowed(self) -> int:
        bounds = [len(self.members)]
        if self.most is not None:
            bounds.append(self.most)
        if self.share is not None:
            bounds.append(int(self.share * len(self.members) + 1e-9))
        return min(bounds)


@dataclass(frozen=True, slots=True)
class MemberObservation:
    """One member as it is seen: `out` says why it is out though nobody let it, None where it is in."""

    incarnation: Incarnation
    room: float
    out: UnavailabilityReason | None = None


class Permit(Message):
    """`number` rises with each grant; `override` says that it was given past the budgets."""

    holder: Name
    incarnation: Incarnation
    why: Text
    number: Count
    override: bool = False


class EvictionWaiter(Message):
    holder: Name
    incarnation: Incarnation
    why: Text


class BudgetOverride(Message):
    """`left` is how much of its time is left, by the leader's clock."""

    who: Text
    why: Text
    count: Count
    left: Span


class BudgetState(Message):
    """What the leader has a majority keep."""

    permits: list[Permit] = msgspec.field(default_factory=list)
    waiting: list[EvictionWaiter] = msgspec.field(default_factory=list)
    overrides: list[BudgetOverride] = msgspec.field(default_factory=list)
    record: list[Text] = msgspec.field(default_factory=list)
    number: Count = 0


@dataclass(slots=True)
class EvictionDecision:
    """To one asker: its permit, or its place among those who wait and what it waits for."""

    permit: Permit | None = None
    place: int = 0
    why: str = ""


class DisruptionTally:
    """How many of each group are out, and the room that stays in, kept as members are added.

    Adding one touches the groups it is in and nothing else: who waits is gone through once, whatever the
    fleet's size.
    """

    def __init__(
        self, permits: DisruptionBudget, seen: Mapping[str, MemberObservation], out: Iterable[str] = ()
    ) -> None:
        self.permits, self.seen = permits, seen
        self.out: set[str] = set()
        self.gone = dict.fromkeys((group.name for group in permits.groups), 0)
        self.room = {
            group.name: sum(seen[name].room for name in group.members if name in seen)
            for group in permits.groups
        }
        for name in out:
            self.add(name)

    def with_it(self, name: str) -> list[str]:
        """Who would go out, of those that are not out yet: it and all that need it."""
        some = (name, *self.permits.dependents.get(name, ()))
        return [one for one in some if one not in self.out]

    def add(self, name: str) -> None:
        for one in self.with_it(name):
            self.out.add(one)
            for group in self.permits.groups_of.get(one, ()):
                self.gone[group.name] += 1
                self.room[group.name] -= self.seen[one].room if one in self.seen else 0.0

    def blocked(self, holder: str) -> str:
        """What forbids this one to go out now; nothing where it may."""
        more: dict[str, list[str]] = {}
        met: dict[str, BudgetGroup] = {}
        some = (holder, *self.permits.dependents.get(holder, ()))
        for one in some:
            for group in self.permits.groups_of.get(one, ()):
                met[group.name] = group
                more.setdefault(group.name, [])
                if one not in self.out:
                    more[group.name].append(one)
        for name, group in met.items():
            gone = self.gone[name] + len(more[name])
            if gone > group.allowed:
                return f"{name}: {gone} would be out, {group.allowed} may be"
            room = self.room[name] - sum(self.seen[one].room for one in more[name] if one in self.seen)
            if room < group.least - 1e-9:
                return f"{name}: {room:g} would stay in, {group.least:g} has to"
        return ""


@dataclass(slots=True)
class DisruptionBudget:
    """The decisions. `seen` tells of each member what the membership shows just now; `needs` names the
    services below of those members that need any.
    """

    groups: list[BudgetGroup]
    book: BudgetState = field(default_factory=BudgetState)
    needs: Mapping[str, Iterable[str]] = field(default_factory=dict)
    groups_of: dict[str, list[BudgetGroup]] = field(init=False)
    dependents: dict[str, list[str]] = field(init=False)

    def __post_init__(self) -> None:
        self.regroup(self.groups)

    def regroup(self, groups: list[BudgetGroup], needs: Mapping[str, Iterable[str]] | None = None) -> None:
        """Budgets as they stand from now on; one below what is out already grants nothing for a while."""
        self.groups = groups
        self.needs = self.needs if needs is None else needs
        self.groups_of, self.dependents = {}, {}
        for group in groups:
            for name in group.members:
                self.groups_of.setdefault(name, []).append(group)
        for name, services in self.needs.items():
            for service in services:
                self.dependents.setdefault(service, []).append(name)

    # ---- counting --------------------------------------------------------------------------------------

    def holder(self, name: str) -> Permit | None:
        return next((one for one in self.book.permits if one.holder == name), None)

    def out(self, seen: Mapping[str, MemberObservation]) -> dict[str, UnavailabilityReason]:
        """Everybody who is out, and why. A permit that has not been used yet counts: it may be, any
        moment.
        """
        found = {name: one.out for name, one in seen.items() if one.out is not None}
        for permit in self.book.permits:
            found.setdefault(permit.holder, UnavailabilityReason.PERMIT)
        for service in [name for name in self.dependents if name in found]:
            for name in self.dependents[service]:
                found.setdefault(name, UnavailabilityReason.BELOW)
        return found

    def tally(self, seen: Mapping[str, MemberObservation], before: Iterable[str] = ()) -> DisruptionTally:
        """All who are out, and beside them those who asked before."""
        made = DisruptionTally(self, seen, self.out(seen))
        for name in before:
            made.add(name)
        return made

    # ---- asking ----------------------------------------------------------------------------------------

    def ask(self, asker: EvictionWaiter, seen: Mapping[str, MemberObservation]) -> EvictionDecision:
        """A permit, the same one again, or a place among those who wait."""
        if asker.holder not in self.groups_of:
            return EvictionDecision(why=f"{asker.holder} is in no group")
        permit = self.holder(asker.holder)
        if permit is not None:
            if permit.incarnation == asker.incarnation:
                return EvictionDecision(permit)
            return EvictionDecision(
                why=f"an earlier incarnation of {asker.holder} is out until it is seen back"
            )
        shown = seen.get(asker.holder)
        if shown is None or shown.incarnation != asker.incarnation:
            return EvictionDecision(why=f"{asker.holder} is not known in that incarnation")
        waiting = self.book.waiting
        place = next((n for n, one in enumerate(waiting) if one.holder == asker.holder), None)
        if place is None:
            if len(waiting) >= WAITING_MOST:
                return EvictionDecision(why=f"{len(waiting)} wait already")
            waiting.append(asker)
            place = len(waiting) - 1
        else:
            waiting[place] = asker  # a new incarnation of one that waits keeps its place
        self.serve(seen)
        permit = self.holder(asker.holder)
        if permit is not None:
            return EvictionDecision(permit)
        place = next(n for n, one in enumerate(waiting) if one.holder == asker.holder)
        before = [one.holder for one in waiting[:place]]
        return EvictionDecision(None, place + 1, self.tally(seen, before).blocked(asker.holder))

    def take_back(self, holder: str) -> bool:
        """An asker that waits no longer; a permit is not taken back by a word: its holder may be out
        already.
        """
        before = len(self.book.waiting)
        self.book.waiting[:] = [one for one in self.book.waiting if one.holder != holder]
        return len(self.book.waiting) < before

    def serve(self, seen: Mapping[str, MemberObservation]) -> list[Permit]:
        """Grants to those who wait, in the order they came, as far as there is room."""
        if not self.book.waiting:
            return []
        granted: list[Permit] = []
        tally = self.tally(seen)
        for asker in list(self.book.waiting):
            shown = seen.get(asker.holder)
            if shown is None or shown.incarnation != asker.incarnation:
                self.take_back(asker.holder)  # that life is over: its next one may ask anew
                continue
            if not tally.blocked(asker.holder):
                granted.append(self.grant(asker))
            tally.add(asker.holder)  # out now, or its room is kept for it
        return granted

    def grant(self, asker: EvictionWaiter, override: bool = False) -> Permit:
        self.book.number += 1
        permit = Permit(
            holder=asker.holder,
            incarnation=asker.incarnation,
            why=asker.why,
            number=self.book.number,
            override=override,
        )
        self.book.permits.append(permit)
        self.take_back(asker.holder)
        self.note(f"{permit.number}: {asker.holder} may be out: {asker.why}")
        return permit

    # ---- ending ----------------------------------------------------------------------------------------

    def look(self, seen: Mapping[str, MemberObservation]) -> bool:
        """Permits of those who are seen back end, and who waits is served; whether anything has changed."""
        back = [one for one in self.book.permits if self.is_back(one, seen.get(one.holder))]
        for permit in back:
            self.book.permits.remove(permit)
            self.note(f"{permit.number}: {permit.holder} is back")
        return bool(self.serve(seen)) or bool(back)

    @staticmethod
    def is_back(permit: Permit, shown: MemberObservation | None) -> bool:
        """In service, warm, in a later life than the one that went out. The same life may still go, any
        moment.
        """
        return shown is not None and shown.out is None and shown.incarnation != permit.incarnation

    def hand_back(self, holder: str, incarnation: Incarnation, seen: Mapping[str, MemberObservation]) -> bool:
        """Its holder will not go out after all. Only the life that holds it may say so, and while it is
        in.
        """
        permit = self.holder(holder)
        shown = seen.get(holder)
        if permit is None or permit.incarnation != incarnation or shown is None or shown.out is not None:
            return False
        self.book.permits.remove(permit)
        self.note(f"{permit.number}: {holder} hands it back")
        return True

    def strike(self, holder: str, who: str) -> None:
        """Out of the fleet by hand: it counts no longer."""
        self.book.permits[:] = [one for one in self.book.permits if one.holder != holder]
        self.take_back(holder)
        self.note(f"{holder} is struck from the fleet by {who}")

    # ---- overriding ------------------------------------------------------------------------------------

    def override(self, who: str, why: str, count: int, span: int) -> str:
        """Let so many out past the budgets, for so long; a word on what forbids it, or none."""
        if not who or not why:
            return "an override names who and why"
        if not 1 <= count <= OVERRIDE_MOST:
            return f"an override is for 1 to {OVERRIDE_MOST} members"
        if not 0 < span <= OVERRIDE_LONGEST:
            return "an override is for an hour at most"
        self.book.overrides.append(BudgetOverride(who=who, why=why, count=count, left=span))
        self.note(f"override by {who} for {count}: {why}")
        return ""

    def ask_past(self, asker: EvictionWaiter, seen: Mapping[str, MemberObservation]) -> EvictionDecision:
        """As `ask`, by an override where the budgets forbid it."""
        answer = self.ask(asker, seen)
        if answer.permit is not None or not answer.place:
            return answer
        if not self.book.overrides:
            return answer
        first = self.book.overrides[0]
        first.count -= 1
        if not first.count:
            self.book.overrides.pop(0)
        self.note(f"past the budgets for {first.who}: {first.why}")
        return EvictionDecision(self.grant(asker, override=True))

    def pass_time(self, span: int) -> None:
        for one in self.book.overrides:
            one.left = max(0, one.left - span)
        for one in [one for one in self.book.overrides if not one.left]:
            self.book.overrides.remove(one)
            self.note(f"the override by {one.who} has ended")

    # ---- the record ------------------------------------------------------------------------------------

    def note(self, text: str) -> None:
        self.book.record.append(text[:400])
        del self.book.record[:-RECORD_MOST]

    def keep(self) -> bytes:
        return msgspec.json.encode(self.book)

    def take(self, raw: bytes) -> None:
        self.book = msgspec.json.decode(raw, type=BudgetState) if raw else BudgetState()


def with_dependents(
    seen: Mapping[str, MemberObservation], needs: Mapping[str, Iterable[str]]
) -> dict[str, MemberObservation]:
    """Members as they are seen, with those out whose service below is, or is not known."""
    return {
        name: MemberObservation(one.incarnation, one.room, UnavailabilityReason.BELOW)
        if one.out is None
        and any(service not in seen or seen[service].out for service in needs.get(name, ()))
        else one
        for name, one in seen.items()
    }
