"""The form of what is kept: records with checksums of their own, read one by one whatever stands around them.

A record is a head of 44 bytes, with a checksum of itself, and a body, whose checksum stands in the head:

    mark 2, kind 1, nothing 1, size of the body 4, label 16, stamp 8, span 4, checksums of both 4 each

*begun* says that a run of this label may be under way: its body names the run and what it was asked.
*concluded* says what came of it; both hold a digest of what was asked. `stamp` is the arrival of the try that
ran, in tenths of a millisecond of the Unix clock, and `span` the window that counts from it.

What can't be read is told apart by what may be concluded from it:

| found | meaning |
| --- | --- |
| `torn` | the file ends within a record: it was never flushed whole, so nothing was done that rests on it |
| `spoilt` | the head is good and the body is not: something was begun of this label, and no more is known |
| `lost` | a head does not check: labels may have stood there that nobody knows now |
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import xxhash

from ..admission.types import Outcome

HEAD = struct.Struct("<2sBBI16sqIII")
MARK = b"\xb5k"
BODY_MOST = 1 << 20
SMALL = 256  # bytes: a result up to this is not worth compressing
FILE = struct.Struct("<8sHHIQI")  # mark, version, 0, serial, checksum of the owner's name, checksum of this
FILE_MARK = b"bslpkeep"
VERSION = 1


class RecordKind(Enum):
    BEGUN = 1
    CONCLUDED = 2
    VOID = 3  # nothing: written to see whether the disk takes anything


KINDS = frozenset(kind.value for kind in RecordKind)


class ScanOutcome(Enum):
    GOOD = "good"
    TORN = "torn"
    SPOILT = "spoilt"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """One record. `run` is of one begun, `outcome` and `result` are of one concluded."""

    kind: RecordKind
    label: bytes
    stamp: int
    span: int
    run: str = ""
    digest: bytes = b""
    outcome: Outcome = Outcome.FAILED
    result: bytes = b""

    @property
    def until(self) -> int:
        return self.stamp + self.span


@dataclass(frozen=True, slots=True)
class RecordFragment:
    """What stands at one place of a file: `entry` without a body where that is spoilt, none where lost."""

    found: ScanOutcome
    at: int
    size: int
    entry: ResultRecord | None = None


def digest_of(profile: str, body: bytes) -> bytes:
    """Of what a try asks: all tries of one label are the same."""
    return xxhash.xxh3_128_digest(profile.encode() + b"\0" + body)


def checksum(raw: bytes) -> int:
    return xxhash.xxh32_intdigest(raw)


OUTCOMES = list(Outcome)


def encode(entry: ResultRecord) -> bytes:
    body = b""
    if entry.kind is RecordKind.BEGUN:
        body = entry.digest + entry.run.encode()
    elif entry.kind is RecordKind.CONCLUDED:
        packed = zlib.compress(entry.result, 1) if len(entry.result) > SMALL else entry.result
        smaller = len(packed) < len(entry.result)
        body = entry.digest + bytes((OUTCOMES.index(entry.outcome), smaller))
        body += packed if smaller else entry.result
    head = HEAD.pack(
        MARK, entry.kind.value, 0, len(body), entry.label, entry.stamp, entry.span, checksum(body), 0
    )
    return head[:-4] + struct.pack("<I", checksum(head[:-4])) + body


Scanned = tuple[ScanOutcome, int, int, int, bytes, int, int]  # found, at, size, kind, label, stamp, span
NOTHING = (0, b"", 0, 0)


def scan(raw: bytes, at: int = 0) -> Iterator[Scanned]:
    """All that stands in a file from there on, to its end; bodies are checked, not read. Made for a start-up
    that reads many: nothing is built of a record but one tuple.
    """
    end, view, head_size, unpack = len(raw), memoryview(raw), HEAD.size, HEAD.unpack_from
    digest = xxhash.xxh32_intdigest
    while at < end:
        if end - at >= head_size:
            mark, kind, _, size, label, stamp, span, body_sum, head_sum = unpack(raw, at)
            good = mark == MARK and digest(view[at : at + head_size - 4]) == head_sum
        else:
            good = False
        if not good or size > BODY_MOST or kind not in KINDS:
            later = next_head(raw, at + 1)
            whole = end - at >= head_size or later < end
            yield (ScanOutcome.LOST if whole else ScanOutcome.TORN, at, later - at, *NOTHING)
            at = later
            continue
        body_at = at + head_size
        if body_at + size > end:
            # The head may be followed by less than its body, and that by nothing: cut off, or never flushed.
            yield ScanOutcome.TORN, at, end - at, kind, label, stamp, span
            return
        found = ScanOutcome.GOOD if digest(view[body_at : body_at + size]) == body_sum else ScanOutcome.SPOILT
        yield found, at, head_size + size, kind, label, stamp, span
        at = body_at + size


def next_head(raw: bytes, at: int) -> int:
    """The next place where a head checks, or the end."""
    while (at := raw.find(MARK, at)) >= 0:
        head = raw[at : at + HEAD.size]
        if len(head) == HEAD.size and checksum(head[:-4]) == int.from_bytes(head[-4:], "little"):
            return at
        at += 1
    return len(raw)


def body_of(raw: bytes, at: int, size: int) -> bytes:
    return raw[at + HEAD.size : at + size]


def run_of(body: bytes) -> str:
    """Of one begun: its run's name at the agent."""
    return body[16:].decode("ascii", "replace")


