"""Messages and vote files of an earlier version are decoded, and encoded again to the same bytes.

The literals were recorded with birchslip as of 2026-12-03, before the fields had their present names.
"""

import base64
import zlib

import pytest

from birchslip.cluster import election_messages, messages
from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election_store import ElectionStore
from birchslip.errors import InvalidInputError

RECORDED_MESSAGES = [
    pytest.param(
        messages.Incarnation,
        b'{"life":3,"mark":77}',
        id="incarnation",
    ),
    pytest.param(
        election_messages.PeerObservation,
        b'{"life":1,"mark":5,"promised":128,"epoch":64,"number":4}',
        id="peer_observation",
    ),
    pytest.param(
        messages.ProbeResult,
        b'{"name":"a-1","met":"refused"}',
        id="probe_result",
    ),
    pytest.param(
        messages.MemberReport,
        b'{"name":"a-1","site":"a","incarnation":{"life":3,"mark":77},"number":9,'
        b'"door":"127.0.0.1:1","age":1000,"serving":true,"leaving":false,"warm":true,'
        b'"room":100.5,"pace":1.25,"load":{"blue":40.0},"visits":1.5,"again":0.5,'
        b'"honoured":60.0,"shed":2.0,"calls":1.0,"share":2.0,"lease":300,"epoch":64,"plan":7,'
        b'"knocks":[{"name":"b-1","met":"silent"},{"name":"b-2","met":"answered"}],'
        b'"figures":{"late:order":[2,3]},"took":{"order":[0,1,2]},"memory":2048}',
        id="member_report",
    ),
    pytest.param(
        messages.PlanAssignment,
        b'{"epoch":64,"plan":7,"span":40000,"fade":50000,"quotas":{"blue":3.5},"visitors":[5,'
        b'6],"visits":2.25,"order":["beyond","home"],"level":0.5,"listed":true,"short":false}',
        id="plan_assignment",
    ),
    pytest.param(
        messages.ReportReply,
        b'{"epoch":64,"author":{"life":3,"mark":77},"leads":true,"leader":"p1","every":2500,'
        b'"tell":{"epoch":64,"plan":7,"span":40000,"fade":50000,"quotas":{"blue":3.5},'
        b'"visitors":[5,6],"visits":2.25,"order":["beyond","home"],"level":0.5,"listed":true,'
        b'"short":false},"share":1.5,"lease":30000,"knock":{"b-1":"127.0.0.1:2"}}',
        id="report_reply",
    ),
    pytest.param(
        election_messages.VoteRequest,
        b'{"epoch":64,"name":"p1","incarnation":{"life":3,"mark":77},"seen":{"p1":{"life":1,'
        b'"mark":5,"promised":128,"epoch":64,"number":4}},"doubt":["b-1"]}',
        id="vote_request",
    ),
    pytest.param(
        election_messages.VoteResponse,
        b'{"granted":true,"epoch":128,"name":"p2","incarnation":{"life":3,"mark":77},'
        b'"new":false,"held":17,"state_epoch":64,"state_number":4,"state":"eyJzaXRlcyI6e319",'
        b'"heard":["b-1"],"seen":{"p1":{"life":1,"mark":5,"promised":128,"epoch":64,'
        b'"number":4}}}',
        id="vote_response",
    ),
    pytest.param(
        election_messages.ReplicationRequest,
        b'{"epoch":64,"number":4,"name":"p1","incarnation":{"life":3,"mark":77},'
        b'"state":"eyJzaXRlcyI6e319"}',
        id="replication_request",
    ),
    pytest.param(
        election_messages.ReplicationResponse,
        b'{"kept":true,"epoch":64,"name":"p2"}',
        id="replication_response",
    ),
    pytest.param(
        messages.EvictionRequest,
        b'{"what":"strike","holder":"a-1","incarnation":{"life":3,"mark":77},"who":"jo",'
        b'"why":"a release","count":2,"span":300}',
        id="eviction_request",
    ),
    pytest.param(
        messages.EvictionResponse,
        b'{"granted":false,"number":3,"place":1,"why":"one is out"}',
        id="eviction_response",
    ),
    pytest.param(
        messages.OperatorCommand,
        b'{"what":"what-if","site":"a","who":"jo","why":"a drill"}',
        id="operator_command",
    ),
    pytest.param(
        messages.ReportReply,
        b'{"epoch":64,"author":{"life":3,"mark":77},"leads":false,"leader":"","every":2000,'
        b'"tell":null,"share":0.0,"lease":0,"knock":{}}',
        id="report_reply_of_a_follower",
    ),
    pytest.param(
        messages.EvictionRequest,
        b'{"what":"permit","holder":"a-1","incarnation":null,"who":"","why":"","count":1,' b'"span":0}',
        id="eviction_request_without_incarnation",
    ),
]

