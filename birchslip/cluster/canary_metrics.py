"""Compares the share of bad outcomes of two sides, with a test that may be repeated at any time.

A test that is repeated again and again finds something in the end if its error is that of one sample. So each
comparison is judged by a mixture of sequential likelihood ratios (Robbins 1970; for continuous comparisons
Johari, Pekelis and Walsh 2015): the chance to call two equal versions different stays under its error over
all samples together, however many there are. A difference counts as bad only past its margin.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import exp, log

import msgspec

# Chance that equal versions are called different, over all metrics and samples.
FALSE_ALARM_RATE = 0.005
# Chance that a metric past its margin is called good, over all samples.
MISS_RATE = 0.02
# Standard deviation of the differences that the mixture expects: the test is sharpest about there.
MIXTURE_SPREAD = 0.05
MIN_OUTCOMES = 25  # of each side, before a metric has a verdict
# Outcomes are correlated, as a queue makes many late at once: they count as fewer independent ones.
VARIANCE_INFLATION = 2.0
MAX_LOG_RATIO = 700.0  # past it the ratio overflows a float


class CanaryVerdict(Enum):
    """What is known of the new version."""

    GOOD = "good"
    BAD = "bad"
    UNCLEAR = "unclear"


class MetricReport(
    msgspec.Struct,
    rename={"canary": "released", "baseline": "others", "outcomes": "of", "certainty": "surety"},
):
    """A comparison as operators see it.

    Attributes:
        name: Name of the metric.
        canary: Share of bad outcomes in the new version.
        baseline: The same of the previous version.
        outcomes: Number of outcomes of both sides, the canary's first.
        margin: The difference past which the new version is bad.
        verdict: Value of the `CanaryVerdict`.
        certainty: How sure the verdict is, 0 to 1.
    """

    name: str
    canary: float
    baseline: float
    outcomes: tuple[int, int]
    margin: float
    verdict: str
    certainty: float


@dataclass(slots=True)
class Proportion:
    """Bad outcomes and all outcomes of one metric, on one side."""

    bad: float = 0.0
    total: float = 0.0

    @property
    def ratio(self) -> float:
        """The share of bad outcomes; 0 while there are none."""
        return self.bad / self.total if self.total else 0.0

    def add(self, bad: float, total: float) -> None:
        """Add outcomes, of which no more can be bad than there are."""
        self.bad += min(bad, total)
        self.total += total


@dataclass(slots=True)
class MetricComparison:
    """One metric of both sides. `margin` is the difference of shares past which the new version is bad."""

    name: str
    margin: float
    canary: Proportion = field(default_factory=Proportion)
    baseline: Proportion = field(default_factory=Proportion)

    def add(self, canary: tuple[float, float], baseline: tuple[float, float]) -> None:
        """Add bad and all outcomes of one sample; a sample in which a side has none is ignored."""
        if canary[1] > 0 and baseline[1] > 0:
            self.canary.add(*canary)
            self.baseline.add(*baseline)

    @property
    def difference(self) -> float:
        """How much larger the share of bad outcomes is in the new version."""
        return self.canary.ratio - self.baseline.ratio

    @property
    def is_within_margin(self) -> bool:
        """Whether the difference is at most the margin, certain or not."""
        return self.difference <= self.margin

    @property
    def has_enough_outcomes(self) -> bool:
        """Whether both sides have enough outcomes for a verdict."""
        return min(self.canary.total, self.baseline.total) >= MIN_OUTCOMES

    def variance(self) -> float:
        """Of the difference, if both sides were equal; never 0, as no share of 0 is certain."""
        canary = self.canary
        baseline = self.baseline
        pooled = (canary.bad + baseline.bad + 1) / (canary.total + baseline.total + 2)
        return VARIANCE_INFLATION * pooled * (1 - pooled) * (1 / canary.total + 1 / baseline.total)

    def log_likelihood_ratio(self, expected_difference: float) -> float:
        """Logarithm of the mixture's likelihood against that of a true difference as expected."""
        variance = self.variance()
        mixed = variance + MIXTURE_SPREAD * MIXTURE_SPREAD
        deviation = self.difference - expected_difference
        return (log(variance / mixed) + deviation * deviation * (1 / variance - 1 / mixed)) / 2

    def verdict(self, error: float = FALSE_ALARM_RATE) -> CanaryVerdict:
        """The verdict on this metric.

        Args:
            error: This metric's part of the false alarms; a miss has no parts, as to go on all metrics have
                to agree.
        """
        if not self.has_enough_outcomes:
            return CanaryVerdict.UNCLEAR
        is_bad = self.difference > self.margin
        allowed_error = error if is_bad else MISS_RATE
        if self.log_likelihood_ratio(self.margin) < -log(allowed_error):
            return CanaryVerdict.UNCLEAR
        return CanaryVerdict.BAD if is_bad else CanaryVerdict.GOOD

    def certainty(self) -> float:
        """How sure it is that the difference is not exactly the margin, 0 to 1."""
        if not self.has_enough_outcomes:
            return 0.0
        log_ratio = max(0.0, self.log_likelihood_ratio(self.margin))
        return 1 - exp(-min(MAX_LOG_RATIO, log_ratio))

    def report(self) -> MetricReport:
        """The shares and what the verdict rests on."""
        return MetricReport(
            name=self.name,
            canary=round(self.canary.ratio, 4),
            baseline=round(self.baseline.ratio, 4),
            outcomes=(round(self.canary.total), round(self.baseline.total)),
            margin=self.margin,
            verdict=self.verdict().value,
            certainty=round(self.certainty(), 4),
        )
