"""What members, planners and operators tell each other, as checked records; each goes as one value of a
message.

Times are spans in tenths of a millisecond: no moment of one machine's clock is ever told to another.
"""

from __future__ import annotations

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
Text = Annotated[str, msgspec.Meta(max_length=400)]


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Unknown fields are refused: a record of a later version is not half understood."""


class Incarnation(Message):
    """Which life of a process: `life` counts its starts where that is known, `mark` is random at each."""

    generation: Count = 0
    nonce: Count = 0


class PeerObservation(Message):
    """The most that one planner has shown another: its last life, and what it said that its disk holds."""

    generation: Count
    nonce: Count
    promised_term: Term = 0
    state_term: Term = 0
    state_number: Count = 0


class ProbeResult(Message):
    """What a witness met at a door: `answered`, `refused` or `silent`."""

    member: Name
    outcome: Annotated[str, msgspec.Meta(pattern="^(answered|refused|silent)$")]


class MemberReport(Message):
    """What a member shows, several times a second. Rates are transactions a second, as measured just now."""

    name: Name
    site: Name
    incarnation: Incarnation
    sequence: Count  # of this report within its life: a doubled or late one changes nothing
    address: Text  # HOST:PORT where routers find it
    uptime: Span  # since it began to serve
    is_serving: bool
    is_draining: bool
    is_warm: bool
    capacity: Rate  # what its cores could do
    slowdown: Rate  # run times against the usual, 1 as usual
    local_load: dict[Name, Rate]  # first tries by tenant of callers at home here
    evacuated_load: Rate  # first tries of callers whose home is elsewhere
    retries: Rate  # further tries
    served: Rate
    rejected: Rate
    calls_in_flight: Rate  # calls below in hand
    call_limit: Rate  # calls that it may have in hand
    lease_remaining: Span  # left of the leased part of that
    plan_term: Term  # of the plan that it holds
    plan_number: Count
    probes: list[ProbeResult] = []
    # since this life began: of each kind and profile, bad ones and all (`gauges.py`)
    metrics: Annotated[dict[Name, tuple[Count, Count]], msgspec.Meta(max_length=512)] = {}
    # honoured ones of each profile since then, by how long they ran
    latency_histograms: Annotated[dict[Name, HistogramBuckets], msgspec.Meta(max_length=64)] = {}
    resident_memory_kb: Count = 0  # resident, in KB


class PlanAssignment(Message):
    """A plan as told to one member."""

    term: Term
    number: Count
    validity_span: Span  # that it holds, counted from when the report that it answers was sent
    fade_span: Span
    quotas: dict[Name, Rate]
    evacuated_callers: list[Count]
    evacuated_quota: Rate  # of all visitors together
    shedding_order: list[Name]
    serving_fraction: Fraction  # of its cores that may be used
    is_listed: bool  # whether routers may find it
    is_capacity_short: bool


class ReportReply(Message):
    """A planner's answer to a report. Only the leader fills more than `leader` and `epoch`."""

    term: Term
    planner: Incarnation
    is_leading: bool
    leader: str = ""  # the name of the planner that is thought to lead
    report_interval: Span = 2_000  # how often to report
    assignment: PlanAssignment | None = None
    call_limit: Rate = 0.0  # calls that may be in hand under the lease, kept part included
    lease_span: Span = 0  # of the share, counted from when the report was sent
    probe_addresses: dict[Name, Text] = {}  # doors to knock at


class VoteRequest(Message):
    """A planner asks for votes, or for its lease to go on."""

    term: Term
    candidate: Name
    incarnation: Incarnation
    observations: dict[Name, PeerObservation] = {}  # what was seen of each planner, which unmasks an old disk
    suspects: list[Name] = []  # members that the leader does not hear


class VoteResponse(Message):
    granted: bool
    promised_term: Term  # the highest promised
    voter: Name
    incarnation: Incarnation
    is_blank: bool  # whether it has lost, or never had, what it should remember
    lease_remaining: Span = 0  # left of the lease that it has granted to another
    state_term: Term = 0
    state_number: Count = 0
    state: bytes = b""
    heard_suspects: list[Name] = []  # of the members in doubt, those heard here
    observations: dict[Name, PeerObservation] = {}


class ReplicationRequest(Message):
    """What the leader has others keep before it tells it to anybody."""

    term: Term
    state_number: Count
    leader: Name
    incarnation: Incarnation
    state: bytes


class ReplicationResponse(Message):
    is_stored: bool
    promised_term: Term
    replica: Name


class EvictionRequest(Message):
    """Somebody wants a member to be out, or to hand its permit back. Without an incarnation, the one seen
    is meant.
    """

    operation: Annotated[str, msgspec.Meta(pattern="^(permit|past|hand-back|strike|override)$")]
    holder: str = ""
    incarnation: Incarnation | None = None
    operator: Text = ""
    reason: Text = ""
    count: Count = 1
    span: Span = 0


class EvictionResponse(Message):
    """What came of it: a permit and its number, or the place among those who wait, and why."""

    granted: bool
    permit_number: Count = 0
    queue_position: Count = 0
    reason: str = ""


class OperatorCommand(Message):
    """What an operator asks of the fleet by hand."""

    operation: Annotated[str, msgspec.Meta(pattern="^(show|what-if|evacuate|return)$")]
    site: str = ""
    operator: Text = ""
    reason: Text = ""


def encode(record: Message) -> bytes:
    return msgspec.json.encode(record)


MessageT = TypeVar("Kind", bound=Message)


def decode(raw: object, kind: type[MessageT]) -> MessageT:
    if not isinstance(raw, bytes):
        raise InvalidInputError(f"{kind.__name__}: not a value of bytes")
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"{kind.__name__}: {trouble}") from None
