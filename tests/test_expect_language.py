"""The expectation language: parsing, error messages and hostile text."""

import re

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from birchslip.errors import InvalidInputError
from birchslip.expect.check import read_statements
from birchslip.expect.parse import MAX_STATEMENTS, ExpectationSyntaxError, parse
from birchslip.expect.sources import Sources
from birchslip.expect.words import (
    AllOf,
    AnyOf,
    Bound,
    Comparison,
    Condition,
    Event,
    Measure,
    Not,
    RefusalOrder,
    atoms,
)

from .expectation_harness import sources


def parse_one(text):
    (statement,) = parse(text, "f.expect")
    return statement


@pytest.mark.parametrize(
    ("text", "measure", "value", "compare"),
    [
        ("router 1 outstanding <= 40", Measure.OUTSTANDING, 40, Comparison.AT_MOST),
        ("tenant blue refused < 5 %", Measure.REFUSED, 0.05, Comparison.UNDER),
        ("tenant blue refused < 0.05", Measure.REFUSED, 0.05, Comparison.UNDER),
        ("profile order served >= 90 percent", Measure.SERVED, 0.9, Comparison.AT_LEAST),
        ("each profile earned >= 0.5", Measure.EARNED, 0.5, Comparison.AT_LEAST),
        ("site north advised wait <= 250 ms", Measure.ADVISED, 2_500, Comparison.AT_MOST),
        ("the fleet advised wait <= 1.5 s", Measure.ADVISED, 15_000, Comparison.AT_MOST),
        ("the fleet calls below = 3", Measure.CALLS, 3, Comparison.EXACTLY),
        ("app server toy-1 share of room > 0.5", Measure.ROOM, 0.5, Comparison.OVER),
        ("group fleet out at once <= 1", Measure.OUT, 1, Comparison.AT_MOST),
        ('each tenant tries each <= 2 # "not" a word of it', Measure.TRIES, 2, Comparison.AT_MOST),
    ],
)
def test_parses_bound_into_unit_of_measure(text, measure, value, compare):
    claim = parse_one(f"expect {text}").claim
    assert (claim.measure, claim.compare) == (measure, compare)
    assert claim.value == pytest.approx(value)


@pytest.mark.parametrize(
    ("text", "condition"),
    [
        ("", Condition()),
        ("always", Condition(always=True)),
        ("at 1.5 of capacity", Condition(load=1.5)),
        ("while site north is lost for 2 s", Condition(lost="north", settled=20_000)),
        ("while the fleet is shrinking", Condition(shrink=0.5)),
        ("while the fleet is shrinking to 40 %, at 0.9 of capacity", Condition(shrink=0.4, load=0.9)),
        ("while a release runs", Condition(release=True)),
        ('while tenant "blue" surges by 4', Condition(surge="blue", surge_factor=4.0)),
        (
            "while the planners are gone while the service below is down",
            Condition(planners_gone=True, below_down=True),
        ),
        (
            "within 500 ms of site north returning",
            Condition(lost="north", within=5_000, event=Event.SITE_RETURNS, event_subject="north"),
        ),
        ("within 1 s of the fleet having shrunk", Condition(shrink=0.5, within=10_000, event=Event.SHRUNK)),
    ],
)
def test_condition_round_trips_through_description(text, condition):
    statement = parse_one(f"expect the fleet served >= 1 % {text}")
    assert statement.condition == condition
    text_again = statement.condition.describe()
    assert (
        text_again == "as usual"
        or parse_one(f"expect the fleet served >= 1 % {text_again}").condition == condition
    )


def test_parses_nested_claims_with_operator_precedence():
    statement = parse_one(
        "expect a: the fleet served >= 1 % and (tenant x refused before tenant y"
        " or not the fleet out at once > 1) and the fleet tries each < 2"
    )
    assert isinstance(statement.claim, AllOf)
    assert len(statement.claim.claims) == 3
    assert isinstance(statement.claim.claims[1], AnyOf)
    assert isinstance(statement.claim.claims[1].claims[1], Not)
    assert [type(atom) for atom in atoms(statement.claim)] == [Bound, RefusalOrder, Bound, Bound]
    assert parse_one(f"expect {statement.claim.describe()}").claim == statement.claim


