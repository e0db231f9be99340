"""Routers of the emulated fleet with the clients behind them: they generate requests, send and retry them.

A router sends attempts to app servers that it finds listed, first to those of its own site if its policy
prefers them. Requests that were rejected, refused or cut off are retried elsewhere as the policy says.
All times are in units of 0.1 ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from ...admission.types import Idempotency, RequestClass, Tenant
from .clock import SECOND, Clock
from .habits import RoutingPolicy

if TYPE_CHECKING:
    from .servers import AppServer

MAX_ATTEMPTS_PER_CONNECTION = 24  # at a time
MAX_CONNECTIONS = 4  # to one app server
UNREACHABLE_AVOID_SPAN = 5_000  # no attempts are sent to an app server that could not be reached
MAX_WAIT_FOR_SERVER = 3_000  # a request without any listed app server is given up after this span
ABANDON_GRACE = 1_500  # an attempt is aborted this long after its deadline
SAMPLING_THRESHOLD = 32  # with more app servers than this, a few are drawn instead of filtering all of them
SAMPLE_DRAWS = 8  # how many are drawn; one may be drawn more than once
MIN_REMAINING_TIME = 500  # no attempt is made with less time than this left before the deadline
MAX_CONCURRENT_ATTEMPTS = 2  # of one request


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A request of a client over all its attempts.

    Attributes:
        request_class: The request class.
        class_name: Name of the profile.
        tenant: The tenant, or `None` if the settings have no tenants.
        tenant_name: Name of the tenant; empty without tenants.
        home_site: The site of its router.
        router_number: Number of its router.
        started_at: When the client sent it.
        work: Time that a run takes on one core at full speed.
        calls_downstream: Whether a run calls the downstream service.
        size: Size in bytes.
        idempotency_key: The idempotency key; empty for request classes without one.
        attempt_count: Number of attempts so far, including those that were refused.
        tried_servers: The app server of each attempt.
        open_attempts: Number of attempts without an answer.
        honoured_at: When it was first answered with success; -1 before.
        was_shed: Whether any attempt was rejected.
        ended: Whether no further attempts are made.
    """

    request_class: RequestClass
    class_name: str
    tenant: Tenant | None
    tenant_name: str
    home_site: str
    router_number: int
    started_at: int
    work: int
    calls_downstream: bool
    size: int
    idempotency_key: str = ""
    attempt_count: int = 0
    tried_servers: list[str] = field(default_factory=list)
    open_attempts: int = 0
    honoured_at: int = -1
    was_shed: bool = False
    ended: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was answered with success within the latency objective."""
        return (
            self.honoured_at >= 0
            and self.honoured_at - self.started_at <= self.request_class.latency_objective
        )


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at one app server.

    Attributes:
        request: The request.
        router_number: Number of the router.
        sent_at: When the router sent it.
        deadline: When the client stops waiting for it.
        is_retry: Whether other attempts were made before.
        server: The app server.
        incarnation: The incarnation of the app server that the router was connected to.
        is_over: Whether it was answered, cut off or abandoned.
    """

    request: ClientRequest
    router_number: int
    sent_at: int
    deadline: int
    is_retry: bool
    server: AppServer
    incarnation: int
    is_over: bool = False


@dataclass(slots=True)
class Traffic:
    """The mix of requests that routers generate.

    Attributes:
        request_classes: Tuples of (profile name, request class, share, mean core time of a run, share of
            runs that call the downstream service).
        tenants: Tenant and share by name; one entry with an empty name if there are no tenants.
        size: Size of a request in bytes.
        tenant_names: The names of the tenants.
        class_weights: The shares of the request classes.
    """

    request_classes: list[tuple[str, RequestClass, float, int, float]]
    tenants: dict[str, tuple[Tenant | None, float]]
    size: int
    tenant_names: list[str] = field(init=False)
    class_weights: list[float] = field(init=False)

    def __post_init__(self) -> None:
        """Derive the lists that requests are drawn from."""
        self.class_weights = [share for _, _, share, _, _ in self.request_classes]
        self.tenant_names = list(self.tenants)

    @property
    def mean_work(self) -> float:
        """Mean core time of a run over all request classes, in units of 0.1 ms."""
        return sum(share * work for _, _, share, work, _ in self.request_classes) / sum(self.class_weights)


class ConnectionPool:
    """The connections of a router to one app server.

    Attributes:
        connection_count: Number of connections.
        incarnation: The incarnation of the app server that they lead to; -1 before the first connection.
        last_used_at: When an attempt last needed a connection.
        open_attempts: Number of attempts without an answer.
    """

    __slots__ = ("connection_count", "incarnation", "last_used_at", "open_attempts")

    def __init__(self) -> None:
        """Create a pool without connections."""
        self.connection_count = self.open_attempts = self.last_used_at = 0
        self.incarnation = -1


