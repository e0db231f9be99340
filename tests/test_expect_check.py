"""Whole checks: the repository's own set, settings that are broken on purpose, reports, no socket."""

import copy
import json
import subprocess
import sys
from dataclasses import replace

import pytest
from junitparser import JUnitXml

from birchslip.errors import InvalidInputError
from birchslip.expect.check import Check
from birchslip.expect.judge import Outcome
from birchslip.expect.mutate import Seen, breaks, mutate
from birchslip.expect.names import Names
from birchslip.expect.report import lines
from birchslip.expect.search import Change
from birchslip.lab.model.layout import layout_schema

from .broken import BROKEN
from .desk import command
from .expectdesk import EXAMPLES, ROOT, SET, sources, statements

AGAINST = [
    "--config",
    str(EXAMPLES / "fleet-server.json"),
    "--fleet",
    str(EXAMPLES / "fleet.json"),
    "--world",
    str(EXAMPLES / "world.json"),
]
GUARD = """
import sys
def hook(event, args):
    if event.startswith("socket."):
        print("a socket:", event, file=sys.stderr)
        raise RuntimeError(event)
sys.addaudithook(hook)
from birchslip.cli import main
sys.argv[0] = "birchslip"
sys.exit(main())
"""


def changed(which, path, value):
    told = copy.deepcopy(getattr(sources(), which))
    at = told
    for part in path[:-1]:
        at = at.setdefault(part, {}) if isinstance(at, dict) else at[part]
    at[path[-1]] = value
    return replace(sources(), **{which: told})


def judged(told, expected, **more):
    """Exit code and reason, as the command would give them."""
    try:
        some = statements(*expected)
        names = Names(told.setting)
        wrong = [names.trouble(one) for one in some if names.trouble(one)]
        if wrong:
            return 2, wrong[0]
        report = Check(told, some, **more).run()
    except InvalidInputError as trouble:
        return 2, str(trouble)
    return report.code, "\n".join(lines(report))


@pytest.mark.parametrize(
    ("name", "which", "path", "value", "expected", "words"), BROKEN, ids=[one[0] for one in BROKEN]
)
def test_what_is_broken_is_found_with_its_reason_and_what_is_not_passes(
    name, which, path, value, expected, words
):
    clashes = name == "a contradiction"
    if expected and not clashes:
        assert judged(sources(), expected, search=False)[0] == 0
    # Only where a setting is to be named by what a change of it does has it to be searched for.
    code, reason = judged(changed(which, path, value), expected, search=words not in "xy")
    assert code != 0
    assert words in reason


def test_the_set_of_the_example_holds_and_opens_no_socket(tmp_path):
    words = [
        "expect",
        "check",
        str(SET),
        *AGAINST,
        "--json",
        str(tmp_path / "r.json"),
        "--junit",
        str(tmp_path / "r.xml"),
    ]
    done = subprocess.run(
        [sys.executable, "-c", GUARD, *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = json.loads((tmp_path / "r.json").read_text())
    assert told["fails"] == told["untold"] == 0
    assert told["holds"] == len(told["statements"]) > 15
    suites = JUnitXml.fromfile(str(tmp_path / "r.xml"))
    assert (suites.tests, suites.failures, suites.errors) == (told["holds"], 0, 0)


def test_a_failure_comes_with_a_history_and_a_setting(tmp_path):
    path = tmp_path / "a.expect"
    path.write_text("expect small: site south outstanding <= 5 while site north is lost\n")
    code, said, _ = command("expect", "explain", "small", str(path), *AGAINST)
    assert code == 1
    assert "a history that breaks it" in said
    assert "lose north" in said
    assert "the setting that bears most of it: fleet-server.json" in said
    assert "a.expect:1:1" in said
    report = [tmp_path / "r.json", tmp_path / "r.xml"]
    code, _, _ = command(
        "expect", "check", str(path), *AGAINST, "--json", str(report[0]), "--junit", str(report[1])
    )
    (one,) = json.loads(report[0].read_text())["statements"]
    assert (code, one["outcome"], one["by"], one["bound"]) == (1, "fails", "play", 5.0)
    assert one["value"] > 5
    assert JUnitXml.fromfile(str(report[1])).failures == 1


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["list", str(SET)], 0, "home-comes-first"),
        (["explain", "home-comes-furst", str(SET)], 2, "was 'home-comes-first' meant?"),
        (["check", "no-such.expect"], 2, "No such file"),
        (["check", "docs"], 2, "no file ends in .expect"),
    ],
)
def test_the_commands_say_what_they_are_asked(words, code, said):
    got, out, error = command("expect", *words, *AGAINST)
    assert got == code
    assert said in out + error
    assert "Traceback" not in error


