"""The scheduler, connections and their limits, on a clock that the test sets, pipes and socket pairs."""

import errno
import os
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

from birchslip.admission.types import Outcome
from birchslip.net.bounds import CALL_BYTES, CONNECTION_BYTES, compute_bounds
from birchslip.net.clients import MESSAGE_CHECK_INTERVAL, MESSAGE_TIMEOUT, SILENT_EVICTION_AGE, Clients
from birchslip.net.connection import Connection, SendBufferPool, connect
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.messagepack import pack
from birchslip.net.scheduler import MIN_CANCELLED_TO_SWEEP, READ, TASK_TIME_SLICE, Scheduler
from birchslip.net.vault import MAX_IDLE_TIME, REPLY_STALL_TIMEOUT, Vault

BOUNDS = compute_bounds(192 << 20, 0, 1024)


class SchedulerHarness:
    """A scheduler on a clock that the test sets.

    Attributes:
        time: Time of the clock, in tenths of a millisecond.
        events: What tasks recorded during the last pass, and `pass_end`.
        errors: Names of the tasks that failed and of their exceptions.
    """

    def __init__(self):
        self.time, self.events, self.errors = 1000, [], []
        self.scheduler = Scheduler(
            lambda: self.events.append("pass_end"),
            lambda name, error: self.errors.append((name, type(error).__name__)),
            self.clock,
        )

    def clock(self):
        return self.time

    def pass_at(self, time):
        """Run one pass at this time and return the events that tasks recorded in it."""
        self.time = time
        self.events.clear()
        self.scheduler.poll_at_once = True  # polls without waiting
        self.scheduler.run_pass()
        return [event for event in self.events if event != "pass_end"]


@pytest.fixture
def harness():
    return SchedulerHarness()


@pytest.fixture
def pipe():
    descriptors = os.pipe()
    yield descriptors
    for descriptor in descriptors:
        os.close(descriptor)


def test_timers_run_in_order_and_each_pass_ends_once(harness):
    for due, name in ((1030, "late"), (1010, "early"), (1010, "early too"), (1020, "dropped")):
        timer = harness.scheduler.at(due, lambda name=name: harness.events.append(name))
        if name == "dropped":
            timer.cancel()
            timer.cancel()  # the second call has no effect
    assert harness.pass_at(1009) == []
    assert harness.events == ["pass_end"]
    assert harness.pass_at(1010) == ["early", "early too"]
    assert harness.events[-1] == "pass_end"
    assert harness.pass_at(1100) == ["late"]
    assert not harness.scheduler.timers


def test_removes_cancelled_timers_from_heap(harness):
    timers = [harness.scheduler.at(9_000_000, lambda: None) for _ in range(MIN_CANCELLED_TO_SWEEP * 4)]
    for timer in timers[: MIN_CANCELLED_TO_SWEEP * 3]:
        timer.cancel()
    assert len(harness.scheduler.timers) <= MIN_CANCELLED_TO_SWEEP * 2


@pytest.mark.parametrize(("due", "milliseconds"), [(1000, 0), (1001, 1), (1010, 1), (1011, 2), (500, 0)])
def test_poll_timeout_is_rounded_up_to_next_timer(harness, due, milliseconds):
    assert harness.scheduler.poll_timeout_ms() is None
    harness.scheduler.at(due, lambda: None)
    assert harness.scheduler.poll_timeout_ms() == milliseconds


def test_clock_never_goes_back(harness):
    harness.pass_at(2000)
    harness.pass_at(1500)
    assert harness.scheduler.now == 2000


def test_task_waits_for_descriptor_or_timeout(harness, pipe):
    def task():
        for until in (1050, None):
            harness.events.append(harness.scheduler.wait(pipe[0], READ, until))

    harness.scheduler.spawn("reader", task)
    assert harness.pass_at(1000) == []
    assert harness.pass_at(1050) == [0]
    os.write(pipe[1], b"x")
    assert harness.pass_at(1060) == [READ]
    assert harness.pass_at(1070) == []
    assert pipe[0] not in harness.scheduler.event_masks


def test_pass_with_ready_tasks_also_polls_for_events(harness, pipe):
    harness.scheduler.spawn("reader", lambda: harness.events.append(harness.scheduler.wait(pipe[0], READ)))
    harness.pass_at(1000)
    os.write(pipe[1], b"x")
    harness.scheduler.spawn("call", lambda: harness.events.append("call"))
    assert harness.pass_at(1001) == ["call", READ]
    assert len(harness.events) == 3


