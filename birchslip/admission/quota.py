"""The quota of each caller or tenant and the delay for exceeding it, as in KIP-13 (Kafka quotas).

This module owns the meters and the counts of served requests. It computes delays; the queue applies them.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil, sqrt

from .concurrency_limit import ConcurrencyLimit
from .plan_override import PlanState
from .quota_meter import MAX_CALLERS, WINDOW_COUNT, WINDOW_LENGTH, WINDOW_SPAN, QuotaMeter
from .types import AdmissionSettings, PlanOverride, Request
from .units import SECOND
from .windows import WindowedCounter

DERIVED_QUOTA_SHARES = 2.0  # a derived quota, in even shares of the served bytes
MIN_PLAN_WEIGHT = 0.01
MIN_EVACUATED_QUOTA = 0.1


class Quotas:
    """Meters of all callers and tenants, and their quotas."""

    def __init__(
        self, settings: AdmissionSettings, limit: ConcurrencyLimit, plan: PlanState, now: int
    ) -> None:
        """Start with empty windows; configured quotas are split evenly over the fleet."""
        self.limit = limit
        self.plan = plan
        self.started_at = now
        self.callers: OrderedDict[int, QuotaMeter] = OrderedDict()
        self.tenants = {tenant: QuotaMeter(tenant.quota / settings.fleet_size) for tenant in settings.tenants}
        self.evacuated = QuotaMeter()
        self.served_bytes = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.served_count = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)

    def meter(self, request: Request, now: int) -> QuotaMeter:
        """Return the meter that a request counts against.

        This is the meter shared by evacuated callers, that of a tenant with a quota, or that of the caller.
        """
        # Callers are kept in the order of their last requests: `drop_idle_callers` drops from the front.
        meter = self.callers.pop(request.caller, None) or QuotaMeter()
        self.callers[request.caller] = meter
        if len(self.callers) > MAX_CALLERS:
            self.callers.popitem(last=False)
        meter.last_seen_at = now
        if self.plan.weight and self.plan.is_evacuated(request):
            return self.evacuated
        if request.tenant is not None and request.tenant.quota > 0:
            return self.tenants[request.tenant]
        return meter

    def count(self, request: Request, now: int, is_saturated: bool) -> int:
        """Count a request in the windows; returns its delay, 0 while quotas do not bind."""
        meter = request.quota_meter = self.meter(request, now)
        request.counted_at = now
        amount = 1 if meter.configured_quota else request.size
        meter.admitted.add(now, amount)
        meter.requested.add(now, amount)
        # A derived quota needs one full window of measurements; a configured one is known at once.
        is_known = meter.configured_quota or now - self.started_at >= WINDOW_SPAN
        return self.delay(meter, now) if is_saturated and is_known else 0

    def uncount(self, request: Request, now: int) -> None:
        """Subtract a request that never ran from the admitted amount of its meter.

        Otherwise a caller that keeps sending would use up its quota with rejected requests alone.
        """
        meter = request.quota_meter
        amount = 1 if meter.configured_quota else request.size
        meter.admitted.subtract(now, request.counted_at, amount)

    def record_served(self, request: Request, now: int) -> None:
        """Count a request that was served in time."""
        self.served_bytes.add(now, request.size)
        self.served_count.add(now, 1)

    def delay(self, meter: QuotaMeter, now: int) -> int:
        """Return the delay that brings a meter back to its quota."""
        return meter.delay(now, self.quota(meter, now))

    def quota(self, meter: QuotaMeter, now: int) -> float:
        """Return the quota of a meter: requests per second if it is configured, otherwise bytes per second.

        A derived quota is twice an even share of the served bytes, and such a share is at least one request.
        Derived and configured quotas are at least an even share of what the concurrency limit can serve,
        unless a plan sets the quota. A derived quota is 0, which means none, if nothing was served: then the
        cores are stuck, and no caller is the cause. The quota of evacuated callers rises as the plan fades.
        """
        throughput = self.limit.throughput()
        if meter is self.evacuated:
            return meter.configured_quota / max(MIN_PLAN_WEIGHT, self.plan.weight)
        if meter.configured_quota:
            return self._configured_quota(meter, throughput, now)
        served = self.served_bytes.total(now)
        served_count = max(1, self.served_count.total(now))
        callers = len(self.callers)
        derived = DERIVED_QUOTA_SHARES * max(1.0, callers / served_count) / WINDOW_COUNT
        return max(derived, throughput / served_count) * served / max(1, callers)

    def _configured_quota(self, meter: QuotaMeter, throughput: float, now: int) -> float:
        """Return a tenant's quota in requests per second.

        Usually it is the configured quota, but at least an even share of the throughput among active tenants.
        If the plan sets a quota, the result lies between the usual and the planned quota, and moves to the
        planned one with the weight of the plan.
        """
        active = max(1, sum(1 for other in self.tenants.values() if other.admitted.total(now) > 0))
        usual = max(meter.configured_quota, throughput / active)
        if not meter.planned_quota:
            return usual
        return usual + (meter.planned_quota - usual) * self.plan.weight

    def usage(self, request: Request, now: int) -> float:
        """Return how much was requested against a request's meter, relative to its quota.

        Rejected requests count as well. One standard deviation of random arrivals is subtracted first, so
        that chance alone does not make a small tenant look heavy.
        """
        meter = request.quota_meter
        requested = meter.requested.total(now)
        unit = 1 if meter.configured_quota else request.size
        beyond_chance = max(0.0, requested - sqrt(requested * unit))
        return beyond_chance / (meter.configured_quota or max(1.0, self.quota(meter, now)))

    def is_within_fair_share(self, meter: QuotaMeter, now: int) -> bool:
        """Return whether a tenant has used no larger part of its quota than all active tenants together."""
        if not meter.configured_quota:
            return True
        active = [other for other in self.tenants.values() if other.admitted.total(now) > 0]
        admitted = sum(other.admitted.sum for other in active)
        configured = sum(other.configured_quota for other in active)
        return meter.admitted.sum * configured <= admitted * meter.configured_quota

    def adopt_plan(self, plan: PlanOverride, now: int, adds_evacuated_callers: bool) -> None:
        """Set the quotas of a plan.

        If the plan adds evacuated callers, their meter starts with full windows, as they arrive all at once.
        """
        if adds_evacuated_callers:
            self.evacuated = QuotaMeter()
            amount = ceil(plan.evacuated_quota * WINDOW_LENGTH / SECOND)
            for windows_ago in range(WINDOW_COUNT):
                self.evacuated.admitted.add(now - (WINDOW_COUNT - 1 - windows_ago) * WINDOW_LENGTH, amount)
        self.evacuated.configured_quota = max(MIN_EVACUATED_QUOTA, plan.evacuated_quota)
        for tenant, meter in self.tenants.items():
            meter.planned_quota = plan.quotas.get(tenant, 0.0)

    def drop_idle_callers(self, now: int) -> None:
        """Drop the meters of callers that sent nothing for a whole window."""
        while self.callers:
            caller, meter = next(iter(self.callers.items()))
            if meter.last_seen_at > now - WINDOW_SPAN:
                return
            del self.callers[caller]
