"""The queue of admitted requests: which request fits, which one starts and which one is dropped.

Requests start in the order of their latency deadlines. If not all queued requests can be answered in time,
the one with the greatest `ShedOrder` is dropped. This module owns the queue; the controller starts and
rejects the requests that it selects.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from typing import NamedTuple

from .concurrency_limit import ConcurrencyLimit
from .deadlines import Deadlines
from .downstream import DownstreamCalls
from .health import HealthMonitor
from .memory_budget import MemoryBudget
from .plan_override import PlanState
from .quota import Quotas
from .service_time import ServiceTimes
from .types import Request, RequestState, SheddingTier, TurnGranted, WaitExpired, WakeUp
from .units import MS

SWEEP_INTERVAL = 4 * MS  # under overload a sweep costs as much as all other decisions together
SATURATED_WAIT = 300 * MS
STEADY_SLOWDOWN = 1.3  # below this slowdown run times count as usual
MIN_PRIORITY_WEIGHT = 1e-9


class QueueEntry(NamedTuple):
    """Sort key of the queue: the earliest latency deadline comes first."""

    latency_deadline: int
    sequence: int
    request: Request


class ShedOrder(NamedTuple):
    """Sort key: the request with the greatest key is dropped first."""

    plan_rank: int
    quota_usage: float  # service time per priority weight in the tier of evacuated callers
    is_retry: bool


class Estimators(NamedTuple):
    """The parts of the controller from which the queue estimates waits and service times."""

    times: ServiceTimes
    health: HealthMonitor
    limit: ConcurrencyLimit
    downstream: DownstreamCalls
    deadlines: Deadlines


class AdmissionQueue:
    """Admitted requests that have not started, ordered by latency deadline."""

    def __init__(self, estimators: Estimators, quotas: Quotas, plan: PlanState, memory: MemoryBudget) -> None:
        """Start with an empty queue."""
        self.times, self.health, self.limit, self.downstream, self.deadlines = estimators
        self.quotas = quotas
        self.plan = plan
        self.memory = memory
        self.entries: list[QueueEntry] = []
        self.is_changed = False  # since the last sweep
        self.next_sweep_at = 0
        self.is_saturated = False  # the cores are busy and requests wait long
        self.read_delay = 0  # time that the last request waited before it was read

    # ---- estimates -------------------------------------------------------------------------------------

    def expected_service_time(self, request: Request) -> float:
        """Return the time from a request's start to its answer at the current slowdown and call times.

        It uses the high quantile of run times: with the mean, many runs would be started and then stopped
        before they complete.
        """
        call_time = self.downstream.expected_time()
        run_time = self.times.high(request) * self.health.slowdown
        return run_time + self.times.mean_calls(request) * call_time

    def minimum_service_time(self, request: Request, ahead: int) -> float:
        """Return the time that a request must have left to be accepted behind `ahead` others.

        It is 0 if all cores are idle: the request is then always tried, because only new runs can correct
        wrong estimates. If a core is free and runs are not slowed down, it is the low quantile of run times,
        and otherwise the expected service time.
        """
        if ahead >= int(self.limit.limit):
            return self.expected_service_time(request)
        if not ahead:
            return 0.0
        if self.health.slowdown < STEADY_SLOWDOWN:
            return self.times.low(request)
        return self.expected_service_time(request)

    def fits(self, request: Request, delay: int, now: int) -> bool:
        """Return whether a new request can be answered in time once its quota delay is over."""
        if delay:
            needed = self.expected_service_time(request)
        else:
            needed = self.minimum_service_time(request, len(self.limit.running) + len(self.entries))
        return now + delay + needed < self.deadlines.useful_until(request)

    def shed_order(self, request: Request, now: int) -> ShedOrder:
        """Return the sort key for dropping: the plan's shedding order first, then quota usage."""
        usage = self.quotas.usage(request, now)
        if not self.plan.weight:
            return ShedOrder(0, usage, request.is_retry)
        is_evacuated = self.plan.is_evacuated(request)
        tiers = self.plan.plan.shedding_order
        for position, tier in enumerate(tiers):
            # Within a tier, requests of evacuated callers are dropped before those of local callers.
            rank = 2 * (len(tiers) - position) + is_evacuated
            if tier is SheddingTier.OVER_QUOTA and self.quotas.delay(request.quota_meter, now):
                return ShedOrder(rank, usage, request.is_retry)
            if tier is SheddingTier.RETRY and request.is_retry:
                return ShedOrder(rank, usage, True)
            if tier is SheddingTier.EVACUATED and is_evacuated:
                weight = max(MIN_PRIORITY_WEIGHT, request.request_class.priority_weight)
                return ShedOrder(rank, self.times.typical(request) / weight, request.is_retry)
        return ShedOrder(0, usage, request.is_retry)

    # ---- changes ---------------------------------------------------------------------------------------

    def enqueue(self, request: Request, delay: int, now: int) -> QueueEntry:
        """Queue a request that becomes eligible after `delay`; returns the entry to pass to `remove`."""
        request.state = RequestState.QUEUED
        request.eligible_at = now + delay
        self.is_changed = True
        entry = QueueEntry(request.latency_deadline, request.sequence, request)
        insort(self.entries, entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request from the queue."""
        self.entries.remove(entry)

    def measure(self, now: int) -> bool:
        """Update `is_saturated` and return it; time that a request waited to be read counts as waiting."""
        longest_wait = max((now - entry.request.eligible_at for entry in self.entries), default=0)
        self.is_saturated = self.limit.is_busy and max(longest_wait, self.read_delay) > SATURATED_WAIT
        return self.is_saturated

    def is_sweep_due(self, now: int) -> bool:
        """Return whether the queue has changed and the last sweep was at least `SWEEP_INTERVAL` ago."""
        return self.is_changed and self.next_sweep_at <= now

    def sweep(self, now: int) -> Iterator[WakeUp]:
        """Yield the queued requests to drop, because not all can be answered in time.

        Requests are checked in queue order. If one would start too late, the request with the greatest shed
        order among it and those ahead of it is dropped.
        """
        self.is_changed = False
        self.next_sweep_at = now + SWEEP_INTERVAL
        for request in self._requests_to_drop(now):
            yield WakeUp(request, WaitExpired())

    def _requests_to_drop(self, now: int) -> list[Request]:
        """Return the requests to drop; `wait` is the time until the next queued request would start."""
        wait = self.limit.core_wait(self.health.slowdown)
        running = len(self.limit.running)
        limit = self.limit.limit
        slowdown = self.health.slowdown
        remaining: list[Request] = []
        dropped: list[Request] = []
        for entry in self.entries:
            request = entry.request
            needed = self.minimum_service_time(request, running + len(remaining))
            useful_until = self.deadlines.useful_until(request)
            if now + needed >= useful_until:
                dropped.append(request)
                continue
            remaining.append(request)
            while now + wait + needed >= useful_until:
                victim = max(reversed(remaining), key=lambda candidate: self.shed_order(candidate, now))
                remaining.remove(victim)
                dropped.append(victim)
                if victim is request:
                    break
                wait -= self.times.remaining(victim, slowdown) / limit
            else:
                wait += self.times.remaining(request, slowdown) / limit
        return dropped

    def next_starts(self, now: int) -> Iterator[WakeUp]:
        """Yield the requests that may start, one at a time.

        A delayed request is eligible once its delay is over or the queue is no longer saturated.
        """
        while self.limit.may_start(now):
            request = self._first_eligible(now)
            if request is None or not self.memory.has_room_running(request):
                return
            yield WakeUp(request, TurnGranted())

    def _first_eligible(self, now: int) -> Request | None:
        """Return the first request whose delay is over, or simply the first while not saturated."""
        for entry in self.entries:
            if entry.request.eligible_at <= now or not self.is_saturated:
                return entry.request
        return None
