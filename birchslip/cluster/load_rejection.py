"""First step of a site plan: rejects the load that exceeds the capacity of all sites.

Load is rejected tier by tier in the operators' order; placing the rest is the task of `load_placement.py`.
Rates are in requests per second. Plans are compared for exact equality, so the order in which floating-point
values are summed must not change.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..admission.types import SheddingTier
from .site_capacity import EPSILON, SiteCapacity, SiteTenantRates, TenantRates


class RejectionResult(NamedTuple):
    """Load that is admitted and load that is rejected.

    Attributes:
        admitted: Admitted load by site and tenant, without retries.
        rejected: Rejected load by tier.
    """

    admitted: dict[str, TenantRates]
    rejected: dict[SheddingTier, float]


def reject_excess(
    sites: list[SiteCapacity],
    shares: Mapping[str, float],
    order: tuple[SheddingTier, ...],
    capacity: float,
) -> RejectionResult:
    """Reject the load that exceeds the capacity, one tier after another and local load last.

    Args:
        sites: Sites with their measured load.
        shares: Share of each tenant; the sum is 1.
        order: Tiers in the order in which load is rejected.
        capacity: Capacity of all sites together.
    """
    admitted = {site.name: dict(site.load) for site in sites}
    evacuated = {site.name for site in sites if site.is_lost or site.serving_fraction < 1}
    retry_load = sum(site.retry_load for site in sites)
    rejected = dict.fromkeys(SheddingTier, 0.0)
    excess = sum(sum(load.values()) for load in admitted.values()) + retry_load - capacity
    for tier in (*order, SheddingTier.LOCAL):
        if tier is SheddingTier.RETRY:
            rejected[tier] = max(0.0, min(retry_load, excess))
            excess -= rejected[tier]
            continue
        for pool in rejection_pools(tier, admitted, evacuated, shares, capacity):
            pool_rate = sum(pool.values())
            if excess <= EPSILON or pool_rate <= EPSILON:
                continue
            fraction = min(1.0, excess / pool_rate)
            for (site, tenant), rate in pool.items():
                admitted[site][tenant] -= fraction * rate
            rejected[tier] += fraction * pool_rate
            excess -= fraction * pool_rate
    return RejectionResult(admitted, {tier: rate for tier, rate in rejected.items() if rate > EPSILON})


def rejection_pools(
    tier: SheddingTier,
    admitted: dict[str, TenantRates],
    evacuated: set[str],
    shares: Mapping[str, float],
    capacity: float,
) -> list[SiteTenantRates]:
    """Return the load that a tier may reject, as pools by site and tenant.

    A pool is exhausted before load of the next one is rejected.

    Args:
        tier: Any tier but `RETRY`, whose load is not known by tenant.
        admitted: Load by site and tenant that earlier tiers have not rejected.
        evacuated: Sites that are lost or still recovering.
        shares: Share of each tenant; the sum is 1.
        capacity: Capacity of all sites together.
    """
    if tier is SheddingTier.EVACUATED:
        return [{(site, tenant): rate for site in evacuated for tenant, rate in admitted[site].items()}]
    if tier is SheddingTier.LOCAL:
        return [{(site, tenant): rate for site in admitted for tenant, rate in admitted[site].items()}]
    return _over_quota_pools(admitted, evacuated, shares, capacity)


def _over_quota_pools(
    admitted: dict[str, TenantRates], evacuated: set[str], shares: Mapping[str, float], capacity: float
) -> list[SiteTenantRates]:
    """Return the load beyond the tenants' shares, in a pool of evacuated load and a pool of local load.

    Evacuated load is rejected first, because the tenant's local load alone may be within its share.
    """
    total: TenantRates = {}
    evacuated_total: TenantRates = {}
    for site, load in admitted.items():
        for tenant, rate in load.items():
            evacuated_rate = rate if site in evacuated else 0.0
            total[tenant] = total.get(tenant, 0.0) + rate
            evacuated_total[tenant] = evacuated_total.get(tenant, 0.0) + evacuated_rate
    evacuated_pool: SiteTenantRates = {}
    local_pool: SiteTenantRates = {}
    for tenant, rate in total.items():
        excess = max(0.0, rate - shares.get(tenant, 0.0) * capacity)
        evacuated_excess = min(excess, evacuated_total[tenant])
        for site, load in admitted.items():
            if tenant not in load:
                continue
            if site in evacuated and evacuated_total[tenant] > 0:
                evacuated_pool[site, tenant] = evacuated_excess * load[tenant] / evacuated_total[tenant]
            elif site not in evacuated and rate > evacuated_total[tenant]:
                local_pool[site, tenant] = (
                    (excess - evacuated_excess) * load[tenant] / (rate - evacuated_total[tenant])
                )
    return [evacuated_pool, local_pool]
