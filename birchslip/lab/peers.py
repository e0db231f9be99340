"""Stand-ins for what stands around app servers, on the program's own scheduler: agents, vault and catalog.

They speak the published protocols as far as an app server sees them. An agent models cores: a run takes its
work, longer while more run than there are cores, and longer while it is cold. The vault counts the calls in
hand.
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
from .truth import Truth
from .wires import let_in, listener

LINE = 65_536
BOUND = 4 << 20
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 409: "Conflict"}
LISTED = 30_000  # a report stands for three seconds


class Peer:
    """Listens on loopback and serves each connection in a task of its own."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.listener = listener()
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.links: dict[Connection, None] = {}
        self.closed = False
        scheduler.spawn(type(self).__name__, partial(let_in, scheduler, self.listener, self.take_in))

    def take_in(self, sock: socket.socket) -> None:
        if self.closed:
            sock.close()
            return
        link = Connection(self.scheduler, sock, BOUND, BOUND)
        self.links[link] = None
        self.scheduler.spawn("link", partial(self.keep, link))

    def keep(self, link: Connection) -> None:
        take = self.begin(link)
        try:
            link.serve(take)
        finally:
            link.close("ended")
            self.links.pop(link, None)
            self.gone(link)

    def begin(self, link: Connection) -> Callable[[Buffer], None]:
        raise NotImplementedError

    def gone(self, link: Connection) -> None:
        """Its connection has ended."""

    def drop(self) -> None:
        for link in list(self.links):
            link.close("dropped")

    def close(self) -> None:
        """Gone for a while: what is open breaks, and nobody is let in."""
        self.closed = True
        self.drop()

    def open(self) -> None:
        self.closed = False


class Run:
    """One run on the cores. A body's words: the work in milliseconds, `call`, and the label."""

    def __init__(self, name: str, body: bytes) -> None:
        words = body.decode("ascii", "replace").split()
        self.name, self.body = name, body
        self.work = next((int(word) for word in words if word.isdigit()), 10) * 10
        self.calls = "call" in words
        self.label = next((word[1:] for word in words if word.startswith("L")), "")
        self.reply = b""
        self.on_core = False


