"""The agent's link as it must not be: half a line and then nothing, figures that are none, a call asked for
twice. The agent is scripted, on a real address; time is the test's.
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

from .desk import profile
from .hall import Clocked, arrived

TICK_MS = 50


def line(**parts):
    return json.dumps(parts).encode() + b"\n"


class Linked(Clocked):
    """An `Agent` on a link that has been greeted and has told what was missed."""

    def __init__(self):
        super().__init__()
        self.place, self.began = self.there(), self.time - 1000 * MS
        self.agent = Agent(*self.parts, self.place.address, ["core_use"], 1 << 20)
        self.ends = []
        self.agent.on_handshake = lambda cold, began: None
        self.agent.on_call_needed = lambda context, number, body: None
        self.agent.on_run_ended = lambda context, outcome, made, took: self.ends.append(
            (context.request_id, outcome)
        )
        self.agent.on_outcome_unknown = lambda context: self.ends.append((context.request_id, "doubt"))
        self.agent.on_launch_refused = lambda context: self.ends.append((context.request_id, "refused"))
        self.scheduler.spawn("agent", self.agent.maintain_link)
        self.greet()

    def greet(self):
        """The newest link is greeted, and its fence answered."""
        links = len(self.place.links)
        self.until(lambda: self.place.said() and len(self.place.links) > links, 3000)
        assert len(self.place.links) > links, "no new link"
        self.say(line(op="greeting", end="seasoned", ms=(self.time - self.began) // MS))
        fence = f"fence-{self.agent.fence_number + 1}"
        assert self.hears(self.place, fence.encode())
        self.say(line(op="sampled", tag=fence, values=[0.5]))
        self.passes()
        assert self.agent.is_synchronized

    def say(self, raw):
        link, _ = self.place.links[-1]
        link.sendall(raw)
        arrived(link)

    def launch(self, name):
        now = self.scheduler.now
        context = RequestContext(None, 1, name, "lookup", b"", Request(profile(), 0, now, now + 9999, 1), now)
        self.agent.launch(context)
        self.passes()
        return context

    def ticks(self, count, answered=False):
        for _ in range(count):
            self.agent.request_gauges()
            self.passes(ms=TICK_MS)
            if answered:
                self.say(line(op="sampled", tag="tick", values=[0.5]))

    def count(self, name):
        return self.parts[1].counts[name]


@pytest.fixture
def linked():
    one = Linked()
    yield one
    one.close()


@pytest.mark.parametrize("half", [b"", b'{"op":"outcome","seq":1,"id":"a'])
def test_a_link_that_stands_and_says_nothing_is_opened_anew(linked, half):
    """Guards against a link that stops half way: all that is launched would be written off for ever."""
    linked.launch("a1")
    if half:
        linked.say(half)
    linked.ticks(MAX_UNANSWERED_SAMPLES + 1)
    linked.greet()
    assert linked.count("agent.links") == 2
    assert linked.count("agent.silent") == 1
    assert linked.hears(linked.place, b'"launch","id":"a1"')  # it is told again
    linked.say(line(op="outcome", seq=1, id="a1", end="done", ms=5, body=""))
    linked.passes()
    assert linked.ends == [("a1", Outcome.SERVED)]


def test_a_link_that_is_heard_is_kept_and_so_is_one_after_a_pause(linked):
    linked.ticks(3 * MAX_UNANSWERED_SAMPLES, answered=True)
    linked.ticks(MAX_UNANSWERED_SAMPLES)  # and then the answer lies unread, after a pause of any length
    linked.say(line(op="sampled", tag="tick", values=[0.5]))
    linked.time += 600_000 * MS
    linked.agent.request_gauges()
    linked.passes()
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
def test_figures_that_are_none_end_the_link_and_touch_no_run(linked, raw):
    linked.launch("a1")
    linked.say(raw)
    linked.passes(count=20)
    assert linked.count("agent.malformed") == 1
    assert linked.ends == []
    linked.greet()
    linked.say(line(op="outcome", seq=1, id="a1", end="done", ms=5, body=""))
    linked.passes()
    assert linked.ends == [("a1", Outcome.SERVED)]
    assert linked.agent.last_notice == 1


def test_a_call_that_is_asked_for_again_gives_up_the_one_that_is_out(linked):
    below = linked.there()
    vault = Vault(*linked.parts, below.address, 8)
    admission_stage = AdmissionStage(linked.scheduler, linked.parts[1], IdempotencyTable(1000))
    caller = DownstreamCaller(linked.scheduler, linked.parts[1], linked.agent, vault, admission_stage)
    vault.on_call_ended, caller.guarded_on_timeout = caller.on_call_ended, caller.on_timeout
    context = linked.launch("a1")
    for number in (1, 2):
        caller.on_call_needed(context, number, b"ask")
        caller.start_call(context, 2000 * MS if number == 2 else 300 * MS)
        assert linked.hears(below, b"ask a1 " + (b"2000" if number == 2 else b"300"))
    linked.passes(ms=400)  # the first one's limit is over
    assert linked.count("relay.overdue") == 0
    assert list(vault.calls) == ["a1"]
    first = below.links[0][0]
    first.setblocking(True)
    first.settimeout(5)
    assert first.recv(10) == b""  # its connection is closed, which gives it up
