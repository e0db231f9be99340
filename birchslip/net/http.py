"""HTTP/1.1 of the project's own, as much as a report wants: one call out, one answer in, cut at any byte."""

from __future__ import annotations

from .buffer import Buffer, MalformedMessageError
from .connection import Connection

MAX_LINE_BYTES = 4096  # of a line
MAX_HEAD_LINES = 64  # lines of a head
MAX_SKIPPED_BODY_BYTES = 65_536  # of an answer's body that is passed over


def encode_request(method: str, path: str, host: str, body: bytes) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Response:
    """One answer as it comes in: `read` returns true once it is whole. Its body is passed over, or kept up to
    `max_body_bytes` bytes.
    """

    def __init__(self, max_body_bytes: int = 0) -> None:
        self.max_body_bytes, self.body = max_body_bytes, b""
        self.reset()

    def reset(self) -> None:
        self.status = 0
        self.keeps_alive = True
        self.head_lines = 0
        self.remaining_bytes: int | None = None  # bytes of the body still to come, once the head is whole
        self.content_length = 0

    def read(self, buffer: Buffer) -> bool:
        while self.remaining_bytes is None:
            line = buffer.read_line(MAX_LINE_BYTES)
            if line is None:
                return False
            if not line and 100 <= self.status < 200:
                self.reset()  # the final answer is still to come
                continue
            self.head_lines += 1
            if self.head_lines > MAX_HEAD_LINES:
                raise MalformedMessageError(f"a head of more than {MAX_HEAD_LINES} lines")
            if not self.status:
                self.parse_status_line(line)
            elif line:
                self.parse_header(line)
            else:
                self.remaining_bytes = 0 if self.status in (204, 304) else self.content_length
        available = min(self.remaining_bytes, len(buffer))
        if self.max_body_bytes:
            self.body += buffer.take(available)
        else:
            buffer.skip(available)
        self.remaining_bytes -= available
        return self.remaining_bytes == 0

    def parse_status_line(self, line: bytes) -> None:
        version, _, rest = line.partition(b" ")
        code = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(code) != 3 or not code.isdigit():
            raise MalformedMessageError(f"not a status line: {line[:40]!r}")
        self.status, self.keeps_alive = int(code), version == b"HTTP/1.1"
        if self.status < 100:
            raise MalformedMessageError(f"no such status: {self.status}")

    def parse_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise MalformedMessageError(f"not a header: {line[:40]!r}")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            if (
                not value.isdigit()
                or len(value) > 9
                or int(value) > (self.max_body_bytes or MAX_SKIPPED_BODY_BYTES)
            ):
                raise MalformedMessageError(f"a length of {value[:40]!r}")
            self.content_length = int(value)
        elif name == b"transfer-encoding":
            raise MalformedMessageError("a body in chunks")
        elif name == b"connection" and value.lower() == b"close":
            self.keeps_alive = False


def exchange(link: Connection, request: bytes, response: Response, deadline: int) -> None:
    """One call and its answer on an open connection; OSError says why there was none by `limit`."""
    link.write(request)
    is_complete = False

    def read_response(buffer: Buffer) -> None:
        nonlocal is_complete
        is_complete = response.read(buffer)

    while not is_complete:
        events = link.step(read_response, deadline)
        if not link.open and not is_complete:
            raise OSError(link.close_reason)
        if not events and link.scheduler.now >= deadline:
            raise OSError("no answer in time")
