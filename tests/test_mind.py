"""A planner's mind among reports made by hand, in virtual time, and what it costs at size."""

import random
import time

import pytest

from birchslip.cluster.election import Election
from birchslip.cluster.messages import EvictionOperation, EvictionRequest, Incarnation
from birchslip.cluster.planner_state import PlannerState
from birchslip.cluster.site_plan import SiteCapacity, plan
from birchslip.lab.months import play_month

from .fleetdesk import SECOND, Stage, fleet, report


def levels(stage, site):
    tells = [reply.assignment for name, reply in stage.replies.items() if name.startswith(f"{site}-")]
    return {tell.serving_fraction for tell in tells if tell is not None}


def test_with_every_site_at_home_the_plan_changes_nothing(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    told = stage.replies["a-0"].assignment
    assert (
        told.serving_fraction,
        told.quotas,
        told.shedding_order,
        told.evacuated_callers,
        told.is_capacity_short,
    ) == (1.0, {}, [], [], False)
    assert told.is_listed and stage.replies["a-0"].is_leading


def test_a_site_that_is_killed_is_evacuated_within_a_second_and_comes_back_by_steps(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    stage.lose("a")
    stage.pass_time(1)
    (at, lost), *more = stage.said("site lost")
    assert lost["site"] == "a" and at <= 5.0 and not more
    told = stage.replies["b-1"].assignment
    assert (
        told.evacuated_callers == [0]
        and told.shedding_order == ["beyond", "again", "visitor", "home"]
        and told.is_capacity_short is False
    )
    assert sum(told.quotas.values()) + told.evacuated_quota >= 100.0
    assert told.evacuated_quota == pytest.approx(40.0)
    stage.give_back("a", is_warm=False)
    stage.pass_time(0.5)
    assert stage.replies["a-0"].assignment.serving_fraction in (0.0, 0.5)
    stage.pass_time(2)
    assert (
        levels(stage, "a") == {1.0} and stage.mind.comebacks["a"].stage.value == "step"
    )  # cold: not home yet
    stage.told = {name: {} for name in stage.names}
    stage.pass_time(3)
    assert (
        stage.mind.comebacks["a"].stage.value == "home"
        and stage.replies["b-0"].assignment.evacuated_callers == []
    )


def test_a_site_that_is_cut_off_and_answers_at_its_doors_is_left_alone(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    stage.shut = "answered"
    stage.lose("a")
    stage.pass_time(20)
    assert not stage.said("site lost") and levels(stage, "b") == {1.0}
    assert stage.replies["b-0"].call_limit == 4.0  # its own, and nothing of those that go on calling


def test_a_survivor_gets_of_a_lost_share_only_after_its_lease_and_gives_it_back(tmp_path):
    stage = Stage(tmp_path).pass_time(8)
    assert stage.replies["a-0"].call_limit == stage.replies["b-0"].call_limit == 4.0
    stage.lose("a")
    stage.pass_time(2)
    assert stage.replies["b-0"].call_limit == 4.0
    stage.pass_time(3)
    assert stage.replies["b-0"].call_limit == 5.0  # 2 of each of two members, among four survivors
    stage.give_back("a")
    stage.pass_time(0.4)
    assert stage.replies["a-0"].call_limit == 2.0  # the kept part: the rest is still out
    stage.pass_time(8)
    assert {reply.call_limit for reply in stage.replies.values()} == {4.0}


def test_two_lost_sites_are_both_found_and_home_load_goes_last(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    stage.lose("a")
    stage.lose("b")
    stage.pass_time(3)
    assert {more["site"] for _, more in stage.said("site lost")} == {"a", "b"}
    told = stage.replies["c-0"].assignment
    assert told.is_capacity_short and sorted(told.evacuated_callers) == [0, 1]
    made = stage.mind.told
    assert made.refused_at["c"] == 0.0 or made.refused_at["c"] < made.refused_at["a"]


def test_a_state_that_was_kept_is_taken_over_by_the_next_leader(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    stage.mind.evacuate("b", "ann", "cooling", stage.now)
    stage.pass_time(1)
    durable = stage.mind.ballot.durable
    ballot = Election("p0", ["p0"], durable, 2, stage.now, random.Random(2))
    before = stage.mind.reign
    stage.mind = PlannerState(stage.fleet, ballot, stage.now)
    stage.pass_time(4)
    assert stage.mind.reign > before and stage.mind.comebacks["b"].by_hand
    assert levels(stage, "b") == {0.0} and levels(stage, "a") == {1.0}
    assert stage.mind.give_back("b", "ann", stage.now)
    stage.pass_time(6)
    assert levels(stage, "b") == {1.0}


def test_a_higher_epoch_that_members_obey_ends_the_reign_and_the_next_begins_above_it(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    stage.told["c-1"] = {"plan_term": 6400}
    stage.pass_time(4)
    assert stage.mind.reign > 6400 and stage.said("no longer leads")


@pytest.mark.parametrize(
    "odd",
    [
        report("a-0", number=10**9, site="b"),
        report("nobody-7", site="a"),
        report("a-0", number=1, mark=1),
    ],
    ids=["another site's", "a stranger's", "a late one"],
)
def test_a_report_that_does_not_fit_changes_nothing(tmp_path, odd):
    stage = Stage(tmp_path).pass_time(4)
    before = stage.mind.membership.members["a-0"].report
    reply = stage.mind.hear(odd, stage.now)
    assert stage.mind.membership.members["a-0"].report is before
    assert set(stage.mind.membership.members) == set(stage.names)
    assert reply.is_leading is (odd.name == "a-0" and odd.site == "a")


def test_what_if_tells_where_load_would_go_and_what_would_be_short(tmp_path):
    stage = Stage(tmp_path).pass_time(6)
    told = stage.mind.foresee("a")
    assert told["load"] == pytest.approx(120.0, rel=0.01)
    assert told["short_by"] == 0 and sum(flow for *_, flow in told["flows"]) == pytest.approx(120.0, rel=0.01)
    assert told["vault"]["may_be"] == 20.0  # what a's members have, less the part that is never lent
    shown = stage.mind.show(stage.now)
    assert [site["verdict"] for site in shown["sites"]] == ["here"] * 3 and len(shown["members"]) == 6


GROUPS = [
    {"name": "fleet", "all": True, "most_out": 2},
    *({"name": site, "sites": [site], "most_out": 1} for site in "abc"),
]


def want(stage, holder, what="permit", **more):
    operation = EvictionOperation(what)
    request = EvictionRequest(operation=operation, holder=holder, reason="a release", **more)
    number, granted = stage.mind.want(request, stage.now)
    stage.pass_time(0.2)
    assert number <= stage.mind.kept_number
    return granted


def test_permits_count_the_lost_the_leaving_and_the_cold_and_end_when_seen_back(tmp_path):
    stage = Stage(tmp_path, groups=GROUPS).pass_time(4)
    assert want(stage, "a-0").granted and want(stage, "a-0").permit_number == 1
    stage.told["b-0"] = {"is_draining": True}
    stage.pass_time(1)
    waiting = want(stage, "b-1")
    assert (waiting.granted, waiting.queue_position) == (False, 1) and "may be" in waiting.reason
    stage.marks["a-0"], stage.told["a-0"] = 2, {"is_warm": False}
    stage.marks["b-0"], stage.told["b-0"] = 2, {}
    stage.pass_time(1)
    shown = stage.mind.show(stage.now)
    assert shown["out"] == {"a-0": "cold", "b-1": "permit"}  # b-0 is back, so the one who waited is served
    stage.told["a-0"] = {}
    stage.pass_time(1)
    assert [one["holder"] for one in stage.mind.show(stage.now)["permits"]] == ["b-1"]


def test_the_loss_of_a_site_uses_up_what_may_be_out(tmp_path):
    stage = Stage(tmp_path, groups=GROUPS).pass_time(4)
    stage.lose("a")
    stage.pass_time(1)
    assert not want(stage, "b-0").granted
    stage.give_back("a")
    stage.pass_time(4)
    assert stage.mind.show(stage.now)["permits"][0]["holder"] == "b-0"


def test_a_permit_survives_its_leader_and_an_override_is_on_record(tmp_path):
    stage = Stage(tmp_path, groups=GROUPS).pass_time(4)
    assert want(stage, "a-0").granted and not want(stage, "a-1").granted
    ballot = Election("p0", ["p0"], stage.mind.ballot.durable, 2, stage.now, random.Random(2))
    stage.mind = PlannerState(stage.fleet, ballot, stage.now)
    stage.pass_time(4)
    assert want(stage, "a-0").permit_number == 1
    assert want(stage, "", "override", operator="ann", count=1, span=SECOND * 60).granted
    assert want(stage, "a-1", "past").granted
    assert any("ann" in line for line in stage.mind.show(stage.now)["record"])
    assert not want(stage, "nobody").granted and want(stage, "a-1", "hand-back").granted


def test_a_simulated_day_of_noise_pauses_and_restarts_without_a_false_evacuation():
    told = play_month(days=1, seed=4)
    assert told["false_evacuations"] == 0 and told["restarts"] > 20 and told["pauses"] > 20


@pytest.mark.parametrize("members", [1_000])
def test_a_plan_for_a_thousand_members_is_quick(members):
    rooms = [{f"s{site}-{n}": 50.0 for n in range(members // 9)} for site in range(9)]
    load = {f"t{n}": 500.0 for n in range(8)}
    places = [SiteCapacity(f"s{n}", rooms[n], dict(load), lost=n == 0) for n in range(9)]
    times = []
    for _ in range(5):
        began = time.perf_counter()
        plan(places, {}, {})
        times.append(time.perf_counter() - began)
    assert min(times) < 0.05


def test_a_mind_is_told_by_its_own_incarnation(tmp_path):
    stage = Stage(tmp_path).pass_time(4)
    assert stage.replies["a-0"].planner == Incarnation(generation=1, nonce=1)
    assert fleet(tmp_path).shedding_order[0].value == "beyond" and stage.now == 4 * SECOND
