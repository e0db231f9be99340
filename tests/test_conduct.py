"""Releases as the leader conducts them: words, what must be kept first, takeovers, a fleet that changes."""

import json
from copy import deepcopy

import msgspec
import pytest

from birchslip.cluster.disruption_budget import (
    BudgetGroup,
    DisruptionBudget,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
)
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.inventory import read_inventory
from birchslip.cluster.messages import Incarnation
from birchslip.cluster.rollout import RolloutPhase, RolloutSpec
from birchslip.cluster.rollout_controller import RolloutCommand, RolloutController, RolloutStates

from .fleetdesk import Stage, fleet_told, report

PARTS = {"a": ["a-0", "a-1"], "b": ["b-0", "b-1"]}
NAMES = [name for names in PARTS.values() for name in names]
MARGINS = {"late": 0.05}


def plan(**more):
    told = {"version": "2", "before": "1", "sites": ["a"], "watch_ms": 1_000, "watch_most_ms": 2_000}
    return msgspec.convert(told | {"margins": MARGINS} | more, RolloutSpec)


def listing(services=(), **members):
    told = {name: {"state": "up", "version": "1"} for name in NAMES}
    told |= {name.replace("_", "-"): {"state": "up", "version": "1"} | more for name, more in members.items()}
    below = {name: {"state": state, "life": 1} for name, state in services}
    return read_inventory(json.dumps({"members": told, "services": below, "more": 1}).encode())


class Desk:
    def __init__(self, most=2):
        self.permits = DisruptionBudget([BudgetGroup("fleet", frozenset(NAMES), most=most)])
        self.conductor = RolloutController(PARTS, ["store-1"], self.permits, 30_000)
        self.seen = {name: MemberObservation(Incarnation(nonce=1), 10.0) for name in NAMES}
        self.conductor.hear(listing(), 0)

    def say(self, what, now=1, **more):
        return self.conductor.word(RolloutCommand(what=what, who="ann", **more), now)

    def look(self, now=2, lost=()):
        reports = {name: report(name, now) for name in NAMES}
        self.permits.look(self.seen)
        self.conductor.look(self.seen, reports, lost, now)
        return [(one.what, one.member) for one in self.conductor.orders]


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({"sites": ["z"]}, "'z' is no site and no group"),
        ({"before": "0", "version": "3"}, "a-0 runs 1: neither 0 nor 3"),
        ({"margins": {"speed": 0.1}}, "nobody tells of 'speed'"),
        ({"sites": ["a", "b"], "groups": ["a"]}, "sites are named too"),
        ({}, ""),
        ({"margins": {"late:order": 0.1}, "sites": ["b", "a"]}, ""),
    ],
)
def test_what_is_found_before_the_first_drain(more, why):
    said = Desk().say("start", plan=plan(**more))
    assert said.done is not bool(why) and why in said.why


def test_no_release_begins_where_nobody_may_be_out_or_the_platform_is_not_heard():
    assert "group fleet lets nobody" in Desk(most=0).say("start", plan=plan()).why
    assert "not heard" in Desk().say("start", now=30_001, plan=plan()).why
    desk = Desk()
    desk.permits.regroup([])
    assert "is in no group" in desk.say("start", plan=plan()).why
    desk = Desk()
    del desk.conductor.platform["a-1"]
    assert "does not know a-1" in desk.say("start", plan=plan()).why


def test_two_releases_share_no_member_and_each_goes_its_way():
    desk = Desk()
    assert desk.say("start", plan=plan()).number == 1
    assert "release 1 is not finished and has a-0, a-1" in desk.say("start", plan=plan(sites=["b", "a"])).why
    assert desk.say("start", plan=plan(sites=["b"])).number == 2
    assert desk.look() == [("drain", "a-0"), ("drain", "b-0")]
    assert desk.say("resume").why == "no release is halted"
    assert desk.say("halt", number=2).done and desk.look() == [("drain", "a-0")]
    assert desk.say("halt").done and desk.say("halt").why == "no release runs"
    assert desk.say("resume").why == "which of 1, 2?"
    assert desk.say("resume", number=2).done and desk.say("back", number=1).done
    assert [one["phase"] for one in desk.conductor.told()] == ["running", "backing"]


def test_a_halt_leaves_nothing_to_ask_not_even_before_the_next_look():
    desk = Desk()
    desk.say("start", plan=plan())
    assert desk.look() and desk.say("halt", why="smoke").done
    assert desk.conductor.orders == [] and desk.look(3) == []
    assert "ann: smoke" in desk.conductor.told(1, history=True)[0]["history"][-1]


