"""Requests that arrive while a connection or the app server closes, on real sockets; each race is forced."""

import gc
import select
import socket
import weakref

import pytest

from birchslip.admission.types import Outcome
from birchslip.net.clients import (
    CLOSING_TIMEOUT,
    FINAL_ACCEPT_DELAY,
    MESSAGE_CHECK_INTERVAL,
    MESSAGE_TIMEOUT,
    MIN_EVICTION_AGE,
)
from birchslip.net.messagepack import pack
from birchslip.net.program import Phase
from birchslip.net.request_context import IdempotencyEntry

from .hall import Hall

KEY = "1" * 32
PAST_CLOSING_TIMEOUT_MS = CLOSING_TIMEOUT // 10 + 1


@pytest.fixture
def start():
    halls = []

    def build(**options):
        halls.append(Hall(**options))
        return halls[-1]

    yield build
    for hall in halls:
        hall.stop()


def read_until_end(router):
    """Returns all messages until the connection's end; a reset raises."""
    messages = []
    with pytest.raises(EOFError):
        while True:
            messages.append(router.message())
    return messages


def notified_router(hall):
    """Returns a router with an idle connection on which `closing` was sent."""
    router = hall.router()
    ping = router.ping()
    hall.passes()
    assert router.answer(ping)[0] is None
    for client in hall.clients.active:
        client.send_closing()
    hall.passes()
    return router


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_serves_request_that_arrives_as_idle_connection_closes(start, cut):
    """The request has arrived unread, in whole or in part, when the idle timeout passes."""
    hall = start()
    router = notified_router(hall)
    sent = []
    router.connection, link = type("Tap", (), {"sendall": sent.append})(), router.connection
    call = router.call("lookup", b"1", ts=str(hall.time // 10 + PAST_CLOSING_TIMEOUT_MS))
    router.connection = link
    raw = sent[0]
    link.sendall(raw[: len(raw) - cut])
    hall.passes(ms=PAST_CLOSING_TIMEOUT_MS)
    link.sendall(raw[len(raw) - cut :])
    hall.passes()
    (name,) = hall.launched()
    hall.end(name, Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.passes(ms=PAST_CLOSING_TIMEOUT_MS)  # without an open request it is closed
    assert read_until_end(router) == []


def test_discards_request_after_close_without_reset(start):
    hall = start()
    router = notified_router(hall)
    hall.passes(ms=PAST_CLOSING_TIMEOUT_MS)
    router.call("lookup", b"1")
    hall.passes()
    assert read_until_end(router) == [[2, "closing", []]]
    assert hall.launched() == []
    hall.hang_up(router)
    assert not hall.clients.active
    assert not hall.clients.lingering


@pytest.mark.parametrize("malformed", [b"\xc1", pack([0, 1, "ping", [{}]])])
def test_malformed_data_loses_no_responses_of_the_same_pass(start, malformed):
    hall = start()
    router = hall.router()
    first = pack([0, 1, "ping", [{}]]) + pack([0, 2, "unheard", [{}, b""]])
    router.connection.sendall(first + malformed + pack([0, 3, "ping", [{}]]))
    hall.passes()
    responses = read_until_end(router)
    assert [message[1] for message in responses] == [1, 2]
    assert hall.clients.counters.counts["clients.malformed"]


def test_malformed_data_leaves_one_response_to_each_open_request(start):
    hall = start()
    router = hall.router()
    launched = router.call("lookup", b"1")
    hall.passes()
    held = [router.call("lookup", b"1", need="900") for _ in range(4)]
    router.connection.sendall(b"\xc1")
    hall.passes()
    errors = {message[1]: message[2][0] for message in read_until_end(router)}
    assert sorted(errors) == [launched, *held]
    assert errors[launched] == "Failed"
    assert hall.orders[-1]["op"] == "freeze" or hall.orders[-2]["op"] == "freeze"  # its caller is gone
    assert len(hall.launched()) == 1  # a rejected request never runs
    assert set(errors[number] for number in held) == {"Overloaded"}


def test_message_timeout_waits_for_open_requests(start):
    hall = start()
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    router.connection.sendall(pack([0, 2, "ping", [{}]])[:3])
    hall.passes()
    hall.passes(ms=(MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL) // 10)
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.passes(ms=MESSAGE_CHECK_INTERVAL // 10)  # now the incomplete message has timed out
    assert read_until_end(router) == []
    assert hall.clients.counters.counts["clients.silent"] == 1


def test_request_is_served_among_many_silent_connections(start):
    """All are accepted in one pass, above the limit, before any of them is read."""
    hall = start(most=3)
    router = hall.router()
    call = router.call("lookup", b"1")
    crowd = [hall.router() for _ in range(20)]
    hall.passes()
    for _ in range(10):
        hall.passes(ms=MIN_EVICTION_AGE // 10)
    hall.passes(ms=100)
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    assert len(crowd) == 20
    assert len(hall.clients.active) <= 3


def test_reads_connection_before_evicting_it(start):
    hall = start(most=2)
    mute, router = hall.router(), hall.router()
    hall.passes()
    hall.passes(ms=300)
    call = mute.call("lookup", b"1")  # the candidate for eviction has just sent a request
    other = hall.router()
    hall.passes()
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert mute.answer(call) == (None, [b"made", {}])
    assert read_until_end(router) == []
    assert other.connection


def test_eviction_loses_no_responses_of_the_same_pass(start):
    """At the limit, every connection has just sent a message when as many new ones arrive in one pass."""
    hall = start(most=12)
    hall.clients.max_lingering = 4
    old = [hall.router() for _ in range(12)]
    for router in old:
        ping = router.ping()
        hall.passes()
        assert router.answer(ping)[0] is None
    hall.passes(ms=200)  # the listener is polled again
    pings = [router.ping() for router in old]
    new = [hall.router() for _ in range(12)]
    for _ in range(100):
        hall.passes(ms=10)
        assert len(hall.clients.active) + len(hall.clients.lingering) <= 16
    for router, ping in zip(old, pings, strict=True):
        assert router.answer(ping) == (None, [True, {}])
    assert len(new) == 12
    assert hall.clients.counters.counts["clients.made_room"] >= 12


def test_lingering_peer_that_reads_nothing_is_evicted(start):
    """At the limit, when the only connection is already being closed."""
    hall = start(most=1)
    hall.clients.max_lingering = 1
    first = hall.router()
    ping = first.ping()
    hall.passes()
    assert first.answer(ping)[0] is None
    (client,) = hall.clients.active
    client.connection.flush = lambda: None  # the socket takes nothing more
    first.ping()
    hall.passes()
    second, third = hall.router(), hall.router()
    call = third.ping()
    second.ping()
    for _ in range(30):
        hall.passes(ms=10)
    assert len(hall.clients.active) + len(hall.clients.lingering) <= 2
    assert third.answer(call) == (None, [True, {}])


def test_listener_closes_once_its_queue_is_accepted(start):
    hall = start(most=1)
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    end_drain_grace(hall)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)  # no room to accept
    assert hall.clients.listener is not None
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.hang_up(router)
    for _ in range(10):
        hall.passes(ms=10)
    assert hall.program.phase is Phase.ENDED


@pytest.mark.parametrize(
    "cause", ["closed by the router", "closing sent", "malformed data", "closed by the server"]
)
def test_closed_connection_is_freed_without_garbage_collection(start, cause):
    """A reference cycle would keep each connection in memory until the next garbage collection."""
    hall = start()
    gc.collect()
    gc.disable()
    try:
        router = hall.router()
        ping = router.ping()
        hall.passes()
        assert router.answer(ping)[0] is None
        (client,) = hall.clients.active
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
        hall.passes()
        hall.passes(ms=PAST_CLOSING_TIMEOUT_MS)
        hall.hang_up(router)
        hall.passes(ms=PAST_CLOSING_TIMEOUT_MS)
        assert [reference() for reference in references] == [None] * 3
    finally:
        gc.enable()


def end_drain_grace(hall):
    hall.program.begin_drain()
    hall.passes(ms=hall.program.config.settings.drain_grace // 10 + 1)
    assert hall.program.phase in (Phase.SHUT, Phase.CLOSING, Phase.ENDED)


def test_connection_in_accept_queue_at_drain_gets_response(start):
    """At the limit without an idle connection: the listener stays open until the queue is empty."""
    hall = start(most=1)
    first = hall.router()
    running = first.call("lookup", b"1")
    hall.passes()
    second = hall.router()
    waiting = second.call("lookup", b"1")
    end_drain_grace(hall)
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert first.answer(running) == (None, [b"made", {}])
    hall.hang_up(first)
    hall.passes(ms=100)
    hall.passes(ms=100)
    assert second.answer(waiting)[0][0] == "Overloaded"
    assert len(hall.launched()) == 1


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
    hall = start()
    listener = LateListener(hall.clients.listener, hall.address, pack([0, 1, "ping", [{}]]))
    hall.clients.listener = listener
    hall.program.begin_drain()
    hall.passes(count=1, ms=hall.program.config.settings.drain_grace // 10 + 1)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    assert hall.clients.listener is None
    assert len(listener.late_sockets) > 1
    for link in listener.late_sockets:
        if select.select([], [link], [], 0)[1]:  # it was accepted, so it was notified
            assert b"closing" in link.recv(1000)
        link.close()


@pytest.mark.parametrize("greets", [True, False])
def test_request_unread_at_exit_is_rejected_and_never_runs(start, greets):
    hall = start(greets=greets)
    router = hall.router()
    ping = router.ping()
    hall.passes()
    assert router.answer(ping)[0] is None
    call = router.call("lookup", b"1")
    hall.program.begin_drain()
    hall.program.begin_close()
    late = router.call("lookup", b"1")  # the connection is already being closed
    hall.passes()
    messages = read_until_end(router)
    assert [message[2][0] for message in messages if message[0] == 1] == ["Overloaded"]
    assert late > call
    assert not hall.launched()
    hall.hang_up(router)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    hall.passes(ms=1)
    assert hall.program.phase is Phase.ENDED


def test_rejects_repeat_of_earlier_incarnation_before_agent_greets(start):
    """It must not fail as unknown: its result may be stored, and available a moment later."""
    hall = start(greets=False)
    hall.program.idempotency_table.find_earlier = lambda context: IdempotencyEntry(
        context.idempotency_key, context, context.received_at, context, matches_earlier_run=lambda other: True
    )
    router = hall.router()
    call = router.call("order", b"1", opkey=KEY)
    hall.passes()
    assert router.answer(call)[0][0] == "Overloaded"


def test_accepts_only_repeats_of_running_requests_after_drain_grace(start):
    hall = start()
    router = hall.router()
    first = router.call("order", b"1", opkey=KEY)
    hall.passes()
    other = hall.router()
    hall.passes()
    end_drain_grace(hall)
    # both were sent before the router received `closing`
    again, new = other.call("order", b"1", opkey=KEY), other.call("order", b"1", opkey="2" * 32)
    hall.passes()
    assert other.answer(new)[0][0] == "Overloaded"
    assert again not in other.responses
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(first)[1] == other.answer(again)[1] == [b"made", {}]
    assert len(hall.launched()) == 1


def test_repeat_read_at_exit_fails_and_is_not_rejected(start):
    hall = start()
    router, other = hall.router(), hall.router()
    first = router.call("order", b"1", opkey=KEY)
    hall.passes()
    again = other.call("order", b"1", opkey=KEY)
    hall.program.begin_drain()
    hall.program.begin_drain()  # the second request ends the drain
    hall.passes()
    assert router.answer(first)[0][0] == other.answer(again)[0][0] == "Failed"
    assert len(hall.launched()) == 1


def test_no_request_starts_after_its_response_at_exit(start):
    hall = start()
    router = hall.router()
    calls = [router.call("lookup", b"1", need="400") for _ in range(6)]
    hall.passes()
    started = len(hall.launched())
    assert 0 < started < 6
    hall.program.begin_drain()
    hall.program.begin_close()
    for name in hall.launched():
        hall.end(name, Outcome.CANCELLED)  # the next request could start
    hall.passes()
    words = [router.answer(call)[0][0] for call in calls]
    assert sorted(words) == ["Failed"] * started + ["Overloaded"] * (6 - started)
    assert len(hall.launched()) == started


def test_stop_in_same_pass_as_result_loses_no_response(start):
    hall = start()
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    hall.program.begin_drain()
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.program.begin_drain()  # at once the second
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])


def test_stop_timeout_shorter_than_drain_grace_leaves_no_request_without_response(start):
    hall = start(stop_ms=500)
    router = hall.router()
    running = router.call("order", b"1", opkey=KEY)
    hall.passes()
    held = router.call("lookup", b"1", need="900")
    hall.program.begin_drain()
    hall.passes(ms=150)
    within = router.call("lookup", b"1", need="900")
    for _ in range(50):
        if hall.program.phase is not Phase.ENDED:
            hall.passes(ms=10)
    words = [router.answer(call)[0][0] for call in (running, held, within)]
    assert words[0] == "Failed"
    assert set(words[1:]) <= {"Overloaded", "Failed"}
    assert hall.program.phase is Phase.ENDED
    assert hall.time - hall.program.stop_deadline < 0