def test_exception_ends_only_its_task(harness):
    harness.scheduler.spawn("bad", lambda: 1 // 0)
    harness.scheduler.at(1000, lambda: [][1])
    harness.scheduler.spawn("good", lambda: harness.events.append("good"))
    assert harness.pass_at(1000) == ["good"]
    assert [error for _, error in harness.errors] == [
        "IndexError",
        "ZeroDivisionError",
    ]


def test_due_timers_run_before_remaining_tasks(harness):
    """Reading from many busy connections must not delay ticks and timeouts."""

    def reader(name):
        harness.events.append(name)
        harness.time += TASK_TIME_SLICE

    for name in ("first", "second", "third"):
        harness.scheduler.spawn(name, lambda name=name: reader(name))
    harness.scheduler.at(1000 + TASK_TIME_SLICE, lambda: harness.events.append("due"))
    assert harness.pass_at(1000) == ["first"]
    assert harness.pass_at(harness.time) == ["due", "second"]
    assert harness.pass_at(harness.time) == ["third"]


def test_unregistering_descriptor_wakes_its_task(harness, pipe):
    harness.scheduler.spawn("reader", lambda: harness.events.append(harness.scheduler.wait(pipe[0], READ)))
    harness.pass_at(1000)
    harness.scheduler.unregister(pipe[0])
    assert harness.pass_at(1001) == [0]
    assert not harness.scheduler.event_masks


def connected_pair(harness, max_unsent_bytes=1 << 20, max_pool_bytes=1 << 20):
    local, peer = socket.socketpair()
    local.setblocking(False)
    peer.setblocking(False)
    return Connection(harness.scheduler, local, 4096, max_unsent_bytes, SendBufferPool(max_pool_bytes)), peer


def test_sends_writes_at_end_of_pass_and_the_rest_when_writable(harness):
    connection, peer = connected_pair(harness)
    harness.scheduler.spawn("connection", lambda: connection.serve(lambda buffer: None))
    harness.pass_at(1000)
    sent = [bytes([number]) * 10_000 for number in range(60)]
    for piece in sent:
        connection.write(piece)
    with pytest.raises(BlockingIOError):
        peer.recv(1)
    received = b""
    while len(received) < 600_000:
        harness.pass_at(1001)
        received += peer.recv(1 << 20)
    assert received == b"".join(sent)
    assert connection.unsent_bytes == 0
    assert connection.pool.unsent_bytes == 0


@pytest.mark.parametrize(("max_unsent_bytes", "max_pool_bytes"), [(1000, 1 << 30), (1 << 30, 1000)])
def test_closes_connection_of_peer_that_reads_too_slowly(harness, max_unsent_bytes, max_pool_bytes):
    connection, peer = connected_pair(harness, max_unsent_bytes, max_pool_bytes)
    harness.scheduler.spawn(
        "connection", lambda: harness.events.append(connection.serve(lambda buffer: None))
    )
    harness.pass_at(1000)
    for _ in range(100):
        connection.write(b"x" * 100_000)
    harness.pass_at(1001)
    assert harness.pass_at(1002) == ["reads too slowly"]
    assert connection.pool.unsent_bytes == 0
    peer.close()


def test_closes_connection_when_buffer_fills_without_message(harness):
    connection, peer = connected_pair(harness)
    harness.scheduler.spawn(
        "connection", lambda: harness.events.append(connection.serve(lambda buffer: None))
    )
    peer.send(b"x" * 4097)
    reasons = [reason for time in range(1000, 1010) for reason in harness.pass_at(time)]
    assert reasons == ["4096 bytes without a complete message"]
    assert connection.malformed


def test_survives_running_out_of_descriptors(harness):
    class Listener:
        def accept(self):
            harness.events.append("tried")
            raise OSError(errno.EMFILE, "too many")

    clients = Clients(harness.scheduler, Counters(), Log(harness.scheduler, "t"), BOUNDS)
    harness.scheduler.spawn("listener", lambda: clients.accept_ready(Listener()))
    harness.scheduler.spawn("other", lambda: harness.events.append("other"))
    assert harness.pass_at(1000) == ["tried", "other"]
    assert not harness.errors
    assert clients.counters.counts["clients.turned_away"] == 1


@pytest.mark.parametrize("descriptors", [384, 512])
@pytest.mark.parametrize("megabytes", [32, 64, 192])
def test_all_bounds_together_fit_into_memory_limit(megabytes, descriptors):
    """Even on small machines, with everything at its bound, an eighth of the memory is left for the rest."""
    bounds = compute_bounds(megabytes << 20, 18 << 20, descriptors)
    connections = bounds.connections * (CONNECTION_BYTES + bounds.unread)
    total = connections + bounds.calls * CALL_BYTES + bounds.unsent + bounds.orders
    assert total <= (megabytes - 18 << 20) * 7 // 8
    assert bounds.connections + bounds.calls < descriptors
    assert bounds.connections >= 256


def make_clients(harness, max_connections):
    """Build a `Clients` with a limit, and a function that connects a router to it on a socket pair."""
    clients = Clients(
        harness.scheduler,
        Counters(),
        Log(harness.scheduler, "t"),
        replace(BOUNDS, connections=max_connections),
    )
    peers = []

    def connect_router():
        local, peer = socket.socketpair()
        local.setblocking(False)
        peer.settimeout(1)
        clients.add_connection(local)
        peers.append(peer)
        return peer

    return clients, connect_router


def is_closed(peer):
    try:
        while peer.recv(100):
            pass
        return True
    except BlockingIOError:
        return False


PING = pack([0, 1, "ping", [{}]])


@pytest.mark.parametrize(
    ("first_part", "second_part", "closes"),
    [
        (b"", b"", True),
        (PING[:4], b"", True),
        (PING, b"", False),  # after a message a connection may be silent
        (PING + PING[:4], b"", True),
        (PING[:4], PING[4:], False),  # it arrived while this process was paused: not a timeout
        (b"", PING, False),
    ],
)
def test_closes_connection_without_complete_message_in_two_seconds(harness, first_part, second_part, closes):
    clients, connect_router = make_clients(harness, 4)
    router = connect_router()
    router.send(first_part)
    for time in range(1000, 1004):
        harness.pass_at(time)
    router.send(second_part)
    harness.scheduler.poller = type(
        "SilentPoller", (), {"poll": lambda *_: [], "register": print, "unregister": print}
    )()
    harness.pass_at(1000 + MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL)
    harness.pass_at(1001 + MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL)
    assert (len(clients.active) == 0) is closes
    assert clients.counters.counts["clients.silent"] == closes


@pytest.mark.parametrize(
    ("silent_since", "evicted"),
    [
        (1000, ["silent"]),
        (1000 + SILENT_EVICTION_AGE, ["old"]),  # a new connection has time to send a message
    ],
)
def test_evicts_silent_then_least_recently_used_connection_at_limit(harness, silent_since, evicted):
    clients, connect_router = make_clients(harness, 3)
    peers = {}
    for name, time in sorted(
        {"old": 1000, "young": 1001, "silent": silent_since}.items(), key=lambda item: item[1]
    ):
        harness.time = time
        harness.pass_at(time)
        peers[name] = connect_router()
        if name != "silent":
            peers[name].send(PING)
            harness.pass_at(time)
    harness.pass_at(1001 + SILENT_EVICTION_AGE)
    connect_router()
    harness.pass_at(1002 + SILENT_EVICTION_AGE)
    assert len(clients.active) == 3
    for peer in peers.values():
        peer.setblocking(False)
    assert [name for name, peer in peers.items() if is_closed(peer)] == evicted


A, B = "a" * 16, "b" * 16


class FakeVault:
    """A listener on which the test replies, a `Vault` connected to it, and the outcomes of its calls."""

    def __init__(self, harness):
        self.harness, self.outcomes = harness, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(5)
        self.vault = Vault(
            harness.scheduler, Counters(), Log(harness.scheduler, "t"), self.listener.getsockname(), 8
        )
        self.vault.on_call_ended = lambda context, outcome, body: self.outcomes.append(
            (context.request_id, outcome, body)
        )

    def run_until(self, condition, time=None):
        for _ in range(1000):
            self.harness.pass_at(time or self.harness.time)
            if condition():
                return
        raise AssertionError(f"only {self.outcomes}")

    def start_call(self, name, link=None):
        """Start a call, read it on `link` or on a new connection, and return that connection."""
        self.vault.call(SimpleNamespace(request_id=name), 500, b"body")
        counts, before = self.vault.counters.counts, self.vault.counters.counts["vault.links"]
        if link is None:
            self.run_until(lambda: counts["vault.links"] > before)
            link, _ = self.listener.accept()
            link.settimeout(5)
        else:
            self.run_until(lambda: self.vault.calls[name].link)
        assert link.recv(100) == f"ask {name} 500 4\r\nbody\r\n".encode()
        return link


def served_reply(name, body):
    return f"{name} yes {len(body)}\r\n".encode() + body + b"\r\n"


@pytest.mark.parametrize(
    ("reply", "outcome", "body"),
    [
        (served_reply(A, b"paid"), Outcome.SERVED, b"paid"),
        (served_reply(A, b""), Outcome.SERVED, b""),
        (served_reply(B, b"not yours") + served_reply(A, b"paid"), Outcome.SERVED, b"paid"),
        (f"{B} failed\r\n".encode() + served_reply(A, b"paid"), Outcome.SERVED, b"paid"),
        (f"{A} notnow\r\n".encode(), Outcome.REJECTED, b""),
        (f"{A} pointless\r\n".encode(), Outcome.SUPERSEDED, b""),
        (b"\xff\xfe\x00 noise\r\n", Outcome.CONNECTION_LOST, b""),
        (b"x" * 300, Outcome.CONNECTION_LOST, b""),
        (f"{A} yes -4\r\npaid\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} yes 3000000000\r\npaid".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} yes 2\r\npaid\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} maybe\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{B} failed\r\n".encode() * 9, Outcome.CONNECTION_LOST, b""),
        (None, Outcome.CONNECTION_LOST, b""),  # closed without a reply
    ],
)
def test_reply_of_vault_determines_outcome_of_call(harness, reply, outcome, body):
    fake_vault = FakeVault(harness)
    link = fake_vault.start_call(A)
    link.sendall(reply) if reply is not None else link.close()
    fake_vault.run_until(lambda: fake_vault.outcomes)
    assert fake_vault.outcomes == [(A, outcome, body)]
    assert not fake_vault.vault.calls


