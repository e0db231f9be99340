"""The fleet's side in the model: one mind that leads, members that report and obey, a platform that carries
out its orders. The decisions are the fleet's own; their messages take a link's delay.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ...admission.types import Request, Tenant
from ...cluster.election import DurableVote, Election
from ...cluster.fleet_file import Fleet, span
from ...cluster.inventory import Inventory, ProcessReport
from ...cluster.member_metrics import Figures, Rates, room_of
from ...cluster.messages import Incarnation, MemberReport, ProbeResult, ReportReply
from ...cluster.plan_subscription import PlanSubscription, override_of
from ...cluster.planner_state import LOOK, PlannerState
from ...cluster.rollout import PlatformOrder, RolloutSpec
from ...cluster.rollout_controller import RolloutCommand
from .clock import SECOND

if TYPE_CHECKING:
    from .servers import AppServer
    from .world import World

SAMPLE = 1_000
KNOCK_LIMIT, KNOCK_KEPT, KNOCKS_MOST = 3_000, 10_000, 8
ASK = 2_000  # how often the platform is asked, where the fleet file does not say


class Bond:
    """One life of a member: what it shows, and what it obeys."""

    def __init__(self, planners: Planners, server: AppServer) -> None:
        self.planners, self.server = planners, server
        world, fleet = planners.world, planners.fleet
        self.site = fleet.site_of(server.name)
        assert self.site is not None
        self.routers = frozenset(self.site.routers)
        self.life, self.number = server.life, 0
        base = fleet.bases().get(server.name, 0.0)
        kept = fleet.vault.kept * base if fleet.vault else 0.0
        self.obey = PlanSubscription(kept, span(fleet.patience_ms), world.clock.now)
        self.rates = Rates(world.tenant_names)
        self.figures = Figures(world.profile_names)
        self.honoured, self.shed = server.counts["honoured"], server.counts["shed"]
        self.met: dict[str, tuple[int, str]] = {}
        self.calls = -1.0
        server.seen, server.answered, server.before = self.seen, self.answered, self.check
        self.sample()
        world.clock.after(planners.chance.randrange(1, 2_000), self.report)

    @property
    def alive(self) -> bool:
        return self.server.life == self.life and self.server.up

    def seen(self, transaction: Request) -> None:
        at_home = not self.routers or transaction.caller in self.routers
        account = transaction.context.a_try.deed.account if transaction.tenant is not None else ""
        self.rates.arrived(self.planners.world.clock.now, account, at_home, transaction.is_retry)

    def answered(self, transaction: Request, what: str, ran: int) -> None:
        now = self.planners.world.clock.now
        late = now - transaction.arrived_at > transaction.request_class.latency_objective
        self.figures.answered(transaction.context.a_try.deed.kind, what, ran, late)

    def sample(self) -> None:
        if not self.alive:
            return
        counts, clock = self.server.counts, self.planners.world.clock
        self.rates.answered(clock.now, counts["honoured"] - self.honoured, counts["shed"] - self.shed)
        clock.after(SAMPLE, self.sample)

    def check(self) -> None:
        """A lease that has ended binds before the next call is made."""
        if self.planners.fleet.vault is None or self.server.driver is None:
            return
        calls = self.obey.calls(self.planners.world.clock.now)
        if calls != self.calls:
            self.calls = calls
            self.server.driver.set_downstream_quota(calls)

    def report(self) -> None:
        if not self.alive:
            return
        clock, planners = self.planners.world.clock, self.planners
        every = self.obey.every or span(planners.fleet.report_ms)
        clock.after(every, self.report)
        if self.server.paused or planners.gone:
            return
        sent = clock.now
        told = self.told(sent)
        clock.after(planners.world.delay, self.arrive, told, sent)

    def arrive(self, told: MemberReport, sent: int) -> None:
        reply = self.planners.mind.hear(told, self.planners.world.clock.now)
        self.planners.world.clock.after(self.planners.world.delay, self.take, reply, sent)

    def told(self, now: int) -> MemberReport:
        self.number += 1
        server, site = self.server, self.site
        assert server.driver is not None and site is not None
        metrics = server.driver.metrics()
        load, visits, again, honoured, shed = self.rates.now(now)
        self.met = {name: (at, what) for name, (at, what) in self.met.items() if now - at <= KNOCK_KEPT}
        return MemberReport(
            name=server.name,
            site=site.name,
            incarnation=Incarnation(mark=self.life),
            number=self.number,
            door="127.0.0.1:1",
            age=now - server.began,
            serving=server.serving,
            leaving=server.leaving,
            warm=server.warm,
            room=room_of(server.cores.count, metrics.mean_service_time, honoured),
            pace=max(0.0, metrics.slowdown),
            load=load,
            visits=visits,
            again=again,
            honoured=honoured,
            shed=shed,
            calls=float(metrics.calls_in_flight),
            share=max(0.0, self.obey.calls(now)),
            lease=self.obey.lease_left(now),
            epoch=self.obey.epoch,
            plan=self.obey.number,
            knocks=[ProbeResult(name=name, met=what) for name, (_, what) in self.met.items()][:KNOCKS_MOST],
            figures=self.figures.told({"relay.called": server.counts["called"]}),
            took={name: list(counts) for name, counts in self.figures.took.items()},
        )

    def take(self, reply: ReportReply, sent: int) -> None:
        if not self.alive or self.server.paused:
            return
        now, server = self.planners.world.clock.now, self.server
        if not self.obey.take(reply, sent, now):
            return
        for name in reply.knock:
            self.knock(name)
        tell = reply.tell
        if tell is not None and tell is self.obey.plan and server.driver is not None:
            server.driver.advance_clock(now)
            until = now + self.obey.left(now)
            server.driver.apply_plan(override_of(tell, self.planners.tenants, until))
            if server.dozes and server.driver.metrics().plan_weight:
                server.dozes = False
                server.tick(server.life)

    def knock(self, name: str) -> None:
        other = self.planners.world.by_name.get(name)
        if other is None:
            return
        what = "refused" if not other.up else "silent" if other.paused else "answered"
        clock = self.planners.world.clock
        wait = KNOCK_LIMIT if what == "silent" else 2 * self.planners.world.delay
        clock.after(wait, lambda: self.met.update({name: (clock.now, what)}))


class Planners:
    """A mind of its own majority. `gone` while none is there."""

    def __init__(self, world: World, fleet: Fleet, seed: int) -> None:
        self.world, self.fleet = world, fleet
        self.chance = Random(seed)
        ballot = Election("model", ["model"], DurableVote(), 1, 0, Random(seed))
        self.mind = PlannerState(fleet, ballot, 0)
        self.bonds: dict[str, Bond] = {}
        self.gone = False
        self.tenants: dict[str, Tenant] = dict(zip(world.tenant_names, world.deployment.tenants, strict=True))
        self.versions = {name: "1" for name in world.by_name}
        self.states = {name: "up" for name in world.by_name}
        self.phase = ""  # of the only release
        self.carried: set[tuple[str, int]] = set()

    def start(self) -> None:
        self.look()
        if self.fleet.groups:
            self.ask()

    def begun(self, server: AppServer) -> None:
        """A new life of a member."""
        self.bonds[server.name] = Bond(self, server)

    def broke(self, server: AppServer, life: int) -> None:
        self.mind.membership.broke(server.name, Incarnation(mark=life))

    def may_be_found(self, server: AppServer) -> bool:
        bond = self.bonds.get(server.name)
        return bond is None or bond.obey.listed(self.world.clock.now)

    # ---- time ------------------------------------------------------------------------------------------

    def look(self) -> None:
        clock, mind = self.world.clock, self.mind
        clock.after(LOOK, self.look)
        if self.gone:
            return
        now = clock.now
        ask = mind.ballot.ask(now)
        if ask is not None:
            mind.ballot.answered(mind.ballot.asked(ask, now), ask.epoch, now, now)
        mind.look(now)
        self.have_kept()
        for event, more in mind.take_remarks():
            self.world.note(event, **more)

    def have_kept(self) -> None:
        mind = self.mind
        told = mind.keep()
        if told is not None and mind.ballot.kept(mind.ballot.keep(told, self.world.clock.now), told.number):
            mind.kept(told.number)

    # ---- a release, and its platform -------------------------------------------------------------------

    def ask(self) -> None:
        clock = self.world.clock
        platform = self.fleet.platform
        clock.after(span(platform.ask_ms) if platform is not None else ASK, self.ask)
        if not self.mind.rules(clock.now) or self.gone:
            return
        members = {
            name: ProcessReport(state=self.states[name], version=self.versions[name]) for name in self.states
        }
        services = {one.name: ProcessReport(state="up", life=1) for one in self.fleet.services}
        self.mind.conductor.hear(Inventory(members, services), clock.now)
        for order in list(self.mind.orders(clock.now)):
            self.carry(order)
        releases = self.mind.conductor.releases
        if releases:
            self.phase = releases[-1].phase.value

    def release(self, plan: RolloutSpec) -> str:
        """Why it can't begin; nothing where it has."""
        if not self.fleet.groups:
            return "the fleet file has no groups"
        _, said = self.mind.say(
            RolloutCommand(what="start", who="the model", plan=plan), self.world.clock.now
        )
        self.have_kept()
        if said.done:
            self.phase = "running"
        return said.why

    def carry(self, order: PlatformOrder) -> None:
        world, name = self.world, order.member
        server = world.by_name[name]
        if order.what == "start":
            if self.states[name] == "stopped":
                self.versions[name], self.states[name] = order.version, "up"
                world.start(server, cold=True)
            return
        stale = (name, order.number) in self.carried or self.versions[name] == order.version
        if stale or self.states[name] != "up" or not server.up:
            return
        self.carried.add((name, order.number))
        self.states[name] = "draining"
        world.drain(server, lambda: self.states.update({name: "stopped"}))

    def plan(self) -> RolloutSpec:
        """A short release of everybody, of a version that is as good as the one before."""
        return RolloutSpec(
            version="2",
            before="1",
            canaries=1,
            batch=8,
            watch_ms=500,
            watch_most_ms=30_000,
            margins={"late": 1.0},
            stall_ms=int(60 * SECOND / 10),
        )
