"""Rollouts: orders to the platform in each phase, and whole simulated rollouts in virtual time."""

import msgspec
import pytest

from birchslip.cluster.canary_analysis import MemberSample
from birchslip.cluster.disruption_budget import DisruptionBudget
from birchslip.cluster.disruption_types import BudgetGroup, MemberObservation, UnavailabilityReason
from birchslip.cluster.messages import Incarnation
from birchslip.cluster.rollout import Rollout, RolloutEvent
from birchslip.cluster.rollout_batches import plan_batches
from birchslip.cluster.rollout_types import (
    FleetView,
    InstanceStatus,
    InstanceView,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
)
from birchslip.lab.rollouts import VERSIONS, RolloutScenario

SITES = {"a": ["a-0", "a-1", "a-2"], "b": ["b-0", "b-1"]}
NAMES = [name for names in SITES.values() for name in names]
SPEC = RolloutSpec(
    version="new", previous_version="old", canaries=1, batch_size=2, min_watch_ms=1_000, max_watch_ms=5_000
)


class Harness:
    """A rollout whose platform and members are set by the test."""

    def __init__(self, max_unavailable=2, spec=SPEC, site_of=lambda name: ""):
        self.budget = DisruptionBudget(
            [BudgetGroup("fleet", frozenset(NAMES), max_unavailable=max_unavailable)]
        )
        self.rollout = Rollout(
            RolloutRecord(spec=spec, batches=plan_batches(spec, SITES)), self.budget, site_of
        )
        self.instances = {name: InstanceView(InstanceStatus.UP, "old") for name in NAMES}
        self.observations = {name: MemberObservation(Incarnation(nonce=1), 10.0) for name in NAMES}
        self.now = 0

    def step(self, lost_sites=(), samples=None):
        self.now += 5_000
        self.budget.reconcile(self.observations)
        view = FleetView(self.instances, self.observations, samples or {}, list(lost_sites))
        orders = self.rollout.step(view, self.now)
        return [(order.action.value, order.member, order.version) for order in orders]

    def take_down(self, name, status, version="old", failed_starts=0):
        self.instances[name] = InstanceView(status, version, failed_starts)
        self.observations[name] = MemberObservation(
            self.observations[name].incarnation, 10.0, UnavailabilityReason.DRAINING
        )

    def come_up(self, name, version="new"):
        self.instances[name] = InstanceView(InstanceStatus.UP, version)
        self.observations[name] = MemberObservation(
            Incarnation(nonce=self.observations[name].incarnation.nonce + 1), 10.0
        )


def good_samples():
    return {
        name: MemberSample(True, {"late": (0, 500), "shed": (0, 500), "written_off": (0, 500)})
        for name in NAMES
    }


def test_canaries_come_first_and_no_batch_spans_two_sites():
    assert plan_batches(SPEC, SITES) == [["a-0"], ["a-1", "a-2"], ["b-0", "b-1"]]
    assert plan_batches(RolloutSpec(version="n", previous_version="o", sites=["b"], batch_size=1), SITES) == [
        ["b-0"],
        ["b-1"],
    ]


def test_a_member_is_drained_once_started_and_watched_before_the_next_batch():
    harness = Harness()
    assert harness.step() == harness.step() == [("drain", "a-0", "new")]  # both by the same permit
    assert [permit.number for permit in harness.budget.state.permits] == [1]
    harness.take_down("a-0", InstanceStatus.DRAINING)
    assert harness.step() == []
    harness.take_down("a-0", InstanceStatus.STOPPED)
    assert harness.step() == [("start", "a-0", "new")]
    harness.come_up("a-0")
    assert harness.step() == []
    assert harness.rollout.analysis is not None
    for _ in range(3):
        harness.step(samples=good_samples())
    assert harness.rollout.record.batch_index == 1
    assert harness.step() == [("drain", "a-1", "new"), ("drain", "a-2", "new")]


def test_a_halt_is_immediate_and_restarts_stopped_members():
    harness = Harness()
    harness.step()
    harness.take_down("a-0", InstanceStatus.STOPPED)
    assert harness.rollout.halt("a reason")
    assert not harness.rollout.halt("again")
    assert harness.step() == [("start", "a-0", "new")]  # the new version was not found bad
    harness.come_up("a-0")
    assert harness.step() == harness.step() == []
    assert harness.rollout.resume("ann")
    assert harness.rollout.phase is RolloutPhase.RUNNING


def test_a_member_with_an_unused_permit_is_not_drained_after_a_halt():
    harness = Harness()
    assert harness.step() == [("drain", "a-0", "new")]
    harness.rollout.halt("a reason")
    assert harness.step() == []


def test_a_lost_site_halts_the_rollout_and_its_return_does_not_resume_it():
    harness = Harness()
    harness.step(lost_sites=["b"])
    assert harness.rollout.phase is RolloutPhase.HALTED
    assert "b" in harness.rollout.record.reason
    assert harness.step() == []
    assert harness.rollout.phase is RolloutPhase.HALTED


