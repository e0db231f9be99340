"""Stored and reported rollouts of earlier versions are decoded, and encoded to the same bytes.

Guards against a changed key or value in stored state, which a planner of the new version could not read.
The literals were written by an earlier version: four rollouts (one completed, one rolled back with an
excluded member, one whose canaries are watched, one that is rolling back), and a disruption budget with
permits, waiters, an override and its audit log.
"""

import json

import msgspec
import pytest

from birchslip.cluster.disruption_budget import DisruptionBudget
from birchslip.cluster.disruption_types import (
    BudgetGroup,
    BudgetState,
    MemberObservation,
    UnavailabilityReason,
)
from birchslip.cluster.inventory import read_inventory
from birchslip.cluster.messages import Incarnation
from birchslip.cluster.release_file import read_release
from birchslip.cluster.rollout_controller import RolloutController
from birchslip.cluster.rollout_messages import CommandResult, RolloutCommand, RolloutStates
from birchslip.cluster.rollout_types import InstanceStatus, RolloutPhase, RolloutSpec

from .planner_harness import make_report

STORED_ROLLOUTS = (
    b'{"number":4,"courses":[{"plan":{"version":"2","before":"1","sites":["a"],"groups":[],"canaries":1,"b'
    b'atch":2,"watch_ms":3000,"watch_most_ms":900000,"margins":{"late":0.05,"slow":0.2},"crashes":0,"memor'
    b'y":2.0,"stall_ms":600000},"batches":[["a-0"],["a-1"]],"number":1,"age":120000,"at":2,"phase":"done",'
    b'"why":"every batch is released","bad":false,"left_out":[],"history":["0.0 s: running: started by ann'
    b'","7.5 s: batch 1: good: no figure is worse by more than its margin","12.0 s: batch 2: good: no figu'
    b're is worse by more than its margin","12.0 s: done: every batch is released"],"evidence":null},{"pla'
    b'n":{"version":"2","before":"1","sites":[],"groups":["b"],"canaries":1,"batch":2,"watch_ms":3000,"wat'
    b'ch_most_ms":900000,"margins":{"late":0.05,"slow":0.2},"crashes":3,"memory":2.0,"stall_ms":600000},"b'
    b'atches":[["b-0"],["b-1"]],"number":2,"age":170000,"at":0,"phase":"back","why":"every member is in th'
    b'e version before","bad":true,"left_out":["b-0"],"history":["0.0 s: running: started by ann","16.0 s:'
    b' halted: b-0 does not start in 2","16.5 s: backing: back by ann","17.0 s: back: every member is in t'
    b'he version before"],"evidence":null},{"plan":{"version":"2","before":"1","sites":["c"],"groups":[],"'
    b'canaries":1,"batch":2,"watch_ms":3000,"watch_most_ms":900000,"margins":{"late":0.05,"slow":0.2},"cra'
    b'shes":0,"memory":2.0,"stall_ms":600000},"batches":[["c-0"],["c-1"]],"number":3,"age":0,"at":0,"phase'
    b'":"running","why":"started by ann","bad":false,"left_out":[],"history":["0.0 s: running: started by '
    b'ann"],"evidence":{"batch":0,"watched":20000,"figures":{"late":[4.0,160.0,4.0,160.0],"late:order":[4.'
    b'0,160.0,4.0,160.0],"slow":[0.0,150.0,0.0,150.0],"slow:order":[0.0,150.0,0.0,150.0]},"base":{"order":'
    b'[160,40]},"bounds":{"order":2},"held":0}},{"plan":{"version":"2","before":"1","sites":["d"],"groups"'
    b':[],"canaries":1,"batch":2,"watch_ms":3000,"watch_most_ms":900000,"margins":{"late":0.05,"slow":0.2}'
    b',"crashes":0,"memory":2.0,"stall_ms":600000},"batches":[["d-0"],["d-1"]],"number":4,"age":5000,"at":'
    b'0,"phase":"backing","why":"back by ann","bad":true,"left_out":[],"history":["0.0 s: running: started'
    b' by ann","0.5 s: halted: by ann: too soon","0.5 s: backing: back by ann"],"evidence":null}]}'
)

