"""The judgement of a release: looked at again and again it does not err more, and it finds what is bad."""

import random

import pytest

from birchslip.cluster.canary_analysis import CanaryAnalysis, CanaryVerdict, Shown

SECOND = 10_000
MARGINS = {"late": 0.05, "shed": 0.05}


def play(seed, worse=0.0, surge=False, grouped=False, looks=240, sides=(2, 10), usual=0.03):
    """A watch of so many looks, half a second each; the verdict, and after how many looks it came."""
    chance = random.Random(seed)
    judgement = CanaryAnalysis(MARGINS, 10 * SECOND, looks * SECOND // 2, 0)
    for look in range(1, looks + 1):
        base = usual + (0.25 if surge and 40 <= look < 100 else 0.0)  # a surge meets both sides
        if grouped and chance.random() < 0.1:
            base = min(1.0, base + 0.3)

        def shown(extra, base=base):
            rate = chance.randrange(15, 25)
            late = sum(chance.random() < min(1.0, base + extra) for _ in range(rate))
            return Shown(True, {"late": (late, rate), "shed": (0, rate)})

        released, others = (
            [shown(extra) for _ in range(n)] for n, extra in zip(sides, (worse, 0.0), strict=True)
        )
        verdict = judgement.look(released, others, look * SECOND // 2)
        if verdict is not CanaryVerdict.UNCLEAR:
            return verdict, look
    return CanaryVerdict.UNCLEAR, looks


@pytest.mark.parametrize("more", [{}, {"surge": True}, {"grouped": True}], ids=["calm", "surge", "crowds"])
def test_good_versions_are_hardly_ever_called_bad_however_often_they_are_looked_at(more):
    found = [play(seed, **more) for seed in range(150)]
    assert sum(verdict is CanaryVerdict.BAD for verdict, _ in found) <= 1
    assert sum(verdict is CanaryVerdict.GOOD for verdict, _ in found) >= 145


@pytest.mark.parametrize(("worse", "looks"), [(0.5, 10), (0.3, 20), (0.15, 60)])
def test_bad_versions_are_found_the_sooner_the_worse_they_are(worse, looks):
    found = [play(seed, worse) for seed in range(60)]
    assert all(verdict is CanaryVerdict.BAD for verdict, _ in found)
    assert sorted(look for _, look in found)[-2] <= looks


def test_a_difference_at_the_margin_is_unclear_and_stays_so_to_the_end():
    found = [play(seed, 0.05)[0] for seed in range(60)]
    assert found.count(CanaryVerdict.UNCLEAR) >= 57


def test_it_is_not_good_before_it_was_watched_for_long_enough():
    assert all(
        look >= 20 for verdict, look in (play(seed) for seed in range(20)) if verdict is CanaryVerdict.GOOD
    )


def test_cold_members_and_looks_with_one_side_alone_say_nothing():
    judgement = CanaryAnalysis(MARGINS, 0, SECOND, 0)
    bad = Shown(True, {"late": (100, 100)})
    cold = Shown(False, {"late": (100, 100)})
    good = Shown(True, {"late": (0, 100)})
    assert judgement.look([cold], [good], 1) is CanaryVerdict.UNCLEAR
    assert judgement.look([bad], [], 2) is CanaryVerdict.UNCLEAR
    assert judgement.figures["late"].released.all == 0
    assert judgement.look([bad], [good], 3) is CanaryVerdict.BAD and judgement.first_harm == 3
    assert "late: 1.000 against 0.000" in judgement.why


def test_it_says_which_figures_it_went_by_and_when_its_end_has_come():
    judgement = CanaryAnalysis(MARGINS, 0, SECOND, 0)
    judgement.look([Shown(True, {"late": (2, 500)})], [Shown(True, {"late": (2, 500), "shed": (0, 9)})], 1)
    late, shed = judgement.told()
    assert (late["released"], late["others"], late["of"]) == (0.004, 0.004, [500, 500])
    assert shed["verdict"] == "unclear" and not judgement.over(1) and judgement.over(SECOND)


def looked(released, others, looks, memory=0.0):
    judgement = CanaryAnalysis(MARGINS, 0, 100 * SECOND, 0, memory)
    verdicts = [judgement.look([released], [others], at) for at in range(1, looks + 1)]
    return judgement, verdicts


def test_what_one_profile_suffers_does_not_drown_in_the_others():
    broken = Shown(True, {"late:order": (10, 10), "late:lookup": (5, 490)})
    whole = Shown(True, {"late:order": (0, 10), "late:lookup": (5, 490)})
    judgement, verdicts = looked(broken, whole, 10)
    assert judgement.figures["late"].fine and verdicts[-1] is CanaryVerdict.BAD
    assert judgement.why.startswith("late:order: 1.000 against 0.000")


def test_a_profile_that_is_too_rare_to_tell_holds_nothing_up_unless_it_looks_worse():
    rare = Shown(True, {"late:order": (0, 1), "late:lookup": (0, 300)})
    assert looked(rare, rare, 10)[1][-1] is CanaryVerdict.GOOD
    worse = Shown(True, {"late:order": (1, 1), "late:lookup": (0, 300)})
    assert looked(worse, rare, 10)[1][-1] is CanaryVerdict.UNCLEAR


@pytest.mark.parametrize(
    ("held", "looks", "verdict"),
    [
        (90_000, 9, CanaryVerdict.GOOD),
        (90_000, 10, CanaryVerdict.BAD),
        (45_000, 20, CanaryVerdict.GOOD),
        (0, 20, CanaryVerdict.GOOD),
    ],
)
def test_memory_far_above_the_others_look_after_look_is_a_leak(held, looks, verdict):
    figures = {"late": (0, 500)}
    judgement, verdicts = looked(Shown(True, figures, held), Shown(True, figures, 30_000), looks, 2.0)
    assert verdicts[-1] is verdict
    assert verdict is CanaryVerdict.GOOD or "90000 KB against 30000 KB" in judgement.why


@pytest.mark.parametrize(
    ("released", "verdict"),
    [
        ([5, 80, 15, 0], CanaryVerdict.GOOD),
        ([0, 20, 60, 20], CanaryVerdict.BAD),
        ([50, 50, 0, 0], CanaryVerdict.GOOD),
    ],
    ids=["alike", "slower", "quicker"],
)
def test_slow_is_what_the_others_slowest_were_when_the_watch_began(released, verdict):
    judgement = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    others = Shown(True, {}, 0, {"order": [5, 80, 15, 0]})
    first = judgement.look([Shown(True, {}, 0, {"order": released})], [others] * 2, 1)
    assert first is CanaryVerdict.UNCLEAR and judgement.bounds == {
        "order": 2
    }  # settled, and nothing judged by it
    for at in range(2, 12):
        found = judgement.look([Shown(True, {}, 0, {"order": released})], [others] * 2, at)
    assert found is verdict


def test_what_is_slow_does_not_follow_the_others_once_it_is_settled():
    judgement = CanaryAnalysis({"slow": 0.15}, 0, 100 * SECOND, 0)
    calm, surge = ([Shown(True, {}, 0, {"order": counts})] for counts in ([100, 100, 0], [0, 20, 180]))
    judgement.look(calm, calm, 1)
    for at in range(2, 12):
        found = judgement.look(surge, surge, at)
    assert judgement.bounds == {"order": 2} and found is CanaryVerdict.GOOD  # a surge meets both sides