def test_a_condition_that_never_comes_true_is_told_and_not_passed():
    told = changed("fleet", ("groups",), [])
    (one,) = statements("the fleet served >= 1 % while a release runs")
    report = Check(told, [one]).run()
    assert report.code == 2
    assert "never came true: the fleet file has no groups" in report.verdicts[one].why


def test_what_holds_while_it_shrinks_may_fail_in_the_second_after():
    some = statements(
        "during: the fleet out at once <= 2 while the fleet is shrinking to 50 %",
        "after: the fleet out at once <= 1 within 1 s of the fleet having shrunk",
        "early: the fleet out at once <= 1 within 100 ms of the fleet shrinking",
    )
    report = Check(sources(), some, search=False).run()
    assert [one.outcome for one in report.verdicts.values()] == [Outcome.HOLDS, Outcome.FAILS, Outcome.HOLDS]


def test_what_is_always_to_hold_is_held_against_every_play():
    some = statements(
        "a: the fleet out at once <= 1 always",
        "b: the fleet out at once <= 2 always",
        "c: the fleet served >= 1 % while site north is lost",
    )
    verdicts = list(Check(sources(), some).run().verdicts.values())
    assert [one.outcome for one in verdicts] == [Outcome.FAILS, Outcome.HOLDS, Outcome.HOLDS]
    assert any("lose north" in line for line in verdicts[0].history)
    (alone,) = Check(sources(), some[:1]).run().verdicts.values()
    assert alone.outcome is Outcome.HOLDS  # nothing else is played


def test_the_same_files_and_seed_give_the_same_report_however_many_plays_run_at_a_time():
    some = statements(
        "tenant blue refused <= 30 % at 1.5 of capacity", "the fleet tries each <= 1.2 at 1.5 of capacity"
    )
    a, b = (list(lines(Check(sources(), some, search=False, jobs=jobs).run())) for jobs in (1, 4))
    assert a == b


CHANGES = [  # what, as it is, as it is broken, who sees it
    (Change("fleet", ("vault", "kept"), 0.5, 2.0), Seen.REFUSED),
    (Change("fleet", ("groups", 0, "most_out"), 1, 0), Seen.CONFLICT),
    (Change("config", ("settings", "family_info", "cores"), 2, 1), Seen.FAILED),
    (Change("config", ("settings", "family_info", "key_kb"), 1.0, 4.0), Seen.SAME),
    (Change("config", ("settings", "classes", 0, "aim_s"), 1.0, 0.9), Seen.UNBOUND),
]


def test_breaks_are_seen_or_listed_with_why():
    some = statements(
        "the fleet served >= 98 %",
        "the fleet served >= 1 % at 2 of capacity",
        "the fleet served >= 1 % while a release runs",
    )
    found = mutate(sources(), some, some=[change for change, _ in CHANGES])
    assert [one.seen for one in found] == [seen for _, seen in CHANGES]
    assert found[0].by.startswith("fleet.json")
    assert found[2].by == some[0].name


def test_every_value_that_bears_on_routing_is_broken_and_no_address_is():
    places = {sources().place(one.which, one.path) for one in breaks(sources())}
    assert "fleet-server.json: settings.tenants[blue].quota_per_s" in places
    assert "fleet.json: refuse" in places
    assert not any("address" in one or "listen" in one or "planner-1" in one for one in places)


def test_the_schema_in_the_repository_is_the_one_in_force():
    told = json.loads((ROOT / "deploy" / "world.schema.json").read_text())
    assert told == json.loads(json.dumps(layout_schema()))
