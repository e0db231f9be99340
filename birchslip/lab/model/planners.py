"""The planners' side of the emulated fleet: a leading planner, the members' links to it, and a platform.

The decisions are the fleet's own. Reports and replies take the delay of a link; the platform carries out the
leader's orders. All times are in units of 0.1 ms.
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

SAMPLE_INTERVAL = 1_000  # how often the totals of a member's answers are recorded
PROBE_TIMEOUT = 3_000  # until a probe without an answer counts as silent
PROBE_RESULT_LIFETIME = 10_000  # how long reports contain the result of a probe
MAX_PROBE_RESULTS = 8  # in one report
DEFAULT_INVENTORY_INTERVAL = 2_000  # how often the platform is polled if the fleet file describes none


class PlannerLink:
    """The link of one incarnation of a member to the planners: its reports and the plan that it follows.

    Attributes:
        site: The member's site in the fleet file.
        routers: Numbers of the routers whose home is this site; empty if the fleet file names none.
        incarnation: The incarnation of the member that this link belongs to.
        sequence: Number of the last report.
        subscription: The plan and quota lease in force.
        rates: Rates of requests and answers.
        outcome_counts: Answers by request class and outcome.
        base_honoured: Successful answers of the member before this incarnation.
        base_shed: Rejections of the member before this incarnation.
        probe_results: Time and outcome of the last probe of each member.
        applied_quota: The downstream quota that the driver was given; negative before the first.
    """

    def __init__(self, planners: Planners, server: AppServer) -> None:
        """Connect a member that has just started; its first report follows after a random time below 0.2 s.

        Args:
            planners: The planners.
            server: The member.
        """
        self.planners, self.server = planners, server
        world, fleet = planners.world, planners.fleet
        self.site = fleet.site_of(server.name)
        assert self.site is not None
        self.routers = frozenset(self.site.routers)
        self.incarnation, self.sequence = server.incarnation, 0
        base = fleet.base_calls().get(server.name, 0.0)
        unleased_calls = fleet.vault.unleased_fraction * base if fleet.vault else 0.0
        self.subscription = PlanSubscription(unleased_calls, span(fleet.patience_ms), world.clock.now)
        self.rates = RequestRates(world.tenant_names)
        self.outcome_counts = OutcomeCounts(world.class_names)
        self.base_honoured, self.base_shed = server.counts["honoured"], server.counts["shed"]
        self.probe_results: dict[str, tuple[int, str]] = {}
        self.applied_quota = -1.0
        server.on_request = self.record_arrival
        server.on_request_closed = self.record_answer
        server.before_event = self.apply_downstream_quota
        self.sample()
        world.clock.after(planners.rng.randrange(1, 2_000), self.send_report)

    @property
    def is_current(self) -> bool:
        """Whether the member still runs in this link's incarnation."""
        return self.server.incarnation == self.incarnation and self.server.is_up

    def record_arrival(self, request: Request) -> None:
        """Count a request that the member has read."""
        at_home = not self.routers or request.caller in self.routers
        tenant_name = request.context.attempt.request.tenant_name if request.tenant is not None else ""
        self.rates.record_arrival(self.planners.world.clock.now, tenant_name, at_home, request.is_retry)

    def record_answer(self, request: Request, result: str, run_time: int) -> None:
        """Count an answer of the member."""
        now = self.planners.world.clock.now
        is_late = now - request.arrived_at > request.request_class.latency_objective
        self.outcome_counts.record_answer(
            request.context.attempt.request.class_name, result, run_time, is_late
        )

    def sample(self) -> None:
        """Record the totals of answers, and schedule the next record until the incarnation ends."""
        if not self.is_current:
            return
        counts, clock = self.server.counts, self.planners.world.clock
        self.rates.record_answers(
            clock.now, counts["honoured"] - self.base_honoured, counts["shed"] - self.base_shed
        )
        clock.after(SAMPLE_INTERVAL, self.sample)

    def apply_downstream_quota(self) -> None:
        """Give the driver the member's current downstream quota if it has changed.

        Called before each event of the app server, so that an expired quota lease takes effect before the
        next downstream call. Without a vault in the fleet file the driver keeps its configured quota.
        """
        if self.planners.fleet.vault is None or self.server.driver is None:
            return
        quota = self.subscription.allowed_calls(self.planners.world.clock.now)
        if quota != self.applied_quota:
            self.applied_quota = quota
            self.server.driver.set_downstream_quota(quota)

    def send_report(self) -> None:
        """Send a report and schedule the next one.

        A paused member sends none, and none is sent while the planners are unreachable. The reports end with
        the incarnation.
        """
        if not self.is_current:
            return
        clock, planners = self.planners.world.clock, self.planners
        interval = self.subscription.report_interval or span(planners.fleet.report_ms)
        clock.after(interval, self.send_report)
        if self.server.is_paused or planners.are_unreachable:
            return
        sent_at = clock.now
        report = self.build_report(sent_at)
        clock.after(planners.world.link_delay, self.deliver_report, report, sent_at)

    def deliver_report(self, report: MemberReport, sent_at: int) -> None:
        """Pass a report to the planner, and send its reply to the member."""
        reply = self.planners.state.receive_report(report, self.planners.world.clock.now)
        self.planners.world.clock.after(self.planners.world.link_delay, self.handle_reply, reply, sent_at)

    def build_report(self, now: int) -> MemberReport:
        """Return the member's next report."""
        self.sequence += 1
        server, site = self.server, self.site
        assert server.driver is not None and site is not None
        metrics = server.driver.metrics()
        local_load, evacuated_load, retries, honoured, shed = self.rates.snapshot(now)
        self.probe_results = {
            name: (at, outcome)
            for name, (at, outcome) in self.probe_results.items()
            if now - at <= PROBE_RESULT_LIFETIME
        }
        return MemberReport(
            name=server.name,
            site=site.name,
            incarnation=Incarnation(nonce=self.incarnation),
            sequence=self.sequence,
            address="127.0.0.1:1",
            uptime=now - server.started_at,
            is_serving=server.is_serving,
            is_draining=server.is_draining,
            is_warm=server.is_warm,
            capacity=estimate_capacity(server.cores.count, metrics.mean_service_time, honoured),
            slowdown=max(0.0, metrics.slowdown),
            local_load=local_load,
            evacuated_load=evacuated_load,
            retries=retries,
            served=honoured,
            rejected=shed,
            calls_in_flight=float(metrics.calls_in_flight),
            call_limit=max(0.0, self.subscription.allowed_calls(now)),
            lease_remaining=self.subscription.lease_remaining(now),
            plan_term=self.subscription.term,
            plan_number=self.subscription.plan_number,
            probes=[
                ProbeResult(member=name, outcome=ProbeOutcome(outcome))
                for name, (_, outcome) in self.probe_results.items()
            ][:MAX_PROBE_RESULTS],
            metrics=self.outcome_counts.totals({"relay.called": server.counts["called"]}),
            latency_histograms={name: list(counts) for name, counts in self.outcome_counts.durations.items()},
        )

    def handle_reply(self, reply: ReportReply, sent_at: int) -> None:
        """Apply the planner's reply to a report, if the subscription accepts it.

        The member makes the probes that the reply asks for, and its driver gets the plan if the reply holds
        one. A plan resumes the periodic work that the member has suspended.
        """
        if not self.is_current or self.server.is_paused:
            return
        now, server = self.planners.world.clock.now, self.server
        if not self.subscription.accept(reply, sent_at, now):
            return
        for name in reply.probe_addresses:
            self.probe(name)
        assignment = reply.assignment
        if (
            assignment is not None
            and assignment is self.subscription.assignment
            and server.driver is not None
        ):
            server.driver.advance_clock(now)
            until = now + self.subscription.assignment_remaining(now)
            server.driver.apply_plan(plan_override(assignment, self.planners.tenants, until))
            if server.ticks_suspended and server.driver.metrics().plan_weight:
                server.ticks_suspended = False
                server.tick(server.incarnation)

    def probe(self, name: str) -> None:
        """Probe another member, and keep the result for the reports.

        The result is `refused` from a member that does not run and `answered` from one that does, after a
        round trip; it is `silent` from a paused one, after `PROBE_TIMEOUT`. Unknown members are ignored.
        """
        other = self.planners.world.servers_by_name.get(name)
        if other is None:
            return
        outcome = "refused" if not other.is_up else "silent" if other.is_paused else "answered"
        clock = self.planners.world.clock
        delay = PROBE_TIMEOUT if outcome == "silent" else 2 * self.planners.world.link_delay
        clock.after(delay, lambda: self.probe_results.update({name: (clock.now, outcome)}))


