"""Site plan: where the load of lost sites goes, what each site admits, and what is rejected first.

Works with measured capacity, not with nominal size, and never directs routers: the plan says what surviving
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
from typing import NamedTuple

from ..admission.types import SheddingTier

EPSILON = 1e-9
DEFAULT_LINK_COST = 1.0
ALL_TIERS = tuple(SheddingTier)

TenantRates = dict[str, float]
SiteTenantRates = dict[tuple[str, str], float]
LinkCosts = Mapping[tuple[str, str], float]


@dataclass(slots=True)
class SiteCapacity:
    """A site as it was measured.

    Attributes:
        member_capacity: What each member could serve.
        load: First tries of the site's own callers, by tenant.
        retry_load: Further tries.
        is_lost: Whether it can serve nothing.
        level: The part of its capacity that may be used, less than 1 while it recovers.
    """

    name: str
    member_capacity: dict[str, float]
    load: TenantRates
    retry_load: float = 0.0
    is_lost: bool = False
    level: float = 1.0

    @property
    def capacity(self) -> float:
        """What the site can serve now."""
        return 0.0 if self.is_lost else self.level * sum(self.member_capacity.values())

    @property
    def total_load(self) -> float:
        """The first tries of all tenants together."""
        return sum(self.load.values())


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
        member_parts: The part of its site's quotas that each of them gets.
        visiting_load: What each site takes on from others.
        is_short: Whether anything has to be rejected.
    """

    flows: dict[tuple[str, str], float] = field(default_factory=dict)
    rejected: dict[SheddingTier, float] = field(default_factory=dict)
    rejected_by_site: dict[str, float] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
    tenant_quotas: dict[str, TenantRates] = field(default_factory=dict)
    evacuated_quotas: dict[str, float] = field(default_factory=dict)
    member_sites: dict[str, str] = field(default_factory=dict)
    member_parts: dict[str, float] = field(default_factory=dict)
    visiting_load: dict[str, float] = field(default_factory=dict)
    is_short: bool = False

    def member_tenant_quotas(self, member: str) -> TenantRates:
        """Returns a member's part of its site's quotas; computed on demand, as all members' would be slow."""
        if member not in self.member_sites:
            return {}
        part = self.member_parts[member]
        quotas = self.tenant_quotas[self.member_sites[member]]
        return {tenant: rate * part for tenant, rate in quotas.items()}

    def member_evacuated_quota(self, member: str) -> float:
        """Returns a member's part of what its site admits of evacuated callers."""
        if member not in self.member_sites:
            return 0.0
        return self.evacuated_quotas[self.member_sites[member]] * self.member_parts[member]

    def total_rejected(self) -> float:
        """Returns the sum over all tiers."""
        return sum(self.rejected.values())


# ---- fairness ------------------------------------------------------------------------------------------


def water_fill(capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]) -> TenantRates:
    """Divides a capacity max-min fairly: nobody within its weighted share gets less than it demands."""
    allotted = dict.fromkeys(demands, 0.0)
    by_demand = sorted(demands, key=lambda name: demands[name] / max(EPSILON, weights.get(name, 0.0)))
    remaining_weight = sum(max(EPSILON, weights.get(name, 0.0)) for name in by_demand)
    for name in by_demand:
        weight = max(EPSILON, weights.get(name, 0.0))
        allotted[name] = min(demands[name], capacity * weight / remaining_weight)
        capacity -= allotted[name]
        remaining_weight -= weight
    return allotted


def normalized_shares(tenants: Mapping[str, float], sites: list[SiteCapacity]) -> TenantRates:
    """Returns the tenants' shares scaled to a sum of 1; even ones if none are configured."""
    names = {tenant for site in sites for tenant in site.load} | set(tenants)
    configured = {name: tenants.get(name, 0.0) for name in sorted(names)}
    total = sum(configured.values())
    if total <= 0:
        return dict.fromkeys(configured, 1 / max(1, len(configured)))
    return {name: share / total for name, share in configured.items()}


# ---- step 1: reject ------------------------------------------------------------------------------------


class RejectionResult(NamedTuple):
    """What is still admitted of each site's load by tenant, and what was rejected in which tier."""

    admitted: dict[str, TenantRates]
    rejected: dict[SheddingTier, float]


def reject_excess(
    sites: list[SiteCapacity],
    shares: Mapping[str, float],
    order: tuple[SheddingTier, ...],
    capacity: float,
) -> RejectionResult:
    """Rejects the load beyond `capacity`, one tier after the other, local load last."""
    admitted = {site.name: dict(site.load) for site in sites}
    evacuated = {site.name for site in sites if site.is_lost or site.level < 1}
    retry_load = sum(site.retry_load for site in sites)
    rejected = dict.fromkeys(SheddingTier, 0.0)
    excess = sum(sum(load.values()) for load in admitted.values()) + retry_load - capacity
    for tier in (*order, SheddingTier.LOCAL):
        if tier is SheddingTier.RETRY:
            rejected[tier] = max(0.0, min(retry_load, excess))
            excess -= rejected[tier]
            continue
        for pool in rejection_pools(tier, admitted, evacuated, shares, capacity):
            size = sum(pool.values())
            if excess <= EPSILON or size <= EPSILON:
                continue
            part = min(1.0, excess / size)
            for (site, tenant), rate in pool.items():
                admitted[site][tenant] -= part * rate
            rejected[tier] += part * size
            excess -= part * size
    return RejectionResult(admitted, {tier: rate for tier, rate in rejected.items() if rate > EPSILON})


