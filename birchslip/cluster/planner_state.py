"""Planner state: what one planner knows and decides, composed of one module per concern.

Owns the order in which the other modules are called; they make the decisions:

| module | decides |
| --- | --- |
| `leadership` | whether this planner leads, and the version of its state that a majority has stored |
| `membership`, `probe_scheduler` | which members are alive, which sites are lost, which members probe |
| `site_supervisor` | evacuation and recovery of sites |
| `plan_publisher`, `site_plan` | the plan, and each member's part of it |
| `quota_allocator` | leases of the vault's quota |
| `eviction_handler`, `member_observations` | permits |
| `rollout_supervisor` | rollouts |

Does no I/O and reads no clock: `planner.py` runs it. Members report to every planner, so that a new leader
knows them. Only the leader sends instructions, and only those that a majority has stored. Times are in tenths
of a millisecond.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from ..admission.types import MS, SECOND
from .disruption_budget import DisruptionBudget
from .disruption_tally import with_dependents
from .disruption_types import MemberObservation, UnavailabilityReason
from .election import Election
from .election_messages import ReplicationRequest
from .eviction_handler import handle_eviction, has_unknown_holder
from .fleet_diff import blocked_changes, member_changes
from .fleet_file import Fleet, span
from .inventory import Inventory
from .leadership import Leadership, LeadershipChange
from .member_observations import observe_members
from .membership import Membership
from .messages import (
    EvictionRequest,
    EvictionResponse,
    MemberReport,
    PlanAssignment,
    ReportReply,
)
from .plan_publisher import PlanPublisher
from .planner_events import EventBuffer, PlannerEvent
from .probe_scheduler import ProbeScheduler
from .quota_allocator import QuotaAllocator
from .replicated_state import (
    ReplicatedState,
    UnreadableStateError,
    decode_state,
    encode_state,
)
from .rollout_controller import RolloutController
from .rollout_messages import CommandResult, RolloutCommand
from .rollout_supervisor import RolloutSupervisor
from .rollout_types import PlatformOrder
from .site_supervisor import SiteSupervisor

EVALUATION_INTERVAL = 100 * MS
REPLAN_INTERVAL = 1 * SECOND  # between plans while a site is not serving, as loads and capacities change
MAX_REPORTS_PER_SECOND = 1_200  # from all members to one planner; members of larger fleets report less often


class EvictionOutcome(NamedTuple):
    """A response, and the version that a majority has to store before it may be sent."""

    version: int
    response: EvictionResponse


class CommandOutcome(NamedTuple):
    """A result, and the version that a majority has to store before it may be sent."""

    version: int
    result: CommandResult


class PlannerState:
    """One planner's knowledge of the fleet, and its decisions while it leads.

    Attributes:
        fleet: The fleet file in force.
        site_of_member: Site of each member of the fleet file, by name.
        election: This planner's voter and candidate.
        events: Events to be logged.
        leadership: This planner's term and the replication of its state.
        membership: Members that have reported.
        sites: Recovery ramp and load of each site.
        probes: Members of silent sites, and the members that probe them.
        plans: The pending and the published plan.
        quotas: Leases of the vault's quota.
        budget: Disruption budgets and permits.
        rollouts: Supervision of the rollouts.
    """

    def __init__(self, fleet: Fleet, election: Election, now: int) -> None:
        """Create the state of a follower that has not received any report.

        Args:
            fleet: The fleet file in force.
            election: This planner's voter and candidate.
            now: The current time.
        """
        site_names = [site.name for site in fleet.sites]
        self.fleet = fleet
        self.election = election
        self.events = EventBuffer()
        self.leadership = Leadership(election)
        self.membership = Membership(site_names, span(fleet.report_ms))
        self.sites = SiteSupervisor(site_names, self.membership, self.events, now)
        self.probes = ProbeScheduler(self.membership)
        self.plans = PlanPublisher()
        self.quotas = QuotaAllocator(fleet.vault, fleet.base_calls())
        self.budget = DisruptionBudget(fleet.budget_groups(), dependencies=fleet.required_services())
        self._index_members()
        self.rollouts = RolloutSupervisor(self._rollout_controller(), self.budget, self.events, now)
        self._last_tick = now

    def _index_members(self) -> None:
        self.site_of_member = {member.name: site.name for site in self.fleet.sites for member in site.members}
        self._site_sizes = Counter(self.site_of_member.values())

    def _rollout_controller(self) -> RolloutController:
        platform = self.fleet.platform
        inventory_ttl = span(platform.stale_ms) if platform is not None else 0
        services = [service.name for service in self.fleet.services]
        return RolloutController(
            self.fleet.rollout_scopes(), services, self.budget, inventory_ttl, self.site_of_member
        )

    # ---- leadership ------------------------------------------------------------------------------------

    def is_effective_leader(self, now: int) -> bool:
        """Return whether this planner may instruct members and the platform, and carry out changes.

        It may once it holds the leader's lease and a majority has stored the state that it restored.
        """
        return self.leadership.is_effective_leader(now)

    def leader_name(self, now: int) -> str:
        """Return the name of the planner that is believed to lead, or an empty string."""
        return self.leadership.known_leader(now)

    def _update_leadership(self, now: int) -> bool:
        term_before = self.leadership.term
        match self.leadership.update(now):
            case LeadershipChange.LOST:
                self.events.record("leadership_lost", epoch=term_before)
            case LeadershipChange.ACQUIRED:
                self.restore(self.election.newest_state.state, now)
                self.quotas.start_term(now)
                self.events.record("leadership_acquired", epoch=self.leadership.term)
                self.replan(now)
        return self.leadership.is_leading

    # ---- replication -----------------------------------------------------------------------------------

    def stored_state(self) -> ReplicatedState:
        """Return the state that this planner, as leader or follower, stored last; empty if unreadable."""
        return self._decode(self.election.durable.state)

    def _decode(self, raw: bytes) -> ReplicatedState:
        try:
            return decode_state(raw)
        except UnreadableStateError as error:
            self.events.record("replicated_state_unreadable", why=error.reason)
            return ReplicatedState()

    def restore(self, raw: bytes, now: int) -> None:
        """Restore the state that a majority stored under a previous leader.

        No order goes to the platform until a majority has stored the first version of the new term.
        """
        state = self._decode(raw)
        self.sites.restore(state.sites, now)
        self.budget.state = state.permits
        self.rollouts.controller.restore(state.rollouts, now)
        self.rollouts.orders_version = 1

    def encoded_state(self) -> bytes:
        """Encode the current state into the bytes that a majority has to store."""
        sites = self.sites.stored_sites()
        rollouts = self.rollouts.controller.states
        return encode_state(ReplicatedState(sites=sites, permits=self.budget.state, rollouts=rollouts))

    def replication_request(self) -> ReplicationRequest | None:
        """Return the request to store the newest version.

        None if a majority has stored it, or if this planner does not lead.
        """
        if not self.leadership.needs_replication():
            return None
        return self.leadership.replication_request(self.encoded_state())

    def mark_replicated(self, version: int) -> None:
        """Record that a majority has stored a version, and publish its plan.

        A version that is not the newest one, or is already recorded, is ignored.
        """
        if not self.leadership.mark_replicated(version):
            return
        self.plans.publish(self.sites.serving_fractions())
        self.quotas.follow_plan(
            self.plans.published, self.plans.published_serving_fractions, self.site_of_member
        )

    def replan(self, now: int) -> None:
        """Make a new plan and version; members receive the plan once a majority has stored it."""
        self.leadership.advance_version()
        self.plans.replan(self.fleet, self.sites.capacities(), now)

    # ---- members ---------------------------------------------------------------------------------------

    def receive_report(self, report: MemberReport, now: int) -> ReportReply:
        """Process a member's report and return the reply.

        The reply has no instructions if this planner is not the effective leader, or if the report is from
        an unknown member or an earlier incarnation.
        """
        if self.site_of_member.get(report.name) != report.site:
            self.events.record("report_from_unknown_member", member=report.name, site=report.site)
            return self._follower_reply(now)
        self.membership.receive_report(report, now)
        for probe in report.probes:
            self.membership.record_probe(report.name, probe.member, probe.outcome, now)
        self.leadership.observe_term(report.plan_term)
        member = self.membership.members.get(report.name)
        if not self.is_effective_leader(now):
            return self._follower_reply(now)
        if member is None or member.incarnation != report.incarnation:
            return self._follower_reply(now)
        grant = self.quotas.grant(report, member.site, now)
        return ReportReply(
            term=self.leadership.term,
            planner=self.election.incarnation,
            is_leading=True,
            leader=self.election.name,
            report_interval=self.report_interval(),
            assignment=self.assignment(report.name),
            call_limit=grant.quota,
            lease_span=grant.lease_span,
            probe_addresses=self.probes.targets(report, self.sites.ramps),
        )

    def _follower_reply(self, now: int) -> ReportReply:
        """Return a reply without instructions that names the leader, as followers send it."""
        return ReportReply(
            term=self.election.durable.promised_term,
            planner=self.election.incarnation,
            is_leading=False,
            leader=self.leader_name(now),
            report_interval=self.report_interval(),
        )

    def assignment(self, name: str) -> PlanAssignment:
        """Return one member's part of the published plan, with the term and the replicated version."""
        term = self.leadership.term
        number = self.leadership.replicated_version
        return self.plans.assignment(self.fleet, self.site_of_member, name, term, number)

    def report_interval(self) -> int:
        """Return the interval between a member's reports.

        This is `report_ms`, or longer if all members together would send one planner more than
        `MAX_REPORTS_PER_SECOND`.
        """
        min_interval = len(self.site_of_member) * SECOND // MAX_REPORTS_PER_SECOND
        return max(span(self.fleet.report_ms), min_interval)

    def members_reporting_here(self, names: list[str], now: int) -> list[str]:
        """Return those of `names`, which the leader suspects, whose reports still reach this planner."""
        return self.membership.recently_reporting(names, self.report_interval(), now)

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Follow the election, and as the leader evaluate all sites, permits and rollouts.

        To be called every `EVALUATION_INTERVAL`.
        """
        self._observe(now)
        if not self._update_leadership(now):
            return
        sites_changed = self.sites.evaluate(self._site_sizes, now)
        self.budget.expire_overrides(now - self._last_tick)
        self._last_tick = now
        observations = self.observations(now)
        permits_changed = self.budget.reconcile(observations)
        rollouts_changed = self._evaluate_rollouts(observations, now)
        state_changed = sites_changed or permits_changed or rollouts_changed
        if state_changed or self._is_plan_outdated(now):
            self.replan(now)
        if self.rollouts.evaluated_at == now:
            # Orders depend on permits that any step above may have granted: a majority stores them all first.
            self.rollouts.orders_version = self.leadership.version

    def _is_plan_outdated(self, now: int) -> bool:
        age = now - self.plans.pending_since
        return age >= REPLAN_INTERVAL and bool(self.sites.sites_not_serving())

    def _observe(self, now: int) -> None:
        """Update what followers maintain as well: loads of sites, alive members and members to probe.

        The load is not measured while a site does not serve or is silent, as it would not be the usual load.
        """
        self.membership.report_interval = self.report_interval()
        if not self.sites.sites_not_serving() and not self.probes.suspected:
            self.sites.measure_load(now)
        alive = {site: self.membership.alive_members(site, now) for site in self.sites.ramps}
        self.quotas.alive_members = {site: len(members) for site, members in alive.items()}
        self.probes.update(alive, now)

    def _evaluate_rollouts(self, observations: dict[str, MemberObservation], now: int) -> bool:
        if not self.rollouts.is_due(now):
            return False
        reporting = (None, UnavailabilityReason.COLD)
        reports = {
            name: member.report
            for name, member in self.membership.members.items()
            if observations[name].unavailability in reporting
        }
        return self.rollouts.evaluate(observations, reports, self.sites.sites_not_serving(), now)

    def observations(self, now: int) -> dict[str, MemberObservation]:
        """Return for each member, by name, its incarnation, capacity and why it is unavailable, if it is.

        While this planner leads, the services are included, and a member whose required service is
        unavailable counts as unavailable too.
        """
        members = observe_members(self.site_of_member, self.sites, self.report_interval(), now)
        if not self.leadership.is_leading:
            return members  # only the leader polls the platform, which knows the services
        return with_dependents(
            members | self.rollouts.controller.observe_services(now), self.budget.dependencies
        )

    # ---- requests of operators and the platform --------------------------------------------------------

    def handle_eviction(self, request: EvictionRequest, now: int) -> EvictionOutcome:
        """Execute a request to the disruption budget.

        Returns:
            The response, and the version that a majority has to store before the response may be sent. If
            the holder is unknown, nothing has changed and this is the version that is already stored.
        """
        observations = self.observations(now)
        before = self.budget.encode()
        response = handle_eviction(self.budget, request, observations)
        if has_unknown_holder(request, observations):
            return EvictionOutcome(self.leadership.replicated_version, response)
        if self.budget.encode() != before:
            self.events.record(
                "permits_changed",
                what=request.operation,
                holder=request.holder,
                granted=response.granted,
                why=response.reason,
            )
            self.replan(now)
        return EvictionOutcome(self.leadership.version, response)

    def handle_rollout_command(self, command: RolloutCommand, now: int) -> CommandOutcome:
        """Execute an operator's command on rollouts.

        Returns:
            The result, and the version that a majority has to store before the result may be sent.
        """
        result = self.rollouts.execute(command, now)
        if result.accepted:
            self.replan(now)
            self.rollouts.orders_version = self.leadership.version
            self.rollouts.evaluate_soon(now)
        return CommandOutcome(self.leadership.version, result)

    def platform_orders(self, now: int) -> list[PlatformOrder]:
        """Return the current orders to the platform.

        Empty unless this planner is the effective leader and a majority has stored the state that the orders
        depend on.
        """
        if not self.is_effective_leader(now):
            return []
        if self.leadership.replicated_version < self.rollouts.orders_version:
            return []
        return self.rollouts.controller.orders

    def receive_inventory(self, inventory: Inventory, sent: int) -> None:
        """Process the platform's inventory; its age counts from `sent`, when the platform was polled."""
        self.rollouts.controller.receive_inventory(inventory, sent)

    def evacuate_site(self, site: str, operator: str, reason: str, now: int) -> bool:
        """Evacuate a site on an operator's command; return whether that changed its stage."""
        changed = self.sites.evacuate(site, operator, reason, now)
        if changed:
            self.replan(now)
        return changed

    def end_site_evacuation(self, site: str, operator: str, now: int) -> bool:
        """End an operator's evacuation of a site, so that it recovers; return whether its stage changed."""
        changed = self.sites.end_evacuation(site, operator, now)
        if changed:
            self.replan(now)
        return changed

    # ---- fleet file and events -------------------------------------------------------------------------

    def apply_fleet(self, fleet: Fleet, now: int) -> list[str]:
        """Apply a new fleet file, or nothing of it if any of its changes needs a restart.

        Returns:
            The reasons why it can't be applied, one line each; empty if it was applied.
        """
        blocked = list(blocked_changes(self.fleet, fleet))
        if blocked:
            return blocked
        changes = member_changes(self.fleet, fleet)
        self.fleet = fleet
        self._index_members()
        for name in changes.left:
            self.membership.remove(name)
        self.budget.set_groups(fleet.budget_groups(), fleet.required_services())
        self._apply_fleet_to_rollouts(fleet)
        self.quotas.update_members(fleet.base_calls())
        self.events.record("fleet_file_applied", left=changes.left, joined=changes.joined)
        if self.leadership.is_leading:
            self._revoke_permits_of_unknown_holders()
            self.replan(now)
        return []

    def _apply_fleet_to_rollouts(self, fleet: Fleet) -> None:
        controller = self.rollouts.controller
        if fleet.platform is not None:
            controller.inventory_ttl = span(fleet.platform.stale_ms)
        services = [service.name for service in fleet.services]
        controller.update_fleet(fleet.rollout_scopes(), services, self.site_of_member)

    def _revoke_permits_of_unknown_holders(self) -> None:
        services = (service.name for service in self.fleet.services)
        known = {*self.site_of_member, *services}
        holders = [permit.holder for permit in self.budget.state.permits]
        for holder in holders:
            if holder not in known:
                self.budget.revoke(holder, "the fleet file")

    def drain_events(self) -> Iterator[PlannerEvent]:
        """Yield the events since the last call, for the log."""
        return self.events.drain()
