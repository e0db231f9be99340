"""Send: runs are started and stopped at the agent, and their ends come back."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from ...admission.types import Outcome, RunEnded
from ..counters import Counters
from ..idempotency_table import IdempotencyTable
from ..log import Log
from ..request_context import RequestContext, RunResult
from ..servers import Agent
from .admission_stage import AdmissionStage
from .downstream_caller import DownstreamCaller
from .response_recorder import ResponseRecorder


class ResultKeeper(Protocol):
    """Where a folder survives: `listener` hears once that it is kept, or could not be."""

    def record_start(self, context: RequestContext, listener: Callable[[bool], None]) -> None: ...
    def record_never_ran(self, context: RequestContext) -> None: ...
    def record_completion(
        self, context: RequestContext, run_result: RunResult, listener: Callable[[bool], None]
    ) -> None: ...


class RunDispatcher:
    def __init__(
        self,
        counters: Counters,
        log: Log,
        agent: Agent,
        idempotency_table: IdempotencyTable,
        admission_stage: AdmissionStage,
        downstream_caller: DownstreamCaller,
        response_recorder: ResponseRecorder,
    ) -> None:
        self.counters, self.log, self.agent, self.idempotency_table = counters, log, agent, idempotency_table
        self.admission_stage, self.downstream_caller, self.response_recorder = (
            admission_stage,
            downstream_caller,
            response_recorder,
        )
        self.result_keeper: ResultKeeper | None = None

    def start(self, context: RequestContext) -> None:
        if context.idempotency_key and not self.idempotency_table.claim(context):
            # Another try of the same label holds the claim: this one shares what that one comes to.
            self.counters.count("send.unclaimed")
            self.log.fault("a second run of a label was asked for and not made", id=context.request_id)
            self.response_recorder.attach(context)
            return
        if context.idempotency_key and self.result_keeper is not None:
            self.result_keeper.record_start(context, partial(self.on_start_recorded, context))
        else:
            self.launch(context)

    def launch(self, context: RequestContext) -> None:
        context.is_launched, context.launched_at = True, self.admission_stage.scheduler.now
        self.counters.count("send.launched")
        self.counters.peak("send.running", len(self.agent.runs) + 1)
        self.agent.launch(context)

    def on_start_recorded(self, context: RequestContext, is_recorded: bool) -> None:
        """That it begins is kept, or can't be: then it never ran, nor does one written off meanwhile."""
        if is_recorded and not context.is_answered:
            self.launch(context)
            return
        if is_recorded and self.result_keeper is not None:
            self.result_keeper.record_never_ran(context)
        # None of its repeats ran either: all may come again.
        for waiter in (context, *self.idempotency_table.release(context, was_claimed=True)):
            self.response_recorder.send_rejection(waiter)
            self.admission_stage.add_event(waiter, RunEnded(Outcome.SUPERSEDED))

    def stop(self, context: RequestContext) -> None:
        if self.agent.runs.get(context.request_id) is context:
            self.counters.count("send.stopped")
            self.agent.stop_run(context)

    def mark_outcome_unknown(self, context: RequestContext) -> None:
        """How its run ended can't be known any more."""
        self.log.fault("how a run ended can't be known", id=context.request_id)
        self.on_run_ended(context, Outcome.CANCELLED, b"", 0)

    def on_launch_refused(self, context: RequestContext) -> None:
        """The agent does not know it: it has never run, and a further try of its label finds nothing."""
        self.counters.count("send.refused")
        self.response_recorder.release_key(context, was_claimed=True)
        self.on_run_ended(context, Outcome.SUPERSEDED, b"", 0)

    def on_run_ended(self, context: RequestContext, outcome: Outcome, body: bytes, elapsed: int) -> None:
        self.counters.count(f"send.{outcome.value}")
        self.downstream_caller.cancel_call(context)
        run_result = RunResult(outcome, body)
        if context.idempotency_key and self.result_keeper is not None:
            self.result_keeper.record_completion(
                context, run_result, lambda is_recorded: self.complete(context, run_result, elapsed)
            )
        else:
            self.complete(context, run_result, elapsed)

    def complete(self, context: RequestContext, run_result: RunResult, elapsed: int) -> None:
        waiters = self.idempotency_table.complete(context, run_result)
        self.response_recorder.complete(context, run_result)
        self.admission_stage.add_event(context, RunEnded(run_result.outcome, elapsed))
        for repeat in waiters:
            self.response_recorder.share_result(repeat, run_result)
