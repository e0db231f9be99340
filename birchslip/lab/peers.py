"""Stand-ins for the systems around app servers, run on the program's own scheduler: agents, vault, catalog.

They speak the published protocols as far as an app server uses them. The agent models cores: a run takes its
work, longer while more runs are active than there are cores, and longer while the cores are cold. The vault
counts open calls.
"""

from __future__ import annotations

import json
import socket
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from ..net.buffer import Buffer, MalformedMessageError
from ..net.connection import Connection
from ..net.scheduler import Scheduler
from .cores import Cores
from .truth import HistoryChecker
from .wires import accept_connections, open_listener

MAX_LINE_BYTES = 65_536
BUFFER_BYTES = 4 << 20
REASON_PHRASES = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 409: "Conflict"}
LISTING_LIFETIME = 30_000  # a report counts for three seconds; in tenths of a millisecond
ASK_WORDS, UNASK_WORDS = 4, 2  # words in the lines that open and cancel a call


class Peer:
    """A server on loopback that serves each connection in a task of its own."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Listen on a free loopback port."""
        self.scheduler = scheduler
        self.listener = open_listener()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections: dict[Connection, None] = {}
        self.is_closed = False
        scheduler.spawn(
            type(self).__name__, partial(accept_connections, scheduler, self.listener, self.on_accept)
        )

    def on_accept(self, sock: socket.socket) -> None:
        """Serve a new connection, or close it if the peer does not accept any."""
        if self.is_closed:
            sock.close()
            return
        connection = Connection(self.scheduler, sock, BUFFER_BYTES, BUFFER_BYTES)
        self.connections[connection] = None
        self.scheduler.spawn("link", partial(self.serve_connection, connection))

    def serve_connection(self, connection: Connection) -> None:
        """Read from the connection until it closes."""
        on_data = self.make_data_handler(connection)
        try:
            connection.serve(on_data)
        finally:
            connection.close("ended")
            self.connections.pop(connection, None)
            self.on_connection_closed(connection)

    def make_data_handler(self, connection: Connection) -> Callable[[Buffer], None]:
        """Return the function that handles the data received on this connection."""
        raise NotImplementedError

    def on_connection_closed(self, connection: Connection) -> None:
        """Handle the end of a connection; does nothing by default."""

    def close_connections(self) -> None:
        """Close all open connections; new ones are still accepted."""
        for connection in list(self.connections):
            connection.close("dropped")

    def stop_accepting(self) -> None:
        """Close all connections and refuse new ones, as if the peer were down."""
        self.is_closed = True
        self.close_connections()

    def start_accepting(self) -> None:
        """Accept connections again."""
        self.is_closed = False


class Run:
    """One run at an agent.

    The request body holds words: the work in milliseconds, `call` for a downstream call halfway, and the
    idempotency key after an `L`.
    """

    def __init__(self, run_id: str, body: bytes) -> None:
        """Parse the work, the call and the key out of the request body."""
        words = body.decode("ascii", "replace").split()
        self.run_id, self.body = run_id, body
        self.work = next((int(word) for word in words if word.isdigit()), 10) * 10
        self.makes_call = "call" in words
        self.key = next((word[1:] for word in words if word.startswith("L")), "")
        self.reply = b""
        self.is_on_core = False
        self.waiting_call: int | None = None  # number of the notice that requested the call it waits for


