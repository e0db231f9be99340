"""Client of the vault: calls on behalf of runs, each with a connection to itself while it lasts.

The vault may have dropped a connection that was kept open, which shows only at the next call, and a malformed
reply would fail all calls that share its connection. With a connection of its own, an error concerns one call
alone, and a refused connection proves that the call was never executed. A connection is reused only shortly
after it brought a complete reply with no data behind it: calls in quick succession then need no new
connection each, and the vault has had no time to drop it.

All times are in tenths of a millisecond unless a name says otherwise.
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
MAX_REPLY_BYTES = 65_536
MAX_UNRELATED_REPLIES = 8  # replies to other calls that are skipped while a call waits for its own
REPLY_STALL_TIMEOUT = 2_500  # 250 ms without more data; a reply that stops half way is malformed
MAX_IDLE_TIME = 500  # 50 ms; a connection that was idle for longer is not reused
# Delay between attempts to connect while the vault is down: 10 ms, doubled after each failure up to 200 ms.
INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY = 100, 2_000
CALL_OUTCOMES = {
    b"yes": Outcome.SERVED,
    b"notnow": Outcome.REJECTED,
    b"failed": Outcome.FAILED,
    b"overdue": Outcome.TIMED_OUT,
    b"pointless": Outcome.SUPERSEDED,
}


def parse_reply_line(line: bytes) -> tuple[str, bytes, int]:
    """Parse the first line of a reply, `ID yes LENGTH` or `ID WORD`.

    Returns:
        The request id, the word, and the length of the body in bytes, which is 0 for words other than `yes`.

    Raises:
        MalformedMessageError: If the line has another form.
    """
    match line.split(b" "):
        case [request_id, b"yes" as word, length] if (
            length.isdigit() and len(length) <= 6 and int(length) <= MAX_REPLY_BYTES
        ):
            size = int(length)
        case [request_id, word] if word in CALL_OUTCOMES and word != b"yes":
            size = 0
        case _:
            raise MalformedMessageError(f"invalid reply line: {line[:80]!r}")
    if not request_id.isalnum() or not request_id.isascii():
        raise MalformedMessageError(f"invalid request id: {request_id[:40]!r}")
    return request_id.decode(), word, size


class PendingCall:
    """A call to the vault and what has been received for it.

    Attributes:
        context: Request whose run needs the call.
        message: Encoded call.
        connector: Set while the connection is being opened.
        link: Connection of the call, or None.
        reply_head: Request id, word and body length of a reply whose body has not been read yet.
        unrelated_replies: Number of replies to other calls that were skipped.
        outcome: Outcome of the call, or None until its reply is complete.
        body: Body of the reply.
    """

    def __init__(self, context: RequestContext, message: bytes) -> None:
        """Create a call that has not been sent."""
        self.context, self.message = context, message
        self.connector: Connector | None = None
        self.link: Connection | None = None
        self.reply_head: tuple[str, bytes, int] | None = None
        self.unrelated_replies = 0
        self.outcome: Outcome | None = None
        self.body = b""

    def read_reply(self, buffer: Buffer) -> None:
        """Read data until the reply to this call is complete; skip replies to other calls.

        The vault may repeat a reply to an earlier call.

        Raises:
            MalformedMessageError: If a reply is malformed, or too many belong to other calls.
        """
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
                    raise MalformedMessageError("reply body does not end after its length")
            else:
                body = b""
            self.reply_head = None
            if request_id == self.context.request_id:
                self.outcome, self.body = CALL_OUTCOMES[word], body
                return
            self.unrelated_replies += 1
            if self.unrelated_replies > MAX_UNRELATED_REPLIES:
                raise MalformedMessageError(f"received {self.unrelated_replies} replies to other calls")


class Vault:
    """Makes calls to the vault and reports their outcomes.

    Attributes:
        address: Address of the vault, or None if there is none.
        max_calls: Limit of connections, and so of calls at a time.
        reconnect_delay: Delay after the next failed attempt to connect.
        next_attempt_at: Scheduler time before which no connection is opened.
        calls: Calls in progress, by request id.
        idle_connections: Reusable connections with the time of their last reply, the latest at the end.
        is_expiry_scheduled: Whether a timer will close expired connections.
        on_call_ended: Called once with the outcome and the reply of each call, unless it was cancelled.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int] | None,
        max_calls: int,
    ) -> None:
        """Create a client without connections; `on_call_ended` must be set before the first call."""
        self.scheduler, self.counters, self.log, self.address = scheduler, counters, log, address
        self.max_calls = max_calls
        self.reconnect_delay = INITIAL_RECONNECT_DELAY
        self.next_attempt_at = 0
        self.calls: dict[str, PendingCall] = {}
        self.idle_connections: deque[tuple[int, Connection]] = deque()
        self.is_expiry_scheduled = False
        self.on_call_ended: Callable[[RequestContext, Outcome, bytes], None]

    def call(self, context: RequestContext, timeout_ms: int, body: bytes) -> None:
        """Start a call; cancel one in progress for the same run, as the vault does too.

        Args:
            context: Request whose run needs the call.
            timeout_ms: Time that the vault has for the call, in milliseconds.
            body: Body of the call.
        """
        self.cancel_call(context)
        message = b"ask %b %d %d\r\n%b\r\n" % (context.request_id.encode(), timeout_ms, len(body), body)
        pending_call = self.calls[context.request_id] = PendingCall(context, message)
        self.scheduler.spawn("vault", partial(self.run_call, pending_call))

    def cancel_call(self, context: RequestContext) -> None:
        """Cancel the call of a run, if there is one; closing its connection notifies the vault."""
        pending_call = self.calls.pop(context.request_id, None)
        if pending_call is not None and pending_call.connector is not None:
            pending_call.connector.cancel()
        if pending_call is not None and pending_call.link is not None:
            pending_call.link.close("call cancelled")

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Use another address for new calls; calls that have been sent end on their connections."""
        if address != self.address:
            self.address, self.reconnect_delay, self.next_attempt_at = address, INITIAL_RECONNECT_DELAY, 0
            for pending_call in self.calls.values():
                if pending_call.connector is not None:
                    # The call has not been sent, so it can be repeated at the new address.
                    pending_call.connector.cancel()
            while self.idle_connections:
                self.idle_connections.pop()[1].close("address of the vault changed")

    def run_call(self, pending_call: PendingCall) -> None:
        """Make one call, from its connection to its outcome, as a task of its own."""
        if len(self.calls) > self.max_calls:
            self.finish(pending_call, Outcome.REJECTED)  # refused here: the call has not been sent
            return
        address = self.address
        link = self.take_idle() or self.open_connection(pending_call)
        if link is None:
            return
        try:
            if self.is_pending(pending_call):
                self.exchange(pending_call, link)
        finally:
            # A connection that did not bring the reply of this call, or brought more data, is not reused.
            is_full = len(self.calls) + len(self.idle_connections) >= self.max_calls
            if (
                pending_call.outcome is None
                or not link.open
                or len(link.buffer)
                or is_full
                or address != self.address
            ):
                link.close("call ended")
            else:
                self.keep_idle(link)

    # ---- connections ---------------------------------------------------------------------------------------

    def keep_idle(self, link: Connection) -> None:
        """Keep a connection for reuse until it has been idle for `MAX_IDLE_TIME`."""
        self.idle_connections.append((self.scheduler.now, link))
        if not self.is_expiry_scheduled:
            self.is_expiry_scheduled = True
            self.scheduler.at(self.scheduler.now + MAX_IDLE_TIME, self.close_expired)

    def close_expired(self) -> None:
        """Close connections that were idle for too long, and schedule the next check."""
        while self.idle_connections and self.idle_connections[0][0] <= self.scheduler.now - MAX_IDLE_TIME:
            self.idle_connections.popleft()[1].close("idle for too long")
        self.is_expiry_scheduled = bool(self.idle_connections)
        if self.is_expiry_scheduled:
            self.scheduler.at(self.idle_connections[0][0] + MAX_IDLE_TIME, self.close_expired)

    def take_idle(self) -> Connection | None:
        """Remove and return an idle connection that can be reused, the most recently used first.

        A connection can be reused if it was idle for less than `MAX_IDLE_TIME`, and has received neither data
        nor a close from the vault since its last reply. Others that are found on the way are closed.

        Returns:
            The connection, or None if none can be reused.
        """
        while self.idle_connections:
            idle_since, link = self.idle_connections.pop()
            if idle_since > self.scheduler.now - MAX_IDLE_TIME:
                link.read(lambda _: None)
            if link.open and idle_since > self.scheduler.now - MAX_IDLE_TIME and not len(link.buffer):
                return link
            link.close("idle connection not reusable")
        return None

    def open_connection(self, pending_call: PendingCall) -> Connection | None:
        """Open a connection for a call, after the delay that follows a failed attempt.

        Returns:
            The connection; None if the call was cancelled, or failed because the vault is unreachable.
        """
        # On the same machine a refusal arrives at once, and the decisions may repeat the call at once:
        # without a delay between attempts, a vault that is down would use all of the processor.
        if self.next_attempt_at > self.scheduler.now:
            self.scheduler.sleep(self.next_attempt_at)
        if not self.is_pending(pending_call):
            return None
        address = self.address
        try:
            if address is None:
                raise OSError("no vault is configured")
            pending_call.connector = Connector(self.scheduler, address)
            sock = pending_call.connector.open()
        except OSError as error:
            self.counters.count("vault.unreached")
            if address == self.address and self.next_attempt_at <= self.scheduler.now:
                self.next_attempt_at = self.scheduler.now + self.reconnect_delay
                self.reconnect_delay = min(2 * self.reconnect_delay, MAX_RECONNECT_DELAY)
            self.fail(pending_call, Outcome.UNREACHABLE, str(error))
            return None
        finally:
            pending_call.connector = None
        self.reconnect_delay = INITIAL_RECONNECT_DELAY
        self.counters.count("vault.links")
        return Connection(self.scheduler, sock, MAX_LINE_BYTES + MAX_REPLY_BYTES + 4096, MAX_UNSENT_BYTES)

    # ---- calls ---------------------------------------------------------------------------------------------

    def exchange(self, pending_call: PendingCall, link: Connection) -> None:
        """Send a call, wait for its reply and report the outcome.

        A reply that has begun and receives no more data for `REPLY_STALL_TIMEOUT` closes the connection.
        """
        pending_call.link = link
        link.write(pending_call.message)
        while link.open and pending_call.outcome is None:
            has_begun = pending_call.reply_head is not None or len(link.buffer) > 0
            events = link.step(
                pending_call.read_reply, self.scheduler.now + REPLY_STALL_TIMEOUT if has_begun else None
            )
            if has_begun and link.open and not events:
                link.malformed = True
                link.close("reply stalled")
        if pending_call.unrelated_replies:
            self.counters.count("vault.strays", pending_call.unrelated_replies)
        if link.malformed:
            self.counters.count("vault.malformed")
        if pending_call.outcome is None:
            self.fail(pending_call, Outcome.CONNECTION_LOST, link.close_reason)
        else:
            self.finish(pending_call, pending_call.outcome)

    def is_pending(self, pending_call: PendingCall) -> bool:
        """Return whether a call is still in progress: not ended, cancelled or replaced by a later one."""
        return self.calls.get(pending_call.context.request_id) is pending_call

    def fail(self, pending_call: PendingCall, outcome: Outcome, why: str) -> None:
        """End a call whose connection failed, and log the reason."""
        if self.is_pending(pending_call):
            self.counters.count("vault.lost", outcome is Outcome.CONNECTION_LOST)
            self.log.fault("vault_call_failed", why=why)
        self.finish(pending_call, outcome)

    def finish(self, pending_call: PendingCall, outcome: Outcome) -> None:
        """End a call and report its outcome; do nothing if it is no longer in progress."""
        if self.is_pending(pending_call):
            del self.calls[pending_call.context.request_id]
            self.on_call_ended(pending_call.context, outcome, pending_call.body)
