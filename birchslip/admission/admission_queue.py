"""The queue of admitted requests: which one fits, which one starts, and which one is dropped.

Requests start by latency deadline. Where the queue can't all be answered in time, the request with the
greatest `ShedOrder` is dropped. Owns the queue; it starts and rejects nothing itself.
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

SWEEP_INTERVAL = 4 * MS  # under pressure a sweep costs as much as all other decisions
SATURATED_WAIT = 300 * MS
STEADY_SLOWDOWN = 1.3  # up to which runs are taken to go as usual
SMALLEST_PRIORITY_WEIGHT = 1e-9


class QueueEntry(NamedTuple):
    """Sort key of the queue: the earliest latency deadline comes first."""

    latency_deadline: int
    sequence: int
    request: Request


class ShedOrder(NamedTuple):
    """Sort key: the request with the greatest key is dropped first."""

    plan_rank: int
    quota_usage: float  # or service time per priority weight, where the plan ranks evacuated callers
    is_retry: bool


class Estimators(NamedTuple):
    """What the queue reads of other parts of the app server."""

    times: ServiceTimes
    health: HealthMonitor
    limit: ConcurrencyLimit
    downstream: DownstreamCalls
    deadlines: Deadlines


class AdmissionQueue:
    """Admitted requests that do not run yet, ordered by latency deadline."""

    def __init__(self, estimators: Estimators, quotas: Quotas, plan: PlanState, memory: MemoryBudget) -> None:
        """Begin with an empty queue."""
        self.times, self.health, self.limit, self.downstream, self.deadlines = estimators
        self.quotas = quotas
        self.plan = plan
        self.memory = memory
        self.entries: list[QueueEntry] = []
        self.is_changed = False  # since the last sweep
        self.next_sweep_at = 0
        self.is_saturated = False  # the cores are busy and requests wait
        self.read_delay = 0  # how long the last request waited to be read

    # ---- estimates -------------------------------------------------------------------------------------

    def expected_service_time(self, request: Request) -> float:
        """Return the time from a request's start to its answer, as things go now.

        It goes by a high run time: with the mean one left, run after run is stopped half-way.
        """
        call_time = self.downstream.expected_time()
        run_time = self.times.high(request) * self.health.slowdown
        return run_time + self.times.mean_calls(request) * call_time

    def minimum_service_time(self, request: Request, ahead: int) -> float:
        """Return the time that must be left of a request for it to be tried behind `ahead` others.

        On empty cores it is 0, as nothing else would mend wrong figures; where a core is free it is a low
        run time, while the pace is usual; else the expected service time.
        """
        if ahead >= int(self.limit.limit):
            return self.expected_service_time(request)
        if not ahead:
            return 0.0
        if self.health.slowdown < STEADY_SLOWDOWN:
            return self.times.low(request)
        return self.expected_service_time(request)

    def fits(self, request: Request, delay: int, now: int) -> bool:
        """Return whether a new request can be answered in time after its delay."""
        if delay:
            needed = self.expected_service_time(request)
        else:
            needed = self.minimum_service_time(request, len(self.limit.running) + len(self.entries))
        return now + delay + needed < self.deadlines.useful_until(request)

    def shed_order(self, request: Request, now: int) -> ShedOrder:
        """Return the key by which requests are dropped: the plan's order, then usage of the quota."""
        usage = self.quotas.usage(request, now)
        if not self.plan.weight:
            return ShedOrder(0, usage, request.is_retry)
        is_evacuated = self.plan.is_evacuated(request)
        tiers = self.plan.plan.shedding_order
        for position, tier in enumerate(tiers):
            # Within a tier evacuated requests are dropped before local ones.
            rank = 2 * (len(tiers) - position) + is_evacuated
            if tier is SheddingTier.OVER_QUOTA and self.quotas.delay(request.quota_meter, now):
                return ShedOrder(rank, usage, request.is_retry)
            if tier is SheddingTier.RETRY and request.is_retry:
                return ShedOrder(rank, usage, True)
            if tier is SheddingTier.EVACUATED and is_evacuated:
                weight = max(SMALLEST_PRIORITY_WEIGHT, request.request_class.priority_weight)
                return ShedOrder(rank, self.times.typical(request) / weight, request.is_retry)
        return ShedOrder(0, usage, request.is_retry)

    # ---- changes ---------------------------------------------------------------------------------------

    def enqueue(self, request: Request, delay: int, now: int) -> QueueEntry:
        """Queue a request, not to start before its delay; returns the entry to `remove` with."""
        request.state = RequestState.QUEUED
        request.eligible_at = now + delay
        self.is_changed = True
        entry = QueueEntry(request.latency_deadline, request.sequence, request)
        insort(self.entries, entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Take a request out of the queue."""
        self.entries.remove(entry)

    def measure(self, now: int) -> bool:
        """Bring `is_saturated` up to date; returns it. What waited unread has waited as well."""
        longest_wait = max((now - entry.request.eligible_at for entry in self.entries), default=0)
        self.is_saturated = self.limit.is_busy and max(longest_wait, self.read_delay) > SATURATED_WAIT
        return self.is_saturated

    def is_sweep_due(self, now: int) -> bool:
        """Return whether the queue has changed and was not swept just now."""
        return self.is_changed and self.next_sweep_at <= now

    def sweep(self, now: int) -> Iterator[WakeUp]:
        """Yield what can't be answered in time any more.

        Where the queue, run in its order, would leave a request behind, the one of the greatest shed order
        among those up to it is dropped.
        """
        self.is_changed = False
        self.next_sweep_at = now + SWEEP_INTERVAL
        for request in self._requests_to_drop(now):
            yield WakeUp(request, WaitExpired())

    def _requests_to_drop(self, now: int) -> list[Request]:
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
        """Yield the requests that may start, one at a time: those under a delay once it is over or void."""
        while self.limit.may_start(now):
            request = self._first_eligible(now)
            if request is None or not self.memory.has_room_running(request):
                return
            yield WakeUp(request, TurnGranted())

    def _first_eligible(self, now: int) -> Request | None:
        for entry in self.entries:
            if entry.request.eligible_at <= now or not self.is_saturated:
                return entry.request
        return None
