"""A whole program on a real listener, or one peer's side of it at a real address, moved on pass by pass: what
happens between two lines is the test's.
"""

import fcntl
import json
import os
import select
import socket
import termios
from contextlib import suppress

from birchslip.admission.types import MS
from birchslip.lab.toy import Router
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.program import Program
from birchslip.net.scheduler import Scheduler
from birchslip.net.site import parse_config
from examples.toy import CONFIGURATION

TIMEOUT_S = 5.0


def wait_until_delivered(link):
    """A barrier: all that was sent on it lies with the other side, where the next look finds it."""
    poll = select.poll()
    poll.register(link, 0)
    for _ in range(1_000_000):
        if poll.poll(0) or not int.from_bytes(fcntl.ioctl(link, termios.TIOCOUTQ, bytes(4)), "little"):
            return
        os.sched_yield()
    raise AssertionError("the sent data does not arrive")


class HarnessRouter(Router):
    """A router whose clock is the hall's."""

    def __init__(self, harness):
        self.harness = harness
        super().__init__(harness.address, TIMEOUT_S)
        # Without TCP_NODELAY, the kernel could hold data back past the next pass.
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, profile, body, **fields):
        return super().call(profile, body, **({"ts": str(self.harness.time // 10)} | fields))


class ProgramHarness:
    """Its time stands still but for `passes`; the agent is the test, which sees the orders it would get."""

    def __init__(self, agent_greets=True, max_connections=None, **config):
        document = json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0", **config}
        self.program = program = Program(parse_config(document, {}))
        self.scheduler = program.scheduler
        self.time = self.scheduler.now
        self.scheduler.clock = lambda: self.time
        self.orders = []
        program.agent.send_order = lambda **parts: self.orders.append(parts) or b""
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

    def run_passes(self, count=4, ms=0):
        """So many passes; the time that they take goes by before the first of them."""
        self.time += ms * 10
        for peer in self.peers:
            if peer.link.fileno() >= 0:
                wait_until_delivered(peer.link)
        for _ in range(count):
            if not self.scheduler.stopped:
                self.scheduler.poll_at_once = True  # the pass polls the sockets without waiting
                self.scheduler.run_pass()
        return self

    def connect_router(self):
        self.peers.append(HarnessRouter(self))
        if self.clients.listener is not None:
            assert select.select([self.clients.listener], [], [], TIMEOUT_S)[0]
        return self.peers[-1]

    def disconnect(self, router):
        router.link.shutdown(socket.SHUT_WR)
        wait_until_delivered(router.link)
        router.link.close()
        self.run_passes()

    def launched_runs(self):
        return [order["id"] for order in self.orders if order["op"] == "launch"]

    def end_run(self, run_id, outcome, result=b"made"):
        """The agent tells how a run ended."""
        context = self.program.agent.runs.pop(run_id)
        self.program.agent.on_run_ended(context, outcome, result, 10)

    def close(self):
        self.clients.close_all()
        for peer in self.peers:
            peer.link.close()
        for sock in (self.program.signals, self.program.wakeup):
            sock.close()


class FakeServer:
    """A listening address; deaf, it answers no opening, as its queue is full."""

    def __init__(self, is_queue_full=False):
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
        """All that has been said here so far."""
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
        for link, _ in self.links:
            link.sendall(raw)
            wait_until_delivered(link)

    def close(self):
        for sock in (self.listener, *self.fillers, *(link for link, _ in self.links)):
            sock.close()


class SchedulerHarness:
    """A scheduler whose time the test moves on."""

    def __init__(self):
        self.time = 10_000_000
        self.scheduler = Scheduler(lambda: None, self.raise_fault, lambda: self.time)
        self.components = self.scheduler, Counters(), Log(self.scheduler, "t")
        self.servers = []

    def raise_fault(self, name, error):
        raise error

    def start_server(self, **options):
        self.servers.append(FakeServer(**options))
        return self.servers[-1]

    def run_passes(self, ms=0, count=4):
        self.time += ms * MS
        for _ in range(count):
            self.scheduler.poll_at_once = True
            self.scheduler.run_pass()

    def wait_for_data(self, server, expected):
        """Whether that is said there, at this very time."""
        for _ in range(100):
            if expected in server.receive_all():
                return True
            self.run_passes()
            links = [server.listener, *(link for link, _ in server.links)]
            select.select(links, [], [], TIMEOUT_S / 100)
        return False

    def wait_until(self, condition, max_ms):
        """How many ms went by until then, looked at every 10 of them."""
        for ms in range(0, max_ms, 10):
            if condition():
                return ms
            self.run_passes(ms=10)
        return max_ms

    def close(self):
        for server in self.servers:
            server.close()
