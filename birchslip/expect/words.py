"""The model of a parsed expectation: subjects, measures, bounds and the conditions under which they apply.

Every figure has one unit: counts are plain numbers, shares are fractions of 1, times are tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..admission.types import SECOND

MAX_CLAIM_DEPTH = 64  # levels of nested claims; bounds the recursion over them


class SubjectKind(Enum):
    """Kinds of subjects, with the words that name them in a statement."""

    ROUTER = "router"
    TENANT = "tenant"
    PROFILE = "profile"
    SITE = "site"
    SERVER = "app server"
    SERVICE = "service"
    GROUP = "group"
    FLEET = "fleet"


class Unit(Enum):
    """The unit of a figure, with the name that error messages give it."""

    COUNT = "a count"
    SHARE = "a share"
    TIME = "a time"


@dataclass(frozen=True, slots=True)
class MeasureDefinition:
    """What a measure is called, its unit, and the subjects it applies to.

    Attributes:
        word: The measure as written in a statement.
        unit: The unit of its figures.
        subject_kinds: The kinds of subjects that have this measure.
        description: What the measure means, printed by `birchslip expect explain`.
        is_instantaneous: Whether the measure has a value at every moment. Its maximum or minimum is then
            compared with the bound; other measures have one value for the whole span.
    """

    word: str
    unit: Unit
    subject_kinds: frozenset[SubjectKind]
    description: str
    is_instantaneous: bool = False


CALLER_KINDS = frozenset(
    {SubjectKind.ROUTER, SubjectKind.TENANT, SubjectKind.PROFILE, SubjectKind.SITE, SubjectKind.FLEET}
)


class Measure(Enum):
    """The measures that a statement can bound."""

    OUTSTANDING = MeasureDefinition(
        "outstanding",
        Unit.COUNT,
        frozenset({SubjectKind.ROUTER, SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "attempts without an answer, at every moment",
        True,
    )
    ROOM = MeasureDefinition(
        "share of room",
        Unit.SHARE,
        frozenset({SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "share of the cores that are busy over each second, without app servers that are out",
        True,
    )
    REFUSED = MeasureDefinition(
        "refused",
        Unit.SHARE,
        CALLER_KINDS,
        "share of requests that were rejected and never answered with success",
    )
    SERVED = MeasureDefinition(
        "served",
        Unit.SHARE,
        CALLER_KINDS,
        "share of requests that were answered with success within their latency objective",
    )
    EARNED = MeasureDefinition(
        "earned",
        Unit.SHARE,
        CALLER_KINDS,
        "priority weight of the requests that were served, as a share of that of all requests",
    )
    ADVISED = MeasureDefinition(
        "advised wait",
        Unit.TIME,
        CALLER_KINDS,
        "how long a rejection advises to wait before a retry (Retry-After)",
        True,
    )
    CALLS = MeasureDefinition(
        "calls below",
        Unit.COUNT,
        frozenset({SubjectKind.SITE, SubjectKind.SERVER, SubjectKind.FLEET}),
        "calls in flight at the downstream service, at every moment",
        True,
    )
    OUT = MeasureDefinition(
        "out at once",
        Unit.COUNT,
        frozenset({SubjectKind.SITE, SubjectKind.GROUP, SubjectKind.SERVICE, SubjectKind.FLEET}),
        "app servers that do not accept requests or are cold, at every moment",
        True,
    )
    TRIES = MeasureDefinition("tries each", Unit.COUNT, CALLER_KINDS, "mean number of attempts of a request")

    @property
    def definition(self) -> MeasureDefinition:
        """The definition of this measure."""
        definition: MeasureDefinition = self.value
        return definition


class Comparison(Enum):
    """Comparison operators, with the signs that denote them in a statement."""

    AT_MOST = "<="
    UNDER = "<"
    AT_LEAST = ">="
    OVER = ">"
    EXACTLY = "="

    @property
    def is_upper_bound(self) -> bool:
        """Whether the value is bounded from above, so that its maximum decides."""
        return self in (Comparison.AT_MOST, Comparison.UNDER)


@dataclass(frozen=True, slots=True)
class Subject:
    """One subject, or all subjects of a kind.

    Attributes:
        kind: The kind of subject.
        name: Its name; empty for the fleet and where `each` is set.
        each: Whether all subjects of the kind are meant.
    """

    kind: SubjectKind
    name: str = ""
    each: bool = False

    def describe(self) -> str:
        """Return the subject as it is written in a statement."""
        if self.kind is SubjectKind.FLEET:
            return "the fleet"
        return f"each {self.kind.value}" if self.each else f"{self.kind.value} {self.name}"


@dataclass(frozen=True, slots=True)
class Bound:
    """A claim that a measure of a subject is within a bound; `value` is in the unit of the measure."""

    subject: Subject
    measure: Measure
    compare: Comparison
    value: float

    def describe(self) -> str:
        """Return the claim as it is written in a statement."""
        word, value = self.measure.definition.word, format_figure(self.measure, self.value)
        return f"{self.subject.describe()} {word} {self.compare.value} {value}"


@dataclass(frozen=True, slots=True)
class RefusalOrder:
    """A claim that requests of `first` are refused before those of `then`.

    The claim holds if the refused share of `then` is at most that of `first`; so `then` must not be refused
    anything if `first` is not.
    """

    first: Subject
    then: Subject

    def describe(self) -> str:
        """Return the claim as it is written in a statement."""
        return f"{self.first.describe()} refused before {self.then.describe()}"


@dataclass(frozen=True, slots=True)
class Not:
    """The negation of a claim; `depth` is its nesting depth."""

    claim: Claim
    depth: int = 1

    def describe(self) -> str:
        """Return the claim as it is written in a statement."""
        return f"not ({self.claim.describe()})"


@dataclass(frozen=True, slots=True)
class AllOf:
    """A conjunction of claims; `depth` is its nesting depth."""

    claims: tuple[Claim, ...]
    depth: int = 1

    def describe(self) -> str:
        """Return the claim as it is written in a statement, with each `or` within it in parentheses."""
        return " and ".join(
            f"({inner.describe()})" if isinstance(inner, AnyOf) else inner.describe() for inner in self.claims
        )


@dataclass(frozen=True, slots=True)
class AnyOf:
    """A disjunction of claims; `depth` is its nesting depth."""

    claims: tuple[Claim, ...]
    depth: int = 1

    def describe(self) -> str:
        """Return the claim as it is written in a statement."""
        return " or ".join(inner.describe() for inner in self.claims)


Claim = Bound | RefusalOrder | Not | AllOf | AnyOf


def claim_depth(claim: Claim) -> int:
    """Return the nesting depth of a claim; 0 for a bound or an order."""
    return claim.depth if isinstance(claim, Not | AllOf | AnyOf) else 0


def atoms(claim: Claim) -> Iterator[Bound | RefusalOrder]:
    """Yield every bound and order within a claim, at any depth."""
    if isinstance(claim, Not):
        yield from atoms(claim.claim)
    elif isinstance(claim, AllOf | AnyOf):
        for inner in claim.claims:
            yield from atoms(inner)
    else:
        yield claim


def subjects_of(atom: Bound | RefusalOrder) -> tuple[Subject, ...]:
    """Return the subjects that a bound or an order refers to."""
    return (atom.subject,) if isinstance(atom, Bound) else (atom.first, atom.then)


def conjuncts(claim: Claim) -> list[Claim]:
    """Return the claims that must each hold: the members of a top-level conjunction, or the claim itself."""
    if isinstance(claim, AllOf):
        return [part for inner in claim.claims for part in conjuncts(inner)]
    return [claim]


class Event(Enum):
    """An event that `within` counts from, with the words that name it in a statement."""

    SITE_LOST = "site {} is lost"
    SITE_RETURNS = "site {} returning"
    RELEASE = "a release beginning"
    SHRINKING = "the fleet shrinking"
    SHRUNK = "the fleet having shrunk"
    SURGE = "tenant {} surging"


@dataclass(frozen=True, slots=True)
class Condition:
    """When a statement applies. A field keeps its default if the statement does not mention it.

    Attributes:
        load: Offered load as a multiple of the capacity.
        lost: The site that is lost, or that returns if `event` says so.
        shrink: The share of the fleet that remains while it shrinks.
        release: Whether a release runs.
        surge: The tenant whose traffic surges.
        surge_factor: The multiple of its usual traffic that the surging tenant sends.
        planners_gone: Whether all planners are gone.
        below_down: Whether the downstream service is down.
        settled: How long the situation must have lasted before the statement applies, in units of 0.1 ms.
        within: How long after `event` the statement applies, in units of 0.1 ms.
        event: The event that `within` counts from.
        event_subject: The site or tenant of `event`; empty for events of the fleet.
        always: Whether the statement applies to every scenario run, in any situation.
    """

    load: float | None = None
    lost: str = ""
    shrink: float | None = None
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
        """Return the condition as it is written in a statement; `as usual` if it is empty."""
        phrases = []
        duration = f" for {self.settled / SECOND:g} s" if self.settled else ""
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
                f"within {self.within / SECOND:g} s of {self.event.value.format(self.event_subject)}"
            )
        if self.always:
            phrases.append("always")
        return " ".join(phrases) or "as usual"


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A position in an expectation file; line and column count from 1."""

    file: str
    line: int
    column: int

    def describe(self) -> str:
        """Return the position as `file:line:column`."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Statement:
    """One parsed expectation.

    Attributes:
        name: The label in the file, or `file:line` if there is none.
        claim: What must hold.
        condition: When it must hold.
        location: Where the statement begins.
        has_explicit_name: Whether the file gives the label; ignored in comparisons.
    """

    name: str
    claim: Claim
    condition: Condition
    location: SourceLocation
    has_explicit_name: bool = field(default=False, compare=False)

    def describe(self) -> str:
        """Return the statement in the expectation language, without its label."""
        return f"{self.claim.describe()} {self.condition.describe()}"


def format_figure(measure: Measure, value: float) -> str:
    """Format a value of a measure for reports: a share in percent, a time in ms, a count as it is."""
    match measure.definition.unit:
        case Unit.SHARE:
            return f"{value * 100:.4g}%"
        case Unit.TIME:
            return f"{value / 10:.4g} ms"
    return f"{value:.4g}"
