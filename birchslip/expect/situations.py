"""Scripts that bring about the condition of a statement, and the spans of a run in which it held.

The spans follow from the events recorded during a run. Absent planners and an outage of the downstream
service record no event, so that their spans follow from the script, as does that of a load. The module
performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..lab.model.clock import SECOND
from ..lab.model.world import TRAFFIC_START, Setting, Step
from .words import Condition, Event

STEADY_FROM = TRAFFIC_START + 2 * SECOND  # the first attempts of a run count for no expectation
SITUATION_BEGIN = TRAFFIC_START + 3 * SECOND  # when the script sets the condition
SITUATION_LENGTH = 4 * SECOND  # for conditions that do not end by themselves
LOAD_RAMP = SECOND  # a load is applied this long before it is measured
COOL_DOWN = SECOND  # after the measured span, so that open requests can end
SITE_RETURN_TIME = 6 * SECOND  # what a lost site needs to return
RELEASE_TIME = 40 * SECOND  # a run with a release is measured for at least this long
Span = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Script:
    """The steps of a scenario run, and the virtual time at which it ends, in units of 0.1 ms."""

    steps: tuple[Step, ...]
    until: int

    def describe(self) -> list[str]:
        """Return one line for each step."""
        return [step.describe() for step in self.steps]


def build_script(condition: Condition, setting: Setting, shrink_step_s: float = 0.25) -> Script:
    """Return the script that brings about a condition.

    The load is set `LOAD_RAMP` before `SITUATION_BEGIN`, and everything else begins then; a site that is to
    return is restored `SITUATION_LENGTH` later. The script ends `COOL_DOWN` after the span to be measured.

    Args:
        condition: The condition to bring about.
        setting: The settings, for the size of the fleet.
        shrink_step_s: Seconds between the drains of two app servers while the fleet shrinks, as in
            `World.shrink`.
    """
    steps: list[Step] = []
    at, length = SITUATION_BEGIN, SITUATION_LENGTH + condition.settled
    if condition.load is not None:
        steps.append(Step(at - LOAD_RAMP, "load", value=condition.load))
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
        steps.append(Step(at, "shrink", value=condition.shrink))
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
    """Return the spans of a run in which every part of a condition held.

    Args:
        condition: The condition.
        marks: The recorded events as (time, event, subject name).
        until: The end of the run.

    Returns:
        The spans in order; empty if the condition never came true.
    """
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
    """Return the spans of length `condition.within` after each occurrence of its event."""
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
    """Return the spans from each beginning mark to the next end mark.

    Each span starts `settled` after its beginning mark; one without an end mark lasts to `until`.
    """
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
    """Return the spans that lie within a span of both lists; empty intersections are left out."""
    return [(max(a, c), min(b, d)) for a, b in first for c, d in second if max(a, c) < min(b, d)]
