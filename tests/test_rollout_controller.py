"""The rollout controller: commands, storing before ordering, new leaders, and changes of the fleet."""

import json
from copy import deepcopy

import msgspec
import pytest

from birchslip.cluster.disruption_budget import DisruptionBudget
from birchslip.cluster.disruption_types import (
    BudgetGroup,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
)
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.inventory import read_inventory
from birchslip.cluster.member_samples import SampleReader
from birchslip.cluster.messages import Incarnation
from birchslip.cluster.operator_views import rollouts_status
from birchslip.cluster.rollout_controller import RolloutController
from birchslip.cluster.rollout_messages import RolloutAction, RolloutCommand, RolloutStates
from birchslip.cluster.rollout_types import RolloutSpec

from .planner_harness import SimulatedPlanner, make_fleet_document, make_report

PARTS = {"a": ["a-0", "a-1"], "b": ["b-0", "b-1"]}
NAMES = [name for names in PARTS.values() for name in names]
MARGINS = {"late": 0.05}


def spec(**fields):
    document = {"version": "2", "before": "1", "sites": ["a"], "watch_ms": 1_000, "watch_most_ms": 2_000}
    return msgspec.convert(document | {"margins": MARGINS} | fields, RolloutSpec)


def inventory(services=(), **members):
    processes = {name: {"state": "up", "version": "1"} for name in NAMES}
    processes |= {
        name.replace("_", "-"): {"state": "up", "version": "1"} | fields for name, fields in members.items()
    }
    service_processes = {name: {"state": state, "life": 1} for name, state in services}
    return read_inventory(
        json.dumps({"members": processes, "services": service_processes, "more": 1}).encode()
    )


class Harness:
    """A controller whose inventory and observations are set by the test."""

    def __init__(self, max_unavailable=2):
        self.budget = DisruptionBudget(
            [BudgetGroup("fleet", frozenset(NAMES), max_unavailable=max_unavailable)]
        )
        self.controller = RolloutController(PARTS, ["store-1"], self.budget, 30_000)
        self.observations = {name: MemberObservation(Incarnation(nonce=1), 10.0) for name in NAMES}
        self.controller.receive_inventory(inventory(), 0)

    def command(self, action, now=1, **fields):
        return self.controller.execute(
            RolloutCommand(action=RolloutAction(action), operator="ann", **fields), now
        )

    def step(self, now=2, lost_sites=()):
        reports = {name: make_report(name, now) for name in NAMES}
        self.budget.reconcile(self.observations)
        self.controller.step(self.observations, reports, lost_sites, now)
        return [(order.action.value, order.member) for order in self.controller.orders]


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"sites": ["z"]}, "no site or group is named 'z'; expected one of a, b"),
        ({"before": "0", "version": "3"}, "a-0 runs version '1'; expected '0' ('before') or '3' ('version')"),
        ({"margins": {"speed": 0.1}}, "members report no metric 'speed'"),
        ({"sites": ["a", "b"], "groups": ["a"]}, "groups: not allowed together with 'sites'"),
        ({}, ""),
        ({"margins": {"late:order": 0.1}, "sites": ["b", "a"]}, ""),
    ],
    ids=["unknown site", "other version", "unknown metric", "sites and groups", "valid", "valid for a class"],
)
def test_obstacles_are_found_before_the_first_drain(fields, reason):
    result = Harness().command("start", spec=spec(**fields))
    assert result.accepted is not bool(reason)
    assert reason in result.reason


def test_no_rollout_starts_without_a_budget_or_without_a_fresh_inventory():
    assert (
        "group fleet of the fleet file allows no member to be out"
        in Harness(max_unavailable=0).command("start", spec=spec()).reason
    )
    assert (
        "has given no inventory within platform.stale_ms"
        in Harness().command("start", now=30_001, spec=spec()).reason
    )
    harness = Harness()
    harness.budget.set_groups([])
    assert "is in no group" in harness.command("start", spec=spec()).reason
    harness = Harness()
    del harness.controller.instances["a-1"]
    assert "does not know a-1" in harness.command("start", spec=spec()).reason


