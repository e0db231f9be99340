"""Stand-ins for an app server's routers, agent, vault and catalog, and a handle on the app server itself.

They speak the protocols of the pages over loopback sockets, on asyncio and the standard library alone. The
agent, the vault and the routers share one `World`, as only stand-ins can: the agent has to know whether a
request is over, and a case what was sent, run and answered. Times are Unix milliseconds.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_LINE = 1 << 17
GAUGES = ("core_use", "on_cores", "heap_share", "links")
CROSSING_MS = 50  # a request that crosses a close within this time is sent once more
BROKEN = 3  # exit code of a case, which `run.sh` turns into 1
START_LIMIT_S = 30  # the users' limit for an app server to be ready


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


# ---- MessagePack ---------------------------------------------------------------------------------------


def pack(value: object) -> bytes:
    """Encode nil, booleans, integers up to 32 bits, text, bytes, lists and maps."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return bytes([value]) if 0 <= value < 1 << 7 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, bytes):
        return b"\xc5" + struct.pack(">H", len(value)) + value
    if isinstance(value, str):
        return b"\xda" + struct.pack(">H", len(value.encode())) + value.encode()
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(pack(item) for item in value)
    if isinstance(value, dict):
        pairs = b"".join(pack(key) + pack(item) for key, item in value.items())
        return b"\xde" + struct.pack(">H", len(value)) + pairs
    raise TypeError(type(value).__name__)


FIXED = {0xC0: None, 0xC2: False, 0xC3: True}
NUMBERS = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q"}
NUMBERS |= {0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}
SIZED = {0xC4: ("bin", 1), 0xC5: ("bin", 2), 0xC6: ("bin", 4), 0xD9: ("str", 1), 0xDA: ("str", 2)}
SIZED |= {0xDB: ("str", 4), 0xDC: ("list", 2), 0xDD: ("list", 4), 0xDE: ("map", 2), 0xDF: ("map", 4)}
SHORT = ((0x80, 0x8F, "map", 0x0F), (0x90, 0x9F, "list", 0x0F), (0xA0, 0xBF, "str", 0x1F))


async def unpack(reader: asyncio.StreamReader) -> object:
    """Read and decode one value."""
    (head,) = await reader.readexactly(1)
    if head in FIXED:
        return FIXED[head]
    if head < 1 << 7:
        return head
    if head >= 0xE0:  # noqa: PLR2004
        return head - 256
    if head in NUMBERS:
        form = NUMBERS[head]
        return struct.unpack(form, await reader.readexactly(struct.calcsize(form)))[0]
    if head in SIZED:
        kind, width = SIZED[head]
        size = int.from_bytes(await reader.readexactly(width))
    else:
        kind, size = next((kind, head & mask) for low, high, kind, mask in SHORT if low <= head <= high)
    if kind == "list":
        return [await unpack(reader) for _ in range(size)]
    if kind == "map":
        return {await unpack(reader): await unpack(reader) for _ in range(size)}
    raw = await reader.readexactly(size)
    return raw.decode() if kind == "str" else raw


# ---- what is known -------------------------------------------------------------------------------------


@dataclass(eq=False)
class Call:
    """One call of a run, by its number within the run; `asks` has what the vault made of each ask."""

    body: bytes
    reply: bytes
    asks: list[str] = field(default_factory=list)
    delivered: list[bytes] = field(default_factory=list)


@dataclass(eq=False)
class Try:
    """One try of a request, from its writing to its answer."""

    req: str
    kind: str
    body: bytes
    key: str
    ts: int
    timeout: int
    written: int = 0
    answers: list[tuple[int, str, object]] = field(default_factory=list)
    over: bool = False
    broken: bool = False
    crossed: bool = False
    more: dict[str, str] = field(default_factory=dict)
    runs: list[int] = field(default_factory=list)
    results: list[bytes] = field(default_factory=list)
    calls: dict[int, Call] = field(default_factory=dict)
    done: asyncio.Event = field(default_factory=asyncio.Event)


