"""One connection: one greenlet reads it and sends what is left over; writes go out once a pass."""

from __future__ import annotations

import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from itertools import islice

from .buffer import Buffer, Unreadable
from .scheduler import ENDED, READ, WRITE, Scheduler, Timer

PIECES = 64  # gathered into one send
LINGER = 10_000  # one that was ended is read for another second at most, until its peer has ended it too
DISCARD = 65_536  # and for so many bytes: past that the peer heeds nothing
CONNECT_LIMIT = 10_000  # a connection that takes longer than a second to open is taken as refused


class Pool:
    """What waits to go out on many connections together, bounded as well."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.size = 0


class Connection:
    """`unsent` holds what is to go out, up to `bound` bytes; past it the peer reads too slowly: cut off."""

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        bound_in: int,
        bound_out: int,
        pool: Pool | None = None,
    ) -> None:
        self.scheduler, self.sock, self.bound = scheduler, sock, bound_out
        self.pool = pool or Pool(bound_out)
        self.descriptor = sock.fileno()
        self.buffer = Buffer(bound_in)
        self.unsent: deque[bytes] = deque()
        self.size = 0
        self.open = True
        self.flushing = False
        self.ending: Timer | None = None  # set once its end has been asked for; nothing is taken any more
        self.passed_over = 0
        self.peer_ended = False
        self.why = ""
        self.malformed = False
        # Hears of what can't be read, where a close is not enough. Let go at the close: each would keep the
        # other in memory, with its buffer, until the collector comes by.
        self.spoilt: Callable[[str], None] | None = None
        self.last = scheduler.now  # when something last went either way

    def serve(self, take: Callable[[Buffer], None]) -> str:
        """Read until it ends and say why it did; `take` is called after each read."""
        while self.open:
            self.step(take)
        return self.why

    def step(self, take: Callable[[Buffer], None], until: int | None = None) -> int:
        """Wait once and do what it is ready for; 0 when the time is up or it was closed meanwhile."""
        events = self.scheduler.wait(self.descriptor, self.mask(), until)
        if self.open and events & WRITE:
            self.flush()
        if self.open and events & (READ | ENDED):
            self.read(take)
        return events

    def read(self, take: Callable[[Buffer], None]) -> bool:
        """One read, and whether it brought anything; what can't be read ends this connection alone."""
        try:
            return self.read_once(take)
        except Unreadable as trouble:
            self.malformed = True
            (self.spoilt or self.close)(str(trouble))
            return False

    def read_once(self, take: Callable[[Buffer], None]) -> bool:
        if not self.open:
            return False
        try:
            count = len(self.sock.recv(DISCARD)) if self.ending else self.buffer.fill(self.sock)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as trouble:
            self.close(trouble.strerror or "broken")
            return False
        if self.ending:
            self.pass_over(count)
        elif not count:
            self.close("ended by the peer")
        else:
            self.last = self.scheduler.now
            take(self.buffer)
        return count > 0 and self.ending is None

    def pass_over(self, count: int) -> None:
        """What comes after its end was asked for is not taken: it could not be answered any more."""
        self.passed_over += count
        self.peer_ended = self.peer_ended or not count
        if (self.peer_ended and not self.unsent) or self.passed_over > DISCARD:
            self.close(self.why)

    def write(self, piece: bytes) -> None:
        """Goes out at the end of this pass, with all else for the same peer."""
        if not self.open or self.ending:
            return
        self.unsent.append(piece)
        self.grow(len(piece))
        self.flush_soon()

    def flush_soon(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.scheduler.at_end(self.flush)

    def flush(self) -> None:
        self.flushing = False
        while self.open and self.unsent:
            try:
                if len(self.unsent) == 1:
                    sent = self.sock.send(self.unsent[0])
                else:
                    sent = self.sock.sendmsg(list(islice(self.unsent, PIECES)))
            except (BlockingIOError, InterruptedError):
                break
            except OSError as trouble:
                self.close(trouble.strerror or "broken")
                return
            self.last = self.scheduler.now
            self.grow(-sent)
            while sent:
                piece = self.unsent.popleft()
                if sent < len(piece):
                    self.unsent.appendleft(piece[sent:])
                    break
                sent -= len(piece)
        if self.size > self.bound or (self.unsent and self.pool.size > self.pool.bound):
            self.close("reads too slowly")
        elif self.open:
            if self.ending and not self.unsent:
                self.say_end()
            self.scheduler.widen(self.descriptor, self.mask())

    def grow(self, more: int) -> None:
        self.size += more
        self.pool.size += more

    def mask(self) -> int:
        # An end that was read stays ready: asked for again, it would wake every pass.
        return (0 if self.peer_ended else READ) | (WRITE if self.unsent else 0)

    def end(self, why: str) -> None:
        """End it in order: what waits goes out, the end is said, and what still comes is passed over until
        the peer ends it too, for a bounded time.

        Guards against answers that a reset takes with it: a close over unread bytes is one, and what was
        unsent at a close is dropped.
        """
        if self.open and self.ending is None:
            self.why = why
            self.ending = self.scheduler.at(self.scheduler.now + LINGER, lambda: self.close(why))
            self.flush_soon()

    def say_end(self) -> None:
        """Nothing more is written; what the peer has not read yet still reaches it."""
        if self.peer_ended:
            self.close(self.why)
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as trouble:
            self.close(trouble.strerror or "broken")

    def close(self, why: str) -> None:
        """At once; a peer that may still be writing, or has not read all, is ended in order instead."""
        if self.open:
            self.open, self.why, self.spoilt = False, self.why or why, None
            if self.ending is not None:
                self.ending.cancel()
            self.unsent.clear()
            self.grow(-self.size)
            self.scheduler.forget(self.descriptor)
            self.sock.close()


class Dial:
    """One connection that the calling task opens; another task may give it up, which frees it at once.

    Guards against an address that takes no notice: each try at it holds a descriptor for as long as it lasts.
    """

    def __init__(self, scheduler: Scheduler, address: tuple[str, int]) -> None:
        self.scheduler, self.address = scheduler, address
        self.descriptor: int | None = None
        self.given_up = False

    def open(self, limit: int = CONNECT_LIMIT) -> socket.socket:
        """A new connection, or OSError; only the calling task waits."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(self.address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
            if code:
                self.wait(sock, self.scheduler.now + limit)
        except BaseException:
            self.scheduler.forget(sock.fileno())
            sock.close()
            raise
        return sock

    def wait(self, sock: socket.socket, until: int) -> None:
        self.descriptor = sock.fileno()
        try:
            events = self.scheduler.wait(self.descriptor, WRITE, until)
        finally:
            self.descriptor = None
        if self.given_up:
            raise OSError("given up")
        trouble = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if trouble or not events:
            raise OSError(trouble, os.strerror(trouble) if trouble else "no connection in time")

    def give_up(self) -> None:
        self.given_up = True
        if self.descriptor is not None:
            self.scheduler.wake(self.descriptor)


def connect(scheduler: Scheduler, address: tuple[str, int]) -> socket.socket:
    """A new connection, or OSError; only the calling task waits."""
    return Dial(scheduler, address).open()