@pytest.mark.parametrize(
    "partial_reply", [A.encode(), f"{A} yes 9\r\n".encode(), f"{A} yes 9\r\npaid\r\n".encode()]
)
def test_stalled_reply_ends_call_before_its_timeout(harness, partial_reply):
    fake_vault = FakeVault(harness)
    fake_vault.start_call(A).sendall(partial_reply)
    call = fake_vault.vault.calls[A]
    fake_vault.run_until(lambda: call.reply_head or len(call.link.buffer))
    fake_vault.run_until(lambda: fake_vault.outcomes, harness.time + REPLY_STALL_TIMEOUT)
    assert fake_vault.outcomes == [(A, Outcome.CONNECTION_LOST, b"")]


@pytest.mark.parametrize(
    ("reply", "wait", "is_reused"),
    [
        (served_reply(A, b"paid"), MAX_IDLE_TIME - 1, True),
        (served_reply(A, b"paid"), MAX_IDLE_TIME, False),  # the vault may have dropped it
        (served_reply(A, b"paid") + served_reply(A, b"paid"), 0, False),  # data after its reply
        (served_reply(A, b"paid") + b"x", 0, False),
    ],
)
def test_vault_connection_is_reused_only_right_after_its_reply(harness, reply, wait, is_reused):
    fake_vault = FakeVault(harness)
    link = fake_vault.start_call(A)
    link.sendall(reply)
    fake_vault.run_until(lambda: fake_vault.outcomes)
    harness.time += wait
    fake_vault.start_call(B, link if is_reused else None).sendall(served_reply(B, b"too"))
    fake_vault.run_until(lambda: len(fake_vault.outcomes) == 2)
    assert fake_vault.outcomes[1] == (B, Outcome.SERVED, b"too")
    assert fake_vault.vault.counters.counts["vault.links"] == (1 if is_reused else 2)


def test_refused_connection_raises_only_in_its_task(harness):
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    listener.close()

    def task():
        try:
            connect(harness.scheduler, address)
        except OSError:
            harness.events.append("refused")

    harness.scheduler.spawn("peer", task)
    events = [event for time in range(1000, 1010) for event in harness.pass_at(time)]
    assert events == ["refused"]
    assert not harness.scheduler.event_masks
