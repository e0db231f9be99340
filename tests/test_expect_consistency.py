"""Contradicting settings: every rule, and that the example settings have none."""

import pytest

from birchslip.expect.check import Check
from birchslip.expect.consistency import RULES, find_conflicts
from birchslip.expect.report import report_lines

from .expectation_harness import sources, statements
from .test_expect_check import with_setting

SETTINGS = ("settings",)
CASES = [  # file, path, value, the ends of the reported paths
    (
        "config",
        (*SETTINGS, "classes", 0, "aim_s"),
        5.0,
        ["classes[lookup].aim_s", "classes[lookup].hard_limit_s"],
    ),
    (
        "config",
        (*SETTINGS, "classes", 1, "window_s"),
        3.9,
        ["classes[order].window_s", "classes[order].hard_limit_s"],
    ),
    (
        "config",
        (*SETTINGS, "family_info", "class_skip_worth"),
        [0.0, 0.3],
        ["class_skip_worth", "classes[order].effect"],
    ),
    (
        "config",
        (*SETTINGS, "family_info", "class_skip_worth"),
        [0.3, 0.0],
        ["class_skip_worth", "profiles[lookup].calls"],
    ),
    ("config", (*SETTINGS, "contract", "drain_grace_s"), 3.1, ["drain_grace_s", "stop_ms"]),
    ("config", (*SETTINGS, "contract", "cold_from"), 1.5, ["contract.cold_from"]),
    ("config", (*SETTINGS, "contract", "fall_multiple"), 0.5, ["contract.fall_multiple"]),
    ("config", (*SETTINGS, "family_info", "run_factor"), 0.5, ["family_info.run_factor"]),
    ("config", (*SETTINGS, "family_info", "mem_limit_kb"), 2.0, ["mem_limit_kb", "run_factor", "size"]),
    ("config", (*SETTINGS, "ceilings", "max_retry_after_s"), 4.5, ["max_retry_after_s", "settings.classes"]),
    ("config", (*SETTINGS, "family_info", "linger_s"), 6.0, ["linger_s", "share_span_s"]),
    ("config", (*SETTINGS, "family_info", "calls_out"), 5.0, ["calls_out", "vault.total"]),
    ("config", (*SETTINGS, "group_size"), 3, ["group_size", "sites"]),
    ("config", ("name",), "toy-9", ["name", "sites"]),
    ("config", (*SETTINGS, "tenants", 0, "share"), 0.6, ["tenants[blue].share", "tenants.blue"]),
    (
        "config",
        (*SETTINGS, "tenants", 1, "quota_per_s"),
        100.0,
        ["tenants[blue].share", "tenants[blue].quota_per_s"],
    ),
    (
        "fleet",
        ("tenants",),
        {"blue": 0.5, "green": 0.4, "red": 0.1},
        ["tenants[green].share", "tenants.green"],
    ),
    ("fleet", ("groups", 1, "most_out"), 2, ["groups[north].most_out", "groups[north]"]),
    ("fleet", ("groups", 1, "most_out"), 0, ["groups[north]", "platform"]),
    ("fleet", ("sites", 1, "routers", 0), 7, ["routers[2]", "sites"]),
    ("world", ("routers", 1, "site"), "north", ["routers[2].site", "sites[south].routers"]),
]


@pytest.mark.parametrize(("file_kind", "path", "value", "setting_paths"), CASES)
def test_conflict_names_contradicting_settings(file_kind, path, value, setting_paths):
    conflicts = find_conflicts(with_setting(file_kind, path, value))
    assert conflicts
    assert len(conflicts[0].setting_paths) == len(setting_paths)
    assert all(
        full_path.endswith(path)
        for full_path, path in zip(conflicts[0].setting_paths, setting_paths, strict=True)
    ), conflicts


def test_disabled_downstream_conflicts_with_calls_and_vault():
    conflicts = find_conflicts(with_setting("config", ("settings", "family_info", "downstream"), "off"))
    assert [conflict.setting_paths[0].rpartition(".")[2] for conflict in conflicts] == [
        "downstream",
        "downstream",
    ]


def test_example_settings_have_no_conflict():
    assert find_conflicts(sources()) == []
    assert len(RULES) == 11


def test_conflict_fails_check_even_if_expectations_hold():
    changed_sources = with_setting("config", ("settings", "group_size"), 3)
    report = Check(changed_sources, statements("the fleet advised wait <= 1 s")).run()
    output = "\n".join(report_lines(report))
    assert report.exit_code == 1
    assert "settings contradict each other: group_size is 3, but there are 4 members" in output
