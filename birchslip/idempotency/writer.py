"""The thread that writes and flushes the store, so that the scheduler never waits for the disk.

Everything that is submitted while one flush is under way shares the next one (group commit). The scheduler
is woken by a pipe and notifies those who submitted. Tasks are executed in the order of submission, and
nobody is notified of an append before it is flushed.
"""

from __future__ import annotations

import os
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from ..net.scheduler import READ, Scheduler
from .errors import CorruptRecordError
from .key_index import RecordLocation
from .record_format import RECORD_HEADER, ResultRecord, read_fragments
from .segment_files import SegmentFiles

CLOSE_TIMEOUT_S = 0.2  # for the last flush: every request has been answered by then
WAKE_BYTES = 4096
TASK_NAME = "keep"


@dataclass(eq=False, slots=True, kw_only=True)
class WriterTask(ABC):
    """Something for the thread to do; `error` says in one line why it has failed, or is empty."""

    error: str = field(default="", init=False)

    @abstractmethod
    def execute(self, files: SegmentFiles) -> None:
        """Do the work, in the thread; an OSError counts as its failure."""

    def notify(self) -> None:
        """Notify those who submitted it that it is over, in the scheduler."""
        return


@dataclass(eq=False, slots=True, kw_only=True)
class AppendTask(WriterTask):
    """Append a record, and flush it.

    Attributes:
        raw: The encoded record.
        serial: The serial number of the segment that it goes to.
        starts_segment: Whether that segment has to be created first.
        submitted_at: When it was submitted, in ticks.
        on_done: Called once it is flushed, or has failed.
        offset: Where the record was written; set by the thread.
    """

    raw: bytes
    serial: int
    starts_segment: bool
    submitted_at: int
    on_done: Callable[[AppendTask], None]
    offset: int = field(default=0, init=False)

    def execute(self, files: SegmentFiles) -> None:
        """Append the record; the flush is left to the end of the batch."""
        if self.starts_segment:
            files.create_segment(self.serial)
        self.offset = files.append(self.raw)

    def notify(self) -> None:
        """Call `on_done`."""
        self.on_done(self)


@dataclass(eq=False, slots=True, kw_only=True)
class FetchTask(WriterTask):
    """Read a record.

    Attributes:
        location: Where the record is.
        max_body_bytes: The longest body that is read.
        on_done: Called with the task at its end.
        record: The record; None where it could not be read, or is not intact any more.
    """

    location: RecordLocation
    max_body_bytes: int
    on_done: Callable[[FetchTask], None]
    record: ResultRecord | None = field(default=None, init=False)

    def execute(self, files: SegmentFiles) -> None:
        """Read and decode the record."""
        path = files.path_of(self.location.serial)
        size = RECORD_HEADER.size + self.max_body_bytes
        raw = files.system.read_at(path, self.location.offset, size)
        fragment = next(read_fragments(raw), None)
        if fragment is None:
            return
        with suppress(CorruptRecordError):
            self.record = fragment.decode(raw)

    def notify(self) -> None:
        """Call `on_done`."""
        self.on_done(self)


@dataclass(eq=False, slots=True, kw_only=True)
class DeleteSegmentTask(WriterTask):
    """Delete a segment; nobody waits for it."""

    serial: int

    def execute(self, files: SegmentFiles) -> None:
        """Delete the segment."""
        files.delete_segment(self.serial)


class Writer:
    """A queue of tasks, the thread that executes them, and the notifications at their end."""

    def __init__(self, scheduler: Scheduler, files: SegmentFiles, gather_s: float) -> None:
        """Start nothing yet; a batch waits `gather_s` seconds for more tasks to share its flush."""
        self._scheduler = scheduler
        self._files = files
        self._gather_s = gather_s
        self._submitted: deque[WriterTask] = deque()
        self._finished: deque[WriterTask] = deque()
        self._condition = threading.Condition()
        self._is_closing = False
        self._wake_reader, self._wake_writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self._thread = threading.Thread(target=self._run, name=TASK_NAME, daemon=True)

    # ---- in the scheduler ------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the thread, and the scheduler's task that notifies of finished work."""
        self._thread.start()
        self._scheduler.spawn(TASK_NAME, self._notify_forever)

    def submit(self, task: WriterTask) -> None:
        """Queue a task."""
        with self._condition:
            self._submitted.append(task)
            self._condition.notify()

    def close(self) -> None:
        """Let the thread finish what was submitted, and wait for it for a moment."""
        with self._condition:
            self._is_closing = True
            self._condition.notify()
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)

    def _notify_forever(self) -> None:
        while True:
            self._scheduler.wait(self._wake_reader, READ)
            with suppress(BlockingIOError):
                os.read(self._wake_reader, WAKE_BYTES)
            while self._finished:
                self._scheduler.guard(self._finished.popleft().notify, TASK_NAME)

    # ---- in the thread ---------------------------------------------------------------------------------

    def execute_submitted(self) -> list[WriterTask]:
        """Execute what is submitted as one batch with one flush, and return it."""
        with self._condition:
            batch = list(self._submitted)
            self._submitted.clear()
        executed = [task for task in batch if self._execute(task)]
        appended = [task for task in executed if isinstance(task, AppendTask)]
        if appended:
            self._flush(appended)
        return batch

    def _run(self) -> None:
        while self._wait_for_tasks():
            if self._gather_s and not self._is_closing:
                threading.Event().wait(self._gather_s)
            self._finished.extend(self.execute_submitted())
            with suppress(OSError):
                os.write(self._wake_writer, b"x")

    def _wait_for_tasks(self) -> bool:
        """Wait until there is a task; False once the writer is closing and nothing is left to do."""
        with self._condition:
            while not self._submitted and not self._is_closing:
                self._condition.wait()
            return bool(self._submitted)

    def _execute(self, task: WriterTask) -> bool:
        try:
            task.execute(self._files)
        except OSError as error:
            task.error = describe_error(error)
            return False
        return True

    def _flush(self, appended: list[AppendTask]) -> None:
        try:
            self._files.flush()
        except OSError as error:
            for task in appended:
                task.error = describe_error(error)


def describe_error(error: OSError) -> str:
    """An operating system's error in one line."""
    return error.strerror or str(error)
