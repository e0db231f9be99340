"""Stand-ins in threads, for a test or a person who speaks to one app server: each can be told what to do.

They speak the same protocols as those in `peers.py`, which model cores and serve many app servers at a
time, and nothing more. A run here is a sleep.
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
    """Listens, and serves each connection in a thread of its own. Port 0 takes any free one."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self.links: list[socket.socket] = []
        self.seen: queue.Queue[Any] = queue.Queue()
        self.listen(host, port)

    def listen(self, host: str, port: int) -> None:
        self.listener = socket.create_server((host, port))
        self.host, self.port = self.listener.getsockname()
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener: socket.socket) -> None:
        while True:
            try:
                link, _ = listener.accept()
            except OSError:
                return
            self.links.append(link)
            threading.Thread(target=self.guarded, args=(link,), daemon=True).start()

    def guarded(self, link: socket.socket) -> None:
        try:
            self.serve(link)
        except OSError:
            pass  # the other side has gone
        finally:
            link.close()

    def serve(self, link: socket.socket) -> None:
        raise NotImplementedError

    def drop(self) -> None:
        """Break every connection; new ones are welcome."""
        links, self.links = self.links, []
        for link in links:
            with suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)

    def say(self, raw: bytes) -> None:
        """Raw bytes on the newest connection."""
        self.links[-1].sendall(raw)

    def move(self) -> None:
        """The same peer at a new address; the old one takes nothing new, and its connections stay."""
        self.deafen()
        self.listen(self.host, 0)

    def deafen(self) -> None:
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # a thread that waits in accept would keep it open
        self.listener.close()

    def stop(self) -> None:
        self.deafen()
        self.drop()


