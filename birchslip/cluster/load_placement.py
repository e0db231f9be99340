"""Second step of a site plan: keeps local load at its site and sends the rest over the cheapest links.

Load is placed only within measured capacity. Rates are in requests per second. Plans are compared for exact
equality, so the order in which floating-point values are summed must not change.
"""

from __future__ import annotations

from collections.abc import Mapping

from .site_capacity import EPSILON, SiteCapacity, TenantRates

DEFAULT_LINK_COST = 1.0

LinkCosts = Mapping[tuple[str, str], float]


class LoadPlacement:
    """Places the admitted load of each site, locally first and then over the cheapest links.

    Attributes:
        flows: Placed load by the callers' site and the serving site.
    """

    def __init__(self, sites: list[SiteCapacity], admitted: dict[str, TenantRates]) -> None:
        """Start without any load placed; `admitted` is the load by site and tenant."""
        self.flows: dict[tuple[str, str], float] = {}
        self._spare = {site.name: site.capacity for site in sites if site.capacity > 0}
        self._unplaced = {site.name: sum(admitted[site.name].values()) for site in sites}

    def place_locally(self) -> None:
        """Place the local load of each site there, up to the site's capacity."""
        for site in self._spare:
            self._place(site, site, self._spare[site])

    def place_remotely(self, costs: LinkCosts) -> None:
        """Place the remaining load over the cheapest links; links of equal cost share it by spare capacity.

        Args:
            costs: Cost of the link from one site to another; `DEFAULT_LINK_COST` if it is not given.
        """
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
