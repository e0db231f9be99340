"""The slowdown of runs and the health of the app server.

This module owns the windows of core time spent and completed. They advance with the core time spent as well
as with the clock, so that a slow period is forgotten only slowly while few requests run.
"""

from __future__ import annotations

from collections.abc import Iterable

from .service_time import ServiceTimes
from .types import Request
from .units import MS
from .windows import WindowedCounter

CORE_TIME_WINDOW_COUNT = 10
CORE_TIME_WINDOW_PER_CORE = 200 * MS
# Mean runs that are added to both the core time spent and the core time completed, so that a few measurements
# do not decide alone.
HEALTH_PRIOR_RUNS = 2
SLOWDOWN_PRIOR_RUNS = 6
MIN_RUNS_PER_CORE = 3
UNHEALTHY_STALL_RATIO = 4.0
HEALTHY_STALL_RATIO = 2.0


class HealthMonitor:
    """Slowdown of runs relative to their usual time, and the resulting health."""

    def __init__(self, cores: int, times: ServiceTimes) -> None:
        """Start healthy and without slowdown."""
        window = CORE_TIME_WINDOW_PER_CORE * cores
        self.times = times
        self.min_runs = MIN_RUNS_PER_CORE * cores
        self.spent = WindowedCounter(CORE_TIME_WINDOW_COUNT, window)
        self.completed = WindowedCounter(CORE_TIME_WINDOW_COUNT, window)
        self.core_clock = 0
        self.slowdown = 1.0
        self.stall_ratio = 1.0
        self.is_healthy = True

    def advance(self, elapsed: int, running: int) -> None:
        """Add the core time that `running` requests have spent in the time `elapsed`."""
        spent = running * elapsed
        self.core_clock += spent + elapsed
        self.spent.add(self.core_clock, spent)

    def record_completed(self, core_time: int) -> None:
        """Add the typical core time of a run that has ended."""
        self.completed.add(self.core_clock, core_time)

    def measure(self, running: Iterable[Request], now: int) -> None:
        """Update the slowdown and the stall ratio, once enough runs have been measured."""
        overall = self.times.overall
        if overall.count < self.min_runs:
            return
        spent = self.spent.total(self.core_clock)
        completed = self.completed.total(self.core_clock)
        health_prior = HEALTH_PRIOR_RUNS * overall.mean
        slowdown_prior = SLOWDOWN_PRIOR_RUNS * overall.mean
        self.slowdown = (spent + slowdown_prior) / (completed + slowdown_prior)
        # A running request does not count as stalled until it has taken longer than its typical time.
        within_typical: int = 0
        for request in running:
            taken = request.core_time_used + now - request.running_since
            if taken < self.times.typical(request):
                within_typical += taken
        self.stall_ratio = (spent - within_typical + health_prior) / (completed + health_prior)

    def update(self, is_draining: bool) -> bool:
        """Update the health; returns whether it has changed."""
        bound = UNHEALTHY_STALL_RATIO if self.is_healthy else HEALTHY_STALL_RATIO
        is_healthy = not is_draining and self.stall_ratio < bound
        has_changed = is_healthy != self.is_healthy
        self.is_healthy = is_healthy
        return has_changed
