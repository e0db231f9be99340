"""Scenario runs, several at a time.

Several runs are spread over a pool of processes; the results do not depend on how many run at a time. Figures
are measured in the process of the run, so that no world crosses a process boundary.
"""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from ..lab.model.world import Setting, World
from .judge import Evaluation, evaluate
from .measures import Observation, measure_world
from .names import KnownNames
from .situations import Script, matching_spans
from .words import Claim, Comparison, Condition, Measure, Subject

MAX_JOBS = 8  # scenario runs at a time if the caller gives no number
EVENT_LABELS = {  # events of the fleet that a failure history shows, and their labels
    "site_lost": "site lost",
    "site_stage_changed": "site moves",
    "no release": "no release",
    "rollout_phase_changed": "release",
}
Note = tuple[int, str, dict[str, object]]


@dataclass(frozen=True)
class ScenarioRun:
    """The input of one scenario run.

    Attributes:
        setting: The settings to run.
        condition: The condition under which `claims` apply.
        script: What is done to the world.
        seed: The seed of the run.
        claims: Claims that apply while the condition holds.
        always_claims: Claims that apply to the whole run.
        capacity: What loads are multiples of, in requests per second; 0 for the capacity of the settings. A
            fixed value keeps the traffic the same when a setting is changed.
    """

    setting: Setting
    condition: Condition
    script: Script
    seed: int
    claims: tuple[Claim, ...]
    always_claims: tuple[Claim, ...] = ()
    capacity: float = 0.0


@dataclass(frozen=True)
class RunOutcome:
    """The result of one scenario run.

    Attributes:
        evaluations: One evaluation for each of the claims.
        always_evaluations: One evaluation for each claim that applies to the whole run.
        notes: What the fleet did, as (time in units of 0.1 ms, label, fields).
        unmet_reason: Why the condition never came true; empty if it did.
    """

    evaluations: tuple[Evaluation, ...]
    always_evaluations: tuple[Evaluation, ...]
    notes: tuple[Note, ...]
    unmet_reason: str = ""


def run_scenario(scenario_run: ScenarioRun) -> RunOutcome:
    """Run one scenario in virtual time and evaluate its claims."""
    world = World(scenario_run.setting, scenario_run.seed, scenario_run.capacity)
    world.run(scenario_run.script.steps, scenario_run.script.until)
    matched_spans = matching_spans(scenario_run.condition, world.marks, scenario_run.script.until)
    notes = tuple(
        (at, EVENT_LABELS[event], fields) for at, event, fields in world.notes if event in EVENT_LABELS
    )
    known_names = KnownNames(scenario_run.setting)

    def evaluate_all(claims: Sequence[Claim], within: list[tuple[int, int]]) -> tuple[Evaluation, ...]:
        def measure(subject: Subject, quantity: Measure, compare: Comparison) -> Observation | None:
            return measure_world(world, subject, quantity, compare, within)

        return tuple(evaluate(claim, measure, known_names.expand) for claim in claims)

    always_evaluations = evaluate_all(
        scenario_run.always_claims,
        matching_spans(Condition(always=True), world.marks, scenario_run.script.until),
    )
    if not matched_spans:
        refusal = next((str(fields["why"]) for _, event, fields in notes if event == "no release"), "")
        reason = refusal or "no part of the run fulfilled it"
        return RunOutcome(
            tuple(Evaluation(None, reason) for _ in scenario_run.claims), always_evaluations, notes, reason
        )
    return RunOutcome(evaluate_all(scenario_run.claims, matched_spans), always_evaluations, notes)


class ScenarioRunner:
    """Runs scenarios in this process or in a pool of processes.

    Attributes:
        run_count: How many were run so far.
    """

    def __init__(self, jobs: int = 0) -> None:
        """Create a runner without starting processes.

        Args:
            jobs: How many scenarios run at a time; with 1 they run in this process; 0 for one for each core,
                at most `MAX_JOBS`.
        """
        self.jobs = jobs or min(MAX_JOBS, os.cpu_count() or 1)
        self.run_count = 0
        self.executor: ProcessPoolExecutor | None = None

    def run_all(self, scenario_runs: Sequence[ScenarioRun]) -> list[RunOutcome]:
        """Run the scenarios and return their outcomes in the same order."""
        self.run_count += len(scenario_runs)
        if self.jobs <= 1 or len(scenario_runs) <= 1:
            return [run_scenario(scenario_run) for scenario_run in scenario_runs]
        if self.executor is None:
            # Forking keeps the files that were already read and uses no socket.
            context = multiprocessing.get_context("fork")
            self.executor = ProcessPoolExecutor(self.jobs, mp_context=context)
        return list(self.executor.map(run_scenario, scenario_runs))

    def close(self) -> None:
        """Stop the pool of processes, if it was started; `run_all` starts a new one if it needs one."""
        if self.executor is not None:
            self.executor.shutdown()
            self.executor = None
