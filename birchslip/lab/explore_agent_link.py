"""Explores the orders to an agent over links that are lost, in many random histories without sockets.

The app server's side is the real `Agent`; the agent is a model of the published protocol. Links take a part
of what is written, the agent carries out a part of what they took, and the rest is lost with them. Notices
and samples arrive in pieces, late or twice. Runs work on at any moment, also between the answer to a fence
and the order that follows. At each order the explorer checks that a run takes no reply but that of the call
that it waits for, and at the end of a history, on a link that loses nothing, that every run ends, but for one
that must not skip its call and whose reply a link took and lost. The same seed gives the same history.

That a second `launch` starts no ended run is a promise of the protocol (`stale`), and an assumption here.
"""

from __future__ import annotations

import json
import random
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, cast

from ..admission.types import SECOND, Idempotency, Outcome, Request, RequestClass
from ..net.buffer import Buffer
from ..net.connection import Connection
from ..net.counters import Counters
from ..net.log import Log
from ..net.request_context import RequestContext, ResponseChannel
from ..net.scheduler import Scheduler
from ..net.servers import Agent
from .explore import GuaranteeViolationError

MAX_CALLS_OF_RUN = 3
MAX_BYTES_TAKEN = 400  # a link takes up to this many bytes at a time, a few orders or a part of one
# For each step of a link, notice or sample, look for a run to stop, and call that may be skipped.
LINK_LOSS_PROBABILITY, DUPLICATE_PROBABILITY, STOP_PROBABILITY, SKIP_PROBABILITY = 0.015, 0.1, 0.1, 0.3
STEPS_WITHOUT_LINK = 3  # at most
MAX_STEPS_AT_END = 20_000  # after which a history that goes on counts as one without an end
MAX_LINK_BYTES = 1 << 20
REQUEST_CLASSES = [
    RequestClass(Idempotency.IDEMPOTENT, SECOND, SECOND, weight_without_call=weight) for weight in (0.0, 0.5)
]


class SilentLog(Log):
    """A log that keeps nothing."""

    def __init__(self) -> None:
        """Create it without a writer."""

    def info(self, event: str, **fields: object) -> None:
        """Drop an event."""

    def fault(self, event: str, **fields: object) -> None:
        """Drop a warning."""


class MemorySocket:
    """The app server's end of a link; the agent's end is its two byte strings.

    Attributes:
        to_agent: Bytes that the system took and the agent has not read.
        to_server: Bytes that the agent sent and the app server has not read.
    """

    def __init__(self, chance: random.Random) -> None:
        """Create an open link without data."""
        self.chance = chance
        self.to_agent, self.to_server = bytearray(), bytearray()

    def fileno(self) -> int:
        """Return a descriptor that no poller knows."""
        return -1

    def send(self, data: bytes) -> int:
        """Take a part of the data, perhaps none."""
        count = min(len(data), self.chance.randrange(MAX_BYTES_TAKEN))
        if not count:
            raise BlockingIOError
        self.to_agent += data[:count]
        return count

    def sendmsg(self, pieces: list[bytes]) -> int:
        """Take a part of the pieces, perhaps none."""
        return self.send(b"".join(pieces))

    def recv_into(self, free: memoryview) -> int:
        """Return a part of what the agent sent."""
        if not self.to_server:
            raise BlockingIOError
        count = min(len(free), self.chance.randint(1, len(self.to_server)))
        free[:count] = self.to_server[:count]
        del self.to_server[:count]
        return count

    def close(self) -> None:
        """Do nothing: what is left of the link is dropped with it."""


class MemoryLink(Connection):
    """A connection over a `MemorySocket`; the explorer decides when it sends, reads and ends."""

    def __init__(self, scheduler: Scheduler, end: MemorySocket, play: Callable[[MemoryLink], None]) -> None:
        """Create an open link that `play` uses until it is lost."""
        super().__init__(scheduler, cast(Any, end), MAX_LINK_BYTES, MAX_LINK_BYTES)
        self.end, self.play = end, play
        self.on_data: Callable[[Buffer], None]

    def serve(self, on_data: Callable[[Buffer], None]) -> str:
        """Let the explorer play until the link is lost, and return the reason."""
        self.on_data = on_data
        self.play(self)
        return self.close_reason


@dataclass(eq=False)
class ModelRun:
    """A run at the model of the agent.

    Attributes:
        calls_left: How many calls it has still to request.
        call: Number of its latest call, from 1.
        waiting_notice: Number of the notice that requested the call it waits for; None while it works.
    """

    calls_left: int
    call: int = 0
    waiting_notice: int | None = None


