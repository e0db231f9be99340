"""The watch of one batch: compares members in the new version with members in the previous version.

Selects the members to compare and turns the verdict of `canary_analysis` into a result for the batch. It
sends no orders and does not change the phase of the rollout.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum
from typing import NamedTuple

from .canary_analysis import CanaryAnalysis, MemberSample, margins_across_sites
from .canary_metrics import CanaryVerdict
from .rollout_types import (
    TICKS_PER_MS,
    TICKS_PER_SECOND,
    FleetView,
    InstanceView,
    RolloutRecord,
)

EVIDENCE_INTERVAL = TICKS_PER_SECOND  # between two stores of evidence


class WatchResult(Enum):
    """The result of the watch of a batch so far."""

    CONTINUES = "continues"
    PASSED = "passed"
    BAD = "bad"
    INCONCLUSIVE = "inconclusive"


class WatchOutcome(NamedTuple):
    """A result, and its reason for the rollout's history."""

    result: WatchResult
    reason: str = ""


class ComparedSamples(NamedTuple):
    """Samples of both sides.

    Attributes:
        canary: Members in the new version.
        baseline: Members in the previous version that the canary is compared with.
        previous_version: All members in the previous version.
    """

    canary: list[MemberSample]
    baseline: list[MemberSample]
    previous_version: list[MemberSample]


class BatchWatch:
    """Watches the current batch of one rollout; `analysis` is None while no batch is watched."""

    def __init__(self, record: RolloutRecord, site_of: Callable[[str], str]) -> None:
        """Watch the batches of `record`; `site_of` returns the site of a member."""
        self.record = record
        self.site_of = site_of
        self.analysis: CanaryAnalysis | None = None
        self._evidence_stored_at = 0

    def begin(self, view: FleetView, now: int) -> None:
        """Begin to watch the current batch, from stored evidence of the same batch if there is any.

        If none of the batch's sites has members of the previous version, the margins are those for a
        comparison across sites.
        """
        spec = self.record.spec
        margins = dict(spec.margins)
        if not self._has_peers(view.instances):
            margins = margins_across_sites(margins)
        min_watch = spec.min_watch_ms * TICKS_PER_MS
        max_watch = spec.max_watch_ms * TICKS_PER_MS
        self.analysis = CanaryAnalysis(margins, min_watch, max_watch, now, spec.max_memory_ratio)
        evidence = self.record.evidence
        if evidence is not None and evidence.batch_index == self.record.batch_index:
            self.analysis.resume(evidence, now)
        self._evidence_stored_at = now

    def end(self) -> None:
        """End the watch and drop its evidence."""
        self.analysis = None
        self.record.evidence = None

    def evaluate(self, view: FleetView, now: int) -> WatchOutcome:
        """Evaluate crashes in the new version, then the latest samples; return the result so far."""
        crashes = self._count_crashes(view.instances)
        if crashes > self.record.spec.max_crashes:
            reason = f"bad: released members ended by themselves, {crashes} times"
            return WatchOutcome(WatchResult.BAD, reason)
        if self.analysis is None:
            return WatchOutcome(WatchResult.CONTINUES)
        samples = self._compared_samples(view)
        verdict = self.analysis.observe(samples.canary, samples.baseline, now, samples.previous_version)
        if verdict is CanaryVerdict.BAD:
            return WatchOutcome(WatchResult.BAD, f"bad: {self.analysis.reason}")
        if verdict is CanaryVerdict.GOOD:
            return WatchOutcome(WatchResult.PASSED, f"good: {self.analysis.reason}")
        return self._evaluate_unclear(self.analysis, bool(samples.baseline), now)

    def _evaluate_unclear(self, analysis: CanaryAnalysis, has_baseline: bool, now: int) -> WatchOutcome:
        """Pass without a baseline, end an expired watch, or store evidence and continue."""
        if not has_baseline and analysis.has_minimum_watch(now):
            return WatchOutcome(WatchResult.PASSED, "nobody is left to compare with")
        if analysis.has_expired(now):
            reason = f"unclear at the end of its watch: {analysis.reason}"
            return WatchOutcome(WatchResult.INCONCLUSIVE, reason)
        if now - self._evidence_stored_at >= EVIDENCE_INTERVAL:
            self._evidence_stored_at = now
            self.record.evidence = analysis.evidence(self.record.batch_index, now)
        return WatchOutcome(WatchResult.CONTINUES)

    def _has_peers(self, instances: Mapping[str, InstanceView]) -> bool:
        """Return whether a site of the current batch has a member of the previous version."""
        previous_version = self.record.spec.previous_version
        sites = {self.site_of(name) for name in self.record.current_batch()}
        return any(
            instance.version == previous_version and self.site_of(name) in sites
            for name, instance in instances.items()
        )

    def _count_crashes(self, instances: Mapping[str, InstanceView]) -> int:
        """Count crashes in the new version; the platform's counts include those before a change of leader."""
        members = [instances[name] for name in self.record.all_members() if name in instances]
        return sum(instance.crashes for instance in members if instance.version == self.record.spec.version)

    def _compared_samples(self, view: FleetView) -> ComparedSamples:
        """Return samples of the sites that run both versions, as load differs by site; all if none does."""
        spec = self.record.spec
        instances = view.instances
        samples = view.samples
        canaries = {
            name
            for name in self.record.all_members()
            if name in instances and instances[name].is_up_in(spec.version)
        }
        previous = [
            name
            for name in samples
            if name not in canaries and name in instances and instances[name].version == spec.previous_version
        ]
        shared_sites = {self.site_of(name) for name in canaries} & {self.site_of(name) for name in previous}

        def is_compared(name: str) -> bool:
            return not shared_sites or self.site_of(name) in shared_sites

        return ComparedSamples(
            canary=[samples[name] for name in samples if name in canaries and is_compared(name)],
            baseline=[samples[name] for name in previous if is_compared(name)],
            previous_version=[samples[name] for name in previous],
        )
