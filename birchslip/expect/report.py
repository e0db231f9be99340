"""Reports of a check as text, JSON and JUnit XML, and the explanation of one statement as text."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from junitparser import Error, Failure, JUnitXml, Skipped, TestCase, TestSuite

from ..lab.model.clock import SECOND
from .check import Report
from .judge import Outcome, Verdict
from .situations import build_script
from .sources import Sources
from .words import Bound, Measure, Statement, atoms

OUTCOME_LABELS = {Outcome.HOLDS: "holds", Outcome.FAILS: "FAILS", Outcome.UNDECIDED: "?"}


def report_lines(report: Report) -> Iterator[str]:
    """Yield the lines of a report for the terminal."""
    for statement, verdict in report.verdicts.items():
        yield from statement_lines(statement, verdict)
    for conflict in report.conflicts:
        yield f"settings contradict each other: {conflict.reason}"
        yield from (f"    {path}" for path in conflict.setting_paths)
    for contradiction in report.contradictions:
        yield f"statements contradict each other: {contradiction.reason}"
        for statement in contradiction.statements:
            yield f"    {statement.location.describe()}: {statement.name}: {statement.describe()}"
        for path in contradiction.settings:
            yield f"    {path}"
    for name in report.empty:
        yield f"{name}: the file holds no statement"
    counts = [f"{report.count(Outcome.HOLDS)} hold", f"{report.count(Outcome.FAILS)} fail"]
    counts.append(f"{report.count(Outcome.UNDECIDED)} are undecided")
    yield f"{', '.join(counts)}; {report.run_count} scenario runs"


def statement_lines(statement: Statement, verdict: Verdict) -> Iterator[str]:
    """Yield the verdict on one statement and, unless it holds, the statement and what the search found."""
    yield f"{OUTCOME_LABELS[verdict.outcome]:6} {statement.name:28} {verdict.reason}"
    if verdict.outcome is Outcome.HOLDS:
        return
    yield f"       at {statement.location.describe()}: {statement.describe()}"
    if verdict.history:
        yield "       the smallest run that was found to fail:"
        yield from (f"         {line}" for line in verdict.history)
    if verdict.responsible_setting:
        yield f"       the setting that affects the failure most: {verdict.responsible_setting}"


def as_json(report: Report) -> dict[str, Any]:
    """Return a report as JSON values."""
    return {
        "holds": report.count(Outcome.HOLDS),
        "fails": report.count(Outcome.FAILS),
        "untold": report.count(Outcome.UNDECIDED),
        "plays": report.run_count,
        "statements": [
            statement_as_json(statement, verdict) for statement, verdict in report.verdicts.items()
        ],
        "clashes": [
            {
                "statements": [statement.name for statement in contradiction.statements],
                "settings": list(contradiction.settings),
                "why": contradiction.reason,
            }
            for contradiction in report.contradictions
        ],
        "conflicts": [
            {"settings": list(conflict.setting_paths), "why": conflict.reason}
            for conflict in report.conflicts
        ],
        "empty": report.empty,
    }


def statement_as_json(statement: Statement, verdict: Verdict) -> dict[str, Any]:
    """Return the verdict on one statement as JSON values."""
    return {
        "name": statement.name,
        "at": statement.location.describe(),
        "says": statement.describe(),
        "outcome": verdict.outcome.value,
        "by": verdict.method,
        "why": verdict.reason,
        "value": verdict.value,
        "bound": verdict.bound,
        "seed": verdict.seed,
        "history": verdict.history,
        "setting": verdict.responsible_setting,
    }


def junit(report: Report) -> bytes:
    """Return a report as JUnit XML, with a suite for each file and one for conflicts between settings.

    A statement that fails is a failure; an undecided one is an error, because it was not checked. A file
    without statements is a skipped case.
    """
    suites: dict[str, Any] = {}
    for statement, verdict in report.verdicts.items():
        suite = suites.setdefault(statement.location.file, TestSuite(statement.location.file))
        case = TestCase(statement.name, classname=statement.location.describe())
        text = "\n".join(statement_lines(statement, verdict))
        if verdict.outcome is Outcome.FAILS:
            case.result = [with_text(Failure(verdict.reason), text)]
        elif verdict.outcome is Outcome.UNDECIDED:
            case.result = [with_text(Error(verdict.reason), text)]
        suite.add_testcase(case)
    for conflict in report.conflicts:
        suite = suites.setdefault("settings", TestSuite("settings"))
        case = TestCase(" and ".join(conflict.setting_paths), classname="settings")
        case.result = [Failure(conflict.reason)]
        suite.add_testcase(case)
    for name in report.empty:
        suite = suites.setdefault(name, TestSuite(name))
        case = TestCase(name)
        case.result = [Skipped("the file holds no statement")]
        suite.add_testcase(case)
    xml: Any = JUnitXml("expectations")
    for suite in suites.values():
        suite.update_statistics()
        xml.add_testsuite(suite)
    xml.update_statistics()
    content: bytes = xml.tostring()
    return content


def with_text(result: Any, text: str) -> Any:
    """Set the text of a JUnit result and return it."""
    result.text = text
    return result


def explain_statement(statement: Statement, report: Report, sources: Sources) -> Iterator[str]:
    """Yield lines that explain what a statement measures, what was run and the verdict."""
    yield f"{statement.name} at {statement.location.describe()}"
    yield f"statement: {statement.describe()}"
    for atom in atoms(statement.claim):
        measure = atom.measure if isinstance(atom, Bound) else Measure.REFUSED
        definition = measure.definition
        aggregation = (
            "the maximum counts for an upper bound, the minimum for a lower one"
            if definition.is_instantaneous
            else "one figure for the whole span"
        )
        yield f"{definition.word}: {definition.description}; {aggregation}"
    scenario_script = build_script(statement.condition, sources.setting)
    verdict = report.verdicts[statement]
    if verdict.method == "play":
        yield f"run for {scenario_script.until / SECOND:g} s of virtual time with these steps:"
        yield from (
            f"  {line}"
            for line in scenario_script.describe() or ["no steps: nothing is changed during the run"]
        )
    else:
        yield "decided from the settings and statements, without a scenario run"
    yield from statement_lines(statement, verdict)


def to_json_text(report: Report) -> str:
    """Return a report as JSON text, indented by two spaces."""
    return json.dumps(as_json(report), indent=2)
