"""Canary analysis: repeated tests add no false alarms, and bad versions are found."""

import random
from math import exp, inf, log, pi, sqrt

import pytest

from birchslip.cluster.canary_analysis import CanaryAnalysis, MemberSample
from birchslip.cluster.canary_metrics import (
    MIXTURE_ABOVE_MARGIN,
    MIXTURE_WITHIN_MARGIN,
    CanaryVerdict,
    MetricComparison,
    log_mixture_ratio,
    log_normal_ratio,
)

SECOND = 10_000
MARGINS = {"late": 0.05, "shed": 0.05}


def watch(
    seed,
    excess_rate=0.0,
    surge=False,
    correlated=False,
    sample_count=240,
    member_counts=(2, 10),
    usual_bad_rate=0.03,
):
    """Watch `sample_count` samples, half a second apart; return the first verdict and its sample."""
    rng = random.Random(seed)
    analysis = CanaryAnalysis(MARGINS, 10 * SECOND, sample_count * SECOND // 2, 0)
    for sample_number in range(1, sample_count + 1):
        # A surge affects both sides.
        bad_rate = usual_bad_rate + (0.25 if surge and 40 <= sample_number < 100 else 0.0)
        if correlated and rng.random() < 0.1:
            bad_rate = min(1.0, bad_rate + 0.3)

        def draw_sample(excess, bad_rate=bad_rate):
            count = rng.randrange(15, 25)
            late = sum(rng.random() < min(1.0, bad_rate + excess) for _ in range(count))
            return MemberSample(True, {"late": (late, count), "shed": (0, count)})

        canary, baseline = (
            [draw_sample(excess) for _ in range(n)]
            for n, excess in zip(member_counts, (excess_rate, 0.0), strict=True)
        )
        verdict = analysis.observe(canary, baseline, sample_number * SECOND // 2)
        if verdict is not CanaryVerdict.UNCLEAR:
            return verdict, sample_number
    return CanaryVerdict.UNCLEAR, sample_count


@pytest.mark.parametrize(
    "conditions", [{}, {"surge": True}, {"correlated": True}], ids=["calm", "surge", "correlated"]
)
def test_good_versions_are_rarely_called_bad_however_often_they_are_tested(conditions):
    outcomes = [watch(seed, **conditions) for seed in range(150)]
    assert sum(verdict is CanaryVerdict.BAD for verdict, _ in outcomes) <= 1
    assert sum(verdict is CanaryVerdict.GOOD for verdict, _ in outcomes) >= 145


@pytest.mark.parametrize(
    ("excess_rate", "max_samples"),
    [(0.5, 10), (0.3, 20), (0.15, 60)],
    ids=["much worse", "worse", "slightly worse"],
)
def test_the_worse_a_version_the_sooner_it_is_found(excess_rate, max_samples):
    outcomes = [watch(seed, excess_rate) for seed in range(60)]
    assert all(verdict is CanaryVerdict.BAD for verdict, _ in outcomes)
    assert sorted(sample_number for _, sample_number in outcomes)[-2] <= max_samples


def test_a_difference_at_the_margin_stays_unclear():
    verdicts = [watch(seed, 0.05)[0] for seed in range(60)]
    assert verdicts.count(CanaryVerdict.UNCLEAR) >= 57


def test_no_version_is_good_before_the_minimum_watch():
    assert all(
        sample_number >= 20
        for verdict, sample_number in (watch(seed) for seed in range(20))
        if verdict is CanaryVerdict.GOOD
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


def test_reports_metrics_and_when_the_watch_has_expired():
    analysis = CanaryAnalysis(MARGINS, 0, SECOND, 0)
    analysis.observe(
        [MemberSample(True, {"late": (2, 500)})], [MemberSample(True, {"late": (2, 500), "shed": (0, 9)})], 1
    )
    late, shed = analysis.report()
    assert (late.canary, late.baseline, late.outcomes) == (0.004, 0.004, (500, 500))
    assert shed.verdict == "unclear"
    assert not analysis.has_expired(1)
    assert analysis.has_expired(SECOND)


def observe_repeatedly(canary, baseline, sample_count, max_memory_ratio=0.0):
    analysis = CanaryAnalysis(MARGINS, 0, 100 * SECOND, 0, max_memory_ratio)
    verdicts = [analysis.observe([canary], [baseline], now) for now in range(1, sample_count + 1)]
    return analysis, verdicts


def test_a_failure_of_one_request_class_is_found_among_many_good_requests():
    broken = MemberSample(True, {"late:order": (10, 10), "late:lookup": (5, 490)})
    healthy = MemberSample(True, {"late:order": (0, 10), "late:lookup": (5, 490)})
    analysis, verdicts = observe_repeatedly(broken, healthy, 10)
    assert analysis.metrics["late"].is_within_margin
    assert verdicts[-1] is CanaryVerdict.BAD
    assert analysis.reason.startswith("late:order: 1.000 against 0.000")


def test_a_rare_request_class_delays_a_verdict_only_if_it_looks_worse():
    rare = MemberSample(True, {"late:order": (0, 1), "late:lookup": (0, 300)})
    assert observe_repeatedly(rare, rare, 10)[1][-1] is CanaryVerdict.GOOD
    worse = MemberSample(True, {"late:order": (1, 1), "late:lookup": (0, 300)})
    assert observe_repeatedly(worse, rare, 10)[1][-1] is CanaryVerdict.UNCLEAR


@pytest.mark.parametrize(
    ("memory_kb", "sample_count", "verdict"),
    [
        (90_000, 9, CanaryVerdict.GOOD),
        (90_000, 10, CanaryVerdict.BAD),
        (45_000, 20, CanaryVerdict.GOOD),
        (0, 20, CanaryVerdict.GOOD),
    ],
    ids=["one sample short", "leak", "within the bound", "not reported"],
)
def test_lasting_memory_far_above_the_baseline_is_a_leak(memory_kb, sample_count, verdict):
    outcomes = {"late": (0, 500)}
    analysis, verdicts = observe_repeatedly(
        MemberSample(True, outcomes, memory_kb), MemberSample(True, outcomes, 30_000), sample_count, 2.0
    )
    assert verdicts[-1] is verdict
    assert verdict is CanaryVerdict.GOOD or "90000 KB against 30000 KB" in analysis.reason


@pytest.mark.parametrize(
    ("canary_durations", "verdict"),
    [
        ([5, 80, 15, 0], CanaryVerdict.GOOD),
        ([0, 20, 60, 20], CanaryVerdict.BAD),
        ([50, 50, 0, 0], CanaryVerdict.GOOD),
    ],
    ids=["equal", "slower", "faster"],
)
def test_slow_is_defined_by_the_slowest_requests_of_the_baseline_at_the_start(canary_durations, verdict):
    analysis = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    baseline = MemberSample(True, {}, 0, {"order": [5, 80, 15, 0]})
    first = analysis.observe([MemberSample(True, {}, 0, {"order": canary_durations})], [baseline] * 2, 1)
    assert first is CanaryVerdict.UNCLEAR
    assert analysis.slow_bounds == {"order": 2}
    for now in range(2, 12):
        latest = analysis.observe(
            [MemberSample(True, {}, 0, {"order": canary_durations})], [baseline] * 2, now
        )
    assert latest is verdict


def test_the_bound_of_slow_requests_does_not_move_once_it_is_set():
    analysis = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    calm, surge = ([MemberSample(True, {}, 0, {"order": counts})] for counts in ([100, 100, 0], [0, 20, 180]))
    analysis.observe(calm, calm, 1)
    for now in range(2, 12):
        latest = analysis.observe(surge, surge, now)
    assert analysis.slow_bounds == {"order": 2}
    assert latest is CanaryVerdict.GOOD


def test_a_class_that_fails_altogether_is_bad_within_half_of_the_maximum_watch():
    """Guards the halt of a rollout whose every order fails: 40 s of watch, 1.8 baseline orders a second.

    The bound is the target, half of that watch; it is not a measured figure.
    """
    margins = {"late": 0.08, "slow": 0.2, "shed": 0.08, "written_off": 0.08, "calls": 0.15}
    analysis = CanaryAnalysis(margins, 6 * SECOND, 40 * SECOND, 0)

    def draw_sample(orders, lookups, failed_orders):
        outcomes = {f"{kind}:order": (0, orders) for kind in margins}
        outcomes |= {f"{kind}:lookup": (0, lookups) for kind in margins}
        return MemberSample(True, outcomes | {"written_off:order": (failed_orders, orders)})

    canary_orders = [3] * 7 + [2] * 13
    baseline_orders = [2] * 16 + [1] * 4
    for second, (canary, baseline) in enumerate(zip(canary_orders, baseline_orders, strict=True), start=1):
        verdict = analysis.observe(
            [draw_sample(canary, 5, canary)], [draw_sample(baseline, 4, 0)], second * SECOND
        )
    failed = analysis.metrics["written_off:order"]
    assert len(analysis.metrics) == 15
    assert (failed.canary.total, failed.baseline.total) == (47, 36)
    assert verdict is CanaryVerdict.BAD
    assert analysis.reason.startswith("written_off")


def is_ever_called_bad(rng, baseline_rate, margin, error):
    """Watch 300 samples with a true difference of `margin`; return whether it is ever called bad.

    Outcomes come in pairs of equal fate, which is the correlation that the test allows for: with independent
    outcomes a test that promises too much would still pass.
    """
    metric = MetricComparison("late", margin)
    canary_pairs, baseline_pairs = 9, 7
    for _ in range(300):
        canary_bad = sum(rng.random() < baseline_rate + margin for _ in range(canary_pairs))
        baseline_bad = sum(rng.random() < baseline_rate for _ in range(baseline_pairs))
        metric.add((2 * canary_bad, 2 * canary_pairs), (2 * baseline_bad, 2 * baseline_pairs))
        if metric.verdict(error) is CanaryVerdict.BAD:
            return True
    return False


@pytest.mark.parametrize("baseline_rate", [0.0, 0.02, 0.1, 0.3], ids=["none bad", "rare", "few", "many"])
def test_a_difference_equal_to_the_margin_is_called_bad_less_often_than_the_error(baseline_rate):
    """Guards the bound over all samples: a test that holds for one sample only, or a variance set too low.

    The mixture's bound on the error is for both sides of the margin together. Observations are distributed
    almost evenly around it, so the side above it may have half of the error.
    """
    error, run_count = 0.2, 400
    rng = random.Random(1)
    called_bad = sum(is_ever_called_bad(rng, baseline_rate, 0.08, error) for _ in range(run_count))
    assert called_bad < error / 2 * run_count


COUNTS = pytest.mark.parametrize(
    ("canary", "baseline"),
    [((2, 30), (1, 25)), ((47, 47), (0, 36)), ((900, 9_000), (800, 9_000))],
    ids=["few outcomes", "one side fails", "many outcomes"],
)
MIXTURES = pytest.mark.parametrize(
    "mixture", [MIXTURE_ABOVE_MARGIN, MIXTURE_WITHIN_MARGIN], ids=["above", "within"]
)


@COUNTS
@MIXTURES
def test_the_mean_likelihood_ratio_is_one_where_the_difference_is_the_margin(mixture, canary, baseline):
    """Guards what the bound rests on: weights that do not add up to 1, or a spread without its norm."""
    metric = MetricComparison("late", 0.08)
    metric.add(canary, baseline)
    variance = metric.variance()
    step = sqrt(variance) / 10
    # The mean over normally distributed observations, up to ten of the largest spreads on each side.
    deviations = [n * step for n in range(-round(3 / step), round(3 / step) + 1)]
    mean = sum(exp(log_mixture_ratio(mixture, x, variance) - x * x / (2 * variance)) for x in deviations) * (
        step / sqrt(2 * pi * variance)
    )
    assert mean == pytest.approx(1.0, abs=0.001)


@COUNTS
def test_within_the_margin_the_ratio_is_that_of_the_spread_0_05(canary, baseline):
    """Guards good verdicts: a larger spread gives wrong ones more often where outcomes are correlated."""
    metric = MetricComparison("late", 0.08)
    metric.add(canary, baseline)
    for deviation in (0.0, 0.001, 0.03, 0.1, 0.5):
        ratio = metric.log_likelihood_ratio(metric.difference + deviation)
        assert ratio == pytest.approx(log_normal_ratio(deviation, metric.variance(), 0.05))


@COUNTS
def test_above_the_margin_the_large_spread_costs_at_most_a_tenth_of_the_ratio(canary, baseline):
    """Guards small differences: with most of the weight on the large spread they are found late."""
    metric = MetricComparison("late", 0.08)
    metric.add(canary, baseline)
    for deviation in (0.001, 0.03, 0.1, 0.5):
        cost = log_normal_ratio(deviation, metric.variance(), 0.05) - metric.log_likelihood_ratio(
            metric.difference - deviation
        )
        assert cost <= -log(0.9) + 1e-9


def test_the_likelihood_ratio_of_very_many_outcomes_does_not_overflow():
    metric = MetricComparison("late", 0.08)
    metric.add((10**7, 10**7), (0, 10**7))
    assert 10**4 < metric.log_likelihood_ratio(0.08) < inf
    assert metric.verdict() is CanaryVerdict.BAD
    assert metric.certainty() == 1.0