class Agent(Peer):
    """One agent and its cores. `written` tells when a try of that name was written to its app server."""

    def __init__(
        self,
        scheduler: Scheduler,
        truth: Truth,
        server: str,
        cores: int,
        cold_from: float,
        cold_span: int,
        written: Callable[[str], int],
    ) -> None:
        self.truth, self.server, self.written = truth, server, written
        self.cores = Cores(cores, cold_from, cold_span)
        self.version = ""  # what is wrong with the runs of the version that it runs now
        self.harmed: Callable[[], None] = lambda: None  # told when that has shown
        self.life = 0
        self.paused = False
        self.held: deque[Callable[[], None]] = deque()
        super().__init__(scheduler)
        self.start(cold=False)

    def start(self, cold: bool) -> None:
        """Begun anew, from nothing."""
        self.life += 1
        self.cores.start(self.scheduler.now, cold)
        self.notices: list[dict[str, Any]] = []
        self.runs: dict[str, Run] = {}
        self.over: set[str] = set()
        self.out: Connection | None = None
        self.paused = False
        self.held.clear()
        self.drop()

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        while self.held:
            self.held.popleft()()

    def cost(self, span: int) -> None:
        """A connection or a try at its app server: the cores pay, whatever becomes of it."""
        self.cores.cost(self.scheduler.now, span)

    # ---- orders ----------------------------------------------------------------------------------------

    def begin(self, link: Connection) -> Callable[[Buffer], None]:
        def take(buffer: Buffer) -> None:
            while (line := buffer.read_line(LINE)) is not None:
                order = json.loads(line)
                self.when_awake(partial(self.obey, link, order))

        return take

    def when_awake(self, act: Callable[[], None]) -> None:
        """Nothing happens while it is paused, and nothing of an earlier life happens at all."""
        life = self.life

        def guarded() -> None:
            if life != self.life:
                return
            if self.paused:
                self.held.append(guarded)
            else:
                act()

        guarded()

    def obey(self, link: Connection, order: dict[str, Any]) -> None:
        name = order.get("id", "")
        run = self.runs.get(name)
        match order["op"]:
            case "subscribe":
                self.out = link
                age = (self.scheduler.now - self.cores.began) // 10
                self.tell(op="greeting", end="fresh" if self.cores.cold else "seasoned", ms=age)
                for notice in self.notices[order["seq"] :]:
                    self.tell(**notice)
            case "launch" if run is None and name not in self.over:
                run = self.runs[name] = Run(name, b64decode(order["body"]))
                self.truth.launched(self.server, self.life, run.label, self.written(name), self.scheduler.now)
                self.work(run, run.work // 2 if run.calls else run.work, self.call if run.calls else self.end)
            case "launch":
                pass
            case "freeze" if run is not None:
                self.end(run, "aborted")
            case "deliver" if run is not None:
                run.reply = b64decode(order["body"])
                self.work(run, run.work // 2, self.end)
            case "forgo" if run is not None:
                self.work(run, run.work // 2, self.end)
            case "sample":
                used = min(1.0, self.on_cores() / self.cores.count)
                self.tell(op="sampled", tag=order["tag"], values=[used, len(self.runs), 0.1, 1])
            case kind:
                self.tell(op="refusal", end=kind, id=name)

    def on_cores(self) -> int:
        return sum(1 for run in self.runs.values() if run.on_core)

    def work(self, run: Run, span: int, then: Callable[[Run], None]) -> None:
        run.on_core = True
        took = self.cores.took(self.scheduler.now, span, self.on_cores())
        if self.version == "slow" and self.on_cores() >= self.cores.count:
            took = took * 3 // 2
            self.harmed()
        self.scheduler.at(self.scheduler.now + took, lambda: self.when_awake(partial(self.rest, run, then)))

    def rest(self, run: Run, then: Callable[[Run], None]) -> None:
        if self.runs.get(run.name) is run:
            run.on_core = False
            then(run)

    def call(self, run: Run) -> None:
        self.note(op="request", id=run.name, body=b64encode(b"asked by " + run.name.encode()).decode())

    def end(self, run: Run, how: str = "done") -> None:
        if self.runs.pop(run.name, None) is run:
            self.over.add(run.name)
            if self.version == "profile" and run.label and how == "done":
                how = "crashed"
                self.harmed()
            result = b64encode(b"made of " + run.body + run.reply).decode()
            self.note(op="outcome", id=run.name, end=how, ms=run.work // 10, body=result)

    def note(self, **notice: Any) -> None:
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.tell(**notice)

    def tell(self, **line: Any) -> None:
        if self.out is not None and self.out.open:
            self.out.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")


class Vault(Peer):
    """Answers a call after `took`; each call counts from its message to its answer or the end of its link."""

    def __init__(self, scheduler: Scheduler, truth: Truth, took: Callable[[], int]) -> None:
        self.truth, self.took = truth, took
        self.hands: dict[Connection, dict[bytes, None]] = {}
        super().__init__(scheduler)

    def begin(self, link: Connection) -> Callable[[Buffer], None]:
        self.hands[link] = {}
        head: list[list[bytes]] = []

        def take(buffer: Buffer) -> None:
            while True:
                if head:
                    size = int(head[0][3]) + 2
                    if len(buffer) < size:
                        return
                    buffer.skip(size)
                    self.ask(link, head.pop()[1])
                line = buffer.read_line(LINE)
                if line is None:
                    return
                words = line.split()
                if words[:1] == [b"ask"] and len(words) == 4:
                    head.append(words)
                elif words[:1] == [b"unask"] and len(words) == 2:
                    self.over(link, words[1])
                else:
                    raise MalformedMessageError("no message of a caller's")

        return take

    def ask(self, link: Connection, name: bytes) -> None:
        self.over(link, name)
        self.hands[link][name] = None
        self.truth.call("all", 1)
        self.scheduler.at(self.scheduler.now + self.took(), lambda: self.answer(link, name))

    def answer(self, link: Connection, name: bytes) -> None:
        if self.over(link, name):
            link.write(name + b" yes 9\r\n and paid\r\n")

    def over(self, link: Connection, name: bytes) -> bool:
        if name in self.hands.get(link, {}):
            del self.hands[link][name]
            self.truth.call("all", -1)
            return True
        return False

    def gone(self, link: Connection) -> None:
        for name in list(self.hands.get(link, {})):
            self.over(link, name)
        self.hands.pop(link, None)


class Web(Peer):
    """HTTP/1.1 as far as the program and its planners speak it."""

    def begin(self, link: Connection) -> Callable[[Buffer], None]:
        head: list[bytes] = []

        def take(buffer: Buffer) -> None:
            while True:
                if not head or head[-1]:
                    line = buffer.read_line(LINE)
                    if line is None:
                        return
                    head.append(line)
                    continue
                size = next(
                    (int(one.split(b":")[1]) for one in head if one.lower().startswith(b"content-length")), 0
                )
                if len(buffer) < size:
                    return
                verb, path = head[0].decode().split()[:2]
                head.clear()
                answer = self.serve(verb, path, buffer.take(size))
                if answer is not None:
                    status, body = answer
                    said = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n\r\n"
                    link.write(said.encode() + body)

        return take

    def serve(self, verb: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Status and body; None where it never answers."""
        raise NotImplementedError


class Catalog(Web):
    """Keeps the list of app servers whose last good report is not older than three seconds."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.reports: dict[str, tuple[int, bool]] = {}
        super().__init__(scheduler)

    def serve(self, verb: str, path: str, body: bytes) -> tuple[int, bytes] | None:
        status = json.loads(body)["status"]
        self.reports[path.rpartition("/")[2]] = (self.scheduler.now, status == "passing")
        return 204, b""

    def listed(self) -> set[str]:
        now = self.scheduler.now
        return {name for name, (at, good) in self.reports.items() if good and now - at <= LISTED}

    def listed_since(self, name: str, at: int) -> bool:
        """Whether it has told of itself since then, and well."""
        heard, good = self.reports.get(name, (-1, False))
        return good and heard >= at
