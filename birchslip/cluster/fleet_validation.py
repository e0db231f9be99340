"""Checks of a fleet file that its types can't express.

Each check yields one line for each violation, with its place in the file, and continues after the first. A
line names the key, the value that is wrong and what is expected.
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
    """Return one line for each violation in a fleet file, in the order of the checks; none if it is valid."""
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
    """Check that `names` has no duplicate.

    Args:
        place: The place of the names in the file, at which the lines begin.
        names: The names in the file's order.
        kind: What the names stand for, in the words of the lines.
    """
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{place}: the {kind} {name!r} is given more than once"
        seen.add(name)


def check_known(place: str, names: list[str], known: set[str], description: str) -> Iterator[str]:
    """Check that all `names` are in `known`; the lines read `PLACE: no DESCRIPTION NAME`."""
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
    """Check that there are sites and 1 to `MAX_PLANNERS` planners, and that names are unique."""
    yield from check_unique("planners", [planner.name for planner in fleet.planners], "name")
    yield from check_unique("sites", [site.name for site in fleet.sites], "name")
    if not fleet.planners:
        yield "planners: the list is empty; at least one planner is required"
    if len(fleet.planners) > MAX_PLANNERS:
        yield f"planners: {len(fleet.planners)} are listed; at most {MAX_PLANNERS} can agree in time"
    if not fleet.sites:
        yield "sites: the list is empty; at least one site is required"
    yield from check_unique("sites", [member.name for member in fleet.members], "member")


def check_addresses(fleet: Fleet) -> Iterator[str]:
    """Check that ports are in range, and that planners and members all have different addresses."""
    addresses = [(f"planners[{index}]", planner.address) for index, planner in enumerate(fleet.planners)]
    addresses += [(place, member.address) for place, member in members_with_places(fleet)]
    first_places: dict[str, str] = {}
    for place, address in addresses:
        port = int(address.rpartition(":")[2])
        if not 0 < port <= MAX_PORT:
            yield f"{place}.address: the port in {address!r} is not between 1 and {MAX_PORT}"
        elif address in first_places:
            yield f"{place}.address: {address!r} is already the address of {first_places[address]}"
        first_places.setdefault(address, place)


def check_routers(fleet: Fleet) -> Iterator[str]:
    """Check that each site has members, and that no router number is given twice."""
    sites_by_router: dict[int, str] = {}
    for index, site in enumerate(fleet.sites):
        if not site.members:
            yield f"sites[{index}].members: site {site.name!r} has no members; at least one is required"
        for router in site.routers:
            if router in sites_by_router:
                first_site = sites_by_router[router]
                yield f"sites[{index}].routers: router {router} is already listed at site {first_site!r}"
            sites_by_router.setdefault(router, site.name)


def check_links(fleet: Fleet) -> Iterator[str]:
    """Check that links join two different known sites, and that each pair is given once in a direction."""
    site_names = {site.name for site in fleet.sites}
    for index, link in enumerate(fleet.links):
        ends = [link.source, link.target]
        yield from check_known(f"links[{index}]", ends, site_names, "site is named")
        if link.source == link.target:
            yield f"links[{index}]: 'from' and 'to' are both {link.source!r}; expected two different sites"
    yield from check_unique("links", [f"{link.source} to {link.target}" for link in fleet.links], "link")


def check_shedding_tiers(fleet: Fleet) -> Iterator[str]:
    """Check that the tiers exist, each is given once, and local requests are shed last."""
    known = [tier.value for tier in SheddingTier]
    for index, tier in enumerate(fleet.shedding_tiers):
        if tier not in known:
            yield f"refuse[{index}]: no tier is named {tier!r}; expected one of {', '.join(known)}"
    yield from check_unique("refuse", list(fleet.shedding_tiers), "tier")
    local = SheddingTier.LOCAL.value
    if local in fleet.shedding_tiers and fleet.shedding_tiers[-1] != local:
        yield "refuse: 'home' must be the last tier, as it covers all load that earlier tiers have left"


def check_budgets(fleet: Fleet) -> Iterator[str]:
    """Check that budgets have unique names, name only what exists, cover something and set a limit."""
    budgets = fleet.disruption_budgets
    yield from check_unique("groups", [budget.name for budget in budgets], "group")
    for index, budget in enumerate(budgets):
        yield from check_budget_names(fleet, index, budget)
        if not covers_anything(budget):
            yield (
                f"groups[{index}]: group {budget.name!r} covers nothing; "
                "expected 'all', 'sites', 'members', 'services' or 'kinds'"
            )
        if budget.max_out is None and budget.max_out_fraction is None and not budget.min_capacity:
            yield (
                f"groups[{index}]: group {budget.name!r} sets no limit; "
                "expected 'most_out', 'share_out' or 'least_room'"
            )


def check_budget_names(fleet: Fleet, index: int, budget: Budget) -> Iterator[str]:
    """Check that all names in the budget with this index exist."""
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
    """Check that service names are unique and differ from members', and that required services exist."""
    service_names = {service.name for service in fleet.services}
    member_names = {member.name for member in fleet.members}
    yield from check_unique("services", [service.name for service in fleet.services], "service")
    for service in fleet.services:
        if service.name in member_names:
            yield f"services: {service.name!r} is already the name of an app server"
    for member in fleet.members:
        for name in member.required_services:
            if name not in service_names:
                yield f"sites: member {member.name!r} lists {name!r} under 'needs', which is no service"


def check_platform(fleet: Fleet) -> Iterator[str]:
    """Check that services have a platform, and that it is polled often enough for `stale_ms`."""
    platform = fleet.platform
    if platform is None:
        if fleet.services:
            yield "services: 'platform' is required, as the state of services is known only from the platform"
        return
    if platform.stale_ms < MIN_POLLS_BEFORE_STALE * platform.ask_ms:
        yield (
            f"platform.stale_ms: {platform.stale_ms} is less than {MIN_POLLS_BEFORE_STALE} times ask_ms, "
            f"which is {platform.ask_ms}"
        )


def check_shares(fleet: Fleet) -> Iterator[str]:
    """Check that tenants' shares add up to at most 1, and members' calls to at most the vault's total."""
    tenant_sum = sum(fleet.tenant_shares.values())
    if tenant_sum > 1 + ROUNDING_TOLERANCE:
        yield f"tenants: the shares add up to {tenant_sum:.3f}; at most 1 is allowed"
    if fleet.vault is None:
        return
    base_sum = sum(fleet.base_calls().values())
    if base_sum > fleet.vault.total_calls + ROUNDING_TOLERANCE:
        yield f"vault.total: {fleet.vault.total_calls:g} is less than the members' calls, {base_sum:g} in sum"


def check_spans(fleet: Fleet) -> Iterator[str]:
    """Check that a plan stays valid while some reports are lost."""
    if fleet.plan_ms < MIN_REPORTS_PER_PLAN * fleet.report_ms:
        yield (
            f"plan_ms: {fleet.plan_ms} is less than {MIN_REPORTS_PER_PLAN} times report_ms, which is "
            f"{fleet.report_ms}; plans would expire when some reports are lost"
        )
