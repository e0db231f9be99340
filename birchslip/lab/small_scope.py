"""Explores every history of eviction permits in a small scope.

The scope is three planners, three members and a budget of one.

The real `DisruptionBudget` decides. Around it all orders of events are tried, and each state is visited once:
permit requests, states that a planner stores or never receives, permits delivered late, twice or never,
members that go out, come back or crash, leaders that die, and planners that are elected by any majority.
After each event the explorer checks that no more members are out by a permit than the budget allows. A permit
that a second incarnation uses shows as one member too many.

`omitted_rule` disables one rule, to show that the violation is found: with `minority` a leader sends permits
that only one planner stores, with `no flush` a planner acknowledges a state that it does not store, and with
`no incarnation` a member uses a permit that was granted to its earlier incarnation.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from ..cluster.disruption_budget import DisruptionBudget
from ..cluster.disruption_types import (
    BudgetGroup,
    BudgetState,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
)
from ..cluster.messages import Incarnation

NAMES = ("m0", "m1", "m2")
GROUPS = [BudgetGroup("all", frozenset(NAMES), max_unavailable=1)]
EMPTY_BUDGET = msgspec.json.encode(BudgetState())


class BudgetViolationError(AssertionError):
    """A history exceeded the budget; the message lists the events that led there."""


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state of the budget that one planner has on its disk."""

    term: int = 0
    number: int = 0
    budget_state: bytes = EMPTY_BUDGET

    @property
    def state_version(self) -> tuple[int, int]:
        """Term and number: the greater one is the newer state."""
        return self.term, self.number


@dataclass(frozen=True, slots=True)
class MemberState:
    """One member.

    Attributes:
        incarnation: Its present incarnation, counted from 1.
        status: "in", "out", or "cold" from a start until it is warm.
        is_out_by_permit: Whether it went out by a permit and is not warm again.
    """

    incarnation: int = 1
    status: str = "in"
    is_out_by_permit: bool = False


@dataclass(frozen=True, slots=True)
class ScopeState:
    """One state of the whole scope.

    Attributes:
        disks: What each planner stores.
        leader: Index of the leading planner; -1 if none leads.
        term: Term of the newest election; 0 before the first.
        number: Number of the leader's state in that term.
        budget_state: The leader's encoded budget.
        replicated_to: Indexes of the planners that store the leader's state.
        sent_permits: Member and incarnation of each permit that was sent. A permit may arrive at any later
            time.
        elections: Number of elections so far.
    """

    disks: tuple[StoredState, ...] = (StoredState(), StoredState(), StoredState())
    members: tuple[MemberState, ...] = (MemberState(), MemberState(), MemberState())
    leader: int = -1
    term: int = 0
    number: int = 0
    budget_state: bytes = EMPTY_BUDGET
    replicated_to: frozenset[int] = frozenset()
    sent_permits: frozenset[tuple[int, int]] = frozenset()
    elections: int = 0


