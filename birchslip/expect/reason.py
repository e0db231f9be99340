"""By reasoning: what settings and statements say of one another, with nothing played.

Each subject, measure and situation has two figures: the least and the most that it comes to. A statement
bounds one of them, a setting too (`facts.py`), and figures bound each other: a part is no more than its
whole, all parts together no less. First each figure's own bounds are held against each other, which finds
almost everything at once, however many statements there are; what ties several figures together goes to a
solver, which says which of the statements and settings can't hold together, and no fewer of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import z3

from ..lab.model.world import Setting
from .facts import THE_FLEET, Fact, facts
from .names import Names
from .words import (
    Both,
    Bound,
    Claim,
    Compare,
    Either,
    Kind,
    Measure,
    Not,
    Order,
    Statement,
    Subject,
    Unit,
    When,
    parts,
)

CLASHES_MOST = 20  # that are named; the rest waits until those are mended
SOLVER_STEPS = 2_000_000  # of the solver's own count: the same verdict on every machine
USUAL = When()
Figure = tuple[Subject, Measure, When, bool]  # whose, of what, when, and whether the most is meant


@dataclass(frozen=True, slots=True)
class Clash:
    """What can't hold together: statements and settings, none of which can be left out."""

    statements: tuple[Statement, ...]
    settings: tuple[str, ...]
    why: str

    def told(self) -> str:
        names = [f"{one.name} ({one.spot.told()}: {one.told()})" for one in self.statements]
        return "; ".join([*names, *self.settings])


@dataclass(slots=True)
class Reasoned:
    """`holds` and `fails` are by statement, with the reason; whoever is in neither has to be played."""

    clashes: list[Clash] = field(default_factory=list)
    holds: dict[Statement, str] = field(default_factory=dict)
    fails: dict[Statement, str] = field(default_factory=dict)


@dataclass(slots=True)
class Edge:
    """The tightest bound of a figure so far, and who says it: a statement or a setting."""

    value: float
    strict: bool
    who: Statement | str


def reason(
    statements: Sequence[Statement],
    setting: Setting,
    files: tuple[str, str] = ("configuration", "fleet file"),
) -> Reasoned:
    made = Reasoned()
    names = Names(setting)
    known = facts(setting, *files)
    held = Held(known)
    for statement in statements:
        verdict = held.alone(statement, names)
        if verdict is not None:
            good, why = verdict
            (made.holds if good else made.fails)[statement] = why
    rest = [one for one in statements if one not in made.fails]
    made.clashes = list(clashes(rest, known, setting, names))
    return made


class Held:
    """Settings alone, looked up by figure: what one statement by itself comes to."""

    def __init__(self, known: Iterable[Fact]) -> None:
        self.facts: dict[tuple[Subject, Measure], list[Fact]] = {}
        for fact in known:
            self.facts.setdefault((fact.subject, fact.measure), []).append(fact)

    def of(self, subject: Subject, measure: Measure, when: When) -> Iterator[Fact]:
        for fact in self.facts.get((subject, measure), ()):
            if fact.when is None or covers(fact.when, when):
                yield fact

    def alone(self, statement: Statement, names: Names) -> tuple[bool, str] | None:
        """Whether it holds or fails whatever happens, and why; None where that depends."""
        said = [self.claim(claim, statement.when, names) for claim in parts(statement.claim)]
        bad = next((one for one in said if one is not None and not one[0]), None)
        if bad is not None:
            return bad
        if all(said):
            return True, "; ".join(dict.fromkeys(one[1] for one in said if one is not None))
        return None

    def claim(self, claim: Claim, when: When, names: Names) -> tuple[bool, str] | None:
        if not isinstance(claim, Bound):
            return None
        whys = []
        for subject in names.some(claim.subject):
            verdict = self.bound(replace(claim, subject=subject), when)
            if verdict is None or not verdict[0]:
                return verdict
            whys.append(verdict[1])
        return True, "; ".join(dict.fromkeys(whys))

    def bound(self, bound: Bound, when: When) -> tuple[bool, str] | None:
        for fact in self.of(bound.subject, bound.measure, when):
            low, high, value = fact.low, fact.high, bound.value
            match bound.compare:
                case Compare.AT_MOST if high <= value:
                    return True, f"{fact.place} says at most {high:g}"
                case Compare.UNDER if high < value:
                    return True, f"{fact.place} says at most {high:g}"
                case Compare.AT_LEAST if low >= value:
                    return True, "it can't be less"
                case Compare.AT_LEAST | Compare.EXACTLY if high < value:
                    return False, f"{fact.place} says at most {high:g}"
                case Compare.OVER if high <= value:
                    return False, f"{fact.place} says at most {high:g}"
                case Compare.UNDER if low >= value:
                    return False, "it can't be less"
        return None


