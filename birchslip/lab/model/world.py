"""The whole world of a play in virtual time: laid out from settings, driven by a script, watched throughout.

Everything that happens comes of the settings, the script and the seed: one seed gives one play.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random

from ...admission.types import AdmissionSettings, Tenant
from ...cluster.fleet_file import Fleet
from ..cores import Cores
from .below import Below
from .clock import SECOND, Clock
from .habits import HABITS
from .layout import Layout, RouterTold, Work
from .planners import Planners
from .routers import Deed, Router, Traffic, Try
from .servers import AppServer

NEWS, NEWS_EVERY = 8_000, 2_000  # the catalog's list is read so often, and reaches routers so late
LAPSE = 30_000  # a report to the catalog stands for three seconds
PING, MISSED = 5_500, 2  # health checks, and how many must fail
SAMPLE = 500
BEGIN = 2 * SECOND  # traffic: by then planners lead, and routers know who is listed
COLD_START = 5_000  # from the order to start to the first transaction


@dataclass(frozen=True, slots=True)
class Step:
    """Something done to the world at a moment: `what` to `whom`, with a figure where it has one.

    | what | whom | more |
    | --- | --- | --- |
    | load | | of all cores |
    | surge | tenant | times its usual |
    | lose, restore | site | |
    | kill, start, pause, resume, drain | app server | |
    | slow | app server or site | times longer |
    | shrink | | part of the fleet that is left |
    | below-down, below-up | | |
    | planners-gone, planners-back | | |
    | release | | |
    | heed | | share of advice that routers follow |
    """

    at: int
    what: str
    whom: str = ""
    more: float = 0.0

    def told(self) -> str:
        """For people."""
        more = f" {self.more:g}" if self.more else ""
        return f"{self.at / SECOND:.1f} s: {self.what}{' ' + self.whom if self.whom else ''}{more}"


class Series:
    """A figure over time, by its changes."""

    __slots__ = ("times", "values")

    def __init__(self) -> None:
        self.times: list[int] = [0]
        self.values: list[float] = [0.0]

    def set(self, now: int, value: float) -> None:
        if self.times[-1] == now:
            self.values[-1] = value
        elif self.values[-1] != value:
            self.times.append(now)
            self.values.append(value)

    def within(self, span: tuple[int, int]) -> list[tuple[int, float]]:
        """The value at its beginning, and each change within."""
        first = bisect_right(self.times, span[0]) - 1
        last = bisect_left(self.times, span[1])
        return [(max(self.times[at], span[0]), self.values[at]) for at in range(max(0, first), last)]


@dataclass(frozen=True)
class Setting:
    """What a play is laid out from. Without a fleet there is one site, `here`."""

    deployment: AdmissionSettings
    profiles: list[str]
    tenants: list[str]
    layout: Layout = field(default_factory=Layout)
    fleet: Fleet | None = None
    planners: bool = True
    name: str = "here-1"

    def sites(self) -> dict[str, list[str]]:
        if self.fleet is not None:
            return {site.name: [one.name for one in site.members] for site in self.fleet.sites}
        count = self.layout.servers or self.deployment.fleet_size
        return {"here": [self.name, *(f"here-{n}" for n in range(2, count + 1))][:count]}

    def sites_of(self) -> dict[str, str]:
        """The site of each app server."""
        return {name: site for site, names in self.sites().items() for name in names}

    def routers(self) -> list[RouterTold]:
        """As told; else those of the fleet file, or two for each site."""
        if self.layout.routers:
            return self.layout.routers
        if self.fleet is not None and any(site.routers for site in self.fleet.sites):
            return [
                RouterTold(number=number, site=site.name)
                for site in self.fleet.sites
                for number in site.routers
            ]
        return [
            RouterTold(number=1 + 2 * place + one, site=site)
            for place, site in enumerate(self.sites())
            for one in range(2)
        ]

    def capacity(self) -> float:
        """Transactions a second that all cores can do, by the settings or as the world file has it."""
        if self.layout.rate is not None:
            return self.layout.rate / self.layout.load
        count = sum(map(len, self.sites().values()))
        return count * self.deployment.cores * SECOND / self.traffic().work

    def traffic(self) -> Traffic:
        profiles = []
        for name, profile in zip(self.profiles, self.deployment.request_classes, strict=True):
            told = self.layout.profiles.get(name, Work())
            work = (
                int(told.work_ms * 10)
                if told.work_ms is not None
                else max(10, profile.latency_objective // 8)
            )
            profiles.append((name, profile, told.share, work, told.calls))
        tenants: dict[str, tuple[Tenant | None, float]] = {}
        shares = self.layout.tenants or (self.fleet.tenant_shares if self.fleet is not None else {})
        for name, tenant in zip(self.tenants, self.deployment.tenants, strict=True):
            tenants[name] = (tenant, shares.get(name, 0.0 if shares else 1.0))
        weight = sum(share for _, share in tenants.values())
        parts = (
            {name: (tenant, share / weight) for name, (tenant, share) in tenants.items()} if weight else {}
        )
        return Traffic(profiles, parts or {"": (None, 1.0)}, self.layout.size)


class World:
    """One play. `run` plays the script; what is to be measured is read off afterwards."""

    def __init__(self, setting: Setting, seed: int, capacity: float = 0.0) -> None:
        """`capacity` is what loads are parts of, in transactions a second: its own where none is told."""
        self.setting = setting
        self.clock = Clock()
        chance = Random(seed)
        layout = self.layout = setting.layout
        deployment = self.deployment = setting.deployment
        self.profile_names, self.tenant_names = setting.profiles, setting.tenants
        self.delay = int(layout.link_ms * 10)
        below = layout.below
        self.below = Below(
            self.clock,
            Random(chance.getrandbits(48)),
            int(below.took_ms * 10),
            below.holds or 0,
            below.survives or 0,
        )
        self.traffic = setting.traffic()
        self.servers: list[AppServer] = []
        self.sites = setting.sites()
        for site, names in self.sites.items():
            for name in names:
                cores = Cores(
                    deployment.cores,
                    deployment.cold_start_speed,
                    deployment.warm_up_span,
                    layout.crowd,
                    layout.loss,
                )
                told = replace(deployment, seed=chance.getrandbits(32))
                self.servers.append(AppServer(self.clock, name, site, told, cores, self.below, self.answer))
        self.by_name = {one.name: one for one in self.servers}
        self.capacity = capacity or setting.capacity()
        self.found: list[AppServer] = []
        self.checked: list[AppServer] = []
        self.bad: set[AppServer] = set()
        self.missed: Counter[AppServer] = Counter()
        self.lapses: dict[AppServer, int] = {}
        self.routers: dict[int, Router] = {}
        told_routers = setting.routers()
        weight = sum(one.share for one in told_routers)
        costs = (int(layout.handshake_ms * 10), int(layout.reading_ms * 10))
        for one in told_routers:
            router = Router(
                self.clock,
                one.number,
                one.site or "",
                HABITS[one.habit],
                self.traffic,
                seed * 64 + one.number - 1,
                self.delay,
                self.listed,
                costs,
            )
            self.routers[one.number] = router
        self.shares = {one.number: one.share / weight for one in told_routers}
        self.planners: Planners | None = None
        if setting.fleet is not None and setting.planners:
            self.planners = Planners(self, setting.fleet, chance.getrandbits(48))
        # what is kept for whoever measures
        self.deeds: list[Deed] = []
        self.answers: list[tuple[int, Deed, str, int]] = []
        self.notes: list[tuple[int, str, dict[str, object]]] = []
        self.marks: list[tuple[int, str, str]] = []  # what has happened: begin and end of conditions
        self.outstanding = {number: Series() for number in self.routers}
        self.calls = Series()
        self.calls_of = {name: Series() for name in self.by_name}
        self.out = {name: Series() for name in self.by_name}
        self.busy = {name: Series() for name in self.by_name}
        self.sent = {name: Series() for name in self.by_name}  # outstanding at an app server
        for number, router in self.routers.items():
            router.born = self.deeds.append
            router.changed = self.outstanding_of(router, self.outstanding[number])
            router.told = self.told
        self.below.changed = self.called

    def outstanding_of(self, router: Router, series: Series) -> Callable[[AppServer, int], None]:
        sent, clock = self.sent, self.clock

        def changed(server: AppServer, more: int) -> None:
            series.set(clock.now, router.outstanding)
            there = sent[server.name]
            there.set(clock.now, there.values[-1] + more)

        return changed

    # ---- the course ------------------------------------------------------------------------------------

    def run(self, steps: Iterable[Step], until: int) -> None:
        for server in self.servers:
            self.start(server, cold=False)
        self.learn_list()
        self.found = list(self.servers)
        self.check()
        self.checked = list(self.servers)
        if self.planners is not None:
            self.planners.start()
        self.set_load(self.layout.load)
        for router in self.routers.values():
            self.clock.at(BEGIN, router.start)
        self.clock.every(SAMPLE, self.sample, until)
        for step in sorted(steps, key=lambda step: step.at):
            self.clock.at(step.at, self.carry_out, step)
        self.clock.run(until)

    def set_load(self, load: float) -> None:
        for number, router in self.routers.items():
            router.rate = load * self.capacity * self.shares[number]

    def sample(self) -> None:
        now = self.clock.now
        for name, server in self.by_name.items():
            self.out[name].set(now, 0 if server.serving and server.warm else 1)
            self.busy[name].set(now, min(1.0, server.on_cores / server.cores.count) if server.up else 0.0)

    def called(self, server: str) -> None:
        self.calls.set(self.clock.now, self.below.in_hand)
        self.calls_of[server].set(self.clock.now, len(self.below.by_server[server]))

    def told(self, deed: Deed, what: str, after: int) -> None:
        self.answers.append((self.clock.now, deed, what, after))

    def note(self, event: str, **more: object) -> None:
        self.notes.append((self.clock.now, event, more))

    def mark(self, event: str, whom: str = "") -> None:
        self.marks.append((self.clock.now, event, whom))

    # ---- app servers and who finds them ----------------------------------------------------------------

    def answer(self, one: Try, what: str, after: int, last: bool) -> None:
        router = self.routers[one.router]
        if what == "cut":
            self.clock.after(self.delay, router.cut, one)
        else:
            self.clock.after(self.delay, router.hear, one, what, after, last)

    def start(self, server: AppServer, cold: bool) -> None:
        server.start(cold)
        if self.planners is not None:
            self.planners.begun(server)

    def kill(self, server: AppServer, known: bool = False) -> None:
        """`known`: it has told the catalog that it leaves."""
        if not server.up:
            return
        life = server.life
        server.die()
        self.lapses[server] = self.clock.now if known else self.clock.now + LAPSE - SECOND // 2
        if self.planners is not None:
            self.planners.broke(server, life)

    def learn_list(self) -> None:
        """Who is listed now; routers hear of it later."""
        now = self.clock.now
        there = [one for one in self.servers if self.is_listed(one, now)]
        self.clock.after(NEWS, self.hear_list, there)
        self.clock.after(NEWS_EVERY, self.learn_list)

    def is_listed(self, server: AppServer, now: int) -> bool:
        if not server.up:
            return now < self.lapses.get(server, 0)
        if server.leaving:
            return False
        return self.planners is None or self.planners.may_be_found(server)

    def hear_list(self, there: list[AppServer]) -> None:
        self.found = there
        self.checked = [one for one in there if one not in self.bad]

    def listed(self, checks: bool) -> list[AppServer]:
        return self.checked if checks else self.found

    def check(self) -> None:
        """Health checks of all routers, taken for one."""
        for server in self.servers:
            good = server.up and not server.paused and server.good
            self.missed[server] = 0 if good else self.missed[server] + 1
            if good:
                self.bad.discard(server)
            elif self.missed[server] >= MISSED:
                self.bad.add(server)
        self.checked = [one for one in self.found if one not in self.bad]
        self.clock.after(PING, self.check)

    # ---- the script ------------------------------------------------------------------------------------

    def some(self, whom: str) -> list[AppServer]:
        """A site's app servers, or the one of that name."""
        return [self.by_name[name] for name in self.sites.get(whom, [whom])]

    def carry_out(self, step: Step) -> None:
        whom, more = step.whom, step.more
        match step.what:
            case "load":
                self.set_load(more)
                self.mark("load", f"{more:g}")
            case "surge":
                for router in self.routers.values():
                    router.surge[whom] = more
                self.mark("surge" if more > 1 else "surge over", whom)
            case "lose":
                self.mark("lost", whom)
                for server in self.some(whom):
                    self.kill(server)
            case "restore":
                self.mark("returns", whom)
                for server in self.some(whom):
                    if not server.up:
                        self.clock.after(COLD_START, self.restart, server)
            case "kill":
                self.kill(self.by_name[whom])
            case "start":
                self.restart(self.by_name[whom])
            case "pause":
                for server in self.some(whom):
                    server.pause()
            case "resume":
                for server in self.some(whom):
                    server.resume()
            case "drain":
                self.drain(self.by_name[whom])
            case "slow":
                for server in self.some(whom):
                    server.cores.slowdown = more
            case "shrink":
                self.shrink(more)
            case "below-down":
                self.below.fall()
            case "below-up":
                self.below.rise()
            case "planners-gone" | "planners-back":
                if self.planners is not None:
                    self.planners.gone = step.what == "planners-gone"
            case "heed":
                for router in self.routers.values():
                    router.habit = replace(router.habit, heed=more)
            case "release":
                self.release()
            case what:
                raise ValueError(f"no such step: {what}")

    def restart(self, server: AppServer) -> None:
        if not server.up:
            self.start(server, cold=True)

    def drain(self, server: AppServer, then: Callable[[], None] = lambda: None) -> None:
        """It leaves, and ends once it has answered all; `then` hears of that."""
        if server.up:
            server.leave()
            self.look_at_leaving(server, server.life, then)

    def look_at_leaving(self, server: AppServer, life: int, then: Callable[[], None]) -> None:
        if server.life != life:
            return
        if server.open:
            self.clock.after(500, self.look_at_leaving, server, life, then)
        else:
            then()
            self.kill(server, known=True)

    def shrink(self, left: float) -> None:
        """The last of each site in turn, one every quarter of a second; traffic falls with them."""
        going = int(round((1 - left) * len(self.servers)))
        order = [
            self.by_name[names[-1 - place]]
            for place in range(max(len(names) for names in self.sites.values()))
            for names in self.sites.values()
            if place < len(names)
        ][:going]
        self.mark("shrinking")
        for place, server in enumerate(order):
            self.clock.after(place * SECOND // 4, self.drain, server)
        self.clock.after(max(1, len(order)) * SECOND // 4 + SECOND, self.mark, "shrunk")

    def release(self) -> None:
        why = "there are no planners"
        if self.planners is not None:
            why = self.planners.release(self.planners.plan())
        if why:
            self.note("no release", why=why)
            return
        self.mark("release")
        self.watch_release()

    def watch_release(self) -> None:
        assert self.planners is not None
        if self.planners.phase in ("running", "backing"):
            self.clock.after(SAMPLE, self.watch_release)
        else:
            self.mark("released")

    # ---- what came of it -------------------------------------------------------------------------------

    def born(self, span: tuple[int, int]) -> list[Deed]:
        first = bisect_left(self.deeds, span[0], key=lambda deed: deed.born)
        last = bisect_left(self.deeds, span[1], key=lambda deed: deed.born)
        return self.deeds[first:last]

    def service(self, span: tuple[int, int]) -> float:
        """Payoff honoured within the latency goal over payoff asked for."""
        deeds = self.born(span)
        asked = sum(deed.profile.priority_weight for deed in deeds)
        return sum(deed.profile.priority_weight for deed in deeds if deed.in_time) / asked if asked else 1.0

    def attempts(self, span: tuple[int, int]) -> float:
        deeds = self.born(span)
        return sum(deed.tries for deed in deeds) / len(deeds) if deeds else 1.0
