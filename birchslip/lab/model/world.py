"""The emulated world of one run in virtual time: built from settings, changed by a script, and recorded.

A run depends only on the settings, the script and the seed, so that a run can be repeated exactly. All times
are in units of 0.1 ms.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random

from ...admission.types import AdmissionSettings, Tenant
from ...cluster.fleet_file import Fleet
from ..cores import Cores
from .below import DownstreamService
from .clock import SECOND, Clock
from .habits import ROUTING_POLICIES
from .layout import Layout, RouterTold, Work
from .planners import Planners
from .routers import Attempt, ClientRequest, Router, Traffic
from .servers import AppServer

LIST_INTERVAL = 2_000  # how often the catalog's list is read
LIST_DELAY = 8_000  # until routers use the list that was read
CATALOG_REPORT_LIFETIME = 30_000  # the catalog lists an app server this long after its last report
HEALTH_CHECK_INTERVAL = 5_500  # how often the health of all app servers is checked
MAX_FAILED_CHECKS = 2  # in a row, until routers avoid an app server
SAMPLE_INTERVAL = 500  # how often availability and core use are recorded
DRAIN_CHECK_INTERVAL = 500  # how often a draining app server is checked for open requests
TRAFFIC_START = 2 * SECOND  # by then the planner leads and routers know which app servers are listed
COLD_START_DELAY = 5_000  # from the `restore` of a site until its app servers start and accept requests


@dataclass(frozen=True, slots=True)
class Step:
    """A scripted change of the world.

    | action | target | value |
    | --- | --- | --- |
    | load | | fraction of the capacity |
    | surge | tenant | factor on its usual traffic |
    | lose, restore | site | |
    | kill, start, pause, resume, drain | app server (pause, resume: or site) | |
    | slow | app server or site | factor on the duration of work |
    | shrink | | fraction of the fleet that remains |
    | below-down, below-up | | |
    | planners-gone, planners-back | | |
    | release | | |
    | heed | | share of rejections whose advice routers follow |

    Attributes:
        at: When the change is made.
        action: What is done.
        target: The app server, site or tenant that it is done to, if any.
        value: A number, for actions that need one.
    """

    at: int
    action: str
    target: str = ""
    value: float = 0.0

    def describe(self) -> str:
        """Return the time in seconds, the action, the target and the value, for reports."""
        value = f" {self.value:g}" if self.value else ""
        return f"{self.at / SECOND:.1f} s: {self.action}{' ' + self.target if self.target else ''}{value}"


class Series:
    """A value over time, stored as its changes.

    Attributes:
        times: When the value changed, in order.
        values: The value from each of these times on.
    """

    __slots__ = ("times", "values")

    def __init__(self) -> None:
        """Create a series that is 0 from time 0."""
        self.times: list[int] = [0]
        self.values: list[float] = [0.0]

    def set(self, now: int, value: float) -> None:
        """Set the value from the time `now` on, which must not be before the last change."""
        if self.times[-1] == now:
            self.values[-1] = value
        elif self.values[-1] != value:
            self.times.append(now)
            self.values.append(value)

    def within(self, span: tuple[int, int]) -> list[tuple[int, float]]:
        """Return the value at the start of a span and each change before its end.

        Args:
            span: Start and end; the end is excluded.

        Returns:
            Pairs of (time, value); the first has the start as its time.
        """
        first = bisect_right(self.times, span[0]) - 1
        last = bisect_left(self.times, span[1])
        return [(max(self.times[at], span[0]), self.values[at]) for at in range(max(0, first), last)]


@dataclass(frozen=True)
class Setting:
    """The settings that a world is built from.

    Attributes:
        deployment: The admission settings.
        profiles: Names of the request classes, in the order of the settings.
        tenants: Names of the tenants, in the order of the settings.
        layout: The world file.
        fleet: The fleet file; without one there is a single site named `here`.
        planners: Whether the fleet has planners.
        name: Name of the app server that the settings belong to; the first one if there is no fleet file.
    """

    deployment: AdmissionSettings
    profiles: list[str]
    tenants: list[str]
    layout: Layout = field(default_factory=Layout)
    fleet: Fleet | None = None
    planners: bool = True
    name: str = "here-1"

    def sites(self) -> dict[str, list[str]]:
        """Return the names of the app servers of each site."""
        if self.fleet is not None:
            return {site.name: [member.name for member in site.members] for site in self.fleet.sites}
        count = self.layout.servers or self.deployment.fleet_size
        return {"here": [self.name, *(f"here-{n}" for n in range(2, count + 1))][:count]}

    def site_by_server(self) -> dict[str, str]:
        """Return the site of each app server."""
        return {name: site for site, names in self.sites().items() for name in names}

    def routers(self) -> list[RouterTold]:
        """Return the routers of the world file, else of the fleet file, else two for each site."""
        if self.layout.routers:
            return self.layout.routers
        if self.fleet is not None and any(site.routers for site in self.fleet.sites):
            return [
                RouterTold(number=number, site=site.name)
                for site in self.fleet.sites
                for number in site.routers
            ]
        return [
            RouterTold(number=1 + 2 * index + router, site=site)
            for index, site in enumerate(self.sites())
            for router in range(2)
        ]

    def capacity(self) -> float:
        """Return the requests per second at a load of 1.

        The world file states it by `rate` and `load`; otherwise it is what all cores can serve.
        """
        if self.layout.rate is not None:
            return self.layout.rate / self.layout.load
        count = sum(map(len, self.sites().values()))
        return count * self.deployment.cores * SECOND / self.traffic().mean_work

    def traffic(self) -> Traffic:
        """Return the mix of requests, with the defaults of `Layout` for what the world file leaves out."""
        request_classes = []
        for name, request_class in zip(self.profiles, self.deployment.request_classes, strict=True):
            class_work = self.layout.profiles.get(name, Work())
            work = (
                int(class_work.work_ms * 10)
                if class_work.work_ms is not None
                else max(10, request_class.latency_objective // 8)
            )
            request_classes.append((name, request_class, class_work.share, work, class_work.calls))
        tenants: dict[str, tuple[Tenant | None, float]] = {}
        shares = self.layout.tenants or (self.fleet.tenant_shares if self.fleet is not None else {})
        for name, tenant in zip(self.tenants, self.deployment.tenants, strict=True):
            tenants[name] = (tenant, shares.get(name, 0.0 if shares else 1.0))
        total_share = sum(share for _, share in tenants.values())
        parts = (
            {name: (tenant, share / total_share) for name, (tenant, share) in tenants.items()}
            if total_share
            else {}
        )
        return Traffic(request_classes, parts or {"": (None, 1.0)}, self.layout.size)


class World:
    """One run: call `run` to run a script, then read the recorded attributes.

    Attributes:
        clock: The virtual clock.
        layout: The world file.
        deployment: The admission settings.
        class_names: Names of the request classes.
        tenant_names: Names of the tenants.
        link_delay: Delay of a message in one direction.
        downstream: The downstream service.
        traffic: The mix of requests.
        servers: All app servers.
        sites: The names of the app servers of each site.
        servers_by_name: All app servers by name.
        capacity: Requests per second that loads are fractions of.
        listed_servers: The app servers that routers know.
        healthy_servers: Those of the listed app servers that pass health checks.
        unhealthy: The app servers that fail health checks.
        failed_checks: Number of health checks failed in a row, by app server.
        listed_until: Until when an app server that has ended is still listed.
        routers: The routers by number.
        router_shares: The share of the traffic of each router.
        planners: The planners, if the fleet has any.
        requests: All requests, in the order of their start.
        answers: All answers as (time, request, result, Retry-After).
        notes: Events of the planners as (time, event, fields).
        marks: Starts and ends of scripted conditions as (time, event, target).
        outstanding: Attempts without an answer, by router number.
        downstream_calls: Downstream calls in flight.
        downstream_calls_by_server: Downstream calls in flight, by app server.
        unavailable: 1 while an app server does not serve at full speed, otherwise 0, by app server.
        core_use: Fraction of the cores in use, by app server.
        outstanding_by_server: Attempts without an answer, by app server.
    """

    def __init__(self, setting: Setting, seed: int, capacity: float = 0.0) -> None:
        """Build a world in which nothing runs yet.

        Args:
            setting: The settings that the world is built from.
            seed: Seed of all random choices.
            capacity: Requests per second that loads are fractions of; 0 for the capacity of the settings.
        """
        self.setting = setting
        self.clock = Clock()
        rng = Random(seed)
        layout = self.layout = setting.layout
        deployment = self.deployment = setting.deployment
        self.class_names, self.tenant_names = setting.profiles, setting.tenants
        self.link_delay = int(layout.link_ms * 10)
        service = layout.below
        self.downstream = DownstreamService(
            self.clock,
            Random(rng.getrandbits(48)),
            int(service.took_ms * 10),
            service.holds or 0,
            service.survives or 0,
        )
        self.traffic = setting.traffic()
        self.servers: list[AppServer] = []
        self.sites = setting.sites()
        for site, names in self.sites.items():
            for name in names:
                cores = Cores(
                    deployment.cores,
                    deployment.cold_start_speed,
                    deployment.warm_up_span,
                    layout.crowd,
                    layout.loss,
                )
                server_deployment = replace(deployment, seed=rng.getrandbits(32))
                self.servers.append(
                    AppServer(
                        self.clock, name, site, server_deployment, cores, self.downstream, self.deliver_answer
                    )
                )
        self.servers_by_name = {server.name: server for server in self.servers}
        self.capacity = capacity or setting.capacity()
        self.listed_servers: list[AppServer] = []
        self.healthy_servers: list[AppServer] = []
        self.unhealthy: set[AppServer] = set()
        self.failed_checks: Counter[AppServer] = Counter()
        self.listed_until: dict[AppServer, int] = {}
        self.routers: dict[int, Router] = {}
        router_options = setting.routers()
        total_share = sum(options.share for options in router_options)
        costs = (int(layout.handshake_ms * 10), int(layout.reading_ms * 10))
        for options in router_options:
            router = Router(
                self.clock,
                options.number,
                options.site or "",
                ROUTING_POLICIES[options.habit],
                self.traffic,
                seed * 64 + options.number - 1,
                self.link_delay,
                self.list_servers,
                costs,
            )
            self.routers[options.number] = router
        self.router_shares = {options.number: options.share / total_share for options in router_options}
        self.planners: Planners | None = None
        if setting.fleet is not None and setting.planners:
            self.planners = Planners(self, setting.fleet, rng.getrandbits(48))
        # Recorded for measures.
        self.requests: list[ClientRequest] = []
        self.answers: list[tuple[int, ClientRequest, str, int]] = []
        self.notes: list[tuple[int, str, dict[str, object]]] = []
        self.marks: list[tuple[int, str, str]] = []
        self.outstanding = {number: Series() for number in self.routers}
        self.downstream_calls = Series()
        self.downstream_calls_by_server = {name: Series() for name in self.servers_by_name}
        self.unavailable = {name: Series() for name in self.servers_by_name}
        self.core_use = {name: Series() for name in self.servers_by_name}
        self.outstanding_by_server = {name: Series() for name in self.servers_by_name}
        for number, router in self.routers.items():
            router.on_request = self.requests.append
            router.on_outstanding_change = self.outstanding_recorder(router, self.outstanding[number])
            router.on_answer = self.record_answer
        self.downstream.on_change = self.record_downstream_calls

    def outstanding_recorder(self, router: Router, series: Series) -> Callable[[AppServer, int], None]:
        """Return a callback for changes of a router's outstanding attempts.

        It records the router's number in `series`, and the change in the series of the app server.
        """
        outstanding_by_server, clock = self.outstanding_by_server, self.clock

        def record(server: AppServer, change: int) -> None:
            series.set(clock.now, router.outstanding)
            server_series = outstanding_by_server[server.name]
            server_series.set(clock.now, server_series.values[-1] + change)

        return record

    # ---- run and records -------------------------------------------------------------------------------

    def run(self, steps: Iterable[Step], until: int) -> None:
        """Run a script.

        Args:
            steps: The steps of the script.
            until: When the run ends.

        Raises:
            ValueError: A step has an unknown action.
        """
        for server in self.servers:
            self.start_server(server, cold=False)
        self.refresh_list()
        self.listed_servers = list(self.servers)
        self.check_health()
        self.healthy_servers = list(self.servers)
        if self.planners is not None:
            self.planners.start()
        self.set_load(self.layout.load)
        for router in self.routers.values():
            self.clock.at(TRAFFIC_START, router.start)
        self.clock.every(SAMPLE_INTERVAL, self.sample, until)
        for step in sorted(steps, key=lambda step: step.at):
            self.clock.at(step.at, self.perform_step, step)
        self.clock.run(until)

    def set_load(self, load: float) -> None:
        """Set the traffic to a fraction of the capacity."""
        for number, router in self.routers.items():
            router.rate_per_s = load * self.capacity * self.router_shares[number]

    def sample(self) -> None:
        """Record the availability and core use of all app servers."""
        now = self.clock.now
        for name, server in self.servers_by_name.items():
            self.unavailable[name].set(now, 0 if server.is_serving and server.is_warm else 1)
            self.core_use[name].set(
                now, min(1.0, server.on_cores / server.cores.count) if server.is_up else 0.0
            )

    def record_downstream_calls(self, server: str) -> None:
        """Record the downstream calls in flight after a change at an app server."""
        self.downstream_calls.set(self.clock.now, self.downstream.calls_in_flight)
        self.downstream_calls_by_server[server].set(
            self.clock.now, len(self.downstream.calls_by_server[server])
        )

    def record_answer(self, request: ClientRequest, result: str, retry_after: int) -> None:
        """Record an answer to a request."""
        self.answers.append((self.clock.now, request, result, retry_after))

    def note(self, event: str, **fields: object) -> None:
        """Record an event of the planners."""
        self.notes.append((self.clock.now, event, fields))

    def mark(self, event: str, target: str = "") -> None:
        """Record the start or end of a scripted condition, from which the measured spans are found."""
        self.marks.append((self.clock.now, event, target))

    # ---- app servers and their listing -----------------------------------------------------------------

    def deliver_answer(self, attempt: Attempt, result: str, retry_after: int, stop_retrying: bool) -> None:
        """Deliver an answer, or the loss of the connection, to the router after the link delay."""
        router = self.routers[attempt.router_number]
        if result == "cut":
            self.clock.after(self.link_delay, router.on_connection_lost, attempt)
        else:
            self.clock.after(
                self.link_delay, router.receive_answer, attempt, result, retry_after, stop_retrying
            )

    def start_server(self, server: AppServer, cold: bool) -> None:
        """Start an app server, and connect it to the planners."""
        server.start(cold)
        if self.planners is not None:
            self.planners.on_server_started(server)

    def kill(self, server: AppServer, announced: bool = False) -> None:
        """End an app server at once.

        Args:
            server: The app server; ignored if it does not run.
            announced: Whether it has told the catalog that it stops. Otherwise the catalog lists it until its
                last report expires, which is taken to be half a second old.
        """
        if not server.is_up:
            return
        incarnation = server.incarnation
        server.crash()
        self.listed_until[server] = (
            self.clock.now if announced else self.clock.now + CATALOG_REPORT_LIFETIME - SECOND // 2
        )
        if self.planners is not None:
            self.planners.on_connection_lost(server, incarnation)

    def refresh_list(self) -> None:
        """Read the catalog's list, pass it to the routers after `LIST_DELAY`, and schedule the next read."""
        now = self.clock.now
        listed = [server for server in self.servers if self.is_listed(server, now)]
        self.clock.after(LIST_DELAY, self.apply_list, listed)
        self.clock.after(LIST_INTERVAL, self.refresh_list)

    def is_listed(self, server: AppServer, now: int) -> bool:
        """Return whether the catalog lists an app server."""
        if not server.is_up:
            return now < self.listed_until.get(server, 0)
        if server.is_draining:
            return False
        return self.planners is None or self.planners.is_listed(server)

    def apply_list(self, listed: list[AppServer]) -> None:
        """Make routers use a list of app servers, without the unhealthy ones if they check health."""
        self.listed_servers = listed
        self.healthy_servers = [server for server in listed if server not in self.unhealthy]

    def list_servers(self, uses_health_checks: bool) -> list[AppServer]:
        """Return the listed app servers, or only those that pass health checks."""
        return self.healthy_servers if uses_health_checks else self.listed_servers

    def check_health(self) -> None:
        """Check the health of all app servers, once on behalf of all routers, and schedule the next check.

        An app server counts as unhealthy after `MAX_FAILED_CHECKS` in a row until it passes one.
        """
        for server in self.servers:
            is_healthy = server.is_up and not server.is_paused and server.is_healthy
            self.failed_checks[server] = 0 if is_healthy else self.failed_checks[server] + 1
            if is_healthy:
                self.unhealthy.discard(server)
            elif self.failed_checks[server] >= MAX_FAILED_CHECKS:
                self.unhealthy.add(server)
        self.healthy_servers = [server for server in self.listed_servers if server not in self.unhealthy]
        self.clock.after(HEALTH_CHECK_INTERVAL, self.check_health)

    # ---- the script ------------------------------------------------------------------------------------

    def servers_of(self, target: str) -> list[AppServer]:
        """Return the app servers of the site `target`, or the app server of that name if it is no site."""
        return [self.servers_by_name[name] for name in self.sites.get(target, [target])]

    def perform_step(self, step: Step) -> None:
        """Perform a step of the script.

        Raises:
            ValueError: The action is unknown.
        """
        target, value = step.target, step.value
        match step.action:
            case "load":
                self.set_load(value)
                self.mark("load", f"{value:g}")
            case "surge":
                for router in self.routers.values():
                    router.surge_factors[target] = value
                self.mark("surge" if value > 1 else "surge over", target)
            case "lose":
                self.mark("lost", target)
                for server in self.servers_of(target):
                    self.kill(server)
            case "restore":
                self.mark("returns", target)
                for server in self.servers_of(target):
                    if not server.is_up:
                        self.clock.after(COLD_START_DELAY, self.restart_server, server)
            case "kill":
                self.kill(self.servers_by_name[target])
            case "start":
                self.restart_server(self.servers_by_name[target])
            case "pause":
                for server in self.servers_of(target):
                    server.pause()
            case "resume":
                for server in self.servers_of(target):
                    server.resume()
            case "drain":
                self.drain_server(self.servers_by_name[target])
            case "slow":
                for server in self.servers_of(target):
                    server.cores.slowdown = value
            case "shrink":
                self.shrink(value)
            case "below-down":
                self.downstream.go_down()
            case "below-up":
                self.downstream.recover()
            case "planners-gone" | "planners-back":
                if self.planners is not None:
                    self.planners.are_unreachable = step.action == "planners-gone"
            case "heed":
                for router in self.routers.values():
                    router.policy = replace(router.policy, advice_compliance=value)
            case "release":
                self.start_release()
            case action:
                raise ValueError(f"unknown action of a step: {action!r}")

    def restart_server(self, server: AppServer) -> None:
        """Start an app server cold, unless it runs."""
        if not server.is_up:
            self.start_server(server, cold=True)

    def drain_server(self, server: AppServer, on_drained: Callable[[], None] = lambda: None) -> None:
        """Drain an app server; one that is not up is left alone.

        Once it has answered all requests, `on_drained` is called and the app server ends.
        """
        if server.is_up:
            server.drain()
            self.await_drained(server, server.incarnation, on_drained)

    def await_drained(self, server: AppServer, incarnation: int, on_drained: Callable[[], None]) -> None:
        """Call `on_drained` and end a draining app server once it has no open requests."""
        if server.incarnation != incarnation:
            return
        if server.open_requests:
            self.clock.after(DRAIN_CHECK_INTERVAL, self.await_drained, server, incarnation, on_drained)
        else:
            on_drained()
            self.kill(server, announced=True)

    def shrink(self, remaining_share: float) -> None:
        """Drain app servers until a share of the fleet remains.

        The last app server of each site goes first, in turn, one every quarter of a second. The mark `shrunk`
        follows one second after the last of these intervals. The traffic does not change.
        """
        drained_count = int(round((1 - remaining_share) * len(self.servers)))
        drain_order = [
            self.servers_by_name[names[-1 - position]]
            for position in range(max(len(names) for names in self.sites.values()))
            for names in self.sites.values()
            if position < len(names)
        ][:drained_count]
        self.mark("shrinking")
        for index, server in enumerate(drain_order):
            self.clock.after(index * SECOND // 4, self.drain_server, server)
        self.clock.after(max(1, len(drain_order)) * SECOND // 4 + SECOND, self.mark, "shrunk")

    def start_release(self) -> None:
        """Start a rollout and mark its start, or note why it was refused."""
        refusal = "the fleet has no planners"
        if self.planners is not None:
            refusal = self.planners.start_rollout(self.planners.rollout_spec())
        if refusal:
            self.note("no release", why=refusal)
            return
        self.mark("release")
        self.watch_release()

    def watch_release(self) -> None:
        """Check at an interval whether the rollout is over, and mark its end."""
        assert self.planners is not None
        if self.planners.rollout_phase in ("running", "backing"):
            self.clock.after(SAMPLE_INTERVAL, self.watch_release)
        else:
            self.mark("released")

    # ---- results ---------------------------------------------------------------------------------------

    def requests_started(self, span: tuple[int, int]) -> list[ClientRequest]:
        """Return the requests that started within a span; its end is excluded."""
        first = bisect_left(self.requests, span[0], key=lambda request: request.started_at)
        last = bisect_left(self.requests, span[1], key=lambda request: request.started_at)
        return self.requests[first:last]

    def service(self, span: tuple[int, int]) -> float:
        """Return the share of requests that were served in time, weighted by the priority of their classes.

        A request was served in time if it was answered with success within the latency objective.

        Args:
            span: Start and end of the span in which the requests started.

        Returns:
            A fraction; 1 without requests.
        """
        requests = self.requests_started(span)
        total_weight = sum(request.request_class.priority_weight for request in requests)
        return (
            sum(request.request_class.priority_weight for request in requests if request.is_in_time)
            / total_weight
            if total_weight
            else 1.0
        )

    def mean_attempts(self, span: tuple[int, int]) -> float:
        """Return the mean number of attempts of the requests that started in a span; 1 without requests."""
        requests = self.requests_started(span)
        return sum(request.attempt_count for request in requests) / len(requests) if requests else 1.0
