"""Measurements of an app server's requests for its reports to planners.

Only counts; the planners evaluate the numbers.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from ..admission.types import Tenant
from ..net.counters import Counters
from ..net.request_context import RequestContext
from ..net.scheduler import Scheduler
from .member_metrics import OutcomeCounts, RequestRates

SAMPLE_INTERVAL = 1_000  # 100 ms


class RequestRecorder:
    """Counts requests as they arrive and are answered.

    Attributes:
        rates: Rates of arrivals and answers per second.
        outcome_counts: Outcomes of requests since the start, by metric and request class.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        tenants: Mapping[str, Tenant],
        request_classes: Sequence[str],
        local_callers: Collection[int],
    ) -> None:
        """Create a recorder without requests.

        Args:
            scheduler: Provides the time and runs the sampling.
            counters: Counters of answers, which `sample` reads.
            tenants: The tenants by name.
            request_classes: Names of the request classes.
            local_callers: The site's own callers; if empty, all callers are local.
        """
        self.scheduler = scheduler
        self.counters = counters
        self.local_callers = local_callers
        self.tenant_names = {id(tenant): name for name, tenant in tenants.items()}
        self.rates = RequestRates(list(tenants))
        self.outcome_counts = OutcomeCounts(request_classes)

    def record_arrival(self, context: RequestContext) -> None:
        """Count a request that has been read, as local or evacuated load or as a retry."""
        request = context.request
        tenant = self.tenant_names.get(id(request.tenant), "") if request.tenant is not None else ""
        is_local = not self.local_callers or request.caller in self.local_callers
        self.rates.record_arrival(self.scheduler.now, tenant, is_local, request.is_retry)

    def record_answer(self, context: RequestContext, outcome: str) -> None:
        """Count a request that has ended with `outcome`, a name in the counters, and its run time if any."""
        request = context.request
        now = self.scheduler.now
        is_late = now - request.arrived_at > request.request_class.latency_objective
        run_time = now - context.launched_at if context.is_launched else -1
        self.outcome_counts.record_answer(context.class_name, outcome, run_time, is_late)

    def sample(self) -> None:
        """Update the rates of answers from the counters, and schedule the next sample."""
        now = self.scheduler.now
        counts = self.counters.counts
        self.rates.record_answers(now, counts["book.honoured"], counts["book.shed"])
        self.scheduler.at(now + SAMPLE_INTERVAL, self.sample)