class World:
    """All tries by id, and the record of a play."""

    def __init__(self, folder: Path) -> None:
        """Write the record to `record.txt` in a folder."""
        self.tries: dict[str, Try] = {}
        self.counts: Counter[str] = Counter()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Add a line to the record, unless it is finished."""
        if not self.file.closed:
            print(now_ms(), text, file=self.file)

    def finish(self, verdict: str) -> None:
        """Add the verdict to the record and print it."""
        self.note(verdict)
        self.file.close()
        print(verdict)


# ---- servers -------------------------------------------------------------------------------------------

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Peer:
    """A server on a free loopback port; `move` gives it another address."""

    def __init__(self, world: World) -> None:
        """Create a server that does not listen yet."""
        self.world = world
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server

    async def listen(self) -> None:
        """Listen at a new free port."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=MAX_LINE)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.writers.add(writer)
        try:
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            self.ended(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def ended(self, writer: asyncio.StreamWriter) -> None:
        """Note the end of a connection."""

    async def move(self, grace_s: float = 1.5) -> None:
        """Listen at another address; the old connections are closed after `grace_s`."""
        self.server.close()
        old = set(self.writers)
        await self.listen()

        def close_old() -> None:
            for writer in old & self.writers:
                writer.transport.abort()

        asyncio.get_running_loop().call_later(grace_s, close_old)


class Catalog(Peer):
    """The catalog: answers each report with 204."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the reports of one connection."""
        while head := await reader.readuntil(b"\r\n\r\n"):
            lines = head.decode().lower().split("\r\n")
            sizes = [int(line.split(":")[1]) for line in lines if line.startswith("content-length")]
            await reader.readexactly(sizes[0] if sizes else 0)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


class Run:
    """One run at the agent; `work` has the milliseconds on a core before, between and after its calls."""

    def __init__(self, attempt: Try) -> None:
        """Take the work out of the body: its first word has the milliseconds of each part."""
        self.attempt = attempt
        self.work = [int(part) for part in attempt.body.split()[0].split(b",")]
        self.position = 0
        self.on_core = False
        self.waits_for = 0  # the notice that asked for the call, while the run waits for it
        self.reply: asyncio.Future[bytes | None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.started = now_ms()


class Agent(Peer):
    """The render farm agent: `cores` cores shared by all runs."""

    def __init__(self, world: World, cores: int, slow: float = 1.0) -> None:
        """Create an agent, started now and warm."""
        super().__init__(world)
        self.cores, self.slow = cores, slow
        self.piece_delay = 0.0  # seconds between the two pieces of a message; 0 sends it whole
        self.restart()

    def restart(self) -> None:
        """Begin again without runs and notices, as at a start of the machine."""
        for run in getattr(self, "runs", {}).values():
            if run.task is not None:
                run.task.cancel()
        self.started = now_ms()
        self.notices: list[dict[str, object]] = []
        self.runs: dict[str, Run] = {}
        self.link: asyncio.StreamWriter | None = None
        self.outgoing: asyncio.Queue[tuple[asyncio.StreamWriter, bytes]] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry out the commands of one link."""
        while line := await reader.readline():
            if not line.endswith(b"\n"):
                return
            self.command(writer, json.loads(line))

    def command(self, writer: asyncio.StreamWriter, order: dict[str, object]) -> None:
        """Carry out one command."""
        name = str(order.get("id", ""))
        run = self.runs.get(name)
        match order["op"]:
            case "subscribe":
                if self.link is not None and self.link is not writer:
                    self.link.close()
                self.link = writer
                self.send(op="greeting", end="seasoned", ms=now_ms() - self.started)
                for notice in self.notices[int(str(order["seq"])) :]:
                    self.send(**notice)
            case "launch":
                self.launch(name, str(order["class"]), b64decode(str(order["body"])))
            case "sample":
                busy = sum(run.on_core for run in self.runs.values())
                values = [min(1.0, busy / self.cores), busy, 0.2, 4]
                self.send(op="sampled", tag=order["tag"], values=values)
            case op if run is not None:
                self.steer(run, str(op), order)
            case op if name not in self.world.tries:
                self.send(op="refusal", end=op, id=name)

    def steer(self, run: Run, op: str, order: dict[str, object]) -> None:
        """Carry out a command about a run that has not ended."""
        if op == "freeze":
            self.end(run, "aborted")
        elif op == "deliver":
            self.deliver(run, b64decode(str(order["body"])))
        elif op == "forgo" and run.waits_for == order["seq"]:
            self.deliver(run, None)

    def launch(self, name: str, kind: str, body: bytes) -> None:
        """Start a run, unless it runs already or its request is over."""
        attempt = self.world.tries.get(name)
        if attempt is None or (attempt.kind, attempt.body) != (kind, body):
            self.world.note(f"agent launch {name} of nothing that was sent")
            self.send(op="refusal", end="launch", id=name)
        elif name in self.runs:
            pass
        elif attempt.over or attempt.runs:
            self.notify(op="outcome", id=name, end="stale", ms=0, body="")
        else:
            attempt.runs.append(now_ms())
            self.world.note(f"agent launch {name} {kind} key={attempt.key or '-'}")
            run = self.runs[name] = Run(attempt)
            run.task = asyncio.create_task(self.play(run))

    def deliver(self, run: Run, reply: bytes | None) -> None:
        """Hand a run the reply, or none, of its call; a run that waits for no call ignores it."""
        if run.reply is None or run.reply.done():
            self.world.note(f"agent deliver {run.attempt.req} while it waits for no call: passed over")
            return
        run.reply.set_result(reply)

    async def play(self, run: Run) -> None:
        """Play a run from its launch to its end."""
        attempt, replies = run.attempt, [run.attempt.req.encode()]
        for number, work in enumerate(run.work):
            if number:
                if attempt.over:
                    self.end(run, "aborted")
                    return
                reply = await self.call(run, number)
                replies.append(reply if reply is not None else b"-")
            run.on_core = True
            busy = sum(other.on_core for other in self.runs.values())
            await asyncio.sleep(work / 1000 * self.slow * max(1.0, busy / self.cores))
            run.on_core = False
        result = b"result " + b"|".join(replies)
        attempt.results.append(result)
        self.end(run, "done", result)

    async def call(self, run: Run, number: int) -> bytes | None:
        """Ask for a call, and wait for its reply, or for the word to go on without it."""
        attempt = run.attempt
        body = f"call {number} of {attempt.req}".encode()
        call = attempt.calls[number] = Call(body, f"reply {number} for {attempt.req}".encode())
        run.reply = asyncio.get_running_loop().create_future()
        run.waits_for = len(self.notices) + 1
        self.notify(op="request", id=attempt.req, body=b64encode(body).decode())
        ender = asyncio.create_task(self.end_when_over(run, run.reply))
        reply = await run.reply
        ender.cancel()
        if reply is not None:
            call.delivered.append(reply)
            if reply != call.reply:
                self.world.note(f"agent deliver {attempt.req} call {number}: WRONG {reply!r}")
        return reply

    async def end_when_over(self, run: Run, reply: asyncio.Future[bytes | None]) -> None:
        """End a run at its call once its request is over."""
        while not reply.done():
            await asyncio.sleep(0.05)
            if run.attempt.over and not reply.done():
                self.end(run, "aborted")

    def end(self, run: Run, outcome: str, result: bytes = b"") -> None:
        """End a run and tell the app server."""
        name = run.attempt.req
        if self.runs.pop(name, None) is run:
            self.world.note(f"agent outcome {name} {outcome}")
            body = b64encode(result).decode()
            self.notify(op="outcome", id=name, end=outcome, ms=now_ms() - run.started, body=body)
            if run.task is not None and outcome == "aborted" and run.task is not asyncio.current_task():
                run.task.cancel()

    def notify(self, **notice: object) -> None:
        """Give a notice its number, keep it and send it."""
        notice["seq"] = len(self.notices) + 1
        self.notices.append(notice)
        self.send(**notice)

    def send(self, **message: object) -> None:
        """Send a message on the link, if there is one."""
        if self.link is None or self.link.is_closing():
            return
        line = json.dumps(message).encode() + b"\n"
        if not self.piece_delay:
            self.link.write(line)
            return
        self.outgoing.put_nowait((self.link, line[: len(line) // 2]))
        self.outgoing.put_nowait((self.link, line[len(line) // 2 :]))

    async def write_pieces(self) -> None:
        """Write the pieces of messages, with `piece_delay` after the first piece of a message at rest."""
        while True:
            link, piece = await self.outgoing.get()
            if not link.is_closing():
                link.write(piece)
            if not piece.endswith(b"\n") and self.outgoing.qsize() == 1:
                await asyncio.sleep(self.piece_delay)

    def break_link(self) -> None:
        """Reset the link."""
        if self.link is not None:
            self.world.note("agent link is reset")
            self.world.counts["breaks"] += 1
            self.link.transport.abort()
            self.link = None


class Vault(Peer):
    """The vault: takes `slots` calls at a time and turns others away."""

    def __init__(self, world: World, slots: int, low_ms: int, high_ms: int, seed: int) -> None:
        """Create a vault whose calls take `low_ms` to `high_ms`."""
        super().__init__(world)
        self.slots, self.low_ms, self.high_ms = slots, low_ms, high_ms
        self.chance = random.Random(seed)
        self.open: dict[tuple[asyncio.StreamWriter, str], asyncio.Task[None]] = {}
        self.in_hand_most = 0
        self.copies: Callable[[bytes], Iterator[tuple[float, bytes]]] = lambda reply: iter(())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take the calls of one connection."""
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] == "unask":
                self.give_up(writer, words[1])
                continue
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
            self.give_up(writer, words[1])
            self.take(writer, words[1], body)

    def ended(self, writer: asyncio.StreamWriter) -> None:
        """Give up the calls of a connection that has ended."""
        for owner, name in list(self.open):
            if owner is writer:
                self.give_up(writer, name)

    def give_up(self, writer: asyncio.StreamWriter, name: str) -> None:
        """Give up a call, which may have had its effect."""
        task = self.open.pop((writer, name), None)
        if task is not None:
            self.world.note(f"vault gives up {name}")
            task.cancel()

    def take(self, writer: asyncio.StreamWriter, name: str, body: bytes) -> None:
        """Run a call, or turn it away."""
        attempt = self.world.tries.get(name)
        calls = attempt.calls.values() if attempt is not None else ()
        call = next((call for call in calls if call.body == body), None)
        if call is None:
            self.world.note(f"vault ask {name} {body!r}: no run asked for it")
            self.reply(writer, f"{name} pointless\r\n".encode())
        elif len(self.open) >= self.slots:
            call.asks.append("notnow")
            self.world.note(f"vault ask {body.decode()}: notnow")
            self.reply(writer, f"{name} notnow\r\n".encode())
        else:
            call.asks.append("run")
            self.world.note(f"vault ask {body.decode()}: run {call.asks.count('run')}")
            self.open[writer, name] = asyncio.create_task(self.run_call(writer, name, call))

    async def run_call(self, writer: asyncio.StreamWriter, name: str, call: Call) -> None:
        """Run one call and reply."""
        await asyncio.sleep(self.chance.uniform(self.low_ms, self.high_ms) / 1000)
        del self.open[writer, name]
        head = f"{name} yes {len(call.reply)}\r\n".encode()
        self.reply(writer, head + call.reply + b"\r\n")

    def reply(self, writer: asyncio.StreamWriter, raw: bytes) -> None:
        """Write a reply, and what else `copies` says is to follow it, in milliseconds."""
        writer.write(raw)
        for delay, more in self.copies(raw):
            asyncio.get_running_loop().call_later(delay / 1000, self.write_late, writer, more)

    def write_late(self, writer: asyncio.StreamWriter, raw: bytes) -> None:
        """Write to a connection that may have ended."""
        if not writer.is_closing():
            self.world.note(f"vault late {raw!r}")
            writer.write(raw)


# ---- routers -------------------------------------------------------------------------------------------


class Router:
    """One router with one connection at a time, which is opened as needed."""

    def __init__(self, world: World, number: int, address: str) -> None:
        """Create a router without a connection."""
        self.world, self.number, self.address = world, number, address
        self.writer: asyncio.StreamWriter | None = None
        self.open: dict[int, Try] = {}
        self.last_number = 0
        self.lock = asyncio.Lock()
        self.chance = random.Random(number)
        self.aborts = True  # whether it sends `abort` when it stops waiting

    async def connect(self) -> asyncio.StreamWriter:
        """Return the open connection, opening one if there is none."""
        async with self.lock:
            if self.writer is None:
                host, _, port = self.address.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                self.writer, self.open, self.last_number = writer, {}, 0
                asyncio.create_task(self.read(reader, writer, self.open))  # noqa: RUF006
            return self.writer

    def leave(self, writer: asyncio.StreamWriter) -> None:
        """Use a connection for no new request."""
        if self.writer is writer:
            self.writer = None

    async def read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, waiting: dict[int, Try]
    ) -> None:
        """Read the answers of a connection until it ends."""
        closing = False
        try:
            while True:
                message = await unpack(reader)
                if not isinstance(message, list):
                    break
                if message[0] == 2:  # noqa: PLR2004
                    closing = True
                    self.leave(writer)
                else:
                    self.answered(waiting, message)
                if closing and not waiting:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.leave(writer)
        writer.close()
        for attempt in list(waiting.values()):
            self.world.note(f"router lost its connection under {attempt.req}")
            if now_ms() - attempt.written <= CROSSING_MS and not attempt.crossed:
                attempt.crossed = True
                with suppress(OSError):
                    await self.write(attempt)
                    continue
            attempt.broken = attempt.over = True
            attempt.done.set()

    def answered(self, waiting: dict[int, Try], message: list[object]) -> None:
        """Note the answer of a try."""
        attempt = waiting.pop(int(str(message[1])), None)
        if attempt is None:
            return
        error, result = message[2], message[3]
        if isinstance(error, list):
            word, detail = ("refused" if error[0] == "Overloaded" else "failed"), error
        else:
            word, detail = "served", result[0] if isinstance(result, list) else result
        attempt.answers.append((now_ms(), word, detail))
        attempt.over = True
        attempt.done.set()
        self.world.note(f"router answer {attempt.req} {word} after {now_ms() - attempt.ts} ms")

    def new_try(self, kind: str, body: bytes, timeout: int, key: str = "") -> Try:
        """Create a try with a new id."""
        attempt = Try(f"{self.chance.getrandbits(64):016x}", kind, body, key, now_ms(), timeout)
        self.world.tries[attempt.req] = attempt
        return attempt

    async def write(self, attempt: Try) -> tuple[asyncio.StreamWriter, dict[int, Try], int]:
        """Write a try; return its connection, what is open there, and its number."""
        writer = await self.connect()
        fields = {
            "req": attempt.req,
            "ts": str(attempt.ts),
            "via": str(self.number),
            "timeout": str(attempt.timeout),
            "need": "12.0",
            "level": "0.5000",
            **attempt.more,
        }
        if attempt.key:
            fields["opkey"] = attempt.key
        self.last_number += 1
        number = self.last_number
        self.open[number] = attempt
        waiting = self.open
        writer.write(pack([0, number, attempt.kind, [fields, attempt.body]]))
        attempt.written = now_ms()
        key = f" key={attempt.key}" if attempt.key else ""
        again = " again" if attempt.crossed else ""
        self.world.note(f"router sent{again} {attempt.req} {attempt.kind}{key} timeout={attempt.timeout}")
        return writer, waiting, number

    async def send(self, attempt: Try, **more: str) -> None:
        """Write a try and wait for its answer or the end of its time."""
        attempt.more = more
        writer, waiting, number = await self.write(attempt)
        left = (attempt.ts + attempt.timeout - now_ms()) / 1000
        try:
            await asyncio.wait_for(attempt.done.wait(), max(0.001, left))
        except TimeoutError:
            # An answer may come up to the slack later; then the router stops waiting.
            with suppress(TimeoutError):
                await asyncio.wait_for(attempt.done.wait(), 0.2)
            if not attempt.answers:
                self.world.note(f"router gives up {attempt.req}")
                attempt.over = True
                waiting.pop(number, None)
                if self.aborts and not writer.is_closing():
                    writer.write(pack([2, "abort", [number]]))


