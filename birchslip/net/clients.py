"""The routers: MessagePack-RPC on the listening address."""

from __future__ import annotations

import errno
import re
import socket
import struct
from array import array
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import chain, islice
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
from .messagepack import IncompleteMessageError, pack, unpack
from .request_context import DecodedRequest, RequestContext
from .scheduler import READ, Scheduler

OVERLOADED, FAILED = "Overloaded", "Failed"  # the words of answers that are no result
ID_PATTERN, KEY_PATTERN = re.compile("[0-9a-f]{16}"), re.compile("[0-9a-f]{32}")
INTEGER_PATTERN, DECIMAL_PATTERN, FLAG_PATTERN = (
    re.compile("[0-9]{1,18}"),
    re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?"),
    re.compile("1"),
)
MAX_BODY_BYTES = 2048  # the largest body
MAX_FIELD_CHARS = 256  # characters of a field: a tenant may have a long name
MAX_NEED_KB = 2000  # KB: a transaction books less
MAX_TIMEOUT_MS = 3_600_000  # ms: no client waits for an hour
MAX_OPEN_REQUESTS = 32  # open transactions on one connection
MAX_UNSENT_BYTES = MAX_OPEN_REQUESTS * 5_120  # as many answers of the largest size
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_DELAY = 200  # accepting rests 20 ms when there is no room, or the system has no descriptor left
IDLE_CHECK_INTERVAL = 2_500  # while idle ones are to close, they are looked for four times a second
MESSAGE_TIMEOUT = (
    20_000  # a whole message is here within two seconds of its connection, or of its own first byte
)
MESSAGE_CHECK_INTERVAL = 2_000
SILENT_EVICTION_AGE = 2_000  # for 200 ms a new connection is not asked to make room while another can
MIN_EVICTION_AGE = 500  # and for 50 ms not at all: what it came to say is on its way
CLOSING_TIMEOUT = (
    20_000  # a connection told that it closes is ended here after two seconds, if nothing is open on it
)
DRAIN_CLOSING_TIMEOUT = (
    5_000  # after half a second where the program leaves: there is an end, but a router may hear late
)
FINAL_ACCEPT_DELAY = (
    100  # what is being opened as the program leaves has 10 ms to get into the system's queue
)
MIN_LINGERING_CONNECTIONS = 4  # ended connections may be there besides, and an eighth of all
MIN_LINGER_TIME = 200  # one is not cut off to make room before its answers have had 20 ms to be read
MIN_LINGER_TIME_UNSENT = 2_000  # or before 200 ms, where they have not all gone out
MAX_EVICTION_CANDIDATES = 8  # looked at to make room
MAX_FINAL_READS = (
    16  # of a connection that is to be ended, before it is judged: it may hold more than one read takes
)
SO_ATTACH_FILTER = 26  # SO_ATTACH_FILTER of Linux
# Its classic BPF on a TCP header: the flags; where SYN is set, nothing is kept of the packet, else all.
DROP_SYN_FILTER = ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))


class MessageType:
    """What a message is, by its first item."""

    REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2


def read_messages(buffer: Buffer) -> tuple[list[Any], str]:
    """All whole messages that have been read, and what is wrong behind them; what is cut off is left."""
    received = []
    malformed_reason = ""
    with memoryview(buffer.data) as view:
        position = buffer.start
        try:
            while position < buffer.end:
                message, position = unpack(view, position, buffer.end)
                received.append(message)
        except IncompleteMessageError:
            pass
        except MalformedMessageError as error:
            malformed_reason = str(error)
    buffer.skip(position - buffer.start)
    return received, malformed_reason


def parse_field(fields: dict[str, str], name: str, pattern: Pattern[str]) -> str:
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidInputError(f"{name} is absent or of a wrong form: {value[:40]!r}")
    return value


def parse_number(fields: dict[str, str], name: str, pattern: Pattern[str], low: float, high: float) -> float:
    """A figure from `low` to under `high`."""
    value = float(parse_field(fields, name, pattern))
    if not low <= value < high:
        raise InvalidInputError(f"{name} is out of range: {value:.15g}")
    return value


