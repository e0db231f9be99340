"""How many requests may run at once: an adaptive concurrency limit with slow start.

This module owns the limit, the set of running requests and the core gauge. It does not choose which request
runs next.
"""

from __future__ import annotations

from .plan_override import PlanState
from .quota_meter import WINDOW_SPAN
from .service_time import ServiceTimes
from .types import AdmissionSettings, Gauges, Request, RequestState
from .units import MS, SECOND

BUSY_UTILIZATION = 0.9
GAUGE_DELAY = 1500 * MS  # three times the half second over which the core gauge averages
INCREASE_STEP = 0.25
DECREASE_FACTOR = 0.9
SLOW_RUN_RATIO = 2.0  # recent median run time relative to the low quantile
OVERLOAD_THRESHOLD_SHARE = 0.6  # share of the overload threshold that may be used
STARTED_PER_LIMIT = 1.5  # bounds started requests that wait for calls, since they return to the cores
UTILIZATION_STEP = 50 * MS  # time between two readings of the core gauge


class ConcurrencyLimit:
    """The concurrency limit and the requests that are running."""

    def __init__(self, settings: AdmissionSettings, times: ServiceTimes, plan: PlanState, now: int) -> None:
        """Start with a limit of one request per core."""
        self.settings = settings
        self.times = times
        self.plan = plan
        self.started_at = now
        self.limit = float(settings.cores)
        self.full_since = now
        self.decreased_at = now
        self.running: dict[Request, None] = {}
        self.started_count = 0
        self.is_busy = False
        self.utilization = 1.0

    @property
    def is_reached(self) -> bool:
        """Whether as many requests run as the limit allows."""
        return len(self.running) >= int(self.limit)

    def occupy_core(self, request: Request, now: int) -> None:
        """Mark a request as running."""
        request.state = RequestState.RUNNING
        request.running_since = now
        self.running[request] = None

    def release_core(self, request: Request, now: int) -> None:
        """Mark a request as no longer running and add the elapsed time to its core time."""
        if request in self.running:
            del self.running[request]
            request.core_time_used += now - request.running_since

    def may_start(self, now: int) -> bool:
        """Return whether one more request may start.

        All started requests, including those in calls downstream, may need a core at the same time. Their
        number is therefore bounded by the overload threshold. A tighter bound applies only while the cores
        are busy: while they have room, the calls are the bottleneck.
        """
        if self.is_reached:
            return False
        if self.started_count >= OVERLOAD_THRESHOLD_SHARE * self.overload_threshold(now):
            return False
        return not self.is_busy or self.started_count < STARTED_PER_LIMIT * self.limit

    def overload_threshold(self, now: int) -> float:
        """Return how many running requests the app server survives; it is lower while it warms up."""
        settings = self.settings
        warm_up_progress = 1.0
        if settings.starts_cold:
            warm_up_progress = min(1.0, (now - self.started_at) / max(1, settings.warm_up_span))
        speed = settings.cold_start_speed + (1 - settings.cold_start_speed) * warm_up_progress
        return (1 + (settings.overload_multiple - 1) * speed) * settings.cores

    def throughput(self) -> float:
        """Return how many runs per second the limit allows.

        It assumes that each run takes the mean service time; the result is 0 while the mean is unknown.
        """
        mean = self.times.overall.mean
        return self.limit * SECOND / mean if mean else 0.0

    def core_wait(self, slowdown: float) -> float:
        """Return the expected time until a core becomes free; 0 below the limit."""
        return self.times.overall.mean * slowdown / self.limit if self.is_reached else 0.0

    def observe(self, gauges: Gauges) -> None:
        """Record the core gauge; without a gauge, the cores count as busy once the limit is reached."""
        used: float = self.is_reached
        if gauges.core_utilization is not None:
            used = gauges.core_utilization
        self.is_busy = used >= BUSY_UTILIZATION
        self.utilization += (used - self.utilization) * UTILIZATION_STEP / WINDOW_SPAN

    def adjust(self, now: int, has_queue: bool, is_healthy: bool) -> None:
        """Adjust the limit.

        It rises if requests have waited for longer than the gauge's delay while the cores have room, and
        falls if the cores are busy and runs slow down. A plan's serving fraction overrides both.
        """
        cores = self.settings.cores
        if not has_queue or not self.is_reached:
            self.full_since = now
        if not self.is_busy and is_healthy and now - self.full_since >= GAUGE_DELAY:
            self.limit += max(1.0, self.limit * INCREASE_STEP)
            self.full_since = now
        elif (
            self.is_busy
            and self.limit > cores
            and now - self.decreased_at >= WINDOW_SPAN
            and self._runs_slowed(now)
        ):
            self.limit *= DECREASE_FACTOR
            self.decreased_at = now
        self.limit = max(
            float(cores), min(self.limit, OVERLOAD_THRESHOLD_SHARE * self.overload_threshold(now))
        )
        fraction = self.plan.plan.serving_fraction
        if self.plan.weight and fraction < 1:
            # During a recovery ramp only the plan's fraction of the cores is used, rising as the plan fades.
            self.limit = max(1.0, cores * (1 - (1 - fraction) * self.plan.weight))

    def _runs_slowed(self, now: int) -> bool:
        """Return whether the recent median run time of any request class is far above its low quantile."""
        for times in self.times.by_class.values():
            recent = times.recent(now)
            if recent and recent[len(recent) // 2] > SLOW_RUN_RATIO * times.low:
                return True
        return False
