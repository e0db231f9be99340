"""A member's view of the plan: which planner's replies are binding, and until when.

Decides only what is in force; `planner_link.py` applies it. A reply is binding only if its term is the
highest received so far and, within a term, if it comes from the first planner that used the term. Spans are
counted from when the member sent the report that is replied to, on a monotonic clock, so that a reply that
was delayed on the network or by a paused leader has expired when it arrives.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..admission.types import PlanOverride, SheddingTier, Tenant
from .messages import Incarnation, PlanAssignment, ReportReply


def plan_override(assignment: PlanAssignment, tenants: Mapping[str, Tenant], expires_at: int) -> PlanOverride:
    """Convert an assignment for the admission controller; leave out tenants and tiers unknown here."""
    known_tiers = {tier.value: tier for tier in SheddingTier}
    return PlanOverride(
        term=assignment.term,
        number=assignment.number,
        expires_at=expires_at,
        fade_span=max(1, assignment.fade_span),
        quotas={tenants[name]: rate for name, rate in assignment.quotas.items() if name in tenants},
        evacuated_callers=frozenset(assignment.evacuated_callers),
        evacuated_quota=assignment.evacuated_quota,
        shedding_order=tuple(known_tiers[tier] for tier in assignment.shedding_order if tier in known_tiers),
        serving_fraction=assignment.serving_fraction,
        is_capacity_short=assignment.is_capacity_short,
    )


class PlanSubscription:
    """One member's latest assignment and quota lease, and whether they are still in force.

    All times are of the member's monotonic clock, in units of 0.1 ms.

    Attributes:
        unleased_calls: Downstream calls that may run without a lease.
        listed_after: When the member is listed if no planner has replied until then.
        term: Highest term of the accepted replies.
        leader: The run of the planner that first used this term.
        assignment: The latest assignment, expired or not.
        assignment_expires_at: When the assignment's effect begins to fade.
        plan_number: Number of the assignment's plan.
        call_limit: Downstream calls that may run at once under the lease.
        lease_expires_at: When the lease ends.
        assigned_listing: Whether routers may find the member, by the leader's last reply; None before.
        report_interval: Span between two reports by the leader's last reply; 0 before.
        rejected_replies: Number of replies rejected as those of an outdated leader.
    """

    def __init__(self, unleased_calls: float, listing_delay: int, now: int) -> None:
        """Create a subscription without an assignment.

        Args:
            unleased_calls: Downstream calls that may run without a lease.
            listing_delay: How long a starting member waits for a reply before it is listed.
            now: The current time.
        """
        self.unleased_calls = unleased_calls
        self.listed_after = now + listing_delay
        self.term = 0
        self.leader = Incarnation()
        self.assignment: PlanAssignment | None = None
        self.assignment_expires_at = 0
        self.plan_number = 0
        self.call_limit = unleased_calls
        self.lease_expires_at = 0
        self.assigned_listing: bool | None = None
        self.report_interval = 0
        self.rejected_replies = 0

    def accept(self, reply: ReportReply, sent: int, now: int) -> bool:
        """Process a reply of a planner.

        Args:
            reply: The reply.
            sent: When the report was sent that the reply answers.
            now: The current time.

        Returns:
            Whether the reply is binding.
        """
        if not reply.is_leading:
            return False
        if self.is_outdated(reply):
            self.rejected_replies += 1
            return False
        if reply.term > self.term:
            self.term = reply.term
            self.leader = reply.planner
            self.plan_number = 0
        self.report_interval = reply.report_interval
        if reply.assignment is None:
            self.assigned_listing = True
        else:
            self.accept_assignment(reply.assignment, sent, now)
        lease_expires_at = sent + reply.lease_span
        if reply.lease_span and lease_expires_at > max(now, self.lease_expires_at):
            self.call_limit = max(self.unleased_calls, reply.call_limit)
            self.lease_expires_at = lease_expires_at
        return True

    def is_outdated(self, reply: ReportReply) -> bool:
        """Return whether a reply is from an earlier leader, or from a second one in the same term."""
        if reply.term == self.term:
            return reply.planner != self.leader
        return reply.term < self.term

    def accept_assignment(self, assignment: PlanAssignment, sent: int, now: int) -> None:
        """Put an assignment in force unless it has expired or its plan is older than the one in force."""
        expires_at = sent + assignment.validity_span
        if assignment.term != self.term or assignment.number < self.plan_number or expires_at <= now:
            return
        if assignment.number > self.plan_number or expires_at > self.assignment_expires_at:
            self.assignment_expires_at = expires_at
        self.assignment = assignment
        self.plan_number = assignment.number
        self.assigned_listing = assignment.is_listed

    def allowed_calls(self, now: int) -> float:
        """Return the number of downstream calls that may run at this moment."""
        return self.call_limit if now < self.lease_expires_at else self.unleased_calls

    def lease_remaining(self, now: int) -> int:
        """Return the time left until the lease ends; 0 after that."""
        return max(0, self.lease_expires_at - now)

    def assignment_remaining(self, now: int) -> int:
        """Return the time left until the assignment's effect begins to fade; 0 after that."""
        return max(0, self.assignment_expires_at - now)

    def is_listed(self, now: int) -> bool:
        """Return whether routers may find the member.

        This is as assigned, but always True once the assignment has faded. Before the first reply, it is True
        from `listed_after` on.
        """
        if self.assigned_listing is None:
            return now >= self.listed_after
        if self.assignment is not None and not self.assigned_listing:
            return now >= self.assignment_expires_at + self.assignment.fade_span
        return self.assigned_listing
