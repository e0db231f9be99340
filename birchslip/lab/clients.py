"""Stand-ins for routers and the clients behind them: one router a site, with habits of its own.

A router sends to listed app servers of its own site, and to the others only where there is none. What was
shed, refused or cut is tried again elsewhere, up to `TRIES` times, marked as a further try. `heed` is the
share of advice that it follows: when to come back, and not to try elsewhere.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from ..net.buffer import Buffer, MalformedMessageError
from ..net.clients import read_messages
from ..net.connection import Connection, connect
from ..net.messagepack import pack
from ..net.scheduler import Scheduler
from .cores import HANDSHAKE_WORK, READ_WORK
from .truth import SECOND, Attempt, HistoryChecker, Operation

BUFFER_BYTES = 1 << 20
MAX_ATTEMPTS = 4
ADVICE_COMPLIANCE = 0.6
FIRST_RETRY_DELAY = 500  # before a further try: 50 ms at first, twice as long each time, half of it by chance
MAX_LINKS_PER_SERVER = 4  # to one app server
MAX_PENDING_PER_LINK = 24  # on one link
MAX_WAIT_WITHOUT_SERVER = 3_000
UNREACHABLE_HOLDOFF = 5_000  # one that can't be reached is left alone for half a second
LISTING_DELAY = 8_000  # the catalog's list reaches routers within 0.8 s
HEALTH_CHECK_INTERVAL = 5_000
HEALTH_CHECK_TIMEOUT = 4_000


class RequestClass:
    """A kind of transaction: its work, spans and payoff."""

    def __init__(
        self,
        name: str,
        share: float,
        mean_work: int,
        latency_objective: int,
        deadline: int,
        priority_weight: float,
        is_keyed: bool,
    ) -> None:
        self.name, self.share, self.mean_work, self.latency_objective, self.deadline = (
            name,
            share,
            mean_work,
            latency_objective,
            deadline,
        )
        self.priority_weight, self.is_keyed = priority_weight, is_keyed


class AppServer:
    """An app server as routers know it, with what really becomes of it."""

    def __init__(self, name: str, site: str, address: tuple[str, int]) -> None:
        self.name, self.site, self.address = name, site, address
        self.incarnation = 0
        self.is_up = False  # whether its process is there and not paused


class Link:
    """One connection of a router to one app server."""

    def __init__(self, router: Router, server: AppServer, connection: Connection) -> None:
        self.router, self.server, self.connection = router, server, connection
        self.incarnation = server.incarnation
        self.last_number = 0
        self.pending: dict[int, tuple[Operation, Attempt]] = {}
        self.is_closing = False

    def on_data(self, buffer: Buffer) -> None:
        messages, error_text = read_messages(buffer)
        for message in messages:
            match message:
                case [1, int(number), error, result]:
                    self.router.on_response(self, number, error, result)
                case [2, "closing", []]:
                    self.is_closing = True
                case _:
                    raise MalformedMessageError("no message of an app server's")
        if error_text:
            raise MalformedMessageError(error_text)

    def serve(self) -> None:
        reason = self.connection.serve(self.on_data)
        self.router.on_link_closed(self, reason)


class Router:
    def __init__(
        self,
        scheduler: Scheduler,
        history: HistoryChecker,
        router_id: int,
        site: str,
        servers: list[AppServer],
        request_classes: list[RequestClass],
        tenant_shares: dict[str, float],
        seed: int,
        written_at: dict[str, int],
    ) -> None:
        self.scheduler, self.history, self.router_id, self.site = scheduler, history, router_id, site
        self.servers, self.request_classes, self.tenant_shares, self.written_at = (
            servers,
            request_classes,
            tenant_shares,
            written_at,
        )
        self.random_source = random.Random(seed)
        self.arrival_random = random.Random(seed + 1)  # arrivals are the same whatever becomes of them
        self.advice_compliance = ADVICE_COMPLIANCE
        self.links: dict[AppServer, list[Link]] = {server: [] for server in servers}
        self.avoided_until: dict[AppServer, int] = {}
        self.listed_servers: set[str] = set()
        self.unhealthy_servers: set[AppServer] = set()
        self.arrival_rate = 0.0
        self.surge_factors: dict[str, float] = {}
        self.operation_count = 0
        self.is_stopped = False
        self.get_lost_sites: Callable[[], set[str]] = set
        self.charge_cores: Callable[[AppServer, int], None] = lambda server, span: None

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self, catalog: Callable[[], set[str]]) -> None:
        self.refresh_listing(catalog)
        self.next_arrival = self.scheduler.now
        self.scheduler.at(self.next_arrival, self.generate_request)
        for server in self.servers:
            self.scheduler.spawn("pings", partial(self.check_health_repeatedly, server))

    def refresh_listing(self, catalog: Callable[[], set[str]]) -> None:
        """The list, as late as news is."""
        listed = catalog()
        self.scheduler.at(self.scheduler.now + LISTING_DELAY, lambda: setattr(self, "listed_servers", listed))
        if not self.is_stopped:
            self.scheduler.at(self.scheduler.now + LISTING_DELAY // 4, lambda: self.refresh_listing(catalog))

    def generate_request(self) -> None:
        if self.is_stopped:
            return
        weights = {
            name: share * self.surge_factors.get(name, 1.0) for name, share in self.tenant_shares.items()
        }
        rate = self.arrival_rate * sum(weights.values())
        gap = self.arrival_random.expovariate(max(0.1, rate)) * SECOND
        self.next_arrival += int(gap)
        self.scheduler.at(self.next_arrival, self.generate_request)
        if rate <= 0:
            return
        tenant = self.arrival_random.choices(list(weights), list(weights.values()))[0]
        request_class = self.arrival_random.choices(
            self.request_classes, [one.share for one in self.request_classes]
        )[0]
        work = max(5, int(self.arrival_random.gammavariate(4, request_class.mean_work / 4) / 10))
        self.operation_count += 1
        label = self.arrival_random.randbytes(16).hex() if request_class.is_keyed else ""
        operation = Operation(
            self.operation_count,
            request_class.name,
            tenant,
            self.site,
            request_class.priority_weight,
            request_class.latency_objective,
            self.scheduler.now,
            work * 10,
            label,
        )
        self.history.operations.append(operation)
        call = f" call L{label}" if request_class.is_keyed else ""
        self.send(operation, request_class, f"{work}{call}".encode(), None)

    # ---- tries -----------------------------------------------------------------------------------------

    def select_server(self, tried: set[str]) -> AppServer | None:
        now = self.scheduler.now
        available = [
            server
            for server in self.servers
            if server.name in self.listed_servers
            and self.avoided_until.get(server, 0) <= now
            and server not in self.unhealthy_servers
        ]
        untried = [server for server in available if server.name not in tried] or available
        local = [server for server in untried if server.site == self.site]
        # Own app servers first; a further try goes wherever it has not been.
        candidates = local if local and not tried else untried
        if not candidates:
            return None
        a, b = self.random_source.choice(candidates), self.random_source.choice(candidates)
        return a if self.count_pending(a) <= self.count_pending(b) else b

    def count_pending(self, server: AppServer) -> int:
        return sum(len(link.pending) for link in self.links[server])

    def send(
        self,
        operation: Operation,
        request_class: RequestClass,
        body: bytes,
        server_override: AppServer | None,
    ) -> None:
        now = self.scheduler.now
        if (
            operation.is_finished
            or operation.honoured_at
            or now >= operation.created_at + request_class.deadline - 500
        ):
            operation.is_finished = True
            return
        server = server_override or self.select_server({one.server for one in operation.attempts})
        if server is None:
            # Nowhere to send it: it waits a moment at its router, and then its client hears that it can't be.
            operation.is_finished = now - operation.created_at > MAX_WAIT_WITHOUT_SERVER
            self.retry(operation, request_class, body, None)
            return
        link = self.find_link(server)
        if link is None:
            # It is opened in a task of its own; the try goes out on it.
            self.scheduler.spawn("router", partial(self.open_link, operation, request_class, body, server))
            return
        self.write_attempt(operation, request_class, body, link)

    def find_link(self, server: AppServer) -> Link | None:
        links = [one for one in self.links[server] if one.connection.open and not one.is_closing]
        best = min(links, key=lambda one: len(one.pending), default=None)
        if best is None or (
            len(best.pending) >= MAX_PENDING_PER_LINK // 4 and len(links) < MAX_LINKS_PER_SERVER
        ):
            return None
        return best if len(best.pending) < MAX_PENDING_PER_LINK else None

    def open_link(
        self, operation: Operation, request_class: RequestClass, body: bytes, server: AppServer
    ) -> None:
        links = [one for one in self.links[server] if one.connection.open]
        if len(links) >= MAX_LINKS_PER_SERVER:
            self.retry(operation, request_class, body, None)
            return
        try:
            sock = connect(self.scheduler, server.address)
        except OSError:
            self.avoided_until[server] = self.scheduler.now + UNREACHABLE_HOLDOFF
            operation.attempts.append(
                Attempt(
                    server.name,
                    server.incarnation,
                    self.scheduler.now,
                    0,
                    bool(operation.attempts),
                    excuse="refused",
                )
            )
            self.retry(operation, request_class, body, None)
            return
        link = Link(self, server, Connection(self.scheduler, sock, BUFFER_BYTES, BUFFER_BYTES))
        self.links[server].append(link)
        self.charge_cores(server, HANDSHAKE_WORK)
        self.scheduler.spawn("link", link.serve)
        self.write_attempt(operation, request_class, body, link)

    def write_attempt(
        self, operation: Operation, request_class: RequestClass, body: bytes, link: Link
    ) -> None:
        now = self.scheduler.now
        timeout = min(request_class.deadline, operation.created_at + request_class.deadline - now)
        attempt = Attempt(link.server.name, link.incarnation, now, now + timeout, bool(operation.attempts))
        operation.attempts.append(attempt)
        if not link.server.is_up:
            attempt.excuse = "down"
        self.charge_cores(link.server, READ_WORK)
        link.last_number += 1
        number = link.last_number
        link.pending[number] = (operation, attempt)
        request_id = os.urandom(8).hex()
        self.written_at[request_id] = now
        fields = {
            "req": request_id,
            "ts": str(now // 10),
            "via": str(self.router_id),
            "owner": operation.tenant,
            "timeout": str(max(1, timeout // 10)),
            "need": "10",
            "level": "0.5",
        }
        if attempt.is_retry:
            fields["resent"] = "1"
        if operation.key:
            fields["opkey"] = operation.key
        link.connection.write(pack([0, number, request_class.name, [fields, body]]))
        # Of redoable ones a silent try is followed by another one elsewhere once half the goal is over.
        wait = timeout if operation.key else min(timeout, request_class.latency_objective * 3 // 4)
        self.scheduler.at(now + wait, lambda: self.on_timeout(operation, request_class, body, link, number))
        link.router.requests[operation] = (request_class, body)

    requests: dict[Operation, tuple[RequestClass, bytes]] = {}  # noqa: RUF012

    def on_timeout(
        self, operation: Operation, request_class: RequestClass, body: bytes, link: Link, number: int
    ) -> None:
        if number not in link.pending:
            return
        _, attempt = link.pending[number]
        now = self.scheduler.now
        if now < attempt.deadline:
            # It may still come; the answer is owed until it is aborted.
            if len([other for other in operation.attempts if not other.outcome and not other.excuse]) < 2:
                self.retry(operation, request_class, body, None, immediately=True)
            self.scheduler.at(attempt.deadline + 1_500, lambda: self.abandon(link, number))
            return
        self.scheduler.at(attempt.deadline + 1_500, lambda: self.abandon(link, number))

    def abandon(self, link: Link, number: int) -> None:
        """Past its time: an app server that was there all along should have answered."""
        entry = link.pending.pop(number, None)
        if entry is None:
            return
        operation, attempt = entry
        if not link.server.is_up or link.incarnation != link.server.incarnation or not link.connection.open:
            attempt.excuse = "down"
        link.connection.write(pack([2, "abort", [number]]))
        operation.is_finished = (
            operation.is_finished
            or self.scheduler.now >= operation.created_at + self.requests[operation][0].deadline
        )

    def retry(
        self,
        operation: Operation,
        request_class: RequestClass,
        body: bytes,
        server_override: AppServer | None,
        immediately: bool = False,
    ) -> None:
        if operation.is_finished or operation.honoured_at or len(operation.attempts) >= MAX_ATTEMPTS:
            operation.is_finished = operation.is_finished or len(operation.attempts) >= MAX_ATTEMPTS
            return
        delay = (
            0
            if immediately
            else int(
                FIRST_RETRY_DELAY
                * 2 ** max(0, len(operation.attempts) - 1)
                * (0.5 + self.random_source.random())
            )
        )
        self.scheduler.at(
            self.scheduler.now + delay, lambda: self.send(operation, request_class, body, server_override)
        )

    # ---- answers ---------------------------------------------------------------------------------------

    def on_response(self, link: Link, number: int, error: Any, result: Any) -> None:
        entry = link.pending.pop(number, None)
        if entry is None:
            return
        operation, attempt = entry
        request_class, body = self.requests[operation]
        attempt.response_count += 1
        now = self.scheduler.now
        if error is None:
            attempt.outcome = "honoured"
            if result[0][:8] != b"made of " or not result[0][8:].startswith(body):
                self.history.broken_links.append("an answer that no run made")
            if not operation.honoured_at:
                operation.honoured_at = now
            return
        error_name, fields = error
        if error_name != "Overloaded":
            attempt.outcome = "written off"
            if not operation.key:
                self.retry(operation, request_class, body, None)
            return
        attempt.outcome = "shed"
        lost_sites = self.get_lost_sites()
        caller_kind = (
            "again" if attempt.is_retry else "visitor" if operation.home_site in lost_sites else "home"
        )
        self.history.shed_counts[caller_kind] += 1
        complies = self.random_source.random() < self.advice_compliance
        if "holdoff" in fields and complies:
            self.avoided_until[link.server] = max(
                self.avoided_until.get(link.server, 0), now + int(fields["holdoff"]) * 10
            )
        if "nomore" in fields and complies:
            operation.is_finished = True
            return
        self.retry(operation, request_class, body, None)

    def on_link_closed(self, link: Link, reason: str) -> None:
        if link in self.links[link.server]:
            self.links[link.server].remove(link)
        if (
            link.pending
            and link.server.is_up
            and link.incarnation == link.server.incarnation
            and not self.is_stopped
        ):
            self.history.broken_links.append(f"{link.server.name}: {reason}")
            self.history.broken_attempts.append(
                (link.server.name, link.incarnation, [attempt for _, attempt in link.pending.values()])
            )
        else:
            for _, attempt in link.pending.values():
                attempt.excuse = "down"
        for operation, _ in list(link.pending.values()):
            request_class, body = self.requests[operation]
            if not operation.key:
                self.retry(operation, request_class, body, None)
        link.pending.clear()

    # ---- health checks ---------------------------------------------------------------------------------

    def check_health_repeatedly(self, server: AppServer) -> None:
        """A health check now and then, on a connection of its own."""
        missed_checks = 0
        while not self.is_stopped:
            is_healthy = self.check_health(server)
            missed_checks = 0 if is_healthy else missed_checks + 1
            if missed_checks >= 2:
                self.unhealthy_servers.add(server)
            elif is_healthy:
                self.unhealthy_servers.discard(server)
            self.scheduler.sleep(
                self.scheduler.now + HEALTH_CHECK_INTERVAL + int(self.random_source.random() * 1_000)
            )

    def check_health(self, server: AppServer) -> bool:
        try:
            link = Connection(
                self.scheduler, connect(self.scheduler, server.address), BUFFER_BYTES, BUFFER_BYTES
            )
        except OSError:
            return False
        responses: list[Any] = []
        try:
            link.write(pack([0, 1, "ping", [{}]]))
            limit = self.scheduler.now + HEALTH_CHECK_TIMEOUT
            while link.open and not responses and self.scheduler.now < limit:
                link.step(lambda buffer: responses.extend(read_messages(buffer)[0]), limit)
        finally:
            link.close("asked")
        return (
            bool(responses)
            and responses[0][0] == 1
            and responses[0][2] is None
            and responses[0][3][0] is True
        )