def test_two_rollouts_share_no_member_and_are_independent():
    harness = Harness()
    assert harness.command("start", spec=spec()).number == 1
    assert (
        "release 1 is not finished and has a-0, a-1"
        in harness.command("start", spec=spec(sites=["b", "a"])).reason
    )
    assert harness.command("start", spec=spec(sites=["b"])).number == 2
    assert harness.step() == [("drain", "a-0"), ("drain", "b-0")]
    assert harness.command("resume").reason == "no release is halted"
    assert harness.command("halt", number=2).accepted
    assert harness.step() == [("drain", "a-0")]
    assert harness.command("halt").accepted
    assert harness.command("halt").reason == "no release is in progress"
    assert harness.command("resume").reason == "releases 1, 2 are halted; give the number of one"
    assert harness.command("resume", number=2).accepted
    assert harness.command("back", number=1).accepted
    assert [rollout.phase for rollout in harness.controller.report()] == ["running", "backing"]


def test_a_halt_drops_pending_orders_at_once():
    harness = Harness()
    harness.command("start", spec=spec())
    assert harness.step()
    assert harness.command("halt", reason="smoke").accepted
    assert harness.controller.orders == []
    assert harness.step(3) == []
    assert "ann: smoke" in harness.controller.report(1, history=True)[0].history[-1]


def test_permits_unused_at_a_halt_are_released_once_no_order_can_be_pending():
    harness = Harness()
    harness.command("start", spec=spec())
    harness.step()
    harness.command("halt")
    harness.step(3)
    assert harness.budget.permit_of("a-0")
    harness.controller.receive_inventory(inventory(), 50_003)
    harness.step(50_004)
    assert harness.budget.permit_of("a-0") is None
    assert harness.command("resume").accepted
    assert harness.step(50_005) == [("drain", "a-0")]


def test_a_rollback_releases_permits_that_the_rollout_left_unused():
    """Guard against the leak of a permit granted just before a halt.

    Its holder is still in the old version, so the rollback does not drain it and the permit would never end.
    """
    harness = Harness(max_unavailable=1)
    harness.command("start", spec=spec(canaries=1, batch=1))
    harness.controller.receive_inventory(inventory(a_0={"version": "2"}), 1)
    harness.controller.rollouts[0].record.batch_index = 1
    assert harness.step() == [("drain", "a-1")]
    harness.command("halt")
    harness.command("back")
    assert harness.step(3) == []  # an order to drain a-1 may still be pending
    harness.controller.receive_inventory(inventory(a_0={"version": "2"}), 50_003)
    harness.step(50_003)
    assert harness.step(50_004) == [("drain", "a-0")]


def test_permits_and_stops_of_other_requesters_are_left_alone():
    harness = Harness()
    harness.budget.grant(EvictionWaiter(holder="a-0", incarnation=Incarnation(nonce=1), reason="repairs"))
    harness.command("start", spec=spec())
    assert harness.step() == []
    assert "another's: repairs" in harness.controller.report()[0].progress
    harness.controller.receive_inventory(inventory(a_0={"state": "stopped"}), 3)
    assert harness.step(4) == []


def test_a_bad_version_is_not_resumed_and_a_completed_rollout_can_be_rolled_back():
    harness = Harness()
    harness.command("start", spec=spec())
    harness.controller.receive_inventory(inventory(a_0={"version": "2", "ends": 1}), 3)
    harness.step(4)
    rollout_report = harness.controller.report()[0]
    assert rollout_report.phase == "halted"
    assert rollout_report.version_is_bad
    assert "ended by themselves" in rollout_report.reason
    reason = "version '2' was found bad: the release can only be rolled back"
    assert reason in harness.command("resume").reason
    harness.controller.rollouts[0].complete("played")
    assert harness.command("start", spec=spec(sites=["b"])).accepted
    assert harness.command("back", number=1).accepted
    assert harness.step(5) == [("drain", "b-0"), ("drain", "a-0")][::-1]


