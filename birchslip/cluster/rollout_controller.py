"""Runs all rollouts of a fleet on the leader: which may start, operators' commands, orders to the platform.

Performs no I/O and reads no clock; `rollout.py` decides on each rollout. The platform's inventory is used
only while it is fresh and was received in this term: a new leader sends no order before its first inventory.
Times and durations are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from .canary_metrics import MetricReport
from .disruption_budget import DisruptionBudget
from .disruption_types import MemberObservation, UnavailabilityReason
from .inventory import Inventory
from .member_samples import SampleReader
from .messages import Incarnation, MemberReport
from .rollout import Rollout
from .rollout_batches import plan_batches
from .rollout_checks import StartConditions, find_obstacle, find_shared_members
from .rollout_messages import (
    CommandResult,
    RolloutAction,
    RolloutCommand,
    RolloutReport,
    RolloutStates,
)
from .rollout_types import (
    TICKS_PER_SECOND,
    FleetView,
    InstanceView,
    PlatformOrder,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
)

UNFINISHED_PHASES = (RolloutPhase.RUNNING, RolloutPhase.HALTED, RolloutPhase.ROLLING_BACK)
MAX_ENDED_ROLLOUTS = 16  # ended rollouts that stay stored for their history and for a rollback
PLATFORM_TIMEOUT = 60 * TICKS_PER_SECOND  # rollouts halt after this long without an inventory


class RolloutController:
    """Runs the rollouts of a fleet.

    Attributes:
        members_by_part: App servers by site and by group.
        services: Names of the downstream services.
        budget: The fleet's disruption budget.
        inventory_ttl: How long an inventory stays fresh after it was requested.
        sites: The site of each member.
        states: The replicated records of all rollouts.
        rollouts: The rollouts, the oldest first.
        inventory: The latest inventory of this term; None before the first.
        inventory_at: When the latest inventory was requested; the start of the term before the first.
        orders: Orders to send to the platform now; each step replaces them.
        instances: The app servers of the latest inventory, by name.
    """

    def __init__(
        self,
        members_by_part: Mapping[str, list[str]],
        services: Iterable[str],
        budget: DisruptionBudget,
        inventory_ttl: int,
        sites: Mapping[str, str] | None = None,
    ) -> None:
        """Start without rollouts, within the fleet's `budget`."""
        self.members_by_part = members_by_part
        self.services = list(services)
        self.budget = budget
        self.inventory_ttl = inventory_ttl
        self.sites = sites or {}
        self.restore(RolloutStates(), 0)

    def restore(self, states: RolloutStates, now: int) -> None:
        """Begin a term at `now` with the replicated `states`; the state of the platform is unknown."""
        self.states = states
        self.rollouts = [Rollout(record, self.budget, self.site_of) for record in states.records]
        self.inventory: Inventory | None = None
        self.inventory_at = now
        self.instances: dict[str, InstanceView] = {}
        self.orders: list[PlatformOrder] = []
        self._sample_reader = SampleReader()

    def site_of(self, name: str) -> str:
        """Return the site of a member; empty if it is unknown."""
        return self.sites.get(name, "")

    def update_fleet(
        self, parts: Mapping[str, list[str]], services: Iterable[str], sites: Mapping[str, str]
    ) -> None:
        """Apply a changed fleet file.

        Members that left the fleet leave the unfinished rollouts; members that joined one of their sites or
        groups join them.
        """
        previous = {name for names in self.members_by_part.values() for name in names}
        self.members_by_part = parts
        self.services = list(services)
        self.sites = sites
        known = [name for names in parts.values() for name in names]
        for rollout in self.unfinished():
            spec = rollout.spec
            own_parts = spec.sites or spec.groups or list(parts)
            joined = [name for part in own_parts for name in parts.get(part, ()) if name not in previous]
            rollout.update_members(known, dict.fromkeys(joined))

    # ---- the platform ----------------------------------------------------------------------------------

    def receive_inventory(self, inventory: Inventory, sent_at: int) -> None:
        """Use an inventory from now on; its age counts from `sent_at`, when it was requested."""
        self.inventory = inventory
        self.instances = inventory.instances()
        self.inventory_at = sent_at

    def is_inventory_fresh(self, now: int) -> bool:
        """Return whether the latest inventory is recent enough to be used."""
        return self.inventory is not None and now - self.inventory_at <= self.inventory_ttl

    def observe_services(self, now: int) -> dict[str, MemberObservation]:
        """Return the downstream services by name; without a fresh inventory all count as unavailable."""
        if self.inventory is None or not self.is_inventory_fresh(now):
            silent = MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
            return dict.fromkeys(self.services, silent)
        return {name: self.inventory.observe_service(name) for name in self.services}

    # ---- steps -----------------------------------------------------------------------------------------

    def unfinished(self) -> list[Rollout]:
        """Return the rollouts that have not ended."""
        return [rollout for rollout in self.rollouts if rollout.phase in UNFINISHED_PHASES]

    def step(
        self,
        observations: Mapping[str, MemberObservation],
        reports: Mapping[str, MemberReport],
        lost_sites: Iterable[str],
        now: int,
    ) -> None:
        """Evaluate every unfinished rollout, and set `orders`.

        Args:
            observations: Members and services, as the membership and the platform report them.
            reports: The latest report of each member that reports.
            lost_sites: Sites that are lost or evacuated.
            now: The current time.
        """
        self.orders = []
        samples = self._sample_reader.read(reports)
        view = FleetView(self.instances, observations, samples, list(lost_sites))
        for rollout in self.unfinished():
            if self.is_inventory_fresh(now):
                self.orders += rollout.step(view, now)
            else:
                self._wait_for_platform(rollout, view, now)

    def _wait_for_platform(self, rollout: Rollout, view: FleetView, now: int) -> None:
        """Set the progress of a rollout without a fresh inventory; halt it on a lost site or a timeout."""
        rollout.halt_on_lost_sites(view.lost_sites)
        rollout.progress = "the platform is not heard"
        if now - self.inventory_at >= PLATFORM_TIMEOUT:
            rollout.halt("the platform was not heard for a minute")

    # ---- commands --------------------------------------------------------------------------------------

    def execute(self, command: RolloutCommand, now: int) -> CommandResult:
        """Execute an operator's command that changes a rollout."""
        match command.action:
            case RolloutAction.START if command.spec is not None:
                return self.start(command.spec, command.operator, now)
            case RolloutAction.HALT:
                return self._halt(command)
            case RolloutAction.RESUME:
                return self._apply_to_one(command, self._resume)
            case RolloutAction.ROLL_BACK:
                return self._apply_to_one(command, self._roll_back)
        return CommandResult(
            accepted=False,
            reason=f"{command.action.value!r} changes no release, or its release file is missing",
        )

    def start(self, spec: RolloutSpec, operator: str, now: int) -> CommandResult:
        """Start a rollout, unless `find_obstacle` returns a reason against it."""
        instances = self.instances if self.is_inventory_fresh(now) else None
        conditions = StartConditions(self.members_by_part, self.budget, self.unfinished(), instances)
        obstacle = find_obstacle(spec, conditions)
        if obstacle:
            return CommandResult(accepted=False, reason=obstacle)
        self.states.last_number += 1
        number = self.states.last_number
        record = RolloutRecord(spec=spec, batches=plan_batches(spec, self.members_by_part), number=number)
        rollout = Rollout(record, self.budget, self.site_of)
        rollout.start(operator)
        self.rollouts.append(rollout)
        self.states.records.append(record)
        self._forget_old_rollouts()
        return CommandResult(accepted=True, number=number)

    def _forget_old_rollouts(self) -> None:
        """Delete the oldest ended rollouts beyond `MAX_ENDED_ROLLOUTS`."""
        ended = [rollout for rollout in self.rollouts if rollout.phase not in UNFINISHED_PHASES]
        excess = max(0, len(ended) - MAX_ENDED_ROLLOUTS)
        for rollout in ended[:excess]:
            self.rollouts.remove(rollout)
            self.states.records.remove(rollout.record)

    def _halt(self, command: RolloutCommand) -> CommandResult:
        """Halt one rollout, or all if the command has no number, and drop their pending orders."""
        reason = f"by {command.operator}: {command.reason}"
        selected = [rollout for rollout in self.unfinished() if command.number in (0, rollout.record.number)]
        halted = [rollout for rollout in selected if rollout.halt(reason)]
        stopped = {name for rollout in halted for name in rollout.all_members()}
        self.orders = [order for order in self.orders if order.member not in stopped]
        if halted:
            return CommandResult(accepted=True, number=halted[0].record.number)
        which = f"release {command.number} is not" if command.number else "no release is"
        return CommandResult(accepted=False, reason=f"{which} in progress")

    def _apply_to_one(self, command: RolloutCommand, apply: Callable[[Rollout, str], str]) -> CommandResult:
        """Apply a change to the rollout with the command's number, or to the only halted rollout.

        `apply` returns why it refuses, or an empty string.
        """
        if command.number:
            selected = [rollout for rollout in self.rollouts if rollout.record.number == command.number]
        else:
            selected = [rollout for rollout in self.rollouts if rollout.phase is RolloutPhase.HALTED]
        if not selected:
            which = f"has number {command.number}" if command.number else f"is {RolloutPhase.HALTED.value}"
            return CommandResult(accepted=False, reason=f"no release {which}")
        if len(selected) > 1:
            numbers = ", ".join(str(rollout.record.number) for rollout in selected)
            return CommandResult(
                accepted=False, reason=f"releases {numbers} are halted; give the number of one"
            )
        refusal = apply(selected[0], command.operator)
        return CommandResult(accepted=not refusal, number=selected[0].record.number, reason=refusal)

    def _resume(self, rollout: Rollout, operator: str) -> str:
        """Resume a rollout; return why this is refused, or an empty string."""
        if rollout.record.version_is_bad:
            return f"version {rollout.spec.version!r} was found bad: the release can only be rolled back"
        if rollout.record.excluded:
            names = ", ".join(rollout.record.excluded)
            return (
                f"members that start in neither version: {names}; end the permit of each with "
                "'fleet strike', or start it by hand"
            )
        return "" if rollout.resume(operator) else "it is not halted"

    def _roll_back(self, rollout: Rollout, operator: str) -> str:
        """Roll a rollout back; return why this is refused, or an empty string."""
        for other in self.unfinished():
            obstacle = find_shared_members(rollout.all_members(), other)
            if other is not rollout and obstacle:
                return obstacle
        return "" if rollout.roll_back(operator) else "it is already being rolled back, or was rolled back"

    # ---- reports ---------------------------------------------------------------------------------------

    def report(self, number: int = 0, history: bool = False) -> list[RolloutReport]:
        """Return reports for operators, the newest rollout first; of all rollouts if `number` is 0."""
        selected = [rollout for rollout in self.rollouts if number in (0, rollout.record.number)]
        return [self._report_of(rollout, history) for rollout in reversed(selected)]

    def _report_of(self, rollout: Rollout, history: bool) -> RolloutReport:
        record = rollout.record
        spec = rollout.spec
        analysis = rollout.analysis
        metrics: list[MetricReport] = []
        verdict = ""
        if analysis is not None:
            metrics = analysis.report()
            verdict = analysis.reason
        members = rollout.all_members()
        known = [self.instances[name] for name in members if name in self.instances]
        return RolloutReport(
            number=record.number,
            version=spec.version,
            previous_version=spec.previous_version,
            phase=record.phase,
            reason=record.reason,
            version_is_bad=record.version_is_bad,
            batch=min(record.batch_index + 1, len(record.batches)),
            batches=len(record.batches),
            members=len(members),
            released=sum(1 for instance in known if instance.version == spec.version),
            progress=rollout.progress,
            excluded=list(record.excluded),
            metrics=metrics,
            verdict=verdict,
            history=list(record.history) if history else msgspec.UNSET,
        )
