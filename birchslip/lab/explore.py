"""Explores elections, fencing and leases in many short random histories of messages, crashes and clocks.

Each history is drawn from a seed. Messages are lost, duplicated, delayed and reordered. Planners stop, pause
and restart with the disk as last flushed, an older disk or an empty one. Clocks start at any value and run at
slightly different rates. After each step the explorer checks, in true time, that

- no two planners hold the leadership lease at once;
- no member goes back from a newer epoch to an older one, or accepts plans of two planners in one epoch;
- the downstream calls allowed to all members do not exceed the total;
- a state that a majority stored is known to every later leader, if at most one disk is lost or old at a time.

The same seed gives the same history, so a violation can be reproduced. Times are in tenths of a millisecond.
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
QUOTA_LEASE_SPAN = 20_000
PLAN_VALIDITY_SPAN = 40_000
# Concurrent downstream calls of all members, and the share of its base quota that a member may use unleased.
TOTAL_CALLS, RESERVED_FRACTION = 12.0, 0.5
MAX_CLOCK_SKEW = 0.004  # a clock runs faster or slower than true time by at most this fraction
QUOTA_ROUNDING = 1e-6  # calls by which the sum may exceed the total through rounding
# Thresholds of a draw between 0 and 1 for each message, and for the delay of each copy of it.
LOST_BELOW, DUPLICATED_ABOVE, ON_TIME_BELOW = 0.12, 0.92, 0.85
# For each step of a leader, a leader with a state to replicate, and a member.
STATE_CHANGE_PROBABILITY, REPLICATION_PROBABILITY, REPORT_PROBABILITY = 0.02, 0.3, 0.3
# For each step of a history, and for each flush.
FAULT_PROBABILITY, OLD_COPY_PROBABILITY = 0.01, 0.1
# Thresholds of the draw for each fault: the first for a stopped planner, the others for a running one. Above
# the last a member pauses.
RESTART_BELOW, STOP_BELOW, PAUSE_BELOW = 0.5, 0.35, 0.7
# Thresholds of the draw for each restart; above the last the disk is as last flushed.
EMPTY_DISK_BELOW, OLD_DISK_BELOW = 0.2, 0.6


class GuaranteeViolationError(AssertionError):
    """A history violated a guarantee; the message describes what was observed."""


@dataclass(eq=False)
class PlannerNode:
    """One planner with its clock and its disk.

    Attributes:
        clock_offset: What its clock shows at the true time 0.
        clock_rate: How much its clock advances in one unit of true time.
        election: Election of its present run; a restart creates another.
        flushed_vote: What the disk holds since the last flush.
        older_vote: An earlier content of the disk, for a restart with an old disk.
        paused_until: True time until which it handles nothing.
        quota_leases: Leases of the term in which it leads.
        leading_term: Term in which it leads; 0 while it does not lead.
        state_number: Number of its newest state in that term.
        replicated_number: Number of the newest state that a majority stored.
        inbox: Messages that arrived while it was paused.
    """

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
        """Return what this planner's clock shows at the true time."""
        return self.clock_offset + int(true_time * self.clock_rate)


@dataclass(eq=False)
class MemberNode:
    """One member with its clock, the plans that it accepts and its quota of concurrent calls.

    Attributes:
        clock_offset: What its clock shows at the true time 0.
        clock_rate: How much its clock advances in one unit of true time.
        base_quota: Its part of the total number of calls.
        accepted_plans: Term and leader's nonce of each accepted reply; the last two are kept.
        paused_until: True time until which it handles nothing.
    """

    name: str
    clock_offset: int
    clock_rate: float
    plan_subscription: PlanSubscription
    base_quota: float
    accepted_plans: list[tuple[int, int]] = field(default_factory=list)
    paused_until: int = 0

    def local_time(self, true_time: int) -> int:
        """Return what this member's clock shows at the true time."""
        return self.clock_offset + int(true_time * self.clock_rate)