# ---- the app server ------------------------------------------------------------------------------------


class AppServer:
    """The project's program, started with the `run` command of the deploy file."""

    def __init__(self, world: World, folder: Path, configuration: dict[str, object]) -> None:
        """Write the configuration into a folder; `start` starts the program."""
        self.world, self.folder, self.configuration = world, folder, configuration
        self.path = folder / "config.json"
        self.environment = {**os.environ, "PROXY_CONFIG": str(self.path)}
        self.process: subprocess.Popen[bytes] | None = None
        self.write()

    def write(self) -> None:
        """Replace the configuration file."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.replace(self.path)

    async def start(self) -> None:
        """Start the program and wait until a health check is answered."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = (self.folder / "log.txt").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=self.environment, stdout=log, stderr=log
        )
        log.close()
        ends = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends and self.process.poll() is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                if await self.is_healthy():
                    self.world.note("app server is up")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the app server did not start")

    async def is_healthy(self) -> bool:
        """Make one health check."""
        host, _, port = str(self.configuration["listen"]).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(pack([0, 1, "ping", [{}]]))
            message = await unpack(reader)
            return isinstance(message, list) and bool(message[3][0])
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send the program a signal."""
        if self.process is not None and self.process.poll() is None:
            self.world.note(f"app server gets {number.name}")
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the program at once."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


def run_case(folder: Path, play: Callable[[World, Path], Awaitable[tuple[bool, str]]]) -> int:
    """Play a case, which returns whether the rule held and its figures; return the exit code for `run.sh`.

    The code is 0 if the rule held, `BROKEN` if it was broken and 2 if the case couldn't run. SIGTERM ends a
    play as SIGINT does, so that the play ends the processes that it has started.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    world = World(folder)

    async def run() -> tuple[bool, str]:
        with temporary_folder() as own_folder:
            return await play(world, Path(own_folder))

    try:
        held, figures = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        print(f"could not run: {error!r}")
        return 2
    world.finish(figures)
    return 0 if held else BROKEN


