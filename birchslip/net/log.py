"""The log: structlog lines in logfmt, queued up to a bound and written without blocking.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

import os
import select
import sys
import traceback
from collections import deque
from importlib import import_module

from .scheduler import WRITE, Scheduler

# structlog's console renderer, not used here, imports rich if it is installed: two fifths of all imports of a
# start. It works without rich too.
RICH_HIDDEN = "rich" not in sys.modules
if RICH_HIDDEN:
    sys.modules["rich"] = None  # type: ignore[assignment]
structlog = import_module("structlog")
if RICH_HIDDEN:
    del sys.modules["rich"]

MAX_LINE_BYTES = 2048  # well below PIPE_BUF, so that a pipe takes a line whole
MAX_QUEUED_LINES = 256  # more are dropped and counted
MAX_TRACE_CHARS = 1500  # of the end of a traceback
FAULT_INTERVAL = 10_000  # 1 s between lines of one event


class LogWriter:
    """Queues lines for a descriptor; a task writes them.

    Attributes:
        lines: Lines that are still to be written.
        dropped: Number of lines dropped because the queue was full.
        drain_running: Whether the task runs.
    """

    def __init__(self, scheduler: Scheduler, descriptor: int = 2) -> None:
        """Start with an empty queue; the default descriptor is standard error."""
        self.scheduler, self.descriptor = scheduler, descriptor
        self.lines: deque[bytes] = deque()
        self.dropped = 0
        self.drain_running = False

    def write(self, text: str) -> None:
        """Queue a line, with its newlines escaped and its end cut off if it is too long.

        The line is dropped and counted if the queue is full.
        """
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.lines.append(text.replace("\n", "\\n").encode()[: MAX_LINE_BYTES - 1] + b"\n")
        if not self.drain_running:
            self.drain_running = True
            self.scheduler.spawn("log", self.drain)

    def drain(self) -> None:
        """Write the queued lines, as a task; drop them if the descriptor fails."""
        # A blocking pipe does not block on a line below PIPE_BUF once poll has reported it writable.
        while self.lines:
            if not self.scheduler.wait(self.descriptor, WRITE) & WRITE:
                self.lines.clear()
                break
            self.write_next_line()
        self.scheduler.unregister(self.descriptor)
        self.drain_running = False

    def write_next_line(self) -> None:
        """Write the first line of the queue; drop all lines if that fails."""
        try:
            os.write(self.descriptor, self.lines.popleft())
        except OSError:
            self.lines.clear()

    def flush(self, milliseconds: int = 100) -> None:
        """Write the queued lines at exit; stop when the descriptor is not writable for `milliseconds`."""
        poll = select.poll()
        poll.register(self.descriptor, WRITE)
        while self.lines and any(events & WRITE for _, events in poll.poll(milliseconds)):
            self.write_next_line()


class Log:
    """The log of a process; warnings are limited in rate, since many of one kind can come at once."""

    def __init__(self, scheduler: Scheduler, name: str) -> None:
        """Configure structlog; each line has the process's name as `server`."""
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

    def info(self, event: str, **fields: object) -> None:
        """Log an event at once, without a limit of rate."""
        self.logger.info(event, **fields)

    def fault(self, event: str, **fields: object) -> None:
        """Log a warning, at most once a second for each event.

        The next line has the number of those left out as `passed_over`.
        """
        now = self.scheduler.now
        if now - self.last_logged_at.get(event, -FAULT_INTERVAL) < FAULT_INTERVAL:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return
        self.last_logged_at[event] = now
        suppressed = self.suppressed.pop(event, 0)
        self.logger.warning(event, **fields, **({"passed_over": suppressed} if suppressed else {}))

    def trace(self, event: str, error: Exception, **fields: object) -> None:
        """Log a warning, as `fault` does, with the end of a traceback: the error and where it was raised."""
        self.fault(event, **fields, trace="".join(traceback.format_exception(error))[-MAX_TRACE_CHARS:])


class WriterLogger:
    """The logger that structlog wraps."""

    def __init__(self, writer: LogWriter) -> None:
        """Pass all lines to a writer."""
        self.msg = self.info = self.warning = self.error = writer.write
