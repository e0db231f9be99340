"""Messages of members and operators to planners, and the encoding of all messages.

Each message is one JSON object and travels as one value of an RPC (see `transport.py`). An attribute's key
on the wire is the attribute's own name unless the class's `rename` gives an older one; these keys, and the
values of the enumerations, never change.

All spans are in units of 0.1 ms. A message never carries a time of one machine's clock: clocks are not
comparable between machines.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, TypeVar

import msgspec

from ..errors import InvalidInputError

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Span = Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Term = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
HistogramBuckets = Annotated[list[Count], msgspec.Meta(max_length=64)]
MetricCounts = Annotated[dict[Name, tuple[Count, Count]], msgspec.Meta(max_length=512)]
LatencyHistograms = Annotated[dict[Name, HistogramBuckets], msgspec.Meta(max_length=64)]
Text = Annotated[str, msgspec.Meta(max_length=400)]

DEFAULT_REPORT_INTERVAL = 2_000  # 200 ms


class ProbeOutcome(StrEnum):
    """Outcome of a probe of a member's address."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class EvictionOperation(StrEnum):
    """Operations on the disruption budget."""

    REQUEST_PERMIT = "permit"
    BYPASS_BUDGET = "past"
    RETURN_PERMIT = "hand-back"
    REVOKE_PERMIT = "strike"
    GRANT_OVERRIDE = "override"


