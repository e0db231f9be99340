"""Checks of a fleet file that its types can't express.

Each check yields one line for each violation, with its place in the file, and continues after the first.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from ..admission.types import SheddingTier
from .fleet_file import Budget, Fleet, Member

MAX_PLANNERS = 9  # more could not agree in time
MAX_PORT = 65_535
MIN_REPORTS_PER_PLAN = 4  # report intervals in a plan's validity: a plan outlasts some lost reports
MIN_POLLS_BEFORE_STALE = 2  # poll intervals for which an inventory has to be valid
ROUNDING_TOLERANCE = 1e-9  # rounding errors in sums of shares


def violations(fleet: Fleet) -> Iterator[str]:
    """Return all violations of a fleet file."""
    return chain(
        check_counts(fleet),
        check_addresses(fleet),
        check_routers(fleet),
        check_links(fleet),
        check_shedding_tiers(fleet),
        check_budgets(fleet),
        check_services(fleet),
        check_platform(fleet),
        check_shares(fleet),
        check_spans(fleet),
    )


def check_unique(place: str, names: list[str], kind: str) -> Iterator[str]:
    """Checks that `names` has no duplicate; `kind` states in the lines what is named."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{place}: the {kind} {name!r} stands there twice"
        seen.add(name)


def check_known(place: str, names: list[str], known: set[str], description: str) -> Iterator[str]:
    """Checks that all `names` are in `known`; the lines read `PLACE: no DESCRIPTION NAME`."""
    for name in names:
        if name not in known:
            yield f"{place}: no {description} {name!r}"


def members_with_places(fleet: Fleet) -> list[tuple[str, Member]]:
    """Return all members, each with its place in the file."""
    return [
        (f"sites[{site_index}].members[{member_index}]", member)
        for site_index, site in enumerate(fleet.sites)
        for member_index, member in enumerate(site.members)
    ]


def check_counts(fleet: Fleet) -> Iterator[str]:
    """Checks that there are sites and 1 to `MAX_PLANNERS` planners, and that names are unique."""
    yield from check_unique("planners", [planner.name for planner in fleet.planners], "name")
    yield from check_unique("sites", [site.name for site in fleet.sites], "name")
    if not fleet.planners:
        yield "planners: there is none"
    if len(fleet.planners) > MAX_PLANNERS:
        yield f"planners: {len(fleet.planners)}, and nine at most can agree in time"
    if not fleet.sites:
        yield "sites: there is none"
    yield from check_unique("sites", [member.name for member in fleet.members], "member")


def check_addresses(fleet: Fleet) -> Iterator[str]:
    """Checks that ports exist and no address is given twice."""
    addresses = [(f"planners[{index}]", planner.address) for index, planner in enumerate(fleet.planners)]
    addresses += [(place, member.address) for place, member in members_with_places(fleet)]
    first_places: dict[str, str] = {}
    for place, address in addresses:
        port = int(address.rpartition(":")[2])
        if not 0 < port <= MAX_PORT:
            yield f"{place}.address: no such port in {address!r}"
        elif address in first_places:
            yield f"{place}.address: {address!r} stands at {first_places[address]} too"
        first_places.setdefault(address, place)


def check_routers(fleet: Fleet) -> Iterator[str]:
    """Checks that each site has members, and that no router number is given twice."""
    sites_by_router: dict[int, str] = {}
    for index, site in enumerate(fleet.sites):
        if not site.members:
            yield f"sites[{index}].members: site {site.name!r} has none"
        for router in site.routers:
            if router in sites_by_router:
                first_site = sites_by_router[router]
                yield f"sites[{index}].routers: router {router} is at home in {first_site!r} too"
            sites_by_router.setdefault(router, site.name)


def check_links(fleet: Fleet) -> Iterator[str]:
    """Checks that links join two different sites, each pair once."""
    site_names = {site.name for site in fleet.sites}
    for index, link in enumerate(fleet.links):
        ends = [link.source, link.target]
        yield from check_known(f"links[{index}]", ends, site_names, "site is named")
        if link.source == link.target:
            yield f"links[{index}]: from {link.source!r} to itself"
    yield from check_unique("links", [f"{link.source} to {link.target}" for link in fleet.links], "link")


