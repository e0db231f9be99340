"""Recovery ramp: completed steps advance it, overloaded ones set it back, and flapping sites wait longer."""

from itertools import pairwise

import pytest

from birchslip.cluster.recovery_ramp import STEP_FRACTIONS, RecoveryRamp, RecoveryStage

from .planner_harness import SECOND, make_report

EVALUATION_INTERVAL = 1_000


def reports(count=4, **fields):
    return [make_report(f"a-{n}", **fields) for n in range(count)]


def evaluate_until(ramp, member_reports, now, until, usual_load=200.0):
    """Evaluate at each interval until that time; return the changes of stage and step."""
    changes = []
    while now < until:
        now += EVALUATION_INTERVAL
        reason = ramp.evaluate(member_reports, 4, usual_load, now)
        if reason:
            changes.append((now, ramp.stage, ramp.serving_fraction))
    return changes


def lost_ramp(now=0):
    ramp = RecoveryRamp("a")
    assert ramp.mark_lost(now, "probes failed")
    assert not ramp.mark_lost(now + 1, "probes failed again")
    return ramp


def test_the_site_serves_after_the_last_step():
    ramp = lost_ramp()
    changes = evaluate_until(ramp, reports(served=50.0), 0, 10 * SECOND)
    assert [stage for _, stage, _ in changes] == [
        *[RecoveryStage.STEP] * len(STEP_FRACTIONS),
        RecoveryStage.SERVING,
    ]
    assert [fraction for *_, fraction in changes][:-1] == list(STEP_FRACTIONS)
    assert ramp.serving_fraction == 1.0


@pytest.mark.parametrize(
    ("member_reports", "stage", "step"),
    [
        ([], RecoveryStage.LOST, 0),
        (reports(1), RecoveryStage.LOST, 0),
        (reports(served=0.0), RecoveryStage.STEP, 0),
        (reports(slowdown=2.0), RecoveryStage.STEP, 0),
        (reports(served=5.0, rejected=50.0), RecoveryStage.STEP, 0),
        (reports(is_warm=False, served=50.0), RecoveryStage.STEP, 2),
    ],
    ids=["no member", "one of four members", "no load", "slow", "most rejected", "not warm"],
)
def test_the_ramp_does_not_advance_without_evidence(member_reports, stage, step):
    ramp = lost_ramp()
    evaluate_until(ramp, member_reports, 0, 2 * SECOND)
    assert (ramp.stage, ramp.step) == (stage, step)


def test_rejections_due_to_the_step_limit_alone_do_not_block_the_ramp():
    ramp = lost_ramp()
    evaluate_until(ramp, reports(served=50.0, rejected=60.0), 0, 5 * SECOND)
    assert ramp.stage is RecoveryStage.SERVING


def test_an_overloaded_step_goes_back_and_doubles_the_minimum_duration():
    ramp = lost_ramp()
    while ramp.step < 1:
        evaluate_until(ramp, reports(served=50.0), 0, EVALUATION_INTERVAL)
        ramp.since = 0 if ramp.stage is not RecoveryStage.STEP else ramp.since
        ramp.evaluate(reports(served=50.0), 4, 200.0, ramp.since + SECOND)
    duration = ramp.min_step_duration
    now = ramp.since
    changes = evaluate_until(ramp, reports(slowdown=3.0), now, now + 3 * EVALUATION_INTERVAL)
    assert changes[0][2] == STEP_FRACTIONS[0]
    assert ramp.min_step_duration == 2 * duration
    assert ramp.stage is RecoveryStage.STEP


def test_a_flapping_site_waits_longer_each_time_up_to_a_limit():
    ramp, waits, now = RecoveryRamp("a"), [], 0
    for _ in range(12):
        ramp.mark_lost(now, "probes failed")
        waits.append(ramp.wait_duration)
        ramp.evaluate(reports(), 4, 200.0, now + 1)
        now += SECOND
    assert waits[0] == 0
    assert all(later >= 2 * earlier or later == 600_000 for earlier, later in pairwise(waits[1:]))
    assert waits[-1] == 600_000


def test_the_flap_count_restarts_after_a_long_time_of_serving():
    ramp = lost_ramp()
    evaluate_until(ramp, reports(served=50.0), 0, 10 * SECOND)
    ramp.mark_lost(ramp.since + 700 * SECOND, "probes failed")
    assert ramp.flap_count == 1


def test_only_an_operator_ends_an_evacuation_by_an_operator():
    ramp = RecoveryRamp("a")
    ramp.mark_lost(0, "work on the cooling", by_operator=True)
    assert not evaluate_until(ramp, reports(served=50.0), 0, 60 * SECOND)
    assert ramp.end_evacuation(60 * SECOND)
    assert not ramp.end_evacuation(60 * SECOND)
    evaluate_until(ramp, reports(served=50.0), 60 * SECOND, 70 * SECOND)
    assert ramp.stage is RecoveryStage.SERVING
