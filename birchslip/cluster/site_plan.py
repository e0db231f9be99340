"""Where the load of lost sites goes, the level that each survivor takes, and what is refused first.

Worked out from measured room, not from nominal size. What routers do is not ours to say: the plan says what
survivors let in. Three steps, each over sites or tenants, and one pass over members:

1. *What must be refused*: as much as all load is past all room, in the operators' order.
2. *Where the rest goes*: home load stays at home, the rest takes the cheapest link that still has room.
3. *Quotas*: visitors have one of their own; the rest of a site's room is shared out to tenants at home by
   water-filling, so that none within its share gets less than that while another gets more than its own.

Rates are transactions a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..admission.types import SheddingTier

DUST = 1e-9


@dataclass(slots=True)
class SiteCapacity:
    """A site as it was measured: the room of each member, and the first tries of its own callers by
    tenant.
    """

    name: str
    rooms: dict[str, float]
    load: dict[str, float]
    again: float = 0.0  # further tries
    lost: bool = False
    level: float = 1.0  # of its room that may be used: less while it comes back

    @property
    def room(self) -> float:
        return 0.0 if self.lost else self.level * sum(self.rooms.values())


@dataclass(slots=True)
class SitePlan:
    """`flows` are from site to site, home load included; `refused` is by what it was refused for."""

    flows: dict[tuple[str, str], float] = field(default_factory=dict)
    refused: dict[SheddingTier, float] = field(default_factory=dict)
    refused_at: dict[str, float] = field(default_factory=dict)  # by home site
    level: dict[str, float] = field(default_factory=dict)  # by site: what it takes over its room
    quotas: dict[str, dict[str, float]] = field(default_factory=dict)  # by site and tenant
    visits: dict[str, float] = field(default_factory=dict)  # by site: of all visitors together
    parts: dict[str, tuple[str, float]] = field(
        default_factory=dict
    )  # by member: its site, its part of the room
    visiting: dict[str, float] = field(default_factory=dict)  # by site: visitors that it takes
    short: bool = False

    def quotas_of(self, member: str) -> dict[str, float]:
        """Worked out when it is told: for all members at each plan it would be most of the work."""
        site, part = self.parts.get(member, ("", 0.0))
        return {tenant: rate * part for tenant, rate in self.quotas.get(site, {}).items()}

    def visits_of(self, member: str) -> float:
        site, part = self.parts.get(member, ("", 0.0))
        return self.visits.get(site, 0.0) * part

    def refused_in_all(self) -> float:
        return sum(self.refused.values())


def water(room: float, demands: Mapping[str, float], weights: Mapping[str, float]) -> dict[str, float]:
    """Max-min fair parts of the room: nobody within its weighted share gets less than it asks for."""
    parts = dict.fromkeys(demands, 0.0)
    thirsty = sorted(demands, key=lambda name: demands[name] / max(DUST, weights.get(name, 0.0)))
    weight = sum(max(DUST, weights.get(name, 0.0)) for name in thirsty)
    for name in thirsty:
        share = max(DUST, weights.get(name, 0.0))
        parts[name] = min(demands[name], room * share / weight)
        room -= parts[name]
        weight -= share
    return parts


def even(tenants: Mapping[str, float], places: list[SiteCapacity]) -> dict[str, float]:
    """The tenants' shares, made to add up to 1; even ones where none are told."""
    names = {tenant for place in places for tenant in place.load} | set(tenants)
    told = {name: tenants.get(name, 0.0) for name in sorted(names)}
    total = sum(told.values())
    if total <= 0:
        return dict.fromkeys(told, 1 / max(1, len(told)))
    return {name: share / total for name, share in told.items()}


def refuse(
    places: list[SiteCapacity], shares: Mapping[str, float], order: tuple[SheddingTier, ...], room: float
) -> tuple[dict[str, dict[str, float]], dict[SheddingTier, float]]:
    """What is still let in of each site's load by tenant, and what was refused for which reason."""
    left = {place.name: dict(place.load) for place in places}
    lost = {place.name for place in places if place.lost or place.level < 1}
    again = sum(place.again for place in places)
    refused = dict.fromkeys(SheddingTier, 0.0)
    excess = sum(sum(load.values()) for load in left.values()) + again - room
    for kind in (*order, SheddingTier.LOCAL):
        if kind is SheddingTier.RETRY:
            refused[kind] = max(0.0, min(again, excess))
            excess -= refused[kind]
            continue
        for pool in pools_of(kind, left, lost, shares, room):
            size = sum(pool.values())
            if excess <= DUST or size <= DUST:
                continue
            part = min(1.0, excess / size)
            for (site, tenant), amount in pool.items():
                left[site][tenant] -= part * amount
            refused[kind] += part * size
            excess -= part * size
    return left, {kind: amount for kind, amount in refused.items() if amount > DUST}


Pool = dict[tuple[str, str], float]


