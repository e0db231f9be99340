"""Quota leases: how many concurrent calls to the shared vault each member may make.

Every member has a base quota. A *reserved* fraction of it is never granted to other members, so that a
member that receives no replies from planners can continue to make calls. The rest is leased, with a known
expiry (Gray and Cheriton 1989). Only leased quota of members of a lost site is granted to others, and only
once their leases have certainly expired.

The quotas in use must never exceed the vault's total, even while processes are paused or partitioned, or
follow different leaders. Therefore the member counts a lease from when it *sent* the report that the lease
replies to, on its own clock; the leader counts it from when it *grants* it, and longer by a margin for clocks
that run at different speeds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from ..admission.types import MS

MAX_CLOCK_DRIFT = 0.02  # largest relative difference in speed of two monotonic clocks
EXPIRY_MARGIN = 10 * MS


def safe_expiry(lease_span: int) -> int:
    """Return the span on this clock after which a lease of `lease_span` has expired by its holder's."""
    return int(lease_span * (1 + MAX_CLOCK_DRIFT)) + EXPIRY_MARGIN


def _descending_amount(limit: tuple[float, int]) -> float:
    return -limit[0]


class LeaseRecord:
    """Leased quota that one member may still be using.

    Attributes:
        limits: Amounts in descending order, each with the time until which it may be in use.
    """

    def __init__(self) -> None:
        """Start with nothing leased."""
        self.limits: list[tuple[float, int]] = []

    @property
    def amount(self) -> float:
        """The largest amount that may be in use now."""
        return self.limits[0][0] if self.limits else 0.0

    def add(self, amount: float, until: int) -> None:
        """Add a grant; larger amounts that were granted earlier are kept until they expire."""
        remaining = [
            (earlier_amount, end)
            for earlier_amount, end in self.limits
            if end > until or earlier_amount > amount
        ]
        self.limits = [*remaining, (amount, until)]
        self.limits.sort(key=_descending_amount)

    def expire(self, now: int) -> None:
        """Remove the amounts that have expired."""
        self.limits = [(amount, end) for amount, end in self.limits if end > now]


class QuotaLeases:
    """The leader's record of all leases. Quotas are in concurrent calls, times in tenths of a millisecond.

    Attributes:
        base_quotas: Quota of each member according to the fleet file.
        total: Quota of all members together.
        reserved_fraction: Fraction of each base quota that is never granted to other members.
        lease_span: Validity of a grant.
        leased_total: Sum of the leased quotas that may be in use.
        reserved_total: Sum of the reserved quotas, including those of departed members.
    """

    def __init__(
        self,
        base_quotas: Mapping[str, float],
        total: float,
        reserved_fraction: float,
        lease_span: int,
        since: int,
    ) -> None:
        """Start without leases; `since` is the time at which this leader's term began."""
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
        """Apply a later fleet file, in which each member that stays has the same base quota.

        The lease of a departed member is recorded until it expires, and its reserved quota until the end of
        the term.
        """
        joined = [quota for name, quota in base_quotas.items() if name not in self._records]
        self.reserved_total += self.reserved_fraction * sum(joined)
        self.base_quotas = {**self.base_quotas, **base_quotas}
        for name in base_quotas:
            self._records.setdefault(name, LeaseRecord())

    def leasable_quota(self, member: str) -> float:
        """Return the part of a member's base quota that is not reserved."""
        return (1 - self.reserved_fraction) * self.base_quotas[member]

    def available(self, now: int) -> float:
        """Return the quota that is neither reserved nor possibly in use under a lease."""
        self._expire(now)
        return max(0.0, self.total - self.reserved_total - self.leased_total)

    def previous_leases_ended(self, now: int) -> bool:
        """Return whether all leases that a previous leader may have granted have expired."""
        return now >= self._previous_leases_end

    def grant(self, member: str, target: float, current: float, now: int) -> float:
        """Grant a member leased quota for `lease_span` from now on.

        Until all leases of the previous leader have expired, only the current lease that the member reports
        is renewed. After that the member gets as much of its target as is available. A larger amount that
        was granted earlier may be used until it expires, and is recorded until then.

        Args:
            member: The member's name.
            target: Leased quota that the member should have.
            current: Leased quota that the member reports to hold.
            now: The current time.

        Returns:
            The granted quota, at most `target`.
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
