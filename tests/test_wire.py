"""Doors and lines of the fleet over loopback: what is wrong, silent or late harms nobody else."""

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
from birchslip.lab.wires import Wire
from birchslip.net.messagepack import pack
from birchslip.net.scheduler import Scheduler

SECOND = 10_000


class Room:
    """A door and a line to it in one scheduler; `play` runs a task until it ends."""

    def __init__(self):
        self.faults, self.served, self.left = [], [], []
        self.scheduler = Scheduler(lambda: None, lambda name, trouble: self.faults.append((name, trouble)))
        self.door = PlannerEndpoint(self.scheduler, 4, self.serve, lambda guest, why: self.left.append(why))
        self.address = self.door.listen(("127.0.0.1", 0))
        self.scheduler.spawn("door", self.door.accept)

    def serve(self, guest, method, value):
        self.served.append((method, value))
        if method == "long":
            return b"x" * 40_000
        if method == "no":
            raise InvalidInputError("not today")
        return value.upper()

    def play(self, work):
        found = []

        def task():
            try:
                found.append(work())
            except Exception as trouble:
                found.append(trouble)
            self.scheduler.stop()

        self.scheduler.at(self.scheduler.now + 10 * SECOND, self.scheduler.stop)
        self.scheduler.spawn("work", task)
        self.scheduler.run()
        self.scheduler.stopped = False
        assert found, "no end in time"
        if isinstance(found[0], Exception):
            raise found[0]
        return found[0]

    def ask(self, line, method="echo", value=b"abc", wait=SECOND):
        return self.play(lambda: line.ask(method, value, self.scheduler.now + wait))


def test_an_answer_of_any_length_and_a_refusal_that_keeps_the_line():
    room = Room()
    line = PeerConnection(room.scheduler, room.address)
    assert room.ask(line) == b"ABC" and len(room.ask(line, "long")) == 40_000
    with pytest.raises(RequestRefusedError, match="not today"):
        room.ask(line, "no")
    assert room.ask(line, value=b"again") == b"AGAIN" and not room.left and not room.faults


@pytest.mark.parametrize(
    "raw",
    [
        b"\xc1",
        pack([1, 2, 3]),
        pack([0, "x", "echo", [b""]]),
        pack([0, 1, "echo", ["text"]]),
        b"GET / HTTP/1.1\r\n",
    ],
    ids=["no message", "an answer", "no number", "no bytes", "another protocol"],
)
def test_what_can_not_be_read_ends_its_own_connection_alone(raw):
    room = Room()
    line = PeerConnection(room.scheduler, room.address)
    room.ask(line)
    with socket.create_connection(room.address, 5) as other:
        other.sendall(raw)
        room.play(
            lambda: [room.scheduler.sleep(room.scheduler.now + 20) for _ in range(100) if not room.left]
        )
        assert other.recv(1) == b""
    assert room.ask(line) == b"ABC"


@pytest.mark.parametrize(
    "answer",
    [None, pack([1, 1, None, b"no list"]), pack([1, 1]), b"\xc1\xc1", pack([1, 99, None, [b"late"]])],
    ids=["silence", "no list", "cut short", "noise", "to another question"],
)
def test_a_planner_that_is_wrong_or_silent_costs_the_question_its_time_and_no_more(answer):
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        link, _ = listener.accept()
        link.recv(4096)
        if answer is not None:
            link.sendall(answer)
        link.recv(4096)  # until the other side has had enough
        link.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    room = Room()
    line = PeerConnection(room.scheduler, listener.getsockname())
    began = room.scheduler.clock()
    with pytest.raises(OSError):
        room.ask(line, wait=3_000)
    assert room.scheduler.clock() - began < SECOND
    assert line.connection is not None and not line.connection.open
    listener.close()


def test_the_modes_of_a_wire():
    room = Room()
    wire = Wire(room.scheduler, room.address)
    line = PeerConnection(room.scheduler, ("127.0.0.1", wire.port))
    assert room.ask(line) == b"ABC"
    wire.turn("late", 500)
    began = room.scheduler.clock()
    assert room.ask(line) == b"ABC" and room.scheduler.clock() - began >= 1_000
    for mode, heard in (("silent", 0), ("deaf", 1), ("mute", 0)):
        wire.turn("pass")
        assert room.ask(line) == b"ABC"
        wire.turn(mode)
        room.served.clear()
        with pytest.raises(OSError, match="no answer in time"):
            room.ask(line, wait=2_000)
        assert len(room.served) == heard, mode
    wire.turn("pass")
    assert room.ask(line) == b"ABC"
    wire.turn("cut")
    with pytest.raises(OSError):
        room.ask(line)


@pytest.mark.parametrize("value", [b"granted", ValueError("no longer the leader")], ids=["value", "error"])
@pytest.mark.parametrize("first", ["done", "bind"])
def test_an_answer_that_is_ready_before_its_door_has_asked_for_it_is_not_lost(value, first):
    later, sent = DeferredReply(), []
    for act in [first, "bind" if first == "done" else "done"]:
        later.complete(value) if act == "done" else later.deliver_to(sent.append)
    assert sent == [(None, [b"granted"]) if isinstance(value, bytes) else ("no longer the leader", None)]
