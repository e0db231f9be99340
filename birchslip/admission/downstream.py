"""Pacing, limits and retries of calls to the downstream service.

This module owns the queue of requests that wait for a call, the count of calls in flight and the measured
call times. An abandoned call counts against the limit of calls in flight until its linger time is over.
"""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Iterator
from math import ceil
from typing import NamedTuple

from .concurrency_limit import OVERLOAD_THRESHOLD_SHARE, ConcurrencyLimit
from .deadlines import TIMER_INTERVAL, Deadlines
from .health import HealthMonitor
from .service_time import ServiceTimes
from .types import (
    NEVER_RAN_OUTCOMES,
    AdmissionSettings,
    CallEnded,
    Downstream,
    Event,
    Idempotency,
    Outcome,
    Request,
    RequestState,
    TurnGranted,
    WaitExpired,
    WakeUp,
)
from .units import MS
from .windows import QuantileWindow, WindowedCounter

CALL_WINDOW_COUNT = 10
CALL_WINDOW = 200 * MS
MIN_QUOTA = 0.01
MIN_QUOTA_SHARE = 0.33  # kept however slow calls are, by themselves or because of their number
CALL_TIMES_TO_FIT = 2.0  # recent call times that must fit for a skippable call, as call times vary
REJECTED_CALL_TIMES = 2  # minimum duration recorded for a failed call, in recent call times
MIN_TIMEOUT = 1 * MS


class CallEntry(NamedTuple):
    """Sort key of waiting calls: calls that can't be skipped come first, then by latency deadline."""

    is_skippable: bool
    latency_deadline: int
    sequence: int
    request: Request


