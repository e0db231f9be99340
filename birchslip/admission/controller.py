"""The life cycle of each request, and the order in which one app server makes its decisions.

`driver.py` creates one `AdmissionController` for each app server. It resumes the generator that `steps`
returns for each request with the events of that request, and after each batch the requests that `settle`
yields. Controllers share no state, and the same events lead to the same decisions. A controller does no I/O
and reads no clock: the driver sets the time.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator
from math import ceil
from typing import NamedTuple

from .admission_queue import AdmissionQueue, Estimators
from .concurrency_limit import ConcurrencyLimit
from .criticality import CriticalityLevel
from .deadlines import TIMER_INTERVAL, Deadlines
from .downstream import DownstreamCalls
from .health import HealthMonitor
from .idle_connections import IdleConnections
from .log_events import DrainStarted, HealthChanged, LogEvent, PlanApplied, PlanExpired, QuotasBind
from .memory_budget import KeyCapacity, MemoryBudget
from .plan_override import PlanState
from .quota import Quotas
from .quota_meter import WINDOW_SPAN
from .rejection import Rejections
from .rejection_stats import RejectionStats
from .service_time import ServiceTimes
from .types import (
    Action,
    AdmissionSettings,
    AdvertiseCriticality,
    AttachToOriginal,
    CallDownstream,
    CallEnded,
    CallerGone,
    CallNeeded,
    Event,
    Fail,
    Gauges,
    Idempotency,
    Outcome,
    PlanOverride,
    Preemption,
    ReleaseKey,
    Request,
    RequestState,
    RunEnded,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
    TurnGranted,
    Wait,
    WaitExpired,
    WakeUp,
)

Steps = Generator[Action, Event, None]


class ControllerMetrics(NamedTuple):
    """Read-only figures of a controller, for the program around it and for the fleet."""

    started_at: int
    starts_cold: bool
    mean_service_time: float  # 0 while unknown
    slowdown: float  # run time relative to the usual run time
    is_healthy: bool
    calls_in_flight: int
    plan_weight: float  # 0 without a plan in force


class AdmissionController:
    """Makes all admission decisions of one app server."""

    def __init__(self, settings: AdmissionSettings, now: int) -> None:
        """Start without requests, healthy, and with the timer set."""
        self.settings = settings
        self.now = now
        self.started_at = now
        self.saturation_logged_at = now
        self.sequence = 0
        self.server_actions: list[ServerAction] = [SetHealth(True), SetTimer(now + TIMER_INTERVAL)]
        self.times = ServiceTimes(settings.request_classes)
        self.health = HealthMonitor(settings.cores, self.times)
        self.plan = PlanState(now)
        self.deadlines = Deadlines()
        self.limit = ConcurrencyLimit(settings, self.times, self.plan, now)
        self.downstream = DownstreamCalls(settings, self.times, self.health, self.limit, self.deadlines, now)
        self.quotas = Quotas(settings, self.limit, self.plan, now)
        self.memory = MemoryBudget(settings, self.quotas)
        estimators = Estimators(self.times, self.health, self.limit, self.downstream, self.deadlines)
        self.queue = AdmissionQueue(estimators, self.quotas, self.plan, self.memory)
        self.rejection_stats = RejectionStats()
        self.idle_connections = IdleConnections(settings, self.limit, self.rejection_stats, now)
        self.rejections = Rejections(
            settings, self.rejection_stats, self.queue, self.idle_connections, self.quotas, self.plan
        )
        self.criticality = CriticalityLevel(settings)

    # ---- the steps of a request ------------------------------------------------------------------------

    def steps(self, request: Request) -> Steps:
        """Yield the actions for a request, from its arrival to its final answer."""
        self._receive(request)
        original = request.original
        if original is not None and (original.has_started or original.state is not RequestState.COMPLETED):
            yield from self._attach(request)
            return
        delay = yield from self._admit(request)
        if delay is None:
            return
        is_granted = yield from self._wait_in_queue(request, delay)
        if is_granted:
            yield from self._run(request)

    def _receive(self, request: Request) -> None:
        """Assign a request its number and its latency deadline.

        The age of a retry is unknown: the mean age of the recently rejected requests stands in for it.
        """
        self.sequence += 1
        request.sequence = self.sequence
        self.queue.read_delay = self.now - request.arrived_at
        age = int(self.rejection_stats.mean_age(self.now)) if request.is_retry else 0
        due_at = request.arrived_at + request.request_class.latency_objective - age
        request.latency_deadline = min(request.deadline, due_at)

    def _attach(self, request: Request) -> Steps:
        """Answer a repeat with the outcome of its original, which is queued, running or has run.

        The effect of the request thus happens only once.
        """
        if not self.memory.has_room_attached(request):
            yield Fail()
            return
        self.memory.charge(request, request.size)
        request.state = RequestState.ATTACHED
        self.deadlines.watch(request)
        event = yield AttachToOriginal()
        self._end(request)
        if isinstance(event, WaitExpired):
            yield Fail()

    def _end(self, request: Request) -> None:
        """Release what a request that is over has held."""
        request.state = RequestState.COMPLETED
        self.memory.charge(request, 0)
        self.deadlines.unwatch(request)

    def _admit(self, request: Request) -> Generator[Action, Event, int | None]:
        """Reject a request, or return the delay after which it may start."""
        is_late = request.arrived_at > self.deadlines.admits_until
        if is_late or not self.memory.has_room(request):
            yield self.rejections.reject(request, self.now)
            return None
        self.idle_connections.request_intervals.add(request.caller, self.now)
        delay = self.quotas.count(request, self.now, self.queue.is_saturated)
        if not self.memory.may_store_result(request, self.now):
            self.quotas.uncount(request, self.now)
            yield self.rejections.reject(request, self.now, self.memory.key_capacity.retry_delay)
            return None
        if not self.queue.fits(request, delay, self.now):
            self.quotas.uncount(request, self.now)
            yield self.rejections.reject(request, self.now, self._delay_of_caller(request, delay))
            return None
        return delay

    def _delay_of_caller(self, request: Request, delay: int) -> int:
        """Return the part of a quota delay that belongs in the caller's Retry-After.

        It is 0 if the delay comes from a tenant's quota, which the caller shares with others. All evacuated
        callers share one quota as well, but are asked to wait for its delay.
        """
        meter = request.quota_meter
        is_tenant_quota = meter.configured_quota and meter is not self.quotas.evacuated
        return 0 if is_tenant_quota else delay

    def _wait_in_queue(self, request: Request, delay: int) -> Generator[Action, Event, bool]:
        """Queue a request until its turn; returns whether it may start.

        If it may not, it has been rejected or its caller has disconnected.
        """
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        entry = self.queue.enqueue(request, delay, self.now)
        self.memory.charge(request, request.size)
        self.deadlines.watch(request)
        if is_keyed:
            self.memory.store_key(request, self.now)
            yield StoreKey(request.request_class.key_retention)
        event = yield Wait()
        self.queue.remove(entry)
        if isinstance(event, TurnGranted):
            return True
        self.quotas.uncount(request, self.now)
        self._end(request)
        if is_keyed:
            self.memory.release_key(request)
            yield ReleaseKey()
        if isinstance(event, WaitExpired):
            yield self.rejections.reject(request, self.now)
        return False

    def _run(self, request: Request) -> Steps:
        """Run a request to its end, including its calls downstream."""
        request.has_started = True
        self.limit.started_count += 1
        self.memory.charge_running(request)
        self.limit.occupy_core(request, self.now)
        event = yield StartRun()
        while not isinstance(event, RunEnded):
            if isinstance(event, CallNeeded):
                event = yield from self._call_downstream(request)
            else:
                event = yield from self._handle_expiry_or_disconnect(request, event)
        self.limit.release_core(request, self.now)
        self.limit.started_count -= 1
        self._end(request)
        if event.frees_key:
            self.memory.release_key(request)
        self._record_run(request, event)

    def _call_downstream(self, request: Request) -> Generator[Action, Event, Event]:
        """Make one call downstream for a run, or skip it; returns the event that the run continues with."""
        self.limit.release_core(request, self.now)
        entry = self.downstream.enqueue(request)
        event = yield Wait()
        self.downstream.remove(entry)
        if isinstance(event, TurnGranted):
            event = yield CallDownstream(self.downstream.begin_call(request, self.now))
            while isinstance(event, WaitExpired | CallerGone):
                event = yield from self._handle_expiry_or_disconnect(request, event)
            self.downstream.end_call(request, event, self.now)
        if isinstance(event, CallEnded):
            if event.outcome is Outcome.SERVED:
                self.limit.occupy_core(request, self.now)
                return (yield Wait())
            if self.downstream.may_retry(request, event.outcome, self.now):
                return CallNeeded()
        elif not isinstance(event, WaitExpired):
            return event
        if self.downstream.may_skip(request, self.now):
            self.limit.occupy_core(request, self.now)
            return (yield SkipCall())
        return (yield from self._handle_expiry_or_disconnect(request, WaitExpired()))

    def _handle_expiry_or_disconnect(self, request: Request, event: Event) -> Generator[Action, Event, Event]:
        """Fail a started request whose time is over, and stop its run if that frees a core.

        Nothing is sent to a caller that has disconnected. Returns the next event of the request.
        """
        if isinstance(event, WaitExpired) and not request.is_answered:
            request.is_answered = True
            yield Fail()
        elif isinstance(event, CallerGone):
            request.is_answered = True
        # A keyed run goes on: a repeat needs its outcome, and a stopped run must not be started again.
        if request.is_answered and request.state is RequestState.RUNNING and self._may_stop(request):
            yield StopRun()
        return (yield Wait())

    def _may_stop(self, request: Request) -> bool:
        """Return whether the run of a request may be stopped: it is idempotent, and preemption is on."""
        is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        return is_idempotent and self.settings.preemption is not Preemption.OFF

    def _record_run(self, request: Request, ended: RunEnded) -> None:
        """Record the core time of an ended run, without its calls downstream.

        A run that was stopped or lost counts as completed only for the core time that it used,
        and for no more than the typical one.
        """
        typical = self.times.typical(request)
        if ended.outcome not in (Outcome.SERVED, Outcome.FAILED):
            self.health.record_completed(min(request.core_time_used, ceil(typical)))
            return
        self.times.add(request, self.now)
        self.health.record_completed(ceil(typical) or request.core_time_used)
        if ended.outcome is Outcome.SERVED and not request.is_answered:
            self.quotas.record_served(request, self.now)

    # ---- the app server --------------------------------------------------------------------------------

    def advance_clock(self, now: int) -> None:
        """Set the current time, which must not go back."""
        self.health.advance(now - self.now, len(self.limit.running))
        self.now = now

    def tick(self, gauges: Gauges) -> None:
        """Update all measurements, then the limit, the health, the idle timeout and the criticality level."""
        now = self.now
        self.queue.is_changed = True
        self.server_actions.append(SetTimer(now + TIMER_INTERVAL))
        self.quotas.drop_idle_callers(now)
        self.idle_connections.request_intervals.drop_idle_callers(now)
        self.memory.expire_keys(now)
        self.health.measure(self.limit.running, now)
        self.downstream.measure(now)
        self.limit.observe(gauges)
        if self.queue.measure(now):
            self._log_saturation()
        if self.plan.weight:
            self._fade_plan()
        self.limit.adjust(now, bool(self.queue.entries), self.health.is_healthy)
        self._update_health()
        self.choose_idle_timeout()
        self._adjust_criticality()

    def _log_saturation(self) -> None:
        """Log that quotas bind because the queue is saturated, at most once per quota window."""
        if self.now - self.saturation_logged_at >= WINDOW_SPAN:
            self.saturation_logged_at = self.now
            self._log(QuotasBind(len(self.queue.entries), len(self.limit.running)))

    def _fade_plan(self) -> None:
        if self.plan.fade(self.now):
            self._log(PlanExpired(self.plan.plan.term, self.plan.plan.number))

    def _update_health(self) -> None:
        if self.health.update(self.deadlines.is_draining):
            self.server_actions.append(SetHealth(self.health.is_healthy))
            self._log(HealthChanged(self.health.is_healthy, self.health.stall_ratio))

    def choose_idle_timeout(self) -> None:
        """Choose the idle timeout, and set it on the app server if it has changed."""
        self.rejection_stats.measure(self.now, self.quotas.served_count.total(self.now))
        timeout = self.idle_connections.choose(self.now, self.queue.read_delay)
        if timeout is not None:
            self.server_actions.append(SetIdleTimeout(timeout))

    def _adjust_criticality(self) -> None:
        rejected = self.rejection_stats.count.total(self.now)
        served = self.quotas.served_count.total(self.now)
        level = self.criticality.adjust(bool(self.queue.entries), rejected, served)
        if level is not None:
            self.server_actions.append(AdvertiseCriticality(level))

    def drain(self, ends_at: int) -> None:
        """Start a drain: new requests are admitted only during the grace period.

        Health turns bad at once, and all requests are answered before the process ends at `ends_at`.
        """
        self.deadlines.begin_drain(self.now, self.settings.drain_grace, ends_at)
        self._log(DrainStarted())
        self._update_health()

    def apply_plan(self, plan: PlanOverride) -> bool:
        """Apply or renew a plan; returns False for an outdated plan, which is ignored."""
        if not self.plan.is_superseded_by(plan):
            return False
        is_changed = self.plan.is_changed_by(plan)
        self.quotas.adopt_plan(plan, self.now, self.plan.adds_evacuated_callers(plan))
        self.plan.activate(plan)
        self._fade_plan()
        if is_changed:
            callers = tuple(sorted(plan.evacuated_callers))
            fraction = plan.serving_fraction
            is_short = plan.is_capacity_short
            self._log(PlanApplied(plan.term, plan.number, fraction, callers, is_short))
        return True

    def limit_new_keys(self, capacity: KeyCapacity) -> None:
        """Limit the keyed requests that may still start to the room in the result store."""
        self.memory.key_capacity = capacity

    def set_downstream_quota(self, calls: float) -> None:
        """Set how many calls downstream may be in flight at once."""
        self.downstream.quota = calls

    def metrics(self) -> ControllerMetrics:
        """Return the controller's current figures."""
        return ControllerMetrics(
            started_at=self.started_at,
            starts_cold=self.settings.starts_cold,
            mean_service_time=self.times.overall.mean,
            slowdown=self.health.slowdown,
            is_healthy=self.health.is_healthy,
            calls_in_flight=self.downstream.in_flight,
            plan_weight=self.plan.weight,
        )

    def settle(self) -> Iterator[WakeUp]:
        """Yield the requests to resume after a batch.

        Overdue requests come first, then those that are dropped from the queue, then calls, then starts.
        """
        now = self.now
        yield from self._overdue()
        is_sweep_due = self.queue.is_sweep_due(now)
        if is_sweep_due:
            yield from self.queue.sweep(now)
        if self.downstream.waiting and (is_sweep_due or self.downstream.next_call_at <= now):
            yield from self.downstream.next_calls(now)
        if self.queue.entries:
            yield from self.queue.next_starts(now)

    def _overdue(self) -> Iterator[WakeUp]:
        """Yield the requests that must be answered now and the late runs that may be stopped."""
        for request in self.deadlines.overdue(self.now):
            yield WakeUp(request, WaitExpired())
        if not self.queue.entries or self.settings.preemption is Preemption.OFF:
            return
        # An answer past its latency deadline has no value: stop the run while others wait for a core.
        late_runs = [
            request
            for request in self.limit.running
            if self.now >= request.latency_deadline and not request.request_class.late_weight
        ]
        for request in late_runs:
            if not request.is_answered and self._may_stop(request):
                yield WakeUp(request, WaitExpired())

    def _log(self, event: LogEvent) -> None:
        self.server_actions.append(event)
