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
Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Epoch = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Buckets = Annotated[list[Count], msgspec.Meta(max_length=64)]
Words = Annotated[str, msgspec.Meta(max_length=400)]


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Unknown fields are refused: a record of a later version is not half understood."""


class Incarnation(Message):
    """Which life of a process: `life` counts its starts where that is known, `mark` is random at each."""

    life: Count = 0
    mark: Count = 0


class PeerObservation(Message):
    """The most that one planner has shown another: its last life, and what it said that its disk holds."""

    life: Count
    mark: Count
    promised: Epoch = 0
    epoch: Epoch = 0
    number: Count = 0


class ProbeResult(Message):
    """What a witness met at a door: `answered`, `refused` or `silent`."""

    name: Name
    met: Annotated[str, msgspec.Meta(pattern="^(answered|refused|silent)$")]


class MemberReport(Message):
    """What a member shows, several times a second. Rates are transactions a second, as measured just now."""

    name: Name
    site: Name
    incarnation: Incarnation
    number: Count  # of this report within its life: a doubled or late one changes nothing
    door: Words  # HOST:PORT where routers find it
    age: Span  # since it began to serve
    serving: bool
    leaving: bool
    warm: bool
    room: Rate  # what its cores could do
    pace: Rate  # run times against the usual, 1 as usual
    load: dict[Name, Rate]  # first tries by tenant of callers at home here
    visits: Rate  # first tries of callers whose home is elsewhere
    again: Rate  # further tries
    honoured: Rate
    shed: Rate
    calls: Rate  # calls below in hand
    share: Rate  # calls that it may have in hand
    lease: Span  # left of the leased part of that
    epoch: Epoch  # of the plan that it holds
    plan: Count
    knocks: list[ProbeResult] = []
    # since this life began: of each kind and profile, bad ones and all (`gauges.py`)
    figures: Annotated[dict[Name, tuple[Count, Count]], msgspec.Meta(max_length=512)] = {}
    # honoured ones of each profile since then, by how long they ran
    took: Annotated[dict[Name, Buckets], msgspec.Meta(max_length=64)] = {}
    memory: Count = 0  # resident, in KB


class PlanAssignment(Message):
    """A plan as told to one member."""

    epoch: Epoch
    plan: Count
    span: Span  # that it holds, counted from when the report that it answers was sent
    fade: Span
    quotas: dict[Name, Rate]
    visitors: list[Count]
    visits: Rate  # of all visitors together
    order: list[Name]
    level: Part  # of its cores that may be used
    listed: bool  # whether routers may find it
    short: bool


class ReportReply(Message):
    """A planner's answer to a report. Only the leader fills more than `leader` and `epoch`."""

    epoch: Epoch
    author: Incarnation
    leads: bool
    leader: str = ""  # the name of the planner that is thought to lead
    every: Span = 2_000  # how often to report
    tell: PlanAssignment | None = None
    share: Rate = 0.0  # calls that may be in hand under the lease, kept part included
    lease: Span = 0  # of the share, counted from when the report was sent
    knock: dict[Name, Words] = {}  # doors to knock at


class VoteRequest(Message):
    """A planner asks for votes, or for its lease to go on."""

    epoch: Epoch
    name: Name
    incarnation: Incarnation
    seen: dict[Name, PeerObservation] = {}  # what was seen of each planner, which unmasks an old disk
    doubt: list[Name] = []  # members that the leader does not hear


class VoteResponse(Message):
    granted: bool
    epoch: Epoch  # the highest promised
    name: Name
    incarnation: Incarnation
    new: bool  # whether it has lost, or never had, what it should remember
    held: Span = 0  # left of the lease that it has granted to another
    state_epoch: Epoch = 0
    state_number: Count = 0
    state: bytes = b""
    heard: list[Name] = []  # of the members in doubt, those heard here
    seen: dict[Name, PeerObservation] = {}


class ReplicationRequest(Message):
    """What the leader has others keep before it tells it to anybody."""

    epoch: Epoch
    number: Count
    name: Name
    incarnation: Incarnation
    state: bytes


class ReplicationResponse(Message):
    kept: bool
    epoch: Epoch
    name: Name


class EvictionRequest(Message):
    """Somebody wants a member to be out, or to hand its permit back. Without an incarnation, the one seen
    is meant.
    """

    what: Annotated[str, msgspec.Meta(pattern="^(permit|past|hand-back|strike|override)$")]
    holder: str = ""
    incarnation: Incarnation | None = None
    who: Words = ""
    why: Words = ""
    count: Count = 1
    span: Span = 0


class EvictionResponse(Message):
    """What came of it: a permit and its number, or the place among those who wait, and why."""

    granted: bool
    number: Count = 0
    place: Count = 0
    why: str = ""


class OperatorCommand(Message):
    """What an operator asks of the fleet by hand."""

    what: Annotated[str, msgspec.Meta(pattern="^(show|what-if|evacuate|return)$")]
    site: str = ""
    who: Words = ""
    why: Words = ""


def encode(record: Message) -> bytes:
    return msgspec.json.encode(record)


Kind = TypeVar("Kind", bound=Message)


def decode(raw: object, kind: type[Kind]) -> Kind:
    if not isinstance(raw, bytes):
        raise InvalidInputError(f"{kind.__name__}: not a value of bytes")
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"{kind.__name__}: {trouble}") from None
