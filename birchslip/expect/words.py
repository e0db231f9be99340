"""What an expectation says, once it has been read: subjects, measures, bounds, and when they hold.

Figures are in one unit each: counts as they are, shares as parts of 1, times in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

MAX_CLAIM_DEPTH = 64  # of claims within claims


class SubjectKind(Enum):
    """Kinds of subjects, as they are written."""

    ROUTER = "router"
    TENANT = "tenant"
    PROFILE = "profile"
    SITE = "site"
    SERVER = "app server"
    SERVICE = "service"
    GROUP = "group"
    FLEET = "fleet"


class Unit(Enum):
    """What a figure counts."""

    COUNT = "a count"
    SHARE = "a share"
    TIME = "a time"


@dataclass(frozen=True, slots=True)
class MeasureDefinition:
    """`word` as it is written, what it counts, of whom it can be told, and what it means."""

    word: str
    unit: Unit
    subject_kinds: frozenset[SubjectKind]
    description: str
    is_instantaneous: bool = False  # a figure of every moment: its most and its least count, not its mean


CALLER_KINDS = frozenset(
    {SubjectKind.ROUTER, SubjectKind.TENANT, SubjectKind.PROFILE, SubjectKind.SITE, SubjectKind.FLEET}
)


class Measure(Enum):
    OUTSTANDING = MeasureDefinition(
        "outstanding",
        Unit.COUNT,
        frozenset({SubjectKind.ROUTER, SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "tries without an answer, at every moment",
        True,
    )
    ROOM = MeasureDefinition(
        "share of room",
        Unit.SHARE,
        frozenset({SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "cores that are busy, of those there, over each second",
        True,
    )
    REFUSED = MeasureDefinition(
        "refused", Unit.SHARE, CALLER_KINDS, "transactions that were shed and never honoured"
    )
    SERVED = MeasureDefinition(
        "served", Unit.SHARE, CALLER_KINDS, "transactions that were honoured within their latency goal"
    )
    EARNED = MeasureDefinition(
        "earned", Unit.SHARE, CALLER_KINDS, "payoff of those that were served, of all payoff asked for"
    )
    ADVISED = MeasureDefinition(
        "advised wait", Unit.TIME, CALLER_KINDS, "what a shed says of when to come back", True
    )
    CALLS = MeasureDefinition(
        "calls below",
        Unit.COUNT,
        frozenset({SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "calls in hand at the service below, at every moment",
        True,
    )
    OUT = MeasureDefinition(
        "out at once",
        Unit.COUNT,
        frozenset({SubjectKind.SITE, SubjectKind.GROUP, SubjectKind.SERVICE, SubjectKind.FLEET}),
        "app servers that are down, leaving or cold, at every moment",
        True,
    )
    TRIES = MeasureDefinition(
        "tries each", Unit.COUNT, CALLER_KINDS, "tries that a transaction takes, in the mean"
    )

    @property
    def definition(self) -> MeasureDefinition:
        definition: MeasureDefinition = self.value
        return definition


class Comparison(Enum):
    AT_MOST = "<="
    UNDER = "<"
    AT_LEAST = ">="
    OVER = ">"
    EXACTLY = "="

    @property
    def is_upper_bound(self) -> bool:
        """Whether the most counts."""
        return self in (Comparison.AT_MOST, Comparison.UNDER)


@dataclass(frozen=True, slots=True)
class Subject:
    """One, or each of a kind: then `name` is empty. The fleet has no name."""

    kind: SubjectKind
    name: str = ""
    each: bool = False

    def describe(self) -> str:
        if self.kind is SubjectKind.FLEET:
            return "the fleet"
        return f"each {self.kind.value}" if self.each else f"{self.kind.value} {self.name}"


@dataclass(frozen=True, slots=True)
class Bound:
    subject: Subject
    measure: Measure
    compare: Comparison
    value: float

    def describe(self) -> str:
        word, value = self.measure.definition.word, format_figure(self.measure, self.value)
        return f"{self.subject.describe()} {word} {self.compare.value} {value}"


@dataclass(frozen=True, slots=True)
class RefusalOrder:
    """`first` is refused before `then`: in a larger share, and `then` not at all where `first` is not."""

    first: Subject
    then: Subject

    def describe(self) -> str:
        return f"{self.first.describe()} refused before {self.then.describe()}"


@dataclass(frozen=True, slots=True)
class Not:
    claim: Claim
    depth: int = 1

    def describe(self) -> str:
        return f"not ({self.claim.describe()})"


@dataclass(frozen=True, slots=True)
class AllOf:
    claims: tuple[Claim, ...]
    depth: int = 1

    def describe(self) -> str:
        return " and ".join(
            f"({inner.describe()})" if isinstance(inner, AnyOf) else inner.describe() for inner in self.claims
        )


@dataclass(frozen=True, slots=True)
class AnyOf:
    claims: tuple[Claim, ...]
    depth: int = 1

    def describe(self) -> str:
        return " or ".join(inner.describe() for inner in self.claims)


Claim = Bound | RefusalOrder | Not | AllOf | AnyOf


def claim_depth(claim: Claim) -> int:
    return claim.depth if isinstance(claim, Not | AllOf | AnyOf) else 0


def atoms(claim: Claim) -> Iterator[Bound | RefusalOrder]:
    """All bounds and orders within, wherever they stand."""
    if isinstance(claim, Not):
        yield from atoms(claim.claim)
    elif isinstance(claim, AllOf | AnyOf):
        for inner in claim.claims:
            yield from atoms(inner)
    else:
        yield claim


def subjects_of(atom: Bound | RefusalOrder) -> tuple[Subject, ...]:
    """Of whom it is told."""
    return (atom.subject,) if isinstance(atom, Bound) else (atom.first, atom.then)


def conjuncts(claim: Claim) -> list[Claim]:
    """What must hold by itself: the parts of an `and` at the top."""
    if isinstance(claim, AllOf):
        return [part for inner in claim.claims for part in conjuncts(inner)]
    return [claim]


class Event(Enum):
    """A moment that `within` counts from."""

    SITE_LOST = "site {} is lost"
    SITE_RETURNS = "site {} returning"
    RELEASE = "a release beginning"
    SHRINKING = "the fleet shrinking"
    SHRUNK = "the fleet having shrunk"
    SURGE = "tenant {} surging"


@dataclass(frozen=True, slots=True)
class Condition:
    """All that is said of when: each part stands at its default where nothing is said of it.

    `settled` is how long the situation must have lasted; `within` counts from `event` of `whom`.
    """

    load: float | None = None
    lost: str = ""
    shrink: float | None = None  # what is left of the fleet
    release: bool = False
    surge: str = ""
    surge_factor: float = 0.0
    planners_gone: bool = False
    below_down: bool = False
    settled: int = 0
    within: int = 0
    event: Event | None = None
    event_subject: str = ""
    always: bool = False

    def describe(self) -> str:
        """As it would be written."""
        phrases = []
        duration = f" for {self.settled / 10_000:g} s" if self.settled else ""
        if self.lost and self.event is not Event.SITE_RETURNS:
            phrases.append(f"while site {self.lost} is lost")
        if self.shrink is not None and self.event is not Event.SHRUNK:
            phrases.append(f"while the fleet is shrinking to {self.shrink:.0%}")
        if self.release and self.event is not Event.RELEASE:
            phrases.append("while a release runs")
        if self.surge and self.event is not Event.SURGE:
            phrases.append(f"while tenant {self.surge} surges by {self.surge_factor:g}")
        if self.planners_gone:
            phrases.append("while the planners are gone")
        if self.below_down:
            phrases.append("while the service below is down")
        if phrases:
            phrases[-1] += duration
        if self.load is not None:
            phrases.append(f"at {self.load:g} of capacity")
        if self.event is not None:
            phrases.append(
                f"within {self.within / 10_000:g} s of {self.event.value.format(self.event_subject)}"
            )
        if self.always:
            phrases.append("always")
        return " ".join(phrases) or "as usual"


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """Where something stands: a file, a line and a column, both from 1."""

    file: str
    line: int
    column: int

    def describe(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Statement:
    name: str
    claim: Claim
    condition: Condition
    location: SourceLocation
    has_explicit_name: bool = field(default=False, compare=False)  # whether somebody gave it its name

    def describe(self) -> str:
        return f"{self.claim.describe()} {self.condition.describe()}"


def format_figure(measure: Measure, value: float) -> str:
    """A figure of a measure, for people."""
    match measure.definition.unit:
        case Unit.SHARE:
            return f"{value * 100:.4g}%"
        case Unit.TIME:
            return f"{value / 10:.4g} ms"
    return f"{value:.4g}"
