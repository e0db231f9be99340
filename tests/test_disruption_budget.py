"""The disruption budget: no grant exceeds a budget, one permit per incarnation, no waiter starves."""

import random

import pytest
from hypothesis import settings, strategies
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


def incarnation(nonce=1):
    return Incarnation(nonce=nonce)


def waiter(name, nonce=1):
    return EvictionWaiter(holder=name, incarnation=incarnation(nonce), reason="a release")


def budget_and_fleet(per_site=1, fleet=2, **fields):
    groups = [
        BudgetGroup("a", frozenset(NAMES[:3]), max_unavailable=per_site),
        BudgetGroup("b", frozenset(NAMES[3:]), max_unavailable=per_site),
        BudgetGroup("fleet", frozenset(NAMES), max_unavailable=fleet, **fields),
    ]
    return DisruptionBudget(groups), {name: MemberObservation(incarnation(), 10.0) for name in NAMES}


@pytest.mark.parametrize(
    ("number", "share", "allowed"),
    [(None, None, 10), (3, None, 3), (None, 0.25, 2), (3, 0.2, 2), (1, 0.9, 1)],
    ids=["no bound", "number", "share", "lower share", "lower number"],
)
def test_the_lower_of_both_bounds_is_allowed_to_be_unavailable(number, share, allowed):
    assert BudgetGroup("g", frozenset(map(str, range(10))), number, share).disruptions_allowed == allowed


def test_requesting_twice_returns_the_same_permit_and_another_incarnation_gets_none():
    budget, observations = budget_and_fleet()
    first = budget.acquire(waiter("a-0"), observations).permit
    assert first is not None
    assert budget.acquire(waiter("a-0"), observations).permit is first
    observations["a-0"] = MemberObservation(incarnation(2), 10.0, UnavailabilityReason.COLD)
    decision = budget.acquire(waiter("a-0", 2), observations)
    assert decision.permit is None
    assert "earlier incarnation" in decision.reason
    assert not budget.reconcile(observations)  # back, but still cold
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    assert budget.reconcile(observations)
    assert not budget.state.permits
    assert budget.acquire(waiter("a-0", 2), observations).permit is not None


@pytest.mark.parametrize("reason", list(UnavailabilityReason)[1:], ids=lambda reason: reason.value)
def test_unplanned_unavailability_counts_and_planned_eviction_waits(reason):
    budget, observations = budget_and_fleet()
    observations["a-1"] = MemberObservation(incarnation(), 10.0, reason)
    decision = budget.acquire(waiter("a-0"), observations)
    assert decision.permit is None
    assert decision.position == 1
    assert decision.reason == "a: 2 would be out, 1 may be"
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
    # The same incarnation responds again, and may still drain by its permit.
    observations["a-0"] = MemberObservation(incarnation(), 10.0)
    budget.reconcile(observations)
    assert budget.permit_of("a-0") is not None
    assert budget.release("a-0", incarnation(), observations)
    assert budget.permit_of("a-0") is None


def test_a_later_waiter_is_granted_first_only_where_it_delays_no_earlier_one():
    budget, observations = budget_and_fleet(per_site=1, fleet=2)
    assert budget.acquire(waiter("a-0"), observations).permit
    assert budget.acquire(waiter("a-1"), observations).position == 1  # its site's budget is used up
    decision = budget.acquire(waiter("b-0"), observations)
    assert decision.permit is None
    assert "fleet: 3 would be out" in decision.reason
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert budget.permit_of("a-1")
    assert budget.permit_of("b-0")


def test_the_minimum_capacity_stays_and_a_lowered_budget_grants_nothing():
    budget, observations = budget_and_fleet(min_capacity=45.0)
    assert budget.acquire(waiter("a-0"), observations).permit
    decision = budget.acquire(waiter("b-0"), observations)
    assert decision.reason == "fleet: 40 would stay in, 45 has to"
    budget.set_groups([*budget.groups[:2], BudgetGroup("fleet", frozenset(NAMES), max_unavailable=0)])
    budget.reconcile(observations)
    assert budget.permit_of("a-0")
    assert not budget.permit_of("b-0")
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert not budget.state.permits


def test_an_override_is_bounded_and_written_to_the_audit_log():
    budget, observations = budget_and_fleet(per_site=0, fleet=0)
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
    dependencies = {"a-1": ["vault-1"], "b-1": ["vault-2"]}
    observations |= {
        "vault-1": MemberObservation(incarnation(), 1.0, UnavailabilityReason.SILENT),
        "vault-2": MemberObservation(incarnation(), 1.0),
    }
    effective = with_dependents(observations, dependencies)
    assert effective["a-1"].unavailability is UnavailabilityReason.DOWNSTREAM
    assert effective["b-1"].unavailability is None
    assert budget.acquire(waiter("a-0"), effective).permit is None
    assert budget.acquire(waiter("b-0"), effective).permit is None
    assert budget.acquire(waiter("b-0"), effective).reason == "fleet: 3 would be out, 2 may be"


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
    decision = budget.acquire(waiter("store-1"), observations)
    assert decision.permit is None
    assert decision.reason == "fleet: 3 would be out, 2 may be"
    # A place is reserved for store-1, which waits ahead.
    assert budget.acquire(waiter("store-2"), observations).permit is None
    observations["b-1"] = MemberObservation(incarnation(2), 10.0)
    budget.reconcile(observations)
    assert budget.permit_of("store-1")
    assert budget.unavailable_members(observations)["a-1"] is UnavailabilityReason.DOWNSTREAM
    # A place is reserved for the dependent of store-2.
    assert budget.acquire(waiter("a-2"), observations).reason == "fleet: 4 would be out, 2 may be"
    for name in ("store-2", "a-2"):
        budget.cancel(name)
    # A member that is already unavailable with its service takes no further place.
    assert budget.acquire(waiter("a-0"), observations).permit


