"""The run dispatcher: starts and stops runs at the agent, and processes their results.

Its counters are named `send.*`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from ...admission.types import Outcome, RunEnded
from ..counters import Counters
from ..idempotency_table import IdempotencyTable
from ..launched_ids import LaunchedIds
from ..log import Log
from ..request_context import MAX_CLOCK_SKEW, RequestContext, RunResult
from ..servers import Agent
from .admission_stage import AdmissionStage
from .downstream_caller import DownstreamCaller
from .response_recorder import ResponseRecorder


class ResultKeeper(Protocol):
    """A durable store of starts and results of requests with an idempotency key.

    Each listener is notified once whether the record was stored.
    """

    def record_start(self, context: RequestContext, listener: Callable[[bool], None]) -> None:
        """Record that a request is about to run."""

    def record_never_ran(self, context: RequestContext) -> None:
        """Record that a request whose start was recorded will not run."""

    def record_completion(
        self, context: RequestContext, run_result: RunResult, listener: Callable[[bool], None]
    ) -> None:
        """Record the result of a run."""


class RunDispatcher:
    """Starts, stops and completes runs.

    Attributes:
        result_keeper: Stores the results of requests with an idempotency key; None if results are not stored.
    """

    def __init__(
        self,
        counters: Counters,
        log: Log,
        agent: Agent,
        idempotency_table: IdempotencyTable,
        admission_stage: AdmissionStage,
        downstream_caller: DownstreamCaller,
        response_recorder: ResponseRecorder,
        launched_ids: LaunchedIds,
    ) -> None:
        """Begin without runs and without a result keeper."""
        self.launched_ids = launched_ids
        self.counters, self.log, self.agent, self.idempotency_table = counters, log, agent, idempotency_table
        self.admission_stage, self.downstream_caller, self.response_recorder = (
            admission_stage,
            downstream_caller,
            response_recorder,
        )
        self.scheduler = admission_stage.scheduler
        self.result_keeper: ResultKeeper | None = None

    def start(self, context: RequestContext) -> None:
        """Start the run of a request, unless its caller is gone or its id could not be remembered.

        If its key is claimed by another attempt, it shares that one's result.
        """
        if context.channel.has_peer_closed() or not self.launched_ids.has_room(self.scheduler.now):
            self.withdraw(context, was_claimed=False)
            return
        if context.idempotency_key and not self.idempotency_table.claim(context):
            self.counters.count("send.unclaimed")
            self.log.fault("duplicate_run_prevented", id=context.request_id)
            self.response_recorder.attach(context)
            return
        if context.idempotency_key and self.result_keeper is not None:
            self.result_keeper.record_start(context, partial(self.on_start_recorded, context))
        else:
            self.launch(context)

    def launch(self, context: RequestContext) -> None:
        """Order the run at the agent."""
        now = self.scheduler.now
        context.is_launched, context.launched_at = True, now
        self.launched_ids.add(context.request_id, context.retention_start + MAX_CLOCK_SKEW, now)
        self.counters.count("send.launched")
        self.counters.peak("send.running", len(self.agent.runs) + 1)
        self.agent.launch(context)

    def on_start_recorded(self, context: RequestContext, is_recorded: bool) -> None:
        """Launch a run whose start was recorded.

        If the start could not be recorded, or the request was answered or its caller left in the meantime, it
        never runs.
        """
        if is_recorded and not context.is_answered and not context.channel.has_peer_closed():
            self.launch(context)
            return
        if is_recorded and self.result_keeper is not None:
            self.result_keeper.record_never_ran(context)
        self.withdraw(context, was_claimed=True)

    def withdraw(self, context: RequestContext, was_claimed: bool) -> None:
        """End a request that admission control has started and that was not launched.

        Its repeats never ran either: all of them are rejected, so they may be retried.

        Args:
            context: The request.
            was_claimed: Whether it had claimed its key.
        """
        self.counters.count("send.withdrawn")
        if context.channel.has_peer_closed():
            self.response_recorder.on_caller_gone(context)
        for waiter in (context, *self.idempotency_table.release(context, was_claimed)):
            self.response_recorder.send_rejection(waiter)
            self.admission_stage.add_event(waiter, RunEnded(Outcome.SUPERSEDED, frees_key=True))

    def withdraw_unwritten(self, context: RequestContext) -> None:
        """Withdraw the launch of a request whose caller is gone, if the agent can't have received it.

        The run goes on if repeats of the request wait for it.
        """
        if context.entry is not None and context.entry.waiters:
            return
        if context.is_launched and self.agent.withdraw_launch(context):
            self.counters.count("send.withdrawn")
            self.end_refused_run(context)

    def stop(self, context: RequestContext) -> None:
        """Stop the run of a request, if it runs."""
        if self.agent.runs.get(context.request_id) is context:
            self.counters.count("send.stopped")
            self.agent.stop_run(context)

    def mark_outcome_unknown(self, context: RequestContext) -> None:
        """End a run whose outcome can't be determined any more; it counts as cancelled."""
        self.log.fault("run_outcome_unknown", id=context.request_id)
        self.on_run_ended(context, Outcome.CANCELLED, b"", 0)

    def on_launch_refused(self, context: RequestContext) -> None:
        """End a run that the agent refused to launch: it never ran, so its key is free again."""
        self.counters.count("send.refused")
        self.end_refused_run(context)

    def end_refused_run(self, context: RequestContext) -> None:
        """End a run that was ordered and certainly never began; its id and its key are free again."""
        self.launched_ids.remove(context.request_id)
        self.response_recorder.release_key(context, was_claimed=True)
        self.on_run_ended(context, Outcome.SUPERSEDED, b"", 0, frees_key=True)

    def on_run_ended(
        self, context: RequestContext, outcome: Outcome, body: bytes, elapsed: int, frees_key: bool = False
    ) -> None:
        """Complete a run that ended, once its result is recorded or can't be recorded in time.

        Args:
            context: The request whose run ended.
            outcome: How the run ended.
            body: The response body that it produced.
            elapsed: How long it ran, in tenths of a millisecond.
            frees_key: Whether it never ran, so that its key can be used again.
        """
        self.counters.count(f"send.{outcome.value}")
        self.downstream_caller.cancel_call(context)
        run_result, ended = RunResult(outcome, body), RunEnded(outcome, elapsed, frees_key)
        if context.idempotency_key and self.result_keeper is not None:
            self.result_keeper.record_completion(
                context, run_result, lambda is_recorded: self.complete(context, run_result, ended)
            )
        else:
            self.complete(context, run_result, ended)

    def complete(self, context: RequestContext, run_result: RunResult, ended: RunEnded) -> None:
        """Answer a request whose run is over, and the repeats that were waiting for it.

        Args:
            context: The request.
            run_result: What the run produced.
            ended: The event for the admission decisions.
        """
        waiters = self.idempotency_table.complete(context, run_result)
        self.response_recorder.complete(context, run_result)
        self.admission_stage.add_event(context, ended)
        for repeat in waiters:
            self.response_recorder.share_result(repeat, run_result)
