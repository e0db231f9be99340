"""Recovery ramp: returns load to a lost site in steps.

    SERVING -> LOST -> WAITING -> STEP 1 .. STEP n -> SERVING
                 ^__________________|   if the site is lost again; each further loss makes the wait longer

A step lasts until several evaluations of the members' reports show that they handle its load: at usual run
times and with few rejections, and after the last step also warmed up. Time alone never completes a step; it
only sets minimum durations. This module decides the stage of one site; whether the site is lost is decided by
`membership.py`. The texts of the reasons are stored and replicated, so they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ..admission.types import MS, SECOND
from .messages import MemberReport

STEP_FRACTIONS = (0.5, 0.75, 1.0)  # of each member's cores
GOOD_EVALUATIONS = 2  # before the next step, without a bad one in between
BAD_EVALUATIONS = 2  # before the ramp goes back a step, without a good one in between
MAX_GOOD_SLOWDOWN = 1.6  # run times relative to the usual ones
MIN_BAD_SLOWDOWN = 2.5  # an overload; slowdowns between both bounds are neither good nor bad
MAX_REJECTED_RATIO = 0.5  # high, because routers offer the full load from the first step on
MIN_OFFERED_RATIO = 0.4  # of a step's share of the usual load, without which the step proves nothing
MIN_SERVED_RATIO = 0.5  # of a step's capacity, from which on rejections are put down to the step's limit
IDLE_STEP_FACTOR = 8  # times the minimum duration, after which a step without load is completed
MIN_STEP_DURATION = 300 * MS
FIRST_WAIT = SECOND // 2
MAX_WAIT = 60 * SECOND
MAX_WAIT_DOUBLINGS = 16
FLAPS_FORGIVEN_AFTER = 600 * SECOND


class RecoveryStage(Enum):
    """Stage of a site's recovery; the values are stored and shown to operators."""

    SERVING = "home"
    LOST = "lost"
    WAITING = "waiting"
    STEP = "step"


class StepObservation(NamedTuple):
    """Summary of the reports of a site's members; rates are in requests per second.

    Attributes:
        members: Number of members that report.
        slowdown: The highest slowdown of a member: run times relative to the usual ones.
        offered: Rate of served and rejected requests.
        served: Rate of served requests.
        rejected_ratio: Rejected requests divided by offered requests.
        capacity: Rate that all cores of the members can serve.
    """

    members: int
    slowdown: float
    offered: float
    served: float
    rejected_ratio: float
    capacity: float


def observe_step(reports: list[MemberReport]) -> StepObservation:
    """Summarize the newest reports of a site's members."""
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
    """Recovery stage of one site. Times are in tenths of a millisecond.

    Attributes:
        site: The site's name.
        stage: The current stage.
        step: Index into `STEP_FRACTIONS`, while the stage is STEP.
        since: Time at which the stage or step was entered.
        flap_count: Losses without a long time of serving between them; from the third on each doubles the
            wait.
        good_streak: Evaluations of this step that showed the load handled, since the last overloaded one.
        bad_streak: Evaluations of this step that showed an overload, since the last good one.
        min_step_duration: Minimum duration of a step.
        evacuated_by_operator: Whether only an operator can end the evacuation.
        reason: Why the stage or step was entered.
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
        """The fraction of the members' cores that may be used."""
        if self.stage is RecoveryStage.SERVING:
            return 1.0
        return STEP_FRACTIONS[self.step] if self.stage is RecoveryStage.STEP else 0.0

    @property
    def is_serving(self) -> bool:
        """Whether the site serves its full load."""
        return self.stage is RecoveryStage.SERVING

    @property
    def wait_duration(self) -> int:
        """The least time in the stage WAITING: 0 after the first loss, `FIRST_WAIT` after the second.

        Each further loss doubles it, up to `MAX_WAIT`.
        """
        if self.flap_count <= 1:
            return 0
        doublings = min(MAX_WAIT_DOUBLINGS, self.flap_count - 2)
        return min(MAX_WAIT, FIRST_WAIT << doublings)

    # ---- events ----------------------------------------------------------------------------------------

    def mark_lost(self, now: int, reason: str, by_operator: bool = False) -> bool:
        """Enter the stage LOST.

        Args:
            now: The current time.
            reason: Why the site is lost or evacuated.
            by_operator: Whether an operator evacuates the site.

        Returns:
            Whether the stage has changed.
        """
        self.evacuated_by_operator = self.evacuated_by_operator or by_operator
        if self.stage is RecoveryStage.LOST:
            return False
        if self.stage is RecoveryStage.SERVING and now - self.since >= FLAPS_FORGIVEN_AFTER:
            self.flap_count = 0
        self.flap_count += 1
        self._enter(RecoveryStage.LOST, now, reason)
        return True

    def end_evacuation(self, now: int) -> bool:
        """Start the recovery of a site that an operator evacuated; return whether the stage has changed."""
        if self.stage is not RecoveryStage.LOST or not self.evacuated_by_operator:
            return False
        self.evacuated_by_operator = False
        self._enter(RecoveryStage.WAITING, now, "let back by hand")
        return True

    def evaluate(
        self, reports: list[MemberReport], expected_members: int, usual_load: float, now: int
    ) -> str:
        """Advance the ramp or go back a step, depending on the members' reports.

        Args:
            reports: The newest report of each member that is alive.
            expected_members: Number of members that the site has in the fleet file.
            usual_load: Load of the site before its loss, in requests per second.
            now: The current time.

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
        rejected_ratio = observation.rejected_ratio
        rejects_little = rejected_ratio < MAX_REJECTED_RATIO or self._is_limited_by_step(observation)
        if observation.slowdown <= MAX_GOOD_SLOWDOWN and rejects_little:
            self.good_streak += 1
            self.bad_streak = 0

    def _is_limited_by_step(self, observation: StepObservation) -> bool:
        """Return whether rejections are put down to the step's limit and not to an overload."""
        return observation.served >= MIN_SERVED_RATIO * self.serving_fraction * observation.capacity

    def _is_step_passed(self, observation: StepObservation, usual_load: float, now: int) -> bool:
        time_in_step = now - self.since
        if self.good_streak < GOOD_EVALUATIONS or time_in_step < self.min_step_duration:
            return False
        # Low load proves nothing: routers learn with a delay that the members are listed.
        has_load = observation.offered >= MIN_OFFERED_RATIO * self.serving_fraction * usual_load
        return has_load or time_in_step >= IDLE_STEP_FACTOR * self.min_step_duration

    def _step_back(self, observation: StepObservation, now: int) -> str:
        self.step -= 1
        self.min_step_duration = min(MAX_WAIT, 2 * self.min_step_duration)
        reason = f"the step hurt: pace {observation.slowdown:.1f}, back to {self.serving_fraction:.2f}"
        self._enter(RecoveryStage.STEP, now, reason)
        return self.reason