def test_an_excluded_member_blocks_nothing_once_its_permit_is_revoked():
    harness = Harness()
    harness.command("start", spec=spec())
    harness.step()
    harness.observations["a-0"] = MemberObservation(Incarnation(nonce=1), 10.0, UnavailabilityReason.SILENT)
    harness.controller.receive_inventory(inventory(a_0={"state": "failed", "version": "1", "starts": 2}), 3)
    harness.step(4)
    assert harness.controller.report()[0].excluded == ["a-0"]
    assert "members that start in neither version: a-0" in harness.command("resume").reason
    harness.budget.revoke("a-0", "ann")
    harness.step(5)
    assert harness.controller.report()[0].excluded == []
    assert harness.command("resume").accepted
    assert harness.controller.rollouts[0].all_members() == ["a-1"]


def test_an_unreachable_platform_gets_no_orders_and_halts_the_rollout_after_a_timeout():
    harness = Harness()
    harness.command("start", spec=spec())
    assert harness.step(30_001) == []
    assert harness.controller.report()[0].progress == "the platform is not heard"
    assert harness.step(600_000) == []
    assert harness.controller.report()[0].phase == "halted"


def test_a_stalled_rollout_halts_and_reports_what_it_waited_for():
    harness = Harness(max_unavailable=1)
    harness.observations["b-0"] = MemberObservation(Incarnation(nonce=1), 10.0, UnavailabilityReason.SILENT)
    harness.command("start", spec=spec(stall_ms=2_000))
    for now in (10, 10_000, 19_999):
        harness.controller.receive_inventory(inventory(), now)
        assert harness.step(now) == []
    harness.controller.receive_inventory(inventory(), 20_010)
    harness.step(20_010)
    rollout_report = harness.controller.report()[0]
    assert rollout_report.reason == "no step for 2 s: a-0 waits at place 1: fleet: 2 would be out, 1 may be"
    assert not harness.budget.state.waiters  # a halted rollout requests no permits


def test_a_new_leader_continues_and_orders_nothing_before_its_first_inventory():
    harness = Harness()
    harness.command("start", spec=spec())
    harness.step()
    states = msgspec.json.decode(msgspec.json.encode(harness.controller.states), type=RolloutStates)
    harness.controller.restore(states, 100)
    assert harness.step(101) == []
    harness.controller.receive_inventory(inventory(), 102)
    assert harness.step(103) == [("drain", "a-0")]
    assert len(harness.budget.state.permits) == 1


def test_samples_are_differences_within_one_incarnation_and_survive_lost_reports():
    reader = SampleReader()

    def read_sample(number, nonce, bad, total):
        member_report = make_report(
            "a-0", number, nonce, metrics={"late:order": (bad, total)}, resident_memory_kb=7
        )
        return reader.read({"a-0": member_report})["a-0"]

    assert read_sample(1, 1, 5, 100).outcomes == {"late:order": (0, 0)}  # counted before the first report
    assert read_sample(9, 1, 7, 130).outcomes == {"late:order": (2, 30)}
    assert read_sample(10, 2, 1, 4).outcomes == {"late:order": (0, 0)}  # another incarnation
    assert read_sample(11, 2, 1, 9).outcomes == {"late:order": (0, 5)}
    assert read_sample(11, 2, 1, 9).memory_kb == 7


def test_services_are_observed_by_the_inventory_and_unavailable_without_one():
    controller = Harness().controller
    for state, unavailability in [
        ("up", None),
        ("draining", UnavailabilityReason.DRAINING),
        ("stopped", UnavailabilityReason.SILENT),
    ]:
        controller.receive_inventory(inventory(services=[("store-1", state)]), 10)
        assert controller.observe_services(11)["store-1"].unavailability is unavailability
    assert controller.observe_services(40_000)["store-1"].unavailability is UnavailabilityReason.SILENT
    controller.receive_inventory(inventory(), 10)
    # The platform does not know it.
    assert controller.observe_services(11)["store-1"].unavailability is UnavailabilityReason.SILENT


