"""Thread that writes and flushes the store, so that the scheduler never waits for the disk.

All tasks that are submitted during one flush share the next one (group commit). The thread wakes the
scheduler through a pipe, and the scheduler calls the tasks' callbacks. Tasks are executed in the order of
submission; the callback of an append is never called before its record is flushed or has failed.
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

CLOSE_TIMEOUT_S = 0.2  # for the last flush; short, as all requests have been answered by then
WAKE_BYTES = 4096
TASK_NAME = "keep"  # of the thread and the scheduler task; logged with unhandled exceptions


@dataclass(eq=False, slots=True, kw_only=True)
class WriterTask(ABC):
    """A task for the writer thread.

    Attributes:
        error: Why the task has failed, in one line; empty if it has not.
    """

    error: str = field(default="", init=False)

    @abstractmethod
    def execute(self, files: SegmentFiles) -> None:
        """Do the work in the writer thread; an OSError that it raises is recorded as `error`."""

    def notify(self) -> None:
        """Call the task's callback, if it has one; runs in the scheduler."""
        return


@dataclass(eq=False, slots=True, kw_only=True)
class AppendTask(WriterTask):
    """Append a record and flush it.

    Attributes:
        raw: The encoded record.
        serial: Serial number of the segment to append to.
        starts_segment: Whether this segment has to be created first.
        submitted_at: Time of the submission, in ticks.
        on_done: Called once the record is flushed or has failed.
        offset: Offset of the record in the segment; set by the writer thread.
    """

    raw: bytes
    serial: int
    starts_segment: bool
    submitted_at: int
    on_done: Callable[[AppendTask], None]
    offset: int = field(default=0, init=False)

    def execute(self, files: SegmentFiles) -> None:
        """Append the record; it is flushed at the end of the batch."""
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
        location: Location of the record.
        max_body_bytes: Maximum size of the body; a record with a larger one counts as unreadable.
        on_done: Called with this task when it is done.
        record: The record; None if it could not be read or is no longer intact.
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
    """Delete a segment; the submitter is not notified."""

    serial: int

    def execute(self, files: SegmentFiles) -> None:
        """Delete the segment."""
        files.delete_segment(self.serial)


class Writer:
    """Queue of tasks with the thread that executes them and the scheduler task that calls their callbacks."""

    def __init__(self, scheduler: Scheduler, files: SegmentFiles, gather_s: float) -> None:
        """Create the writer without starting its thread.

        Args:
            scheduler: Calls the callbacks of finished tasks.
            files: Files of the store.
            gather_s: Time that a batch waits for more tasks to share its flush, in seconds.
        """
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
        """Start the thread, and the scheduler task that calls the callbacks of finished tasks."""
        self._thread.start()
        self._scheduler.spawn(TASK_NAME, self._notify_forever)

    def submit(self, task: WriterTask) -> None:
        """Queue a task and wake the thread; `task.notify` runs in the scheduler once the task is done."""
        with self._condition:
            self._submitted.append(task)
            self._condition.notify()

    def close(self) -> None:
        """Let the thread finish the submitted tasks, and wait for it up to `CLOSE_TIMEOUT_S`."""
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
        """Execute all submitted tasks as one batch with one flush, and return them."""
        with self._condition:
            batch = list(self._submitted)
            self._submitted.clear()
        executed = [task for task in batch if self._execute(task)]
        appended = [task for task in executed if isinstance(task, AppendTask)]
        if appended:
            self._flush(appended)
        return batch

    def _run(self) -> None:
        """Execute batches of submitted tasks, waking the scheduler after each, until the writer closes."""
        while self._wait_for_tasks():
            if self._gather_s and not self._is_closing:
                threading.Event().wait(self._gather_s)
            self._finished.extend(self.execute_submitted())
            with suppress(OSError):
                os.write(self._wake_writer, b"x")

    def _wait_for_tasks(self) -> bool:
        """Wait for a task; return False once the writer is closing and no task is left."""
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
    """Return the message of an operating system error in one line."""
    return error.strerror or str(error)
