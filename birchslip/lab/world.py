"""What every play has: app servers and planners as real processes, and stand-ins for all else around them.

The truth of what happened is kept here, outside the program, and never asked of it.
"""

from __future__ import annotations

import json
import random
import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..net.scheduler import Scheduler
from .clients import Profile, Router, Server
from .peers import Agent, Catalog, Vault
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
SITES = ("north", "south", "east", "west", "upper", "lower", "inner", "outer", "far")
END = 3 * SECOND  # for what is open at the end of a play


@dataclass(frozen=True)
class Told:
    """What every play is told."""

    seed: int
    sites: int = 3
    each: int = 4
    planners: int = 3
    load: float = 0.9
    fault: str = "kill"
    logs: Path | None = None
    alone: bool = False
    fleet: bool = True  # whether there are planners


class World:
    """`prepare` is called before processes are laid out, for what their files must name."""

    profiles = PROFILES
    cold_span = COLD_SPAN
    window = WINDOW

    def __init__(self, told: Told, folder: Path) -> None:
        self.lay, self.folder = told, folder
        self.scheduler = Scheduler(lambda: None, self.fault)
        self.faults: list[str] = []
        self.truth = Truth()
        self.written: dict[str, int] = {}
        self.sites = list(SITES[: told.sites])
        self.servers = [
            Server(f"{site}-{n + 1}", site, ("127.0.0.1", free_port()))
            for site in self.sites
            for n in range(told.each)
        ]
        self.work = sum(one.share * one.work for one in self.profiles) / sum(
            one.share for one in self.profiles
        )
        self.capacity = len(self.servers) * CORES * SECOND / self.work
        chance = random.Random(told.seed)
        self.took = lambda: int(chance.uniform(150, 250))
        self.vault = Vault(self.scheduler, self.truth, self.took)
        self.truth.vault_total = int(CALLS_EACH * len(self.servers))
        self.catalog = Catalog(self.scheduler)
        self.agents = {server.name: self.lay_agent(server) for server in self.servers}
        self.routers = [
            Router(
                self.scheduler,
                self.truth,
                place + 1,
                site,
                self.servers,
                self.profiles,
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
        self.last: list[str] = []
        self.spans: dict[str, tuple[int, int]] = {}
        self.began = 0
        self.prepare()
        if told.fleet:
            self.lay_planners()
        self.members = {server.name: self.lay_member(server) for server in self.servers}

    def prepare(self) -> None:
        """Before the processes' files are written."""

    def fault(self, name: str, trouble: Exception) -> None:
        self.faults.append(f"{name}: {type(trouble).__name__}: {trouble}")

    # ---- what is laid out ------------------------------------------------------------------------------

    def lay_agent(self, server: Server) -> Agent:
        return Agent(
            self.scheduler,
            self.truth,
            server.name,
            CORES,
            COLD_FROM,
            self.cold_span,
            lambda name: self.written.get(name, self.scheduler.now),
        )

    def wire(self, who: str, whom: str) -> str:
        made = self.wires[who, whom] = Wire(self.scheduler, ("127.0.0.1", self.ports[whom]))
        return made.address

    def planner_address(self, who: str, whom: str) -> str:
        if who == whom:
            return f"127.0.0.1:{self.ports[whom]}"
        wire = self.wires.get((who, whom))
        return wire.address if wire is not None else self.wire(who, whom)

    def fleet_file(self, who: str) -> Path:
        """The same fleet for all, but each reaches the others by wires of its own."""
        told: dict[str, Any] = {
            "planners": [{"name": one, "address": self.planner_address(who, one)} for one in self.names],
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
        self.fleet_more(told, who)
        path = self.folder / f"{who}.fleet.json"
        path.write_text(json.dumps(told))
        return path

    def fleet_more(self, told: dict[str, Any], who: str) -> None:
        """What a play has besides."""

    def lay_planners(self) -> None:
        for name in self.names:
            path = self.fleet_file(name)
            folder = str(self.folder / name)
            words = ["planner", "--fleet", str(path), "--name", name, "--folder", folder]
            self.planners[name] = Process(name, words, {}, self.folder)

    def vault_of(self, server: Server) -> Vault:
        return self.vault

    def lay_member(self, server: Server) -> Process:
        settings = {
            "classes": [
                {
                    "name": one.name,
                    "effect": "by_key" if one.label else "repeatable",
                    "aim_s": one.goal / SECOND,
                    "hard_limit_s": one.deadline / SECOND,
                    "window_s": self.window / SECOND,
                    "credit": one.payoff,
                }
                for one in self.profiles
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
                "cold_s": self.cold_span / SECOND,
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
            "vault": self.vault_of(server).address,
            "seed": f"{self.lay.seed:x}",
            "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }
        path = self.folder / f"{server.name}.json"
        path.write_text(json.dumps(told))
        environment = {"PROXY_CONFIG": str(path)}
        if self.lay.fleet:
            environment["BIRCHSLIP_FLEET"] = str(self.fleet_file(server.name))
        return Process(server.name, [], environment, self.folder)

    # ---- the course of a play --------------------------------------------------------------------------

    def begin(self) -> None:
        """All processes up and listed, and load on them."""
        for process in self.planners.values():
            process.start()
        for server in self.servers:
            self.members[server.name].start()
            server.life, server.up = 1, True
        self.wait_for(lambda: len(self.catalog.listed()) == len(self.servers), 30 * SECOND)
        for router in self.routers:
            router.listed = self.catalog.listed()
            router.start(self.catalog.listed)
        self.began = self.scheduler.now

    def end(self) -> None:
        """No more load, what is open ends, and everybody leaves."""
        scheduler = self.scheduler
        for router in self.routers:
            router.stopped = True
        scheduler.sleep(scheduler.now + END + 2_000)
        for server in self.servers:
            self.drain(server)
        scheduler.sleep(scheduler.now + END)

    def drain(self, server: Server) -> None:
        """SIGTERM: from the end of its grace on it may launch nothing that came later."""
        self.truth.drained[server.name, self.agents[server.name].life] = self.scheduler.now + 5_000
        self.members[server.name].leave()

    def excuse(self, server: Server) -> None:
        """It is killed, paused or woken: what is open there is owed no answer."""
        for router in self.routers:
            for link in router.links[server]:
                for _, one in link.open.values():
                    one.excused = "down"

    def wait_for(self, holds: Callable[[], bool], longest: int) -> None:
        until = self.scheduler.now + longest
        while not holds() and self.scheduler.now < until:
            self.scheduler.sleep(self.scheduler.now + 500)
        if not holds():
            raise RuntimeError("it did not come about in time")

    def play(self, direct: Callable[[], None]) -> None:
        """In a task of its own, to the end of the play, whatever becomes of it."""

        def guarded() -> None:
            try:
                direct()
            except Exception as trouble:
                self.fault("director", trouble)
            finally:
                self.scheduler.stop()

        self.scheduler.spawn("director", guarded)
        self.scheduler.run()

    # ---- planners --------------------------------------------------------------------------------------

    def leader(self) -> str:
        """Whoever said last that it leads."""
        event = "event=leadership_acquired"
        said = [(at, name) for name, one in self.planners.items() for at, _ in one.lines(event)]
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
                case "disk-full":
                    one.fill_disk()
                case "disk-emptied":
                    one.empty_disk()
                case "disk-old" if aside.exists():
                    shutil.rmtree(folder)
                    shutil.copytree(aside, folder)
        self.last = names

    def turn_planners(self, mode: str, leader: str) -> None:
        """The wires between this planner and the others."""
        for (who, whom), wire in self.wires.items():
            if who in self.planners and leader in (who, whom):
                wire.turn(mode)

    # ---- the end ---------------------------------------------------------------------------------------

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

    def span(self, name: str) -> tuple[int, int]:
        a, b = self.spans[name]
        return self.began + a, self.began + b

    def dead(self) -> list[str]:
        """Processes that ended by themselves, or with a code above 0."""
        every = [*self.members.values(), *self.planners.values()]
        return [f"{one.name}: {one.unexpected}" for one in every if one.unexpected]
