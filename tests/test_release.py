"""A release: what is asked of the platform in each state, and whole releases in virtual time."""

import msgspec
import pytest

from birchslip.cluster.canary_analysis import Shown
from birchslip.cluster.disruption_budget import (
    BudgetGroup,
    DisruptionBudget,
    MemberObservation,
    UnavailabilityReason,
)
from birchslip.cluster.messages import Incarnation
from birchslip.cluster.rollout import (
    InstanceStatus,
    PlatformView,
    Rollout,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
    batches_of,
)
from birchslip.lab.rollouts import VERSIONS, RolloutScenario

SITES = {"a": ["a-0", "a-1", "a-2"], "b": ["b-0", "b-1"]}
NAMES = [name for names in SITES.values() for name in names]
PLAN = RolloutSpec(version="new", before="old", canaries=1, batch=2, watch_ms=1_000, watch_most_ms=5_000)


class Scene:
    """A release whose platform and members are set by hand."""

    def __init__(self, most=2, plan=PLAN):
        self.permits = DisruptionBudget([BudgetGroup("fleet", frozenset(NAMES), most=most)])
        self.release = Rollout(RolloutRecord(plan=plan, batches=batches_of(plan, SITES)), self.permits)
        self.is_now = {name: PlatformView(InstanceStatus.UP, "old") for name in NAMES}
        self.seen = {name: MemberObservation(Incarnation(nonce=1), 10.0) for name in NAMES}
        self.now = 0

    def look(self, lost=(), shown=None):
        self.now += 5_000
        self.permits.look(self.seen)
        orders = self.release.look(self.is_now, self.seen, shown or {}, lost, self.now)
        return [(one.what, one.member, one.version) for one in orders]

    def out(self, name, state, version="old", starts=0):
        self.is_now[name] = PlatformView(state, version, starts)
        self.seen[name] = MemberObservation(self.seen[name].incarnation, 10.0, UnavailabilityReason.LEAVING)

    def come_up(self, name, version="new"):
        self.is_now[name] = PlatformView(InstanceStatus.UP, version)
        self.seen[name] = MemberObservation(Incarnation(nonce=self.seen[name].incarnation.nonce + 1), 10.0)


def good(scene):
    return {
        name: Shown(True, {"late": (0, 500), "shed": (0, 500), "written_off": (0, 500)}) for name in NAMES
    }


def test_canaries_first_and_no_batch_across_two_sites():
    assert batches_of(PLAN, SITES) == [["a-0"], ["a-1", "a-2"], ["b-0", "b-1"]]
    assert batches_of(RolloutSpec(version="n", before="o", sites=["b"], batch=1), SITES) == [["b-0"], ["b-1"]]


def test_a_member_is_drained_once_started_and_watched_before_the_next_batch():
    scene = Scene()
    assert scene.look() == scene.look() == [("drain", "a-0", "new")]  # with the same permit's number
    assert [one.number for one in scene.permits.book.permits] == [1]
    scene.out("a-0", InstanceStatus.DRAINING)
    assert scene.look() == []
    scene.out("a-0", InstanceStatus.STOPPED)
    assert scene.look() == [("start", "a-0", "new")]
    scene.come_up("a-0")
    assert scene.look() == [] and scene.release.judgement is not None
    for _ in range(3):
        scene.look(shown=good(scene))
    assert scene.release.course.at == 1
    assert scene.look() == [("drain", "a-1", "new"), ("drain", "a-2", "new")]


def test_a_halt_takes_hold_at_once_and_leaves_nobody_down():
    scene = Scene()
    scene.look()
    scene.out("a-0", InstanceStatus.STOPPED)
    assert scene.release.halt("a word") and not scene.release.halt("again")
    assert scene.look() == [("start", "a-0", "new")]  # not found bad: it goes on in the new one
    scene.come_up("a-0")
    assert scene.look() == scene.look() == []
    assert scene.release.resume("ann") and scene.release.phase is RolloutPhase.RUNNING


