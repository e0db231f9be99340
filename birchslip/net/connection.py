"""TCP connections: one task reads each; all writes of a scheduler pass are sent together at its end.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections import deque
from collections.abc import Callable
from itertools import islice

from .buffer import Buffer, MalformedMessageError
from .scheduler import HANGUP_OR_ERROR, READ, WRITE, Scheduler, Timer

MAX_PIECES_PER_SEND = 64
LINGER_TIMEOUT = 10_000  # a graceful close waits 1 s at most for the peer to close its side
MAX_DISCARDED_BYTES = 65_536  # during a graceful close; a peer that sends more ignores the close
CONNECT_TIMEOUT = 10_000  # after 1 s an attempt counts as refused
PEER_CLOSED = select.POLLRDHUP | HANGUP_OR_ERROR
TURN_PAUSE_FACTOR = 3  # a connection with a backlog waits for this multiple of the time that its turn took
MAX_TURN_PAUSE = 200  # 20 ms; the time of a turn includes any in which this process was stopped


class SendBufferPool:
    """The bytes unsent on several connections together, and their limit."""

    def __init__(self, max_bytes: int) -> None:
        """Start empty, with a limit of `max_bytes`."""
        self.max_bytes = max_bytes
        self.unsent_bytes = 0


class Connection:
    """A connected socket with buffers for both directions.

    A peer that reads too slowly is disconnected: when more than `max_unsent_bytes` remain unsent to it, or
    when any do while all connections of the pool together exceed the limit of the pool.

    Attributes:
        buffer: Bytes that were read and not yet consumed.
        unsent: Writes that are still to be sent, `unsent_bytes` in all.
        written_bytes: Bytes that `write` has accepted since the connection was opened.
        sent_bytes: How many of these the system has taken; the peer can't have received any others.
        has_backlog: Whether `on_data` has left complete messages in the buffer for a later turn. Nothing more
            is read from the socket until then.
        next_turn_at: When that turn begins.
        open: Whether the socket is open; it stays open during a graceful close.
        linger_timer: Set during a graceful close; data received from then on is discarded.
        discarded_bytes: Bytes received since a graceful close began.
        peer_closed: Whether the peer closed its side during a graceful close.
        close_reason: Why the connection was closed, or is being closed.
        malformed: Whether the peer has sent malformed data.
        on_malformed: Called with the reason in place of `close` when data is malformed, for an owner that has
            to do more than close. Removed at the close: the reference cycle would keep both objects and the
            buffer in memory until the next garbage collection.
        last_activity_at: When bytes were last received or sent.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        max_unread_bytes: int,
        max_unsent_bytes: int,
        pool: SendBufferPool | None = None,
        sends_after_peer_closed: bool = True,
        reads_after_peer_closed: bool = True,
    ) -> None:
        """Wrap a non-blocking socket.

        Args:
            scheduler: Scheduler whose tasks read and whose passes send.
            sock: The socket.
            max_unread_bytes: Largest size of the receive buffer.
            max_unsent_bytes: Unsent bytes past which the peer reads too slowly.
            pool: Counts the unsent bytes of several connections; None makes one with the limit
                `max_unsent_bytes`.
            sends_after_peer_closed: Whether to send to a peer that has closed its side; otherwise the
                connection is closed, with what is unsent.
            reads_after_peer_closed: Whether to read what a peer has sent before it closed its side; otherwise
                the connection is closed as soon as that is known, with what is unread.
        """
        self.scheduler, self.sock, self.max_unsent_bytes = scheduler, sock, max_unsent_bytes
        self.sends_after_peer_closed = sends_after_peer_closed
        self.reads_after_peer_closed = reads_after_peer_closed
        self.pool = pool or SendBufferPool(max_unsent_bytes)
        self.descriptor = sock.fileno()
        self.buffer = Buffer(max_unread_bytes)
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.written_bytes = self.sent_bytes = 0
        self.has_backlog = False
        self.next_turn_at = 0
        self.open = True
        self.flush_scheduled = False
        self.linger_timer: Timer | None = None
        self.discarded_bytes = 0
        self.peer_closed = False
        self.close_reason = ""
        self.malformed = False
        self.on_malformed: Callable[[str], None] | None = None
        self.last_activity_at = scheduler.now

    def serve(self, on_data: Callable[[Buffer], None]) -> str:
        """Read until the connection closes, call `on_data` after each read, and return the close reason."""
        while self.open:
            self.step(on_data)
        return self.close_reason

    def step(self, on_data: Callable[[Buffer], None], until: int | None = None) -> int:
        """Wait once, then send and read as the socket is ready.

        Returns:
            The events, or 0 at the time `until` or if the connection was closed meanwhile.
        """
        events = self.scheduler.wait(
            self.descriptor, self.event_mask(), self.next_turn_at if self.has_backlog else until
        )
        if self.open and events & PEER_CLOSED and self.closes_with_peer():
            self.close("ended by the peer")
        if self.open and events & WRITE:
            self.flush()
        if self.has_backlog:
            is_due = self.scheduler.now >= self.next_turn_at
        else:
            is_due = events & (READ | HANGUP_OR_ERROR) != 0
        if self.open and is_due:
            self.read(on_data)
        return events

    def read(self, on_data: Callable[[Buffer], None]) -> bool:
        """Read once without waiting, or take the next turn of a backlog; close if the data is malformed.

        Returns:
            Whether there was data, which was passed to `on_data`.
        """
        began_at = self.scheduler.update_clock()
        try:
            had_data = self.read_once(on_data)
        except MalformedMessageError as error:
            self.malformed = True
            (self.on_malformed or self.close)(str(error))
            return False
        if self.has_backlog:
            ended_at = self.scheduler.update_clock()
            self.next_turn_at = ended_at + min(MAX_TURN_PAUSE, TURN_PAUSE_FACTOR * (ended_at - began_at))
        return had_data

    def read_once(self, on_data: Callable[[Buffer], None]) -> bool:
        """Read once without waiting; an error of the socket closes the connection.

        Returns:
            Whether data was received and passed to `on_data`.

        Raises:
            MalformedMessageError: If `on_data` finds the data malformed or the buffer is full.
        """
        if not self.open:
            return False
        if self.has_backlog:
            on_data(self.buffer)
            return True
        try:
            count = (
                len(self.sock.recv(MAX_DISCARDED_BYTES)) if self.linger_timer else self.buffer.fill(self.sock)
            )
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(error.strerror or "broken")
            return False
        if self.linger_timer:
            self.discard(count)
        elif not count:
            self.close("ended by the peer")
        else:
            self.last_activity_at = self.scheduler.now
            on_data(self.buffer)
        return count > 0 and self.linger_timer is None

    def discard(self, count: int) -> None:
        """Count bytes that were received and dropped during a graceful close, and complete it when due.

        The bytes are not processed, since no response to them could be sent any more. The connection is
        closed once the peer has closed its side and nothing is unsent, or after `MAX_DISCARDED_BYTES`.

        Args:
            count: Number of bytes; 0 means that the peer has closed its side.
        """
        self.discarded_bytes += count
        self.peer_closed = self.peer_closed or not count
        if (self.peer_closed and not self.unsent) or self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.close(self.close_reason)

    def write(self, piece: bytes) -> None:
        """Queue bytes to be sent at the end of this pass; drop them once the connection is being closed."""
        if not self.open or self.linger_timer:
            return
        self.unsent.append(piece)
        self.written_bytes += len(piece)
        self.adjust_unsent_bytes(len(piece))
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Schedule one `flush` for the end of this pass."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.scheduler.at_pass_end(self.flush)

    def flush(self) -> None:
        """Send as much as the socket takes; close the connection if too much is left unsent."""
        self.flush_scheduled = False
        if self.open and not self.sends_after_peer_closed and self.has_peer_closed():
            self.close("ended by the peer")
        while self.open and self.unsent:
            try:
                if len(self.unsent) == 1:
                    sent = self.sock.send(self.unsent[0])
                else:
                    sent = self.sock.sendmsg(list(islice(self.unsent, MAX_PIECES_PER_SEND)))
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self.close(error.strerror or "broken")
                return
            self.last_activity_at = self.scheduler.now
            self.sent_bytes += sent
            self.adjust_unsent_bytes(-sent)
            while sent:
                piece = self.unsent.popleft()
                if sent < len(piece):
                    self.unsent.appendleft(piece[sent:])
                    break
                sent -= len(piece)
        if self.unsent_bytes > self.max_unsent_bytes or (
            self.unsent and self.pool.unsent_bytes > self.pool.max_bytes
        ):
            self.close("reads too slowly")
        elif self.open:
            if self.linger_timer and not self.unsent:
                self.shut_down_writing()
            self.scheduler.update_mask(self.descriptor, self.event_mask())

    def has_peer_closed(self) -> bool:
        """Return whether the end of the peer's side or an error has arrived, perhaps behind unread data."""
        poller = select.poll()
        poller.register(self.descriptor, select.POLLRDHUP)
        return any(events & PEER_CLOSED for _, events in poller.poll(0))

    def adjust_unsent_bytes(self, count: int) -> None:
        """Add `count`, which may be negative, to the number of unsent bytes here and in the pool."""
        self.unsent_bytes += count
        self.pool.unsent_bytes += count

    def event_mask(self) -> int:
        """Return the events to wait for, as a mask for `poll`."""
        # A socket at the end of its stream stays readable: polled for reads, it would wake every pass.
        is_read = not self.peer_closed and not self.has_backlog
        closed = select.POLLRDHUP if self.closes_with_peer() else 0
        return (READ if is_read else 0) | (WRITE if self.unsent else 0) | closed

    def closes_with_peer(self) -> bool:
        """Return whether the connection is to be closed as soon as the peer has closed its side."""
        return not self.reads_after_peer_closed and self.linger_timer is None

    def close_gracefully(self, reason: str) -> None:
        """Begin to close the connection, so that the peer receives all that was written; return at once.

        What is unsent is sent, then the end of the stream. Received data is discarded until the peer closes
        its side, for at most `LINGER_TIMEOUT` and `MAX_DISCARDED_BYTES`. An immediate close would drop what
        is unsent, and with received bytes unread it would send a reset, which can take responses in transit
        with it.
        """
        if self.open and self.linger_timer is None:
            self.close_reason, self.has_backlog = reason, False
            self.buffer.release()
            self.linger_timer = self.scheduler.at(
                self.scheduler.now + LINGER_TIMEOUT, lambda: self.close(reason)
            )
            self.schedule_flush()

    def shut_down_writing(self) -> None:
        """Send the end of the stream, which the peer receives after all data.

        The connection is closed if the peer has closed its side already.
        """
        if self.peer_closed:
            self.close(self.close_reason)
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.close(error.strerror or "broken")

    def close(self, reason: str) -> None:
        """Close the socket at once and drop what is unsent.

        Use `close_gracefully` for a peer that may still send or has not read everything.
        """
        if self.open:
            self.open, self.close_reason, self.on_malformed = False, self.close_reason or reason, None
            if self.linger_timer is not None:
                self.linger_timer.cancel()
            # The requests of a connection, and so the connection, may be in memory for much longer.
            self.buffer.release()
            self.unsent.clear()
            self.adjust_unsent_bytes(-self.unsent_bytes)
            self.scheduler.unregister(self.descriptor)
            self.sock.close()


