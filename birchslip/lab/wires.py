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

BUFFER_BYTES = 4 << 20
PORT_RANGE = (10_000, 32_000)
PORT_RANDOM = random.Random()  # several plays may run at a time: each draws its own ports
port_guards: list[socket.socket] = []


def open_listener(port: int = 0) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    return sock


def accept_connections(
    scheduler: Scheduler, listener: socket.socket, on_accept: Callable[[socket.socket], None]
) -> None:
    """The task of a listening socket: who comes is passed on."""
    while True:
        scheduler.wait(listener.fileno(), READ)
        try:
            sock, _ = listener.accept()
        except OSError:
            continue
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        on_accept(sock)


def free_port() -> int:
    """One that nobody listens on, below those that the system gives to links, and not given here before.

    A process that is started again comes back at its port: one of the system's own range may be some link's
    by then.
    """
    for _ in range(2_000):
        port = PORT_RANDOM.randrange(*PORT_RANGE)
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # Held for as long as this process lives: other plays that run meanwhile pass it over.
            guard.bind(("127.0.0.1", port))
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            guard.close()
            continue
        port_guards.append(guard)
        return port
    raise OSError("no free port")


class FaultProxy:
    """One way to one address. Its own address is `address`; change `mode` with `turn`."""

    def __init__(self, scheduler: Scheduler, target: tuple[str, int]) -> None:
        self.scheduler, self.target = scheduler, target
        self.mode, self.delay = "pass", 0
        self.listener = open_listener()
        self.port: int = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.pairs: dict[tuple[Connection, Connection], bool] = {}  # whether bytes were lost on it
        scheduler.spawn("wire", partial(accept_connections, scheduler, self.listener, self.on_accept))

    def set_mode(self, mode: str, delay: int = 0) -> None:
        """Links on which something was lost can't go on: they break when the wire is whole again."""
        self.mode, self.delay = mode, delay
        for pair, has_lost_bytes in list(self.pairs.items()):
            if mode == "cut" or (has_lost_bytes and mode in ("pass", "late")):
                self.close_pair(pair, mode)

    def reset_connections(self) -> None:
        """Break what is open; new links are welcome."""
        for pair in list(self.pairs):
            self.close_pair(pair, "shaken")

    def on_accept(self, sock: socket.socket) -> None:
        if self.mode == "cut":
            sock.close()
        else:
            self.scheduler.spawn("wire", partial(self.open_pair, sock))

    def open_pair(self, sock: socket.socket) -> None:
        client = Connection(self.scheduler, sock, BUFFER_BYTES, BUFFER_BYTES)
        try:
            upstream = Connection(
                self.scheduler, connect(self.scheduler, self.target), BUFFER_BYTES, BUFFER_BYTES
            )
        except OSError:
            client.close("refused there")
            return
        pair = (client, upstream)
        self.pairs[pair] = False
        self.scheduler.spawn("wire", partial(self.relay, pair, upstream, client, ("deaf", "silent")))
        self.relay(pair, client, upstream, ("mute", "silent"))

    def relay(
        self,
        pair: tuple[Connection, Connection],
        source: Connection,
        destination: Connection,
        dropping_modes: tuple[str, ...],
    ) -> None:
        source.serve(lambda buffer: self.forward(pair, buffer, destination, dropping_modes))
        self.close_pair(pair, source.close_reason)

    def forward(
        self,
        pair: tuple[Connection, Connection],
        buffer: Buffer,
        destination: Connection,
        dropping_modes: tuple[str, ...],
    ) -> None:
        data = buffer.take(len(buffer))
        if self.mode in dropping_modes:
            self.pairs[pair] = True
        elif self.mode == "late" and self.delay:
            self.scheduler.at(self.scheduler.now + self.delay, partial(destination.write, data))
        else:
            destination.write(data)

    def close_pair(self, pair: tuple[Connection, Connection], reason: str) -> None:
        self.pairs.pop(pair, None)
        for side in pair:
            if side.open:
                side.flush()
                side.close(reason)
