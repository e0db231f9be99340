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
from .buffer import Buffer, Unreadable
from .connection import Connection, Pool
from .counters import Counters
from .log import Log
from .messagepack import IncompleteMessageError, pack, unpack
from .request_context import DecodedRequest, RequestContext
from .scheduler import READ, Scheduler

SHED, WRITTEN_OFF = "Overloaded", "Failed"  # the words of answers that are no result
NAME, LABEL = re.compile("[0-9a-f]{16}"), re.compile("[0-9a-f]{32}")
WHOLE, DECIMAL, MARK = re.compile("[0-9]{1,18}"), re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?"), re.compile("1")
BODY = 2048  # the largest body
FIELD = 256  # characters of a field: a tenant may have a long name
NEED = 2000  # KB: a transaction books less
LONGEST_WAIT = 3_600_000  # ms: no client waits for an hour
OPEN_MOST = 32  # open transactions on one connection
BOUND_OUT = OPEN_MOST * 5_120  # as many answers of the largest size
BACKLOG = 1024
NO_ROOM_WAIT = 200  # accepting rests 20 ms when there is no room, or the system has no descriptor left
IDLE_EVERY = 2_500  # while idle ones are to close, they are looked for four times a second
WORD = 20_000  # a whole message is here within two seconds of its connection, or of its own first byte
WORD_EVERY = 2_000
FRESH = 2_000  # for 200 ms a new connection is not asked to make room while another can
YOUNG = 500  # and for 50 ms not at all: what it came to say is on its way
SPARE = 20_000  # a connection told that it closes is ended here after two seconds, if nothing is open on it
LEAVING = 5_000  # after half a second where the program leaves: there is an end, but a router may hear late
LAST_LOOK = 100  # what is being opened as the program leaves has 10 ms to get into the system's queue
LINGERING = 4  # ended connections may be there besides, and an eighth of all
LINGER_LEAST = 200  # one is not cut off to make room before its answers have had 20 ms to be read
LINGER_UNREAD = 2_000  # or before 200 ms, where they have not all gone out
CANDIDATES = 8  # looked at to make room
READS = 16  # of a connection that is to be ended, before it is judged: it may hold more than one read takes
ATTACH_FILTER = 26  # SO_ATTACH_FILTER of Linux
# Its classic BPF on a TCP header: the flags; where SYN is set, nothing is kept of the packet, else all.
NO_SYN = ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))


class Type:
    """What a message is, by its first item."""

    CALL, REPLY, NEWS = 0, 1, 2


def messages(buffer: Buffer) -> tuple[list[Any], str]:
    """All whole messages that have been read, and what is wrong behind them; what is cut off is left."""
    read = []
    trouble = ""
    with memoryview(buffer.data) as view:
        at = buffer.start
        try:
            while at < buffer.end:
                message, at = unpack(view, at, buffer.end)
                read.append(message)
        except IncompleteMessageError:
            pass
        except Unreadable as why:
            trouble = str(why)
    buffer.skip(at - buffer.start)
    return read, trouble


def matched(fields: dict[str, str], name: str, form: Pattern[str]) -> str:
    value = fields.get(name, "")
    if not form.fullmatch(value):
        raise InvalidInputError(f"{name} is absent or of a wrong form: {value[:40]!r}")
    return value


def ranged(fields: dict[str, str], name: str, form: Pattern[str], low: float, high: float) -> float:
    """A figure from `low` to under `high`."""
    value = float(matched(fields, name, form))
    if not low <= value < high:
        raise InvalidInputError(f"{name} is out of range: {value:.15g}")
    return value


def decode_request(class_name: str, params: list[Any]) -> DecodedRequest:
    """A call's profile, fields and body; Malformed names what is wrong."""
    match params:
        case [dict(fields), bytes(body)] if len(body) <= BODY:
            pass
        case _:
            raise InvalidInputError(f"not fields and a body of at most {BODY} bytes")
    for field, value in fields.items():
        if not isinstance(field, str) or not isinstance(value, str) or len(value) > FIELD:
            raise InvalidInputError(f"a field that is not text of at most {FIELD} characters")
    ranged(fields, "level", DECIMAL, 0, 1)
    need = ranged(fields, "need", DECIMAL, 0, NEED)
    if not need:
        raise InvalidInputError("need is 0")
    if "subject" in fields:
        matched(fields, "subject", NAME)
    return DecodedRequest(
        request_id=matched(fields, "req", NAME),
        class_name=class_name,
        body=body,
        router_timestamp=int(ranged(fields, "ts", WHOLE, 0, 1 << 50)) * MS,
        # Where callers don't say how long they wait, the settings bound it.
        timeout=int(
            ranged(fields, "timeout", WHOLE, 1, LONGEST_WAIT) if "timeout" in fields else LONGEST_WAIT
        )
        * MS,
        caller=int(matched(fields, "via", WHOLE)),
        tenant=fields.get("owner", ""),
        size=ceil(need * 1024),
        is_retry="resent" in fields and bool(matched(fields, "resent", MARK)),
        idempotency_key=matched(fields, "opkey", LABEL) if "opkey" in fields else "",
        has_subject="subject" in fields,
    )


