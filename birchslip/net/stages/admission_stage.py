"""The admission stage: passes requests and events to the admission decisions, in one batch per pass.

Its counters are named `admit.*`.
"""

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
    """Queues requests and events until the end of a scheduler pass, then runs the admission driver on them.

    Attributes:
        driver: The admission driver; None until `start`.
        pending_events: What the next batch processes; a request without an event is a new one.
        gauges: The gauges of a tick that the next batch processes.
        rejects_new_requests: Whether only repeats of earlier requests are admitted, which holds once the
            drain grace is over.
        perform: Performs an action for one request.
        announce: Performs an action for the app server as a whole.
        on_not_ready: Called with each request that arrives before `start`, and with each new one while
            `rejects_new_requests` is set.
        on_key_mismatch: Called with a request whose idempotency key was used with another class or body.
        on_fault: Called with a request and the exception that its processing raised.
    """

    def __init__(self, scheduler: Scheduler, counters: Counters, idempotency_table: IdempotencyTable) -> None:
        """Begin without a driver; the callbacks are set by the program."""
        self.scheduler, self.counters, self.idempotency_table = scheduler, counters, idempotency_table
        self.driver: AdmissionDriver | None = None
        self.pending_events: deque[tuple[RequestContext, Event | None]] = deque()
        self.gauges: Gauges | None = None
        self.rejects_new_requests = False
        self.perform: Callable[[Request, Action], None]
        self.announce: Callable[[ServerAction], None]
        self.on_not_ready: Callable[[RequestContext], None]
        self.on_key_mismatch: Callable[[RequestContext], None]
        self.on_fault: Callable[[RequestContext, Exception], None]

    def start(self, settings: AdmissionSettings, started_at: int) -> None:
        """Start admitting requests, with quota windows and the slow start counted from `started_at`."""
        self.driver = AdmissionDriver(settings, started_at, self.perform, self.announce, self.handle_fault)

    def submit(self, context: RequestContext) -> None:
        """Queue a request that was decoded."""
        self.pending_events.append((context, None))

    def add_event(self, context: RequestContext, event: Event) -> None:
        """Queue an event of a request."""
        self.pending_events.append((context, event))

    def tick(self, gauges: Gauges) -> None:
        """Let the next batch process a tick with these gauges."""
        self.gauges = gauges

    def start_drain(self, deadline: int) -> None:
        """Tell the decisions that the app server drains until the deadline."""
        if self.driver is not None:
            self.driver.advance_clock(self.scheduler.now)
            self.driver.drain(deadline)

    def process_pending(self) -> None:
        """Process one batch: pending requests and events, a tick if one is due, then waiting requests.

        Events that this batch causes are left for the next one. Before `start`, each request is passed to
        `on_not_ready` instead.
        """
        if self.driver is None:
            # Repeats of a key that an earlier incarnation ran are rejected too: this incarnation has run
            # nothing, so a retry is safe.
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
        """Pass one event to the driver, or one request if there is no event.

        A request does not reach the driver if it was answered while it was queued, if it is new while
        `rejects_new_requests` is set, or if its idempotency key was used with another class or body.
        """
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
        """Set `context.entry` to the entry of its idempotency key, if there is one.

        The entries of this incarnation are searched first, then the stored runs of earlier incarnations.
        """
        if context.idempotency_key and context.entry is None:
            entry = self.idempotency_table.find(context.idempotency_key, context.received_at)
            context.entry = entry or self.idempotency_table.find_earlier(context)

    def handle_fault(self, request: Request, error: Exception) -> None:
        """Report an exception that the driver raised for a request."""
        self.on_fault(request.context, error)