def test_a_permit_of_an_earlier_incarnation_drains_no_member():
    harness = Harness()
    harness.step()
    # It crashed and restarted.
    harness.observations["a-0"] = MemberObservation(Incarnation(nonce=2), 10.0, UnavailabilityReason.COLD)
    assert harness.step() == []
    harness.observations["a-0"] = MemberObservation(Incarnation(nonce=2), 10.0)
    assert harness.step() == [("drain", "a-0", "new")]
    assert harness.budget.state.permits[0].number == 2


def test_a_failed_start_is_retried_then_uses_the_previous_version_and_then_excludes_the_member():
    harness = Harness()
    harness.step()
    harness.take_down("a-0", InstanceStatus.FAILED, "new", 1)
    assert harness.step() == [("start", "a-0", "new")]
    harness.take_down("a-0", InstanceStatus.FAILED, "new", 2)
    assert harness.step() == [("start", "a-0", "old")]
    assert harness.rollout.record.version_is_bad
    assert harness.rollout.phase is RolloutPhase.HALTED
    assert not harness.rollout.resume("ann")
    harness.take_down("a-0", InstanceStatus.FAILED, "old", 2)
    assert harness.step() == []
    assert harness.rollout.record.excluded == ["a-0"]
    assert harness.rollout.roll_back("ann")
    harness.step()
    assert harness.rollout.phase is RolloutPhase.ROLLED_BACK  # the other members never left the old version


def test_a_rollback_takes_the_newest_batch_first_with_permits():
    harness = Harness(max_unavailable=1)
    for name in ("a-0", "a-1"):
        harness.come_up(name)
    harness.rollout.record.batch_index = 1
    harness.rollout.halt("a reason")
    harness.rollout.roll_back("ann")
    assert harness.step() == [("drain", "a-1", "old")]
    harness.take_down("a-1", InstanceStatus.STOPPED, "new")
    assert harness.step() == [("start", "a-1", "old")]
    harness.come_up("a-1", "old")
    assert harness.step() == [("drain", "a-0", "old")]
    harness.take_down("a-0", InstanceStatus.STOPPED, "new")
    harness.step()
    harness.come_up("a-0", "old")
    harness.step()
    assert harness.rollout.phase is RolloutPhase.ROLLED_BACK
    assert len(harness.rollout.record.history) == 3


@pytest.mark.parametrize(
    ("crashes", "phase"),
    [(1, RolloutPhase.RUNNING), (2, RolloutPhase.HALTED)],
    ids=["within the bound", "past it"],
)
def test_crashes_above_the_bound_halt_without_statistics(crashes, phase):
    """The platform counts crashes, so those that only an earlier leader observed count too."""
    harness = Harness(spec=msgspec.structs.replace(SPEC, max_crashes=1))
    harness.instances["a-0"] = InstanceView(InstanceStatus.UP, "new", crashes=crashes)
    harness.instances["a-1"] = InstanceView(InstanceStatus.UP, "old", crashes=9)
    harness.step()
    assert harness.rollout.phase is phase
    assert harness.rollout.record.version_is_bad is (phase is RolloutPhase.HALTED)


def site_of_name(name):
    return name[0]


def test_load_dependent_metrics_are_compared_only_within_a_site():
    harness = Harness(site_of=site_of_name)
    harness.come_up("a-0")
    harness.step()
    assert harness.rollout.analysis.margins == SPEC.margins
    busy = {
        name: MemberSample(True, {"shed": (900, 1_000) if name[0] == "a" else (0, 1_000)}) for name in NAMES
    }
    for _ in range(4):
        harness.step(samples=busy)
    assert harness.rollout.record.batch_index == 1
    assert not harness.rollout.record.version_is_bad
    for name in ("a-1", "a-2"):
        harness.come_up(name)
    harness.step()
    margins = harness.rollout.analysis.margins
    assert margins == {"slow": 0.3, "written_off": 0.04}
    busy = {name: MemberSample(True, {"shed": (900, 1_000) if name[0] == "a" else (0, 1_000),
                               "written_off": (0, 900)}) for name in NAMES}  # fmt: skip
    for _ in range(4):
        harness.step(samples=busy)
    assert harness.rollout.record.batch_index == 2
    assert harness.rollout.phase is RolloutPhase.RUNNING


