"""A member's view of the plan: which planner's replies are binding, and until when.

Decides only what is in force; `planner_link.py` carries it out. A reply is binding only if its term is the
highest heard of and, within a term, if it comes from the one planner that used it first. Spans are counted
from when the member sent the report that is replied to, on a monotonic clock: a reply that was long on its
way, or was written by a leader that was paused in between, has expired when it arrives.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..admission.types import PlanOverride, SheddingTier, Tenant
from .messages import Incarnation, PlanAssignment, ReportReply


def plan_override(assignment: PlanAssignment, tenants: Mapping[str, Tenant], expires_at: int) -> PlanOverride:
    """Translates an assignment for the admission controller; tenants and tiers unknown here are left out."""
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
    """What one member has been assigned, and what of it is still in force.

    All times are of the member's monotonic clock, in units of 0.1 ms.

    Attributes:
        unleased_calls: Downstream calls that may run without a lease.
        listed_after: From when it is listed if no planner has replied.
        term: Highest term that it has accepted a reply of.
        leader: The run of the planner that used this term.
        assignment: The assignment in force, expired or not.
        assignment_expires_at: Until when it is in force at full strength.
        plan_number: Number of its plan.
        call_limit: Downstream calls that may run at once under the lease.
        lease_expires_at: When the lease ends.
        assigned_listing: Whether routers may find the member, by the leader's last reply.
        report_interval: Span between two reports, by the leader's last reply; 0 before.
        rejected_replies: Number of replies of outdated leaders.
    """

    def __init__(self, unleased_calls: float, listing_delay: int, now: int) -> None:
        """Begins without an assignment.

        Args:
            unleased_calls: Downstream calls that may run without a lease.
            listing_delay: How long a starting member waits for a reply before it is listed.
            now: The present time.
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
        """Takes in a reply to a report sent at a time; returns whether it is binding."""
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
        """Whether a reply is of an earlier leader, or of a second one in the same term."""
        if reply.term == self.term:
            return reply.planner != self.leader
        return reply.term < self.term

    def accept_assignment(self, assignment: PlanAssignment, sent: int, now: int) -> None:
        """Takes over an assignment, unless it has expired or is of an older plan than the one in force."""
        expires_at = sent + assignment.validity_span
        if assignment.term != self.term or assignment.number < self.plan_number or expires_at <= now:
            return
        if assignment.number > self.plan_number or expires_at > self.assignment_expires_at:
            self.assignment_expires_at = expires_at
        self.assignment = assignment
        self.plan_number = assignment.number
        self.assigned_listing = assignment.is_listed

    def allowed_calls(self, now: int) -> float:
        """Downstream calls that may run at this moment."""
        return self.call_limit if now < self.lease_expires_at else self.unleased_calls

    def lease_remaining(self, now: int) -> int:
        """Time left of the lease."""
        return max(0, self.lease_expires_at - now)

    def assignment_remaining(self, now: int) -> int:
        """How long the assignment is still in force at full strength."""
        return max(0, self.assignment_expires_at - now)

    def is_listed(self, now: int) -> bool:
        """Whether routers may find the member: as assigned, and as without planners once that has faded."""
        if self.assigned_listing is None:
            return now >= self.listed_after
        if self.assignment is not None and not self.assigned_listing:
            return now >= self.assignment_expires_at + self.assignment.fade_span
        return self.assigned_listing
