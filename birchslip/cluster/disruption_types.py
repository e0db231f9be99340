"""Types of the disruption budget: groups of members, observations, permits, and the state that is replicated.

Owns no decision. The keys of the messages are stored by a majority of planners and never change; attributes
that have another name are mapped in each class's `rename`. Times are spans in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from .messages import Count, Incarnation, Message, Name, Span, Text

TOLERANCE = 1e-9  # rounding errors of float sums and products


class UnavailabilityReason(Enum):
    """Why a member counts as unavailable."""

    PERMIT = "permit"
    SILENT = "silent"
    DRAINING = "leaving"
    COLD = "cold"
    DOWNSTREAM = "below"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class BudgetGroup:
    """Members that share a budget.

    Attributes:
        name: Name of the group, unique within the fleet.
        members: Names of members and of services that members depend on.
        max_unavailable: Number of members that may be unavailable; None sets no bound.
        max_unavailable_share: Part of the members that may be, 0 to 1; None sets no bound.
        min_capacity: Capacity that has to stay available, in requests a second.
    """

    name: str
    members: frozenset[str]
    max_unavailable: int | None = None
    max_unavailable_share: float | None = None
    min_capacity: float = 0.0

    @property
    def disruptions_allowed(self) -> int:
        """How many members may be unavailable: the lower of both bounds."""
        bounds = [len(self.members)]
        if self.max_unavailable is not None:
            bounds.append(self.max_unavailable)
        if self.max_unavailable_share is not None:
            bounds.append(int(self.max_unavailable_share * len(self.members) + TOLERANCE))
        return min(bounds)


@dataclass(frozen=True, slots=True)
class MemberObservation:
    """One member as the membership shows it now.

    Attributes:
        incarnation: The life of the process that was observed.
        capacity: Requests a second that it can serve.
        unavailability: Why it is unavailable without a permit; None while it is in service.
    """

    incarnation: Incarnation
    capacity: float
    unavailability: UnavailabilityReason | None = None


class Permit(Message, rename={"reason": "why"}):
    """The right of one incarnation of a member to be unavailable.

    `number` rises with each grant; `override` is set if it was granted past the budgets.
    """

    holder: Name
    incarnation: Incarnation
    reason: Text
    number: Count
    override: bool = False


class EvictionWaiter(Message, rename={"reason": "why"}):
    """A requester of a permit: who would hold it, in which incarnation, and why."""

    holder: Name
    incarnation: Incarnation
    reason: Text


class BudgetOverride(Message, rename={"requester": "who", "reason": "why", "remaining": "left"}):
    """An operator's leave to exceed the budgets.

    `count` is the number of permits left in it, `remaining` the time left by the leader's clock.
    """

    requester: Text
    reason: Text
    count: Count
    remaining: Span


class BudgetState(
    Message, rename={"waiters": "waiting", "audit_log": "record", "last_permit_number": "number"}
):
    """What the leader replicates to a majority of planners; waiters are in the order of arrival."""

    permits: list[Permit] = msgspec.field(default_factory=list)
    waiters: list[EvictionWaiter] = msgspec.field(default_factory=list)
    overrides: list[BudgetOverride] = msgspec.field(default_factory=list)
    audit_log: list[Text] = msgspec.field(default_factory=list)
    last_permit_number: Count = 0


@dataclass(slots=True)
class EvictionDecision:
    """The answer to one requester.

    Attributes:
        permit: Its permit, if it was granted.
        position: Its place among the waiters, from 1; 0 if it does not wait.
        reason: What it waits for, or why it was refused.
    """

    permit: Permit | None = None
    position: int = 0
    reason: str = ""
