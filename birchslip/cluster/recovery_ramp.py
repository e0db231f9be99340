"""Recovery ramp: the steps in which a lost site gets its load back.

    SERVING -> LOST -> WAITING -> STEP 1 .. STEP n -> SERVING
                 ^__________________|   it is lost again: the next wait is twice as long

A step lasts until the members have shown, report after report, that they carry it: warm, at a usual pace and
rejecting little. Time alone never advances a step; it only bounds the waits from below. This module decides
the stage of one site and never whether the site is lost: that is `membership.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..admission.types import MS, SECOND
from .messages import MemberReport

STEP_FRACTIONS = (0.5, 0.75, 1.0)  # of the cores of each member
GOOD_EVALUATIONS = 2  # in a row before the next step
BAD_EVALUATIONS = 2  # in a row before a step is taken back
MAX_GOOD_SLOWDOWN = 1.6  # run times against the usual
MIN_BAD_SLOWDOWN = 2.5
MAX_REJECTED_RATIO = 0.5  # so large as routers offer all of the load from the first step on
MIN_OFFERED_RATIO = 0.4  # of the load of a step, before it counts as carried
MIN_SERVED_RATIO = 0.5  # of the capacity of a step, at which rejections come of the level alone
IDLE_STEP_FACTOR = 8  # times the least duration of a step after which it advances without load
MIN_STEP_DURATION = 300 * MS
FIRST_WAIT = SECOND // 2
MAX_WAIT = 60 * SECOND
MAX_WAIT_DOUBLINGS = 16
FLAPS_FORGIVEN_AFTER = 600 * SECOND


class RecoveryStage(Enum):
    """Where a site is on its way back; the values are stored and shown to operators."""

    SERVING = "home"
    LOST = "lost"
    WAITING = "waiting"
    STEP = "step"


class StepObservation(NamedTuple):
    """What the members of a site show during a step; rates in requests a second."""

    members: int
    slowdown: float
    offered: float
    served: float
    rejected_ratio: float
    capacity: float


def observe_step(reports: list[MemberReport]) -> StepObservation:
    """Sums up the newest reports of the members of a site."""
    offered = sum(report.served + report.rejected for report in reports)
    rejected_ratio = sum(report.rejected for report in reports) / offered if offered else 0.0
    return StepObservation(
        members=len(reports),
        slowdown=max((report.slowdown for report in reports), default=0.0),
        offered=offered,
        served=sum(report.served for report in reports),
        rejected_ratio=rejected_ratio,
        capacity=sum(report.capacity for report in reports),
    )


@dataclass(slots=True)
class RecoveryRamp:
    """The stage of one site. Times are in tenths of a millisecond.

    Attributes:
        step: The place in `STEP_FRACTIONS`, while the stage is STEP.
        since: When the stage or step was entered.
        flap_count: Losses in a row; each doubles the wait.
        good_streak: Evaluations in a row that showed the step carried.
        bad_streak: Evaluations in a row that showed it overloaded.
        min_step_duration: How long a step lasts at least.
        evacuated_by_operator: Only an operator ends the evacuation.
        reason: Why the stage was entered.
    """

    site: str
    stage: RecoveryStage = RecoveryStage.SERVING
    step: int = 0
    since: int = 0
    flap_count: int = 0
    good_streak: int = 0
    bad_streak: int = 0
    min_step_duration: int = MIN_STEP_DURATION
    evacuated_by_operator: bool = False
    reason: str = ""

    @property
    def serving_fraction(self) -> float:
        """The part of its members' cores that may be used."""
        if self.stage is RecoveryStage.SERVING:
            return 1.0
        return STEP_FRACTIONS[self.step] if self.stage is RecoveryStage.STEP else 0.0

    @property
    def is_serving(self) -> bool:
        """Whether it carries all of its load."""
        return self.stage is RecoveryStage.SERVING

    @property
    def wait_duration(self) -> int:
        """How long it waits between its loss and the first step: a site that flaps waits longer."""
        if self.flap_count <= 1:
            return 0
        doublings = min(MAX_WAIT_DOUBLINGS, self.flap_count - 2)
        return min(MAX_WAIT, FIRST_WAIT << doublings)

    # ---- events ----------------------------------------------------------------------------------------

    def mark_lost(self, now: int, reason: str, by_operator: bool = False) -> bool:
        """Enters LOST; returns whether that is a change."""
        self.evacuated_by_operator = self.evacuated_by_operator or by_operator
        if self.stage is RecoveryStage.LOST:
            return False
        if self.stage is RecoveryStage.SERVING and now - self.since >= FLAPS_FORGIVEN_AFTER:
            self.flap_count = 0
        self.flap_count += 1
        self._enter(RecoveryStage.LOST, now, reason)
        return True

    def end_evacuation(self, now: int) -> bool:
        """Lets a site recover that an operator has evacuated; returns whether that is a change."""
        if self.stage is not RecoveryStage.LOST or not self.evacuated_by_operator:
            return False
        self.evacuated_by_operator = False
        self._enter(RecoveryStage.WAITING, now, "let back by hand")
        return True

    def evaluate(
        self, reports: list[MemberReport], expected_members: int, usual_load: float, now: int
    ) -> str:
        """Moves on, or back, by what the members show.

        Args:
            reports: The newest report of each member that is alive.
            expected_members: How many members the site has in the fleet file.
            usual_load: The load of the site before its loss, in requests a second.
            now: The time.

        Returns:
            Why the stage or step has changed, or an empty string if it has not.
        """
        if self.stage is RecoveryStage.SERVING:
            return ""
        if self.stage is RecoveryStage.LOST:
            if self.evacuated_by_operator or 2 * len(reports) < expected_members or not reports:
                return ""
            self._enter(RecoveryStage.WAITING, now, "its members are heard again")
            if self.wait_duration:
                return self.reason
        if self.stage is RecoveryStage.WAITING:
            return self._evaluate_wait(reports, now)
        return self._evaluate_step(reports, usual_load, now)

    # ---- transitions -----------------------------------------------------------------------------------

    def _enter(self, stage: RecoveryStage, now: int, reason: str) -> None:
        self.stage = stage
        self.since = now
        self.reason = reason
        self.good_streak = 0
        self.bad_streak = 0

    def _evaluate_wait(self, reports: list[MemberReport], now: int) -> str:
        if now - self.since < self.wait_duration or not reports:
            return ""
        self.step = 0
        self.min_step_duration = MIN_STEP_DURATION
        waited_ms = self.wait_duration // MS
        self._enter(RecoveryStage.STEP, now, f"waited {waited_ms} ms, flap {self.flap_count}")
        return self.reason

    def _evaluate_step(self, reports: list[MemberReport], usual_load: float, now: int) -> str:
        observation = observe_step(reports)
        self._update_streaks(observation)
        if self.bad_streak >= BAD_EVALUATIONS and self.step:
            return self._step_back(observation, now)
        if not self._is_step_passed(observation, usual_load, now):
            return ""
        if self.step + 1 < len(STEP_FRACTIONS):
            self.step += 1
            reason = (
                f"carried the step: pace {observation.slowdown:.1f}, shed {observation.rejected_ratio:.2f}"
            )
            self._enter(RecoveryStage.STEP, now, reason)
            return self.reason
        if all(report.is_warm for report in reports):
            self._enter(RecoveryStage.SERVING, now, "carries all of its load")
            return self.reason
        return ""

    def _update_streaks(self, observation: StepObservation) -> None:
        if not observation.members or observation.slowdown >= MIN_BAD_SLOWDOWN:
            self.good_streak = 0
            self.bad_streak += 1
            return
        is_limited_by_step = self._is_limited_by_step(observation)
        rejects_little = observation.rejected_ratio < MAX_REJECTED_RATIO or is_limited_by_step
        if observation.slowdown <= MAX_GOOD_SLOWDOWN and rejects_little:
            self.good_streak += 1
            self.bad_streak = 0

    def _is_limited_by_step(self, observation: StepObservation) -> bool:
        """Whether it rejects only because it already serves as much as the step lets it."""
        return observation.served >= MIN_SERVED_RATIO * self.serving_fraction * observation.capacity

    def _is_step_passed(self, observation: StepObservation, usual_load: float, now: int) -> bool:
        time_in_step = now - self.since
        if self.good_streak < GOOD_EVALUATIONS or time_in_step < self.min_step_duration:
            return False
        # A step without load has shown nothing: routers learn late which members are listed.
        has_load = observation.offered >= MIN_OFFERED_RATIO * self.serving_fraction * usual_load
        return has_load or time_in_step >= IDLE_STEP_FACTOR * self.min_step_duration

    def _step_back(self, observation: StepObservation, now: int) -> str:
        self.step -= 1
        self.min_step_duration = min(MAX_WAIT, 2 * self.min_step_duration)
        reason = f"the step hurt: pace {observation.slowdown:.1f}, back to {self.serving_fraction:.2f}"
        self._enter(RecoveryStage.STEP, now, reason)
        return self.reason
