"""From figures to verdicts: holds, fails, or can't be told. Free of I/O: a play is handed in as a function
that measures.

A statement is played with several seeds. It holds where it held in each, and fails where it failed in each;
where seeds differ, the bound lies within the noise of the world, and nobody can tell. So no verdict hangs on
one draw.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from .measures import Seen
from .words import (
    Both,
    Bound,
    Claim,
    Compare,
    Either,
    Measure,
    Not,
    Order,
    Subject,
    figure,
)

Measuring = Callable[[Subject, Measure, Compare], Seen | None]
Some = Callable[[Subject], list[Subject]]


class Outcome(Enum):
    HOLDS = "holds"
    FAILS = "fails"
    UNTOLD = "can't be told"


@dataclass(frozen=True, slots=True)
class Said:
    """Of one claim in one play: whether it held (None: nothing was there to measure), by which figure."""

    held: bool | None
    why: str
    value: float | None = None
    bound: float | None = None
    at: int = 0
    over: float = 0.0  # how far past its bound, in parts of it: what a search follows


def weigh(claim: Claim, measure: Measuring, some: Some) -> Said:
    match claim:
        case Bound():
            said = [weigh_bound(replace(claim, subject=one), measure) for one in some(claim.subject)]
            return all_of(said)
        case Order(first, then):
            return weigh_order(first, then, measure)
        case Not(inner):
            one = weigh(inner, measure, some)
            if one.held is None:
                return one
            return replace(one, held=not one.held, why=f"{one.why}, and is not to be", over=-one.over)
        case Both(claims):
            return all_of([weigh(one, measure, some) for one in claims])
        case Either(claims):
            each = [weigh(one, measure, some) for one in claims]
            good = next((one for one in each if one.held), None)
            if good is not None:
                return good
            if any(one.held is None for one in each):
                return next(one for one in each if one.held is None)
            return replace(min(each, key=lambda one: one.over), why=" and ".join(one.why for one in each))


def all_of(said: Sequence[Said]) -> Said:
    """The worst of them: one that fails, else one that can't be told."""
    bad = [one for one in said if one.held is False]
    if bad:
        return max(bad, key=lambda one: one.over)
    untold = next((one for one in said if one.held is None), None)
    if untold is not None:
        return untold
    return max(said, key=lambda one: one.over)


def weigh_bound(bound: Bound, measure: Measuring) -> Said:
    if bound.compare is Compare.EXACTLY and bound.measure.form.always:
        # At every moment: neither more nor less.
        return all_of(
            [weigh_bound(replace(bound, compare=one), measure) for one in (Compare.AT_MOST, Compare.AT_LEAST)]
        )
    seen = measure(bound.subject, bound.measure, bound.compare)
    who, word = bound.subject.told(), bound.measure.form.word
    if seen is None:
        # Where nothing was shed, no wait was advised either.
        if bound.measure is Measure.ADVISED and bound.compare.upper:
            return Said(True, f"{who}: no wait was advised", 0.0, bound.value, over=-1.0)
        return Said(None, f"{who}: there was nothing to measure of {word}")
    value = seen.value
    held = {
        Compare.AT_MOST: value <= bound.value,
        Compare.UNDER: value < bound.value,
        Compare.AT_LEAST: value >= bound.value,
        Compare.OVER: value > bound.value,
        Compare.EXACTLY: value == bound.value,
    }[bound.compare]
    scale = max(abs(bound.value), 0.01)
    off = (value - bound.value) / scale
    over = off if bound.compare.upper else -off if bound.compare is not Compare.EXACTLY else abs(off)
    against = f"{bound.compare.value} {figure(bound.measure, bound.value)}"
    told = f"{who} {word} {figure(bound.measure, value)}, against {against}"
    return Said(held, told, value, bound.value, seen.at, over)


def weigh_order(first: Subject, then: Subject, measure: Measuring) -> Said:
    a, b = (measure(one, Measure.REFUSED, Compare.AT_MOST) for one in (first, then))
    if a is None or b is None:
        who = first if a is None else then
        return Said(None, f"{who.told()}: there was nothing to measure of refused")
    if not a.value and not b.value:
        return Said(None, f"neither {first.told()} nor {then.told()} was refused anything")
    told = f"{first.told()} refused {a.value:.1%}, {then.told()} {b.value:.1%}"
    return Said(b.value <= a.value, told, b.value, a.value, 0, b.value - a.value)


@dataclass(slots=True)
class Verdict:
    """Of a statement: how it was come by (`reasoning` or `play`) and what can be said of a failure."""

    outcome: Outcome
    by: str
    why: str
    value: float | None = None
    bound: float | None = None
    seed: int | None = None
    history: list[str] = field(default_factory=list)
    setting: str = ""  # the one most responsible, and what it would have to be


def verdict(said: Sequence[tuple[int, Said]]) -> Verdict:
    """Over all seeds."""
    if all(one.held for _, one in said):
        seed, worst = max(said, key=lambda pair: pair[1].over)
        return Verdict(Outcome.HOLDS, "play", worst.why, worst.value, worst.bound, seed)
    if all(one.held is False for _, one in said):
        seed, worst = max(said, key=lambda pair: pair[1].over)
        return Verdict(Outcome.FAILS, "play", worst.why, worst.value, worst.bound, seed)
    empty = next((one for _, one in said if one.held is None), None)
    if empty is not None:
        return Verdict(Outcome.UNTOLD, "play", empty.why)
    good = sum(1 for _, one in said if one.held)
    seed, worst = max(said, key=lambda pair: pair[1].over)
    why = f"it held with {good} of {len(said)} seeds, the bound lies within the noise; at worst {worst.why}"
    return Verdict(Outcome.UNTOLD, "play", why, worst.value, worst.bound, seed)
