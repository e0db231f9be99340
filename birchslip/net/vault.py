"""The vault: calls on behalf of runs, in lines on one connection that is opened when there is one to make."""

from __future__ import annotations

from collections.abc import Callable

from ..interface import Outcome
from .buffer import Buffer, Overflow
from .connection import Connection, connect
from .counters import Counters
from .log import Log
from .passage import Passage
from .scheduler import Scheduler

LINE = 256
REPLY = 65_536  # the largest reply read
BOUND_OUT = 4 << 20
IDLE = 80_000  # closed here after eight seconds without a call, before the vault does after ten
OUTCOMES = {
    b"yes": Outcome.HONOURED,
    b"notnow": Outcome.SATURATED,
    b"failed": Outcome.ERRED,
    b"overdue": Outcome.OVERDUE,
    b"pointless": Outcome.MOOT,
}


class Vault:
    """`ended` hears how each call ended, once; of one that was given up it hears nothing."""

    def __init__(
        self, scheduler: Scheduler, counters: Counters, log: Log, address: tuple[str, int] | None
    ) -> None:
        self.scheduler, self.counters, self.log, self.address = scheduler, counters, log, address
        self.link: Connection | None = None
        self.opening = False
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
        try:
            if self.address is None:
                raise OSError("no address for it")
            link = Connection(self.scheduler, connect(self.scheduler, self.address), 2 * REPLY, BOUND_OUT)
        except OSError as trouble:
            self.opening = False
            self.counters.count("vault.refused")
            self.log.fault("the vault can't be reached", why=str(trouble))
            self.first.clear()
            self.end_all(Outcome.UNREACHED)
            return
        self.opening, self.link, self.reply = False, link, None
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
            if self.calls:
                self.counters.count("vault.lost")
                self.log.fault("connection to the vault lost", why=why, calls=len(self.calls))
                self.end_all(Outcome.SEVERED)

    def end_all(self, outcome: Outcome) -> None:
        calls, self.calls = self.calls, {}
        for passage in calls.values():
            self.ended(passage, outcome, b"")

    def take(self, link: Connection, buffer: Buffer) -> None:
        try:
            while link.open and self.one(buffer):
                pass
        except (Overflow, ValueError) as trouble:
            self.counters.count("vault.malformed")
            self.log.fault("malformed line from the vault", why=str(trouble))
            link.close("malformed line")

    def one(self, buffer: Buffer) -> bool:
        """The next reply, if it is whole."""
        if self.reply is None:
            line = buffer.line(LINE)
            if line is None:
                return False
            name, word, length = self.parts(line)
            if length is None:
                self.over(name, OUTCOMES[word], b"")
                return True
            self.reply = name, length
        name, length = self.reply
        if len(buffer) < length + 2:
            return False
        body = buffer.take(length)
        if buffer.take(2) != b"\r\n":
            raise ValueError("a reply longer than it said")
        self.reply = None
        self.over(name, Outcome.HONOURED, body)
        return True

    @staticmethod
    def parts(line: bytes) -> tuple[str, bytes, int | None]:
        """`ID yes LENGTH` or `ID WORD`."""
        words = line.split(b" ")
        if len(words) < 2 or words[1] not in OUTCOMES or len(words) != (3 if words[1] == b"yes" else 2):
            raise ValueError(f"not a reply: {line[:80]!r}")
        if words[1] != b"yes":
            return words[0].decode("ascii"), words[1], None
        if not words[2].isdigit() or len(words[2]) > 6 or int(words[2]) > REPLY:
            raise ValueError(f"a length of {words[2][:20]!r}")
        return words[0].decode("ascii"), words[1], int(words[2])

    def over(self, name: str, outcome: Outcome, body: bytes) -> None:
        passage = self.calls.pop(name, None)
        if passage is None:
            self.counters.count("vault.late")
        else:
            self.ended(passage, outcome, body)
