"""Clients that misuse an app server: they write slowly, stop half way, flood it, or leave and come again.

Each kind runs in one thread over non-blocking sockets. The app server may close any of the connections; a new
one is opened in its place, at most one for each client in `RECONNECT_S`.
"""

from __future__ import annotations

import os
import random
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import StrEnum
from functools import cache
from itertools import count

from ..net.messagepack import pack
from .toy import request_fields

RECONNECT_S = 0.02
MAX_READ_BYTES = 1 << 16
BODY_BYTES = 2048
FIELD_COUNT = 64  # in one map; more are refused
NESTED_ITEMS = 64  # in one array; more are refused
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 64, 0.01
HALF_PIECE_BYTES, HALF_PAUSE_S = 1024, 0.01
FLOOD_MESSAGES = 256  # encoded at a time
SENDER = {"via": "9", "owner": "green", "timeout": "3900", "need": "1"}  # fields of requests


class BadClientKind(StrEnum):
    """What the clients do; the value is the name on the command line."""

    SLOW = "slow"  # a message in small pieces, with pauses, never finished
    HALF = "half"  # half of a large request, then nothing
    SHORT_FIELDS = "short-fields"  # a message of very many short values in small pieces, never finished
    PINGS = "pings"  # health checks at full speed
    UNSOUND = "unsound"  # requests without any field at full speed
    NEW_NAMES = "new-names"  # requests of ever new callers, ids and keys at full speed
    UNKNOWN_TENANTS = "unknown-tenants"  # requests of ever new tenants at full speed
    TAKEN_BACK = "taken-back"  # requests that are taken back at once, at full speed


def large_request() -> bytes:
    """Return a keyed request with the largest body."""
    return pack(
        [0, 1, "order", [request_fields(**SENDER, opkey=os.urandom(16).hex()), os.urandom(BODY_BYTES)]]
    )


@cache
def request_of_short_values() -> bytes:
    """Return a message of four arrays of arrays of short values, some 21 KB in all."""
    values = [[1] * NESTED_ITEMS for _ in range(NESTED_ITEMS)]
    fields = {f"f{number}": "" for number in range(FIELD_COUNT)}
    return pack([0, 1, "lookup", [fields, values, values, values, values, values]])


def unfinished_pieces(kind: BadClientKind) -> Iterator[tuple[bytes, float]]:
    """Yield the pieces of a message that is never finished, each with the pause after it in seconds."""
    message = request_of_short_values() if kind is BadClientKind.SHORT_FIELDS else large_request()
    is_slow = kind is not BadClientKind.HALF
    size, pause_s = (SLOW_PIECE_BYTES, SLOW_PAUSE_S) if is_slow else (HALF_PIECE_BYTES, HALF_PAUSE_S)
    end = len(message) // 2 if kind is BadClientKind.HALF else len(message) - 1
    for start in range(0, end, size):
        yield message[start : min(end, start + size)], pause_s


def flood_messages(kind: BadClientKind) -> Iterator[bytes]:
    """Yield messages without end, some hundred at a time, with rising message ids."""
    encode = FLOODS[kind]
    numbers = count(1)
    while True:
        yield b"".join(encode(next(numbers)) for _ in range(FLOOD_MESSAGES))


def _taken_back(number: int) -> bytes:
    fields = request_fields(**SENDER, opkey=os.urandom(16).hex())
    return pack([0, number, "order", [fields, b"1"]]) + pack([2, "abort", [number]])


FLOODS: dict[BadClientKind, Callable[[int], bytes]] = {
    BadClientKind.PINGS: lambda number: pack([0, number, "ping", [{}]]),
    BadClientKind.UNSOUND: lambda number: pack([0, number, "x", []]),
    BadClientKind.NEW_NAMES: lambda number: pack(
        [0, number, "lookup", [request_fields(**SENDER | {"via": str(random.getrandbits(50))}), b"1"]]
    ),
    BadClientKind.UNKNOWN_TENANTS: lambda number: pack(
        [0, number, "lookup", [request_fields(**SENDER | {"owner": os.urandom(16).hex()}), b"1"]]
    ),
    BadClientKind.TAKEN_BACK: _taken_back,
}


class BadClient:
    """One client and its connection, which is opened again whenever it ends.

    Attributes:
        connection: The connection, or None between two of them.
        resumes_at: Monotonic time in seconds before which nothing is done.
    """

    def __init__(
        self, address: tuple[str, int], kind: BadClientKind, selector: selectors.BaseSelector
    ) -> None:
        """Start without a connection."""
        self.address, self.kind, self.selector = address, kind, selector
        self.connection: socket.socket | None = None
        self.resumes_at = 0.0

    def open(self) -> None:
        """Open a connection and start with the first message."""
        self.connection = socket.socket()
        self.connection.setblocking(False)
        self.connection.connect_ex(self.address)
        self.selector.register(self.connection, selectors.EVENT_READ, self)
        self.flood = flood_messages(self.kind) if self.kind in FLOODS else None
        self.pieces = unfinished_pieces(self.kind)
        self.unsent = b""

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.selector.unregister(self.connection)
            self.connection.close()
            self.connection, self.resumes_at = None, time.monotonic() + RECONNECT_S

    def read(self) -> None:
        """Drop what the app server has sent; close the connection at its end."""
        try:
            if self.connection is not None and not self.connection.recv(MAX_READ_BYTES):
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()

    def write(self, now: float) -> None:
        """Send what is due at this monotonic time."""
        if now < self.resumes_at:
            return
        try:
            if self.connection is None:
                self.open()
            elif self.flood is not None:
                self.unsent = self.unsent or next(self.flood)
                self.unsent = self.unsent[self.connection.send(self.unsent) :]
            else:
                piece, pause_s = next(self.pieces, (b"", SLOW_PAUSE_S))
                self.connection.sendall(piece)
                self.resumes_at = now + pause_s
        except BlockingIOError:
            pass
        except OSError:
            self.close()


def run_bad_clients(address: str, kind: BadClientKind, clients: int, seconds: float) -> None:
    """Run a number of clients of one kind against HOST:PORT, then close their connections."""
    host, _, port = address.rpartition(":")
    with selectors.DefaultSelector() as selector:
        bad_clients = [BadClient((host, int(port)), kind, selector) for _ in range(clients)]
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for key, _ in selector.select(0):
                key.data.read()
            now = time.monotonic()
            for client in bad_clients:
                client.write(now)
            if kind not in FLOODS:
                time.sleep(HALF_PAUSE_S / 4)
        for client in bad_clients:
            with suppress(OSError):
                client.close()
