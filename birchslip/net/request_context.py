"""One transaction's way through the program: what the door knows of it, beside what the decisions know."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..admission.types import Outcome, Request
from .scheduler import Timer


class ResponseChannel(Protocol):
    """Who is answered: the connection that a transaction came on."""

    open_requests: dict[int, RequestContext]

    def send_result(self, message_id: int, body: bytes) -> None: ...
    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None: ...
    def send_error(self, message_id: int) -> None: ...


@dataclass(slots=True)
class DecodedRequest:
    """What a peer told of a transaction, in this program's units; each protocol fills it its own way."""

    request_id: str
    class_name: str
    body: bytes
    router_timestamp: int  # when it came to the machine
    timeout: int  # how long its caller waits from then on
    caller: int
    tenant: str
    size: int
    is_retry: bool
    idempotency_key: str
    has_subject: bool = False  # whether it names what it reads


@dataclass(eq=False, slots=True)
class RequestContext:
    """`name` is the id it has with every peer; `number` is that of its message on its router's connection."""

    channel: ResponseChannel
    message_id: int
    request_id: str
    class_name: str
    body: bytes
    request: Request
    received_at: int  # when it came to the machine, as told, and never ahead of our clock
    idempotency_key: str = ""
    entry: IdempotencyEntry | None = None
    is_answered: bool = False
    is_launched: bool = False  # since then nobody may say that it never ran
    launched_at: int = 0
    # the call that its run waits for: the notice's number and body, and what was asked of the vault
    call_notice_number: int = 0
    call_body: bytes = b""
    call_started_at: int = 0
    call_timer: Timer | None = None  # set while the call is out
    # the last order to the agent that no notice has answered yet: given again if the link is lost meanwhile
    pending_orders: bytes = b""
    router_timestamp: int = 0  # as told, also where it lies ahead of our clock

    @property
    def retention_start(self) -> int:
        """From when on its label's window is counted: by the later of two clocks, which is the safe one."""
        return max(self.received_at, self.router_timestamp)


@dataclass(eq=False, slots=True)
class RunResult:
    """How a run ended, and what it made."""

    outcome: Outcome
    body: bytes = field(default=b"", repr=False)


@dataclass(eq=False, slots=True)
class IdempotencyEntry:
    """One entry. `until` is the last arrival that it stands for, `ran` the try that holds the claim; `asked`
    tells whether a try asks the same where the one that ran was of an earlier life.
    """

    key: str
    stored_by: RequestContext
    valid_until: int
    claimed_by: RequestContext | None = None
    result: RunResult | None = None
    waiters: list[RequestContext] = field(default_factory=list)
    matches_earlier_run: Callable[[RequestContext], bool] | None = None

    @property
    def original(self) -> RequestContext:
        """The try that the others repeat: the one that ran, else the one with the entry."""
        return self.claimed_by or self.stored_by

    def matches(self, context: RequestContext) -> bool:
        """All tries of one label are the same: what is not, shares neither its run nor its outcome."""
        if self.matches_earlier_run is not None:
            return self.matches_earlier_run(context)
        return (self.original.body, self.original.class_name) == (context.body, context.class_name)

    def detach(self, *contexts: RequestContext) -> None:
        """It needs its entry no longer: kept, each would keep the other in memory."""
        for context in contexts:
            context.entry = None
