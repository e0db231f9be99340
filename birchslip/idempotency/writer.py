"""The thread that writes and flushes, so that no pass of the scheduler ever waits for the disk.

All that has come while one flush was under way shares the next one (group commit). What came of each piece
of work is told in a pass, woken by a pipe.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from ..net.scheduler import READ, Scheduler
from .files import Files
from .record_format import HEAD, RecordFragment, pieces

LEAVE = 0.2  # seconds that the end of the program waits for the last flush: all has been answered by then


@dataclass(eq=False, slots=True)
class Work:
    """`raw` to be appended, in a new file where `file` is told; or a record to be `fetched`; or a file to be
    dropped. `then` hears of its end: what was wrong, or nothing.
    """

    then: Callable[[Work], None]
    raw: bytes = b""
    file: int = 0
    drop: int = 0
    fetch: tuple[int, int, int] | None = None  # file, place, size at most
    at: int = 0
    trouble: str = ""
    found: RecordFragment | None = None
    sent: int = 0
    serial: int = 0  # of the file that it goes to


class Writer:
    def __init__(self, scheduler: Scheduler, files: Files, gather: float) -> None:
        self.scheduler, self.files, self.gather = scheduler, files, gather
        self.todo: deque[Work] = deque()
        self.done: deque[Work] = deque()
        self.some = threading.Condition()
        self.stopped = False
        self.reader, self.waker = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.thread = threading.Thread(target=self.run, name="keep", daemon=True)

    # ---- in the passes ---------------------------------------------------------------------------------

    def start(self) -> None:
        self.thread.start()

    def put(self, work: Work) -> None:
        with self.some:
            self.todo.append(work)
            self.some.notify()

    def hear(self) -> None:
        """The task that tells what has ended."""
        while True:
            self.scheduler.wait(self.reader, READ)
            with suppress(BlockingIOError):
                os.read(self.reader, 4096)
            while self.done:
                work = self.done.popleft()
                self.scheduler.guard(lambda work=work: work.then(work), "keep")  # type: ignore[misc]

    def finish(self) -> None:
        """What was put is still written, within a moment."""
        with self.some:
            self.stopped = True
            self.some.notify()
        if self.thread.is_alive():
            self.thread.join(LEAVE)

    # ---- in the thread ---------------------------------------------------------------------------------

    def run(self) -> None:
        while True:
            with self.some:
                while not self.todo and not self.stopped:
                    self.some.wait()
                if not self.todo:
                    return
            if self.gather and not self.stopped:
                threading.Event().wait(self.gather)
            with self.some:
                batch = list(self.todo)
                self.todo.clear()
            self.do(batch)
            self.done.extend(batch)
            with suppress(OSError):
                os.write(self.waker, b"x")

    def do(self, batch: list[Work]) -> None:
        """In the order in which it came; whatever was appended is flushed before any of it is told."""
        appended = [one for one in batch if self.guard(one, self.one) and one.raw]
        if not appended:
            return
        try:
            self.files.flush()
        except OSError as trouble:
            for work in appended:
                work.trouble = trouble.strerror or str(trouble)

    def guard(self, work: Work, act: Callable[[Work], None]) -> bool:
        try:
            act(work)
        except OSError as trouble:
            work.trouble = trouble.strerror or str(trouble)
            return False
        return True

    def one(self, work: Work) -> None:
        if work.file:
            self.files.begin(work.file)
        if work.raw:
            work.at = self.files.append(work.raw)
        if work.drop:
            self.files.drop(work.drop)
        if work.fetch is not None:
            serial, at, most = work.fetch
            raw = self.files.system.read_at(self.files.path(serial), at, HEAD.size + most)
            work.found = next(pieces(raw), None)
