"""Is the released version worse than the one before? Released against not yet released members of the same
minutes.

A test that is looked at again and again finds something in the end if its level is that of one look. So
each figure is judged by a mixture of sequential likelihood ratios (Robbins 1970; for comparisons that run
on, Johari, Pekelis and Walsh 2015): its chance to call two alike versions different stays under its
part of `ERROR` over all looks together, however many there are.

Only members that are warm are compared, and only for the looks in which both sides had them: a surge or a
slow store below meets both. Each figure is a share of bad ones among all: answers that were late, shed or
written off, and calls below that did not come through. A figure is judged as a whole and, where it is told as
`KIND:PROFILE`, of each profile too: what one profile suffers may drown in all. A difference counts as bad
only past a `margin` that somebody would mind. Memory is no share: a released member that holds several
times what the others do, look after look, leaks.

How long runs take has no bound of its own that would fit every profile. So `slow` counts those of the
slowest buckets, as many as the others had when the watch began: up to one in seven of theirs.

| verdict | when |
| --- | --- |
| bad | one figure is worse by more than its margin, past doubt |
| good | every whole figure is past doubt not worse by its margin, no profile looks it, it was watched |
| unclear | neither yet; at the end of the watch that is a halt of its own |
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from math import exp, log
from statistics import median

import msgspec

from .messages import Count, Message, Name, Span

ERROR = 0.005  # chance that alike versions are called different, over all figures and looks
MISS = 0.02  # chance that a figure past its margin is called fine, over all looks
ACROSS = 2.0  # times the margins, where members of different sites are all there is to compare
BY_LOAD = (
    "late",
    "shed",
)  # and these are not compared then: they say more of a site's load than of a version
SPREAD = 0.05  # of the differences that the mixture expects: the test is sharpest about there
LEAST = 25  # of each side, before anything is said of a figure
GROUPED = (
    2.0  # outcomes come in crowds: a queue makes many late at once, which counts as fewer independent ones
)
MOST_RATIO = 700.0  # of a logarithm: past it the ratio is infinite to a float
BASE = 200  # honoured ones of the others, before it is settled what of a profile counts as slow
SLOW = 0.15  # of the others' at most, then: the fewer, the surer a difference shows
HELD = 10  # looks in a row with too much memory before it counts: one is a burst
HELD_LEAST = 16_384  # KB above the others' before any factor counts


class Evidence(Message):
    """What a watch has come to, for a majority to keep: whoever conducts next goes on from there.

    Guards against leaders that follow each other faster than a watch lasts: each would begin anew, and a bad
    version would stay for as long as they do. `figures` are bad ones and all of the released, then of others.
    """

    batch: Count = 0
    watched: Span = 0
    figures: dict[Name, tuple[float, float, float, float]] = msgspec.field(default_factory=dict)
    base: dict[Name, list[Count]] = msgspec.field(default_factory=dict)
    bounds: dict[Name, Count] = msgspec.field(default_factory=dict)
    held: Count = 0


class CanaryVerdict(Enum):
    GOOD = "good"
    BAD = "bad"
    UNCLEAR = "unclear"


@dataclass(slots=True)
class Side:
    """Bad ones and all of one figure, on one side."""

    bad: float = 0.0
    all: float = 0.0

    @property
    def share(self) -> float:
        return self.bad / self.all if self.all else 0.0

    def add(self, bad: float, every: float) -> None:
        self.bad += min(bad, every)
        self.all += every


@dataclass(slots=True)
class Figure:
    """One comparison. `margin` is the difference of shares that somebody would mind."""

    name: str
    margin: float
    released: Side = field(default_factory=Side)
    others: Side = field(default_factory=Side)

    def add(self, released: tuple[float, float], others: tuple[float, float]) -> None:
        """Of one look; where one side has nothing, the look says nothing."""
        if released[1] > 0 and others[1] > 0:
            self.released.add(*released)
            self.others.add(*others)

    @property
    def worse(self) -> float:
        return self.released.share - self.others.share

    def variance(self) -> float:
        """Of the difference, if both were alike but for the margin; never none, as shares of nought are
        not sure.
        """
        a, b = self.released, self.others
        p = (a.bad + b.bad + 1) / (a.all + b.all + 2)
        return GROUPED * p * (1 - p) * (1 / a.all + 1 / b.all)

    def ratio(self, from_difference: float) -> float:
        """The logarithm of the mixture's likelihood against a true difference of so much."""
        variance = self.variance()
        mixed = variance + SPREAD * SPREAD
        off = self.worse - from_difference
        return (log(variance / mixed) + off * off * (1 / variance - 1 / mixed)) / 2

    @property
    def fine(self) -> bool:
        """Not worse by more than the margin as it stands, sure or not."""
        return self.worse <= self.margin

    def verdict(self, error: float = ERROR) -> CanaryVerdict:
        """`error` is this figure's part: one of many that errs halts; to go on, all have to agree."""
        if min(self.released.all, self.others.all) < LEAST:
            return CanaryVerdict.UNCLEAR
        ratio, bad = self.ratio(self.margin), self.worse > self.margin
        if ratio < -log(error if bad else MISS):
            return CanaryVerdict.UNCLEAR
        return CanaryVerdict.BAD if bad else CanaryVerdict.GOOD

    def told(self) -> dict[str, object]:
        """The figures that the verdict went by."""
        return {
            "name": self.name,
            "released": round(self.released.share, 4),
            "others": round(self.others.share, 4),
            "of": [round(self.released.all), round(self.others.all)],
            "margin": self.margin,
            "verdict": self.verdict().value,
            "surety": round(1 - exp(-min(MOST_RATIO, max(0.0, self.ratio(self.margin)))), 4)
            if min(self.released.all, self.others.all) >= LEAST
            else 0.0,
        }


