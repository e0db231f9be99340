"""An app server's link to its planners: reports to all of them and applies the leader's plan.

`plan_subscription.py` decides which replies are binding; this module carries them out. No request of a caller
ever waits for a planner: a slow, silent or faulty planner affects only the task that reports to it.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from ..admission.driver import AdmissionDriver
from ..admission.types import AdmissionSettings, Tenant
from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.program import read_memory_kb
from ..net.request_context import RequestContext
from ..net.scheduler import Scheduler
from ..net.site import parse_address
from .fleet_file import Fleet, Site, span
from .member_metrics import estimate_capacity
from .member_prober import MAX_RESULTS, MemberProber
from .messages import Incarnation, MemberReport, ReportReply, decode, encode
from .monotonic_clock import monotonic_now
from .peer_channel import PlannerMethod
from .plan_subscription import PlanSubscription, plan_override
from .request_recorder import SAMPLE_INTERVAL, RequestRecorder
from .transport import PeerConnection, RequestRefusedError

# All spans are in units of 0.1 ms.
MIN_RETRY_DELAY = 1_000  # after a failed report; doubled for each further failure
MAX_RETRY_DELAY = 20_000
MIN_REPORT_DELAY = 100  # between a reply and the next report
REPLY_TIMEOUT = 5_000
MEMORY_INTERVAL = 10_000
NONCE_BYTES = 6


class ControllerLoad(NamedTuple):
    """The fields of a report that come from the admission controller; see `MemberReport`."""

    uptime: int
    is_warm: bool
    capacity: float
    slowdown: float
    calls_in_flight: float


NO_LOAD = ControllerLoad(uptime=0, is_warm=False, capacity=0.0, slowdown=1.0, calls_in_flight=0.0)


class MemorySampler:
    """Reads the process's resident memory at most once per `MEMORY_INTERVAL`."""

    def __init__(self) -> None:
        """Create a sampler whose first reading is due."""
        self.last_kb = 0
        self.due_at = 0

    def resident_kb(self, now: int) -> int:
        """Return the resident memory in KB, and read it again if that is due."""
        if now >= self.due_at:
            self.last_kb = read_memory_kb()
            self.due_at = now + MEMORY_INTERVAL
        return self.last_kb


class MemberStatus:
    """Status of the app server, part of each report.

    Attributes:
        address: HOST:PORT where routers find the app server.
        is_serving: Whether the app server accepts requests.
        is_draining: Whether the app server is stopping.
    """

    def __init__(self) -> None:
        """Create the status of an app server that is not yet serving."""
        self.address = ""
        self.is_serving = False
        self.is_draining = False


def site_of_member(fleet: Fleet, name: str) -> Site:
    """Return the site of a member.

    Raises:
        InvalidInputError: If the fleet has no such member.
    """
    site = fleet.site_of(name)
    if site is None:
        raise InvalidInputError(f"sites: no member is named {name!r}")
    return site