class DownstreamCalls:
    """Calls of all requests to the downstream service."""

    def __init__(
        self,
        settings: AdmissionSettings,
        times: ServiceTimes,
        health: HealthMonitor,
        limit: ConcurrencyLimit,
        deadlines: Deadlines,
        now: int,
    ) -> None:
        """Start without calls."""
        self.settings = settings
        self.times = times
        self.health = health
        self.limit = limit
        self.deadlines = deadlines
        self.quota = settings.downstream_quota
        self.is_shared = settings.downstream is Downstream.SHARED
        self.waiting: list[CallEntry] = []
        self.lingering: list[int] = []
        self.in_flight = 0
        self.next_call_at = now
        self.call_times = QuantileWindow()
        self.recent_sum = WindowedCounter(CALL_WINDOW_COUNT, CALL_WINDOW)
        self.recent_count = WindowedCounter(CALL_WINDOW_COUNT, CALL_WINDOW)
        self.recent_time = 0.0
        self.expected_limit = 1.0  # result of `concurrency` at the last timer

    def enqueue(self, request: Request) -> CallEntry:
        """Queue a request for its call; returns the entry to pass to `remove`."""
        request.state = RequestState.WAITING_FOR_CALL
        is_skippable = request.request_class.weight_without_call > 0
        entry = CallEntry(is_skippable, request.latency_deadline, request.sequence, request)
        insort(self.waiting, entry)
        return entry

    def remove(self, entry: CallEntry) -> None:
        """Remove a request from the queue."""
        self.waiting.remove(entry)

    def begin_call(self, request: Request, now: int) -> int:
        """Count a call as in flight; returns its timeout."""
        request.state = RequestState.CALLING
        self.in_flight += 1
        timeout = self._timeout(request, now)
        request.call_started_at = now
        request.downstream_calls += 1
        return timeout

    def end_call(self, request: Request, event: Event, now: int) -> None:
        """Record the end of a call; a call that was not served counts as a slow one."""
        self.in_flight -= 1
        duration = now - request.call_started_at
        if not isinstance(event, CallEnded) or event.outcome is Outcome.TIMED_OUT:
            linger = self.settings.abandoned_call_linger
            heapq.heappush(self.lingering, now + linger)
            duration += linger
        elif event.outcome is not Outcome.SERVED:
            # A rejected or lost call indicates a failing or overloaded service, however quickly it ended.
            duration = max(duration, ceil(REJECTED_CALL_TIMES * self.recent_time))
        self.call_times.add(now, duration)
        self.recent_sum.add(now, duration)
        self.recent_count.add(now, 1)
        limit = self.concurrency(now)
        if limit < 1:
            self.next_call_at = max(self.next_call_at, request.call_started_at + ceil(duration / limit))

    def measure(self, now: int) -> None:
        """Update the recent call time and the expected limit."""
        ended = self.recent_count.total(now)
        self.recent_time = self.recent_sum.total(now) / ended if ended else self.call_times.mean
        self.expected_limit = self.concurrency(now)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight: the quota, reduced as calls take longer than usual."""
        if self.is_shared:
            base_limit = max(MIN_QUOTA, self.quota)
        else:
            base_limit = OVERLOAD_THRESHOLD_SHARE * self.limit.overload_threshold(now)
        usual_time = self.call_times.low
        if not self.recent_time or not usual_time:
            return base_limit
        return max(
            min(1.0, base_limit),
            base_limit * MIN_QUOTA_SHARE,
            base_limit * min(1.0, usual_time / self.recent_time),
        )

    def expected_time(self) -> float:
        """Return the expected time of a call, including the wait for its turn."""
        return self.recent_time * (1 + len(self.waiting) / self.expected_limit)

    def next_calls(self, now: int) -> Iterator[WakeUp]:
        """Yield the requests that may call, paced by the recent call time, and those whose wait expires.

        A wait expires if a skippable call can't be completed in time: the run then continues without it, and
        its answer keeps a part of its value. It also expires if the latency deadline has passed and a late
        answer has no value.
        """
        while self.lingering and self.lingering[0] <= now:
            heapq.heappop(self.lingering)
        limit = self.concurrency(now)
        interval = self.recent_time / limit
        for position, entry in enumerate(list(self.waiting)):
            request = entry.request
            if self._is_wait_useless(request, position * interval, now):
                yield WakeUp(request, WaitExpired())
            elif self.in_flight + len(self.lingering) + 1 <= max(1.0, limit) and self.next_call_at <= now:
                self.next_call_at = max(self.next_call_at, now - TIMER_INTERVAL) + ceil(interval)
                yield WakeUp(request, TurnGranted())

    def _is_wait_useless(self, request: Request, wait: float, now: int) -> bool:
        """Return whether a request should not wait for its call any longer."""
        request_class = request.request_class
        if request_class.weight_without_call and self.recent_time:
            remaining = self.times.remaining(request, self.health.slowdown)
            answer_at = now + wait + CALL_TIMES_TO_FIT * self.recent_time + remaining
            if answer_at >= self.deadlines.useful_until(request):
                return True
        return now >= request.latency_deadline and not request_class.late_weight

    def _timeout(self, request: Request, now: int) -> int:
        """Return the timeout of a call; a skippable call must leave time to finish the run without it."""
        time_left = request.deadline - now - TIMER_INTERVAL
        if request.request_class.weight_without_call:
            remaining = self.times.remaining(request, self.health.slowdown)
            time_left = min(time_left, self.deadlines.useful_until(request) - now - ceil(remaining))
        if self.is_shared and self.quota < 1:
            # With a quota below one call, a single call must not use up the whole quota window.
            allowed = ceil(self.quota * self.settings.downstream_quota_window)
            time_left = min(time_left, allowed - self.settings.abandoned_call_linger)
        return max(MIN_TIMEOUT, time_left)

    def may_retry(self, request: Request, outcome: Outcome, now: int) -> bool:
        """Return whether a call may be retried: it never ran, or was lost and the request is idempotent."""
        is_idempotent = request.request_class.idempotency is Idempotency.IDEMPOTENT
        was_lost = outcome is Outcome.CONNECTION_LOST and is_idempotent
        if outcome not in NEVER_RAN_OUTCOMES and not was_lost:
            return False
        return not request.is_answered and now < request.latency_deadline

    def may_skip(self, request: Request, now: int) -> bool:
        """Return whether a request may continue without its call."""
        if request.request_class.weight_without_call <= 0 or request.is_answered:
            return False
        return now < request.deadline - TIMER_INTERVAL
