"""Figures read off a play: of whom, of what, over which spans."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ..lab.model.clock import SECOND
from ..lab.model.routers import Deed
from ..lab.model.world import Series, World
from .words import Compare, Kind, Measure, Subject

Span = tuple[int, int]
ROOM_OVER = SECOND  # a share of room is that of a second
FEW = 20  # transactions that a share is told of at least


@dataclass(frozen=True, slots=True)
class Seen:
    """A figure, the moment it was reached (0 where it is no moment's), and of how many it was told."""

    value: float
    at: int = 0
    of: int = 0


def measured(
    world: World, subject: Subject, measure: Measure, compare: Compare, spans: Sequence[Span]
) -> Seen | None:
    """The figure that the comparison goes by: the most where it is bounded from above, the least from below.
    None where there was nothing to measure.
    """
    match measure:
        case Measure.OUTSTANDING:
            return extreme(together(outstanding(world, subject)), compare, spans)
        case Measure.CALLS:
            return extreme(together(calls(world, subject)), compare, spans)
        case Measure.OUT:
            return extreme(together([world.out[name] for name in members(world, subject)]), compare, spans)
        case Measure.ROOM:
            return room(world, subject, compare, spans)
        case Measure.ADVISED:
            return advised(world, subject, compare, spans)
        case Measure.TRIES:
            deeds = born(world, subject, spans)
            return (
                Seen(sum(deed.tries for deed in deeds) / len(deeds), of=len(deeds))
                if len(deeds) >= FEW
                else None
            )
        case Measure.REFUSED:
            return share(born(world, subject, spans), lambda deed: deed.shed and deed.honoured_at < 0)
        case Measure.EARNED:
            deeds = born(world, subject, spans)
            asked = sum(deed.profile.priority_weight for deed in deeds)
            got = sum(deed.profile.priority_weight for deed in deeds if deed.in_time)
            return Seen(got / asked, of=len(deeds)) if len(deeds) >= FEW and asked else None
        case Measure.SERVED:
            return share(born(world, subject, spans), lambda deed: deed.in_time)
    raise ValueError(f"no such measure: {measure}")


def members(world: World, subject: Subject) -> list[str]:
    match subject.kind:
        case Kind.SITE:
            return world.sites[subject.name]
        case Kind.SERVER:
            return [subject.name]
        case Kind.GROUP:
            fleet = world.setting.fleet
            assert fleet is not None
            group = next(one for one in fleet.budget_groups() if one.name == subject.name)
            return [name for name in world.by_name if name in group.members]
        case Kind.SERVICE:
            fleet = world.setting.fleet
            needs = fleet.required_services() if fleet is not None else {}
            return [name for name in world.by_name if subject.name in needs.get(name, ())]
    return list(world.by_name)


def outstanding(world: World, subject: Subject) -> list[Series]:
    if subject.kind is Kind.ROUTER:
        return [world.outstanding[int(subject.name)]]
    if subject.kind is Kind.FLEET:
        return list(world.outstanding.values())
    return [world.sent[name] for name in members(world, subject)]


def calls(world: World, subject: Subject) -> list[Series]:
    if subject.kind is Kind.FLEET:
        return [world.calls]
    return [world.calls_of[name] for name in members(world, subject)]


def together(some: list[Series]) -> Series:
    """Their sum at every moment."""
    if len(some) == 1:
        return some[0]
    made = Series()
    changes = sorted(
        (at, place, value)
        for place, one in enumerate(some)
        for at, value in zip(one.times, one.values, strict=True)
    )
    now = [0.0] * len(some)
    total = 0.0
    for at, place, value in changes:
        total += value - now[place]
        now[place] = value
        made.set(at, total)
    return made


def extreme(series: Series, compare: Compare, spans: Sequence[Span]) -> Seen | None:
    values = [one for span in spans for one in series.within(span)]
    if not values:
        return None
    pick: Callable[..., tuple[int, float]] = max if compare.upper else min
    at, value = pick(values, key=lambda one: one[1])
    return Seen(value, at, len(values))


def room(world: World, subject: Subject, compare: Compare, spans: Sequence[Span]) -> Seen | None:
    """Busy cores over those that are there, second by second; one that is gone has none."""
    names = members(world, subject)
    found: list[tuple[int, float]] = []
    for a, b in spans:
        for at in range(a, b - ROOM_OVER + 1, ROOM_OVER):
            part = (at, at + ROOM_OVER)
            there = [name for name in names if mean(world.out[name], part) < 0.5]
            if there:
                found.append((at, sum(mean(world.busy[name], part) for name in there) / len(there)))
    if not found:
        return None
    pick: Callable[..., tuple[int, float]] = max if compare.upper else min
    at, value = pick(found, key=lambda one: one[1])
    return Seen(value, at, len(found))


def mean(series: Series, span: Span) -> float:
    points = series.within(span)
    total = 0.0
    for (at, value), after in zip(points, [*(when for when, _ in points[1:]), span[1]], strict=True):
        total += value * (after - at)
    return total / (span[1] - span[0])


def advised(world: World, subject: Subject, compare: Compare, spans: Sequence[Span]) -> Seen | None:
    """Of the sheds that say when to come back."""
    wanted = of(subject)
    found = []
    for a, b in spans:
        first = bisect_left(world.answers, a, key=lambda one: one[0])
        last = bisect_right(world.answers, b, key=lambda one: one[0])
        found += [(at, after) for at, deed, _, after in world.answers[first:last] if after and wanted(deed)]
    if not found:
        return None
    pick: Callable[..., tuple[int, int]] = max if compare.upper else min
    at, value = pick(found, key=lambda one: one[1])
    return Seen(value, at, len(found))


def of(subject: Subject) -> Callable[[Deed], bool]:
    match subject.kind:
        case Kind.ROUTER:
            return lambda deed, number=int(subject.name): deed.router == number  # type: ignore[misc]
        case Kind.TENANT:
            return lambda deed: deed.account == subject.name
        case Kind.PROFILE:
            return lambda deed: deed.kind == subject.name
        case Kind.SITE:
            return lambda deed: deed.home == subject.name
    return lambda deed: True


def born(world: World, subject: Subject, spans: Iterable[Span]) -> list[Deed]:
    """Transactions that came into the world then."""
    wanted = of(subject)
    return [deed for span in spans for deed in world.born(span) if wanted(deed)]


def share(deeds: list[Deed], bad: Callable[[Deed], bool]) -> Seen | None:
    if len(deeds) < FEW:
        return None
    return Seen(sum(1 for deed in deeds if bad(deed)) / len(deeds), of=len(deeds))
