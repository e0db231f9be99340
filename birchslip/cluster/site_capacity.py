"""A site as the planners measure it: what it can serve and the load of its own callers.

Rates are requests a second.
"""

from __future__ import annotations

from dataclasses import dataclass

EPSILON = 1e-9  # rates below it are rounding errors

TenantRates = dict[str, float]
SiteTenantRates = dict[tuple[str, str], float]


@dataclass(slots=True)
class SiteCapacity:
    """A site as it was measured.

    Attributes:
        member_capacity: What each member could serve.
        load: First tries of the site's own callers, by tenant.
        retry_load: Further tries.
        is_lost: Whether it can serve nothing.
        serving_fraction: The part of its capacity that may be used, less than 1 while it recovers.
    """

    name: str
    member_capacity: dict[str, float]
    load: TenantRates
    retry_load: float = 0.0
    is_lost: bool = False
    serving_fraction: float = 1.0

    @property
    def capacity(self) -> float:
        """What the site can serve now."""
        return 0.0 if self.is_lost else self.serving_fraction * sum(self.member_capacity.values())

    @property
    def total_load(self) -> float:
        """The first tries of all tenants together."""
        return sum(self.load.values())
