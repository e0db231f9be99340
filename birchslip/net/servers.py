"""The agent that owns the cores: JSON lines on one link, opened again whenever it is lost.

Numbered notices are taken once each. On a new link the agent first tells what was missed; a gauge asked for
at its beginning marks where that ends, and only then are orders given again that no notice has answered. To
launch what runs already changes nothing, and what has ended has been told by then: nothing is run twice.
"""

from __future__ import annotations

import json
from base64 import b64encode
from binascii import a2b_base64
from collections.abc import Callable
from functools import partial
from math import isfinite
from typing import Any

from ..admission.types import MS, Outcome
from .buffer import Buffer, MalformedMessageError
from .connection import Connection, Connector
from .counters import Counters
from .log import Log
from .request_context import RequestContext
from .scheduler import Scheduler

MAX_LINE_BYTES = 65_536
INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY = (
    200,
    10_000,
)  # before the next try at the link: 20 ms at first, a second at most
MAX_UNANSWERED_SAMPLES = (
    40  # gauges asked for, each on a tick, and nothing heard at all: the link is dead, whatever it looks like
)
MAX_GAUGE_AGE = 5_000  # gauges older than half a second say nothing
START_TIME_TOLERANCE = 20_000  # an agent that began two seconds later than it had said has been started anew
IS_COLD_BY_START_KIND = {"fresh": True, "seasoned": False}  # whether it is cold
RUN_OUTCOMES = {
    "done": Outcome.SERVED,
    "crashed": Outcome.FAILED,
    "aborted": Outcome.CANCELLED,
    "stale": Outcome.SUPERSEDED,
}


encode_json = json.JSONEncoder(
    separators=(",", ":")
).encode  # made once: `dumps` would make one for each order


def encode_line(**parts: object) -> bytes:
    return encode_json(parts).encode() + b"\n"


def parse_number(value: Any) -> float:
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"a figure of {number}")
    return number


def parse_duration(milliseconds: Any) -> int:
    return int(parse_number(milliseconds) * MS)


def parse_notice_number(message: dict[str, Any]) -> int:
    notice_number = message["seq"]
    if not isinstance(notice_number, int) or notice_number < 1:
        raise ValueError(f"a notice numbered {str(notice_number)[:40]!r}")
    return notice_number


def parse_body(message: dict[str, Any]) -> bytes:
    return a2b_base64(message.get("body") or "", strict_mode=True)


