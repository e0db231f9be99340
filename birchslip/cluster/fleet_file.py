"""Types of the operators' fleet file, and values derived from them.

`fleet_reader.py` reads the file and `fleet_validation.py` checks what the types can't express. The keys in
the file and the names of the classes are part of the JSON Schema that operators use
(`deploy/fleet.schema.json`); an attribute's key is its own name unless the class's `rename` gives another.
Attributes that end in `_ms` are in milliseconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..admission.types import MS, SheddingTier
from .disruption_types import BudgetGroup
from .messages import Fraction, Name

Address = Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$", description="HOST:PORT")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
RouterNumber = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Cost = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class FleetFilePart(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of the file's parts; unknown keys are errors."""


Identifier = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Planner(FleetFilePart):
    """One planner, and the address at which members, other planners and operators connect to it."""

    name: Identifier
    address: Address


class Member(FleetFilePart, rename={"downstream_calls": "calls", "required_services": "needs"}):
    """One app server: its address, its share of the vault, and the services that it requires.

    Attributes:
        name: Its name.
        address: Where routers connect to it.
        downstream_calls: Its base share of the vault's concurrent calls; by default an even share of what
            the members with a share of their own leave.
        required_services: Names of the services without which it counts as unavailable.
    """

    name: Name
    address: Address
    downstream_calls: Positive | None = None
    required_services: list[Name] = []


class Service(FleetFilePart):
    """One downstream service: its name on the platform, and the kind of service of which it is a replica."""

    name: Name
    kind: Identifier


class Platform(FleetFilePart):
    """The platform, which starts and stops the fleet's processes.

    Attributes:
        address: Its address.
        ask_ms: Interval between two polls of its inventory.
        stale_ms: How long the response to a poll is valid.
    """

    address: Address
    ask_ms: Milliseconds = 250
    stale_ms: Milliseconds = 3_000


class Site(FleetFilePart):
    """One site: its app servers, and the numbers of the routers whose callers are local to it."""

    name: Name
    members: list[Member]
    routers: list[RouterNumber] = []


class Link(FleetFilePart):
    """The cost of sending one site's load to another; pairs without a link cost 1.

    Costs are only compared: load goes over the cheapest links first.
    """

    source: Name = msgspec.field(name="from")
    target: Name = msgspec.field(name="to")
    cost: Cost


class Budget(
    FleetFilePart,
    rename={
        "service_kinds": "kinds",
        "covers_all": "all",
        "max_out": "most_out",
        "max_out_fraction": "share_out",
        "min_capacity": "least_room",
    },
):
    """A disruption budget: how many app servers and services may be unavailable at once.

    Attributes:
        name: Its name.
        sites: Sites whose app servers it covers.
        members: App servers that it covers.
        services: Services that it covers.
        service_kinds: Kinds of services that it covers.
        covers_all: Whether it covers all app servers.
        max_out: Number of them that may be unavailable; None sets no bound.
        max_out_fraction: Fraction of them that may be unavailable; None sets no bound.
        min_capacity: Capacity in requests per second that has to stay in service; 0 sets no bound.
    """

    name: Identifier
    sites: list[Name] = []
    members: list[Name] = []
    services: list[Name] = []
    service_kinds: list[Identifier] = []
    covers_all: bool = False
    max_out: Annotated[int, msgspec.Meta(ge=0, le=100_000)] | None = None
    max_out_fraction: Fraction | None = None
    min_capacity: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0


class Vault(FleetFilePart, rename={"total_calls": "total", "unleased_fraction": "kept"}):
    """The shared vault.

    Attributes:
        total_calls: Concurrent calls allowed to all app servers together.
        unleased_fraction: Fraction of each member's base share that needs no lease and is never granted to
            other members.
        lease_ms: Duration of the leases on the rest.
    """

    total_calls: Positive
    unleased_fraction: Fraction = 0.5
    lease_ms: Milliseconds = 5_000


