"""The platform's stand-in: it starts and stops real processes of the program, in two versions, as planners
order; and it alone keeps the truth of who was out when.

It speaks the protocol of `fleet/platform_link.py`: a drain is SIGTERM and waits for the process to end by
itself, a start is over once the catalog has heard of the new process. A process that ends by itself is
started again in its version, as platforms do, whatever anybody has ordered.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from ..cluster.disruption_types import BudgetGroup
from .clients import Server
from .peers import Vault, Web
from .truth import SECOND
from .versions import IN_PROCESS
from .world import World

TICK = 200
AGAIN = SECOND  # before one that ended by itself is started again
START_MOST = 20 * SECOND
KNOWN = SECOND  # after so long planners should know that one is out that nobody let out
OLD, NEW = "1", "2"


@dataclass(eq=False, slots=True)
class Machine:
    """One app server's process, as the platform has it."""

    server: Server
    state: str = "up"
    version: str = OLD
    starts: int = 0
    ends: int = 0
    started_at: int = 0
    coming: bool = False  # started, and not listed yet
    again_at: int = 0  # one that ended by itself is started again then
    broken: set[str] = field(default_factory=set)  # versions that it does not start in


class Outs:
    """Who is out, by whose making, at every moment; and whether a budget was passed."""

    def __init__(self, groups: list[BudgetGroup], dependents: Mapping[str, list[str]]) -> None:
        self.groups = {group.name: group for group in groups}
        self.dependents = dependents
        self.causes: dict[str, dict[str, int]] = {}  # name: causes, and since when each
        self.planned: set[str] = set()
        self.most = dict.fromkeys(self.groups, 0)
        self.breaches = dict.fromkeys(self.groups, 0)
        self.said: list[str] = []

    def out(self, group: BudgetGroup) -> list[str]:
        return sorted(group.members & self.causes.keys())

    def begin(self, name: str, cause: str, now: int, planned: bool = False) -> None:
        """A planned one that goes beside others is a breach where the budget was used up already: by planned
        ones at once, by others once planners should have known.
        """
        for one, why in ((name, cause), *((other, name) for other in self.dependents.get(name, ()))):
            self.causes.setdefault(one, {}).setdefault(why, now)
            if planned:
                self.planned.add(one)
        for group in self.groups.values():
            out = self.out(group)
            self.most[group.name] = max(self.most[group.name], len(out))
            if not planned or not group.members & {name, *self.dependents.get(name, ())}:
                continue
            known = [
                one
                for one in out
                if one == name or one in self.planned or now - min(self.causes[one].values()) > KNOWN
            ]
            if len(known) > group.disruptions_allowed:
                self.breaches[group.name] += 1
                self.said.append(f"{group.name}: {', '.join(known)} out, {group.disruptions_allowed} may be")

    def end(self, name: str, cause: str) -> None:
        for one, why in ((name, cause), *((other, name) for other in self.dependents.get(name, ()))):
            causes = self.causes.get(one, {})
            causes.pop(why, None)
            if not causes:
                self.causes.pop(one, None)
                self.planned.discard(one)

    def told(self) -> dict[str, Any]:
        return {
            name: {
                "allowed": group.disruptions_allowed,
                "most_out": self.most[name],
                "breaches": self.breaches[name],
            }
            for name, group in self.groups.items()
        }


