"""Faults of the agent's link: silence after a partial line, malformed messages, a repeated call notice.

The agent is a script behind a real socket, and the test sets the time.
"""

import json

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


class LinkedAgent(SchedulerHarness):
    """An `Agent` whose link is established: it was greeted, and missed notices were delivered.

    Attributes:
        ends: Id and outcome of each run that ended.
    """

    def __init__(self):
        super().__init__()
        self.server, self.agent_started_at = self.start_server(), self.time - 1000 * MS
        self.agent = Agent(*self.components, self.server.address, ["core_use"], 1 << 20)
        self.ends = []
        self.agent.on_handshake = lambda cold, began: None
        self.agent.on_call_needed = lambda context, number, body: None
        self.agent.on_run_ended = lambda context, outcome, body, elapsed: self.ends.append(
            (context.request_id, outcome)
        )
        self.agent.on_outcome_unknown = lambda context: self.ends.append((context.request_id, "doubt"))
        self.agent.on_launch_refused = lambda context: self.ends.append((context.request_id, "refused"))
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
