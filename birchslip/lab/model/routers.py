"""Routers of the model and the clients behind them: arrivals, tries, further tries.

A router sends to app servers that it finds listed, at its own site first where its habit says so. What was
shed, refused or cut is tried again elsewhere, as its habit goes.
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

MAX_ATTEMPTS_PER_CONNECTION, MAX_CONNECTIONS = 24, 4  # tries on one link, links to one app server
UNREACHABLE_AVOID_SPAN = 5_000  # one that can't be reached is left alone for half a second
MAX_WAIT_FOR_SERVER = 3_000  # how long a transaction waits for any app server to be listed
ABANDON_GRACE = 1_500  # past its time, before it is aborted
SAMPLING_THRESHOLD, SAMPLE_DRAWS = 32, 8  # app servers from which on a choice is drawn, and how often
MIN_REMAINING_TIME = 500  # left before the deadline when no further try is worth making


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One transaction of a client, over all its tries. Times are tenths of a millisecond."""

    request_class: RequestClass
    class_name: str  # the profile's name
    tenant: Tenant | None
    tenant_name: str  # the tenant's name
    home_site: str  # the site of its router
    router_number: int
    started_at: int
    work: int
    calls_downstream: bool
    size: int
    idempotency_key: str = ""
    attempt_count: int = 0
    tried_servers: list[str] = field(default_factory=list)  # app servers, one for each try
    open_attempts: int = 0
    honoured_at: int = -1
    was_shed: bool = False  # ever
    ended: bool = False

    @property
    def is_in_time(self) -> bool:
        return (
            self.honoured_at >= 0
            and self.honoured_at - self.started_at <= self.request_class.latency_objective
        )


@dataclass(eq=False, slots=True)
class Attempt:
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
    """What is asked for: profiles and tenants by weight, with what a run takes."""

    request_classes: list[tuple[str, RequestClass, float, int, float]]  # name, profile, share, work, calls
    tenants: dict[str, tuple[Tenant | None, float]]
    size: int
    tenant_names: list[str] = field(init=False)
    class_weights: list[float] = field(init=False)

    def __post_init__(self) -> None:
        self.class_weights = [share for _, _, share, _, _ in self.request_classes]
        self.tenant_names = list(self.tenants)

    @property
    def mean_work(self) -> float:
        """Of one transaction in the mean."""
        return sum(share * work for _, _, share, work, _ in self.request_classes) / sum(self.class_weights)


class ConnectionPool:
    """How many connections a router has to one app server; a new one costs a handshake there."""

    __slots__ = ("connection_count", "incarnation", "last_used_at", "open_attempts")

    def __init__(self) -> None:
        self.connection_count = self.open_attempts = self.last_used_at = 0
        self.incarnation = -1


class Router:
    """`listed` tells which app servers may be found and are not known to be bad, by the news that routers
    have; `born`, `ended` and `counted` tell whoever measures.
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
        self.clock, self.number, self.site, self.policy, self.traffic = clock, number, site, policy, traffic
        self.rng, self.arrival_rng = Random(seed), Random(seed + 1)
        self.link_delay, self.list_servers = link_delay, list_servers
        self.handshake_cost, self.read_cost = connection_costs
        self.rate_per_s = 0.0  # transactions a second
        self.surge_factors: dict[str, float] = {}
        self.pools: dict[AppServer, ConnectionPool] = {}
        self.avoid_until: dict[AppServer, int] = {}
        self.listed_servers: list[AppServer] = []  # who was listed when `own` was made of them
        self.home_servers: list[AppServer] = []  # those of its site
        self.turn = 0
        self.outstanding = 0
        self.stopped = False
        self.counts: Counter[str] = Counter()
        self.on_request: Callable[[ClientRequest], None] = lambda request: None
        self.on_outstanding_change: Callable[[AppServer, int], None] = (
            lambda server, change: None
        )  # what is outstanding
        self.on_answer: Callable[[ClientRequest, str, int], None] = (
            lambda request, result, retry_after: None
        )  # each answer

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self) -> None:
        self.clock.after(0, self.generate_request)

    def tenant_weights(self) -> Mapping[str, float]:
        return {
            name: share * self.surge_factors.get(name, 1.0)
            for name, (_, share) in self.traffic.tenants.items()
        }

    def generate_request(self) -> None:
        """Drawn in the order in which the stand-in of the processes draws: one seed, the same arrivals."""
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
        class_name, request_class, _, work, mean_calls = rng.choices(
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
            mean_calls >= 1 or (mean_calls > 0 and rng.random() < mean_calls),
            traffic.size,
            idempotency_key,
        )
        self.on_request(request)
        self.send(request)

    # ---- tries -----------------------------------------------------------------------------------------

    def open_attempts_to(self, server: AppServer) -> int:
        pool = self.pools.get(server)
        return pool.open_attempts if pool is not None else 0

    def select_server(self, tried_servers: list[str]) -> AppServer | None:
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
        """The same choice without a walk over all of them: drawn until they may be used, a few times."""
        if candidates is not self.listed_servers:
            self.listed_servers, self.home_servers = (
                candidates,
                [server for server in candidates if server.site == self.site],
            )
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
        return self.avoid_until.get(server, 0) <= self.clock.now and server.name not in tried_servers

    def send(self, request: ClientRequest) -> None:
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
        server.cores.cost(now, self.read_cost)
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
        """Whether there is a connection with room; a new one is opened where the best has much to carry."""
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
            server.cores.cost(now, self.handshake_cost)
            return True
        return pool.open_attempts < MAX_CONNECTIONS * MAX_ATTEMPTS_PER_CONNECTION

    def add_outstanding(self, server: AppServer, change: int) -> None:
        self.pools[server].open_attempts += change
        self.outstanding += change
        self.on_outstanding_change(server, change)

    def finish_attempt(self, attempt: Attempt) -> bool:
        """Whether it was still open."""
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
        if attempt.is_over:
            return
        if self.clock.now < attempt.deadline:
            if attempt.request.open_attempts < 2:
                self.retry(attempt.request, immediately=True)
            self.clock.at(attempt.deadline + ABANDON_GRACE, self.abandon, attempt)
        else:
            self.clock.after(ABANDON_GRACE, self.abandon, attempt)

    def abandon(self, attempt: Attempt) -> None:
        if self.finish_attempt(attempt):
            attempt.request.ended = True
            self.counts["silent"] += 1
            if attempt.server.is_up and attempt.server.incarnation == attempt.incarnation:
                self.clock.after(self.link_delay, attempt.server.cancel, attempt)

    def retry(self, request: ClientRequest, immediately: bool = False) -> None:
        if request.ended or request.honoured_at >= 0 or request.attempt_count >= self.policy.max_attempts:
            request.ended = request.ended or request.attempt_count >= self.policy.max_attempts
            return
        wait = 0 if immediately else self.policy.retry_delay(request.attempt_count, self.rng)
        self.clock.after(wait, self.send, request)

    # ---- answers ---------------------------------------------------------------------------------------

    def receive_answer(self, attempt: Attempt, result: str, retry_after: int, stop_retrying: bool) -> None:
        """An answer on its way back has come."""
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
        """The link that it was on has broken."""
        if self.finish_attempt(attempt):
            self.counts["cut"] += 1
            if not attempt.request.idempotency_key:
                self.retry(attempt.request)
