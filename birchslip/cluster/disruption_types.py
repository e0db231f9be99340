"""Types of the disruption budget: groups of members, observations, permits, and the replicated state.

The keys of the messages are stored by a majority of planners and never change; a class's `rename` maps
attributes with another name. Durations are tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from .messages import Count, Incarnation, Message, Name, Span, Text

TOLERANCE = 1e-9  # rounding errors of float sums and products


class UnavailabilityReason(Enum):
    """Why a member counts as unavailable; the values are reported to operators."""

    PERMIT = "permit"  # it holds a permit and may drain at any moment
    SILENT = "silent"  # a member does not report, or a service is not up
    DRAINING = "leaving"
    COLD = "cold"  # it reports, but does not serve or is not warm yet
    DOWNSTREAM = "below"  # a downstream service that it requires is unavailable
    LOST = "lost"  # its site is not in service


@dataclass(frozen=True, slots=True)
class BudgetGroup:
    """Members that share a budget.

    Attributes:
        name: Name of the group, unique within the fleet.
        members: Names of members and of services that members depend on.
        max_unavailable: Number of members that may be unavailable; None sets no bound.
        max_unavailable_share: Fraction of members that may be unavailable, 0 to 1; None sets no bound.
        min_capacity: Capacity that has to stay available, in requests per second.
    """

    name: str
    members: frozenset[str]
    max_unavailable: int | None = None
    max_unavailable_share: float | None = None
    min_capacity: float = 0.0

    @property
    def disruptions_allowed(self) -> int:
        """Number of members that may be unavailable: the lower of both bounds."""
        bounds = [len(self.members)]
        if self.max_unavailable is not None:
            bounds.append(self.max_unavailable)
        if self.max_unavailable_share is not None:
            bounds.append(int(self.max_unavailable_share * len(self.members) + TOLERANCE))
        return min(bounds)


@dataclass(frozen=True, slots=True)
class MemberObservation:
    """The latest observation of one member or service.

    Attributes:
        incarnation: The incarnation of the process that was observed.
        capacity: Requests per second that it can serve.
        unavailability: Why it is unavailable, apart from a permit; None while it is in service.
    """

    incarnation: Incarnation
    capacity: float
    unavailability: UnavailabilityReason | None = None


class Permit(Message, rename={"reason": "why"}):
    """The right of one incarnation of a member to be unavailable.

    `number` increases with each grant; `override` is set if it was granted beyond the budgets.
    """

    holder: Name
    incarnation: Incarnation
    reason: Text
    number: Count
    override: bool = False


class EvictionWaiter(Message, rename={"reason": "why"}):
    """A request for a permit: the member that would hold it, its incarnation, and the reason."""

    holder: Name
    incarnation: Incarnation
    reason: Text


class BudgetOverride(Message, rename={"requester": "who", "reason": "why", "remaining": "left"}):
    """An operator's permission to exceed the budgets.

    `count` is the number of permits left, `remaining` the time left by the leader's clock.
    """

    requester: Text
    reason: Text
    count: Count
    remaining: Span


class BudgetState(
    Message, rename={"waiters": "waiting", "audit_log": "record", "last_permit_number": "number"}
):
    """The state that the leader replicates to a majority of planners; waiters are in order of arrival."""

    permits: list[Permit] = msgspec.field(default_factory=list)
    waiters: list[EvictionWaiter] = msgspec.field(default_factory=list)
    overrides: list[BudgetOverride] = msgspec.field(default_factory=list)
    audit_log: list[Text] = msgspec.field(default_factory=list)
    last_permit_number: Count = 0


@dataclass(slots=True)
class EvictionDecision:
    """The decision on one request for a permit.

    Attributes:
        permit: The requester's permit, if it holds one.
        position: Its place in the queue, from 1; 0 if it does not wait.
        reason: What it waits for, or why it was refused.
    """

    permit: Permit | None = None
    position: int = 0
    reason: str = ""