def check_shedding_tiers(fleet: Fleet) -> Iterator[str]:
    """Checks that the tiers exist, each is given once, and local requests are shed last."""
    known = [tier.value for tier in SheddingTier]
    for index, tier in enumerate(fleet.shedding_tiers):
        if tier not in known:
            yield f"refuse[{index}]: no such kind of refusal as {tier!r}; there are {', '.join(known)}"
    yield from check_unique("refuse", list(fleet.shedding_tiers), "kind")
    local = SheddingTier.LOCAL.value
    if local in fleet.shedding_tiers and fleet.shedding_tiers[-1] != local:
        yield "refuse: what stands behind 'home' can't be refused before it, as home is all that is left"


def check_budgets(fleet: Fleet) -> Iterator[str]:
    """Checks that budgets cover something that exists and limit something."""
    budgets = fleet.disruption_budgets
    yield from check_unique("groups", [budget.name for budget in budgets], "group")
    for index, budget in enumerate(budgets):
        yield from check_budget_names(fleet, index, budget)
        if not covers_anything(budget):
            yield f"groups[{index}]: group {budget.name!r} has no members"
        if budget.max_out is None and budget.max_out_fraction is None and not budget.min_capacity:
            yield f"groups[{index}]: group {budget.name!r} bounds nothing"


def check_budget_names(fleet: Fleet, index: int, budget: Budget) -> Iterator[str]:
    """Checks that all names in a budget exist."""
    place = f"groups[{index}]"
    site_names = {site.name for site in fleet.sites}
    member_names = {member.name for member in fleet.members}
    service_names = {service.name for service in fleet.services}
    service_kinds = {service.kind for service in fleet.services}
    yield from check_known(f"{place}.sites", budget.sites, site_names, "site is named")
    yield from check_known(f"{place}.members", budget.members, member_names, "member is named")
    yield from check_known(f"{place}.services", budget.services, service_names, "service is named")
    yield from check_known(f"{place}.kinds", budget.service_kinds, service_kinds, "service is of the kind")


def covers_anything(budget: Budget) -> bool:
    """Return whether a budget covers all members or names any site, member, service or kind."""
    return budget.covers_all or any((budget.sites, budget.members, budget.services, budget.service_kinds))


def check_services(fleet: Fleet) -> Iterator[str]:
    """Checks that service names are unique and differ from members', and that required services exist."""
    service_names = {service.name for service in fleet.services}
    member_names = {member.name for member in fleet.members}
    yield from check_unique("services", [service.name for service in fleet.services], "service")
    for service in fleet.services:
        if service.name in member_names:
            yield f"services: {service.name!r} is an app server too"
    for member in fleet.members:
        for name in member.required_services:
            if name not in service_names:
                yield f"sites: {member.name!r} needs {name!r}, and no service is named so"


def check_platform(fleet: Fleet) -> Iterator[str]:
    """Checks that services have a platform, and that it is polled often enough."""
    platform = fleet.platform
    if platform is None:
        if fleet.services:
            yield "services: without a platform nobody tells how they are"
        return
    if platform.stale_ms < MIN_POLLS_BEFORE_STALE * platform.ask_ms:
        yield f"platform.stale_ms: {platform.stale_ms} is under two askings of {platform.ask_ms} ms"


def check_shares(fleet: Fleet) -> Iterator[str]:
    """Checks that the tenants' shares add up to at most 1, and the members' calls to the vault's total."""
    tenant_sum = sum(fleet.tenant_shares.values())
    if tenant_sum > 1 + ROUNDING_TOLERANCE:
        yield f"tenants: the shares add up to {tenant_sum:.3f}, more than 1"
    if fleet.vault is None:
        return
    base_sum = sum(fleet.base_calls().values())
    if base_sum > fleet.vault.total_calls + ROUNDING_TOLERANCE:
        yield f"vault.total: {fleet.vault.total_calls:g}, and the members' calls add up to {base_sum:g}"


def check_spans(fleet: Fleet) -> Iterator[str]:
    """Checks that a plan stays valid while some reports are lost."""
    if fleet.plan_ms < MIN_REPORTS_PER_PLAN * fleet.report_ms:
        yield f"plan_ms: {fleet.plan_ms} is under four reports of {fleet.report_ms} ms: plans would lapse"
