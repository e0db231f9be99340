"""Canary analysis: compares the new version with the previous one, on members that run at the same time.

Only warm members are compared, and only in samples in which both sides have outcomes, so that a surge or a
slow downstream service affects both sides alike. Each metric is a share of bad outcomes: responses that were
late, rejected or failed, and downstream calls that failed. A metric is evaluated as a whole and, if it is
reported as `KIND:CLASS`, for each request class too, because the failure of one class may not show in the
total. Memory has a rule of its own: a member leaks if its memory is several times that of the baseline in
many samples in a row.

No fixed bound on run times would suit every request class. So the metric `slow` counts the runs in the
slowest buckets, which held at most `MAX_SLOW_SHARE` of the baseline's runs when the watch began.

| verdict | when |
| --- | --- |
| bad | one metric is worse by more than its margin, significantly |
| good | every whole metric is significantly within its margin, no class appears worse, minimum watch over |
| unclear | neither yet; at the end of the watch the rollout halts |

The analysis gives verdicts and never orders anything. Times and durations are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from statistics import median
from typing import NamedTuple

import msgspec

from .canary_metrics import (
    FALSE_ALARM_RATE,
    CanaryVerdict,
    MetricComparison,
    MetricReport,
    Proportion,
)
from .messages import Count, Message, Name, Span

CROSS_SITE_MARGIN_FACTOR = 2.0  # if only members of different sites can be compared
LOAD_DEPENDENT_METRICS = ("late", "shed")  # not compared across sites: they depend more on a site's load
SLOW_METRIC = "slow"
MIN_BASELINE_RUNS = 200  # of a request class, before its slow bound is set
MAX_SLOW_SHARE = 0.15  # share of the baseline's runs that count as slow
MEMORY_LEAK_SAMPLES = 10  # samples in a row with excessive memory: fewer may be a burst
MIN_MEMORY_EXCESS_KB = 16_384  # above the baseline's median; less is never excessive


class StoredComparison(NamedTuple):
    """Outcome counts of one metric on both sides, stored as an array."""

    canary_bad: float
    canary_total: float
    baseline_bad: float
    baseline_total: float


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
    """The results of a watch, stored by a majority so that the next leader continues from them.

    Without stored evidence each new leader would restart the watch, and if leaders changed more often than a
    watch lasts, a bad version would stay in service all that time.

    Attributes:
        batch_index: Index of the watched batch.
        watched: How long the batch was watched.
        metrics: Outcome counts by metric.
        duration_histograms: By request class, runs of the baseline by bucket.
        slow_bounds: By request class, the first bucket that counts as slow.
        excess_memory_count: Number of samples in a row with excessive memory.
    """

    batch_index: Count = 0
    watched: Span = 0
    metrics: dict[Name, StoredComparison] = msgspec.field(default_factory=dict)
    duration_histograms: dict[Name, list[Count]] = msgspec.field(default_factory=dict)
    slow_bounds: dict[Name, Count] = msgspec.field(default_factory=dict)
    excess_memory_count: Count = 0


@dataclass(frozen=True, slots=True)
class MemberSample:
    """Outcomes, memory and run times of one member since its previous sample.

    Attributes:
        warm: Whether the member has warmed up.
        outcomes: By metric, the numbers of bad and of all outcomes.
        memory_kb: Resident memory in KB; 0 where it is not reported.
        durations: By request class, a histogram of run times: number of runs by bucket.
    """

    warm: bool
    outcomes: Mapping[str, tuple[float, float]]
    memory_kb: int = 0
    durations: Mapping[str, list[int]] = field(default_factory=dict)


class CanaryAnalysis:
    """Compares the members of one watched batch with the baseline.

    Attributes:
        margins: By metric or kind of metric, the difference of bad shares above which the new version is bad.
        min_watch: Time before which no verdict is good.
        max_watch: Time after which the watch has expired.
        started_at: When the watch began.
        max_memory_ratio: Highest allowed ratio of a member's memory to the baseline's median; 0 sets no
            bound.
        excess_memory_count: Number of samples in a row with excessive memory.
        metrics: The comparisons so far, by metric.
        slow_bounds: By request class, the first bucket that counts as slow.
        duration_histograms: By request class, runs of the baseline by bucket, until the slow bound is set.
        reason: The reason for the latest verdict.
        first_bad_at: When the verdict was bad for the first time.
    """

    def __init__(
        self,
        margins: Mapping[str, float],
        min_watch: int,
        max_watch: int,
        started_at: int,
        max_memory_ratio: float = 0.0,
    ) -> None:
        """Begin a watch.

        Args:
            margins: By metric or kind of metric, the allowed difference of bad shares.
            min_watch: Time before which no verdict is good.
            max_watch: Time after which the watch has expired.
            started_at: When the watch begins.
            max_memory_ratio: Highest allowed ratio of a member's memory to the baseline's median; 0 sets no
                bound.
        """
        self.margins = margins
        self.min_watch = min_watch
        self.max_watch = max_watch
        self.started_at = started_at
        self.max_memory_ratio = max_memory_ratio
        self.excess_memory_count = 0
        self.metrics: dict[str, MetricComparison] = {}
        self.duration_histograms: dict[str, list[int]] = {}
        self.slow_bounds: dict[str, int] = {}
        self.first_bad_at: int | None = None
        self.reason = ""

    # ---- storing ---------------------------------------------------------------------------------------

    def evidence(self, batch_index: int, now: int) -> CanaryEvidence:
        """Return the results so far, to be stored and passed to `resume`."""
        metrics = {
            name: StoredComparison(
                metric.canary.bad, metric.canary.total, metric.baseline.bad, metric.baseline.total
            )
            for name, metric in self.metrics.items()
        }
        histograms = {name: list(counts) for name, counts in self.duration_histograms.items()}
        return CanaryEvidence(
            batch_index=batch_index,
            watched=max(0, now - self.started_at),
            metrics=metrics,
            duration_histograms=histograms,
            slow_bounds=dict(self.slow_bounds),
            excess_memory_count=self.excess_memory_count,
        )

    def resume(self, evidence: CanaryEvidence, now: int) -> None:
        """Continue from stored evidence of the same batch; the time since it was stored is not counted."""
        self.started_at = now - evidence.watched
        self.duration_histograms = {
            name: list(counts) for name, counts in evidence.duration_histograms.items()
        }
        self.slow_bounds = dict(evidence.slow_bounds)
        self.excess_memory_count = evidence.excess_memory_count
        for name, stored in evidence.metrics.items():
            self.track_metric(name)
            if name in self.metrics:
                metric = self.metrics[name]
                metric.canary = Proportion(stored.canary_bad, stored.canary_total)
                metric.baseline = Proportion(stored.baseline_bad, stored.baseline_total)

    # ---- observing -------------------------------------------------------------------------------------

    def observe(
        self,
        canary: list[MemberSample],
        baseline: list[MemberSample],
        now: int,
        previous_version: list[MemberSample] | None = None,
    ) -> CanaryVerdict:
        """Add one sample of each member, and return the verdict.

        Args:
            canary: Samples of members in the new version.
            baseline: Samples of the members in the previous version that the canary is compared with.
            now: The current time.
            previous_version: Samples of all members in the previous version, which set the slow bounds; None
                means the same as `baseline`.
        """
        warm_canary = [self._with_slow_metric(sample) for sample in canary if sample.warm]
        warm_baseline = [self._with_slow_metric(sample) for sample in baseline if sample.warm]
        if previous_version is None:
            self.update_slow_bounds(warm_baseline)
        else:
            self.update_slow_bounds([sample for sample in previous_version if sample.warm])
        for name in sorted({name for sample in (*warm_canary, *warm_baseline) for name in sample.outcomes}):
            self.track_metric(metric_kind(name))
            self.track_metric(name)
        for name, metric in self.metrics.items():
            metric.add(sum_outcomes(warm_canary, name), sum_outcomes(warm_baseline, name))
        self.check_memory(canary, baseline)
        verdict = self.verdict(now)
        if verdict is CanaryVerdict.BAD and self.first_bad_at is None:
            self.first_bad_at = now
        return verdict

    def _with_slow_metric(self, sample: MemberSample) -> MemberSample:
        """Add the metric `slow`, counted by bounds from earlier samples and not from the sample itself."""
        slow = {
            f"{SLOW_METRIC}:{name}": (sum(sample.durations[name][bound:]), sum(sample.durations[name]))
            for name, bound in self.slow_bounds.items()
            if name in sample.durations
        }
        if not slow:
            return sample
        return replace(sample, outcomes={**sample.outcomes, **slow})

    def update_slow_bounds(self, baseline: list[MemberSample]) -> None:
        """Add runs of the baseline, and set the slow bound of each class that has enough runs."""
        if SLOW_METRIC not in {metric_kind(name) for name in self.margins}:
            return
        for name in {name for sample in baseline for name in sample.durations}:
            if name in self.slow_bounds:
                continue
            histogram = self.duration_histograms.setdefault(name, [])
            for sample in baseline:
                add_histogram(histogram, sample.durations.get(name, []))
            if sum(histogram) >= MIN_BASELINE_RUNS:
                self.slow_bounds[name] = slow_bound(histogram)

    def track_metric(self, name: str) -> None:
        """Start to compare a metric, if it or its kind has a margin."""
        margin = self.margins.get(name, self.margins.get(metric_kind(name)))
        if margin is not None and name not in self.metrics:
            self.metrics[name] = MetricComparison(name, margin)

    def check_memory(self, canary: list[MemberSample], baseline: list[MemberSample]) -> None:
        """Count samples in a row in which a canary, warm or not, uses excessive memory."""
        baseline_memory = [sample.memory_kb for sample in baseline if sample.memory_kb]
        largest = max((sample.memory_kb for sample in canary), default=0)
        is_excessive = False
        if baseline_memory and self.max_memory_ratio:
            baseline_median = median(baseline_memory)
            bound = max(self.max_memory_ratio * baseline_median, baseline_median + MIN_MEMORY_EXCESS_KB)
            is_excessive = largest > bound
        self.excess_memory_count = self.excess_memory_count + 1 if is_excessive else 0
        if self.excess_memory_count >= MEMORY_LEAK_SAMPLES:
            self.reason = f"memory: {largest} KB against {median(baseline_memory):.0f} KB"

    # ---- verdict ---------------------------------------------------------------------------------------

    def verdict(self, now: int) -> CanaryVerdict:
        """Return the verdict on all metrics together, and set `reason`."""
        if self.excess_memory_count >= MEMORY_LEAK_SAMPLES:
            return CanaryVerdict.BAD
        error = FALSE_ALARM_RATE / max(1, len(self.metrics))
        verdicts = {name: metric.verdict(error) for name, metric in self.metrics.items()}
        bad = next((name for name, verdict in verdicts.items() if verdict is CanaryVerdict.BAD), None)
        if bad is not None:
            metric = self.metrics[bad]
            self.reason = f"{bad}: {metric.canary.ratio:.3f} against {metric.baseline.ratio:.3f}"
            return CanaryVerdict.BAD
        if not self.has_minimum_watch(now):
            self.reason = "not watched for long enough"
            return CanaryVerdict.UNCLEAR
        unclear = [
            name
            for name, verdict in verdicts.items()
            if verdict is CanaryVerdict.UNCLEAR and not self._is_harmless_class(name)
        ]
        if not unclear and (self.metrics or not self.margins):
            self.reason = "no figure is worse by more than its margin"
            return CanaryVerdict.GOOD
        self.reason = f"unclear: {', '.join(unclear) or 'nothing was told of either side'}"
        return CanaryVerdict.UNCLEAR

    def _is_harmless_class(self, name: str) -> bool:
        """Return whether a metric is of one request class and within its margin, certain or not."""
        return metric_kind(name) != name and self.metrics[name].is_within_margin

    def has_minimum_watch(self, now: int) -> bool:
        """Return whether the batch was watched long enough for a good verdict."""
        return now - self.started_at >= self.min_watch

    def has_expired(self, now: int) -> bool:
        """Return whether the maximum watch has passed: an unclear verdict is final then."""
        return now - self.started_at >= self.max_watch

    def report(self) -> list[MetricReport]:
        """Return reports on all comparisons for operators."""
        return [metric.report() for metric in self.metrics.values()]


def metric_kind(name: str) -> str:
    """Return the kind of a metric: the part of `KIND:CLASS` before the colon, or the whole name."""
    return name.partition(":")[0]


def margins_across_sites(margins: Mapping[str, float]) -> dict[str, float]:
    """Return margins to compare members of different sites: wider, and without load-dependent metrics."""
    return {
        name: min(1.0, margin * CROSS_SITE_MARGIN_FACTOR)
        for name, margin in margins.items()
        if metric_kind(name) not in LOAD_DEPENDENT_METRICS
    }


def sum_outcomes(samples: list[MemberSample], name: str) -> tuple[float, float]:
    """Return bad and all outcomes of a metric; of all request classes together if it is a kind."""
    outcomes = [
        outcome
        for sample in samples
        for metric, outcome in sample.outcomes.items()
        if metric == name or metric_kind(metric) == name
    ]
    return sum(bad for bad, _ in outcomes), sum(total for _, total in outcomes)


def add_histogram(histogram: list[int], counts: list[int]) -> None:
    """Add counts by bucket to `histogram` in place, extending it if `counts` is longer."""
    histogram += [0] * (len(counts) - len(histogram))
    for bucket, count in enumerate(counts):
        histogram[bucket] += count


def slow_bound(histogram: list[int]) -> int:
    """Return the first slow bucket: it and the later ones hold at most `MAX_SLOW_SHARE` of the runs."""
    allowed = MAX_SLOW_SHARE * sum(histogram)
    bound = len(histogram)
    while bound and sum(histogram[bound - 1 :]) <= allowed:
        bound -= 1
    return bound
