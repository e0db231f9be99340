"""Book: each transaction gets its one final answer here, and what came of it is counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...admission.types import CallerGone, Outcome, RunEnded
from ..counters import Counters
from ..idempotency_table import IdempotencyTable
from ..log import Log
from ..request_context import IdempotencyEntry, RequestContext, RunResult
from .admission_stage import AdmissionStage


class ResponseRecorder:
    def __init__(
        self,
        counters: Counters,
        log: Log,
        idempotency_table: IdempotencyTable,
        admission_stage: AdmissionStage,
    ) -> None:
        self.counters, self.log, self.idempotency_table, self.admission_stage = (
            counters,
            log,
            idempotency_table,
            admission_stage,
        )
        self.open_request_ids: set[str] = set()
        # hears of each final answer, where a fleet's side wants to
        self.on_answered: Callable[[RequestContext, str], None] | None = None

    def open(self, context: RequestContext) -> None:
        """From now on it is owed its answer."""
        context.channel.open_requests[context.message_id] = context
        self.open_request_ids.add(context.request_id)

    def close(self, context: RequestContext, outcome: str) -> bool:
        """Whether this is the final answer: there is one, and none once the caller has gone."""
        if context.is_answered:
            return False
        context.is_answered = True
        context.channel.open_requests.pop(context.message_id, None)
        self.open_request_ids.discard(context.request_id)
        self.counters.count(f"book.{outcome}")
        if self.on_answered is not None:
            self.on_answered(context, outcome)
        return True

    def send_result(self, context: RequestContext, body: bytes) -> None:
        if self.close(context, "honoured"):
            context.channel.send_result(context.message_id, body)

    def send_error(self, context: RequestContext, outcome: str = "written_off") -> None:
        if self.close(context, outcome):
            context.channel.send_error(context.message_id)

    def send_rejection(
        self, context: RequestContext, retry_after: int = 0, stop_retrying: bool = False
    ) -> None:
        """Only ever said of what never ran: were it asked for one that has, it would be written off."""
        if context.is_launched:
            self.log.fault("a shed of what has run was asked for and not said", id=context.request_id)
            self.send_error(context)
        elif self.close(context, "shed"):
            context.channel.send_rejection(context.message_id, retry_after, stop_retrying)

    def on_caller_gone(self, context: RequestContext) -> None:
        """Its caller waits no longer, or its connection has ended."""
        if self.close(context, "gone"):
            self.admission_stage.add_event(context, CallerGone())

    def abandon(self, context: RequestContext) -> None:
        """No later answer can reach its caller: it is answered now, and the decisions hear that nobody waits.

        Shed where neither it nor any try of its label has run, for that may be tried again elsewhere.
        """
        entry = context.entry
        ran = entry is not None and (entry.claimed_by is not None or entry.matches_earlier_run is not None)
        if not context.is_answered:
            self.send_error(context) if context.is_launched or ran else self.send_rejection(context)
            self.admission_stage.add_event(context, CallerGone())

    def complete(self, context: RequestContext, run_result: RunResult) -> None:
        """Its run is over: the result, or that there is none, unless it was answered before."""
        if run_result.outcome is Outcome.SERVED:
            self.send_result(context, run_result.body)
        else:
            self.send_error(context, "erred")

    # ---- labels --------------------------------------------------------------------------------------------

    def attach(self, context: RequestContext) -> None:
        """It shares what the try that it repeats comes to, or has come to."""
        run_result = self.idempotency_table.attach(context)
        if run_result is not None:
            self.share_result(context, run_result)

    def share_result(self, context: RequestContext, run_result: RunResult) -> None:
        outcome = Outcome.SERVED if run_result.outcome is Outcome.SERVED else Outcome.FAILED
        self.complete(context, run_result)
        self.admission_stage.add_event(context, RunEnded(outcome))

    def resolve_entry(self, entry: IdempotencyEntry, run_result: RunResult) -> None:
        """What a try of an earlier life has come to: those that wait for it hear so."""
        entry.result = run_result
        waiters, entry.waiters = entry.waiters, []
        for repeat in waiters:
            self.share_result(repeat, run_result if entry.matches(repeat) else RunResult(Outcome.FAILED))

    def release_key(self, context: RequestContext, was_claimed: bool = False) -> None:
        for repeat in self.idempotency_table.release(context, was_claimed):
            self.share_result(repeat, RunResult(Outcome.FAILED))

    # ---- trouble -------------------------------------------------------------------------------------------

    def guard(self, stage: Callable[..., None]) -> Callable[..., None]:
        """The stage, with a fault in it kept to its transaction, which is the first argument."""

        def run(context: RequestContext, *args: Any) -> None:
            try:
                stage(context, *args)
            except Exception as error:
                self.handle_fault(context, error)

        return run

    def handle_fault(self, context: RequestContext, error: Exception) -> None:
        """An exception in its stages: it alone is written off, and the program goes on."""
        self.counters.count("book.faults")
        self.log.trace("a fault in a transaction's stages", error, id=context.request_id)
        self.send_error(context)
