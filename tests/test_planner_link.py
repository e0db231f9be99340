"""An app server's link to its planners: what the controller receives, and what holds without a reply."""

import json
import time

import pytest

from birchslip.admission.driver import AdmissionDriver
from birchslip.admission.types import (
    AdmissionSettings,
    Downstream,
    Idempotency,
    RequestClass,
    SheddingTier,
    Tenant,
)
from birchslip.cluster import planner_link
from birchslip.cluster.messages import Incarnation, PlanAssignment, ReportReply, decode, encode
from birchslip.cluster.monotonic_clock import monotonic_now
from birchslip.errors import InvalidInputError
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.program import Program
from birchslip.net.scheduler import Scheduler
from birchslip.net.site import read_config
from examples.toy import CONFIGURATION

from .planner_harness import SECOND, make_fleet, make_report

LEADER_INCARNATION = Incarnation(generation=1, nonce=7)


class LinkedServer:
    """A planner link with an admission controller, and a clock that the test sets."""

    def __init__(self, folder, monkeypatch):
        self.now = 0
        monkeypatch.setattr(planner_link, "monotonic_now", lambda: self.now)
        self.tenant = Tenant(10.0)
        request_class = RequestClass(Idempotency.IDEMPOTENT, SECOND, 4 * SECOND)
        self.settings = AdmissionSettings(
            [request_class], [self.tenant], downstream=Downstream.SHARED, downstream_quota=4.0
        )
        scheduler = Scheduler(lambda: None, lambda name, error: None, lambda: self.now)
        self.link = planner_link.PlannerLink(
            scheduler,
            Counters(),
            Log(scheduler, "a-0"),
            make_fleet(folder),
            "a-0",
            self.settings,
            ["blue"],
            ["order"],
        )
        self.link.driver = AdmissionDriver(
            self.settings, 0, lambda request, action: None, lambda action: None
        )
        self.controller = self.link.driver.controller

    def receive_reply(self, sent, now, **fields):
        self.now = self.link.scheduler.now = now
        reply = ReportReply(term=64, planner=LEADER_INCARNATION, is_leading=True, **fields)
        if self.link.subscription.accept(reply, sent, now):
            self.link.apply_reply(reply, now)
        self.link.apply_lease()


@pytest.fixture
def linked(tmp_path, monkeypatch):
    return LinkedServer(tmp_path, monkeypatch)


def make_assignment(**overrides):
    defaults = {
        "term": 64,
        "number": 1,
        "validity_span": 4 * SECOND,
        "fade_span": SECOND,
        "quotas": {"blue": 3.0, "nobody": 9.0},
        "evacuated_callers": [5],
        "evacuated_quota": 2.0,
        "shedding_order": ["visitor", "something new", "home"],
        "serving_fraction": 0.5,
        "is_listed": True,
        "is_capacity_short": True,
    }
    return PlanAssignment(**defaults | overrides)


def test_without_a_lease_only_the_unleased_calls_are_allowed(linked):
    linked.link.apply_lease()
    assert linked.controller.downstream.quota == 2.0  # half of an equal share of 24 calls among six members


def test_a_lease_that_expires_during_a_pause_binds_before_the_next_batch(linked):
    linked.receive_reply(0, 100, call_limit=5.0, lease_span=3 * SECOND)
    assert linked.controller.downstream.quota == 5.0
    linked.now = 60 * SECOND  # the process was paused for a minute
    linked.link.apply_lease()
    assert linked.controller.downstream.quota == 2.0
    assert linked.link.counters.counts["fleet.leases_lapsed"] == 1


def test_the_clock_of_leases_does_not_follow_the_system_clock(monkeypatch):
    before = monotonic_now()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0 <= monotonic_now() - before < 60 * SECOND


def test_an_assignment_is_applied_without_unknown_tenants_and_tiers(linked):
    linked.receive_reply(0, 1_000, assignment=make_assignment())
    plan = linked.controller.plan.plan
    assert (plan.term, plan.number, plan.expires_at) == (64, 1, 4 * SECOND)
    assert plan.quotas == {linked.tenant: 3.0}
    assert plan.evacuated_callers == {5}
    assert plan.evacuated_quota == 2.0
    assert plan.shedding_order == (SheddingTier.EVACUATED, SheddingTier.LOCAL)
    assert plan.serving_fraction == 0.5
    assert plan.is_capacity_short


