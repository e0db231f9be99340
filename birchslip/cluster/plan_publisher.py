"""Plan publication: the newest site plan, and the published one that members receive.

A plan reaches members only after `publish`, which the caller calls once a majority has stored its version.
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
        pending_since: When the newest plan was made, in tenths of a millisecond.
        published: The plan that members receive.
        published_serving_fractions: Fraction of each site's cores that members may use under the published
            plan, by site; as of its publication.
    """

    def __init__(self) -> None:
        """Create a publisher with empty plans."""
        self.pending = SitePlan()
        self.pending_since = 0
        self.published = SitePlan()
        self.published_serving_fractions: dict[str, float] = {}

    def replan(self, fleet: Fleet, capacities: list[SiteCapacity], now: int) -> None:
        """Make a new pending plan from the measured capacities and loads, at the time `now`."""
        self.pending_since = now
        self.pending = plan_sites(capacities, fleet.tenant_shares, fleet.link_costs, fleet.shedding_order)

    def publish(self, serving_fractions: dict[str, float]) -> None:
        """Publish the pending plan with the current serving fraction of each site."""
        self.published = self.pending
        self.published_serving_fractions = serving_fractions

    def assignment(
        self, fleet: Fleet, site_of_member: Mapping[str, str], name: str, term: int, number: int
    ) -> PlanAssignment:
        """Return one member's part of the published plan.

        While every site serves, the assignment has no restrictions, so that members drop earlier ones.

        Args:
            fleet: The fleet file in force.
            site_of_member: Site of each member, by name.
            name: The member's name.
            term: The leader's term.
            number: Number of the plan within the term.
        """
        serving_fractions = self.published_serving_fractions
        plan = self.published
        serving_fraction = serving_fractions[site_of_member[name]]
        recovering = [site for site, fraction in serving_fractions.items() if fraction < 1]
        quotas: dict[str, float] = {}
        shedding_order: list[str] = []
        if recovering:
            quotas = plan.member_tenant_quotas(name)
            shedding_order = list(fleet.shedding_tiers)
        evacuated_callers: list[int] = []
        if serving_fraction == 1:
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
            serving_fraction=serving_fraction,
            is_listed=serving_fraction > 0,
            is_capacity_short=plan.is_short and bool(recovering),
        )
