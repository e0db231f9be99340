"""Quota leases: how many concurrent calls to the shared vault each member may make.

Every member has a base quota. A *reserved* part of it is never lent, so that a member that hears no planner
can go on calling; the rest is a lease with a known end (Gray and Cheriton 1989). What is lent on is only the
leased part of members of a lost site whose leases have surely ended. At no instant may the quotas in use add
up to more than the vault's total, whoever is paused, partitioned or led by whom: the member counts a lease
from when it *sent* the report that the lease answers, on its own clock; the leader counts it from when the
answer is *given*, and longer by a margin for clocks that run at different speeds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from ..admission.types import MS

MAX_CLOCK_DRIFT = 0.02  # relative, of two monotonic clocks
EXPIRY_MARGIN = 10 * MS


def safe_expiry(lease_span: int) -> int:
    """Returns after how long on this clock a lease of that span has ended on its holder's clock."""
    return int(lease_span * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN


def _descending_amount(limit: tuple[float, int]) -> float:
    return -limit[0]


class LeaseRecord:
    """What one member may still use of its leased part.

    Attributes:
        limits: Falling amounts, each with the time until which it may be in use.
    """

    def __init__(self) -> None:
        """Starts with nothing leased."""
        self.limits: list[tuple[float, int]] = []

    @property
    def amount(self) -> float:
        """The most that may be in use now."""
        return self.limits[0][0] if self.limits else 0.0

    def add(self, amount: float, until: int) -> None:
        """Adds a grant; larger amounts granted before stay in force until their own end."""
        remaining = [
            (earlier_amount, end)
            for earlier_amount, end in self.limits
            if end > until or earlier_amount > amount
        ]
        self.limits = [*remaining, (amount, until)]
        self.limits.sort(key=_descending_amount)

    def expire(self, now: int) -> None:
        """Drops what has ended."""
        self.limits = [(amount, end) for amount, end in self.limits if end > now]


class QuotaLeases:
    """The leader's record of all leases, in concurrent calls.

    Attributes:
        base_quotas: The quota of each member by the fleet file.
        total: What all members may use together.
        reserved_fraction: The part of each base quota that is never lent.
        lease_span: How long a grant is valid, in tenths of a millisecond.
        leased_total: The sum of what members may use of their leased parts.
        reserved_total: The sum of the reserved parts, those of departed members included.
    """

    def __init__(
        self,
        base_quotas: Mapping[str, float],
        total: float,
        reserved_fraction: float,
        lease_span: int,
        since: int,
    ) -> None:
        """Starts with nothing leased; `since` is when this leader's term began."""
        self.base_quotas = base_quotas
        self.total = total
        self.reserved_fraction = reserved_fraction
        self.lease_span = lease_span
        self.leased_total = 0.0
        self.reserved_total = reserved_fraction * sum(base_quotas.values())
        self._previous_leases_end = since + safe_expiry(lease_span)
        self._records = {name: LeaseRecord() for name in base_quotas}
        self._expirations: list[tuple[int, str]] = []

    def update_members(self, base_quotas: Mapping[str, float]) -> None:
        """Takes over a later fleet file, in which each member that stays has the same base quota.

        What a departed member may still use stays recorded to its end, and its reserved part to the end of
        the term.
        """
        joined = [quota for name, quota in base_quotas.items() if name not in self._records]
        self.reserved_total += self.reserved_fraction * sum(joined)
        self.base_quotas = {**self.base_quotas, **base_quotas}
        for name in base_quotas:
            self._records.setdefault(name, LeaseRecord())

    def leasable_quota(self, member: str) -> float:
        """Returns the leased part of a member's base quota."""
        return (1 - self.reserved_fraction) * self.base_quotas[member]

    def available(self, now: int) -> float:
        """Returns what nobody may use any more and has not been granted again."""
        self._expire(now)
        return max(0.0, self.total - self.reserved_total - self.leased_total)

    def previous_leases_ended(self, now: int) -> bool:
        """Returns whether all leases that a previous leader may have granted have ended."""
        return now >= self._previous_leases_end

    def grant(self, member: str, target: float, current: float, now: int) -> float:
        """Grants a member its leased part for `lease_span` from now on.

        Until all leases of the previous leader have ended, only what the member reports as its current lease
        is renewed. After that it gets as much of its target as is available. A larger amount granted before
        may be used up to its own end, and is recorded until then.
        """
        available = self.available(now) + self._records[member].amount
        limit = available if self.previous_leases_ended(now) else current
        amount = min(target, limit)
        until = now + safe_expiry(self.lease_span)
        self._change(member, lambda record: record.add(amount, until))
        heapq.heappush(self._expirations, (until, member))
        return amount

    def _expire(self, now: int) -> None:
        while self._expirations and self._expirations[0][0] <= now:
            name = heapq.heappop(self._expirations)[1]
            self._change(name, lambda record: record.expire(now))

    def _change(self, name: str, action: Callable[[LeaseRecord], None]) -> None:
        record = self._records[name]
        self.leased_total -= record.amount
        action(record)
        self.leased_total += record.amount
