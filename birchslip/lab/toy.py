"""Threaded stand-ins around a single app server, for tests and for trying the program out by hand.

They speak the same protocols as those in `peers.py`, but serve one app server and model no cores: a run is a
sleep. A test controls each of them through its attributes.
"""

from __future__ import annotations

import json
import os
import queue
import socket
import threading
import time
from base64 import b64decode, b64encode
from contextlib import suppress
from typing import Any

from ..net.messagepack import IncompleteMessageError, pack, unpack


class Peer:
    """A server that serves each connection in a thread of its own; port 0 takes any free port.

    Attributes:
        connections: Connections in the order in which they were accepted.
        received: What was received, in the form that the subclass says.
        address: HOST:PORT at which it listens.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen at the address."""
        self.connections: list[socket.socket] = []
        self.received: queue.Queue[Any] = queue.Queue()
        self.listen(host, port)

    def listen(self, host: str, port: int) -> None:
        """Listen at the address and accept connections in a thread."""
        self.listener = socket.create_server((host, port))
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener: socket.socket) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve_until_closed, args=(connection,), daemon=True).start()

    def serve_until_closed(self, connection: socket.socket) -> None:
        """Serve a connection until either side closes it."""
        try:
            self.serve(connection)
        except OSError:
            pass  # the client closed the connection
        finally:
            connection.close()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it closes; subclasses implement it."""
        raise NotImplementedError

    def close_connections(self) -> None:
        """Close all connections; new ones are accepted."""
        connections, self.connections = self.connections, []
        for connection in connections:
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def send_raw(self, data: bytes) -> None:
        """Send raw bytes on the newest connection."""
        self.connections[-1].sendall(data)

    def move(self) -> None:
        """Listen at a new address; the old one accepts nothing, and open connections stay."""
        self.stop_listening()
        self.listen(self.host, 0)

    def stop_listening(self) -> None:
        """Close the listener; open connections stay."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # a thread blocked in accept would keep it open
        self.listener.close()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.stop_listening()
        self.close_connections()


