"""Connections that the program opens: to an address that takes no notice, or moved meanwhile."""

import socket
from contextlib import suppress

import pytest

from birchslip.admission.types import Outcome
from birchslip.net import connection
from birchslip.net.catalog import Catalog
from birchslip.net.servers import Agent
from birchslip.net.vault import Vault

from .hall import Clocked, arrived

LAPSE = 3_000  # ms after its last report an entry of the catalog lapses


@pytest.fixture
def clocked():
    one = Clocked()
    yield one
    one.close()


class Asking:
    """What the vault wants of a request's context."""

    def __init__(self, name):
        self.request_id = name


@pytest.fixture
def opened(monkeypatch):
    """How many sockets are open of those that the program opens."""
    made = []

    class Kept(socket.socket):
        def __init__(self, *parts, **more):
            super().__init__(*parts, **more)
            made.append(self)

    monkeypatch.setattr(connection.socket, "socket", Kept)
    return lambda: sum(one.fileno() >= 0 for one in made)


def vault(clocked, place):
    one = Vault(*clocked.parts, place.address, 64)
    one.on_call_ended = lambda context, outcome, reply: ends.append((context.request_id, outcome))
    ends = one.ends = []
    return one


def test_calls_given_up_at_a_vault_that_takes_no_notice_hold_no_descriptor(clocked, opened):
    """Guards against calls of 80 ms that each leave a try of a second behind, until no descriptor is left."""
    below = vault(clocked, clocked.there(deaf=True))
    before = opened()  # the deaf place's own
    for number in range(200):
        context = Asking(f"a{number}")
        below.call(context, 80, b"")
        clocked.passes(count=2)
        assert opened() <= before + 1
        below.cancel_call(context)
        clocked.passes(count=2)
    assert opened() == before
    assert below.ends == []


def test_a_call_that_was_being_opened_is_free_at_once_when_the_vault_moves(clocked):
    below = vault(clocked, clocked.there(deaf=True))
    below.call(Asking("a1"), 2000, b"")
    clocked.passes()
    below.change_address(clocked.there().address)
    clocked.passes()
    assert below.ends == [("a1", Outcome.UNREACHABLE)]  # it never ran, and no second was lost


def test_the_link_to_an_agent_that_moves_does_not_wait_for_the_old_address(clocked):
    old, new = clocked.there(deaf=True), clocked.there()
    agent = Agent(*clocked.parts, old.address, [], 1 << 20)
    clocked.scheduler.spawn("agent", agent.maintain_link)
    clocked.passes()
    agent.change_address(new.address)
    assert clocked.hears(new, b"subscribe")


def catalog(clocked, place):
    one = Catalog(*clocked.parts, place.address, "n1", lambda: True)
    clocked.scheduler.spawn("catalog", one.keep_reporting)
    clocked.passes()
    return one


def test_openings_that_hang_do_not_let_the_entry_lapse_while_another_would_succeed(clocked):
    place = clocked.there()
    one = catalog(clocked, place)
    assert clocked.hears(place, b"passing")
    place.say(b"HTTP/1.1 204 So\r\nConnection: close\r\n\r\n")
    clocked.passes()
    deaf, free = clocked.there(deaf=True), clocked.there()
    one.address = deaf.address  # the next two openings hang, the third is heard
    missed = clocked.parts[1].counts
    gone = clocked.until(lambda: missed["catalog.missed"] == 2, 5000)
    one.address = free.address
    gone += clocked.until(lambda: b"PUT" in free.said(), 5000)
    assert gone < LAPSE


def test_a_catalog_that_is_slow_to_answer_keeps_the_entry(clocked):
    """Its answers take longer than the first patience, each of them."""
    place = clocked.there()
    catalog(clocked, place)
    answers, told, reports = {}, 0, clocked.parts[1].counts
    for ms in range(0, 9000, 10):
        place.said()
        for link, said in place.links:
            number = said.count(b"PUT")
            answers.setdefault((link, number), ms + 700)
            if number and answers[(link, number)] == ms:
                with suppress(OSError):
                    link.sendall(b"HTTP/1.1 204 So\r\n\r\n")
                    arrived(link)
        clocked.passes(ms=10)
        if ms % LAPSE == LAPSE - 10:
            assert reports["catalog.reports"] > told
            told = reports["catalog.reports"]


def test_a_report_that_was_being_opened_does_not_go_to_the_address_of_before(clocked):
    """The opening has succeeded when the move comes, and the program has not looked yet."""
    old, new = clocked.there(), clocked.there()
    one = Catalog(*clocked.parts, old.address, "n1", lambda: True)
    clocked.scheduler.spawn("catalog", one.keep_reporting)
    clocked.passes(count=1)
    one.change_address(new.address)
    clocked.until(lambda: b"PUT" in new.said(), 5000)
    assert b"PUT" not in old.said()
    assert b"PUT" in new.said()