class Agent(Peer):
    """One agent and its cores; it executes the runs of one app server.

    Attributes:
        fault_kind: Kind of fault in the runs of the installed version; see `versions.FAULT_KINDS`.
        on_harm: Called when that fault has affected a run.
        incarnation: Number of starts so far.
        deferred: Actions that came up while paused.
        notices: Notices sent so far, replayed to a new subscriber.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        history: HistoryChecker,
        server: str,
        cores: int,
        cold_speed: float,
        warm_up_span: int,
        get_written_at: Callable[[str], int],
    ) -> None:
        """Create a started, warm agent.

        Args:
            scheduler: Scheduler of the testbed.
            history: Where launches are recorded.
            server: Name of the app server.
            cores: Number of cores.
            cold_speed: Share of the full speed at a cold start.
            warm_up_span: Time until full speed, in tenths of a millisecond.
            get_written_at: Returns when a request id was written to the app server.
        """
        self.history, self.server, self.get_written_at = history, server, get_written_at
        self.cores = Cores(cores, cold_speed, warm_up_span)
        self.fault_kind = ""
        self.on_harm: Callable[[], None] = lambda: None
        self.incarnation = 0
        self.is_paused = False
        self.deferred: deque[Callable[[], None]] = deque()
        super().__init__(scheduler)
        self.start(is_cold=False)

    def start(self, is_cold: bool) -> None:
        """Start a new, unpaused incarnation without runs, notices and deferred actions.

        All connections are closed. The cores start at reduced speed if `is_cold`, otherwise at full speed.
        """
        self.incarnation += 1
        self.cores.start(self.scheduler.now, is_cold)
        self.notices: list[dict[str, Any]] = []
        self.runs: dict[str, Run] = {}
        self.finished_run_ids: set[str] = set()
        self.subscriber: Connection | None = None
        self.is_paused = False
        self.deferred.clear()
        self.close_connections()

    def pause(self) -> None:
        """Defer all activity until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Carry out the deferred actions and continue."""
        self.is_paused = False
        while self.deferred:
            self.deferred.popleft()()

    def charge_cores(self, work: int) -> None:
        """Charge core time for a connection or for reading a request at the app server.

        It is charged even if the request is then rejected.
        """
        self.cores.charge(self.scheduler.now, work)

    # ---- orders ----------------------------------------------------------------------------------------

    def make_data_handler(self, connection: Connection) -> Callable[[Buffer], None]:
        """Return the handler of order lines on this connection."""

        def on_data(buffer: Buffer) -> None:
            while (line := buffer.read_line(MAX_LINE_BYTES)) is not None:
                order = json.loads(line)
                self.run_unless_paused(partial(self.handle_order, connection, order))

        return on_data

    def run_unless_paused(self, action: Callable[[], None]) -> None:
        """Run the action, after `resume` if paused; drop it if a new incarnation has started."""
        incarnation = self.incarnation

        def guarded() -> None:
            if incarnation != self.incarnation:
                return
            if self.is_paused:
                self.deferred.append(guarded)
            else:
                action()

        guarded()

    def handle_order(self, connection: Connection, order: dict[str, Any]) -> None:
        """Carry out one order of the app server.

        An order that fits no run is answered with a refusal, except a repeated launch, which is ignored. So
        is a reply for a run that waits for no call, and a `forgo` of another call than it waits for.
        """
        run_id = order.get("id", "")
        run = self.runs.get(run_id)
        match order["op"]:
            case "subscribe":
                self.subscriber = connection
                age = (self.scheduler.now - self.cores.started_at) // 10
                self.send(op="greeting", end="fresh" if self.cores.is_cold else "seasoned", ms=age)
                for notice in self.notices[order["seq"] :]:
                    self.send(**notice)
            case "launch" if run is None and run_id not in self.finished_run_ids:
                run = self.runs[run_id] = Run(run_id, b64decode(order["body"]))
                self.history.record_launch(
                    self.server, self.incarnation, run.key, self.get_written_at(run_id), self.scheduler.now
                )
                self.occupy_core(
                    run,
                    run.work // 2 if run.makes_call else run.work,
                    self.request_call if run.makes_call else self.finish_run,
                )
            case "launch":
                pass
            case "freeze" if run is not None:
                self.finish_run(run, "aborted")
            case "deliver" if run is not None:
                if run.waiting_call is not None:
                    run.reply = b64decode(order["body"])
                    self.end_call(run)
            case "forgo" if run is not None:
                if run.waiting_call == order["seq"]:
                    self.end_call(run)
            case "sample":
                core_use = min(1.0, self.count_on_cores() / self.cores.count)
                self.send(op="sampled", tag=order["tag"], values=[core_use, len(self.runs), 0.1, 1])
            case kind:
                self.send(op="refusal", end=kind, id=run_id)

    def count_on_cores(self) -> int:
        """Count the runs that occupy a core."""
        return sum(1 for run in self.runs.values() if run.is_on_core)

    def occupy_core(self, run: Run, work: int, then: Callable[[Run], None]) -> None:
        """Let a run occupy a core for `work`, then call `then`."""
        run.is_on_core = True
        duration = self.cores.compute_duration(self.scheduler.now, work, self.count_on_cores())
        if self.fault_kind == "slow" and self.count_on_cores() >= self.cores.count:
            duration = duration * 3 // 2
            self.on_harm()
        self.scheduler.at(
            self.scheduler.now + duration, lambda: self.run_unless_paused(partial(self.leave_core, run, then))
        )

    def leave_core(self, run: Run, then: Callable[[Run], None]) -> None:
        """Free the core of a run that still exists and call `then`."""
        if self.runs.get(run.run_id) is run:
            run.is_on_core = False
            then(run)

    def request_call(self, run: Run) -> None:
        """Ask the app server for the downstream call of a run."""
        run.waiting_call = len(self.notices) + 1
        self.append_notice(
            op="request", id=run.run_id, body=b64encode(b"asked by " + run.run_id.encode()).decode()
        )

    def end_call(self, run: Run) -> None:
        """Let a run that waits for its call continue to its end."""
        run.waiting_call = None
        self.occupy_core(run, run.work // 2, self.finish_run)

    def finish_run(self, run: Run, outcome: str = "done") -> None:
        """End a run that still exists and notify the app server of its outcome and result.

        The fault kind "profile" turns the outcome "done" of a run with an idempotency key into "crashed".
        """
        if self.runs.pop(run.run_id, None) is run:
            self.finished_run_ids.add(run.run_id)
            if self.fault_kind == "profile" and run.key and outcome == "done":
                outcome = "crashed"
                self.on_harm()
            result = b64encode(b"made of " + run.body + run.reply).decode()
            self.append_notice(op="outcome", id=run.run_id, end=outcome, ms=run.work // 10, body=result)

    def append_notice(self, **notice: object) -> None:
        """Give a notice the next sequence number, keep it for replay and send it."""
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.send(**notice)

    def send(self, **message: object) -> None:
        """Send a message to the subscriber, if it is connected."""
        if self.subscriber is not None and self.subscriber.open:
            self.subscriber.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")


class Vault(Peer):
    """A downstream service; a call is open from its message until its answer or the end of its connection."""

    def __init__(
        self, scheduler: Scheduler, history: HistoryChecker, draw_latency: Callable[[], int]
    ) -> None:
        """Create a vault.

        Args:
            scheduler: Scheduler of the testbed.
            history: Where open calls are counted.
            draw_latency: Returns the latency of one call, in tenths of a millisecond.
        """
        self.history, self.draw_latency = history, draw_latency
        self.open_calls: dict[Connection, dict[bytes, None]] = {}
        super().__init__(scheduler)

    def make_data_handler(self, connection: Connection) -> Callable[[Buffer], None]:
        """Return the handler of calls and cancellations on this connection.

        The handler raises MalformedMessageError for anything else.
        """
        self.open_calls[connection] = {}
        pending_asks: list[list[bytes]] = []

        def on_data(buffer: Buffer) -> None:
            while True:
                if pending_asks:
                    size = int(pending_asks[0][3]) + 2
                    if len(buffer) < size:
                        return
                    buffer.skip(size)
                    self.start_call(connection, pending_asks.pop()[1])
                line = buffer.read_line(MAX_LINE_BYTES)
                if line is None:
                    return
                words = line.split()
                if words[:1] == [b"ask"] and len(words) == ASK_WORDS:
                    pending_asks.append(words)
                elif words[:1] == [b"unask"] and len(words) == UNASK_WORDS:
                    self.end_call(connection, words[1])
                else:
                    raise MalformedMessageError("unexpected message from a caller")

        return on_data

    def start_call(self, connection: Connection, call_name: bytes) -> None:
        """Open a call and schedule its answer; a call of the same name on this connection is replaced."""
        self.end_call(connection, call_name)
        self.open_calls[connection][call_name] = None
        self.history.record_call_change("all", 1)
        self.scheduler.at(
            self.scheduler.now + self.draw_latency(), lambda: self.answer_call(connection, call_name)
        )

    def answer_call(self, connection: Connection, call_name: bytes) -> None:
        """Answer a call that is still open."""
        if self.end_call(connection, call_name):
            connection.write(call_name + b" yes 9\r\n and paid\r\n")

    def end_call(self, connection: Connection, call_name: bytes) -> bool:
        """Close a call and return whether it was open."""
        if call_name in self.open_calls.get(connection, {}):
            del self.open_calls[connection][call_name]
            self.history.record_call_change("all", -1)
            return True
        return False

    def on_connection_closed(self, connection: Connection) -> None:
        """End all calls of the connection."""
        for call_name in list(self.open_calls.get(connection, {})):
            self.end_call(connection, call_name)
        self.open_calls.pop(connection, None)


class HttpPeer(Peer):
    """An HTTP/1.1 server, as far as the program and its planners need it."""

    def make_data_handler(self, connection: Connection) -> Callable[[Buffer], None]:
        """Return the handler of HTTP requests on this connection."""
        header_lines: list[bytes] = []

        def on_data(buffer: Buffer) -> None:
            while True:
                if not header_lines or header_lines[-1]:
                    line = buffer.read_line(MAX_LINE_BYTES)
                    if line is None:
                        return
                    header_lines.append(line)
                    continue
                size = next(
                    (
                        int(header.split(b":")[1])
                        for header in header_lines
                        if header.lower().startswith(b"content-length")
                    ),
                    0,
                )
                if len(buffer) < size:
                    return
                method, path = header_lines[0].decode().split()[:2]
                header_lines.clear()
                answer = self.handle_request(method, path, buffer.take(size))
                if answer is not None:
                    status, body = answer
                    head = (
                        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Length: {len(body)}\r\n\r\n"
                    )
                    connection.write(head.encode() + body)

        return on_data

    def handle_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Return status and body of the response; None to send no response."""
        raise NotImplementedError


class Catalog(HttpPeer):
    """Lists the app servers whose last report was passing and is at most three seconds old."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Create a catalog without reports."""
        self.reports: dict[str, tuple[int, bool]] = {}
        super().__init__(scheduler)

    def handle_request(self, method: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Record the status report of an app server."""
        status = json.loads(body)["status"]
        self.reports[path.rpartition("/")[2]] = (self.scheduler.now, status == "passing")
        return 204, b""

    def get_listed_servers(self) -> set[str]:
        """Return the names of the listed app servers."""
        now = self.scheduler.now
        return {
            name
            for name, (reported_at, is_healthy) in self.reports.items()
            if is_healthy and now - reported_at <= LISTING_LIFETIME
        }

    def is_listed_since(self, name: str, since: int) -> bool:
        """Return whether the last report of an app server is passing and not older than `since`."""
        reported_at, is_healthy = self.reports.get(name, (-1, False))
        return is_healthy and reported_at >= since
