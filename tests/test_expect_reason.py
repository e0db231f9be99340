"""Reasoning about settings and statements without scenario runs."""

import time

import pytest

from birchslip.expect.check import Check
from birchslip.expect.judge import Outcome
from birchslip.expect.reason import covers, reason_about
from birchslip.expect.words import Condition, Event

from .expectation_harness import sources, statements

CONTRADICTIONS = [  # statements, the names of those that contradict, settings that contradict
    (
        ["a: router 1 outstanding <= 4", "b: router 1 outstanding >= 5", "c: router 2 outstanding <= 3"],
        "ab",
        [],
    ),
    (["a: router 1 outstanding < 4", "b: router 1 outstanding >= 4"], "ab", []),
    (["a: router 1 outstanding = 4", "b: router 1 outstanding = 5"], "ab", []),
    (
        ["a: router 1 outstanding >= 9", "b: router 2 outstanding >= 9", "c: the fleet outstanding <= 17"],
        "abc",
        [],
    ),
    (
        ["a: the fleet outstanding >= 9", "b: router 1 outstanding <= 4", "c: router 2 outstanding <= 4"],
        "abc",
        [],
    ),
    (
        [
            "a: tenant blue refused <= 1 %",
            "b: tenant blue refused before tenant green",
            "c: tenant green refused >= 2 %",
        ],
        "abc",
        [],
    ),
    (["a: tenant blue served >= 60 %", "b: tenant blue refused >= 41 %"], "ab", []),
    (["a: the fleet refused >= 9 %", "b: each tenant refused <= 8 %"], "ab", []),
    (["a: router 1 outstanding >= 5", "b: not router 1 outstanding >= 3"], "ab", []),
    (
        [
            "a: router 1 outstanding <= 2 or router 1 outstanding >= 9",
            "b: router 1 outstanding <= 8",
            "c: router 1 outstanding >= 3",
        ],
        "abc",
        [],
    ),
    (["a: the fleet calls below <= 2 always", "b: the fleet calls below >= 3 at 2 of capacity"], "ab", []),
    (["a: site north calls below >= 9", "b: site south calls below >= 8"], "ab", ["vault.total"]),
    (
        [
            "a: site north out at once >= 1 while a release runs",
            "b: site south out at once >= 1 while a release runs",
        ],
        "ab",
        ["groups[fleet].most_out"],
    ),
]


@pytest.mark.parametrize(("lines", "names", "settings"), CONTRADICTIONS)
def test_contradiction_names_minimal_set(lines, names, settings):
    result = reason_about(statements(*lines), sources().setting)
    (contradiction,) = result.contradictions
    assert sorted(statement.name for statement in contradiction.statements) == sorted(names)
    assert [place.partition(": ")[2] for place in contradiction.settings] == settings


@pytest.mark.parametrize(
    "lines",
    [
        ["a: router 1 outstanding <= 4", "b: router 1 outstanding >= 4"],
        ["a: router 1 outstanding <= 4", "b: router 1 outstanding >= 5 at 2 of capacity"],
        ["a: the fleet refused <= 5 %", "b: tenant blue refused >= 40 %"],
        ["a: tenant blue refused before tenant green", "b: tenant green refused before tenant blue"],
        ["a: router 1 outstanding <= 4 or router 1 outstanding >= 9", "b: router 1 outstanding >= 5"],
        [
            "a: site north out at once <= 0 while a release runs",
            "b: site south out at once >= 1 while a release runs",
        ],
    ],
)
def test_compatible_statements_have_no_contradiction(lines):
    assert reason_about(statements(*lines), sources().setting).contradictions == []


@pytest.mark.parametrize(
    ("line", "holds", "words"),
    [
        ("the fleet advised wait <= 1 s", True, "max_retry_after_s"),
        ("the fleet advised wait > 1 s", False, "max_retry_after_s"),
        ("the fleet advised wait <= 999 ms", None, ""),
        ("the fleet calls below <= 16 always", True, "vault.total"),
        ("the fleet calls below <= 15 always", None, ""),
        ("group north out at once <= 1 while a release runs", True, "groups[north].most_out"),
        ("site north out at once <= 1 while a release runs", True, "groups[fleet].most_out"),
        ("site north out at once <= 1", None, ""),
        ("site north out at once <= 2 while site north is lost", True, "members"),
        ("site north out at once >= 3 while site north is lost", False, "members"),
        ("the fleet out at once >= 0", True, "can't be less"),
        ("each tenant advised wait <= 2 s", True, "max_retry_after_s"),
        ("the fleet calls below <= 16 and site north out at once >= 3", False, "members"),
    ],
)
def test_settings_alone_decide_statement(line, holds, words):
    (statement,) = statements(line)
    result = reason_about([statement], sources().setting)
    reasons = result.holds if holds else result.fails
    assert (statement in result.holds, statement in result.fails) == (holds is True, holds is False)
    assert holds is None or words in reasons[statement]


@pytest.mark.parametrize(
    ("wide", "narrow", "is_more"),
    [
        (Condition(always=True), Condition(load=2.0), True),
        (Condition(), Condition(load=2.0), False),
        (Condition(load=2.0), Condition(load=2.0, lost="north"), True),
        (Condition(load=2.0), Condition(load=1.5, lost="north"), False),
        (Condition(lost="north"), Condition(lost="north", settled=10), True),
        (Condition(lost="north", settled=10), Condition(lost="north"), False),
        (Condition(surge="a", surge_factor=2.0), Condition(surge="a", surge_factor=3.0), False),
        (
            Condition(release=True, within=20, event=Event.RELEASE),
            Condition(release=True, within=10, event=Event.RELEASE),
            True,
        ),
        (
            Condition(release=True, within=10, event=Event.RELEASE),
            Condition(release=True, within=20, event=Event.RELEASE),
            False,
        ),
    ],
)
def test_covers_recognizes_narrower_condition(wide, narrow, is_more):
    assert covers(wide, narrow) is is_more


def test_contradicting_statements_fail_and_others_are_decided():
    expectations = statements(
        "a: the fleet out at once <= 1", "b: the fleet out at once > 1", "c: the fleet advised wait <= 1 s"
    )
    report = Check(sources(), expectations).run()
    assert [verdict.outcome for verdict in report.verdicts.values()] == [
        Outcome.FAILS,
        Outcome.FAILS,
        Outcome.HOLDS,
    ]
    assert report.exit_code == 1
    assert report.run_count == 0


def test_reasons_about_ten_thousand_statements_in_seconds():
    lines = [
        f"n{n}: router {1 + n % 2} outstanding <= {100 + n} at {1 + n % 50 / 10} of capacity"
        for n in range(10_000)
    ]
    started = time.process_time()
    result = reason_about(
        statements(*lines, "odd: router 1 outstanding >= 101 at 1 of capacity"), sources().setting
    )
    assert [
        sorted(statement.name for statement in contradiction.statements)
        for contradiction in result.contradictions
    ] == [["n0", "odd"]]
    assert time.process_time() - started < 20  # takes a few seconds; the bound allows for slow machines
