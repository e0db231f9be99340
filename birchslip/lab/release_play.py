"""A release through a fleet of real processes (`lab play release`).

What really happened is recorded outside the processes under test.
"""

from __future__ import annotations

import json
import shutil
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ..cluster.disruption_types import BudgetGroup
from ..cluster.messages import (
    EvictionOperation,
    EvictionRequest,
    Message,
    OperatorCommand,
    OperatorOperation,
    encode,
)
from ..cluster.rollout_batches import plan_batches
from ..cluster.rollout_messages import RolloutAction, RolloutCommand
from ..cluster.rollout_types import RolloutSpec
from ..cluster.transport import PeerConnection
from .clients import AppServer, RequestClass
from .peers import Vault
from .platform import NEW_VERSION, OLD_VERSION, Platform
from .release_faults import STEPS, Step
from .truth import SECOND
from .world import RETENTION_WINDOW, ScenarioOptions, Testbed

# Times are tenths of a millisecond where a name has no unit.
LOOKUP = RequestClass("lookup", 0.7, 1_400, SECOND * 3 // 2, 3 * SECOND, 1.0, False)
ORDER = RequestClass("order", 0.3, 2_100, 2 * SECOND, 3 * SECOND, 1.5, True)
LEAD_IN_SPAN, LEAD_OUT_SPAN = 5 * SECOND, 3 * SECOND  # load before and after the release
ANSWER_TIMEOUT = 4_000  # an operator waits this long for one planner's answer, then asks the next planner
STUCK_AFTER = 240 * SECOND  # a release that has not ended by then is stuck
# Disruption budgets: members per site, share of the fleet's members, members of the fleet while lowered.
MAX_OUT_PER_SITE, FLEET_OUT_FRACTION, LOWERED_MAX_OUT = 2, 0.17, 1
# Watch of each batch, and time from the start of a process to the fault of a crashing or leaking version.
MIN_WATCH_MS, MAX_WATCH_MS, CRASH_AFTER_MS = 6_000, 40_000, 2_500
MAX_ROLLBACKS = 3  # that the operator orders in one run
MARGINS = {"late": 0.08, "slow": 0.2, "shed": 0.08, "written_off": 0.08, "calls": 0.15}
MIN_RESTART_SPAN = 2 * SECOND  # least time of a drain, a stop and a start together: no release is faster


@dataclass(frozen=True)
class ReleaseOptions(ScenarioOptions):
    """Options of a release run, beside those of every scenario run.

    Attributes:
        version: Behaviour of the new version, one of `versions.FAULT_KINDS`.
        margins: Factor on `MARGINS`, the margins of the canary analysis; above 1 for runs on a busy machine
            that do not test the analysis.
        without: Actions to replay without a release: time since the start of the release, action and target,
            and value. None runs the release.
    """

    version: str = "good"
    margins: float = 1.0
    without: tuple[tuple[int, str, float], ...] | None = None


class ReleaseRun(Testbed):
    """One run of a release with injected faults, or of the same faults without a release.

    Attributes:
        planned_batches: Names of members, by batch.
        applied_actions: Actions applied so far, in the form of `ReleaseOptions.without`.
        reached_moments: When each moment that the steps of `release_faults` wait for was first reached.
        permit_holder: The first member that the platform was ordered to drain; empty before that.
        operator_log: One line for each answer that an operator received.
        halted_at: When the rollout was first seen halted by itself; None if it was not.
        final_phase: Phase in which the rollout ended or remained; empty before.
        final_reason: Why it is in that phase.
        is_stuck: Whether the rollout did not end in time, or members did not come up after it.
        unexpected_resumes: How often a halted rollout was seen to continue without an operator's command.
        rollback_count: How many rollbacks the operator has ordered.
        last_figures: Figures of the last canary analysis that was seen.
        is_halt_expected: Whether the schedule has caused a halt that an operator ends.
        pending_steps: Steps of the fault that are not done.
    """

    request_classes = [LOOKUP, ORDER]  # noqa: RUF012
    warm_up_span = 2 * SECOND

    def __init__(self, options: ReleaseOptions, folder: Path) -> None:
        """Lay out the processes and stand-ins; files and logs go to `folder`."""
        self.release_options = options
        super().__init__(options, folder)
        self.planned_batches = plan_batches(
            self.make_spec(self.sites), {site: self.member_names(site) for site in self.sites}
        )
        self.applied_actions: list[tuple[int, str, float]] = []
        self.reached_moments: dict[str, int] = {}
        self.batches = 0
        self.permit_holder = ""
        self.operator_log: list[str] = []
        self.halted_at: int | None = None
        self.final_phase, self.is_stuck, self.final_reason = "", False, ""
        self.unexpected_resumes = 0
        self.rollback_count = 0
        self.last_figures: list[dict[str, Any]] = []
        self.is_halt_expected = False
        self.pending_steps: list[Step] = list(STEPS[options.fault])

    # ---- layout ----------------------------------------------------------------------------------------

    def prepare(self) -> None:
        """Lay out the disruption budgets, the store of each site and the platform."""
        member_names = [server.name for server in self.servers]
        self.fleet_max_out = max(2, int(FLEET_OUT_FRACTION * len(member_names)))
        self.budget_groups = {
            site: BudgetGroup(
                site,
                frozenset(self.member_names(site)),
                max_unavailable=min(MAX_OUT_PER_SITE, self.base_options.each - 1),
            )
            for site in self.sites
        }
        self.budget_groups["fleet"] = BudgetGroup(
            "fleet", frozenset(member_names), max_unavailable=self.fleet_max_out
        )
        stores = [f"store-{n + 1}" for n in range(len(self.sites))]
        self.budget_groups["stores"] = BudgetGroup("stores", frozenset(stores), max_unavailable=1)
        self.store_by_site = dict(zip(self.sites, stores, strict=True))
        self.vaults = {
            store: Vault(self.scheduler, self.history, self.draw_vault_latency) for store in stores
        }
        needs = {server.name: [self.store_by_site[server.site]] for server in self.servers}
        self.platform = Platform(
            self, self.release_options.version, list(self.budget_groups.values()), needs, CRASH_AFTER_MS
        )
        for store, vault in self.vaults.items():
            self.platform.add_service(store, vault)
        self.platform.before_order = self.before_platform_order
        self.platform.on_member_stopped = self.on_member_stopped
        self.delisted_members: set[str] = set()  # left out of the fleet file

    def member_names(self, site: str) -> list[str]:
        """Return the names of a site's members."""
        return [server.name for server in self.servers if server.site == site]

    def get_vault(self, server: AppServer) -> Vault:
        """Return the store of the app server's site, which the app server calls."""
        return self.vaults[self.store_by_site[server.site]]

    def extend_fleet_file(self, fleet: dict[str, Any], reader: str) -> None:
        """Add the platform, services, budgets and needs to a fleet file, and drop delisted members."""
        fleet["platform"] = {"address": self.platform.address, "ask_ms": 200, "stale_ms": 2_000}
        fleet["services"] = [{"name": name, "kind": "store"} for name in self.vaults]
        fleet["groups"] = [
            *(
                {"name": site, "sites": [site], "most_out": self.budget_groups[site].max_unavailable}
                for site in self.sites
            ),
            {"name": "fleet", "all": True, "most_out": self.budget_groups["fleet"].max_unavailable},
            {"name": "stores", "kinds": ["store"], "most_out": 1},
        ]
        calls = fleet["vault"]["total"] / len(self.servers)
        for site in fleet["sites"]:
            site["members"] = [
                member for member in site["members"] if member["name"] not in self.delisted_members
            ]
            for member in site["members"]:
                member["needs"] = [self.store_by_site[site["name"]]]
                member["calls"] = calls

    def rewrite_fleet_files(self) -> None:
        """Write a changed fleet file for each planner and make the planner read it."""
        for name in self.planner_names:
            self.write_fleet_file(name)
            self.planners[name].reload()

    def make_spec(
        self, sites: list[str], version: str = NEW_VERSION, previous_version: str = OLD_VERSION
    ) -> RolloutSpec:
        """Return the release file that brings a version to the sites, in their order."""
        return RolloutSpec(
            version=version,
            previous_version=previous_version,
            sites=sites,
            canaries=max(2, len(self.servers) // 12),
            batch_size=8,
            min_watch_ms=MIN_WATCH_MS,
            max_watch_ms=MAX_WATCH_MS,
            margins={
                name: min(0.95, margin * self.release_options.margins) for name, margin in MARGINS.items()
            },
            stall_timeout_ms=60_000,
        )

    # ---- operators -------------------------------------------------------------------------------------

    def ask_planners(self, record: Message, method: str, planners: list[str] | None = None) -> dict[str, Any]:
        """Send a request to the planners in turn, for up to 20 s, and return the first answer.

        A status request needs the leader's answer. With `planners`, only these are asked, and once each.
        Without an answer the result is negative and has the last error's text as `trouble`.
        """
        give_up_at = self.scheduler.now + 20 * SECOND
        last_error = ""
        is_query = (isinstance(record, RolloutCommand) and record.action is RolloutAction.STATUS) or (
            isinstance(record, OperatorCommand) and record.operation is OperatorOperation.SHOW
        )
        while self.scheduler.now < give_up_at:
            for name in planners or self.planner_names:
                connection = PeerConnection(self.scheduler, ("127.0.0.1", self.planner_ports[name]))
                try:
                    raw = connection.call(method, encode(record), self.scheduler.now + ANSWER_TIMEOUT)
                    answer: dict[str, Any] = json.loads(raw)
                    if is_query and not answer["leads"]:
                        continue
                    return answer
                except OSError as error:
                    last_error = str(error)
                finally:
                    connection.close()
            if planners:
                break
            self.scheduler.sleep(self.scheduler.now + 1_000)
        return {"done": False, "granted": False, "releases": [], "trouble": last_error}

    def send_command(self, action: str, **fields: Any) -> dict[str, Any]:
        """Send a rollout command as an operator, record the answer and return it."""
        answer = self.ask_planners(
            RolloutCommand(action=RolloutAction(action), operator="the play", **fields), "release"
        )
        self.operator_log.append(f"{action}: {answer.get('why') or answer.get('trouble') or 'done'}")
        return answer

    def rollout_status(self, number: int = 1) -> dict[str, Any]:
        """Return the leader's status of a rollout; empty if there is none or no leader answers."""
        answer = self.ask_planners(RolloutCommand(action=RolloutAction.STATUS, number=number), "release")
        return answer["releases"][0] if answer["releases"] else {}

    def request_permit(self, holder: str, planners: list[str] | None = None) -> dict[str, Any]:
        """Request an eviction permit for a member; `granted` in the answer tells whether it has one."""
        return self.ask_planners(
            EvictionRequest(operation=EvictionOperation.REQUEST_PERMIT, holder=holder, reason="by hand"),
            "want",
            planners,
        )

    # ---- moments ---------------------------------------------------------------------------------------

    def record_moment(self, name: str) -> None:
        """Record when a moment of the release was first reached; later times are ignored."""
        self.reached_moments.setdefault(name, self.scheduler.now)

    def before_platform_order(self, action: str, name: str) -> str:
        """Record the moments that an order marks, and inject the faults that strike on its arrival.

        Returns:
            `drop` if the platform must not execute or answer the order, else an empty string.
        """
        if action != "drain" or self.platform.machines[name].state != "up":
            return ""
        is_first = "granted" not in self.reached_moments
        self.record_moment("granted")
        if is_first:
            self.permit_holder = name
        if is_first and self.release_options.fault in ("killed-granted", "holder-dies"):
            if self.release_options.fault == "holder-dies":
                self.apply_action("kill", name)
            else:
                # Killed before the order is answered, so that no planner learns its outcome.
                self.planners[self.find_leader()].kill()
            return "drop"
        batch_number = next(
            (number for number, batch in enumerate(self.planned_batches, 1) if name in batch), 0
        )
        self.record_moment(f"batch {batch_number}")
        if is_first:
            self.scheduler.at(self.scheduler.now + 1, lambda: self.record_moment("drained"))
        return ""

    def on_member_stopped(self, name: str) -> None:
        """Record that a member stopped; kill the leader at the first one in the fault `killed-draining`."""
        if "stopped" not in self.reached_moments and self.release_options.fault == "killed-draining":
            self.planners[self.find_leader()].kill()
        self.record_moment("stopped")

    # ---- course of the run -----------------------------------------------------------------------------

    def execute_schedule(self) -> None:
        """Run the release, or the replayed actions, between a lead-in and a lead-out under load."""
        scheduler = self.scheduler
        self.start_all()
        self.platform.poll_machines()
        scheduler.sleep(scheduler.now + LEAD_IN_SPAN)
        if self.release_options.without is not None:
            self.replay_actions(self.release_options.without)
        else:
            self.run_rollout()
        scheduler.sleep(scheduler.now + LEAD_OUT_SPAN)
        self.wait_until_settled()
        self.platform.is_over = True
        self.drain_all()

    def replay_actions(self, actions: tuple[tuple[int, str, float], ...]) -> None:
        """Apply the actions of an earlier run at the same times, without a release."""
        self.rollout_started_at = self.scheduler.now
        for at, action, value in actions:
            self.scheduler.sleep(max(self.scheduler.now, self.rollout_started_at + at))
            if action != "end":
                name, _, target = action.partition(" ")
                self.apply_action(name, target, value)
        self.rollout_ended_at = self.scheduler.now

    def run_rollout(self) -> None:
        """Start the rollout, apply the fault's steps and follow the rollout to its end.

        Raises:
            RuntimeError: The planners did not start the rollout.
        """
        scheduler = self.scheduler
        self.wait_for(self.is_fleet_known, 30 * SECOND)
        sites = (
            self.sites[:-1]
            if self.release_options.fault == "two-releases" and len(self.sites) > 1
            else self.sites
        )
        spec = self.make_spec(sites)
        self.planned_batches = plan_batches(spec, {site: self.member_names(site) for site in self.sites})
        self.rollout_started_at = scheduler.now
        answer = self.send_command("start", spec=spec)
        if not answer["done"]:
            raise RuntimeError(f"the planners did not start the rollout: {answer}")
        self.record_moment("start")
        if self.pending_steps:
            scheduler.spawn("schedule", self.apply_steps)
        self.follow_rollout()
        self.rollout_ended_at = scheduler.now
        self.applied_actions.append((self.rollout_ended_at - self.rollout_started_at, "end", 0.0))

    def is_fleet_known(self) -> bool:
        """Whether the leader knows all members and none is unavailable, so that all are warm."""
        fleet = self.ask_planners(OperatorCommand(operation=OperatorOperation.SHOW), "wish")
        return len(fleet.get("members", ())) == len(self.servers) and not fleet["out"]

    def follow_rollout(self) -> None:
        """Poll the rollout until it has ended, and roll a bad version back as an operator would.

        A rollout that has not ended after `STUCK_AFTER` is stuck.
        """
        give_up_at = self.scheduler.now + STUCK_AFTER
        while self.scheduler.now < give_up_at:
            status = self.rollout_status()
            phase = status.get("phase", "")
            if any(figure["of"][0] for figure in status.get("figures", ())):
                self.last_figures = status["figures"]
            if phase == "halted" and self.halted_at is None and not self.is_halt_expected:
                self.halted_at = self.scheduler.now
            if phase in ("done", "back") and not self.pending_steps and self.is_second_rollout_over():
                self.final_phase, self.final_reason = phase, status["why"]
                return
            awaited = self.pending_steps[0].wait if self.pending_steps else 0
            if (
                phase == "halted"
                and not self.is_halt_expected
                and isinstance(awaited, str)
                and awaited not in self.reached_moments
            ):
                self.pending_steps.clear()  # the rollout halted by itself and will not reach that moment
            is_at_rest = phase == "halted" and not self.pending_steps and not self.is_halt_expected
            if is_at_rest and not self.continue_after_halt(status):
                self.final_phase, self.final_reason = phase, status["why"]
                return
            self.scheduler.sleep(self.scheduler.now + 1_500)
        self.final_phase, self.is_stuck, self.final_reason = phase, True, status.get("doing", "")

    def continue_after_halt(self, status: dict[str, Any]) -> bool:
        """Act as the operator of a halted rollout, and return whether to keep polling.

        A bad version is rolled back, at most `MAX_ROLLBACKS` times, once all members are up and the rollout
        excludes none. Excluded members whose start failed are started in the old version before. A rollout
        whose version is not bad is polled until all members are up.
        """
        if not status["bad"] or self.rollback_count >= MAX_ROLLBACKS:
            return not self.platform.is_all_up() and self.rollback_count < MAX_ROLLBACKS
        for name in status["left_out"]:
            machine = self.platform.machines[name]
            if machine.state == "failed":
                machine.failing_versions.clear()  # as if the operator had repaired the machine
                self.platform.start_member(machine, OLD_VERSION)
        if not self.platform.is_all_up():
            return True
        if status["left_out"]:
            return True  # until the rollout sees that these members are up
        self.rollback_count += 1
        self.send_command("back", number=1)
        return True

    def is_second_rollout_over(self) -> bool:
        """Whether the second rollout of the fault `two-releases` has ended; True without that fault."""
        if self.release_options.fault != "two-releases":
            return True
        status = self.rollout_status(2)
        return bool(status) and status["phase"] in ("done", "back", "halted")

    def wait_until_settled(self) -> None:
        """Wait up to 20 s until all members are up and the platform records no disruption.

        If a member is down after that time, the run is stuck.
        """
        give_up_at = self.scheduler.now + 20 * SECOND
        while self.scheduler.now < give_up_at and not (
            self.platform.is_all_up() and not self.platform.disruptions.causes
        ):
            self.scheduler.sleep(self.scheduler.now + 1_000)
        self.is_stuck = self.is_stuck or not self.platform.is_all_up()

    # ---- steps -----------------------------------------------------------------------------------------

    def apply_steps(self) -> None:
        """Apply the fault's steps, each at its moment, until the rollout has ended."""
        while self.pending_steps:
            step = self.pending_steps[0]
            if isinstance(step.wait, int):
                self.scheduler.sleep(self.scheduler.now + step.wait)
            else:
                while step.wait not in self.reached_moments and self.pending_steps and not self.final_phase:
                    self.scheduler.sleep(self.scheduler.now + 100)
            if self.final_phase or not self.pending_steps:
                return
            try:
                self.apply_step(step)
            except Exception as error:
                self.record_fault(f"step {step.action}", error)
            self.pending_steps.pop(0)

    def apply_action(self, action: str, target: str, value: float = 0.0) -> None:
        """Apply an action to the fleet, and record it for the run without a release.

        Args:
            action: Name of the action; an unknown one does nothing.
            target: Name of the member, service, tenant or site that it applies to.
            value: Seconds for `hold`, the factor on the load for `surge`; unused otherwise.
        """
        if self.release_options.without is None:
            self.applied_actions.append(
                (self.scheduler.now - self.rollout_started_at, f"{action} {target}", value)
            )
        match action:
            case "kill":
                self.platform.kill_member(target)
            case "hold":
                self.platform.pause_member(target, self.scheduler.now + int(value * SECOND))
            case "surge":
                for router in self.routers:
                    router.surge_factors[target] = value
            case "service-down":
                self.platform.stop_service(target)
            case "service-up":
                self.platform.start_service(target)
            case "lose-site":
                self.lose_site(target)
            case "site-back":
                self.lost_sites.discard(target)
                for name in self.member_names(target):
                    self.platform.machines[name].restart_at = self.scheduler.now

    def lose_site(self, site: str) -> None:
        """Kill all members of a site; the platform restarts them only after the action `site-back`."""
        self.lost_sites.add(site)
        for name in self.member_names(site):
            self.platform.kill_member(name)
            machine = self.platform.machines[name]
            if machine.state == "up":
                machine.restart_at = self.scheduler.now + STUCK_AFTER

    def apply_step(self, step: Step) -> None:
        """Apply one step of the fault.

        Raises:
            RuntimeError: The step's action is unknown, or a condition that it waits for was not met in time.
        """
        value = step.value
        match step.action:
            case "kill-leader" | "kill-holder":
                pass  # done by `before_platform_order`
            case "kill-planners":
                for planner in self.planners.values():
                    planner.kill()
            case "start-planners":
                for planner in self.planners.values():
                    planner.start()
            case "halt":
                self.is_halt_expected = True
                self.send_command("halt", reason="a rehearsal")
            case "halt-and-kill":
                self.is_halt_expected = True
                leader = self.find_leader()
                self.scheduler.at(self.scheduler.now + 20, self.planners[leader].kill)
                self.send_command("halt", reason="a rehearsal")
            case "check-halted":
                status = self.rollout_status()
                drains = sum(self.platform.drain_counts.values())
                self.scheduler.sleep(self.scheduler.now + 2 * SECOND)
                if status.get("phase") != "halted" or sum(self.platform.drain_counts.values()) != drains:
                    self.unexpected_resumes += 1
            case "resume":
                self.send_command("resume", number=1)
                self.is_halt_expected = False
            case "pause-holder":
                self.apply_action("hold", self.permit_holder, value)
            case "second-release":
                answer = self.send_command("start", spec=self.make_spec([self.sites[-1]]))
                self.operator_log.append(f"second: {answer['done']}")
                overlapping = self.send_command("start", spec=self.make_spec(self.sites))
                if overlapping["done"]:
                    self.faults.append("a release that shares members with an active release was started")
            case "drain-by-hand":
                self.scheduler.spawn("by hand", self.drain_by_hand)
            case "lower" | "raise":
                max_out = LOWERED_MAX_OUT if step.action == "lower" else self.fleet_max_out
                group = replace(self.budget_groups["fleet"], max_unavailable=max_out)
                self.budget_groups["fleet"] = group
                if step.action == "raise":
                    self.platform.disruptions.groups["fleet"] = group
                else:
                    # Planners need a moment to read the new file, and permits granted before remain valid.
                    self.scheduler.at(
                        self.scheduler.now + 5_000,
                        lambda: self.platform.disruptions.groups.update(fleet=group),
                    )
                self.rewrite_fleet_files()
            case "leave":
                self.delisted_members = {self.member_names(self.sites[-1])[-1]}
                self.rewrite_fleet_files()
            case "rejoin":
                name = min(self.delisted_members)
                self.delisted_members = set()
                self.apply_action("kill", name)
                self.rewrite_fleet_files()
            case "split":
                self.set_planner_proxies("cut", self.find_leader())
                self.scheduler.spawn("asker", self.request_permit_on_both_sides)
            case "heal-planners":
                for (source, _), proxy in self.proxies.items():
                    if source in self.planners:
                        proxy.set_mode("pass")
            case "mute-holder" | "heal-holder":
                mode = "mute" if step.action == "mute-holder" else "pass"
                for (source, _), proxy in self.proxies.items():
                    if source == self.permit_holder:
                        proxy.set_mode(mode)
            case "crash-others":
                machines = self.platform.machines
                running_members = [
                    member for member in self.member_names(self.sites[-1]) if machines[member].state == "up"
                ]
                for name in running_members[: int(value)]:
                    self.apply_action("kill", name)
            case "service-down" | "service-up":
                self.apply_action(step.action, self.store_by_site[self.sites[0]])
            case "surge":
                self.apply_action("surge", "blue", value)
            case "break-old":
                first_member = self.planned_batches[0][0]
                self.platform.machines[first_member].failing_versions.add(OLD_VERSION)
            case "lose-site":
                self.is_halt_expected = True
                self.apply_action("lose-site", self.sites[-1])
            case "site-back":
                self.apply_action("site-back", self.sites[-1])
            case "wait-home":
                self.wait_for(self.are_sites_home, 60 * SECOND)
            case "fill-disk":
                self.planners[self.find_leader()].forbid_file_growth()
            case "empty-disk":
                for planner in self.planners.values():
                    planner.allow_file_growth()
            case "empty-follower" | "cut-follower":
                self.apply_to_planners("kill-planner", "follower")
                self.apply_to_planners(
                    "disk-empty" if step.action == "empty-follower" else "disk-cut-short", "last"
                )
            case "late":
                for proxy in self.proxies.values():
                    proxy.set_mode("late", int(value))
            case unknown_action:
                raise RuntimeError(f"no such step: {unknown_action}")

    def are_sites_home(self) -> bool:
        """Whether all sites are in the stage `home`."""
        fleet = self.ask_planners(OperatorCommand(operation=OperatorOperation.SHOW), "wish")
        return bool(fleet.get("sites")) and all(site["stage"] == "home" for site in fleet["sites"])

    def drain_by_hand(self) -> None:
        """Act as an operator's script: request a permit, drain the last member and restart it.

        The script asks every 3 s for up to 120 s, and after that drains the member without a permit.
        """
        name = self.member_names(self.sites[-1])[-1]
        give_up_at = self.scheduler.now + 120 * SECOND
        while self.scheduler.now < give_up_at and not self.request_permit(name)["granted"]:
            self.scheduler.sleep(self.scheduler.now + 3_000)
        machine = self.platform.machines[name]
        if machine.state != "up":
            return
        version = machine.version
        self.platform.drain_member(machine, is_planned=True)
        while machine.state == "draining":
            self.scheduler.sleep(self.scheduler.now + 500)
        self.platform.start_member(machine, version)

    def request_permit_on_both_sides(self) -> None:
        """Request a permit on both sides of a partition; the leader, cut off alone, must not grant one.

        After that it asks all planners for up to 60 s, and hands the permit back once it is granted.
        """
        leader = self.find_leader()
        name = self.member_names(self.sites[-1])[0]
        leader_answer = self.request_permit(name, [leader])
        others_answer = self.request_permit(
            name, [planner for planner in self.planner_names if planner != leader]
        )
        self.operator_log.append(
            f"alone: {leader_answer.get('granted')}; others: {others_answer.get('granted')}"
        )
        self.scheduler.sleep(self.scheduler.now + 2 * SECOND)
        hand_back: Callable[[], dict[str, Any]] = partial(
            self.ask_planners, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=name), "want"
        )
        give_up_at = self.scheduler.now + 60 * SECOND
        # The member never goes out, so the permit is returned once it is granted.
        while self.scheduler.now < give_up_at:
            answer = self.request_permit(name)
            if answer.get("granted"):
                hand_back()
                return
            self.scheduler.sleep(self.scheduler.now + 3_000)

    # ---- report ----------------------------------------------------------------------------------------

    def min_span_s(self) -> float:
        """Return the shortest time, in seconds, that budgets and watches allow for the rollout.

        Each batch goes in rounds of as many members as may be out at once. A round takes a restart and the
        warm-up, and each batch is watched once.
        """
        rounds = 0
        for batch in self.planned_batches:
            site = self.platform.machines[batch[0]].server.site
            max_out = min(
                self.budget_groups[site].disruptions_allowed, self.budget_groups["fleet"].disruptions_allowed
            )
            rounds += -(-len(batch) // max_out)
        return (
            rounds * (MIN_RESTART_SPAN + self.warm_up_span) + len(self.planned_batches) * MIN_WATCH_MS * 10
        ) / SECOND

    def build_report(self) -> dict[str, Any]:
        """Return the part of the report that runs with and without a release share.

        Budgets, service and rule violations are measured outside the processes under test.
        """
        history, platform = self.history, self.platform
        spans = {"during": (self.rollout_started_at, self.rollout_ended_at)}
        report: dict[str, Any] = {
            "rules": history.check_rules(self.scheduler.now, RETENTION_WINDOW),
            "budgets": platform.disruptions.build_report(),
            "service": {name: round(history.compute_service(span), 4) for name, span in spans.items()},
            "attempts_each": round(history.compute_attempts_per_operation(spans["during"]), 3),
            "refused": dict(history.shed_counts),
            "broken_links": dict(Counter(history.broken_links)),
            "dead": self.list_unexpected_exits(),
            "trouble": self.faults[:5],
            "transactions": len(history.operations),
            "took_s": round((self.rollout_ended_at - self.rollout_started_at) / SECOND, 1),
        }
        return report

    def rollout_report(self) -> dict[str, Any]:
        """Return how the rollout ended and what it violated."""
        platform = self.platform
        halt_s = None
        if self.halted_at is not None and platform.first_harm_at is not None:
            halt_s = round((self.halted_at - platform.first_harm_at) / SECOND, 2)
        return {
            "ended": self.final_phase,
            "why": self.final_reason,
            "halt_s": halt_s,
            "exposed": len(platform.exposed_members),
            "drained_twice": sum(max(0, count - 1) for count in platform.drain_counts.values()),
            "stuck": self.is_stuck,
            "resumed_without_a_word": self.unexpected_resumes,
            "stale_orders": platform.stale_order_count,
            "least_s": round(self.min_span_s(), 1),
            "batches": len(self.planned_batches),
            "judged": self.last_figures,
            "breaches": platform.disruptions.breach_descriptions[:5],
            "operators": self.operator_log[:20],
            "versions": dict(Counter(machine.version for machine in platform.machines.values())),
        }


def run_once(options: ReleaseOptions, folder: Path) -> tuple[dict[str, Any], ReleaseRun]:
    """Carry out one run and return its report and the run itself.

    Logs and disks of an earlier run in `folder` are deleted.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    run = ReleaseRun(options, folder)
    try:
        run.run_director(run.execute_schedule)
    finally:
        run.terminate_all()
    report = run.build_report()
    return (report | run.rollout_report() if options.without is None else report), run


def find_violations(report: dict[str, Any]) -> list[str]:
    """Return a line for each rule, budget and other expectation that a report violates."""
    violations = [f"rule {name}: {count}" for name, count in report["rules"].items() if count]
    violations += [f"budget {name}" for name, budget in report["budgets"].items() if budget["breaches"]]
    counted = ("drained_twice", "resumed_without_a_word", "dead", "trouble")
    violations += [f"{name}: {report[name]}" for name in counted if report[name]]
    return violations + (["stuck"] if report["stuck"] else [])


def run_release(options: ReleaseOptions) -> dict[str, Any]:
    """Run a release and, unless `options.alone`, the same schedule without one; return the report.

    Files and logs are deleted after the runs unless `options.logs` names a folder for them.
    """
    logs_folder = options.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        measured, run = run_once(options, logs_folder / "release")
        report: dict[str, Any] = {
            "seed": options.seed,
            "version": options.version,
            "fault": options.fault,
            "servers": options.sites * options.each,
            "planners": options.planners,
            "load": options.load,
            **measured,
        }
        if not options.alone:
            without_rollout, _ = run_once(
                replace(options, without=tuple(run.applied_actions)), logs_folder / "without"
            )
            names = ("rules", "service", "attempts_each", "refused", "dead")
            report["without"] = {name: without_rollout[name] for name in names}
    finally:
        if options.logs is None:
            shutil.rmtree(logs_folder, ignore_errors=True)
    report["broken"] = find_violations(report)
    return report


class InteractiveRun(ReleaseRun):
    """A fleet without a schedule, for releases by command line from another shell."""

    def __init__(
        self, options: ReleaseOptions, folder: Path, minutes: float, print_line: Callable[[str], None]
    ) -> None:
        """Lay out a fleet that stays up for so many minutes; `print_line` shows a line to the user."""
        super().__init__(options, folder)
        self.minutes, self.print_line = minutes, print_line

    def execute_schedule(self) -> None:
        """Start the fleet, print how to release through it, and end it after `minutes`."""
        self.start_all()
        self.platform.poll_machines()
        self.wait_for(self.is_fleet_known, 30 * SECOND)
        fleet_path = self.write_fleet_file("operator")
        spec_path = self.folder / "release.json"
        spec_path.write_bytes(msgspec.json.format(encode(self.make_spec(self.sites)), indent=2))
        self.print_line(f"up for {self.minutes:g} minutes; in another shell:")
        self.print_line(f"  export BIRCHSLIP_FLEET={fleet_path}")
        self.print_line(f"  python -m birchslip release start {spec_path} --who you")
        self.scheduler.sleep(self.scheduler.now + int(self.minutes * 60 * SECOND))
        self.platform.is_over = True
        self.drain_all()


def run_interactive(
    options: ReleaseOptions, folder: Path, minutes: float, print_line: Callable[[str], None]
) -> None:
    """Keep a fleet up for so many minutes, then print the exceptions of the testbed's tasks."""
    folder.mkdir(parents=True, exist_ok=True)
    run = InteractiveRun(options, folder, minutes, print_line)
    try:
        run.run_director(run.execute_schedule)
    finally:
        run.platform.is_over = True
        run.terminate_all()
    for error in run.faults:
        print_line(error)
