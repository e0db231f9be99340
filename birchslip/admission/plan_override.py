"""The fleet plan that applies to this app server, and how it fades once it is no longer renewed.

This module owns the current plan and its weight. It changes no quota and no limit itself: the modules that
own quotas and limits read the plan and its weight from here.
"""

from __future__ import annotations

from .types import PlanOverride, Request


class PlanState:
    """The current plan; `weight` is 1 while it is renewed, then fades, and is 0 without a plan."""

    def __init__(self, now: int) -> None:
        """Start with an expired plan."""
        self.plan = PlanOverride(term=0, number=0, expires_at=now, fade_span=1)
        self.weight = 0.0

    def is_superseded_by(self, plan: PlanOverride) -> bool:
        """Return whether a plan is newer than the current one or extends it."""
        offered = (plan.term, plan.number)
        current = (self.plan.term, self.plan.number)
        if offered == current:
            return plan.expires_at > self.plan.expires_at
        return offered > current

    def is_changed_by(self, plan: PlanOverride) -> bool:
        """Return whether a plan has changes that are worth a log event for operators."""
        current = self.plan
        return (
            not self.weight
            or plan.serving_fraction != current.serving_fraction
            or plan.is_capacity_short != current.is_capacity_short
            or plan.evacuated_callers != current.evacuated_callers
        )

    def adds_evacuated_callers(self, plan: PlanOverride) -> bool:
        """Return whether a plan evacuates callers to here that the current plan does not."""
        return bool(plan.evacuated_callers - self.plan.evacuated_callers) or not self.weight

    def activate(self, plan: PlanOverride) -> None:
        """Make a plan the current one; `fade` then sets its weight."""
        self.plan = plan

    def fade(self, now: int) -> bool:
        """Update the weight; returns whether it has just become 0.

        The weight falls linearly over the plan's `fade_span`; otherwise the load that the plan rejected would
        return all at once.
        """
        remaining_weight = 1 - (now - self.plan.expires_at) / self.plan.fade_span
        weight = min(1.0, max(0.0, remaining_weight))
        has_expired = bool(self.weight) and not weight
        self.weight = weight
        return has_expired

    def is_evacuated(self, request: Request) -> bool:
        """Return whether the plan, expired or not, lists a request's caller as evacuated."""
        return request.caller in self.plan.evacuated_callers

    @property
    def is_capacity_short(self) -> bool:
        """Whether a plan that is not expired reports that no app server has room."""
        return self.plan.is_capacity_short and self.weight > 0
