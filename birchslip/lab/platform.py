"""Stand-in for the platform: starts and drains real app server processes, in two versions, as planners order.

It speaks the protocol of `cluster/platform_link.py`. A drain sends SIGTERM and waits for the process to exit;
a start is complete once the catalog has a report of the new process. A process that exits by itself is
restarted in its version, as real platforms do, whatever the planners have ordered. The platform alone records
which members were unavailable when.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from ..cluster.disruption_types import BudgetGroup
from .clients import AppServer
from .peers import HttpPeer, Vault
from .truth import SECOND
from .versions import IN_PROCESS_KINDS
from .world import Testbed

# Times are tenths of a millisecond where a name has no unit.
POLL_INTERVAL = 200
RESTART_DELAY = SECOND  # between the exit of a process by itself and its restart
MAX_START_SPAN = 20 * SECOND  # a process that the catalog does not list by then has failed to start
DETECTION_SPAN = SECOND  # planners should know of an unplanned disruption by then
ORDER_SEGMENTS = 4  # path segments of an order: fleet, members, member, action
OLD_VERSION, NEW_VERSION = "1", "2"


@dataclass(eq=False, slots=True)
class Machine:
    """State of the process of one app server.

    Times are tenths of a millisecond.

    Attributes:
        state: "up", "draining", "stopped" or "failed", as listed for planners.
        version: Version that the process runs, or that was last started.
        failed_starts: Starts of the present version that failed, since the last that succeeded.
        crashes: Exits of the present version by itself that its injected fault explains.
        started_at: Time of the last start.
        is_starting: Whether the process was started and is not listed yet.
        restart_at: When a process that exited by itself is restarted; 0 for none.
        failing_versions: Versions that do not start on this machine.
    """

    server: AppServer
    state: str = "up"
    version: str = OLD_VERSION
    failed_starts: int = 0
    crashes: int = 0
    started_at: int = 0
    is_starting: bool = False
    restart_at: int = 0
    failing_versions: set[str] = field(default_factory=set)


class DisruptionLedger:
    """Which members are unavailable, since when and why, and breaches of disruption budgets.

    Attributes:
        groups: Groups with disruption budgets, by name.
        dependents: Members that need a service, by its name.
        causes: Start time of each cause, by unavailable member or service and name of the cause.
        planned_members: Unavailable members and services that a drain made unavailable.
        peak_unavailable: Most members of each group that were unavailable at once.
        breaches: Number of budget breaches by group.
        breach_descriptions: One line for each breach, with the members out and the number allowed.
    """

    def __init__(self, groups: list[BudgetGroup], dependents: Mapping[str, list[str]]) -> None:
        """Create a ledger without disruptions."""
        self.groups = {group.name: group for group in groups}
        self.dependents = dependents
        self.causes: dict[str, dict[str, int]] = {}
        self.planned_members: set[str] = set()
        self.peak_unavailable = dict.fromkeys(self.groups, 0)
        self.breaches = dict.fromkeys(self.groups, 0)
        self.breach_descriptions: list[str] = []

    def find_unavailable(self, group: BudgetGroup) -> list[str]:
        """Return the sorted names of the group's unavailable members and services."""
        return sorted(group.members & self.causes.keys())

    def begin_disruption(self, name: str, cause: str, now: int, is_planned: bool = False) -> None:
        """Record a disruption of a member or service and of its dependents.

        A planned disruption is a breach if it takes a group past its budget. Other planned disruptions count
        at once, unplanned ones only after `DETECTION_SPAN`, when planners should know of them.

        Args:
            name: Member or service.
            cause: Cause of the disruption; `end_disruption` takes the same one.
            now: Present time.
            is_planned: Whether a drain caused it.
        """
        for member, reason in (
            (name, cause),
            *((dependent, name) for dependent in self.dependents.get(name, ())),
        ):
            self.causes.setdefault(member, {}).setdefault(reason, now)
            if is_planned:
                self.planned_members.add(member)
        for group in self.groups.values():
            unavailable = self.find_unavailable(group)
            self.peak_unavailable[group.name] = max(self.peak_unavailable[group.name], len(unavailable))
            if not is_planned or not group.members & {name, *self.dependents.get(name, ())}:
                continue
            known_members = [
                member
                for member in unavailable
                if member == name
                or member in self.planned_members
                or now - min(self.causes[member].values()) > DETECTION_SPAN
            ]
            if len(known_members) > group.disruptions_allowed:
                self.breaches[group.name] += 1
                self.breach_descriptions.append(
                    f"{group.name}: {', '.join(known_members)} out, {group.disruptions_allowed} allowed"
                )

    def end_disruption(self, name: str, cause: str) -> None:
        """Remove one cause of a member or service, and the service as a cause of its dependents.

        A member or service without a cause left is available again.
        """
        for member, reason in (
            (name, cause),
            *((dependent, name) for dependent in self.dependents.get(name, ())),
        ):
            causes = self.causes.get(member, {})
            causes.pop(reason, None)
            if not causes:
                self.causes.pop(member, None)
                self.planned_members.discard(member)

    def build_report(self) -> dict[str, Any]:
        """Return budget, peak and breaches by group; the keys are those of the printed report."""
        return {
            name: {
                "allowed": group.disruptions_allowed,
                "most_out": self.peak_unavailable[name],
                "breaches": self.breaches[name],
            }
            for name, group in self.groups.items()
        }


