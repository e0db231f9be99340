"""Data of one request as it passes through the pipeline, beside what the admission decisions know of it.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..admission.types import SECOND, Outcome, Request
from .agent_orders import PendingOrder
from .scheduler import Timer

# The router runs on the same machine, so on the same clock: a larger difference is an invalid timestamp.
MAX_CLOCK_SKEW = 60 * SECOND
MAX_BODY_BYTES = 2_048  # of a request


class ResponseChannel(Protocol):
    """The connection that a request arrived on and is answered on.

    Attributes:
        open_requests: The unanswered requests of this connection by message id.
    """

    open_requests: dict[int, RequestContext]

    def send_result(self, message_id: int, body: bytes) -> None:
        """Send the result of a run."""

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """Send a rejection of a request that never ran.

        Args:
            message_id: The message that is answered.
            retry_after: The advised delay before a retry; 0 gives no advice.
            stop_retrying: Whether the caller is asked not to retry on another app server.
        """

    def send_error(self, message_id: int) -> None:
        """Send that a request failed; it may have run."""

    def has_peer_closed(self) -> bool:
        """Return whether no answer can reach the caller any more."""


@dataclass(slots=True)
class DecodedRequest:
    """A request as a router sent it, in this program's units; each protocol decodes into this form.

    Attributes:
        request_id: The id that all peers use for this request.
        class_name: The name of its request class.
        body: The body of the request, passed to its run.
        router_timestamp: When the router received it, by the router's clock.
        timeout: How long its caller waits, from `router_timestamp` on.
        caller: The number by which the router identifies its caller.
        tenant: The name of its tenant, or "".
        size: The memory that it needs, in bytes.
        is_retry: Whether the router sent it before.
        idempotency_key: Its idempotency key, or "".
        has_subject: Whether it names the object that it reads.
    """

    request_id: str
    class_name: str
    body: bytes
    router_timestamp: int
    timeout: int
    caller: int
    tenant: str
    size: int
    is_retry: bool
    idempotency_key: str
    has_subject: bool = False


@dataclass(eq=False, slots=True)
class RequestContext:
    """What the pipeline keeps of one request until it is answered and its run is over.

    Attributes:
        channel: The connection that it is answered on.
        message_id: The id of its message on that connection.
        request_id: The id that all peers use for it.
        class_name: The name of its request class.
        body: The body of the request, passed to its run.
        request: The part that the admission decisions see.
        received_at: When the router received it, capped at the present time of this server's clock.
        idempotency_key: Its idempotency key, or "".
        entry: The entry of its key in the idempotency table, while it needs one.
        is_answered: Whether its final answer was sent, or its caller is gone.
        is_launched: Whether its run was ordered; from then on it must not be answered as never run.
        launched_at: When its run was ordered.
        call_notice_number: The number of the agent's notice that requested its downstream call.
        call_body: The body of that call.
        call_started_at: When the call was started.
        call_timer: The timeout of the call; None while no call is in progress.
        pending_orders: Orders to the agent that no notice has answered yet; they are sent again if the link
            is lost.
        router_timestamp: When the router received it, as sent; it may be ahead of this server's clock.
    """

    channel: ResponseChannel
    message_id: int
    request_id: str
    class_name: str
    body: bytes
    request: Request
    received_at: int
    idempotency_key: str = ""
    entry: IdempotencyEntry | None = None
    is_answered: bool = False
    is_launched: bool = False
    launched_at: int = 0
    call_notice_number: int = 0
    call_body: bytes = b""
    call_started_at: int = 0
    call_timer: Timer | None = None
    pending_orders: list[PendingOrder] = field(default_factory=list)
    router_timestamp: int = 0

    @property
    def retention_start(self) -> int:
        """When the retention of its idempotency key begins.

        This is the later of the times by the router's clock and by this server's clock, which keeps the key
        longer: an early end of the retention would allow a second run.
        """
        return max(self.received_at, self.router_timestamp)


@dataclass(eq=False, slots=True)
class RunResult:
    """How a run ended, and the response body that it produced."""

    outcome: Outcome
    body: bytes = field(default=b"", repr=False)


@dataclass(eq=False, slots=True)
class IdempotencyEntry:
    """The state of one idempotency key.

    Attributes:
        key: The idempotency key.
        stored_by: The attempt that stored the key last.
        valid_until: The last time of receipt at which a request with this key is a repeat.
        claimed_by: The only attempt that may run, once there is one.
        result: The result of the run, once it is over.
        retained_bytes: What the entry counts for in the memory of the table.
        waiters: Repeats that are answered when the run is over, in the order of their arrival.
        matches_earlier_run: Set if the run was started by an earlier incarnation: whether an attempt has the
            same content as the request that ran.
    """

    key: str
    stored_by: RequestContext
    valid_until: int
    claimed_by: RequestContext | None = None
    result: RunResult | None = None
    retained_bytes: int = 0
    waiters: dict[RequestContext, None] = field(default_factory=dict)
    matches_earlier_run: Callable[[RequestContext], bool] | None = None

    @property
    def original(self) -> RequestContext:
        """The attempt that others repeat: the one that claimed the key, else the one that stored it."""
        return self.claimed_by or self.stored_by

    def matches(self, context: RequestContext) -> bool:
        """Return whether an attempt has the same class and body as the original.

        An attempt that differs must share neither the run nor its result.
        """
        if self.matches_earlier_run is not None:
            return self.matches_earlier_run(context)
        return (self.original.body, self.original.class_name) == (context.body, context.class_name)

    def take_waiters(self) -> list[RequestContext]:
        """Remove and return the repeats that are waiting."""
        waiters, self.waiters = list(self.waiters), {}
        return waiters

    def detach(self, *contexts: RequestContext) -> None:
        """Remove this entry from contexts that need it no longer.

        Entry and context refer to each other, so neither would be freed without a garbage collection.
        """
        for context in contexts:
            context.entry = None
