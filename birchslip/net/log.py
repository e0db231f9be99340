"""structlog lines that never block: kept up to a bound and written while the descriptor takes them."""

from __future__ import annotations

import os
import select
import sys
import traceback
from collections import deque
from importlib import import_module
from typing import Any

from .scheduler import WRITE, Scheduler

# structlog's console writer, not used here, loads rich wherever it is installed: two fifths of all imports
# of a start. It goes without where it finds none.
HIDDEN = "rich" not in sys.modules
if HIDDEN:
    sys.modules["rich"] = None  # type: ignore[assignment]
structlog = import_module("structlog")
if HIDDEN:
    del sys.modules["rich"]

LINE = 2048  # well under what a pipe takes whole
KEPT = 256  # lines; more are dropped and counted
TRACE = 1500  # characters of a trace
RATE = 10_000  # a kind of fault is logged at most once a second


class Sink:
    """What structlog writes to; `drain` is the task that passes the lines on."""

    def __init__(self, scheduler: Scheduler, descriptor: int = 2) -> None:
        self.scheduler, self.descriptor = scheduler, descriptor
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.busy = False

    def msg(self, text: str) -> None:
        if len(self.lines) >= KEPT:
            self.dropped += 1
            return
        self.lines.append(text.replace("\n", "\\n").encode()[: LINE - 1] + b"\n")
        if not self.busy:
            self.busy = True
            self.scheduler.spawn("log", self.drain)

    def drain(self) -> None:
        # Written only when poll says that there is room, and never more than a pipe takes whole.
        while self.lines:
            if not self.scheduler.wait(self.descriptor, WRITE) & WRITE:
                self.lines.clear()
                break
            self.write_one()
        self.scheduler.forget(self.descriptor)
        self.busy = False

    def write_one(self) -> None:
        try:
            os.write(self.descriptor, self.lines.popleft())
        except OSError:
            self.lines.clear()

    def finish(self, milliseconds: int = 100) -> None:
        """At exit: what the descriptor takes within a moment."""
        poll = select.poll()
        poll.register(self.descriptor, WRITE)
        while self.lines and any(events & WRITE for _, events in poll.poll(milliseconds)):
            self.write_one()


class Log:
    """The program's log: plain lines, and faults that come in crowds limited in rate."""

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        self.scheduler = scheduler
        self.sink = Sink(scheduler)
        structlog.configure(
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
            ],
            logger_factory=lambda *_: Plain(self.sink),
            cache_logger_on_first_use=True,
        )
        self.logger = structlog.get_logger().bind(server=name)
        self.last: dict[str, int] = {}
        self.passed: dict[str, int] = {}

    def info(self, event: str, **more: Any) -> None:
        self.logger.info(event, **more)

    def fault(self, event: str, **more: Any) -> None:
        """At most one line a second of each kind, with the number of those passed over."""
        now = self.scheduler.now
        if now - self.last.get(event, -RATE) < RATE:
            self.passed[event] = self.passed.get(event, 0) + 1
            return
        self.last[event] = now
        passed = self.passed.pop(event, 0)
        self.logger.warning(event, **more, **({"passed_over": passed} if passed else {}))

    def trace(self, event: str, trouble: Exception, **more: Any) -> None:
        """A fault with the end of its trace, which says what and where."""
        self.fault(event, **more, trace="".join(traceback.format_exception(trouble))[-TRACE:])


class Plain:
    """The logger that structlog wraps."""

    def __init__(self, sink: Sink) -> None:
        self.msg = self.info = self.warning = self.error = sink.msg
