"""Minimal HTTP/1.1 client: one request and its response at a time on an open connection.

The response may arrive in pieces that are cut at any byte. Chunked bodies are not supported.
"""

from __future__ import annotations

from .buffer import Buffer, MalformedMessageError
from .connection import Connection

MAX_LINE_BYTES = 4096  # of the status line or of a header
MAX_HEAD_LINES = 64  # status line, headers and the blank line
MAX_SKIPPED_BODY_BYTES = 65_536  # of a response body that is discarded


def encode_request(method: str, path: str, host: str, body: bytes) -> bytes:
    """Encode a request with a JSON body."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Response:
    """A response that is parsed as it arrives.

    Attributes:
        status: Status code; 0 until the status line has been read.
        keeps_alive: Whether the connection may be used for another request.
        body: Body, if it is kept.
        max_body_bytes: Longest body that is kept; 0 if the body is discarded.
        head_lines: Number of lines of the head read so far.
        remaining_bytes: Bytes of the body not read yet; None until the head is complete.
        content_length: Length of the body according to its header.
    """

    def __init__(self, max_body_bytes: int = 0) -> None:
        """Create a response whose body is kept up to `max_body_bytes`, or discarded if that is 0."""
        self.max_body_bytes, self.body = max_body_bytes, b""
        self.reset()

    def reset(self) -> None:
        """Start again with the status line, as after an informational (1xx) response."""
        self.status = 0
        self.keeps_alive = True
        self.head_lines = 0
        self.remaining_bytes: int | None = None
        self.content_length = 0

    def read(self, buffer: Buffer) -> bool:
        """Take what has arrived from the buffer and return whether the response is complete.

        Raises:
            MalformedMessageError: If the response is malformed, too long or chunked.
        """
        while self.remaining_bytes is None:
            line = buffer.read_line(MAX_LINE_BYTES)
            if line is None:
                return False
            if not line and 100 <= self.status < 200:
                self.reset()  # an informational response; the final one follows
                continue
            self.head_lines += 1
            if self.head_lines > MAX_HEAD_LINES:
                raise MalformedMessageError(f"response head of more than {MAX_HEAD_LINES} lines")
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
        """Read the status code; an HTTP/1.0 connection is not kept alive.

        Raises:
            MalformedMessageError: If the line or its status code is not valid.
        """
        version, _, rest = line.partition(b" ")
        code = rest[:3]
        if version not in (b"HTTP/1.1", b"HTTP/1.0") or len(code) != 3 or not code.isdigit():
            raise MalformedMessageError(f"invalid status line: {line[:40]!r}")
        self.status, self.keeps_alive = int(code), version == b"HTTP/1.1"
        if self.status < 100:
            raise MalformedMessageError(f"invalid status code: {self.status}")

    def parse_header(self, line: bytes) -> None:
        """Read a header line; only `Content-Length`, `Transfer-Encoding` and `Connection` matter.

        Raises:
            MalformedMessageError: If the line is invalid, the body too long, or a transfer encoding is used.
        """
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise MalformedMessageError(f"invalid header: {line[:40]!r}")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            if (
                not value.isdigit()
                or len(value) > 9
                or int(value) > (self.max_body_bytes or MAX_SKIPPED_BODY_BYTES)
            ):
                raise MalformedMessageError(f"invalid or excessive content length: {value[:40]!r}")
            self.content_length = int(value)
        elif name == b"transfer-encoding":
            raise MalformedMessageError("transfer encodings are not supported")
        elif name == b"connection" and value.lower() == b"close":
            self.keeps_alive = False


def exchange(link: Connection, request: bytes, response: Response, deadline: int) -> None:
    """Send a request on an open connection and waits for the response.

    Args:
        link: Connection without another request on it.
        request: Encoded request.
        response: Filled with the response.
        deadline: Scheduler time, in tenths of a millisecond, by which the response must be complete.

    Raises:
        OSError: If the connection was closed, as after a malformed response, or the response was not complete
            by the deadline.
    """
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
            raise OSError("no response before the deadline")