def test_an_incremental_tally_agrees_with_a_full_count():
    def fits_by_full_count(budget, holder, ahead, observations):
        unavailable = set(budget.unavailable_members(observations))
        for name in (*ahead, holder):
            unavailable |= {name, *budget.index.dependents.get(name, ())}
        affected_groups = {
            group.name
            for member in (holder, *budget.index.dependents.get(holder, ()))
            for group in budget.groups_of.get(member, ())
        }
        for group in budget.groups:
            unavailable_in_group = group.members & unavailable
            remaining_capacity = sum(
                observations[name].capacity
                for name in group.members - unavailable_in_group
                if name in observations
            )
            if group.name in affected_groups and (
                len(unavailable_in_group) > group.disruptions_allowed
                or remaining_capacity < group.min_capacity
            ):
                return False
        return True

    rng = random.Random(4)
    for _ in range(300):
        names = [f"m{n}" for n in range(12)] + ["s0", "s1"]
        groups = [
            BudgetGroup(
                f"g{n}", frozenset(rng.sample(names, rng.randrange(1, 10))), rng.randrange(6),
                min_capacity=rng.choice([0.0, 20.0, 40.0]),
            )
            for n in range(4)
        ]  # fmt: skip
        dependencies = {name: [rng.choice(["s0", "s1"])] for name in rng.sample(names[:12], 4)}
        budget = DisruptionBudget(groups, dependencies=dependencies)
        observations = {
            name: MemberObservation(
                incarnation(),
                10.0,
                rng.choice([None, None, None, UnavailabilityReason.SILENT, UnavailabilityReason.COLD]),
            )
            for name in names
        }
        holders = rng.sample(names, 5)
        for position, name in enumerate(holders):
            is_granted = not budget.tally(observations, holders[:position]).blocking_reason(name)
            assert is_granted == fits_by_full_count(budget, name, holders[:position], observations)


def test_the_next_leader_continues_with_the_stored_state():
    budget, observations = budget_and_fleet()
    budget.acquire(waiter("a-0"), observations)
    budget.acquire(waiter("a-1"), observations)
    budget.add_override("ann", "fire", 1, 100)
    restored = DisruptionBudget(budget.groups)
    restored.restore(budget.encode())
    assert restored.state == budget.state
    observations["a-0"] = MemberObservation(incarnation(2), 10.0)
    restored.reconcile(observations)
    assert restored.permit_of("a-1").number == 2


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
        self.budget, self.observations = budget_and_fleet(per_site=2, fleet=3, min_capacity=20.0)
        self.nonces = dict.fromkeys(NAMES, 1)
        self.asked = {}
        self.steps = 0

    names = strategies.sampled_from(NAMES)

    @rule(name=names)
    def acquire(self, name):
        decision = self.budget.acquire(waiter(name, self.nonces[name]), self.observations)
        if decision.permit is not None:
            assert decision.permit.incarnation.nonce == self.nonces[name]
            assert (
                self.budget.acquire(waiter(name, self.nonces[name]), self.observations).permit
                == decision.permit
            )

    @rule(name=names)
    def acquire_for_earlier_incarnation(self, name):
        """Send a duplicate or late request of an earlier incarnation, which changes nothing."""
        before = self.budget.encode()
        if self.budget.permit_of(name) is None:
            decision = self.budget.acquire(waiter(name, 0), self.observations)
            assert decision.permit is None
            assert self.budget.encode() == before

    @rule(name=names, reason=strategies.sampled_from(list(UnavailabilityReason)[1:]))
    def become_unavailable(self, name, reason):
        self.observations[name] = MemberObservation(incarnation(self.nonces[name]), 10.0, reason)
        self.budget.reconcile(self.observations)

    @rule(name=names)
    def return_to_service(self, name):
        self.nonces[name] += 1
        self.observations[name] = MemberObservation(incarnation(self.nonces[name]), 10.0)
        self.budget.reconcile(self.observations)

    @rule()
    def change_leader(self):
        raw = self.budget.encode()
        self.budget = DisruptionBudget(self.budget.groups)
        self.budget.restore(raw)

    @precondition(lambda self: self.budget.state.waiters)
    @rule()
    def all_other_members_return(self):
        """Guards against starvation: with all other members in service, the first waiter is granted."""
        first = self.budget.state.waiters[0].holder
        for name in NAMES:
            if name != first:
                self.return_to_service(name)
        waiters = self.budget.state.waiters
        assert (
            not waiters or waiters[0].holder != first or self.observations[first].unavailability is not None
        )

    @invariant()
    def permits_stay_within_every_budget(self):
        """Check that permits alone never exceed a budget, whatever else is unavailable."""
        for group in self.budget.groups:
            planned = [
                permit.holder for permit in self.budget.state.permits if permit.holder in group.members
            ]
            assert len(planned) <= group.disruptions_allowed

    @invariant()
    def each_holder_has_one_permit_or_waits(self):
        holders = [permit.holder for permit in self.budget.state.permits]
        assert len(holders) == len(set(holders))
        assert not {waiting.holder for waiting in self.budget.state.waiters} & set(holders)


DisruptionBudgetMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestDisruptionBudgetMachine = DisruptionBudgetMachine.TestCase
