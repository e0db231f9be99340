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

REPORT_INTERVAL = 10_000  # a report a second; the entry lapses three seconds after the last one
# How long a connection may take to open, and an answer to come: first short, since what hangs is tried again
# at once, then long, for a catalog that is slow. Two hanging ones and a slow one fit before the entry lapses.
CONNECT_TIMEOUTS = (3_000, 3_000, 10_000)
RESPONSE_TIMEOUTS = (5_000, 15_000)
MIN_RETRY_DELAY, MAX_RETRY_DELAY = (
    1_000,
    5_000,
)  # before the next try after a missed one: 100 ms, later half a second


def timeout_after(timeouts: tuple[int, ...], missed_reports: int) -> int:
    return timeouts[min(missed_reports, len(timeouts) - 1)]


class Catalog:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        name: str,
        is_passing: Callable[[], bool],
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.is_passing = is_passing
        self.path = f"/catalog/register/{quote(name, safe='')}"
        self.connection_attempt: Connector | None = None  # while a connection is being opened
        self.link: Connection | None = None
        self.missed_reports = 0  # since the last report that was answered
        self.report_wait = InterruptibleSleep(scheduler)
        self.is_report_requested = False
        self.change_address(address)

    def change_address(self, address: tuple[str, int]) -> None:
        """Reports go there from the next one on."""
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.close_connection()
        if self.connection_attempt is not None:
            self.connection_attempt.cancel()

    def keep_reporting(self) -> None:
        while True:
            started_at = self.scheduler.now
            try:
                self.send_report()
                self.counters.count("catalog.reports")
                self.missed_reports, delay = 0, REPORT_INTERVAL
            except OSError as error:
                self.counters.count("catalog.missed")
                self.counters.count("catalog.malformed", self.link is not None and self.link.malformed)
                self.log.fault("report to the catalog missed", why=str(error))
                self.close_connection()
                self.missed_reports, delay = self.missed_reports + 1, self.retry_delay()
            if not self.is_report_requested:
                self.report_wait.sleep(max(self.scheduler.now + MIN_RETRY_DELAY, started_at + delay))
            self.is_report_requested = False

    def retry_delay(self) -> int:
        """Growing, and not the same for all: guards against a crowd at a catalog that comes back."""
        base_delay = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * max(1, self.missed_reports - 1))
        return base_delay + crc32(f"{self.path} {self.missed_reports}".encode()) % (base_delay // 2)

    def report_now(self) -> None:
        """What is reported has changed: routers need not learn of it a second later."""
        self.is_report_requested = True
        self.report_wait.wake()

    def send_report(self) -> None:
        """One report and its answer; OSError says why it was missed."""
        if self.link is not None and self.is_unusable(self.link):
            self.close_connection()
        if self.link is None:
            self.link = self.open_connection()
        link = self.link
        body = b'{"status":"passing"}' if self.is_passing() else b'{"status":"critical"}'
        response = http.Response()
        deadline = self.scheduler.now + timeout_after(RESPONSE_TIMEOUTS, self.missed_reports)
        http.exchange(link, http.encode_request("PUT", self.path, self.host, body), response, deadline)
        if response.status != 204:
            raise OSError(f"answered {response.status}")
        if not response.keeps_alive:
            self.close_connection()

    def open_connection(self) -> Connection:
        attempt = self.connection_attempt = Connector(self.scheduler, self.address)
        try:
            sock = attempt.open(timeout_after(CONNECT_TIMEOUTS, self.missed_reports))
        finally:
            self.connection_attempt = None
        if attempt.address != self.address:
            sock.close()
            raise OSError("moved")
        return Connection(self.scheduler, sock, 131_072, 16_384)

    def is_unusable(self, link: Connection) -> bool:
        """Whether the catalog has closed it between two reports, or has said what was not asked for."""
        link.read(lambda _: None)
        return not link.open or len(link.buffer) > 0

    def close_connection(self) -> None:
        if self.link is not None:
            self.link.close("dropped")
            self.link = None
