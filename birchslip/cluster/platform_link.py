"""The leader's link to the platform: polls the inventory and sends orders one by one.

    GET  /fleet/members?epoch=E            an inventory (`inventory.py`)
    POST /fleet/members/NAME/drain         {"epoch": E, "number": N, "version": V}
    POST /fleet/members/NAME/start         the same

`epoch` is the leader's term, `number` that of the permit that allows the order, and `version` the version to
run next. The platform ignores a drain whose number it has already executed or whose member already runs that
version, and a start of a member that is neither stopped nor failed. It refuses every request with an epoch
below the highest that it has seen, so that a leader that resumes after a pause can order nothing. It
responds 2xx if the request was executed or ignored, and 409 if the epoch is older.

The `RolloutController` decides which orders to send.
"""

from __future__ import annotations

import json
from http import HTTPStatus
from urllib.parse import quote

from ..errors import InvalidInputError
from ..net import http
from ..net.connection import Connection, connect
from ..net.counters import Counters
from ..net.log import Log
from ..net.scheduler import InterruptibleSleep, Scheduler
from .inventory import read_inventory
from .planner_state import PlannerState
from .rollout_types import PlatformOrder

RESPONSE_TIMEOUT = 5_000  # half a second, in tenths of a millisecond
MAX_BUFFER_BYTES = 4 << 20
MAX_RESPONSE_BYTES = 4 << 20
MIN_PAUSE_DIVISOR = 4  # at least a quarter of the interval passes between two exchanges


class PlatformLink:
    """Exchanges inventories and orders with the platform while this planner leads."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        state: PlannerState,
        interval: int,
    ) -> None:
        """Create a link to the platform at `address`, polled each `interval` tenths of a millisecond."""
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.state = state
        self.interval = interval
        self.connection: Connection | None = None
        self.poll_wait = InterruptibleSleep(scheduler)

    def run(self) -> None:
        """Exchange inventories and orders while this planner leads. Runs as a task that never ends."""
        while True:
            started_at = self.scheduler.now
            if self.state.is_effective_leader(self.scheduler.update_clock()):
                self._exchange()
            earliest = self.scheduler.now + self.interval // MIN_PAUSE_DIVISOR
            self.poll_wait.sleep(max(started_at + self.interval, earliest))

    def wake(self) -> None:
        """Start the next exchange now, without waiting for the interval."""
        self.poll_wait.wake()

    def _exchange(self) -> None:
        """Request the inventory and send orders; a failure is logged and closes the connection."""
        try:
            self.request_inventory()
            self.send_orders()
        except (OSError, InvalidInputError, ValueError) as error:
            self.counters.count("platform.missed")
            self.log.fault("platform_unreachable", why=str(error))
            self._disconnect()

    def request_inventory(self) -> None:
        """Request the inventory, and pass it on unless the term has changed meanwhile.

        Raises:
            OSError: If the platform does not respond, or refuses.
            InvalidInputError: If its response is malformed.
        """
        term = self.state.leadership.term
        sent_at = self.scheduler.update_clock()
        response = self._request("GET", f"/fleet/members?epoch={term}", b"")
        if response.status != HTTPStatus.OK:
            raise OSError(f"the platform responded with status {response.status}")
        inventory = read_inventory(response.body)
        self.counters.count("platform.listings")
        if self.state.leadership.term == term:
            self.state.receive_inventory(inventory, sent_at)

    def send_orders(self) -> None:
        """Send each order once.

        The orders are looked up again before each one, so that a halt in between stops the rest.

        Raises:
            OSError: If the platform does not respond.
        """
        sent: set[PlatformOrder] = set()
        while True:
            orders = self.state.platform_orders(self.scheduler.update_clock())
            order = next((order for order in orders if order not in sent), None)
            if order is None:
                return
            sent.add(order)
            self._send_order(order)

    def _send_order(self, order: PlatformOrder) -> None:
        body = {"epoch": self.state.leadership.term, "number": order.permit_number, "version": order.version}
        path = f"/fleet/members/{quote(order.member, safe='')}/{order.action.value}"
        response = self._request("POST", path, json.dumps(body).encode())
        if HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES:
            self.counters.count("platform.orders")
            self.log.info(
                "platform_order_sent", what=order.action.value, member=order.member, version=order.version
            )
        else:
            self.counters.count("platform.refused")
            self.log.fault("platform_order_refused", member=order.member, status=response.status)

    def _request(self, method: str, path: str, body: bytes) -> http.Response:
        """Send one request over the connection, which is opened if needed, and return the response."""
        deadline = self.scheduler.now + RESPONSE_TIMEOUT
        if self.connection is None or not self.connection.open:
            socket = connect(self.scheduler, self.address)
            self.connection = Connection(self.scheduler, socket, MAX_BUFFER_BYTES, MAX_BUFFER_BYTES)
        response = http.Response(MAX_RESPONSE_BYTES)
        http.exchange(self.connection, http.encode_request(method, path, self.host, body), response, deadline)
        if not response.keeps_alive:
            self._disconnect()
        return response

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close("dropped")
            self.connection = None
