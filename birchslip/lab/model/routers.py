"""Routers of the model and the clients behind them: arrivals, tries, further tries.

A router sends to app servers that it finds listed, at its own site first where its habit says so. What was
shed, refused or cut is tried again elsewhere, as its habit goes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from ...admission.types import Idempotency, RequestClass, Tenant
from .clock import SECOND, Clock
from .habits import Habit

if TYPE_CHECKING:
    from .servers import AppServer

OPEN_MOST, LINKS = 24, 4  # tries on one link, links to one app server
AWAY = 5_000  # one that can't be reached is left alone for half a second
NOWHERE = 3_000  # how long a transaction waits for any app server to be listed
GIVE_UP = 1_500  # past its time, before it is aborted
MANY, DRAWS = 32, 8  # app servers from which on a choice is drawn, and how often
SILENT = 500  # left before the deadline when no further try is worth making


@dataclass(eq=False, slots=True)
class Deed:
    """One transaction of a client, over all its tries. Times are tenths of a millisecond."""

    profile: RequestClass
    kind: str  # the profile's name
    tenant: Tenant | None
    account: str  # the tenant's name
    home: str  # the site of its router
    router: int
    born: int
    work: int
    calls: bool
    size: int
    label: str = ""
    tries: int = 0
    been: list[str] = field(default_factory=list)  # app servers, one for each try
    open: int = 0
    honoured_at: int = -1
    shed: bool = False  # ever
    ended: bool = False

    @property
    def in_time(self) -> bool:
        return self.honoured_at >= 0 and self.honoured_at - self.born <= self.profile.latency_objective


@dataclass(eq=False, slots=True)
class Try:
    deed: Deed
    router: int
    at: int
    due: int
    again: bool
    server: AppServer
    life: int
    over: bool = False


@dataclass(slots=True)
class Traffic:
    """What is asked for: profiles and tenants by weight, with what a run takes."""

    profiles: list[tuple[str, RequestClass, float, int, float]]  # name, profile, share, work, calls
    tenants: dict[str, tuple[Tenant | None, float]]
    size: int
    names: list[str] = field(init=False)
    weights: list[float] = field(init=False)

    def __post_init__(self) -> None:
        self.weights = [share for _, _, share, _, _ in self.profiles]
        self.names = list(self.tenants)

    @property
    def work(self) -> float:
        """Of one transaction in the mean."""
        return sum(share * work for _, _, share, work, _ in self.profiles) / sum(self.weights)


class Links:
    """How many connections a router has to one app server; a new one costs a handshake there."""

    __slots__ = ("count", "life", "open", "used")

    def __init__(self) -> None:
        self.count = self.open = self.used = 0
        self.life = -1


class Router:
    """`listed` tells which app servers may be found and are not known to be bad, by the news that routers
    have; `born`, `ended` and `counted` tell whoever measures.
    """

    def __init__(
        self,
        clock: Clock,
        number: int,
        site: str,
        habit: Habit,
        traffic: Traffic,
        seed: int,
        delay: int,
        listed: Callable[[bool], list[AppServer]],
        costs: tuple[int, int],
    ) -> None:
        self.clock, self.number, self.site, self.habit, self.traffic = clock, number, site, habit, traffic
        self.chance, self.asked = Random(seed), Random(seed + 1)
        self.delay, self.listed = delay, listed
        self.handshake, self.reading = costs
        self.rate = 0.0  # transactions a second
        self.surge: dict[str, float] = {}
        self.links: dict[AppServer, Links] = {}
        self.away: dict[AppServer, int] = {}
        self.seen: list[AppServer] = []  # who was listed when `own` was made of them
        self.own: list[AppServer] = []  # those of its site
        self.turn = 0
        self.outstanding = 0
        self.stopped = False
        self.counts: Counter[str] = Counter()
        self.born: Callable[[Deed], None] = lambda deed: None
        self.changed: Callable[[AppServer, int], None] = lambda server, more: None  # what is outstanding
        self.told: Callable[[Deed, str, int], None] = lambda deed, what, after: None  # each answer

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self) -> None:
        self.clock.after(0, self.arrive)

    def weights(self) -> Mapping[str, float]:
        return {name: share * self.surge.get(name, 1.0) for name, (_, share) in self.traffic.tenants.items()}

    def arrive(self) -> None:
        """Drawn in the order in which the stand-in of the processes draws: one seed, the same arrivals."""
        if self.stopped:
            return
        weights = self.weights()
        rate = self.rate * sum(weights.values())
        gap = self.asked.expovariate(max(0.1, rate))
        self.clock.after(max(1, int(gap * SECOND)), self.arrive)
        if rate <= 0:
            return
        traffic, chance = self.traffic, self.asked
        account = chance.choices(traffic.names, list(weights.values()))[0]
        kind, profile, _, work, calls = chance.choices(traffic.profiles, traffic.weights)[0]
        work_ms = max(5, int(chance.gammavariate(4, work / 4) / 10))
        label = f"{self.number}.{chance.getrandbits(128)}" if profile.idempotency is Idempotency.KEYED else ""
        deed = Deed(
            profile,
            kind,
            traffic.tenants[account][0],
            account,
            self.site,
            self.number,
            self.clock.now,
            work_ms * 10,
            calls >= 1 or (calls > 0 and chance.random() < calls),
            traffic.size,
            label,
        )
        self.born(deed)
        self.send(deed)

    # ---- tries -----------------------------------------------------------------------------------------

    def load(self, server: AppServer) -> int:
        links = self.links.get(server)
        return links.open if links is not None else 0

    def pick(self, been: list[str]) -> AppServer | None:
        now = self.clock.now
        able = self.listed(self.habit.checks)
        if len(able) > MANY:
            return self.pick_of_many(able, been)
        if self.away:
            able = [one for one in able if self.away.get(one, 0) <= now]
        fresh = [one for one in able if one.name not in been] or able if been else able
        own = [one for one in fresh if one.site == self.site] if self.habit.home_first and not been else []
        self.turn += 1
        return self.habit.pick(own or fresh, self.load, self.chance, self.turn)

    def pick_of_many(self, able: list[AppServer], been: list[str]) -> AppServer | None:
        """The same choice without a walk over all of them: drawn until they may be used, a few times."""
        if able is not self.seen:
            self.seen, self.own = able, [one for one in able if one.site == self.site]
        some = self.own if self.habit.home_first and not been and self.own else able
        drawn = [one for one in (self.chance.choice(some) for _ in range(DRAWS)) if self.may(one, been)]
        self.turn += 1
        if not drawn:
            drawn = [one for one in some if self.may(one, been)]
        return self.habit.pick(drawn[:2] or some[:0], self.load, self.chance, self.turn)

    def may(self, server: AppServer, been: list[str]) -> bool:
        return self.away.get(server, 0) <= self.clock.now and server.name not in been

    def send(self, deed: Deed) -> None:
        now = self.clock.now
        if deed.ended or deed.honoured_at >= 0 or now >= deed.born + deed.profile.deadline - SILENT:
            deed.ended = True
            return
        server = self.pick(deed.been)
        if server is None:
            deed.ended = now - deed.born > NOWHERE
            self.again(deed)
            return
        if not server.up:
            self.away[server] = now + AWAY
            deed.tries += 1
            deed.been.append(server.name)
            self.counts["refused"] += 1
            self.again(deed)
            return
        if not self.link(server):
            self.again(deed)
            return
        patience = deed.born + deed.profile.deadline - now
        one = Try(deed, self.number, now, now + patience, deed.tries > 0, server, server.life)
        deed.tries += 1
        deed.open += 1
        deed.been.append(server.name)
        self.count(server, 1)
        server.cores.charge(now, self.reading)
        self.counts["tries"] += 1
        self.clock.after(self.delay, server.receive, one)
        labelled = bool(deed.label)
        wait = patience if labelled else min(patience, int(deed.profile.latency_objective * self.habit.hedge))
        self.clock.after(wait, self.overdue, one)

    def link(self, server: AppServer) -> bool:
        """Whether there is a connection with room; a new one is opened where the best has much to carry."""
        links = self.links.get(server)
        if links is None:
            links = self.links[server] = Links()
        now = self.clock.now
        if links.life != server.life:
            links.life, links.count, links.open = server.life, 0, 0
        if server.idle >= 0 and not links.open and now - links.used > server.idle:
            links.count = 0
        links.used = now
        if links.count and links.open < links.count * OPEN_MOST // 4:
            return True
        if links.count < LINKS:
            links.count += 1
            server.cores.charge(now, self.handshake)
            return True
        return links.open < LINKS * OPEN_MOST

    def count(self, server: AppServer, more: int) -> None:
        self.links[server].open += more
        self.outstanding += more
        self.changed(server, more)

    def over(self, one: Try) -> bool:
        """Whether it was still open."""
        if one.over:
            return False
        one.over = True
        one.deed.open -= 1
        self.outstanding -= 1
        links = self.links[one.server]
        if links.life == one.life:
            links.open -= 1
        self.changed(one.server, -1)
        return True

    def overdue(self, one: Try) -> None:
        if one.over:
            return
        if self.clock.now < one.due:
            if one.deed.open < 2:
                self.again(one.deed, soon=True)
            self.clock.at(one.due + GIVE_UP, self.give_up, one)
        else:
            self.clock.after(GIVE_UP, self.give_up, one)

    def give_up(self, one: Try) -> None:
        if self.over(one):
            one.deed.ended = True
            self.counts["silent"] += 1
            if one.server.up and one.server.life == one.life:
                self.clock.after(self.delay, one.server.abort, one)

    def again(self, deed: Deed, soon: bool = False) -> None:
        if deed.ended or deed.honoured_at >= 0 or deed.tries >= self.habit.tries:
            deed.ended = deed.ended or deed.tries >= self.habit.tries
            return
        wait = 0 if soon else self.habit.wait(deed.tries, self.chance)
        self.clock.after(wait, self.send, deed)

    # ---- answers ---------------------------------------------------------------------------------------

    def hear(self, one: Try, what: str, after: int, last: bool) -> None:
        """An answer on its way back has come."""
        if not self.over(one):
            return
        deed = one.deed
        self.counts[what] += 1
        self.told(deed, what, after)
        if what == "honoured":
            if deed.honoured_at < 0:
                deed.honoured_at = self.clock.now
        elif what == "written_off":
            if not deed.label:
                self.again(deed)
        else:
            deed.shed = True
            heeds = self.habit.heeds(self.chance)
            if after and heeds:
                self.away[one.server] = max(self.away.get(one.server, 0), self.clock.now + after)
            if last and heeds:
                deed.ended = True
                return
            self.again(deed)

    def cut(self, one: Try) -> None:
        """The link that it was on has broken."""
        if self.over(one):
            self.counts["cut"] += 1
            if not one.deed.label:
                self.again(one.deed)
