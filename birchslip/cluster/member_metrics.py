"""A member's measurements for its reports: rates, capacity and outcomes of requests.

Counts in fixed windows and buckets, so that the cost does not grow with the number of callers or the uptime.
Times and spans are in tenths of a millisecond, rates are per second.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..admission.types import SECOND
from ..admission.windows import WindowedCounter

WINDOW_SLICES = 8
SLICE_SPAN = SECOND // 4
WINDOW_SPAN = WINDOW_SLICES * SLICE_SPAN
SINGLE_TENANT = "all"  # name in reports for the load of requests without a tenant

# Upper bounds of the run time buckets: 10 ms and upwards, two buckets per doubling.
DURATION_BOUNDS = tuple(int(100 * 2 ** (step / 2)) for step in range(19))

# Outcomes of answers, named as in the counters.
SERVED = "honoured"
REJECTED = "shed"
FAILED = "written_off"
CALLER_GONE = "gone"
LATE = "late"  # metric: requests served, or abandoned by the caller, past their latency objective
CALLS_TOTAL_COUNTER = "relay.called"
FAILED_CALL_COUNTERS = (
    "relay.erred",
    "relay.overdue",
    "relay.severed",
    "relay.saturated",
    "relay.unreached",
)


def estimate_capacity(cores: int, typical_service_time: float, served_rate: float) -> float:
    """Estimate the requests per second that a member can serve; 0 while no service time is known.

    The estimate is the cores divided by the typical service time, or the served rate if that is higher. The
    concurrency limit is not used: when it rises, more requests share the same cores.

    Args:
        cores: Number of cores.
        typical_service_time: In tenths of a millisecond.
        served_rate: Requests served per second.
    """
    if typical_service_time <= 0:
        return 0.0
    return max(cores * SECOND / typical_service_time, served_rate)


class RateSnapshot(NamedTuple):
    """Rates per second over the last two seconds.

    Attributes:
        load: First attempts of the site's own callers, by tenant.
        evacuated_load: First attempts of callers of other sites.
        retries: Retries of all callers.
        served: Requests that were served.
        rejected: Requests that were rejected with Retry-After.
    """

    load: dict[str, float]
    evacuated_load: float
    retries: float
    served: float
    rejected: float


class RequestRates:
    """Windowed rates of arrivals and answers."""

    def __init__(self, tenants: Sequence[str]) -> None:
        """Create empty rates by tenant; requests without a tenant are counted under an empty name."""
        self.load = {name: WindowedCounter(WINDOW_SLICES, SLICE_SPAN) for name in [*tenants, ""]}
        self.evacuated_load = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.retries = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.served = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.rejected = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self._last_served = 0
        self._last_rejected = 0

    def record_arrival(self, now: int, tenant: str, is_local: bool, is_retry: bool) -> None:
        """Count a request that has arrived: as a retry, as evacuated load or as local load of its tenant."""
        if is_retry:
            self.retries.add(now, 1)
        elif not is_local:
            self.evacuated_load.add(now, 1)
        else:
            self.load[tenant].add(now, 1)

    def record_answers(self, now: int, served: int, rejected: int) -> None:
        """Count the answers since the last call; `served` and `rejected` are totals since the start."""
        self.served.add(now, served - self._last_served)
        self.rejected.add(now, rejected - self._last_rejected)
        self._last_served = served
        self._last_rejected = rejected

    def snapshot(self, now: int) -> RateSnapshot:
        """Return the rates over the last `WINDOW_SPAN`, up to `now`."""
        load = {name: per_second(counter, now) for name, counter in self.load.items() if name}
        without_tenant = per_second(self.load[""], now)
        if without_tenant or not load:
            load[SINGLE_TENANT] = without_tenant
        return RateSnapshot(
            load=load,
            evacuated_load=per_second(self.evacuated_load, now),
            retries=per_second(self.retries, now),
            served=per_second(self.served, now),
            rejected=per_second(self.rejected, now),
        )


def per_second(counter: WindowedCounter, now: int) -> float:
    """Return the rate per second of a counter over its window."""
    return counter.total(now) * SECOND / WINDOW_SPAN


class OutcomeCounts:
    """Counts of bad and of all outcomes since the start of this incarnation, by metric and request class.

    The counts never decrease, so that a reader that has missed reports can still compute differences.

    Attributes:
        durations: Numbers of served requests per run time bucket, by request class.
    """

    def __init__(self, request_classes: Sequence[str]) -> None:
        """Create empty counts for these request classes."""
        buckets = len(DURATION_BOUNDS) + 1
        self.durations = {name: [0] * buckets for name in request_classes}
        self._counts = {
            f"{metric}:{name}": [0, 0] for name in request_classes for metric in (LATE, REJECTED, FAILED)
        }

    def record_answer(self, request_class: str, outcome: str, run_time: int, is_late: bool) -> None:
        """Count a request that has ended.

        Args:
            request_class: The request's class.
            outcome: Name of the outcome in the counters. A request whose caller is gone counts only if late.
            run_time: Time since the launch, without the queueing time, as that depends more on the load;
                negative for a repeated request, whose run belongs to the original request.
            is_late: Whether the request's latency objective has passed.
        """
        if outcome == CALLER_GONE:
            if is_late:
                self._add(LATE, request_class, True)
            return
        self._add(REJECTED, request_class, outcome == REJECTED)
        if outcome == SERVED:
            self._add(LATE, request_class, is_late)
            if run_time >= 0:
                self.durations[request_class][bisect(DURATION_BOUNDS, run_time)] += 1
        if outcome != REJECTED:
            self._add(FAILED, request_class, outcome != SERVED)

    def _add(self, metric: str, request_class: str, is_bad: bool) -> None:
        count = self._counts[f"{metric}:{request_class}"]
        count[0] += is_bad
        count[1] += 1

    def totals(self, counters: Mapping[str, int]) -> dict[str, tuple[int, int]]:
        """Return the number of bad and of all outcomes by metric, without empty metrics.

        Args:
            counters: The process's counters, from which the metric `calls` of downstream calls is computed.
        """
        totals = {name: (bad, total) for name, (bad, total) in self._counts.items() if total}
        calls = counters.get(CALLS_TOTAL_COUNTER, 0)
        if calls:
            failed = sum(counters.get(name, 0) for name in FAILED_CALL_COUNTERS)
            totals["calls"] = (min(failed, calls), calls)
        return totals