TAKEN_PORTS: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port is free, below the ports that the system gives to connections."""
    while True:
        port = random.SystemRandom().randrange(15_000, 30_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in TAKEN_PORTS:
                TAKEN_PORTS.add(port)
                return f"127.0.0.1:{port}"


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder that is removed at the end."""
    return tempfile.TemporaryDirectory(prefix="review-")


def request_class(name: str, effect: str, aim_s: float, limit_s: float, window_s: float = 5.0) -> dict:
    """Return the settings of a request class."""
    times = {"aim_s": aim_s, "hard_limit_s": limit_s, "window_s": window_s}
    return {"name": name, "effect": effect, "credit": 1.0, "late_worth": 0.0, **times}


POA_QUERY = {
    "classes": [
        request_class("trace-list", "repeatable", 2.3, 8.6),
        request_class("trace-detail", "repeatable", 1.7, 5.7),
        request_class("issue-count", "repeatable", 1.4, 3.4),
        request_class("issue-assign", "by_key", 1.7, 5.7, 17.226),
    ],
    "family": {
        "halt": "drop",
        "calls_by_class": [True, False, True, True],
        "class_skip_worth": [0.3, 0.0, 0.3, 0.0],
        "tells_gone": True,
        "signal": "credit",
    },
    "contract": {"drain_grace_s": 2.5, "answer_slack_s": 0.08, "tip_after_s": 2.0, "cold_s": 16.0},
}
BRUNSWICK_PARTS = {
    "classes": [
        request_class("stock-check", "repeatable", 1.8, 4.4),
        request_class("draft-save", "repeatable", 1.8, 4.4),
        request_class("order-place", "by_key", 1.8, 4.4, 13.212),
    ],
    "family": {
        "halt": "off",
        "calls_by_class": [True, True, True],
        "class_skip_worth": [0.3, 0.5, 0.0],
        "tells_gone": False,
        "signal": "off",
    },
    "contract": {"drain_grace_s": 2.0, "answer_slack_s": 0.1, "tip_after_s": 1.5, "cold_s": 18.0},
}