class Agent(Peer):
    """An agent whose runs are sleeps.

    The words of a request body say what a run does: a number is its duration in milliseconds, each `call`
    makes a downstream call, with equal parts of the duration before, between and after the calls, `crash`
    makes it fail, and `hold` keeps it open until `finish_run`.

    Attributes:
        received: Orders received.
        sends_greeting: Whether a subscriber gets a greeting at once; otherwise `send_greeting` sends it.
        refuses_launches: Whether each launch is answered with a refusal.
        notices: Notices sent so far, replayed to a new subscriber.
        runs: Words of the request body of each open run, by run id.
        calls_left: How many calls each open run has still to request, by run id.
        waiting_calls: Number of the notice that requested the call that a run waits for, by run id.
        launched_run_ids: Runs in the order of their launches.
        subscriber: Connection that notices are sent on; None without one.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, sends_greeting: bool = True) -> None:
        """Listen at the address; with `sends_greeting` each subscriber is greeted at once."""
        self.started_at = time.time()
        self.sends_greeting = sends_greeting
        self.refuses_launches = False
        self.lock = threading.RLock()
        self.notices: list[dict[str, Any]] = []
        self.runs: dict[str, list[str]] = {}
        self.calls_left: dict[str, int] = {}
        self.waiting_calls: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self.replies: dict[str, bytes] = {}
        self.finished_run_ids: set[str] = set()
        self.launched_run_ids: list[str] = []
        self.subscriber: Any = None
        super().__init__(host, port)

    def serve(self, connection: socket.socket) -> None:
        """Carry out the orders on one connection."""
        for line in connection.makefile("rb"):
            order = json.loads(line)
            with self.lock:
                self.handle_order(connection, order)
            self.received.put(order)

    def handle_order(self, connection: socket.socket, order: dict[str, Any]) -> None:
        """Carry out one order; the caller holds the lock.

        An order that fits no run is answered with a refusal, except a repeated launch, which is ignored. So
        is a reply for a run that waits for no call, and a `forgo` of another call than it waits for.
        """
        run_id = order.get("id", "")
        match order["op"]:
            case "subscribe":
                self.subscriber = connection
                self.subscribed_from = order["seq"]
                if self.sends_greeting:
                    self.send_greeting()
            case "launch" if self.refuses_launches:
                self.send(op="refusal", end="launch", id=run_id)
            case "launch" if run_id not in self.runs and run_id not in self.finished_run_ids:
                body = b64decode(order["body"])
                self.launched_run_ids.append(run_id)
                self.bodies[run_id] = body
                self.runs[run_id] = body.decode("ascii", "replace").split()
                self.calls_left[run_id] = self.runs[run_id].count("call")
                self.schedule_step(run_id)
            case "launch":
                pass
            case "freeze" if run_id in self.runs:
                self.finish_run(run_id, "aborted")
            case "deliver" if run_id in self.runs:
                if run_id in self.waiting_calls:
                    self.replies[run_id] = self.replies.get(run_id, b"") + b64decode(order["body"])
                    self.end_call(run_id)
            case "forgo" if run_id in self.runs:
                if self.waiting_calls.get(run_id) == order["seq"]:
                    self.end_call(run_id)
            case "sample":
                core_use = min(1.0, len(self.runs) / 2)
                self.send(op="sampled", tag=order["tag"], values=[core_use, len(self.runs), 0.1, 1])
            case kind:
                self.send(op="refusal", end=kind, id=run_id)

    def send_greeting(self) -> None:
        """Send the greeting and replay the notices that the subscriber has not seen.

        Later subscribers are greeted at once.
        """
        with self.lock:
            self.sends_greeting = True
            self.send(op="greeting", end="seasoned", ms=int((time.time() - self.started_at) * 1000))
            for notice in self.notices[self.subscribed_from :]:
                self.send(**notice)

    def schedule_step(self, run_id: str) -> None:
        """Schedule the next step of a run: its next downstream call, or its end if none is left.

        A run takes as many milliseconds as its first number says, 10 without one. The end of a run with
        `hold` is not scheduled.
        """
        words = self.runs[run_id]
        makes_call = self.calls_left[run_id] > 0
        if "hold" in words and not makes_call:
            return
        duration_s = next((int(word) for word in words if word.isdigit()), 10) / 1000
        delay_s = duration_s / (1 + words.count("call"))
        timer = threading.Timer(delay_s, self.request_call if makes_call else self.finish_run, (run_id,))
        timer.daemon = True
        timer.start()

    def request_call(self, run_id: str) -> None:
        """Ask the app server for the next downstream call of a run that is still open."""
        with self.lock:
            if run_id in self.runs:
                self.calls_left[run_id] -= 1
                body = b64encode(b"asked by " + run_id.encode()).decode()
                self.waiting_calls[run_id] = len(self.notices) + 1
                self.append_notice(op="request", id=run_id, body=body)

    def end_call(self, run_id: str) -> None:
        """Let a run that waits for a call continue; the caller holds the lock."""
        del self.waiting_calls[run_id]
        self.schedule_step(run_id)

    def finish_run(self, run_id: str, outcome: str = "") -> None:
        """End a run that is still open, and notify the app server of its outcome and result.

        An empty `outcome` stands for "crashed" if the body has the word `crash`, otherwise for "done".
        """
        with self.lock:
            if run_id not in self.runs:
                return
            words = self.runs.pop(run_id)
            self.waiting_calls.pop(run_id, None)
            del self.calls_left[run_id]
            outcome = outcome or ("crashed" if "crash" in words else "done")
            result = b"made of " + self.bodies.pop(run_id) + self.replies.pop(run_id, b"")
            self.finished_run_ids.add(run_id)
            self.append_notice(op="outcome", id=run_id, end=outcome, ms=10, body=b64encode(result).decode())

    def append_notice(self, **notice: object) -> None:
        """Give a notice the next sequence number, keep it for replay and send it."""
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.send(**notice)

    def send(self, **message: object) -> None:
        """Send a message to the subscriber, if there is one; drop the subscriber if that fails."""
        try:
            if self.subscriber is not None:
                self.subscriber.sendall(json.dumps(message).encode() + b"\n")
        except OSError:
            self.subscriber = None  # replayed to the next subscriber


class Vault(Peer):
    """A downstream service that answers every call with `answer_word`; "silent" answers none.

    Attributes:
        received: Words of the first line of each message.
        closed_connections: Connections that have ended.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, answer_word: str = "yes") -> None:
        """Listen at the address; every call is answered with `answer_word`."""
        self.answer_word = answer_word
        self.closed_connections: queue.Queue[socket.socket] = queue.Queue()
        super().__init__(host, port)

    def serve(self, connection: socket.socket) -> None:
        """Answer the calls on one connection and record its end."""
        try:
            self.answer_calls(connection)
        finally:
            self.closed_connections.put(connection)

    def answer_calls(self, connection: socket.socket) -> None:
        """Answer the calls on one connection until it closes; other messages than calls are only recorded."""
        stream = connection.makefile("rb")
        for line in stream:
            words = line.split()
            self.received.put(words)
            if words[0] != b"ask":
                continue
            stream.read(int(words[3]) + 2)
            if self.answer_word == "yes":
                connection.sendall(words[1] + b" yes 9\r\n and paid\r\n")
            elif self.answer_word != "silent":
                connection.sendall(words[1] + b" " + self.answer_word.encode() + b"\r\n")


