"""The state machine of one rollout: which members are next, orders to the platform, halts and rollbacks.

    RUNNING      --halt-->            HALTED         a bad or unclear batch, a lost site, a stall, an operator
    HALTED       --resume-->          RUNNING        an operator, unless the new version is bad
    RUNNING, HALTED, COMPLETED  --roll back-->  ROLLING_BACK   an operator
    RUNNING      --complete-->        COMPLETED      every batch has passed its watch
    ROLLING_BACK --halt-->            HALTED
    ROLLING_BACK --finish rollback--> ROLLED_BACK    every member is in the previous version

Any planner can continue a rollout: the replicated `RolloutRecord` has the target, and the state of the
members is read at each step from the platform's inventory and the members' reports, so a change of leader
loses nothing.

A halt takes effect at once: no further drain begins. A member that is already stopped is started again, in
the new version, or in the previous version if the new one was found bad. A member that starts in neither
version is excluded and halts the rollout. A halted rollout never resumes by itself. Times and durations are
tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from .canary_analysis import CanaryAnalysis
from .disruption_budget import DisruptionBudget
from .disruption_types import UnavailabilityReason
from .rollout_steps import MemberSteps, RestartDecision, decide_restart
from .rollout_types import (
    TICKS_PER_MS,
    TICKS_PER_SECOND,
    FleetView,
    InstanceStatus,
    InstanceView,
    OrderAction,
    PlatformOrder,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
)
from .rollout_watch import BatchWatch, WatchResult
from .stall_detector import StallDetector

ORDER_LIFETIME = 5 * TICKS_PER_SECOND  # an order that was not executed by then never takes effect
MAX_HISTORY_LINES = 256
MAX_TEXT_LENGTH = 400  # characters of a stored reason or line


class RolloutEvent(Enum):
    """Events that move a rollout from one phase to another."""

    HALT = "halt"
    RESUME = "resume"
    ROLL_BACK = "roll back"
    COMPLETE = "complete"
    FINISH_ROLLBACK = "finish rollback"


TRANSITIONS = {
    (RolloutPhase.RUNNING, RolloutEvent.HALT): RolloutPhase.HALTED,
    (RolloutPhase.RUNNING, RolloutEvent.ROLL_BACK): RolloutPhase.ROLLING_BACK,
    (RolloutPhase.RUNNING, RolloutEvent.COMPLETE): RolloutPhase.COMPLETED,
    (RolloutPhase.HALTED, RolloutEvent.RESUME): RolloutPhase.RUNNING,
    (RolloutPhase.HALTED, RolloutEvent.ROLL_BACK): RolloutPhase.ROLLING_BACK,
    (RolloutPhase.ROLLING_BACK, RolloutEvent.HALT): RolloutPhase.HALTED,
    (RolloutPhase.ROLLING_BACK, RolloutEvent.FINISH_ROLLBACK): RolloutPhase.ROLLED_BACK,
    (RolloutPhase.COMPLETED, RolloutEvent.ROLL_BACK): RolloutPhase.ROLLING_BACK,
}
ENDED_PHASES = (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class MemberState(NamedTuple):
    """The part of a member's state that changes while a rollout makes progress."""

    name: str
    status: InstanceStatus
    version: str
    is_observed: bool
    unavailability: UnavailabilityReason | None
    holds_permit: bool