class Router:
    """A router and the clients that send their requests to it.

    Attributes:
        rng: Source of routing decisions.
        arrival_rng: Source of the requests, separate so that routing does not change what arrives.
        rate_per_s: Requests per second without surges.
        surge_factors: Factor by which the traffic of a tenant is multiplied, by tenant name; 1 if absent.
        pools: The connections by app server.
        avoid_until: When an app server may be used again after a failure or a Retry-After.
        listed_servers: The list from which `home_servers` was made.
        home_servers: The app servers of the home site.
        turn: Number of choices so far, for round robin.
        outstanding: Number of attempts without an answer.
        stopped: Set to stop generating requests.
        counts: Number of attempts, of each kind of answer, and of cut, refused and abandoned attempts.
        on_request: Called with each new request.
        on_outstanding_change: Called with an app server and the change of attempts outstanding there.
        on_answer: Called with the request, the result and the Retry-After of each answer.
    """

    def __init__(
        self,
        clock: Clock,
        number: int,
        site: str,
        policy: RoutingPolicy,
        traffic: Traffic,
        seed: int,
        link_delay: int,
        list_servers: Callable[[bool], list[AppServer]],
        connection_costs: tuple[int, int],
    ) -> None:
        """Create a router that sends nothing before `start`.

        Args:
            clock: The virtual clock.
            number: Number of the router.
            site: The home site; empty if there is none.
            policy: The routing policy; it may be replaced during a run.
            traffic: The mix of requests.
            seed: Seed of all random choices.
            link_delay: Delay of a message in one direction.
            list_servers: Returns the listed app servers; with `True` only those that pass health checks.
            connection_costs: Core time that a new connection costs the app server, and that reading an
                attempt costs it.
        """
        self.clock, self.number, self.site, self.policy, self.traffic = clock, number, site, policy, traffic
        self.rng, self.arrival_rng = Random(seed), Random(seed + 1)
        self.link_delay, self.list_servers = link_delay, list_servers
        self.handshake_cost, self.read_cost = connection_costs
        self.rate_per_s = 0.0
        self.surge_factors: dict[str, float] = {}
        self.pools: dict[AppServer, ConnectionPool] = {}
        self.avoid_until: dict[AppServer, int] = {}
        self.listed_servers: list[AppServer] = []
        self.home_servers: list[AppServer] = []
        self.turn = 0
        self.outstanding = 0
        self.stopped = False
        self.counts: Counter[str] = Counter()
        self.on_request: Callable[[ClientRequest], None] = lambda request: None
        self.on_outstanding_change: Callable[[AppServer, int], None] = lambda server, change: None
        self.on_answer: Callable[[ClientRequest, str, int], None] = lambda request, result, retry_after: None

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start generating requests."""
        self.clock.after(0, self.generate_request)

    def tenant_weights(self) -> Mapping[str, float]:
        """Return the weight of each tenant's traffic: its share, times the factor of its surge if any."""
        return {
            name: share * self.surge_factors.get(name, 1.0)
            for name, (_, share) in self.traffic.tenants.items()
        }

    def generate_request(self) -> None:
        """Generate and send one request, and schedule the next one.

        The time to the next one is drawn for a rate of at least 0.1 per second; at a rate of 0 no request is
        generated. The random draws are in the order in which the router stand-in of the lab's processes makes
        them, so that one seed generates the same requests in both.
        """
        if self.stopped:
            return
        weights = self.tenant_weights()
        rate = self.rate_per_s * sum(weights.values())
        gap = self.arrival_rng.expovariate(max(0.1, rate))
        self.clock.after(max(1, int(gap * SECOND)), self.generate_request)
        if rate <= 0:
            return
        traffic, rng = self.traffic, self.arrival_rng
        tenant_name = rng.choices(traffic.tenant_names, list(weights.values()))[0]
        class_name, request_class, _, work, call_share = rng.choices(
            traffic.request_classes, traffic.class_weights
        )[0]
        work_ms = max(5, int(rng.gammavariate(4, work / 4) / 10))
        idempotency_key = (
            f"{self.number}.{rng.getrandbits(128)}" if request_class.idempotency is Idempotency.KEYED else ""
        )
        request = ClientRequest(
            request_class,
            class_name,
            traffic.tenants[tenant_name][0],
            tenant_name,
            self.site,
            self.number,
            self.clock.now,
            work_ms * 10,
            call_share >= 1 or (call_share > 0 and rng.random() < call_share),
            traffic.size,
            idempotency_key,
        )
        self.on_request(request)
        self.send(request)

    # ---- attempts --------------------------------------------------------------------------------------

    def open_attempts_to(self, server: AppServer) -> int:
        """Return the number of attempts outstanding at an app server."""
        pool = self.pools.get(server)
        return pool.open_attempts if pool is not None else 0

    def select_server(self, tried_servers: list[str]) -> AppServer | None:
        """Choose the app server for an attempt.

        App servers that have to be avoided are left out. The first attempt goes to the home site if the
        policy prefers it and an app server there can be used. Lists longer than `SAMPLING_THRESHOLD` are left
        to `select_from_many`.

        Args:
            tried_servers: The app servers that were tried before. Of a short list they are used only if no
                other is left, of a long list never.

        Returns:
            The app server, or `None` if there is none.
        """
        now = self.clock.now
        candidates = self.list_servers(self.policy.uses_health_checks)
        if len(candidates) > SAMPLING_THRESHOLD:
            return self.select_from_many(candidates, tried_servers)
        if self.avoid_until:
            candidates = [server for server in candidates if self.avoid_until.get(server, 0) <= now]
        untried = (
            [server for server in candidates if server.name not in tried_servers] or candidates
            if tried_servers
            else candidates
        )
        at_home = (
            [server for server in untried if server.site == self.site]
            if self.policy.prefers_home_site and not tried_servers
            else []
        )
        self.turn += 1
        return self.policy.choose(at_home or untried, self.open_attempts_to, self.rng, self.turn)

    def select_from_many(self, candidates: list[AppServer], tried_servers: list[str]) -> AppServer | None:
        """Choose like `select_server` from a long list without filtering all of it.

        A few app servers are drawn at random; the whole list is filtered only if none of them is eligible.
        Unlike in `select_server`, app servers that were tried before are never used, and a first attempt that
        prefers the home site gets none if all listed app servers of that site have to be avoided.
        """
        if candidates is not self.listed_servers:
            self.listed_servers = candidates
            self.home_servers = [server for server in candidates if server.site == self.site]
        preferred = (
            self.home_servers
            if self.policy.prefers_home_site and not tried_servers and self.home_servers
            else candidates
        )
        sampled = [
            server
            for server in (self.rng.choice(preferred) for _ in range(SAMPLE_DRAWS))
            if self.is_eligible(server, tried_servers)
        ]
        self.turn += 1
        if not sampled:
            sampled = [server for server in preferred if self.is_eligible(server, tried_servers)]
        return self.policy.choose(sampled[:2] or preferred[:0], self.open_attempts_to, self.rng, self.turn)

    def is_eligible(self, server: AppServer, tried_servers: list[str]) -> bool:
        """Return whether an app server need not be avoided and was not tried before."""
        return self.avoid_until.get(server, 0) <= self.clock.now and server.name not in tried_servers

    def send(self, request: ClientRequest) -> None:
        """Send an attempt of a request, or end the request if it is too late or already answered.

        Without an app server the request waits, up to `MAX_WAIT_FOR_SERVER` from its start. An app server
        that does not run refuses the attempt, which counts as one, and is avoided for
        `UNREACHABLE_AVOID_SPAN`. Only an attempt without an idempotency key is followed by a second one if it
        stays unanswered.
        """
        now = self.clock.now
        if (
            request.ended
            or request.honoured_at >= 0
            or now >= request.started_at + request.request_class.deadline - MIN_REMAINING_TIME
        ):
            request.ended = True
            return
        server = self.select_server(request.tried_servers)
        if server is None:
            request.ended = now - request.started_at > MAX_WAIT_FOR_SERVER
            self.retry(request)
            return
        if not server.is_up:
            self.avoid_until[server] = now + UNREACHABLE_AVOID_SPAN
            request.attempt_count += 1
            request.tried_servers.append(server.name)
            self.counts["refused"] += 1
            self.retry(request)
            return
        if not self.ensure_connection(server):
            self.retry(request)
            return
        remaining = request.started_at + request.request_class.deadline - now
        attempt = Attempt(
            request, self.number, now, now + remaining, request.attempt_count > 0, server, server.incarnation
        )
        request.attempt_count += 1
        request.open_attempts += 1
        request.tried_servers.append(server.name)
        self.add_outstanding(server, 1)
        server.cores.charge(now, self.read_cost)
        self.counts["tries"] += 1
        self.clock.after(self.link_delay, server.receive, attempt)
        has_key = bool(request.idempotency_key)
        wait = (
            remaining
            if has_key
            else min(remaining, int(request.request_class.latency_objective * self.policy.hedge_fraction))
        )
        self.clock.after(wait, self.on_timeout, attempt)

    def ensure_connection(self, server: AppServer) -> bool:
        """Return whether there is a connection with room for an attempt, opening one if needed.

        A new connection is opened when the existing ones are on average a quarter full, up to
        `MAX_CONNECTIONS`; its handshake costs the app server core time. Connections to an earlier
        incarnation are lost, and idle ones have been closed by the app server.
        """
        pool = self.pools.get(server)
        if pool is None:
            pool = self.pools[server] = ConnectionPool()
        now = self.clock.now
        if pool.incarnation != server.incarnation:
            pool.incarnation, pool.connection_count, pool.open_attempts = server.incarnation, 0, 0
        if (
            server.idle_timeout >= 0
            and not pool.open_attempts
            and now - pool.last_used_at > server.idle_timeout
        ):
            pool.connection_count = 0
        pool.last_used_at = now
        if (
            pool.connection_count
            and pool.open_attempts < pool.connection_count * MAX_ATTEMPTS_PER_CONNECTION // 4
        ):
            return True
        if pool.connection_count < MAX_CONNECTIONS:
            pool.connection_count += 1
            server.cores.charge(now, self.handshake_cost)
            return True
        return pool.open_attempts < MAX_CONNECTIONS * MAX_ATTEMPTS_PER_CONNECTION

    def add_outstanding(self, server: AppServer, change: int) -> None:
        """Change the number of attempts outstanding at an app server."""
        self.pools[server].open_attempts += change
        self.outstanding += change
        self.on_outstanding_change(server, change)

    def finish_attempt(self, attempt: Attempt) -> bool:
        """Mark an attempt as over.

        Returns:
            Whether it was still open.
        """
        if attempt.is_over:
            return False
        attempt.is_over = True
        attempt.request.open_attempts -= 1
        self.outstanding -= 1
        pool = self.pools[attempt.server]
        if pool.incarnation == attempt.incarnation:
            pool.open_attempts -= 1
        self.on_outstanding_change(attempt.server, -1)
        return True

    def on_timeout(self, attempt: Attempt) -> None:
        """Handle an attempt that is unanswered at its hedge time or at its deadline.

        At the hedge time, which `send` sets, another attempt is made if fewer than `MAX_CONCURRENT_ATTEMPTS`
        are open. The attempt is abandoned `ABANDON_GRACE` after its deadline.
        """
        if attempt.is_over:
            return
        if self.clock.now < attempt.deadline:
            if attempt.request.open_attempts < MAX_CONCURRENT_ATTEMPTS:
                self.retry(attempt.request, immediately=True)
            self.clock.at(attempt.deadline + ABANDON_GRACE, self.abandon, attempt)
        else:
            self.clock.after(ABANDON_GRACE, self.abandon, attempt)

    def abandon(self, attempt: Attempt) -> None:
        """End an unanswered attempt and its request, and abort it at the app server."""
        if self.finish_attempt(attempt):
            attempt.request.ended = True
            self.counts["silent"] += 1
            if attempt.server.is_up and attempt.server.incarnation == attempt.incarnation:
                self.clock.after(self.link_delay, attempt.server.cancel, attempt)

    def retry(self, request: ClientRequest, immediately: bool = False) -> None:
        """Schedule another attempt of a request, or end the request if it has used all its attempts.

        A request that has ended or was answered with success gets no further attempt.
        """
        if request.ended or request.honoured_at >= 0 or request.attempt_count >= self.policy.max_attempts:
            request.ended = request.ended or request.attempt_count >= self.policy.max_attempts
            return
        wait = 0 if immediately else self.policy.retry_delay(request.attempt_count, self.rng)
        self.clock.after(wait, self.send, request)

    # ---- answers ---------------------------------------------------------------------------------------

    def receive_answer(self, attempt: Attempt, result: str, retry_after: int, stop_retrying: bool) -> None:
        """Handle an answer, and retry the request if the policy allows.

        A failed request with an idempotency key is not retried.

        Args:
            attempt: The attempt that is answered; ignored if it is over.
            result: `honoured` for success, `written_off` for a failed run, otherwise a rejection.
            retry_after: How long to avoid the app server if the advice is followed; 0 for no advice.
            stop_retrying: Whether the answer asks not to retry at all.
        """
        if not self.finish_attempt(attempt):
            return
        request = attempt.request
        self.counts[result] += 1
        self.on_answer(request, result, retry_after)
        if result == "honoured":
            if request.honoured_at < 0:
                request.honoured_at = self.clock.now
        elif result == "written_off":
            if not request.idempotency_key:
                self.retry(request)
        else:
            request.was_shed = True
            follows_advice = self.policy.follows_advice(self.rng)
            if retry_after and follows_advice:
                self.avoid_until[attempt.server] = max(
                    self.avoid_until.get(attempt.server, 0), self.clock.now + retry_after
                )
            if stop_retrying and follows_advice:
                request.ended = True
                return
            self.retry(request)

    def on_connection_lost(self, attempt: Attempt) -> None:
        """Handle the loss of the connection on which an attempt was sent.

        The request is retried unless it has an idempotency key.
        """
        if self.finish_attempt(attempt):
            self.counts["cut"] += 1
            if not attempt.request.idempotency_key:
                self.retry(attempt.request)