STORED_BUDGET = (
    b'{"permits":[{"holder":"b-0","incarnation":{"life":1,"mark":1},"why":"release 2 of 2","number":2,"ove'
    b'rride":false},{"holder":"d-0","incarnation":{"life":2,"mark":2},"why":"release 4 of 2","number":4,"o'
    b'verride":false},{"holder":"d-1","incarnation":{"life":1,"mark":1},"why":"repairs","number":5,"overri'
    b'de":false},{"holder":"b-1","incarnation":{"life":1,"mark":1},"why":"fire drill","number":6,"override'
    b'":true}],"waiting":[{"holder":"a-0","incarnation":{"life":2,"mark":2},"why":"a new disk"},{"holder":'
    b'"c-1","incarnation":{"life":1,"mark":1},"why":"a new kernel"}],"overrides":[{"who":"bob","why":"a fi'
    b're","count":1,"left":36000}],"record":["1: a-0 may be out: release 1 of 2","2: b-0 may be out: relea'
    b'se 2 of 2","3: c-0 may be out: release 3 of 2","1: a-0 is back","4: d-0 may be out: release 4 of 2",'
    b'"3: c-0 is back","5: d-1 may be out: repairs","override by bob for 2: a fire","past the budgets for '
    b'bob: a fire","6: b-1 may be out: fire drill"],"number":6}'
)

RELEASE_FILE = (
    b'{"version":"2.1","before":"2.0","sites":["north","south"],"groups":[],"canaries":1,"batch":1,"watch_'
    b'ms":60000,"watch_most_ms":600000,"margins":{"late":0.05,"shed":0.05,"written_off":0.02,"calls":0.05}'
    b',"crashes":0,"memory":2.0,"stall_ms":600000}'
)

DEFAULT_RELEASE_FILE = (
    b'{"version":"2","before":"1","sites":[],"groups":[],"canaries":1,"batch":2,"watch_ms":10000,"watch_mo'
    b'st_ms":120000,"margins":{"late":0.05,"slow":0.15,"shed":0.05,"written_off":0.02},"crashes":0,"memory'
    b'":2.0,"stall_ms":600000}'
)

REPORTED_HISTORY = (
    b'[{"number":4,"version":"2","before":"1","phase":"backing","why":"back by ann","bad":true,"batch":1,"'
    b'batches":2,"members":2,"released":0,"doing":"","left_out":[],"figures":[],"verdict":"","history":["0'
    b'.0 s: running: started by ann","0.5 s: halted: by ann: too soon","0.5 s: backing: back by ann"]},{"n'
    b'umber":3,"version":"2","before":"1","phase":"running","why":"started by ann","bad":false,"batch":1,"'
    b'batches":2,"members":2,"released":0,"doing":"","left_out":[],"figures":[],"verdict":"","history":["0'
    b'.0 s: running: started by ann"]},{"number":2,"version":"2","before":"1","phase":"back","why":"every '
    b'member is in the version before","bad":true,"batch":1,"batches":2,"members":2,"released":0,"doing":"'
    b'","left_out":["b-0"],"figures":[],"verdict":"","history":["0.0 s: running: started by ann","16.0 s: '
    b'halted: b-0 does not start in 2","16.5 s: backing: back by ann","17.0 s: back: every member is in th'
    b'e version before"]},{"number":1,"version":"2","before":"1","phase":"done","why":"every batch is rele'
    b'ased","bad":false,"batch":2,"batches":2,"members":2,"released":0,"doing":"","left_out":[],"figures":'
    b'[],"verdict":"","history":["0.0 s: running: started by ann","7.5 s: batch 1: good: no figure is wors'
    b'e by more than its margin","12.0 s: batch 2: good: no figure is worse by more than its margin","12.0'
    b' s: done: every batch is released"]}]'
)

REPORTED_STATUS = (
    b'[{"number":4,"version":"2","before":"1","phase":"backing","why":"back by ann","bad":true,"batch":1,"'
    b'batches":2,"members":2,"released":1,"doing":"d-0 is to drain by permit 4","left_out":[],"figures":[]'
    b',"verdict":""},{"number":3,"version":"2","before":"1","phase":"running","why":"started by ann","bad"'
    b':false,"batch":1,"batches":2,"members":2,"released":1,"doing":"batch 1 of 2 is watched","left_out":['
    b'],"figures":[{"name":"late","released":0.025,"others":0.025,"of":[160,160],"margin":0.05,"verdict":"'
    b'unclear","surety":0.4911},{"name":"late:order","released":0.025,"others":0.025,"of":[160,160],"margi'
    b'n":0.05,"verdict":"unclear","surety":0.4911},{"name":"slow","released":0.0,"others":0.0,"of":[150,15'
    b'0],"margin":0.2,"verdict":"good","surety":1.0},{"name":"slow:order","released":0.0,"others":0.0,"of"'
    b':[150,150],"margin":0.2,"verdict":"good","surety":1.0}],"verdict":""},{"number":2,"version":"2","bef'
    b'ore":"1","phase":"back","why":"every member is in the version before","bad":true,"batch":1,"batches"'
    b':2,"members":2,"released":0,"doing":"","left_out":["b-0"],"figures":[],"verdict":""},{"number":1,"ve'
    b'rsion":"2","before":"1","phase":"done","why":"every batch is released","bad":false,"batch":2,"batche'
    b's":2,"members":2,"released":2,"doing":"","left_out":[],"figures":[],"verdict":""}]'
)