def test_a_permitted_one_that_has_not_begun_to_drain_is_not_drained_after_a_halt():
    scene = Scene()
    assert scene.look() == [("drain", "a-0", "new")]
    scene.release.halt("a word")
    assert scene.look() == []


def test_the_loss_of_a_site_halts_and_its_return_does_not_resume():
    scene = Scene()
    scene.look(lost=["b"])
    assert scene.release.phase is RolloutPhase.HALTED and "b" in scene.release.course.why
    assert scene.look() == [] and scene.release.phase is RolloutPhase.HALTED


def test_a_permit_of_an_earlier_life_drains_nobody():
    scene = Scene()
    scene.look()
    scene.seen["a-0"] = MemberObservation(
        Incarnation(nonce=2), 10.0, UnavailabilityReason.COLD
    )  # it crashed and came back by itself
    assert scene.look() == []
    scene.seen["a-0"] = MemberObservation(Incarnation(nonce=2), 10.0)
    assert scene.look() == [("drain", "a-0", "new")] and scene.permits.book.permits[0].number == 2


def test_one_that_does_not_start_goes_back_and_one_that_starts_in_neither_is_left_out():
    scene = Scene()
    scene.look()
    scene.out("a-0", InstanceStatus.FAILED, "new", 1)
    assert scene.look() == [("start", "a-0", "new")]
    scene.out("a-0", InstanceStatus.FAILED, "new", 2)
    assert scene.look() == [("start", "a-0", "old")]
    assert scene.release.course.bad and scene.release.phase is RolloutPhase.HALTED
    assert not scene.release.resume("ann")
    scene.out("a-0", InstanceStatus.FAILED, "old", 2)
    assert scene.look() == [] and scene.release.course.left_out == ["a-0"]
    assert scene.release.back("ann")
    scene.look()
    assert scene.release.phase is RolloutPhase.BACK  # the others never left


def test_the_way_back_is_newest_batch_first_through_the_same_permits():
    scene = Scene(most=1)
    for name in ("a-0", "a-1"):
        scene.come_up(name)
    scene.release.course.at = 1
    scene.release.halt("a word")
    scene.release.back("ann")
    assert scene.look() == [("drain", "a-1", "old")]
    scene.out("a-1", InstanceStatus.STOPPED, "new")
    assert scene.look() == [("start", "a-1", "old")]
    scene.come_up("a-1", "old")
    assert scene.look() == [("drain", "a-0", "old")]
    scene.out("a-0", InstanceStatus.STOPPED, "new")
    scene.look()
    scene.come_up("a-0", "old")
    scene.look()
    assert scene.release.phase is RolloutPhase.BACK and len(scene.release.course.history) == 3


@pytest.mark.parametrize(("ends", "phase"), [(1, RolloutPhase.RUNNING), (2, RolloutPhase.HALTED)])
def test_crashes_need_no_statistics_and_no_conductor_that_saw_them(ends, phase):
    scene = Scene(plan=msgspec.structs.replace(PLAN, crashes=1))
    scene.is_now["a-0"] = PlatformView(InstanceStatus.UP, "new", ends=ends)
    scene.is_now["a-1"] = PlatformView(InstanceStatus.UP, "old", ends=9)
    scene.look()
    assert scene.release.phase is phase and scene.release.course.bad is (phase is RolloutPhase.HALTED)


def by_site(name):
    return name[0]


def test_members_are_compared_within_their_site_and_what_load_makes_is_not_across_sites():
    scene = Scene()
    scene.release.site_of = by_site
    scene.come_up("a-0")
    scene.look()
    assert scene.release.judgement.margins == PLAN.margins
    busy = {name: Shown(True, {"shed": (900, 1_000) if name[0] == "a" else (0, 1_000)}) for name in NAMES}
    for _ in range(4):
        scene.look(shown=busy)
    assert scene.release.course.at == 1 and not scene.release.course.bad  # its whole site sheds
    for name in ("a-1", "a-2"):
        scene.come_up(name)
    scene.look()
    margins = scene.release.judgement.margins
    assert margins == {"slow": 0.3, "written_off": 0.04}
    busy = {name: Shown(True, {"shed": (900, 1_000) if name[0] == "a" else (0, 1_000),
                               "written_off": (0, 900)}) for name in NAMES}  # fmt: skip
    for _ in range(4):
        scene.look(shown=busy)
    assert scene.release.course.at == 2 and scene.release.phase is RolloutPhase.RUNNING


