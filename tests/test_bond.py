"""An app server's tie to its planners: what is told to the decisions, and what binds without a word."""

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
from birchslip.cluster import planner_link as bonds
from birchslip.cluster.messages import Incarnation, PlanAssignment, ReportReply, decode, encode
from birchslip.cluster.monotonic_clock import monotonic_now
from birchslip.errors import InvalidInputError
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.program import Program
from birchslip.net.scheduler import Scheduler
from birchslip.net.site import read_site
from examples.toy import CONFIGURATION

from .fleetdesk import SECOND, fleet, report

AUTHOR = Incarnation(life=1, mark=7)


class Tie:
    """A bond with the decisions of an app server, and a clock set by hand."""

    def __init__(self, folder, monkeypatch):
        self.now = 0
        monkeypatch.setattr(bonds, "monotonic_now", lambda: self.now)
        self.tenant = Tenant(10.0)
        profile = RequestClass(Idempotency.IDEMPOTENT, SECOND, 4 * SECOND)
        self.site = AdmissionSettings(
            [profile], [self.tenant], downstream=Downstream.SHARED, downstream_quota=4.0
        )
        scheduler = Scheduler(lambda: None, lambda name, trouble: None, lambda: self.now)
        self.bond = bonds.PlannerLink(
            scheduler, Counters(), Log(scheduler, "a-0"), fleet(folder), "a-0", self.site, ["blue"], ["order"]
        )
        self.bond.driver = AdmissionDriver(self.site, 0, lambda tx, wish: None, lambda notice: None)
        self.controller = self.bond.driver.controller

    def hear(self, sent, now, **more):
        self.now = self.bond.scheduler.now = now
        reply = ReportReply(epoch=64, author=AUTHOR, leads=True, **more)
        if self.bond.obey.take(reply, sent, now):
            self.bond.carry_out(reply, now)
        self.bond.check()


@pytest.fixture
def tie(tmp_path, monkeypatch):
    return Tie(tmp_path, monkeypatch)


def tell(**more):
    usual = {
        "epoch": 64,
        "plan": 1,
        "span": 4 * SECOND,
        "fade": SECOND,
        "quotas": {"blue": 3.0, "nobody": 9.0},
        "visitors": [5],
        "visits": 2.0,
        "order": ["visitor", "something new", "home"],
        "level": 0.5,
        "listed": True,
        "short": True,
    }
    return PlanAssignment(**usual | more)


def test_without_a_lease_the_kept_part_alone_may_be_in_hand(tie):
    tie.bond.check()
    assert tie.controller.downstream.quota == 2.0  # half of an even share of 24 among six


def test_a_lease_that_ended_in_a_pause_binds_before_the_next_batch(tie):
    tie.hear(0, 100, share=5.0, lease=3 * SECOND)
    assert tie.controller.downstream.quota == 5.0
    tie.now = 60 * SECOND  # stopped for a minute
    tie.bond.check()
    assert tie.controller.downstream.quota == 2.0 and tie.bond.counters.counts["fleet.leases_lapsed"] == 1


def test_the_clock_of_leases_does_not_follow_the_systems(monkeypatch):
    before = monotonic_now()
    monkeypatch.setattr(time, "time_ns", lambda: 0)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0 <= monotonic_now() - before < 60 * SECOND


def test_a_plan_reaches_the_decisions_with_what_is_known_here(tie):
    tie.hear(0, 1_000, tell=tell())
    plan = tie.controller.plan.plan
    assert (plan.term, plan.number, plan.expires_at) == (64, 1, 4 * SECOND)
    assert plan.quotas == {tie.tenant: 3.0}
    assert plan.evacuated_callers == {5} and plan.evacuated_quota == 2.0
    assert plan.shedding_order == (SheddingTier.EVACUATED, SheddingTier.LOCAL)
    assert plan.serving_fraction == 0.5 and plan.is_capacity_short


def test_a_plan_that_came_too_late_or_from_nobody_who_leads_is_not_taken_over(tie):
    tie.hear(0, 5 * SECOND, tell=tell())
    tie.now = 6 * SECOND
    reply = ReportReply(epoch=65, author=AUTHOR, leads=False, tell=tell(epoch=65, plan=9))
    assert not tie.bond.obey.take(reply, tie.now, tie.now)
    assert tie.controller.plan.plan.term == 0 and not tie.controller.plan.weight


def test_what_it_reports_counts_first_tries_at_home_visits_and_further_tries_apart(tie):
    rates = tie.bond.rates
    for tenant, at_home, again in [("blue", True, False)] * 4 + [
        ("blue", False, False),
        ("blue", True, True),
    ]:
        rates.arrived(SECOND, tenant, at_home, again)
    rates.answered(SECOND, 3, 2)
    tie.bond.scheduler.now = SECOND
    told = decode(encode(tie.bond.told(SECOND)), type(report()))
    assert (told.load, told.visits, told.again) == ({"blue": 2.0}, 0.5, 0.5)
    assert (told.honoured, told.shed, told.share, told.room) == (1.5, 1.0, 2.0, 0.0)


def test_figures_grow_by_profile_and_late_ones_whose_caller_left_count(tie):
    figures = tie.bond.figures
    for what, late in [("honoured", False), ("honoured", True), ("shed", False), ("written_off", False),
                       ("gone", True), ("gone", False), ("erred", False)]:  # fmt: skip
        figures.answered("order", what, 500, late)
    told = figures.told({"relay.called": 4, "relay.overdue": 1, "relay.severed": 1})
    assert told == {"late:order": (2, 3), "shed:order": (1, 5), "written_off:order": (2, 4), "calls": (2, 4)}
    figures.answered("order", "honoured", -1, False)  # a repeat
    report = tie.bond.told(SECOND)
    assert report.memory > 1_000 and report.took["order"][5] == 2  # 50 ms lies below 56.6 ms


def test_a_listing_that_changes_is_said_at_once(tie):
    said = []
    tie.bond.listing_changed = lambda: said.append(tie.now)
    assert not tie.bond.may_be_listed()
    tie.hear(0, 10, tell=tell())
    assert said == [10] and tie.bond.may_be_listed()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"{}",
        b"[]",
        b'{"epoch": -1}',
        encode(report())[:-9],
        encode(report()).replace(b"100.0", b"-1.0"),
        "text",
    ],
)
def test_a_record_that_can_not_be_is_refused_with_a_reason(raw):
    with pytest.raises(InvalidInputError, match="Re"):
        decode(raw, type(report()) if b"name" in (raw if isinstance(raw, bytes) else b"") else ReportReply)


def test_a_fault_on_the_fleets_side_costs_no_transaction_anything(tmp_path, monkeypatch):
    path = tmp_path / "config.json"
    told = json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0", "name": "a-0"}
    path.write_text(json.dumps(told))
    program = Program(read_site({"PROXY_CONFIG": str(path)}))
    faults, taken, settled = [], [], []
    program.scheduler.fault = lambda name, trouble: faults.append(name)
    program.take_in.admit = taken.append
    program.admit.settle = lambda: settled.append(True)

    class Faulty:
        seen = check = answered = lambda *_: 1 / 0

    program.accompany(Faulty())
    program.take_in.admit("a passage")
    program.settle()
    program.book.told("a passage", "honoured")
    assert taken == ["a passage"] and settled and faults == ["companion"] * 3
