"""Evaluations, verdicts, spans and the search of failures, without scenario runs."""

import pytest

from birchslip.expect.judge import Evaluation, Outcome, combine_seeds, evaluate
from birchslip.expect.measures import Observation, sum_series
from birchslip.expect.parse import parse
from birchslip.expect.search import Case, attribute_change, candidate_changes, shrink
from birchslip.expect.situations import (
    COOL_DOWN,
    SITUATION_BEGIN,
    Script,
    build_script,
    intersect,
    matching_spans,
)
from birchslip.expect.words import Condition, Event, Measure, Subject, SubjectKind
from birchslip.lab.model.clock import SECOND
from birchslip.lab.model.world import Series, Step

from .expectation_harness import sources, statements

FIGURES = {"a": 4.0, "b": 5.0, "green": 0.2, "blue": 0.1, "red": 0.0, "black": 0.0}


def measure(subject, quantity, compare):
    value = FIGURES.get(subject.name)
    return None if value is None else Observation(value, 7, 30)


def expand(subject):
    return [Subject(subject.kind, name) for name in ("a", "b")] if subject.each else [subject]


@pytest.mark.parametrize(
    ("claim", "held"),
    [
        ("router a outstanding <= 4", True),
        ("router a outstanding < 4", False),
        ("router a outstanding >= 4", True),
        ("router a outstanding > 4", False),
        ("router a outstanding = 4", True),
        ("router b outstanding = 4", False),
        ("each router outstanding <= 4", False),
        ("each router outstanding <= 5", True),
        ("router c outstanding <= 4", None),
        ("router c outstanding <= 4 and router a outstanding <= 3", False),
        ("router c outstanding <= 4 and router a outstanding <= 4", None),
        ("router c outstanding <= 4 or router a outstanding <= 4", True),
        ("router c outstanding <= 4 or router a outstanding <= 3", None),
        ("not router a outstanding <= 3", True),
        ("not router a outstanding <= 4", False),
        ("not router c outstanding <= 4", None),
        ("not (router a outstanding <= 3 or router b outstanding <= 4)", True),
        ("tenant green refused before tenant blue", True),
        ("tenant blue refused before tenant green", False),
        ("tenant red refused before tenant green", False),
        ("tenant green refused before tenant red", True),
        ("tenant red refused before tenant black", None),
        ("tenant c refused before tenant green", None),
        ("tenant c advised wait <= 1 s", True),
        ("tenant c advised wait >= 1 s", None),
    ],
)
def test_evaluates_claim_from_measured_figures(claim, held):
    (statement,) = parse(f"expect {claim}", "f")
    assert evaluate(statement.claim, measure, expand).held is held


def evaluations_by_seed(*held):
    return [
        (seed, Evaluation(value, f"seed {seed}", excess=float(seed))) for seed, value in enumerate(held, 1)
    ]


@pytest.mark.parametrize(
    ("held", "outcome", "words"),
    [
        ((True, True, True), Outcome.HOLDS, "seed 3"),
        ((False, False, False), Outcome.FAILS, "seed 3"),
        ((True, False, True), Outcome.UNDECIDED, "within the noise"),
        ((True, None, True), Outcome.UNDECIDED, "seed 2"),
        ((False, None, False), Outcome.UNDECIDED, "seed 2"),
    ],
)
def test_verdict_needs_agreement_of_all_seeds(held, outcome, words):
    verdict = combine_seeds(evaluations_by_seed(*held))
    assert verdict.outcome is outcome
    assert words in verdict.reason


MARKS = [
    (50_000, "lost", "north"),
    (70_000, "shrinking", ""),
    (80_000, "shrunk", ""),
    (90_000, "returns", "north"),
]


@pytest.mark.parametrize(
    ("condition", "found"),
    [
        (Condition(), [(40_000, 110_000)]),
        (Condition(load=2.0), [(50_000, 110_000)]),
        (Condition(lost="north"), [(50_000, 90_000)]),
        (Condition(lost="north", settled=30_000), [(80_000, 90_000)]),
        (Condition(lost="north", settled=50_000), []),
        (Condition(lost="south"), []),
        (Condition(shrink=0.5), [(70_000, 80_000)]),
        (Condition(shrink=0.5, lost="north"), [(70_000, 80_000)]),
        (Condition(shrink=0.5, event=Event.SHRUNK, within=10_000), [(80_000, 90_000)]),
        (Condition(shrink=0.5, event=Event.SHRINKING, within=5_000), [(70_000, 75_000)]),
        (
            Condition(lost="north", event=Event.SITE_RETURNS, event_subject="north", within=90_000),
            [(90_000, 110_000)],
        ),
        (
            Condition(lost="north", event=Event.SITE_LOST, event_subject="north", within=3_000),
            [(50_000, 53_000)],
        ),
        (Condition(release=True), []),
    ],
)
def test_matching_spans_follow_recorded_events(condition, found):
    assert matching_spans(condition, MARKS, 110_000 + COOL_DOWN) == found