def read(raw: bytes, one: Scanned) -> RecordFragment:
    """What was scanned, whole."""
    found, at, size, kind, label, stamp, span = one
    if not kind:
        return RecordFragment(found, at, size)
    entry = ResultRecord(RecordKind(kind), label, stamp, span)
    if found is not ScanOutcome.GOOD:
        return RecordFragment(found, at, size, entry)
    try:
        return RecordFragment(found, at, size, with_body(entry, body_of(raw, at, size)))
    except (ValueError, IndexError, zlib.error):
        return RecordFragment(ScanOutcome.SPOILT, at, size, entry)


def with_body(entry: ResultRecord, body: bytes) -> ResultRecord:
    """ValueError, IndexError or zlib.error where the body is none of its kind."""
    if entry.kind is RecordKind.BEGUN:
        return ResultRecord(entry.kind, entry.label, entry.stamp, entry.span, run_of(body), body[:16])
    if entry.kind is RecordKind.VOID:
        return entry
    result = zlib.decompress(body[18:]) if body[17] else body[18:]
    outcome = OUTCOMES[body[16]]
    return ResultRecord(
        entry.kind, entry.label, entry.stamp, entry.span, digest=body[:16], outcome=outcome, result=result
    )


def pieces(raw: bytes, at: int = 0) -> Iterator[RecordFragment]:
    return (read(raw, one) for one in scan(raw, at))


# ---- the head of a file -----------------------------------------------------------------------------------


class UnsupportedVersionError(ValueError):
    """A file of a later version: nothing of it is touched."""


def file_head(serial: int, owner: str) -> bytes:
    raw = FILE.pack(FILE_MARK, VERSION, 0, serial, xxhash.xxh3_64_intdigest(owner.encode()), 0)
    return raw[:-4] + struct.pack("<I", checksum(raw[:-4]))


def read_file_head(raw: bytes, owner: str) -> int | None:
    """The file's serial number, or None where its head does not check; Newer or ValueError says why not."""
    if len(raw) < FILE.size:
        return None
    mark, version, _, serial, owned, head_sum = FILE.unpack(raw[: FILE.size])
    if mark != FILE_MARK or checksum(raw[: FILE.size - 4]) != head_sum:
        return None
    if version > VERSION:
        raise UnsupportedVersionError(f"of version {version}, and this program reads up to {VERSION}")
    if owned != xxhash.xxh3_64_intdigest(owner.encode()):
        raise ValueError(f"kept by another name than {owner!r}")
    return int(serial)
