"""The search for a short history of a failure and for the setting that affects it most.

The module performs no I/O: scenario runs are passed in as functions, and their number is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from ..lab.model.clock import SECOND
from ..lab.model.layout import Work
from ..lab.model.world import TRAFFIC_START, Setting
from .judge import Evaluation
from .situations import COOL_DOWN, Script
from .sources import Sources, ValuePath
from .words import Measure, Statement, SubjectKind, atoms, subjects_of

MAX_SHRINK_RUNS = 12  # scenario runs to reduce one failure
MAX_CHANGE_RUNS = 20  # scenario runs to find the responsible setting of one failure
RUN_TAIL = SECOND // 2  # what is measured goes on this long after the moment of the failure


@dataclass(frozen=True)
class Case:
    """The input of one scenario run during the search.

    Attributes:
        setting: The settings.
        script: The script.
        seed: The seed.
        removed: Descriptions of what was taken out of the original run.
    """

    setting: Setting
    script: Script
    seed: int
    removed: tuple[str, ...] = ()


RunCases = Callable[[Sequence[Case]], list[Evaluation]]  # may run several at a time


def shrink(
    case: Case,
    evaluation: Evaluation,
    statement: Statement,
    run_cases: RunCases,
    max_runs: int = MAX_SHRINK_RUNS,
) -> tuple[Case, Evaluation]:
    """Reduce a failing case as long as it still fails.

    Args:
        case: The failing case.
        evaluation: Its evaluation.
        statement: The statement that fails.
        run_cases: Runs several cases and returns their evaluations.
        max_runs: How many cases may be run.

    Returns:
        The smallest failing case that was found, and its evaluation.
    """
    runs_left = max_runs
    while runs_left > 0:
        smaller = list(reductions(case, evaluation, statement))[:runs_left]
        runs_left -= len(smaller)
        found = next(
            (pair for pair in zip(smaller, run_cases(smaller), strict=True) if pair[1].held is False), None
        )
        if found is None:
            return case, evaluation
        case, evaluation = found
    return case, evaluation


def reductions(case: Case, evaluation: Evaluation, statement: Statement) -> Iterator[Case]:
    """Yield smaller cases: an earlier end, one step fewer, one router, tenant or profile fewer.

    The largest reductions come first. Routers, tenants and profiles that the statement names stay.
    """
    script = case.script
    end = evaluation.at + RUN_TAIL + COOL_DOWN
    if evaluation.at and end < script.until:
        yield replace(case, script=replace(script, until=end))
    for index, step in enumerate(script.steps):
        rest = script.steps[:index] + script.steps[index + 1 :]
        yield replace(case, script=replace(script, steps=rest), removed=(*case.removed, step.describe()))
    named = named_subjects(statement)
    yield from without_routers(case, named[SubjectKind.ROUTER])
    yield from without_tenants(case, named[SubjectKind.TENANT])
    yield from without_profiles(case, named[SubjectKind.PROFILE])


def named_subjects(statement: Statement) -> dict[SubjectKind, set[str]]:
    """Return the names that a statement refers to, by kind of subject; `*` stands for each of a kind."""
    found: dict[SubjectKind, set[str]] = {kind: set() for kind in SubjectKind}
    for atom in atoms(statement.claim):
        for subject in subjects_of(atom):
            found[subject.kind].add("*" if subject.each else subject.name)
    if statement.condition.surge:
        found[SubjectKind.TENANT].add(statement.condition.surge)
    return found


def without_routers(case: Case, named: set[str]) -> Iterator[Case]:
    """Yield, for each router that the statement does not name, the case without it."""
    routers = case.setting.routers()
    if len(routers) <= 1 or "*" in named:
        return
    for excluded in reversed(routers):
        if str(excluded.number) not in named:
            rest = [router for router in routers if router is not excluded]
            setting = replace_layout(case.setting, routers=rest)
            yield replace(case, setting=setting, removed=(*case.removed, f"router {excluded.number}"))


def without_tenants(case: Case, named: set[str]) -> Iterator[Case]:
    """Yield, for each tenant that the statement does not name, the case without its traffic."""
    tenants = case.setting.traffic().tenants
    present = [name for name, (_, share) in tenants.items() if share > 0 and name]
    if len(present) <= 1 or "*" in named:
        return
    for excluded in reversed(present):
        if excluded not in named:
            shares = {name: share for name, (_, share) in tenants.items() if name != excluded}
            setting = replace_layout(case.setting, tenants=shares)
            yield replace(case, setting=setting, removed=(*case.removed, f"tenant {excluded}"))


def without_profiles(case: Case, named: set[str]) -> Iterator[Case]:
    """Yield, for each profile that the statement does not name, the case without its traffic."""
    works_by_name = case.setting.layout.profiles
    works = {name: works_by_name.get(name, Work()) for name in case.setting.profiles}
    present = [name for name, work in works.items() if work.share > 0]
    if len(present) <= 1 or "*" in named:
        return
    for excluded in reversed(present):
        if excluded not in named:
            work = works[excluded]
            rest = works | {excluded: Work(share=0.0, work_ms=work.work_ms, calls=work.calls)}
            setting = replace_layout(case.setting, profiles=rest)
            yield replace(case, setting=setting, removed=(*case.removed, f"profile {excluded}"))


def replace_layout(setting: Setting, **changed_fields: object) -> Setting:
    """Return a copy of the settings with fields of the world file replaced."""
    layout = setting.layout
    fields = {name: getattr(layout, name) for name in layout.__struct_fields__} | changed_fields
    return replace(setting, layout=type(layout)(**fields))


def failure_history(
    case: Case, evaluation: Evaluation, notes: Sequence[tuple[int, str, dict[str, object]]]
) -> list[str]:
    """Describe a failing case line by line.

    The lines give the seed and the size of the fleet, what was taken out, what was done to the world, what
    the fleet did, and the figure that broke the bound.
    """
    lines = [
        f"seed {case.seed}, {len([n for names in case.setting.sites().values() for n in names])} app servers"
    ]
    if case.removed:
        lines.append(f"the failure needs none of: {', '.join(case.removed)}")
    events: list[tuple[int, str]] = [
        (
            TRAFFIC_START,
            f"{TRAFFIC_START / SECOND:.1f} s: traffic at {case.setting.layout.load:g} of capacity",
        )
    ]
    events += [(step.at, step.describe()) for step in case.script.steps]
    for at, event, fields in notes:
        if at <= case.script.until:
            words = ", ".join(
                f"{name} {value}"
                for name, value in fields.items()
                if name in ("site", "stage", "phase", "why")
            )
            events.append((at, f"{at / SECOND:.1f} s: {event}: {words}"))
    lines += [line for _, line in sorted(events)]
    moment = f"{evaluation.at / SECOND:.2f} s: " if evaluation.at else "over the whole span: "
    return [*lines, moment + evaluation.reason]


# ---- the setting that affects a failure ----------------------------------------------------------------


# Parts of the paths of settings that may affect a measure; those that usually affect it most come first.
RELEVANT_SETTINGS: dict[Measure, tuple[str, ...]] = {
    Measure.OUT: ("most_out", "share_out", "least_room", "drain_grace_s", "cold_s"),
    Measure.ADVISED: ("max_retry_after_s", "retry_after", "cores", "aim_s"),
    Measure.CALLS: ("calls_out", "vault.total", "vault.kept", "downstream", "class_skip_worth"),
    Measure.ROOM: ("cores", "quota_per_s", "aim_s", "mem_limit_kb", "fall_multiple"),
    Measure.OUTSTANDING: ("quota_per_s", "cores", "aim_s", "hard_limit_s", "retry_after", "mem_limit_kb"),
    Measure.REFUSED: (
        "quota_per_s",
        "cores",
        "tenants.",
        "refuse",
        "mem_limit_kb",
        "run_factor",
        "aim_s",
        "calls_out",
    ),
    Measure.SERVED: (
        "cores",
        "quota_per_s",
        "aim_s",
        "mem_limit_kb",
        "run_factor",
        "calls_out",
        "vault.",
        "tenants.",
    ),
    Measure.EARNED: ("cores", "quota_per_s", "credit", "aim_s", "mem_limit_kb", "calls_out", "vault."),
    Measure.TRIES: ("retry_after", "max_retry_after_s", "cores", "quota_per_s", "aim_s"),
}


@dataclass(frozen=True, slots=True)
class Change:
    """One changed value in one file: its path, the old and the new value."""

    file_kind: str
    path: ValuePath
    old: object
    new: object

    def describe(self, sources: Sources) -> str:
        """Return the path of the value and its old value."""
        return f"{sources.path_label(self.file_kind, self.path)} is {self.old}"


def candidate_changes(statement: Statement, sources: Sources) -> list[Change]:
    """Return changes of settings that may affect what a statement measures.

    The settings that usually affect the measure most come first. A second alternative of a value comes after
    the first alternatives of all values. Values of the world file are not changed.
    """
    found: dict[tuple[int, str, ValuePath, object], Change] = {}
    for atom in atoms(statement.claim):
        measure = getattr(atom, "measure", Measure.REFUSED)
        for fragment in RELEVANT_SETTINGS[measure]:
            for file_kind, path, value in sources.values():
                dotted = ".".join(str(key) for key in path)
                if (
                    file_kind == "world"
                    or fragment not in dotted
                    or any(key in ("name", "address") for key in path)
                ):
                    continue
                for rank, new in enumerate(alternative_values(value)):
                    found[rank, file_kind, path, new] = Change(file_kind, path, value, new)
    return [found[key] for key in sorted(found, key=lambda key: key[0])]


def alternative_values(value: object) -> list[object]:
    """Return alternatives of a value: twice and half of a number, the negation of a switch.

    For the integer 1 they are 2 and 0, for a zero only 1. Other values have none.
    """
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return [2 * value, value // 2] if value > 1 else [value + 1, 0] if value else [1]
    if isinstance(value, float):
        return [2 * value, value / 2] if value else [1.0]
    return []


def attribute_change(
    statement: Statement,
    evaluation: Evaluation,
    sources: Sources,
    run_changed: Callable[[Sequence[Sources]], list[Evaluation | None]],
    max_runs: int = MAX_CHANGE_RUNS,
) -> tuple[Change, Evaluation] | None:
    """Find the single change of a setting that improves a failing figure most.

    Args:
        statement: The statement that fails.
        evaluation: Its evaluation with the settings unchanged.
        sources: The settings.
        run_changed: Runs changed settings and returns their evaluations; `None` for invalid settings.
        max_runs: How many changes may be tried.

    Returns:
        The change and its evaluation; `None` if no change improves the figure. A change with which the
            statement holds is better than one with which it fails.
    """
    changes = candidate_changes(statement, sources)[:max_runs]
    evaluations = run_changed(
        [sources.with_value(change.file_kind, change.path, change.new) for change in changes]
    )
    best: tuple[Change, Evaluation] | None = None
    for change, changed in zip(changes, evaluations, strict=True):
        # A difference of no more than 1e-9 is a rounding error.
        if changed is None or changed.held is None or changed.excess >= evaluation.excess - 1e-9:
            continue
        if best is None or (changed.held, -changed.excess) > (best[1].held, -best[1].excess):
            best = (change, changed)
    return best
