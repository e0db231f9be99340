"""A planner state stored by an earlier version is restored and encoded again to the same bytes."""

import json
import random

import pytest

from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election import Election
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.planner_state import PlannerState
from birchslip.cluster.replicated_state import UnreadableStateError, decode_state, encode_state

STORED_STATE = (
    b'{"sites":{"lost":{"stage":"lost","step":0,"flaps":2,"by_hand":true,'
    b'"why":"by hand: ann: cooling","load":{"blue":40.25,"green":20.0},"hold":3000},'
    b'"waiting":{"stage":"waiting","step":0,"flaps":3,"by_hand":false,'
    b'"why":"its members are heard again","load":{},"hold":3000},"step":{"stage":"step","step":1,'
    b'"flaps":1,"by_hand":false,"why":"carried the step: pace 1.1, shed 0.02","load":{"blue":0.1},'
    b'"hold":6000},"serving":{"stage":"home","step":2,"flaps":1,"by_hand":false,'
    b'"why":"carries all of its load","load":{},"hold":3000}},'
    b'"permits":{"permits":[{"holder":"step-0","incarnation":{"life":3,"mark":77},"why":"release 1",'
    b'"number":4,"override":false},{"holder":"lost-0","incarnation":{"life":1,"mark":9},"why":"disk",'
    b'"number":5,"override":true}],"waiting":[{"holder":"waiting-0","incarnation":{"life":3,'
    b'"mark":77},"why":"kernel"}],"overrides":[{"who":"ann","why":"fire","count":2,"left":36000}],'
    b'"record":["4: step-0: release 1","override by ann: fire"],"number":5},"releases":{"number":2,'
    b'"courses":[{"plan":{"version":"7","before":"6","sites":[],"groups":[],"canaries":1,"batch":2,'
    b'"watch_ms":10000,"watch_most_ms":120000,"margins":{"late":0.05,"slow":0.15,"shed":0.05,'
    b'"written_off":0.02},"crashes":0,"memory":2.0,"stall_ms":600000},"batches":[["lost-0"],'
    b'["step-0","serving-0"]],"number":1,"age":90000,"at":2,"phase":"done","why":"all is released",'
    b'"bad":false,"left_out":[],"history":["0 s: running: started by ann",'
    b'"9 s: done: all is released"],"evidence":null},{"plan":{"version":"8","before":"7",'
    b'"sites":["step"],"groups":[],"canaries":2,"batch":2,"watch_ms":10000,"watch_most_ms":120000,'
    b'"margins":{"late":0.1},"crashes":0,"memory":1.5,"stall_ms":600000},"batches":[["step-0"]],'
    b'"number":2,"age":12,"at":0,"phase":"halted","why":"site lost: lost","bad":true,'
    b'"left_out":["step-0"],"history":["0 s: running: started by bob"],"evidence":{"batch":0,'
    b'"watched":5000,"figures":{"late":[1.5,20.0,3.0,400.25]},"base":{"step-0":[1,0,7]},'
    b'"bounds":{"step-0":3},"held":2}}]}}'
)
SITES = ("lost", "waiting", "step", "serving", "untouched")


def planner_state(folder):
    fleet = {
        "planners": [{"name": "p0", "address": "127.0.0.1:100"}],
        "sites": [
            {"name": site, "members": [{"name": f"{site}-0", "address": f"127.0.0.1:{1000 + place}"}]}
            for place, site in enumerate(SITES)
        ],
    }
    path = folder / "fleet.json"
    path.write_text(json.dumps(fleet))
    election = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
    return PlannerState(read_fleet(path), election, 0)


def test_a_stored_state_is_encoded_again_to_the_same_bytes():
    assert encode_state(decode_state(STORED_STATE)) == STORED_STATE


def test_a_leader_that_restores_a_stored_state_replicates_the_same_bytes(tmp_path):
    state = planner_state(tmp_path)
    state.restore(STORED_STATE, 5)
    assert state.encoded_state() == STORED_STATE


@pytest.mark.parametrize(
    ("site", "serving_fraction"),
    [("lost", 0.0), ("waiting", 0.0), ("step", 0.75), ("serving", 1.0), ("untouched", 1.0)],
    ids=SITES,
)
def test_each_stored_stage_is_restored_with_its_serving_fraction(tmp_path, site, serving_fraction):
    state = planner_state(tmp_path)
    state.restore(STORED_STATE, 5)
    assert state.sites.ramps[site].serving_fraction == serving_fraction


@pytest.mark.parametrize(
    "raw",
    [b"{", b'{"sites": 7}', b'{"later": {}}'],
    ids=["truncated", "wrong type", "key of a later version"],
)
def test_an_unreadable_state_is_reported_and_not_restored(tmp_path, raw):
    with pytest.raises(UnreadableStateError):
        decode_state(raw)
    state = planner_state(tmp_path)
    state.restore(raw, 5)
    assert [event.name for event in state.drain_events()] == ["replicated_state_unreadable"]
    assert state.encoded_state() == encode_state(decode_state(b""))
