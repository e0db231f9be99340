"""Types of rollouts: the release file, the replicated record, and the platform's instances and orders.

The keys of the messages appear in operators' files and in the planners' stored state, and never change; a
class's `rename` maps attributes with another name. Times and durations without a unit in their name are clock
ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from .canary_analysis import CanaryEvidence, MemberSample
from .disruption_types import MemberObservation
from .messages import Count, Fraction, Message, Name, Span, Text

TICKS_PER_MS = 10
TICKS_PER_SECOND = 10_000
DAY_MS = 86_400_000

Version = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
DurationMs = Annotated[int, msgspec.Meta(ge=1, le=DAY_MS)]


class RolloutPhase(Enum):
    """Phases of a rollout; the values are stored and reported."""

    RUNNING = "running"
    HALTED = "halted"
    ROLLING_BACK = "backing"
    COMPLETED = "done"
    ROLLED_BACK = "back"


class InstanceStatus(Enum):
    """Status of a member's process, as the platform reports it."""

    UP = "up"
    DRAINING = "draining"
    STOPPED = "stopped"
    FAILED = "failed"  # its last start failed


class OrderAction(Enum):
    """Orders that the platform executes; the values are parts of its URLs."""

    DRAIN = "drain"
    START = "start"


class RolloutSpec(
    Message,
    rename={
        "previous_version": "before",
        "batch_size": "batch",
        "min_watch_ms": "watch_ms",
        "max_watch_ms": "watch_most_ms",
        "max_crashes": "crashes",
        "max_memory_ratio": "memory",
        "stall_timeout_ms": "stall_ms",
    },
):
    """A release file.

    Attributes:
        version: The version to release.
        previous_version: The version that members run before.
        sites: Sites in the order of the rollout; all sites of the fleet file if neither sites nor groups are
            given.
        groups: Groups of the fleet file in the order of the rollout, instead of sites.
        canaries: Number of members of the first batch.
        batch_size: Number of members of each later batch.
        min_watch_ms: A batch is watched for at least this long.
        max_watch_ms: A batch whose verdict is still unclear after this long halts the rollout.
        margins: By metric, the difference of bad shares (0 to 1) above which the new version is bad.
        max_crashes: Number of crashes in the new version that do not make it bad.
        max_memory_ratio: Highest allowed ratio of a member's memory to the median of the previous version; 0
            sets no bound.
        stall_timeout_ms: A rollout without progress for this long halts.
    """

    version: Version
    previous_version: Version
    sites: list[Name] = msgspec.field(default_factory=list)
    groups: list[Name] = msgspec.field(default_factory=list)
    canaries: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    batch_size: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 2
    min_watch_ms: DurationMs = 10_000
    max_watch_ms: DurationMs = 120_000
    margins: dict[Name, Fraction] = msgspec.field(
        default_factory=lambda: {"late": 0.05, "slow": 0.15, "shed": 0.05, "written_off": 0.02}
    )
    max_crashes: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    max_memory_ratio: Annotated[float, msgspec.Meta(ge=0, le=100)] = 2.0
    stall_timeout_ms: DurationMs = 600_000

    def validation_error(self) -> str:
        """Return the first error in the fields, named by its key in the file; empty if there is none."""
        if self.version == self.previous_version:
            return f"version: {self.version!r} is also the version in 'before'; the two must differ"
        if self.max_watch_ms < self.min_watch_ms:
            return f"watch_most_ms: {self.max_watch_ms} is less than watch_ms, {self.min_watch_ms}"
        if self.sites and self.groups:
            return "groups: not allowed together with 'sites'; give one of the two"
        for key, names in (("sites", self.sites), ("groups", self.groups)):
            if len(set(names)) < len(names):
                return f"{key}: a name is listed twice"
        if not self.margins:
            return "margins: empty, so no metric would be compared; give at least one"
        return ""


class RolloutRecord(
    Message,
    rename={
        "spec": "plan",
        "batch_index": "at",
        "reason": "why",
        "version_is_bad": "bad",
        "excluded": "left_out",
    },
):
    """The state of one rollout that the leader replicates to a majority of planners.

    Attributes:
        spec: The release file that the rollout was started with.
        batches: Names of members, by batch.
        number: Number of the rollout.
        age: Time from the start of the rollout to the last line of its history.
        batch_index: Index of the current batch, from 0.
        phase: Value of its `RolloutPhase`.
        reason: Why it is in that phase.
        version_is_bad: Whether the new version was found bad; a bad version is never started again.
        excluded: Members that start in neither version.
        history: One line for each event, the oldest first.
        evidence: Results of the watch of the current batch, at most `EVIDENCE_INTERVAL` old.
    """

    spec: RolloutSpec
    batches: list[list[Name]]
    number: Count = 0
    age: Span = 0
    batch_index: Count = 0
    phase: Name = RolloutPhase.RUNNING.value
    reason: Text = ""
    version_is_bad: bool = False
    excluded: list[Name] = msgspec.field(default_factory=list)
    history: list[Text] = msgspec.field(default_factory=list)
    evidence: CanaryEvidence | None = None

    def all_members(self) -> list[str]:
        """Return the members of all batches, in the order of the rollout."""
        return [name for batch in self.batches for name in batch]

    def current_batch(self) -> list[str]:
        """Return the members of the current batch that are not excluded; none after the last batch."""
        if self.batch_index >= len(self.batches):
            return []
        return [name for name in self.batches[self.batch_index] if name not in self.excluded]

    def restart_version(self) -> str:
        """Return the version in which a stopped member is started; never a bad one."""
        return self.spec.previous_version if self.version_is_bad else self.spec.version

    def remove_member(self, name: str) -> None:
        """Remove a member from its batch."""
        for batch in self.batches:
            batch[:] = [other for other in batch if other != name]


@dataclass(frozen=True, slots=True)
class InstanceView:
    """One member's process as the platform reports it.

    Attributes:
        status: Status of the process.
        version: The version that it runs, or was last started in.
        failed_starts: Number of failed starts in that version.
        crashes: Number of crashes in that version.
    """

    status: InstanceStatus
    version: str
    failed_starts: int = 0
    crashes: int = 0

    def is_up_in(self, version: str) -> bool:
        """Return whether the process is up in that version."""
        return self.status is InstanceStatus.UP and self.version == version


@dataclass(frozen=True, slots=True)
class PlatformOrder:
    """An order to the platform.

    Attributes:
        action: DRAIN stops a member gracefully; START starts it in `version`.
        member: Name of the member.
        version: The version that the member runs next.
        permit_number: Number of the permit that allows the order; the platform ignores a repeated drain with
            the same number.
    """

    action: OrderAction
    member: str
    version: str
    permit_number: int


@dataclass(frozen=True, slots=True)
class FleetView:
    """The state of the fleet at one moment, by name of the member.

    Attributes:
        instances: Processes, as the platform reports them.
        observations: Members, as the membership observes them.
        samples: Outcomes and memory of each member since the previous step.
        lost_sites: Sites that are lost or evacuated.
    """

    instances: Mapping[str, InstanceView]
    observations: Mapping[str, MemberObservation]
    samples: Mapping[str, MemberSample]
    lost_sites: list[str]

    def is_serving(self, name: str, version: str) -> bool:
        """Return whether a member is up in that version, and observed in service."""
        instance = self.instances.get(name)
        observation = self.observations.get(name)
        if instance is None or observation is None:
            return False
        return instance.is_up_in(version) and observation.unavailability is None