# ---- in the state of a leading planner ----------------------------------------------------------------

GROUPS = [{"name": "fleet", "all": True, "most_out": 1}]
PLATFORM = {"address": "127.0.0.1:9", "stale_ms": 600_000}


def leader(folder, **fields):
    planner = SimulatedPlanner(
        folder, sites=("a", "b"), **{"groups": GROUPS, "platform": PLATFORM} | fields
    ).advance(3)
    planner.state.rollouts.controller.receive_inventory(inventory(), planner.now)
    return planner


def start_rollout(planner, **fields):
    number, result = planner.state.handle_rollout_command(
        RolloutCommand(action=RolloutAction.START, operator="ann", spec=spec(**fields)), planner.now
    )
    assert result.accepted, result.reason
    return number


def test_nothing_is_ordered_before_a_majority_has_stored_it(tmp_path):
    planner = leader(tmp_path)
    number = start_rollout(planner)
    assert number > planner.state.leadership.replicated_version
    assert planner.state.platform_orders(planner.now) == []
    planner.state.tick(planner.now + 1)  # decides the drain, which no majority has stored yet
    assert planner.state.rollouts.controller.orders
    assert planner.state.platform_orders(planner.now + 1) == []
    planner.advance(0.3)
    assert [order.member for order in planner.state.platform_orders(planner.now)] == ["a-0"]
    # A permit that is requested in the meantime must be stored first as well.
    planner.state.replan(planner.now)
    planner.state.rollouts.orders_version = planner.state.leadership.version
    assert planner.state.platform_orders(planner.now) == []


def test_a_permit_granted_by_a_request_is_stored_before_it_is_drained_on(tmp_path):
    planner = leader(tmp_path, groups=[{"name": "fleet", "all": True, "most_out": 2}])
    start_rollout(planner)
    planner.advance(0.3)
    state = planner.state
    state.budget.state.permits.clear()  # as if a request had granted it, not yet stored
    reason = state.rollouts.controller.rollouts[0].permit_reason
    state.budget.grant(EvictionWaiter(holder="a-0", incarnation=Incarnation(nonce=1), reason=reason))
    state.replan(planner.now)
    state.tick(planner.now + 2_500)
    assert state.rollouts.controller.orders
    assert state.platform_orders(planner.now + 2_500) == []


def test_a_lost_site_halts_a_rollout_and_its_return_does_not_resume_it(tmp_path):
    planner = leader(tmp_path)
    start_rollout(planner)
    planner.advance(0.5)
    planner.lose_site("b")
    planner.advance(6)
    rollout_report = rollouts_status(planner.state, planner.now)[0]
    assert rollout_report.phase == "halted"
    assert "site lost: b" in rollout_report.reason
    planner.restore_site("b")
    planner.state.rollouts.controller.receive_inventory(inventory(), planner.now)
    planner.advance(20)
    assert rollouts_status(planner.state, planner.now)[0].phase == "halted"


def test_a_member_is_unavailable_with_the_service_it_depends_on(tmp_path):
    document = make_fleet_document(sites=("a", "b"), planners=1)
    document["sites"][0]["members"][0]["needs"] = ["store-1"]
    planner = leader(tmp_path)
    path = tmp_path / "later.json"
    document |= {"groups": GROUPS, "platform": PLATFORM, "services": [{"name": "store-1", "kind": "store"}]}
    path.write_text(json.dumps(document))
    assert planner.state.apply_fleet(read_fleet(path), planner.now) == []
    assert planner.state.observations(planner.now)["a-0"].unavailability is UnavailabilityReason.DOWNSTREAM
    planner.state.rollouts.controller.receive_inventory(inventory(services=[("store-1", "up")]), planner.now)
    assert planner.state.observations(planner.now)["a-0"].unavailability is None