class Fleet(
    FleetFilePart,
    rename={"tenant_shares": "tenants", "shedding_tiers": "refuse", "disruption_budgets": "groups"},
):
    """The contents of a fleet file.

    Attributes:
        planners: Its planners.
        sites: Its sites with their app servers.
        links: Costs of sending load between sites.
        tenant_shares: Each tenant's share of an app server, 0 to 1, by the tenant's name.
        shedding_tiers: Tiers of requests to reject when capacity is short, as words of `SheddingTier` and in
            the order of rejection.
        vault: The shared vault, if there is one.
        disruption_budgets: How many members and services may be unavailable at once.
        services: Downstream services.
        platform: The platform that starts and stops processes, if there is one.
        report_ms: Interval between two reports of a member.
        plan_ms: How long a plan is valid without being renewed.
        fade_ms: Time over which an expired plan gradually loses its effect.
        patience_ms: How long a starting member waits for a planner before it is listed.
    """

    planners: list[Planner]
    sites: list[Site]
    links: list[Link] = []
    tenant_shares: dict[Name, Fraction] = {}
    shedding_tiers: list[Name] = msgspec.field(default_factory=lambda: [tier.value for tier in SheddingTier])
    vault: Vault | None = None
    disruption_budgets: list[Budget] = []
    services: list[Service] = []
    platform: Platform | None = None
    report_ms: Milliseconds = 200
    plan_ms: Milliseconds = 4_000
    fade_ms: Milliseconds = 5_000
    patience_ms: Milliseconds = 1_500

    @property
    def shedding_order(self) -> tuple[SheddingTier, ...]:
        """The shedding tiers, in the order of rejection."""
        return tuple(SheddingTier(tier) for tier in self.shedding_tiers)

    @property
    def link_costs(self) -> dict[tuple[str, str], float]:
        """Costs of sending load, by source and target site; only of the links in the file."""
        return {(link.source, link.target): link.cost for link in self.links}

    @property
    def members(self) -> list[Member]:
        """The members of all sites, in the file's order."""
        return [member for site in self.sites for member in site.members]

    def base_calls(self) -> dict[str, float]:
        """Return each member's base share of the vault, in concurrent calls; empty without a vault."""
        if self.vault is None:
            return {}
        fixed_calls = sum(
            member.downstream_calls for member in self.members if member.downstream_calls is not None
        )
        sharing = [member for member in self.members if member.downstream_calls is None]
        even_share = max(0.0, self.vault.total_calls - fixed_calls) / max(1, len(sharing))
        return {
            member.name: even_share if member.downstream_calls is None else member.downstream_calls
            for member in self.members
        }

    def budget_groups(self) -> list[BudgetGroup]:
        """Return the disruption budgets as groups, with the names of all members and services covered."""
        return [
            BudgetGroup(
                budget.name,
                frozenset(self.covered_names(budget)),
                budget.max_out,
                budget.max_out_fraction,
                budget.min_capacity,
            )
            for budget in self.disruption_budgets
        ]

    def covered_names(self, budget: Budget) -> set[str]:
        """Return the names of the members and services that a budget covers."""
        names = {*budget.members, *budget.services}
        for site in self.sites:
            if budget.covers_all or site.name in budget.sites:
                names.update(member.name for member in site.members)
        names.update(service.name for service in self.services if service.kind in budget.service_kinds)
        return names

    def required_services(self) -> dict[str, list[str]]:
        """Return the services that each member requires, for members that require any."""
        return {member.name: member.required_services for member in self.members if member.required_services}

    def rollout_scopes(self) -> dict[str, list[str]]:
        """Return the app servers of each site and of each budget, by name and in the file's order.

        A release file names them as `sites` and `groups`. If a site and a budget have the same name, it
        stands for the site.
        """
        scopes = {site.name: [member.name for member in site.members] for site in self.sites}
        in_order = [name for names in scopes.values() for name in names]
        for group in self.budget_groups():
            scopes.setdefault(group.name, [name for name in in_order if name in group.members])
        return scopes

    def site_of(self, member: str) -> Site | None:
        """Return the site of the member with that name, or None if the file has no such member."""
        for site in self.sites:
            if any(candidate.name == member for candidate in site.members):
                return site
        return None


def span(milliseconds: int) -> int:
    """Convert a duration to tenths of a millisecond, the unit of all times in planners and app servers."""
    return milliseconds * MS
