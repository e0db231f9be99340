"""App servers of the emulated fleet: the program's own decisions, with what the program does around them.

Each step that a stage of the program (`net/stages/`) performs for a request is performed here in the same
order and without network links: idempotency keys are stored, a run takes core time, a downstream call is
made and ends. All times are in units of 0.1 ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ...admission.driver import AdmissionDriver
from ...admission.types import (
    Action,
    AdmissionSettings,
    AttachToOriginal,
    CallDownstream,
    CallEnded,
    CallerGone,
    CallNeeded,
    Event,
    Fail,
    Gauges,
    Outcome,
    Reject,
    ReleaseKey,
    Request,
    RequestState,
    RunEnded,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
)
from ..cores import SECOND, Cores
from .below import DownstreamCall, DownstreamService
from .clock import Clock

if TYPE_CHECKING:
    from .routers import Attempt

DEFAULT_STOP_SPAN = 2 * SECOND  # from the start of a drain to the end of the process


@dataclass(eq=False, slots=True)
class KeyRecord:
    """What an app server stores for an idempotency key.

    Attributes:
        original: The request that runs, or ran, under the key.
        expires_at: When the key is forgotten.
        outcome: The outcome of the run; `None` before its end.
        waiting_repeats: Requests with the same key that share the outcome when the run ends.
    """

    original: Request
    expires_at: int
    outcome: Outcome | None = None
    waiting_repeats: list[Request] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Run:
    """The run of a request that an app server has read.

    Attributes:
        attempt: The attempt that delivered the request.
        remaining_work: Core time that the run still needs, on one core.
        calls_downstream: Whether the run calls the downstream service halfway.
        has_started: Whether the run has started.
        started_at: When it started.
        is_over: Whether it has ended.
        piece_number: Counts the starts and ends of pieces of work on the cores, so it is odd while one is
            there. The end of a piece is ignored if the number has changed since its start.
        call: The downstream call in flight, if there is one.
    """

    attempt: Attempt
    remaining_work: int
    calls_downstream: bool
    has_started: bool = False
    started_at: int = 0
    is_over: bool = False
    piece_number: int = 0
    call: DownstreamCall | None = None


class AppServer:
    """An app server over all its incarnations.

    Attributes:
        incarnation: Increases at each start and each crash.
        is_up: Whether the process runs.
        is_paused: Whether the process is suspended.
        is_draining: Whether it no longer accepts requests and only answers those that are open.
        is_healthy: The health that it reports to health checks.
        idle_timeout: Span after which it closes idle connections; negative before it was set.
        counts: Number of runs started, downstream calls, and answers by result.
        on_request: Called with each request that was read.
        on_request_closed: Called with the request, the result and the run time, or -1 without a run.
        before_event: Called before each event, so that an expired quota lease takes effect before the next
            downstream call.
        deferred: Callbacks that wait for the end of a pause, with the incarnation that they belong to.
        driver: The admission driver; `None` while the process does not run.
        key_records: The stored idempotency keys.
        open_requests: The requests without a final answer, in the order of arrival.
        on_cores: Number of pieces of work on the cores.
        started_at: When the incarnation started.
        ticks_suspended: Whether the timer is off because there is nothing to do.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        site: str,
        deployment: AdmissionSettings,
        cores: Cores,
        downstream: DownstreamService,
        on_answer: Callable[[Attempt, str, int, bool], None],
    ) -> None:
        """Create an app server that does not run before `start`.

        Args:
            clock: The virtual clock.
            name: Name of the app server.
            site: Name of its site.
            deployment: The admission settings of each incarnation; its seed and cold start are set anew.
            cores: Speed of its cores.
            downstream: The downstream service.
            on_answer: Called once with the final answer to each attempt: the attempt, the result (`cut` if
                the connection was lost), the Retry-After, and whether not to retry.
        """
        self.clock, self.name, self.site, self.deployment = clock, name, site, deployment
        self.cores, self.downstream, self.on_answer = cores, downstream, on_answer
        self.incarnation = 0
        self.is_up = self.is_paused = self.is_draining = self.is_healthy = False
        self.idle_timeout = -1
        self.counts: Counter[str] = Counter()
        self.on_request: Callable[[Request], None] = lambda request: None
        self.on_request_closed: Callable[[Request, str, int], None] = lambda request, result, run_time: None
        self.before_event: Callable[[], None] = lambda: None
        self.deferred: list[tuple[int, Callable[[], None]]] = []
        self.driver: AdmissionDriver | None = None

    # ---- incarnations ----------------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        """Start a new incarnation without requests.

        Args:
            cold: Whether the cores start cold.
        """
        now = self.clock.now
        self.incarnation += 1
        self.is_up, self.is_paused, self.is_draining, self.is_healthy = True, False, False, True
        self.idle_timeout = -1
        self.cores.start(now, cold)
        self.key_records: dict[str, KeyRecord] = {}
        self.open_requests: dict[Request, Run] = {}
        self.on_cores = 0
        self.started_at = now
        self.ticks_suspended = False
        self.deferred.clear()
        # Each incarnation has a seed of its own.
        settings = replace(
            self.deployment, starts_cold=cold, seed=self.deployment.seed + 7919 * self.incarnation
        )
        self.driver = AdmissionDriver(settings, now, self.perform_action, self.perform_server_action)

    def crash(self) -> None:
        """End the process at once.

        Its requests and stored keys are lost; routers learn of it only from the broken connections.
        """
        self.is_up = self.is_paused = False
        self.incarnation += 1
        self.driver = None
        self.downstream.drop_calls(self.name)
        for run in self.open_requests.values():
            self.on_answer(run.attempt, "cut", 0, False)
        self.open_requests = {}
        self.on_cores = 0

    def pause(self) -> None:
        """Suspend the process."""
        self.is_paused = True

    def resume(self) -> None:
        """Continue a suspended process, and run what was deferred."""
        self.is_paused = False
        deferred, self.deferred = self.deferred, []
        for incarnation, callback in deferred:
            if incarnation == self.incarnation:
                callback()

    def drain(self, stop_span: int = DEFAULT_STOP_SPAN) -> None:
        """Stop accepting requests, and answer those that are open; ignored while draining or not running.

        The process is not ended here.

        Args:
            stop_span: Time until the process is stopped, as the admission decisions are told.
        """
        if self.driver is None or self.is_draining:
            return
        self.is_draining = True
        self.driver.advance_clock(self.clock.now)
        self.driver.drain(self.clock.now + stop_span)
        self.settle()

    @property
    def is_warm(self) -> bool:
        """Whether the process runs at full speed."""
        return self.is_up and (
            not self.cores.is_cold or self.clock.now - self.started_at >= self.cores.warm_up_span
        )

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and accepts requests."""
        return self.is_up and not self.is_paused and not self.is_draining

    def guard(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Wrap a callback so that it runs only in the current incarnation, and after any pause."""
        incarnation = self.incarnation

        def run_if_current() -> None:
            if incarnation != self.incarnation:
                return
            if self.is_paused:
                self.deferred.append((incarnation, run_if_current))
            else:
                callback()

        return run_if_current

    # ---- arrivals --------------------------------------------------------------------------------------

    def receive(self, attempt: Attempt) -> None:
        """Receive an attempt; one that was sent to an earlier incarnation is cut off."""
        if attempt.incarnation != self.incarnation:
            self.on_answer(attempt, "cut", 0, False)
        else:
            self.guard(lambda: self.process_arrival(attempt))()

    def process_arrival(self, attempt: Attempt) -> None:
        """Read an attempt and pass its request to the admission decisions."""
        now = self.clock.now
        if self.driver is None:
            return
        client_request = attempt.request
        original = None
        if client_request.idempotency_key:
            key_record = self.key_records.get(client_request.idempotency_key)
            if key_record is not None and key_record.expires_at > now:
                original = key_record.original
        request = Request(
            client_request.request_class,
            caller=attempt.router_number,
            arrived_at=min(now, attempt.sent_at),
            deadline=max(now, attempt.deadline),
            size=client_request.size,
            tenant=client_request.tenant,
            original=original,
            is_retry=attempt.is_retry,
        )
        run = self.open_requests[request] = Run(attempt, client_request.work, client_request.calls_downstream)
        request.context = run
        self.on_request(request)
        self.begin_event()
        if self.ticks_suspended:
            self.ticks_suspended = False
            self.tick(self.incarnation)
        self.driver.admit(request)
        self.settle()

    def cancel(self, attempt: Attempt) -> None:
        """Handle the disconnection of a client that no longer waits for an attempt.

        It is ignored if the request has its final answer.
        """
        for request, run in self.open_requests.items():
            if run.attempt is attempt:
                self.close_request(request, run, "gone")
                self.deliver_event(request, CallerGone())
                return

    def begin_event(self) -> None:
        """Bring quota leases and the driver's clock up to date before an event."""
        assert self.driver is not None
        self.before_event()
        self.driver.advance_clock(self.clock.now)

    def deliver_event(self, request: Request, event: Event) -> None:
        """Pass an event of a request to the admission decisions."""
        if self.driver is not None:
            self.begin_event()
            self.driver.deliver(request, event)
            self.settle()

    def settle(self) -> None:
        """Let the driver perform actions that are due."""
        if self.driver is not None:
            self.driver.settle()

    # ---- actions of the decisions ----------------------------------------------------------------------

    def perform_action(self, request: Request, action: Action) -> None:
        """Perform an action of the admission decisions for a request."""
        run: Run = request.context
        match action:
            case StartRun():
                self.start_run(request, run)
            case CallDownstream(timeout):
                self.start_call(request, run, timeout)
            case SkipCall():
                self.run_remaining(request, run)
            case AttachToOriginal():
                self.attach_to_original(request, run)
            case StopRun():
                if run.has_started and not run.is_over:
                    self.clock.after(0, self.guard(lambda: self.end_run(request, run, Outcome.CANCELLED)))
            case StoreKey(retention):
                key = run.attempt.request.idempotency_key
                self.key_records[key] = KeyRecord(request, self.clock.now + retention)
            case ReleaseKey():
                self.release_key(run.attempt.request.idempotency_key, request)
            case Reject(retry_after, stop_retrying):
                self.send_answer(request, run, "shed", retry_after, stop_retrying)
            case Fail():
                self.cancel_call(run)
                self.send_answer(request, run, "written_off")

    def perform_server_action(self, action: ServerAction) -> None:
        """Perform an action of the admission decisions for the whole app server."""
        match action:
            case SetTimer(at):
                self.clock.at(at, self.tick, self.incarnation)
            case SetHealth(is_healthy):
                self.is_healthy = is_healthy
            case SetIdleTimeout(timeout):
                self.idle_timeout = timeout

    def tick(self, incarnation: int) -> None:
        """Run the periodic work of the admission decisions.

        Without requests the ticks of a healthy app server would change nothing, so they are suspended until
        the next request or plan.

        Args:
            incarnation: The incarnation that set the timer; ticks of an earlier one are ignored.
        """
        if incarnation != self.incarnation or self.driver is None:
            return
        if self.is_paused:
            self.deferred.append((incarnation, lambda: self.tick(incarnation)))
            return
        metrics = self.driver.metrics()
        if not self.open_requests and metrics.is_healthy and not metrics.plan_weight and not self.is_draining:
            self.ticks_suspended = True
            return
        self.begin_event()
        self.driver.tick(Gauges(min(1.0, self.on_cores / self.cores.count)))
        self.settle()

    # ---- runs ------------------------------------------------------------------------------------------

    def start_run(self, request: Request, run: Run) -> None:
        """Start a run: its first half if a downstream call follows, otherwise all of it."""
        run.has_started, run.started_at = True, self.clock.now
        self.counts["launched"] += 1
        if run.calls_downstream:
            first_half = run.remaining_work // 2
            run.remaining_work -= first_half
            self.run_piece(request, run, first_half, self.request_call)
        else:
            self.run_remaining(request, run)

    def run_remaining(self, request: Request, run: Run) -> None:
        """Run the rest of the work."""
        self.run_piece(request, run, run.remaining_work, self.on_work_done)

    def run_piece(
        self, request: Request, run: Run, work: int, on_done: Callable[[Request, Run], None]
    ) -> None:
        """Run a piece of work on the cores.

        Args:
            request: The request.
            run: Its run.
            work: Core time of the piece.
            on_done: Called at the end of the piece, unless the run was stopped.
        """
        self.on_cores += 1
        run.piece_number += 1
        piece_number = run.piece_number
        duration = self.cores.compute_duration(self.clock.now, work, self.on_cores)

        def finish_piece() -> None:
            if run.piece_number == piece_number and not run.is_over:
                self.on_cores -= 1
                run.piece_number += 1
                on_done(request, run)

        self.clock.after(max(1, duration), self.guard(finish_piece))

    def request_call(self, request: Request, run: Run) -> None:
        """Tell the admission decisions that a run needs its downstream call."""
        self.deliver_event(request, CallNeeded())

    def start_call(self, request: Request, run: Run, timeout: int) -> None:
        """Start the downstream call of a run, and handle its end in the same incarnation and after any pause.

        Args:
            request: The request.
            run: Its run.
            timeout: Span after which the call ends as timed out.
        """
        self.counts["called"] += 1

        def on_end(outcome: Outcome) -> None:
            run.call = None
            resume_run = self.guard(lambda: self.on_call_ended(request, run, outcome))
            resume_run()

        run.call = self.downstream.start_call(self.name, timeout, on_end)

    def on_call_ended(self, request: Request, run: Run, outcome: Outcome) -> None:
        """Report the end of a downstream call, and run the rest of the work if it was served.

        What follows a call that was not served is up to the admission decisions.
        """
        if outcome is not Outcome.SERVED:
            self.counts["calls_bad"] += 1
        self.deliver_event(request, CallEnded(outcome, 0))
        if outcome is Outcome.SERVED and not run.is_over and request.state is RequestState.RUNNING:
            self.run_remaining(request, run)

    def cancel_call(self, run: Run) -> None:
        """Cancel the downstream call of a run, if there is one."""
        if run.call is not None:
            self.downstream.remove_call(run.call)
            run.call = None

    def on_work_done(self, request: Request, run: Run) -> None:
        """End a run that has done all its work."""
        self.end_run(request, run, Outcome.SERVED)

    def end_run(self, request: Request, run: Run, outcome: Outcome) -> None:
        """End a run, and report its outcome to its request and to all repeats that wait for it."""
        if run.is_over:
            return
        if run.piece_number % 2:  # a piece is on the cores
            self.on_cores -= 1
        run.is_over = True
        self.cancel_call(run)
        key_record = self.key_records.get(run.attempt.request.idempotency_key)
        waiting_repeats: list[Request] = []
        if key_record is not None and key_record.original is request:
            key_record.outcome = outcome
            waiting_repeats, key_record.waiting_repeats = key_record.waiting_repeats, []
        self.report_outcome(request, run, outcome)
        for repeat in waiting_repeats:
            if repeat in self.open_requests:
                self.report_outcome(repeat, self.open_requests[repeat], outcome)

    def report_outcome(self, request: Request, run: Run, outcome: Outcome) -> None:
        """Answer a request with the outcome of a run, and report it to the admission decisions."""
        is_served = outcome is Outcome.SERVED
        self.send_answer(request, run, "honoured" if is_served else "written_off")
        self.deliver_event(request, RunEnded(outcome, 0))

    def attach_to_original(self, request: Request, run: Run) -> None:
        """Give a repeat the outcome of the request whose key it repeats, now or when that ends."""
        key_record = self.key_records.get(run.attempt.request.idempotency_key)
        if key_record is None or key_record.outcome is not None:
            outcome = (
                Outcome.FAILED if key_record is None or key_record.outcome is None else key_record.outcome
            )
            self.clock.after(0, self.guard(lambda: self.report_outcome(request, run, outcome)))
        else:
            key_record.waiting_repeats.append(request)

    def release_key(self, key: str, request: Request) -> None:
        """Delete the key of a request that never ran; the repeats that wait for it fail."""
        key_record = self.key_records.get(key)
        if key_record is None or key_record.original is not request:
            return
        del self.key_records[key]
        for repeat in key_record.waiting_repeats:
            if repeat in self.open_requests:
                run = self.open_requests[repeat]
                fail = self.guard(lambda r=repeat, n=run: self.report_outcome(r, n, Outcome.FAILED))  # type: ignore[misc]
                self.clock.after(0, fail)

    # ---- final answers ---------------------------------------------------------------------------------

    def send_answer(
        self, request: Request, run: Run, result: str, retry_after: int = 0, stop_retrying: bool = False
    ) -> None:
        """Send the final answer to a request, unless it has one or its client has gone."""
        if self.close_request(request, run, result):
            self.on_answer(run.attempt, result, retry_after, stop_retrying)

    def close_request(self, request: Request, run: Run, result: str) -> bool:
        """Remove a request from the open ones, count its result and report it to `on_request_closed`.

        Returns:
            Whether the request was open, so that this is its final answer.
        """
        if self.open_requests.pop(request, None) is None:
            return False
        self.counts[result] += 1
        run_time = self.clock.now - run.started_at if run.has_started else -1
        self.on_request_closed(request, result, run_time)
        return True