class Rollout:
    """Decides the phase of one rollout and its orders to the platform.

    Attributes:
        record: The replicated state of the rollout.
        progress: What the rollout waits for, as text for operators.
    """

    def __init__(
        self,
        record: RolloutRecord,
        budget: DisruptionBudget,
        site_of: Callable[[str], str] = lambda name: "",
    ) -> None:
        """Continue the rollout in `record` within the fleet's `budget`; `site_of` returns a member's site."""
        self.record = record
        self.progress = ""
        self._budget = budget
        self._steps = MemberSteps(record, budget)
        self._watch = BatchWatch(record, site_of)
        self._stall = StallDetector()
        self._phase_entered_at = -1  # time of the first step in this phase; -1 before it
        self._stepped_at: int | None = None
        self._unrecorded_time = 0  # time since the last line of the history

    @property
    def spec(self) -> RolloutSpec:
        """The release file that the rollout was started with."""
        return self.record.spec

    @property
    def phase(self) -> RolloutPhase:
        """The current phase of the rollout."""
        return RolloutPhase(self.record.phase)

    @property
    def budget(self) -> DisruptionBudget:
        """The fleet's disruption budget."""
        return self._budget

    @property
    def analysis(self) -> CanaryAnalysis | None:
        """The canary analysis of the watched batch; None while no batch is watched."""
        return self._watch.analysis

    @property
    def permit_reason(self) -> str:
        """The reason given in the permits of this rollout."""
        return self._steps.permit_reason

    def all_members(self) -> list[str]:
        """Return the members of all batches, in the order of the rollout."""
        return self.record.all_members()

    # ---- events ----------------------------------------------------------------------------------------

    def start(self, operator: str) -> None:
        """Enter phase RUNNING, started by `operator`."""
        self._enter(RolloutPhase.RUNNING, f"started by {operator}")

    def halt(self, reason: str) -> bool:
        """Halt at once; only an operator can continue.

        Returns:
            False if the rollout neither runs nor rolls back.
        """
        return self._fire(RolloutEvent.HALT, reason)

    def resume(self, operator: str) -> bool:
        """Resume a halted rollout.

        Returns:
            False if it is not halted, the new version is bad or a member starts in neither version.
        """
        if self.record.version_is_bad or self.record.excluded:
            return False
        return self._fire(RolloutEvent.RESUME, f"resumed by {operator}")

    def roll_back(self, operator: str) -> bool:
        """Return all members to the previous version, and mark the new version as bad.

        Returns:
            False if the current phase allows no rollback.
        """
        if (self.phase, RolloutEvent.ROLL_BACK) not in TRANSITIONS:
            return False
        self.record.version_is_bad = True
        return self._fire(RolloutEvent.ROLL_BACK, f"back by {operator}")

    def complete(self, reason: str) -> bool:
        """Complete the rollout, once every batch has passed its watch; return False if it does not run."""
        return self._fire(RolloutEvent.COMPLETE, reason)

    def finish_rollback(self, reason: str) -> bool:
        """End the rollback, once all members run the previous version; return False if none is under way."""
        return self._fire(RolloutEvent.FINISH_ROLLBACK, reason)

    def _fire(self, event: RolloutEvent, reason: str) -> bool:
        """Take the transition for `event`; return False if the current phase has none."""
        phase = TRANSITIONS.get((self.phase, event))
        if phase is None:
            return False
        self._enter(phase, reason)
        return True

    def _enter(self, phase: RolloutPhase, reason: str) -> None:
        """Record the phase, end the watch and, unless the phase is RUNNING, cancel permit requests."""
        self.record.phase = phase.value
        self.record.reason = reason[:MAX_TEXT_LENGTH]
        self.record_event(f"{phase.value}: {reason}")
        self._phase_entered_at = -1
        self._stall.reset()
        self._watch.end()
        if phase is not RolloutPhase.RUNNING:
            self._steps.cancel_waiting()

    def record_event(self, text: str) -> None:
        """Append a line with the time since the start to the history; keep the newest `MAX_HISTORY_LINES`."""
        self.record.age += self._unrecorded_time
        self._unrecorded_time = 0
        line = f"{self.record.age / TICKS_PER_SECOND:.1f} s: {text}"
        self.record.history.append(line[:MAX_TEXT_LENGTH])
        del self.record.history[:-MAX_HISTORY_LINES]

    # ---- steps -----------------------------------------------------------------------------------------

    def step(self, view: FleetView, now: int) -> list[PlatformOrder]:
        """Evaluate the fleet as it is now, and return the orders to send to the platform."""
        self._pass_time(now)
        self.halt_on_lost_sites(view.lost_sites)
        self._readmit_excluded(view)
        if self.phase is RolloutPhase.RUNNING:
            self._evaluate_watch(view, now)
        orders = self._restart_stopped(view)
        if self.phase is RolloutPhase.RUNNING:
            orders += self._roll_forward(view, now)
        elif self.phase is RolloutPhase.ROLLING_BACK:
            orders += self._roll_backward(view)
        self._release_unused_permits(view, now)
        self._halt_on_stall(view, now)
        return orders

    def _pass_time(self, now: int) -> None:
        """Count the time since the previous step, and begin a step without progress text."""
        if self._stepped_at is not None:
            self._unrecorded_time += now - self._stepped_at
        self._stepped_at = now
        if self._phase_entered_at < 0:
            self._phase_entered_at = now
        self.progress = ""

    def halt_on_lost_sites(self, lost_sites: Iterable[str]) -> None:
        """Halt a running rollout if a site is lost; the return of the site does not resume it."""
        names = sorted(lost_sites)
        if names and self.phase is RolloutPhase.RUNNING:
            self.halt(f"site lost: {', '.join(names)}; a person resumes")

    def _readmit_excluded(self, view: FleetView) -> None:
        """Readmit excluded members whose permit has ended.

        A permit ends when an operator revokes it, or when a member that was started by hand is observed in
        service. A member that is not up is removed from the rollout.
        """
        for name in [name for name in self.record.excluded if self._steps.own_permit(name) is None]:
            self.record.excluded.remove(name)
            instance = view.instances.get(name)
            if instance is None or instance.status is not InstanceStatus.UP:
                self.record.remove_member(name)
            self.record_event(f"{name} is left out no more")

    def _evaluate_watch(self, view: FleetView, now: int) -> None:
        """Begin the next batch or halt, if the watch of the current batch has a result."""
        outcome = self._watch.evaluate(view, now)
        match outcome.result:
            case WatchResult.BAD:
                self.record.version_is_bad = True
                self.halt(outcome.reason)
            case WatchResult.INCONCLUSIVE:
                self.halt(outcome.reason)
            case WatchResult.PASSED:
                self._begin_next_batch(outcome.reason)
            case WatchResult.CONTINUES:
                pass

    def _begin_next_batch(self, reason: str) -> None:
        """Continue with the next batch, or complete the rollout after the last one."""
        self._watch.end()
        self.record.batch_index += 1
        self.record_event(f"batch {self.record.batch_index}: {reason}")
        if self.record.batch_index >= len(self.record.batches):
            self.complete("every batch is released")

    def _restart_stopped(self, view: FleetView) -> list[PlatformOrder]:
        """Start stopped members in every phase, so that a halt leaves no member down."""
        orders = []
        for instance, order in self._steps.stopped_members(view):
            if instance.status is InstanceStatus.FAILED:
                orders += self._restart_failed(instance, order)
            else:
                orders.append(order)
        return orders

    def _restart_failed(self, instance: InstanceView, order: PlatformOrder) -> list[PlatformOrder]:
        """Retry a failed start, then start the previous version, then exclude the member and halt."""
        name = order.member
        number = order.permit_number
        match decide_restart(self.record, instance):
            case RestartDecision.RETRY:
                return [PlatformOrder(OrderAction.START, name, instance.version, number)]
            case RestartDecision.PREVIOUS_VERSION:
                if not self.record.version_is_bad:
                    self.record.version_is_bad = True
                    self.halt(f"{name} does not start in {self.spec.version}")
                return [PlatformOrder(OrderAction.START, name, self.spec.previous_version, number)]
            case RestartDecision.EXCLUDE:
                self.record.excluded.append(name)
                self.halt(f"{name} starts in neither version: left out")
        return []

    def _roll_forward(self, view: FleetView, now: int) -> list[PlatformOrder]:
        """Evict the remaining members of the batch; watch it once all of them serve in the new version."""
        remaining = self._steps.remaining(self.record.current_batch(), self.spec.version, view)
        if remaining:
            orders, self.progress = self._steps.evict(remaining, self.spec.version, view)
            return orders
        if self._watch.analysis is None:
            self._watch.begin(view, now)
        self.progress = f"batch {self.record.batch_index + 1} of {len(self.record.batches)} is watched"
        return []

    def _roll_backward(self, view: FleetView) -> list[PlatformOrder]:
        """Evict members back to the previous version, the newest batch first."""
        version = self.spec.previous_version
        for batch in reversed(self.record.batches[: self.record.batch_index + 1]):
            remaining = self._steps.remaining(batch, version, view)
            if remaining:
                orders, self.progress = self._steps.evict(remaining, version, view)
                return orders
        self.finish_rollback("every member is in the version before")
        return []

    def _release_unused_permits(self, view: FleetView, now: int) -> None:
        """Release permits that a halt has left unused, once no pending drain order can take effect.

        The lifetime of orders counts from the first step after the halt; a halt that this step itself decided
        releases the permits at once.
        """
        phase = self.phase
        if phase not in (RolloutPhase.HALTED, RolloutPhase.ROLLING_BACK):
            return
        if now - self._phase_entered_at < ORDER_LIFETIME:
            return
        self._steps.release_unused_permits(phase, view)

    def _halt_on_stall(self, view: FleetView, now: int) -> None:
        """Halt if no member has changed for `stall_timeout_ms`. A watched batch does not stall."""
        if self.phase not in (RolloutPhase.RUNNING, RolloutPhase.ROLLING_BACK):
            return
        if self._watch.analysis is not None:
            self._stall.reset()
        unchanged = self._stall.unchanged_for(self._member_states(view), now)
        if unchanged >= self.spec.stall_timeout_ms * TICKS_PER_MS:
            self.halt(f"no step for {self.spec.stall_timeout_ms / 1000:g} s: {self.progress}")

    def _member_states(self, view: FleetView) -> list[MemberState]:
        """Return a snapshot of the members that the platform knows, for the stall detector."""
        states = []
        for name in self.record.all_members():
            instance = view.instances.get(name)
            observation = view.observations.get(name)
            if instance is None:
                continue
            state = MemberState(
                name=name,
                status=instance.status,
                version=instance.version,
                is_observed=observation is not None,
                unavailability=observation.unavailability if observation is not None else None,
                holds_permit=self._steps.own_permit(name) is not None,
            )
            states.append(state)
        return states

    # ---- membership ------------------------------------------------------------------------------------

    def update_members(self, known: Iterable[str], joined: Iterable[str]) -> None:
        """Update the batches after a change of the fleet file.

        Args:
            known: All members of the fleet; other members are removed from the rollout.
            joined: Members that have joined the rollout's sites or groups; they become its last batch, unless
                the rollout has ended.
        """
        known_members = set(known)
        current_members = set(self.record.all_members())
        removed = sorted(current_members - known_members)
        for batch in self.record.batches:
            batch[:] = [name for name in batch if name in known_members]
        self.record.excluded[:] = [name for name in self.record.excluded if name in known_members]
        added = [name for name in joined if name not in current_members]
        if added and self.phase not in ENDED_PHASES:
            self.record.batches.append(added)
        if removed or added:
            removed_names = ", ".join(removed) or "nobody"
            added_names = ", ".join(added) or "nobody"
            self.record_event(f"the fleet has changed: left {removed_names}; joined {added_names}")
