"""Links between processes that can be made to fail: a relay on loopback for each pair that talks.

| mode | what passes |
| --- | --- |
| pass | everything |
| cut | nothing: links break, new ones are refused |
| silent | nothing, and nobody is told: links stay half open |
| deaf | only what goes from the caller to the called |
| mute | only what comes back |
| late | everything, `delay` later |
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from functools import partial

from ..net.buffer import Buffer
from ..net.connection import Connection, connect
from ..net.scheduler import READ, Scheduler

BOUND = 4 << 20
PORTS = (10_000, 32_000)
CHANCE = random.Random()  # several plays may run at a time: each draws its own ports
guards: list[socket.socket] = []


def listener(port: int = 0) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    return sock


def let_in(scheduler: Scheduler, door: socket.socket, take: Callable[[socket.socket], None]) -> None:
    """The task of a listening socket: who comes is passed on."""
    while True:
        scheduler.wait(door.fileno(), READ)
        try:
            sock, _ = door.accept()
        except OSError:
            continue
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        take(sock)


def free_port() -> int:
    """One that nobody listens on, below those that the system gives to links, and not given here before.

    A process that is started again comes back at its port: one of the system's own range may be some link's
    by then.
    """
    for _ in range(2_000):
        port = CHANCE.randrange(*PORTS)
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # Held for as long as this process lives: other plays that run meanwhile pass it over.
            guard.bind(("127.0.0.1", port))
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            guard.close()
            continue
        guards.append(guard)
        return port
    raise OSError("no free port")


class Wire:
    """One way to one address. Its own address is `address`; change `mode` with `turn`."""

    def __init__(self, scheduler: Scheduler, target: tuple[str, int]) -> None:
        self.scheduler, self.target = scheduler, target
        self.mode, self.delay = "pass", 0
        self.listener = listener()
        self.port: int = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.pairs: dict[tuple[Connection, Connection], bool] = {}  # whether bytes were lost on it
        scheduler.spawn("wire", partial(let_in, scheduler, self.listener, self.take))

    def turn(self, mode: str, delay: int = 0) -> None:
        """Links on which something was lost can't go on: they break when the wire is whole again."""
        self.mode, self.delay = mode, delay
        for pair, spoilt in list(self.pairs.items()):
            if mode == "cut" or (spoilt and mode in ("pass", "late")):
                self.end(pair, mode)

    def shake(self) -> None:
        """Break what is open; new links are welcome."""
        for pair in list(self.pairs):
            self.end(pair, "shaken")

    def take(self, sock: socket.socket) -> None:
        if self.mode == "cut":
            sock.close()
        else:
            self.scheduler.spawn("wire", partial(self.begin, sock))

    def begin(self, sock: socket.socket) -> None:
        near = Connection(self.scheduler, sock, BOUND, BOUND)
        try:
            far = Connection(self.scheduler, connect(self.scheduler, self.target), BOUND, BOUND)
        except OSError:
            near.close("refused there")
            return
        pair = (near, far)
        self.pairs[pair] = False
        self.scheduler.spawn("wire", partial(self.carry, pair, far, near, ("deaf", "silent")))
        self.carry(pair, near, far, ("mute", "silent"))

    def carry(
        self, pair: tuple[Connection, Connection], a: Connection, b: Connection, lost: tuple[str, ...]
    ) -> None:
        a.serve(lambda buffer: self.pass_on(pair, buffer, b, lost))
        self.end(pair, a.close_reason)

    def pass_on(
        self, pair: tuple[Connection, Connection], buffer: Buffer, to: Connection, lost: tuple[str, ...]
    ) -> None:
        piece = buffer.take(len(buffer))
        if self.mode in lost:
            self.pairs[pair] = True
        elif self.mode == "late" and self.delay:
            self.scheduler.at(self.scheduler.now + self.delay, partial(to.write, piece))
        else:
            to.write(piece)

    def end(self, pair: tuple[Connection, Connection], why: str) -> None:
        self.pairs.pop(pair, None)
        for side in pair:
            if side.open:
                side.flush()
                side.close(why)