def decode_request(class_name: str, params: list[Any]) -> DecodedRequest:
    """A call's profile, fields and body; Malformed names what is wrong."""
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
        # Where callers don't say how long they wait, the settings bound it.
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
    """One router's connection."""

    def __init__(self, clients: Clients, connection: Connection) -> None:
        self.clients, self.connection = clients, connection
        self.open_requests: dict[int, RequestContext] = {}
        self.highest_message_id = 0
        self.closing_sent = False

    def on_data(self, buffer: Buffer) -> None:
        received, malformed_reason = read_messages(buffer)
        for message in received:
            self.handle_message(message)
        if malformed_reason:
            raise MalformedMessageError(malformed_reason)
        self.clients.on_messages_read(self, has_message=bool(received), has_partial=len(buffer) > 0)

    def handle_message(self, message: Any) -> None:
        match message:
            case [MessageType.REQUEST, int(), str(method), list(params)] if self.highest_message_id < message[
                1
            ] < 1 << 32:
                message_id = self.highest_message_id = message[1]
                # A class may be called like the check: a transaction has a body beside its fields.
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
                    self.clients.on_request(self, message_id, partial(decode_request, method, params))
            case [MessageType.NOTIFICATION, "abort", [int(message_id)]]:
                context = self.open_requests.get(message_id)
                if context is not None:
                    self.clients.on_disconnected(context)
            case [MessageType.NOTIFICATION, str(), list()]:
                self.clients.counters.count("clients.unknown_news")
            case [MessageType.REQUEST, int(), *_]:
                raise MalformedMessageError(
                    f"a call numbered {message[1]} after {self.highest_message_id}, or of a wrong form"
                )
            case _:
                raise MalformedMessageError("a message of no known form")

    # ---- answers -------------------------------------------------------------------------------------------

    def send_result(self, message_id: int, body: bytes) -> None:
        self.send(pack([MessageType.RESPONSE, message_id, None, [body, {}]]))

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """When to come back, in whole milliseconds rounded up; `stop_retrying` asks not to try elsewhere."""
        fields = {"holdoff": str(-(-retry_after // MS))} if retry_after else {}
        if stop_retrying:
            fields["nomore"] = "1"
        self.send(pack([MessageType.RESPONSE, message_id, [OVERLOADED, fields], None]))

    def send_error(self, message_id: int, reason: str = FAILED) -> None:
        self.send(pack([MessageType.RESPONSE, message_id, [reason, {}], None]))

    def send(self, message: bytes) -> None:
        self.connection.write(message)
        self.clients.update_idle(self)

    def send_closing(self, timeout: int = CLOSING_TIMEOUT) -> None:
        """The router sends nothing new then, and closes it once everything has been answered."""
        if not self.closing_sent and self.connection.open:
            self.closing_sent = True
            self.connection.write(pack([MessageType.NOTIFICATION, "closing", []]))
            self.clients.counters.count("clients.told_closing")
            self.schedule_close(timeout)

    def schedule_close(self, timeout: int) -> None:
        """Told to close: it is ended here if the router does not, once nothing is open on it."""

        def close_or_reschedule() -> None:
            if self in self.clients.active and not self.clients.close_if_idle(self, "closing"):
                self.schedule_close(timeout)

        self.clients.scheduler.at(self.clients.scheduler.now + timeout, close_or_reschedule)

    def on_malformed(self, reason: str) -> None:
        """What can't be read ends it; what was read before has its answers."""
        self.clients.counters.count("clients.malformed")
        self.clients.log.fault("malformed input from a router, its connection is ended", why=reason)
        self.clients.close_client(self, reason)


class Clients:
    """The listening socket and all connections on it.

    `owing` holds those from whom a whole message is due, and since when; `spare` those without an open
    transaction, the one that moved last at the end. Both guard against peers that take room and say nothing.
    """

    def __init__(self, scheduler: Scheduler, counters: Counters, log: Log, bounds: Bounds) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.max_lingering = bounds.connections // 8 + MIN_LINGERING_CONNECTIONS
        self.max_connections, self.max_unread_bytes = (
            bounds.connections - bounds.connections // 8,
            bounds.unread,
        )
        self.active: dict[Client, None] = {}
        self.idle: OrderedDict[Client, None] = OrderedDict()
        self.awaiting_message: OrderedDict[Client, int] = OrderedDict()
        self.awaiting_first_message: OrderedDict[Client, None] = (
            OrderedDict()
        )  # those that have not said anything whole yet
        self.message_check_scheduled = False
        self.lingering: OrderedDict[Client, int] = OrderedDict()  # ended in order, and since when
        self.draining = False
        self.listener_closes_at = 0
        self.healthy = True
        self.health_details: Callable[[], dict[str, str]] = dict  # what health checks are told besides
        self.idle_timeout = 0
        self.idle_check_scheduled = False
        self.pool = SendBufferPool(bounds.unsent)
        self.listener: socket.socket | None = None
        self.on_request: Callable[[Client, int, Callable[[], DecodedRequest]], None]
        self.on_disconnected: Callable[[RequestContext], None]
        self.on_abandoned: Callable[[RequestContext], None]

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> None:
        while self.listener is not None:
            if not self.has_room():
                # Left unaccepted, they wait in the system's queue until a connection ends.
                self.scheduler.unregister(self.listener.fileno())
                self.scheduler.sleep(self.scheduler.now + ACCEPT_RETRY_DELAY)
                continue
            if self.draining:
                # Nobody begins to open any more: it is not woken by what has come, but looks.
                self.scheduler.sleep(self.scheduler.now + ACCEPT_RETRY_DELAY)
            else:
                self.scheduler.wait(self.listener.fileno(), READ)
            if self.listener is not None and not self.accept_ready(self.listener):
                self.scheduler.sleep(self.scheduler.now + ACCEPT_RETRY_DELAY)

    def accept_ready(self, listener: socket.socket) -> bool:
        """All that wait in the system's queue, as far as there is room; false where no descriptor is left."""
        while self.has_room():
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self.draining and self.scheduler.now >= self.listener_closes_at:
                    self.close_listener()
                break
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.counters.count("clients.turned_away")
                    self.log.fault("no descriptor for a connection", why=error.strerror)
                    return False
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.add_connection(sock)
        return True

    def close_listener(self) -> None:
        if self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def add_connection(self, sock: socket.socket) -> None:
        if len(self.active) >= self.max_connections:
            self.evict_one()
        if (
            self.lingering
            and len(self.active) + len(self.lingering) >= self.max_connections + self.max_lingering
        ):
            self.lingering.popitem(last=False)[0].connection.close("room for another")
        client = Client(
            self, Connection(self.scheduler, sock, self.max_unread_bytes, MAX_UNSENT_BYTES, self.pool)
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
        reason = "a fault"
        try:
            reason = client.connection.serve(client.on_data)
        finally:
            client.connection.close(reason)
            self.remove(client)
            self.lingering.pop(client, None)
            self.counters.count("clients.closed")
            for context in list(client.open_requests.values()):
                self.on_disconnected(context)

    # ---- who may stay --------------------------------------------------------------------------------------

    def remove(self, client: Client) -> None:
        self.active.pop(client, None)
        for group in (self.idle, self.awaiting_message, self.awaiting_first_message):
            group.pop(client, None)

    def on_messages_read(self, client: Client, has_message: bool, has_partial: bool) -> None:
        """Something has been read: whole messages, and perhaps the beginning of another."""
        if has_message:
            self.awaiting_first_message.pop(client, None)
            self.awaiting_message.pop(client, None)
            self.update_idle(client)
        if has_partial and client not in self.awaiting_message:
            self.await_message(client)

    def update_idle(self, client: Client) -> None:
        """It has moved; without an open transaction it is one that may be closed to make room."""
        self.idle.pop(client, None)
        if not client.open_requests and client in self.active:
            self.idle[client] = None

    def await_message(self, client: Client) -> None:
        self.awaiting_message[client] = self.scheduler.now
        if not self.message_check_scheduled:
            self.message_check_scheduled = True
            self.scheduler.at(self.scheduler.now + MESSAGE_CHECK_INTERVAL, self.close_overdue)

    def close_overdue(self) -> None:
        """Who has owed a message for too long is ended; what lies ready is read before: we may be late.

        One that waits for answers gets them first: guards against a slow writer whose other transactions
        would be lost with the half one.
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
                self.close_client(client, "no whole message in time")
        if self.awaiting_message and not self.message_check_scheduled:
            self.message_check_scheduled = True
            self.scheduler.at(self.scheduler.now + MESSAGE_CHECK_INTERVAL, self.close_overdue)

    def has_room(self) -> bool:
        now = self.scheduler.now
        if len(self.active) + len(self.lingering) >= self.max_connections + self.max_lingering:
            # Guards against answers that are cut off in the pass in which their connection was ended, and
            # against one that reads nothing and would keep all others out.
            for client, since in islice(self.lingering.items(), 1):
                if since > now - (MIN_LINGER_TIME_UNSENT if client.connection.unsent else MIN_LINGER_TIME):
                    return False
        if len(self.active) < self.max_connections or self.idle:
            return True
        return any(
            self.awaiting_message[client] <= now - MIN_EVICTION_AGE
            for client in islice(self.awaiting_first_message, 1)
        )

    def evict_one(self) -> None:
        """At the bound, one that has said nothing since a while goes, then the one that moved longest ago.

        Guards against crowds that say nothing, and against ending one whose transaction lies unread.
        """
        silent = (
            client
            for client in self.awaiting_first_message
            if self.awaiting_message[client] <= self.scheduler.now - SILENT_EVICTION_AGE
        )
        candidates = list(
            islice(chain(silent, self.idle, self.awaiting_first_message), MAX_EVICTION_CANDIDATES)
        )
        victim = next(
            (
                client
                for client in candidates
                if self.close_if_idle(client, "room for another", only_if_silent=True)
            ),
            None,
        )
        if victim is None and (
            victim := next((client for client in candidates if not client.open_requests), None)
        ):
            self.close_client(victim, "room for another")  # each has said something: the first of them
        if victim is not None:
            self.counters.count("clients.made_room")

    # ---- ending one connection -----------------------------------------------------------------------------

    def close_if_idle(self, client: Client, reason: str, only_if_silent: bool = False) -> bool:
        """End it if nothing is open on it, or only if it says nothing just now; whether it ends.

        What lies ready is read before, and half a message is waited for: guards against a transaction that
        comes in the moment of the close, which would be lost with it.
        """
        had_input = self.read_pending(client)
        stays = client.connection.open and client in self.active
        if stays and (
            client.open_requests or len(client.connection.buffer) or (had_input and only_if_silent)
        ):
            return False
        self.close_client(client, reason)
        return True

    @staticmethod
    def read_pending(client: Client) -> bool:
        """What lies ready on it is read; whether anything did."""
        reads = 0
        while reads < MAX_FINAL_READS and client.connection.read(client.on_data):
            reads += 1
        return reads > 0

    def close_client(self, client: Client, reason: str) -> None:
        """End it whatever is on it: what is open is answered now, and what comes from now on is not taken."""
        for context in list(client.open_requests.values()):
            self.on_abandoned(context)
        self.remove(client)
        if client.connection.open:
            self.lingering[client] = self.scheduler.now
            client.connection.close_gracefully(reason)

    # ---- closing -------------------------------------------------------------------------------------------

    def set_idle_timeout(self, span: int) -> None:
        """Connections that carry nothing for so long are told to close; 0 leaves that to the routers."""
        self.idle_timeout = span
        if span and not self.idle_check_scheduled:
            self.idle_check_scheduled = True
            self.close_idle()

    def close_idle(self) -> None:
        """Those at the head have carried nothing for the longest time."""
        if not self.idle_timeout:
            self.idle_check_scheduled = False
            return
        self.scheduler.at(self.scheduler.now + IDLE_CHECK_INTERVAL, self.close_idle)
        for client in list(self.idle):
            if client.connection.last_activity_at > self.scheduler.now - self.idle_timeout:
                return
            client.send_closing()

    def start_draining(self) -> None:
        """Nobody new, and those who are here hear it; what lies in the system's queue is still taken."""
        if self.listener is not None and not self.draining:
            self.draining, self.listener_closes_at = True, self.scheduler.now + FINAL_ACCEPT_DELAY
            block_new_handshakes(self.listener)
            self.accept_ready(self.listener)
            self.scheduler.at(self.listener_closes_at, self.final_accept)
        for client in list(self.active):
            client.send_closing(DRAIN_CLOSING_TIMEOUT)

    def final_accept(self) -> None:
        if self.listener is not None:
            self.accept_ready(self.listener)

    def close_all_gracefully(self, reason: str) -> None:
        """All of them; what lies ready is read before, and is for `given_up` to answer."""
        for client in list(self.active):
            self.read_pending(client)
        for client in list(self.active):
            self.close_client(client, reason)

    def has_open_sockets(self) -> bool:
        """Whether anyone is here still, or may yet be let in."""
        return bool(self.active or self.lingering or self.listener)

    def close_all(self) -> None:
        self.close_listener()
        for client in [*self.active, *self.lingering]:
            client.connection.close("the program ends")


def block_new_handshakes(listener: socket.socket) -> None:
    """From now on nobody begins to open a connection: not heard, it tries again, and is refused then.

    Guards against a connection that the system accepts between the last look into the queue and the close:
    the close would reset it, and the transaction on it would be lost. Where the system takes no such filter
    the gap between the two calls stays.
    """
    instructions = array("B", b"".join(struct.pack("HBBI", *line) for line in DROP_SYN_FILTER))
    filter_program = struct.pack("HP", len(DROP_SYN_FILTER), instructions.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)
