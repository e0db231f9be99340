"""Max-min fair division of capacity among tenants.

No tenant gets more than its share while another one gets less than both its share and its demand.
"""

from __future__ import annotations

from collections.abc import Mapping

from .site_capacity import EPSILON, SiteCapacity, TenantRates


def water_fill(capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]) -> TenantRates:
    """Divide capacity by weighted max-min fairness.

    Args:
        capacity: Capacity to divide.
        demands: Demand of each tenant, in the unit of `capacity`.
        weights: Weight of each tenant; a missing weight counts as `EPSILON`.

    Returns:
        The allotment of each tenant; a tenant that demands no more than its weighted share gets its demand.
    """
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
    """Return the tenants' shares scaled to a sum of 1, or equal shares if none are configured."""
    names = {tenant for site in sites for tenant in site.load} | set(tenants)
    configured = {name: tenants.get(name, 0.0) for name in sorted(names)}
    total = sum(configured.values())
    if total <= 0:
        return dict.fromkeys(configured, 1 / max(1, len(configured)))
    return {name: share / total for name, share in configured.items()}
