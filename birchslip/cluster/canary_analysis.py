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


class CanaryEvidence(
    Message,
    rename={
        "batch_index": "batch",
        "metrics": "figures",
        "duration_histograms": "base",
        "slow_bounds": "bounds",
        "excess_memory_count": "held",
    },
):
    """What a watch has come to, for a majority to keep: whoever conducts next goes on from there.

    Guards against leaders that follow each other faster than a watch lasts: each would begin anew, and a bad
    version would stay for as long as they do. `figures` are bad ones and all of the released, then of others.
    """

    batch_index: Count = 0
    watched: Span = 0
    metrics: dict[Name, tuple[float, float, float, float]] = msgspec.field(default_factory=dict)
    duration_histograms: dict[Name, list[Count]] = msgspec.field(default_factory=dict)
    slow_bounds: dict[Name, Count] = msgspec.field(default_factory=dict)
    excess_memory_count: Count = 0


class CanaryVerdict(Enum):
    GOOD = "good"
    BAD = "bad"
    UNCLEAR = "unclear"


@dataclass(slots=True)
class Proportion:
    """Bad ones and all of one figure, on one side."""

    bad: float = 0.0
    total: float = 0.0

    @property
    def ratio(self) -> float:
        return self.bad / self.total if self.total else 0.0

    def add(self, bad: float, every: float) -> None:
        self.bad += min(bad, every)
        self.total += every


@dataclass(slots=True)
class MetricComparison:
    """One comparison. `margin` is the difference of shares that somebody would mind."""

    name: str
    margin: float
    canary: Proportion = field(default_factory=Proportion)
    baseline: Proportion = field(default_factory=Proportion)

    def add(self, released: tuple[float, float], others: tuple[float, float]) -> None:
        """Of one look; where one side has nothing, the look says nothing."""
        if released[1] > 0 and others[1] > 0:
            self.canary.add(*released)
            self.baseline.add(*others)

    @property
    def difference(self) -> float:
        return self.canary.ratio - self.baseline.ratio

    def variance(self) -> float:
        """Of the difference, if both were alike but for the margin; never none, as shares of nought are
        not sure.
        """
        a, b = self.canary, self.baseline
        p = (a.bad + b.bad + 1) / (a.total + b.total + 2)
        return GROUPED * p * (1 - p) * (1 / a.total + 1 / b.total)

    def log_likelihood_ratio(self, from_difference: float) -> float:
        """The logarithm of the mixture's likelihood against a true difference of so much."""
        variance = self.variance()
        mixed = variance + SPREAD * SPREAD
        off = self.difference - from_difference
        return (log(variance / mixed) + off * off * (1 / variance - 1 / mixed)) / 2

    @property
    def is_within_margin(self) -> bool:
        """Not worse by more than the margin as it stands, sure or not."""
        return self.difference <= self.margin

    def verdict(self, error: float = ERROR) -> CanaryVerdict:
        """`error` is this figure's part: one of many that errs halts; to go on, all have to agree."""
        if min(self.canary.total, self.baseline.total) < LEAST:
            return CanaryVerdict.UNCLEAR
        ratio, bad = self.log_likelihood_ratio(self.margin), self.difference > self.margin
        if ratio < -log(error if bad else MISS):
            return CanaryVerdict.UNCLEAR
        return CanaryVerdict.BAD if bad else CanaryVerdict.GOOD

    def report(self) -> dict[str, object]:
        """The figures that the verdict went by."""
        return {
            "name": self.name,
            "released": round(self.canary.ratio, 4),
            "others": round(self.baseline.ratio, 4),
            "of": [round(self.canary.total), round(self.baseline.total)],
            "margin": self.margin,
            "verdict": self.verdict().value,
            "surety": round(1 - exp(-min(MOST_RATIO, max(0.0, self.log_likelihood_ratio(self.margin)))), 4)
            if min(self.canary.total, self.baseline.total) >= LEAST
            else 0.0,
        }


@dataclass(frozen=True, slots=True)
class MemberSample:
    """What one member showed since the look before: by figure, bad ones and all."""

    warm: bool
    outcomes: Mapping[str, tuple[float, float]]
    memory_kb: int = 0  # resident, in KB; 0 where it is not told
    durations: Mapping[str, list[int]] = field(default_factory=dict)  # honoured by profile and bucket


