"""The one buffer of a connection: it grows as it needs, up to a bound, and is compacted in place."""

from __future__ import annotations

import socket

FIRST = 2048
ROOM = 1024  # a read finds at least so much room


class Unreadable(ValueError):
    """What a peer has sent can't be read, or not within this program's limits: its connection is closed."""


class Buffer:
    """What has been read and not yet taken is `data[start:end]`."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.data = bytearray(min(FIRST, bound))
        self.start = self.end = 0
        self.looked = 0  # bytes from `start` that hold no end of a line

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, source: socket.socket) -> int:
        """One read; 0 at the end of the stream. The socket's own errors pass through."""
        self.make_room()
        with memoryview(self.data) as view, view[self.end :] as free:
            count = source.recv_into(free)
        self.end += count
        return count

    def feed(self, piece: bytes) -> None:
        """As if it had been read."""
        while self.end + len(piece) > len(self.data):
            self.make_room(len(piece))
        self.data[self.end : self.end + len(piece)] = piece
        self.end += len(piece)

    def make_room(self, room: int = ROOM) -> None:
        held = self.end - self.start
        if held == 0:
            self.start = self.end = 0
            if len(self.data) > 16 * FIRST:
                del self.data[FIRST:]
        if len(self.data) - self.end >= room:
            return
        if self.start:
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if len(self.data) - self.end < room and len(self.data) < self.bound:
            self.data.extend(bytes(min(max(len(self.data), room), self.bound - len(self.data))))
        if len(self.data) == self.end:
            raise Unreadable(f"{held} bytes read and not a whole message")

    def skip(self, count: int) -> None:
        self.start += count
        self.looked = 0

    def take(self, count: int) -> bytes:
        """The next bytes, copied out once."""
        with memoryview(self.data) as view:
            piece = bytes(view[self.start : self.start + count])
        self.skip(count)
        return piece

    def line(self, longest: int) -> bytes | None:
        """The next line without its end (LF, or CR LF); None while it is not whole."""
        place = self.data.find(b"\n", self.start + self.looked, self.end)
        if place < 0:
            self.looked = self.end - self.start
            if self.looked > longest:
                raise Unreadable(f"a line of more than {longest} bytes")
            return None
        if place - self.start > longest + 1:
            raise Unreadable(f"a line of more than {longest} bytes")
        line = self.take(place - self.start)
        self.skip(1)
        return line.removesuffix(b"\r")