class PlannerLink:
    """The link of one app server to all planners of its fleet.

    Attributes:
        status: Set by the app server.
        driver: The admission controller's driver, once it runs; set by the app server.
        on_listing_changed: Called when the member is to be listed or unlisted; set by the app server.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        fleet: Fleet,
        name: str,
        settings: AdmissionSettings,
        tenants: list[str],
        request_classes: list[str],
    ) -> None:
        """Create the link without connecting.

        `tenants` and `request_classes` are names in the order of `settings`.

        Raises:
            InvalidInputError: If the fleet has no such member.
        """
        site = site_of_member(fleet, name)
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.fleet = fleet
        self.name = name
        self.site = site.name
        self.settings = settings
        self.tenants: dict[str, Tenant] = dict(zip(tenants, settings.tenants, strict=True))
        self.recorder = RequestRecorder(
            scheduler, counters, self.tenants, request_classes, frozenset(site.routers)
        )
        self.incarnation = Incarnation(nonce=int.from_bytes(os.urandom(NONCE_BYTES)))
        self.rng = random.Random(self.incarnation.nonce)
        self.subscription = self.make_subscription()
        self.prober = MemberProber(scheduler, counters)
        self.status = MemberStatus()
        self.driver: AdmissionDriver | None = None
        self.on_listing_changed: Callable[[], None] = lambda: None
        self.sequence = 0
        self.memory = MemorySampler()
        self.allowed_calls = -1.0  # the controller has no quota from this link yet
        self.is_listed = False

    def make_subscription(self) -> PlanSubscription:
        """Create the subscription with the number of downstream calls that need no lease."""
        vault = self.fleet.vault
        unleased_calls = vault.unleased_fraction * self.fleet.base_calls()[self.name] if vault else 0.0
        return PlanSubscription(unleased_calls, span(self.fleet.patience_ms), monotonic_now())

    def start(self) -> None:
        """Start a task for each planner, in random order, and the sampling of rates."""
        planners = list(self.fleet.planners)
        self.rng.shuffle(planners)
        for planner in planners:
            connection = PeerConnection(self.scheduler, parse_address(planner.address, "address"))
            task = partial(self.report_forever, planner.name, connection)
            self.scheduler.spawn(f"planner {planner.name}", task)
        self.log.info("joined_fleet", site=self.site, planners=len(planners), mark=self.incarnation.nonce)
        self.scheduler.at(self.scheduler.now + SAMPLE_INTERVAL, self.recorder.sample)

    # ---- calls of the app server -----------------------------------------------------------------------

    def record_arrival(self, context: RequestContext) -> None:
        """Count a request that has been read."""
        self.recorder.record_arrival(context)

    def record_answer(self, context: RequestContext, outcome: str) -> None:
        """Count a request that has been answered."""
        self.recorder.record_answer(context, outcome)

    def apply_lease(self) -> None:
        """Set the controller's downstream quota to the calls that are allowed at this moment.

        Called before each batch of decisions, so that a lease that expired during a pause of this process or
        of the machine is not used for any later downstream call.
        """
        if self.driver is None or self.fleet.vault is None:
            return
        allowed_calls = self.subscription.allowed_calls(monotonic_now())
        if allowed_calls == self.allowed_calls:
            return
        if allowed_calls < self.allowed_calls and allowed_calls == self.subscription.unleased_calls:
            self.counters.count("fleet.leases_lapsed")
            self.log.info("downstream_lease_expired", kept=allowed_calls)
        self.allowed_calls = allowed_calls
        self.driver.set_downstream_quota(allowed_calls)

    def update_listing(self) -> bool:
        """Return whether routers may find this app server, and log it if that has changed."""
        is_listed = self.subscription.is_listed(monotonic_now())
        if is_listed != self.is_listed:
            self.is_listed = is_listed
            event = "member_listed" if is_listed else "member_unlisted"
            self.log.info(event, epoch=self.subscription.term)
        return is_listed

    # ---- reports to planners ---------------------------------------------------------------------------

    def report_forever(self, planner: str, connection: PeerConnection) -> None:
        """Report to one planner at intervals. Runs as a task that never ends."""
        retry_delay = MIN_RETRY_DELAY
        while True:
            started_at = self.scheduler.update_clock()
            pause = span(self.fleet.report_ms)
            try:
                self.send_report(connection)
                retry_delay = MIN_RETRY_DELAY
                self.counters.count("fleet.reports")
                pause = self.subscription.report_interval or pause
            except RequestRefusedError as error:
                self.counters.count("fleet.refused")
                self.log.fault("report_refused", planner=planner, why=str(error))
            except (OSError, InvalidInputError) as error:
                self.counters.count("fleet.missed")
                self.log.fault("planner_unreachable", planner=planner, why=str(error))
                connection.close()
                pause = retry_delay + self.rng.randrange(retry_delay)
                retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY)
            except Exception as error:
                # No reply of a planner may end this task, whatever exception it causes.
                self.counters.count("fleet.faults")
                self.log.trace("planner_link_failed", error, planner=planner)
                connection.close()
                pause = MAX_RETRY_DELAY
            self.scheduler.sleep(max(started_at + pause, self.scheduler.now + MIN_REPORT_DELAY))

    def send_report(self, connection: PeerConnection) -> None:
        """Send one report and apply the reply if it is binding.

        Raises:
            RequestRefusedError: If the planner refuses the report.
            OSError: If there is no reply in time.
            InvalidInputError: If the reply is malformed.
        """
        sent = monotonic_now()
        report = encode(self.build_report(sent))
        raw = connection.call(PlannerMethod.REPORT.value, report, self.scheduler.now + REPLY_TIMEOUT)
        reply = decode(raw, ReportReply)
        now = monotonic_now()
        rejected_before = self.subscription.rejected_replies
        if self.subscription.accept(reply, sent, now):
            self.apply_reply(reply, now)
        elif self.subscription.rejected_replies > rejected_before:
            self.counters.count("fleet.outdated")
            self.log.fault("outdated_leader", epoch=reply.term, obeyed=self.subscription.term)

    def build_report(self, now: int) -> MemberReport:
        """Build the next report; `now` is a time of the monotonic clock."""
        self.sequence += 1
        scheduler_now = self.scheduler.now
        rates = self.recorder.rates.snapshot(scheduler_now)
        controller_load = self.controller_load(rates.served)
        outcomes = self.recorder.outcome_counts
        return MemberReport(
            name=self.name,
            site=self.site,
            incarnation=self.incarnation,
            sequence=self.sequence,
            address=self.status.address,
            uptime=controller_load.uptime,
            is_serving=self.status.is_serving,
            is_draining=self.status.is_draining,
            is_warm=controller_load.is_warm,
            capacity=controller_load.capacity,
            slowdown=controller_load.slowdown,
            local_load=rates.load,
            evacuated_load=rates.evacuated_load,
            retries=rates.retries,
            served=rates.served,
            rejected=rates.rejected,
            calls_in_flight=controller_load.calls_in_flight,
            call_limit=max(0.0, self.subscription.allowed_calls(now)),
            lease_remaining=self.subscription.lease_remaining(now),
            plan_term=self.subscription.term,
            plan_number=self.subscription.plan_number,
            probes=self.prober.results(),
            metrics=outcomes.totals(self.counters.counts),
            latency_histograms={name: list(counts) for name, counts in outcomes.durations.items()},
            resident_memory_kb=self.memory.resident_kb(scheduler_now),
        )

    def controller_load(self, served: float) -> ControllerLoad:
        """Return the load of the admission controller, given the served requests per second."""
        if self.driver is None:
            return NO_LOAD
        metrics = self.driver.metrics()
        uptime = max(0, self.scheduler.now - metrics.started_at)
        return ControllerLoad(
            uptime=uptime,
            is_warm=not metrics.starts_cold or uptime >= self.settings.warm_up_span,
            capacity=estimate_capacity(self.settings.cores, metrics.mean_service_time, served),
            slowdown=max(0.0, metrics.slowdown),
            calls_in_flight=float(metrics.calls_in_flight),
        )

    def apply_reply(self, reply: ReportReply, now: int) -> None:
        """Apply a binding reply: start probes and update the listing and the plan."""
        for member, member_address in list(reply.probe_addresses.items())[:MAX_RESULTS]:
            self.prober.start(member, member_address)
        if self.is_listed != self.subscription.is_listed(now):
            self.on_listing_changed()
        assignment = reply.assignment
        if assignment is None or self.driver is None or assignment is not self.subscription.assignment:
            return
        expires_at = self.scheduler.now + self.subscription.assignment_remaining(now)
        if self.driver.apply_plan(plan_override(assignment, self.tenants, expires_at)):
            self.counters.count("fleet.plans")
