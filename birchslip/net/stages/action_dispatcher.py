"""The action dispatcher: passes each action of the admission decisions to the stage that performs it."""

from __future__ import annotations

from ...admission.types import (
    Action,
    AttachToOriginal,
    CallDownstream,
    Fail,
    Reject,
    ReleaseKey,
    Request,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
)
from ..idempotency_table import IdempotencyTable
from ..request_context import RequestContext
from ..scheduler import Scheduler
from .downstream_caller import DownstreamCaller
from .response_recorder import ResponseRecorder
from .run_dispatcher import RunDispatcher


class ActionDispatcher:
    """Performs the actions that the admission decisions yield for a request."""

    def __init__(
        self,
        scheduler: Scheduler,
        idempotency_table: IdempotencyTable,
        run_dispatcher: RunDispatcher,
        downstream_caller: DownstreamCaller,
        response_recorder: ResponseRecorder,
    ) -> None:
        """Dispatch to these stages."""
        self.scheduler, self.idempotency_table = scheduler, idempotency_table
        self.run_dispatcher, self.downstream_caller, self.response_recorder = (
            run_dispatcher,
            downstream_caller,
            response_recorder,
        )

    def perform(self, request: Request, action: Action) -> None:
        """Perform one action for a request."""
        context: RequestContext = request.context
        match action:
            case StartRun():
                self.run_dispatcher.start(context)
            case CallDownstream(timeout):
                self.downstream_caller.start_call(context, timeout)
            case SkipCall():
                self.downstream_caller.skip_call(context)
            case AttachToOriginal():
                self.response_recorder.attach(context)
            case StopRun():
                self.run_dispatcher.stop(context)
            case StoreKey(retention):
                now = self.scheduler.now
                if context.idempotency_key:
                    self.idempotency_table.store(context, now + retention, now)
            case ReleaseKey():
                self.response_recorder.release_key(context)
            case Reject(retry_after, stop_retrying):
                self.response_recorder.send_rejection(context, retry_after, stop_retrying)
            case Fail():
                self.downstream_caller.cancel_call(context)
                self.response_recorder.send_error(context)