class Agent(Peer):
    """Runs are sleeps. The words of a body say what a run does:

    a number: so many milliseconds; `call`: a call half-way; `crash`: it fails; `hold`: it ends when told to.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0, greets: bool = True) -> None:
        self.began = time.time()
        self.greets = greets
        self.unknown = False  # whether what is launched is none that it knows
        self.lock = threading.RLock()
        self.notices: list[dict[str, Any]] = []
        self.runs: dict[str, list[str]] = {}
        self.bodies: dict[str, bytes] = {}
        self.replies: dict[str, bytes] = {}
        self.over: set[str] = set()
        self.launched: list[str] = []
        self.out: Any = None
        super().__init__(host, port)

    def serve(self, link: socket.socket) -> None:
        for line in link.makefile("rb"):
            order = json.loads(line)
            with self.lock:
                self.obey(link, order)
            self.seen.put(order)

    def obey(self, link: socket.socket, order: dict[str, Any]) -> None:
        name = order.get("id", "")
        match order["op"]:
            case "subscribe":
                self.out = link
                self.subscribed = order["seq"]
                if self.greets:
                    self.greet()
            case "launch" if self.unknown:
                self.tell(op="refusal", end="launch", id=name)
            case "launch" if name not in self.runs and name not in self.over:
                body = b64decode(order["body"])
                self.launched.append(name)
                self.bodies[name] = body
                self.runs[name] = body.decode("ascii", "replace").split()
                self.work(name, "call" in self.runs[name])
            case "launch":
                pass
            case "freeze" if name in self.runs:
                self.end(name, "aborted")
            case "deliver" if name in self.runs:
                self.replies[name] = b64decode(order["body"])
                self.work(name, False)
            case "forgo" if name in self.runs:
                self.work(name, False)
            case "sample":
                used = min(1.0, len(self.runs) / 2)
                self.tell(op="sampled", tag=order["tag"], values=[used, len(self.runs), 0.1, 1])
            case kind:
                self.tell(op="refusal", end=kind, id=name)

    def greet(self) -> None:
        """Say that the agent is up, and all that was missed."""
        with self.lock:
            self.greets = True
            self.tell(op="greeting", end="seasoned", ms=int((time.time() - self.began) * 1000))
            for notice in self.notices[self.subscribed :]:
                self.tell(**notice)

    def work(self, name: str, calls: bool) -> None:
        words = self.runs[name]
        if "hold" in words and not calls:
            return
        span = next((int(word) for word in words if word.isdigit()), 10) / 1000
        part = span / 2 if "call" in words else span
        timer = threading.Timer(part, self.call if calls else self.end, (name,))
        timer.daemon = True
        timer.start()

    def call(self, name: str) -> None:
        with self.lock:
            if name in self.runs:
                self.note(op="request", id=name, body=b64encode(b"asked by " + name.encode()).decode())

    def end(self, name: str, how: str = "") -> None:
        with self.lock:
            if name not in self.runs:
                return
            words = self.runs.pop(name)
            how = how or ("crashed" if "crash" in words else "done")
            result = b"made of " + self.bodies.pop(name) + self.replies.pop(name, b"")
            self.over.add(name)
            self.note(op="outcome", id=name, end=how, ms=10, body=b64encode(result).decode())

    def note(self, **notice: Any) -> None:
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.tell(**notice)

    def tell(self, **line: Any) -> None:
        try:
            if self.out is not None:
                self.out.sendall(json.dumps(line).encode() + b"\n")
        except OSError:
            self.out = None  # told again on the next link


class Vault(Peer):
    """Answers every call with `word`; `silent` answers none."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, word: str = "yes") -> None:
        self.word = word
        self.ends: queue.Queue[socket.socket] = queue.Queue()
        super().__init__(host, port)

    def serve(self, link: socket.socket) -> None:
        try:
            self.answer(link)
        finally:
            self.ends.put(link)

    def answer(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        for line in file:
            words = line.split()
            self.seen.put(words)
            if words[0] != b"ask":
                continue
            file.read(int(words[3]) + 2)
            if self.word == "yes":
                link.sendall(words[1] + b" yes 9\r\n and paid\r\n")
            elif self.word != "silent":
                link.sendall(words[1] + b" " + self.word.encode() + b"\r\n")


class Catalog(Peer):
    """Takes reports."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0, status: int = 204) -> None:
        self.status = status
        super().__init__(host, port)

    def serve(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        while first := file.readline():
            length = 0
            while (line := file.readline()) not in (b"\r\n", b""):
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            self.seen.put((first.split()[1].decode(), json.loads(file.read(length))))
            link.sendall(f"HTTP/1.1 {self.status} So\r\nContent-Length: 0\r\n\r\n".encode())


class Router:
    """One connection of a router; `answer` waits for what became of one transaction."""

    def __init__(self, address: str, patience: float = 10.0) -> None:
        host, _, port = address.rpartition(":")
        self.link = socket.create_connection((host, int(port)), patience)
        self.number = 0
        self.read = b""
        self.news: list[Any] = []
        self.replies: dict[int, tuple[Any, Any]] = {}

    def call(self, profile: str, body: bytes, **fields: str) -> int:
        """Send one transaction; its number."""
        self.number += 1
        usual = {
            "req": os.urandom(8).hex(),
            "ts": str(time.time_ns() // 1_000_000),
            "via": "1",
            "owner": "blue",
            "timeout": "3000",
            "need": "10",
            "level": "0.5",
        }
        self.link.sendall(pack([0, self.number, profile, [usual | fields, body]]))
        return self.number

    def ping(self) -> int:
        self.number += 1
        self.link.sendall(pack([0, self.number, "ping", [{}]]))
        return self.number

    def abort(self, number: int) -> None:
        self.link.sendall(pack([2, "abort", [number]]))

    def message(self) -> Any:
        """The next message; EOFError at the end of the connection."""
        while True:
            try:
                message, end = unpack(memoryview(self.read), 0, len(self.read))
                self.read = self.read[end:]
                return message
            except IncompleteMessageError:
                more = self.link.recv(65536)
                if not more:
                    raise EOFError from None
                self.read += more

    def answer(self, number: int) -> tuple[Any, Any]:
        """The (error, result) of that transaction; others' are kept."""
        while number not in self.replies:
            message = self.message()
            if message[0] == 1:
                assert message[1] not in self.replies, "answered twice"
                self.replies[message[1]] = (message[2], message[3])
            else:
                self.news.append(message)
        return self.replies[number]
