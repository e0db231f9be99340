"""The operators' file of a fleet: JSON with a schema, checked whole before anything starts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..admission.types import MS, SheddingTier
from ..errors import InvalidInputError
from .disruption_types import BudgetGroup
from .messages import Fraction, Name

Address = Annotated[
    str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$", description="HOST:PORT"),
]  # fmt: skip
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Router = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Cost = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Piece(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A part of the file: a key that is not known is a mistake, never passed over."""


Word = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Planner(Piece):
    """One planner: where members, other planners and operators find it."""

    name: Word
    address: Address


class Member(Piece):
    """One app server and where routers find it; `calls` overrides its even share of the vault, `needs` names
    the services below without which it is out.
    """

    name: Name
    address: Address
    calls: Positive | None = None
    needs: list[Name] = []


class Service(Piece):
    """One service below, as the platform names it: a replica of a kind."""

    name: Name
    kind: Word


class Platform(Piece):
    """What starts and stops processes here: asked `ask_ms` apart how they are; what it said holds for
    `stale_ms`.
    """

    address: Address
    ask_ms: Milliseconds = 250
    stale_ms: Milliseconds = 3_000


class Site(Piece):
    """A site, its app servers, and the numbers of the routers at home there."""

    name: Name
    members: list[Member]
    routers: list[Router] = []


class Link(Piece):
    """What it costs to send a site's load to another; links that are not told cost 1."""

    source: Name = msgspec.field(name="from")
    target: Name = msgspec.field(name="to")
    cost: Cost


class Budget(Piece):
    """How many may be out at once: of the app servers of the sites and members named, or of all of
    them; of the services named, or of the kinds named.
    """

    name: Word
    sites: list[Name] = []
    members: list[Name] = []
    services: list[Name] = []
    kinds: list[Word] = []
    all: bool = False
    most_out: Annotated[int, msgspec.Meta(ge=0, le=100_000)] | None = None
    share_out: Fraction | None = None
    least_room: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0


class Vault(Piece):
    """The shared vault: calls in hand that all may have together, and the part of a share that is never
    lent.
    """

    total: Positive
    kept: Fraction = 0.5
    lease_ms: Milliseconds = 5_000


