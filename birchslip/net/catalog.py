"""Reports this app server to the catalog, from which routers learn of app servers.

One report is sent per second, on a connection that is kept open. A catalog that is down, slow or answers with
an error costs a report and never affects a request.

All times are in tenths of a millisecond.
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

REPORT_INTERVAL = 10_000  # 1 s; the catalog removes an entry 3 s after its last report
# Timeouts by the number of reports missed in a row; the last one applies to all further reports. First short,
# since an attempt that hangs is repeated at once; then long, for a catalog that is slow. Two attempts that
# hang and a slow one fit before the catalog removes the entry.
CONNECT_TIMEOUTS = (3_000, 3_000, 10_000)
RESPONSE_TIMEOUTS = (5_000, 15_000)
MIN_RETRY_DELAY, MAX_RETRY_DELAY = 1_000, 5_000  # after a missed report: 100 ms, later 500 ms


def timeout_after(timeouts: tuple[int, ...], missed_reports: int) -> int:
    """Return the timeout that applies after a number of reports missed in a row."""
    return timeouts[min(missed_reports, len(timeouts) - 1)]


class Catalog:
    """Sends reports to the catalog at an interval, and at once when the reported state changes.

    Attributes:
        is_passing: Returns whether routers may send requests to this app server.
        path: Path of this app server's entry.
        address: Address of the catalog.
        host: The same address as text, for the `Host` header.
        connector: Set while a connection is being opened.
        link: Connection to the catalog, or None.
        missed_reports: Number of reports missed since the last one that the catalog accepted.
        report_wait: Sleep until the next report is due.
        is_report_requested: Whether the next report is due without a wait.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        name: str,
        is_passing: Callable[[], bool],
    ) -> None:
        """Create a reporter for the app server `name`; `keep_reporting` sends the reports."""
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.is_passing = is_passing
        self.path = f"/catalog/register/{quote(name, safe='')}"
        self.connector: Connector | None = None
        self.link: Connection | None = None
        self.missed_reports = 0
        self.report_wait = InterruptibleSleep(scheduler)
        self.is_report_requested = False
        self.change_address(address)

    def change_address(self, address: tuple[str, int]) -> None:
        """Send all further reports to another address.

        The connection to the previous address is closed, and an attempt to connect to it is cancelled; a
        report in progress thereby counts as missed.
        """
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.close_connection()
        if self.connector is not None:
            self.connector.cancel()

    def keep_reporting(self) -> None:
        """Send reports forever; log a missed report and repeat it after a delay."""
        while True:
            started_at = self.scheduler.now
            try:
                self.send_report()
                self.counters.count("catalog.reports")
                self.missed_reports, delay = 0, REPORT_INTERVAL
            except OSError as error:
                self.counters.count("catalog.missed")
                self.counters.count("catalog.malformed", self.link is not None and self.link.malformed)
                self.log.fault("catalog_report_failed", why=str(error))
                self.close_connection()
                self.missed_reports, delay = self.missed_reports + 1, self.retry_delay()
            if not self.is_report_requested:
                self.report_wait.sleep(max(self.scheduler.now + MIN_RETRY_DELAY, started_at + delay))
            self.is_report_requested = False

    def retry_delay(self) -> int:
        """Return the delay from the start of a missed report to the next: below 1.5 times `MAX_RETRY_DELAY`.

        It grows and differs between app servers, so that they don't all connect at once to a catalog that
        becomes reachable again.
        """
        base_delay = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * max(1, self.missed_reports - 1))
        return base_delay + crc32(f"{self.path} {self.missed_reports}".encode()) % (base_delay // 2)

    def report_now(self) -> None:
        """Request a report without delay, since the reported state has changed.

        Routers would otherwise learn of the change up to a second later.
        """
        self.is_report_requested = True
        self.report_wait.wake()

    def send_report(self) -> None:
        """Send one report and wait for its response.

        Raises:
            OSError: If the catalog is unreachable, does not respond in time or does not accept the report.
        """
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
            raise OSError(f"catalog answered with status {response.status}")
        if not response.keeps_alive:
            self.close_connection()

    def open_connection(self) -> Connection:
        """Open a connection to the catalog and return it.

        Raises:
            OSError: If the catalog is unreachable, or its address changed meanwhile.
        """
        connector = self.connector = Connector(self.scheduler, self.address)
        try:
            sock = connector.open(timeout_after(CONNECT_TIMEOUTS, self.missed_reports))
        finally:
            self.connector = None
        if connector.address != self.address:
            sock.close()
            raise OSError("address of the catalog changed")
        return Connection(self.scheduler, sock, 131_072, 16_384)

    def is_unusable(self, link: Connection) -> bool:
        """Return whether the catalog closed a connection between two reports, or sent unrequested data."""
        link.read(lambda _: None)
        return not link.open or len(link.buffer) > 0

    def close_connection(self) -> None:
        """Close the connection, if there is one; the next report opens another."""
        if self.link is not None:
            self.link.close("connection to the catalog closed")
            self.link = None
