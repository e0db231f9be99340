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

LINE = 65_536
WAIT_FIRST, WAIT_MOST = 200, 10_000  # before the next try at the link: 20 ms at first, a second at most
SILENT = (
    40  # gauges asked for, each on a tick, and nothing heard at all: the link is dead, whatever it looks like
)
STALE = 5_000  # gauges older than half a second say nothing
RESTART = 20_000  # an agent that began two seconds later than it had said has been started anew
STARTS = {"fresh": True, "seasoned": False}  # whether it is cold
OUTCOMES = {
    "done": Outcome.SERVED,
    "crashed": Outcome.FAILED,
    "aborted": Outcome.CANCELLED,
    "stale": Outcome.SUPERSEDED,
}


ENCODE = json.JSONEncoder(separators=(",", ":")).encode  # made once: `dumps` would make one for each order


def line_of(**parts: object) -> bytes:
    return ENCODE(parts).encode() + b"\n"


def figure(told: Any) -> float:
    value = float(told)
    if not isfinite(value):
        raise ValueError(f"a figure of {value}")
    return value


def span(milliseconds: Any) -> int:
    return int(figure(milliseconds) * MS)


def whole(told: dict[str, Any]) -> int:
    number = told["seq"]
    if not isinstance(number, int) or number < 1:
        raise ValueError(f"a notice numbered {str(number)[:40]!r}")
    return number


def body(told: dict[str, Any]) -> bytes:
    return a2b_base64(told.get("body") or "", strict_mode=True)


