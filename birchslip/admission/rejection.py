"""How a request is rejected: its Retry-After, and whether it may be retried on another app server.

This module owns the random sequence for the jitter of Retry-After.
"""

from __future__ import annotations

from math import ceil

from .admission_queue import AdmissionQueue
from .concurrency_limit import ConcurrencyLimit
from .deadlines import TIMER_INTERVAL
from .health import HealthMonitor
from .idle_connections import IdleConnections
from .plan_override import PlanState
from .quota import Quotas
from .rejection_stats import RejectionStats
from .types import AdmissionSettings, Reject, Request

# From this slowdown on, a retry on another app server is allowed even if the conditions against it are met.
RETRY_ELSEWHERE_SLOWDOWN = 2.0
MIN_JITTER = 0.75  # factor on Retry-After; the highest is 1.25
RANDOM_FACTOR = 6364136223846793005  # Knuth's MMIX linear congruential generator
RANDOM_INCREMENT = 1442695040888963407
RANDOM_BITS = 64
RANDOM_LOW_BITS = 40  # dropped, because the low bits have a short period
JITTER_BITS = 25


class Rejections:
    """Creates the final answers to requests that never ran."""

    def __init__(
        self,
        settings: AdmissionSettings,
        stats: RejectionStats,
        queue: AdmissionQueue,
        idle_connections: IdleConnections,
        quotas: Quotas,
        plan: PlanState,
    ) -> None:
        """Start the random sequence with the seed of the settings."""
        self.settings = settings
        self.stats = stats
        self.queue = queue
        self.limit: ConcurrencyLimit = queue.limit
        self.health: HealthMonitor = queue.health
        self.idle_connections = idle_connections
        self.quotas = quotas
        self.plan = plan
        self.random_state = settings.seed

    def reject(self, request: Request, now: int, delay: int = 0) -> Reject:
        """Count a rejection and return it; its Retry-After, before jitter, is at least `delay`.

        While the app server is unhealthy, the Retry-After is the longest allowed one.
        """
        self.stats.add(now, self._age(request, now))
        if not self.settings.sends_retry_after:
            return Reject()
        max_retry_after = self.settings.max_retry_after
        wait: float = max_retry_after
        if self.health.is_healthy:
            core_wait = self.limit.core_wait(self.health.slowdown)
            wait = max(delay, core_wait, self.queue.read_delay, TIMER_INTERVAL)
        retry_after = min(ceil(wait * self._jitter()), max_retry_after)
        return Reject(retry_after, self._is_retry_useless())

    def _age(self, request: Request, now: int) -> int:
        """Return the age that a rejected request adds to the mean age of rejected requests."""
        # An evacuated caller past its quota is rejected at once, so its age must not lower the mean.
        if request.quota_meter is self.quotas.evacuated:
            return int(self.stats.mean_age(now))
        return now - request.arrived_at

    def _jitter(self) -> float:
        """Return the next random factor, evenly distributed from 0.75 to 1.25."""
        state = self.random_state * RANDOM_FACTOR + RANDOM_INCREMENT
        self.random_state = state % (1 << RANDOM_BITS)
        return MIN_JITTER + (self.random_state >> RANDOM_LOW_BITS) / (1 << JITTER_BITS)

    def _is_retry_useless(self) -> bool:
        """Return whether the caller should not retry on another app server."""
        is_full = (
            self.queue.is_saturated
            or self.stats.is_retry_storm
            or self.idle_connections.retry_needs_handshake
            or self.plan.is_capacity_short
        )
        return is_full and self.health.slowdown < RETRY_ELSEWHERE_SLOWDOWN