class CanaryAnalysis:
    """One batch under watch. `margins` are by figure; `least` and `most` bound the watch, in tenths of a ms.

    `memory` is how many times the others' resident memory is too much; 0 looks at none. The chance of a
    mistake is shared out among the figures.
    """

    def __init__(
        self, margins: Mapping[str, float], least: int, most: int, began: int, memory: float = 0.0
    ) -> None:
        self.margins, self.max_memory_ratio, self.excess_memory_count = margins, memory, 0
        self.metrics: dict[str, MetricComparison] = {}
        self.duration_histograms: dict[
            str, list[int]
        ] = {}  # by profile: what the others showed before `bounds` was settled
        self.slow_bounds: dict[str, int] = {}  # by profile: from which bucket on it counts as slow
        self.min_watch, self.max_watch, self.started_at = least, most, began
        self.first_bad_at: int | None = None
        self.reason = ""

    def evidence(self, batch: int, now: int) -> CanaryEvidence:
        sides = {
            name: (one.canary.bad, one.canary.total, one.baseline.bad, one.baseline.total)
            for name, one in self.metrics.items()
        }
        base = {name: list(counts) for name, counts in self.duration_histograms.items()}
        return CanaryEvidence(
            batch_index=batch,
            watched=max(0, now - self.started_at),
            metrics=sides,
            duration_histograms=base,
            slow_bounds=dict(self.slow_bounds),
            excess_memory_count=self.excess_memory_count,
        )

    def resume(self, kept: CanaryEvidence, now: int) -> None:
        """From what another conductor has seen of the same batch; the time between them was not watched."""
        self.started_at = now - kept.watched
        self.duration_histograms = {name: list(counts) for name, counts in kept.duration_histograms.items()}
        self.slow_bounds, self.excess_memory_count = dict(kept.slow_bounds), kept.excess_memory_count
        for name, (bad, every, bad_others, every_others) in kept.metrics.items():
            self.track_metric(name)
            if name in self.metrics:
                figure = self.metrics[name]
                figure.canary, figure.baseline = Proportion(bad, every), Proportion(bad_others, every_others)

    def observe(
        self,
        released: list[MemberSample],
        others: list[MemberSample],
        now: int,
        usual: list[MemberSample] | None = None,
    ) -> CanaryVerdict:
        """`usual` are all that say what is slow, where more do than the others that are compared."""
        warm, beside = ([one for one in side if one.warm] for side in (released, others))
        warm, beside = ([self.with_slow(one) for one in side] for side in (warm, beside))
        self.settle_bounds([one for one in usual if one.warm] if usual is not None else beside)
        for name in sorted({name for one in (*warm, *beside) for name in one.outcomes}):
            for told in (name.partition(":")[0], name):
                self.track_metric(told)
        for name, figure in self.metrics.items():
            figure.add(total(warm, name), total(beside, name))
        self.check_memory(released, others)
        verdict = self.verdict(now)
        if verdict is CanaryVerdict.BAD and self.first_bad_at is None:
            self.first_bad_at = now
        return verdict

    def with_slow(self, one: MemberSample) -> MemberSample:
        """By the bounds that were settled before this look: they do not follow what is judged by them."""
        slow = {
            f"slow:{name}": (sum(one.durations[name][bound:]), sum(one.durations[name]))
            for name, bound in self.slow_bounds.items()
            if name in one.durations
        }
        return replace(one, outcomes={**one.outcomes, **slow}) if slow else one

    def settle_bounds(self, others: list[MemberSample]) -> None:
        if "slow" not in {name.partition(":")[0] for name in self.margins}:
            return
        for name in {name for one in others for name in one.durations}:
            if name in self.slow_bounds:
                continue
            base = self.duration_histograms.setdefault(name, [])
            for one in others:
                counts = one.durations.get(name, [])
                base += [0] * (len(counts) - len(base))
                for place, count in enumerate(counts):
                    base[place] += count
            if sum(base) >= BASE:
                bound = len(base)
                while bound and sum(base[bound - 1 :]) <= SLOW * sum(base):
                    bound -= 1
                self.slow_bounds[name] = bound

    def track_metric(self, name: str) -> None:
        """One that is told for the first time is judged from now on, if anybody minds it."""
        margin = self.margins.get(name, self.margins.get(name.partition(":")[0]))
        if margin is not None and name not in self.metrics:
            self.metrics[name] = MetricComparison(name, margin)

    def check_memory(self, released: list[MemberSample], others: list[MemberSample]) -> None:
        """Warm or not: a leak need not wait for anything."""
        usual = [one.memory_kb for one in others if one.memory_kb]
        most = max((one.memory_kb for one in released), default=0)
        bound = (
            max(self.max_memory_ratio * median(usual), median(usual) + HELD_LEAST)
            if usual and self.max_memory_ratio
            else 0.0
        )
        self.excess_memory_count = self.excess_memory_count + 1 if bound and most > bound else 0
        if self.excess_memory_count >= HELD:
            self.reason = f"memory: {most} KB against {median(usual):.0f} KB"

    def verdict(self, now: int) -> CanaryVerdict:
        if self.excess_memory_count >= HELD:
            return CanaryVerdict.BAD
        error = ERROR / max(1, len(self.metrics))
        said = {name: figure.verdict(error) for name, figure in self.metrics.items()}
        bad = [name for name, verdict in said.items() if verdict is CanaryVerdict.BAD]
        if bad:
            figure = self.metrics[bad[0]]
            self.reason = f"{bad[0]}: {figure.canary.ratio:.3f} against {figure.baseline.ratio:.3f}"
            return CanaryVerdict.BAD
        if not self.has_minimum_watch(now):
            self.reason = "not watched for long enough"
            return CanaryVerdict.UNCLEAR
        open_ones = [
            name
            for name, verdict in said.items()
            if verdict is CanaryVerdict.UNCLEAR and not (":" in name and self.metrics[name].is_within_margin)
        ]
        if not open_ones and (self.metrics or not self.margins):
            self.reason = "no figure is worse by more than its margin"
            return CanaryVerdict.GOOD
        self.reason = f"unclear: {', '.join(open_ones) or 'nothing was told of either side'}"
        return CanaryVerdict.UNCLEAR

    def has_minimum_watch(self, now: int) -> bool:
        return now - self.started_at >= self.min_watch

    def has_expired(self, now: int) -> bool:
        """Whether what is unclear now stays so: the watch has come to its end."""
        return now - self.started_at >= self.max_watch

    def report(self) -> list[dict[str, object]]:
        return [figure.report() for figure in self.metrics.values()]


def total(side: list[MemberSample], name: str) -> tuple[float, float]:
    """Of a whole figure: of all profiles together, where it is told by profile."""
    found = [
        pair
        for one in side
        for told, pair in one.outcomes.items()
        if told == name or told.partition(":")[0] == name
    ]
    return sum(bad for bad, _ in found), sum(every for _, every in found)
