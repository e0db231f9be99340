"""Clients that cost more than they may, on real connections, pass by pass."""

import gc
import os
import socket
import weakref

import pytest

from birchslip.admission.types import Outcome
from birchslip.net.agent_orders import PendingOrder
from birchslip.net.bounds import KEY_BYTES
from birchslip.net.client import (
    MAX_CALLERS_PER_CONNECTION,
    MAX_OPEN_REQUESTS,
    MAX_TURN_MESSAGES,
    MAX_TURN_VALUES,
    Client,
)
from birchslip.net.clients import MAX_ACCEPTED_PER_TURN
from birchslip.net.connection import MAX_TURN_PAUSE, TURN_PAUSE_FACTOR
from birchslip.net.messagepack import pack
from birchslip.net.request_context import MAX_BODY_BYTES

from .socket_harness import start_program_harnesses, wait_until_delivered

KEY, RUN_ID = "1" * 32, "2" * 16


@pytest.fixture
def start():
    yield from start_program_harnesses()


# Guards against one connection that takes the quotas of others down with ever new numbers of callers.
def test_callers_of_one_connection_are_bounded(start):
    harness = start()
    router = harness.connect_router()
    for number in range(MAX_OPEN_REQUESTS):
        router.call("lookup", b"1", via=str(number))
    harness.run_passes()
    assert len(harness.program.admission_stage.driver.controller.quotas.callers) == MAX_CALLERS_PER_CONNECTION


# Guards against memory of a closed connection that stays for the retention of a key that came on it.
def test_buffer_of_closed_connection_is_not_kept_with_its_keys(start):
    harness = start()
    router = harness.connect_router()
    router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    harness.disconnect(router)
    channel = harness.program.idempotency_table.entries[KEY].original.channel
    assert not channel.connection.buffer.data


# Guards against closed connections that stay in memory until the time by which they were to be closed.
def test_connection_that_was_notified_of_its_close_is_freed_when_its_peer_closes_it(start):
    harness = start()
    gc.disable()
    try:
        routers = [harness.connect_router() for _ in range(8)]
        harness.run_passes()
        references = [weakref.ref(client) for client in harness.clients.active]
        for client in harness.clients.active:
            client.send_closing()
        del client
        for router in routers:
            harness.disconnect(router)
        assert [reference() for reference in references] == [None] * 8
    finally:
        gc.enable()


# Guards against keys that run with large bodies and results and together take more than the memory limit.
def test_new_keys_are_rejected_while_the_kept_ones_fill_their_memory(start):
    harness = start()
    table = harness.program.idempotency_table
    table.max_bytes = 8 * (KEY_BYTES + MAX_BODY_BYTES)
    router = harness.connect_router()

    def order():
        number = router.call("order", b"x" * MAX_BODY_BYTES, opkey=os.urandom(16).hex())
        harness.run_passes(ms=60)
        for run_id in list(harness.program.agent.runs):
            harness.end_run(run_id, Outcome.SERVED, b"y" * 4096)
        harness.run_passes(ms=60)
        error, _ = router.answer(number)
        return error

    errors = [order() for _ in range(10)]
    served = errors.count(None)
    assert served == 4  # with its result, each takes the room of nearly two
    assert all(error[0] == "Overloaded" and int(error[1]["holdoff"]) for error in errors[served:])
    assert table.retained_bytes == served * (KEY_BYTES + MAX_BODY_BYTES + 4096)
    harness.run_passes(ms=12_000).run_passes(ms=60)
    assert order() is None
    assert len(table.entries) == 1


# ---- turns of connections ----------------------------------------------------------------------------------


def pings_handled(harness):
    return harness.program.counters.counts["clients.pings"]


def send_pings(router, count, fields=()):
    """Send health checks in one go, each with these fields."""
    numbers = range(router.number + 1, router.number + 1 + count)
    router.number += count
    router.connection.sendall(b"".join(pack([0, number, "ping", [dict(fields)]]) for number in numbers))
    return numbers


def handled_in_next_pass(harness):
    before = pings_handled(harness)
    harness.run_passes(count=1)
    return pings_handled(harness) - before


# Guards against a client at full speed on one connection, which had all that it sent handled in one pass.
@pytest.mark.parametrize("order", ["flood first", "flood last"])
def test_flood_on_one_connection_leaves_others_their_turn(start, order):
    harness = start()
    flooder, honest = harness.connect_router(), harness.connect_router()
    harness.run_passes()
    if order == "flood first":
        numbers, ping = send_pings(flooder, 400), honest.ping()
    else:
        ping, numbers = honest.ping(), send_pings(flooder, 400)
    assert handled_in_next_pass(harness) == MAX_TURN_MESSAGES + 1
    assert honest.answer(ping)[0] is None
    for _ in range(30):
        assert handled_in_next_pass(harness) <= MAX_TURN_MESSAGES
    assert all(flooder.answer(number)[0] is None for number in numbers)


