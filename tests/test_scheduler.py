"""Tasks, timers and passes, on a clock that the test sets and on pipes."""

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


class World:
    def __init__(self):
        self.time, self.said, self.faults = 1000, [], []
        self.scheduler = Scheduler(
            lambda: self.said.append("settle"),
            lambda name, why: self.faults.append((name, type(why).__name__)),
            self.clock,
        )

    def clock(self):
        return self.time

    def pass_at(self, time):
        self.time = time
        self.said.clear()
        self.scheduler.poll_at_once = True  # look, and don't wait
        self.scheduler.run_pass()
        return [word for word in self.said if word != "settle"]


@pytest.fixture
def world():
    return World()


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_timers_go_off_in_order_and_each_pass_settles_once(world):
    for due, word in ((1030, "late"), (1010, "early"), (1010, "early too"), (1020, "dropped")):
        timer = world.scheduler.at(due, lambda word=word: world.said.append(word))
        if word == "dropped":
            timer.cancel()
            timer.cancel()  # twice is no harm
    assert world.pass_at(1009) == []
    assert world.said == ["settle"]
    assert world.pass_at(1010) == ["early", "early too"]
    assert world.said[-1] == "settle"
    assert world.pass_at(1100) == ["late"]
    assert not world.scheduler.timers


def test_cancelled_timers_do_not_pile_up(world):
    timers = [world.scheduler.at(9_000_000, lambda: None) for _ in range(MIN_CANCELLED_TO_SWEEP * 4)]
    for timer in timers[: MIN_CANCELLED_TO_SWEEP * 3]:
        timer.cancel()
    assert len(world.scheduler.timers) <= MIN_CANCELLED_TO_SWEEP * 2


@pytest.mark.parametrize(("due", "milliseconds"), [(1000, 0), (1001, 1), (1010, 1), (1011, 2), (500, 0)])
def test_patience_is_rounded_up_to_the_next_timer(world, due, milliseconds):
    assert world.scheduler.poll_timeout_ms() is None
    world.scheduler.at(due, lambda: None)
    assert world.scheduler.poll_timeout_ms() == milliseconds


def test_the_clock_never_goes_back(world):
    world.pass_at(2000)
    world.pass_at(1500)
    assert world.scheduler.now == 2000


def test_a_task_waits_for_a_descriptor_or_its_time(world, pipe):
    def task():
        for until in (1050, None):
            world.said.append(world.scheduler.wait(pipe[0], READ, until))

    world.scheduler.spawn("reader", task)
    assert world.pass_at(1000) == []
    assert world.pass_at(1050) == [0]
    os.write(pipe[1], b"x")
    assert world.pass_at(1060) == [READ]
    assert world.pass_at(1070) == []
    assert pipe[0] not in world.scheduler.event_masks


def test_a_pass_with_tasks_that_are_ready_takes_what_came_meanwhile_too(world, pipe):
    world.scheduler.spawn("reader", lambda: world.said.append(world.scheduler.wait(pipe[0], READ)))
    world.pass_at(1000)
    os.write(pipe[1], b"x")
    world.scheduler.spawn("call", lambda: world.said.append("call"))
    assert world.pass_at(1001) == ["call", READ]
    assert len(world.said) == 3


