"""Plan publication: the newest site plan, and the one that a majority has stored and members receive.

No member receives a plan before `publish`, which the caller calls once a majority has stored its version.
"""

from __future__ import annotations

from collections.abc import Mapping

from .fleet_file import Fleet, span
from .messages import PlanAssignment
from .site_capacity import SiteCapacity
from .site_plan import SitePlan, plan_sites


class PlanPublisher:
    """The pending and the published plan.

    Attributes:
        pending: The newest plan.
        pending_since: When it was made, in tenths of a millisecond.
        published: The plan that members receive.
        published_levels: The part of each site's cores that may be used, as of the published plan.
    """

    def __init__(self) -> None:
        """Starts with empty plans."""
        self.pending = SitePlan()
        self.pending_since = 0
        self.published = SitePlan()
        self.published_levels: dict[str, float] = {}

    def replan(self, fleet: Fleet, capacities: list[SiteCapacity], now: int) -> None:
        """Makes a new plan from what is measured."""
        self.pending_since = now
        self.pending = plan_sites(capacities, fleet.tenant_shares, fleet.link_costs, fleet.shedding_order)

    def publish(self, levels: dict[str, float]) -> None:
        """Makes the pending plan the one that members receive, with the sites' present levels."""
        self.published = self.pending
        self.published_levels = levels

    def assignment(
        self, fleet: Fleet, site_of_member: Mapping[str, str], name: str, term: int, number: int
    ) -> PlanAssignment:
        """Returns one member's part of the published plan.

        With every site serving it changes nothing, so that members drop what was in force before.
        """
        levels = self.published_levels
        plan = self.published
        level = levels[site_of_member[name]]
        recovering = [site for site, part in levels.items() if part < 1]
        quotas: dict[str, float] = {}
        shedding_order: list[str] = []
        if recovering:
            quotas = plan.member_tenant_quotas(name)
            shedding_order = list(fleet.shedding_tiers)
        evacuated_callers: list[int] = []
        if level == 1:
            evacuated = [site for site in fleet.sites if site.name in recovering]
            evacuated_callers = [router for site in evacuated for router in site.routers]
        return PlanAssignment(
            term=term,
            number=number,
            validity_span=span(fleet.plan_ms),
            fade_span=span(fleet.fade_ms),
            quotas=quotas,
            evacuated_callers=evacuated_callers,
            evacuated_quota=plan.member_evacuated_quota(name),
            shedding_order=shedding_order,
            serving_fraction=level,
            is_listed=level > 0,
            is_capacity_short=plan.is_short and bool(recovering),
        )
