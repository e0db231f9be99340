"""Operators' commands for a store: show, verify and compact it.

Only `compact_store` changes the store, and only while no other program uses it. The reports are printed as
JSON; tools read them, so the names of their keys must not change.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..admission.types import SECOND
from ..errors import StoreWriteError
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
# In ticks, about 30 hours. The request classes and their retentions are unknown here, so that the expiries in
# records are trusted up to this bound.
MAX_RETENTION = 1 << 30
MAX_SHOWN_RUNS = 20


class StoreReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "owner": "name",
        "is_locked": "held",
        "segments": "files",
        "stored_bytes": "bytes",
        "keys": "labels",
        "expired": "over",
        "first_expiry_s": "first_end_s",
        "last_expiry_s": "last_end_s",
        "open_runs": "runs",
        "intact": RecordState.INTACT.value,
        "truncated": RecordState.TRUNCATED.value,
        "corrupt": RecordState.CORRUPT.value,
        "lost": RecordState.LOST.value,
        "is_in_doubt": "doubt",
    },
):
    """Contents of a store.

    Attributes:
        owner: Name of the app server that owns the store.
        is_locked: Whether a program is using the store.
        segments: Number of segments.
        stored_bytes: Size of the segments in bytes, without a truncated record at the end.
        keys: Number of keys that have not expired.
        unknown: Number of keys that were started and whose results are unknown.
        expired: Number of expired records, void ones included.
        first_expiry_s: Seconds until the first key expires; None without keys.
        last_expiry_s: Seconds until the last key expires; None without keys.
        open_runs: Ids of runs that were started and not completed, up to `MAX_SHOWN_RUNS`.
        intact: Number of records that can be read.
        truncated: Number of records that are cut short.
        corrupt: Number of records with an intact header and a damaged body.
        lost: Number of ranges of bytes without an intact header.
        is_in_doubt: Whether records were lost, so that keys may be missing.
    """

    owner: str
    is_locked: bool
    segments: int
    stored_bytes: int
    keys: int
    unknown: int
    expired: int
    first_expiry_s: float | None
    last_expiry_s: float | None
    open_runs: list[str]
    intact: int
    truncated: int
    corrupt: int
    lost: int
    is_in_doubt: bool


class DamagedRecord(
    msgspec.Struct,
    frozen=True,
    rename={"segment": "file", "offset": "at", "state": "found", "size": "bytes"},
):
    """A record that cannot be read whole.

    Attributes:
        segment: File name of the segment.
        offset: Offset in the segment in bytes.
        state: How much of the record can be read.
        size: Size of the record or its remains in bytes.
    """

    segment: str
    offset: int
    state: RecordState
    size: int


class VerificationReport(
    msgspec.Struct,
    frozen=True,
    rename={
        "owner": "name",
        "segments": "files",
        "are_headers_intact": "heads",
        "damaged_records": "troubles",
    },
):
    """Whether every segment header and every record of a store can be read.

    Attributes:
        owner: Name of the app server that owns the store.
        segments: Number of segments.
        are_headers_intact: Whether all segment headers are intact.
        damaged_records: Records that cannot be read whole.
    """

    owner: str
    segments: int
    are_headers_intact: bool
    damaged_records: list[DamagedRecord]


class CompactionReport(
    msgspec.Struct, frozen=True, rename={"owner": "name", "keys": "labels", "bytes_after": "bytes"}
):
    """Result of a compaction.

    Attributes:
        owner: Name of the app server that owns the store.
        keys: Number of keys in the compacted store.
        bytes_before: Size of the store before the compaction.
        bytes_after: Size of the compacted store.
    """

    owner: str
    keys: int
    bytes_before: int
    bytes_after: int


class StoreSnapshot(NamedTuple):
    """A whole store in memory.

    Attributes:
        segments: The segments, oldest first.
        recovered: The recovered state of the keys.
        stored_bytes: Size of the segments in bytes, without a truncated record at the end.
    """

    segments: list[SegmentContent]
    recovered: RecoveredStore
    stored_bytes: int


def show_store(directory: Path, now: int) -> StoreReport:
    """Report the keys, expiries and size of a store, and how many records cannot be read.

    Args:
        directory: Directory of the store.
        now: The current time in ticks.

    Raises:
        StoreWriteError: There is no store in the directory, there are several, or it has a later version.
    """
    owner = find_owner(directory)
    snapshot = _read_store(SegmentFiles(directory, owner), now)
    recovered = snapshot.recovered
    counts = recovered.fragment_counts
    expiries = sorted(entry.expires_at for entry in recovered.index.entries(now))
    first_expiry_s = None
    last_expiry_s = None
    if expiries:
        first_expiry_s = _seconds_until(expiries[0], now)
        last_expiry_s = _seconds_until(expiries[-1], now)
    return StoreReport(
        owner=owner,
        is_locked=_is_locked(directory, owner),
        segments=len(snapshot.segments),
        stored_bytes=snapshot.stored_bytes,
        keys=len(expiries),
        unknown=recovered.unknown,
        expired=recovered.expired,
        first_expiry_s=first_expiry_s,
        last_expiry_s=last_expiry_s,
        open_runs=sorted(recovered.open_runs)[:MAX_SHOWN_RUNS],
        intact=counts[RecordState.INTACT],
        truncated=counts[RecordState.TRUNCATED],
        corrupt=counts[RecordState.CORRUPT],
        lost=counts[RecordState.LOST],
        is_in_doubt=recovered.is_in_doubt,
    )


def verify_store(directory: Path) -> VerificationReport:
    """Decode every record of a store, and report those that cannot be read.

    Raises:
        StoreWriteError: There is no store in the directory, there are several, or it has a later version.
    """
    owner = find_owner(directory)
    files = SegmentFiles(directory, owner)
    damaged_records: list[DamagedRecord] = []
    segment_count = 0
    for segment in files.read_segments():
        segment_count += 1
        damaged_records += _find_damaged(segment, files.path_of(segment.serial).name)
    return VerificationReport(owner, segment_count, not files.has_damaged_header, damaged_records)


def compact_store(directory: Path, now: int) -> CompactionReport:
    """Write all keys that have not expired to one new segment, flush it, and delete the other segments.

    Args:
        directory: Directory of the store.
        now: The current time in ticks.

    Raises:
        StoreWriteError: A program is using the store, or records of it are lost.
    """
    owner = find_owner(directory)
    with SegmentFiles(directory, owner) as files:
        files.lock()
        snapshot = _read_store(files, now)
        if snapshot.recovered.is_in_doubt:
            raise StoreWriteError(
                directory,
                "records are lost; the store is not compacted before an app server has recovered it",
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
        return CompactionReport(owner, key_count, snapshot.stored_bytes, files.size)


def _read_store(files: SegmentFiles, now: int) -> StoreSnapshot:
    segments = list(files.read_segments())
    budget = RetentionBudget(UNBOUNDED_ENTRIES, UNBOUNDED_BYTES, grace=0)
    last_serial = segments[-1].serial if segments else 0
    recovered = recover(segments, budget, now, MAX_RETENTION, last_serial)
    if files.has_damaged_header:
        recovered.is_in_doubt = True
    return StoreSnapshot(segments, recovered, budget.stored_bytes)


def _is_locked(directory: Path, owner: str) -> bool:
    """Return whether a program is using the store, by locking it for a moment if none is."""
    with SegmentFiles(directory, owner) as files:
        try:
            files.lock()
        except StoreWriteError:
            return True
    return False


def _seconds_until(time: int, now: int) -> float:
    return round((time - now) / SECOND, 1)


def _find_damaged(segment: SegmentContent, name: str) -> Iterator[DamagedRecord]:
    for fragment in read_fragments(segment.raw, SEGMENT_HEADER.size):
        state = fragment.decoded_state(segment.raw)
        if state is not RecordState.INTACT:
            yield DamagedRecord(name, fragment.offset, state, fragment.size)


def _live_records(snapshot: StoreSnapshot, now: int) -> Iterator[bytes]:
    """Yield the encoded last record of every key that has not expired."""
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
    """Encode a started record without a run id for a key whose record is corrupt.

    The key stays unknown in the compacted store. Returns no bytes if the corrupt record is not found.
    """
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
