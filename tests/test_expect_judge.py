"""From figures to verdicts, and what is searched of a failure: tables, with no play."""

import pytest

from birchslip.expect.judge import Outcome, Said, verdict, weigh
from birchslip.expect.measures import Seen, together
from birchslip.expect.parse import parse
from birchslip.expect.search import Case, blame, shrink, suspects
from birchslip.expect.situations import AFTER, AT, Script, both, script, spans
from birchslip.expect.words import Event, Kind, Measure, Subject, When
from birchslip.lab.model.clock import SECOND
from birchslip.lab.model.world import Series, Step

from .expectdesk import sources, statements

FIGURES = {"a": 4.0, "b": 5.0, "green": 0.2, "blue": 0.1, "red": 0.0, "black": 0.0}


def measure(subject, of, compare):
    value = FIGURES.get(subject.name)
    return None if value is None else Seen(value, 7, 30)


def some(subject):
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
def test_a_claim_is_weighed_by_its_figures(claim, held):
    (one,) = parse(f"expect {claim}", "f")
    assert weigh(one.claim, measure, some).held is held


def said(*held):
    return [(seed, Said(one, f"seed {seed}", over=float(seed))) for seed, one in enumerate(held, 1)]


@pytest.mark.parametrize(
    ("held", "outcome", "words"),
    [
        ((True, True, True), Outcome.HOLDS, "seed 3"),
        ((False, False, False), Outcome.FAILS, "seed 3"),
        ((True, False, True), Outcome.UNTOLD, "within the noise"),
        ((True, None, True), Outcome.UNTOLD, "seed 2"),
        ((False, None, False), Outcome.UNTOLD, "seed 2"),
    ],
)
def test_no_verdict_hangs_on_one_draw(held, outcome, words):
    made = verdict(said(*held))
    assert made.outcome is outcome
    assert words in made.why


MARKS = [
    (50_000, "lost", "north"),
    (70_000, "shrinking", ""),
    (80_000, "shrunk", ""),
    (90_000, "returns", "north"),
]


@pytest.mark.parametrize(
    ("when", "found"),
    [
        (When(), [(40_000, 110_000)]),
        (When(load=2.0), [(50_000, 110_000)]),
        (When(lost="north"), [(50_000, 90_000)]),
        (When(lost="north", settled=30_000), [(80_000, 90_000)]),
        (When(lost="north", settled=50_000), []),
        (When(lost="south"), []),
        (When(shrink=0.5), [(70_000, 80_000)]),
        (When(shrink=0.5, lost="north"), [(70_000, 80_000)]),
        (When(shrink=0.5, event=Event.SHRUNK, within=10_000), [(80_000, 90_000)]),
        (When(shrink=0.5, event=Event.SHRINKING, within=5_000), [(70_000, 75_000)]),
        (When(lost="north", event=Event.SITE_RETURNS, whom="north", within=90_000), [(90_000, 110_000)]),
        (When(lost="north", event=Event.SITE_LOST, whom="north", within=3_000), [(50_000, 53_000)]),
        (When(release=True), []),
    ],
)
def test_a_situation_is_where_it_truly_was(when, found):
    assert spans(when, MARKS, 110_000 + AFTER) == found


def test_spans_are_where_both_are():
    assert both([(0, 10), (20, 30)], [(5, 25)]) == [(5, 10), (20, 25)]


@pytest.mark.parametrize(
    ("when", "steps"),
    [
        (When(), []),
        (When(load=2.0, surge="blue", times=3.0), ["load", "surge"]),
        (When(lost="north"), ["lose"]),
        (When(lost="north", event=Event.SITE_RETURNS, whom="north", within=10), ["lose", "restore"]),
        (When(shrink=0.5, planners_gone=True, below_down=True), ["planners-gone", "below-down", "shrink"]),
        (When(release=True), ["release"]),
    ],
)
def test_a_script_brings_the_situation_about(when, steps):
    told = script(when, sources().setting)
    assert [step.what for step in told.steps] == steps
    assert told.until > AT + AFTER


def test_series_add_up_at_every_moment():
    a, b = Series(), Series()
    for series, changes in ((a, [(10, 1), (30, 0)]), (b, [(20, 2), (30, 5)])):
        for at, value in changes:
            series.set(at, float(value))
    assert together([a, b]).within((0, 40)) == [(0, 0.0), (10, 1.0), (20, 3.0), (30, 5.0)]


STEPS = tuple(Step(at * SECOND, what) for at, what in enumerate(("a", "b", "c", "d"), 3))


def test_a_history_is_cut_down_as_long_as_it_fails():
    (one,) = statements("router 1 outstanding <= 4")
    plays = []

    def fails(cases):
        plays.extend(cases)
        needed = ["b" in {step.what for step in case.script.steps} for case in cases]
        return [Said(not one, "5 against 4", 5.0, 4.0, 6 * SECOND, 0.25) for one in needed]

    case = Case(sources().setting, Script(STEPS, 20 * SECOND), 1)
    least, then = shrink(case, Said(False, "x", at=9 * SECOND), one, fails, 90)
    assert [step.what for step in least.script.steps] == ["b"]
    assert then.held is False
    assert least.script.until < 8 * SECOND
    assert len(plays) <= 90
    assert [router.number for router in least.setting.routers()] == [1]  # the other is not named
    assert least.without[-1].startswith("profile")


def test_no_more_plays_than_are_allowed():
    (one,) = statements("router 1 outstanding <= 4")
    plays = []

    def fails(cases):
        plays.extend(cases)
        return [Said(False, "x", at=SECOND) for _ in cases]

    shrink(Case(sources().setting, Script(STEPS, 20 * SECOND), 1), Said(False, "x"), one, fails, 3)
    assert len(plays) == 3


@pytest.mark.parametrize(
    ("line", "place"),
    [
        ("the fleet out at once <= 0 while a release runs", "most_out"),
        ("the fleet calls below <= 1", "calls_out"),
        ("the fleet served >= 1 %", "cores"),
        ("tenant blue refused before tenant green", "quota_per_s"),
        ("the fleet advised wait <= 1 ms", "max_retry_after_s"),
    ],
)
def test_the_likely_values_are_tried_first(line, place):
    (one,) = statements(line)
    assert suspects(one, sources())[0].path[-1] == place


def test_the_change_that_takes_the_figure_back_is_blamed():
    (one,) = statements("the fleet served >= 90 %")
    usual = sources().value("config", ("settings", "family_info", "cores"))

    def one_by_one(some):
        return [play(then) for then in some]

    def play(then):
        if then.config["settings"]["family_info"]["cores"] > usual:
            return Said(True, "91%", over=-0.2)
        if then.config["settings"]["family_info"]["cores"] < usual:
            return None
        return Said(False, "50%", over=0.4)

    change, then = blame(one, Said(False, "40%", over=0.5), sources(), one_by_one)
    assert change.path[-1] == "cores"
    assert change.then == 2 * usual
    assert then.held
    assert blame(one, Said(False, "x", over=0.1), sources(), lambda some: [None for _ in some]) is None


def test_measures_say_of_whom_they_are_told():
    assert Kind.GROUP in Measure.OUT.form.kinds
    assert Kind.GROUP not in Measure.SERVED.form.kinds
