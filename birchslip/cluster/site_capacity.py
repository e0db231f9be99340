"""Measured capacity of a site and load of its local callers.

Rates are in requests per second.
"""

from __future__ import annotations

from dataclasses import dataclass

EPSILON = 1e-9  # lower rates are rounding errors

TenantRates = dict[str, float]
SiteTenantRates = dict[tuple[str, str], float]


@dataclass(slots=True)
class SiteCapacity:
    """Capacity and load of one site.

    Attributes:
        name: The site's name in the fleet file.
        member_capacity: Rate that each member can serve.
        load: First attempts of the site's local callers, by tenant.
        retry_load: Retries of the site's local callers.
        is_lost: Whether the site cannot serve any load.
        serving_fraction: Fraction of the capacity that may be used; less than 1 while the site recovers.
    """

    name: str
    member_capacity: dict[str, float]
    load: TenantRates
    retry_load: float = 0.0
    is_lost: bool = False
    serving_fraction: float = 1.0

    @property
    def capacity(self) -> float:
        """The rate that the site may serve now."""
        return 0.0 if self.is_lost else self.serving_fraction * sum(self.member_capacity.values())

    @property
    def total_load(self) -> float:
        """The first attempts of all tenants together."""
        return sum(self.load.values())