def test_unclear_at_its_end_halts_and_says_so():
    scene = Scene()
    scene.come_up("a-0")
    scene.look()
    few = {name: Shown(True, {"late": (0, 1)}) for name in NAMES}
    for _ in range(12):
        scene.look(shown=few)
    assert scene.release.phase is RolloutPhase.HALTED and "unclear" in scene.release.course.why
    assert not scene.release.course.bad


@pytest.mark.parametrize(
    ("more", "words"),
    [
        ({"before": "new"}, "the one before too"),
        ({"watch_most_ms": 10}, "watch_most_ms"),
        ({"sites": ["a", "a"]}, "twice"),
        ({"margins": {}}, "nothing would be judged"),
        ({}, ""),
    ],
)
def test_what_is_wrong_with_a_release_file(more, words):
    told = {"version": "new", "before": "old", "watch_ms": 1_000, "watch_most_ms": 2_000} | more
    found = msgspec.convert(told, RolloutSpec).trouble()
    assert words in found and bool(found) is bool(words)


@pytest.mark.parametrize("version", VERSIONS)
def test_whole_releases_in_virtual_time(version):
    told = [RolloutScenario(seed, version).run(longest=400).told() for seed in range(25)]
    assert not any(one["breaches"] or one["drained_twice"] or one["stuck"] for one in told)
    assert {one["ended"] for one in told} == ({"done"} if version == "good" else {"back"})
    if version != "good":
        assert max(one["exposed"] for one in told) <= 3  # the canary and one batch
    halts = [one["halt_s"] for one in told if one["halt_s"] is not None]
    assert not halts or max(halts) <= (30 if version in ("slow", "profile") else 10)


def test_one_seed_gives_one_release():
    assert RolloutScenario(5, "slow").run().told() == RolloutScenario(5, "slow").run().told()


def test_another_conductor_goes_on_with_the_watch_of_the_one_before():
    scene = Scene(
        plan=RolloutSpec(version="new", before="old", batch=2, watch_ms=60_000, watch_most_ms=90_000)
    )
    scene.come_up("a-0")
    shown = {name: Shown(True, {"late": (1, 10)}, 0, {"lookup": [30, 10]}) for name in NAMES}
    for _ in range(8):
        scene.look(shown=shown)
    kept, before = scene.release.course, scene.release.judgement
    assert kept.evidence.batch == 0 and kept.evidence.watched >= 20_000
    scene.release = Rollout(msgspec.json.decode(msgspec.json.encode(kept), type=RolloutRecord), scene.permits)
    scene.now += 500_000  # nobody led for a while: that time was not watched
    scene.look(shown=shown)
    after = scene.release.judgement
    assert (after.bounds, after.base) == (before.bounds, before.base) and after.bounds
    assert before.figures["late"].released.all - after.figures["late"].released.all <= 2 * 10
    assert after.watched(scene.now) is False and not after.over(scene.now)
    scene.release.halt("a word")
    assert scene.release.course.evidence is None  # who resumes watches it anew


@pytest.mark.parametrize(("version", "ended"), [("good", "done"), ("slow", "back")])
def test_conductors_that_follow_each_other_every_two_seconds_hold_no_watch_up(version, ended):
    for seed in range(8):
        told = RolloutScenario(seed, version, deaths=0.25).run().told()
        assert told["ended"] == ended and told["conductors"] >= 4, told
        assert not told["breaches"] and not told["drained_twice"], told
        assert version == "good" or told["halt_s"] < 10, told
