"""Outgoing connections: to an address that accepts no connection, or that changes during the attempt."""

import socket
from contextlib import suppress

import pytest

from birchslip.admission.types import Outcome
from birchslip.net import connection
from birchslip.net.catalog import Catalog
from birchslip.net.servers import Agent
from birchslip.net.vault import Vault

from .hall import Clocked, arrived

ENTRY_LIFETIME_MS = 3_000  # time after its last report at which the catalog removes an entry


@pytest.fixture
def clocked():
    harness = Clocked()
    yield harness
    harness.close()


class RunContext:
    """The part of a request context that the vault uses."""

    def __init__(self, name):
        self.request_id = name


@pytest.fixture
def open_socket_count(monkeypatch):
    """A function that counts the open sockets among those created since the start of the test."""
    sockets = []

    class CountedSocket(socket.socket):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            sockets.append(self)

    monkeypatch.setattr(connection.socket, "socket", CountedSocket)
    return lambda: sum(sock.fileno() >= 0 for sock in sockets)


def make_vault(clocked, place):
    vault = Vault(*clocked.parts, place.address, 64)
    vault.on_call_ended = lambda context, outcome, reply: ends.append((context.request_id, outcome))
    ends = vault.ends = []
    return vault


def test_cancelled_calls_to_vault_that_accepts_no_connection_free_their_descriptors(
    clocked, open_socket_count
):
    """Guards against running out of descriptors.

    Each call of 80 ms would otherwise leave behind an attempt to connect that lasts a second.
    """
    vault = make_vault(clocked, clocked.there(deaf=True))
    before = open_socket_count()  # sockets of the listener itself
    for number in range(200):
        context = RunContext(f"a{number}")
        vault.call(context, 80, b"")
        clocked.passes(count=2)
        assert open_socket_count() <= before + 1
        vault.cancel_call(context)
        clocked.passes(count=2)
    assert open_socket_count() == before
    assert vault.ends == []


def test_call_still_connecting_ends_at_once_when_vault_address_changes(clocked):
    vault = make_vault(clocked, clocked.there(deaf=True))
    vault.call(RunContext("a1"), 2000, b"")
    clocked.passes()
    vault.change_address(clocked.there().address)
    clocked.passes()
    assert vault.ends == [("a1", Outcome.UNREACHABLE)]  # not executed, and without a wait of a second


def test_agent_link_connects_to_new_address_without_waiting_for_old_one(clocked):
    old, new = clocked.there(deaf=True), clocked.there()
    agent = Agent(*clocked.parts, old.address, [], 1 << 20)
    clocked.scheduler.spawn("agent", agent.maintain_link)
    clocked.passes()
    agent.change_address(new.address)
    assert clocked.hears(new, b"subscribe")


def start_catalog(clocked, place):
    catalog = Catalog(*clocked.parts, place.address, "n1", lambda: True)
    clocked.scheduler.spawn("catalog", catalog.keep_reporting)
    clocked.passes()
    return catalog


def test_entry_is_renewed_in_time_after_two_connection_attempts_that_hang(clocked):
    place = clocked.there()
    reporter = start_catalog(clocked, place)
    assert clocked.hears(place, b"passing")
    place.say(b"HTTP/1.1 204 So\r\nConnection: close\r\n\r\n")
    clocked.passes()
    unresponsive, reachable = clocked.there(deaf=True), clocked.there()
    reporter.address = unresponsive.address  # the next two attempts to connect hang, the third succeeds
    counts = clocked.parts[1].counts
    elapsed_ms = clocked.until(lambda: counts["catalog.missed"] == 2, 5000)
    reporter.address = reachable.address
    elapsed_ms += clocked.until(lambda: b"PUT" in reachable.said(), 5000)
    assert elapsed_ms < ENTRY_LIFETIME_MS


def test_entry_is_renewed_in_time_by_catalog_that_answers_slowly(clocked):
    """Every response takes longer than the first response timeout."""
    place = clocked.there()
    start_catalog(clocked, place)
    answer_times, last_reports, counts = {}, 0, clocked.parts[1].counts
    for ms in range(0, 9000, 10):
        place.said()
        for link, received in place.links:
            number = received.count(b"PUT")
            answer_times.setdefault((link, number), ms + 700)
            if number and answer_times[(link, number)] == ms:
                with suppress(OSError):
                    link.sendall(b"HTTP/1.1 204 So\r\n\r\n")
                    arrived(link)
        clocked.passes(ms=10)
        if ms % ENTRY_LIFETIME_MS == ENTRY_LIFETIME_MS - 10:
            assert counts["catalog.reports"] > last_reports
            last_reports = counts["catalog.reports"]


def test_report_still_connecting_is_not_sent_to_old_address(clocked):
    """The connection is established when the address changes, but the program has not noticed it yet."""
    old, new = clocked.there(), clocked.there()
    catalog = Catalog(*clocked.parts, old.address, "n1", lambda: True)
    clocked.scheduler.spawn("catalog", catalog.keep_reporting)
    clocked.passes(count=1)
    catalog.change_address(new.address)
    clocked.until(lambda: b"PUT" in new.said(), 5000)
    assert b"PUT" not in old.said()
    assert b"PUT" in new.said()
