"""Complete checks: the example expectations, deliberately broken settings, reports and commands."""

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

from .broken_settings import BROKEN_SETTINGS
from .decision_harness import run_command
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


def with_setting(file_kind, path, value):
    contents = copy.deepcopy(getattr(sources(), file_kind))
    node = contents
    for key in path[:-1]:
        node = node.setdefault(key, {}) if isinstance(node, dict) else node[key]
    node[path[-1]] = value
    return replace(sources(), **{file_kind: contents})


def check_result(settings, expected, **options):
    """Return exit code and output as the command would give them."""
    try:
        expectations = statements(*expected)
        names = KnownNames(settings.setting)
        name_errors = [
            names.find_error(statement) for statement in expectations if names.find_error(statement)
        ]
        if name_errors:
            return 2, name_errors[0]
        report = Check(settings, expectations, **options).run()
    except InvalidInputError as error:
        return 2, str(error)
    return report.exit_code, "\n".join(report_lines(report))


@pytest.mark.parametrize(
    ("name", "file_kind", "path", "value", "expected", "words"),
    BROKEN_SETTINGS,
    ids=[one[0] for one in BROKEN_SETTINGS],
)
def test_reports_broken_settings_with_reason_and_passes_intact_ones(
    name, file_kind, path, value, expected, words
):
    is_contradiction = name == "a contradiction"
    if expected and not is_contradiction:
        assert check_result(sources(), expected, search=False)[0] == 0
    # The search is needed only in cases that expect the name of the responsible setting.
    code, reason = check_result(with_setting(file_kind, path, value), expected, search=words not in "xy")
    assert code != 0
    assert words in reason


def test_example_expectations_hold_without_opening_socket(tmp_path):
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


def test_failure_is_reported_with_history_and_responsible_setting(tmp_path):
    path = tmp_path / "a.expect"
    path.write_text("expect small: site south outstanding <= 5 while site north is lost\n")
    code, output, _ = run_command("expect", "explain", "small", str(path), *SETTINGS_OPTIONS)
    assert code == 1
    assert "the smallest run that was found to fail:" in output
    assert "lose north" in output
    assert "the setting that affects the failure most: fleet-server.json" in output
    assert "a.expect:1:1" in output
    json_report, junit_report = tmp_path / "r.json", tmp_path / "r.xml"
    code, _, _ = run_command(
        "expect",
        "check",
        str(path),
        *SETTINGS_OPTIONS,
        "--json",
        str(json_report),
        "--junit",
        str(junit_report),
    )
    (statement,) = json.loads(json_report.read_text())["statements"]
    assert (code, statement["outcome"], statement["by"], statement["bound"]) == (1, "fails", "play", 5.0)
    assert statement["value"] > 5
    assert JUnitXml.fromfile(str(junit_report)).failures == 1


@pytest.mark.parametrize(
    ("words", "code", "text"),
    [
        (["list", str(EXPECTATIONS)], 0, "home-comes-first"),
        (["explain", "home-comes-furst", str(EXPECTATIONS)], 2, "was 'home-comes-first' meant?"),
        (["check", "no-such.expect"], 2, "No such file"),
        (["check", "docs"], 2, "docs: the folder holds no file whose name ends in .expect"),
    ],
)
def test_commands_print_result_and_exit_code_without_traceback(words, code, text):
    got, out, error = run_command("expect", *words, *SETTINGS_OPTIONS)
    assert got == code
    assert text in out + error
    assert "Traceback" not in error


def test_condition_that_never_comes_true_is_undecided():
    changed_sources = with_setting("fleet", ("groups",), [])
    (statement,) = statements("the fleet served >= 1 % while a release runs")
    report = Check(changed_sources, [statement]).run()
    assert report.exit_code == 2
    assert "never came true: the fleet file has no groups" in report.verdicts[statement].reason


def test_distinguishes_shrinking_fleet_from_time_before_and_after():
    expectations = statements(
        "during: the fleet out at once <= 2 while the fleet is shrinking to 50 %",
        "after: the fleet out at once <= 1 within 1 s of the fleet having shrunk",
        "early: the fleet out at once <= 1 within 100 ms of the fleet shrinking",
    )
    report = Check(sources(), expectations, search=False).run()
    assert [verdict.outcome for verdict in report.verdicts.values()] == [
        Outcome.HOLDS,
        Outcome.FAILS,
        Outcome.HOLDS,
    ]


def test_always_is_checked_in_every_scenario_run():
    expectations = statements(
        "a: the fleet out at once <= 1 always",
        "b: the fleet out at once <= 2 always",
        "c: the fleet served >= 1 % while site north is lost",
    )
    verdicts = list(Check(sources(), expectations).run().verdicts.values())
    assert [verdict.outcome for verdict in verdicts] == [Outcome.FAILS, Outcome.HOLDS, Outcome.HOLDS]
    assert any("lose north" in line for line in verdicts[0].history)
    (alone,) = Check(sources(), expectations[:1]).run().verdicts.values()
    assert alone.outcome is Outcome.HOLDS  # no other scenario is run


def test_report_does_not_depend_on_number_of_parallel_runs():
    expectations = statements(
        "tenant blue refused <= 30 % at 1.5 of capacity", "the fleet tries each <= 1.2 at 1.5 of capacity"
    )
    one_at_a_time, four_at_a_time = (
        list(report_lines(Check(sources(), expectations, search=False, jobs=jobs).run())) for jobs in (1, 4)
    )
    assert one_at_a_time == four_at_a_time


CHANGES = [  # the mutation, and how it is detected
    (Change("fleet", ("vault", "kept"), 0.5, 2.0), Detection.REFUSED),
    (Change("fleet", ("groups", 0, "most_out"), 1, 0), Detection.CONFLICT),
    (Change("config", ("settings", "family_info", "cores"), 2, 1), Detection.FAILED),
    (Change("config", ("settings", "family_info", "key_kb"), 1.0, 4.0), Detection.NO_EFFECT),
    (Change("config", ("settings", "classes", 0, "aim_s"), 1.0, 0.9), Detection.UNBOUNDED),
]


def test_mutations_are_detected_or_listed_with_reason():
    expectations = statements(
        "the fleet served >= 98 %",
        "the fleet served >= 1 % at 2 of capacity",
        "the fleet served >= 1 % while a release runs",
    )
    results = mutate(sources(), expectations, changes=[change for change, _ in CHANGES])
    assert [result.detection for result in results] == [detection for _, detection in CHANGES]
    assert results[0].detected_by.startswith("fleet.json")
    assert results[2].detected_by == expectations[0].name


def test_mutates_routing_values_but_no_addresses():
    paths = {sources().path_label(change.file_kind, change.path) for change in mutations(sources())}
    assert "fleet-server.json: settings.tenants[blue].quota_per_s" in paths
    assert "fleet.json: refuse" in paths
    assert not any("address" in path or "listen" in path or "planner-1" in path for path in paths)


def test_world_schema_file_matches_layout():
    schema = json.loads((ROOT / "deploy" / "world.schema.json").read_text())
    assert schema == json.loads(json.dumps(layout_schema()))
