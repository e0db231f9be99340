"""The listening socket and the connections of all routers: who is accepted, timed out, evicted and closed.

Each connection has one greenlet; the number of connections, open requests and unread and unsent bytes is
bounded.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

import errno
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import count, islice, takewhile

from .bounds import Bounds
from .client import MAX_OPEN_REQUESTS, Client
from .connection import Connection, SendBufferPool
from .counters import Counters
from .handshake_filter import block_new_handshakes
from .log import Log
from .message_reader import read_messages as read_messages  # users of this package find it here
from .request_context import DecodedRequest, RequestContext
from .scheduler import READ, Scheduler

MAX_UNSENT_BYTES = MAX_OPEN_REQUESTS * 5_120  # a response of the largest size for each open request
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_DELAY = 200  # 20 ms, when there is no room or the system has no descriptor left
IDLE_CHECK_INTERVAL = 2_500  # 250 ms between checks, while an idle timeout is set
MESSAGE_TIMEOUT = 20_000  # 2 s from the connection's start, or from a message's first byte, to its last byte
MESSAGE_CHECK_INTERVAL = 2_000  # 200 ms between checks of the message timeout
SILENT_EVICTION_AGE = 2_000  # a connection without a message is the first to be evicted after 200 ms
IDLE_EVICTION_AGE = 20_000  # an idle one that was used within 2 s is evicted after all silent ones
MIN_EVICTION_AGE = 500  # and is never evicted within 50 ms: its first request is on its way
DRAIN_CLOSING_TIMEOUT = 5_000  # 500 ms while draining: the process has a deadline, but routers may read late
FINAL_ACCEPT_DELAY = 100  # 10 ms for handshakes in progress to reach the accept queue
MIN_LINGERING_CONNECTIONS = 4  # allowed beside the open ones, in addition to an eighth of the limit
MIN_LINGER_TIME = 200  # a lingering connection is not evicted before its peer had 20 ms to read responses
MIN_LINGER_TIME_UNSENT = 2_000  # or 200 ms, if some are still unsent
MAX_EVICTION_CANDIDATES = 8  # connections considered for one eviction
MAX_FINAL_READS = 16  # before a connection is closed; one read may not take all that was received
MAX_ACCEPTED_PER_TURN = 8  # connections


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
        reads = 0
        while client in self.awaiting_first_message and reads < MAX_FINAL_READS:
            reads += 1
            if not client.connection.read(client.on_data):
                self.evict(client)
        return client not in self.active

    def evict_if_unused(self, client: Client) -> bool:
        """Evict an idle connection, unless anything has arrived on it; return whether it is evicted."""
        has_input = client.connection.has_backlog or client.connection.read(client.on_data)
        is_in_use = has_input or client.open_requests or len(client.connection.buffer)
        if not is_in_use and client in self.active:
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
