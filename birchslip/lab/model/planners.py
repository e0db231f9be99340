"""The fleet's side in the model: one mind that leads, members that report and obey, a platform that carries
out its orders. The decisions are the fleet's own; their messages take a link's delay.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from ...admission.types import Request, Tenant
from ...cluster.durable_vote import DurableVote
from ...cluster.election import Election
from ...cluster.fleet_file import Fleet, span
from ...cluster.inventory import Inventory, ProcessReport
from ...cluster.member_metrics import OutcomeCounts, RequestRates, estimate_capacity
from ...cluster.messages import (
    Incarnation,
    MemberReport,
    ProbeOutcome,
    ProbeResult,
    ReportReply,
)
from ...cluster.plan_subscription import PlanSubscription, plan_override
from ...cluster.planner_state import EVALUATION_INTERVAL, PlannerState
from ...cluster.rollout_messages import RolloutAction, RolloutCommand
from ...cluster.rollout_types import OrderAction, PlatformOrder, RolloutSpec
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
        base = fleet.base_calls().get(server.name, 0.0)
        kept = fleet.vault.unleased_fraction * base if fleet.vault else 0.0
        self.obey = PlanSubscription(kept, span(fleet.patience_ms), world.clock.now)
        self.rates = RequestRates(world.tenant_names)
        self.figures = OutcomeCounts(world.profile_names)
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
        self.rates.record_arrival(self.planners.world.clock.now, account, at_home, transaction.is_retry)

    def answered(self, transaction: Request, what: str, ran: int) -> None:
        now = self.planners.world.clock.now
        late = now - transaction.arrived_at > transaction.request_class.latency_objective
        self.figures.record_answer(transaction.context.a_try.deed.kind, what, ran, late)

    def sample(self) -> None:
        if not self.alive:
            return
        counts, clock = self.server.counts, self.planners.world.clock
        self.rates.record_answers(clock.now, counts["honoured"] - self.honoured, counts["shed"] - self.shed)
        clock.after(SAMPLE, self.sample)

    def check(self) -> None:
        """A lease that has ended binds before the next call is made."""
        if self.planners.fleet.vault is None or self.server.driver is None:
            return
        calls = self.obey.allowed_calls(self.planners.world.clock.now)
        if calls != self.calls:
            self.calls = calls
            self.server.driver.set_downstream_quota(calls)

    def report(self) -> None:
        if not self.alive:
            return
        clock, planners = self.planners.world.clock, self.planners
        every = self.obey.report_interval or span(planners.fleet.report_ms)
        clock.after(every, self.report)
        if self.server.paused or planners.gone:
            return
        sent = clock.now
        told = self.told(sent)
        clock.after(planners.world.delay, self.arrive, told, sent)

    def arrive(self, told: MemberReport, sent: int) -> None:
        reply = self.planners.mind.receive_report(told, self.planners.world.clock.now)
        self.planners.world.clock.after(self.planners.world.delay, self.take, reply, sent)

    def told(self, now: int) -> MemberReport:
        self.number += 1
        server, site = self.server, self.site
        assert server.driver is not None and site is not None
        metrics = server.driver.metrics()
        load, visits, again, honoured, shed = self.rates.snapshot(now)
        self.met = {name: (at, what) for name, (at, what) in self.met.items() if now - at <= KNOCK_KEPT}
        return MemberReport(
            name=server.name,
            site=site.name,
            incarnation=Incarnation(nonce=self.life),
            sequence=self.number,
            address="127.0.0.1:1",
            uptime=now - server.began,
            is_serving=server.serving,
            is_draining=server.leaving,
            is_warm=server.warm,
            capacity=estimate_capacity(server.cores.count, metrics.mean_service_time, honoured),
            slowdown=max(0.0, metrics.slowdown),
            local_load=load,
            evacuated_load=visits,
            retries=again,
            served=honoured,
            rejected=shed,
            calls_in_flight=float(metrics.calls_in_flight),
            call_limit=max(0.0, self.obey.allowed_calls(now)),
            lease_remaining=self.obey.lease_remaining(now),
            plan_term=self.obey.term,
            plan_number=self.obey.plan_number,
            probes=[
                ProbeResult(member=name, outcome=ProbeOutcome(what)) for name, (_, what) in self.met.items()
            ][:KNOCKS_MOST],
            metrics=self.figures.totals({"relay.called": server.counts["called"]}),
            latency_histograms={name: list(counts) for name, counts in self.figures.durations.items()},
        )

    def take(self, reply: ReportReply, sent: int) -> None:
        if not self.alive or self.server.paused:
            return
        now, server = self.planners.world.clock.now, self.server
        if not self.obey.accept(reply, sent, now):
            return
        for name in reply.probe_addresses:
            self.knock(name)
        tell = reply.assignment
        if tell is not None and tell is self.obey.assignment and server.driver is not None:
            server.driver.advance_clock(now)
            until = now + self.obey.assignment_remaining(now)
            server.driver.apply_plan(plan_override(tell, self.planners.tenants, until))
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
        if self.fleet.disruption_budgets:
            self.ask()

    def begun(self, server: AppServer) -> None:
        """A new life of a member."""
        self.bonds[server.name] = Bond(self, server)

    def broke(self, server: AppServer, life: int) -> None:
        self.mind.membership.mark_disconnected(server.name, Incarnation(nonce=life))

    def may_be_found(self, server: AppServer) -> bool:
        bond = self.bonds.get(server.name)
        return bond is None or bond.obey.is_listed(self.world.clock.now)

    # ---- time ------------------------------------------------------------------------------------------

    def look(self) -> None:
        clock, mind = self.world.clock, self.mind
        clock.after(EVALUATION_INTERVAL, self.look)
        if self.gone:
            return
        now = clock.now
        ask = mind.election.next_vote_request(now)
        if ask is not None:
            mind.election.handle_vote_response(
                mind.election.handle_vote_request(ask, now), ask.term, now, now
            )
        mind.tick(now)
        self.have_kept()
        for event, more in mind.drain_events():
            self.world.note(event, **more)

    def have_kept(self) -> None:
        mind = self.mind
        told = mind.replication_request()
        if told is not None and mind.election.handle_replication_response(
            mind.election.handle_replication_request(told, self.world.clock.now), told.state_number
        ):
            mind.mark_replicated(told.state_number)

    # ---- a release, and its platform -------------------------------------------------------------------

    def ask(self) -> None:
        clock = self.world.clock
        platform = self.fleet.platform
        clock.after(span(platform.ask_ms) if platform is not None else ASK, self.ask)
        if not self.mind.is_effective_leader(clock.now) or self.gone:
            return
        members = {
            name: ProcessReport(state=self.states[name], version=self.versions[name]) for name in self.states
        }
        services = {one.name: ProcessReport(state="up", start_count=1) for one in self.fleet.services}
        self.mind.receive_inventory(Inventory(members, services), clock.now)
        for order in list(self.mind.platform_orders(clock.now)):
            self.carry(order)
        releases = self.mind.rollouts.controller.rollouts
        if releases:
            self.phase = releases[-1].phase.value

    def release(self, plan: RolloutSpec) -> str:
        """Why it can't begin; nothing where it has."""
        if not self.fleet.disruption_budgets:
            return "the fleet file has no groups"
        _, said = self.mind.handle_rollout_command(
            RolloutCommand(action=RolloutAction.START, operator="the model", spec=plan), self.world.clock.now
        )
        self.have_kept()
        if said.accepted:
            self.phase = "running"
        return said.reason

    def carry(self, order: PlatformOrder) -> None:
        world, name = self.world, order.member
        server = world.by_name[name]
        if order.action is OrderAction.START:
            if self.states[name] == "stopped":
                self.versions[name], self.states[name] = order.version, "up"
                world.start(server, cold=True)
            return
        stale = (name, order.permit_number) in self.carried or self.versions[name] == order.version
        if stale or self.states[name] != "up" or not server.up:
            return
        self.carried.add((name, order.permit_number))
        self.states[name] = "draining"
        world.drain(server, lambda: self.states.update({name: "stopped"}))

    def plan(self) -> RolloutSpec:
        """A short release of everybody, of a version that is as good as the one before."""
        return RolloutSpec(
            version="2",
            previous_version="1",
            canaries=1,
            batch_size=8,
            min_watch_ms=500,
            max_watch_ms=30_000,
            margins={"late": 1.0},
            stall_timeout_ms=int(60 * SECOND / 10),
        )