def test_intersect_returns_common_spans():
    assert intersect([(0, 10), (20, 30)], [(5, 25)]) == [(5, 10), (20, 25)]


@pytest.mark.parametrize(
    ("condition", "steps"),
    [
        (Condition(), []),
        (Condition(load=2.0, surge="blue", surge_factor=3.0), ["load", "surge"]),
        (Condition(lost="north"), ["lose"]),
        (
            Condition(lost="north", event=Event.SITE_RETURNS, event_subject="north", within=10),
            ["lose", "restore"],
        ),
        (
            Condition(shrink=0.5, planners_gone=True, below_down=True),
            ["planners-gone", "below-down", "shrink"],
        ),
        (Condition(release=True), ["release"]),
    ],
)
def test_script_has_steps_of_condition(condition, steps):
    scenario = build_script(condition, sources().setting)
    assert [step.action for step in scenario.steps] == steps
    assert scenario.until > SITUATION_BEGIN + COOL_DOWN


def test_sum_series_adds_values_at_every_change():
    a, b = Series(), Series()
    for series, changes in ((a, [(10, 1), (30, 0)]), (b, [(20, 2), (30, 5)])):
        for at, value in changes:
            series.set(at, float(value))
    assert sum_series([a, b]).within((0, 40)) == [(0, 0.0), (10, 1.0), (20, 3.0), (30, 5.0)]


STEPS = tuple(Step(at * SECOND, what) for at, what in enumerate(("a", "b", "c", "d"), 3))


def test_shrink_reduces_case_as_long_as_it_fails():
    (statement,) = statements("router 1 outstanding <= 4")
    cases_run = []

    def run_cases(cases):
        cases_run.extend(cases)
        has_step_b = ["b" in {step.action for step in case.script.steps} for case in cases]
        return [Evaluation(not fails, "5 against 4", 5.0, 4.0, 6 * SECOND, 0.25) for fails in has_step_b]

    case = Case(sources().setting, Script(STEPS, 20 * SECOND), 1)
    smallest, evaluation = shrink(case, Evaluation(False, "x", at=9 * SECOND), statement, run_cases, 90)
    assert [step.action for step in smallest.script.steps] == ["b"]
    assert evaluation.held is False
    assert smallest.script.until < 8 * SECOND
    assert len(cases_run) <= 90
    # The statement does not name the other router, so that it is taken out.
    assert [router.number for router in smallest.setting.routers()] == [1]
    assert smallest.removed[-1].startswith("profile")


def test_shrink_stops_at_run_limit():
    (statement,) = statements("router 1 outstanding <= 4")
    cases_run = []

    def run_cases(cases):
        cases_run.extend(cases)
        return [Evaluation(False, "x", at=SECOND) for _ in cases]

    shrink(
        Case(sources().setting, Script(STEPS, 20 * SECOND), 1),
        Evaluation(False, "x"),
        statement,
        run_cases,
        3,
    )
    assert len(cases_run) == 3


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("the fleet out at once <= 0 while a release runs", "most_out"),
        ("the fleet calls below <= 1", "calls_out"),
        ("the fleet served >= 1 %", "cores"),
        ("tenant blue refused before tenant green", "quota_per_s"),
        ("the fleet advised wait <= 1 ms", "max_retry_after_s"),
    ],
)
def test_candidate_changes_start_with_most_relevant_setting(line, key):
    (statement,) = statements(line)
    assert candidate_changes(statement, sources())[0].path[-1] == key


def test_attributes_failure_to_change_that_improves_it_most():
    (statement,) = statements("the fleet served >= 90 %")
    usual_cores = sources().value("config", ("settings", "family_info", "cores"))

    def run_changed(changed):
        return [evaluation_of(settings) for settings in changed]

    def evaluation_of(settings):
        if settings.config["settings"]["family_info"]["cores"] > usual_cores:
            return Evaluation(True, "91%", excess=-0.2)
        if settings.config["settings"]["family_info"]["cores"] < usual_cores:
            return None
        return Evaluation(False, "50%", excess=0.4)

    change, evaluation = attribute_change(
        statement, Evaluation(False, "40%", excess=0.5), sources(), run_changed
    )
    assert change.path[-1] == "cores"
    assert change.new == 2 * usual_cores
    assert evaluation.held
    assert (
        attribute_change(
            statement, Evaluation(False, "x", excess=0.1), sources(), lambda changed: [None for _ in changed]
        )
        is None
    )


def test_measures_define_their_subject_kinds():
    assert SubjectKind.GROUP in Measure.OUT.definition.subject_kinds
    assert SubjectKind.GROUP not in Measure.SERVED.definition.subject_kinds