class Client:
    """One router's connection."""

    def __init__(self, clients: Clients, connection: Connection) -> None:
        self.clients, self.connection = clients, connection
        self.open_requests: dict[int, RequestContext] = {}
        self.highest = 0
        self.closing = False

    def take(self, buffer: Buffer) -> None:
        read, trouble = messages(buffer)
        for message in read:
            self.message(message)
        if trouble:
            raise Unreadable(trouble)
        self.clients.heard(self, whole=bool(read), begun=len(buffer) > 0)

    def message(self, message: Any) -> None:
        match message:
            case [Type.CALL, int(), str(method), list(params)] if self.highest < message[1] < 1 << 32:
                at = self.highest = message[1]
                # A class may be called like the check: a transaction has a body beside its fields.
                if method == "ping" and len(params) < 2:
                    self.clients.counters.count("clients.pings")
                    self.send(pack([Type.REPLY, at, None, [self.clients.good, self.clients.health()]]))
                elif len(self.open_requests) >= OPEN_MOST:
                    self.clients.counters.count("clients.too_many")
                    self.send_error(at, f"more than {OPEN_MOST} open transactions")
                else:
                    self.clients.on_request(self, at, partial(decode_request, method, params))
            case [Type.NEWS, "abort", [int(at)]]:
                context = self.open_requests.get(at)
                if context is not None:
                    self.clients.gone(context)
            case [Type.NEWS, str(), list()]:
                self.clients.counters.count("clients.unknown_news")
            case [Type.CALL, int(), *_]:
                raise Unreadable(f"a call numbered {message[1]} after {self.highest}, or of a wrong form")
            case _:
                raise Unreadable("a message of no known form")

    # ---- answers -------------------------------------------------------------------------------------------

    def send_result(self, message_id: int, body: bytes) -> None:
        self.send(pack([Type.REPLY, message_id, None, [body, {}]]))

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """When to come back, in whole milliseconds rounded up; `stop_retrying` asks not to try elsewhere."""
        fields = {"holdoff": str(-(-retry_after // MS))} if retry_after else {}
        if stop_retrying:
            fields["nomore"] = "1"
        self.send(pack([Type.REPLY, message_id, [SHED, fields], None]))

    def send_error(self, message_id: int, why: str = WRITTEN_OFF) -> None:
        self.send(pack([Type.REPLY, message_id, [why, {}], None]))

    def send(self, message: bytes) -> None:
        self.connection.write(message)
        self.clients.rest(self)

    def say_closing(self, patience: int = SPARE) -> None:
        """The router sends nothing new then, and closes it once everything has been answered."""
        if not self.closing and self.connection.open:
            self.closing = True
            self.connection.write(pack([Type.NEWS, "closing", []]))
            self.clients.counters.count("clients.told_closing")
            self.end_spare(patience)

    def end_spare(self, patience: int) -> None:
        """Told to close: it is ended here if the router does not, once nothing is open on it."""

        def look() -> None:
            if self in self.clients.all and not self.clients.finish(self, "closing"):
                self.end_spare(patience)

        self.clients.scheduler.at(self.clients.scheduler.now + patience, look)

    def spoilt(self, why: str) -> None:
        """What can't be read ends it; what was read before has its answers."""
        self.clients.counters.count("clients.malformed")
        self.clients.log.fault("malformed input from a router, its connection is ended", why=why)
        self.clients.dismiss(self, why)


class Clients:
    """The listening socket and all connections on it.

    `owing` holds those from whom a whole message is due, and since when; `spare` those without an open
    transaction, the one that moved last at the end. Both guard against peers that take room and say nothing.
    """

    def __init__(self, scheduler: Scheduler, counters: Counters, log: Log, bounds: Bounds) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.lingering = bounds.connections // 8 + LINGERING
        self.most, self.unread = bounds.connections - bounds.connections // 8, bounds.unread
        self.all: dict[Client, None] = {}
        self.spare: OrderedDict[Client, None] = OrderedDict()
        self.owing: OrderedDict[Client, int] = OrderedDict()
        self.fresh: OrderedDict[Client, None] = OrderedDict()  # those that have not said anything whole yet
        self.judging = False
        self.ending: OrderedDict[Client, int] = OrderedDict()  # ended in order, and since when
        self.leaving = False
        self.shut_at = 0
        self.good = True
        self.health: Callable[[], dict[str, str]] = dict  # what health checks are told besides
        self.idle = 0
        self.looking = False
        self.pool = Pool(bounds.unsent)
        self.listener: socket.socket | None = None
        self.on_request: Callable[[Client, int, Callable[[], DecodedRequest]], None]
        self.gone: Callable[[RequestContext], None]
        self.given_up: Callable[[RequestContext], None]

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> None:
        while self.listener is not None:
            if not self.has_room():
                # Left unaccepted, they wait in the system's queue until a connection ends.
                self.scheduler.forget(self.listener.fileno())
                self.scheduler.sleep(self.scheduler.now + NO_ROOM_WAIT)
                continue
            if self.leaving:
                # Nobody begins to open any more: it is not woken by what has come, but looks.
                self.scheduler.sleep(self.scheduler.now + NO_ROOM_WAIT)
            else:
                self.scheduler.wait(self.listener.fileno(), READ)
            if self.listener is not None and not self.accept_ready(self.listener):
                self.scheduler.sleep(self.scheduler.now + NO_ROOM_WAIT)

    def accept_ready(self, listener: socket.socket) -> bool:
        """All that wait in the system's queue, as far as there is room; false where no descriptor is left."""
        while self.has_room():
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                if self.leaving and self.scheduler.now >= self.shut_at:
                    self.shut_listener()
                break
            except OSError as trouble:
                if trouble.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.counters.count("clients.turned_away")
                    self.log.fault("no descriptor for a connection", why=trouble.strerror)
                    return False
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.begin(sock)
        return True

    def shut_listener(self) -> None:
        if self.listener is not None:
            self.scheduler.forget(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def begin(self, sock: socket.socket) -> None:
        if len(self.all) >= self.most:
            self.make_room()
        if self.ending and len(self.all) + len(self.ending) >= self.most + self.lingering:
            self.ending.popitem(last=False)[0].connection.close("room for another")
        client = Client(self, Connection(self.scheduler, sock, self.unread, BOUND_OUT, self.pool))
        client.connection.spoilt = client.spoilt
        self.all[client] = self.fresh[client] = None
        self.owe(client)
        self.counters.count("clients.opened")
        self.counters.peak("clients.connections", len(self.all))
        self.scheduler.spawn("router", lambda: self.serve(client))
        if self.leaving:
            client.say_closing(LEAVING)

    def serve(self, client: Client) -> None:
        why = "a fault"
        try:
            why = client.connection.serve(client.take)
        finally:
            client.connection.close(why)
            self.leave_out(client)
            self.ending.pop(client, None)
            self.counters.count("clients.closed")
            for context in list(client.open_requests.values()):
                self.gone(context)

    # ---- who may stay --------------------------------------------------------------------------------------

    def leave_out(self, client: Client) -> None:
        self.all.pop(client, None)
        for some in (self.spare, self.owing, self.fresh):
            some.pop(client, None)

    def heard(self, client: Client, whole: bool, begun: bool) -> None:
        """Something has been read: whole messages, and perhaps the beginning of another."""
        if whole:
            self.fresh.pop(client, None)
            self.owing.pop(client, None)
            self.rest(client)
        if begun and client not in self.owing:
            self.owe(client)

    def rest(self, client: Client) -> None:
        """It has moved; without an open transaction it is one that may be closed to make room."""
        self.spare.pop(client, None)
        if not client.open_requests and client in self.all:
            self.spare[client] = None

    def owe(self, client: Client) -> None:
        self.owing[client] = self.scheduler.now
        if not self.judging:
            self.judging = True
            self.scheduler.at(self.scheduler.now + WORD_EVERY, self.judge)

    def judge(self) -> None:
        """Who has owed a message for too long is ended; what lies ready is read before: we may be late.

        One that waits for answers gets them first: guards against a slow writer whose other transactions
        would be lost with the half one.
        """
        self.judging = False
        for client, since in list(self.owing.items()):
            if since > self.scheduler.now - WORD:
                break
            client.connection.read(client.take)
            if self.owing.get(client) == since and not client.open_requests and client.connection.open:
                self.counters.count("clients.silent")
                self.dismiss(client, "no whole message in time")
        if self.owing and not self.judging:
            self.judging = True
            self.scheduler.at(self.scheduler.now + WORD_EVERY, self.judge)

    def has_room(self) -> bool:
        now = self.scheduler.now
        if len(self.all) + len(self.ending) >= self.most + self.lingering:
            # Guards against answers that are cut off in the pass in which their connection was ended, and
            # against one that reads nothing and would keep all others out.
            for client, since in islice(self.ending.items(), 1):
                if since > now - (LINGER_UNREAD if client.connection.unsent else LINGER_LEAST):
                    return False
        if len(self.all) < self.most or self.spare:
            return True
        return any(self.owing[client] <= now - YOUNG for client in islice(self.fresh, 1))

    def make_room(self) -> None:
        """At the bound, one that has said nothing since a while goes, then the one that moved longest ago.

        Guards against crowds that say nothing, and against ending one whose transaction lies unread.
        """
        silent = (client for client in self.fresh if self.owing[client] <= self.scheduler.now - FRESH)
        some = list(islice(chain(silent, self.spare, self.fresh), CANDIDATES))
        one = next((client for client in some if self.finish(client, "room for another", mute=True)), None)
        if one is None and (one := next((client for client in some if not client.open_requests), None)):
            self.dismiss(one, "room for another")  # each has said something: the first of them
        if one is not None:
            self.counters.count("clients.made_room")

    # ---- ending one connection -----------------------------------------------------------------------------

    def finish(self, client: Client, why: str, mute: bool = False) -> bool:
        """End it if nothing is open on it, or only if it says nothing just now; whether it ends.

        What lies ready is read before, and half a message is waited for: guards against a transaction that
        comes in the moment of the close, which would be lost with it.
        """
        heard = self.hear(client)
        stays = client.connection.open and client in self.all
        if stays and (client.open_requests or len(client.connection.buffer) or (heard and mute)):
            return False
        self.dismiss(client, why)
        return True

    @staticmethod
    def hear(client: Client) -> bool:
        """What lies ready on it is read; whether anything did."""
        reads = 0
        while reads < READS and client.connection.read(client.take):
            reads += 1
        return reads > 0

    def dismiss(self, client: Client, why: str) -> None:
        """End it whatever is on it: what is open is answered now, and what comes from now on is not taken."""
        for context in list(client.open_requests.values()):
            self.given_up(context)
        self.leave_out(client)
        if client.connection.open:
            self.ending[client] = self.scheduler.now
            client.connection.end(why)

    # ---- closing -------------------------------------------------------------------------------------------

    def set_idle(self, span: int) -> None:
        """Connections that carry nothing for so long are told to close; 0 leaves that to the routers."""
        self.idle = span
        if span and not self.looking:
            self.looking = True
            self.close_idle()

    def close_idle(self) -> None:
        """Those at the head have carried nothing for the longest time."""
        if not self.idle:
            self.looking = False
            return
        self.scheduler.at(self.scheduler.now + IDLE_EVERY, self.close_idle)
        for client in list(self.spare):
            if client.connection.last > self.scheduler.now - self.idle:
                return
            client.say_closing()

    def leave(self) -> None:
        """Nobody new, and those who are here hear it; what lies in the system's queue is still taken."""
        if self.listener is not None and not self.leaving:
            self.leaving, self.shut_at = True, self.scheduler.now + LAST_LOOK
            deafen(self.listener)
            self.accept_ready(self.listener)
            self.scheduler.at(self.shut_at, self.last_look)
        for client in list(self.all):
            client.say_closing(LEAVING)

    def last_look(self) -> None:
        if self.listener is not None:
            self.accept_ready(self.listener)

    def end(self, why: str) -> None:
        """All of them; what lies ready is read before, and is for `given_up` to answer."""
        for client in list(self.all):
            self.hear(client)
        for client in list(self.all):
            self.dismiss(client, why)

    def remain(self) -> bool:
        """Whether anyone is here still, or may yet be let in."""
        return bool(self.all or self.ending or self.listener)

    def close_all(self) -> None:
        self.shut_listener()
        for client in [*self.all, *self.ending]:
            client.connection.close("the program ends")


def deafen(listener: socket.socket) -> None:
    """From now on nobody begins to open a connection: not heard, it tries again, and is refused then.

    Guards against a connection that the system accepts between the last look into the queue and the close:
    the close would reset it, and the transaction on it would be lost. Where the system takes no such filter
    the gap between the two calls stays.
    """
    program = array("B", b"".join(struct.pack("HBBI", *line) for line in NO_SYN))
    told = struct.pack("HP", len(NO_SYN), program.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, told)