class Fleet(Piece):
    """A fleet: planners, sites, and what is agreed for the day a site is lost."""

    planners: list[Planner]
    sites: list[Site]
    links: list[Link] = []
    tenants: dict[Name, Fraction] = {}
    refuse: list[Name] = msgspec.field(default_factory=lambda: [kind.value for kind in SheddingTier])
    vault: Vault | None = None
    groups: list[Budget] = []
    services: list[Service] = []
    platform: Platform | None = None
    report_ms: Milliseconds = 200
    plan_ms: Milliseconds = 4_000
    fade_ms: Milliseconds = 5_000
    patience_ms: Milliseconds = 1_500

    # ---- what follows from it --------------------------------------------------------------------------

    @property
    def order(self) -> tuple[SheddingTier, ...]:
        return tuple(SheddingTier(word) for word in self.refuse)

    @property
    def costs(self) -> dict[tuple[str, str], float]:
        return {(link.source, link.target): link.cost for link in self.links}

    def bases(self) -> dict[str, float]:
        """Each member's base share of the vault, in calls in hand."""
        if self.vault is None:
            return {}
        members = [member for site in self.sites for member in site.members]
        told = sum(member.calls for member in members if member.calls is not None)
        even = [member for member in members if member.calls is None]
        rest = max(0.0, self.vault.total - told) / max(1, len(even))
        return {member.name: rest if member.calls is None else member.calls for member in members}

    def budgets(self) -> list[BudgetGroup]:
        """The groups with their members."""
        made = []
        for told in self.groups:
            names = {
                one.name for site in self.sites for one in site.members if told.all or site.name in told.sites
            }
            names |= {one.name for one in self.services if one.kind in told.kinds}
            made.append(
                BudgetGroup(
                    told.name,
                    frozenset(names | set(told.members) | set(told.services)),
                    told.most_out,
                    told.share_out,
                    told.least_room,
                )
            )
        return made

    def needs(self) -> dict[str, list[str]]:
        """Of the members that need any: the services below."""
        members = [member for site in self.sites for member in site.members]
        return {member.name: member.needs for member in members if member.needs}

    def parts(self) -> dict[str, list[str]]:
        """App servers by site and by group, in the file's order: what a release may be told to go through."""
        made = {site.name: [one.name for one in site.members] for site in self.sites}
        order = [name for names in made.values() for name in names]
        for group in self.budgets():
            made.setdefault(group.name, [name for name in order if name in group.members])
        return made

    def site_of(self, member: str) -> Site | None:
        return next((site for site in self.sites if any(one.name == member for one in site.members)), None)

    def trouble(self) -> Iterator[str]:
        """What the forms of the fields can't tell, a line each, with the place."""
        yield from twice("planners", [one.name for one in self.planners], "name")
        yield from twice("sites", [one.name for one in self.sites], "name")
        if not self.planners:
            yield "planners: there is none"
        if len(self.planners) > 9:
            yield f"planners: {len(self.planners)}, and nine at most can agree in time"
        if not self.sites:
            yield "sites: there is none"
        members = [
            (f"sites[{n}].members[{m}]", one)
            for n, site in enumerate(self.sites)
            for m, one in enumerate(site.members)
        ]
        yield from twice("sites", [one.name for _, one in members], "member")
        places = [(f"planners[{n}]", one.address) for n, one in enumerate(self.planners)]
        seen: dict[str, str] = {}
        for place, address in [*places, *((place, one.address) for place, one in members)]:
            if not 0 < int(address.rpartition(":")[2]) < 65_536:
                yield f"{place}.address: no such port in {address!r}"
            elif address in seen:
                yield f"{place}.address: {address!r} stands at {seen[address]} too"
            seen.setdefault(address, place)
        routers: dict[int, str] = {}
        for n, site in enumerate(self.sites):
            if not site.members:
                yield f"sites[{n}].members: site {site.name!r} has none"
            for router in site.routers:
                if router in routers:
                    yield f"sites[{n}].routers: router {router} is at home in {routers[router]!r} too"
                routers.setdefault(router, site.name)
        names = {site.name for site in self.sites}
        for n, link in enumerate(self.links):
            for end in (link.source, link.target):
                if end not in names:
                    yield f"links[{n}]: no site is named {end!r}"
            if link.source == link.target:
                yield f"links[{n}]: from {link.source!r} to itself"
        yield from twice("links", [f"{one.source} to {one.target}" for one in self.links], "link")
        yield from self.order_trouble()
        yield from twice("groups", [one.name for one in self.groups], "group")
        known = {one.name for _, one in members}
        for n, group in enumerate(self.groups):
            for name in group.sites:
                if name not in names:
                    yield f"groups[{n}].sites: no site is named {name!r}"
            for name in group.members:
                if name not in known:
                    yield f"groups[{n}].members: no member is named {name!r}"
            for name in group.services:
                if name not in {one.name for one in self.services}:
                    yield f"groups[{n}].services: no service is named {name!r}"
            for name in group.kinds:
                if name not in {one.kind for one in self.services}:
                    yield f"groups[{n}].kinds: no service is of the kind {name!r}"
            if not (group.all or group.sites or group.members or group.services or group.kinds):
                yield f"groups[{n}]: group {group.name!r} has no members"
            if group.most_out is None and group.share_out is None and not group.least_room:
                yield f"groups[{n}]: group {group.name!r} bounds nothing"
        yield from self.services_trouble([one for _, one in members])
        if sum(self.tenants.values()) > 1 + 1e-9:
            yield f"tenants: the shares add up to {sum(self.tenants.values()):.3f}, more than 1"
        if self.vault is not None and sum(self.bases().values()) > self.vault.total + 1e-9:
            most = sum(self.bases().values())
            yield f"vault.total: {self.vault.total:g}, and the members' calls add up to {most:g}"
        if self.plan_ms < 4 * self.report_ms:
            yield f"plan_ms: {self.plan_ms} is under four reports of {self.report_ms} ms: plans would lapse"

    def services_trouble(self, members: list[Member]) -> Iterator[str]:
        known = {one.name for one in self.services}
        yield from twice("services", [one.name for one in self.services], "service")
        for one in self.services:
            if one.name in {member.name for member in members}:
                yield f"services: {one.name!r} is an app server too"
        for member in members:
            for name in member.needs:
                if name not in known:
                    yield f"sites: {member.name!r} needs {name!r}, and no service is named so"
        if self.services and self.platform is None:
            yield "services: without a platform nobody tells how they are"
        if self.platform is not None and self.platform.stale_ms < 2 * self.platform.ask_ms:
            most = self.platform.ask_ms
            yield f"platform.stale_ms: {self.platform.stale_ms} is under two askings of {most} ms"

    def order_trouble(self) -> Iterator[str]:
        words = [kind.value for kind in SheddingTier]
        for n, word in enumerate(self.refuse):
            if word not in words:
                yield f"refuse[{n}]: no such kind of refusal as {word!r}; there are {', '.join(words)}"
        yield from twice("refuse", list(self.refuse), "kind")
        if SheddingTier.LOCAL.value in self.refuse and self.refuse[-1] != SheddingTier.LOCAL.value:
            yield "refuse: what stands behind 'home' can't be refused before it, as home is all that is left"


def twice(place: str, names: list[str], what: str) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f"{place}: the {what} {name!r} stands there twice"
        seen.add(name)


def read_fleet(path: str | Path) -> Fleet:
    """Malformed or OSError says what is wrong: one plain line for each trouble, with its place."""
    raw = Path(path).read_bytes()
    try:
        fleet: Fleet = msgspec.json.decode(raw, type=Fleet)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"{path}: {trouble}") from None
    found = list(fleet.trouble())
    if found:
        raise InvalidInputError("\n".join(f"{path}: {line}" for line in found))
    return fleet


def schema() -> dict[str, Any]:
    """The JSON Schema, as it stands in `deploy/fleet.schema.json`."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(Fleet)}


def span(milliseconds: int) -> int:
    return milliseconds * MS
