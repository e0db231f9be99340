"""An explorer of the vote, the fence and the leases: many short histories of messages, crashes and clocks.

Each history is drawn from a seed: messages are lost, doubled, late and out of order; planners stop, pause and
start again, with the disk as it was flushed, an older one or none; clocks start anywhere and go at slightly
different speeds. After each step it is checked, in true time, that

- no two planners hold the lease of leadership at once;
- no member goes back from a newer epoch to an older one, or obeys two planners in one epoch;
- what members may use of the vault adds up to no more than there is;
- what a majority kept is known to whoever leads later, where no more than one disk is lost or old at a time.

A found fault is named with its seed; the same seed finds it again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise

from ..cluster.durable_vote import DurableVote
from ..cluster.election import Election
from ..cluster.election_messages import (
    ReplicationRequest,
    ReplicationResponse,
    VoteRequest,
    VoteResponse,
)
from ..cluster.messages import Message, PlanAssignment, ReportReply
from ..cluster.plan_subscription import PlanSubscription
from ..cluster.quota_leases import QuotaLeases

SECOND = 10_000
CALL_LEASE_SPAN = 20_000  # of a share's lease
PLAN_VALIDITY_SPAN = 40_000
TOTAL_CALLS, UNLEASED_FRACTION = 12.0, 0.5
MAX_CLOCK_SKEW = 0.004  # clocks differ by less than this, either way


class GuaranteeViolationError(AssertionError):
    """What must not be: the text says what and where."""


@dataclass(eq=False)
class PlannerNode:
    """One planner, with its clock and its disk."""

    name: str
    clock_offset: int
    clock_rate: float
    election: Election
    flushed_vote: DurableVote
    older_vote: DurableVote
    is_up: bool = True
    paused_until: int = 0
    quota_leases: QuotaLeases | None = None
    leading_term: int = 0
    state_number: int = 0
    replicated_number: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)

    def local_time(self, true_time: int) -> int:
        return self.clock_offset + int(true_time * self.clock_rate)


@dataclass(eq=False)
class MemberNode:
    """One member: what it obeys and may use."""

    name: str
    clock_offset: int
    clock_rate: float
    plan_subscription: PlanSubscription
    base_calls: float
    accepted_plans: list[tuple[int, int]] = field(default_factory=list)
    paused_until: int = 0

    def local_time(self, true_time: int) -> int:
        return self.clock_offset + int(true_time * self.clock_rate)


class Explorer:
    """One history. `ballot` and `obedience` may be others, with a mistake in them, to show that it is
    found.
    """

    def __init__(
        self,
        seed: int,
        planner_count: int = 3,
        member_count: int = 3,
        election_class: type[Election] = Election,
        subscription_class: type[PlanSubscription] = PlanSubscription,
        skips_flush: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.seed, self.true_time, self.steps = seed, 0, 0
        self.election_class, self.skips_flush = election_class, skips_flush
        self.planner_names = [f"p{n}" for n in range(planner_count)]
        self.in_flight: list[tuple[int, Callable[[], None]]] = []
        self.serial = 0
        self.planners = {name: self.create_planner(name) for name in self.planner_names}
        base_calls_by_member = {f"m{n}": TOTAL_CALLS / member_count for n in range(member_count)}
        self.base_calls_by_member = base_calls_by_member
        self.members = {}
        for name, calls in base_calls_by_member.items():
            clock_offset = self.rng.randrange(1 << 30)
            plan_subscription = subscription_class(UNLEASED_FRACTION * calls, SECOND, clock_offset)
            self.members[name] = MemberNode(
                name, clock_offset, self.draw_clock_rate(), plan_subscription, calls
            )
        self.majority_state = (0, 0)  # the newest that a majority kept
        self.no_fault_until = 0
        self.leadership_count = 0
        self.max_calls = 0.0

    def draw_clock_rate(self) -> float:
        return 1 + self.rng.uniform(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW)

    def create_planner(self, name: str) -> PlannerNode:
        clock_offset, clock_rate = self.rng.randrange(1 << 30), self.draw_clock_rate()
        vote = DurableVote()
        election = self.create_election(name, vote, clock_offset + int(self.true_time * clock_rate))
        return PlannerNode(
            name, clock_offset, clock_rate, election, deepcopy(election.durable), deepcopy(election.durable)
        )

    def create_election(self, name: str, vote: DurableVote, now: int) -> Election:
        rng = random.Random(self.rng.getrandbits(64))
        return self.election_class(name, self.planner_names, vote, self.rng.getrandbits(48), now, rng)

    # ---- messages --------------------------------------------------------------------------------------

    def post_message(self, action: Callable[[], None]) -> None:
        """Lost, doubled, late or in time."""
        draw = self.rng.random()
        if draw < 0.12:
            return
        for _ in range(2 if draw > 0.92 else 1):
            delay_draw = self.rng.random()
            delay = self.rng.randrange(20, 400) if delay_draw < 0.85 else self.rng.randrange(400, 12_000)
            self.in_flight.append((self.true_time + delay, action))

    def send_to_planner(self, planner: PlannerNode, action: Callable[[], None]) -> None:
        """What reaches one that is paused waits for it; one that is down never hears it."""
        election = planner.election

        def deliver() -> None:
            if not planner.is_up or planner.election is not election:
                return
            if self.true_time < planner.paused_until:
                planner.inbox.append(deliver)
            else:
                action()

        self.post_message(deliver)

    def flush(self, planner: PlannerNode) -> None:
        if planner.election.needs_flush and not self.skips_flush:
            if self.rng.random() < 0.1:
                planner.older_vote = deepcopy(planner.flushed_vote)
            planner.flushed_vote = deepcopy(planner.election.durable)
        planner.election.needs_flush = False

    def broadcast(self, planner: PlannerNode, record: Message) -> None:
        sent_at = planner.local_time(self.true_time)
        for recipient in self.planners.values():
            if recipient is not planner:
                self.send_to_planner(
                    recipient, partial(self.handle_message, recipient, planner, record, sent_at)
                )

    def handle_message(
        self, planner: PlannerNode, sender: PlannerNode, record: Message, sent_at: int
    ) -> None:
        now = planner.local_time(self.true_time)
        if isinstance(record, VoteRequest):
            vote_response = planner.election.handle_vote_request(record, now)
            vote_response.observations = deepcopy(vote_response.observations)
            self.flush(planner)
            self.send_to_planner(
                sender, lambda: self.handle_vote_response(sender, vote_response, record.term, sent_at)
            )
        elif isinstance(record, ReplicationRequest):
            replication_response = planner.election.handle_replication_request(record, now)
            self.flush(planner)
            self.send_to_planner(
                sender, lambda: self.handle_replication_response(sender, replication_response, record)
            )

    def handle_vote_response(
        self, planner: PlannerNode, response: VoteResponse, term: int, sent_at: int
    ) -> None:
        planner.election.handle_vote_response(response, term, sent_at, planner.local_time(self.true_time))
        self.flush(planner)

    def handle_replication_response(
        self, planner: PlannerNode, response: ReplicationResponse, request: ReplicationRequest
    ) -> None:
        if request.term == planner.leading_term and planner.election.handle_replication_response(
            response, request.state_number
        ):
            planner.replicated_number = max(planner.replicated_number, request.state_number)
            self.majority_state = max(self.majority_state, (request.term, request.state_number))

    # ---- planners act ----------------------------------------------------------------------------------

    def run_planner(self, planner: PlannerNode) -> None:
        now = planner.local_time(self.true_time)
        vote_request = planner.election.next_vote_request(now)
        if vote_request is not None:
            vote_request.observations = deepcopy(vote_request.observations)
            own_vote = planner.election.handle_vote_request(vote_request, now)
            self.flush(planner)
            planner.election.handle_vote_response(own_vote, vote_request.term, now, now)
            self.broadcast(planner, vote_request)
        if not planner.election.is_leading(now):
            planner.leading_term = 0
            return
        if planner.leading_term != planner.election.term:
            planner.leading_term, planner.state_number, planner.replicated_number = (
                planner.election.term,
                1,
                0,
            )
            planner.quota_leases = QuotaLeases(
                self.base_calls_by_member, TOTAL_CALLS, UNLEASED_FRACTION, CALL_LEASE_SPAN, now
            )
            self.leadership_count += 1
            recovered_state = planner.election.newest_state[:2]
            if recovered_state < self.majority_state:
                raise GuaranteeViolationError(
                    f"{planner.name} leads with {recovered_state}, and a majority kept {self.majority_state}"
                )
        elif self.rng.random() < 0.02:
            planner.state_number += 1
        if planner.replicated_number < planner.state_number and self.rng.random() < 0.3:
            request = ReplicationRequest(
                term=planner.leading_term,
                state_number=planner.state_number,
                leader=planner.name,
                incarnation=planner.election.incarnation,
                state=b"%d" % planner.state_number,
            )
            own_response = planner.election.handle_replication_request(request, now)
            self.flush(planner)
            self.handle_replication_response(planner, own_response, request)
            self.broadcast(planner, request)

    # ---- members ---------------------------------------------------------------------------------------

    def send_report(self, member: MemberNode) -> None:
        planner = self.planners[self.rng.choice(self.planner_names)]
        sent_at = member.local_time(self.true_time)
        leased_calls = (
            max(
                0.0, member.plan_subscription.allowed_calls(sent_at) - member.plan_subscription.unleased_calls
            )
            if member.plan_subscription.lease_remaining(sent_at)
            else 0.0
        )
        wanted_calls = self.rng.choice((0.0, 0.5, 1.0, 2.0, 6.0))
        term = member.plan_subscription.term
        self.send_to_planner(
            planner, lambda: self.handle_report(planner, member, leased_calls, wanted_calls, term, sent_at)
        )

    def handle_report(
        self,
        planner: PlannerNode,
        member: MemberNode,
        leased_calls: float,
        wanted_calls: float,
        term: int,
        sent_at: int,
    ) -> None:
        now = planner.local_time(self.true_time)
        if term > planner.election.highest_term:
            planner.election.observe_term(term)
        if (
            not planner.election.is_leading(now)
            or planner.leading_term != planner.election.term
            or not planner.replicated_number
        ):
            return
        assert planner.quota_leases is not None
        call_limit = UNLEASED_FRACTION * member.base_calls + planner.quota_leases.grant(
            member.name, wanted_calls, leased_calls, now
        )
        assignment = PlanAssignment(
            term=planner.leading_term,
            number=planner.replicated_number,
            validity_span=PLAN_VALIDITY_SPAN,
            fade_span=SECOND,
            quotas={},
            evacuated_callers=[],
            evacuated_quota=0.0,
            shedding_order=[],
            serving_fraction=1.0,
            is_listed=True,
            is_capacity_short=False,
        )
        reply = ReportReply(
            term=planner.leading_term,
            planner=planner.election.incarnation,
            is_leading=True,
            assignment=assignment,
            call_limit=call_limit,
            lease_span=CALL_LEASE_SPAN,
        )
        self.post_message(lambda: self.handle_reply(member, reply, sent_at))

    def handle_reply(self, member: MemberNode, reply: ReportReply, sent_at: int) -> None:
        if self.true_time < member.paused_until:
            self.in_flight.append((member.paused_until, lambda: self.handle_reply(member, reply, sent_at)))
            return
        if member.plan_subscription.accept(reply, sent_at, member.local_time(self.true_time)):
            member.accepted_plans.append((reply.term, reply.planner.nonce))

    # ---- trouble ---------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        planner = self.planners[self.rng.choice(self.planner_names)]
        draw = self.rng.random()
        if not planner.is_up:
            if draw < 0.5:
                self.restart_planner(planner)
        elif draw < 0.35:
            planner.is_up = False
            planner.inbox.clear()
        elif draw < 0.7:
            planner.paused_until = self.true_time + self.rng.randrange(500, 40_000)
        else:
            member = self.members[self.rng.choice(list(self.members))]
            member.paused_until = self.true_time + self.rng.randrange(500, 60_000)

    def restart_planner(self, planner: PlannerNode) -> None:
        """With the disk as it was flushed; now and then an older one, or none, if the others' are whole."""
        draw = self.rng.random()
        others = [other for other in self.planners.values() if other is not planner]
        others_are_intact = all(
            other.is_up and not other.election.durable.is_blank and other.paused_until < self.true_time
            for other in others
        )
        if draw < 0.6 and others_are_intact:
            # One disk at a time: nothing else fails until it had the time to hear of it.
            planner.flushed_vote = DurableVote() if draw < 0.2 else deepcopy(planner.older_vote)
            self.no_fault_until = self.true_time + 4 * SECOND
        planner.is_up = True
        planner.election = self.create_election(
            planner.name, deepcopy(planner.flushed_vote), planner.local_time(self.true_time)
        )
        planner.leading_term = planner.replicated_number = 0
        planner.paused_until = 0
        self.flush(planner)

    # ---- one history -----------------------------------------------------------------------------------

    def run(self, steps: int) -> Explorer:
        for _ in range(steps):
            self.step()
        return self

    def step(self) -> None:
        self.steps += 1
        self.true_time += self.rng.randrange(10, 300)
        due = [entry for entry in self.in_flight if entry[0] <= self.true_time]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.true_time]
        self.rng.shuffle(due)
        for _, action in due:
            action()
        for planner in self.planners.values():
            if planner.is_up and self.true_time >= planner.paused_until:
                waiting, planner.inbox = planner.inbox, []
                for action in waiting:
                    action()
                self.run_planner(planner)
        for member in self.members.values():
            if self.true_time >= member.paused_until and self.rng.random() < 0.3:
                self.send_report(member)
        if self.true_time >= self.no_fault_until and self.rng.random() < 0.01:
            self.inject_fault()
        self.check_guarantees()

    def check_guarantees(self) -> None:
        leaders = [
            planner.name
            for planner in self.planners.values()
            if planner.is_up and planner.election.is_leading(planner.local_time(self.true_time))
        ]
        if len(leaders) > 1:
            raise GuaranteeViolationError(f"seed {self.seed}, step {self.steps}: {leaders} lead at once")
        allowed_calls = sum(
            member.plan_subscription.allowed_calls(member.local_time(self.true_time))
            for member in self.members.values()
        )
        self.max_calls = max(self.max_calls, allowed_calls)
        if allowed_calls > TOTAL_CALLS + 1e-6:
            raise GuaranteeViolationError(
                f"seed {self.seed}, step {self.steps}: "
                f"{allowed_calls:.2f} calls of {TOTAL_CALLS:g} may be in hand"
            )
        leader_by_term: dict[int, int] = {}
        for member in self.members.values():
            for (earlier, _), (later, _) in pairwise(member.accepted_plans):
                if later < earlier:
                    raise GuaranteeViolationError(
                        f"seed {self.seed}, step {self.steps}: "
                        f"{member.name} went from epoch {earlier} to {later}"
                    )
            for term, incarnation in member.accepted_plans:
                if leader_by_term.setdefault(term, incarnation) != incarnation:
                    raise GuaranteeViolationError(
                        f"seed {self.seed}, step {self.steps}: two are obeyed in epoch {term}"
                    )
            member.accepted_plans = member.accepted_plans[-2:]


def explore(seeds: range, steps: int, **explorer_options: object) -> dict[str, int]:
    """Histories one after the other; how many steps and reigns they had. Fault at the first that must not
    be.
    """
    totals = {"histories": 0, "steps": 0, "reigns": 0}
    for seed in seeds:
        explorer = Explorer(seed, **explorer_options).run(steps)  # type: ignore[arg-type]
        totals["histories"] += 1
        totals["steps"] += explorer.steps
        totals["reigns"] += explorer.leadership_count
    return totals
