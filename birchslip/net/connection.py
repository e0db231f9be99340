"""One connection: one greenlet reads it and sends what is left over; writes go out once a pass."""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from itertools import islice

from .buffer import Buffer, MalformedMessageError
from .scheduler import HANGUP_OR_ERROR, READ, WRITE, Scheduler, Timer

MAX_PIECES_PER_SEND = 64  # gathered into one send
LINGER_TIMEOUT = (
    10_000  # one that was ended is read for another second at most, until its peer has ended it too
)
MAX_DISCARDED_BYTES = 65_536  # and for so many bytes: past that the peer heeds nothing
CONNECT_TIMEOUT = 10_000  # a connection that takes longer than a second to open is taken as refused


class SendBufferPool:
    """What waits to go out on many connections together, bounded as well."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.unsent_bytes = 0


class Connection:
    """`unsent` holds what is to go out, up to `bound` bytes; past it the peer reads too slowly: cut off."""

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        max_unread_bytes: int,
        max_unsent_bytes: int,
        pool: SendBufferPool | None = None,
    ) -> None:
        self.scheduler, self.sock, self.max_unsent_bytes = scheduler, sock, max_unsent_bytes
        self.pool = pool or SendBufferPool(max_unsent_bytes)
        self.descriptor = sock.fileno()
        self.buffer = Buffer(max_unread_bytes)
        self.unsent: deque[bytes] = deque()
        self.unsent_bytes = 0
        self.open = True
        self.flush_scheduled = False
        self.linger_timer: Timer | None = (
            None  # set once its end has been asked for; nothing is taken any more
        )
        self.discarded_bytes = 0
        self.peer_closed = False
        self.close_reason = ""
        self.malformed = False
        # Hears of what can't be read, where a close is not enough. Let go at the close: each would keep the
        # other in memory, with its buffer, until the collector comes by.
        self.on_malformed: Callable[[str], None] | None = None
        self.last_activity_at = scheduler.now  # when something last went either way

    def serve(self, on_data: Callable[[Buffer], None]) -> str:
        """Read until it ends and say why it did; `take` is called after each read."""
        while self.open:
            self.step(on_data)
        return self.close_reason

    def step(self, on_data: Callable[[Buffer], None], until: int | None = None) -> int:
        """Wait once and do what it is ready for; 0 when the time is up or it was closed meanwhile."""
        events = self.scheduler.wait(self.descriptor, self.event_mask(), until)
        if self.open and events & WRITE:
            self.flush()
        if self.open and events & (READ | HANGUP_OR_ERROR):
            self.read(on_data)
        return events

    def read(self, on_data: Callable[[Buffer], None]) -> bool:
        """One read, and whether it brought anything; what can't be read ends this connection alone."""
        try:
            return self.read_once(on_data)
        except MalformedMessageError as error:
            self.malformed = True
            (self.on_malformed or self.close)(str(error))
            return False

    def read_once(self, on_data: Callable[[Buffer], None]) -> bool:
        if not self.open:
            return False
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
        """What comes after its end was asked for is not taken: it could not be answered any more."""
        self.discarded_bytes += count
        self.peer_closed = self.peer_closed or not count
        if (self.peer_closed and not self.unsent) or self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.close(self.close_reason)

    def write(self, piece: bytes) -> None:
        """Goes out at the end of this pass, with all else for the same peer."""
        if not self.open or self.linger_timer:
            return
        self.unsent.append(piece)
        self.adjust_unsent_bytes(len(piece))
        self.schedule_flush()

    def schedule_flush(self) -> None:
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.scheduler.at_pass_end(self.flush)

    def flush(self) -> None:
        self.flush_scheduled = False
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

    def adjust_unsent_bytes(self, count: int) -> None:
        self.unsent_bytes += count
        self.pool.unsent_bytes += count

    def event_mask(self) -> int:
        # An end that was read stays ready: asked for again, it would wake every pass.
        return (0 if self.peer_closed else READ) | (WRITE if self.unsent else 0)

    def close_gracefully(self, reason: str) -> None:
        """End it in order: what waits goes out, the end is said, and what still comes is passed over until
        the peer ends it too, for a bounded time.

        Guards against answers that a reset takes with it: a close over unread bytes is one, and what was
        unsent at a close is dropped.
        """
        if self.open and self.linger_timer is None:
            self.close_reason = reason
            self.linger_timer = self.scheduler.at(
                self.scheduler.now + LINGER_TIMEOUT, lambda: self.close(reason)
            )
            self.schedule_flush()

    def shut_down_writing(self) -> None:
        """Nothing more is written; what the peer has not read yet still reaches it."""
        if self.peer_closed:
            self.close(self.close_reason)
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self.close(error.strerror or "broken")

    def close(self, reason: str) -> None:
        """At once; a peer that may still be writing, or has not read all, is ended in order instead."""
        if self.open:
            self.open, self.close_reason, self.on_malformed = False, self.close_reason or reason, None
            if self.linger_timer is not None:
                self.linger_timer.cancel()
            self.unsent.clear()
            self.adjust_unsent_bytes(-self.unsent_bytes)
            self.scheduler.unregister(self.descriptor)
            self.sock.close()


class Connector:
    """One connection that the calling task opens; another task may give it up, which frees it at once.

    Guards against an address that takes no notice: each try at it holds a descriptor for as long as it lasts.
    """

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        self.scheduler, self.address = scheduler, address
        self.descriptor: int | None = None
        self.cancelled = False

    def open(self, timeout: int = CONNECT_TIMEOUT) -> socket.socket:
        """A new connection, or OSError; only the calling task waits."""
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
        self.descriptor = sock.fileno()
        try:
            events = self.scheduler.wait(self.descriptor, WRITE, until)
        finally:
            self.descriptor = None
        if self.cancelled:
            raise OSError("given up")
        error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code or not events:
            raise OSError(error_code, os.strerror(error_code) if error_code else "no connection in time")

    def cancel(self) -> None:
        self.cancelled = True
        if self.descriptor is not None:
            self.scheduler.wake(self.descriptor)


def connect(scheduler: Scheduler, address: tuple[str, int]) -> socket.socket:
    """A new connection, or OSError; only the calling task waits."""
    return Connector(scheduler, address).open()
