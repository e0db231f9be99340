"""A site on its way back: steps by what it shows, taken back where they hurt, waits that grow."""

from itertools import pairwise

import pytest

from birchslip.cluster.recovery_ramp import STEPS, RecoveryRamp, RecoveryStage

from .fleetdesk import SECOND, report

LOOK = 1_000


def shown(count=4, **more):
    return [report(f"a-{n}", **more) for n in range(count)]


def go(comeback, reports, now, until, usual=200.0):
    """Looks until that time; what they said."""
    said = []
    while now < until:
        now += LOOK
        word = comeback.look(reports, 4, usual, now)
        if word:
            said.append((now, comeback.stage, comeback.level))
    return said


def lost(now=0):
    comeback = RecoveryRamp("a")
    assert comeback.lost(now, "shut") and not comeback.lost(now + 1, "again")
    return comeback


def test_it_comes_back_by_steps_and_is_home_after_the_last():
    comeback = lost()
    said = go(comeback, shown(served=50.0), 0, 10 * SECOND)
    assert [stage for _, stage, _ in said] == [*[RecoveryStage.STEP] * len(STEPS), RecoveryStage.HOME]
    assert [level for *_, level in said][:-1] == list(STEPS) and comeback.level == 1.0


@pytest.mark.parametrize(
    ("reports", "stage", "step"),
    [
        ([], RecoveryStage.LOST, 0),
        (shown(1), RecoveryStage.LOST, 0),
        (shown(served=0.0), RecoveryStage.STEP, 0),
        (shown(slowdown=2.0), RecoveryStage.STEP, 0),
        (shown(served=5.0, rejected=50.0), RecoveryStage.STEP, 0),
        (shown(is_warm=False, served=50.0), RecoveryStage.STEP, 2),
    ],
    ids=["nobody", "one of four", "nobody leans on it", "slow", "sheds nearly all", "cold"],
)
def test_what_holds_it_where_it_is(reports, stage, step):
    comeback = lost()
    go(comeback, reports, 0, 2 * SECOND)
    assert (comeback.stage, comeback.step) == (stage, step)


def test_sheds_that_come_of_the_level_alone_do_not_hold_it():
    comeback = lost()
    go(comeback, shown(served=50.0, rejected=60.0), 0, 5 * SECOND)
    assert comeback.stage is RecoveryStage.HOME


def test_a_step_that_hurts_is_taken_back_and_held_for_longer():
    comeback = lost()
    while comeback.step < 1:
        go(comeback, shown(served=50.0), 0, LOOK)
        comeback.since = 0 if comeback.stage is not RecoveryStage.STEP else comeback.since
        comeback.look(shown(served=50.0), 4, 200.0, comeback.since + SECOND)
    hold = comeback.hold
    now = comeback.since
    said = go(comeback, shown(slowdown=3.0), now, now + 3 * LOOK)
    assert said[0][2] == STEPS[0] and comeback.hold == 2 * hold and comeback.stage is RecoveryStage.STEP


def test_one_that_flaps_waits_longer_each_time_up_to_a_bound():
    comeback, waits, now = RecoveryRamp("a"), [], 0
    for _ in range(12):
        comeback.lost(now, "shut")
        waits.append(comeback.wait())
        comeback.look(shown(), 4, 200.0, now + 1)
        now += SECOND
    assert waits[0] == 0 and all(b >= 2 * a or b == 600_000 for a, b in pairwise(waits[1:]))
    assert waits[-1] == 600_000


def test_flaps_are_forgiven_after_long_at_home():
    comeback = lost()
    go(comeback, shown(served=50.0), 0, 10 * SECOND)
    comeback.lost(comeback.since + 700 * SECOND, "shut")
    assert comeback.flaps == 1


def test_one_evacuated_by_hand_is_let_back_by_hand_alone():
    comeback = RecoveryRamp("a")
    comeback.lost(0, "work on the cooling", by_hand=True)
    assert not go(comeback, shown(served=50.0), 0, 60 * SECOND)
    assert comeback.let_back(60 * SECOND) and not comeback.let_back(60 * SECOND)
    go(comeback, shown(served=50.0), 60 * SECOND, 70 * SECOND)
    assert comeback.stage is RecoveryStage.HOME
