"""Converts the cumulative counters in members' reports to samples of the time between two reads.

Because the counters are cumulative, a lost report loses no outcomes. Outcomes that an incarnation counted
before its first report to this planner are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping

from .canary_analysis import MemberSample
from .messages import MemberReport


class SampleReader:
    """Computes samples as differences from the last report of each member."""

    def __init__(self) -> None:
        """Start without reports: the first report of each member gives a sample without outcomes."""
        self._last_reports: dict[str, MemberReport] = {}

    def read(self, reports: Mapping[str, MemberReport]) -> dict[str, MemberSample]:
        """Return samples since the previous read, by member; members without a report are dropped."""
        samples = {name: self._sample(name, report) for name, report in reports.items()}
        self._last_reports = dict(reports)
        return samples

    def _sample(self, name: str, report: MemberReport) -> MemberSample:
        last = self._last_reports.get(name, report)
        if last.incarnation != report.incarnation:
            last = report
        outcomes: dict[str, tuple[float, float]] = {}
        for metric, (bad, total) in report.metrics.items():
            last_bad, last_total = last.metrics.get(metric, (0, 0))
            outcomes[metric] = (max(0, bad - last_bad), max(0, total - last_total))
        durations = {}
        for request_class, counts in report.latency_histograms.items():
            last_counts = last.latency_histograms.get(request_class) or [0] * len(counts)
            durations[request_class] = histogram_difference(counts, last_counts)
        return MemberSample(report.is_warm, outcomes, report.resident_memory_kb, durations)


def histogram_difference(counts: list[int], last_counts: list[int]) -> list[int]:
    """Return the increase of each bucket, for the buckets that both histograms have."""
    pairs = zip(counts, last_counts, strict=False)
    return [max(0, count - last_count) for count, last_count in pairs]