def test_turn_is_shorter_if_messages_have_many_values(start):
    harness = start()
    router = harness.connect_router()
    harness.run_passes()
    values = {str(number): "" for number in range(60)}
    send_pings(router, 16, values)
    assert 0 < handled_in_next_pass(harness) <= MAX_TURN_VALUES // len(values) // 2 + 1


@pytest.mark.parametrize("turn_ms", [1, 1000], ids=["usual", "process was stopped"])
def test_connection_with_backlog_pauses_in_proportion_to_its_turn_within_bound(start, monkeypatch, turn_ms):
    harness = start()
    router = harness.connect_router()
    harness.run_passes()
    handle = Client.handle_message

    def handle_slowly(client, message):
        harness.time += turn_ms * 10 // MAX_TURN_MESSAGES + 1
        handle(client, message)

    monkeypatch.setattr(Client, "handle_message", handle_slowly)
    send_pings(router, 100)
    assert handled_in_next_pass(harness) == MAX_TURN_MESSAGES
    pause_ms = min(MAX_TURN_PAUSE // 10, TURN_PAUSE_FACTOR * turn_ms)
    harness.run_passes(ms=pause_ms - 1)
    assert pings_handled(harness) == MAX_TURN_MESSAGES
    harness.run_passes(ms=pause_ms // 2 + 2, count=1)
    assert pings_handled(harness) == 2 * MAX_TURN_MESSAGES


def test_malformed_data_behind_a_backlog_closes_the_connection_after_all_answers(start):
    harness = start()
    router = harness.connect_router()
    numbers = send_pings(router, 40)
    router.connection.sendall(b"\xc1")
    harness.run_passes(count=8)
    assert all(router.answer(number)[0] is None for number in numbers)
    with pytest.raises(EOFError):
        router.message()


# Guards against hundreds of clients that connect at once and are all taken before the next request is read.
def test_connections_are_accepted_a_few_in_each_pass(start):
    harness = start()
    honest = harness.connect_router()
    harness.run_passes()
    crowd = [harness.connect_router() for _ in range(5 * MAX_ACCEPTED_PER_TURN)]
    honest.ping()
    harness.run_passes(count=1)
    assert pings_handled(harness) == 1
    assert len(harness.clients.active) <= 1 + MAX_ACCEPTED_PER_TURN
    harness.run_passes(count=6)
    assert len(harness.clients.active) == 1 + len(crowd)


# ---- eviction ----------------------------------------------------------------------------------------------


# Guards against hundreds of clients that stop half way and, at the limit, have connections in use evicted.
@pytest.mark.parametrize("age_ms", [60, 250], ids=["young", "old"])
def test_unfinished_first_messages_are_evicted_before_connections_in_use(start, age_ms):
    harness = start(max_connections=4)
    honest = harness.connect_router()
    ping = honest.ping()
    harness.run_passes()
    stalled = [harness.connect_router() for _ in range(3)]
    for router in stalled:
        router.connection.sendall(b"\x94\x00")
    harness.run_passes()
    harness.run_passes(ms=age_ms)
    for _ in range(3):
        harness.connect_router()
        harness.run_passes(ms=age_ms)
    assert harness.clients.counters.counts["clients.made_room"] == 3
    assert honest.answer(ping)[0] is None
    ping = honest.ping()
    harness.run_passes()
    assert honest.answer(ping)[0] is None


def test_connections_in_use_are_kept_while_silent_ones_are_too_young_to_be_evicted(start):
    harness = start(max_connections=2)
    honest = harness.connect_router()
    honest.ping()
    harness.run_passes()
    harness.connect_router()
    harness.run_passes(ms=1)
    late = harness.connect_router()
    harness.run_passes(ms=40)
    assert harness.clients.counters.counts["clients.made_room"] == 0
    late.ping()
    for _ in range(4):
        harness.run_passes(ms=20)
    assert late.answer(late.number)[0] is None
    honest.ping()
    harness.run_passes()
    assert honest.answer(honest.number)[0] is None


def test_eviction_gives_a_connection_with_a_backlog_no_further_turns(start):
    harness = start(max_connections=2)
    flooder, honest = harness.connect_router(), harness.connect_router()
    for router in (flooder, honest):
        router.ping()
        harness.run_passes()
    harness.run_passes(ms=3_000)
    numbers = send_pings(flooder, 100)
    harness.connect_router()
    assert handled_in_next_pass(harness) <= 2 * MAX_TURN_MESSAGES  # as a candidate, and in its own turn
    assert handled_in_next_pass(harness) <= MAX_TURN_MESSAGES
    harness.run_passes(count=10)
    assert all(flooder.answer(number)[0] is None for number in numbers)


# ---- clients that leave ------------------------------------------------------------------------------------


def leave(router):
    """Close a client's connection without letting the program notice it yet."""
    router.connection.shutdown(socket.SHUT_WR)
    wait_until_delivered(router.connection)
    router.connection.close()


# Guards against requests that are sent on to the agent although their client has closed its connection.
@pytest.mark.parametrize("request_count", [1, MAX_OPEN_REQUESTS])
@pytest.mark.parametrize("key", [{}, {"opkey": KEY}], ids=["lookup", "order"])
def test_nothing_is_launched_for_a_client_that_left_with_requests_unread(start, request_count, key):
    harness = start()
    router = harness.connect_router()
    harness.run_passes()
    for _ in range(request_count):
        router.call("order" if key else "lookup", b"1" * 1500, **key)
    leave(router)
    harness.run_passes(ms=30).run_passes(ms=30)
    assert not harness.launched_runs()
    assert not harness.clients.active


def test_nothing_more_is_launched_once_a_client_with_a_backlog_left(start):
    harness = start()
    router = harness.connect_router()
    harness.run_passes()
    for _ in range(MAX_TURN_MESSAGES + 8):
        router.call("lookup", b"1")
    harness.run_passes(count=1)
    launched = harness.launched_runs()
    leave(router)
    harness.run_passes(ms=30).run_passes(ms=30)
    for run_id in launched:
        harness.end_run(run_id, Outcome.SERVED)
    harness.run_passes()
    assert harness.launched_runs() == launched
    assert harness.program.counters.counts["take_in.taken"] == MAX_TURN_MESSAGES


def occupy_cores(harness):
    """Have a router's runs occupy all cores; return their ids."""
    router = harness.connect_router()
    for _ in range(harness.program.config.settings.cores):
        router.call("lookup", b"hold")
    harness.run_passes()
    return harness.launched_runs()


@pytest.mark.parametrize("key", [{}, {"opkey": KEY}], ids=["lookup", "order"])
def test_queued_request_is_not_launched_if_its_client_left_in_the_same_pass(start, key):
    harness = start()
    running = occupy_cores(harness)
    router = harness.connect_router()
    router.call("order" if key else "lookup", b"1", **key)
    harness.run_passes()
    leave(router)
    for run_id in running:
        harness.end_run(run_id, Outcome.SERVED)
    harness.program.finish_pass()  # the end of a pass whose poll came before the client left
    harness.program.finish_pass()
    assert harness.launched_runs() == running
    assert harness.program.counters.counts["send.withdrawn"] == 1
    harness.run_passes()
    assert not harness.program.admission_stage.driver.controller.limit.running
    if key:  # it has never run, so it may run for another client
        harness.connect_router().call("order", b"1", **key)
        harness.run_passes()
        assert len(harness.launched_runs()) == len(running) + 1


@pytest.mark.parametrize("is_repeated", [False, True])
def test_launch_that_no_link_has_taken_is_withdrawn_when_its_client_leaves(start, is_repeated):
    harness = start()
    harness.program.agent.send_order = lambda kind, context, **parts: PendingOrder(kind, b"")
    router, other = harness.connect_router(), harness.connect_router()
    router.call("order", b"1", opkey=KEY)
    harness.run_passes()
    if is_repeated:
        other.call("order", b"1", opkey=KEY, resent="1")
        harness.run_passes()
    harness.disconnect(router)
    assert len(harness.program.agent.runs) == is_repeated
    assert (KEY in harness.program.idempotency_table.entries) == is_repeated


# Guards against an id that runs twice as its client comes again after it has left.
@pytest.mark.parametrize("ending", ["abort", "close", "served"])
@pytest.mark.parametrize("later_ms", [0, 3_000, 50_000])
@pytest.mark.parametrize("is_stopped", [False, True])
def test_launched_id_is_not_launched_again_when_it_comes_again(start, ending, later_ms, is_stopped):
    harness = start()
    router = harness.connect_router()
    number = router.call("lookup", b"1", req=RUN_ID)
    harness.run_passes()
    if ending == "abort":
        router.abort(number)
        harness.run_passes()
    elif ending == "close":
        harness.disconnect(router)
    harness.end_run(RUN_ID, Outcome.CANCELLED if is_stopped else Outcome.SERVED)
    harness.run_passes(ms=later_ms)
    other = harness.connect_router()
    again = other.call("lookup", b"1", req=RUN_ID)
    harness.run_passes()
    assert harness.launched_runs() == [RUN_ID]
    assert other.answer(again)[0][0] == "the id of one that is open or was launched before"


def test_id_that_was_never_launched_may_come_again(start):
    harness = start()
    running = occupy_cores(harness)
    router = harness.connect_router()
    number = router.call("lookup", b"1", req=RUN_ID)
    harness.run_passes()
    router.abort(number)
    harness.run_passes()
    router.call("lookup", b"1", req=RUN_ID)
    harness.end_run(running[0], Outcome.SERVED)
    harness.run_passes()
    assert harness.launched_runs() == [*running, RUN_ID]


def test_id_of_a_refused_launch_may_come_again(start):
    harness = start()
    router = harness.connect_router()
    for launches in (1, 2):
        router.call("lookup", b"1", req=RUN_ID)
        harness.run_passes()
        assert harness.launched_runs() == [RUN_ID] * launches
        harness.program.agent.on_launch_refused(harness.program.agent.runs.pop(RUN_ID))
        harness.run_passes()
