"""Harnesses that run the program, or one of its parts, on real sockets in time that the test controls.

The scheduler runs only when a test asks for passes of its loop, so a test decides what happens between any
two passes. Times are in tenths of a millisecond, unless a name ends in `ms` (milliseconds) or `_S` (seconds).
"""

import fcntl
import json
import os
import select
import socket
import struct
import termios
from contextlib import ExitStack, closing, suppress

from birchslip.admission.types import MS
from birchslip.lab.toy import Router
from birchslip.net.agent_orders import PendingOrder
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.program import Program
from birchslip.net.scheduler import Scheduler
from birchslip.net.site import parse_config
from examples.toy import CONFIGURATION

TIMEOUT_S = 5.0


def wait_until_delivered(link):
    """Wait until the peer's socket holds all data sent on the link, so that its next poll finds the data.

    A reset of the link ends the wait too.

    Raises:
        AssertionError: If data is still on its way after a million checks.
    """
    poll = select.poll()
    poll.register(link, 0)
    for _ in range(1_000_000):
        if poll.poll(0) or not int.from_bytes(fcntl.ioctl(link, termios.TIOCOUTQ, bytes(4)), "little"):
            return
        os.sched_yield()
    raise AssertionError("the sent data did not arrive")


class HarnessRouter(Router):
    """A router whose requests have timestamps from the harness's clock."""

    def __init__(self, harness):
        """Connect to the harness's listener."""
        self.harness = harness
        super().__init__(harness.address, TIMEOUT_S)
        # Without TCP_NODELAY, the kernel could hold data back past the next pass.
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, request_class, body, **fields):
        """Send a request with the harness's time, in milliseconds, as its timestamp; return its number."""
        return super().call(request_class, body, **({"ts": str(self.harness.time // 10)} | fields))


class ProgramHarness:
    """A whole program with a real listener; the test takes the place of the agent.

    Attributes:
        time: The program's time; only `run_passes` advances it.
        orders: The orders that the program sent to the agent.
        peers: The routers that were connected.
    """

    def __init__(self, agent_greets=True, max_connections=None, **config):
        """Start the program on a free port.

        Args:
            agent_greets: Whether the agent's greeting is delivered at the start.
            max_connections: Limit of the router connections; None keeps the configured one.
            **config: Values that replace those of the example configuration.
        """
        document = json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0", **config}
        self.program = program = Program(parse_config(document, {}))
        self.scheduler = program.scheduler
        self.time = self.scheduler.now
        self.scheduler.clock = lambda: self.time
        self.orders = []
        program.agent.send_order = self.record_order
        self.clients = program.clients
        if max_connections is not None:
            self.clients.max_connections = max_connections
        host, port = self.clients.listen(program.config.listen)
        self.address = f"{host}:{port}"
        program.spawn_supervised("listener", self.clients.accept)
        if agent_greets:
            program.on_agent_greeting(False, 0)
        self.peers = []
        self.run_passes()

    def record_order(self, kind, context, **parts):
        """Record an order in place of sending it."""
        self.orders.append({"op": kind.value, "id": context.request_id} | parts)
        return PendingOrder(kind, b"", written_at=self.time)

    def run_passes(self, count=4, ms=0):
        """Advance the time by `ms`, wait until data sent by routers has arrived, then run `count` passes.

        Returns:
            This harness, so that calls can be chained.
        """
        self.time += ms * 10
        for peer in self.peers:
            if peer.connection.fileno() >= 0:
                wait_until_delivered(peer.connection)
        for _ in range(count):
            if not self.scheduler.stopped:
                self.scheduler.poll_at_once = True  # the pass polls the sockets without waiting
                self.scheduler.run_pass()
        return self

    def connect_router(self):
        """Connect a router, wait until the listener is ready to accept it, and return it."""
        self.peers.append(HarnessRouter(self))
        if self.clients.listener is not None:
            assert select.select([self.clients.listener], [], [], TIMEOUT_S)[0]
        return self.peers[-1]

    def disconnect(self, router):
        """Close a router's connection and let the program notice it."""
        router.connection.shutdown(socket.SHUT_WR)
        wait_until_delivered(router.connection)
        router.connection.close()
        self.run_passes()

    def launched_runs(self):
        """Return the ids of the runs that the program ordered the agent to launch."""
        return [order["id"] for order in self.orders if order["op"] == "launch"]

    def end_run(self, run_id, outcome, result=b"made"):
        """Deliver the agent's notice that a run ended after 1 ms."""
        context = self.program.agent.runs.pop(run_id)
        self.program.agent.on_run_ended(context, outcome, result, 10)

    def close(self):
        """Close all sockets of the program and of its routers."""
        self.clients.close_all()
        for peer in self.peers:
            peer.connection.close()
        for sock in (self.program.signals, self.program.wakeup):
            sock.close()


def start_program_harnesses():
    """Yield a function that starts a `ProgramHarness` with its arguments; close all of them afterwards."""
    with ExitStack() as harnesses:
        yield lambda **options: harnesses.enter_context(closing(ProgramHarness(**options)))


class FakeServer:
    """A listening socket that records what each accepted connection receives.

    Attributes:
        links: Pairs of an accepted connection and the data received on it.
    """

    def __init__(self, is_queue_full=False):
        """Listen on a free port.

        Args:
            is_queue_full: Whether to fill the accept queue, so that attempts to connect get no answer.
        """
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0 if is_queue_full else 8)
        self.address = self.listener.getsockname()
        self.links, self.fillers = [], []
        while is_queue_full:
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            # 115 is EINPROGRESS: the attempt got no answer yet.
            is_queue_full = filler.connect_ex(self.address) in (0, 115) and len(self.fillers) < 4
        self.listener.setblocking(False)

    def receive_all(self):
        """Accept waiting connections and return all data received so far, of one connection after another."""
        with suppress(BlockingIOError):
            while True:
                link, _ = self.listener.accept()
                link.setblocking(False)
                self.links.append((link, bytearray()))
        for link, data in self.links:
            with suppress(BlockingIOError):
                data += link.recv(65536)
        return b"".join(bytes(data) for _, data in self.links)

    def send(self, raw):
        """Send data on every accepted connection."""
        for link, _ in self.links:
            link.sendall(raw)
            wait_until_delivered(link)

    def reset_links(self):
        """Reset all accepted connections and forget them."""
        for link, _ in self.links:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            link.close()
        self.links.clear()

    def close(self):
        """Close the listener and all connections."""
        for sock in (self.listener, *self.fillers, *(link for link, _ in self.links)):
            sock.close()


class SchedulerHarness:
    """A scheduler in time that the test advances, and servers for its connections.

    Attributes:
        time: The scheduler's time.
        components: Scheduler, counters and log: the first arguments of the classes that connect to peers.
    """

    def __init__(self):
        """Create the scheduler, without tasks."""
        self.time = 10_000_000
        self.scheduler = Scheduler(lambda: None, self.raise_fault, lambda: self.time)
        self.components = self.scheduler, Counters(), Log(self.scheduler, "t")
        self.servers = []

    def raise_fault(self, name, error):
        """Fail the test with an error that a task did not handle."""
        raise error

    def start_server(self, **options):
        """Start a `FakeServer` that is closed with the harness, and return it."""
        self.servers.append(FakeServer(**options))
        return self.servers[-1]

    def run_passes(self, ms=0, count=4):
        """Advance the time by `ms`, then run `count` passes."""
        self.time += ms * MS
        for _ in range(count):
            self.scheduler.poll_at_once = True  # the pass polls the sockets without waiting
            self.scheduler.run_pass()

    def wait_for_data(self, server, expected):
        """Run passes without advancing the time until the server has received the expected data.

        Returns:
            Whether the data arrived within about `TIMEOUT_S` of real time.
        """
        for _ in range(100):
            if expected in server.receive_all():
                return True
            self.run_passes()
            links = [server.listener, *(link for link, _ in server.links)]
            select.select(links, [], [], TIMEOUT_S / 100)
        return False

    def wait_until(self, condition, max_ms):
        """Advance the time in steps of 10 ms until the condition holds, or for `max_ms`.

        Returns:
            The time that this took in milliseconds; `max_ms` if the condition did not hold before.
        """
        for ms in range(0, max_ms, 10):
            if condition():
                return ms
            self.run_passes(ms=10)
        return max_ms

    def close(self):
        """Close all servers."""
        for server in self.servers:
            server.close()