class ModelAgent:
    """An agent by the published protocol: it carries out the lines of one link and numbers its notices.

    Attributes:
        runs: Runs that have not ended, by request id.
        started: Runs that were started; a second launch of one that has ended is answered with `stale`.
        link: The newest link; None after it was lost.
        notices: All notices, in order.
    """

    def __init__(self, chance: random.Random) -> None:
        """Create an agent without runs and without a link."""
        self.chance = chance
        self.runs: dict[str, ModelRun] = {}
        self.started: set[str] = set()
        self.link: MemorySocket | None = None
        self.notices: list[dict[str, Any]] = []

    def read_orders(self, link: MemorySocket, count: int) -> None:
        """Carry out up to `count` whole lines of a link."""
        while count and (end := link.to_agent.find(b"\n")) >= 0:
            line = bytes(link.to_agent[:end])
            del link.to_agent[: end + 1]
            self.handle_order(link, json.loads(line))
            count -= 1

    def handle_order(self, link: MemorySocket, order: dict[str, Any]) -> None:
        """Carry out one order.

        Raises:
            GuaranteeViolationError: If it is the reply to another call.
        """
        request_id = order.get("id", "")
        run = self.runs.get(request_id)
        match order["op"]:
            case "subscribe":
                self.link = link
                self.send({"op": "greeting", "end": "seasoned", "ms": 1000})
                for notice in self.notices[order["seq"] :]:
                    self.send(notice)
            case "sample":
                self.send_at_times_twice({"op": "sampled", "tag": order["tag"], "values": []})
            case "launch" if run is None and request_id in self.started:
                self.notify(op="outcome", id=request_id, end="stale", ms=0)
            case "launch" if run is None:
                self.started.add(request_id)
                self.runs[request_id] = ModelRun(self.chance.randint(0, MAX_CALLS_OF_RUN))
            case "freeze" if run is not None:
                self.end_run(request_id, "aborted")
            case "deliver" if run is not None and run.waiting_notice is not None:
                reply = b64decode(order["body"])
                if reply != make_reply(make_call(request_id, run.call)):
                    raise GuaranteeViolationError(f"{request_id} took {reply!r} for call {run.call}")
                run.waiting_notice = None
            case "forgo" if run is not None and run.waiting_notice == order["seq"]:
                run.waiting_notice = None

    def work(self) -> None:
        """Let a run that works request its next call, or end if none is left."""
        working = [request_id for request_id, run in self.runs.items() if run.waiting_notice is None]
        if not working:
            return
        request_id = self.chance.choice(working)
        run = self.runs[request_id]
        if not run.calls_left:
            self.end_run(request_id, "done")
            return
        run.calls_left -= 1
        run.call += 1
        run.waiting_notice = len(self.notices) + 1
        body = b64encode(make_call(request_id, run.call)).decode()
        self.notify(op="request", id=request_id, body=body)

    def end_run(self, request_id: str, outcome: str) -> None:
        """End a run and notify the app server."""
        del self.runs[request_id]
        self.notify(op="outcome", id=request_id, end=outcome, ms=1)

    def notify(self, **notice: object) -> None:
        """Give a notice its number, keep it and send it."""
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.send_at_times_twice(notice)

    def send_at_times_twice(self, message: dict[str, Any]) -> None:
        """Send a message, with some probability two copies of it."""
        for _ in range(1 + (self.chance.random() < DUPLICATE_PROBABILITY)):
            self.send(message)

    def send(self, message: dict[str, Any]) -> None:
        """Send a message on the newest link, if there is one."""
        if self.link is not None:
            self.link.to_server += json.dumps(message).encode() + b"\n"


def make_call(request_id: str, number: int) -> bytes:
    """Return the body of a call of a run."""
    return f"{request_id}/{number}".encode()


def make_reply(call: bytes) -> bytes:
    """Return the only right reply to a call."""
    return b"reply to " + call


