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
from birchslip.expect.mutate import Detection, mutate, mutations
from birchslip.expect.names import KnownNames
from birchslip.expect.report import report_lines
from birchslip.expect.search import Change
from birchslip.lab.model.layout import layout_schema

from .broken import BROKEN
from .desk import command
from .expectation_harness import EXAMPLES, EXPECTATIONS, ROOT, sources, statements

SETTINGS_OPTIONS = [
    "--config",
    str(EXAMPLES / "fleet-server.json"),
    "--fleet",
    str(EXAMPLES / "fleet.json"),
    "--world",
    str(EXAMPLES / "world.json"),
]
SOCKET_GUARD = """
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


def with_setting(which, path, value):
    contents = copy.deepcopy(getattr(sources(), which))
    node = contents
    for key in path[:-1]:
        node = node.setdefault(key, {}) if isinstance(node, dict) else node[key]
    node[path[-1]] = value
    return replace(sources(), **{which: contents})


def check_result(settings, expected, **options):
    """Exit code and reason, as the command would give them."""
    try:
        expectations = statements(*expected)
        names = KnownNames(settings.setting)
        name_errors = [names.find_error(one) for one in expectations if names.find_error(one)]
        if name_errors:
            return 2, name_errors[0]
        report = Check(settings, expectations, **options).run()
    except InvalidInputError as error:
        return 2, str(error)
    return report.exit_code, "\n".join(report_lines(report))


@pytest.mark.parametrize(
    ("name", "which", "path", "value", "expected", "words"), BROKEN, ids=[one[0] for one in BROKEN]
)
def test_what_is_broken_is_found_with_its_reason_and_what_is_not_passes(
    name, which, path, value, expected, words
):
    is_contradiction = name == "a contradiction"
    if expected and not is_contradiction:
        assert check_result(sources(), expected, search=False)[0] == 0
    # Only where a setting is to be named by what a change of it does has it to be searched for.
    code, reason = check_result(with_setting(which, path, value), expected, search=words not in "xy")
    assert code != 0
    assert words in reason


def test_the_set_of_the_example_holds_and_opens_no_socket(tmp_path):
    words = [
        "expect",
        "check",
        str(EXPECTATIONS),
        *SETTINGS_OPTIONS,
        "--json",
        str(tmp_path / "r.json"),
        "--junit",
        str(tmp_path / "r.xml"),
    ]
    completed = subprocess.run(
        [sys.executable, "-c", SOCKET_GUARD, *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    report = json.loads((tmp_path / "r.json").read_text())
    assert report["fails"] == report["untold"] == 0
    assert report["holds"] == len(report["statements"]) > 15
    suites = JUnitXml.fromfile(str(tmp_path / "r.xml"))
    assert (suites.tests, suites.failures, suites.errors) == (report["holds"], 0, 0)


def test_a_failure_comes_with_a_history_and_a_setting(tmp_path):
    path = tmp_path / "a.expect"
    path.write_text("expect small: site south outstanding <= 5 while site north is lost\n")
    code, output, _ = command("expect", "explain", "small", str(path), *SETTINGS_OPTIONS)
    assert code == 1
    assert "a history that breaks it" in output
    assert "lose north" in output
    assert "the setting that bears most of it: fleet-server.json" in output
    assert "a.expect:1:1" in output
    report = [tmp_path / "r.json", tmp_path / "r.xml"]
    code, _, _ = command(
        "expect", "check", str(path), *SETTINGS_OPTIONS, "--json", str(report[0]), "--junit", str(report[1])
    )
    (one,) = json.loads(report[0].read_text())["statements"]
    assert (code, one["outcome"], one["by"], one["bound"]) == (1, "fails", "play", 5.0)
    assert one["value"] > 5
    assert JUnitXml.fromfile(str(report[1])).failures == 1


@pytest.mark.parametrize(
    ("words", "code", "text"),
    [
        (["list", str(EXPECTATIONS)], 0, "home-comes-first"),
        (["explain", "home-comes-furst", str(EXPECTATIONS)], 2, "was 'home-comes-first' meant?"),
        (["check", "no-such.expect"], 2, "No such file"),
        (["check", "docs"], 2, "no file ends in .expect"),
    ],
)
def test_the_commands_say_what_they_are_asked(words, code, text):
    got, out, error = command("expect", *words, *SETTINGS_OPTIONS)
    assert got == code
    assert text in out + error
    assert "Traceback" not in error


def test_a_condition_that_never_comes_true_is_told_and_not_passed():
    changed_sources = with_setting("fleet", ("groups",), [])
    (one,) = statements("the fleet served >= 1 % while a release runs")
    report = Check(changed_sources, [one]).run()
    assert report.exit_code == 2
    assert "never came true: the fleet file has no groups" in report.verdicts[one].reason


def test_what_holds_while_it_shrinks_may_fail_in_the_second_after():
    expectations = statements(
        "during: the fleet out at once <= 2 while the fleet is shrinking to 50 %",
        "after: the fleet out at once <= 1 within 1 s of the fleet having shrunk",
        "early: the fleet out at once <= 1 within 100 ms of the fleet shrinking",
    )
    report = Check(sources(), expectations, search=False).run()
    assert [one.outcome for one in report.verdicts.values()] == [Outcome.HOLDS, Outcome.FAILS, Outcome.HOLDS]


def test_what_is_always_to_hold_is_held_against_every_play():
    expectations = statements(
        "a: the fleet out at once <= 1 always",
        "b: the fleet out at once <= 2 always",
        "c: the fleet served >= 1 % while site north is lost",
    )
    verdicts = list(Check(sources(), expectations).run().verdicts.values())
    assert [one.outcome for one in verdicts] == [Outcome.FAILS, Outcome.HOLDS, Outcome.HOLDS]
    assert any("lose north" in line for line in verdicts[0].history)
    (alone,) = Check(sources(), expectations[:1]).run().verdicts.values()
    assert alone.outcome is Outcome.HOLDS  # nothing else is played


def test_the_same_files_and_seed_give_the_same_report_however_many_plays_run_at_a_time():
    expectations = statements(
        "tenant blue refused <= 30 % at 1.5 of capacity", "the fleet tries each <= 1.2 at 1.5 of capacity"
    )
    one_at_a_time, four_at_a_time = (
        list(report_lines(Check(sources(), expectations, search=False, jobs=jobs).run())) for jobs in (1, 4)
    )
    assert one_at_a_time == four_at_a_time


CHANGES = [  # what, as it is, as it is broken, who sees it
    (Change("fleet", ("vault", "kept"), 0.5, 2.0), Detection.REFUSED),
    (Change("fleet", ("groups", 0, "most_out"), 1, 0), Detection.CONFLICT),
    (Change("config", ("settings", "family_info", "cores"), 2, 1), Detection.FAILED),
    (Change("config", ("settings", "family_info", "key_kb"), 1.0, 4.0), Detection.NO_EFFECT),
    (Change("config", ("settings", "classes", 0, "aim_s"), 1.0, 0.9), Detection.UNBOUNDED),
]


def test_breaks_are_seen_or_listed_with_why():
    expectations = statements(
        "the fleet served >= 98 %",
        "the fleet served >= 1 % at 2 of capacity",
        "the fleet served >= 1 % while a release runs",
    )
    found = mutate(sources(), expectations, changes=[change for change, _ in CHANGES])
    assert [one.detection for one in found] == [detection for _, detection in CHANGES]
    assert found[0].detected_by.startswith("fleet.json")
    assert found[2].detected_by == expectations[0].name


def test_every_value_that_bears_on_routing_is_broken_and_no_address_is():
    places = {sources().path_label(one.file_kind, one.path) for one in mutations(sources())}
    assert "fleet-server.json: settings.tenants[blue].quota_per_s" in places
    assert "fleet.json: refuse" in places
    assert not any("address" in one or "listen" in one or "planner-1" in one for one in places)


def test_the_schema_in_the_repository_is_the_one_in_force():
    schema = json.loads((ROOT / "deploy" / "world.schema.json").read_text())
    assert schema == json.loads(json.dumps(layout_schema()))
