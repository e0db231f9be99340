"""Quota allocation: the part of the vault's quota that each member should have while sites are evacuated.

Computes the target of each member; `quota_leases.py` decides how much of it is granted.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .fleet_file import Vault, span
from .messages import MemberReport
from .quota_leases import QuotaLeases
from .site_plan import SitePlan


class QuotaGrant(NamedTuple):
    """Quota that is granted in reply to a member's report.

    Attributes:
        quota: Number of concurrent calls that the member may make.
        lease_span: Validity from when the member sent its report, in tenths of a millisecond.
    """

    quota: float = 0.0
    lease_span: int = 0


class QuotaAllocator:
    """The leases of this leader's term, allocated by the published plan. Quotas are in concurrent calls.

    Attributes:
        vault: The vault's quota and lease settings; None if the fleet has no vault.
        base_quotas: Quota of each member according to the fleet file.
        leases: The leases of this term; None before the first term and without a vault.
        evacuated_quota: Leasable quota of all members of evacuated sites together.
        alive_members: Number of alive members by site.
    """

    def __init__(self, vault: Vault | None, base_quotas: Mapping[str, float]) -> None:
        """Start without leases; without a vault none are ever granted."""
        self.vault = vault
        self.base_quotas = base_quotas
        self.leases: QuotaLeases | None = None
        self.evacuated_quota = 0.0
        self.alive_members: dict[str, int] = {}
        self._serving_fractions: Mapping[str, float] = {}
        self._remote_load: Mapping[str, float] = {}

    def start_term(self, now: int) -> None:
        """Start a term, in which leases of a previous leader may still be in use."""
        vault = self.vault
        if vault is not None:
            lease_span = span(vault.lease_ms)
            self.leases = QuotaLeases(
                self.base_quotas, vault.total_calls, vault.unleased_fraction, lease_span, now
            )

    def update_members(self, base_quotas: Mapping[str, float]) -> None:
        """Apply the base quotas of a later fleet file."""
        self.base_quotas = base_quotas
        if self.leases is not None:
            self.leases.update_members(base_quotas)

    def follow_plan(
        self, plan: SitePlan, serving_fractions: Mapping[str, float], site_of_member: Mapping[str, str]
    ) -> None:
        """Allocate by a published plan and the sites' serving fractions at the time of its publication."""
        self._serving_fractions = serving_fractions
        self._remote_load = plan.remote_load
        if self.leases is None:
            self.evacuated_quota = 0.0
            return
        evacuated = [name for name, site in site_of_member.items() if serving_fractions[site] <= 0]
        self.evacuated_quota = sum(self.leases.leasable_quota(name) for name in evacuated)

    def grant(self, report: MemberReport, site: str, now: int) -> QuotaGrant:
        """Renew the lease of the member that sent a report; `site` is its current site."""
        if self.leases is None:
            return QuotaGrant()
        reserved = self.leases.reserved_fraction * self.base_quotas[report.name]
        current = max(0.0, report.call_limit - reserved) if report.lease_remaining else 0.0
        target = self._target(self.leases, report.name, site)
        leased = self.leases.grant(report.name, target, current, now)
        return QuotaGrant(reserved + leased, self.leases.lease_span)

    def _target(self, leases: QuotaLeases, name: str, site: str) -> float:
        """Return the leased quota that a member should have: its own and a share of the evacuated quota.

        The evacuated quota is divided among sites in proportion to the remote load that the plan places
        there, and evenly among the alive members of a site. Members of evacuated sites should have none.
        """
        own = leases.leasable_quota(name)
        serving_fractions = self._serving_fractions
        if serving_fractions.get(site, 1.0) <= 0:
            return 0.0
        site_remote_load = self._remote_load.get(site, 0.0)
        total_remote_load = sum(
            rate
            for other_site, rate in self._remote_load.items()
            if serving_fractions.get(other_site, 1.0) > 0
        )
        if not self.evacuated_quota or not total_remote_load or not site_remote_load:
            return own
        alive = max(1, self.alive_members.get(site, 0))
        return own + self.evacuated_quota * site_remote_load / total_remote_load / alive