class Planners:
    """A single planner that is its own majority, and the platform that it gives orders to.

    Attributes:
        rng: Source of report delays.
        state: The planner's state and decisions.
        links: The link of each member's current incarnation, by member.
        are_unreachable: Whether no planner is there to answer or decide.
        tenants: The tenants by name.
        versions: The version that each member runs.
        process_states: The state of each member's process as the platform reports it.
        rollout_phase: Phase of the only rollout; empty before it starts.
        executed_orders: Member and permit number of the stop orders that were carried out.
    """

    def __init__(self, world: World, fleet: Fleet, seed: int) -> None:
        """Create planners without members.

        Args:
            world: The emulated world.
            fleet: The fleet file.
            seed: Seed of the election and of report delays.
        """
        self.world, self.fleet = world, fleet
        self.rng = Random(seed)
        election = Election("model", ["model"], DurableVote(), 1, 0, Random(seed))
        self.state = PlannerState(fleet, election, 0)
        self.links: dict[str, PlannerLink] = {}
        self.are_unreachable = False
        self.tenants: dict[str, Tenant] = dict(zip(world.tenant_names, world.deployment.tenants, strict=True))
        self.versions = {name: "1" for name in world.servers_by_name}
        self.process_states = {name: "up" for name in world.servers_by_name}
        self.rollout_phase = ""
        self.executed_orders: set[tuple[str, int]] = set()

    def start(self) -> None:
        """Start the planner, and the platform if there are disruption budgets."""
        self.tick()
        if self.fleet.disruption_budgets:
            self.poll_platform()

    def on_server_started(self, server: AppServer) -> None:
        """Connect a new incarnation of a member."""
        self.links[server.name] = PlannerLink(self, server)

    def on_connection_lost(self, server: AppServer, incarnation: int) -> None:
        """Tell the planner that the connection to an incarnation of a member broke."""
        self.state.membership.mark_disconnected(server.name, Incarnation(nonce=incarnation))

    def is_listed(self, server: AppServer) -> bool:
        """Return whether the catalog may list a member; it may before the member is first connected."""
        link = self.links.get(server.name)
        return link is None or link.subscription.is_listed(self.world.clock.now)

    # ---- periodic work ---------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run the planner's periodic work: election, decisions and replication; none while unreachable."""
        clock, state = self.world.clock, self.state
        clock.after(EVALUATION_INTERVAL, self.tick)
        if self.are_unreachable:
            return
        now = clock.now
        vote_request = state.election.next_vote_request(now)
        if vote_request is not None:
            state.election.handle_vote_response(
                state.election.handle_vote_request(vote_request, now), vote_request.term, now, now
            )
        state.tick(now)
        self.replicate_state()
        for event, fields in state.drain_events():
            self.world.note(event, **fields)

    def replicate_state(self) -> None:
        """Store the planner's state; its own replica is the majority."""
        state = self.state
        request = state.replication_request()
        if request is not None and state.election.handle_replication_response(
            state.election.handle_replication_request(request, self.world.clock.now), request.state_number
        ):
            state.mark_replicated(request.state_number)

    # ---- rollout and platform --------------------------------------------------------------------------

    def poll_platform(self) -> None:
        """Pass the platform's inventory to the planner, and carry out its orders; only while it leads."""
        clock = self.world.clock
        platform = self.fleet.platform
        clock.after(
            span(platform.ask_ms) if platform is not None else DEFAULT_INVENTORY_INTERVAL, self.poll_platform
        )
        if not self.state.is_effective_leader(clock.now) or self.are_unreachable:
            return
        members = {
            name: ProcessReport(state=self.process_states[name], version=self.versions[name])
            for name in self.process_states
        }
        services = {service.name: ProcessReport(state="up", start_count=1) for service in self.fleet.services}
        self.state.receive_inventory(Inventory(members, services), clock.now)
        for order in list(self.state.platform_orders(clock.now)):
            self.execute_order(order)
        releases = self.state.rollouts.controller.rollouts
        if releases:
            self.rollout_phase = releases[-1].phase.value

    def start_rollout(self, spec: RolloutSpec) -> str:
        """Start a rollout.

        Returns:
            Why it was refused; empty if it has started.
        """
        if not self.fleet.disruption_budgets:
            return "the fleet file has no groups"
        _, response = self.state.handle_rollout_command(
            RolloutCommand(action=RolloutAction.START, operator="the model", spec=spec), self.world.clock.now
        )
        self.replicate_state()
        if response.accepted:
            self.rollout_phase = "running"
        return response.reason

    def execute_order(self, order: PlatformOrder) -> None:
        """Carry out an order of the planner.

        A member is started only after it has stopped. An order to stop is ignored if it was carried out
        before, or if the member already runs the ordered version.
        """
        world, name = self.world, order.member
        server = world.servers_by_name[name]
        if order.action is OrderAction.START:
            if self.process_states[name] == "stopped":
                self.versions[name], self.process_states[name] = order.version, "up"
                world.start_server(server, cold=True)
            return
        is_stale = (name, order.permit_number) in self.executed_orders or self.versions[name] == order.version
        if is_stale or self.process_states[name] != "up" or not server.is_up:
            return
        self.executed_orders.add((name, order.permit_number))
        self.process_states[name] = "draining"
        world.drain_server(server, lambda: self.process_states.update({name: "stopped"}))

    def rollout_spec(self) -> RolloutSpec:
        """Return the spec of a rollout to all members, of a version that behaves like the previous one.

        Each batch is watched for 0.5 to 30 s.
        """
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
