"""Requests that arrive while a connection or the app server closes, on real sockets; each race is forced."""

import gc
import select
import socket
import weakref

import pytest

from birchslip.admission.types import Outcome
from birchslip.net.client import CLOSING_TIMEOUT
from birchslip.net.clients import (
    FINAL_ACCEPT_DELAY,
    MESSAGE_CHECK_INTERVAL,
    MESSAGE_TIMEOUT,
    MIN_EVICTION_AGE,
)
from birchslip.net.messagepack import pack
from birchslip.net.program import Phase
from birchslip.net.request_context import IdempotencyEntry

from .socket_harness import start_program_harnesses

KEY = "1" * 32
PAST_CLOSING_TIMEOUT_MS = CLOSING_TIMEOUT // 10 + 1


@pytest.fixture
def start():
    yield from start_program_harnesses()


def read_until_end(router):
    """Return all messages until the connection's end; a reset fails the test."""
    messages = []
    with pytest.raises(EOFError):
        while True:
            messages.append(router.message())
    return messages


def notified_router(harness):
    """Return a router with an idle connection on which `closing` was sent."""
    router = harness.connect_router()
    ping = router.ping()
    harness.run_passes()
    assert router.answer(ping)[0] is None
    for client in harness.clients.active:
        client.send_closing()
    harness.run_passes()
    return router


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_serves_request_that_arrives_as_idle_connection_closes(start, cut):
    """The request has arrived unread, in whole or in part, when the time to close the connection passes.

    The connection must then be neither closed nor reset.
    """
    harness = start()
    router = notified_router(harness)
    sent = []
    router.connection, link = type("Tap", (), {"sendall": sent.append})(), router.connection
    call = router.call("lookup", b"1", ts=str(harness.time // 10 + PAST_CLOSING_TIMEOUT_MS))
    router.connection = link
    raw = sent[0]
    link.sendall(raw[: len(raw) - cut])
    harness.run_passes(ms=PAST_CLOSING_TIMEOUT_MS)
    link.sendall(raw[len(raw) - cut :])
    harness.run_passes()
    (name,) = harness.launched_runs()
    harness.end_run(name, Outcome.SERVED)
    harness.run_passes()
    assert router.answer(call) == (None, [b"made", {}])
    harness.run_passes(ms=PAST_CLOSING_TIMEOUT_MS)  # without an open request it is closed
    assert read_until_end(router) == []


def test_discards_request_after_close_without_reset(start):
    harness = start()
    router = notified_router(harness)
    harness.run_passes(ms=PAST_CLOSING_TIMEOUT_MS)
    router.call("lookup", b"1")
    harness.run_passes()
    assert read_until_end(router) == [[2, "closing", []]]
    assert harness.launched_runs() == []
    harness.disconnect(router)
    assert not harness.clients.active
    assert not harness.clients.lingering


@pytest.mark.parametrize("malformed", [b"\xc1", pack([0, 1, "ping", [{}]])])
def test_malformed_data_loses_no_responses_of_the_same_pass(start, malformed):
    harness = start()
    router = harness.connect_router()
    first = pack([0, 1, "ping", [{}]]) + pack([0, 2, "unheard", [{}, b""]])
    router.connection.sendall(first + malformed + pack([0, 3, "ping", [{}]]))
    harness.run_passes()
    responses = read_until_end(router)
    assert [message[1] for message in responses] == [1, 2]
    assert harness.clients.counters.counts["clients.malformed"]


def test_malformed_data_leaves_one_response_to_each_open_request(start):
    harness = start()
    router = harness.connect_router()
    launched = router.call("lookup", b"1")
    harness.run_passes()
    held = [router.call("lookup", b"1", need="900") for _ in range(4)]
    router.connection.sendall(b"\xc1")
    harness.run_passes()
    errors = {message[1]: message[2][0] for message in read_until_end(router)}
    assert sorted(errors) == [launched, *held]
    assert errors[launched] == "Failed"
    assert harness.orders[-1]["op"] == "freeze" or harness.orders[-2]["op"] == "freeze"  # its caller is gone
    assert len(harness.launched_runs()) == 1  # a rejected request never runs
    assert set(errors[number] for number in held) == {"Overloaded"}


def test_message_timeout_waits_for_open_requests(start):
    harness = start()
    router = harness.connect_router()
    call = router.call("lookup", b"1")
    harness.run_passes()
    router.connection.sendall(pack([0, 2, "ping", [{}]])[:3])
    harness.run_passes()
    harness.run_passes(ms=(MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL) // 10)
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert router.answer(call) == (None, [b"made", {}])
    harness.run_passes(ms=MESSAGE_CHECK_INTERVAL // 10)  # now the incomplete message has timed out
    assert read_until_end(router) == []
    assert harness.clients.counters.counts["clients.silent"] == 1


def test_request_is_served_among_many_silent_connections(start):
    """All are accepted in one pass, above the limit, before any of them is read."""
    harness = start(max_connections=3)
    router = harness.connect_router()
    call = router.call("lookup", b"1")
    silent_routers = [harness.connect_router() for _ in range(20)]
    harness.run_passes()
    for _ in range(10):
        harness.run_passes(ms=MIN_EVICTION_AGE // 10)
    harness.run_passes(ms=100)
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert router.answer(call) == (None, [b"made", {}])
    assert len(silent_routers) == 20
    assert len(harness.clients.active) <= 3


def test_reads_connection_before_evicting_it(start):
    harness = start(max_connections=2)
    candidate, router = harness.connect_router(), harness.connect_router()
    harness.run_passes()
    harness.run_passes(ms=300)
    call = candidate.call("lookup", b"1")  # the candidate for eviction has just sent a request
    other = harness.connect_router()
    harness.run_passes()
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert candidate.answer(call) == (None, [b"made", {}])
    assert read_until_end(router) == []
    assert other.connection


def test_eviction_loses_no_responses_of_the_same_pass(start):
    """At the limit, every connection has just sent a message when as many new ones arrive in one pass."""
    harness = start(max_connections=12)
    harness.clients.max_lingering = 4
    old = [harness.connect_router() for _ in range(12)]
    for router in old:
        ping = router.ping()
        harness.run_passes()
        assert router.answer(ping)[0] is None
    harness.run_passes(ms=200)  # the listener is polled again
    pings = [router.ping() for router in old]
    new = [harness.connect_router() for _ in range(12)]
    for _ in range(100):
        harness.run_passes(ms=10)
        assert len(harness.clients.active) + len(harness.clients.lingering) <= 16
    for router, ping in zip(old, pings, strict=True):
        assert router.answer(ping) == (None, [True, {}])
    assert len(new) == 12
    assert harness.clients.counters.counts["clients.made_room"] >= 12


def test_lingering_peer_that_reads_nothing_is_evicted(start):
    """At the limit, when the only connection is already being closed."""
    harness = start(max_connections=1)
    harness.clients.max_lingering = 1
    first = harness.connect_router()
    ping = first.ping()
    harness.run_passes()
    assert first.answer(ping)[0] is None
    (client,) = harness.clients.active
    client.connection.flush = lambda: None  # the socket takes nothing more
    first.ping()
    harness.run_passes()
    second, third = harness.connect_router(), harness.connect_router()
    call = third.ping()
    second.ping()
    for _ in range(30):
        harness.run_passes(ms=10)
    assert len(harness.clients.active) + len(harness.clients.lingering) <= 2
    assert third.answer(call) == (None, [True, {}])


def test_listener_closes_once_its_queue_is_accepted(start):
    harness = start(max_connections=1)
    router = harness.connect_router()
    call = router.call("lookup", b"1")
    harness.run_passes()
    end_drain_grace(harness)
    harness.run_passes(ms=FINAL_ACCEPT_DELAY // 10)  # no room to accept
    assert harness.clients.listener is not None
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert router.answer(call) == (None, [b"made", {}])
    harness.disconnect(router)
    for _ in range(10):
        harness.run_passes(ms=10)
    assert harness.program.phase is Phase.ENDED


@pytest.mark.parametrize(
    "cause", ["closed by the router", "closing sent", "malformed data", "closed by the server"]
)
def test_closed_connection_is_freed_without_garbage_collection(start, cause):
    """A reference cycle would keep each connection in memory until the next garbage collection."""
    harness = start()
    gc.collect()
    gc.disable()
    try:
        router = harness.connect_router()
        ping = router.ping()
        harness.run_passes()
        assert router.answer(ping)[0] is None
        (client,) = harness.clients.active
        references = [
            weakref.ref(client),
            weakref.ref(client.connection),
            weakref.ref(client.connection.buffer),
        ]
        if cause == "closing sent":
            client.send_closing()
        elif cause == "malformed data":
            router.connection.sendall(b"\xc1")
        elif cause == "closed by the server":
            client.connection.close("dropped")
        del client
        harness.run_passes()
        harness.run_passes(ms=PAST_CLOSING_TIMEOUT_MS)
        harness.disconnect(router)
        harness.run_passes(ms=PAST_CLOSING_TIMEOUT_MS)
        assert [reference() for reference in references] == [None] * 3
    finally:
        gc.enable()


def end_drain_grace(harness):
    harness.program.begin_drain()
    harness.run_passes(ms=harness.program.config.settings.drain_grace // 10 + 1)
    assert harness.program.phase in (Phase.SHUT, Phase.CLOSING, Phase.ENDED)


def test_connection_in_accept_queue_at_drain_gets_response(start):
    """At the limit without an idle connection: the listener stays open until the queue is empty."""
    harness = start(max_connections=1)
    first = harness.connect_router()
    running = first.call("lookup", b"1")
    harness.run_passes()
    second = harness.connect_router()
    waiting = second.call("lookup", b"1")
    end_drain_grace(harness)
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert first.answer(running) == (None, [b"made", {}])
    harness.disconnect(first)
    harness.run_passes(ms=100)
    harness.run_passes(ms=100)
    assert second.answer(waiting)[0][0] == "Overloaded"
    assert len(harness.launched_runs()) == 1


class LateListener:
    """A listener to which a router connects and sends a request each time `accept` finds the queue empty."""

    def __init__(self, listener, address, request):
        self.listener, self.request, self.late_sockets = listener, request, []
        host, _, port = address.rpartition(":")
        self.address = host, int(port)

    def __getattr__(self, name):
        return getattr(self.listener, name)

    def accept(self):
        try:
            return self.listener.accept()
        except BlockingIOError:
            if len(self.late_sockets) < 8:
                link = socket.socket()
                link.setblocking(False)
                link.connect_ex(self.address)
                self.late_sockets.append(link)
                if select.select([], [link], [], 0)[1]:
                    link.sendall(self.request)
            raise


def test_connection_opened_as_listener_closes_is_not_reset(start):
    harness = start()
    listener = LateListener(harness.clients.listener, harness.address, pack([0, 1, "ping", [{}]]))
    harness.clients.listener = listener
    harness.program.begin_drain()
    harness.run_passes(count=1, ms=harness.program.config.settings.drain_grace // 10 + 1)
    harness.run_passes(ms=FINAL_ACCEPT_DELAY // 10)
    harness.run_passes(ms=FINAL_ACCEPT_DELAY // 10)
    assert harness.clients.listener is None
    assert len(listener.late_sockets) > 1
    for link in listener.late_sockets:
        if select.select([], [link], [], 0)[1]:  # it was accepted, so it was notified
            assert b"closing" in link.recv(1000)
        link.close()


@pytest.mark.parametrize("greets", [True, False])
def test_request_unread_at_exit_is_rejected_and_never_runs(start, greets):
    harness = start(agent_greets=greets)
    router = harness.connect_router()
    ping = router.ping()
    harness.run_passes()
    assert router.answer(ping)[0] is None
    call = router.call("lookup", b"1")
    harness.program.begin_drain()
    harness.program.begin_close()
    late = router.call("lookup", b"1")  # the connection is already being closed
    harness.run_passes()
    messages = read_until_end(router)
    assert [message[2][0] for message in messages if message[0] == 1] == ["Overloaded"]
    assert late > call
    assert not harness.launched_runs()
    harness.disconnect(router)
    harness.run_passes(ms=FINAL_ACCEPT_DELAY // 10)
    harness.run_passes(ms=1)
    assert harness.program.phase is Phase.ENDED


def test_rejects_repeat_of_earlier_incarnation_before_agent_greets(start):
    """It must not fail as unknown: its result may be stored, and available a moment later."""
    harness = start(agent_greets=False)
    harness.program.idempotency_table.find_earlier = lambda context: IdempotencyEntry(
        context.idempotency_key, context, context.received_at, context, matches_earlier_run=lambda other: True
    )
    router = harness.connect_router()
    call = router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    assert router.answer(call)[0][0] == "Overloaded"


def test_accepts_only_repeats_of_running_requests_after_drain_grace(start):
    harness = start()
    router = harness.connect_router()
    first = router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    other = harness.connect_router()
    harness.run_passes()
    end_drain_grace(harness)
    # Both are sent before the router receives `closing`.
    repeat, new = other.call("order", b"1", opkey=KEY), other.call("order", b"1", opkey="2" * 32)
    harness.run_passes()
    assert other.answer(new)[0][0] == "Overloaded"
    assert repeat not in other.responses
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.run_passes()
    assert router.answer(first)[1] == other.answer(repeat)[1] == [b"made", {}]
    assert len(harness.launched_runs()) == 1


def test_repeat_read_at_exit_fails_and_is_not_rejected(start):
    harness = start()
    router, other = harness.connect_router(), harness.connect_router()
    first = router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    repeat = other.call("order", b"1", opkey=KEY)
    harness.program.begin_drain()
    harness.program.begin_drain()  # the second request to stop ends the drain
    harness.run_passes()
    assert router.answer(first)[0][0] == other.answer(repeat)[0][0] == "Failed"
    assert len(harness.launched_runs()) == 1


def test_no_request_starts_after_its_response_at_exit(start):
    harness = start()
    router = harness.connect_router()
    calls = [router.call("lookup", b"1", need="400") for _ in range(6)]
    harness.run_passes()
    started = len(harness.launched_runs())
    assert 0 < started < 6
    harness.program.begin_drain()
    harness.program.begin_close()
    for name in harness.launched_runs():
        harness.end_run(name, Outcome.CANCELLED)  # the next request could start
    harness.run_passes()
    words = [router.answer(call)[0][0] for call in calls]
    assert sorted(words) == ["Failed"] * started + ["Overloaded"] * (6 - started)
    assert len(harness.launched_runs()) == started


def test_stop_in_same_pass_as_result_loses_no_response(start):
    harness = start()
    router = harness.connect_router()
    call = router.call("lookup", b"1")
    harness.run_passes()
    harness.program.begin_drain()
    harness.end_run(harness.launched_runs()[0], Outcome.SERVED)
    harness.program.begin_drain()  # the second request to stop, at once
    harness.run_passes()
    assert router.answer(call) == (None, [b"made", {}])


def test_stop_timeout_shorter_than_drain_grace_leaves_no_request_without_response(start):
    harness = start(stop_ms=500)
    router = harness.connect_router()
    running = router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    held = router.call("lookup", b"1", need="900")
    harness.program.begin_drain()
    harness.run_passes(ms=150)
    in_grace = router.call("lookup", b"1", need="900")
    for _ in range(50):
        if harness.program.phase is not Phase.ENDED:
            harness.run_passes(ms=10)
    words = [router.answer(call)[0][0] for call in (running, held, in_grace)]
    assert words[0] == "Failed"
    assert set(words[1:]) <= {"Overloaded", "Failed"}
    assert harness.program.phase is Phase.ENDED
    assert harness.time - harness.program.stop_deadline < 0
