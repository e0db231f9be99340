"""Reasoning about settings and statements without a scenario run.

Each subject, measure and condition has two figures: the minimum and the maximum. A statement bounds one of
them, so does a setting (`facts.py`), and figures bound each other: a part is at most its whole, and the parts
together are at least the whole. Bounds on the same figure are compared first; this finds almost every
contradiction quickly, however many statements there are. Constraints between several figures go to an SMT
solver, which returns a minimal set of statements and settings that contradict each other.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import z3

from ..lab.model.world import Setting
from .facts import THE_FLEET, Fact, facts_of
from .names import KnownNames
from .words import (
    AllOf,
    AnyOf,
    Bound,
    Claim,
    Comparison,
    Condition,
    Measure,
    Not,
    RefusalOrder,
    Statement,
    Subject,
    SubjectKind,
    Unit,
    conjuncts,
    format_figure,
)

MAX_CONTRADICTIONS = 20  # further ones are reported once these are resolved
SOLVER_RESOURCE_LIMIT = 2_000_000  # in units of z3's rlimit, which do not depend on the machine's speed
UNCONDITIONAL = Condition()
FigureKey = tuple[Subject, Measure, Condition, bool]  # the last one: whether it is the maximum


@dataclass(frozen=True, slots=True)
class Contradiction:
    """A minimal set of statements and settings that cannot hold together.

    Attributes:
        statements: The statements.
        settings: The paths of the settings.
        reason: Why they contradict each other.
    """

    statements: tuple[Statement, ...]
    settings: tuple[str, ...]
    reason: str

    def describe(self) -> str:
        """Return the statements with their locations, and the settings, in one line."""
        names = [
            f"{statement.name} ({statement.location.describe()}: {statement.describe()})"
            for statement in self.statements
        ]
        return "; ".join([*names, *self.settings])


@dataclass(slots=True)
class ReasoningResult:
    """What reasoning found.

    Statements in neither `holds` nor `fails` need scenario runs.

    Attributes:
        contradictions: The contradictions between statements.
        holds: The reason for each statement that holds in every run.
        fails: The reason for each statement that fails in every run.
    """

    contradictions: list[Contradiction] = field(default_factory=list)
    holds: dict[Statement, str] = field(default_factory=dict)
    fails: dict[Statement, str] = field(default_factory=dict)


@dataclass(slots=True)
class TightestBound:
    """The tightest bound on a figure so far.

    Attributes:
        value: The bound, in the unit of the measure.
        strict: Whether the figure must not be equal to it.
        origin: The statement or setting that it comes from.
    """

    value: float
    strict: bool
    origin: Statement | str


def reason_about(
    statements: Sequence[Statement],
    setting: Setting,
    files: tuple[str, str] = ("configuration", "fleet file"),
) -> ReasoningResult:
    """Decide statements by the settings alone, and find contradictions between those that do not fail.

    Args:
        statements: The statements.
        setting: The settings.
        files: The labels of configuration and fleet file in setting paths.

    Returns:
        The statements that are decided, with reasons, and the contradictions.
    """
    result = ReasoningResult()
    names = KnownNames(setting)
    known_facts = facts_of(setting, *files)
    index = FactIndex(known_facts)
    for statement in statements:
        verdict = index.decide(statement, names)
        if verdict is not None:
            holds, reason = verdict
            (result.holds if holds else result.fails)[statement] = reason
    remaining = [statement for statement in statements if statement not in result.fails]
    result.contradictions = list(find_contradictions(remaining, known_facts, setting, names))
    return result


class FactIndex:
    """The facts of the settings by subject and measure; decides statements one by one."""

    def __init__(self, known_facts: Iterable[Fact]) -> None:
        """Index the facts."""
        self.facts: dict[tuple[Subject, Measure], list[Fact]] = {}
        for fact in known_facts:
            self.facts.setdefault((fact.subject, fact.measure), []).append(fact)

    def facts_for(self, subject: Subject, measure: Measure, condition: Condition) -> Iterator[Fact]:
        """Yield the facts about a measure that apply under a condition."""
        for fact in self.facts.get((subject, measure), ()):
            if fact.condition is None or covers(fact.condition, condition):
                yield fact

    def decide(self, statement: Statement, names: KnownNames) -> tuple[bool, str] | None:
        """Return whether a statement holds (or else fails) in every run, and why.

        Returns:
            The pair, or `None` if the facts do not decide the statement.
        """
        verdicts = [
            self.decide_claim(claim, statement.condition, names) for claim in conjuncts(statement.claim)
        ]
        failure = next((verdict for verdict in verdicts if verdict is not None and not verdict[0]), None)
        if failure is not None:
            return failure
        if all(verdicts):
            return True, "; ".join(dict.fromkeys(verdict[1] for verdict in verdicts if verdict is not None))
        return None

    def decide_claim(self, claim: Claim, condition: Condition, names: KnownNames) -> tuple[bool, str] | None:
        """Return whether a bound holds for all its subjects, and why.

        Returns:
            The pair, or `None` if the facts do not decide the claim. They decide no claim but a bound.
        """
        if not isinstance(claim, Bound):
            return None
        reasons = []
        for subject in names.expand(claim.subject):
            verdict = self.decide_bound(replace(claim, subject=subject), condition)
            if verdict is None or not verdict[0]:
                return verdict
            reasons.append(verdict[1])
        return True, "; ".join(dict.fromkeys(reasons))

    def decide_bound(self, bound: Bound, condition: Condition) -> tuple[bool, str] | None:
        """Decide a bound on one subject by the first fact that settles it.

        Returns:
            Whether the bound holds (or else fails) in every run, and why; `None` if no fact settles it.
        """
        for fact in self.facts_for(bound.subject, bound.measure, condition):
            low, high, value, word = fact.low, fact.high, bound.value, bound.measure.definition.word
            match bound.compare:
                case Comparison.AT_MOST if high <= value:
                    return True, f"{fact.setting_path} allows at most {format_figure(bound.measure, high)}"
                case Comparison.UNDER if high < value:
                    return True, f"{fact.setting_path} allows at most {format_figure(bound.measure, high)}"
                case Comparison.AT_LEAST if low >= value:
                    return True, f"{word} can't be less than {format_figure(bound.measure, low)}"
                case Comparison.AT_LEAST | Comparison.EXACTLY if high < value:
                    return False, f"{fact.setting_path} allows at most {format_figure(bound.measure, high)}"
                case Comparison.OVER if high <= value:
                    return False, f"{fact.setting_path} allows at most {format_figure(bound.measure, high)}"
                case Comparison.UNDER if low >= value:
                    return False, f"{word} can't be less than {format_figure(bound.measure, low)}"
        return None


def covers(wide: Condition, narrow: Condition) -> bool:
    """Return whether every bound under `wide` also applies under `narrow`.

    This is the case if `narrow` has all parts of `wide`, and perhaps more.
    """
    if wide.always or wide == narrow:
        return True
    if wide == UNCONDITIONAL:
        return False
    for name in ("lost", "shrink", "release", "surge", "planners_gone", "below_down", "load"):
        value = getattr(wide, name)
        if value not in (None, "", False) and getattr(narrow, name) != value:
            return False
    if wide.surge and wide.surge_factor != narrow.surge_factor:
        return False
    same = (wide.event, wide.event_subject) == (narrow.event, narrow.event_subject)
    return (wide.event is None or (same and wide.within >= narrow.within)) and (
        wide.settled <= narrow.settled
    )


# ---- contradictions ------------------------------------------------------------------------------------


def find_contradictions(
    statements: Sequence[Statement], known_facts: list[Fact], setting: Setting, names: KnownNames
) -> Iterator[Contradiction]:
    """Yield contradictions, at most `MAX_CONTRADICTIONS`.

    The statements of one contradiction are left out of the search for the next.
    """
    remaining = list(statements)
    count = 0
    for contradiction in bound_contradictions(remaining, names):
        count += 1
        if count > MAX_CONTRADICTIONS:
            return
        yield contradiction
        remaining = [statement for statement in remaining if statement not in contradiction.statements]
    while count < MAX_CONTRADICTIONS:
        found = solver_contradiction(remaining, known_facts, setting, names)
        if found is None:
            return
        count += 1
        yield found
        remaining = [statement for statement in remaining if statement not in found.statements]


def bounded_figures(bound: Bound, condition: Condition) -> Iterator[tuple[FigureKey, float, bool, bool]]:
    """Yield the figures that a claim bounds, as (figure, value, is upper bound, is strict)."""
    compare, value = bound.compare, bound.value
    strict = compare in (Comparison.UNDER, Comparison.OVER)
    if compare is Comparison.EXACTLY or compare.is_upper_bound:
        yield (bound.subject, bound.measure, condition, True), value, True, strict
    if compare is Comparison.EXACTLY or not compare.is_upper_bound:
        yield (bound.subject, bound.measure, condition, False), value, False, strict


def bound_contradictions(statements: Sequence[Statement], names: KnownNames) -> Iterator[Contradiction]:
    """Yield the contradictions between bounds on the same figure.

    A contradiction exists if the tightest upper bound is below the tightest lower bound, or equal to it while
    one of the two is strict.
    """
    upper_bounds: dict[tuple[Subject, Measure, Condition], TightestBound] = {}
    lower_bounds: dict[tuple[Subject, Measure, Condition], TightestBound] = {}
    for statement in statements:
        for claim in conjuncts(statement.claim):
            if not isinstance(claim, Bound):
                continue
            for subject in names.expand(claim.subject):
                bound = replace(claim, subject=subject) if claim.subject.each else claim
                for (owner, measure, condition, _), value, upper, strict in bounded_figures(
                    bound, statement.condition
                ):
                    key = (owner, measure, condition)
                    bounds = upper_bounds if upper else lower_bounds
                    previous = bounds.get(key)
                    tighter = previous is None or (
                        value < previous.value if upper else value > previous.value
                    )
                    if tighter or (previous is not None and value == previous.value and strict):
                        bounds[key] = TightestBound(value, strict, statement)
    reported: set[tuple[Statement, ...]] = set()
    for key, tightest_upper in upper_bounds.items():
        tightest_lower = lower_bounds.get(key)
        if tightest_lower is None or tightest_lower.value < tightest_upper.value:
            continue
        if tightest_lower.value == tightest_upper.value and not (
            tightest_lower.strict or tightest_upper.strict
        ):
            continue
        assert isinstance(tightest_upper.origin, Statement)
        assert isinstance(tightest_lower.origin, Statement)
        pair = tuple(dict.fromkeys((tightest_upper.origin, tightest_lower.origin)))
        if pair not in reported:
            reported.add(pair)
            compare = Comparison.UNDER if tightest_upper.strict else Comparison.AT_MOST
            upper_bound = Bound(key[0], key[1], compare, tightest_upper.value)
            lower_sign = (Comparison.OVER if tightest_lower.strict else Comparison.AT_LEAST).value
            lowest = f"{lower_sign} {format_figure(key[1], tightest_lower.value)}"
            yield Contradiction(pair, (), f"{upper_bound.describe()} and {lowest} can't both hold")


class Solver:
    """An SMT solver with a variable for each figure and a named assertion for each statement and setting."""

    def __init__(self, setting: Setting, names: KnownNames) -> None:
        """Create a solver without variables."""
        self.setting, self.names = setting, names
        self.solver = z3.Solver()
        self.solver.set("rlimit", SOLVER_RESOURCE_LIMIT)
        self.variables: dict[FigureKey, Any] = {}
        self.origins: dict[str, Statement | str] = {}

    def figure(self, subject: Subject, measure: Measure, condition: Condition, is_maximum: bool) -> Any:
        """Return the variable of a figure.

        On first use the variable is created with its constraints: it is at least 0, a share is at most 1, and
        the minimum of an instantaneous measure is at most its maximum. Other measures have one value, so that
        both are equal.
        """
        key = (subject, measure, condition, is_maximum)
        if key not in self.variables:
            self.variables[key] = z3.Real(f"v{len(self.variables)}")
            other = self.figure(subject, measure, condition, not is_maximum)
            variable = self.variables[key]
            self.solver.add(
                variable == other
                if not measure.definition.is_instantaneous
                else other <= variable
                if is_maximum
                else variable <= other
            )
            self.solver.add(variable >= 0)
            if measure.definition.unit is Unit.SHARE:
                self.solver.add(variable <= 1)
        return self.variables[key]

    def assertion(self, origin: Statement | str) -> Any:
        """Return a new Boolean variable that names a statement or a setting in an unsatisfiable core."""
        label = f"s{len(self.origins)}"
        self.origins[label] = origin
        return z3.Bool(label)

    def claim_term(self, claim: Claim, condition: Condition) -> Any:
        """Return the formula that a claim stands for; a bound with `each` stands for all its subjects."""
        match claim:
            case Bound():
                return z3.And(
                    [
                        self.bound_term(replace(claim, subject=subject), condition)
                        for subject in self.names.expand(claim.subject)
                    ]
                )
            case RefusalOrder(first, then):
                low, high = (
                    self.figure(subject, Measure.REFUSED, condition, True) for subject in (then, first)
                )
                return low <= high
            case Not(inner):
                return z3.Not(self.claim_term(inner, condition))
            case AllOf(claims):
                return z3.And([self.claim_term(inner, condition) for inner in claims])
            case AnyOf(claims):
                return z3.Or([self.claim_term(inner, condition) for inner in claims])

    def bound_term(self, bound: Bound, condition: Condition) -> Any:
        """Return the formula of a bound on one subject."""
        terms = []
        for (subject, measure, figure_condition, is_maximum), value, _, strict in bounded_figures(
            bound, condition
        ):
            figure = self.figure(subject, measure, figure_condition, is_maximum)
            number = z3.RealVal(repr(value))
            if is_maximum:
                terms.append(figure < number if strict else figure <= number)
            else:
                terms.append(figure > number if strict else figure >= number)
        return z3.And(terms)

    def add_constraints(self) -> None:
        """Add the constraints between the figures that have variables."""
        mentioned = {(measure, condition) for _, measure, condition, _ in self.variables}
        for measure, condition in sorted(mentioned, key=str):
            for whole, parts in wholes_and_parts(self.setting, measure):
                mentioned_subjects = [
                    subject
                    for subject in (whole, *parts)
                    if (subject, measure, condition, True) in self.variables
                ]
                if len(mentioned_subjects) <= 1:
                    continue
                self.add_part_constraints(whole, parts, measure, condition)
        self.add_condition_constraints()
        self.add_share_constraints()

    def add_part_constraints(
        self, whole: Subject, parts: list[Subject], measure: Measure, condition: Condition
    ) -> None:
        """Add the constraints between the figures of a whole and of its parts."""
        whole_maximum = self.figure(whole, measure, condition, True)
        whole_minimum = self.figure(whole, measure, condition, False)
        part_maxima = [self.figure(part, measure, condition, True) for part in parts]
        part_minima = [self.figure(part, measure, condition, False) for part in parts]
        add = self.solver.add
        if measure in (Measure.OUTSTANDING, Measure.CALLS, Measure.OUT):
            add(whole_maximum <= z3.Sum(part_maxima), whole_minimum >= z3.Sum(part_minima))
            add(*[maximum <= whole_maximum for maximum in part_maxima])
        elif measure is Measure.ADVISED:
            add(*[maximum <= whole_maximum for maximum in part_maxima])
        else:
            # The share of the whole lies between the shares of its parts.
            add(
                z3.Or([whole_maximum <= maximum for maximum in part_maxima]),
                z3.Or([whole_minimum >= minimum for minimum in part_minima]),
            )

    def add_condition_constraints(self) -> None:
        """Add the constraints between figures whose conditions cover each other."""
        by_figure: dict[tuple[Subject, Measure], set[Condition]] = {}
        for subject, measure, condition, _ in self.variables:
            by_figure.setdefault((subject, measure), set()).add(condition)
        for (subject, measure), conditions in by_figure.items():
            if not measure.definition.is_instantaneous:
                continue  # the mean of a span does not bound the mean of a part of it
            for wide in conditions:
                for narrow in conditions:
                    if wide is not narrow and covers(wide, narrow):
                        self.solver.add(
                            self.figure(subject, measure, wide, True)
                            >= self.figure(subject, measure, narrow, True),
                            self.figure(subject, measure, wide, False)
                            <= self.figure(subject, measure, narrow, False),
                        )

    def add_share_constraints(self) -> None:
        """Add that refused and served shares of a subject sum to at most 1: no refused request was served."""
        for subject, measure, condition, is_maximum in list(self.variables):
            if (
                measure is Measure.REFUSED
                and is_maximum
                and (subject, Measure.SERVED, condition, True) in self.variables
            ):
                refused = self.figure(subject, measure, condition, True)
                served = self.figure(subject, Measure.SERVED, condition, True)
                self.solver.add(refused + served <= 1)

    def minimal_core(self, assertions: list[tuple[Any, Any]]) -> list[Statement | str] | None:
        """Find assertions that contradict each other, such that none can be left out.

        Args:
            assertions: The names of the assertions with their formulas.

        Returns:
            The statements and settings of the contradiction; `None` if there is none or the solver could not
            decide within its limit.
        """
        for name, term in assertions:
            self.solver.add(z3.Implies(name, term))
        if self.solver.check(*[name for name, _ in assertions]) != z3.unsat:
            return None
        kept = list(self.solver.unsat_core())
        for name in sorted(kept, key=str):
            remaining = [other for other in kept if not other.eq(name)]
            if self.solver.check(*remaining) == z3.unsat:
                core = {str(member) for member in self.solver.unsat_core()}
                kept = [member for member in remaining if str(member) in core]
        return [self.origins[str(name)] for name in kept]


def solver_contradiction(
    statements: Sequence[Statement], known_facts: list[Fact], setting: Setting, names: KnownNames
) -> Contradiction | None:
    """Find one contradiction that involves several figures.

    Returns:
        The contradiction, or `None` if there is none or the solver could not decide within its limit.
    """
    solver = Solver(setting, names)
    assertions = []
    for statement in tightest_statements(statements, names):
        assertions.append(
            (solver.assertion(statement), solver.claim_term(statement.claim, statement.condition))
        )
    mentioned = {(subject, measure) for subject, measure, _, _ in solver.variables}
    for measure in {measure for _, measure in mentioned}:
        for whole, parts in wholes_and_parts(setting, measure):
            if any((part, measure) in mentioned for part in parts):
                mentioned.add((whole, measure))
    conditions = {condition for _, _, condition, _ in solver.variables}
    for fact in known_facts:
        if (fact.subject, fact.measure) not in mentioned:
            continue
        for condition in conditions:
            if fact.condition is None or covers(fact.condition, condition):
                maximum = solver.figure(fact.subject, fact.measure, condition, True)
                assertions.append(
                    (solver.assertion(fact.setting_path), maximum <= z3.RealVal(repr(float(fact.high))))
                )
    solver.add_constraints()
    core = solver.minimal_core(assertions)
    if core is None:
        return None
    contradicting = tuple(dict.fromkeys(origin for origin in core if isinstance(origin, Statement)))
    setting_paths = tuple(dict.fromkeys(origin for origin in core if isinstance(origin, str)))
    return Contradiction(contradicting, setting_paths, "these statements and settings can't all hold")


def tightest_statements(statements: Sequence[Statement], names: KnownNames) -> list[Statement]:
    """Return the statements that are not implied by others.

    Of several simple bounds on one figure only the tightest is kept; it implies the others.
    """
    tightest: dict[tuple[Subject, Measure, Condition, bool], tuple[float, bool, Statement]] = {}
    kept: dict[Statement, None] = {}
    for statement in statements:
        claim = statement.claim
        if not isinstance(claim, Bound) or claim.subject.each or claim.compare is Comparison.EXACTLY:
            kept[statement] = None
            continue
        for figure, value, upper, strict in bounded_figures(claim, statement.condition):
            previous = tightest.get(figure)
            rank = (-value if upper else value, strict)
            if previous is None or rank > (previous[0], previous[1]):
                tightest[figure] = (*rank, statement)
    for _, _, statement in tightest.values():
        kept[statement] = None
    return list(kept)


def wholes_and_parts(setting: Setting, measure: Measure) -> Iterator[tuple[Subject, list[Subject]]]:
    """Yield each whole with its parts, for the kinds of subjects that have the measure.

    The parts of a whole, such as the sites of the fleet, do not overlap.
    """
    sites = setting.sites()
    kinds = measure.definition.subject_kinds
    if SubjectKind.SITE in kinds:
        yield THE_FLEET, [Subject(SubjectKind.SITE, name) for name in sites]
    if SubjectKind.SERVER in kinds:
        for site, names in sites.items():
            yield Subject(SubjectKind.SITE, site), [Subject(SubjectKind.SERVER, name) for name in names]
    if SubjectKind.ROUTER in kinds:
        routers = setting.routers()
        yield THE_FLEET, [Subject(SubjectKind.ROUTER, str(router.number)) for router in routers]
        for site in sites if measure is not Measure.OUTSTANDING else ():
            site_routers = [
                Subject(SubjectKind.ROUTER, str(router.number)) for router in routers if router.site == site
            ]
            if site_routers:
                yield Subject(SubjectKind.SITE, site), site_routers
    if SubjectKind.TENANT in kinds and setting.tenants:
        yield THE_FLEET, [Subject(SubjectKind.TENANT, name) for name in setting.tenants]
    if SubjectKind.PROFILE in kinds:
        yield THE_FLEET, [Subject(SubjectKind.PROFILE, name) for name in setting.profiles]
    if measure is Measure.OUT and setting.fleet is not None:
        for group in setting.fleet.budget_groups():
            inside = [
                Subject(SubjectKind.SITE, site)
                for site, names in sites.items()
                if group.members.issuperset(names)
            ]
            if inside and sum(len(sites[site.name]) for site in inside) == len(group.members):
                yield Subject(SubjectKind.GROUP, group.name), inside