class Platform(Web):
    def __init__(
        self,
        world: World,
        version: str,
        groups: list[BudgetGroup],
        needs: Mapping[str, list[str]],
        crash_ms: int,
    ) -> None:
        self.world, self.fault, self.crash_ms = world, version, crash_ms
        self.machines = {server.name: Machine(server) for server in world.servers}
        self.services: dict[str, Vault] = {}
        self.service_state: dict[str, tuple[str, int]] = {}  # state and life
        dependents: dict[str, list[str]] = {}
        for name, services in needs.items():
            for service in services:
                dependents.setdefault(service, []).append(name)
        self.outs = Outs(groups, dependents)
        self.epoch = 0
        self.carried: set[tuple[str, int]] = set()
        self.drains: dict[tuple[str, str], int] = {}  # member and version to be: drains by order
        self.exposed: set[str] = set()
        self.first_harm: int | None = None
        self.over = False
        self.stale = 0  # orders of an epoch that is over
        # What the schedule wants done as an order comes: "drop" leaves it undone and unanswered.
        self.before: Callable[[str, str], str] = lambda what, name: ""
        self.stopped: Callable[[str], None] = lambda name: None
        super().__init__(world.scheduler)
        for server in world.servers:
            world.agents[server.name].harmed = lambda name=server.name: self.harm(name)  # type: ignore[misc]

    def add_service(self, name: str, vault: Vault) -> None:
        self.services[name] = vault
        self.service_state[name] = ("up", 1)

    def watch(self) -> None:
        """From the first process on, to the end of the play."""
        if self.over:
            return
        for machine in self.machines.values():
            self.look(machine)
        self.scheduler.at(self.scheduler.now + TICK, self.watch)

    def harm(self, name: str) -> None:
        """Something that a released member's users would mind has happened."""
        if self.first_harm is None:
            self.first_harm = self.scheduler.now

    # ---- what it is asked ------------------------------------------------------------------------------

    def serve(self, verb: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        where = urlsplit(path)
        words = [unquote(word) for word in where.path.strip("/").split("/")]
        if verb == "GET" and words == ["fleet", "members"]:
            return self.list_all(int(parse_qs(where.query).get("epoch", ["0"])[0]))
        if verb == "POST" and words[:2] == ["fleet", "members"] and len(words) == 4:
            return self.order(words[3], words[2], json.loads(body))
        return 404, b""

    def list_all(self, epoch: int) -> tuple[int, bytes]:
        if epoch < self.epoch:
            return 409, b""
        self.epoch = epoch
        members = {
            name: {"state": one.state, "version": one.version, "starts": one.starts, "ends": one.ends}
            for name, one in self.machines.items()
        }
        services = {
            name: {"state": state, "life": life} for name, (state, life) in self.service_state.items()
        }
        return 200, json.dumps({"members": members, "services": services}).encode()

    def order(self, what: str, name: str, told: dict[str, Any]) -> tuple[int, bytes] | None:
        machine = self.machines.get(name)
        if machine is None or what not in ("drain", "start"):
            return 404, b""
        if told["epoch"] < self.epoch:
            self.stale += 1
            return 409, b""
        self.epoch = told["epoch"]
        if self.before(what, name) == "drop":
            return None
        version = told["version"]
        if what == "start":
            if machine.state in ("stopped", "failed") and not machine.coming:
                self.start(machine, version)
            return 204, b""
        if (name, told["number"]) in self.carried or machine.state != "up" or machine.version == version:
            return 204, b""
        self.carried.add((name, told["number"]))
        if not self.world.members[name].running():
            return 204, b""  # it died this moment; it will be started again as one that ended by itself
        self.drains[name, version] = self.drains.get((name, version), 0) + 1
        self.drain(machine, planned=True)
        return 204, b""

    # ---- processes -------------------------------------------------------------------------------------

    def drain(self, machine: Machine, planned: bool) -> None:
        machine.state = "draining"
        self.outs.begin(machine.server.name, "own", self.scheduler.now, planned)
        self.world.drain(machine.server)

    def start(self, machine: Machine, version: str) -> None:
        server, world = machine.server, self.world
        name = server.name
        if version != machine.version:
            machine.starts = machine.ends = 0
        machine.version, machine.state = version, "stopped"
        machine.coming, machine.again_at = True, 0
        machine.started_at = self.scheduler.now
        member, agent = world.members[name], world.agents[name]
        kind = self.fault if version == NEW else "good"
        if version in machine.broken:
            kind = "nostart"
        apart = kind in IN_PROCESS
        member.module = "birchslip.lab.versions" if apart else "birchslip"
        member.words = [kind, str(self.crash_ms)] if apart else []
        server.life += 1
        agent.start(cold=True)
        agent.version = kind
        member.start()
        server.up = True

    def look(self, machine: Machine) -> None:
        """What has become of one process since the last look."""
        now, server = self.scheduler.now, machine.server
        name, member = server.name, self.world.members[server.name]
        running = member.running()
        if machine.state == "draining" and not running:
            machine.state = "stopped"
            self.forgive(machine)
            self.down(server)
            self.stopped(name)
        elif machine.coming:
            if running and self.world.catalog.listed_since(name, machine.started_at):
                self.came_up(machine)
            elif not running or now - machine.started_at > START_MOST:
                self.failed(machine)
        elif machine.state == "up" and not running and not machine.again_at:
            self.ended_by_itself(machine)
        elif machine.state == "up" and machine.again_at and now >= machine.again_at:
            version, ends, starts = machine.version, machine.ends, machine.starts
            self.start(machine, version)
            # It counts as up to those who ask, as before: its silence tells them.
            machine.state, machine.ends, machine.starts = "up", ends, starts

    def came_up(self, machine: Machine) -> None:
        name, world = machine.server.name, self.world
        machine.coming, machine.state, machine.starts = False, "up", 0
        if machine.version == NEW:
            self.exposed.add(name)
            if self.fault == "leak" and self.first_harm is None:
                self.first_harm = self.scheduler.now + self.crash_ms * 10
        warm_at = max(self.scheduler.now, machine.started_at + world.cold_span)
        life = machine.server.life

        def warm() -> None:
            if machine.server.life == life and machine.state == "up" and world.members[name].running():
                self.outs.end(name, "own")

        self.scheduler.at(warm_at, warm)

    def failed(self, machine: Machine) -> None:
        name = machine.server.name
        machine.coming = False
        self.down(machine.server)
        self.forgive(machine)
        self.world.members[name].kill()
        machine.state = "failed"
        machine.starts += 1
        if machine.version == NEW:
            self.harm(name)

    def ended_by_itself(self, machine: Machine) -> None:
        now, name = self.scheduler.now, machine.server.name
        self.down(machine.server)
        self.outs.begin(name, "own", now)
        machine.again_at = now + AGAIN
        if machine.version == NEW and self.fault in IN_PROCESS:
            self.forgive(machine)
            machine.ends += 1
            self.harm(name)

    def forgive(self, machine: Machine) -> None:
        """An end that its version is made for is none of the program's."""
        made = machine.version == NEW and self.fault in IN_PROCESS
        if made or machine.version in machine.broken:
            self.world.members[machine.server.name].unexpected.clear()

    def down(self, server: Server) -> None:
        server.up = False
        self.world.truth.died(server.name, server.life)
        self.world.excuse(server)
        self.world.agents[server.name].start(cold=True)
        self.world.agents[server.name].pause()

    # ---- what schedules do -----------------------------------------------------------------------------

    def kill(self, name: str) -> None:
        machine, member = self.machines[name], self.world.members[name]
        if member.running():
            self.down(machine.server)
            member.kill()
            if machine.state == "up":
                self.outs.begin(name, "own", self.scheduler.now)
                machine.again_at, machine.coming = self.scheduler.now + AGAIN, False

    def hold(self, name: str, until: int) -> None:
        """The process is stopped where it is, and wakes up later with whatever it believed."""
        member, agent = self.world.members[name], self.world.agents[name]
        life = self.machines[name].server.life
        self.world.excuse(self.machines[name].server)
        self.outs.begin(name, "held", self.scheduler.now)
        self.machines[name].server.up = False
        member.pause()
        agent.pause()

        def wake() -> None:
            self.outs.end(name, "held")
            if self.machines[name].server.life == life and member.paused:
                self.world.excuse(self.machines[name].server)
                self.machines[name].server.up = True
                member.resume()
                agent.resume()

        self.scheduler.at(until, wake)

    def service_down(self, name: str, planned: bool = False) -> None:
        self.service_state[name] = ("draining", self.service_state[name][1])
        self.outs.begin(name, "own", self.scheduler.now, planned)
        self.services[name].close()

    def service_up(self, name: str) -> None:
        self.services[name].open()
        self.service_state[name] = ("up", self.service_state[name][1] + 1)
        self.outs.end(name, "own")

    def all_up(self) -> bool:
        return all(one.state == "up" and not one.coming for one in self.machines.values())
