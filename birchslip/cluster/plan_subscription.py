"""A member's side: which planner's word holds, until when, and what is left when none is heard.

A word holds only from the highest epoch heard, and within an epoch from the one planner that used it. Spans
count from when the member sent what the word answers, on a clock that does not jump: a word that was long
on its way, or written by a leader that was paused meanwhile, is over by the time it comes.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..admission.types import PlanOverride, SheddingTier, Tenant
from .messages import Incarnation, PlanAssignment, ReportReply


def override_of(tell: PlanAssignment, tenants: Mapping[str, Tenant], until: int) -> PlanOverride:
    """The plan in the decisions' own terms; what it says of tenants that are not told here is left out."""
    words = {kind.value: kind for kind in SheddingTier}
    return PlanOverride(
        term=tell.term,
        number=tell.number,
        expires_at=until,
        fade_span=max(1, tell.fade_span),
        quotas={tenants[name]: rate for name, rate in tell.quotas.items() if name in tenants},
        evacuated_callers=frozenset(tell.evacuated_callers),
        evacuated_quota=tell.evacuated_quota,
        shedding_order=tuple(words[word] for word in tell.shedding_order if word in words),
        serving_fraction=tell.serving_fraction,
        is_capacity_short=tell.is_capacity_short,
    )


class PlanSubscription:
    """`kept` is the part of the vault's share that needs no lease; `patience` how long a start waits for
    a word.
    """

    def __init__(self, kept: float, patience: int, now: int) -> None:
        self.kept, self.listed_from = kept, now + patience
        self.epoch = 0
        self.author = Incarnation()
        self.plan: PlanAssignment | None = None
        self.plan_until = 0
        self.number = 0
        self.share, self.lease_until = kept, 0
        self.told_listed: bool | None = None
        self.every = 0
        self.refused = 0
        self.knock: dict[str, str] = {}

    def take(self, reply: ReportReply, sent: int, now: int) -> bool:
        """Whether the word is one to obey."""
        if not reply.is_leading:
            return False
        if reply.term < self.epoch or (reply.term == self.epoch and reply.planner != self.author):
            self.refused += 1
            return False
        if reply.term > self.epoch:
            self.epoch, self.author, self.number = reply.term, reply.planner, 0
        self.every = reply.report_interval
        self.knock = reply.probe_addresses
        tell = reply.assignment
        if tell is None:
            self.told_listed = True
        elif tell.term == self.epoch and tell.number >= self.number and sent + tell.validity_span > now:
            # A word that came late may be over already, or older than the plan that is held.
            if tell.number > self.number or sent + tell.validity_span > self.plan_until:
                self.plan_until = sent + tell.validity_span
            self.plan, self.number, self.told_listed = tell, tell.number, tell.is_listed
        if reply.lease_span and sent + reply.lease_span > max(now, self.lease_until):
            self.share, self.lease_until = max(self.kept, reply.call_limit), sent + reply.lease_span
        return True

    def calls(self, now: int) -> float:
        """The calls that may be in hand at this moment."""
        return self.share if now < self.lease_until else self.kept

    def lease_left(self, now: int) -> int:
        return max(0, self.lease_until - now)

    def left(self, now: int) -> int:
        """How long the plan that is held still holds, at full strength."""
        return max(0, self.plan_until - now)

    def listed(self, now: int) -> bool:
        """Whether routers may find it: as the plan in force says, and as ever where there is none."""
        if self.told_listed is None:
            return now >= self.listed_from
        if self.plan is not None and not self.told_listed:
            return now >= self.plan_until + self.plan.fade_span
        return self.told_listed
