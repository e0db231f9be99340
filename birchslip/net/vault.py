"""The vault: calls on behalf of runs, each alone on a connection for as long as it lasts.

A connection that was kept open may have been forgotten by the vault, which shows only at the next call, and
what spoils one reply spoils all that share its connection. One of its own meets both kinds of trouble: what
goes wrong on it concerns this call alone, and one that was refused proves that the call never ran. Only one
that has just brought its reply, whole and with nothing behind it, takes another call: that spares the fast
traffic an opening for each, and it has had no time to be forgotten.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from ..admission.types import Outcome
from .buffer import Buffer, MalformedMessageError
from .connection import Connection, Connector
from .counters import Counters
from .log import Log
from .request_context import RequestContext
from .scheduler import Scheduler

LINE = 256
BOUND_OUT = 16_384
REPLY = 65_536  # the largest reply read
STRAYS = 8  # replies to other calls that are passed over before this one's
STALL = 2_500  # a reply that has begun goes on within 250 ms, or what has come of it can't be right
KEPT = 500  # a connection takes another call within 50 ms of a reply, later none
WAIT_FIRST, WAIT_MOST = 100, 2_000  # between tries at a vault that is down: 10 ms at first, 200 ms at most
OUTCOMES = {
    b"yes": Outcome.SERVED,
    b"notnow": Outcome.REJECTED,
    b"failed": Outcome.FAILED,
    b"overdue": Outcome.TIMED_OUT,
    b"pointless": Outcome.SUPERSEDED,
}


def reply_line(line: bytes) -> tuple[str, bytes, int]:
    """`ID yes LENGTH` or `ID WORD`: the id, the word, and the length of the reply that follows."""
    match line.split(b" "):
        case [name, b"yes" as word, length] if length.isdigit() and len(length) <= 6 and int(length) <= REPLY:
            size = int(length)
        case [name, word] if word in OUTCOMES and word != b"yes":
            size = 0
        case _:
            raise MalformedMessageError(f"not a reply: {line[:80]!r}")
    if not name.isalnum() or not name.isascii():
        raise MalformedMessageError(f"not an id: {name[:40]!r}")
    return name.decode(), word, size


class Asked:
    """One call and what has been read for it."""

    def __init__(self, context: RequestContext, message: bytes) -> None:
        self.context, self.message = context, message
        self.dial: Connector | None = None  # while its connection is being opened
        self.link: Connection | None = None
        self.head: tuple[str, bytes, int] | None = None  # of the reply whose body comes next
        self.strays = 0
        self.outcome: Outcome | None = None
        self.body = b""

    def take(self, buffer: Buffer) -> None:
        """Its reply, once it is whole; one to another call, as told again, is passed over."""
        while self.outcome is None:
            if self.head is None:
                line = buffer.read_line(LINE)
                if line is None:
                    return
                self.head = reply_line(line)
            name, word, length = self.head
            if word == b"yes":
                if len(buffer) < length + 2:
                    return
                body = buffer.take(length)
                if buffer.take(2) != b"\r\n":
                    raise MalformedMessageError("a reply longer than it said")
            else:
                body = b""
            self.head = None
            if name == self.context.request_id:
                self.outcome, self.body = OUTCOMES[word], body
                return
            self.strays += 1
            if self.strays > STRAYS:
                raise MalformedMessageError(f"{self.strays} replies to other calls")


class Vault:
    """`ended` hears how each call ended, once; of one that was given up it hears nothing."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int] | None,
        most: int,
    ) -> None:
        self.scheduler, self.counters, self.log, self.address = scheduler, counters, log, address
        self.most = most  # connections, and so calls, at a time
        self.wait = WAIT_FIRST
        self.not_before = 0
        self.calls: dict[str, Asked] = {}
        self.spare: deque[tuple[int, Connection]] = (
            deque()
        )  # when each has brought a reply, the last at the end
        self.looking = False
        self.ended: Callable[[RequestContext, Outcome, bytes], None]

    def ask(self, context: RequestContext, milliseconds: int, body: bytes) -> None:
        """A second call for the same run gives up the first, as the vault sees it too."""
        self.unask(context)
        message = b"ask %b %d %d\r\n%b\r\n" % (context.request_id.encode(), milliseconds, len(body), body)
        asked = self.calls[context.request_id] = Asked(context, message)
        self.scheduler.spawn("vault", partial(self.make, asked))

    def unask(self, context: RequestContext) -> None:
        """Give the call up: that its connection is closed says so."""
        asked = self.calls.pop(context.request_id, None)
        if asked is not None and asked.dial is not None:
            asked.dial.cancel()
        if asked is not None and asked.link is not None:
            asked.link.close("given up")

    def move(self, address: tuple[str, int] | None) -> None:
        """New calls go there; those that are out may still end on the connections they have."""
        if address != self.address:
            self.address, self.wait, self.not_before = address, WAIT_FIRST, 0
            for asked in self.calls.values():
                if asked.dial is not None:
                    asked.dial.cancel()  # it has not been sent: it may go to the new address
            while self.spare:
                self.spare.pop()[1].close("moved")

    def make(self, asked: Asked) -> None:
        """The task of one call."""
        if len(self.calls) > self.most:
            self.over(asked, Outcome.REJECTED)  # here, not there: it has not been sent
            return
        address = self.address
        link = self.kept() or self.opened(asked)
        if link is None:
            return
        try:
            if self.stands(asked):
                self.read(asked, link)
        finally:
            # One that did not bring this call's reply, or brought more, takes no other.
            full = len(self.calls) + len(self.spare) >= self.most
            if asked.outcome is None or not link.open or len(link.buffer) or full or address != self.address:
                link.close("the call is over")
            else:
                self.keep(link)

    # ---- connections ---------------------------------------------------------------------------------------

    def keep(self, link: Connection) -> None:
        self.spare.append((self.scheduler.now, link))
        if not self.looking:
            self.looking = True
            self.scheduler.at(self.scheduler.now + KEPT, self.let_go)

    def let_go(self) -> None:
        while self.spare and self.spare[0][0] <= self.scheduler.now - KEPT:
            self.spare.popleft()[1].close("not used again")
        self.looking = bool(self.spare)
        if self.looking:
            self.scheduler.at(self.spare[0][0] + KEPT, self.let_go)

    def kept(self) -> Connection | None:
        """The one that was used last, if nothing has come on it since."""
        while self.spare:
            since, link = self.spare.pop()
            if since > self.scheduler.now - KEPT:
                link.read(lambda _: None)
            if link.open and since > self.scheduler.now - KEPT and not len(link.buffer):
                return link
            link.close("not used again")
        return None

    def opened(self, asked: Asked) -> Connection | None:
        # A refusal comes at once on this machine, and the decisions may ask again at once: without a wait
        # between the tries, a vault that is down would take all of the processor.
        if self.not_before > self.scheduler.now:
            self.scheduler.sleep(self.not_before)
        if not self.stands(asked):
            return None
        address = self.address
        try:
            if address is None:
                raise OSError("no address for it")
            asked.dial = Connector(self.scheduler, address)
            sock = asked.dial.open()
        except OSError as trouble:
            self.counters.count("vault.unreached")
            if address == self.address and self.not_before <= self.scheduler.now:
                self.not_before = self.scheduler.now + self.wait
                self.wait = min(2 * self.wait, WAIT_MOST)
            self.lost(asked, Outcome.UNREACHABLE, str(trouble))
            return None
        finally:
            asked.dial = None
        self.wait = WAIT_FIRST
        self.counters.count("vault.links")
        return Connection(self.scheduler, sock, LINE + REPLY + 4096, BOUND_OUT)

    # ---- calls ---------------------------------------------------------------------------------------------

    def read(self, asked: Asked, link: Connection) -> None:
        asked.link = link
        link.write(asked.message)
        while link.open and asked.outcome is None:
            begun = asked.head is not None or len(link.buffer) > 0
            events = link.step(asked.take, self.scheduler.now + STALL if begun else None)
            if begun and link.open and not events:
                link.malformed = True
                link.close("a reply that does not go on")
        if asked.strays:
            self.counters.count("vault.strays", asked.strays)
        if link.malformed:
            self.counters.count("vault.malformed")
        if asked.outcome is None:
            self.lost(asked, Outcome.CONNECTION_LOST, link.close_reason)
        else:
            self.over(asked, asked.outcome)

    def stands(self, asked: Asked) -> bool:
        return self.calls.get(asked.context.request_id) is asked

    def lost(self, asked: Asked, outcome: Outcome, why: str) -> None:
        if self.stands(asked):
            self.counters.count("vault.lost", outcome is Outcome.CONNECTION_LOST)
            self.log.fault("a call to the vault was lost", why=why)
        self.over(asked, outcome)

    def over(self, asked: Asked, outcome: Outcome) -> None:
        if self.stands(asked):
            del self.calls[asked.context.request_id]
            self.ended(asked.context, outcome, asked.body)
