"""What a member measures of itself for its reports: rates, capacity, and outcomes to be judged by.

Counts in fixed windows and buckets, so that no work grows with callers or history; decides nothing. Moments
and spans are tenths of a millisecond, rates are a second.
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
SINGLE_TENANT = "all"  # the name in reports, where no tenants are configured

# Upper bounds of the buckets of run times, from 10 ms on, two for each doubling.
DURATION_BOUNDS = tuple(int(100 * 2 ** (step / 2)) for step in range(19))

# How an answer ended, by the words of the counters.
SERVED = "honoured"
REJECTED = "shed"
FAILED = "written_off"
CALLER_GONE = "gone"
LATE = "late"  # served, or given up by the caller, past its deadline
CALLS_TOTAL_COUNTER = "relay.called"
FAILED_CALL_COUNTERS = (
    "relay.erred",
    "relay.overdue",
    "relay.severed",
    "relay.saturated",
    "relay.unreached",
)


def estimate_capacity(cores: int, typical_service_time: float, served_rate: float) -> float:
    """Requests a second that a member can serve; 0 while nothing is known of it.

    By its cores and the typical service time, or what it has just served if that is more. The limit of
    running requests is no measure here: where it rises, more requests share the same cores.
    """
    if typical_service_time <= 0:
        return 0.0
    return max(cores * SECOND / typical_service_time, served_rate)


class RateSnapshot(NamedTuple):
    """Rates a second over the last two seconds.

    Attributes:
        load: First tries by tenant of the site's own callers.
        evacuated_load: First tries of callers of other sites.
        retries: Further tries.
        served: Answers that were served.
        rejected: Answers that were rejected with Retry-After.
    """

    load: dict[str, float]
    evacuated_load: float
    retries: float
    served: float
    rejected: float


class RequestRates:
    """Rates of arrivals and answers."""

    def __init__(self, tenants: Sequence[str]) -> None:
        """Count by tenant; requests without one are counted under an empty name."""
        self.load = {name: WindowedCounter(WINDOW_SLICES, SLICE_SPAN) for name in [*tenants, ""]}
        self.evacuated_load = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.retries = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.served = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self.rejected = WindowedCounter(WINDOW_SLICES, SLICE_SPAN)
        self._last_served = 0
        self._last_rejected = 0

    def record_arrival(self, now: int, tenant: str, is_local: bool, is_retry: bool) -> None:
        """Count a request that has arrived."""
        if is_retry:
            self.retries.add(now, 1)
        elif not is_local:
            self.evacuated_load.add(now, 1)
        else:
            self.load[tenant].add(now, 1)

    def record_answers(self, now: int, served: int, rejected: int) -> None:
        """Count answers, by the totals that the counters stand at."""
        self.served.add(now, served - self._last_served)
        self.rejected.add(now, rejected - self._last_rejected)
        self._last_served = served
        self._last_rejected = rejected

    def snapshot(self, now: int) -> RateSnapshot:
        """The rates at `now`."""
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
    """The rate of a counter over its window."""
    return counter.total(now) * SECOND / WINDOW_SPAN


class OutcomeCounts:
    """Outcomes of requests since this incarnation began: by metric and request class, bad ones and all.

    They only grow, so that whoever reads them may miss any number of reports and read the difference.

    Attributes:
        durations: By request class, served requests by bucket of their run time.
    """

    def __init__(self, request_classes: Sequence[str]) -> None:
        """Count for these classes."""
        buckets = len(DURATION_BOUNDS) + 1
        self.durations = {name: [0] * buckets for name in request_classes}
        self._counts = {
            f"{metric}:{name}": [0, 0] for name in request_classes for metric in (LATE, REJECTED, FAILED)
        }

    def record_answer(self, request_class: str, outcome: str, run_time: int, is_late: bool) -> None:
        """Count the end of a request.

        Args:
            request_class: Its class.
            outcome: The word of the counters. A caller that has gone counts only if it was late by then.
            run_time: From its launch on, as the time before depends more on the load; below 0 for a repeat,
                which ran as another request.
            is_late: Whether its deadline has passed.
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
        """Bad and all outcomes of metrics that have any, and of calls below by the program's counters."""
        totals = {name: (bad, total) for name, (bad, total) in self._counts.items() if total}
        calls = counters.get(CALLS_TOTAL_COUNTER, 0)
        if calls:
            failed = sum(counters.get(name, 0) for name in FAILED_CALL_COUNTERS)
            totals["calls"] = (min(failed, calls), calls)
        return totals