def test_permits_that_a_halt_left_unused_are_handed_back_once_no_order_can_be_on_its_way():
    desk = Desk()
    desk.say("start", plan=plan())
    desk.look()
    desk.say("halt")
    desk.look(3)
    assert desk.permits.holder("a-0")
    desk.conductor.hear(listing(), 50_003)
    desk.look(50_004)
    assert desk.permits.holder("a-0") is None
    assert desk.say("resume").done and desk.look(50_005) == [("drain", "a-0")]


def test_the_way_back_hands_back_what_the_way_there_left_unused():
    """Granted in the moment of the halt: its holder is in the old version, and will never go."""
    desk = Desk(most=1)
    desk.say("start", plan=plan(canaries=1, batch=1))
    desk.conductor.hear(listing(a_0={"version": "2"}), 1)
    desk.conductor.releases[0].course.at = 1
    assert desk.look() == [("drain", "a-1")]
    desk.say("halt")
    desk.say("back")
    assert desk.look(3) == []  # an order to drain a-1 may still be on its way
    desk.conductor.hear(listing(a_0={"version": "2"}), 50_003)
    desk.look(50_003)
    assert desk.look(50_004) == [("drain", "a-0")]


def test_another_s_permit_is_not_drained_on_and_another_s_stop_is_not_started():
    desk = Desk()
    desk.permits.grant(EvictionWaiter(holder="a-0", incarnation=Incarnation(nonce=1), why="repairs"))
    desk.say("start", plan=plan())
    assert desk.look() == [] and "another's: repairs" in desk.conductor.told()[0]["doing"]
    desk.conductor.hear(listing(a_0={"state": "stopped"}), 3)
    assert desk.look(4) == []


def test_a_version_found_bad_is_not_resumed_and_a_done_one_can_be_taken_back():
    desk = Desk()
    desk.say("start", plan=plan())
    desk.conductor.hear(listing(a_0={"version": "2", "ends": 1}), 3)
    desk.look(4)
    told = desk.conductor.told()[0]
    assert told["phase"] == "halted" and told["bad"] and "ended by themselves" in told["why"]
    assert "only back is left" in desk.say("resume").why
    desk.conductor.releases[0].move(RolloutPhase.DONE, "played")
    assert desk.say("start", plan=plan(sites=["b"])).done
    assert desk.say("back", number=1).done and desk.look(5) == [("drain", "b-0"), ("drain", "a-0")][::-1]


def test_one_that_starts_in_neither_version_holds_up_nobody_once_it_is_struck():
    desk = Desk()
    desk.say("start", plan=plan())
    desk.look()
    desk.seen["a-0"] = MemberObservation(Incarnation(nonce=1), 10.0, UnavailabilityReason.SILENT)
    desk.conductor.hear(listing(a_0={"state": "failed", "version": "1", "starts": 2}), 3)
    desk.look(4)
    assert desk.conductor.told()[0]["left_out"] == ["a-0"]
    assert "starts in neither version" in desk.say("resume").why
    desk.permits.strike("a-0", "ann")
    desk.look(5)
    assert desk.conductor.told()[0]["left_out"] == [] and desk.say("resume").done
    assert desk.conductor.releases[0].all_members() == ["a-1"]


def test_a_platform_that_is_not_heard_gets_no_orders_and_halts_in_the_end():
    desk = Desk()
    desk.say("start", plan=plan())
    assert desk.look(30_001) == [] and desk.conductor.told()[0]["doing"] == "the platform is not heard"
    assert desk.look(600_000) == [] and desk.conductor.told()[0]["phase"] == "halted"


def test_a_release_without_a_step_halts_and_says_what_it_waited_for():
    desk = Desk(most=1)
    desk.seen["b-0"] = MemberObservation(Incarnation(nonce=1), 10.0, UnavailabilityReason.SILENT)
    desk.say("start", plan=plan(stall_ms=2_000))
    for now in (10, 10_000, 19_999):
        desk.conductor.hear(listing(), now)
        assert desk.look(now) == []
    desk.conductor.hear(listing(), 20_010)
    desk.look(20_010)
    told = desk.conductor.told()[0]
    assert told["why"] == "no step for 2 s: a-0 waits at place 1: fleet: 2 would be out, 1 may be"
    assert not desk.permits.book.waiting  # who has halted asks for nothing


