"""The downstream caller: makes the calls of runs to the vault, and returns the replies.

Its counters are named `relay.*`.
"""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import MS, CallEnded, CallNeeded, Outcome
from ..counters import Counters
from ..request_context import RequestContext
from ..scheduler import Scheduler
from ..servers import Agent
from ..vault import Vault
from .admission_stage import AdmissionStage


class DownstreamCaller:
    """Makes the downstream calls of runs; a run has at most one call in progress.

    Attributes:
        guarded_on_timeout: `on_timeout`, or a wrapper of it that confines exceptions to the request.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        agent: Agent,
        vault: Vault,
        admission_stage: AdmissionStage,
    ) -> None:
        """Begin without calls."""
        self.scheduler, self.counters = scheduler, counters
        self.agent, self.vault, self.admission_stage = agent, vault, admission_stage
        self.guarded_on_timeout: Callable[[RequestContext], None] = self.on_timeout

    def on_call_needed(self, context: RequestContext, notice_number: int, body: bytes) -> None:
        """Notify the decisions of a call that the agent's notice requested for a run."""
        self.counters.count("relay.wanted")
        self.cancel_call(context)  # the run no longer waits for a call that is still in progress
        context.call_notice_number, context.call_body = notice_number, body
        self.admission_stage.add_event(context, CallNeeded())

    def start_call(self, context: RequestContext, timeout: int) -> None:
        """Send the call that a run requested to the vault, and start its timeout.

        Args:
            context: The request; `call_body` is sent.
            timeout: Tenths of a millisecond until the call is cancelled. The vault gets it in whole
                milliseconds, at least 1.
        """
        self.counters.count("relay.called")
        now = self.scheduler.now
        context.call_started_at = now
        context.call_timer = self.scheduler.at(now + timeout, lambda: self.guarded_on_timeout(context))
        self.vault.call(context, max(1, timeout // MS), context.call_body)

    def skip_call(self, context: RequestContext) -> None:
        """Let the run continue without its call."""
        self.counters.count("relay.skipped")
        self.agent.skip_call(context)

    def on_reply_unconfirmed(self, context: RequestContext) -> None:
        """Let a run that may lack the reply of its call continue without that call, if its class allows it.

        The order names the notice of the call, so it changes nothing if the run has received the reply. A run
        that may not skip its call either has the reply, or waits until its request is over.
        """
        if context.request.request_class.may_skip_calls and not context.is_answered:
            self.agent.skip_call(context)

    def on_timeout(self, context: RequestContext) -> None:
        """End a call that has reached its timeout."""
        self.vault.cancel_call(context)
        self.on_call_ended(context, Outcome.TIMED_OUT, b"")

    def on_call_ended(self, context: RequestContext, outcome: Outcome, reply: bytes) -> None:
        """Report the end of a call to the decisions, and pass the reply of a served call to the run."""
        self.counters.count(f"relay.{outcome.value}")
        self.stop_timer(context)
        if outcome is Outcome.SERVED:
            self.agent.deliver(context, reply)
        self.admission_stage.add_event(
            context, CallEnded(outcome, self.scheduler.now - context.call_started_at)
        )

    def cancel_call(self, context: RequestContext) -> None:
        """Cancel the call that is in progress, if any, because its run no longer waits for it."""
        if context.call_timer is not None:
            self.counters.count("relay.dropped")
            self.stop_timer(context)
            self.vault.cancel_call(context)

    @staticmethod
    def stop_timer(context: RequestContext) -> None:
        """Cancel the timeout of a call; afterwards no call counts as in progress."""
        if context.call_timer is not None:
            context.call_timer.cancel()
            context.call_timer = None