def test_an_unclear_verdict_at_the_end_of_the_watch_halts():
    harness = Harness()
    harness.come_up("a-0")
    harness.step()
    few = {name: MemberSample(True, {"late": (0, 1)}) for name in NAMES}
    for _ in range(12):
        harness.step(samples=few)
    assert harness.rollout.phase is RolloutPhase.HALTED
    assert "unclear" in harness.rollout.record.reason
    assert not harness.rollout.record.version_is_bad


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"before": "new"}, "version: 'new' is also the version in 'before'; the two must differ"),
        ({"watch_most_ms": 10}, "watch_most_ms: 10 is less than watch_ms, 1000"),
        ({"sites": ["a", "a"]}, "sites: a name is listed twice"),
        ({"margins": {}}, "margins: empty, so no metric would be compared"),
        ({}, ""),
    ],
    ids=["same version", "watch bounds", "repeated site", "no margins", "valid"],
)
def test_contradictions_in_a_release_file_are_found(fields, expected):
    document = {"version": "new", "before": "old", "watch_ms": 1_000, "watch_most_ms": 2_000} | fields
    error = msgspec.convert(document, RolloutSpec).validation_error()
    assert expected in error
    assert bool(error) is bool(expected)


@pytest.mark.parametrize("version", VERSIONS)
def test_simulated_rollouts_complete_or_roll_back_by_their_version(version):
    reports = [RolloutScenario(seed, version).run(timeout_s=400).report() for seed in range(25)]
    assert not any(report["breaches"] or report["drained_twice"] or report["stuck"] for report in reports)
    assert {report["ended"] for report in reports} == ({"done"} if version == "good" else {"back"})
    if version != "good":
        assert max(report["exposed"] for report in reports) <= 3  # the canary and one batch
    halts = [report["halt_s"] for report in reports if report["halt_s"] is not None]
    assert not halts or max(halts) <= (30 if version in ("slow", "profile") else 10)


def test_a_seed_determines_the_rollout():
    assert RolloutScenario(5, "slow").run().report() == RolloutScenario(5, "slow").run().report()


def test_a_new_leader_continues_the_watch_from_stored_evidence():
    harness = Harness(
        spec=RolloutSpec(
            version="new", previous_version="old", batch_size=2, min_watch_ms=60_000, max_watch_ms=90_000
        )
    )
    harness.come_up("a-0")
    samples = {name: MemberSample(True, {"late": (1, 10)}, 0, {"lookup": [30, 10]}) for name in NAMES}
    for _ in range(8):
        harness.step(samples=samples)
    record, earlier = harness.rollout.record, harness.rollout.analysis
    assert record.evidence.batch_index == 0
    assert record.evidence.watched >= 20_000
    harness.rollout = Rollout(
        msgspec.json.decode(msgspec.json.encode(record), type=RolloutRecord), harness.budget
    )
    harness.now += 500_000  # time without a leader does not count as watched
    harness.step(samples=samples)
    later = harness.rollout.analysis
    assert (later.slow_bounds, later.duration_histograms) == (
        earlier.slow_bounds,
        earlier.duration_histograms,
    )
    assert later.slow_bounds
    assert earlier.metrics["late"].canary.total - later.metrics["late"].canary.total <= 2 * 10
    assert later.has_minimum_watch(harness.now) is False
    assert not later.has_expired(harness.now)
    harness.rollout.halt("a reason")
    assert harness.rollout.record.evidence is None  # a resumed rollout watches the batch again


@pytest.mark.parametrize(("version", "ended"), [("good", "done"), ("slow", "back")])
def test_frequent_changes_of_the_leader_delay_no_watch(version, ended):
    for seed in range(8):
        report = RolloutScenario(seed, version, takeover_rate=0.25).run().report()
        assert report["ended"] == ended, report
        assert report["conductors"] >= 4, report
        assert not report["breaches"], report
        assert not report["drained_twice"], report
        assert version == "good" or report["halt_s"] < 10, report


EVENTS = {
    RolloutEvent.HALT: lambda rollout: rollout.halt("the test"),
    RolloutEvent.RESUME: lambda rollout: rollout.resume("ann"),
    RolloutEvent.ROLL_BACK: lambda rollout: rollout.roll_back("ann"),
    RolloutEvent.COMPLETE: lambda rollout: rollout.complete("the test"),
    RolloutEvent.FINISH_ROLLBACK: lambda rollout: rollout.finish_rollback("the test"),
}
EXPECTED_TRANSITIONS = {
    ("running", "halt"): "halted",
    ("running", "roll back"): "backing",
    ("running", "complete"): "done",
    ("halted", "resume"): "running",
    ("halted", "roll back"): "backing",
    ("backing", "halt"): "halted",
    ("backing", "finish rollback"): "back",
    ("done", "roll back"): "backing",
}


@pytest.mark.parametrize("event", RolloutEvent, ids=lambda event: event.value)
@pytest.mark.parametrize("phase", RolloutPhase, ids=lambda phase: phase.value)
def test_each_event_takes_its_transition_or_changes_nothing(phase, event):
    rollout = Harness().rollout
    rollout.record.phase = phase.value
    expected = EXPECTED_TRANSITIONS.get((phase.value, event.value))
    before = msgspec.json.encode(rollout.record)
    assert EVENTS[event](rollout) is (expected is not None)
    if expected is None:
        assert msgspec.json.encode(rollout.record) == before
    else:
        assert rollout.phase is RolloutPhase(expected)
        assert rollout.record.history[-1].startswith(f"0.0 s: {expected}: ")
