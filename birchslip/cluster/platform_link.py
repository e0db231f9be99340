"""The leader's link to the platform: it requests the inventory again and again, and gives orders one by one.

    GET  /fleet/members?epoch=E            an inventory (`inventory.py`)
    POST /fleet/members/NAME/drain         {"epoch": E, "number": N, "version": V}
    POST /fleet/members/NAME/start         the same

`number` is that of the permit that an order rests on, and `version` the one to run next. The platform ignores
a drain whose number it has carried out before, or of a member that runs that version already, and a start of
a member that is neither stopped nor failed. It refuses whatever has an epoch below the highest it has seen:
a leader that was paused orders nothing when it wakes. 2xx: carried out or ignored, 409: of an older epoch.

Decides nothing: what to order is the `RolloutController`'s.
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
from ..net.scheduler import Nap, Scheduler
from .inventory import read_inventory
from .planner_state import PlannerState
from .rollout_types import PlatformOrder

RESPONSE_TIMEOUT = 5_000  # half a second, in tenths of a millisecond
MAX_BUFFER_BYTES = 4 << 20
MAX_RESPONSE_BYTES = 4 << 20
MIN_PAUSE_DIVISOR = 4  # at least a quarter of the interval passes between two requests


class PlatformLink:
    """Maintains a connection to the platform for as long as this planner leads."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        state: PlannerState,
        interval: int,
    ) -> None:
        """Link to the platform at `address`; `interval` is in tenths of a millisecond."""
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.state = state
        self.interval = interval
        self.connection: Connection | None = None
        self.nap = Nap(scheduler)

    def run(self) -> None:
        """Run for as long as the planner lives; one that does not lead requests nothing."""
        while True:
            began = self.scheduler.now
            if self.state.is_effective_leader(self.scheduler.tell_time()):
                self._exchange()
            earliest = self.scheduler.now + self.interval // MIN_PAUSE_DIVISOR
            self.nap.sleep(max(began + self.interval, earliest))

    def wake(self) -> None:
        """Request and order now, without waiting for the interval."""
        self.nap.end()

    def _exchange(self) -> None:
        try:
            self.request_inventory()
            self.give_orders()
        except (OSError, InvalidInputError, ValueError) as error:
            self.counters.count("platform.missed")
            self.log.fault("platform_unreachable", why=str(error))
            self._disconnect()

    def request_inventory(self) -> None:
        """Request the inventory and hand it to the controller, if the term has not ended meanwhile.

        Raises:
            OSError: If the platform does not answer, or refuses.
            InvalidInputError: If its answer is malformed.
        """
        term = self.state.leadership.term
        sent_at = self.scheduler.tell_time()
        response = self._request("GET", f"/fleet/members?epoch={term}", b"")
        if response.status != HTTPStatus.OK:
            raise OSError(f"answered {response.status}")
        inventory = read_inventory(response.body)
        self.counters.count("platform.listings")
        if self.state.leadership.term == term:
            self.state.receive_inventory(inventory, sent_at)

    def give_orders(self) -> None:
        """Give each order once. They are looked up anew each time: a halt meanwhile leaves none to give.

        Raises:
            OSError: If the platform does not answer.
        """
        given: set[PlatformOrder] = set()
        while True:
            orders = self.state.platform_orders(self.scheduler.tell_time())
            order = next((order for order in orders if order not in given), None)
            if order is None:
                return
            given.add(order)
            self._give_order(order)

    def _give_order(self, order: PlatformOrder) -> None:
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
