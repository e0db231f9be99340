"""Admit: what was read and what has happened goes to the decisions, in order, at the end of each pass."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ...admission.driver import AdmissionDriver
from ...admission.types import (
    Action,
    AdmissionSettings,
    Event,
    Gauges,
    Request,
    ServerAction,
)
from ..counters import Counters
from ..idempotency_table import IdempotencyTable
from ..request_context import RequestContext
from ..scheduler import Scheduler


class AdmissionStage:
    """`unready` hears of what comes while nothing may run, `fault` of what went wrong with one."""

    def __init__(self, scheduler: Scheduler, counters: Counters, idempotency_table: IdempotencyTable) -> None:
        self.scheduler, self.counters, self.idempotency_table = scheduler, counters, idempotency_table
        self.driver: AdmissionDriver | None = None
        self.pending_events: deque[tuple[RequestContext, Event | None]] = deque()
        self.gauges: Gauges | None = None
        self.rejects_new_requests = False  # nothing that is read from now on may run
        self.perform: Callable[[Request, Action], None]
        self.announce: Callable[[ServerAction], None]
        self.on_not_ready: Callable[[RequestContext], None]
        self.on_key_mismatch: Callable[[RequestContext], None]
        self.on_fault: Callable[[RequestContext, Exception], None]

    def start(self, settings: AdmissionSettings, started_at: int) -> None:
        self.driver = AdmissionDriver(settings, started_at, self.perform, self.announce, self.handle_fault)

    def submit(self, context: RequestContext) -> None:
        self.pending_events.append((context, None))

    def add_event(self, context: RequestContext, event: Event) -> None:
        self.pending_events.append((context, event))

    def tick(self, gauges: Gauges) -> None:
        self.gauges = gauges

    def start_drain(self, deadline: int) -> None:
        if self.driver is not None:
            self.driver.advance_clock(self.scheduler.now)
            self.driver.drain(deadline)

    def process_pending(self) -> None:
        """One batch: what has come, then a tick, then who goes on. What that brings is the next batch's."""
        if self.driver is None:
            # Also of what repeats a label of an earlier life: nothing has run in this one, it may come again.
            while self.pending_events:
                self.on_not_ready(self.pending_events.popleft()[0])
            return
        self.driver.advance_clock(self.scheduler.update_clock())
        for _ in range(len(self.pending_events)):
            context, event = self.pending_events.popleft()
            try:
                self.process(self.driver, context, event)
            except Exception as error:
                self.on_fault(context, error)
        if self.gauges is not None:
            gauges, self.gauges = self.gauges, None
            self.driver.tick(gauges)
        self.driver.settle()
        if self.pending_events:
            self.scheduler.request_pass()

    def process(self, driver: AdmissionDriver, context: RequestContext, event: Event | None) -> None:
        request = context.request
        if event is not None:
            driver.deliver(request, event)
            return
        if context.is_answered:
            return
        self.look_up_entry(context)
        if self.rejects_new_requests and context.entry is None:
            self.on_not_ready(context)
            return
        if context.entry is not None:
            if not context.entry.matches(context):
                self.counters.count("admit.mislabelled")
                self.on_key_mismatch(context)
                return
            self.counters.count("admit.repeats")
            request.original = context.entry.original.request
        request.context = context
        driver.admit(request)

    def look_up_entry(self, context: RequestContext) -> None:
        if context.idempotency_key and context.entry is None:
            entry = self.idempotency_table.find(context.idempotency_key, context.received_at)
            context.entry = entry or self.idempotency_table.find_earlier(context)

    def handle_fault(self, request: Request, error: Exception) -> None:
        self.on_fault(request.context, error)