def covers(wide: When, narrow: When) -> bool:
    """Whether what holds in the one situation has to hold in the other: it is more of the same."""
    if wide.always or wide == narrow:
        return True
    if wide == USUAL:
        return False
    for name in ("lost", "shrink", "release", "surge", "planners_gone", "below_down", "load"):
        said = getattr(wide, name)
        if said not in (None, "", False) and getattr(narrow, name) != said:
            return False
    if wide.surge and wide.times != narrow.times:
        return False
    same = (wide.event, wide.whom) == (narrow.event, narrow.whom)
    return (wide.event is None or (same and wide.within >= narrow.within)) and (
        wide.settled <= narrow.settled
    )


# ---- together ------------------------------------------------------------------------------------------


def clashes(
    statements: Sequence[Statement], known: list[Fact], setting: Setting, names: Names
) -> Iterator[Clash]:
    left = list(statements)
    count = 0
    for clash in edge_clashes(left, names):
        count += 1
        if count > CLASHES_MOST:
            return
        yield clash
        left = [one for one in left if one not in clash.statements]
    while count < CLASHES_MOST:
        found = solver_clash(left, known, setting, names)
        if found is None:
            return
        count += 1
        yield found
        left = [one for one in left if one not in found.statements]


def edges(bound: Bound, when: When) -> Iterator[tuple[Figure, float, bool, bool]]:
    """Which figures it bounds: the figure, the value, whether from above, whether strictly."""
    compare, value = bound.compare, bound.value
    strict = compare in (Compare.UNDER, Compare.OVER)
    if compare is Compare.EXACTLY or compare.upper:
        yield (bound.subject, bound.measure, when, True), value, True, strict
    if compare is Compare.EXACTLY or not compare.upper:
        yield (bound.subject, bound.measure, when, False), value, False, strict


def edge_clashes(statements: Sequence[Statement], names: Names) -> Iterator[Clash]:
    """Of each figure by itself: the tightest from above under the tightest from below."""
    above: dict[tuple[Subject, Measure, When], Edge] = {}
    below: dict[tuple[Subject, Measure, When], Edge] = {}
    for statement in statements:
        for claim in parts(statement.claim):
            if not isinstance(claim, Bound):
                continue
            for subject in names.some(claim.subject):
                one = replace(claim, subject=subject) if claim.subject.each else claim
                for (who, measure, when, _), value, upper, strict in edges(one, statement.when):
                    key = (who, measure, when)
                    book = above if upper else below
                    was = book.get(key)
                    tighter = was is None or (value < was.value if upper else value > was.value)
                    if tighter or (was is not None and value == was.value and strict):
                        book[key] = Edge(value, strict, statement)
    said: set[tuple[Statement, ...]] = set()
    for key, most in above.items():
        least = below.get(key)
        if least is None or least.value < most.value:
            continue
        if least.value == most.value and not (least.strict or most.strict):
            continue
        assert isinstance(most.who, Statement)
        assert isinstance(least.who, Statement)
        some = tuple(dict.fromkeys((most.who, least.who)))
        if some not in said:
            said.add(some)
            said_most = Bound(key[0], key[1], Compare.AT_MOST, most.value)
            yield Clash(some, (), f"{said_most.told()} and at least {least.value:g} can't both be")