def pools_of(
    kind: SheddingTier,
    left: dict[str, dict[str, float]],
    lost: set[str],
    shares: Mapping[str, float],
    room: float,
) -> list[Pool]:
    """What a kind of refusal may take, by home site and tenant; one pool is used up before the next."""
    if kind is SheddingTier.EVACUATED:
        return [{(site, tenant): rate for site in lost for tenant, rate in left[site].items()}]
    if kind is SheddingTier.LOCAL:
        return [{(site, tenant): rate for site in left for tenant, rate in left[site].items()}]
    asked: dict[str, float] = {}
    away: dict[str, float] = {}
    for site, load in left.items():
        for tenant, rate in load.items():
            asked[tenant] = asked.get(tenant, 0.0) + rate
            away[tenant] = away.get(tenant, 0.0) + (rate if site in lost else 0.0)
    # Of what is beyond a tenant's share, its visitors go first: at home it may be within it.
    visitors, home = Pool(), Pool()
    for tenant, rate in asked.items():
        beyond = max(0.0, rate - shares.get(tenant, 0.0) * room)
        first = min(beyond, away[tenant])
        for site, load in left.items():
            if site in lost and away[tenant] > 0:
                visitors[site, tenant] = first * load.get(tenant, 0.0) / away[tenant]
            elif site not in lost and rate > away[tenant]:
                home[site, tenant] = (beyond - first) * load.get(tenant, 0.0) / (rate - away[tenant])
    return [visitors, home]


def plan(
    places: list[SiteCapacity],
    tenants: Mapping[str, float],
    costs: Mapping[tuple[str, str], float],
    order: tuple[SheddingTier, ...] = tuple(SheddingTier),
) -> SitePlan:
    """The plan for the sites as they are. `costs` are of links between sites; one that is not told costs
    1.
    """
    made = SitePlan()
    shares = even(tenants, places)
    room = sum(place.room for place in places)
    left, made.refused = refuse(places, shares, order, room)
    made.short = made.refused_in_all() > DUST
    for place in places:
        asked, let = sum(place.load.values()), sum(left[place.name].values())
        made.refused_at[place.name] = max(0.0, asked - let)
    spare = {place.name: place.room for place in places if place.room > 0}
    owing = {place.name: sum(left[place.name].values()) for place in places}
    # Home load stays where it is as far as it fits, and only then what has no home takes what is free.
    for site in spare:
        move(made, owing, spare, site, site, spare[site])
    pairs: dict[tuple[float, str], list[str]] = {}
    for a in owing:
        for b in spare:
            if a != b and owing[a] > DUST:
                pairs.setdefault((costs.get((a, b), 1.0), a), []).append(b)
    for _, a in sorted(pairs):
        # Links that cost the same share what is to go by what is free behind them.
        targets = pairs[_, a]
        free, rest = sum(spare[b] for b in targets), owing[a]
        for b in targets:
            if free > DUST:
                move(made, owing, spare, a, b, min(1.0, rest / free) * spare[b])
    for place in places:
        if not place.room:
            continue
        hand_out(made, place, left, shares)
    return made


def move(
    made: SitePlan, owing: dict[str, float], spare: dict[str, float], a: str, b: str, most: float
) -> None:
    amount = min(owing[a], spare[b], most)
    if amount > DUST:
        made.flows[a, b] = made.flows.get((a, b), 0.0) + amount
        owing[a] -= amount
        spare[b] -= amount


def hand_out(
    made: SitePlan, place: SiteCapacity, left: dict[str, dict[str, float]], shares: dict[str, float]
) -> None:
    """A site's room to its members, and there to tenants at home and to visitors; all members stand alike."""
    home = made.flows.get((place.name, place.name), 0.0)
    taken = sum(amount for (_, b), amount in made.flows.items() if b == place.name)
    visiting = made.visiting[place.name] = taken - home
    total = sum(left[place.name].values())
    demands = {tenant: home * left[place.name].get(tenant, 0.0) / max(DUST, total) for tenant in shares}
    parts = water(place.room - visiting, demands, shares)
    # What nobody asks for is there for whoever comes: a quota binds only where there is no room.
    over = max(0.0, place.room - taken)
    whole = sum(place.rooms.values())
    made.level[place.name] = min(1.0, taken / place.room)
    made.visits[place.name] = visiting + over
    made.quotas[place.name] = {tenant: parts[tenant] + over * shares[tenant] for tenant in shares}
    for member, room in place.rooms.items():
        made.parts[member] = (place.name, room / whole)


def what_if(
    places: list[SiteCapacity],
    lose: str,
    tenants: Mapping[str, float],
    costs: Mapping[tuple[str, str], float],
    order: tuple[SheddingTier, ...] = tuple(SheddingTier),
) -> SitePlan:
    """What the loss of a site would mean today."""
    then = [
        SiteCapacity(one.name, one.rooms, one.load, one.again, one.lost or one.name == lose, one.level)
        for one in places
    ]
    return plan(then, tenants, costs, order)