class Agent:
    """`greeted` hears of its start, `wanted` of calls, `ended` of outcomes, `refused` of runs that it would
    not begin, `doubt` of those whose end can't be known."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        gauges: list[str],
        bound_out: int,
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.address, self.gauges, self.bound_out = address, gauges, bound_out
        self.dial: Connector | None = None  # while a link is being opened
        self.link: Connection | None = None
        self.last = 0  # the number of the last notice read
        self.fences = 0
        self.unheard = 0  # gauges asked for since anything was heard
        self.settled = False  # whether what was missed has been told on this link
        self.gap = False
        self.began: int | None = None
        self.values: dict[str, float] = {}
        self.values_at = 0
        self.runs: dict[str, RequestContext] = {}
        self.greeted: Callable[[bool, int], None]
        self.wanted: Callable[[RequestContext, int, bytes], None]
        self.ended: Callable[[RequestContext, Outcome, bytes, int], None]
        self.refused: Callable[[RequestContext], None]
        self.doubt: Callable[[RequestContext], None]
        # hears of the end of runs that are not this life's
        self.stranger: Callable[[str, Outcome, bytes], None] = lambda name, outcome, result: None

    # ---- orders --------------------------------------------------------------------------------------------

    def order(self, **parts: object) -> bytes:
        """Sent at once on a link that is settled; kept by the caller, it is given again on the next one."""
        line = line_of(**parts)
        if self.link is not None and self.settled:
            self.link.write(line)
        return line

    def launch(self, context: RequestContext) -> None:
        self.runs[context.request_id] = context
        coded = b64encode(context.body).decode()
        context.pending_orders = self.order(
            op="launch", id=context.request_id, **{"class": context.class_name}, body=coded
        )

    def freeze(self, context: RequestContext) -> None:
        # Behind a launch that may not have reached the agent: both are given again then.
        context.pending_orders += self.order(op="freeze", id=context.request_id)

    def deliver(self, context: RequestContext, reply: bytes) -> None:
        context.pending_orders = self.order(
            op="deliver", id=context.request_id, body=b64encode(reply).decode()
        )

    def forgo(self, context: RequestContext) -> None:
        context.pending_orders = self.order(op="forgo", id=context.request_id, seq=context.call_notice_number)

    def sample(self) -> None:
        """Ask for the gauges; a link on which nothing at all is heard is opened anew.

        Guards against one that stands and is dead: half a line and then nothing, a peer that has gone without
        a word. Counted by what was asked and not by the clock, which runs on while this process is paused.
        """
        link = self.link
        if link is None or self.began is None:
            return
        self.unheard += 1
        if self.unheard > SILENT:
            link.read(lambda buffer: self.take(link, buffer))  # it may lie unread
        if self.unheard > SILENT and link.open:
            self.counters.count("agent.silent")
            link.close("nothing is heard on it")
        self.order(op="sample", tag="tick")

    def cores_used(self) -> float | None:
        """The gauge, if it was read lately."""
        fresh = self.scheduler.now - self.values_at <= STALE
        return self.values.get("core_use") if fresh else None

    # ---- the link ------------------------------------------------------------------------------------------

    def keep_link(self) -> None:
        """The task that opens the link, reads it to its end and opens it again."""
        wait = WAIT_FIRST
        while True:
            address = self.address
            self.dial = Connector(self.scheduler, address)
            try:
                link = Connection(self.scheduler, self.dial.open(), 2 * LINE, self.bound_out)
            except OSError as trouble:
                self.log.fault("the agent can't be reached", why=str(trouble))
                if address == self.address:
                    self.scheduler.sleep(self.scheduler.now + wait)
                    wait = min(2 * wait, WAIT_MOST)
                continue
            if address != self.address:
                link.close("moved")
                continue
            heard = self.last
            why = self.serve(link)
            if link.malformed:
                self.counters.count("agent.malformed")
            if address == self.address:
                self.counters.count("agent.lost")
                self.log.fault("link to the agent lost", why=why, last=self.last, runs=len(self.runs))
                wait = WAIT_FIRST if self.last > heard or self.settled else min(2 * wait, WAIT_MOST)
            self.link, self.settled = None, False
            if address == self.address:
                self.scheduler.sleep(self.scheduler.now + wait)

    def move(self, address: tuple[str, int]) -> None:
        """The agent is now reached there: the next link goes on where this one stood."""
        if address != self.address:
            self.address = address
            self.log.info("the agent has moved", last=self.last, runs=len(self.runs))
            if self.link is not None:
                self.link.close("moved")
            if self.dial is not None:
                self.dial.cancel()

    def serve(self, link: Connection) -> str:
        self.link, self.settled, self.unheard = link, False, 0
        self.counters.count("agent.links")
        link.write(line_of(op="subscribe", seq=self.last))
        try:
            return link.serve(lambda buffer: self.take(link, buffer))
        finally:
            link.close("a fault")

    def take(self, link: Connection, buffer: Buffer) -> None:
        while link.open and (line := buffer.read_line(LINE)) is not None:
            self.unheard = 0
            try:
                act = self.read(line)
            except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as trouble:
                raise MalformedMessageError(f"{type(trouble).__name__}: {trouble}") from None
            act()

    def read(self, line: bytes) -> Callable[[], None]:
        """What a line asks for, its parts checked; nothing has been done when it turns out malformed."""
        told = json.loads(str(line, "utf-8"))
        match told["op"]:
            case "greeting":
                return partial(self.greeting, STARTS[told["end"]], span(told["ms"]))
            case "sampled":
                return partial(self.sampled, str(told["tag"]), [figure(value) for value in told["values"]])
            case "refusal":
                return partial(self.declined, str(told.get("end"))[:40], str(told.get("id"))[:40])
            case "aside":
                act = partial(self.aside, str(told.get("end"))[:200])
                return partial(self.notice, whole(told), None, act)
            case "request":
                act = partial(self.call_wanted, str(told["id"]), whole(told), body(told))
                return partial(self.notice, whole(told), str(told["id"]), act)
            case "outcome":
                outcome, elapsed = OUTCOMES[told["end"]], span(told["ms"])
                name, made = str(told["id"]), body(told)
                act = partial(self.outcome, name, outcome, made, elapsed)
                return partial(
                    self.notice, whole(told), name, act, partial(self.stranger, name, outcome, made)
                )
            case unknown:
                raise ValueError(f"op {str(unknown)[:40]!r}")

    def declined(self, order: str, name: str) -> None:
        """A launch that is refused never runs; a run that the agent does not know any more has gone."""
        self.counters.count("agent.declined")
        self.log.fault("the agent did not carry out an order", order=order, id=name)
        context = self.runs.get(name)
        if context is not None and order in ("launch", "deliver", "forgo"):
            del self.runs[name]
            context.pending_orders = b""
            (self.refused if order == "launch" else self.doubt)(context)

    def greeting(self, cold: bool, age: int) -> None:
        began = self.scheduler.now - max(0, age)
        if self.began is None:
            self.greeted(cold, began)
        elif began > self.began + RESTART:
            self.log.fault("the agent was started anew: its runs are gone")
            self.gap, self.last = True, 0
        self.began = began
        self.fences += 1
        if self.link is not None:
            self.link.write(line_of(op="sample", tag=f"fence-{self.fences}"))

    def notice(
        self,
        number: int,
        name: str | None,
        act: Callable[[], None],
        strange: Callable[[], None] = lambda: None,
    ) -> None:
        """Each notice is taken once, in its turn."""
        if number <= self.last:
            return
        if number > self.last + 1:
            self.counters.count("agent.gaps")
            if self.settled and self.link is not None:
                # The agent still has what is missing: it tells it again on a new link.
                self.link.close(f"notice {number} after {self.last}")
                return
            self.log.fault("notices are missing", last=self.last, next=number)
            self.gap = True
        self.last = number
        if name is None or name in self.runs:
            act()
        else:
            self.counters.count("agent.unknown")
            strange()

    def aside(self, text: str) -> None:
        self.counters.count("agent.asides")
        self.log.fault("remark of the agent", text=text)

    def call_wanted(self, name: str, number: int, body: bytes) -> None:
        context = self.runs[name]
        context.pending_orders = b""
        self.wanted(context, number, body)

    def outcome(self, name: str, outcome: Outcome, result: bytes, elapsed: int) -> None:
        context = self.runs.pop(name)
        context.pending_orders = b""
        self.ended(context, outcome, result, elapsed)

    def sampled(self, tag: str, values: list[float]) -> None:
        if tag == f"fence-{self.fences}":
            self.resume()
        self.counters.count("agent.samples")
        self.values = dict(zip(self.gauges, values, strict=False))
        self.values_at = self.scheduler.now

    def resume(self) -> None:
        """All that was missed has been told: give again the orders that no notice has answered."""
        self.settled = True
        if self.link is None:
            return
        if self.fences > 1:
            self.log.info("link to the agent found again", last=self.last, runs=len(self.runs))
        for context in list(self.runs.values()):
            if self.gap:
                # Its outcome may be among those that are gone for good.
                del self.runs[context.request_id]
                self.doubt(context)
            elif context.pending_orders:
                self.link.write(context.pending_orders)
        self.gap = False
