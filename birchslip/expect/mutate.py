"""Which single breaks of the settings no expectation sees.

A break changes one value: a number becomes a quarter or four times of it, a switch is turned, an entry is
taken out, an order is turned round. The settings' own checks may refuse it, an expectation may fail or become
untold; what is left is listed with why nobody saw it.
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
)  # nothing of routing
IGNORED_SECTIONS = ("limits", "gauges", "planners")
NAME_KEYS = ("name", "from", "to")


class Detection(Enum):
    REFUSED = "refused by the settings' own checks"
    CONFLICT = "settings contradict each other"
    FAILED = "an expectation fails"
    UNDECIDED = "an expectation can't be told any more"
    NO_EFFECT = "nothing that is played changes"
    UNBOUNDED = "figures change, and no expectation bounds them"


@dataclass(frozen=True, slots=True)
class MutationResult:
    """One break and what came of it; `by` names who saw it."""

    change: Change
    path_label: str
    detection: Detection
    detected_by: str = ""

    @property
    def is_detected(self) -> bool:
        return self.detection in (
            Detection.REFUSED,
            Detection.CONFLICT,
            Detection.FAILED,
            Detection.UNDECIDED,
        )


def mutations(sources: Sources) -> Iterator[Change]:
    """All single breaks of what bears on routing, in the files' order."""
    for file_kind, path, value in sources.values():
        if file_kind == "world" or is_ignored(file_kind, path):
            continue
        for new in mutated_values(path, value):
            yield Change(file_kind, path, value, new)
    if sources.fleet is not None and len(sources.fleet.get("refuse", ())) > 1:
        refuse = sources.fleet["refuse"]
        yield Change("fleet", ("refuse",), refuse, [*reversed(refuse[:-1]), refuse[-1]])


def is_ignored(file_kind: str, path: ValuePath) -> bool:
    if file_kind == "config" and len(path) == 1:
        return True  # where it stands and whom it talks to
    return path[-1] in IGNORED_KEYS or any(key in IGNORED_SECTIONS for key in path) or path[0] == "refuse"


def mutated_values(path: ValuePath, value: object) -> list[object]:
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
    return [verdict.value for verdict in report.verdicts.values()]


def mutate(
    sources: Sources,
    statements: Sequence[Statement],
    seed: int = 1,
    seeds: int = 1,
    on_result: Callable[[MutationResult], None] = lambda result: None,
    changes: Sequence[Change] | None = None,
) -> list[MutationResult]:
    """Each break in turn; the traffic stays what it was."""
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
    path_label = sources.path_label(change.file_kind, change.path)
    mutated = sources.with_value(change.file_kind, change.path, change.new)
    try:
        _ = mutated.setting
        check = Check(mutated, statements, seed, seeds, search=False, capacity=capacity)
        error = next((name_error for one in statements if (name_error := check.names.find_error(one))), "")
    except InvalidInputError as invalid:
        return MutationResult(change, path_label, Detection.REFUSED, str(invalid).splitlines()[0])
    if error:
        return MutationResult(change, path_label, Detection.REFUSED, error)
    after = check.run()
    new = next((conflict for conflict in after.conflicts if conflict not in baseline.conflicts), None)
    if new is not None:
        return MutationResult(
            change, path_label, Detection.CONFLICT, f"{', '.join(new.setting_paths)}: {new.reason}"
        )
    for outcome, detection in ((Outcome.FAILS, Detection.FAILED), (Outcome.UNDECIDED, Detection.UNDECIDED)):
        for statement, verdict in after.verdicts.items():
            if verdict.outcome is outcome and baseline.verdicts[statement].outcome is not outcome:
                return MutationResult(change, path_label, detection, statement.name)
    same = measured_values(baseline) == measured_values(after)
    return MutationResult(change, path_label, Detection.NO_EFFECT if same else Detection.UNBOUNDED)
