"""What comes in the moment of a close, on real connections; the bad order is made to happen every time."""

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
TOLD_MS = CLOSING_TIMEOUT // 10 + 1


@pytest.fixture
def begin():
    halls = []

    def made(**more):
        halls.append(Hall(**more))
        return halls[-1]

    yield made
    for hall in halls:
        hall.stop()


def at_the_end(router):
    """What is still read before the connection's end; a reset on the way is an error."""
    said = []
    with pytest.raises(EOFError):
        while True:
            said.append(router.message())
    return said


def told_closing(hall):
    """A router that rests on a connection that was told `closing`."""
    router = hall.router()
    ping = router.ping()
    hall.passes()
    assert router.answer(ping)[0] is None
    for client in hall.clients.active:
        client.send_closing()
    hall.passes()
    return router


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_a_request_in_the_moment_of_an_idle_close_is_served(begin, cut):
    """It lies unread, whole or in part, when the connection's time is up: no close, and no reset."""
    hall = begin()
    router = told_closing(hall)
    sent = []
    router.connection, link = type("Tap", (), {"sendall": sent.append})(), router.connection
    call = router.call("lookup", b"1", ts=str(hall.time // 10 + TOLD_MS))
    router.connection = link
    raw = sent[0]
    link.sendall(raw[: len(raw) - cut])
    hall.passes(ms=TOLD_MS)
    link.sendall(raw[len(raw) - cut :])
    hall.passes()
    (name,) = hall.launched()
    hall.end(name, Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.passes(ms=TOLD_MS)  # and once nothing is open, it ends
    assert at_the_end(router) == []


def test_what_comes_after_the_end_is_neither_run_nor_answered_and_resets_nothing(begin):
    hall = begin()
    router = told_closing(hall)
    hall.passes(ms=TOLD_MS)
    router.call("lookup", b"1")
    hall.passes()
    assert at_the_end(router) == [[2, "closing", []]]
    assert hall.launched() == []
    hall.hang_up(router)
    assert not hall.clients.active
    assert not hall.clients.lingering


@pytest.mark.parametrize("rubbish", [b"\xc1", pack([0, 1, "ping", [{}]])])
def test_answers_of_the_same_pass_are_not_lost_with_what_cannot_be_read(begin, rubbish):
    hall = begin()
    router = hall.router()
    first = pack([0, 1, "ping", [{}]]) + pack([0, 2, "unheard", [{}, b""]])
    router.connection.sendall(first + rubbish + pack([0, 3, "ping", [{}]]))
    hall.passes()
    answers = at_the_end(router)
    assert [message[1] for message in answers] == [1, 2]
    assert hall.clients.counters.counts["clients.malformed"]


def test_what_was_open_on_a_connection_that_is_spoilt_gets_its_one_answer(begin):
    hall = begin()
    router = hall.router()
    launched = router.call("lookup", b"1")
    hall.passes()
    held = [router.call("lookup", b"1", need="900") for _ in range(4)]
    router.connection.sendall(b"\xc1")
    hall.passes()
    said = {message[1]: message[2][0] for message in at_the_end(router)}
    assert sorted(said) == [launched, *held]
    assert said[launched] == "Failed"
    assert hall.orders[-1]["op"] == "freeze" or hall.orders[-2]["op"] == "freeze"  # nobody waits for it
    assert len(hall.launched()) == 1  # what was told never to have run does not run afterwards
    assert set(said[number] for number in held) == {"Overloaded"}


def test_a_slow_writer_keeps_what_else_is_open_on_its_connection(begin):
    hall = begin()
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    router.connection.sendall(pack([0, 2, "ping", [{}]])[:3])
    hall.passes()
    hall.passes(ms=(MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL) // 10)
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.passes(ms=MESSAGE_CHECK_INTERVAL // 10)  # then the half message is one too late
    assert at_the_end(router) == []
    assert hall.clients.counters.counts["clients.silent"] == 1


def test_a_router_among_a_crowd_that_says_nothing_gets_in_with_its_request(begin):
    """All are accepted in one pass, past the bound, before any of them is read."""
    hall = begin(most=3)
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


def test_who_is_to_make_room_is_read_before(begin):
    hall = begin(most=2)
    mute, router = hall.router(), hall.router()
    hall.passes()
    hall.passes(ms=300)
    call = mute.call("lookup", b"1")  # the one that would go has just said something
    other = hall.router()
    hall.passes()
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert mute.answer(call) == (None, [b"made", {}])
    assert at_the_end(router) == []
    assert other.connection


def test_answers_are_not_cut_off_in_the_pass_that_ends_their_connection(begin):
    """Each of a full table has just said something when as many new ones come in one pass."""
    hall = begin(most=12)
    hall.clients.max_lingering = 4
    old = [hall.router() for _ in range(12)]
    for router in old:
        ping = router.ping()
        hall.passes()
        assert router.answer(ping)[0] is None
    hall.passes(ms=200)  # the listener is looked at again
    pings = [router.ping() for router in old]
    new = [hall.router() for _ in range(12)]
    for _ in range(100):
        hall.passes(ms=10)
        assert len(hall.clients.active) + len(hall.clients.lingering) <= 16
    for router, ping in zip(old, pings, strict=True):
        assert router.answer(ping) == (None, [True, {}])
    assert len(new) == 12
    assert hall.clients.counters.counts["clients.made_room"] >= 12


def test_one_that_reads_nothing_does_not_keep_others_out_for_long(begin):
    """At the bound, with no more connections to end than the one that was ended first."""
    hall = begin(most=1)
    hall.clients.max_lingering = 1
    first = hall.router()
    ping = first.ping()
    hall.passes()
    assert first.answer(ping)[0] is None
    (client,) = hall.clients.active
    client.connection.flush = lambda: None  # the system takes nothing more for it
    first.ping()
    hall.passes()
    second, third = hall.router(), hall.router()
    call = third.ping()
    second.ping()
    for _ in range(30):
        hall.passes(ms=10)
    assert len(hall.clients.active) + len(hall.clients.lingering) <= 2
    assert third.answer(call) == (None, [True, {}])


def test_the_listener_closes_once_there_was_room_for_who_waited_and_nobody_waits(begin):
    hall = begin(most=1)
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    leave(hall)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)  # no room to look whether someone waits
    assert hall.clients.listener is not None
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])
    hall.hang_up(router)
    for _ in range(10):
        hall.passes(ms=10)
    assert hall.program.phase is Phase.ENDED


@pytest.mark.parametrize("how", ["its own end", "told closing", "rubbish", "the program's close"])
def test_a_connection_that_is_over_is_freed_without_a_collection(begin, how):
    """Guards against memory that grows with each connection until the collector comes by."""
    hall = begin()
    gc.collect()
    gc.disable()
    try:
        router = hall.router()
        ping = router.ping()
        hall.passes()
        assert router.answer(ping)[0] is None
        (client,) = hall.clients.active
        watched = [weakref.ref(client), weakref.ref(client.connection), weakref.ref(client.connection.buffer)]
        if how == "told closing":
            client.send_closing()
        elif how == "rubbish":
            router.connection.sendall(b"\xc1")
        elif how == "the program's close":
            client.connection.close("dropped")
        del client
        hall.passes()
        hall.passes(ms=TOLD_MS)
        hall.hang_up(router)
        hall.passes(ms=TOLD_MS)
        assert [one() for one in watched] == [None] * 3
    finally:
        gc.enable()


def leave(hall):
    hall.program.begin_drain()
    hall.passes(ms=hall.program.site.settings.drain_grace // 10 + 1)
    assert hall.program.phase in (Phase.SHUT, Phase.CLOSING, Phase.ENDED)


def test_who_waits_in_the_systems_queue_at_the_shutdown_is_answered(begin):
    """At the bound, with no connection to spare: the listener stays until they have been let in."""
    hall = begin(most=1)
    first = hall.router()
    running = first.call("lookup", b"1")
    hall.passes()
    second = hall.router()
    waiting = second.call("lookup", b"1")
    leave(hall)
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert first.answer(running) == (None, [b"made", {}])
    hall.hang_up(first)
    hall.passes(ms=100)
    hall.passes(ms=100)
    assert second.answer(waiting)[0][0] == "Overloaded"
    assert len(hall.launched()) == 1


class LateListener:
    """Each time its queue is found empty, a router connects and sends a request before the next line runs."""

    def __init__(self, listener, address, raw):
        self.listener, self.raw, self.late = listener, raw, []
        host, _, port = address.rpartition(":")
        self.there = host, int(port)

    def __getattr__(self, name):
        return getattr(self.listener, name)

    def accept(self):
        try:
            return self.listener.accept()
        except BlockingIOError:
            if len(self.late) < 8:
                link = socket.socket()
                link.setblocking(False)
                link.connect_ex(self.there)
                self.late.append(link)
                if select.select([], [link], [], 0)[1]:
                    link.sendall(self.raw)
            raise


def test_a_connection_opened_as_the_listener_closes_is_not_reset_with_its_request(begin):
    hall = begin()
    listener = LateListener(hall.clients.listener, hall.address, pack([0, 1, "ping", [{}]]))
    hall.clients.listener = listener
    hall.program.begin_drain()
    hall.passes(count=1, ms=hall.program.site.settings.drain_grace // 10 + 1)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    assert hall.clients.listener is None
    assert len(listener.late) > 1
    for link in listener.late:
        if select.select([], [link], [], 0)[1]:  # it was let in: then it has its answer
            assert b"closing" in link.recv(1000)
        link.close()


@pytest.mark.parametrize("greets", [True, False])
def test_a_request_that_lies_unread_at_the_end_is_answered_and_not_run(begin, greets):
    hall = begin(greets=greets)
    router = hall.router()
    ping = router.ping()
    hall.passes()
    assert router.answer(ping)[0] is None
    call = router.call("lookup", b"1")
    hall.program.begin_drain()
    hall.program.begin_close()
    late = router.call("lookup", b"1")  # the end is on its way
    hall.passes()
    said = at_the_end(router)
    assert [message[2][0] for message in said if message[0] == 1] == ["Overloaded"]
    assert late > call
    assert not hall.launched()
    hall.hang_up(router)
    hall.passes(ms=FINAL_ACCEPT_DELAY // 10)
    hall.passes(ms=1)
    assert hall.program.phase is Phase.ENDED


def test_before_the_agent_greets_a_repeat_of_an_earlier_life_may_come_again(begin):
    """Guards against writing off, as unknown, what is kept and can be told a moment later."""
    hall = begin(greets=False)
    hall.program.idempotency_table.find_earlier = lambda context: IdempotencyEntry(
        context.idempotency_key, context, context.received_at, context, matches_earlier_run=lambda other: True
    )
    router = hall.router()
    call = router.call("order", b"1", opkey=KEY)
    hall.passes()
    assert router.answer(call)[0][0] == "Overloaded"


def test_after_the_shutdown_only_a_repeat_of_what_runs_is_taken(begin):
    hall = begin()
    router = hall.router()
    first = router.call("order", b"1", opkey=KEY)
    hall.passes()
    other = hall.router()
    hall.passes()
    leave(hall)
    # both cross the notice that the connection closes
    again, new = other.call("order", b"1", opkey=KEY), other.call("order", b"1", opkey="2" * 32)
    hall.passes()
    assert other.answer(new)[0][0] == "Overloaded"
    assert again not in other.responses
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.passes()
    assert router.answer(first)[1] == other.answer(again)[1] == [b"made", {}]
    assert len(hall.launched()) == 1


def test_a_repeat_read_at_the_end_never_hears_that_it_has_not_run(begin):
    hall = begin()
    router, other = hall.router(), hall.router()
    first = router.call("order", b"1", opkey=KEY)
    hall.passes()
    again = other.call("order", b"1", opkey=KEY)
    hall.program.begin_drain()
    hall.program.begin_drain()  # a second notice: now
    hall.passes()
    assert router.answer(first)[0][0] == other.answer(again)[0][0] == "Failed"
    assert len(hall.launched()) == 1


def test_at_the_end_nothing_that_was_answered_starts_afterwards(begin):
    hall = begin()
    router = hall.router()
    calls = [router.call("lookup", b"1", need="400") for _ in range(6)]
    hall.passes()
    started = len(hall.launched())
    assert 0 < started < 6
    hall.program.begin_drain()
    hall.program.begin_close()
    for name in hall.launched():
        hall.end(name, Outcome.CANCELLED)  # its room would be free for the next
    hall.passes()
    words = [router.answer(call)[0][0] for call in calls]
    assert sorted(words) == ["Failed"] * started + ["Overloaded"] * (6 - started)
    assert len(hall.launched()) == started


def test_a_notice_to_leave_in_the_pass_of_an_answer_takes_nothing_from_it(begin):
    hall = begin()
    router = hall.router()
    call = router.call("lookup", b"1")
    hall.passes()
    hall.program.begin_drain()
    hall.end(hall.launched()[0], Outcome.SERVED)
    hall.program.begin_drain()  # and at once the second
    hall.passes()
    assert router.answer(call) == (None, [b"made", {}])


def test_a_time_to_stop_that_is_shorter_than_the_grace_leaves_nothing_unanswered(begin):
    hall = begin(stop_ms=500)
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
