"""The catalog that routers learn of app servers from: a report a second on a kept connection.

A catalog that is down, slow or answers otherwise costs a report, and never touches a transaction.
"""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import quote
from zlib import crc32

from . import http
from .connection import Connection, Connector
from .counters import Counters
from .log import Log
from .scheduler import InterruptibleSleep, Scheduler

EVERY = 10_000  # a report a second; the entry lapses three seconds after the last one
# How long a connection may take to open, and an answer to come: first short, since what hangs is tried again
# at once, then long, for a catalog that is slow. Two hanging ones and a slow one fit before the entry lapses.
DIALS = (3_000, 3_000, 10_000)
ANSWERS = (5_000, 15_000)
AGAIN, AGAIN_MOST = 1_000, 5_000  # before the next try after a missed one: 100 ms, later half a second


def patient(limits: tuple[int, ...], missed: int) -> int:
    return limits[min(missed, len(limits) - 1)]


class Catalog:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        name: str,
        good: Callable[[], bool],
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.good = good
        self.path = f"/catalog/register/{quote(name, safe='')}"
        self.dial: Connector | None = None  # while a connection is being opened
        self.link: Connection | None = None
        self.missed = 0  # since the last report that was answered
        self.nap = InterruptibleSleep(scheduler)
        self.hurried = False
        self.move(address)

    def move(self, address: tuple[str, int]) -> None:
        """Reports go there from the next one on."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.drop()
        if self.dial is not None:
            self.dial.cancel()

    def keep_reporting(self) -> None:
        while True:
            began = self.scheduler.now
            try:
                self.report()
                self.counters.count("catalog.reports")
                self.missed, wait = 0, EVERY
            except OSError as trouble:
                self.counters.count("catalog.missed")
                self.counters.count("catalog.malformed", self.link is not None and self.link.malformed)
                self.log.fault("report to the catalog missed", why=str(trouble))
                self.drop()
                self.missed, wait = self.missed + 1, self.pause()
            if not self.hurried:
                self.nap.sleep(max(self.scheduler.now + AGAIN, began + wait))
            self.hurried = False

    def pause(self) -> int:
        """Growing, and not the same for all: guards against a crowd at a catalog that comes back."""
        usual = min(AGAIN_MOST, AGAIN * max(1, self.missed - 1))
        return usual + crc32(f"{self.path} {self.missed}".encode()) % (usual // 2)

    def hurry(self) -> None:
        """What is reported has changed: routers need not learn of it a second later."""
        self.hurried = True
        self.nap.wake()

    def report(self) -> None:
        """One report and its answer; OSError says why it was missed."""
        if self.link is not None and self.hung_up(self.link):
            self.drop()
        if self.link is None:
            self.link = self.opened()
        link = self.link
        state = b'{"status":"passing"}' if self.good() else b'{"status":"critical"}'
        answer = http.Answer()
        limit = self.scheduler.now + patient(ANSWERS, self.missed)
        http.exchange(link, http.call("PUT", self.path, self.host, state), answer, limit)
        if answer.status != 204:
            raise OSError(f"answered {answer.status}")
        if not answer.keeps:
            self.drop()

    def opened(self) -> Connection:
        dial = self.dial = Connector(self.scheduler, self.address)
        try:
            sock = dial.open(patient(DIALS, self.missed))
        finally:
            self.dial = None
        if dial.address != self.address:
            sock.close()
            raise OSError("moved")
        return Connection(self.scheduler, sock, 131_072, 16_384)

    def hung_up(self, link: Connection) -> bool:
        """Whether the catalog has closed it between two reports, or has said what was not asked for."""
        link.read(lambda _: None)
        return not link.open or len(link.buffer) > 0

    def drop(self) -> None:
        if self.link is not None:
            self.link.close("dropped")
            self.link = None