START_COMMAND = b'{"what":"start","number":0,"who":"ann","why":"","plan":' + RELEASE_FILE + b"}"
HALT_COMMAND = b'{"what":"halt","number":2,"who":"ann","why":"smoke","plan":null}'
COMMAND_RESULT = b'{"done":false,"number":3,"why":"it is not halted"}'

SITES = {"a": ["a-0", "a-1"], "b": ["b-0", "b-1"], "c": ["c-0", "c-1"], "d": ["d-0", "d-1"]}
SITE_OF = {name: site for site, names in SITES.items() for name in names}
ON_NEW_VERSION = ("a-0", "a-1", "c-0", "d-0")
NOW = 195_001  # time of the step that gave the reported status, in tenths of a millisecond


def controller():
    """Return a new leader's controller, restored from what the earlier version stored."""
    budget = DisruptionBudget([BudgetGroup("fleet", frozenset(SITE_OF), max_unavailable=3)])
    budget.state = msgspec.json.decode(STORED_BUDGET, type=BudgetState)
    restored = RolloutController(SITES, [], budget, 30_000, SITE_OF)
    restored.restore(msgspec.json.decode(STORED_ROLLOUTS, type=RolloutStates), NOW - 5_000)
    return restored


def inventory():
    processes = {
        name: {"state": "up", "version": "2" if name in ON_NEW_VERSION else "1", "starts": 0}
        for name in SITE_OF
    }
    processes["b-0"] = {"state": "failed", "version": "1", "starts": 2}
    return read_inventory(json.dumps({"members": processes}).encode())


def observations():
    def incarnation_number(name):
        return 2 if name in ON_NEW_VERSION else 1

    by_name = {
        name: MemberObservation(
            Incarnation(generation=incarnation_number(name), nonce=incarnation_number(name)), 10.0
        )
        for name in SITE_OF
    }
    by_name["b-0"] = MemberObservation(Incarnation(generation=1, nonce=1), 10.0, UnavailabilityReason.SILENT)
    return by_name


@pytest.mark.parametrize(
    ("stored", "kind"),
    [
        pytest.param(STORED_ROLLOUTS, RolloutStates, id="rollouts"),
        pytest.param(STORED_BUDGET, BudgetState, id="disruption budget"),
        pytest.param(RELEASE_FILE, RolloutSpec, id="release file"),
        pytest.param(DEFAULT_RELEASE_FILE, RolloutSpec, id="release file of defaults"),
        pytest.param(START_COMMAND, RolloutCommand, id="start command"),
        pytest.param(HALT_COMMAND, RolloutCommand, id="halt command"),
        pytest.param(COMMAND_RESULT, CommandResult, id="command result"),
    ],
)
def test_bytes_of_an_earlier_version_are_encoded_unchanged(stored, kind):
    assert msgspec.json.encode(msgspec.json.decode(stored, type=kind)) == stored


def test_defaults_of_the_release_file_are_unchanged():
    assert msgspec.json.encode(RolloutSpec(version="2", previous_version="1")) == DEFAULT_RELEASE_FILE


def test_the_release_file_is_read_from_disk(tmp_path):
    path = tmp_path / "release.json"
    path.write_bytes(RELEASE_FILE)
    assert msgspec.json.encode(read_release(path)) == RELEASE_FILE


def test_stored_phases_and_statuses_keep_their_values():
    assert [phase.value for phase in RolloutPhase] == ["running", "halted", "backing", "done", "back"]
    assert [status.value for status in InstanceStatus] == ["up", "draining", "stopped", "failed"]
    assert [reason.value for reason in UnavailabilityReason] == [
        "permit",
        "silent",
        "leaving",
        "cold",
        "below",
        "lost",
    ]


def test_the_reported_history_of_stored_rollouts_is_unchanged():
    assert msgspec.json.encode(controller().report(history=True)) == REPORTED_HISTORY


def test_the_next_leader_continues_and_reports_as_the_earlier_version_did():
    restored = controller()
    restored.receive_inventory(inventory(), NOW)
    observed = observations()
    restored.budget.reconcile(observed)
    reports = {
        name: make_report(
            name, NOW, metrics={"late:order": (39, 1_560)}, latency_histograms={"order": [1_560, 390]}
        )
        for name in SITE_OF
    }
    restored.step(observed, reports, (), NOW)
    assert msgspec.json.encode(restored.report()) == REPORTED_STATUS
    orders = [
        (order.action.value, order.member, order.version, order.permit_number) for order in restored.orders
    ]
    assert orders == [("drain", "d-0", "1", 4)]
