"""Site plan: where the load of lost sites goes, what each site admits, and what is rejected first.

Works with measured capacity, not with nominal size, and never directs routers: the plan states what surviving
sites admit. Three steps:

1. *Reject*: as much as all load exceeds all capacity, tier by tier in the operators' order.
2. *Place*: local load stays at its site, the rest takes the cheapest link that still has capacity behind it.
3. *Quotas*: evacuated callers have one of their own; the rest of a site's capacity is divided among tenants
   by water-filling (max-min fairness), so that none within its share gets less than that while another gets
   more than its own.

Rates are requests a second. The order of every sum is part of the behaviour: plans are compared to the last
digit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..admission.types import SheddingTier
from .fair_share import normalized_shares, water_fill
from .load_placement import LinkCosts, LoadPlacement
from .load_rejection import reject_excess
from .site_capacity import EPSILON, SiteCapacity, TenantRates

ALL_TIERS = tuple(SheddingTier)


@dataclass(slots=True)
class SitePlan:
    """What each site admits.

    Attributes:
        flows: Rates from the site of the callers to the serving site, local load included.
        rejected: Rates by the tier that they were rejected in.
        rejected_by_site: The same by site of the callers.
        utilization: The planned load of each site over its capacity, at most 1.
        tenant_quotas: What each site admits of its local load, by tenant.
        visitor_quotas: What each site admits of evacuated callers, all together.
        member_sites: The site of each member that has a quota.
        member_fractions: The part of its site's quotas that each of them gets.
        remote_load: What each site takes on from others.
        is_short: Whether anything has to be rejected.
    """

    flows: dict[tuple[str, str], float] = field(default_factory=dict)
    rejected: dict[SheddingTier, float] = field(default_factory=dict)
    rejected_by_site: dict[str, float] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
    tenant_quotas: dict[str, TenantRates] = field(default_factory=dict)
    evacuated_quotas: dict[str, float] = field(default_factory=dict)
    member_sites: dict[str, str] = field(default_factory=dict)
    member_fractions: dict[str, float] = field(default_factory=dict)
    remote_load: dict[str, float] = field(default_factory=dict)
    is_short: bool = False

    def member_tenant_quotas(self, member: str) -> TenantRates:
        """Returns a member's part of its site's quotas; computed on demand, as all members' would be slow."""
        if member not in self.member_sites:
            return {}
        fraction = self.member_fractions[member]
        quotas = self.tenant_quotas[self.member_sites[member]]
        return {tenant: rate * fraction for tenant, rate in quotas.items()}

    def member_evacuated_quota(self, member: str) -> float:
        """Returns a member's part of what its site admits of evacuated callers."""
        if member not in self.member_sites:
            return 0.0
        return self.evacuated_quotas[self.member_sites[member]] * self.member_fractions[member]

    def total_rejected(self) -> float:
        """Returns the sum over all tiers."""
        return sum(self.rejected.values())


def plan_sites(
    sites: list[SiteCapacity],
    tenants: Mapping[str, float],
    costs: LinkCosts,
    order: tuple[SheddingTier, ...] = ALL_TIERS,
) -> SitePlan:
    """Returns the plan for the sites as they are.

    Args:
        sites: The measured sites.
        tenants: The configured share of each tenant.
        costs: Of links from site to site, `DEFAULT_LINK_COST` where there is none.
        order: The tiers in which load is rejected; local load is always the last one.
    """
    shares = normalized_shares(tenants, sites)
    capacity = sum(site.capacity for site in sites)
    admitted, rejected = reject_excess(sites, shares, order, capacity)
    placement = LoadPlacement(sites, admitted)
    placement.place_locally()
    placement.place_remotely(costs)
    plan = SitePlan(flows=placement.flows, rejected=rejected)
    plan.is_short = plan.total_rejected() > EPSILON
    for site in sites:
        plan.rejected_by_site[site.name] = max(0.0, site.total_load - sum(admitted[site.name].values()))
        if site.capacity:
            _set_quotas(plan, site, admitted[site.name], shares)
    return plan


def plan_without_site(
    sites: list[SiteCapacity],
    lost_site: str,
    tenants: Mapping[str, float],
    costs: LinkCosts,
    order: tuple[SheddingTier, ...] = ALL_TIERS,
) -> SitePlan:
    """Returns the plan that the loss of a site would bring about now."""
    remaining = [
        SiteCapacity(
            site.name,
            site.member_capacity,
            site.load,
            site.retry_load,
            is_lost=site.is_lost or site.name == lost_site,
            serving_fraction=site.serving_fraction,
        )
        for site in sites
    ]
    return plan_sites(remaining, tenants, costs, order)


def _set_quotas(
    plan: SitePlan, site: SiteCapacity, admitted: TenantRates, shares: Mapping[str, float]
) -> None:
    """Divides a site's capacity among its tenants and evacuated callers, and its quotas among its members."""
    local = plan.flows.get((site.name, site.name), 0.0)
    placed = sum(rate for (_, target), rate in plan.flows.items() if target == site.name)
    remote = placed - local
    total = max(EPSILON, sum(admitted.values()))
    demands = {tenant: local * admitted.get(tenant, 0.0) / total for tenant in shares}
    allotted = water_fill(site.capacity - remote, demands, shares)
    # Unused capacity is free for whoever comes: a quota binds only where capacity is short.
    unused = max(0.0, site.capacity - placed)
    plan.remote_load[site.name] = remote
    plan.utilization[site.name] = min(1.0, placed / site.capacity)
    plan.evacuated_quotas[site.name] = remote + unused
    plan.tenant_quotas[site.name] = {
        tenant: allotted[tenant] + unused * share for tenant, share in shares.items()
    }
    total_capacity = sum(site.member_capacity.values())
    for member, capacity in site.member_capacity.items():
        plan.member_sites[member] = site.name
        plan.member_fractions[member] = capacity / total_capacity