class Agent:
    """`on_handshake` hears of its start, `on_call_needed` of calls, `on_run_ended` of outcomes,
    `on_launch_refused` of runs that it would not begin, `on_outcome_unknown` of those whose end can't be
    known."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        gauge_names: list[str],
        max_unsent_bytes: int,
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.address, self.gauge_names, self.max_unsent_bytes = address, gauge_names, max_unsent_bytes
        self.connection_attempt: Connector | None = None  # while a link is being opened
        self.link: Connection | None = None
        self.last_notice = 0  # the number of the last notice read
        self.fence_number = 0
        self.unanswered_samples = 0  # gauges asked for since anything was heard
        self.is_synchronized = False  # whether what was missed has been told on this link
        self.has_notice_gap = False
        self.agent_started_at: int | None = None
        self.gauge_values: dict[str, float] = {}
        self.gauges_received_at = 0
        self.runs: dict[str, RequestContext] = {}
        self.on_handshake: Callable[[bool, int], None]
        self.on_call_needed: Callable[[RequestContext, int, bytes], None]
        self.on_run_ended: Callable[[RequestContext, Outcome, bytes, int], None]
        self.on_launch_refused: Callable[[RequestContext], None]
        self.on_outcome_unknown: Callable[[RequestContext], None]
        # hears of the end of runs that are not this life's
        self.on_unknown_run_ended: Callable[[str, Outcome, bytes], None] = (
            lambda request_id, outcome, result: None
        )

    # ---- orders --------------------------------------------------------------------------------------------

    def send_order(self, **parts: object) -> bytes:
        """Sent at once on a link that is settled; kept by the caller, it is given again on the next one."""
        line = encode_line(**parts)
        if self.link is not None and self.is_synchronized:
            self.link.write(line)
        return line

    def launch(self, context: RequestContext) -> None:
        self.runs[context.request_id] = context
        encoded_body = b64encode(context.body).decode()
        context.pending_orders = self.send_order(
            op="launch", id=context.request_id, **{"class": context.class_name}, body=encoded_body
        )

    def stop_run(self, context: RequestContext) -> None:
        # Behind a launch that may not have reached the agent: both are given again then.
        context.pending_orders += self.send_order(op="freeze", id=context.request_id)

    def deliver(self, context: RequestContext, reply: bytes) -> None:
        context.pending_orders = self.send_order(
            op="deliver", id=context.request_id, body=b64encode(reply).decode()
        )

    def skip_call(self, context: RequestContext) -> None:
        context.pending_orders = self.send_order(
            op="forgo", id=context.request_id, seq=context.call_notice_number
        )

    def request_gauges(self) -> None:
        """Ask for the gauges; a link on which nothing at all is heard is opened anew.

        Guards against one that stands and is dead: half a line and then nothing, a peer that has gone without
        a word. Counted by what was asked and not by the clock, which runs on while this process is paused.
        """
        link = self.link
        if link is None or self.agent_started_at is None:
            return
        self.unanswered_samples += 1
        if self.unanswered_samples > MAX_UNANSWERED_SAMPLES:
            link.read(lambda buffer: self.read_messages(link, buffer))  # it may lie unread
        if self.unanswered_samples > MAX_UNANSWERED_SAMPLES and link.open:
            self.counters.count("agent.silent")
            link.close("nothing is heard on it")
        self.send_order(op="sample", tag="tick")

    def cores_used(self) -> float | None:
        """The gauge, if it was read lately."""
        is_fresh = self.scheduler.now - self.gauges_received_at <= MAX_GAUGE_AGE
        return self.gauge_values.get("core_use") if is_fresh else None

    # ---- the link ------------------------------------------------------------------------------------------

    def maintain_link(self) -> None:
        """The task that opens the link, reads it to its end and opens it again."""
        delay = INITIAL_RECONNECT_DELAY
        while True:
            address = self.address
            self.connection_attempt = Connector(self.scheduler, address)
            try:
                link = Connection(
                    self.scheduler, self.connection_attempt.open(), 2 * MAX_LINE_BYTES, self.max_unsent_bytes
                )
            except OSError as error:
                self.log.fault("the agent can't be reached", why=str(error))
                if address == self.address:
                    self.scheduler.sleep(self.scheduler.now + delay)
                    delay = min(2 * delay, MAX_RECONNECT_DELAY)
                continue
            if address != self.address:
                link.close("moved")
                continue
            last_notice_before = self.last_notice
            why = self.serve_link(link)
            if link.malformed:
                self.counters.count("agent.malformed")
            if address == self.address:
                self.counters.count("agent.lost")
                self.log.fault("link to the agent lost", why=why, last=self.last_notice, runs=len(self.runs))
                delay = (
                    INITIAL_RECONNECT_DELAY
                    if self.last_notice > last_notice_before or self.is_synchronized
                    else min(2 * delay, MAX_RECONNECT_DELAY)
                )
            self.link, self.is_synchronized = None, False
            if address == self.address:
                self.scheduler.sleep(self.scheduler.now + delay)

    def change_address(self, address: tuple[str, int]) -> None:
        """The agent is now reached there: the next link goes on where this one stood."""
        if address != self.address:
            self.address = address
            self.log.info("the agent has moved", last=self.last_notice, runs=len(self.runs))
            if self.link is not None:
                self.link.close("moved")
            if self.connection_attempt is not None:
                self.connection_attempt.cancel()

    def serve_link(self, link: Connection) -> str:
        self.link, self.is_synchronized, self.unanswered_samples = link, False, 0
        self.counters.count("agent.links")
        link.write(encode_line(op="subscribe", seq=self.last_notice))
        try:
            return link.serve(lambda buffer: self.read_messages(link, buffer))
        finally:
            link.close("a fault")

    def read_messages(self, link: Connection, buffer: Buffer) -> None:
        while link.open and (line := buffer.read_line(MAX_LINE_BYTES)) is not None:
            self.unanswered_samples = 0
            try:
                action = self.parse_message(line)
            except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as error:
                raise MalformedMessageError(f"{type(error).__name__}: {error}") from None
            action()

    def parse_message(self, line: bytes) -> Callable[[], None]:
        """What a line asks for, its parts checked; nothing has been done when it turns out malformed."""
        message = json.loads(str(line, "utf-8"))
        match message["op"]:
            case "greeting":
                return partial(
                    self.handle_greeting, IS_COLD_BY_START_KIND[message["end"]], parse_duration(message["ms"])
                )
            case "sampled":
                return partial(
                    self.handle_sample,
                    str(message["tag"]),
                    [parse_number(value) for value in message["values"]],
                )
            case "refusal":
                return partial(self.handle_refusal, str(message.get("end"))[:40], str(message.get("id"))[:40])
            case "aside":
                action = partial(self.handle_remark, str(message.get("end"))[:200])
                return partial(self.handle_notice, parse_notice_number(message), None, action)
            case "request":
                action = partial(
                    self.handle_call_request,
                    str(message["id"]),
                    parse_notice_number(message),
                    parse_body(message),
                )
                return partial(self.handle_notice, parse_notice_number(message), str(message["id"]), action)
            case "outcome":
                outcome, elapsed = RUN_OUTCOMES[message["end"]], parse_duration(message["ms"])
                request_id, result = str(message["id"]), parse_body(message)
                action = partial(self.handle_outcome, request_id, outcome, result, elapsed)
                return partial(
                    self.handle_notice,
                    parse_notice_number(message),
                    request_id,
                    action,
                    partial(self.on_unknown_run_ended, request_id, outcome, result),
                )
            case unknown:
                raise ValueError(f"op {str(unknown)[:40]!r}")

    def handle_refusal(self, order: str, request_id: str) -> None:
        """A launch that is refused never runs; a run that the agent does not know any more has gone."""
        self.counters.count("agent.declined")
        self.log.fault("the agent did not carry out an order", order=order, id=request_id)
        context = self.runs.get(request_id)
        if context is not None and order in ("launch", "deliver", "forgo"):
            del self.runs[request_id]
            context.pending_orders = b""
            (self.on_launch_refused if order == "launch" else self.on_outcome_unknown)(context)

    def handle_greeting(self, cold: bool, age: int) -> None:
        started_at = self.scheduler.now - max(0, age)
        if self.agent_started_at is None:
            self.on_handshake(cold, started_at)
        elif started_at > self.agent_started_at + START_TIME_TOLERANCE:
            self.log.fault("the agent was started anew: its runs are gone")
            self.has_notice_gap, self.last_notice = True, 0
        self.agent_started_at = started_at
        self.fence_number += 1
        if self.link is not None:
            self.link.write(encode_line(op="sample", tag=f"fence-{self.fence_number}"))

    def handle_notice(
        self,
        notice_number: int,
        request_id: str | None,
        action: Callable[[], None],
        unknown_run_action: Callable[[], None] = lambda: None,
    ) -> None:
        """Each notice is taken once, in its turn."""
        if notice_number <= self.last_notice:
            return
        if notice_number > self.last_notice + 1:
            self.counters.count("agent.gaps")
            if self.is_synchronized and self.link is not None:
                # The agent still has what is missing: it tells it again on a new link.
                self.link.close(f"notice {notice_number} after {self.last_notice}")
                return
            self.log.fault("notices are missing", last=self.last_notice, next=notice_number)
            self.has_notice_gap = True
        self.last_notice = notice_number
        if request_id is None or request_id in self.runs:
            action()
        else:
            self.counters.count("agent.unknown")
            unknown_run_action()

    def handle_remark(self, text: str) -> None:
        self.counters.count("agent.asides")
        self.log.fault("remark of the agent", text=text)

    def handle_call_request(self, request_id: str, notice_number: int, body: bytes) -> None:
        context = self.runs[request_id]
        context.pending_orders = b""
        self.on_call_needed(context, notice_number, body)

    def handle_outcome(self, request_id: str, outcome: Outcome, result: bytes, elapsed: int) -> None:
        context = self.runs.pop(request_id)
        context.pending_orders = b""
        self.on_run_ended(context, outcome, result, elapsed)

    def handle_sample(self, tag: str, values: list[float]) -> None:
        if tag == f"fence-{self.fence_number}":
            self.finish_synchronization()
        self.counters.count("agent.samples")
        self.gauge_values = dict(zip(self.gauge_names, values, strict=False))
        self.gauges_received_at = self.scheduler.now

    def finish_synchronization(self) -> None:
        """All that was missed has been told: give again the orders that no notice has answered."""
        self.is_synchronized = True
        if self.link is None:
            return
        if self.fence_number > 1:
            self.log.info("link to the agent found again", last=self.last_notice, runs=len(self.runs))
        for context in list(self.runs.values()):
            if self.has_notice_gap:
                # Its outcome may be among those that are gone for good.
                del self.runs[context.request_id]
                self.on_outcome_unknown(context)
            elif context.pending_orders:
                self.link.write(context.pending_orders)
        self.has_notice_gap = False
