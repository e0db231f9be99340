"""Outgoing connections: to an address that accepts no connection, or that changes during the attempt."""

import socket
from contextlib import suppress

import pytest

from birchslip.admission.types import Outcome
from birchslip.net import connection
from birchslip.net.catalog import Catalog
from birchslip.net.servers import Agent
from birchslip.net.vault import Vault

from .socket_harness import SchedulerHarness, wait_until_delivered

ENTRY_LIFETIME_MS = 3_000  # the catalog removes an entry that long after its last report


@pytest.fixture
def harness():
    scheduler_harness = SchedulerHarness()
    yield scheduler_harness
    scheduler_harness.close()


class RunContext:
    """The part of a request context that the vault uses."""

    def __init__(self, name):
        self.request_id = name


@pytest.fixture
def open_socket_count(monkeypatch):
    """Return a function that counts the open sockets among those created since the start of the test."""
    sockets = []

    class CountedSocket(socket.socket):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            sockets.append(self)

    monkeypatch.setattr(connection.socket, "socket", CountedSocket)
    return lambda: sum(sock.fileno() >= 0 for sock in sockets)


def make_vault(harness, server):
    vault = Vault(*harness.components, server.address, 64)
    vault.on_call_ended = lambda context, outcome, reply: ends.append((context.request_id, outcome))
    ends = vault.ends = []
    return vault


def test_cancelled_calls_to_vault_that_accepts_no_connection_free_their_descriptors(
    harness, open_socket_count
):
    """Guards against running out of descriptors.

    Each call of 80 ms would otherwise leave behind an attempt to connect that lasts a second.
    """
    vault = make_vault(harness, harness.start_server(is_queue_full=True))
    before = open_socket_count()  # sockets of the listener itself
    for number in range(200):
        context = RunContext(f"a{number}")
        vault.call(context, 80, b"")
        harness.run_passes(count=2)
        assert open_socket_count() <= before + 1
        vault.cancel_call(context)
        harness.run_passes(count=2)
    assert open_socket_count() == before
    assert vault.ends == []


def test_call_still_connecting_ends_at_once_when_vault_address_changes(harness):
    vault = make_vault(harness, harness.start_server(is_queue_full=True))
    vault.call(RunContext("a1"), 2000, b"")
    harness.run_passes()
    vault.change_address(harness.start_server().address)
    harness.run_passes()
    assert vault.ends == [("a1", Outcome.UNREACHABLE)]  # not executed, and without a wait of a second


def test_agent_link_connects_to_new_address_without_waiting_for_old_one(harness):
    old, new = harness.start_server(is_queue_full=True), harness.start_server()
    agent = Agent(*harness.components, old.address, [], 1 << 20)
    harness.scheduler.spawn("agent", agent.maintain_link)
    harness.run_passes()
    agent.change_address(new.address)
    assert harness.wait_for_data(new, b"subscribe")


def start_catalog(harness, server):
    catalog = Catalog(*harness.components, server.address, "n1", lambda: True)
    harness.scheduler.spawn("catalog", catalog.keep_reporting)
    harness.run_passes()
    return catalog


def test_entry_is_renewed_in_time_after_two_connection_attempts_that_hang(harness):
    server = harness.start_server()
    reporter = start_catalog(harness, server)
    assert harness.wait_for_data(server, b"passing")
    server.send(b"HTTP/1.1 204 So\r\nConnection: close\r\n\r\n")
    harness.run_passes()
    unresponsive, reachable = harness.start_server(is_queue_full=True), harness.start_server()
    reporter.address = unresponsive.address  # the next two attempts to connect hang, the third succeeds
    counts = harness.components[1].counts
    elapsed_ms = harness.wait_until(lambda: counts["catalog.missed"] == 2, 5000)
    reporter.address = reachable.address
    elapsed_ms += harness.wait_until(lambda: b"PUT" in reachable.receive_all(), 5000)
    assert elapsed_ms < ENTRY_LIFETIME_MS


def test_entry_is_renewed_in_time_by_catalog_that_answers_slowly(harness):
    """Every response takes 700 ms, longer than the first response timeout."""
    server = harness.start_server()
    start_catalog(harness, server)
    answer_times, last_reports, counts = {}, 0, harness.components[1].counts
    for ms in range(0, 9000, 10):
        server.receive_all()
        for link, received in server.links:
            number = received.count(b"PUT")
            answer_times.setdefault((link, number), ms + 700)
            if number and answer_times[(link, number)] == ms:
                with suppress(OSError):
                    link.sendall(b"HTTP/1.1 204 So\r\n\r\n")
                    wait_until_delivered(link)
        harness.run_passes(ms=10)
        if ms % ENTRY_LIFETIME_MS == ENTRY_LIFETIME_MS - 10:
            assert counts["catalog.reports"] > last_reports
            last_reports = counts["catalog.reports"]


def test_report_still_connecting_is_not_sent_to_old_address(harness):
    """The connection is established when the address changes, but the program has not noticed it yet."""
    old, new = harness.start_server(), harness.start_server()
    catalog = Catalog(*harness.components, old.address, "n1", lambda: True)
    harness.scheduler.spawn("catalog", catalog.keep_reporting)
    harness.run_passes(count=1)
    catalog.change_address(new.address)
    harness.wait_until(lambda: b"PUT" in new.receive_all(), 5000)
    assert b"PUT" not in old.receive_all()
    assert b"PUT" in new.receive_all()
