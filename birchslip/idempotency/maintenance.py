"""The operators' commands for a store: show it, verify it, and compact it.

Nothing is changed but by `compact_store`, and that only while no program has the store. The keys of the
reports are read by operators' tools and must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from ..admission.types import SECOND
from .errors import StoreWriteError
from .key_index import UNKNOWN_LOCATION, unpack_location
from .record_format import (
    DIGEST_BYTES,
    RecordFragment,
    RecordKind,
    RecordState,
    ResultRecord,
    encode,
    read_fragments,
)
from .recovery import RecoveredStore, recover
from .retention_budget import RetentionBudget
from .segment_files import SegmentContent, SegmentFiles, find_owner
from .segment_header import SEGMENT_HEADER

UNBOUNDED_ENTRIES = 1 << 30
UNBOUNDED_BYTES = 1 << 40
MAX_RETENTION = 1 << 30  # ticks, a day: no request classes are known here, so the records are believed
MAX_SHOWN_RUNS = 20


class StoreSnapshot(NamedTuple):
    """A whole store in memory: its segments, oldest first, and what is known of its keys."""

    segments: list[SegmentContent]
    recovered: RecoveredStore
    stored_bytes: int


def show_store(directory: Path, now: int) -> dict[str, Any]:
    """Report the keys, their ages and sizes, and what can't be read; `now` is in ticks."""
    owner = find_owner(directory)
    snapshot = _read_store(SegmentFiles(directory, owner), now)
    recovered = snapshot.recovered
    expiries = sorted(entry.expires_at for entry in recovered.index.entries(now))
    return {
        "name": owner,
        "held": _is_locked(directory, owner),
        "files": len(snapshot.segments),
        "bytes": snapshot.stored_bytes,
        "labels": len(expiries),
        "unknown": recovered.unknown,
        "over": recovered.expired,
        "first_end_s": _seconds_until(expiries[0], now) if expiries else None,
        "last_end_s": _seconds_until(expiries[-1], now) if expiries else None,
        "runs": sorted(recovered.open_runs)[:MAX_SHOWN_RUNS],
        **{state.value: count for state, count in recovered.fragment_counts.items()},
        "doubt": recovered.is_in_doubt,
    }


def verify_store(directory: Path) -> dict[str, Any]:
    """Read every record whole, and report where one can't be read."""
    owner = find_owner(directory)
    files = SegmentFiles(directory, owner)
    troubles = []
    segment_count = 0
    for segment in files.read_segments():
        segment_count += 1
        name = files.path_of(segment.serial).name
        for fragment in read_fragments(segment.raw, SEGMENT_HEADER.size):
            state = fragment.decoded_state(segment.raw)
            if state is not RecordState.INTACT:
                troubles.append(
                    {"file": name, "at": fragment.offset, "found": state.value, "bytes": fragment.size}
                )
    return {
        "name": owner,
        "files": segment_count,
        "heads": not files.has_damaged_header,
        "troubles": troubles,
    }


def compact_store(directory: Path, now: int) -> dict[str, Any]:
    """Write what has not expired to one new segment; the others are deleted once that is flushed.

    Raises:
        StoreWriteError: A program has the store, or records are lost in it.
    """
    owner = find_owner(directory)
    with SegmentFiles(directory, owner) as files:
        files.lock()
        snapshot = _read_store(files, now)
        if snapshot.recovered.is_in_doubt:
            raise StoreWriteError(
                directory, "records are lost in it; it is left as it is until a program has read it"
            )
        files.create_segment(max(files.serials(), default=0) + 1)
        key_count = 0
        for raw_record in _live_records(snapshot, now):
            files.append(raw_record)
            key_count += 1
        files.flush()
        for segment in snapshot.segments:
            files.delete_segment(segment.serial)
        files.system.flush_directory(directory)
        return {
            "name": owner,
            "labels": key_count,
            "bytes_before": snapshot.stored_bytes,
            "bytes": files.size,
        }


def _read_store(files: SegmentFiles, now: int) -> StoreSnapshot:
    segments = list(files.read_segments())
    budget = RetentionBudget(UNBOUNDED_ENTRIES, UNBOUNDED_BYTES, grace=0)
    last_serial = segments[-1].serial if segments else 0
    recovered = recover(segments, budget, now, MAX_RETENTION, last_serial)
    if files.has_damaged_header:
        recovered.is_in_doubt = True
    return StoreSnapshot(segments, recovered, budget.stored_bytes)


def _is_locked(directory: Path, owner: str) -> bool:
    """Whether a program has the store at the moment."""
    with SegmentFiles(directory, owner) as files:
        try:
            files.lock()
        except StoreWriteError:
            return True
    return False


def _seconds_until(time: int, now: int) -> float:
    return round((time - now) / SECOND, 1)


def _live_records(snapshot: StoreSnapshot, now: int) -> Iterable[bytes]:
    """The encoded last record of every key that has not expired."""
    contents = dict(snapshot.segments)
    open_records = {record.key: record for record in snapshot.recovered.open_runs.values()}
    for entry in snapshot.recovered.index.entries(now):
        if entry.location != UNKNOWN_LOCATION:
            location = unpack_location(entry.location)
            yield _raw_record(contents[location.serial], location.offset)
        elif entry.key in open_records:
            yield encode(open_records[entry.key])
        else:
            yield _encode_unknown(snapshot.segments, entry.key)


def _raw_record(raw: bytes, offset: int) -> bytes:
    fragment = next(read_fragments(raw, offset))
    return raw[offset : offset + fragment.size]


def _encode_unknown(segments: list[SegmentContent], key: bytes) -> bytes:
    """A started record for a key whose record is corrupt, which keeps it unknown; its run has no id."""
    fragment = _find_corrupt(segments, key)
    if fragment is None:
        return b""
    started = ResultRecord(
        RecordKind.STARTED,
        key,
        fragment.arrived_at,
        fragment.retention,
        request_digest=bytes(DIGEST_BYTES),
    )
    return encode(started)


def _find_corrupt(segments: list[SegmentContent], key: bytes) -> RecordFragment | None:
    for segment in segments:
        for fragment in read_fragments(segment.raw, SEGMENT_HEADER.size):
            if fragment.key == key and fragment.decoded_state(segment.raw) is RecordState.CORRUPT:
                return fragment
    return None
