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

PATIENCE = 5.0


def arrived(link):
    """A barrier: all that was sent on it lies with the other side, where the next look finds it."""
    poll = select.poll()
    poll.register(link, 0)
    for _ in range(1_000_000):
        if poll.poll(0) or not int.from_bytes(fcntl.ioctl(link, termios.TIOCOUTQ, bytes(4)), "little"):
            return  # or it was reset
        os.sched_yield()
    raise AssertionError("what was sent does not arrive")


class Caller(Router):
    """A router whose clock is the hall's."""

    def __init__(self, hall):
        self.hall = hall
        super().__init__(hall.address, PATIENCE)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # here when the next pass looks

    def call(self, profile, body, **fields):
        return super().call(profile, body, **({"ts": str(self.hall.time // 10)} | fields))


class Hall:
    """Its time stands still but for `passes`; the agent is the test, which sees the orders it would get."""

    def __init__(self, greets=True, most=None, **more):
        told = json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0", **more}
        self.program = program = Program(parse_config(told, {}))
        self.scheduler = program.scheduler
        self.time = self.scheduler.now
        self.scheduler.clock = lambda: self.time
        self.orders = []
        program.agent.send_order = lambda **parts: self.orders.append(parts) or b""
        self.clients = program.clients
        if most is not None:
            self.clients.max_connections = most
        host, port = self.clients.listen(program.config.listen)
        self.address = f"{host}:{port}"
        program.spawn_supervised("listener", self.clients.accept)
        if greets:
            program.on_agent_greeting(False, 0)
        self.peers = []
        self.passes()

    def passes(self, count=4, ms=0):
        """So many passes; the time that they take goes by before the first of them."""
        self.time += ms * 10
        for peer in self.peers:
            if peer.connection.fileno() >= 0:
                arrived(peer.connection)
        for _ in range(count):
            if not self.scheduler.stopped:
                self.scheduler.poll_at_once = True  # look, and don't wait
                self.scheduler.run_pass()
        return self

    def router(self):
        self.peers.append(Caller(self))
        if self.clients.listener is not None:
            assert select.select([self.clients.listener], [], [], PATIENCE)[0]
        return self.peers[-1]

    def hang_up(self, router):
        router.connection.shutdown(socket.SHUT_WR)
        arrived(router.connection)
        router.connection.close()
        self.passes()

    def launched(self):
        return [order["id"] for order in self.orders if order["op"] == "launch"]

    def end(self, name, outcome, result=b"made"):
        """The agent tells how a run ended."""
        context = self.program.agent.runs.pop(name)
        self.program.agent.on_run_ended(context, outcome, result, 10)

    def stop(self):
        self.clients.close_all()
        for peer in self.peers:
            peer.connection.close()
        for end in (self.program.signals, self.program.wakeup):
            end.close()


class There:
    """A listening address; deaf, it answers no opening, as its queue is full."""

    def __init__(self, deaf=False):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0 if deaf else 8)
        self.address = self.listener.getsockname()
        self.links, self.fillers = [], []
        while deaf:
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            deaf = filler.connect_ex(self.address) in (0, 115) and len(self.fillers) < 4
        self.listener.setblocking(False)

    def said(self):
        """All that has been said here so far."""
        with suppress(BlockingIOError):
            while True:
                link, _ = self.listener.accept()
                link.setblocking(False)
                self.links.append((link, bytearray()))
        for link, said in self.links:
            with suppress(BlockingIOError):
                said += link.recv(65536)
        return b"".join(bytes(said) for _, said in self.links)

    def say(self, raw):
        for link, _ in self.links:
            link.sendall(raw)
            arrived(link)

    def close(self):
        for one in (self.listener, *self.fillers, *(link for link, _ in self.links)):
            one.close()


class Clocked:
    """A scheduler whose time the test moves on."""

    def __init__(self):
        self.time = 10_000_000
        self.scheduler = Scheduler(lambda: None, self.fault, lambda: self.time)
        self.parts = self.scheduler, Counters(), Log(self.scheduler, "t")
        self.places = []

    def fault(self, name, trouble):
        raise trouble

    def there(self, **how):
        self.places.append(There(**how))
        return self.places[-1]

    def passes(self, ms=0, count=4):
        self.time += ms * MS
        for _ in range(count):
            self.scheduler.poll_at_once = True
            self.scheduler.run_pass()

    def hears(self, place, part):
        """Whether that is said there, at this very time."""
        for _ in range(100):
            if part in place.said():
                return True
            self.passes()
            links = [place.listener, *(link for link, _ in place.links)]
            select.select(links, [], [], PATIENCE / 100)
        return False

    def until(self, happened, most):
        """How many ms went by until then, looked at every 10 of them."""
        for ms in range(0, most, 10):
            if happened():
                return ms
            self.passes(ms=10)
        return most

    def close(self):
        for place in self.places:
            place.close()
