"""The receive buffer of a connection: it grows up to a bound and is compacted in place."""

from __future__ import annotations

import socket

INITIAL_BYTES = 2048
MIN_READ_BYTES = 1024  # free space for each read, if the bound allows


class MalformedMessageError(ValueError):
    """A peer has sent data that is malformed or exceeds a limit; its connection is to be closed."""


class Buffer:
    """Bytes that were read and not yet consumed: `data[start:end]`.

    Attributes:
        scanned: Number of bytes from `start` that contain no end of a line.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty buffer that grows up to `max_bytes`."""
        self.max_bytes = max_bytes
        self.data = bytearray(min(INITIAL_BYTES, max_bytes))
        self.start = self.end = 0
        self.scanned = 0

    def __len__(self) -> int:
        """Return the number of bytes not yet consumed."""
        return self.end - self.start

    def fill(self, source: socket.socket) -> int:
        """Read once from a socket into the free space.

        Returns:
            The number of bytes read; 0 at the end of the stream.

        Raises:
            MalformedMessageError: If the buffer is full: it holds `max_bytes` that were not consumed.
            OSError: If the socket raises it; `BlockingIOError` if there is nothing to read.
        """
        self.make_room()
        with memoryview(self.data) as view, view[self.end :] as free:
            count = source.recv_into(free)
        self.end += count
        return count

    def feed(self, data: bytes) -> None:
        """Append data as if it had been read; it must fit within the bound."""
        while self.end + len(data) > len(self.data):
            self.make_room(len(data))
        self.data[self.end : self.end + len(data)] = data
        self.end += len(data)

    def make_room(self, min_free: int = MIN_READ_BYTES) -> None:
        """Make `min_free` bytes of space at the end, or less if the bound allows no more.

        The space is gained by compacting, then by growing; an empty buffer that is large is shrunk.

        Raises:
            MalformedMessageError: If the buffer is full, so that there is no space at all.
        """
        unread = self.end - self.start
        if unread == 0:
            self.start = self.end = 0
            if len(self.data) > 16 * INITIAL_BYTES:
                del self.data[INITIAL_BYTES:]
        if len(self.data) - self.end >= min_free:
            return
        if self.start:
            self.data[:unread] = self.data[self.start : self.end]
            self.start, self.end = 0, unread
        if len(self.data) - self.end < min_free and len(self.data) < self.max_bytes:
            self.data.extend(bytes(min(max(len(self.data), min_free), self.max_bytes - len(self.data))))
        if len(self.data) == self.end:
            raise MalformedMessageError(f"{unread} bytes without a complete message")

    def skip(self, count: int) -> None:
        """Consume `count` bytes without copying them."""
        self.start += count
        self.scanned = 0

    def release(self) -> None:
        """Drop the data and free its memory; called when the connection is closed."""
        self.data = bytearray()
        self.start = self.end = 0

    def take(self, count: int) -> bytes:
        """Consume `count` bytes and return a copy of them."""
        with memoryview(self.data) as view:
            data = bytes(view[self.start : self.start + count])
        self.skip(count)
        return data

    def read_line(self, max_length: int) -> bytes | None:
        """Consume a line and return it without its end (LF or CR LF); return None while it is incomplete.

        Raises:
            MalformedMessageError: If it is longer than `max_length` bytes.
        """
        newline = self.data.find(b"\n", self.start + self.scanned, self.end)
        if newline < 0:
            self.scanned = self.end - self.start
            if self.scanned > max_length:
                raise MalformedMessageError(f"a line of more than {max_length} bytes")
            return None
        if newline - self.start > max_length + 1:
            raise MalformedMessageError(f"a line of more than {max_length} bytes")
        line = self.take(newline - self.start)
        self.skip(1)
        return line.removesuffix(b"\r")
