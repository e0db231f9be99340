"""Requests from one planner to another: the newest of each method is sent, and failures are only logged."""

from types import SimpleNamespace

import pytest

from birchslip.cluster.election_messages import ReplicationRequest, VoteRequest
from birchslip.cluster.messages import Incarnation, encode
from birchslip.cluster.peer_channel import RESPONSE_TIMEOUT, PeerChannel, PlannerMethod
from birchslip.errors import InvalidInputError

NOW = 50_000


class RecordedConnection:
    """Records calls; `during_call` runs during the first one."""

    def __init__(self):
        self.calls = []
        self.during_call = lambda: None
        self.error = None

    def call(self, method, value, deadline):
        self.calls.append((method, value, deadline))
        during_call, self.during_call = self.during_call, lambda: None
        during_call()
        if self.error is not None:
            raise self.error
        return b"response"


@pytest.fixture
def channel():
    connection, faults, responses = RecordedConnection(), [], []
    scheduler = SimpleNamespace(update_clock=lambda: NOW, tasks=[])
    scheduler.spawn = lambda name, task: scheduler.tasks.append(task)
    log = SimpleNamespace(fault=lambda event, **fields: faults.append((event, fields["planner"])))
    made = PeerChannel("p1", connection, scheduler, log, lambda *response: responses.append(response))
    made.faults, made.responses = faults, responses
    return made


def vote(term):
    return VoteRequest(term=term, candidate="p0", incarnation=Incarnation())


def replicate(number):
    return ReplicationRequest(term=64, state_number=number, leader="p0", incarnation=Incarnation(), state=b"")


def test_only_the_newest_waiting_request_of_each_method_is_sent(channel):
    channel.send(PlannerMethod.VOTE, vote(64))
    channel.send(PlannerMethod.VOTE, vote(128))
    channel.send(PlannerMethod.REPLICATE, replicate(1))
    (task,) = channel.scheduler.tasks
    task()
    deadline = NOW + RESPONSE_TIMEOUT
    assert channel.connection.calls == [
        ("ask", encode(vote(128)), deadline),
        ("keep", encode(replicate(1)), deadline),
    ]
    assert [request for request, *_ in channel.responses] == [vote(128), replicate(1)]
    assert {(raw, sent) for _, raw, sent in channel.responses} == {(b"response", NOW)}


def test_a_request_during_a_call_waits_for_its_end_in_the_same_task(channel):
    channel.connection.during_call = lambda: channel.send(PlannerMethod.VOTE, vote(128))
    channel.send(PlannerMethod.VOTE, vote(64))
    (task,) = channel.scheduler.tasks
    task()
    assert [value for _, value, _ in channel.connection.calls] == [encode(vote(64)), encode(vote(128))]
    assert len(channel.scheduler.tasks) == 1
    assert not channel.is_sending


@pytest.mark.parametrize(
    "error", [OSError("no answer in time"), InvalidInputError("malformed")], ids=["no response", "malformed"]
)
def test_a_failed_call_is_logged_and_the_next_request_is_sent(channel, error):
    channel.connection.error = error
    channel.send(PlannerMethod.VOTE, vote(64))
    channel.scheduler.tasks.pop()()
    assert channel.faults == [("planner_unreachable", "p1")]
    assert not channel.responses
    channel.connection.error = None
    channel.send(PlannerMethod.VOTE, vote(128))
    channel.scheduler.tasks.pop()()
    assert [request for request, *_ in channel.responses] == [vote(128)]
