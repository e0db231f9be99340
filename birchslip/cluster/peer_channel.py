"""Requests from one planner to another: one at a time, with only the newest of each method pending.

A slow or silent planner delays only the requests to itself. The caller decodes and handles the responses.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from ..errors import InvalidInputError
from ..net.log import Log
from ..net.scheduler import Scheduler
from .messages import Message, encode
from .transport import PeerConnection

RESPONSE_TIMEOUT = 3_000  # 300 ms


class PlannerMethod(StrEnum):
    """RPC methods that a planner serves."""

    REPORT = "report"
    VOTE = "ask"
    REPLICATE = "keep"
    OPERATOR_COMMAND = "wish"
    EVICTION = "want"
    ROLLOUT = "release"


ResponseHandler = Callable[[Message, bytes, int], None]


class PeerChannel:
    """Sends requests to one other planner."""

    def __init__(
        self,
        name: str,
        connection: PeerConnection,
        scheduler: Scheduler,
        log: Log,
        on_response: ResponseHandler,
    ) -> None:
        """Create a channel without connecting yet.

        Args:
            name: The other planner's name.
            connection: The connection to that planner.
            scheduler: Runs the task that sends.
            log: Receives failures.
            on_response: Called with the request, the undecoded response and when the request was sent.
        """
        self.name = name
        self.connection = connection
        self.scheduler = scheduler
        self.log = log
        self.on_response = on_response
        self.pending: dict[PlannerMethod, Message] = {}
        self.is_sending = False

    def send(self, method: PlannerMethod, request: Message) -> None:
        """Queue a request, in place of a pending one of the same method, and start sending."""
        self.pending[method] = request
        if not self.is_sending:
            self.is_sending = True
            self.scheduler.spawn(f"to {self.name}", self.send_pending)

    def send_pending(self) -> None:
        """Send requests until none is pending. Runs as a task."""
        try:
            while self.pending:
                method = next(iter(self.pending))
                self.call(method, self.pending.pop(method))
        finally:
            self.is_sending = False

    def call(self, method: PlannerMethod, request: Message) -> None:
        """Send one request and pass the response to the handler; log a failure."""
        sent = self.scheduler.update_clock()
        try:
            response = self.connection.call(method.value, encode(request), sent + RESPONSE_TIMEOUT)
            self.on_response(request, response, sent)
        except (OSError, InvalidInputError) as error:
            self.log.fault("planner_unreachable", planner=self.name, why=str(error))
