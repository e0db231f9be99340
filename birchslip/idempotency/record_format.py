"""Binary format of records; each has its own checksums and can be read even if its neighbours are damaged.

A record consists of a header of 44 bytes and a body. The header holds checksums of the body and of itself.
Its fields have these sizes in bytes:

    magic 2, kind 1, zero 1, body size 4, key 16, arrival 8, retention 4, checksums of body and header 4 each

A *started* record states that a run of its key may be in progress; its body holds the digest of the request
and the id of the run. A *completed* record states how the run ended; its body holds the digest, the outcome
and the result. The arrival is that of the request that ran, in ticks of a tenth of a millisecond of the Unix
clock; the retention is counted from it, in ticks.

Records that cannot be read whole are classified by what is still known about their key; see `RecordState`.
The encoding of a record kind that is already on disks must not change.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import NamedTuple

import xxhash

from ..admission.types import Outcome
from .errors import CorruptRecordError

RECORD_HEADER = struct.Struct("<2sBBI16sqIII")
RECORD_MAGIC = b"\xb5k"
CHECKSUM = struct.Struct("<I")
MAX_BODY_BYTES = 1 << 20
MIN_COMPRESSED_BYTES = 256  # compression does not pay off for shorter results
COMPRESSION_LEVEL = 1
DIGEST_BYTES = 16
OUTCOME_OFFSET = RECORD_HEADER.size + DIGEST_BYTES  # in a completed record
RESULT_OFFSET = DIGEST_BYTES + 2  # in the body of a completed record, after outcome and compression flag

OUTCOME_CODES = {
    Outcome.SERVED: 0,
    Outcome.FAILED: 1,
    Outcome.TIMED_OUT: 2,
    Outcome.CONNECTION_LOST: 3,
    Outcome.CANCELLED: 4,
    Outcome.REJECTED: 5,
    Outcome.UNREACHABLE: 6,
    Outcome.SUPERSEDED: 7,
}
OUTCOMES_BY_CODE = {code: outcome for outcome, code in OUTCOME_CODES.items()}


class RecordKind(Enum):
    """Kind of a record; the value is its code on disk."""

    STARTED = 1
    COMPLETED = 2
    VOID = 3  # concerns no key: written to probe whether the disk accepts writes


KINDS_BY_CODE = {kind.value: kind for kind in RecordKind}


class RecordState(Enum):
    """How much of a record can be read; the values are shown to operators."""

    INTACT = "good"
    TRUNCATED = "torn"  # the segment ends within it: never flushed whole, so no run or answer depends on it
    CORRUPT = "spoilt"  # header intact, body damaged: the key was started, its result is unknown
    LOST = "lost"  # header damaged: records of unknown keys may have been here


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """One decoded record.

    Attributes:
        kind: Kind of the record; determines which of the other fields are set.
        key: Idempotency key, 16 bytes.
        arrived_at: Arrival of the request that ran, in ticks of the Unix clock.
        retention: Time for which the key is retained from the arrival on, in ticks.
        run_id: Id of the run at the agent; only in started records.
        request_digest: Digest of the request; see `digest_request`. Not in void records.
        outcome: Outcome of the run; only in completed records.
        result: Result of the run; only in completed records.
    """

    kind: RecordKind
    key: bytes
    arrived_at: int
    retention: int
    run_id: str = ""
    request_digest: bytes = b""
    outcome: Outcome = Outcome.FAILED
    result: bytes = b""

    @property
    def expires_at(self) -> int:
        """The latest arrival, in ticks, of a repeat that this record still applies to."""
        return self.arrived_at + self.retention


class RecordFragment(NamedTuple):
    """Range of bytes in a segment that holds one record or the remains of one; the body is not decoded.

    Attributes:
        state: How much of the record can be read.
        offset: Offset of the first byte in the segment.
        size: Size in bytes.
        kind: Kind from the header; None if the header cannot be read, and the fields below are unset.
        key: Key from the header.
        arrived_at: Arrival from the header, in ticks of the Unix clock.
        retention: Retention from the header, in ticks.
    """

    state: RecordState
    offset: int
    size: int
    kind: RecordKind | None = None
    key: bytes = b""
    arrived_at: int = 0
    retention: int = 0

    def decode(self, raw: bytes) -> ResultRecord:
        """Decode the record.

        Args:
            raw: The bytes of the segment that the fragment was read from.

        Raises:
            CorruptRecordError: The record is not intact, or its body is malformed.
        """
        if self.state is not RecordState.INTACT or self.kind is None:
            raise CorruptRecordError(self.offset)
        body = raw[self.offset + RECORD_HEADER.size : self.offset + self.size]
        if self.kind is RecordKind.STARTED:
            return self._decode_started(body)
        if self.kind is RecordKind.COMPLETED:
            return self._decode_completed(body)
        return ResultRecord(self.kind, self.key, self.arrived_at, self.retention)

    def decoded_state(self, raw: bytes) -> RecordState:
        """Return the state after also trying to decode the body; `raw` as for `decode`."""
        if self.state is not RecordState.INTACT:
            return self.state
        try:
            self.decode(raw)
        except CorruptRecordError:
            return RecordState.CORRUPT
        return RecordState.INTACT

    def _decode_started(self, body: bytes) -> ResultRecord:
        run_id = body[DIGEST_BYTES:].decode("ascii", "replace")
        return ResultRecord(
            RecordKind.STARTED, self.key, self.arrived_at, self.retention, run_id, body[:DIGEST_BYTES]
        )

    def _decode_completed(self, body: bytes) -> ResultRecord:
        try:
            outcome = OUTCOMES_BY_CODE[body[DIGEST_BYTES]]
            is_compressed = body[DIGEST_BYTES + 1]
            result = body[RESULT_OFFSET:]
            if is_compressed:
                result = zlib.decompress(result)
        except (IndexError, KeyError, zlib.error):
            raise CorruptRecordError(self.offset) from None
        return ResultRecord(
            RecordKind.COMPLETED,
            self.key,
            self.arrived_at,
            self.retention,
            request_digest=body[:DIGEST_BYTES],
            outcome=outcome,
            result=result,
        )


def digest_request(request_class: str, body: bytes) -> bytes:
    """Return a digest of a request; a repeat with the same key must have the same digest."""
    return xxhash.xxh3_128_digest(request_class.encode() + b"\0" + body)


def checksum(raw: bytes) -> int:
    """Return the 32-bit checksum that headers and bodies use."""
    return xxhash.xxh32_intdigest(raw)


def with_checksum(header: bytes) -> bytes:
    """Return a header with its last four bytes replaced by the checksum of the bytes before."""
    content = header[: -CHECKSUM.size]
    return content + CHECKSUM.pack(checksum(content))


def encode(record: ResultRecord) -> bytes:
    """Encode a record for a segment."""
    body = _encode_body(record)
    header = RECORD_HEADER.pack(
        RECORD_MAGIC,
        record.kind.value,
        0,
        len(body),
        record.key,
        record.arrived_at,
        record.retention,
        checksum(body),
        0,
    )
    return with_checksum(header) + body


def read_fragments(raw: bytes, offset: int = 0) -> Iterator[RecordFragment]:
    """Yield fragments that cover a segment from `offset` to its end, in order and without gaps.

    Bodies are checked but not decoded: start-up reads many records, and this creates only one tuple for each.
    """
    end = len(raw)
    view = memoryview(raw)
    header_size = RECORD_HEADER.size
    unpack_header = RECORD_HEADER.unpack_from
    compute_checksum = xxhash.xxh32_intdigest
    checked_size = header_size - CHECKSUM.size  # the header's checksum covers all but itself
    intact = RecordState.INTACT
    new_fragment = partial(tuple.__new__, RecordFragment)  # skips the constructor, which is Python code
    while offset < end:
        kind = None
        if end - offset >= header_size:
            magic, code, _, body_size, key, arrived_at, retention, body_sum, header_sum = unpack_header(
                raw, offset
            )
            is_intact = (
                magic == RECORD_MAGIC and compute_checksum(view[offset : offset + checked_size]) == header_sum
            )
            if is_intact and body_size <= MAX_BODY_BYTES:
                kind = KINDS_BY_CODE.get(code)
        if kind is None:
            fragment = _unreadable_fragment(raw, offset)
            yield fragment
            offset += fragment.size
            continue
        body_offset = offset + header_size
        if body_offset + body_size > end:
            # The segment ends within the body: it was truncated or not flushed completely.
            yield RecordFragment(
                RecordState.TRUNCATED, offset, end - offset, kind, key, arrived_at, retention
            )
            return
        state = intact
        if compute_checksum(view[body_offset : body_offset + body_size]) != body_sum:
            state = RecordState.CORRUPT
        size = header_size + body_size
        yield new_fragment((state, offset, size, kind, key, arrived_at, retention))
        offset = body_offset + body_size


def _encode_body(record: ResultRecord) -> bytes:
    if record.kind is RecordKind.VOID:
        return b""
    if record.kind is RecordKind.STARTED:
        return record.request_digest + record.run_id.encode()
    result = record.result
    if len(result) > MIN_COMPRESSED_BYTES:
        result = zlib.compress(result, COMPRESSION_LEVEL)
    is_compressed = len(result) < len(record.result)
    if not is_compressed:
        result = record.result
    return record.request_digest + bytes((OUTCOME_CODES[record.outcome], is_compressed)) + result


def _unreadable_fragment(raw: bytes, offset: int) -> RecordFragment:
    """Return the fragment that reaches up to the next intact header or the end of the segment."""
    next_offset = _find_header(raw, offset + 1)
    state = RecordState.LOST
    if next_offset == len(raw) and next_offset - offset < RECORD_HEADER.size:
        state = RecordState.TRUNCATED
    return RecordFragment(state, offset, next_offset - offset)


def _find_header(raw: bytes, offset: int) -> int:
    """Return the next offset with an intact header, or the size of the segment."""
    while (offset := raw.find(RECORD_MAGIC, offset)) >= 0:
        header = raw[offset : offset + RECORD_HEADER.size]
        if len(header) == RECORD_HEADER.size and with_checksum(header) == header:
            return offset
        offset += 1
    return len(raw)
