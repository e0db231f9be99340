"""Planner state: the instructions that result from reports, in virtual time, and the cost of a plan."""

import random
import time

import pytest

from birchslip.cluster.election import Election
from birchslip.cluster.messages import EvictionOperation, EvictionRequest, Incarnation
from birchslip.cluster.operator_views import fleet_status, site_loss_forecast
from birchslip.cluster.planner_state import PlannerState
from birchslip.cluster.recovery_ramp import RecoveryStage
from birchslip.cluster.site_capacity import SiteCapacity
from birchslip.cluster.site_plan import plan_sites
from birchslip.lab.months import simulate_days

from .planner_harness import SECOND, SimulatedPlanner, make_fleet, make_report


def serving_fractions(planner, site):
    plans = [reply.assignment for name, reply in planner.replies.items() if name.startswith(f"{site}-")]
    return {plan.serving_fraction for plan in plans if plan is not None}


def test_while_every_site_serves_the_plan_restricts_nothing(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    assignment = planner.replies["a-0"].assignment
    assert (
        assignment.serving_fraction,
        assignment.quotas,
        assignment.shedding_order,
        assignment.evacuated_callers,
        assignment.is_capacity_short,
    ) == (1.0, {}, [], [], False)
    assert assignment.is_listed
    assert planner.replies["a-0"].is_leading


def test_a_lost_site_is_evacuated_within_a_second_and_recovers_in_steps(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    planner.lose_site("a")
    planner.advance(1)
    (at, fields), *others = planner.events_named("site_lost")
    assert fields["site"] == "a"
    assert at <= 5.0
    assert not others
    assignment = planner.replies["b-1"].assignment
    assert assignment.evacuated_callers == [0]
    assert assignment.shedding_order == ["beyond", "again", "visitor", "home"]
    assert assignment.is_capacity_short is False
    assert sum(assignment.quotas.values()) + assignment.evacuated_quota >= 100.0
    assert assignment.evacuated_quota == pytest.approx(40.0)
    planner.restore_site("a", is_warm=False)
    planner.advance(0.5)
    assert planner.replies["a-0"].assignment.serving_fraction in (0.0, 0.5)
    planner.advance(2)
    ramp = planner.state.sites.ramps["a"]
    assert serving_fractions(planner, "a") == {1.0}
    assert ramp.stage is RecoveryStage.STEP  # its members are cold, so the site is not serving yet
    planner.report_fields = {name: {} for name in planner.names}
    planner.advance(3)
    assert ramp.stage is RecoveryStage.SERVING
    assert planner.replies["b-0"].assignment.evacuated_callers == []


def test_a_partitioned_site_that_answers_probes_is_not_evacuated(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    planner.probe_outcome = "answered"
    planner.lose_site("a")
    planner.advance(20)
    assert not planner.events_named("site_lost")
    assert serving_fractions(planner, "b") == {1.0}
    assert planner.replies["b-0"].call_limit == 4.0  # its own share only: members of a still call


def test_the_quota_of_a_lost_site_is_lent_only_after_its_lease_and_returned(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(8)
    assert planner.replies["a-0"].call_limit == planner.replies["b-0"].call_limit == 4.0
    planner.lose_site("a")
    planner.advance(2)
    assert planner.replies["b-0"].call_limit == 4.0
    planner.advance(3)
    assert planner.replies["b-0"].call_limit == 5.0  # 2 from each lost member, shared by four
    planner.restore_site("a")
    planner.advance(0.4)
    assert planner.replies["a-0"].call_limit == 2.0  # the reserved part, as the rest is still leased
    planner.advance(8)
    assert {reply.call_limit for reply in planner.replies.values()} == {4.0}


def test_two_lost_sites_are_both_found_and_local_load_is_rejected_last(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    planner.lose_site("a")
    planner.lose_site("b")
    planner.advance(3)
    assert {fields["site"] for _, fields in planner.events_named("site_lost")} == {"a", "b"}
    assignment = planner.replies["c-0"].assignment
    assert assignment.is_capacity_short
    assert sorted(assignment.evacuated_callers) == [0, 1]
    rejected = planner.state.plans.published.rejected_by_site
    assert rejected["c"] == 0.0 or rejected["c"] < rejected["a"]


def test_a_replicated_state_is_restored_by_the_next_leader(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    planner.state.evacuate_site("b", "ann", "cooling", planner.now)
    planner.advance(1)
    durable = planner.state.election.durable
    election = Election("p0", ["p0"], durable, 2, planner.now, random.Random(2))
    before = planner.state.leadership.term
    planner.state = PlannerState(planner.fleet, election, planner.now)
    planner.advance(4)
    assert planner.state.leadership.term > before
    assert planner.state.sites.ramps["b"].evacuated_by_operator
    assert serving_fractions(planner, "b") == {0.0}
    assert serving_fractions(planner, "a") == {1.0}
    assert planner.state.end_site_evacuation("b", "ann", planner.now)
    planner.advance(6)
    assert serving_fractions(planner, "b") == {1.0}


def test_a_higher_term_in_a_report_ends_this_one_and_the_next_starts_above_it(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    planner.report_fields["c-1"] = {"plan_term": 6400}
    planner.advance(4)
    assert planner.state.leadership.term > 6400
    assert planner.events_named("leadership_lost")


@pytest.mark.parametrize(
    "invalid_report",
    [
        make_report("a-0", sequence=10**9, site="b"),
        make_report("nobody-7", site="a"),
        make_report("a-0", sequence=1, nonce=1),
    ],
    ids=["another site", "unknown member", "late"],
)
def test_an_invalid_report_changes_nothing(tmp_path, invalid_report):
    planner = SimulatedPlanner(tmp_path).advance(4)
    before = planner.state.membership.members["a-0"].report
    reply = planner.state.receive_report(invalid_report, planner.now)
    assert planner.state.membership.members["a-0"].report is before
    assert set(planner.state.membership.members) == set(planner.names)
    assert reply.is_leading is (invalid_report.name == "a-0" and invalid_report.site == "a")


def test_the_forecast_of_a_site_loss_shows_its_flows_and_the_missing_capacity(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(6)
    forecast = site_loss_forecast(planner.state, "a")
    assert forecast["load"] == pytest.approx(120.0, rel=0.01)
    assert forecast["short_by"] == 0
    assert sum(flow for *_, flow in forecast["flows"]) == pytest.approx(120.0, rel=0.01)
    assert forecast["vault"]["may_be"] == 20.0  # of 24: without the reserved part of a's members
    status = fleet_status(planner.state, planner.now)
    assert [site["verdict"] for site in status["sites"]] == ["here"] * 3
    assert len(status["members"]) == 6


GROUPS = [
    {"name": "fleet", "all": True, "most_out": 2},
    *({"name": site, "sites": [site], "most_out": 1} for site in "abc"),
]


def request_eviction(planner, holder, operation=EvictionOperation.REQUEST_PERMIT, **fields):
    version, response = planner.state.handle_eviction(
        EvictionRequest(operation=operation, holder=holder, reason="a release", **fields), planner.now
    )
    planner.advance(0.2)
    assert version <= planner.state.leadership.replicated_version
    return response


def test_permits_count_draining_and_cold_members_and_end_when_their_holders_are_back(tmp_path):
    planner = SimulatedPlanner(tmp_path, groups=GROUPS).advance(4)
    assert request_eviction(planner, "a-0").granted
    assert request_eviction(planner, "a-0").permit_number == 1
    planner.report_fields["b-0"] = {"is_draining": True}
    planner.advance(1)
    waiting = request_eviction(planner, "b-1")
    assert (waiting.granted, waiting.queue_position) == (False, 1)
    assert "may be" in waiting.reason
    planner.incarnations["a-0"], planner.report_fields["a-0"] = 2, {"is_warm": False}
    planner.incarnations["b-0"], planner.report_fields["b-0"] = 2, {}
    planner.advance(1)
    status = fleet_status(planner.state, planner.now)
    assert status["out"] == {"a-0": "cold", "b-1": "permit"}  # b-0 is back, so the waiting b-1 is granted
    planner.report_fields["a-0"] = {}
    planner.advance(1)
    assert [permit["holder"] for permit in fleet_status(planner.state, planner.now)["permits"]] == ["b-1"]


def test_the_loss_of_a_site_exhausts_the_disruption_budget(tmp_path):
    planner = SimulatedPlanner(tmp_path, groups=GROUPS).advance(4)
    planner.lose_site("a")
    planner.advance(1)
    assert not request_eviction(planner, "b-0").granted
    planner.restore_site("a")
    planner.advance(4)
    assert fleet_status(planner.state, planner.now)["permits"][0]["holder"] == "b-0"


def test_a_permit_survives_its_leader_and_an_override_is_recorded(tmp_path):
    planner = SimulatedPlanner(tmp_path, groups=GROUPS).advance(4)
    assert request_eviction(planner, "a-0").granted
    assert not request_eviction(planner, "a-1").granted
    election = Election("p0", ["p0"], planner.state.election.durable, 2, planner.now, random.Random(2))
    planner.state = PlannerState(planner.fleet, election, planner.now)
    planner.advance(4)
    assert request_eviction(planner, "a-0").permit_number == 1
    assert request_eviction(
        planner, "", EvictionOperation.GRANT_OVERRIDE, operator="ann", count=1, span=SECOND * 60
    ).granted
    assert request_eviction(planner, "a-1", EvictionOperation.BYPASS_BUDGET).granted
    assert any("ann" in line for line in fleet_status(planner.state, planner.now)["record"])
    assert not request_eviction(planner, "nobody").granted
    assert request_eviction(planner, "a-1", EvictionOperation.RETURN_PERMIT).granted


def test_a_simulated_day_of_pauses_and_restarts_has_no_false_evacuation():
    report_of_day = simulate_days(days=1, seed=4)
    assert report_of_day["false_evacuations"] == 0
    assert report_of_day["restarts"] > 20
    assert report_of_day["pauses"] > 20


@pytest.mark.parametrize("members", [1_000])
def test_a_plan_for_a_thousand_members_is_fast(members):
    member_capacities = [{f"s{site}-{n}": 50.0 for n in range(members // 9)} for site in range(9)]
    load = {f"t{n}": 500.0 for n in range(8)}
    capacities = [SiteCapacity(f"s{n}", member_capacities[n], dict(load), is_lost=n == 0) for n in range(9)]
    times = []
    for _ in range(5):
        began = time.perf_counter()
        plan_sites(capacities, {}, {})
        times.append(time.perf_counter() - began)
    assert min(times) < 0.05


def test_replies_carry_the_incarnation_of_the_planner(tmp_path):
    planner = SimulatedPlanner(tmp_path).advance(4)
    assert planner.replies["a-0"].planner == Incarnation(generation=1, nonce=1)
    assert make_fleet(tmp_path).shedding_order[0].value == "beyond"
    assert planner.now == 4 * SECOND