def test_a_new_reign_goes_on_with_what_was_kept_and_orders_nothing_before_it_has_seen():
    desk = Desk()
    desk.say("start", plan=plan())
    desk.look()
    kept = msgspec.json.decode(msgspec.json.encode(desk.conductor.book), type=RolloutStates)
    desk.conductor.take(kept, 100)
    assert desk.look(101) == []
    desk.conductor.hear(listing(), 102)
    assert desk.look(103) == [("drain", "a-0")] and len(desk.permits.book.permits) == 1


def test_figures_are_differences_of_one_life_and_lost_reports_lose_nothing():
    conductor = Desk().conductor

    def shown(number, mark, bad, every):
        told = report("a-0", number, mark, metrics={"late:order": (bad, every)}, resident_memory_kb=7)
        return conductor.shown({"a-0": told})["a-0"]

    assert shown(1, 1, 5, 100).figures == {"late:order": (0, 0)}  # it was counted before anybody looked
    assert shown(9, 1, 7, 130).figures == {"late:order": (2, 30)}
    assert shown(10, 2, 1, 4).figures == {"late:order": (0, 0)}  # another life
    assert shown(11, 2, 1, 9).figures == {"late:order": (0, 5)} and shown(11, 2, 1, 9).memory == 7


def test_services_below_are_as_the_platform_tells_and_out_while_it_is_not_heard():
    conductor = Desk().conductor
    for state, out in [
        ("up", None),
        ("draining", UnavailabilityReason.LEAVING),
        ("stopped", UnavailabilityReason.SILENT),
    ]:
        conductor.hear(listing(services=[("store-1", state)]), 10)
        assert conductor.seen(11)["store-1"].out is out
    assert conductor.seen(40_000)["store-1"].out is UnavailabilityReason.SILENT
    conductor.hear(listing(), 10)
    assert conductor.seen(11)["store-1"].out is UnavailabilityReason.SILENT  # the platform does not know it


# ---- in the mind of a leader ------------------------------------------------------------------------------

GROUPS = [{"name": "fleet", "all": True, "most_out": 1}]
PLATFORM = {"address": "127.0.0.1:9", "stale_ms": 600_000}


def leader(folder, **more):
    stage = Stage(folder, sites=("a", "b"), **{"groups": GROUPS, "platform": PLATFORM} | more).pass_time(3)
    stage.mind.conductor.hear(listing(), stage.now)
    return stage


def begin(stage, **more):
    number, said = stage.mind.say(RolloutCommand(what="start", who="ann", plan=plan(**more)), stage.now)
    assert said.done, said.why
    return number


def test_nothing_is_asked_of_the_platform_before_a_majority_keeps_it(tmp_path):
    stage = leader(tmp_path)
    number = begin(stage)
    assert number > stage.mind.kept_number and stage.mind.orders(stage.now) == []
    stage.mind.look(stage.now + 1)  # decides the drain; nobody has kept it yet
    assert stage.mind.conductor.orders and stage.mind.orders(stage.now + 1) == []
    stage.pass_time(0.3)
    assert [one.member for one in stage.mind.orders(stage.now)] == ["a-0"]
    # A permit that somebody asks for meanwhile must be kept as well.
    stage.mind.renew(stage.now)
    stage.mind.orders_number = stage.mind.number
    assert stage.mind.orders(stage.now) == []


def test_a_permit_that_a_want_has_granted_is_kept_before_it_is_drained_on(tmp_path):
    stage = leader(tmp_path, groups=[{"name": "fleet", "all": True, "most_out": 2}])
    begin(stage)
    stage.pass_time(0.3)
    mind = stage.mind
    mind.permits.book.permits.clear()  # as if only a want's serving granted it, and nobody kept that yet
    why = mind.conductor.releases[0].why_out
    mind.permits.grant(EvictionWaiter(holder="a-0", incarnation=Incarnation(nonce=1), why=why))
    mind.renew(stage.now)
    mind.look(stage.now + 2_500)
    assert mind.conductor.orders and mind.orders(stage.now + 2_500) == []


def test_the_loss_of_a_site_halts_a_release_and_its_return_does_not_resume_it(tmp_path):
    stage = leader(tmp_path)
    begin(stage)
    stage.pass_time(0.5)
    stage.lose("b")
    stage.pass_time(6)
    told = stage.mind.told_releases(stage.now)[0]
    assert told["phase"] == "halted" and "site lost: b" in told["why"]
    stage.give_back("b")
    stage.mind.conductor.hear(listing(), stage.now)
    stage.pass_time(20)
    assert stage.mind.told_releases(stage.now)[0]["phase"] == "halted"


