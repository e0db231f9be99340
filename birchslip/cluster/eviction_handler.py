"""Evictions: requests for permits, answered from the disruption budget.

Decides nothing about budgets itself, and never whether an answer may be sent: that is for the planner, once a
majority has stored it.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from .disruption_budget import DisruptionBudget, EvictionWaiter, MemberObservation
from .messages import EvictionRequest, EvictionResponse, Incarnation


class EvictionAction(StrEnum):
    """What an eviction request asks for; the values are those of the wire."""

    PERMIT = "permit"
    PERMIT_BY_OVERRIDE = "past"
    HAND_BACK = "hand-back"
    REVOKE = "strike"
    OVERRIDE = "override"


def handle_eviction(
    budget: DisruptionBudget, request: EvictionRequest, observations: Mapping[str, MemberObservation]
) -> EvictionResponse:
    """Carries a request out; `observations` has every member and service that may hold a permit."""
    if request.what == EvictionAction.OVERRIDE:
        reason = budget.override(request.who, request.why, request.count, request.span)
        return EvictionResponse(granted=not reason, why=reason)
    observed = observations.get(request.holder)
    if observed is None:
        return EvictionResponse(granted=False, why=f"no member is named {request.holder!r}")
    if request.what == EvictionAction.REVOKE:
        budget.strike(request.holder, request.who)
        return EvictionResponse(granted=True)
    incarnation = request.incarnation or observed.incarnation
    if request.what == EvictionAction.HAND_BACK:
        return EvictionResponse(granted=budget.hand_back(request.holder, incarnation, observations))
    return _ask_permit(budget, request, incarnation, observations)


def _ask_permit(
    budget: DisruptionBudget,
    request: EvictionRequest,
    incarnation: Incarnation,
    observations: Mapping[str, MemberObservation],
) -> EvictionResponse:
    waiter = EvictionWaiter(holder=request.holder, incarnation=incarnation, why=request.why)
    if request.what == EvictionAction.PERMIT_BY_OVERRIDE:
        decision = budget.ask_past(waiter, observations)
    else:
        decision = budget.ask(waiter, observations)
    number = decision.permit.number if decision.permit is not None else 0
    return EvictionResponse(
        granted=decision.permit is not None, number=number, place=decision.place, why=decision.why
    )
