"""Operations on eviction permits: requests, returns, revocations and overrides of the budget.

The disruption budget decides on each request. The planner sends the response once a majority has stored the
decision.
"""

from __future__ import annotations

from collections.abc import Mapping

from .disruption_budget import DisruptionBudget
from .disruption_types import EvictionWaiter, MemberObservation
from .messages import (
    EvictionOperation,
    EvictionRequest,
    EvictionResponse,
    Incarnation,
)


def has_unknown_holder(request: EvictionRequest, observations: Mapping[str, MemberObservation]) -> bool:
    """Return whether a request is for a holder that is neither a member nor a service of the fleet.

    An override has no holder, so it never counts as unknown.
    """
    if request.operation is EvictionOperation.GRANT_OVERRIDE:
        return False
    return request.holder not in observations


def handle_eviction(
    budget: DisruptionBudget, request: EvictionRequest, observations: Mapping[str, MemberObservation]
) -> EvictionResponse:
    """Execute a request and return the response; a refusal is a response with a reason, not an exception.

    Args:
        budget: The fleet's disruption budget, which decides and records permits, waiters and overrides.
        request: The operation, its holder and, for an override, its count and span.
        observations: Every member and service that may hold a permit, by name.
    """
    if request.operation is EvictionOperation.GRANT_OVERRIDE:
        reason = budget.add_override(request.operator, request.reason, request.count, request.span)
        return EvictionResponse(granted=not reason, reason=reason)
    if has_unknown_holder(request, observations):
        return EvictionResponse(granted=False, reason=f"no member or service is named {request.holder!r}")
    if request.operation is EvictionOperation.REVOKE_PERMIT:
        budget.revoke(request.holder, request.operator)
        return EvictionResponse(granted=True)
    incarnation = request.incarnation or observations[request.holder].incarnation
    if request.operation is EvictionOperation.RETURN_PERMIT:
        return EvictionResponse(granted=budget.release(request.holder, incarnation, observations))
    return _request_permit(budget, request, incarnation, observations)


def _request_permit(
    budget: DisruptionBudget,
    request: EvictionRequest,
    incarnation: Incarnation,
    observations: Mapping[str, MemberObservation],
) -> EvictionResponse:
    waiter = EvictionWaiter(holder=request.holder, incarnation=incarnation, reason=request.reason)
    if request.operation is EvictionOperation.BYPASS_BUDGET:
        decision = budget.acquire_with_override(waiter, observations)
    else:
        decision = budget.acquire(waiter, observations)
    number = decision.permit.number if decision.permit is not None else 0
    return EvictionResponse(
        granted=decision.permit is not None,
        permit_number=number,
        queue_position=decision.position,
        reason=decision.reason,
    )
