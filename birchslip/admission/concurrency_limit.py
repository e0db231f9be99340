"""How many requests may run at once: an adaptive limit, with a slow start.

Owns the limit, the set of running requests and the core gauge. It does not choose which request runs.
"""

from __future__ import annotations

from .plan_override import PlanState
from .quota_meter import WINDOW_SPAN
from .service_time import ServiceTimes
from .types import AdmissionSettings, Gauges, Request, RequestState
from .units import MS, SECOND

BUSY_UTILIZATION = 0.9
GAUGE_DELAY = 1500 * MS  # three times the half second over which the core gauge fades
INCREASE_STEP = 0.25
DECREASE_FACTOR = 0.9
SLOW_RUN_RATIO = 2.0  # median run against the low quantile
OVERLOAD_THRESHOLD_SHARE = 0.6
STARTED_PER_LIMIT = 1.5  # started requests that wait for calls come back to the cores
UTILIZATION_STEP = 50 * MS


class ConcurrencyLimit:
    """The limit of running requests and what runs."""

    def __init__(self, settings: AdmissionSettings, times: ServiceTimes, plan: PlanState, now: int) -> None:
        """Begin with one request for each core."""
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
        """Whether as many run as may."""
        return len(self.running) >= int(self.limit)

    def occupy_core(self, request: Request, now: int) -> None:
        """Count a request among those that run."""
        request.state = RequestState.RUNNING
        request.running_since = now
        self.running[request] = None

    def release_core(self, request: Request, now: int) -> None:
        """Count a request as running no more and add up its core time."""
        if request in self.running:
            del self.running[request]
            request.core_time_used += now - request.running_since

    def may_start(self, now: int) -> bool:
        """Return whether one more request may start.

        All that has started may come back to the cores at once; while they have room, calls are the limit.
        """
        if self.is_reached:
            return False
        if self.started_count >= OVERLOAD_THRESHOLD_SHARE * self.overload_threshold(now):
            return False
        return not self.is_busy or self.started_count < STARTED_PER_LIMIT * self.limit

    def overload_threshold(self, now: int) -> float:
        """Return how many running requests the app server survives; fewer while it warms up."""
        settings = self.settings
        warm_up_progress = 1.0
        if settings.starts_cold:
            warm_up_progress = min(1.0, (now - self.started_at) / max(1, settings.warm_up_span))
        speed = settings.cold_start_speed + (1 - settings.cold_start_speed) * warm_up_progress
        return (1 + (settings.overload_multiple - 1) * speed) * settings.cores

    def throughput(self) -> float:
        """Return the runs a second under the limit, each of the mean time; 0 while that is unknown."""
        mean = self.times.overall.mean
        return self.limit * SECOND / mean if mean else 0.0

    def core_wait(self, slowdown: float) -> float:
        """Return the expected time until a core is free."""
        return self.times.overall.mean * slowdown / self.limit if self.is_reached else 0.0

    def observe(self, gauges: Gauges) -> None:
        """Take in the core gauge; without one the cores are full once the limit is reached."""
        used: float = self.is_reached
        if gauges.core_utilization is not None:
            used = gauges.core_utilization
        self.is_busy = used >= BUSY_UTILIZATION
        self.utilization += (used - self.utilization) * UTILIZATION_STEP / WINDOW_SPAN

    def adjust(self, now: int, has_queue: bool, is_healthy: bool) -> None:
        """Move the limit.

        It rises while cores have room and requests wait for longer than the gauge lags, and falls as runs
        slow down.
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
            # Let back in by steps: only the plan's share of its cores, and more as the plan fades.
            self.limit = max(1.0, cores * (1 - (1 - fraction) * self.plan.weight))

    def _runs_slowed(self, now: int) -> bool:
        for times in self.times.by_class.values():
            recent = times.recent(now)
            if recent and recent[len(recent) // 2] > SLOW_RUN_RATIO * times.low:
                return True
        return False