class Solver:
    """The figures as variables, and everything said of them as assertions that each have a name."""

    def __init__(self, setting: Setting, names: Names) -> None:
        self.setting, self.names = setting, names
        self.solver = z3.Solver()
        self.solver.set("rlimit", SOLVER_STEPS)
        self.variables: dict[Figure, Any] = {}
        self.who: dict[str, Statement | str] = {}

    def figure(self, subject: Subject, measure: Measure, when: When, most: bool) -> Any:
        key = (subject, measure, when, most)
        if key not in self.variables:
            self.variables[key] = z3.Real(f"v{len(self.variables)}")
            other = self.figure(subject, measure, when, not most)
            one = self.variables[key]
            # A mean has one value; of a figure of every moment the least is no more than the most.
            self.solver.add(
                one == other if not measure.form.always else other <= one if most else one <= other
            )
            self.solver.add(one >= 0)
            if measure.form.unit is Unit.PART:
                self.solver.add(one <= 1)
        return self.variables[key]

    def name(self, who: Statement | str) -> Any:
        word = f"s{len(self.who)}"
        self.who[word] = who
        return z3.Bool(word)

    def claim(self, claim: Claim, when: When) -> Any:
        match claim:
            case Bound():
                return z3.And(
                    [self.bound(replace(claim, subject=one), when) for one in self.names.some(claim.subject)]
                )
            case Order(first, then):
                low, high = (self.figure(one, Measure.REFUSED, when, True) for one in (then, first))
                return low <= high
            case Not(inner):
                return z3.Not(self.claim(inner, when))
            case Both(claims):
                return z3.And([self.claim(one, when) for one in claims])
            case Either(claims):
                return z3.Or([self.claim(one, when) for one in claims])

    def bound(self, bound: Bound, when: When) -> Any:
        terms = []
        for (subject, measure, at, most), value, _, strict in edges(bound, when):
            one = self.figure(subject, measure, at, most)
            number = z3.RealVal(repr(value))
            if most:
                terms.append(one < number if strict else one <= number)
            else:
                terms.append(one > number if strict else one >= number)
        return z3.And(terms)

    def tie(self) -> None:
        """What figures say of each other, for those that anybody speaks of."""
        spoken = {(measure, when) for _, measure, when, _ in self.variables}
        for measure, when in sorted(spoken, key=str):
            for whole, some in wholes(self.setting, measure):
                wanted = [one for one in (whole, *some) if (one, measure, when, True) in self.variables]
                if len(wanted) < 2:
                    continue
                self.tie_parts(whole, some, measure, when)
        self.tie_situations()
        self.tie_shares()

    def tie_parts(self, whole: Subject, some: list[Subject], measure: Measure, when: When) -> None:
        most = self.figure(whole, measure, when, True)
        least = self.figure(whole, measure, when, False)
        tops = [self.figure(one, measure, when, True) for one in some]
        bottoms = [self.figure(one, measure, when, False) for one in some]
        add = self.solver.add
        if measure in (Measure.OUTSTANDING, Measure.CALLS, Measure.OUT):
            add(most <= z3.Sum(tops), least >= z3.Sum(bottoms))
            add(*[one <= most for one in tops])
        elif measure is Measure.ADVISED:
            add(*[one <= most for one in tops])
        else:
            # A share of the whole lies between those of its parts.
            add(z3.Or([most <= one for one in tops]), z3.Or([least >= one for one in bottoms]))

    def tie_situations(self) -> None:
        """What holds in a situation holds in more of the same."""
        by: dict[tuple[Subject, Measure], set[When]] = {}
        for subject, measure, when, _ in self.variables:
            by.setdefault((subject, measure), set()).add(when)
        for (subject, measure), whens in by.items():
            if not measure.form.always:
                continue  # a mean over more is no bound on a part of it
            for wide in whens:
                for narrow in whens:
                    if wide is not narrow and covers(wide, narrow):
                        self.solver.add(
                            self.figure(subject, measure, wide, True)
                            >= self.figure(subject, measure, narrow, True),
                            self.figure(subject, measure, wide, False)
                            <= self.figure(subject, measure, narrow, False),
                        )

    def tie_shares(self) -> None:
        """Who was refused was not served."""
        for subject, measure, when, most in list(self.variables):
            if (
                measure is Measure.REFUSED
                and most
                and (subject, Measure.SERVED, when, True) in self.variables
            ):
                refused = self.figure(subject, measure, when, True)
                served = self.figure(subject, Measure.SERVED, when, True)
                self.solver.add(refused + served <= 1)

    def core(self, said: list[tuple[Any, Any]]) -> list[Statement | str] | None:
        """The names of what can't hold together, as few as can be; None where all can, or nobody can tell."""
        for name, term in said:
            self.solver.add(z3.Implies(name, term))
        if self.solver.check(*[name for name, _ in said]) != z3.unsat:
            return None
        kept = list(self.solver.unsat_core())
        for name in sorted(kept, key=str):
            fewer = [one for one in kept if not one.eq(name)]
            if self.solver.check(*fewer) == z3.unsat:
                inner = {str(one) for one in self.solver.unsat_core()}
                kept = [one for one in fewer if str(one) in inner]
        return [self.who[str(one)] for one in kept]


