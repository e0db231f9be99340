"""Recovery of a store: reads its segments, oldest first, and determines the state of each key.

| record | state of its key after it |
| --- | --- |
| started | unknown: the run may have had its effect, so repeats fail and are never run |
| completed | the result is known: repeats get it |
| completed with an outcome that means never run | none: the key can be started again |
| corrupt | unknown, whatever the record held |
| truncated, at the end of the last segment | unchanged: it was not flushed, so nothing depends on it |
| lost, or truncated elsewhere | unchanged, but records of unknown keys are missing: the store is *in doubt* |

This module does no I/O and reads no clock. Times are in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..admission.types import NEVER_RAN_OUTCOMES
from .key_index import UNKNOWN_LOCATION, KeyIndex, pack_location
from .record_format import (
    OUTCOME_CODES,
    OUTCOME_OFFSET,
    RecordFragment,
    RecordKind,
    RecordState,
    ResultRecord,
    read_fragments,
)
from .retention_budget import RetentionBudget
from .segment_files import SegmentContent
from .segment_header import SEGMENT_HEADER

NEVER_RAN_CODES = frozenset(OUTCOME_CODES[outcome] for outcome in NEVER_RAN_OUTCOMES)


@dataclass(slots=True)
class RecoveredStore:
    """State of the keys that earlier incarnations stored.

    Attributes:
        index: Keys that have not expired.
        open_runs: Started records without a completed one, by run id.
        fragment_counts: Number of records by state.
        expired: Number of expired records, void ones included.
        unknown: Number of keys that were started and whose results are unknown.
        is_in_doubt: Whether records were lost, so that keys may be missing.
        truncated_at: Offset at which the last segment must be truncated; None if it ends with a whole record.
    """

    index: KeyIndex = field(default_factory=KeyIndex)
    open_runs: dict[str, ResultRecord] = field(default_factory=dict)
    fragment_counts: dict[RecordState, int] = field(default_factory=lambda: dict.fromkeys(RecordState, 0))
    expired: int = 0
    unknown: int = 0
    is_in_doubt: bool = False
    truncated_at: int | None = None


def recover(
    segments: Iterable[SegmentContent],
    budget: RetentionBudget,
    now: int,
    max_retention: int,
    last_serial: int,
) -> RecoveredStore:
    """Recover a store from its segments.

    Args:
        segments: All segments, oldest first; each is read once, so that only one has to be in memory.
        budget: An empty budget, to which the segments and live entries are added.
        now: The current time.
        max_retention: The longest retention, in ticks. A later expiry comes from a clock that has been set
            back since, and is reduced to `now` plus this retention.
        last_serial: Serial number of the newest segment.
    """
    recovery = _Recovery(budget, now, max_retention)
    for segment in segments:
        recovery.read_segment(segment, segment.serial == last_serial)
    return recovery.finish()


class _Recovery:
    """State of one recovery while segments are read."""

    def __init__(self, budget: RetentionBudget, now: int, max_retention: int) -> None:
        self.budget = budget
        self.now = now
        self.earliest_expiry = now - budget.grace  # keys with an earlier expiry get no more repeats
        self.latest_expiry = now + max_retention
        self.store = RecoveredStore(KeyIndex(now - max_retention - budget.grace - 1))
        self.keys: dict[bytes, tuple[int, int]] = {}  # expiry and packed location
        self.open_fragments: dict[bytes, RecordFragment] = {}  # started in this segment, not completed
        self.open_records: dict[bytes, ResultRecord] = {}  # started in earlier segments, not completed
        self.previous_serial: int | None = None

    def read_segment(self, segment: SegmentContent, is_last: bool) -> None:
        """Apply the records of the next segment."""
        if self.previous_serial is not None and segment.serial != self.previous_serial + 1:
            self.store.is_in_doubt = True  # a segment is missing between the two
        self.previous_serial = segment.serial
        self.budget.add_segment(segment.serial, len(segment.raw))
        self._apply_records(segment, is_last)
        for key, fragment in self.open_fragments.items():
            # Decoded here, because the segment is not kept in memory.
            self.open_records[key] = fragment.decode(segment.raw)
        self.open_fragments.clear()

    def finish(self) -> RecoveredStore:
        """Build the index from the keys that were found, and return the recovered store."""
        store = self.store
        store.open_runs = {record.run_id: record for record in self.open_records.values()}
        store.index.reserve(len(self.keys))
        for key, (expires_at, location) in self.keys.items():
            store.index.put(key, expires_at, location)
            self.budget.add_entry(expires_at)
            if location == UNKNOWN_LOCATION:
                store.unknown += 1
        return store

    def _apply_records(self, segment: SegmentContent, is_last: bool) -> None:
        intact = RecordState.INTACT
        started = RecordKind.STARTED
        void = RecordKind.VOID
        last_expiry = intact_count = 0
        for fragment in read_fragments(segment.raw, SEGMENT_HEADER.size):
            state, _, _, kind, key, arrived_at, retention = fragment
            if state is not intact:
                last_expiry = max(last_expiry, self._apply_damaged(fragment, is_last))
                continue
            intact_count += 1
            expires_at = min(arrived_at + retention, self.latest_expiry)
            if expires_at > last_expiry:
                last_expiry = expires_at
            if expires_at < self.earliest_expiry or kind is void:
                self.store.expired += 1
            elif kind is started:
                self.keys[key] = (expires_at, UNKNOWN_LOCATION)
                self.open_fragments[key] = fragment
            else:
                self._apply_completed(segment, fragment, expires_at)
        self.store.fragment_counts[intact] += intact_count
        self.budget.segments[-1].last_expiry = last_expiry

    def _apply_completed(self, segment: SegmentContent, fragment: RecordFragment, expires_at: int) -> None:
        key = fragment.key
        offset = fragment.offset
        self._close_run(key)
        if segment.raw[offset + OUTCOME_OFFSET] in NEVER_RAN_CODES:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (expires_at, pack_location(segment.serial, offset))

    def _apply_damaged(self, fragment: RecordFragment, is_last: bool) -> int:
        """Apply a record that is not intact, and return the latest time at which it may expire."""
        self.store.fragment_counts[fragment.state] += 1
        if fragment.state is RecordState.CORRUPT:
            return self._apply_corrupt(fragment)
        if fragment.state is RecordState.TRUNCATED and is_last:
            self.store.truncated_at = fragment.offset
            self.budget.segments[-1].size = fragment.offset
            return 0
        self.store.is_in_doubt = True
        return self.latest_expiry

    def _apply_corrupt(self, fragment: RecordFragment) -> int:
        """Mark the key of a corrupt record as unknown, unless it has expired, and return its expiry."""
        expires_at = min(fragment.arrived_at + fragment.retention, self.latest_expiry)
        if expires_at < self.earliest_expiry or fragment.kind is RecordKind.VOID:
            self.store.expired += 1
        else:
            self.keys[fragment.key] = (expires_at, UNKNOWN_LOCATION)
            self._close_run(fragment.key)
        return expires_at

    def _close_run(self, key: bytes) -> None:
        self.open_fragments.pop(key, None)
        self.open_records.pop(key, None)