class Connector:
    """An attempt to open a connection, which another task can cancel.

    Cancelling frees the descriptor at once: attempts at an address that does not respond would each hold one
    until their timeout.

    Attributes:
        descriptor: The socket's descriptor, while the attempt waits.
        cancelled: Whether it was cancelled.
    """

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        """Prepare an attempt to connect to `address`; `open` makes it."""
        self.scheduler, self.address = scheduler, address
        self.descriptor: int | None = None
        self.cancelled = False

    def open(self, timeout: int = CONNECT_TIMEOUT) -> socket.socket:
        """Connect and return the non-blocking socket; only the calling task waits.

        Raises:
            OSError: If it fails, is cancelled or takes longer than `timeout`.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error_code = sock.connect_ex(self.address)
            if error_code not in (0, errno.EINPROGRESS):
                raise OSError(error_code, os.strerror(error_code))
            if error_code:
                self.wait_connected(sock, self.scheduler.now + timeout)
        except BaseException:
            self.scheduler.unregister(sock.fileno())
            sock.close()
            raise
        return sock

    def wait_connected(self, sock: socket.socket, until: int) -> None:
        """Wait until the socket is connected.

        Raises:
            OSError: If it fails, is cancelled or is not connected at `until`.
        """
        self.descriptor = sock.fileno()
        try:
            events = self.scheduler.wait(self.descriptor, WRITE, until)
        finally:
            self.descriptor = None
        if self.cancelled:
            raise OSError("cancelled")
        error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code or not events:
            raise OSError(error_code, os.strerror(error_code) if error_code else "connect timeout")

    def cancel(self) -> None:
        """Make an `open` that is waiting raise at once."""
        self.cancelled = True
        if self.descriptor is not None:
            self.scheduler.wake(self.descriptor)


def connect(scheduler: Scheduler, address: tuple[str, int]) -> socket.socket:
    """Open a connection and return its non-blocking socket; only the calling task waits.

    Raises:
        OSError: If it fails or takes longer than `CONNECT_TIMEOUT`.
    """
    return Connector(scheduler, address).open()
