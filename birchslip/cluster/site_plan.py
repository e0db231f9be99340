"""Site plan: where the load of lost sites goes, what each site admits, and what is rejected first.

The plan is computed from measured capacity, not from nominal size. It does not configure routers; it only
states what the surviving sites admit. It is computed in three steps:

1. *Reject*: rejects the load that exceeds the capacity of all sites, tier by tier in the operators' order.
2. *Place*: keeps local load at its site and sends the rest over the cheapest links to sites with spare
   capacity.
3. *Quotas*: sets a quota for all evacuated callers at each site, and divides the rest of the site's capacity
   among tenants by water-filling (max-min fairness): no tenant gets more than its share while another one
   gets less than both its share and its demand.

Rates are in requests per second. Plans are compared for exact equality, so the order in which floating-point
values are summed must not change.
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
    """What each site admits; rates are in requests per second.

    Attributes:
        flows: Placed load by the callers' site and the serving site, local load included.
        rejected: Rejected load by tier.
        rejected_by_site: Rejected load, without retries, by the callers' site.
        utilization: Planned load of each site divided by its capacity, at most 1.
        tenant_quotas: Quota of each tenant for local load, by site.
        evacuated_quotas: Quota of all evacuated callers together, by site.
        member_sites: Site of each member that has a quota.
        member_fractions: Fraction of its site's quotas that each of these members gets.
        remote_load: Load from callers of other sites that is placed at each site.
        is_short: Whether any load has to be rejected.
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
        """Return a member's part of its site's tenant quotas.

        The quotas are computed on demand, because computing them for all members of a plan is slow.
        """
        if member not in self.member_sites:
            return {}
        fraction = self.member_fractions[member]
        quotas = self.tenant_quotas[self.member_sites[member]]
        return {tenant: rate * fraction for tenant, rate in quotas.items()}

    def member_evacuated_quota(self, member: str) -> float:
        """Return a member's part of its site's quota for evacuated callers."""
        if member not in self.member_sites:
            return 0.0
        return self.evacuated_quotas[self.member_sites[member]] * self.member_fractions[member]

    def total_rejected(self) -> float:
        """Return the rejected load of all tiers."""
        return sum(self.rejected.values())


def plan_sites(
    sites: list[SiteCapacity],
    tenants: Mapping[str, float],
    costs: LinkCosts,
    order: tuple[SheddingTier, ...] = ALL_TIERS,
) -> SitePlan:
    """Return the plan for the given sites.

    Args:
        sites: Sites with their measured capacity and load.
        tenants: Configured share of each tenant.
        costs: Cost of the link from one site to another; `DEFAULT_LINK_COST` if it is not given.
        order: Tiers in the order in which load is rejected; local load is always rejected last.
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
    """Return the plan that would apply if `lost_site` were lost now; see `plan_sites` for the arguments."""
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
    """Set the quotas of a site's tenants and of its evacuated callers, and the fraction of each member."""
    local = plan.flows.get((site.name, site.name), 0.0)
    placed = sum(rate for (_, target), rate in plan.flows.items() if target == site.name)
    remote = placed - local
    total = max(EPSILON, sum(admitted.values()))
    demands = {tenant: local * admitted.get(tenant, 0.0) / total for tenant in shares}
    allotted = water_fill(site.capacity - remote, demands, shares)
    # Unused capacity is added to the quotas of both tenants and evacuated callers, so that quotas only limit
    # load where capacity is short.
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
