"""Router connections: MessagePack-RPC on the listening address.

A request is `[0, id, class, [fields, body]]`, its response `[1, id, error, result]`, a notification
`[2, name, params]`. Each connection has one greenlet; the number of connections, open requests and unread and
unsent bytes is bounded.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

import errno
import re
import socket
import struct
from array import array
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import suppress
from functools import partial
from itertools import count, islice, takewhile
from math import ceil
from re import Pattern
from typing import Any

from ..admission.types import MS
from ..errors import InvalidInputError
from .bounds import Bounds
from .buffer import Buffer, MalformedMessageError
from .connection import Connection, SendBufferPool
from .counters import Counters
from .log import Log
from .message_reader import MessageReader
from .message_reader import read_messages as read_messages  # users of this package find it here
from .messagepack import IncompleteMessageError, pack
from .request_context import MAX_BODY_BYTES, DecodedRequest, RequestContext
from .scheduler import READ, Scheduler, Timer

OVERLOADED, FAILED = "Overloaded", "Failed"  # error texts of a rejection and of a failed request
ID_PATTERN, KEY_PATTERN = re.compile("[0-9a-f]{16}"), re.compile("[0-9a-f]{32}")
INTEGER_PATTERN, DECIMAL_PATTERN, FLAG_PATTERN = (
    re.compile("[0-9]{1,18}"),
    re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?"),
    re.compile("1"),
)
MAX_FIELD_CHARS = 256  # tenant names may be long
MAX_NEED_KB = 2000  # memory that a request reserves; exclusive
MAX_TIMEOUT_MS = 3_600_000  # no caller waits for an hour; also used where a request names no timeout
MAX_OPEN_REQUESTS = 32  # per connection
MAX_CALLERS_PER_CONNECTION = (
    8  # a connection belongs to one router; further numbers get no quota of their own
)
MAX_UNSENT_BYTES = MAX_OPEN_REQUESTS * 5_120  # a response of the largest size for each open request
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_DELAY = 200  # 20 ms, when there is no room or the system has no descriptor left
IDLE_CHECK_INTERVAL = 2_500  # 250 ms between checks, while an idle timeout is set
MESSAGE_TIMEOUT = 20_000  # 2 s from the connection's start, or from a message's first byte, to its last byte
MESSAGE_CHECK_INTERVAL = 2_000  # 200 ms between checks of the message timeout
SILENT_EVICTION_AGE = 2_000  # a connection without a message is the first to be evicted after 200 ms
IDLE_EVICTION_AGE = 20_000  # an idle one that was used within 2 s is evicted after all silent ones
MIN_EVICTION_AGE = 500  # and is never evicted within 50 ms: its first request is on its way
CLOSING_TIMEOUT = 20_000  # 2 s from the `closing` notification to the close, if no request is open
DRAIN_CLOSING_TIMEOUT = 5_000  # 500 ms while draining: the process has a deadline, but routers may read late
FINAL_ACCEPT_DELAY = 100  # 10 ms for handshakes in progress to reach the accept queue
MIN_LINGERING_CONNECTIONS = 4  # allowed beside the open ones, in addition to an eighth of the limit
MIN_LINGER_TIME = 200  # a lingering connection is not evicted before its peer had 20 ms to read responses
MIN_LINGER_TIME_UNSENT = 2_000  # or 200 ms, if some are still unsent
MAX_EVICTION_CANDIDATES = 8  # connections considered for one eviction
MAX_FINAL_READS = 16  # before a connection is closed; one read may not take all that was received
MAX_TURN_MESSAGES = 16  # that one connection has handled before the others get their turn
MAX_TURN_VALUES = 1_024  # in these messages
MAX_ACCEPTED_PER_TURN = 8  # connections
SO_ATTACH_FILTER = 26  # Linux; not in the socket module
# Classic BPF on a TCP header: loads the flags, drops the packet if SYN is set, else keeps it whole.
DROP_SYN_FILTER = ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))


class MessageType:
    """The first item of a message."""

    REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2


def parse_field(fields: dict[str, str], name: str, pattern: Pattern[str]) -> str:
    """Return the value of a field that has the form of `pattern`.

    Raises:
        InvalidInputError: If it is absent or does not match the pattern.
    """
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidInputError(f"{name} is absent or of a wrong form: {value[:40]!r}")
    return value


def parse_number(fields: dict[str, str], name: str, pattern: Pattern[str], low: float, high: float) -> float:
    """Return the value of a field as a number from `low` (inclusive) to `high` (exclusive).

    Raises:
        InvalidInputError: If it is absent, does not match the pattern or is out of range.
    """
    value = float(parse_field(fields, name, pattern))
    if not low <= value < high:
        raise InvalidInputError(f"{name} is out of range: {value:.15g}")
    return value


def decode_request(class_name: str, params: list[Any]) -> DecodedRequest:
    """Decode and validate the parameters of a request.

    Args:
        class_name: The method of the message: the name of a request class.
        params: The fields, as a map of strings, and the body.

    Raises:
        InvalidInputError: If a field or the body is invalid; its text is sent to the router.
    """
    match params:
        case [dict(fields), bytes(body)] if len(body) <= MAX_BODY_BYTES:
            pass
        case _:
            raise InvalidInputError(f"not fields and a body of at most {MAX_BODY_BYTES} bytes")
    for field, value in fields.items():
        if not isinstance(field, str) or not isinstance(value, str) or len(value) > MAX_FIELD_CHARS:
            raise InvalidInputError(f"a field that is not text of at most {MAX_FIELD_CHARS} characters")
    parse_number(fields, "level", DECIMAL_PATTERN, 0, 1)
    need = parse_number(fields, "need", DECIMAL_PATTERN, 0, MAX_NEED_KB)
    if not need:
        raise InvalidInputError("need is 0")
    if "subject" in fields:
        parse_field(fields, "subject", ID_PATTERN)
    return DecodedRequest(
        request_id=parse_field(fields, "req", ID_PATTERN),
        class_name=class_name,
        body=body,
        router_timestamp=int(parse_number(fields, "ts", INTEGER_PATTERN, 0, 1 << 50)) * MS,
        # Without a timeout of the caller, the deadline of the request class applies.
        timeout=int(
            parse_number(fields, "timeout", INTEGER_PATTERN, 1, MAX_TIMEOUT_MS)
            if "timeout" in fields
            else MAX_TIMEOUT_MS
        )
        * MS,
        caller=int(parse_field(fields, "via", INTEGER_PATTERN)),
        tenant=fields.get("owner", ""),
        size=ceil(need * 1024),
        is_retry="resent" in fields and bool(parse_field(fields, "resent", FLAG_PATTERN)),
        idempotency_key=parse_field(fields, "opkey", KEY_PATTERN) if "opkey" in fields else "",
        has_subject="subject" in fields,
    )


class Client:
    """The connection of one router.

    Attributes:
        open_requests: Requests without a response, by message id.
        reader: Reads the messages from the buffer of the connection.
        callers: The numbers of callers that requests named, up to `MAX_CALLERS_PER_CONNECTION`.
        highest_message_id: The highest id received; ids of requests must increase on a connection.
        closing_sent: Whether the router was notified that this connection closes.
        closing_timer: Closes the connection after that, if the router does not.
    """

    def __init__(self, clients: Clients, connection: Connection) -> None:
        """Wrap a connection that was accepted."""
        self.clients, self.connection = clients, connection
        self.open_requests: dict[int, RequestContext] = {}
        self.reader = MessageReader()
        self.callers: dict[int, None] = {}
        self.highest_message_id = 0
        self.closing_sent = False
        self.closing_timer: Timer | None = None

    def on_data(self, buffer: Buffer) -> None:
        """Handle the complete messages in the buffer, as far as one turn goes.

        The rest waits for the next turn, so that no connection keeps the others from theirs.

        Raises:
            MalformedMessageError: If the data is malformed; messages before it are handled.
        """
        message_count = value_count = 0
        self.connection.has_backlog = False
        try:
            while len(buffer) and not self.connection.has_backlog:
                message, values = self.reader.next_message(buffer)
                message_count, value_count = message_count + 1, value_count + values
                self.handle_message(message)
                is_turn_over = message_count >= MAX_TURN_MESSAGES or value_count >= MAX_TURN_VALUES
                self.connection.has_backlog = is_turn_over and len(buffer) > 0
        except IncompleteMessageError:
            pass
        self.clients.on_messages_read(self, has_message=message_count > 0, has_partial=len(buffer) > 0)

    def handle_message(self, message: Any) -> None:
        """Handle a health check, a request or a notification.

        A request beyond `MAX_OPEN_REQUESTS` gets an error; an unknown notification is only counted.

        Raises:
            MalformedMessageError: If it is none of these.
        """
        match message:
            case [MessageType.REQUEST, int(), str(method), list(params)] if self.highest_message_id < message[
                1
            ] < 1 << 32:
                message_id = self.highest_message_id = message[1]
                # A request class may be named "ping" too; its requests have a body after the fields.
                if method == "ping" and len(params) < 2:
                    self.clients.counters.count("clients.pings")
                    self.send(
                        pack(
                            [
                                MessageType.RESPONSE,
                                message_id,
                                None,
                                [self.clients.healthy, self.clients.health_details()],
                            ]
                        )
                    )
                elif len(self.open_requests) >= MAX_OPEN_REQUESTS:
                    self.clients.counters.count("clients.too_many")
                    self.send_error(message_id, f"more than {MAX_OPEN_REQUESTS} open transactions")
                else:
                    self.clients.on_request(self, message_id, partial(self.decode_request, method, params))
            case [MessageType.NOTIFICATION, "abort", [int(message_id)]]:
                context = self.open_requests.get(message_id)
                if context is not None:
                    self.clients.on_disconnected(context)
            case [MessageType.NOTIFICATION, str(), list()]:
                self.clients.counters.count("clients.unknown_news")
            case [MessageType.REQUEST, int(), *_]:
                raise MalformedMessageError(
                    f"request id {message[1]} is not above {self.highest_message_id}, or malformed request"
                )
            case _:
                raise MalformedMessageError("unknown type or form of message")

    def decode_request(self, method: str, params: list[Any]) -> DecodedRequest:
        """Decode a request; one with too many different callers on its connection counts as the first one's.

        Raises:
            InvalidInputError: If a field or the body is invalid; its text is sent to the router.
        """
        decoded = decode_request(method, params)
        if len(self.callers) < MAX_CALLERS_PER_CONNECTION:
            self.callers[decoded.caller] = None
        elif decoded.caller not in self.callers:
            decoded.caller = next(iter(self.callers))
        return decoded

    # ---- responses -----------------------------------------------------------------------------------------

    def send_result(self, message_id: int, body: bytes) -> None:
        """Send the result of a request that succeeded."""
        self.send(pack([MessageType.RESPONSE, message_id, None, [body, {}]]))

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """Send the rejection of a request that never ran.

        Args:
            message_id: Id of the request's message.
            retry_after: Advised delay before a retry; sent in whole milliseconds, rounded up. 0 sends none.
            stop_retrying: Whether the router shall not retry on another app server either.
        """
        fields = {"holdoff": str(-(-retry_after // MS))} if retry_after else {}
        if stop_retrying:
            fields["nomore"] = "1"
        self.send(pack([MessageType.RESPONSE, message_id, [OVERLOADED, fields], None]))

    def send_error(self, message_id: int, reason: str = FAILED) -> None:
        """Send that a request failed, with the error text `reason` and no advised delay before a retry."""
        self.send(pack([MessageType.RESPONSE, message_id, [reason, {}], None]))

    def send(self, message: bytes) -> None:
        """Send an encoded message at the end of the pass; this counts as a use of the connection."""
        self.connection.write(message)
        self.clients.update_idle(self)

    def has_peer_closed(self) -> bool:
        """Return whether the connection has ended, or its end has arrived, perhaps behind unread data."""
        return not self.connection.open or self.connection.has_peer_closed()

    def send_closing(self, timeout: int = CLOSING_TIMEOUT) -> None:
        """Notify the router that the connection closes; do nothing if it was notified before.

        The router sends no new requests on it, and closes it after the last response. After `timeout` this
        side closes it.
        """
        if not self.closing_sent and self.connection.open:
            self.closing_sent = True
            self.connection.write(pack([MessageType.NOTIFICATION, "closing", []]))
            self.clients.counters.count("clients.told_closing")
            self.schedule_close(timeout)

    def schedule_close(self, timeout: int) -> None:
        """Close the connection after `timeout` unless it is in use then; if it is, check again as often.

        It is in use while a request is open or a message incomplete.
        """

        def close_or_reschedule() -> None:
            if self in self.clients.active and not self.clients.close_if_idle(self, "closing"):
                self.schedule_close(timeout)

        self.closing_timer = self.clients.scheduler.at(
            self.clients.scheduler.now + timeout, close_or_reschedule
        )

    def on_malformed(self, reason: str) -> None:
        """Close the connection gracefully; requests read before the malformed data get their responses."""
        self.clients.counters.count("clients.malformed")
        self.clients.log.fault("malformed_router_message", why=reason)
        self.clients.close_client(self, reason)


class Clients:
    """The listening socket and all connections accepted on it.

    Connections that send nothing must not keep others out: at the limit, silent and idle ones are evicted.

    Attributes:
        max_connections: Limit of `active`.
        max_lingering: Limit of `lingering` when `active` is full. `active` and `lingering` together are
            limited to `max_connections + max_lingering`.
        active: Open connections that are not being closed.
        idle: Those without an open request, the least recently used first.
        awaiting_message: Those of which a complete message is due, and since when.
        awaiting_first_message: Those that have not sent a complete message yet, the oldest first.
        lingering: Connections being closed gracefully, and since when.
        listener_closes_at: When draining, the time from which the listener closes once its queue is empty.
        healthy: The result of health checks.
        health_details: Returns details for the response to a health check.
        idle_timeout: Time without activity after which idle connections are notified that they close; 0 is
            never.
        on_request: Called with the connection, the message id and a function that decodes the request.
        on_disconnected: Called for each open request of a connection that has ended, and of an abort.
        on_abandoned: Called for each open request of a connection that this side closes.
    """

    def __init__(self, scheduler: Scheduler, counters: Counters, log: Log, bounds: Bounds) -> None:
        """Start without a listener; `bounds` limits connections and bytes."""
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.max_lingering = bounds.connections // 8 + MIN_LINGERING_CONNECTIONS
        self.max_connections, self.max_unread_bytes = (
            bounds.connections - bounds.connections // 8,
            bounds.unread,
        )
        self.active: dict[Client, None] = {}
        self.idle: OrderedDict[Client, None] = OrderedDict()
        self.awaiting_message: OrderedDict[Client, int] = OrderedDict()
        self.awaiting_first_message: OrderedDict[Client, None] = OrderedDict()
        self.message_check_scheduled = False
        self.lingering: OrderedDict[Client, int] = OrderedDict()
        self.draining = False
        self.listener_closes_at = 0
        self.healthy = True
        self.health_details: Callable[[], dict[str, str]] = dict
        self.idle_timeout = 0
        self.idle_check_scheduled = False
        self.pool = SendBufferPool(bounds.unsent)
        self.listener: socket.socket | None = None
        self.on_request: Callable[[Client, int, Callable[[], DecodedRequest]], None]
        self.on_disconnected: Callable[[RequestContext], None]
        self.on_abandoned: Callable[[RequestContext], None]

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Open the listener and return its address, with the port that was chosen if 0 was given.

        Raises:
            OSError: If the address cannot be used.
        """
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> None:
        """Accept connections until the listener closes, as a task.

        Without room for a connection, without a descriptor, and while draining, it retries every 20 ms.
        """
        while self.listener is not None:
            if not self.draining:
                self.scheduler.wait(self.listener.fileno(), READ)
            if self.listener is None:
                return
            limit = None if self.draining else MAX_ACCEPTED_PER_TURN
            if self.has_room() and self.accept_ready(self.listener, limit) and not self.draining:
                continue
            # New connections wait in the system's accept queue until one here ends. Meanwhile the poller must
            # not report the listener as readable in each pass. While draining, new handshakes are blocked, so
            # that the listener may never become readable again.
            if self.listener is not None:
                self.scheduler.unregister(self.listener.fileno())
                self.scheduler.sleep(self.scheduler.now + ACCEPT_RETRY_DELAY)

    def accept_ready(self, listener: socket.socket, limit: int | None = None) -> bool:
        """Accept the connections that wait in the system's queue, while there is room.

        While draining, closes the listener if the queue is empty and the time for that has come.

        Args:
            listener: The listening socket.
            limit: The largest number to accept; None is no limit.

        Returns:
            False if the system has no descriptor or memory left.
        """
        for _ in count() if limit is None else range(limit):
            if not self.has_room():
                break
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self.draining and self.scheduler.now >= self.listener_closes_at:
                    self.close_listener()
                break
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.counters.count("clients.turned_away")
                    self.log.fault("accept_failed", why=error.strerror)
                    return False
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.add_connection(sock)
        return True

    def close_listener(self) -> None:
        """Close the listener, if it is open, which ends the `accept` task."""
        if self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def add_connection(self, sock: socket.socket) -> None:
        """Add an accepted connection and start its task; at a limit, evict another one first."""
        if len(self.active) >= self.max_connections:
            self.evict_one()
        if (
            self.lingering
            and len(self.active) + len(self.lingering) >= self.max_connections + self.max_lingering
        ):
            self.lingering.popitem(last=False)[0].connection.close("evicted to make room")
        client = Client(
            self,
            Connection(
                self.scheduler,
                sock,
                self.max_unread_bytes,
                MAX_UNSENT_BYTES,
                self.pool,
                reads_after_peer_closed=False,
            ),
        )
        client.connection.on_malformed = client.on_malformed
        self.active[client] = self.awaiting_first_message[client] = None
        self.await_message(client)
        self.counters.count("clients.opened")
        self.counters.peak("clients.connections", len(self.active))
        self.scheduler.spawn("router", lambda: self.serve(client))
        if self.draining:
            client.send_closing(DRAIN_CLOSING_TIMEOUT)

    def serve(self, client: Client) -> None:
        """Read a connection until it ends, as a task, then report its open requests as disconnected."""
        reason = "unhandled exception"
        try:
            reason = client.connection.serve(client.on_data)
        finally:
            client.connection.close(reason)
            self.remove(client)
            self.lingering.pop(client, None)
            self.counters.count("clients.closed")
            for context in list(client.open_requests.values()):
                self.on_disconnected(context)

    # ---- timeouts and eviction -----------------------------------------------------------------------------

    def remove(self, client: Client) -> None:
        """Remove a connection from all groups but `lingering`."""
        self.active.pop(client, None)
        if client.closing_timer is not None:
            client.closing_timer.cancel()
        for group in (self.idle, self.awaiting_message, self.awaiting_first_message):
            group.pop(client, None)

    def on_messages_read(self, client: Client, has_message: bool, has_partial: bool) -> None:
        """Update the groups of a connection after a read.

        Args:
            client: The connection that was read.
            has_message: Whether a complete message was read.
            has_partial: Whether the beginning of another one was read.
        """
        if has_message:
            self.awaiting_first_message.pop(client, None)
            self.awaiting_message.pop(client, None)
            self.update_idle(client)
        if has_partial and client not in self.awaiting_message:
            self.await_message(client)

    def update_idle(self, client: Client) -> None:
        """Move a connection to the end of the idle ones, or remove it from them if it is not idle."""
        self.idle.pop(client, None)
        if not client.open_requests and client in self.active:
            self.idle[client] = None

    def await_message(self, client: Client) -> None:
        """Start the message timeout of a connection."""
        self.awaiting_message[client] = self.scheduler.now
        if not self.message_check_scheduled:
            self.message_check_scheduled = True
            self.scheduler.at(self.scheduler.now + MESSAGE_CHECK_INTERVAL, self.close_overdue)

    def close_overdue(self) -> None:
        """Close connections whose message timeout has passed.

        Data that has arrived is read first, since this process may have been paused. A connection with open
        requests gets their responses before it is closed: a slow writer must not lose them with its
        incomplete message.
        """
        self.message_check_scheduled = False
        for client, since in list(self.awaiting_message.items()):
            if since > self.scheduler.now - MESSAGE_TIMEOUT:
                break
            client.connection.read(client.on_data)
            if (
                self.awaiting_message.get(client) == since
                and not client.open_requests
                and client.connection.open
            ):
                self.counters.count("clients.silent")
                self.close_client(client, "message timeout")
        if self.awaiting_message and not self.message_check_scheduled:
            self.message_check_scheduled = True
            self.scheduler.at(self.scheduler.now + MESSAGE_CHECK_INTERVAL, self.close_overdue)

    def has_room(self) -> bool:
        """Return whether another connection can be accepted, possibly by evicting one."""
        now = self.scheduler.now
        if len(self.active) + len(self.lingering) >= self.max_connections + self.max_lingering:
            # A lingering connection keeps its place for a minimum time, or its responses would be cut off in
            # the pass that closes it. That time is bounded: a peer that reads nothing must not block others.
            for client, since in islice(self.lingering.items(), 1):
                if since > now - (MIN_LINGER_TIME_UNSENT if client.connection.unsent else MIN_LINGER_TIME):
                    return False
        if len(self.active) < self.max_connections or any(self.silent_for(MIN_EVICTION_AGE)):
            return True
        # Silent ones that are too young to be evicted will be old enough before an idle one in use has to go.
        return bool(self.idle) and (
            not self.awaiting_first_message or self.is_long_idle(next(iter(self.idle)))
        )

    def evict_one(self) -> None:
        """Close one connection to make room for another.

        Silent connections must not keep routers out, and no request that has arrived unread may be lost.
        Candidates are connections that have sent no whole message for `SILENT_EVICTION_AGE`, then idle ones,
        the least recently used first, that were not used for `IDLE_EVICTION_AGE`, then younger ones without a
        message, then the other idle ones. Each is read before it is closed, and stays if it has sent a whole
        message or, if it is idle, anything. If all stay, the first without an open request is closed.
        """
        groups: tuple[tuple[Iterator[Client], Callable[[Client], bool]], ...] = (
            (self.silent_for(SILENT_EVICTION_AGE), self.evict_if_silent),
            (takewhile(self.is_long_idle, self.idle), self.evict_if_unused),
            (self.silent_for(MIN_EVICTION_AGE), self.evict_if_silent),
            (iter(self.idle), self.evict_if_unused),
        )
        were_read: list[Client] = []
        for candidates, evict_if_possible in groups:
            for client in list(islice(candidates, MAX_EVICTION_CANDIDATES)):
                if evict_if_possible(client):
                    return
                were_read.append(client)
        for client in were_read:
            if not client.open_requests:
                self.evict(client)
                return

    def evict_if_silent(self, client: Client) -> bool:
        """Evict a connection, unless it has sent a whole message by now; return whether it is evicted."""
        self.read_pending(client)
        if client in self.awaiting_first_message:
            self.evict(client)
        return client not in self.active

    def evict_if_unused(self, client: Client) -> bool:
        """Evict an idle connection, unless anything has arrived on it; return whether it is evicted."""
        is_unused = not self.read_pending(client) and not len(client.connection.buffer)
        if is_unused and not client.open_requests and client in self.active:
            self.evict(client)
        return client not in self.active

    def evict(self, client: Client) -> None:
        """Close a connection to make room for another, and count it."""
        self.close_client(client, "evicted to make room")
        self.counters.count("clients.made_room")

    def silent_for(self, age: int) -> Iterator[Client]:
        """Yield the connections that have not sent a complete message for `age` from their start."""
        latest_start = self.scheduler.now - age
        return takewhile(
            lambda client: self.awaiting_message[client] <= latest_start, self.awaiting_first_message
        )

    def is_long_idle(self, client: Client) -> bool:
        """Return whether nothing was received or sent on an idle connection for `IDLE_EVICTION_AGE`."""
        return client.connection.last_activity_at <= self.scheduler.now - IDLE_EVICTION_AGE

    # ---- closing one connection ----------------------------------------------------------------------------

    def close_if_idle(self, client: Client, reason: str) -> bool:
        """Close a connection if it has no open request and no incomplete message.

        Data that has arrived is read first: a request that arrives at the moment of the close would be lost.

        Args:
            client: The connection.
            reason: Why it is closed.

        Returns:
            Whether it is closed.
        """
        self.read_pending(client)
        stays = client.connection.open and client in self.active
        if stays and (client.open_requests or len(client.connection.buffer)):
            return False
        self.close_client(client, reason)
        return True

    @staticmethod
    def read_pending(client: Client) -> bool:
        """Read data that has arrived, at most `MAX_FINAL_READS` times; return whether there was any."""
        reads = 0
        while reads < MAX_FINAL_READS and client.connection.read(client.on_data):
            reads += 1
        return reads > 0

    def close_client(self, client: Client, reason: str) -> None:
        """Close a connection gracefully in any state.

        Its open requests are abandoned, which sends their responses; data received from now on is discarded.
        """
        for context in list(client.open_requests.values()):
            self.on_abandoned(context)
        self.remove(client)
        if client.connection.open:
            self.lingering[client] = self.scheduler.now
            client.connection.close_gracefully(reason)

    # ---- closing many --------------------------------------------------------------------------------------

    def set_idle_timeout(self, span: int) -> None:
        """Set after how long idle connections are notified that they close; 0 leaves that to the routers."""
        self.idle_timeout = span
        if span and not self.idle_check_scheduled:
            self.idle_check_scheduled = True
            self.close_idle()

    def close_idle(self) -> None:
        """Notify connections whose idle timeout has passed, least recently used first; schedule a repeat."""
        if not self.idle_timeout:
            self.idle_check_scheduled = False
            return
        self.scheduler.at(self.scheduler.now + IDLE_CHECK_INTERVAL, self.close_idle)
        for client in list(self.idle):
            if client.connection.last_activity_at > self.scheduler.now - self.idle_timeout:
                return
            client.send_closing()

    def start_draining(self) -> None:
        """Block new handshakes and notify all routers that their connections close.

        Connections in the system's queue are still accepted. The listener closes once the queue is empty, but
        not before `FINAL_ACCEPT_DELAY`.
        """
        if self.listener is not None and not self.draining:
            self.draining, self.listener_closes_at = True, self.scheduler.now + FINAL_ACCEPT_DELAY
            block_new_handshakes(self.listener)
            self.scheduler.wake(self.listener.fileno())  # from now on `accept` does not wait for the listener
            self.accept_ready(self.listener)
            self.scheduler.at(self.listener_closes_at, self.final_accept)
        for client in list(self.active):
            client.send_closing(DRAIN_CLOSING_TIMEOUT)

    def final_accept(self) -> None:
        """Accept what reached the system's queue before handshakes were blocked, then close the listener."""
        if self.listener is not None:
            self.accept_ready(self.listener)

    def close_all_gracefully(self, reason: str) -> None:
        """Close all connections gracefully.

        Data that has arrived is read first, so that each request read gets a response from `on_abandoned`.
        """
        for client in list(self.active):
            self.read_pending(client)
        for client in list(self.active):
            self.close_client(client, reason)

    def has_open_sockets(self) -> bool:
        """Return whether a connection or the listener is still open."""
        return bool(self.active or self.lingering or self.listener)

    def close_all(self) -> None:
        """Close the listener and all connections at once; drop what is unsent."""
        self.close_listener()
        for client in [*self.active, *self.lingering]:
            client.connection.close("process exits")


def block_new_handshakes(listener: socket.socket) -> None:
    """Make the system drop new SYN packets to a listener.

    Peers retransmit them, and are refused once the listener is closed. Otherwise the system could
    complete a handshake between the last `accept` and the close of the listener: the close would reset that
    connection, and its request would be lost. A system that does not accept the filter keeps that gap.
    """
    instructions = array("B", b"".join(struct.pack("HBBI", *line) for line in DROP_SYN_FILTER))
    filter_program = struct.pack("HP", len(DROP_SYN_FILTER), instructions.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)
