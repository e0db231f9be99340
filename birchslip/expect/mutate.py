"""Mutation of settings: which single changed values no expectation detects.

A mutation multiplies or divides a number by four, negates a switch, changes a word or reverses an order. The
validation of the settings may refuse it, or an expectation may fail or become undecided. Every other mutation
is listed with the reason why it was not detected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from ..errors import InvalidInputError
from .check import Check, Report
from .judge import Outcome
from .search import Change
from .sources import Sources, ValuePath
from .words import Statement

SCALE_FACTOR = 4
IGNORED_KEYS = (
    "listen",
    "agent",
    "directory",
    "vault",
    "seed",
    "name",
    "address",
    "stop_ms",
)  # these do not affect routing
IGNORED_SECTIONS = ("limits", "gauges", "planners")  # nor do the values in these
NAME_KEYS = ("name", "from", "to")  # their words are names and are not changed


class Detection(Enum):
    """How a mutation was detected, or why it was not; the values are written to reports."""

    REFUSED = "refused by the settings' own checks"
    CONFLICT = "settings contradict each other"
    FAILED = "an expectation fails"
    UNDECIDED = "an expectation can't be told any more"
    NO_EFFECT = "nothing that is played changes"
    UNBOUNDED = "figures change, and no expectation bounds them"


@dataclass(frozen=True, slots=True)
class MutationResult:
    """The result of one mutation.

    Attributes:
        change: The changed value.
        path_label: Its path, for reports.
        detection: How it was detected.
        detected_by: The error, conflict or expectation that detected it.
    """

    change: Change
    path_label: str
    detection: Detection
    detected_by: str = ""

    @property
    def is_detected(self) -> bool:
        """Whether validation or an expectation detected the mutation."""
        return self.detection in (
            Detection.REFUSED,
            Detection.CONFLICT,
            Detection.FAILED,
            Detection.UNDECIDED,
        )


def mutations(sources: Sources) -> Iterator[Change]:
    """Yield all single mutations of values that affect routing, in the order of the files.

    The world file is not mutated, because it describes only the surroundings. The shedding order `refuse` is
    mutated once: reversed but for its last entry, because no entry may stand behind `home`.
    """
    for file_kind, path, value in sources.values():
        if file_kind == "world" or is_ignored(file_kind, path):
            continue
        for new in mutated_values(path, value):
            yield Change(file_kind, path, value, new)
    if sources.fleet is not None and len(sources.fleet.get("refuse", ())) > 1:
        refuse = sources.fleet["refuse"]
        yield Change("fleet", ("refuse",), refuse, [*reversed(refuse[:-1]), refuse[-1]])


def is_ignored(file_kind: str, path: ValuePath) -> bool:
    """Return whether a value does not affect routing, or is mutated separately."""
    if file_kind == "config" and len(path) == 1:
        return True  # addresses and names of the process
    return path[-1] in IGNORED_KEYS or any(key in IGNORED_SECTIONS for key in path) or path[0] == "refuse"


def mutated_values(path: ValuePath, value: object) -> list[object]:
    """Return the values that replace a value, one for each mutation.

    A number is multiplied and divided by `SCALE_FACTOR`, or becomes 1 or 0.5 if it is 0. A switch is negated.
    A word becomes `off`, or `drop` if it is `off`. A name has none.
    """
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return [value * SCALE_FACTOR, value // SCALE_FACTOR] if value else [1]
    if isinstance(value, float):
        return [value * SCALE_FACTOR, value / SCALE_FACTOR] if value else [0.5]
    if isinstance(value, str) and path[-1] not in NAME_KEYS:
        return ["off" if value != "off" else "drop"]
    return []


def measured_values(report: Report) -> list[float | None]:
    """Return the deciding figure of each verdict, in the order of the statements; `None` without one."""
    return [verdict.value for verdict in report.verdicts.values()]


def mutate(
    sources: Sources,
    statements: Sequence[Statement],
    seed: int = 1,
    seeds: int = 1,
    on_result: Callable[[MutationResult], None] = lambda result: None,
    changes: Sequence[Change] | None = None,
) -> list[MutationResult]:
    """Check the expectations against each mutation in turn.

    The traffic stays that of the unchanged settings.

    Args:
        sources: The settings.
        statements: The expectations.
        seed: The first seed.
        seeds: How many seeds are run.
        on_result: Called with each result as it is known.
        changes: The mutations; `None` for all.

    Returns:
        The results, in the order of the mutations.
    """
    baseline_check = Check(sources, statements, seed, seeds, search=False)
    baseline = baseline_check.run()
    results = []
    for change in mutations(sources) if changes is None else changes:
        result = evaluate_mutation(
            sources, statements, change, baseline, seed, seeds, baseline_check.capacity
        )
        on_result(result)
        results.append(result)
    return results


def evaluate_mutation(
    sources: Sources,
    statements: Sequence[Statement],
    change: Change,
    baseline: Report,
    seed: int,
    seeds: int,
    capacity: float,
) -> MutationResult:
    """Check the expectations against one mutation.

    Args:
        sources: The settings without the mutation.
        statements: The expectations.
        change: The mutation.
        baseline: The report on the settings without the mutation.
        seed: The first seed.
        seeds: How many seeds are run.
        capacity: What loads are multiples of, in requests per second; that of the unchanged settings.

    Returns:
        The result. If several things detect the mutation, the first of this order counts: validation, a new
        conflict, a statement that now fails, a statement that is now undecided.
    """
    path_label = sources.path_label(change.file_kind, change.path)
    mutated = sources.with_value(change.file_kind, change.path, change.new)
    try:
        _ = mutated.setting
        check = Check(mutated, statements, seed, seeds, search=False, capacity=capacity)
        error = next(
            (name_error for statement in statements if (name_error := check.names.find_error(statement))), ""
        )
    except InvalidInputError as invalid:
        return MutationResult(change, path_label, Detection.REFUSED, str(invalid).splitlines()[0])
    if error:
        return MutationResult(change, path_label, Detection.REFUSED, error)
    after = check.run()
    new_conflict = next(
        (conflict for conflict in after.conflicts if conflict not in baseline.conflicts), None
    )
    if new_conflict is not None:
        reason = f"{', '.join(new_conflict.setting_paths)}: {new_conflict.reason}"
        return MutationResult(change, path_label, Detection.CONFLICT, reason)
    for outcome, detection in ((Outcome.FAILS, Detection.FAILED), (Outcome.UNDECIDED, Detection.UNDECIDED)):
        for statement, verdict in after.verdicts.items():
            if verdict.outcome is outcome and baseline.verdicts[statement].outcome is not outcome:
                return MutationResult(change, path_label, detection, statement.name)
    is_same = measured_values(baseline) == measured_values(after)
    return MutationResult(change, path_label, Detection.NO_EFFECT if is_same else Detection.UNBOUNDED)