class ScopeExplorer:
    """Explores all histories with at most `max_elections` elections and `max_incarnations` of each member."""

    def __init__(
        self,
        omitted_rule: str = "",
        max_elections: int = 2,
        max_incarnations: tuple[int, int, int] = (1, 1, 1),
    ) -> None:
        """Set the bounds of the exploration and the rule to omit; an empty `omitted_rule` omits none."""
        self.omitted_rule, self.max_elections, self.max_incarnations = (
            omitted_rule,
            max_elections,
            max_incarnations,
        )

    # ---- budget ----------------------------------------------------------------------------------------

    @staticmethod
    def observations(state: ScopeState) -> dict[str, MemberObservation]:
        """Return what the leader observes of each member, by the member's name."""
        reasons = {"in": None, "out": UnavailabilityReason.SILENT, "cold": UnavailabilityReason.COLD}
        return {
            name: MemberObservation(Incarnation(nonce=member.incarnation), 1.0, reasons[member.status])
            for name, member in zip(NAMES, state.members, strict=True)
        }

    @staticmethod
    def restore_budget(budget_state: bytes) -> DisruptionBudget:
        """Create a budget from its encoded state."""
        budget = DisruptionBudget(GROUPS)
        budget.restore(budget_state)
        return budget

    def store_decision(self, state: ScopeState, budget: DisruptionBudget) -> ScopeState:
        """Return the state after the leader's decision.

        A changed budget is stored on the leader's own disk first, and on no other one yet.
        """
        budget.state.audit_log.clear()
        # Only the order of grants matters, so permits are numbered from 1 to keep the number of states small.
        for position, permit in enumerate(budget.state.permits, 1):
            permit.number = position
        budget.state.last_permit_number = len(budget.state.permits)
        budget_state = budget.encode()
        if budget_state == state.budget_state:
            return state
        number = state.number + 1
        disks = list(state.disks)
        disks[state.leader] = StoredState(state.term, number, budget_state)
        replicated_to = frozenset((state.leader,))
        return replace(
            state, budget_state=budget_state, number=number, disks=tuple(disks), replicated_to=replicated_to
        )

    # ---- events ----------------------------------------------------------------------------------------

    def next_states(self, state: ScopeState) -> Iterator[tuple[str, ScopeState]]:
        """Yield a description of each event that can happen next, with the state that follows."""
        if state.leader >= 0:
            yield from self.leader_events(state)
            yield "the leader dies", replace(state, leader=-1, replicated_to=frozenset())
        elif state.elections < self.max_elections:
            yield from self.election_events(state)
        for index, member in enumerate(state.members):
            yield from self.member_events(state, index, member)

    def leader_events(self, state: ScopeState) -> Iterator[tuple[str, ScopeState]]:
        """Yield the leader's events, each with the state that follows.

        They are permit requests, a check of the members ("a look"), the replication of the leader's state to
        one planner, and the sending of all granted permits ("tells").
        """
        observations = self.observations(state)
        for index, member in enumerate(state.members):
            if member.status == "in":
                budget = self.restore_budget(state.budget_state)
                budget.acquire(
                    EvictionWaiter(
                        holder=NAMES[index], incarnation=Incarnation(nonce=member.incarnation), reason=""
                    ),
                    observations,
                )
                yield f"{NAMES[index]} requests a permit", self.store_decision(state, budget)
        budget = self.restore_budget(state.budget_state)
        budget.reconcile(observations)
        yield "a look", self.store_decision(state, budget)
        for planner, disk in enumerate(state.disks):
            if planner in state.replicated_to or disk.term > state.term:
                continue
            disks = list(state.disks)
            if self.omitted_rule != "no flush":
                disks[planner] = StoredState(state.term, state.number, state.budget_state)
            yield (
                f"planner {planner} stores the state",
                replace(state, disks=tuple(disks), replicated_to=state.replicated_to | {planner}),
            )
        if len(state.replicated_to) >= (1 if self.omitted_rule == "minority" else 2):
            permits = {
                (NAMES.index(permit.holder), permit.incarnation.nonce)
                for permit in self.restore_budget(state.budget_state).state.permits
            }
            yield "tells", replace(state, sent_permits=state.sent_permits | permits)

    def election_events(self, state: ScopeState) -> Iterator[tuple[str, ScopeState]]:
        """Yield the election of any planner by any majority, each with the state that follows.

        The majority is the new leader and one other planner. The leader takes the newer state of their two
        disks, under a term of its own.
        """
        for planner in range(3):
            for voter in range(3):
                if voter == planner:
                    continue
                newest = max(
                    state.disks[planner], state.disks[voter], key=lambda stored: stored.state_version
                )
                term = state.term + 1
                disks = list(state.disks)
                disks[planner] = StoredState(term, 1, newest.budget_state)
                yield (
                    f"planner {planner} is elected by planner {voter}",
                    replace(
                        state,
                        disks=tuple(disks),
                        leader=planner,
                        term=term,
                        number=1,
                        budget_state=newest.budget_state,
                        replicated_to=frozenset((planner,)),
                        elections=state.elections + 1,
                    ),
                )

    def member_events(
        self, state: ScopeState, index: int, member: MemberState
    ) -> Iterator[tuple[str, ScopeState]]:
        """Yield a member's events, each with the state that follows: go out, crash, start or become warm."""

        def with_member(changed: MemberState) -> ScopeState:
            members = list(state.members)
            members[index] = changed
            return replace(state, members=tuple(members))

        if member.status == "in":
            permitted_incarnations = {
                incarnation for holder, incarnation in state.sent_permits if holder == index
            }
            if member.incarnation in permitted_incarnations or (
                self.omitted_rule == "no incarnation" and permitted_incarnations
            ):
                yield f"{NAMES[index]} goes out", with_member(MemberState(member.incarnation, "out", True))
            if member.incarnation < self.max_incarnations[index]:
                yield (
                    f"{NAMES[index]} crashes",
                    with_member(MemberState(member.incarnation + 1, "cold", False)),
                )
        elif member.status == "out" and member.incarnation < self.max_incarnations[index]:
            yield f"{NAMES[index]} starts", with_member(MemberState(member.incarnation + 1, "cold", True))
        elif member.status == "cold":
            yield f"{NAMES[index]} is warm", with_member(MemberState(member.incarnation, "in", False))

    # ---- exploration -----------------------------------------------------------------------------------

    def explore(self, max_states: int = 2_000_000) -> int:
        """Visit every state, breadth first, and return their number.

        Raises:
            BudgetViolationError: At the first violation, with the shortest sequence of events that leads to
                it.
            MemoryError: There are more than `max_states` states.
        """
        start = ScopeState()
        predecessors: dict[ScopeState, tuple[ScopeState, str] | None] = {start: None}
        queue = deque((start,))
        while queue:
            state = queue.popleft()
            for event, next_state in self.next_states(state):
                next_state = self.normalize(next_state)
                if next_state in predecessors:
                    continue
                predecessors[next_state] = (state, event)
                if len(predecessors) > max_states:
                    raise MemoryError(f"more than {max_states} states")
                violation = self.find_violation(next_state)
                if violation:
                    raise BudgetViolationError(
                        f"{violation}: {', '.join(self.event_path(predecessors, next_state))}"
                    )
                queue.append(next_state)
        return len(predecessors)

    @staticmethod
    def normalize(state: ScopeState) -> ScopeState:
        """Return the state with terms and numbers replaced by their ranks.

        States that differ only in the absolute values of terms and numbers become equal.
        """
        state_versions = sorted({disk.state_version for disk in state.disks} | {(state.term, state.number)})
        terms = sorted({term for term, _ in state_versions})
        ranks: dict[tuple[int, int], tuple[int, int]] = {}
        for term in terms:
            for rank, state_version in enumerate(
                [state_version for state_version in state_versions if state_version[0] == term]
            ):
                ranks[state_version] = (terms.index(term), rank)
        disks = tuple(StoredState(*ranks[disk.state_version], disk.budget_state) for disk in state.disks)
        term, number = ranks[state.term, state.number]
        return replace(state, disks=disks, term=term, number=number)

    @staticmethod
    def find_violation(state: ScopeState) -> str:
        """Return a description if more than one member is out by a permit, else an empty string."""
        out = [NAMES[index] for index, member in enumerate(state.members) if member.is_out_by_permit]
        return f"{' and '.join(out)} are out at once, but the budget allows one" if len(out) > 1 else ""

    @staticmethod
    def event_path(
        predecessors: dict[ScopeState, tuple[ScopeState, str] | None], state: ScopeState
    ) -> list[str]:
        """Return the events that lead from the start to a state.

        `predecessors` has, for each state, the one before it and the event between them; None for the start.
        """
        events = []
        predecessor = predecessors[state]
        while predecessor is not None:
            events.append(predecessor[1])
            predecessor = predecessors[predecessor[0]]
        return events[::-1]
