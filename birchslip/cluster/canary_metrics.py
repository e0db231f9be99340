"""Compares the share of bad outcomes of two sides with a sequential test, valid after every sample.

A fixed-sample test that is repeated after every sample gives a false alarm sooner or later. So each
comparison uses a mixture sequential probability ratio test (Robbins 1970; for continuous monitoring Johari,
Pekelis and Walsh 2015): the probability of calling two equal versions different stays below its error over
all samples together, however many there are. A difference is bad only above its margin.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import exp, log

import msgspec

# Probability that equal versions are called different, over all metrics and samples.
FALSE_ALARM_RATE = 0.005
# Probability that a metric above its margin is called good, over all samples.
MISS_RATE = 0.02
# Standard deviation of the mixture's differences; the test is most sensitive to differences of this size.
MIXTURE_SPREAD = 0.05
MIN_OUTCOMES = 25  # on each side, before a metric has a verdict
# Outcomes are correlated, as one queue makes many responses late: they count as fewer independent ones.
VARIANCE_INFLATION = 2.0
MAX_LOG_RATIO = 700.0  # above it, the ratio overflows a float


class CanaryVerdict(Enum):
    """The verdict on the new version."""

    GOOD = "good"
    BAD = "bad"
    UNCLEAR = "unclear"


class MetricReport(
    msgspec.Struct,
    rename={"canary": "released", "baseline": "others", "outcomes": "of", "certainty": "surety"},
):
    """A report on one comparison for operators.

    Attributes:
        name: Name of the metric.
        canary: Share of bad outcomes in the new version, 0 to 1.
        baseline: Share of bad outcomes in the previous version, 0 to 1.
        outcomes: Number of outcomes on both sides, the canary's first.
        margin: The difference of shares above which the new version is bad.
        verdict: Value of the `CanaryVerdict`.
        certainty: Certainty of the verdict, 0 to 1.
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
    """The numbers of bad and of all outcomes of one metric, on one side."""

    bad: float = 0.0
    total: float = 0.0

    @property
    def ratio(self) -> float:
        """The share of bad outcomes, 0 to 1; 0 while there are no outcomes."""
        return self.bad / self.total if self.total else 0.0

    def add(self, bad: float, total: float) -> None:
        """Add outcomes; `bad` counts at most up to `total`."""
        self.bad += min(bad, total)
        self.total += total


@dataclass(slots=True)
class MetricComparison:
    """One metric on both sides; above a difference of `margin` in bad shares the new version is bad."""

    name: str
    margin: float
    canary: Proportion = field(default_factory=Proportion)
    baseline: Proportion = field(default_factory=Proportion)

    def add(self, canary: tuple[float, float], baseline: tuple[float, float]) -> None:
        """Add one sample: bad and all outcomes of each side. It is ignored if a side has no outcomes."""
        if canary[1] > 0 and baseline[1] > 0:
            self.canary.add(*canary)
            self.baseline.add(*baseline)

    @property
    def difference(self) -> float:
        """The canary's share of bad outcomes minus the baseline's."""
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
        """Return the difference's variance if both sides were equal.

        It is never 0: a sample without bad outcomes does not prove that the true share is 0.
        """
        canary = self.canary
        baseline = self.baseline
        pooled = (canary.bad + baseline.bad + 1) / (canary.total + baseline.total + 2)
        return VARIANCE_INFLATION * pooled * (1 - pooled) * (1 / canary.total + 1 / baseline.total)

    def log_likelihood_ratio(self, expected_difference: float) -> float:
        """Return the log likelihood ratio of the mixture to a true difference of `expected_difference`."""
        variance = self.variance()
        mixed = variance + MIXTURE_SPREAD * MIXTURE_SPREAD
        deviation = self.difference - expected_difference
        return (log(variance / mixed) + deviation * deviation * (1 / variance - 1 / mixed)) / 2

    def verdict(self, error: float = FALSE_ALARM_RATE) -> CanaryVerdict:
        """Return the verdict on this metric.

        Args:
            error: This metric's part of `FALSE_ALARM_RATE`. `MISS_RATE` is not divided between the metrics,
                because a good verdict needs all of them.
        """
        if not self.has_enough_outcomes:
            return CanaryVerdict.UNCLEAR
        is_bad = self.difference > self.margin
        allowed_error = error if is_bad else MISS_RATE
        if self.log_likelihood_ratio(self.margin) < -log(allowed_error):
            return CanaryVerdict.UNCLEAR
        return CanaryVerdict.BAD if is_bad else CanaryVerdict.GOOD

    def certainty(self) -> float:
        """Return the certainty that the true difference is not exactly the margin, 0 to 1."""
        if not self.has_enough_outcomes:
            return 0.0
        log_ratio = max(0.0, self.log_likelihood_ratio(self.margin))
        return 1 - exp(-min(MAX_LOG_RATIO, log_ratio))

    def report(self) -> MetricReport:
        """Return the shares, the verdict and its certainty, for operators."""
        return MetricReport(
            name=self.name,
            canary=round(self.canary.ratio, 4),
            baseline=round(self.baseline.ratio, 4),
            outcomes=(round(self.canary.total), round(self.baseline.total)),
            margin=self.margin,
            verdict=self.verdict().value,
            certainty=round(self.certainty(), 4),
        )
