"""HTTP/1.1 of the project's own, as much as a report wants: one call out, one answer in, cut at any byte."""

from __future__ import annotations

from .buffer import Buffer, MalformedMessageError
from .connection import Connection

LONGEST = 4096  # of a line
MOST = 64  # lines of a head
LARGEST = 65_536  # of an answer's body that is passed over


def call(verb: str, path: str, host: str, body: bytes) -> bytes:
    head = f"{verb} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Answer:
    """One answer as it comes in: `read` returns true once it is whole. Its body is passed over, or kept up to
    `keep` bytes.
    """

    def __init__(self, keep: int = 0) -> None:
        self.keep, self.body = keep, b""
        self.begin()

    def begin(self) -> None:
        self.status = 0
        self.keeps = True
        self.lines = 0
        self.left: int | None = None  # bytes of the body still to come, once the head is whole
        self.length = 0

    def read(self, buffer: Buffer) -> bool:
        while self.left is None:
            line = buffer.read_line(LONGEST)
            if line is None:
                return False
            if not line and 100 <= self.status < 200:
                self.begin()  # the final answer is still to come
                continue
            self.lines += 1
            if self.lines > MOST:
                raise MalformedMessageError(f"a head of more than {MOST} lines")
            if not self.status:
                self.status_line(line)
            elif line:
                self.header(line)
            else:
                self.left = 0 if self.status in (204, 304) else self.length
        passed = min(self.left, len(buffer))
        if self.keep:
            self.body += buffer.take(passed)
        else:
            buffer.skip(passed)
        self.left -= passed
        return self.left == 0

    def status_line(self, line: bytes) -> None:
        version, _, rest = line.partition(b" ")
        code = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(code) != 3 or not code.isdigit():
            raise MalformedMessageError(f"not a status line: {line[:40]!r}")
        self.status, self.keeps = int(code), version == b"HTTP/1.1"
        if self.status < 100:
            raise MalformedMessageError(f"no such status: {self.status}")

    def header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise MalformedMessageError(f"not a header: {line[:40]!r}")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            if not value.isdigit() or len(value) > 9 or int(value) > (self.keep or LARGEST):
                raise MalformedMessageError(f"a length of {value[:40]!r}")
            self.length = int(value)
        elif name == b"transfer-encoding":
            raise MalformedMessageError("a body in chunks")
        elif name == b"connection" and value.lower() == b"close":
            self.keeps = False


def exchange(link: Connection, call: bytes, answer: Answer, limit: int) -> None:
    """One call and its answer on an open connection; OSError says why there was none by `limit`."""
    link.write(call)
    whole = False

    def take(buffer: Buffer) -> None:
        nonlocal whole
        whole = answer.read(buffer)

    while not whole:
        events = link.step(take, limit)
        if not link.open and not whole:
            raise OSError(link.close_reason)
        if not events and link.scheduler.now >= limit:
            raise OSError("no answer in time")