def rejection_pools(
    tier: SheddingTier,
    admitted: dict[str, TenantRates],
    evacuated: set[str],
    shares: Mapping[str, float],
    capacity: float,
) -> list[SiteTenantRates]:
    """Returns what a tier may reject by site and tenant; one pool is exhausted before the next."""
    if tier is SheddingTier.EVACUATED:
        return [{(site, tenant): rate for site in evacuated for tenant, rate in admitted[site].items()}]
    if tier is SheddingTier.LOCAL:
        return [{(site, tenant): rate for site in admitted for tenant, rate in admitted[site].items()}]
    return _over_quota_pools(admitted, evacuated, shares, capacity)


def _over_quota_pools(
    admitted: dict[str, TenantRates], evacuated: set[str], shares: Mapping[str, float], capacity: float
) -> list[SiteTenantRates]:
    """What exceeds the tenants' shares: evacuated load first, as locally it may be within its share."""
    total: TenantRates = {}
    visiting: TenantRates = {}
    for site, load in admitted.items():
        for tenant, rate in load.items():
            visiting_rate = rate if site in evacuated else 0.0
            total[tenant] = total.get(tenant, 0.0) + rate
            visiting[tenant] = visiting.get(tenant, 0.0) + visiting_rate
    evacuated_pool: SiteTenantRates = {}
    local_pool: SiteTenantRates = {}
    for tenant, rate in total.items():
        excess = max(0.0, rate - shares.get(tenant, 0.0) * capacity)
        evacuated_excess = min(excess, visiting[tenant])
        for site, load in admitted.items():
            if tenant not in load:
                continue
            if site in evacuated and visiting[tenant] > 0:
                evacuated_pool[site, tenant] = evacuated_excess * load[tenant] / visiting[tenant]
            elif site not in evacuated and rate > visiting[tenant]:
                local_pool[site, tenant] = (
                    (excess - evacuated_excess) * load[tenant] / (rate - visiting[tenant])
                )
    return [evacuated_pool, local_pool]


# ---- step 2: place -------------------------------------------------------------------------------------


class LoadPlacement:
    """Places the admitted load of each site, locally first and then over the cheapest links."""

    def __init__(self, sites: list[SiteCapacity], admitted: dict[str, TenantRates]) -> None:
        """Starts with nothing placed."""
        self.flows: dict[tuple[str, str], float] = {}
        self._spare = {site.name: site.capacity for site in sites if site.capacity > 0}
        self._unplaced = {site.name: sum(admitted[site.name].values()) for site in sites}

    def place_locally(self) -> None:
        """Places at each site what fits there of its own load."""
        for site in self._spare:
            self._place(site, site, self._spare[site])

    def place_remotely(self, costs: LinkCosts) -> None:
        """Sends the rest over the cheapest links; links of one cost share it by spare capacity."""
        targets_by_cost: dict[tuple[float, str], list[str]] = {}
        for source in self._unplaced:
            for target in self._spare:
                if source != target and self._unplaced[source] > EPSILON:
                    cost = costs.get((source, target), DEFAULT_LINK_COST)
                    targets_by_cost.setdefault((cost, source), []).append(target)
        for cost, source in sorted(targets_by_cost):
            targets = targets_by_cost[cost, source]
            spare = sum(self._spare[target] for target in targets)
            remaining = self._unplaced[source]
            for target in targets:
                if spare > EPSILON:
                    self._place(source, target, min(1.0, remaining / spare) * self._spare[target])

    def _place(self, source: str, target: str, limit: float) -> None:
        rate = min(self._unplaced[source], self._spare[target], limit)
        if rate > EPSILON:
            self.flows[source, target] = self.flows.get((source, target), 0.0) + rate
            self._unplaced[source] -= rate
            self._spare[target] -= rate


# ---- step 3: quotas ------------------------------------------------------------------------------------


def _set_quotas(
    plan: SitePlan, site: SiteCapacity, admitted: TenantRates, shares: Mapping[str, float]
) -> None:
    """Divides a site's capacity among its tenants and evacuated callers, and its quotas among its members."""
    local = plan.flows.get((site.name, site.name), 0.0)
    placed = sum(rate for (_, target), rate in plan.flows.items() if target == site.name)
    visiting = placed - local
    total = max(EPSILON, sum(admitted.values()))
    demands = {tenant: local * admitted.get(tenant, 0.0) / total for tenant in shares}
    allotted = water_fill(site.capacity - visiting, demands, shares)
    # Unused capacity is free for whoever comes: a quota binds only where capacity is short.
    unused = max(0.0, site.capacity - placed)
    plan.visiting_load[site.name] = visiting
    plan.utilization[site.name] = min(1.0, placed / site.capacity)
    plan.evacuated_quotas[site.name] = visiting + unused
    plan.tenant_quotas[site.name] = {
        tenant: allotted[tenant] + unused * share for tenant, share in shares.items()
    }
    total_capacity = sum(site.member_capacity.values())
    for member, capacity in site.member_capacity.items():
        plan.member_sites[member] = site.name
        plan.member_parts[member] = capacity / total_capacity


# ---- the plan ------------------------------------------------------------------------------------------


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
            level=site.level,
        )
        for site in sites
    ]
    return plan_sites(remaining, tenants, costs, order)