def test_an_expired_assignment_or_one_of_a_follower_is_not_applied(linked):
    linked.receive_reply(0, 5 * SECOND, assignment=make_assignment())
    linked.now = 6 * SECOND
    reply = ReportReply(
        term=65, planner=LEADER_INCARNATION, is_leading=False, assignment=make_assignment(term=65, number=9)
    )
    assert not linked.link.subscription.accept(reply, linked.now, linked.now)
    assert linked.controller.plan.plan.term == 0
    assert not linked.controller.plan.weight


def test_reports_count_local_and_evacuated_first_attempts_and_retries_apart(linked):
    rates = linked.link.recorder.rates
    for tenant, is_local, is_retry in [("blue", True, False)] * 4 + [
        ("blue", False, False),
        ("blue", True, True),
    ]:
        rates.record_arrival(SECOND, tenant, is_local, is_retry)
    rates.record_answers(SECOND, 3, 2)
    linked.link.scheduler.now = SECOND
    decoded = decode(encode(linked.link.build_report(SECOND)), type(make_report()))
    assert (decoded.local_load, decoded.evacuated_load, decoded.retries) == ({"blue": 2.0}, 0.5, 0.5)
    assert (decoded.served, decoded.rejected, decoded.call_limit, decoded.capacity) == (1.5, 1.0, 2.0, 0.0)


def test_outcomes_are_counted_by_request_class_and_late_ones_count_after_the_caller_left(linked):
    outcome_counts = linked.link.recorder.outcome_counts
    for outcome, is_late in [("honoured", False), ("honoured", True), ("shed", False), ("written_off", False),
                       ("gone", True), ("gone", False), ("erred", False)]:  # fmt: skip
        outcome_counts.record_answer("order", outcome, 500, is_late)
    totals = outcome_counts.totals({"relay.called": 4, "relay.overdue": 1, "relay.severed": 1})
    assert totals == {
        "late:order": (2, 3),
        "shed:order": (1, 5),
        "written_off:order": (2, 4),
        "calls": (2, 4),
    }
    outcome_counts.record_answer("order", "honoured", -1, False)  # a repeated request
    report = linked.link.build_report(SECOND)
    assert report.resident_memory_kb > 1_000
    assert report.latency_histograms["order"][5] == 2


def test_a_changed_listing_is_notified_at_once(linked):
    notified_at = []
    linked.link.on_listing_changed = lambda: notified_at.append(linked.now)
    assert not linked.link.update_listing()
    linked.receive_reply(0, 10, assignment=make_assignment())
    assert notified_at == [10]
    assert linked.link.update_listing()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{}",
        b"[]",
        b'{"epoch": -1}',
        encode(make_report())[:-9],
        encode(make_report()).replace(b"100.0", b"-1.0"),
        "text",
    ],
)
def test_a_malformed_message_is_refused_with_a_reason(raw):
    with pytest.raises(InvalidInputError, match="Re"):
        decode(
            raw, type(make_report()) if b"name" in (raw if isinstance(raw, bytes) else b"") else ReportReply
        )


def test_a_fault_of_the_planner_link_affects_no_request(tmp_path, monkeypatch):
    path = tmp_path / "config.json"
    configuration = json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0", "name": "a-0"}
    path.write_text(json.dumps(configuration))
    program = Program(read_config({"PROXY_CONFIG": str(path)}))
    faults, taken, settled = [], [], []
    program.scheduler.on_error = lambda name, error: faults.append(name)
    program.request_decoder.submit = taken.append
    program.admission_stage.process_pending = lambda: settled.append(True)

    class Faulty:
        record_arrival = apply_lease = record_answer = lambda *_: 1 / 0

    program.attach_fleet_member(Faulty())
    program.request_decoder.submit("a passage")
    program.finish_pass()
    program.response_recorder.on_answered("a passage", "honoured")
    assert taken == ["a passage"]
    assert settled
    assert faults == ["companion"] * 3
