"""The response recorder: sends the one final answer of each request and counts its outcome.

Its counters are named `book.*`.
"""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import CallerGone, Outcome, RunEnded
from ..counters import Counters
from ..idempotency_table import IdempotencyTable
from ..log import Log
from ..request_context import IdempotencyEntry, RequestContext, RunResult
from .admission_stage import AdmissionStage


class ResponseRecorder:
    """Answers requests, each of them once.

    Attributes:
        open_request_ids: The ids of the requests that are not answered yet.
        on_answered: Called with each request that is closed and its outcome; None unless the app server
            belongs to a fleet.
    """

    def __init__(
        self,
        counters: Counters,
        log: Log,
        idempotency_table: IdempotencyTable,
        admission_stage: AdmissionStage,
    ) -> None:
        """Begin without open requests and without an `on_answered` callback."""
        self.counters, self.log, self.idempotency_table, self.admission_stage = (
            counters,
            log,
            idempotency_table,
            admission_stage,
        )
        self.open_request_ids: set[str] = set()
        self.on_answered: Callable[[RequestContext, str], None] | None = None

    def open(self, context: RequestContext) -> None:
        """Record that a request is open: it is to be answered."""
        context.channel.open_requests[context.message_id] = context
        self.open_request_ids.add(context.request_id)

    def close(self, context: RequestContext, outcome: str) -> bool:
        """Record the final answer of a request, or that its caller is gone.

        Args:
            context: The request.
            outcome: The outcome that is counted.

        Returns:
            Whether the answer is to be sent: False if the request is already answered or its caller is gone.
        """
        if context.is_answered:
            return False
        context.is_answered = True
        context.channel.open_requests.pop(context.message_id, None)
        self.open_request_ids.discard(context.request_id)
        self.idempotency_table.stop_waiting(context)
        self.counters.count(f"book.{outcome}")
        if self.on_answered is not None:
            self.on_answered(context, outcome)
        return True

    def send_result(self, context: RequestContext, body: bytes) -> None:
        """Answer with the result of a run."""
        if self.close(context, "honoured"):
            context.channel.send_result(context.message_id, body)

    def send_error(self, context: RequestContext, outcome: str = "written_off") -> None:
        """Answer that the request failed."""
        if self.close(context, outcome):
            context.channel.send_error(context.message_id)

    def send_rejection(
        self, context: RequestContext, retry_after: int = 0, stop_retrying: bool = False
    ) -> None:
        """Answer that the request was rejected, which states that it never ran.

        A request that was launched is answered with an error instead.

        Args:
            context: The request.
            retry_after: The advised delay before a retry, in tenths of a millisecond; 0 gives no advice.
            stop_retrying: Whether the caller is asked not to retry on another app server.
        """
        if context.is_launched:
            self.log.fault("rejection_after_launch_prevented", id=context.request_id)
            self.send_error(context)
        elif self.close(context, "shed"):
            context.channel.send_rejection(context.message_id, retry_after, stop_retrying)

    def on_caller_gone(self, context: RequestContext) -> None:
        """Close a request without an answer, and report to the decisions that its caller is gone.

        The caller waits no longer, or its connection has ended. Nothing happens if the request is closed.
        """
        if self.close(context, "gone"):
            self.admission_stage.add_event(context, CallerGone())

    def abandon(self, context: RequestContext) -> None:
        """Answer a request now, as no later answer can reach its caller, and withdraw it from admission.

        It is rejected if neither it nor another attempt with its key has run, as it may then be retried on
        another app server.
        """
        entry = context.entry
        has_run = entry is not None and (
            entry.claimed_by is not None or entry.matches_earlier_run is not None
        )
        if not context.is_answered:
            self.send_error(context) if context.is_launched or has_run else self.send_rejection(context)
            self.admission_stage.add_event(context, CallerGone())

    def complete(self, context: RequestContext, run_result: RunResult) -> None:
        """Answer with the result of a run, or that it failed, unless the request was answered before."""
        if run_result.outcome is Outcome.SERVED:
            self.send_result(context, run_result.body)
        else:
            self.send_error(context, "erred")

    # ---- idempotency keys ----------------------------------------------------------------------------------

    def attach(self, context: RequestContext) -> None:
        """Let a repeat share the result of its original, now or once the run is over."""
        run_result = self.idempotency_table.attach(context)
        if run_result is not None:
            self.share_result(context, run_result)

    def share_result(self, context: RequestContext, run_result: RunResult) -> None:
        """Answer a repeat with the result of its original, and report the end to the decisions."""
        outcome = Outcome.SERVED if run_result.outcome is Outcome.SERVED else Outcome.FAILED
        self.complete(context, run_result)
        self.admission_stage.add_event(context, RunEnded(outcome))

    def resolve_entry(self, entry: IdempotencyEntry, run_result: RunResult) -> None:
        """Set the result of a run of an earlier incarnation, and answer the repeats that wait for it.

        A repeat with another content than the request that ran gets an error.
        """
        entry.result = run_result
        for repeat in entry.take_waiters():
            self.share_result(repeat, run_result if entry.matches(repeat) else RunResult(Outcome.FAILED))

    def release_key(self, context: RequestContext, was_claimed: bool = False) -> None:
        """Release the key of a request that never ran; the repeats that wait for it fail.

        Args:
            context: The request.
            was_claimed: Whether it had claimed the key.
        """
        for repeat in self.idempotency_table.release(context, was_claimed):
            self.share_result(repeat, RunResult(Outcome.FAILED))

    # ---- exceptions ----------------------------------------------------------------------------------------

    def guard(self, stage: Callable[..., None]) -> Callable[..., None]:
        """Wrap a stage so that an exception affects only its request, which is the first argument."""

        def run(context: RequestContext, *args: object) -> None:
            try:
                stage(context, *args)
            except Exception as error:
                self.handle_fault(context, error)

        return run

    def handle_fault(self, context: RequestContext, error: Exception) -> None:
        """Answer a request with an error because one of its stages raised an exception.

        No other request is affected.
        """
        self.counters.count("book.faults")
        self.log.trace("request_stage_failed", error, id=context.request_id)
        self.send_error(context)
