"""The agent that owns the cores: JSON lines on one link, opened again whenever it is lost.

Numbered notices are taken once each. On a new link the agent first tells what was missed; a gauge asked for
at its beginning marks where that ends, and only then are orders given again that no notice has answered. To
launch what runs already changes nothing, and what has ended has been told by then: nothing is run twice.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

from .buffer import Buffer, Overflow
from .connection import Connection, connect
from .counters import Counters
from .log import Log
from .passage import Passage
from .scheduler import Scheduler

LINE = 65_536
BOUND_OUT = 16 << 20
WAIT_FIRST, WAIT_MOST = 200, 10_000  # before the next try at the link: 20 ms at first, a second at most
STALE = 5_000  # gauges older than half a second say nothing
RESTART = 20_000  # an agent that began two seconds later than it had said has been started anew


class Agent:
    """`greeted` hears of the agent's age, `noticed` of each notice, `doubt` of what missing notices leave."""

    def __init__(
        self, scheduler: Scheduler, counters: Counters, log: Log, address: tuple[str, int], gauges: list[str]
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.address, self.gauges = address, gauges
        self.link: Connection | None = None
        self.last = 0  # the number of the last notice read
        self.fences = 0
        self.settled = False  # whether what was missed has been told on this link
        self.gap = False
        self.began: int | None = None
        self.values: dict[str, float] = {}
        self.values_at = 0
        self.runs: dict[str, Passage] = {}
        self.greeted: Callable[[bool, int], None]
        self.noticed: Callable[[str, Passage, dict[str, Any], bytes], None]
        self.doubt: Callable[[Passage], None]

    # ---- orders --------------------------------------------------------------------------------------------

    def order(self, **parts: object) -> bytes:
        line = json.dumps(parts, separators=(",", ":")).encode() + b"\n"
        if self.link is not None and self.settled:
            self.link.write(line)
        return line

    def launch(self, passage: Passage) -> None:
        self.runs[passage.name] = passage
        body = b64encode(passage.body).decode()
        passage.order = self.order(op="launch", id=passage.name, **{"class": passage.profile}, body=body)

    def freeze(self, passage: Passage) -> None:
        passage.order = self.order(op="freeze", id=passage.name)

    def deliver(self, passage: Passage, reply: bytes) -> None:
        body = b64encode(reply).decode()
        passage.order = self.order(op="deliver", id=passage.name, body=body)

    def forgo(self, passage: Passage) -> None:
        passage.order = self.order(op="forgo", id=passage.name, seq=passage.need)

    def sample(self) -> None:
        if self.link is not None and self.settled:
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
            try:
                link = Connection(self.scheduler, connect(self.scheduler, self.address), 2 * LINE, BOUND_OUT)
            except OSError as trouble:
                self.log.fault("the agent can't be reached", why=str(trouble))
                self.scheduler.sleep(self.scheduler.now + wait)
                wait = min(2 * wait, WAIT_MOST)
                continue
            heard = self.last
            why = self.serve(link)
            self.counters.count("agent.lost")
            self.log.fault("link to the agent lost", why=why, last=self.last, runs=len(self.runs))
            wait = WAIT_FIRST if self.last > heard or self.settled else min(2 * wait, WAIT_MOST)
            self.link, self.settled = None, False
            self.scheduler.sleep(self.scheduler.now + wait)

    def serve(self, link: Connection) -> str:
        self.link, self.settled, self.gap = link, False, False
        self.counters.count("agent.links")
        link.write(json.dumps({"op": "subscribe", "seq": self.last}).encode() + b"\n")
        try:
            return link.serve(lambda buffer: self.take(link, buffer))
        finally:
            link.close("a fault")

    def take(self, link: Connection, buffer: Buffer) -> None:
        try:
            while link.open and (line := buffer.line(LINE)) is not None:
                self.line(line)
        except (Overflow, ValueError, TypeError, KeyError, RecursionError) as trouble:
            self.counters.count("agent.malformed")
            self.log.fault("malformed line from the agent", why=f"{type(trouble).__name__}: {trouble}")
            link.close("malformed line")

    def line(self, line: bytes) -> None:
        told = json.loads(line)
        if not isinstance(told, dict):
            raise ValueError("not an object")
        match told.get("op"):
            case "greeting":
                self.greeting(str(told["end"]), float(told["ms"]))
            case "outcome" | "request" | "aside" as kind:
                self.notice(kind, told)
            case "sampled":
                self.sampled(str(told["tag"]), told["values"])
            case "refusal":
                self.counters.count("agent.refusals")
                self.log.fault("the agent refused an order", order=told.get("end"), id=told.get("id"))
            case unknown:
                raise ValueError(f"op {str(unknown)[:40]!r}")

    def greeting(self, state: str, age: float) -> None:
        if state not in ("fresh", "seasoned"):
            raise ValueError(f"a start of {state[:40]!r}")
        began = self.scheduler.now - max(0, int(age * 10))
        if self.began is None:
            self.greeted(state == "fresh", began)
        elif began > self.began + RESTART:
            self.log.fault("the agent was started anew: its runs are gone")
            self.gap = True
        self.began = began
        self.fences += 1
        if self.link is not None:
            tag = f"fence-{self.fences}"
            self.link.write(json.dumps({"op": "sample", "tag": tag}).encode() + b"\n")

    def notice(self, kind: str, told: dict[str, Any]) -> None:
        number = told["seq"]
        if not isinstance(number, int):
            raise ValueError("a notice without a number")
        if number <= self.last:
            return
        body = b64decode(told.get("body") or "", validate=True)
        if number > self.last + 1:
            self.counters.count("agent.gaps")
            self.log.fault("notices are missing", last=self.last, next=number)
            self.gap = True
        self.last = number
        if kind == "aside":
            self.counters.count("agent.asides")
            self.log.fault("remark of the agent", text=str(told.get("end"))[:200])
            return
        passage = self.runs.get(str(told["id"]))
        if passage is None:
            self.counters.count("agent.unknown")
            return
        passage.order = b""
        if kind == "outcome":
            del self.runs[passage.name]
        self.noticed(kind, passage, told, body)

    def sampled(self, tag: str, values: list[Any]) -> None:
        if tag == f"fence-{self.fences}":
            self.resume()
        self.counters.count("agent.samples")
        self.values = {name: float(value) for name, value in zip(self.gauges, values, strict=False)}
        self.values_at = self.scheduler.now

    def resume(self) -> None:
        """All that was missed has been told: give again the orders that no notice has answered."""
        self.settled = True
        if self.link is None:
            return
        if self.fences > 1:
            self.log.info("link to the agent found again", last=self.last, runs=len(self.runs))
        for passage in list(self.runs.values()):
            if self.gap:
                # Its outcome may be among those that are gone for good.
                del self.runs[passage.name]
                self.doubt(passage)
            elif passage.order:
                self.link.write(passage.order)