def test_a_fault_ends_its_task_alone(world):
    world.scheduler.spawn("bad", lambda: 1 // 0)
    world.scheduler.at(1000, lambda: [][1])
    world.scheduler.spawn("good", lambda: world.said.append("good"))
    assert world.pass_at(1000) == ["good"]
    assert [why for _, why in world.faults] == [
        "IndexError",
        "ZeroDivisionError",
    ]


def test_due_times_come_before_more_reading(world):
    """Guards against ticks and limits that run late because many connections have much to say."""

    def reader(word):
        world.said.append(word)
        world.time += TASK_TIME_SLICE

    for word in ("first", "second", "third"):
        world.scheduler.spawn(word, lambda word=word: reader(word))
    world.scheduler.at(1000 + TASK_TIME_SLICE, lambda: world.said.append("due"))
    assert world.pass_at(1000) == ["first"]
    assert world.pass_at(world.time) == ["due", "second"]
    assert world.pass_at(world.time) == ["third"]


def test_forgetting_a_descriptor_wakes_who_waits_for_it(world, pipe):
    world.scheduler.spawn("reader", lambda: world.said.append(world.scheduler.wait(pipe[0], READ)))
    world.pass_at(1000)
    world.scheduler.unregister(pipe[0])
    assert world.pass_at(1001) == [0]
    assert not world.scheduler.event_masks


def pair(world, bound=1 << 20, pool=1 << 20):
    here, there = socket.socketpair()
    here.setblocking(False)
    there.setblocking(False)
    return Connection(world.scheduler, here, 4096, bound, SendBufferPool(pool)), there


def test_writes_go_out_once_at_the_end_of_a_pass_and_the_rest_when_there_is_room(world):
    connection, there = pair(world)
    world.scheduler.spawn("connection", lambda: connection.serve(lambda buffer: None))
    world.pass_at(1000)
    sent = [bytes([place]) * 10_000 for place in range(60)]
    for piece in sent:
        connection.write(piece)
    with pytest.raises(BlockingIOError):
        there.recv(1)
    got = b""
    while len(got) < 600_000:
        world.pass_at(1001)
        got += there.recv(1 << 20)
    assert got == b"".join(sent)
    assert connection.unsent_bytes == 0
    assert connection.pool.unsent_bytes == 0


@pytest.mark.parametrize(("bound", "pool"), [(1000, 1 << 30), (1 << 30, 1000)])
def test_a_peer_that_reads_too_slowly_is_cut_off(world, bound, pool):
    connection, there = pair(world, bound, pool)
    world.scheduler.spawn("connection", lambda: world.said.append(connection.serve(lambda buffer: None)))
    world.pass_at(1000)
    for _ in range(100):
        connection.write(b"x" * 100_000)
    world.pass_at(1001)
    assert world.pass_at(1002) == ["reads too slowly"]
    assert connection.pool.unsent_bytes == 0
    there.close()


def test_too_much_that_is_not_a_message_closes_the_connection(world):
    connection, there = pair(world)
    world.scheduler.spawn("connection", lambda: world.said.append(connection.serve(lambda buffer: None)))
    there.send(b"x" * 4097)
    said = [word for time in range(1000, 1010) for word in world.pass_at(time)]
    assert said == ["4096 bytes read and not a whole message"]
    assert connection.malformed


def test_no_descriptor_left_is_survived(world):
    class Listener:
        def accept(self):
            world.said.append("tried")
            raise OSError(errno.EMFILE, "too many")

    clients = Clients(world.scheduler, Counters(), Log(world.scheduler, "t"), BOUNDS)
    world.scheduler.spawn("listener", lambda: clients.accept_ready(Listener()))
    world.scheduler.spawn("other", lambda: world.said.append("other"))
    assert world.pass_at(1000) == ["tried", "other"]
    assert not world.faults
    assert clients.counters.counts["clients.turned_away"] == 1


@pytest.mark.parametrize("descriptors", [384, 512])
@pytest.mark.parametrize("megabytes", [32, 64, 192])
def test_all_that_peers_can_fill_fits_into_the_memory_told(megabytes, descriptors):
    """Guards against crowds on small machines: with all at its bound, an eighth is left for the rest."""
    told = compute_bounds(megabytes << 20, 18 << 20, descriptors)
    connections = told.connections * (CONNECTION_BYTES + told.unread)
    filled = connections + told.calls * CALL_BYTES + told.unsent + told.orders
    assert filled <= (megabytes - 18 << 20) * 7 // 8
    assert told.connections + told.calls < descriptors
    assert told.connections >= 256


def clients(world, most):
    """The connections of routers, as many as that, on socket pairs in place of a listener."""
    some = Clients(world.scheduler, Counters(), Log(world.scheduler, "t"), replace(BOUNDS, connections=most))
    theirs = []

    def join():
        here, there = socket.socketpair()
        here.setblocking(False)
        there.settimeout(1)
        some.add_connection(here)
        theirs.append(there)
        return there

    return some, join


def closed(peer):
    try:
        while peer.recv(100):
            pass
        return True
    except BlockingIOError:
        return False


PING = pack([0, 1, "ping", [{}]])


@pytest.mark.parametrize(
    ("first", "later", "ended"),
    [
        (b"", b"", True),
        (PING[:4], b"", True),
        (PING, b"", False),  # one that has spoken may be silent
        (PING + PING[:4], b"", True),
        (PING[:4], PING[4:], False),  # it lay ready while this program paused: not taken for silence
        (b"", PING, False),
    ],
)
def test_a_whole_message_is_due_within_two_seconds(world, first, later, ended):
    some, join = clients(world, 4)
    router = join()
    router.send(first)
    for time in range(1000, 1004):
        world.pass_at(time)
    router.send(later)
    world.scheduler.poller = type(
        "Deaf", (), {"poll": lambda *_: [], "register": print, "unregister": print}
    )()
    world.pass_at(1000 + MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL)
    world.pass_at(1001 + MESSAGE_TIMEOUT + MESSAGE_CHECK_INTERVAL)
    assert (len(some.active) == 0) is ended
    assert some.counters.counts["clients.silent"] == ended


@pytest.mark.parametrize(
    ("mute_since", "gone"),
    [
        (1000, ["mute"]),
        (1000 + SILENT_EVICTION_AGE, ["old"]),
    ],  # a new connection has a moment to say something
)
def test_who_makes_room_at_the_bound(world, mute_since, gone):
    some, join = clients(world, 3)
    peers = {}
    for name, time in sorted(
        {"old": 1000, "young": 1001, "mute": mute_since}.items(), key=lambda one: one[1]
    ):
        world.time = time
        world.pass_at(time)
        peers[name] = join()
        if name != "mute":
            peers[name].send(PING)
            world.pass_at(time)
    world.pass_at(1001 + SILENT_EVICTION_AGE)
    join()
    world.pass_at(1002 + SILENT_EVICTION_AGE)
    assert len(some.active) == 3
    for peer in peers.values():
        peer.setblocking(False)
    assert [name for name, peer in peers.items() if closed(peer)] == gone


A, B = "a" * 16, "b" * 16


class Below:
    """A vault that the test speaks for, and what came of the calls to it."""

    def __init__(self, world):
        self.world, self.ended = world, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(5)
        self.vault = Vault(
            world.scheduler, Counters(), Log(world.scheduler, "t"), self.listener.getsockname(), 8
        )
        self.vault.on_call_ended = lambda context, outcome, body: self.ended.append(
            (context.request_id, outcome, body)
        )

    def until(self, happened, time=None):
        for _ in range(1000):
            self.world.pass_at(time or self.world.time)
            if happened():
                return
        raise AssertionError(f"only {self.ended}")

    def ask(self, name, link=None):
        """The call, read from its connection: a new one, or this."""
        self.vault.call(SimpleNamespace(request_id=name), 500, b"body")
        counts, before = self.vault.counters.counts, self.vault.counters.counts["vault.links"]
        if link is None:
            self.until(lambda: counts["vault.links"] > before)
            link, _ = self.listener.accept()
            link.settimeout(5)
        else:
            self.until(lambda: self.vault.calls[name].link)
        assert link.recv(100) == f"ask {name} 500 4\r\nbody\r\n".encode()
        return link


def yes(name, body):
    return f"{name} yes {len(body)}\r\n".encode() + body + b"\r\n"


@pytest.mark.parametrize(
    ("reply", "outcome", "body"),
    [
        (yes(A, b"paid"), Outcome.SERVED, b"paid"),
        (yes(A, b""), Outcome.SERVED, b""),
        (yes(B, b"not yours") + yes(A, b"paid"), Outcome.SERVED, b"paid"),
        (f"{B} failed\r\n".encode() + yes(A, b"paid"), Outcome.SERVED, b"paid"),
        (f"{A} notnow\r\n".encode(), Outcome.REJECTED, b""),
        (f"{A} pointless\r\n".encode(), Outcome.SUPERSEDED, b""),
        (b"\xff\xfe\x00 noise\r\n", Outcome.CONNECTION_LOST, b""),
        (b"x" * 300, Outcome.CONNECTION_LOST, b""),
        (f"{A} yes -4\r\npaid\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} yes 3000000000\r\npaid".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} yes 2\r\npaid\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{A} maybe\r\n".encode(), Outcome.CONNECTION_LOST, b""),
        (f"{B} failed\r\n".encode() * 9, Outcome.CONNECTION_LOST, b""),
        (None, Outcome.CONNECTION_LOST, b""),  # closed in place of a reply
    ],
)
def test_how_a_call_ends_by_what_comes_in_reply(world, reply, outcome, body):
    below = Below(world)
    link = below.ask(A)
    link.sendall(reply) if reply is not None else link.close()
    below.until(lambda: below.ended)
    assert below.ended == [(A, outcome, body)]
    assert not below.vault.calls


@pytest.mark.parametrize("part", [A.encode(), f"{A} yes 9\r\n".encode(), f"{A} yes 9\r\npaid\r\n".encode()])
def test_a_reply_that_does_not_go_on_ends_its_call_before_its_limit(world, part):
    below = Below(world)
    below.ask(A).sendall(part)
    asked = below.vault.calls[A]
    below.until(lambda: asked.reply_head or len(asked.link.buffer))
    below.until(lambda: below.ended, world.time + REPLY_STALL_TIMEOUT)
    assert below.ended == [(A, Outcome.CONNECTION_LOST, b"")]


@pytest.mark.parametrize(
    ("reply", "wait", "again"),
    [
        (yes(A, b"paid"), MAX_IDLE_TIME - 1, True),
        (yes(A, b"paid"), MAX_IDLE_TIME, False),  # it may have been forgotten there
        (yes(A, b"paid") + yes(A, b"paid"), 0, False),  # it brought more than its reply
        (yes(A, b"paid") + b"x", 0, False),
    ],
)
def test_a_connection_takes_another_call_only_right_after_its_reply(world, reply, wait, again):
    below = Below(world)
    link = below.ask(A)
    link.sendall(reply)
    below.until(lambda: below.ended)
    world.time += wait
    below.ask(B, link if again else None).sendall(yes(B, b"too"))
    below.until(lambda: len(below.ended) == 2)
    assert below.ended[1] == (B, Outcome.SERVED, b"too")
    assert below.vault.counters.counts["vault.links"] == (1 if again else 2)


def test_a_refused_connection_is_an_error_of_its_task_alone(world):
    free = socket.create_server(("127.0.0.1", 0))
    address = free.getsockname()
    free.close()

    def task():
        try:
            connect(world.scheduler, address)
        except OSError:
            world.said.append("refused")

    world.scheduler.spawn("peer", task)
    said = [word for time in range(1000, 1010) for word in world.pass_at(time)]
    assert said == ["refused"]
    assert not world.scheduler.event_masks
