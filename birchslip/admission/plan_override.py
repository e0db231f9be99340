"""What a plan of the fleet changes here, and how it fades once it is no longer renewed.

Owns the plan in force and its weight. It changes no quota and no limit itself: those who own them read
the weight.
"""

from __future__ import annotations

from .types import PlanOverride, Request


class PlanState:
    """The plan in force; `weight` is 1 while it is renewed, fades afterwards, and is 0 without a plan."""

    def __init__(self, now: int) -> None:
        """Begin with a plan that has run out."""
        self.plan = PlanOverride(term=0, number=0, expires_at=now, fade_span=1)
        self.weight = 0.0

    def is_superseded_by(self, plan: PlanOverride) -> bool:
        """Return whether a plan is newer than the one in force, or renews it for longer."""
        offered = (plan.term, plan.number)
        current = (self.plan.term, self.plan.number)
        if offered == current:
            return plan.expires_at > self.plan.expires_at
        return offered > current

    def is_changed_by(self, plan: PlanOverride) -> bool:
        """Return whether a plan says anything new to an operator."""
        current = self.plan
        return (
            not self.weight
            or plan.serving_fraction != current.serving_fraction
            or plan.is_capacity_short != current.is_capacity_short
            or plan.evacuated_callers != current.evacuated_callers
        )

    def adds_evacuated_callers(self, plan: PlanOverride) -> bool:
        """Return whether a plan sends callers here that the plan in force does not."""
        return bool(plan.evacuated_callers - self.plan.evacuated_callers) or not self.weight

    def activate(self, plan: PlanOverride) -> None:
        """Take over a plan; `fade` gives it its weight."""
        self.plan = plan

    def fade(self, now: int) -> bool:
        """Bring the weight up to date; returns whether the plan has just lost all of it.

        A plan fades evenly over its own span: else the load that it rejected would return at once.
        """
        remaining_weight = 1 - (now - self.plan.expires_at) / self.plan.fade_span
        weight = min(1.0, max(0.0, remaining_weight))
        has_expired = bool(self.weight) and not weight
        self.weight = weight
        return has_expired

    def is_evacuated(self, request: Request) -> bool:
        """Return whether the plan, in force or not, names a request's caller as evacuated."""
        return request.caller in self.plan.evacuated_callers

    @property
    def is_capacity_short(self) -> bool:
        """Whether a plan in force says that no app server has room."""
        return self.plan.is_capacity_short and self.weight > 0
