"""The leader's link to the platform: how processes are, asked again and again, and orders, one at a time.

    GET  /fleet/members?epoch=E            a listing (`listing.py`)
    POST /fleet/members/NAME/drain         {"epoch": E, "number": N, "version": V}
    POST /fleet/members/NAME/start         the same

`number` is of the permit that an order rests on, and `version` the one to run next. The platform passes over
a drain of a number that it has carried out before, or of a member that runs that version already, a start of
one that is neither stopped nor failed, and whatever has an epoch below the highest it has heard: a leader
that was paused orders nothing when it wakes. 2xx: taken or passed over, 409: of an older epoch.
"""

from __future__ import annotations

import json
from urllib.parse import quote

from ..errors import InvalidInputError
from ..net import http
from ..net.connection import Connection, connect
from ..net.counters import Counters
from ..net.log import Log
from ..net.scheduler import Nap, Scheduler
from .inventory import read_inventory
from .planner_state import PlannerState
from .rollout import PlatformOrder

LIMIT = 5_000  # an answer that takes longer than half a second is none
BOUND = 4 << 20
LONGEST = 4 << 20  # of a listing


class PlatformLink:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        mind: PlannerState,
        every: int,
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.address, self.host = address, f"{address[0]}:{address[1]}"
        self.mind, self.every = mind, every
        self.link: Connection | None = None
        self.nap = Nap(scheduler)

    def keep(self) -> None:
        """For as long as the planner lives; one that does not lead asks nothing."""
        while True:
            began = self.scheduler.now
            if self.mind.is_effective_leader(self.scheduler.tell_time()):
                try:
                    self.ask_listing()
                    self.give_orders()
                except (OSError, InvalidInputError, ValueError) as trouble:
                    self.counters.count("platform.missed")
                    self.log.fault("the platform can't be asked", why=str(trouble))
                    self.drop()
            self.nap.sleep(max(began + self.every, self.scheduler.now + self.every // 4))

    def hurry(self) -> None:
        """There is something to ask."""
        self.nap.end()

    def ask_listing(self) -> None:
        reign, sent = self.mind.leadership.term, self.scheduler.tell_time()
        answer = self.ask("GET", f"/fleet/members?epoch={reign}", b"")
        if answer.status != 200:
            raise OSError(f"answered {answer.status}")
        listing = read_inventory(answer.body)
        self.counters.count("platform.listings")
        if self.mind.leadership.term == reign:  # or it was asked in a reign that is over
            self.mind.receive_inventory(listing, sent)

    def give_orders(self) -> None:
        """Each is looked up anew: a halt meanwhile leaves nothing to give."""
        given: set[PlatformOrder] = set()
        while True:
            order = next(
                (one for one in self.mind.platform_orders(self.scheduler.tell_time()) if one not in given),
                None,
            )
            if order is None:
                return
            given.add(order)
            body = {"epoch": self.mind.leadership.term, "number": order.number, "version": order.version}
            path = f"/fleet/members/{quote(order.member, safe='')}/{order.what}"
            answer = self.ask("POST", path, json.dumps(body).encode())
            good = 200 <= answer.status < 300
            self.counters.count("platform.orders" if good else "platform.refused")
            if good:
                self.log.info("order", what=order.what, member=order.member, version=order.version)
            else:
                self.log.fault("an order was refused", member=order.member, status=answer.status)

    def ask(self, verb: str, path: str, body: bytes) -> http.Answer:
        limit = self.scheduler.now + LIMIT
        if self.link is None or not self.link.open:
            self.link = Connection(self.scheduler, connect(self.scheduler, self.address), BOUND, BOUND)
        answer = http.Answer(LONGEST)
        http.exchange(self.link, http.call(verb, path, self.host, body), answer, limit)
        if not answer.keeps:
            self.drop()
        return answer

    def drop(self) -> None:
        if self.link is not None:
            self.link.close("dropped")
            self.link = None