def solver_clash(
    statements: Sequence[Statement], known: list[Fact], setting: Setting, names: Names
) -> Clash | None:
    solver = Solver(setting, names)
    said = []
    for statement in needed(statements, names):
        said.append((solver.name(statement), solver.claim(statement.claim, statement.when)))
    spoken = {(subject, measure) for subject, measure, _, _ in solver.variables}
    for measure in {measure for _, measure in spoken}:
        for whole, some in wholes(setting, measure):
            if any((one, measure) in spoken for one in some):
                spoken.add((whole, measure))
    whens = {when for _, _, when, _ in solver.variables}
    for fact in known:
        if (fact.subject, fact.measure) not in spoken:
            continue
        for when in whens:
            if fact.when is None or covers(fact.when, when):
                most = solver.figure(fact.subject, fact.measure, when, True)
                said.append((solver.name(fact.place), most <= z3.RealVal(repr(float(fact.high)))))
    solver.tie()
    core = solver.core(said)
    if core is None:
        return None
    clashing = tuple(dict.fromkeys(one for one in core if isinstance(one, Statement)))
    places = tuple(dict.fromkeys(one for one in core if isinstance(one, str)))
    return Clash(clashing, places, "these can't all hold")


def needed(statements: Sequence[Statement], names: Names) -> list[Statement]:
    """Those that say more than others: of bounds on one figure the tightest implies the rest."""
    tightest: dict[tuple[Subject, Measure, When, bool], tuple[float, bool, Statement]] = {}
    kept: dict[Statement, None] = {}
    for statement in statements:
        claim = statement.claim
        if not isinstance(claim, Bound) or claim.subject.each or claim.compare is Compare.EXACTLY:
            kept[statement] = None
            continue
        for figure, value, upper, strict in edges(claim, statement.when):
            was = tightest.get(figure)
            rank = (-value if upper else value, strict)
            if was is None or rank > (was[0], was[1]):
                tightest[figure] = (*rank, statement)
    for _, _, statement in tightest.values():
        kept[statement] = None
    return list(kept)


def wholes(setting: Setting, measure: Measure) -> Iterator[tuple[Subject, list[Subject]]]:
    """What is made of what: for each measure, wholes with all their parts."""
    sites = setting.sites()
    kinds = measure.form.kinds
    if Kind.SITE in kinds:
        yield THE_FLEET, [Subject(Kind.SITE, name) for name in sites]
    if Kind.SERVER in kinds:
        for site, names in sites.items():
            yield Subject(Kind.SITE, site), [Subject(Kind.SERVER, name) for name in names]
    if Kind.ROUTER in kinds:
        routers = setting.routers()
        yield THE_FLEET, [Subject(Kind.ROUTER, str(one.number)) for one in routers]
        for site in sites if measure is not Measure.OUTSTANDING else ():
            mine = [Subject(Kind.ROUTER, str(one.number)) for one in routers if one.site == site]
            if mine:
                yield Subject(Kind.SITE, site), mine
    if Kind.TENANT in kinds and setting.tenants:
        yield THE_FLEET, [Subject(Kind.TENANT, name) for name in setting.tenants]
    if Kind.PROFILE in kinds:
        yield THE_FLEET, [Subject(Kind.PROFILE, name) for name in setting.profiles]
    if measure is Measure.OUT and setting.fleet is not None:
        for group in setting.fleet.budget_groups():
            inside = [
                Subject(Kind.SITE, site) for site, names in sites.items() if group.members.issuperset(names)
            ]
            if inside and sum(len(sites[one.name]) for one in inside) == len(group.members):
                yield Subject(Kind.GROUP, group.name), inside