class Platform(HttpPeer):
    """HTTP stand-in of the platform that manages the app server processes of a testbed.

    Attributes:
        fault_kind: Kind of fault in the new version; see `versions.FAULT_KINDS`.
        service_state: State and incarnation by service.
        disruptions: Which members and services are unavailable, and breaches of budgets.
        epoch: Highest planner epoch in a query or order so far; older ones are refused.
        executed_drains: Member and permit number of each drain order that was accepted.
        drain_counts: Drains that were begun on orders, by member and target version.
        exposed_members: Members that came up in the new version.
        first_harm_at: When the new version first harmed a run, crashed or failed to start, or began to leak;
            None if it never did.
        is_over: Whether the run is over, which ends the polling.
        stale_order_count: Orders of an epoch that is over.
        before_order: Called with action and member before an order is carried out; "drop" leaves the order
            undone and unanswered.
        on_member_stopped: Called with the member once a drained process has exited.
    """

    def __init__(
        self,
        testbed: Testbed,
        fault_kind: str,
        groups: list[BudgetGroup],
        required_services: Mapping[str, list[str]],
        crash_ms: int,
    ) -> None:
        """Create a platform for all app servers of a testbed.

        Args:
            testbed: The testbed.
            fault_kind: Kind of fault in the new version.
            groups: Groups with disruption budgets.
            required_services: Services that each member needs.
            crash_ms: Milliseconds from the start of a process to its fault, for the kinds "crash" and "leak".
        """
        self.testbed, self.fault_kind, self.crash_ms = testbed, fault_kind, crash_ms
        self.machines = {server.name: Machine(server) for server in testbed.servers}
        self.services: dict[str, Vault] = {}
        self.service_state: dict[str, tuple[str, int]] = {}
        dependents: dict[str, list[str]] = {}
        for name, services in required_services.items():
            for service in services:
                dependents.setdefault(service, []).append(name)
        self.disruptions = DisruptionLedger(groups, dependents)
        self.epoch = 0
        self.executed_drains: set[tuple[str, int]] = set()
        self.drain_counts: dict[tuple[str, str], int] = {}
        self.exposed_members: set[str] = set()
        self.first_harm_at: int | None = None
        self.is_over = False
        self.stale_order_count = 0
        self.before_order: Callable[[str, str], str] = lambda action, name: ""
        self.on_member_stopped: Callable[[str], None] = lambda name: None
        super().__init__(testbed.scheduler)
        for server in testbed.servers:
            testbed.agents[server.name].on_harm = lambda name=server.name: self.record_harm(name)  # type: ignore[misc]

    def add_service(self, name: str, vault: Vault) -> None:
        """Add a downstream service that is up."""
        self.services[name] = vault
        self.service_state[name] = ("up", 1)

    def poll_machines(self) -> None:
        """Poll the state of all processes now and every 20 ms until the run is over."""
        if self.is_over:
            return
        for machine in self.machines.values():
            self.poll_machine(machine)
        self.scheduler.at(self.scheduler.now + POLL_INTERVAL, self.poll_machines)

    def record_harm(self, name: str) -> None:
        """Record that the new version did harm at a member; only the time of the first harm is kept."""
        if self.first_harm_at is None:
            self.first_harm_at = self.scheduler.now

    # ---- requests of planners --------------------------------------------------------------------------

    def handle_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Handle a request of a planner: list the members, or drain or start one."""
        url = urlsplit(path)
        segments = [unquote(word) for word in url.path.strip("/").split("/")]
        if method == "GET" and segments == ["fleet", "members"]:
            return self.list_members(int(parse_qs(url.query).get("epoch", ["0"])[0]))
        if method == "POST" and segments[:2] == ["fleet", "members"] and len(segments) == ORDER_SEGMENTS:
            return self.handle_order(segments[3], segments[2], json.loads(body))
        return 404, b""

    def list_members(self, epoch: int) -> tuple[int, bytes]:
        """Return status 200 with the state of members and services, or 409 if the epoch is stale."""
        if epoch < self.epoch:
            return 409, b""
        self.epoch = epoch
        members = {
            name: {
                "state": machine.state,
                "version": machine.version,
                "starts": machine.failed_starts,
                "ends": machine.crashes,
            }
            for name, machine in self.machines.items()
        }
        services = {
            name: {"state": state, "life": incarnation}
            for name, (state, incarnation) in self.service_state.items()
        }
        return 200, json.dumps({"members": members, "services": services}).encode()

    def handle_order(self, action: str, name: str, order: dict[str, Any]) -> tuple[int, bytes] | None:
        """Carry out an order to drain or start a member.

        A drain is carried out at most once for each permit number, and only of a member that is up in another
        version than the target. A start needs a member that is stopped or failed.

        Returns:
            Status and empty body of the response: 404 for an unknown member or action, 409 for a stale epoch,
            204 otherwise, also if there was nothing to do. None if the schedule drops the order.
        """
        machine = self.machines.get(name)
        if machine is None or action not in ("drain", "start"):
            return 404, b""
        if order["epoch"] < self.epoch:
            self.stale_order_count += 1
            return 409, b""
        self.epoch = order["epoch"]
        if self.before_order(action, name) == "drop":
            return None
        version = order["version"]
        if action == "start":
            if machine.state in ("stopped", "failed") and not machine.is_starting:
                self.start_member(machine, version)
            return 204, b""
        if (
            (name, order["number"]) in self.executed_drains
            or machine.state != "up"
            or machine.version == version
        ):
            return 204, b""
        self.executed_drains.add((name, order["number"]))
        if not self.testbed.members[name].is_running():
            return 204, b""  # it has just exited by itself; `poll_machine` notices that and restarts it
        self.drain_counts[name, version] = self.drain_counts.get((name, version), 0) + 1
        self.drain_member(machine, is_planned=True)
        return 204, b""

    # ---- processes -------------------------------------------------------------------------------------

    def drain_member(self, machine: Machine, is_planned: bool) -> None:
        """Drain a member and record its disruption; a planned one counts against the budgets at once."""
        machine.state = "draining"
        self.disruptions.begin_disruption(machine.server.name, "own", self.scheduler.now, is_planned)
        self.testbed.drain_server(machine.server)

    def start_member(self, machine: Machine, version: str) -> None:
        """Start a new, cold incarnation of a member in a version, with the fault of that version."""
        server, testbed = machine.server, self.testbed
        name = server.name
        if version != machine.version:
            machine.failed_starts = machine.crashes = 0
        machine.version, machine.state = version, "stopped"
        machine.is_starting, machine.restart_at = True, 0
        machine.started_at = self.scheduler.now
        member, agent = testbed.members[name], testbed.agents[name]
        fault_kind = self.fault_kind if version == NEW_VERSION else "good"
        if version in machine.failing_versions:
            fault_kind = "nostart"
        is_in_process = fault_kind in IN_PROCESS_KINDS
        member.module = "birchslip.lab.versions" if is_in_process else "birchslip"
        member.arguments = [fault_kind, str(self.crash_ms)] if is_in_process else []
        server.incarnation += 1
        agent.start(is_cold=True)
        agent.fault_kind = fault_kind
        member.start()
        server.is_up = True

    def poll_machine(self, machine: Machine) -> None:
        """Update the state of one machine from its process and its listing; restart it when that is due."""
        now, server = self.scheduler.now, machine.server
        name, member = server.name, self.testbed.members[server.name]
        is_running = member.is_running()
        if machine.state == "draining" and not is_running:
            machine.state = "stopped"
            self.clear_expected_exits(machine)
            self.mark_down(server)
            self.on_member_stopped(name)
        elif machine.is_starting:
            if is_running and self.testbed.catalog.is_listed_since(name, machine.started_at):
                self.on_listed(machine)
            elif not is_running or now - machine.started_at > MAX_START_SPAN:
                self.on_start_failed(machine)
        elif machine.state == "up" and not is_running and not machine.restart_at:
            self.on_crash(machine)
        elif machine.state == "up" and machine.restart_at and now >= machine.restart_at:
            version, crashes, failed_starts = machine.version, machine.crashes, machine.failed_starts
            self.start_member(machine, version)
            # Its listed state stays "up"; planners detect the outage from its missing reports.
            machine.state, machine.crashes, machine.failed_starts = "up", crashes, failed_starts

    def on_listed(self, machine: Machine) -> None:
        """Mark a started member as up; its disruption ends once it is warm.

        A leak counts as harm from `crash_ms` after the first member in the new version is listed.
        """
        name, testbed = machine.server.name, self.testbed
        machine.is_starting, machine.state, machine.failed_starts = False, "up", 0
        if machine.version == NEW_VERSION:
            self.exposed_members.add(name)
            if self.fault_kind == "leak" and self.first_harm_at is None:
                self.first_harm_at = self.scheduler.now + self.crash_ms * 10
        warm_at = max(self.scheduler.now, machine.started_at + testbed.warm_up_span)
        incarnation = machine.server.incarnation

        def end_warm_up() -> None:
            if (
                machine.server.incarnation == incarnation
                and machine.state == "up"
                and testbed.members[name].is_running()
            ):
                self.disruptions.end_disruption(name, "own")

        self.scheduler.at(warm_at, end_warm_up)

    def on_start_failed(self, machine: Machine) -> None:
        """Mark a start as failed and kill the process if it still runs."""
        name = machine.server.name
        machine.is_starting = False
        self.mark_down(machine.server)
        self.clear_expected_exits(machine)
        self.testbed.members[name].kill()
        machine.state = "failed"
        machine.failed_starts += 1
        if machine.version == NEW_VERSION:
            self.record_harm(name)

    def on_crash(self, machine: Machine) -> None:
        """Record that a process exited by itself, and schedule its restart after `RESTART_DELAY`.

        The exit counts as a crash of its version if the injected fault explains it.
        """
        now, name = self.scheduler.now, machine.server.name
        self.mark_down(machine.server)
        self.disruptions.begin_disruption(name, "own", now)
        machine.restart_at = now + RESTART_DELAY
        if machine.version == NEW_VERSION and self.fault_kind in IN_PROCESS_KINDS:
            self.clear_expected_exits(machine)
            machine.crashes += 1
            self.record_harm(name)

    def clear_expected_exits(self, machine: Machine) -> None:
        """Forget exit codes that the fault of the version explains, so that they are not reported."""
        is_expected = machine.version == NEW_VERSION and self.fault_kind in IN_PROCESS_KINDS
        if is_expected or machine.version in machine.failing_versions:
            self.testbed.members[machine.server.name].unexpected_exit_codes.clear()

    def mark_down(self, server: AppServer) -> None:
        """Mark an app server as down, excuse its attempts, and reset and pause its agent."""
        server.is_up = False
        self.testbed.history.excuse_broken_attempts(server.name, server.incarnation)
        self.testbed.excuse_pending_attempts(server)
        self.testbed.agents[server.name].start(is_cold=True)
        self.testbed.agents[server.name].pause()

    # ---- actions of fault schedules --------------------------------------------------------------------

    def kill_member(self, name: str) -> None:
        """Kill the process of a member; one that was up is restarted after `RESTART_DELAY`."""
        machine, member = self.machines[name], self.testbed.members[name]
        if member.is_running():
            self.mark_down(machine.server)
            member.kill()
            if machine.state == "up":
                self.disruptions.begin_disruption(name, "own", self.scheduler.now)
                machine.restart_at, machine.is_starting = self.scheduler.now + RESTART_DELAY, False

    def pause_member(self, name: str, until: int) -> None:
        """Pause a process until a given time; it then resumes with outdated state.

        It stays as it is if a new incarnation was started in the meantime.
        """
        member, agent = self.testbed.members[name], self.testbed.agents[name]
        incarnation = self.machines[name].server.incarnation
        self.testbed.excuse_pending_attempts(self.machines[name].server)
        self.disruptions.begin_disruption(name, "held", self.scheduler.now)
        self.machines[name].server.is_up = False
        member.pause()
        agent.pause()

        def wake() -> None:
            self.disruptions.end_disruption(name, "held")
            if self.machines[name].server.incarnation == incarnation and member.is_paused:
                self.testbed.excuse_pending_attempts(self.machines[name].server)
                self.machines[name].server.is_up = True
                member.resume()
                agent.resume()

        self.scheduler.at(until, wake)

    def stop_service(self, name: str, is_planned: bool = False) -> None:
        """Stop a downstream service at once, and record its disruption and that of its dependents."""
        self.service_state[name] = ("draining", self.service_state[name][1])
        self.disruptions.begin_disruption(name, "own", self.scheduler.now, is_planned)
        self.services[name].stop_accepting()

    def start_service(self, name: str) -> None:
        """Start a downstream service in a new incarnation, and end its disruption."""
        self.services[name].start_accepting()
        self.service_state[name] = ("up", self.service_state[name][1] + 1)
        self.disruptions.end_disruption(name, "own")

    def is_all_up(self) -> bool:
        """Return whether all members are up and listed."""
        return all(machine.state == "up" and not machine.is_starting for machine in self.machines.values())