class Explorer:
    """One history of planners and members.

    `election_class` and `subscription_class` may be subclasses with a defect, and `skips_flush` omits all
    flushes, to show that the checks find the violation.

    Attributes:
        in_flight: Delivery time and action of each message under way.
        majority_state: Term and number of the newest state that a majority stored.
        no_fault_until: True time until which no fault is injected.
        leadership_count: How often a planner began to lead.
        max_calls: The most calls that were allowed to all members at once.
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
        """Create planners and members whose clocks are drawn from `seed`; later draws follow from it too."""
        self.rng = random.Random(seed)
        self.seed, self.true_time, self.steps = seed, 0, 0
        self.election_class, self.skips_flush = election_class, skips_flush
        self.planner_names = [f"p{n}" for n in range(planner_count)]
        self.in_flight: list[tuple[int, Callable[[], None]]] = []
        self.serial = 0
        self.planners = {name: self.create_planner(name) for name in self.planner_names}
        base_quotas = {f"m{n}": TOTAL_CALLS / member_count for n in range(member_count)}
        self.base_quotas = base_quotas
        self.members = {}
        for name, base_quota in base_quotas.items():
            clock_offset = self.rng.randrange(1 << 30)
            plan_subscription = subscription_class(RESERVED_FRACTION * base_quota, SECOND, clock_offset)
            self.members[name] = MemberNode(
                name, clock_offset, self.draw_clock_rate(), plan_subscription, base_quota
            )
        self.majority_state = (0, 0)
        self.no_fault_until = 0
        self.leadership_count = 0
        self.max_calls = 0.0

    def draw_clock_rate(self) -> float:
        """Draw how much a clock advances in one unit of true time."""
        return 1 + self.rng.uniform(-MAX_CLOCK_SKEW, MAX_CLOCK_SKEW)

    def create_planner(self, name: str) -> PlannerNode:
        """Create a planner with an empty disk and a clock of its own."""
        clock_offset, clock_rate = self.rng.randrange(1 << 30), self.draw_clock_rate()
        vote = DurableVote()
        election = self.create_election(name, vote, clock_offset + int(self.true_time * clock_rate))
        return PlannerNode(
            name, clock_offset, clock_rate, election, deepcopy(election.durable), deepcopy(election.durable)
        )

    def create_election(self, name: str, vote: DurableVote, now: int) -> Election:
        """Create the election of a planner that starts at its time `now` with `vote` on its disk."""
        rng = random.Random(self.rng.getrandbits(64))
        return self.election_class(name, self.planner_names, vote, self.rng.getrandbits(48), now, rng)

    # ---- messages --------------------------------------------------------------------------------------

    def post_message(self, action: Callable[[], None]) -> None:
        """Schedule the delivery of a message, which may be lost or duplicated.

        Each copy takes 2 to 40 ms if it is on time, and 40 ms to 1.2 s otherwise.
        """
        draw = self.rng.random()
        if draw < LOST_BELOW:
            return
        for _ in range(2 if draw > DUPLICATED_ABOVE else 1):
            delay_draw = self.rng.random()
            delay = (
                self.rng.randrange(20, 400) if delay_draw < ON_TIME_BELOW else self.rng.randrange(400, 12_000)
            )
            self.in_flight.append((self.true_time + delay, action))

    def send_to_planner(self, planner: PlannerNode, action: Callable[[], None]) -> None:
        """Send a message to a planner, whose `action` is its handling.

        A paused planner handles the message when it resumes. A planner that is down, or that restarted since
        the message was sent, never receives it.
        """
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
        """Write the planner's vote to its disk if needed, and sometimes keep the earlier content."""
        if planner.election.needs_flush and not self.skips_flush:
            if self.rng.random() < OLD_COPY_PROBABILITY:
                planner.older_vote = deepcopy(planner.flushed_vote)
            planner.flushed_vote = deepcopy(planner.election.durable)
        planner.election.needs_flush = False

    def broadcast(self, planner: PlannerNode, record: Message) -> None:
        """Send a message to all other planners."""
        sent_at = planner.local_time(self.true_time)
        for recipient in self.planners.values():
            if recipient is not planner:
                self.send_to_planner(
                    recipient, partial(self.handle_message, recipient, planner, record, sent_at)
                )

    def handle_message(
        self, planner: PlannerNode, sender: PlannerNode, record: Message, sent_at: int
    ) -> None:
        """Handle a vote or replication request and send the response after a flush.

        `sent_at` is when the request was sent, by the sender's clock.
        """
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
        """Handle the response to a vote request that the planner sent at its time `sent_at`."""
        planner.election.handle_vote_response(response, term, sent_at, planner.local_time(self.true_time))
        self.flush(planner)

    def handle_replication_response(
        self, planner: PlannerNode, response: ReplicationResponse, request: ReplicationRequest
    ) -> None:
        """Handle a replication response and record the state if a majority has stored it."""
        if request.term == planner.leading_term and planner.election.handle_replication_response(
            response, request.state_number
        ):
            planner.replicated_number = max(planner.replicated_number, request.state_number)
            self.majority_state = max(self.majority_state, (request.term, request.state_number))

    # ---- planners --------------------------------------------------------------------------------------

    def run_planner(self, planner: PlannerNode) -> None:
        """Let a planner ask for votes and, if it leads, change and replicate its state.

        Raises:
            GuaranteeViolationError: A new leader does not know a state that a majority stored.
        """
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
                self.base_quotas, TOTAL_CALLS, RESERVED_FRACTION, QUOTA_LEASE_SPAN, now
            )
            self.leadership_count += 1
            recovered_state = planner.election.newest_state[:2]
            if recovered_state < self.majority_state:
                raise GuaranteeViolationError(
                    f"{planner.name} leads with state {recovered_state}, "
                    f"but a majority kept {self.majority_state}"
                )
        elif self.rng.random() < STATE_CHANGE_PROBABILITY:
            planner.state_number += 1
        if planner.replicated_number < planner.state_number and self.rng.random() < REPLICATION_PROBABILITY:
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
        """Send a member's report to a random planner, with the calls that it has leased and wants."""
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
        """Answer a report with a plan and a quota lease.

        The planner answers only if it leads and a majority stored a state of its term. It takes note of a
        higher term of the member in any case.

        Args:
            planner: Planner that received the report.
            member: Member that sent it.
            leased_calls: Concurrent calls that the member has leased.
            wanted_calls: Concurrent calls that it wants to lease.
            term: Term of the newest plan that it accepted.
            sent_at: When it sent the report, by its clock.
        """
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
        call_limit = RESERVED_FRACTION * member.base_quota + planner.quota_leases.grant(
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
            lease_span=QUOTA_LEASE_SPAN,
        )
        self.post_message(lambda: self.handle_reply(member, reply, sent_at))

    def handle_reply(self, member: MemberNode, reply: ReportReply, sent_at: int) -> None:
        """Apply a reply to the report sent at `sent_at`; a paused member applies it when it resumes."""
        if self.true_time < member.paused_until:
            self.in_flight.append((member.paused_until, lambda: self.handle_reply(member, reply, sent_at)))
            return
        if member.plan_subscription.accept(reply, sent_at, member.local_time(self.true_time)):
            member.accepted_plans.append((reply.term, reply.planner.nonce))

    # ---- faults ----------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Restart a stopped planner or leave it stopped, stop or pause a running one, or pause a member.

        A planner pauses for 50 ms to 4 s, a member for 50 ms to 6 s.
        """
        planner = self.planners[self.rng.choice(self.planner_names)]
        draw = self.rng.random()
        if not planner.is_up:
            if draw < RESTART_BELOW:
                self.restart_planner(planner)
        elif draw < STOP_BELOW:
            planner.is_up = False
            planner.inbox.clear()
        elif draw < PAUSE_BELOW:
            planner.paused_until = self.true_time + self.rng.randrange(500, 40_000)
        else:
            member = self.members[self.rng.choice(list(self.members))]
            member.paused_until = self.true_time + self.rng.randrange(500, 60_000)

    def restart_planner(self, planner: PlannerNode) -> None:
        """Restart a planner with its flushed disk, or sometimes with an older or empty one.

        The disk is older or empty only while all other planners run unpaused, and none of their disks is
        blank.
        """
        draw = self.rng.random()
        others = [other for other in self.planners.values() if other is not planner]
        others_are_intact = all(
            other.is_up and not other.election.durable.is_blank and other.paused_until < self.true_time
            for other in others
        )
        if draw < OLD_DISK_BELOW and others_are_intact:
            # At most one disk is lost or old at a time: no other fault is injected until this planner has had
            # the time to learn the newest state.
            planner.flushed_vote = DurableVote() if draw < EMPTY_DISK_BELOW else deepcopy(planner.older_vote)
            self.no_fault_until = self.true_time + 4 * SECOND
        planner.is_up = True
        planner.election = self.create_election(
            planner.name, deepcopy(planner.flushed_vote), planner.local_time(self.true_time)
        )
        planner.leading_term = planner.replicated_number = 0
        planner.paused_until = 0
        self.flush(planner)

    # ---- history ---------------------------------------------------------------------------------------

    def run(self, steps: int) -> Explorer:
        """Run `steps` steps and return this explorer."""
        for _ in range(steps):
            self.step()
        return self

    def step(self) -> None:
        """Advance true time by 1 to 30 ms, run everything that is due, and check the guarantees.

        Due are messages, in random order, the planners that are up and not paused, and in some steps a
        member's report or a fault.
        """
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
            if self.true_time >= member.paused_until and self.rng.random() < REPORT_PROBABILITY:
                self.send_report(member)
        if self.true_time >= self.no_fault_until and self.rng.random() < FAULT_PROBABILITY:
            self.inject_fault()
        self.check_guarantees()

    def check_guarantees(self) -> None:
        """Check that at most one planner leads, and check the allowed calls and the epochs of the members.

        Raises:
            GuaranteeViolationError: A guarantee is violated; the message names the seed and the step.
        """
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
        if allowed_calls > TOTAL_CALLS + QUOTA_ROUNDING:
            raise GuaranteeViolationError(
                f"seed {self.seed}, step {self.steps}: "
                f"{allowed_calls:.2f} calls of {TOTAL_CALLS:g} are allowed to the members"
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
                        f"seed {self.seed}, step {self.steps}: "
                        f"plans of two planners were accepted in epoch {term}"
                    )
            member.accepted_plans = member.accepted_plans[-2:]


def explore(seeds: range, steps: int, **explorer_options: object) -> dict[str, int]:
    """Run one history for each seed and return the numbers of histories, steps and leaderships.

    Args:
        seeds: Seeds of the histories.
        steps: Steps of each history.
        explorer_options: Further arguments of `Explorer`.

    Raises:
        GuaranteeViolationError: At the first violation.
    """
    totals = {"histories": 0, "steps": 0, "reigns": 0}
    for seed in seeds:
        explorer = Explorer(seed, **explorer_options).run(steps)  # type: ignore[arg-type]
        totals["histories"] += 1
        totals["steps"] += explorer.steps
        totals["reigns"] += explorer.leadership_count
    return totals
