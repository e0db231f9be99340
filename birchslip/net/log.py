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
RICH_HIDDEN = "rich" not in sys.modules
if RICH_HIDDEN:
    sys.modules["rich"] = None  # type: ignore[assignment]
structlog = import_module("structlog")
if RICH_HIDDEN:
    del sys.modules["rich"]

MAX_LINE_BYTES = 2048  # well under what a pipe takes whole
MAX_QUEUED_LINES = 256  # lines; more are dropped and counted
MAX_TRACE_CHARS = 1500  # characters of a trace
FAULT_INTERVAL = 10_000  # a kind of fault is logged at most once a second


class LogWriter:
    """What structlog writes to; `drain` is the task that passes the lines on."""

    def __init__(self, scheduler: Scheduler, descriptor: int = 2) -> None:
        self.scheduler, self.descriptor = scheduler, descriptor
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.drain_running = False

    def write(self, text: str) -> None:
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.append(text.replace("\n", "\\n").encode()[: MAX_LINE_BYTES - 1] + b"\n")
        if not self.drain_running:
            self.drain_running = True
            self.scheduler.spawn("log", self.drain)

    def drain(self) -> None:
        # Written only when poll says that there is room, and never more than a pipe takes whole.
        while self.lines:
            if not self.scheduler.wait(self.descriptor, WRITE) & WRITE:
                self.lines.clear()
                break
            self.write_next_line()
        self.scheduler.unregister(self.descriptor)
        self.drain_running = False

    def write_next_line(self) -> None:
        try:
            os.write(self.descriptor, self.lines.popleft())
        except OSError:
            self.lines.clear()

    def flush(self, milliseconds: int = 100) -> None:
        """At exit: what the descriptor takes within a moment."""
        poll = select.poll()
        poll.register(self.descriptor, WRITE)
        while self.lines and any(events & WRITE for _, events in poll.poll(milliseconds)):
            self.write_next_line()


class Log:
    """The program's log: plain lines, and faults that come in crowds limited in rate."""

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        self.scheduler = scheduler
        self.writer = LogWriter(scheduler)
        structlog.configure(
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
            ],
            logger_factory=lambda *_: WriterLogger(self.writer),
            cache_logger_on_first_use=True,
        )
        self.logger = structlog.get_logger().bind(server=name)
        self.last_logged_at: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}

    def info(self, event: str, **fields: Any) -> None:
        self.logger.info(event, **fields)

    def fault(self, event: str, **fields: Any) -> None:
        """At most one line a second of each kind, with the number of those passed over."""
        now = self.scheduler.now
        if now - self.last_logged_at.get(event, -FAULT_INTERVAL) < FAULT_INTERVAL:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return
        self.last_logged_at[event] = now
        suppressed = self.suppressed.pop(event, 0)
        self.logger.warning(event, **fields, **({"passed_over": suppressed} if suppressed else {}))

    def trace(self, event: str, error: Exception, **fields: Any) -> None:
        """A fault with the end of its trace, which says what and where."""
        self.fault(event, **fields, trace="".join(traceback.format_exception(error))[-MAX_TRACE_CHARS:])


class WriterLogger:
    """The logger that structlog wraps."""

    def __init__(self, writer: LogWriter) -> None:
        self.msg = self.info = self.warning = self.error = writer.write
