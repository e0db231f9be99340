"""Permits to be out: budgets never passed by a grant, one permit for one life, nobody starved."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchslip.cluster.disruption_budget import (
    BudgetGroup,
    DisruptionBudget,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
    with_dependents,
)
from birchslip.cluster.messages import Incarnation

NAMES = ["a-0", "a-1", "a-2", "b-0", "b-1", "b-2"]


def life(mark=1):
    return Incarnation(nonce=mark)


def asks(name, mark=1):
    return EvictionWaiter(holder=name, incarnation=life(mark), why="a release")


def fleet(site=1, whole=2, **more):
    groups = [
        BudgetGroup("a", frozenset(NAMES[:3]), most=site),
        BudgetGroup("b", frozenset(NAMES[3:]), most=site),
        BudgetGroup("fleet", frozenset(NAMES), most=whole, **more),
    ]
    return DisruptionBudget(groups), {name: MemberObservation(life(), 10.0) for name in NAMES}


@pytest.mark.parametrize(
    ("most", "share", "allowed"), [(None, None, 10), (3, None, 3), (None, 0.25, 2), (3, 0.2, 2), (1, 0.9, 1)]
)
def test_how_many_may_be_out(most, share, allowed):
    assert BudgetGroup("g", frozenset(map(str, range(10))), most, share).allowed == allowed


def test_asking_twice_gets_the_same_permit_and_another_life_gets_none():
    permits, seen = fleet()
    first = permits.ask(asks("a-0"), seen).permit
    assert first is not None and permits.ask(asks("a-0"), seen).permit is first
    seen["a-0"] = MemberObservation(life(2), 10.0, UnavailabilityReason.COLD)
    answer = permits.ask(asks("a-0", 2), seen)
    assert answer.permit is None and "earlier incarnation" in answer.why
    assert not permits.look(seen)  # back, but cold
    seen["a-0"] = MemberObservation(life(2), 10.0)
    assert permits.look(seen) and not permits.book.permits
    assert permits.ask(asks("a-0", 2), seen).permit is not None


@pytest.mark.parametrize("why", list(UnavailabilityReason)[1:])
def test_the_unplanned_counts_and_the_planned_waits(why):
    permits, seen = fleet()
    seen["a-1"] = MemberObservation(life(), 10.0, why)
    answer = permits.ask(asks("a-0"), seen)
    assert answer.permit is None and answer.place == 1 and answer.why == "a: 2 would be out, 1 may be"
    seen["a-1"] = MemberObservation(life(), 10.0)
    assert permits.look(seen) and permits.holder("a-0") is not None


def test_a_permit_does_not_end_by_time_or_by_the_word_of_another_life():
    permits, seen = fleet()
    permits.ask(asks("a-0"), seen)
    permits.pass_time(10**9)
    seen["a-0"] = MemberObservation(life(), 10.0, UnavailabilityReason.SILENT)
    permits.look(seen)
    assert permits.holder("a-0") is not None
    assert not permits.hand_back("a-0", life(2), seen) and not permits.hand_back("a-0", life(), seen)
    seen["a-0"] = MemberObservation(
        life(), 10.0
    )  # woken up in the life that still believes that it may drain
    permits.look(seen)
    assert permits.holder("a-0") is not None
    assert permits.hand_back("a-0", life(), seen) and permits.holder("a-0") is None


def test_a_later_asker_passes_only_where_it_takes_nothing_from_an_earlier_one():
    permits, seen = fleet(site=1, whole=2)
    assert permits.ask(asks("a-0"), seen).permit
    assert permits.ask(asks("a-1"), seen).place == 1  # its site is full
    answer = permits.ask(asks("b-0"), seen)
    assert answer.permit is None and "fleet: 3 would be out" in answer.why  # a-1's room in the fleet is kept
    seen["a-0"] = MemberObservation(life(2), 10.0)
    permits.look(seen)
    assert permits.holder("a-1") and permits.holder("b-0")


def test_the_least_room_that_stays_in_and_a_budget_that_is_lowered():
    permits, seen = fleet(least=45.0)
    assert permits.ask(asks("a-0"), seen).permit
    answer = permits.ask(asks("b-0"), seen)
    assert answer.why == "fleet: 40 would stay in, 45 has to"
    permits.regroup([*permits.groups[:2], BudgetGroup("fleet", frozenset(NAMES), most=0)])
    permits.look(seen)
    assert permits.holder("a-0") and not permits.holder("b-0")
    seen["a-0"] = MemberObservation(life(2), 10.0)
    permits.look(seen)
    assert not permits.book.permits


def test_an_override_is_bounded_named_and_on_record():
    permits, seen = fleet(site=0, whole=0)
    assert permits.ask_past(asks("a-0"), seen).permit is None
    assert permits.override("", "fire", 1, 100) and permits.override("ann", "fire", 9, 100)
    assert permits.override("ann", "fire", 1, 10**12)
    assert not permits.override("ann", "fire", 1, 10_000)
    permit = permits.ask_past(asks("a-0"), seen).permit
    assert permit.override and permits.ask_past(asks("a-1"), seen).permit is None
    assert not permits.override("ann", "more fire", 2, 10_000)
    permits.pass_time(10_000)
    assert permits.ask_past(asks("a-1"), seen).permit is None
    assert any("ann" in line and "fire" in line for line in permits.book.record)


def test_a_service_below_that_is_out_takes_with_it_who_needs_it():
    permits, seen = fleet()
    needs = {"a-1": ["vault-1"], "b-1": ["vault-2"]}
    seen |= {
        "vault-1": MemberObservation(life(), 1.0, UnavailabilityReason.SILENT),
        "vault-2": MemberObservation(life(), 1.0),
    }
    shown = with_dependents(seen, needs)
    assert shown["a-1"].out is UnavailabilityReason.BELOW and shown["b-1"].out is None
    assert permits.ask(asks("a-0"), shown).permit is None and permits.ask(asks("b-0"), shown).permit is None
    assert permits.ask(asks("b-0"), shown).why == "fleet: 3 would be out, 2 may be"


def test_a_service_goes_out_with_all_who_need_it_or_not_at_all():
    _, seen = fleet()
    seen |= {name: MemberObservation(life(), 1.0) for name in ("store-1", "store-2")}
    groups = [
        BudgetGroup("fleet", frozenset(NAMES), most=2),
        BudgetGroup("stores", frozenset({"store-1", "store-2"}), most=1),
    ]
    permits = DisruptionBudget(groups, needs={"a-0": ["store-1"], "a-1": ["store-1"], "b-0": ["store-2"]})
    assert permits.ask(asks("b-1"), seen).permit
    answer = permits.ask(asks("store-1"), seen)
    assert answer.permit is None and answer.why == "fleet: 3 would be out, 2 may be"
    assert permits.ask(asks("store-2"), seen).permit is None  # the first one's room is kept for it
    seen["b-1"] = MemberObservation(life(2), 10.0)
    permits.look(seen)
    assert permits.holder("store-1") and permits.out(seen)["a-1"] is UnavailabilityReason.BELOW
    assert permits.ask(asks("a-2"), seen).why == "fleet: 4 would be out, 2 may be"  # store-2 waits for one
    for name in ("store-2", "a-2"):
        permits.take_back(name)
    # One that is out with its service already takes nothing more.
    assert permits.ask(asks("a-0"), seen).permit


def test_a_tally_grants_what_counting_anew_would():
    def plain(permits, holder, before, seen):
        out = set(permits.out(seen))
        for name in (*before, holder):
            out |= {name, *permits.dependents.get(name, ())}
        about = {group.name for one in (holder, *permits.dependents.get(holder, ()))
                 for group in permits.groups_of.get(one, ())}  # fmt: skip
        for group in permits.groups:
            gone = group.members & out
            room = sum(seen[name].room for name in group.members - gone if name in seen)
            if group.name in about and (len(gone) > group.allowed or room < group.least):
                return False
        return True

    chance = random.Random(4)
    for _ in range(300):
        names = [f"m{n}" for n in range(12)] + ["s0", "s1"]
        groups = [
            BudgetGroup(
                f"g{n}", frozenset(chance.sample(names, chance.randrange(1, 10))), chance.randrange(6),
                least=chance.choice([0.0, 20.0, 40.0]),
            )
            for n in range(4)
        ]  # fmt: skip
        needs = {name: [chance.choice(["s0", "s1"])] for name in chance.sample(names[:12], 4)}
        permits = DisruptionBudget(groups, needs=needs)
        seen = {
            name: MemberObservation(
                life(),
                10.0,
                chance.choice([None, None, None, UnavailabilityReason.SILENT, UnavailabilityReason.COLD]),
            )
            for name in names
        }
        some = chance.sample(names, 5)
        for place, name in enumerate(some):
            fits = not permits.tally(seen, some[:place]).blocked(name)
            assert fits == plain(permits, name, some[:place], seen)


def test_what_is_kept_is_what_the_next_leader_goes_on_with():
    permits, seen = fleet()
    permits.ask(asks("a-0"), seen)
    permits.ask(asks("a-1"), seen)
    permits.override("ann", "fire", 1, 100)
    later = DisruptionBudget(permits.groups)
    later.take(permits.keep())
    assert later.book == permits.book
    seen["a-0"] = MemberObservation(life(2), 10.0)
    later.look(seen)
    assert later.holder("a-1").number == 2


def test_who_is_struck_or_unknown_or_in_no_group():
    permits, seen = fleet()
    permits.ask(asks("a-0"), seen)
    permits.strike("a-0", "ann")
    assert permits.holder("a-0") is None and "struck" in permits.book.record[-1]
    assert "no group" in permits.ask(asks("z-9"), seen).why
    assert "not known" in permits.ask(asks("a-1", 7), seen).why and not permits.book.waiting


class Days(RuleBasedStateMachine):
    """Members ask, go, crash, come back and are passed over, in any order; leaders change now and then."""

    def __init__(self):
        super().__init__()
        self.permits, self.seen = fleet(site=2, whole=3, least=20.0)
        self.marks = dict.fromkeys(NAMES, 1)
        self.asked = {}
        self.steps = 0

    names = some.sampled_from(NAMES)

    @rule(name=names)
    def ask(self, name):
        answer = self.permits.ask(asks(name, self.marks[name]), self.seen)
        if answer.permit is not None:
            assert answer.permit.incarnation.nonce == self.marks[name]
            assert self.permits.ask(asks(name, self.marks[name]), self.seen).permit == answer.permit

    @rule(name=names)
    def ask_late(self, name):
        """A doubled or late message of an earlier life."""
        before = self.permits.keep()
        if self.permits.holder(name) is None:
            answer = self.permits.ask(asks(name, 0), self.seen)
            assert answer.permit is None and self.permits.keep() == before

    @rule(name=names, why=some.sampled_from(list(UnavailabilityReason)[1:]))
    def go_out(self, name, why):
        self.seen[name] = MemberObservation(life(self.marks[name]), 10.0, why)
        self.permits.look(self.seen)

    @rule(name=names)
    def come_back(self, name):
        self.marks[name] += 1
        self.seen[name] = MemberObservation(life(self.marks[name]), 10.0)
        self.permits.look(self.seen)

    @rule()
    def new_leader(self):
        raw = self.permits.keep()
        self.permits = DisruptionBudget(self.permits.groups)
        self.permits.take(raw)

    @precondition(lambda self: self.permits.book.waiting)
    @rule()
    def everybody_comes_back(self):
        """Nobody waits for ever: with all back in service, the first of those who wait is served."""
        first = self.permits.book.waiting[0].holder
        for name in NAMES:
            if name != first:
                self.come_back(name)
        still = self.permits.book.waiting
        assert not still or still[0].holder != first or self.seen[first].out is not None

    @invariant()
    def planned_alone_never_pass_a_budget(self):
        """With or without what is out unplanned, a grant is made only where it fits."""
        for group in self.permits.groups:
            planned = [one.holder for one in self.permits.book.permits if one.holder in group.members]
            assert len(planned) <= group.allowed

    @invariant()
    def one_permit_for_one_holder(self):
        holders = [one.holder for one in self.permits.book.permits]
        assert len(holders) == len(set(holders))
        assert not {one.holder for one in self.permits.book.waiting} & set(holders)


Days.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestDays = Days.TestCase
