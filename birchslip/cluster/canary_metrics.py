"""Compares the share of bad outcomes of two sides with a sequential test, valid after every sample.

A fixed-sample test that is repeated after every sample gives a false alarm sooner or later. So each
comparison uses a mixture sequential probability ratio test (Robbins 1970; for continuous monitoring Johari,
Pekelis and Walsh 2015): the probability of calling two equal versions different stays below its error over
all samples together, however many there are. A difference is bad only above its margin.

Above the margin the test is Robbins's mixture with two spreads: its likelihood ratio is the weighted mean of
that for a small and that for a large spread. As the weights add up to 1, the mean has expectation 1 where the
difference is exactly the margin, as each of the two has, and the bound on the error holds as far as the
variance is right. One small spread alone needs many outcomes to find a large difference, because the pooled
variance is large then. Within the margin the test has the small spread only.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import exp, log
from typing import NamedTuple

import msgspec

# Probability that equal versions are called different, over all metrics and samples.
FALSE_ALARM_RATE = 0.005
# Probability that a metric above its margin is called good, over all samples.
MISS_RATE = 0.02
# Standard deviations of the mixture's differences; the test is most sensitive to differences of these sizes.
SMALL_SPREAD = 0.05
LARGE_SPREAD = 0.3  # finds a request class that fails altogether within few outcomes
# Weight of the large spread above the margin. A low one costs small differences little: -log(0.9).
LARGE_SPREAD_WEIGHT = 0.1
MIN_OUTCOMES = 25  # on each side, before a metric has a verdict
# Outcomes are correlated, as one queue makes many responses late: they count as fewer independent ones.
VARIANCE_INFLATION = 2.0
MAX_LOG_RATIO = 700.0  # above it, the ratio overflows a float


class MixturePart(NamedTuple):
    """One normal distribution of differences in the mixture.

    Attributes:
        weight: Its share of the mixture, 0 to 1; the weights add up to 1.
        spread: Its standard deviation, as a difference of shares.
    """

    weight: float
    spread: float


MIXTURE_ABOVE_MARGIN = (
    MixturePart(1 - LARGE_SPREAD_WEIGHT, SMALL_SPREAD),
    MixturePart(LARGE_SPREAD_WEIGHT, LARGE_SPREAD),
)
# A good verdict may wait, it only lengthens a watch, and with correlated outcomes a large spread makes wrong
# good verdicts more frequent.
MIXTURE_WITHIN_MARGIN = (MixturePart(1.0, SMALL_SPREAD),)


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
        """Return the log likelihood ratio of the mixture to a true difference of `expected_difference`.

        The mixture is the one for the side of `expected_difference` on which the observed difference is.
        """
        is_above = self.difference > expected_difference
        mixture = MIXTURE_ABOVE_MARGIN if is_above else MIXTURE_WITHIN_MARGIN
        return log_mixture_ratio(mixture, self.difference - expected_difference, self.variance())

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


def log_mixture_ratio(mixture: Sequence[MixturePart], deviation: float, variance: float) -> float:
    """Return the log likelihood ratio of `mixture` to a true deviation of 0.

    Args:
        mixture: Distribution of the true deviations.
        deviation: The observed deviation.
        variance: Variance of the observed deviation; above 0.
    """
    return log_sum_exp(
        [log(part.weight) + log_normal_ratio(deviation, variance, part.spread) for part in mixture]
    )


def log_normal_ratio(deviation: float, variance: float, spread: float) -> float:
    """Return the log likelihood ratio of normally distributed true deviations to a true deviation of 0.

    Args:
        deviation: The observed deviation.
        variance: Variance of the observed deviation; above 0.
        spread: Standard deviation of the true deviations, whose mean is 0.
    """
    mixed = variance + spread * spread
    return (log(variance / mixed) + deviation * deviation * (1 / variance - 1 / mixed)) / 2


def log_sum_exp(values: Sequence[float]) -> float:
    """Return the logarithm of the sum of the exponentials of `values`, without overflow."""
    largest = max(values)
    return largest + log(sum(exp(value - largest) for value in values))
