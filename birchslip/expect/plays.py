"""Plays, several at a time: each in a process of its own where there are cores for it, and always the same
whatever their number. What is measured is read off where it was played; no world crosses a process.
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

MAX_JOBS = 8
EVENT_LABELS = {  # of what the fleet made of it: the event, and how people are told of it
    "site_lost": "site lost",
    "site_stage_changed": "site moves",
    "no release": "no release",
    "rollout_phase_changed": "release",
}
Note = tuple[int, str, dict[str, object]]


@dataclass(frozen=True)
class ScenarioRun:
    """One play, and what is claimed of it. `capacity` is what loads are parts of, the setting's own where it
    is 0: the traffic stays what it was where a setting is changed.
    """

    setting: Setting
    condition: Condition
    script: Script
    seed: int
    claims: tuple[Claim, ...]
    always_claims: tuple[Claim, ...] = ()  # what is claimed of all of the play, whatever its situation
    capacity: float = 0.0


@dataclass(frozen=True)
class RunOutcome:
    """What came of it: of each claim, and why the situation never came about, where it did not."""

    evaluations: tuple[Evaluation, ...]
    always_evaluations: tuple[Evaluation, ...]
    notes: tuple[Note, ...]
    unmet_reason: str = ""


def run_scenario(task: ScenarioRun) -> RunOutcome:
    world = World(task.setting, task.seed, task.capacity)
    world.run(task.script.steps, task.script.until)
    matched_spans = matching_spans(task.condition, world.marks, task.script.until)
    notes = tuple(
        (at, EVENT_LABELS[event], fields) for at, event, fields in world.notes if event in EVENT_LABELS
    )
    known_names = KnownNames(task.setting)

    def evaluate_all(claims: Sequence[Claim], within: list[tuple[int, int]]) -> tuple[Evaluation, ...]:
        def measure(subject: Subject, quantity: Measure, compare: Comparison) -> Observation | None:
            return measure_world(world, subject, quantity, compare, within)

        return tuple(evaluate(claim, measure, known_names.expand) for claim in claims)

    always_evaluations = evaluate_all(
        task.always_claims, matching_spans(Condition(always=True), world.marks, task.script.until)
    )
    if not matched_spans:
        refusal = next((str(fields["why"]) for _, event, fields in notes if event == "no release"), "")
        reason = refusal or "nothing in these settings brings it about"
        return RunOutcome(
            tuple(Evaluation(None, reason) for _ in task.claims), always_evaluations, notes, reason
        )
    return RunOutcome(evaluate_all(task.claims, matched_spans), always_evaluations, notes)


class ScenarioRunner:
    """`jobs` at a time; 1 plays here. `count` tells how many there were."""

    def __init__(self, jobs: int = 0) -> None:
        self.jobs = jobs or min(MAX_JOBS, os.cpu_count() or 1)
        self.run_count = 0
        self.executor: ProcessPoolExecutor | None = None

    def run_all(self, tasks: Sequence[ScenarioRun]) -> list[RunOutcome]:
        """What came of each, in their order."""
        self.run_count += len(tasks)
        if self.jobs < 2 or len(tasks) < 2:
            return [run_scenario(task) for task in tasks]
        if self.executor is None:
            # Forked: what has been read need not be read again, and nothing goes through a socket.
            context = multiprocessing.get_context("fork")
            self.executor = ProcessPoolExecutor(self.jobs, mp_context=context)
        return list(self.executor.map(run_scenario, tasks))

    def close(self) -> None:
        if self.executor is not None:
            self.executor.shutdown()
            self.executor = None
