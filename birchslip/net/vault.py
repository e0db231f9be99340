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

MAX_LINE_BYTES = 256
MAX_UNSENT_BYTES = 16_384
MAX_REPLY_BYTES = 65_536  # the largest reply read
MAX_UNRELATED_REPLIES = 8  # replies to other calls that are passed over before this one's
REPLY_STALL_TIMEOUT = (
    2_500  # a reply that has begun goes on within 250 ms, or what has come of it can't be right
)
MAX_IDLE_TIME = 500  # a connection takes another call within 50 ms of a reply, later none
INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY = (
    100,
    2_000,
)  # between tries at a vault that is down: 10 ms at first, 200 ms at most
CALL_OUTCOMES = {
    b"yes": Outcome.SERVED,
    b"notnow": Outcome.REJECTED,
    b"failed": Outcome.FAILED,
    b"overdue": Outcome.TIMED_OUT,
    b"pointless": Outcome.SUPERSEDED,
}


def parse_reply_line(line: bytes) -> tuple[str, bytes, int]:
    """`ID yes LENGTH` or `ID WORD`: the id, the word, and the length of the reply that follows."""
    match line.split(b" "):
        case [request_id, b"yes" as word, length] if length.isdigit() and len(length) <= 6 and int(
            length
        ) <= MAX_REPLY_BYTES:
            size = int(length)
        case [request_id, word] if word in CALL_OUTCOMES and word != b"yes":
            size = 0
        case _:
            raise MalformedMessageError(f"not a reply: {line[:80]!r}")
    if not request_id.isalnum() or not request_id.isascii():
        raise MalformedMessageError(f"not an id: {request_id[:40]!r}")
    return request_id.decode(), word, size


class PendingCall:
    """One call and what has been read for it."""

    def __init__(self, context: RequestContext, message: bytes) -> None:
        self.context, self.message = context, message
        self.connection_attempt: Connector | None = None  # while its connection is being opened
        self.link: Connection | None = None
        self.reply_head: tuple[str, bytes, int] | None = None  # of the reply whose body comes next
        self.unrelated_replies = 0
        self.outcome: Outcome | None = None
        self.body = b""

    def read_reply(self, buffer: Buffer) -> None:
        """Its reply, once it is whole; one to another call, as told again, is passed over."""
        while self.outcome is None:
            if self.reply_head is None:
                line = buffer.read_line(MAX_LINE_BYTES)
                if line is None:
                    return
                self.reply_head = parse_reply_line(line)
            request_id, word, length = self.reply_head
            if word == b"yes":
                if len(buffer) < length + 2:
                    return
                body = buffer.take(length)
                if buffer.take(2) != b"\r\n":
                    raise MalformedMessageError("a reply longer than it said")
            else:
                body = b""
            self.reply_head = None
            if request_id == self.context.request_id:
                self.outcome, self.body = CALL_OUTCOMES[word], body
                return
            self.unrelated_replies += 1
            if self.unrelated_replies > MAX_UNRELATED_REPLIES:
                raise MalformedMessageError(f"{self.unrelated_replies} replies to other calls")