CARNAXIDE_SALA = {
    "classes": [
        request_class("historico", "repeatable", 2.5, 6.4),
        request_class("estado", "repeatable", 1.7, 4.3),
        request_class("atribuicao", "repeatable", 1.1, 2.6),
    ],
    "family": {
        "halt": "pause",
        "downstream": "tier",
        "calls_by_class": [True, False, True],
        "class_skip_worth": [0.3, 0.0, 0.6],
        "tells_gone": True,
        "signal": "off",
    },
    "contract": {"drain_grace_s": 1.8, "answer_slack_s": 0.1, "tip_after_s": 3.0, "cold_s": 18.0},
}


def settings(site: dict, cores: int = 2, calls_out: float = 4.16) -> dict[str, object]:
    """Return the settings of a small deployment of a site, under the names of the wire."""
    family = {
        "cores": cores,
        "mem_limit_kb": 46710.0,
        "run_factor": 16.0,
        "key_kb": 20.0,
        "downstream": "shared",
        "calls_out": calls_out,
        "share_span_s": 5.0,
        "linger_s": 0.2,
        "clients_total": 3,
        "passes_deadline": True,
        "keepalive_max_s": 30.0,
        "said_for_s": 1.0,
        "gauges": list(GAUGES),
    }
    contract = {"fall_multiple": 8.0, "cold_from": 0.22}
    return {
        "classes": site["classes"],
        "group_size": 1,
        "ceilings": {"retry_after": True, "max_retry_after_s": 1.0},
        "contract": {**contract, **site["contract"]},
        "family_info": {**family, **site["family"]},
    }


def configuration(site: dict, agent: Peer, vault: Peer, catalog: Peer, **figures: float) -> dict[str, object]:
    """Return the configuration of one app server; `figures` go to `settings`."""
    return {
        "name": "n1",
        "listen": free_address(),
        "agent": agent.address,
        "directory": catalog.address,
        "vault": vault.address,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": settings(site, **figures),
    }
