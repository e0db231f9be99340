"""The vault: calls on behalf of runs, in lines on one connection that is opened when there is one to make."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import Outcome
from .buffer import Buffer, Unreadable
from .connection import Connection, connect
from .counters import Counters
from .log import Log
from .passage import Passage
from .scheduler import Scheduler

LINE = 256
REPLY = 65_536  # the largest reply read
BOUND_OUT = 4 << 20
WAIT_FIRST, WAIT_MOST = 100, 2_000  # between tries at a vault that is down: 10 ms at first, 200 ms at most
IDLE = 80_000  # closed here after eight seconds without a call, before the vault does after ten
OUTCOMES = {
    b"yes": Outcome.HONOURED,
    b"notnow": Outcome.SATURATED,
    b"failed": Outcome.ERRED,
    b"overdue": Outcome.OVERDUE,
    b"pointless": Outcome.MOOT,
}


def reply_line(line: bytes) -> tuple[str, bytes, int]:
    """`ID yes LENGTH` or `ID WORD`: the id, the word, and the length of the reply that follows."""
    match line.split(b" "):
        case [name, b"yes" as word, length] if length.isdigit() and len(length) <= 6 and int(length) <= REPLY:
            size = int(length)
        case [name, word] if word in OUTCOMES and word != b"yes":
            size = 0
        case _:
            raise Unreadable(f"not a reply: {line[:80]!r}")
    if not name.isalnum() or not name.isascii():
        raise Unreadable(f"not an id: {name[:40]!r}")
    return name.decode(), word, size


class Vault:
    """`ended` hears how each call ended, once; of one that was given up it hears nothing."""

    def __init__(
        self, scheduler: Scheduler, counters: Counters, log: Log, address: tuple[str, int] | None
    ) -> None:
        self.scheduler, self.counters, self.log, self.address = scheduler, counters, log, address
        self.link: Connection | None = None
        self.opening = False
        self.wait = WAIT_FIRST
        self.not_before = 0
        self.calls: dict[str, Passage] = {}
        self.first: dict[str, bytes] = {}  # asked while the connection opens
        self.reply: tuple[str, int] | None = None  # whose reply comes next, and its length
        self.ended: Callable[[Passage, Outcome, bytes], None]

    def ask(self, passage: Passage, milliseconds: int, body: bytes) -> None:
        self.calls[passage.name] = passage
        message = b"ask %b %d %d\r\n%b\r\n" % (passage.name.encode(), milliseconds, len(body), body)
        if self.link is not None and self.link.open:
            self.link.write(message)
            return
        self.first[passage.name] = message
        if not self.opening:
            self.opening = True
            self.scheduler.spawn("vault", self.serve)

    def unask(self, passage: Passage) -> None:
        """Give the call up; a reply that still comes is dropped."""
        if self.calls.pop(passage.name, None) is None:
            return
        if self.first.pop(passage.name, None) is None and self.link is not None:
            self.link.write(b"unask %b\r\n" % passage.name.encode())

    def serve(self) -> None:
        # A refusal comes at once on this machine, and the decisions may ask again at once: without a wait
        # between the tries, a vault that is down would take all of the processor.
        if self.not_before > self.scheduler.now:
            self.scheduler.sleep(self.not_before)
        try:
            if self.address is None:
                raise OSError("no address for it")
            link = Connection(self.scheduler, connect(self.scheduler, self.address), 2 * REPLY, BOUND_OUT)
        except OSError as trouble:
            self.opening = False
            self.counters.count("vault.unreached")
            self.not_before = self.scheduler.now + self.wait
            self.wait = min(2 * self.wait, WAIT_MOST)
            self.first.clear()
            self.end_all(Outcome.UNREACHED, str(trouble))
            return
        self.opening, self.link, self.reply = False, link, None
        self.wait = WAIT_FIRST
        self.counters.count("vault.links")
        for message in self.first.values():
            link.write(message)
        self.first.clear()
        why = "a fault"
        try:
            why = link.serve(lambda buffer: self.take(link, buffer), IDLE, lambda: bool(self.calls))
        finally:
            link.close(why)
            self.link = None
            if link.malformed:
                self.counters.count("vault.malformed")
            self.end_all(Outcome.SEVERED, why)

    def end_all(self, outcome: Outcome, why: str) -> None:
        """All calls that were on a connection now gone; those asked for since then wait for the next one."""
        gone = [name for name in self.calls if name not in self.first]
        if gone:
            self.counters.count("vault.lost", outcome is Outcome.SEVERED)
            self.log.fault("no connection to the vault", why=why, calls=len(gone))
        for name in gone:
            self.ended(self.calls.pop(name), outcome, b"")

    def take(self, link: Connection, buffer: Buffer) -> None:
        while link.open and self.one(buffer):
            pass

    def one(self, buffer: Buffer) -> bool:
        """The next reply, if it is whole."""
        if self.reply is None:
            line = buffer.line(LINE)
            if line is None:
                return False
            name, word, length = reply_line(line)
            if OUTCOMES[word] is not Outcome.HONOURED:
                self.over(name, OUTCOMES[word], b"")
                return True
            self.reply = name, length
        name, length = self.reply
        if len(buffer) < length + 2:
            return False
        body = buffer.take(length)
        if buffer.take(2) != b"\r\n":
            raise Unreadable("a reply longer than it said")
        self.reply = None
        self.over(name, Outcome.HONOURED, body)
        return True

    def over(self, name: str, outcome: Outcome, body: bytes) -> None:
        passage = self.calls.pop(name, None)
        if passage is None:
            self.counters.count("vault.late")
        else:
            self.ended(passage, outcome, body)
