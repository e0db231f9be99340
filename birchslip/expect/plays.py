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
from .judge import Said, weigh
from .measures import Seen, measured
from .names import Names
from .situations import Script, spans
from .words import Claim, Compare, Measure, Subject, When

JOBS_MOST = 8
TOLD = {  # of what the fleet made of it: the event, and how people are told of it
    "site_lost": "site lost",
    "site_stage_changed": "site moves",
    "no release": "no release",
    "rollout_phase_changed": "release",
}
Note = tuple[int, str, dict[str, object]]


@dataclass(frozen=True)
class Task:
    """One play, and what is claimed of it. `capacity` is what loads are parts of, the setting's own where it
    is 0: the traffic stays what it was where a setting is changed.
    """

    setting: Setting
    when: When
    script: Script
    seed: int
    claims: tuple[Claim, ...]
    always: tuple[Claim, ...] = ()  # what is claimed of all of the play, whatever its situation
    capacity: float = 0.0


@dataclass(frozen=True)
class Came:
    """What came of it: of each claim, and why the situation never came about, where it did not."""

    said: tuple[Said, ...]
    always: tuple[Said, ...]
    notes: tuple[Note, ...]
    never: str = ""


def play(task: Task) -> Came:
    world = World(task.setting, task.seed, task.capacity)
    world.run(task.script.steps, task.script.until)
    found = spans(task.when, world.marks, task.script.until)
    notes = tuple((at, TOLD[event], more) for at, event, more in world.notes if event in TOLD)
    names = Names(task.setting)

    def weighed(claims: Sequence[Claim], within: list[tuple[int, int]]) -> tuple[Said, ...]:
        def measure(subject: Subject, of: Measure, compare: Compare) -> Seen | None:
            return measured(world, subject, of, compare, within)

        return tuple(weigh(claim, measure, names.some) for claim in claims)

    always = weighed(task.always, spans(When(always=True), world.marks, task.script.until))
    if not found:
        refused = next((str(more["why"]) for _, event, more in notes if event == "no release"), "")
        why = refused or "nothing in these settings brings it about"
        return Came(tuple(Said(None, why) for _ in task.claims), always, notes, why)
    return Came(weighed(task.claims, found), always, notes)


class Plays:
    """`jobs` at a time; 1 plays here. `count` tells how many there were."""

    def __init__(self, jobs: int = 0) -> None:
        self.jobs = jobs or min(JOBS_MOST, os.cpu_count() or 1)
        self.count = 0
        self.pool: ProcessPoolExecutor | None = None

    def all(self, tasks: Sequence[Task]) -> list[Came]:
        """What came of each, in their order."""
        self.count += len(tasks)
        if self.jobs < 2 or len(tasks) < 2:
            return [play(task) for task in tasks]
        if self.pool is None:
            # Forked: what has been read need not be read again, and nothing goes through a socket.
            context = multiprocessing.get_context("fork")
            self.pool = ProcessPoolExecutor(self.jobs, mp_context=context)
        return list(self.pool.map(play, tasks))

    def close(self) -> None:
        if self.pool is not None:
            self.pool.shutdown()
            self.pool = None
