"""Endpoints and connections of planners: a malformed, silent or late peer affects only its own connection."""

import socket
import threading

import pytest

from birchslip.cluster.transport import (
    DeferredReply,
    PeerConnection,
    PlannerEndpoint,
    RequestRefusedError,
)
from birchslip.errors import InvalidInputError
from birchslip.lab.wires import FaultProxy
from birchslip.net.messagepack import pack
from birchslip.net.scheduler import Scheduler

SECOND = 10_000


class Loopback:
    """An endpoint and clients in one scheduler; `run` runs a task until it ends."""

    def __init__(self):
        self.faults, self.served, self.closed = [], [], []
        self.scheduler = Scheduler(lambda: None, lambda name, error: self.faults.append((name, error)))
        self.endpoint = PlannerEndpoint(
            self.scheduler, 4, self.handle, lambda connection, reason: self.closed.append(reason)
        )
        self.address = self.endpoint.listen(("127.0.0.1", 0))
        self.scheduler.spawn("accept", self.endpoint.accept)

    def handle(self, connection, method, value):
        self.served.append((method, value))
        if method == "long":
            return b"x" * 40_000
        if method == "no":
            raise InvalidInputError("not today")
        return value.upper()

    def run(self, work):
        outcomes = []

        def task():
            try:
                outcomes.append(work())
            except Exception as error:
                outcomes.append(error)
            self.scheduler.stop()

        self.scheduler.at(self.scheduler.now + 10 * SECOND, self.scheduler.stop)
        self.scheduler.spawn("work", task)
        self.scheduler.run()
        self.scheduler.stopped = False
        assert outcomes, "the task did not end in time"
        if isinstance(outcomes[0], Exception):
            raise outcomes[0]
        return outcomes[0]

    def call(self, connection, method="echo", value=b"abc", wait=SECOND):
        return self.run(lambda: connection.call(method, value, self.scheduler.now + wait))


def test_long_values_are_split_and_a_refusal_keeps_the_connection_open():
    loopback = Loopback()
    connection = PeerConnection(loopback.scheduler, loopback.address)
    assert loopback.call(connection) == b"ABC"
    assert len(loopback.call(connection, "long")) == 40_000
    with pytest.raises(RequestRefusedError, match="not today"):
        loopback.call(connection, "no")
    assert loopback.call(connection, value=b"again") == b"AGAIN"
    assert not loopback.closed
    assert not loopback.faults


@pytest.mark.parametrize(
    "raw",
    [
        b"\xc1",
        pack([1, 2, 3]),
        pack([0, "x", "echo", [b""]]),
        pack([0, 1, "echo", ["text"]]),
        b"GET / HTTP/1.1\r\n",
    ],
    ids=["invalid byte", "response", "request id not a number", "value not bytes", "another protocol"],
)
def test_a_malformed_request_closes_only_its_own_connection(raw):
    loopback = Loopback()
    connection = PeerConnection(loopback.scheduler, loopback.address)
    loopback.call(connection)
    with socket.create_connection(loopback.address, 5) as other:
        other.sendall(raw)
        loopback.run(
            lambda: [
                loopback.scheduler.sleep(loopback.scheduler.now + 20)
                for _ in range(100)
                if not loopback.closed
            ]
        )
        assert other.recv(1) == b""
    assert loopback.call(connection) == b"ABC"


@pytest.mark.parametrize(
    "response",
    [None, pack([1, 1, None, b"no list"]), pack([1, 1]), b"\xc1\xc1", pack([1, 99, None, [b"late"]])],
    ids=["no response", "values not a list", "too few items", "invalid bytes", "other request id"],
)
def test_a_malformed_or_missing_response_fails_the_call_within_its_deadline(response):
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        accepted, _ = listener.accept()
        accepted.recv(4096)
        if response is not None:
            accepted.sendall(response)
        accepted.recv(4096)  # until the client closes the connection
        accepted.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    loopback = Loopback()
    connection = PeerConnection(loopback.scheduler, listener.getsockname())
    began = loopback.scheduler.clock()
    with pytest.raises(OSError, match="an answer of no known form|0xc1 is not supported|no answer in time"):
        loopback.call(connection, wait=3_000)
    assert loopback.scheduler.clock() - began < SECOND
    assert connection.connection is not None
    assert not connection.connection.open
    listener.close()


def test_each_proxy_mode_injects_its_fault():
    loopback = Loopback()
    proxy = FaultProxy(loopback.scheduler, loopback.address)
    connection = PeerConnection(loopback.scheduler, ("127.0.0.1", proxy.port))
    assert loopback.call(connection) == b"ABC"
    proxy.set_mode("late", 500)
    started_at = loopback.scheduler.clock()
    assert loopback.call(connection) == b"ABC"
    assert loopback.scheduler.clock() - started_at >= 1_000
    for mode, received in (("silent", 0), ("deaf", 1), ("mute", 0)):
        proxy.set_mode("pass")
        assert loopback.call(connection) == b"ABC"
        proxy.set_mode(mode)
        loopback.served.clear()
        with pytest.raises(OSError, match="no answer in time"):
            loopback.call(connection, wait=2_000)
        assert len(loopback.served) == received, mode
    proxy.set_mode("pass")
    assert loopback.call(connection) == b"ABC"
    proxy.set_mode("cut")
    with pytest.raises(OSError, match="ended by the peer"):
        loopback.call(connection)


@pytest.mark.parametrize("value", [b"granted", ValueError("no longer the leader")], ids=["value", "error"])
@pytest.mark.parametrize("first", ["complete", "deliver_to"])
def test_a_deferred_reply_that_is_complete_before_it_can_be_sent_is_not_lost(value, first):
    reply, sent = DeferredReply(), []
    for action in [first, "deliver_to" if first == "complete" else "complete"]:
        reply.complete(value) if action == "complete" else reply.deliver_to(sent.append)
    assert sent == [(None, [b"granted"]) if isinstance(value, bytes) else ("no longer the leader", None)]