class Catalog(Peer):
    """A catalog that records reports and answers each with the HTTP status `status`.

    Attributes:
        received: Path and decoded body of each report.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, status: int = 204) -> None:
        """Listen at the address; every report is answered with `status`."""
        self.status = status
        super().__init__(host, port)

    def serve(self, connection: socket.socket) -> None:
        """Record the reports on one connection and answer them."""
        stream = connection.makefile("rb")
        while request_line := stream.readline():
            length = 0
            while (line := stream.readline()) not in (b"\r\n", b""):
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            self.received.put((request_line.split()[1].decode(), json.loads(stream.read(length))))
            connection.sendall(f"HTTP/1.1 {self.status} So\r\nContent-Length: 0\r\n\r\n".encode())


def request_fields(**fields: str) -> dict[str, str]:
    """Return the fields of a request with a new id; `fields` replace the default ones."""
    return {
        "req": os.urandom(8).hex(),
        "ts": str(time.time_ns() // 1_000_000),
        "via": "1",
        "owner": "blue",
        "timeout": "3000",
        "need": "10",
        "level": "0.5",
    } | fields


class Router:
    """A client connection to an app server, as a router has it.

    Attributes:
        notifications: Messages received that are not responses.
        responses: Error and result of each response received, by request number.
    """

    def __init__(self, address: str, timeout_s: float = 10.0) -> None:
        """Connect to HOST:PORT; reads time out after `timeout_s`."""
        host, _, port = address.rpartition(":")
        self.connection = socket.create_connection((host, int(port)), timeout_s)
        self.number = 0
        self.unparsed = b""
        self.notifications: list[Any] = []
        self.responses: dict[int, tuple[Any, Any]] = {}

    def call(self, request_class: str, body: bytes, **fields: str) -> int:
        """Send one request and return its number.

        Args:
            request_class: Name of the request class.
            body: Request body.
            fields: Fields that replace the default ones.
        """
        self.number += 1
        self.connection.sendall(pack([0, self.number, request_class, [request_fields(**fields), body]]))
        return self.number

    def ping(self) -> int:
        """Send a health check and return its number."""
        self.number += 1
        self.connection.sendall(pack([0, self.number, "ping", [{}]]))
        return self.number

    def abort(self, number: int) -> None:
        """Abort the request with this number."""
        self.connection.sendall(pack([2, "abort", [number]]))

    def message(self) -> Any:
        """Wait for the next message and return it.

        Raises:
            EOFError: The app server closed the connection.
            TimeoutError: Nothing arrived within the timeout.
        """
        while True:
            try:
                message, end = unpack(memoryview(self.unparsed), 0, len(self.unparsed))
                self.unparsed = self.unparsed[end:]
                return message
            except IncompleteMessageError:
                data = self.connection.recv(65536)
                if not data:
                    raise EOFError from None
                self.unparsed += data

    def answer(self, number: int) -> tuple[Any, Any]:
        """Wait for the response to a request and return its error and result.

        Other messages that arrive meanwhile are kept in `responses` and `notifications`.

        Raises:
            AssertionError: A request was answered twice.
            EOFError: The app server closed the connection.
            TimeoutError: Nothing arrived within the timeout.
        """
        while number not in self.responses:
            message = self.message()
            if message[0] == 1:
                assert message[1] not in self.responses, "answered twice"
                self.responses[message[1]] = (message[2], message[3])
            else:
                self.notifications.append(message)
        return self.responses[number]