@dataclass(frozen=True, slots=True)
class Shown:
    """What one member showed since the look before: by figure, bad ones and all."""

    warm: bool
    figures: Mapping[str, tuple[float, float]]
    memory: int = 0  # resident, in KB; 0 where it is not told
    took: Mapping[str, list[int]] = field(default_factory=dict)  # honoured by profile and bucket


class CanaryAnalysis:
    """One batch under watch. `margins` are by figure; `least` and `most` bound the watch, in tenths of a ms.

    `memory` is how many times the others' resident memory is too much; 0 looks at none. The chance of a
    mistake is shared out among the figures.
    """

    def __init__(
        self, margins: Mapping[str, float], least: int, most: int, began: int, memory: float = 0.0
    ) -> None:
        self.margins, self.memory, self.held = margins, memory, 0
        self.figures: dict[str, Figure] = {}
        self.base: dict[str, list[int]] = {}  # by profile: what the others showed before `bounds` was settled
        self.bounds: dict[str, int] = {}  # by profile: from which bucket on it counts as slow
        self.least, self.most, self.began = least, most, began
        self.first_harm: int | None = None
        self.why = ""

    def evidence(self, batch: int, now: int) -> Evidence:
        sides = {
            name: (one.released.bad, one.released.all, one.others.bad, one.others.all)
            for name, one in self.figures.items()
        }
        base = {name: list(counts) for name, counts in self.base.items()}
        return Evidence(
            batch=batch,
            watched=max(0, now - self.began),
            figures=sides,
            base=base,
            bounds=dict(self.bounds),
            held=self.held,
        )

    def go_on(self, kept: Evidence, now: int) -> None:
        """From what another conductor has seen of the same batch; the time between them was not watched."""
        self.began = now - kept.watched
        self.base = {name: list(counts) for name, counts in kept.base.items()}
        self.bounds, self.held = dict(kept.bounds), kept.held
        for name, (bad, every, bad_others, every_others) in kept.figures.items():
            self.figure(name)
            if name in self.figures:
                figure = self.figures[name]
                figure.released, figure.others = Side(bad, every), Side(bad_others, every_others)

    def look(
        self, released: list[Shown], others: list[Shown], now: int, usual: list[Shown] | None = None
    ) -> CanaryVerdict:
        """`usual` are all that say what is slow, where more do than the others that are compared."""
        warm, beside = ([one for one in side if one.warm] for side in (released, others))
        warm, beside = ([self.with_slow(one) for one in side] for side in (warm, beside))
        self.settle_bounds([one for one in usual if one.warm] if usual is not None else beside)
        for name in sorted({name for one in (*warm, *beside) for name in one.figures}):
            for told in (name.partition(":")[0], name):
                self.figure(told)
        for name, figure in self.figures.items():
            figure.add(total(warm, name), total(beside, name))
        self.weigh(released, others)
        verdict = self.verdict(now)
        if verdict is CanaryVerdict.BAD and self.first_harm is None:
            self.first_harm = now
        return verdict

    def with_slow(self, one: Shown) -> Shown:
        """By the bounds that were settled before this look: they do not follow what is judged by them."""
        slow = {
            f"slow:{name}": (sum(one.took[name][bound:]), sum(one.took[name]))
            for name, bound in self.bounds.items()
            if name in one.took
        }
        return replace(one, figures={**one.figures, **slow}) if slow else one

    def settle_bounds(self, others: list[Shown]) -> None:
        if "slow" not in {name.partition(":")[0] for name in self.margins}:
            return
        for name in {name for one in others for name in one.took}:
            if name in self.bounds:
                continue
            base = self.base.setdefault(name, [])
            for one in others:
                counts = one.took.get(name, [])
                base += [0] * (len(counts) - len(base))
                for place, count in enumerate(counts):
                    base[place] += count
            if sum(base) >= BASE:
                bound = len(base)
                while bound and sum(base[bound - 1 :]) <= SLOW * sum(base):
                    bound -= 1
                self.bounds[name] = bound

    def figure(self, name: str) -> None:
        """One that is told for the first time is judged from now on, if anybody minds it."""
        margin = self.margins.get(name, self.margins.get(name.partition(":")[0]))
        if margin is not None and name not in self.figures:
            self.figures[name] = Figure(name, margin)

    def weigh(self, released: list[Shown], others: list[Shown]) -> None:
        """Warm or not: a leak need not wait for anything."""
        usual = [one.memory for one in others if one.memory]
        most = max((one.memory for one in released), default=0)
        bound = max(self.memory * median(usual), median(usual) + HELD_LEAST) if usual and self.memory else 0.0
        self.held = self.held + 1 if bound and most > bound else 0
        if self.held >= HELD:
            self.why = f"memory: {most} KB against {median(usual):.0f} KB"

    def verdict(self, now: int) -> CanaryVerdict:
        if self.held >= HELD:
            return CanaryVerdict.BAD
        error = ERROR / max(1, len(self.figures))
        said = {name: figure.verdict(error) for name, figure in self.figures.items()}
        bad = [name for name, verdict in said.items() if verdict is CanaryVerdict.BAD]
        if bad:
            figure = self.figures[bad[0]]
            self.why = f"{bad[0]}: {figure.released.share:.3f} against {figure.others.share:.3f}"
            return CanaryVerdict.BAD
        if not self.watched(now):
            self.why = "not watched for long enough"
            return CanaryVerdict.UNCLEAR
        open_ones = [
            name
            for name, verdict in said.items()
            if verdict is CanaryVerdict.UNCLEAR and not (":" in name and self.figures[name].fine)
        ]
        if not open_ones and (self.figures or not self.margins):
            self.why = "no figure is worse by more than its margin"
            return CanaryVerdict.GOOD
        self.why = f"unclear: {', '.join(open_ones) or 'nothing was told of either side'}"
        return CanaryVerdict.UNCLEAR

    def watched(self, now: int) -> bool:
        return now - self.began >= self.least

    def over(self, now: int) -> bool:
        """Whether what is unclear now stays so: the watch has come to its end."""
        return now - self.began >= self.most

    def told(self) -> list[dict[str, object]]:
        return [figure.told() for figure in self.figures.values()]


def total(side: list[Shown], name: str) -> tuple[float, float]:
    """Of a whole figure: of all profiles together, where it is told by profile."""
    found = [
        pair
        for one in side
        for told, pair in one.figures.items()
        if told == name or told.partition(":")[0] == name
    ]
    return sum(bad for bad, _ in found), sum(every for _, every in found)
