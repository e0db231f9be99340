"""How a request is rejected: its Retry-After, and whether another server is worth trying.

Owns what was rejected in the window, and the random sequence that spreads Retry-After.
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

RETRY_ELSEWHERE_SLOWDOWN = 2.0  # slowdown from which another server is worth trying all the same
MIN_JITTER = 0.75  # of the Retry-After; the highest is 1.25
RANDOM_FACTOR = 6364136223846793005  # Knuth's MMIX linear congruential generator
RANDOM_INCREMENT = 1442695040888963407
RANDOM_BITS = 64
RANDOM_LOW_BITS = 40  # not used: their period is short
JITTER_BITS = 25


class Rejections:
    """Final answers to requests that never ran."""

    def __init__(
        self,
        settings: AdmissionSettings,
        stats: RejectionStats,
        queue: AdmissionQueue,
        idle_connections: IdleConnections,
        quotas: Quotas,
        plan: PlanState,
    ) -> None:
        """Begin with the random sequence of the settings' seed."""
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
        """Return the rejection of a request, with at least `delay` as its Retry-After."""
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
        # An evacuated caller past its quota is rejected at once, which says nothing of how old others are.
        if request.quota_meter is self.quotas.evacuated:
            return int(self.stats.mean_age(now))
        return now - request.arrived_at

    def _jitter(self) -> float:
        state = self.random_state * RANDOM_FACTOR + RANDOM_INCREMENT
        self.random_state = state % (1 << RANDOM_BITS)
        return MIN_JITTER + (self.random_state >> RANDOM_LOW_BITS) / (1 << JITTER_BITS)

    def _is_retry_useless(self) -> bool:
        is_full = (
            self.queue.is_saturated
            or self.stats.is_retry_storm
            or self.idle_connections.retry_needs_handshake
            or self.plan.is_capacity_short
        )
        return is_full and self.health.slowdown < RETRY_ELSEWHERE_SLOWDOWN
