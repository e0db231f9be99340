"""MessagePack-RPC between members, planners and operators: the server's endpoint and the client's connection.

A request is `[0, id, method, [value]]`, its response `[1, id, error, [value, ...]]`. A value is one encoded
message as bytes; a response longer than the maximum of one value is split into several. This module does not
decode the messages.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, NamedTuple

from ..errors import BirchslipError
from ..net.buffer import Buffer, MalformedMessageError
from ..net.connection import Connection, connect
from ..net.message_reader import MessageReader, read_messages
from ..net.messagepack import MAX_ITEMS, MAX_VALUE_BYTES, pack
from ..net.scheduler import READ, Scheduler

# Message types of MessagePack-RPC.
REQUEST = 0
RESPONSE = 1
# Unread or unsent bytes of a connection, enough for the longest response.
BUFFER_LIMIT = MAX_ITEMS * MAX_VALUE_BYTES + 65_536
ACCEPT_BACKLOG = 1024
ERROR_LIMIT = 400  # characters of an error text
ACCEPT_RETRY_DELAY = 1_000  # 100 ms, after the system had no descriptors or memory left
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class RequestRefusedError(BirchslipError, OSError):
    """The peer has responded with an error; the connection stays usable."""


class RpcResult(NamedTuple):
    """The last two items of a response: an error text or the values."""

    error: str | None
    values: list[bytes] | None

    @classmethod
    def failure(cls, error: Exception) -> RpcResult:
        """Return the result of a request that was refused or has failed."""
        return cls(str(error)[:ERROR_LIMIT], None)

    @classmethod
    def success(cls, value: bytes) -> RpcResult:
        """Return the result of a request that has succeeded.

        Raises:
            MalformedMessageError: If the value is too long for a response.
        """
        return cls(None, split_value(value))


def split_value(value: bytes) -> list[bytes]:
    """Split a value into parts of the maximum length; an empty value yields one empty part.

    Raises:
        MalformedMessageError: If it has too many parts for one response.
    """
    parts = [value[start : start + MAX_VALUE_BYTES] for start in range(0, len(value), MAX_VALUE_BYTES)] or [
        b""
    ]
    if len(parts) > MAX_ITEMS:
        raise MalformedMessageError(f"{len(value)} bytes in one answer")
    return parts


def received_messages(buffer: Buffer, reader: MessageReader) -> Iterator[Any]:
    """Yield all complete messages in the buffer of a connection, with the reader of that connection.

    Raises:
        MalformedMessageError: After the last complete message, if the bytes that follow are malformed.
    """
    received, malformed_reason = read_messages(buffer, reader)
    yield from received
    if malformed_reason:
        raise MalformedMessageError(malformed_reason)


class DeferredReply:
    """A reply that is completed later.

    `complete` is called once, before or after the endpoint has set the recipient with `deliver_to`.
    """

    def __init__(self) -> None:
        """Create a reply without a result or recipient."""
        self.send: Callable[[RpcResult], None] | None = None
        self.result: RpcResult | None = None

    def complete(self, value: bytes | Exception) -> None:
        """Set the value or error to reply with, and send it if the recipient is set."""
        if isinstance(value, Exception):
            self.result = RpcResult.failure(value)
        else:
            self.result = RpcResult.success(value)
        if self.send is not None:
            self.send(self.result)

    def deliver_to(self, send: Callable[[RpcResult], None]) -> None:
        """Set the function that sends the reply, and call it if the result is set."""
        self.send = send
        if self.result is not None:
            send(self.result)


class IncomingConnection:
    """An accepted connection of an endpoint."""

    def __init__(self, endpoint: PlannerEndpoint, connection: Connection) -> None:
        """Wrap an open connection."""
        self.endpoint = endpoint
        self.connection = connection
        self.reader = MessageReader()

    def receive(self, buffer: Buffer) -> None:
        """Handle all complete requests in the buffer.

        Raises:
            MalformedMessageError: If one is malformed; the connection is closed then.
        """
        for request in received_messages(buffer, self.reader):
            match request:
                case [0, int(request_id), str(method), [bytes(value)]]:
                    self.reply(request_id, self.endpoint.handle(self, method, value))
                case _:
                    raise MalformedMessageError("a message of no known form")

    def reply(self, request_id: int, result: DeferredReply | RpcResult) -> None:
        """Send a result, at once or when a deferred reply is complete."""
        send = partial(self.send, request_id)
        if isinstance(result, DeferredReply):
            result.deliver_to(send)
        else:
            send(result)

    def send(self, request_id: int, result: RpcResult) -> None:
        """Write a response."""
        self.connection.write(pack([RESPONSE, request_id, *result]))


RequestHandler = Callable[[IncomingConnection, str, bytes], bytes | DeferredReply]
CloseHandler = Callable[[IncomingConnection, str], None]


class PlannerEndpoint:
    """Listens for connections and replies to requests."""

    def __init__(
        self,
        scheduler: Scheduler,
        max_connections: int,
        handler: RequestHandler,
        on_close: CloseHandler,
    ) -> None:
        """Create an endpoint that is not listening yet.

        Args:
            scheduler: Runs the tasks.
            max_connections: Further connections above this number are closed immediately.
            handler: Called with the connection, the method and the value; returns the value to reply with, or
                a `DeferredReply`. The text of a ValueError or OSError that it raises is sent to the client.
            on_close: Called with each closed connection and the reason.
        """
        self.scheduler = scheduler
        self.max_connections = max_connections
        self.handler = handler
        self.on_close = on_close
        self.connections: dict[IncomingConnection, None] = {}
        self.listener: socket.socket

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Bind to an address and listen; return the bound address, as port 0 selects a free port.

        Raises:
            OSError: If the address can't be bound.
        """
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(ACCEPT_BACKLOG)
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> None:
        """Accept connections as they arrive. Runs as a task that never ends."""
        while True:
            self.scheduler.wait(self.listener.fileno(), READ)
            self.accept_ready()

    def accept_ready(self) -> None:
        """Accept all pending connections; pause if the system has no descriptors or memory left."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in EXHAUSTION_ERRORS:
                    self.scheduler.sleep(self.scheduler.now + ACCEPT_RETRY_DELAY)
                return
            self.open_connection(accepted)

    def open_connection(self, accepted: socket.socket) -> None:
        """Start to serve an accepted connection, or close it if there are too many connections."""
        if len(self.connections) >= self.max_connections:
            accepted.close()
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self.scheduler, accepted, BUFFER_LIMIT, BUFFER_LIMIT)
        incoming = IncomingConnection(self, connection)
        self.connections[incoming] = None
        self.scheduler.spawn("connection", partial(self.serve_connection, incoming))

    def serve_connection(self, incoming: IncomingConnection) -> None:
        """Serve one connection until it is closed. Runs as a task."""
        reason = "unhandled exception"
        try:
            reason = incoming.connection.serve(incoming.receive)
        finally:
            incoming.connection.close(reason)
            del self.connections[incoming]
            self.on_close(incoming, reason)

    def handle(self, incoming: IncomingConnection, method: str, value: bytes) -> DeferredReply | RpcResult:
        """Pass a request to the handler and convert its errors to results."""
        try:
            reply = self.handler(incoming, method, value)
            return reply if isinstance(reply, DeferredReply) else RpcResult.success(reply)
        except (ValueError, OSError) as error:
            return RpcResult.failure(error)


class PeerConnection:
    """Client of one endpoint for one request at a time; connects on demand and stays connected."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        """Create a connection to `address` that is not connected yet."""
        self.scheduler = scheduler
        self.address = address
        self.connection: Connection | None = None
        self.reader = MessageReader()
        self.last_request_id = 0
        self.responses: dict[int, tuple[Any, Any]] = {}

    def call(self, method: str, value: bytes, deadline: int, params: list[Any] | None = None) -> bytes:
        """Send a request and wait for its response.

        Args:
            method: The method's name.
            value: The value, unless `params` is given.
            deadline: Latest time of the response, by the scheduler's clock.
            params: Parameters to send in place of the value.

        Returns:
            The value of the response, its parts joined.

        Raises:
            RequestRefusedError: If the peer responds with an error.
            OSError: If connecting fails, or no valid response arrives before the deadline.
        """
        connection = self.ensure_connected()
        self.last_request_id += 1
        request_id = self.last_request_id
        self.responses.clear()
        connection.write(pack([REQUEST, request_id, method, [value] if params is None else params]))
        while request_id not in self.responses:
            events = connection.step(self.receive, deadline)
            if not connection.open:
                raise OSError(connection.close_reason)
            is_late = not events or self.scheduler.now >= deadline
            if request_id not in self.responses and is_late:
                connection.close("no answer in time")
                raise OSError("no answer in time")
        error, values = self.responses.pop(request_id)
        if error is not None:
            raise RequestRefusedError(str(error)[:ERROR_LIMIT])
        if not isinstance(values, list):
            connection.close("an answer of no known form")
            raise OSError("an answer of no known form")
        return b"".join(part for part in values if isinstance(part, bytes))

    def ensure_connected(self) -> Connection:
        """Return the open connection; connect if there is none.

        Raises:
            OSError: If connecting fails.
        """
        if self.connection is None or not self.connection.open:
            opened = connect(self.scheduler, self.address)
            self.connection = Connection(self.scheduler, opened, BUFFER_LIMIT, BUFFER_LIMIT)
            self.reader = MessageReader()
        return self.connection

    def receive(self, buffer: Buffer) -> None:
        """Store all complete responses in the buffer; notifications are ignored.

        Raises:
            MalformedMessageError: If one is malformed; the connection is closed then.
        """
        for response in received_messages(buffer, self.reader):
            match response:
                case [1, int(request_id), error, values]:
                    self.responses[request_id] = (error, values)
                case [2, *_]:
                    pass
                case _:
                    raise MalformedMessageError("an answer of no known form")

    def close(self) -> None:
        """Close the connection; the next call connects again."""
        if self.connection is not None:
            self.connection.close("dropped")
            self.connection = None