class Vault:
    """`on_call_ended` hears how each call ended, once; of one that was given up it hears nothing."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int] | None,
        max_calls: int,
    ) -> None:
        self.scheduler, self.counters, self.log, self.address = scheduler, counters, log, address
        self.max_calls = max_calls  # connections, and so calls, at a time
        self.reconnect_delay = INITIAL_RECONNECT_DELAY
        self.next_attempt_at = 0
        self.calls: dict[str, PendingCall] = {}
        self.idle_connections: deque[tuple[int, Connection]] = (
            deque()
        )  # when each has brought a reply, the last at the end
        self.is_expiry_scheduled = False
        self.on_call_ended: Callable[[RequestContext, Outcome, bytes], None]

    def call(self, context: RequestContext, timeout_ms: int, body: bytes) -> None:
        """A second call for the same run gives up the first, as the vault sees it too."""
        self.cancel_call(context)
        message = b"ask %b %d %d\r\n%b\r\n" % (context.request_id.encode(), timeout_ms, len(body), body)
        pending_call = self.calls[context.request_id] = PendingCall(context, message)
        self.scheduler.spawn("vault", partial(self.run_call, pending_call))

    def cancel_call(self, context: RequestContext) -> None:
        """Give the call up: that its connection is closed says so."""
        pending_call = self.calls.pop(context.request_id, None)
        if pending_call is not None and pending_call.connection_attempt is not None:
            pending_call.connection_attempt.cancel()
        if pending_call is not None and pending_call.link is not None:
            pending_call.link.close("given up")

    def change_address(self, address: tuple[str, int] | None) -> None:
        """New calls go there; those that are out may still end on the connections they have."""
        if address != self.address:
            self.address, self.reconnect_delay, self.next_attempt_at = address, INITIAL_RECONNECT_DELAY, 0
            for pending_call in self.calls.values():
                if pending_call.connection_attempt is not None:
                    # it has not been sent: it may go to the new address
                    pending_call.connection_attempt.cancel()
            while self.idle_connections:
                self.idle_connections.pop()[1].close("moved")

    def run_call(self, pending_call: PendingCall) -> None:
        """The task of one call."""
        if len(self.calls) > self.max_calls:
            self.finish(pending_call, Outcome.REJECTED)  # here, not there: it has not been sent
            return
        address = self.address
        link = self.take_idle() or self.open_connection(pending_call)
        if link is None:
            return
        try:
            if self.is_pending(pending_call):
                self.exchange(pending_call, link)
        finally:
            # One that did not bring this call's reply, or brought more, takes no other.
            is_full = len(self.calls) + len(self.idle_connections) >= self.max_calls
            if (
                pending_call.outcome is None
                or not link.open
                or len(link.buffer)
                or is_full
                or address != self.address
            ):
                link.close("the call is over")
            else:
                self.keep_idle(link)

    # ---- connections ---------------------------------------------------------------------------------------

    def keep_idle(self, link: Connection) -> None:
        self.idle_connections.append((self.scheduler.now, link))
        if not self.is_expiry_scheduled:
            self.is_expiry_scheduled = True
            self.scheduler.at(self.scheduler.now + MAX_IDLE_TIME, self.close_expired)

    def close_expired(self) -> None:
        while self.idle_connections and self.idle_connections[0][0] <= self.scheduler.now - MAX_IDLE_TIME:
            self.idle_connections.popleft()[1].close("not used again")
        self.is_expiry_scheduled = bool(self.idle_connections)
        if self.is_expiry_scheduled:
            self.scheduler.at(self.idle_connections[0][0] + MAX_IDLE_TIME, self.close_expired)

    def take_idle(self) -> Connection | None:
        """The one that was used last, if nothing has come on it since."""
        while self.idle_connections:
            idle_since, link = self.idle_connections.pop()
            if idle_since > self.scheduler.now - MAX_IDLE_TIME:
                link.read(lambda _: None)
            if link.open and idle_since > self.scheduler.now - MAX_IDLE_TIME and not len(link.buffer):
                return link
            link.close("not used again")
        return None

    def open_connection(self, pending_call: PendingCall) -> Connection | None:
        # A refusal comes at once on this machine, and the decisions may ask again at once: without a wait
        # between the tries, a vault that is down would take all of the processor.
        if self.next_attempt_at > self.scheduler.now:
            self.scheduler.sleep(self.next_attempt_at)
        if not self.is_pending(pending_call):
            return None
        address = self.address
        try:
            if address is None:
                raise OSError("no address for it")
            pending_call.connection_attempt = Connector(self.scheduler, address)
            sock = pending_call.connection_attempt.open()
        except OSError as error:
            self.counters.count("vault.unreached")
            if address == self.address and self.next_attempt_at <= self.scheduler.now:
                self.next_attempt_at = self.scheduler.now + self.reconnect_delay
                self.reconnect_delay = min(2 * self.reconnect_delay, MAX_RECONNECT_DELAY)
            self.fail(pending_call, Outcome.UNREACHABLE, str(error))
            return None
        finally:
            pending_call.connection_attempt = None
        self.reconnect_delay = INITIAL_RECONNECT_DELAY
        self.counters.count("vault.links")
        return Connection(self.scheduler, sock, MAX_LINE_BYTES + MAX_REPLY_BYTES + 4096, MAX_UNSENT_BYTES)

    # ---- calls ---------------------------------------------------------------------------------------------

    def exchange(self, pending_call: PendingCall, link: Connection) -> None:
        pending_call.link = link
        link.write(pending_call.message)
        while link.open and pending_call.outcome is None:
            has_begun = pending_call.reply_head is not None or len(link.buffer) > 0
            events = link.step(
                pending_call.read_reply, self.scheduler.now + REPLY_STALL_TIMEOUT if has_begun else None
            )
            if has_begun and link.open and not events:
                link.malformed = True
                link.close("a reply that does not go on")
        if pending_call.unrelated_replies:
            self.counters.count("vault.strays", pending_call.unrelated_replies)
        if link.malformed:
            self.counters.count("vault.malformed")
        if pending_call.outcome is None:
            self.fail(pending_call, Outcome.CONNECTION_LOST, link.close_reason)
        else:
            self.finish(pending_call, pending_call.outcome)

    def is_pending(self, pending_call: PendingCall) -> bool:
        return self.calls.get(pending_call.context.request_id) is pending_call

    def fail(self, pending_call: PendingCall, outcome: Outcome, why: str) -> None:
        if self.is_pending(pending_call):
            self.counters.count("vault.lost", outcome is Outcome.CONNECTION_LOST)
            self.log.fault("a call to the vault was lost", why=why)
        self.finish(pending_call, outcome)

    def finish(self, pending_call: PendingCall, outcome: Outcome) -> None:
        if self.is_pending(pending_call):
            del self.calls[pending_call.context.request_id]
            self.on_call_ended(pending_call.context, outcome, pending_call.body)