@pytest.mark.parametrize(
    ("text", "at", "words"),
    [
        ("expect router 1 outstandng <= 4", "1:17", "was 'outstanding' meant?"),
        ("expect router 1 outstanding <=", "1:31", "the file ends too soon; expected a number"),
        ("expect tenant a refused <= 5", "1:28", "a share is at most 1, not 5; was 5% meant?"),
        ("expect tenant a refused <= 101 %", "1:28", "a share is at most 100%, not 101%"),
        ("expect tenant a refused <= 5 ms", "1:28", "'ms' is a unit of time"),
        ("expect router 1 outstanding <= 5 %", "1:32", "'%' is a unit of shares"),
        (
            "expect the fleet advised wait <= 5",
            "1:34",
            "'advised wait' is a time and needs the unit ms, s or min after 5",
        ),
        ("expect group g refused <= 1 %", "1:8", "but not for group"),
        ("expect router outstanding <= 4", "1:8", "'router' needs a name after it or 'each' before it"),
        ("expect each router 1 outstanding <= 4", "1:13", "'router' has both 'each' and a name"),
        ("expect tenant a refused before tenant a", "1:32", "before itself"),
        ("expect the fleet served >= 1 % at 0 of capacity", "1:35", "more than 0"),
        (
            "expect the fleet served >= 1 % at 1 of capacity at 2 of capacity",
            "1:52",
            "the condition gives 'load' twice",
        ),
        (
            "expect the fleet served >= 1 % while the fleet is shrinking to 2",
            "1:64",
            "between 0 and 1, not 2",
        ),
        (
            "expect the fleet served >= 1 % within 900 s of a release beginning",
            "1:39",
            "900 s is too long; at most 10 min are allowed",
        ),
        ("expect the fleet served >= 1 % always at 1 of capacity", "1:1", "'always' can't be combined"),
        ("expect the fleet served >= 1 % while site x is lots", "1:48", "was 'lost' meant?"),
        (
            "expect\n  a: the fleet served >= 1 %\nexpect a: the fleet served >= 2 %",
            "3:1",
            "the name 'a' is already used at f.expect:1:1",
        ),
        ("expect " + "not " * 70 + "the fleet served >= 1 %", "1:1", "at most 64 levels are allowed"),
        ("expekt the fleet served >= 1 %", "1:1", "was 'expect' meant?"),
        ("\x00", "1:1", "can't be read here"),
    ],
)
def test_syntax_error_names_position_and_hint(text, at, words):
    with pytest.raises(ExpectationSyntaxError, match=re.escape(words)) as raised:
        parse(text, "f.expect")
    assert raised.value.location.describe() == f"f.expect:{at}"


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("site nort served >= 1 %", "no site is named 'nort', was 'north' meant?"),
        ("tenant north refused <= 1 %", "no tenant is named 'north', which is the name of: site, group"),
        ("router 9 outstanding <= 1", "no router is named '9'; expected one of 1, 2"),
        ("group no-such out at once <= 1", "no group is named"),
        (
            "the fleet served >= 1 % while site blue is lost",
            "no site is named 'blue', which is the name of: tenant",
        ),
        ("the fleet served >= 1 % while tenant bleu surges", "was 'blue' meant?"),
    ],
)
def test_rejects_names_unknown_to_settings(tmp_path, text, words):
    path = tmp_path / "a.expect"
    path.write_text(f"expect {text}\n")
    with pytest.raises(InvalidInputError, match=re.escape(words)):
        read_statements([path], sources())


def test_reports_errors_of_all_files_together(tmp_path):
    (tmp_path / "a.expect").write_text("expect x: the fleet served >= 1 %\nexpect site nort served >= 1 %")
    (tmp_path / "b.expect").write_text("expect x: the fleet served >= 1 %")
    (tmp_path / "c.expect").write_bytes(b"\xff")
    (tmp_path / "d.expect").write_text("# nothing yet\n")
    with pytest.raises(InvalidInputError) as raised:
        read_statements([tmp_path], sources())
    errors = str(raised.value)
    assert len(errors.splitlines()) == 3
    assert "nort" in errors
    assert "is already used at" in errors
    assert "the file is not UTF-8" in errors
    assert read_statements([tmp_path / "d.expect"], sources()) == ([], [str(tmp_path / "d.expect")])


WORDS = [
    "expect",
    "router",
    "1",
    "outstanding",
    "<=",
    "%",
    "(",
    ")",
    "and",
    "or",
    "not",
    "each",
    "tenant",
    "a:",
]


@settings(max_examples=200, deadline=None)
@given(st.one_of(st.text(max_size=200), st.lists(st.sampled_from(WORDS), max_size=40).map(" ".join)))
@example("expect " + "(" * 5_000)
@example('expect "' + "x" * 5_000)
@example("expect a refused <= 1" + "0" * 5_000 + " %")
def test_hostile_text_parses_or_fails_with_position(text):
    try:
        parsed = parse(text, "f")
    except ExpectationSyntaxError as error:
        assert error.location.line >= 1
        assert error.location.column >= 1
        assert len(str(error)) < 600
    else:
        assert len(parsed) <= MAX_STATEMENTS


def test_rejects_invalid_world_file():
    valid = sources()
    wrong = {"routers": [{"number": 1, "habit": "odd"}]}
    with pytest.raises(InvalidInputError, match="no habit is named 'odd'"):
        _ = Sources(valid.config, valid.fleet, wrong).setting
    with pytest.raises(InvalidInputError, match="unknown field"):
        _ = Sources(valid.config, valid.fleet, {"speed": 1}).setting
