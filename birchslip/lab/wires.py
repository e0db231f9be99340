"""Proxies on loopback that inject network faults between two processes.

| mode | what is forwarded |
| --- | --- |
| pass | everything |
| cut | nothing: connections are closed and new ones refused |
| silent | nothing, without closing: connections stay half open |
| deaf | only data from the client to the target |
| mute | only data from the target to the client |
| late | everything, after `delay` |
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
PORT_RANDOM = random.Random()  # unseeded, so that runs at the same time draw different ports
port_guards: list[socket.socket] = []


def open_listener(port: int = 0) -> socket.socket:
    """Open a listening TCP socket on loopback; port 0 takes any free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(1024)
    return sock


def accept_connections(
    scheduler: Scheduler, listener: socket.socket, on_accept: Callable[[socket.socket], None]
) -> None:
    """Accept connections forever, as a task of the scheduler, and hand each socket to `on_accept`."""
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
    """Reserve a free port below the range from which the system gives ports to outgoing connections.

    A restarted process listens on its old port again; a port of the system's range could belong to an
    outgoing connection by then.

    Returns:
        A port that no listener holds and that neither this process nor another run has reserved.

    Raises:
        OSError: No free port was found.
    """
    for _ in range(2_000):
        port = PORT_RANDOM.randrange(*PORT_RANGE)
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # Other runs on this machine skip the port while this process holds the UDP socket.
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
    """Forwards connections to one target and injects a fault chosen by `set_mode`.

    Attributes:
        address: HOST:PORT at which the proxy listens.
        mode: The present fault mode; see the module's table.
        delay: Delay in mode "late", in tenths of a millisecond.
        pairs: The client and target connections of each open pair, and whether data was dropped between them.
    """

    def __init__(self, scheduler: Scheduler, target: tuple[str, int]) -> None:
        """Listen on a free loopback port and forward to `target`."""
        self.scheduler, self.target = scheduler, target
        self.mode, self.delay = "pass", 0
        self.listener = open_listener()
        self.port: int = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.pairs: dict[tuple[Connection, Connection], bool] = {}
        scheduler.spawn("proxy", partial(accept_connections, scheduler, self.listener, self.on_accept))

    def set_mode(self, mode: str, delay: int = 0) -> None:
        """Change the fault mode.

        Connections that lost data are closed when forwarding resumes, because their byte streams have gaps.
        """
        self.mode, self.delay = mode, delay
        for pair, has_lost_bytes in list(self.pairs.items()):
            if mode == "cut" or (has_lost_bytes and mode in ("pass", "late")):
                self.close_pair(pair, mode)

    def reset_connections(self) -> None:
        """Close all open connections; new ones are accepted."""
        for pair in list(self.pairs):
            self.close_pair(pair, "shaken")

    def on_accept(self, sock: socket.socket) -> None:
        """Refuse the connection in mode "cut", otherwise serve it in a task."""
        if self.mode == "cut":
            sock.close()
        else:
            self.scheduler.spawn("proxy", partial(self.open_pair, sock))

    def open_pair(self, sock: socket.socket) -> None:
        """Connect to the target and forward both directions until one side closes."""
        client = Connection(self.scheduler, sock, BUFFER_BYTES, BUFFER_BYTES)
        try:
            upstream = Connection(
                self.scheduler, connect(self.scheduler, self.target), BUFFER_BYTES, BUFFER_BYTES
            )
        except OSError:
            client.close("target unreachable")
            return
        pair = (client, upstream)
        self.pairs[pair] = False
        self.scheduler.spawn("proxy", partial(self.relay, pair, upstream, client, ("deaf", "silent")))
        self.relay(pair, client, upstream, ("mute", "silent"))

    def relay(
        self,
        pair: tuple[Connection, Connection],
        source: Connection,
        destination: Connection,
        dropping_modes: tuple[str, ...],
    ) -> None:
        """Forward one direction until its source closes, then close the pair.

        Args:
            pair: Both connections.
            source: Connection to read from.
            destination: Connection to write to.
            dropping_modes: Modes in which this direction drops data.
        """
        source.serve(lambda buffer: self.forward(pair, buffer, destination, dropping_modes))
        self.close_pair(pair, source.close_reason)

    def forward(
        self,
        pair: tuple[Connection, Connection],
        buffer: Buffer,
        destination: Connection,
        dropping_modes: tuple[str, ...],
    ) -> None:
        """Forward, delay or drop the buffered data, depending on the mode."""
        data = buffer.take(len(buffer))
        if self.mode in dropping_modes:
            self.pairs[pair] = True
        elif self.mode == "late" and self.delay:
            self.scheduler.at(self.scheduler.now + self.delay, partial(destination.write, data))
        else:
            destination.write(data)

    def close_pair(self, pair: tuple[Connection, Connection], reason: str) -> None:
        """Flush and close both connections of the pair."""
        self.pairs.pop(pair, None)
        for side in pair:
            if side.open:
                side.flush()
                side.close(reason)