class OperatorOperation(StrEnum):
    """Operations of an operator's command."""

    SHOW = "show"
    WHAT_IF = "what-if"
    EVACUATE = "evacuate"
    RESTORE = "return"


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all messages.

    Unknown keys are an error, so that a message of a later version is never decoded partially.
    """


class Incarnation(Message, rename={"generation": "life", "nonce": "mark"}):
    """Identifies one run of a process.

    Attributes:
        generation: Number of starts if the process stores it on disk, else 0.
        nonce: Random number drawn at each start.
    """

    generation: Count = 0
    nonce: Count = 0


class ProbeResult(Message, rename={"member": "name", "outcome": "met"}):
    """Result of a probe of one member by another."""

    member: Name
    outcome: ProbeOutcome


class MemberReport(
    Message,
    rename={
        "sequence": "number",
        "address": "door",
        "uptime": "age",
        "is_serving": "serving",
        "is_draining": "leaving",
        "is_warm": "warm",
        "capacity": "room",
        "slowdown": "pace",
        "local_load": "load",
        "evacuated_load": "visits",
        "retries": "again",
        "served": "honoured",
        "rejected": "shed",
        "calls_in_flight": "calls",
        "call_limit": "share",
        "lease_remaining": "lease",
        "plan_term": "epoch",
        "plan_number": "plan",
        "probes": "knocks",
        "metrics": "figures",
        "latency_histograms": "took",
        "resident_memory_kb": "memory",
    },
):
    """A member's heartbeat with its current load; all rates are in requests per second.

    Attributes:
        name: The member's name in the fleet file.
        site: The member's site.
        incarnation: The run of the process that reports.
        sequence: Number of this report within its run; a duplicate or late report is ignored.
        address: HOST:PORT where routers find the member.
        uptime: Span since the member began to serve.
        is_serving: Whether the member accepts requests.
        is_draining: Whether the member is stopping.
        is_warm: Whether the warm-up is over.
        capacity: Requests per second that the member can serve with its cores.
        slowdown: Run times relative to the usual ones; 1 means no slowdown.
        local_load: First attempts of local callers, by tenant.
        evacuated_load: First attempts of callers of other sites.
        retries: Retries of all callers.
        served: Requests answered with a result.
        rejected: Requests rejected with Retry-After.
        calls_in_flight: Number of running downstream calls.
        call_limit: Downstream calls that may run at once.
        lease_remaining: Time left of the leased part of `call_limit`.
        plan_term: Term of the plan in force at the member.
        plan_number: Number of the plan in force at the member.
        probes: Results of the last probes of other members.
        metrics: Numbers of bad and of all requests since the start of this run, by metric and request class.
        latency_histograms: Run time histograms of the requests served in this run, by request class.
        resident_memory_kb: Resident memory of the process.
    """

    name: Name
    site: Name
    incarnation: Incarnation
    sequence: Count
    address: Text
    uptime: Span
    is_serving: bool
    is_draining: bool
    is_warm: bool
    capacity: Rate
    slowdown: Rate
    local_load: dict[Name, Rate]
    evacuated_load: Rate
    retries: Rate
    served: Rate
    rejected: Rate
    calls_in_flight: Rate
    call_limit: Rate
    lease_remaining: Span
    plan_term: Term
    plan_number: Count
    probes: list[ProbeResult] = []
    metrics: MetricCounts = {}
    latency_histograms: LatencyHistograms = {}
    resident_memory_kb: Count = 0


class PlanAssignment(
    Message,
    rename={
        "term": "epoch",
        "number": "plan",
        "validity_span": "span",
        "fade_span": "fade",
        "evacuated_callers": "visitors",
        "evacuated_quota": "visits",
        "shedding_order": "order",
        "serving_fraction": "level",
        "is_listed": "listed",
        "is_capacity_short": "short",
    },
):
    """One member's part of a plan.

    Attributes:
        term: Term of the leader that made the plan.
        number: The plan's number within its term.
        validity_span: How long the assignment is valid, from when the report that it answers was sent.
        fade_span: Over how long the assignment loses its effect after that.
        quotas: Requests per second by tenant.
        evacuated_callers: Numbers of the routers whose own site is evacuated or still recovering.
        evacuated_quota: Requests per second of all evacuated callers together.
        shedding_order: Shedding tiers in the order in which they are shed.
        serving_fraction: Fraction of the member's cores that may be used.
        is_listed: Whether routers may find the member.
        is_capacity_short: Whether the fleet has too little capacity for its load.
    """

    term: Term
    number: Count
    validity_span: Span
    fade_span: Span
    quotas: dict[Name, Rate]
    evacuated_callers: list[Count]
    evacuated_quota: Rate
    shedding_order: list[Name]
    serving_fraction: Fraction
    is_listed: bool
    is_capacity_short: bool


class ReportReply(
    Message,
    rename={
        "term": "epoch",
        "planner": "author",
        "is_leading": "leads",
        "report_interval": "every",
        "assignment": "tell",
        "call_limit": "share",
        "lease_span": "lease",
        "probe_addresses": "knock",
    },
):
    """A planner's reply to a `MemberReport`; only the leader's is binding.

    Attributes:
        term: The leader's term, or the highest that the planner has promised.
        planner: The run of the planner that replies.
        is_leading: Whether that planner leads; if not, the reply contains no instructions.
        leader: Name of the planner that is believed to lead.
        report_interval: Span between two reports.
        assignment: The member's part of the plan in force.
        call_limit: Downstream calls that may run at once during the lease, including the unleased ones.
        lease_span: Length of that lease, from when the report was sent.
        probe_addresses: Addresses to probe, by member.
    """

    term: Term
    planner: Incarnation
    is_leading: bool
    leader: str = ""
    report_interval: Span = DEFAULT_REPORT_INTERVAL
    assignment: PlanAssignment | None = None
    call_limit: Rate = 0.0
    lease_span: Span = 0
    probe_addresses: dict[Name, Text] = {}


class EvictionRequest(Message, rename={"operation": "what", "operator": "who", "reason": "why"}):
    """A request to the disruption budget.

    Attributes:
        operation: The requested operation.
        holder: The member or service that holds, or is to hold, the permit.
        incarnation: Run of the holder; by default the one that the planner has observed.
        operator: Name of the operator that sends the request.
        reason: Reason given by the requester.
        count: Number of permits of an override.
        span: How long an override is valid.
    """

    operation: EvictionOperation
    holder: str = ""
    incarnation: Incarnation | None = None
    operator: Text = ""
    reason: Text = ""
    count: Count = 1
    span: Span = 0


class EvictionResponse(
    Message, rename={"permit_number": "number", "queue_position": "place", "reason": "why"}
):
    """Reply to an `EvictionRequest`.

    Attributes:
        granted: Whether the request was granted.
        permit_number: Number of the permit; 0 if none was granted.
        queue_position: Position in the queue of waiting requests, from 1; 0 if the request does not wait.
        reason: Why the request was not granted.
    """

    granted: bool
    permit_number: Count = 0
    queue_position: Count = 0
    reason: str = ""


class OperatorCommand(Message, rename={"operation": "what", "operator": "who", "reason": "why"}):
    """An operator's command on the whole fleet or on one site.

    Attributes:
        operation: The operation.
        site: Name of the site; empty for the whole fleet.
        operator: Name of the operator.
        reason: Reason given by the operator.
    """

    operation: OperatorOperation
    site: str = ""
    operator: Text = ""
    reason: Text = ""


def encode(message: Message) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


MessageT = TypeVar("MessageT", bound=Message)


def decode(raw: object, message_type: type[MessageT]) -> MessageT:
    """Decode and validate a message.

    Raises:
        InvalidInputError: If `raw` is not bytes, not JSON or not a valid message of that type.
    """
    if not isinstance(raw, bytes):
        raise InvalidInputError(f"{message_type.__name__}: not a value of bytes")
    try:
        return msgspec.json.decode(raw, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInputError(f"{message_type.__name__}: {error}") from None
