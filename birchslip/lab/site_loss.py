"""`lab play site-loss`: the loss of a site and its return, among real processes, with the truth kept
outside.
"""

from __future__ import annotations

import json
import random
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..net.scheduler import Scheduler
from .clients import Profile, Router, Server
from .faults import Step, schedule
from .peers import READING, Agent, Catalog, Vault
from .processes import Process
from .truth import SECOND, Truth
from .wires import Wire, free_port

CORES = 2
COLD_FROM, COLD_SPAN = 0.4, 4 * SECOND
LOOKUP = Profile("lookup", 0.7, 700, SECOND, 3 * SECOND, 1.0, False)
ORDER = Profile("order", 0.3, 1_050, SECOND * 3 // 2, 3 * SECOND, 1.5, True)
PROFILES = [LOOKUP, ORDER]
WINDOW = 6 * SECOND
TENANTS = {"blue": 0.5, "green": 0.3, "red": 0.2}
CALLS_EACH = 3.0
STOP_MS = 2_000
MINUTE = "planners-gone-minute"  # whose loss lasts longer than the schedule's own span
COSTS = ("member_cpu_s", "member_memory_kb")
WORK = sum(one.share * one.work for one in PROFILES) / sum(one.share for one in PROFILES)


@dataclass(frozen=True)
class Told:
    """What a play is told; `pace` stretches the parts of the schedule."""

    seed: int
    sites: int = 3
    each: int = 4
    planners: int = 3
    load: float = 0.9
    fault: str = "kill"
    logs: Path | None = None
    alone: bool = False
    pace: float = 1.0
    fleet: bool = True


class Play:
    """One run of a schedule, with planners or without."""

    def __init__(self, told: Told, folder: Path) -> None:
        self.told, self.folder = told, folder
        self.scheduler = Scheduler(lambda: None, self.fault)
        self.faults: list[str] = []
        self.truth = Truth()
        self.written: dict[str, int] = {}
        self.sites = ["north", "south", "east", "west", "upper", "lower", "inner", "outer", "far"][
            : told.sites
        ]
        self.servers = [
            Server(f"{site}-{n + 1}", site, ("127.0.0.1", free_port()))
            for site in self.sites
            for n in range(told.each)
        ]
        self.capacity = len(self.servers) * CORES * SECOND / WORK
        chance = random.Random(told.seed)
        self.vault = Vault(self.scheduler, self.truth, lambda: int(chance.uniform(150, 250)))
        self.truth.vault_total = int(CALLS_EACH * len(self.servers))
        self.catalog = Catalog(self.scheduler)
        self.agents = {
            server.name: Agent(
                self.scheduler,
                self.truth,
                server.name,
                CORES,
                COLD_FROM,
                COLD_SPAN,
                lambda name: self.written.get(name, self.scheduler.now),
            )
            for server in self.servers
        }
        self.routers = [
            Router(
                self.scheduler,
                self.truth,
                place + 1,
                site,
                self.servers,
                PROFILES,
                TENANTS,
                told.seed * 64 + place,
                self.written,
            )
            for place, site in enumerate(self.sites)
        ]
        self.out: set[str] = set()  # sites that are dead or paused
        for router in self.routers:
            router.lost_sites = lambda: self.out
            router.cost = lambda server, span: self.agents[server.name].cost(span)
            router.rate = told.load * self.capacity / len(self.routers)
        self.names = [f"planner-{n + 1}" for n in range(told.planners)]
        self.ports = {name: free_port() for name in self.names}
        self.wires: dict[tuple[str, str], Wire] = {}  # who dials, whom
        self.planners: dict[str, Process] = {}
        if told.fleet:
            self.lay_planners()
        self.members = {server.name: self.lay_member(server) for server in self.servers}
        self.last: list[str] = []
        self.watch: list[Step] = []
        self.spells: dict[str, list[tuple[int, float]]] = {}  # site: since when, how slow
        self.returns: list[int] = []
        self.losses: list[int] = []
        self.costs: dict[str, tuple[float, int]] = {}

    def fault(self, name: str, trouble: Exception) -> None:
        self.faults.append(f"{name}: {type(trouble).__name__}: {trouble}")

    # ---- what is laid out ------------------------------------------------------------------------------

    def wire(self, who: str, whom: str) -> str:
        made = self.wires[who, whom] = Wire(self.scheduler, ("127.0.0.1", self.ports[whom]))
        return made.address

    def fleet_file(self, who: str) -> Path:
        """The same fleet for all, but each reaches the others by wires of its own."""
        told = {
            "planners": [
                {
                    "name": one,
                    "address": f"127.0.0.1:{self.ports[one]}" if one == who else self.wire(who, one),
                }
                for one in self.names
            ],
            "sites": [
                {
                    "name": site,
                    "routers": [place + 1],
                    "members": [
                        {"name": server.name, "address": f"{server.address[0]}:{server.address[1]}"}
                        for server in self.servers
                        if server.site == site
                    ],
                }
                for place, site in enumerate(self.sites)
            ],
            "tenants": TENANTS,
            "vault": {"total": CALLS_EACH * len(self.servers), "kept": 0.5, "lease_ms": 3_000},
        }
        path = self.folder / f"{who}.fleet.json"
        path.write_text(json.dumps(told))
        return path

    def lay_planners(self) -> None:
        for name in self.names:
            path = self.fleet_file(name)
            folder = str(self.folder / name)
            words = ["planner", "--fleet", str(path), "--name", name, "--folder", folder]
            self.planners[name] = Process(name, words, {}, self.folder)

    def lay_member(self, server: Server) -> Process:
        settings = {
            "classes": [
                {
                    "name": one.name,
                    "effect": "by_key" if one.label else "repeatable",
                    "aim_s": one.goal / SECOND,
                    "hard_limit_s": one.outer / SECOND,
                    "window_s": WINDOW / SECOND,
                    "credit": one.payoff,
                }
                for one in PROFILES
            ],
            "tenants": [
                {"name": name, "quota_per_s": share * self.capacity} for name, share in TENANTS.items()
            ],
            "group_size": len(self.servers),
            "ceilings": {"retry_after": True, "max_retry_after_s": 1.0},
            "contract": {
                "fall_multiple": 8.0,
                "drain_grace_s": 0.5,
                "cold_from": COLD_FROM,
                "cold_s": COLD_SPAN / SECOND,
            },
            "family_info": {
                "cores": CORES,
                "mem_limit_kb": 8000.0,
                "run_factor": 4.0,
                "key_kb": 1.0,
                "halt": "drop",
                "downstream": "shared",
                "calls_out": CALLS_EACH,
                "share_span_s": 5.0,
                "linger_s": 0.0,
                "class_skip_worth": [0.0, 0.0],
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
            },
        }
        told = {
            "name": server.name,
            "listen": f"{server.address[0]}:{server.address[1]}",
            "agent": self.agents[server.name].address,
            "directory": self.catalog.address,
            "vault": self.vault.address,
            "seed": f"{self.told.seed:x}",
            "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }
        path = self.folder / f"{server.name}.json"
        path.write_text(json.dumps(told))
        environment = {"PROXY_CONFIG": str(path)}
        if self.told.fleet:
            environment["BIRCHSLIP_FLEET"] = str(self.fleet_file(server.name))
        return Process(server.name, [], environment, self.folder)

    # ---- the play --------------------------------------------------------------------------------------

    def run(self) -> None:
        pace = self.told.pace
        before, lost, back, after = (int(span * pace * SECOND) for span in (6, 8, 12, 4))
        steps = schedule(self.told.fault, self.told.seed, self.sites, self.names, lost)
        last = max((step.at for step in steps), default=0)
        self.spans = {
            "before": (before // 2, before),
            "during": (before + 15_000, before + max(lost, last if self.told.fault == MINUTE else 30_000)),
            "back": (before + max(lost, last), before + max(lost, last) + back),
            "after": (before + max(lost, last) + back, before + max(lost, last) + back + after),
        }
        self.until = self.spans["after"][1]
        self.scheduler.at(
            self.scheduler.now, lambda: self.scheduler.spawn("director", lambda: self.direct(steps))
        )
        self.scheduler.run()

    def direct(self, steps: list[Step]) -> None:
        scheduler = self.scheduler
        try:
            for process in self.planners.values():
                process.start()
            for server in self.servers:
                self.members[server.name].start()
                server.life, server.up = 1, True
            self.wait_for(lambda: len(self.catalog.listed()) == len(self.servers), 15 * SECOND)
            for router in self.routers:
                router.listed = self.catalog.listed()
                router.start(self.catalog.listed)
            self.began = scheduler.now
            zero = self.began + self.spans["before"][1]
            self.sample()
            for step in steps:
                scheduler.sleep(max(scheduler.now, zero + step.at))
                self.carry_out(step)
            scheduler.sleep(self.began + self.until)
            self.costs = {name: one.usage() for name, one in self.members.items()}
            for router in self.routers:
                router.stopped = True
            scheduler.sleep(scheduler.now + 3 * SECOND + 2_000)
            for server in self.servers:
                self.truth.drained[server.name, self.agents[server.name].life] = scheduler.now + 5_000
                self.members[server.name].leave()
            scheduler.sleep(scheduler.now + 3 * SECOND)
        except Exception as trouble:
            self.fault("director", trouble)
        finally:
            scheduler.stop()

    def wait_for(self, holds: Any, longest: int) -> None:
        until = self.scheduler.now + longest
        while not holds() and self.scheduler.now < until:
            self.scheduler.sleep(self.scheduler.now + 500)
        if not holds():
            raise RuntimeError("the processes did not come up in time")

    def sample(self) -> None:
        """A step that waits for a site's own step on its way back is due once the log tells of it."""
        self.scheduler.at(self.scheduler.now + 1_000, self.sample)
        for step in list(self.watch):
            lines = [line for one in self.planners.values() for _, line in one.lines("stage=step")]
            # Without planners there are no steps: it dies about when it would have reached the second one.
            alone = not self.planners and self.returns and self.scheduler.now >= self.returns[-1] + 2 * SECOND
            if alone or (self.planners and len(lines) >= step.more):
                self.watch.remove(step)
                self.down(step.whom, "kill")
                again = self.scheduler.now + 2 * SECOND
                self.scheduler.at(again, lambda site=step.whom: self.up(site))  # type: ignore[misc]

    def leader(self) -> str:
        """Whoever said last that it leads."""
        said = [(at, name) for name, one in self.planners.items() for at, _ in one.lines("event=leads")]
        return max(said)[1] if said else self.names[0]

    def named(self, whom: str) -> list[str]:
        if not self.planners:
            return []
        if whom == "all":
            return list(self.names)
        if whom == "last":
            return self.last
        leader = self.leader()
        if whom == "leader":
            return [leader]
        others = [name for name in self.names if name != leader and name not in self.last]
        return others[:1] or [name for name in self.names if name != leader][:1]

    def carry_out(self, step: Step) -> None:
        match step.what:
            case "kill" | "pause":
                self.down(step.whom, step.what)
            case "start" | "resume":
                self.up(step.whom)
            case "on-step":
                self.watch.append(step)
            case "surge":
                for router in self.routers:
                    router.surge[step.whom] = step.more
            case "heed":
                for router in self.routers:
                    router.heed = step.more
            case "slow":
                for server in self.servers:
                    if server.site == step.whom:
                        self.agents[server.name].slow = step.more
                self.spells.setdefault(step.whom, []).append((self.scheduler.now, step.more))
            case "cut" | "deaf" | "silent" | "heal":
                mode = "mute" if step.what == "heal" else step.what
                for (who, _), wire in self.wires.items():
                    if who.startswith(f"{step.whom}-"):
                        wire.turn("pass" if step.what == "heal" else mode)
            case "late":
                for wire in self.wires.values():
                    wire.turn("late", int(step.more))
            case "shake":
                for place, wire in enumerate(self.wires.values()):
                    if (place + step.at) % 3 == 0:
                        wire.shake()
            case "split":
                leader = self.leader() if self.planners else ""
                for (who, whom), wire in self.wires.items():
                    if who in self.planners and leader in (who, whom):
                        wire.turn("cut")
            case "heal-planners":
                for (who, _), wire in self.wires.items():
                    if who in self.planners:
                        wire.turn("pass")
            case planners:
                self.to_planners(planners, step.whom)

    def to_planners(self, what: str, whom: str) -> None:
        names = self.named(whom)
        for name in names:
            one = self.planners[name]
            folder = self.folder / name
            aside = self.folder / f"{name}.saved"
            match what:
                case "kill-planner":
                    one.kill()
                case "start-planner":
                    one.start()
                case "pause-planner":
                    one.pause()
                case "resume-planner":
                    one.resume()
                case "save-disk":
                    shutil.copytree(folder, aside, dirs_exist_ok=True)
                case "disk-empty":
                    shutil.rmtree(folder)
                case "disk-cut-short":
                    path = folder / f"{name}.planner"
                    raw = path.read_bytes()
                    path.write_bytes(raw[: len(raw) // 2 + 100])
                    for tail in ("-wal", "-shm"):
                        path.with_name(path.name + tail).unlink(missing_ok=True)
                case "disk-old" if aside.exists():
                    shutil.rmtree(folder)
                    shutil.copytree(aside, folder)
        self.last = names

    def down(self, site: str, how: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.losses.append(now)
        self.out.add(site)
        self.truth.dark.setdefault(site, []).append((now, 1 << 60))
        for server in self.servers:
            if server.site != site:
                continue
            server.up = False
            for router in self.routers:
                for link in router.links[server]:
                    for _, one in link.open.values():
                        one.excused = "down"
            agent = self.agents[server.name]
            if how == "kill":
                self.members[server.name].kill()
                agent.start(cold=True)
                agent.pause()
            else:
                self.members[server.name].pause()
                agent.pause()

    def up(self, site: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.returns.append(now)
        self.out.discard(site)
        spans = self.truth.dark[site]
        spans[-1] = (spans[-1][0], now)
        for server in self.servers:
            if server.site != site:
                continue
            agent, member = self.agents[server.name], self.members[server.name]
            if member.paused:
                for router in self.routers:
                    for link in router.links[server]:
                        for _, one in link.open.values():
                            one.excused = "down"
                member.resume()
                agent.resume()
            else:
                server.life += 1
                agent.start(cold=True)
                member.start()
            server.up = True

    def finish(self) -> None:
        """End what still runs; each is waited for."""
        for member in self.members.values():
            member.leave()
        for member in self.members.values():
            member.wait(5)
        for planner in self.planners.values():
            planner.leave()
        for planner in self.planners.values():
            planner.wait(5)

    # ---- what is told of it ----------------------------------------------------------------------------

    def span(self, name: str) -> tuple[int, int]:
        a, b = self.spans[name]
        return self.began + a, self.began + b

    def ideal(self, span: tuple[int, int]) -> float:
        """What capacity was left for, of the payoff asked: cores that were up, each as fast as it then
        was.
        """
        done, asked = 0.0, 0.0
        step = SECOND // 2  # a wait of half a second is still in time
        deeds = sorted(self.truth.of(span), key=lambda deed: deed.born)
        place = 0
        for at in range(span[0], span[1], step):
            room = 0.0
            for server in self.servers:
                if any(since <= at < until for since, until in self.truth.dark.get(server.site, ())):
                    continue
                room += CORES * step * self.speed_then(server.site, at)
            work = reading = 0.0
            while place < len(deeds) and deeds[place].born < at + step:
                work += deeds[place].work
                reading += READING  # once each: more tries than that are what a plan may spare
                place += 1
            asked += work
            done += min(work, room * work / (work + reading)) if work else 0.0
        return done / asked if asked else 1.0

    def speed_then(self, site: str, at: int) -> float:
        spells = [slow for since, slow in self.spells.get(site, ()) if since <= at]
        return self.warmth_then(site, at) / (spells[-1] if spells else 1.0)

    def warmth_then(self, site: str, at: int) -> float:
        if (
            site == self.sites[0]
            and self.returns
            and self.told.fault not in ("pause", "cut-heals", "half-open")
        ):
            began = max((one for one in self.returns if one <= at), default=0)
            if began:
                return COLD_FROM + (1 - COLD_FROM) * min(1.0, (at - began) / COLD_SPAN)
        return 1.0

    def dead(self) -> list[str]:
        """Processes that ended by themselves, or with a code above 0."""
        every = [*self.members.values(), *self.planners.values()]
        return [f"{one.name}: {one.unexpected}" for one in every if one.unexpected]

    def outcome(self) -> dict[str, Any]:
        now = self.scheduler.now
        truth = self.truth
        told: dict[str, Any] = {
            "rules": truth.rules(now, WINDOW),
            "service": {
                name: round(truth.service(self.span(name)), 4) for name in ("before", "during", "back")
            },
            "ideal": {name: round(self.ideal(self.span(name)), 4) for name in ("before", "during", "back")},
            "attempts_each": {
                name: round(truth.attempts(self.span(name)), 3) for name in ("before", "during", "after")
            },
            "after": round(truth.service(self.span("after")), 4),
            "refused": dict(truth.sheds),
            "broken_links": dict(Counter(truth.broken)),
            "dead": self.dead(),
            "trouble": self.faults[:5],
            "transactions": len(truth.deeds),
            "calls_most": truth.calls_most,
            **self.of_members(),
            "series": self.series(),
        }
        return told

    def of_members(self) -> dict[str, Any]:
        """What a survivor took of the machine: seconds of processor time in the mean, and memory at the
        end.
        """
        costs = [used for name, used in self.costs.items() if not name.startswith(f"{self.sites[0]}-")]
        return {
            "member_cpu_s": round(sum(cpu for cpu, _ in costs) / max(1, len(costs)), 3),
            "member_memory_kb": max((memory for _, memory in costs), default=0),
            "played_s": round(self.until / SECOND, 1),
        }

    def series(self) -> list[list[float]]:
        """Second by second from the loss: service, ideal and attempts for each transaction."""
        zero, made = self.spans["before"][1], []
        for at in range(0, self.until, SECOND):
            span = (self.began + at, self.began + at + SECOND)
            row = (self.truth.service(span), self.ideal(span), self.truth.attempts(span))
            made.append([(at - zero) / SECOND, *(round(one, 3) for one in row)])
        return made

    def of_the_fleet(self) -> dict[str, Any]:
        """What the processes' own logs tell of plans: when, not whether, anything was right."""
        zero = self.losses[0] if self.losses else self.began + self.spans["before"][1]
        gone = {site for site in self.truth.dark}
        held = []
        for server in self.servers:
            if server.site in gone:
                continue
            lines = self.members[server.name].lines("in force")
            times = [at for at, line in lines if at >= zero and "visitors []" not in line]
            held.append(min(times) - zero if times else None)
        lost, home = [], []
        for one in self.planners.values():
            for at, line in one.lines('event="site lost"'):
                site = next(word[5:] for word in line.split() if word.startswith("site="))
                lost.append((at, site))
            for at, line in one.lines("stage=home"):
                if f"site={self.sites[0]} " in line:
                    home.append(at)
        in_force = None if not held or None in held else max(one for one in held if one is not None) / SECOND
        back = [at for at in home if self.returns and at >= self.returns[-1]]
        return {
            "in_force_s": in_force,
            "false_evacuations": sum(1 for at, site in lost if not self.truth.was_dark(site, at)),
            "evacuations": len(lost),
            "back_s": round((min(back) - self.returns[-1]) / SECOND, 2) if back else None,
            "leaders": sum(len(one.lines("event=leads")) for one in self.planners.values()),
        }


def play_once(told: Told, folder: Path) -> dict[str, Any]:
    shutil.rmtree(folder, ignore_errors=True)  # logs and disks of an earlier play are none of this one's
    folder.mkdir(parents=True)
    play = Play(told, folder)
    try:
        play.run()
    finally:
        play.finish()
    outcome = play.outcome()
    if told.fleet:
        outcome |= play.of_the_fleet()
    return outcome


def play_site_loss(told: Told) -> dict[str, Any]:
    """The report of the command: the play with planners, and the same schedule without."""
    kept = told.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        fleet = play_once(told, kept / "fleet")
        report: dict[str, Any] = {
            "seed": told.seed,
            "fault": told.fault,
            "sites": told.sites,
            "each": told.each,
            "planners": told.planners,
            "load": told.load,
            **fleet,
        }
        if not told.alone:
            single = play_once(replace(told, fleet=False), kept / "single")
            report["single_level"] = {
                name: single[name]
                for name in (
                    "rules",
                    "service",
                    "attempts_each",
                    "after",
                    "refused",
                    "dead",
                    "series",
                    *COSTS,
                )
            }
    finally:
        if told.logs is None:
            shutil.rmtree(kept, ignore_errors=True)
    return report