class AgentLinkExplorer:
    """One history.

    Attributes:
        due_replies: The call that each run waits for, by the app server's notices.
        unconfirmed: Runs whose reply was neither confirmed nor sent again, and that must not skip the call.
    """

    def __init__(self, seed: int) -> None:
        """Begin without runs and without a link."""
        self.chance = random.Random(seed)
        self.counters = Counters()
        self.scheduler = Scheduler(lambda: None, self.raise_error, lambda: 10 * SECOND)
        self.server = Agent(self.scheduler, self.counters, SilentLog(), ("127.0.0.1", 1), [], MAX_LINK_BYTES)
        self.agent = ModelAgent(self.chance)
        self.due_replies: dict[str, tuple[RequestContext, bytes]] = {}
        self.unconfirmed: set[str] = set()
        self.launched = 0
        self.loses_links = True
        self.server.on_handshake = lambda is_cold, started_at: None
        self.server.on_call_needed = self.on_call_needed
        self.server.on_run_ended = self.on_run_ended
        self.server.on_outcome_unknown = self.server.on_launch_refused = self.on_run_lost
        self.server.on_reply_unconfirmed = self.on_reply_unconfirmed

    @staticmethod
    def raise_error(name: str, error: Exception) -> None:
        """Raise an error of a task."""
        raise error

    # ---- the app server around its link --------------------------------------------------------------------

    def on_call_needed(self, context: RequestContext, notice_number: int, body: bytes) -> None:
        """Keep a call until the history replies to it or skips it."""
        context.call_notice_number = notice_number
        self.due_replies[context.request_id] = context, body
        self.unconfirmed.discard(context.request_id)

    def on_run_ended(self, context: RequestContext, outcome: Outcome, result: bytes, elapsed: int) -> None:
        """Drop the call of a run that ended."""
        self.due_replies.pop(context.request_id, None)
        self.unconfirmed.discard(context.request_id)

    def on_run_lost(self, context: RequestContext) -> None:
        """Report a run that was given up, which no history here should bring about."""
        raise GuaranteeViolationError(f"{context.request_id} was given up")

    def on_reply_unconfirmed(self, context: RequestContext) -> None:
        """Skip the call if the class allows it, as `DownstreamCaller` does."""
        if context.request.request_class.may_skip_calls:
            self.server.skip_call(context)
        else:
            self.unconfirmed.add(context.request_id)

    def launch(self) -> None:
        """Order a new run."""
        self.launched += 1
        request = Request(self.chance.choice(REQUEST_CLASSES), 0, 0, SECOND, 1)
        channel = cast(ResponseChannel, None)
        self.server.launch(RequestContext(channel, 1, f"run-{self.launched}", "lookup", b"", request, 0))

    def end_call(self) -> None:
        """Reply to a call that is due, or skip it if its class allows this."""
        if self.due_replies:
            context, body = self.due_replies.pop(self.chance.choice(list(self.due_replies)))
            if context.request.request_class.may_skip_calls and self.chance.random() < SKIP_PROBABILITY:
                self.server.skip_call(context)
            else:
                self.server.deliver(context, make_reply(body))

    def stop_run(self) -> None:
        """Stop a run, if one is open and was not stopped before."""
        if self.server.runs and self.chance.random() < STOP_PROBABILITY:
            context = self.chance.choice(list(self.server.runs.values()))
            if not context.is_answered:
                context.is_answered = True
                self.server.stop_run(context)

    # ---- histories -----------------------------------------------------------------------------------------

    def run(self, steps: int) -> AgentLinkExplorer:
        """Play a history of about this many steps and check its end.

        Raises:
            GuaranteeViolationError: If a guarantee is violated.
        """
        self.steps_left = steps
        while self.steps_left > 0:
            self.play_link()
            for _ in range(self.chance.randint(0, STEPS_WITHOUT_LINK)):
                step = self.chance.choice([self.agent.work, self.end_call, self.launch, self.stop_run])
                step()
        self.loses_links = False
        self.steps_left = MAX_STEPS_AT_END
        self.play_link()
        self.check_end()
        return self

    def play_link(self) -> None:
        """Play a link from its opening to its loss."""
        end = MemorySocket(self.chance)
        self.server.serve_link(MemoryLink(self.scheduler, end, self.play_steps))
        self.server.link, self.server.is_synchronized = None, False

    def play_steps(self, link: MemoryLink) -> None:
        """Play steps at random until the link is lost; at the end of the history until nothing moves."""
        steps: list[Callable[[], object]] = [
            self.agent.work,
            self.end_call,
            link.flush,
            lambda: self.agent.read_orders(link.end, self.chance.randint(1, 3)),
            lambda: link.read(link.on_data),
        ]
        if self.loses_links:
            steps += [self.launch, self.stop_run]
        while link.open and self.steps_left > 0 and (self.loses_links or not self.is_at_rest(link)):
            self.steps_left -= 1
            step = self.chance.choice(steps)
            step()
            if self.loses_links and self.chance.random() < LINK_LOSS_PROBABILITY:
                break
        self.agent.read_orders(link.end, self.chance.randint(0, 3))  # what it read before the link was lost
        self.agent.link = None
        link.close("lost")

    def is_at_rest(self, link: MemoryLink) -> bool:
        """Return whether nothing is under way on a link and no run can work on."""
        is_idle = not (link.unsent or link.end.to_agent or link.end.to_server or self.due_replies)
        is_waiting = all(run.waiting_notice is not None for run in self.agent.runs.values())
        return self.server.is_synchronized and is_idle and is_waiting

    def check_end(self) -> None:
        """Check that every run ended, but for those whose reply may have been lost."""
        open_runs = self.agent.runs.keys() | self.server.runs.keys()
        if open_runs - self.unconfirmed:
            raise GuaranteeViolationError(f"never end: {sorted(open_runs - self.unconfirmed)}")


def explore(seeds: Iterable[int], steps: int) -> Counter[str]:
    """Play a history for each seed.

    Returns:
        Totals over all histories: `runs`, `links`, `replies_lost`, and the orders sent again by their `op`.

    Raises:
        GuaranteeViolationError: With the seed of the first history that violates a guarantee.
    """
    totals: Counter[str] = Counter()
    for seed in seeds:
        explorer = AgentLinkExplorer(seed)
        try:
            explorer.run(steps)
        except GuaranteeViolationError as violation:
            raise GuaranteeViolationError(f"seed {seed}: {violation}") from None
        counts = explorer.counters.counts
        totals.update(runs=explorer.launched, links=counts["agent.links"])
        totals.update(replies_lost=len(explorer.unconfirmed), unconfirmed=counts["agent.unconfirmed_replies"])
        totals.update({op: counts[f"agent.repeated_{op}"] for op in ("launch", "freeze", "forgo")})
    return totals
