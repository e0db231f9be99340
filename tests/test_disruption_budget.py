"""The disruption budget: no grant exceeds a budget, one permit for one incarnation, nobody starves."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchslip.cluster.disruption_budget import DisruptionBudget
from birchslip.cluster.disruption_tally import with_dependents
from birchslip.cluster.disruption_types import (
    BudgetGroup,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
)
from birchslip.cluster.messages import Incarnation

NAMES = ["a-0", "a-1", "a-2", "b-0", "b-1", "b-2"]


def incarnation(mark=1):
    return Incarnation(nonce=mark)


def waiter(name, mark=1):
    return EvictionWaiter(holder=name, incarnation=incarnation(mark), reason="a release")


def budget_and_fleet(site=1, whole=2, **more):
    groups = [
        BudgetGroup("a", frozenset(NAMES[:3]), max_unavailable=site),
        BudgetGroup("b", frozenset(NAMES[3:]), max_unavailable=site),
        BudgetGroup("fleet", frozenset(NAMES), max_unavailable=whole, **more),
    ]
    return DisruptionBudget(groups), {name: MemberObservation(incarnation(), 10.0) for name in NAMES}


@pytest.mark.parametrize(
    ("most", "share", "allowed"),
    [(None, None, 10), (3, None, 3), (None, 0.25, 2), (3, 0.2, 2), (1, 0.9, 1)],
    ids=["no bound", "number", "share", "lower share", "lower number"],
)
def test_the_lower_of_both_bounds_is_allowed_to_be_unavailable(most, share, allowed):
    assert BudgetGroup("g", frozenset(map(str, range(10))), most, share).disruptions_allowed == allowed


def test_requesting_twice_returns_the_same_permit_and_another_incarnation_gets_none():
    budget, observations = budget_and_fleet()
    first = budget.acquire(waiter("a-0"), observations).permit
    assert first is not None
    assert budget.acquire(waiter("a-0"), observations).permit is first
    observations["a-0"] = MemberObservation(incarnation(2), 10.0, UnavailabilityReason.COLD)
    answer = budget.acquire(waiter("a-0", 2), observations)
    assert answer.permit is None
    assert "earlier incarnation" in answer.reason
    assert not budget.reconcile(observations)  # back, but cold
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    assert budget.reconcile(observations)
    assert not budget.state.permits
    assert budget.acquire(waiter("a-0", 2), observations).permit is not None


@pytest.mark.parametrize("why", list(UnavailabilityReason)[1:], ids=lambda reason: reason.value)
def test_unplanned_unavailability_counts_and_planned_eviction_waits(why):
    budget, observations = budget_and_fleet()
    observations["a-1"] = MemberObservation(incarnation(), 10.0, why)
    answer = budget.acquire(waiter("a-0"), observations)
    assert answer.permit is None
    assert answer.position == 1
    assert answer.reason == "a: 2 would be out, 1 may be"
    observations["a-1"] = MemberObservation(incarnation(), 10.0)
    assert budget.reconcile(observations)
    assert budget.permit_of("a-0") is not None


def test_a_permit_does_not_expire_and_another_incarnation_can_not_release_it():
    budget, observations = budget_and_fleet()
    budget.acquire(waiter("a-0"), observations)
    budget.expire_overrides(10**9)
    observations["a-0"] = MemberObservation(incarnation(), 10.0, UnavailabilityReason.SILENT)
    budget.reconcile(observations)
    assert budget.permit_of("a-0") is not None
    assert not budget.release("a-0", incarnation(2), observations)
    assert not budget.release("a-0", incarnation(), observations)
    observations["a-0"] = MemberObservation(
        incarnation(), 10.0
    )  # woken up in the life that still believes that it may drain
    budget.reconcile(observations)
    assert budget.permit_of("a-0") is not None
    assert budget.release("a-0", incarnation(), observations)
    assert budget.permit_of("a-0") is None


def test_a_later_waiter_is_granted_first_only_where_it_delays_no_earlier_one():
    budget, observations = budget_and_fleet(site=1, whole=2)
    assert budget.acquire(waiter("a-0"), observations).permit
    assert budget.acquire(waiter("a-1"), observations).position == 1  # its site is full
    answer = budget.acquire(waiter("b-0"), observations)
    assert answer.permit is None
    assert "fleet: 3 would be out" in answer.reason
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert budget.permit_of("a-1")
    assert budget.permit_of("b-0")


def test_the_minimum_capacity_stays_and_a_lowered_budget_grants_nothing():
    budget, observations = budget_and_fleet(min_capacity=45.0)
    assert budget.acquire(waiter("a-0"), observations).permit
    answer = budget.acquire(waiter("b-0"), observations)
    assert answer.reason == "fleet: 40 would stay in, 45 has to"
    budget.set_groups([*budget.groups[:2], BudgetGroup("fleet", frozenset(NAMES), max_unavailable=0)])
    budget.reconcile(observations)
    assert budget.permit_of("a-0")
    assert not budget.permit_of("b-0")
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert not budget.state.permits


def test_an_override_is_bounded_and_written_to_the_audit_log():
    budget, observations = budget_and_fleet(site=0, whole=0)
    assert budget.acquire_with_override(waiter("a-0"), observations).permit is None
    assert budget.add_override("", "fire", 1, 100)
    assert budget.add_override("ann", "fire", 9, 100)
    assert budget.add_override("ann", "fire", 1, 10**12)
    assert not budget.add_override("ann", "fire", 1, 10_000)
    permit = budget.acquire_with_override(waiter("a-0"), observations).permit
    assert permit.override
    assert budget.acquire_with_override(waiter("a-1"), observations).permit is None
    assert not budget.add_override("ann", "more fire", 2, 10_000)
    budget.expire_overrides(10_000)
    assert budget.acquire_with_override(waiter("a-1"), observations).permit is None
    assert any("ann" in line and "fire" in line for line in budget.state.audit_log)


def test_members_whose_service_is_unavailable_count_as_unavailable():
    budget, observations = budget_and_fleet()
    needs = {"a-1": ["vault-1"], "b-1": ["vault-2"]}
    observations |= {
        "vault-1": MemberObservation(incarnation(), 1.0, UnavailabilityReason.SILENT),
        "vault-2": MemberObservation(incarnation(), 1.0),
    }
    shown = with_dependents(observations, needs)
    assert shown["a-1"].unavailability is UnavailabilityReason.BELOW
    assert shown["b-1"].unavailability is None
    assert budget.acquire(waiter("a-0"), shown).permit is None
    assert budget.acquire(waiter("b-0"), shown).permit is None
    assert budget.acquire(waiter("b-0"), shown).reason == "fleet: 3 would be out, 2 may be"


def test_a_service_is_evicted_only_if_all_its_dependents_may_be_unavailable():
    _, observations = budget_and_fleet()
    observations |= {name: MemberObservation(incarnation(), 1.0) for name in ("store-1", "store-2")}
    groups = [
        BudgetGroup("fleet", frozenset(NAMES), max_unavailable=2),
        BudgetGroup("stores", frozenset({"store-1", "store-2"}), max_unavailable=1),
    ]
    budget = DisruptionBudget(
        groups, dependencies={"a-0": ["store-1"], "a-1": ["store-1"], "b-0": ["store-2"]}
    )
    assert budget.acquire(waiter("b-1"), observations).permit
    answer = budget.acquire(waiter("store-1"), observations)
    assert answer.permit is None
    assert answer.reason == "fleet: 3 would be out, 2 may be"
    assert (
        budget.acquire(waiter("store-2"), observations).permit is None
    )  # the first one's room is kept for it
    observations["b-1"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert budget.permit_of("store-1")
    assert budget.unavailable_members(observations)["a-1"] is UnavailabilityReason.BELOW
    assert (
        budget.acquire(waiter("a-2"), observations).reason == "fleet: 4 would be out, 2 may be"
    )  # store-2 waits for one
    for name in ("store-2", "a-2"):
        budget.cancel(name)
    # One that is out with its service already takes nothing more.
    assert budget.acquire(waiter("a-0"), observations).permit


def test_an_incremental_tally_agrees_with_a_full_count():
    def plain(budget, holder, before, observations):
        out = set(budget.unavailable_members(observations))
        for name in (*before, holder):
            out |= {name, *budget.index.dependents.get(name, ())}
        about = {group.name for one in (holder, *budget.index.dependents.get(holder, ()))
                 for group in budget.groups_of.get(one, ())}  # fmt: skip
        for group in budget.groups:
            gone = group.members & out
            room = sum(observations[name].capacity for name in group.members - gone if name in observations)
            if group.name in about and (len(gone) > group.disruptions_allowed or room < group.min_capacity):
                return False
        return True

    chance = random.Random(4)
    for _ in range(300):
        names = [f"m{n}" for n in range(12)] + ["s0", "s1"]
        groups = [
            BudgetGroup(
                f"g{n}", frozenset(chance.sample(names, chance.randrange(1, 10))), chance.randrange(6),
                min_capacity=chance.choice([0.0, 20.0, 40.0]),
            )
            for n in range(4)
        ]  # fmt: skip
        needs = {name: [chance.choice(["s0", "s1"])] for name in chance.sample(names[:12], 4)}
        budget = DisruptionBudget(groups, dependencies=needs)
        observations = {
            name: MemberObservation(
                incarnation(),
                10.0,
                chance.choice([None, None, None, UnavailabilityReason.SILENT, UnavailabilityReason.COLD]),
            )
            for name in names
        }
        some = chance.sample(names, 5)
        for place, name in enumerate(some):
            fits = not budget.tally(observations, some[:place]).blocking_reason(name)
            assert fits == plain(budget, name, some[:place], observations)


def test_the_next_leader_continues_with_the_stored_state():
    budget, observations = budget_and_fleet()
    budget.acquire(waiter("a-0"), observations)
    budget.acquire(waiter("a-1"), observations)
    budget.add_override("ann", "fire", 1, 100)
    later = DisruptionBudget(budget.groups)
    later.restore(budget.encode())
    assert later.state == budget.state
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    later.reconcile(observations)
    assert later.permit_of("a-1").number == 2


def test_revoked_unknown_and_ungrouped_members_hold_no_permit():
    budget, observations = budget_and_fleet()
    budget.acquire(waiter("a-0"), observations)
    budget.revoke("a-0", "ann")
    assert budget.permit_of("a-0") is None
    assert "struck" in budget.state.audit_log[-1]
    assert "no group" in budget.acquire(waiter("z-9"), observations).reason
    assert "not known" in budget.acquire(waiter("a-1", 7), observations).reason
    assert not budget.state.waiters


class DisruptionBudgetMachine(RuleBasedStateMachine):
    """Members request, leave, crash and return in any order, and leaders change."""

    def __init__(self):
        super().__init__()
        self.budget, self.observations = budget_and_fleet(site=2, whole=3, min_capacity=20.0)
        self.marks = dict.fromkeys(NAMES, 1)
        self.asked = {}
        self.steps = 0

    names = some.sampled_from(NAMES)

    @rule(name=names)
    def ask(self, name):
        answer = self.budget.acquire(waiter(name, self.marks[name]), self.observations)
        if answer.permit is not None:
            assert answer.permit.incarnation.nonce == self.marks[name]
            assert (
                self.budget.acquire(waiter(name, self.marks[name]), self.observations).permit == answer.permit
            )

    @rule(name=names)
    def ask_late(self, name):
        """A doubled or late message of an earlier life."""
        before = self.budget.encode()
        if self.budget.permit_of(name) is None:
            answer = self.budget.acquire(waiter(name, 0), self.observations)
            assert answer.permit is None
            assert self.budget.encode() == before

    @rule(name=names, why=some.sampled_from(list(UnavailabilityReason)[1:]))
    def go_out(self, name, why):
        self.observations[name] = MemberObservation(incarnation(self.marks[name]), 10.0, why)
        self.budget.reconcile(self.observations)

    @rule(name=names)
    def come_back(self, name):
        self.marks[name] += 1
        self.observations[name] = MemberObservation(incarnation(self.marks[name]), 10.0)
        self.budget.reconcile(self.observations)

    @rule()
    def new_leader(self):
        raw = self.budget.encode()
        self.budget = DisruptionBudget(self.budget.groups)
        self.budget.restore(raw)

    @precondition(lambda self: self.budget.state.waiters)
    @rule()
    def everybody_comes_back(self):
        """Nobody waits for ever: with all back in service, the first of those who wait is served."""
        first = self.budget.state.waiters[0].holder
        for name in NAMES:
            if name != first:
                self.come_back(name)
        still = self.budget.state.waiters
        assert not still or still[0].holder != first or self.observations[first].unavailability is not None

    @invariant()
    def planned_alone_never_pass_a_budget(self):
        """With or without what is out unplanned, a grant is made only where it fits."""
        for group in self.budget.groups:
            planned = [one.holder for one in self.budget.state.permits if one.holder in group.members]
            assert len(planned) <= group.disruptions_allowed

    @invariant()
    def one_permit_for_one_holder(self):
        holders = [one.holder for one in self.budget.state.permits]
        assert len(holders) == len(set(holders))
        assert not {one.holder for one in self.budget.state.waiters} & set(holders)


DisruptionBudgetMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestDisruptionBudgetMachine = DisruptionBudgetMachine.TestCase