def test_a_member_whose_service_below_is_out_is_out_with_it(tmp_path):
    told = fleet_told(sites=("a", "b"), planners=1)
    told["sites"][0]["members"][0]["needs"] = ["store-1"]
    stage = leader(tmp_path)
    path = tmp_path / "later.json"
    told |= {"groups": GROUPS, "platform": PLATFORM, "services": [{"name": "store-1", "kind": "store"}]}
    path.write_text(json.dumps(told))
    assert stage.mind.amend(read_fleet(path), stage.now) == []
    assert stage.mind.seen(stage.now)["a-0"].out is UnavailabilityReason.BELOW
    stage.mind.conductor.hear(listing(services=[("store-1", "up")]), stage.now)
    assert stage.mind.seen(stage.now)["a-0"].out is None


def amended(stage, folder, change):
    told = fleet_told(sites=("a", "b"), planners=1) | deepcopy({"groups": GROUPS, "platform": PLATFORM})
    for site in told["sites"]:
        for member in site["members"]:
            member["calls"] = 4.0
    told["vault"]["total"] = 40
    path = folder / "later.json"
    change(told)
    path.write_text(json.dumps(told))
    return stage.mind.amend(read_fleet(path), stage.now)


def fixed(folder):
    """A fleet whose members' calls are told, so that others may join."""
    stage = leader(folder)
    told = json.loads((folder / "fleet.json").read_text())
    for site in told["sites"]:
        for member in site["members"]:
            member["calls"] = 4.0
    told["vault"]["total"] = 40
    stage.mind.fleet = read_fleet_of(folder, told)
    stage.mind.bases = stage.mind.fleet.base_calls()
    return stage


def read_fleet_of(folder, told):
    path = folder / "told.json"
    path.write_text(json.dumps(told))
    return read_fleet(path)


def test_a_lowered_budget_grants_nothing_until_enough_are_back(tmp_path):
    stage = fixed(tmp_path)
    begin(stage)
    stage.pass_time(0.5)
    assert stage.mind.permits.holder("a-0")
    change = lambda told: told["groups"][0].update(most_out=0)  # noqa: E731
    assert amended(stage, tmp_path, change) == []
    assert stage.mind.permits.holder("a-0") and stage.mind.permits.groups[0].allowed == 0


def test_members_join_and_leave_half_way_and_a_name_comes_back(tmp_path):
    stage = fixed(tmp_path)
    begin(stage)
    stage.pass_time(0.5)

    def without(told):
        del told["sites"][0]["members"][0]
        told["sites"][0]["members"].append({"name": "a-2", "address": "127.0.0.1:99", "calls": 4.0})

    assert amended(stage, tmp_path, without) == []
    release = stage.mind.conductor.releases[0]
    assert release.all_members() == ["a-1", "a-2"] and stage.mind.permits.holder("a-0") is None
    assert "left a-0; joined a-2" in release.course.history[-1]
    stage.pass_time(0.5)
    assert "a-0" not in stage.mind.membership.members
    assert amended(stage, tmp_path, lambda told: None) == []
    stage.marks["a-0"] = 2
    stage.pass_time(1)
    late = report("a-0", 10**6, mark=1)  # of the life before it left
    assert not stage.mind.membership.hear(late, stage.now)
    assert stage.mind.seen(stage.now)["a-0"].incarnation.nonce == 2


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (lambda told: told["planners"].append({"name": "p9", "address": "127.0.0.1:77"}), "planners"),
        (lambda told: told["sites"][0].update(name="z"), "sites: their names"),
        (lambda told: told["sites"][0]["members"][0].update(calls=5.0), "'a-0' would have 5 calls"),
        (lambda told: told.update(plan_ms=5_000), "plan_ms"),
        (lambda told: told.update(platform=None), "platform: comes and goes"),
        (lambda told: told["platform"].update(address="127.0.0.1:10"), "platform.address"),
    ],
)
def test_what_can_not_be_taken_over_under_way_and_then_nothing_is(tmp_path, change, why):
    stage = fixed(tmp_path)
    before = stage.mind.fleet
    troubles = amended(stage, tmp_path, change)
    assert len(troubles) == 1 and why in troubles[0] and stage.mind.fleet is before
