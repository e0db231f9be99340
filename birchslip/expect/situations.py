"""When an expectation counts: the script that brings its situation about, and the spans in which it was
there, by what has truly happened in a play. Free of I/O and of clocks.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..lab.model.clock import SECOND
from ..lab.model.world import BEGIN, Setting, Step
from .words import Condition, Event

STEADY_FROM = BEGIN + 2 * SECOND  # the first tries of a day are none of any expectation's
SITUATION_BEGIN = BEGIN + 3 * SECOND  # when the situation begins
SITUATION_LENGTH = 4 * SECOND  # how long it is there, where nothing ends it by itself
LOAD_RAMP = SECOND  # a load is there for a second before it counts
COOL_DOWN = SECOND  # a play goes on past what is measured, so that what is open then can end
SITE_RETURN_TIME = 6 * SECOND  # what a site needs to come back
RELEASE_TIME = 40 * SECOND
Span = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Script:
    """`until` is how long it is played; `planners` whether there have to be any."""

    steps: tuple[Step, ...]
    until: int

    def describe(self) -> list[str]:
        return [step.told() for step in self.steps]


def build_script(condition: Condition, setting: Setting, shrink_step_s: float = 0.25) -> Script:
    """What is done to the world so that the situation comes about. `each` is a step of a shrinking fleet, in
    seconds.
    """
    steps: list[Step] = []
    at, length = SITUATION_BEGIN, SITUATION_LENGTH + condition.settled
    if condition.load is not None:
        steps.append(Step(at - LOAD_RAMP, "load", more=condition.load))
    if condition.planners_gone:
        steps.append(Step(at, "planners-gone"))
    if condition.below_down:
        steps.append(Step(at, "below-down"))
    if condition.surge:
        steps.append(Step(at, "surge", condition.surge, condition.surge_factor))
    if condition.lost:
        steps.append(Step(at, "lose", condition.lost))
        if condition.event is Event.SITE_RETURNS:
            steps.append(Step(at + SITUATION_LENGTH, "restore", condition.lost))
            length += SITE_RETURN_TIME
    if condition.shrink is not None:
        steps.append(Step(at, "shrink", more=condition.shrink))
        count = sum(len(names) for names in setting.sites().values())
        length = max(length, int((1 - condition.shrink) * count * shrink_step_s * SECOND) + 3 * SECOND)
    if condition.release:
        steps.append(Step(at, "release"))
        length = max(length, RELEASE_TIME)
    if condition.within:
        length = max(
            length, condition.within + (SITUATION_LENGTH if condition.event is Event.SITE_RETURNS else 0)
        )
    return Script(tuple(steps), at + length + COOL_DOWN)


def matching_spans(condition: Condition, marks: Iterable[tuple[int, str, str]], until: int) -> list[Span]:
    """Where all that is said of when was so. None: the situation never came about."""
    measured_until = until - COOL_DOWN
    mark_list = list(marks)
    found: list[Span] = [(STEADY_FROM, measured_until)]
    if condition.load is not None:
        found = [(SITUATION_BEGIN, measured_until)]
    if condition.always:
        return found
    if condition.lost and condition.event is not Event.SITE_RETURNS:
        found = intersect(
            found,
            spans_between(mark_list, "lost", "returns", condition.lost, measured_until, condition.settled),
        )
    if condition.surge and condition.event is not Event.SURGE:
        found = intersect(
            found,
            spans_between(
                mark_list, "surge", "surge over", condition.surge, measured_until, condition.settled
            ),
        )
    if condition.shrink is not None and condition.event is not Event.SHRUNK:
        found = intersect(
            found, spans_between(mark_list, "shrinking", "shrunk", "", measured_until, condition.settled)
        )
    if condition.release and condition.event is not Event.RELEASE:
        found = intersect(
            found, spans_between(mark_list, "release", "released", "", measured_until, condition.settled)
        )
    if condition.planners_gone or condition.below_down:
        found = intersect(found, [(SITUATION_BEGIN + condition.settled, measured_until)])
    if condition.event is not None:
        found = intersect(found, spans_after_event(condition, mark_list, measured_until))
    return [(a, b) for a, b in found if b > a]


EVENT_MARKS = {
    Event.SITE_LOST: "lost",
    Event.SITE_RETURNS: "returns",
    Event.RELEASE: "release",
    Event.SHRINKING: "shrinking",
    Event.SHRUNK: "shrunk",
    Event.SURGE: "surge",
}


def spans_after_event(
    condition: Condition, marks: list[tuple[int, str, str]], measured_until: int
) -> list[Span]:
    """Within so long of each time that it happened."""
    assert condition.event is not None
    mark = EVENT_MARKS[condition.event]
    return [
        (at, min(measured_until, at + condition.within))
        for at, event, subject_name in marks
        if event == mark and (not condition.event_subject or subject_name == condition.event_subject)
    ]


def spans_between(
    marks: list[tuple[int, str, str]],
    begin_mark: str,
    end_mark: str,
    subject_name: str,
    until: int,
    settled: int,
) -> list[Span]:
    """From each beginning to the next end."""
    found: list[Span] = []
    begun_at: int | None = None
    for at, event, name in marks:
        if event == begin_mark and (not subject_name or name == subject_name) and begun_at is None:
            begun_at = at
        elif event == end_mark and (not subject_name or name == subject_name) and begun_at is not None:
            found.append((begun_at + settled, at))
            begun_at = None
    if begun_at is not None:
        found.append((begun_at + settled, until))
    return [(a, min(b, until)) for a, b in found if a < min(b, until)]


def intersect(first: list[Span], second: list[Span]) -> list[Span]:
    return [(max(a, c), min(b, d)) for a, b in first for c, d in second if max(a, c) < min(b, d)]
