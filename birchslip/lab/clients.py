"""Stand-ins for routers and the clients behind them, one router per site.

A router sends a first attempt to a listed app server of its own site, and to another site only if its own
has none available. A request that was shed, refused or cut off is retried elsewhere, up to `MAX_ATTEMPTS`
attempts in all, and marked as a retry; one with an idempotency key is not retried after a cut or an error
other than a rejection. Routers follow the advice in rejections (when to come back, and not to try elsewhere)
with a given probability.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from ..net.buffer import Buffer, MalformedMessageError
from ..net.connection import Connection, connect
from ..net.message_reader import read_messages
from ..net.messagepack import pack
from ..net.scheduler import Scheduler
from .cores import HANDSHAKE_WORK, READ_WORK
from .truth import SECOND, Attempt, HistoryChecker, Operation

# Times are tenths of a millisecond.
BUFFER_BYTES = 1 << 20
MAX_ATTEMPTS = 4  # of one operation
ADVICE_COMPLIANCE = 0.6  # probability that a client follows the advice in a rejection
FIRST_RETRY_DELAY = 500  # 50 ms, doubled for each further retry and varied at random by up to half
MAX_LINKS_PER_SERVER = 4
MAX_PENDING_PER_LINK = 24
MAX_WAIT_WITHOUT_SERVER = 3_000  # from the creation of an operation until it fails for want of an app server
UNREACHABLE_HOLDOFF = 5_000  # an app server that refuses a connection gets no attempts for this time
LISTING_DELAY = 8_000  # the catalog's list reaches routers within 0.8 s
HEALTH_CHECK_INTERVAL = 5_000
HEALTH_CHECK_TIMEOUT = 4_000
MAX_MISSED_CHECKS = 2  # failed checks in a row that make an app server unhealthy
MAX_OPEN_ATTEMPTS = 2  # of one operation at a time, for a retry on timeout
MIN_TIME_LEFT = 500  # an attempt with less time before the deadline is not sent
ABORT_DELAY = 1_500  # between the deadline of an attempt and its abort


class RequestClass:
    """A request class: its mean work, latency objective, deadline and priority weight."""

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
        """Describe a request class; times are tenths of a millisecond.

        Args:
            name: Name of the class, also the method name in requests.
            share: Relative frequency among all requests.
            mean_work: Mean core time of a run.
            latency_objective: Time within which a response counts as in time.
            deadline: Time after which the client no longer waits.
            priority_weight: Weight of one request in the service figure.
            is_keyed: Whether requests have an idempotency key; those of a `Router` then also make a
                downstream call.
        """
        self.name, self.share, self.mean_work = name, share, mean_work
        self.latency_objective, self.deadline = latency_objective, deadline
        self.priority_weight, self.is_keyed = priority_weight, is_keyed


class AppServer:
    """An app server: its address for routers, and the real state of its process for the checks."""

    def __init__(self, name: str, site: str, address: tuple[str, int]) -> None:
        """Describe an app server that is not running yet; its incarnation counts its starts."""
        self.name, self.site, self.address = name, site, address
        self.incarnation = 0
        self.is_up = False  # whether its process runs and is not paused


class Link:
    """One connection of a router to one app server, with its pending attempts by number."""

    def __init__(self, router: Router, server: AppServer, connection: Connection) -> None:
        """Wrap an open connection to the present incarnation of `server`."""
        self.router, self.server, self.connection = router, server, connection
        self.incarnation = server.incarnation
        self.last_number = 0
        self.pending: dict[int, tuple[Operation, Attempt]] = {}
        self.is_closing = False

    def on_data(self, buffer: Buffer) -> None:
        """Handle responses and the notice that the app server closes the connection.

        Raises:
            MalformedMessageError: The data is no message that an app server sends.
        """
        messages, error_text = read_messages(buffer)
        for message in messages:
            match message:
                case [1, int(number), error, result]:
                    self.router.on_response(self, number, error, result)
                case [2, "closing", []]:
                    self.is_closing = True
                case _:
                    raise MalformedMessageError("unexpected message from an app server")
        if error_text:
            raise MalformedMessageError(error_text)

    def serve(self) -> None:
        """Read from the connection until it closes, then report that to the router."""
        reason = self.connection.serve(self.on_data)
        self.router.on_link_closed(self, reason)


class Router:
    """One router with its clients: generates requests, sends and retries them, and checks health.

    Times are tenths of a millisecond. Arrivals have a random generator of their own, so that one seed gives
    the same arrivals whatever happens to the requests.

    Attributes:
        arrival_rate: Requests per second before surges.
        surge_factors: Factor on the arrivals of a tenant, by its name.
        advice_compliance: Probability that advice in a rejection is followed.
        links: Connections to each app server that have not ended.
        avoided_until: Time until which an app server gets no attempts.
        listed_servers: Names of the app servers on the list of the catalog that is in effect.
        unhealthy_servers: App servers that failed their last health checks; they get no attempts.
        get_lost_sites: Returns the sites that are dead or paused.
        charge_cores: Charges core time to an app server.
    """

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
        """Create a router that is not started.

        Args:
            scheduler: Scheduler of the testbed.
            history: Where operations and violations are recorded.
            router_id: Number of the router in requests.
            site: The router's site.
            servers: All app servers.
            request_classes: Classes of the generated requests.
            tenant_shares: Share of the arrivals by tenant.
            seed: Seed of the random generators.
            written_at: Shared record of when each request id was written to an app server.
        """
        self.scheduler, self.history, self.router_id, self.site = scheduler, history, router_id, site
        self.servers, self.request_classes = servers, request_classes
        self.tenant_shares, self.written_at = tenant_shares, written_at
        self.random_source = random.Random(seed)
        self.arrival_random = random.Random(seed + 1)
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
        self.charge_cores: Callable[[AppServer, int], None] = lambda server, work: None

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self, catalog: Callable[[], set[str]]) -> None:
        """Begin to send requests, poll the catalog and check the health of the app servers.

        `catalog` returns the names of the app servers that the catalog lists.
        """
        self.refresh_listing(catalog)
        self.next_arrival = self.scheduler.now
        self.scheduler.at(self.next_arrival, self.generate_request)
        for server in self.servers:
            self.scheduler.spawn("health checks", partial(self.check_health_repeatedly, server))

    def refresh_listing(self, catalog: Callable[[], set[str]]) -> None:
        """Poll the catalog now and every quarter of `LISTING_DELAY`.

        Each list takes effect `LISTING_DELAY` after it was read.
        """
        listed = catalog()
        self.scheduler.at(self.scheduler.now + LISTING_DELAY, lambda: setattr(self, "listed_servers", listed))
        if not self.is_stopped:
            self.scheduler.at(self.scheduler.now + LISTING_DELAY // 4, lambda: self.refresh_listing(catalog))

    def generate_request(self) -> None:
        """Create and send one request, and schedule the next arrival.

        Arrivals are a Poisson process; tenant, request class and work are drawn too, and the work is at least
        5 ms.
        """
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
            self.request_classes, [candidate.share for candidate in self.request_classes]
        )[0]
        work = max(5, int(self.arrival_random.gammavariate(4, request_class.mean_work / 4) / 10))
        self.operation_count += 1
        key = self.arrival_random.randbytes(16).hex() if request_class.is_keyed else ""
        operation = Operation(
            self.operation_count,
            request_class.name,
            tenant,
            self.site,
            request_class.priority_weight,
            request_class.latency_objective,
            self.scheduler.now,
            work * 10,
            key,
        )
        self.history.operations.append(operation)
        call = f" call L{key}" if request_class.is_keyed else ""
        self.send(operation, request_class, f"{work}{call}".encode(), None)

    # ---- attempts --------------------------------------------------------------------------------------

    def select_server(self, tried: set[str]) -> AppServer | None:
        """Choose an app server for an attempt; None if no server is available.

        Of two random candidates the one with fewer pending attempts is taken.

        Args:
            tried: Names of the servers of earlier attempts.
        """
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
        # The first attempt prefers app servers of the own site; a retry goes to any untried one.
        candidates = local if local and not tried else untried
        if not candidates:
            return None
        first, second = self.random_source.choice(candidates), self.random_source.choice(candidates)
        return first if self.count_pending(first) <= self.count_pending(second) else second

    def count_pending(self, server: AppServer) -> int:
        """Count the pending attempts at an app server."""
        return sum(len(link.pending) for link in self.links[server])

    def send(
        self,
        operation: Operation,
        request_class: RequestClass,
        body: bytes,
        server_override: AppServer | None,
    ) -> None:
        """Send an attempt of the operation, unless it is finished or too close to its deadline.

        Args:
            operation: The operation; it is finished if less than `MIN_TIME_LEFT` remains.
            request_class: Its request class.
            body: Body of the request.
            server_override: App server that gets the attempt; None to select one.
        """
        now = self.scheduler.now
        if (
            operation.is_finished
            or operation.honoured_at
            or now >= operation.created_at + request_class.deadline - MIN_TIME_LEFT
        ):
            operation.is_finished = True
            return
        server = server_override or self.select_server({attempt.server for attempt in operation.attempts})
        if server is None:
            # The operation waits at its router for a server and fails after the maximum wait.
            operation.is_finished = now - operation.created_at > MAX_WAIT_WITHOUT_SERVER
            self.retry(operation, request_class, body, None)
            return
        link = self.find_link(server)
        if link is None:
            # Connecting blocks the task, so it gets one of its own that also sends the attempt.
            self.scheduler.spawn("router", partial(self.open_link, operation, request_class, body, server))
            return
        self.write_attempt(operation, request_class, body, link)

    def find_link(self, server: AppServer) -> Link | None:
        """Return the open connection with the fewest pending attempts.

        None means that `open_link` is to be tried: no connection is open, even this one has a quarter of its
        maximum pending and more connections are allowed, or all connections are full.
        """
        links = [link for link in self.links[server] if link.connection.open and not link.is_closing]
        best = min(links, key=lambda link: len(link.pending), default=None)
        if best is None or (
            len(best.pending) >= MAX_PENDING_PER_LINK // 4 and len(links) < MAX_LINKS_PER_SERVER
        ):
            return None
        return best if len(best.pending) < MAX_PENDING_PER_LINK else None

    def open_link(
        self, operation: Operation, request_class: RequestClass, body: bytes, server: AppServer
    ) -> None:
        """Open a connection to the app server and send the attempt on it.

        The operation is retried if the maximum number of connections is open or the server is unreachable; an
        unreachable server also gets no attempts for `UNREACHABLE_HOLDOFF`.
        """
        links = [link for link in self.links[server] if link.connection.open]
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
        """Write an attempt to a connection and schedule its timeout.

        With an idempotency key the attempt times out at its deadline, otherwise after three quarters of the
        latency objective if that is earlier.
        """
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
        # Without a key a retry is safe: it is sent, elsewhere if possible, once three quarters of the
        # objective have passed without a response.
        wait = timeout if operation.key else min(timeout, request_class.latency_objective * 3 // 4)
        self.scheduler.at(now + wait, lambda: self.on_timeout(operation, request_class, body, link, number))
        link.router.requests[operation] = (request_class, body)

    requests: dict[Operation, tuple[RequestClass, bytes]] = {}  # noqa: RUF012 - shared by all routers

    def on_timeout(
        self, operation: Operation, request_class: RequestClass, body: bytes, link: Link, number: int
    ) -> None:
        """Schedule the abandonment of an attempt that has no response yet, `ABORT_DELAY` after its deadline.

        Before the deadline, the operation is also retried at once unless `MAX_OPEN_ATTEMPTS` are open.
        """
        if number not in link.pending:
            return
        _, attempt = link.pending[number]
        now = self.scheduler.now
        if now < attempt.deadline:
            # The response may still arrive: it is owed until the attempt is aborted.
            open_attempts = [other for other in operation.attempts if not other.outcome and not other.excuse]
            if len(open_attempts) < MAX_OPEN_ATTEMPTS:
                self.retry(operation, request_class, body, None, immediately=True)
            self.scheduler.at(attempt.deadline + ABORT_DELAY, lambda: self.abandon(link, number))
            return
        self.scheduler.at(attempt.deadline + ABORT_DELAY, lambda: self.abandon(link, number))

    def abandon(self, link: Link, number: int) -> None:
        """Abort an attempt whose deadline has passed.

        A response was owed only by an app server that was running and connected all along; otherwise the
        attempt is excused.
        """
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
        """Schedule a further attempt, with exponential backoff unless `immediately`.

        After `MAX_ATTEMPTS` attempts the operation is finished instead.
        """
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

    # ---- responses -------------------------------------------------------------------------------------

    def on_response(self, link: Link, number: int, error: list[Any] | None, result: list[bytes]) -> None:
        """Record a response and retry the operation if it was shed, or failed and has no key.

        The advice in a rejection is followed with the probability `advice_compliance`.

        Args:
            link: Connection that the response came on.
            number: Number of the attempt on that connection.
            error: Name and fields of the error; None on success.
            result: Response body as a list of one item, on success.
        """
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
        """Record a closed connection and retry its pending operations without key.

        Pending attempts are excused if the app server had stopped; otherwise the break is recorded as a fault
        of the app server.
        """
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
        """Check the health of one app server, every 0.5 to 0.6 s, until the router stops.

        `MAX_MISSED_CHECKS` failures in a row make it unhealthy, one success healthy again.
        """
        missed_checks = 0
        while not self.is_stopped:
            is_healthy = self.check_health(server)
            missed_checks = 0 if is_healthy else missed_checks + 1
            if missed_checks >= MAX_MISSED_CHECKS:
                self.unhealthy_servers.add(server)
            elif is_healthy:
                self.unhealthy_servers.discard(server)
            self.scheduler.sleep(
                self.scheduler.now + HEALTH_CHECK_INTERVAL + int(self.random_source.random() * 1_000)
            )

    def check_health(self, server: AppServer) -> bool:
        """Send a ping on a connection of its own and return whether the app server reports healthy.

        No response within `HEALTH_CHECK_TIMEOUT` counts as unhealthy.
        """
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
