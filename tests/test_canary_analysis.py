"""Canary analysis: repeated tests add no false alarms, and bad versions are found."""

import random

import pytest

from birchslip.cluster.canary_analysis import CanaryAnalysis, MemberSample
from birchslip.cluster.canary_metrics import CanaryVerdict

SECOND = 10_000
MARGINS = {"late": 0.05, "shed": 0.05}


def watch(seed, worse=0.0, surge=False, grouped=False, looks=240, sides=(2, 10), usual=0.03):
    """A watch of so many looks, half a second each; the verdict, and after how many looks it came."""
    chance = random.Random(seed)
    analysis = CanaryAnalysis(MARGINS, 10 * SECOND, looks * SECOND // 2, 0)
    for look in range(1, looks + 1):
        base = usual + (0.25 if surge and 40 <= look < 100 else 0.0)  # a surge meets both sides
        if grouped and chance.random() < 0.1:
            base = min(1.0, base + 0.3)

        def shown(extra, base=base):
            rate = chance.randrange(15, 25)
            late = sum(chance.random() < min(1.0, base + extra) for _ in range(rate))
            return MemberSample(True, {"late": (late, rate), "shed": (0, rate)})

        released, others = (
            [shown(extra) for _ in range(n)] for n, extra in zip(sides, (worse, 0.0), strict=True)
        )
        verdict = analysis.observe(released, others, look * SECOND // 2)
        if verdict is not CanaryVerdict.UNCLEAR:
            return verdict, look
    return CanaryVerdict.UNCLEAR, looks


@pytest.mark.parametrize("more", [{}, {"surge": True}, {"grouped": True}], ids=["calm", "surge", "crowds"])
def test_good_versions_are_rarely_called_bad_however_often_they_are_tested(more):
    found = [watch(seed, **more) for seed in range(150)]
    assert sum(verdict is CanaryVerdict.BAD for verdict, _ in found) <= 1
    assert sum(verdict is CanaryVerdict.GOOD for verdict, _ in found) >= 145


@pytest.mark.parametrize(
    ("worse", "looks"), [(0.5, 10), (0.3, 20), (0.15, 60)], ids=["much worse", "worse", "slightly worse"]
)
def test_worse_versions_are_found_sooner(worse, looks):
    found = [watch(seed, worse) for seed in range(60)]
    assert all(verdict is CanaryVerdict.BAD for verdict, _ in found)
    assert sorted(look for _, look in found)[-2] <= looks


def test_a_difference_at_the_margin_stays_unclear():
    found = [watch(seed, 0.05)[0] for seed in range(60)]
    assert found.count(CanaryVerdict.UNCLEAR) >= 57


def test_no_version_is_good_before_the_minimum_watch():
    assert all(
        look >= 20 for verdict, look in (watch(seed) for seed in range(20)) if verdict is CanaryVerdict.GOOD
    )


def test_cold_members_and_observations_of_one_side_are_ignored():
    analysis = CanaryAnalysis(MARGINS, 0, SECOND, 0)
    bad = MemberSample(True, {"late": (100, 100)})
    cold = MemberSample(False, {"late": (100, 100)})
    good = MemberSample(True, {"late": (0, 100)})
    assert analysis.observe([cold], [good], 1) is CanaryVerdict.UNCLEAR
    assert analysis.observe([bad], [], 2) is CanaryVerdict.UNCLEAR
    assert analysis.metrics["late"].canary.total == 0
    assert analysis.observe([bad], [good], 3) is CanaryVerdict.BAD
    assert analysis.first_bad_at == 3
    assert "late: 1.000 against 0.000" in analysis.reason


def test_it_reports_its_metrics_and_when_the_watch_has_expired():
    analysis = CanaryAnalysis(MARGINS, 0, SECOND, 0)
    analysis.observe(
        [MemberSample(True, {"late": (2, 500)})], [MemberSample(True, {"late": (2, 500), "shed": (0, 9)})], 1
    )
    late, shed = analysis.report()
    assert (late.canary, late.baseline, late.outcomes) == (0.004, 0.004, (500, 500))
    assert shed.verdict == "unclear"
    assert not analysis.has_expired(1)
    assert analysis.has_expired(SECOND)


def observe_repeatedly(released, others, looks, memory=0.0):
    analysis = CanaryAnalysis(MARGINS, 0, 100 * SECOND, 0, memory)
    verdicts = [analysis.observe([released], [others], at) for at in range(1, looks + 1)]
    return analysis, verdicts


def test_a_failure_of_one_request_class_is_found_among_many_good_requests():
    broken = MemberSample(True, {"late:order": (10, 10), "late:lookup": (5, 490)})
    whole = MemberSample(True, {"late:order": (0, 10), "late:lookup": (5, 490)})
    analysis, verdicts = observe_repeatedly(broken, whole, 10)
    assert analysis.metrics["late"].is_within_margin
    assert verdicts[-1] is CanaryVerdict.BAD
    assert analysis.reason.startswith("late:order: 1.000 against 0.000")


def test_a_rare_request_class_delays_a_verdict_only_if_it_looks_worse():
    rare = MemberSample(True, {"late:order": (0, 1), "late:lookup": (0, 300)})
    assert observe_repeatedly(rare, rare, 10)[1][-1] is CanaryVerdict.GOOD
    worse = MemberSample(True, {"late:order": (1, 1), "late:lookup": (0, 300)})
    assert observe_repeatedly(worse, rare, 10)[1][-1] is CanaryVerdict.UNCLEAR


@pytest.mark.parametrize(
    ("held", "looks", "verdict"),
    [
        (90_000, 9, CanaryVerdict.GOOD),
        (90_000, 10, CanaryVerdict.BAD),
        (45_000, 20, CanaryVerdict.GOOD),
        (0, 20, CanaryVerdict.GOOD),
    ],
    ids=["one look short", "leak", "within the bound", "not reported"],
)
def test_lasting_memory_far_above_the_baseline_is_a_leak(held, looks, verdict):
    figures = {"late": (0, 500)}
    analysis, verdicts = observe_repeatedly(
        MemberSample(True, figures, held), MemberSample(True, figures, 30_000), looks, 2.0
    )
    assert verdicts[-1] is verdict
    assert verdict is CanaryVerdict.GOOD or "90000 KB against 30000 KB" in analysis.reason


@pytest.mark.parametrize(
    ("released", "verdict"),
    [
        ([5, 80, 15, 0], CanaryVerdict.GOOD),
        ([0, 20, 60, 20], CanaryVerdict.BAD),
        ([50, 50, 0, 0], CanaryVerdict.GOOD),
    ],
    ids=["alike", "slower", "quicker"],
)
def test_slow_is_defined_by_the_slowest_requests_of_the_baseline_at_the_start(released, verdict):
    analysis = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    others = MemberSample(True, {}, 0, {"order": [5, 80, 15, 0]})
    first = analysis.observe([MemberSample(True, {}, 0, {"order": released})], [others] * 2, 1)
    assert first is CanaryVerdict.UNCLEAR
    assert analysis.slow_bounds == {"order": 2}
    for at in range(2, 12):
        found = analysis.observe([MemberSample(True, {}, 0, {"order": released})], [others] * 2, at)
    assert found is verdict


def test_the_bound_of_slow_requests_does_not_move_once_it_is_set():
    analysis = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    calm, surge = ([MemberSample(True, {}, 0, {"order": counts})] for counts in ([100, 100, 0], [0, 20, 180]))
    analysis.observe(calm, calm, 1)
    for at in range(2, 12):
        found = analysis.observe(surge, surge, at)
    assert analysis.slow_bounds == {"order": 2}
    assert found is CanaryVerdict.GOOD
