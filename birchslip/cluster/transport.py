"""MessagePack-RPC among the fleet, on the program's own connections: a door that answers, a line that asks.

A message is `[0, number, method, [value]]`, its answer `[1, number, error, [value, ...]]`. A value is bytes
that hold a record; an answer longer than one value may hold goes as several.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import Any

from ..net.buffer import Buffer, Unreadable
from ..net.clients import messages
from ..net.connection import Connection, connect
from ..net.messagepack import LONGEST, WIDEST, pack
from ..net.scheduler import READ, Scheduler

BOUND = WIDEST * LONGEST + 65_536  # bytes unread or unsent on a connection: the longest answer
BACKLOG = 1024
NO_ROOM = 1_000


def pieces(raw: bytes) -> list[bytes]:
    """As values of an answer; Unreadable where it is too long for one."""
    parts = [raw[at : at + LONGEST] for at in range(0, len(raw), LONGEST)] or [b""]
    if len(parts) > WIDEST:
        raise Unreadable(f"{len(raw)} bytes in one answer")
    return parts


class DeferredReply:
    """An answer that is still to come; `done` is called once, with value or error, before or after the door
    has said by `bind` where it goes.
    """

    def __init__(self) -> None:
        self.send: Callable[[tuple[Any, Any]], None] | None = None
        self.said: tuple[Any, Any] | None = None

    def complete(self, value: bytes | Exception) -> None:
        self.said = (str(value)[:400], None) if isinstance(value, Exception) else (None, pieces(value))
        if self.send is not None:
            self.send(self.said)

    def deliver_to(self, send: Callable[[tuple[Any, Any]], None]) -> None:
        self.send = send
        if self.said is not None:
            send(self.said)


class IncomingConnection:
    """One connection at a door; `about` is what the handlers know of who is there."""

    def __init__(self, door: PlannerEndpoint, connection: Connection) -> None:
        self.endpoint, self.connection = door, connection
        self.about: Any = None

    def receive(self, buffer: Buffer) -> None:
        read, trouble = messages(buffer)
        for message in read:
            match message:
                case [0, int(number), str(method), [bytes(value)]]:
                    self.reply(number, self.endpoint.answer(self, method, value))
                case _:
                    raise Unreadable("a message of no known form")
        if trouble:
            raise Unreadable(trouble)

    def reply(self, number: int, answer: DeferredReply | tuple[Any, Any]) -> None:
        if isinstance(answer, DeferredReply):
            answer.deliver_to(lambda then: self.connection.write(pack([1, number, *then])))
        else:
            self.connection.write(pack([1, number, *answer]))


class PlannerEndpoint:
    """Listens and answers. `serve` is told guest, method and value, and returns the answer, or one that is
    still to come, or raises ValueError or OSError, whose text the other side hears; `gone` is told of each
    guest that has left.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        most: int,
        serve: Callable[[IncomingConnection, str, bytes], bytes | DeferredReply],
        gone: Callable[[IncomingConnection, str], None],
    ) -> None:
        self.scheduler, self.max_connections, self.handler, self.on_close = scheduler, most, serve, gone
        self.connections: dict[IncomingConnection, None] = {}
        self.listener: socket.socket

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> None:
        """The task that lets guests in."""
        while True:
            self.scheduler.wait(self.listener.fileno(), READ)
            while True:
                try:
                    sock, _ = self.listener.accept()
                except BlockingIOError:
                    break
                except OSError as trouble:
                    if trouble.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                        self.scheduler.sleep(self.scheduler.now + NO_ROOM)
                    break
                if len(self.connections) >= self.max_connections:
                    sock.close()
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                guest = IncomingConnection(self, Connection(self.scheduler, sock, BOUND, BOUND))
                self.connections[guest] = None
                self.scheduler.spawn("guest", lambda guest=guest: self.serve_connection(guest))  # type: ignore[misc]

    def serve_connection(self, guest: IncomingConnection) -> None:
        why = "a fault"
        try:
            why = guest.connection.serve(guest.receive)
        finally:
            guest.connection.close(why)
            del self.connections[guest]
            self.on_close(guest, why)

    def handle(self, guest: IncomingConnection, method: str, value: bytes) -> DeferredReply | tuple[Any, Any]:
        try:
            answer = self.handler(guest, method, value)
            return answer if isinstance(answer, DeferredReply) else (None, pieces(answer))
        except (ValueError, OSError) as trouble:
            return str(trouble)[:400], None


class PeerConnection:
    """Asks at one door, one question at a time; opened as needed and kept."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        self.scheduler, self.address = scheduler, address
        self.connection: Connection | None = None
        self.last_request_id = 0
        self.results: dict[int, tuple[Any, Any]] = {}

    def call(self, method: str, value: bytes, limit: int, params: list[Any] | None = None) -> bytes:
        """The answer, waited for until `limit` of the scheduler's clock; OSError says why there is none."""
        if self.connection is None or not self.connection.open:
            self.connection = Connection(self.scheduler, connect(self.scheduler, self.address), BOUND, BOUND)
        link = self.connection
        self.last_request_id += 1
        number = self.last_request_id
        self.results.clear()
        link.write(pack([0, number, method, [value] if params is None else params]))
        while number not in self.results:
            events = link.step(self.receive, limit)
            if not link.open:
                raise OSError(link.why)
            if number not in self.results and (not events or self.scheduler.now >= limit):
                link.close("no answer in time")
                raise OSError("no answer in time")
        error, result = self.results.pop(number)
        if error is not None:
            raise RequestRefusedError(str(error)[:400])
        if not isinstance(result, list):
            link.close("an answer of no known form")
            raise OSError("an answer of no known form")
        return b"".join(one for one in result if isinstance(one, bytes))

    def receive(self, buffer: Buffer) -> None:
        read, trouble = messages(buffer)
        for message in read:
            match message:
                case [1, int(number), error, result]:
                    self.results[number] = (error, result)
                case [2, *_]:
                    pass
                case _:
                    raise Unreadable("an answer of no known form")
        if trouble:
            raise Unreadable(trouble)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close("dropped")
            self.connection = None


class RequestRefusedError(OSError):
    """The other side has answered that it won't; the line is as good as before."""