# The SQLite file of a closed vote store, compressed with zlib and encoded as base 85.
RECORDED_STORE = (
    b"c-rmQK}*9h6ae5P4isdlC)w>0JU9qKb&3=Or|cs0pzc1}`sT{gw6xh_jKb!>@K5MpG_{+G2akgAK9Z96@=|imd${Yz"
    b"7Gad;NnqiG?J^<QB>-bgtmYbbv+*P5?0144MZ8%R?s&`%LI@#*5JCtc<bPQ9`R0DB#h(isgc`#@>(tg?aed$G4tg-?"
    b"UiEuW=io3k2(hvFggIn+oCNs{COCs=jM1dtz5uVS>O?V3KC6v8Zl+o*(D4YBJDnzRfsbFSp-sO9?$;9q?p_v$n5EHp"
    b"9hhknV!nzLggP))A);y5Z}S)C1|ftHLI@#*5JLVM@+NC=vBw2J*jjD}uWvUSY>|1lY|)s@BDPpae_obznR#v@s}_Ou"
    b"JteCyfb>t5T=xZB_V`@MkB)%!&pJxh{Q&8A%JLnvXKg6"
)
RECORDED_VOTE = DurableVote(
    3,
    128,
    "p1",
    77,
    128,
    4,
    b'{"sites":{}}',
    False,
    '{"p1":{"life":1,"mark":5,"promised":128,"epoch":64,"number":4}}',
)


@pytest.mark.parametrize(("message_type", "recorded"), RECORDED_MESSAGES)
def test_a_recorded_message_is_decoded_and_encoded_to_the_same_bytes(message_type, recorded):
    assert messages.encode(messages.decode(recorded, message_type)) == recorded


@pytest.mark.parametrize("operation", ["permit", "past", "hand-back", "strike", "override"])
def test_every_recorded_eviction_operation_is_encoded_to_the_same_bytes(operation):
    recorded = b'{"what":"%b","holder":"","incarnation":null,"who":"","why":"","count":1,"span":0}'
    raw = recorded % operation.encode()
    assert messages.encode(messages.decode(raw, messages.EvictionRequest)) == raw


@pytest.mark.parametrize("operation", ["show", "what-if", "evacuate", "return"])
def test_every_recorded_operator_command_is_encoded_to_the_same_bytes(operation):
    raw = b'{"what":"%b","site":"","who":"","why":""}' % operation.encode()
    assert messages.encode(messages.decode(raw, messages.OperatorCommand)) == raw


@pytest.mark.parametrize("outcome", ["answered", "refused", "silent"])
def test_every_recorded_probe_outcome_is_encoded_to_the_same_bytes(outcome):
    raw = b'{"name":"a-1","met":"%b"}' % outcome.encode()
    assert messages.encode(messages.decode(raw, messages.ProbeResult)) == raw


@pytest.mark.parametrize(
    ("message_type", "raw"),
    [
        (messages.EvictionRequest, b'{"what":"leave"}'),
        (messages.OperatorCommand, b'{"what":"stop"}'),
        (messages.ProbeResult, b'{"name":"a-1","met":"late"}'),
    ],
    ids=["eviction request", "operator command", "probe"],
)
def test_a_value_outside_its_closed_set_is_refused(message_type, raw):
    with pytest.raises(InvalidInputError, match=message_type.__name__):
        messages.decode(raw, message_type)


def test_a_recorded_vote_file_is_read(tmp_path):
    (tmp_path / "p0.planner").write_bytes(zlib.decompress(base64.b85decode(RECORDED_STORE)))
    store = ElectionStore(tmp_path, "p0")
    assert (store.vote, store.damage) == (RECORDED_VOTE, "")
    store.close()


def test_a_vote_file_written_now_has_the_recorded_row(tmp_path):
    store = ElectionStore(tmp_path, "p0")
    store.save(RECORDED_VOTE)
    row = store.connection.execute("select * from ballot").fetchone()
    store.close()
    assert row == (
        1,
        1638838090,
        3,
        128,
        "p1",
        77,
        128,
        4,
        b'{"sites":{}}',
        0,
        '{"p1":{"life":1,"mark":5,"promised":128,"epoch":64,"number":4}}',
    )
