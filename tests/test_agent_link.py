"""Faults of the agent's link: silence after a partial line, malformed messages, a repeated call notice.

The agent is a script behind a real socket, and the test sets the time.
"""

import json
import select
import socket

import pytest

from birchslip.admission.types import MS, Outcome, Request
from birchslip.net.idempotency_table import IdempotencyTable
from birchslip.net.request_context import RequestContext
from birchslip.net.servers import MAX_UNANSWERED_SAMPLES, Agent
from birchslip.net.stages.admission_stage import AdmissionStage
from birchslip.net.stages.downstream_caller import DownstreamCaller
from birchslip.net.vault import Vault

from .decision_harness import make_request_class
from .socket_harness import SchedulerHarness, wait_until_delivered

TICK_MS = 50


def line(**parts):
    return json.dumps(parts).encode() + b"\n"


def wait_for_peer_close(connection):
    """Wait until the end of the peer's side has arrived at a connection."""
    poll = select.poll()
    poll.register(connection.sock, select.POLLRDHUP)
    assert poll.poll(5000)


class LinkedAgent(SchedulerHarness):
    """An `Agent` whose link is established: it was greeted, and missed notices were delivered.

    Attributes:
        ends: Id and outcome of each run that ended.
        unconfirmed: Requests whose run may or may not have received the reply of its call.
    """

    def __init__(self):
        super().__init__()
        self.server, self.agent_started_at = self.start_server(), self.time - 1000 * MS
        self.agent = Agent(*self.components, self.server.address, ["core_use"], 1 << 20)
        self.ends, self.unconfirmed = [], []
        self.agent.on_handshake = lambda cold, began: None
        self.agent.on_call_needed = lambda context, number, body: None
        self.agent.on_run_ended = lambda context, outcome, body, elapsed: self.ends.append(
            (context.request_id, outcome)
        )
        self.agent.on_outcome_unknown = lambda context: self.ends.append((context.request_id, "doubt"))
        self.agent.on_launch_refused = lambda context: self.ends.append((context.request_id, "refused"))
        self.agent.on_reply_unconfirmed = self.unconfirmed.append
        self.scheduler.spawn("agent", self.agent.maintain_link)
        self.greet()

    def greet(self):
        """Wait for a new link, send the greeting on it, and answer the agent client's fence."""
        links = len(self.server.links)
        self.wait_until(lambda: self.server.receive_all() and len(self.server.links) > links, 3000)
        assert len(self.server.links) > links, "no new link"
        self.send_line(line(op="greeting", end="seasoned", ms=(self.time - self.agent_started_at) // MS))
        fence = f"fence-{self.agent.fence_number + 1}"
        assert self.wait_for_data(self.server, fence.encode())
        self.send_line(line(op="sampled", tag=fence, values=[0.5]))
        self.run_passes()
        assert self.agent.is_synchronized

    def send_line(self, raw):
        link, _ = self.server.links[-1]
        link.sendall(raw)
        wait_until_delivered(link)

    def launch(self, name):
        now = self.scheduler.now
        context = RequestContext(
            None, 1, name, "lookup", b"", Request(make_request_class(), 0, now, now + 9999, 1), now
        )
        self.agent.launch(context)
        self.run_passes()
        return context

    def request_call(self, context, number):
        """Send the agent's notice that a run needs a call."""
        self.send_line(line(op="request", seq=number, id=context.request_id, body=""))
        self.run_passes()
        assert self.agent.last_notice == number
        context.call_notice_number = number

    def lose_link(self, how):
        """End the link as a restart of the agent's proxy or a new configuration does, and open a new one."""
        if how == "reset":
            self.server.reset_links()
            self.run_passes()
        else:
            self.server = self.start_server()
            self.agent.change_address(self.server.address)
        self.greet()

    def orders_on_link(self):
        """Return the operation and the notice number, if any, of each order on the newest link."""
        self.run_passes()
        self.server.receive_all()
        orders = [json.loads(order) for order in self.server.links[-1][1].splitlines()]
        return [(order["op"], order.get("seq")) for order in orders if "id" in order]

    def sample_repeatedly(self, count, answered=False):
        """Request the gauges `count` times, one per tick, with an answer to each if `answered`."""
        for _ in range(count):
            self.agent.request_gauges()
            self.run_passes(ms=TICK_MS)
            if answered:
                self.send_line(line(op="sampled", tag="tick", values=[0.5]))

    def count(self, name):
        """Return the value of a counter."""
        return self.components[1].counts[name]


@pytest.fixture
def linked():
    linked_agent = LinkedAgent()
    yield linked_agent
    linked_agent.close()


@pytest.mark.parametrize("partial_line", [b"", b'{"op":"outcome","seq":1,"id":"a'])
def test_reopens_silent_link_and_resends_orders(linked, partial_line):
    """Guards against a link that stops within a message: all launched requests would fail from then on."""
    linked.launch("a1")
    if partial_line:
        linked.send_line(partial_line)
    linked.sample_repeatedly(MAX_UNANSWERED_SAMPLES + 1)
    linked.greet()
    assert linked.count("agent.links") == 2
    assert linked.count("agent.silent") == 1
    assert linked.wait_for_data(linked.server, b'"launch","id":"a1"')  # the launch is ordered again
    linked.send_line(line(op="outcome", seq=1, id="a1", end="done", ms=5, body=""))
    linked.run_passes()
    assert linked.ends == [("a1", Outcome.SERVED)]


def test_keeps_link_that_answers_and_link_after_process_pause(linked):
    linked.sample_repeatedly(3 * MAX_UNANSWERED_SAMPLES, answered=True)
    linked.sample_repeatedly(MAX_UNANSWERED_SAMPLES)  # the answer lies unread while the process is paused
    linked.send_line(line(op="sampled", tag="tick", values=[0.5]))
    linked.time += 600_000 * MS
    linked.agent.request_gauges()
    linked.run_passes()
    assert linked.count("agent.links") == 1
    assert linked.count("agent.silent") == 0


@pytest.mark.parametrize(
    "raw",
    [
        b'{"op":"outcome","seq":1,"id":"a1","end":"done","ms":1e999}\n',
        b'{"op":"outcome","seq":1,"id":"a1","end":"done","ms":NaN}\n',
        b'{"op":"sampled","tag":"tick","values":[Infinity]}\n',
        b'{"op":"greeting","end":"fresh","ms":-1e999}\n',
        b'{"op":["x"],"seq":1}\n',
        b"[" * 30_000 + b"\n",
        b'{"op":"outcome","seq":1,"id":"a1"' + b" " * 70_000,
    ],
)
def test_malformed_message_closes_link_and_affects_no_run(linked, raw):
    linked.launch("a1")
    linked.send_line(raw)
    linked.run_passes(count=20)
    assert linked.count("agent.malformed") == 1
    assert linked.ends == []
    linked.greet()
    linked.send_line(line(op="outcome", seq=1, id="a1", end="done", ms=5, body=""))
    linked.run_passes()
    assert linked.ends == [("a1", Outcome.SERVED)]
    assert linked.agent.last_notice == 1


LINK_LOSSES = ["reset", "new address"]


@pytest.fixture
def waiting_run(linked):
    """A run whose first call is requested, on a link that the test loses."""
    context = linked.launch("a1")
    linked.request_call(context, 1)
    return context


@pytest.mark.parametrize("how", LINK_LOSSES)
@pytest.mark.parametrize("age_ms", [0, 45, 60, 1000])
def test_reply_is_not_taken_for_that_of_next_call_after_link_loss(linked, waiting_run, how, age_ms):
    """Guards against a second `deliver` of a reply that the run has, which answers its next call.

    The run asks for that call after the fence was answered and before any further order arrives.
    """
    linked.agent.deliver(waiting_run, b"first")
    assert linked.wait_for_data(linked.server, b'"deliver"')
    linked.run_passes(ms=age_ms)
    linked.lose_link(how)
    linked.send_line(line(op="request", seq=2, id="a1", body=""))
    linked.run_passes()
    assert linked.orders_on_link() == []
    assert linked.unconfirmed == [waiting_run]
    assert linked.count("agent.unconfirmed_replies") == 1
    linked.agent.deliver(waiting_run, b"second")
    assert linked.orders_on_link() == [("deliver", None)]


@pytest.mark.parametrize("how", LINK_LOSSES)
def test_reply_that_came_without_link_is_delivered_on_next_one(linked, waiting_run, how):
    """Guards against a reply that is lost with a link on which it never went out."""
    linked.server.reset_links()
    linked.run_passes()
    assert not linked.agent.is_synchronized
    linked.agent.deliver(waiting_run, b"first")
    if how == "new address":
        linked.lose_link(how)
    else:
        linked.greet()
    assert linked.orders_on_link() == [("deliver", None)]
    assert linked.unconfirmed == []


def test_reply_that_system_has_not_taken_whole_is_delivered_on_next_link(linked, waiting_run):
    """Guards against a reply that waits behind others to an agent that does not read."""
    while linked.agent.link.unsent_bytes == 0:
        context = linked.launch("filler")
        context.body = b"x" * 100_000
        linked.agent.launch(context)
        linked.run_passes()
    del linked.agent.runs["filler"]
    linked.agent.deliver(waiting_run, b"first")
    linked.run_passes()
    linked.lose_link("new address")
    assert linked.orders_on_link() == [("deliver", None)]
    assert linked.unconfirmed == []


def test_reply_written_as_link_closes_is_delivered_on_next_link(linked, waiting_run):
    linked.agent.link.close("closed in this pass")
    linked.agent.deliver(waiting_run, b"first")
    linked.greet()
    assert linked.orders_on_link() == [("deliver", None)]


@pytest.mark.parametrize("unread", [b"", b'{"op":"sampled","tag":"tick","values":[0.5]}\n'])
@pytest.mark.parametrize("ending", ["end of the stream", "reset"])
def test_reply_is_not_written_to_link_whose_end_has_arrived(linked, waiting_run, ending, unread):
    """Guards against a reply that is lost in a link that has ended, and then counts as perhaps received."""
    link, _ = linked.server.links[-1]
    if unread:
        link.sendall(unread)
    if ending == "reset":
        linked.server.reset_links()
    else:
        link.shutdown(socket.SHUT_WR)
        linked.server.links.clear()
    wait_for_peer_close(linked.agent.link)
    linked.agent.deliver(waiting_run, b"first")
    linked.agent.link.flush()  # as at the end of a pass that polled its sockets before the end arrived
    linked.greet()
    link.close()
    assert linked.orders_on_link() == [("deliver", None)]
    assert linked.unconfirmed == []


@pytest.mark.parametrize("is_greeted_again", [False, True], ids=["fence answered twice", "greeted twice"])
def test_reply_is_written_once_to_a_link_that_is_synchronized_twice(linked, waiting_run, is_greeted_again):
    """Guards against a second `deliver` of a reply on the same link, which would answer the next call."""
    linked.agent.deliver(waiting_run, b"first")
    assert linked.wait_for_data(linked.server, b'"deliver"')
    if is_greeted_again:
        linked.send_line(line(op="greeting", end="seasoned", ms=1000))
        linked.run_passes()
    linked.send_line(line(op="sampled", tag=f"fence-{linked.agent.fence_number}", values=[0.5]))
    linked.run_passes()
    assert linked.orders_on_link() == [("launch", None), ("deliver", None)]


@pytest.mark.parametrize("how", LINK_LOSSES)
def test_skipped_call_is_repeated_by_its_notice_on_each_link(linked, waiting_run, how):
    linked.agent.deliver(waiting_run, b"first")
    linked.run_passes()
    linked.agent.on_reply_unconfirmed = linked.agent.skip_call
    for _ in range(3):
        linked.lose_link(how)
        assert linked.orders_on_link() == [("forgo", 1)]
    assert linked.count("agent.unconfirmed_replies") == 1
    assert linked.count("agent.repeated_forgo") == 2


def test_run_that_is_to_be_stopped_is_stopped_again_without_its_reply(linked, waiting_run):
    linked.agent.deliver(waiting_run, b"first")
    linked.agent.stop_run(waiting_run)
    linked.run_passes()
    linked.lose_link("reset")
    assert linked.orders_on_link() == [("freeze", None)]
    assert linked.unconfirmed == []


@pytest.mark.parametrize("how", LINK_LOSSES)
def test_launch_and_stop_are_repeated_in_order_on_each_link(linked, how):
    context = linked.launch("a1")
    linked.agent.stop_run(context)
    linked.run_passes()
    for _ in range(2):
        linked.lose_link(how)
        assert linked.orders_on_link() == [("launch", None), ("freeze", None)]
    linked.send_line(line(op="outcome", seq=1, id="a1", end="aborted", ms=5, body=""))
    linked.run_passes()
    linked.lose_link(how)
    assert linked.orders_on_link() == []


def test_second_call_notice_cancels_call_in_progress(linked):
    vault_server = linked.start_server()
    vault = Vault(*linked.components, vault_server.address, 8)
    admission_stage = AdmissionStage(linked.scheduler, linked.components[1], IdempotencyTable(1000))
    caller = DownstreamCaller(linked.scheduler, linked.components[1], linked.agent, vault, admission_stage)
    vault.on_call_ended, caller.guarded_on_timeout = caller.on_call_ended, caller.on_timeout
    context = linked.launch("a1")
    for number in (1, 2):
        caller.on_call_needed(context, number, b"ask")
        caller.start_call(context, 2000 * MS if number == 2 else 300 * MS)
        assert linked.wait_for_data(vault_server, b"ask a1 " + (b"2000" if number == 2 else b"300"))
    linked.run_passes(ms=400)  # past the timeout of the first call
    assert linked.count("relay.overdue") == 0
    assert list(vault.calls) == ["a1"]
    first = vault_server.links[0][0]
    first.setblocking(True)
    first.settimeout(5)
    assert first.recv(10) == b""  # its connection is closed, which cancels the call