def apply_changed_fleet(planner, folder, change):
    document = make_fleet_document(sites=("a", "b"), planners=1) | deepcopy(
        {"groups": GROUPS, "platform": PLATFORM}
    )
    for site in document["sites"]:
        for member in site["members"]:
            member["calls"] = 4.0
    document["vault"]["total"] = 40
    path = folder / "later.json"
    change(document)
    path.write_text(json.dumps(document))
    return planner.state.apply_fleet(read_fleet(path), planner.now)


def leader_with_fixed_calls(folder):
    """Build a leading planner whose members have fixed `calls`, so that other members may join."""
    planner = leader(folder)
    document = json.loads((folder / "fleet.json").read_text())
    for site in document["sites"]:
        for member in site["members"]:
            member["calls"] = 4.0
    document["vault"]["total"] = 40
    planner.state.fleet = read_fleet_from(folder, document)
    planner.state.quotas.base_quotas = planner.state.fleet.base_calls()
    return planner


def read_fleet_from(folder, document):
    path = folder / "changed.json"
    path.write_text(json.dumps(document))
    return read_fleet(path)


def test_a_lowered_budget_grants_nothing_until_enough_members_are_back(tmp_path):
    planner = leader_with_fixed_calls(tmp_path)
    start_rollout(planner)
    planner.advance(0.5)
    assert planner.state.budget.permit_of("a-0")
    change = lambda document: document["groups"][0].update(most_out=0)  # noqa: E731
    assert apply_changed_fleet(planner, tmp_path, change) == []
    assert planner.state.budget.permit_of("a-0")
    assert planner.state.budget.groups[0].disruptions_allowed == 0


def test_members_join_and_leave_during_a_rollout_and_a_removed_member_returns(tmp_path):
    planner = leader_with_fixed_calls(tmp_path)
    start_rollout(planner)
    planner.advance(0.5)

    def replace_member(document):
        del document["sites"][0]["members"][0]
        document["sites"][0]["members"].append({"name": "a-2", "address": "127.0.0.1:99", "calls": 4.0})

    assert apply_changed_fleet(planner, tmp_path, replace_member) == []
    rollout = planner.state.rollouts.controller.rollouts[0]
    assert rollout.all_members() == ["a-1", "a-2"]
    assert planner.state.budget.permit_of("a-0") is None
    assert "left a-0; joined a-2" in rollout.record.history[-1]
    planner.advance(0.5)
    assert "a-0" not in planner.state.membership.members
    assert apply_changed_fleet(planner, tmp_path, lambda document: None) == []
    planner.incarnations["a-0"] = 2
    planner.advance(1)
    late_report = make_report("a-0", 10**6, nonce=1)  # of the incarnation before it left
    assert not planner.state.membership.receive_report(late_report, planner.now)
    assert planner.state.observations(planner.now)["a-0"].incarnation.nonce == 2


@pytest.mark.parametrize(
    ("change", "violation"),
    [
        (lambda document: document["planners"].append({"name": "p9", "address": "127.0.0.1:77"}), "planners"),
        (lambda document: document["sites"][0].update(name="z"), "sites: the names of sites"),
        (
            lambda document: document["sites"][0]["members"][0].update(calls=5.0),
            "member 'a-0' can't change from 4 to 5 calls",
        ),
        (lambda document: document.update(plan_ms=5_000), "plan_ms"),
        (lambda document: document.update(platform=None), "platform: can't be added or removed"),
        (lambda document: document["platform"].update(address="127.0.0.1:10"), "platform.address"),
    ],
    ids=["planners", "site names", "calls of a member", "plan span", "no platform", "platform address"],
)
def test_a_fleet_file_with_a_forbidden_change_is_refused_as_a_whole(tmp_path, change, violation):
    planner = leader_with_fixed_calls(tmp_path)
    before = planner.state.fleet
    violations = apply_changed_fleet(planner, tmp_path, change)
    assert len(violations) == 1
    assert violation in violations[0]
    assert planner.state.fleet is before
