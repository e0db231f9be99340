"""Rollout supervision: when rollouts are evaluated, and when their orders may be sent to the platform.

`rollout_controller.py` decides on rollouts; this module calls it at a fixed interval, records phase changes
as events, and holds the version of the state that a majority has to store before orders may be sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from ..admission.types import MS
from .disruption_budget import DisruptionBudget
from .disruption_types import MemberObservation
from .messages import MemberReport
from .planner_events import EventBuffer
from .rollout_controller import RolloutController
from .rollout_messages import CommandResult, RolloutCommand
from .rollout_types import RolloutPhase

EVALUATION_INTERVAL = 250 * MS


class RolloutSupervisor:
    """The rollouts of a fleet within one planner.

    Attributes:
        controller: Decides on the rollouts.
        evaluated_at: When the rollouts were last evaluated, in tenths of a millisecond.
        orders_version: The version of the state that a majority has to store before orders may be sent.
    """

    def __init__(
        self, controller: RolloutController, budget: DisruptionBudget, events: EventBuffer, now: int
    ) -> None:
        """Start at `now`; the first evaluation is due one interval later."""
        self.controller = controller
        self.budget = budget
        self.events = events
        self.evaluated_at = now
        self.orders_version = 0

    def is_due(self, now: int) -> bool:
        """Return whether there are unfinished rollouts and the evaluation interval has passed."""
        return bool(self.controller.unfinished()) and now - self.evaluated_at >= EVALUATION_INTERVAL

    def evaluate(
        self,
        observations: Mapping[str, MemberObservation],
        reports: Mapping[str, MemberReport],
        lost_sites: Iterable[str],
        now: int,
    ) -> bool:
        """Evaluate all unfinished rollouts; return whether the stored state has changed."""
        self.evaluated_at = now
        phases = {rollout.record.number: rollout.phase for rollout in self.controller.unfinished()}
        before = self._stored_parts()
        self.controller.step(observations, reports, lost_sites, now)
        self._record_phase_changes(phases)
        return before != self._stored_parts()

    def execute(self, command: RolloutCommand, now: int) -> CommandResult:
        """Execute an operator's command on rollouts, and record it as an event."""
        result = self.controller.execute(command, now)
        self.events.record(
            "rollout_command",
            what=command.action.value,
            number=result.number,
            who=command.operator,
            why=result.reason,
        )
        return result

    def evaluate_soon(self, now: int) -> None:
        """Make an evaluation due at `now`, regardless of when the last one was."""
        self.evaluated_at = now - EVALUATION_INTERVAL

    def _stored_parts(self) -> tuple[bytes, bytes]:
        """Return the encoded states of rollouts and permits, to detect changes."""
        return msgspec.json.encode(self.controller.states), self.budget.encode()

    def _record_phase_changes(self, phases_before: Mapping[int, RolloutPhase]) -> None:
        """Record an event for each rollout whose phase differs from `phases_before`."""
        for rollout in self.controller.rollouts:
            record = rollout.record
            before = phases_before.get(record.number)
            if before is not None and before is not rollout.phase:
                phase = rollout.phase.value
                self.events.record(
                    "rollout_phase_changed", number=record.number, phase=phase, why=record.reason
                )
