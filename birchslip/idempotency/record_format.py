"""The binary format of records: each has checksums of its own and is read whatever surrounds it.

A record is a header of 44 bytes, with a checksum of itself, and a body whose checksum is in the header:

    mark 2, kind 1, zero 1, body size 4, key 16, arrival 8, retention 4, checksums of body and header 4 each

A *started* record says that a run of this key may be under way; its body holds the digest of the request and
the id of the run. A *completed* record says what came of it; its body holds the digest, the outcome and the
result. The arrival is that of the request that ran, in ticks of a tenth of a millisecond of the Unix clock,
and the retention is counted from it.

What can't be read is classified by what may be concluded from it; see `RecordState`. This module must never
change a byte of a record kind that is already on disk.
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
MIN_COMPRESSED_BYTES = 256  # shorter results don't gain from compression
COMPRESSION_LEVEL = 1
DIGEST_BYTES = 16
OUTCOME_OFFSET = RECORD_HEADER.size + DIGEST_BYTES  # in a completed record
RESULT_OFFSET = DIGEST_BYTES + 2  # in the body of a completed record: after outcome and compression flag

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
    """What a record says of its key; the value is the code on disk."""

    STARTED = 1
    COMPLETED = 2
    VOID = 3  # says nothing: written to find out whether the disk accepts writes


KINDS_BY_CODE = {kind.value: kind for kind in RecordKind}


class RecordState(Enum):
    """How much of a record can be read; the value is the operators' word for it."""

    INTACT = "good"
    TRUNCATED = "torn"  # the segment ends within it: never flushed whole, so nothing rests on it
    CORRUPT = "spoilt"  # its header is intact and its body is not: its key was started, no more is known
    LOST = "lost"  # its header is not intact: keys that nobody can name may have been there


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """One decoded record.

    Attributes:
        kind: What the record says; it decides which of the other fields are set.
        key: The idempotency key, 16 bytes.
        arrived_at: When the request that ran arrived, in ticks of the Unix clock.
        retention: For how long the key is retained from then on, in ticks.
        run_id: The id of the run at the agent; of a started record.
        request_digest: The digest of the request; see `digest_request`.
        outcome: How the run ended; of a completed record.
        result: What the run returned; of a completed record.
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
        """The last arrival, in ticks, of a repeat that the record still stands for."""
        return self.arrived_at + self.retention


class RecordFragment(NamedTuple):
    """A stretch of a segment that contains one record, or what is left of one; its body is not decoded.

    The fields after `size` are those of the header, and have no meaning where `kind` is None because the
    header is not intact.
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
            raw: The bytes that the fragment was read from.

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
        """The state of the record once its body is decoded as well; `raw` as for `decode`."""
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
    """A digest of a request's content; requests with one key must agree in it."""
    return xxhash.xxh3_128_digest(request_class.encode() + b"\0" + body)


def checksum(raw: bytes) -> int:
    """The checksum of headers and bodies, 32 bits."""
    return xxhash.xxh32_intdigest(raw)


def with_checksum(header: bytes) -> bytes:
    """Replace the last four bytes of a header by the checksum of the others."""
    content = header[: -CHECKSUM.size]
    return content + CHECKSUM.pack(checksum(content))


def encode(record: ResultRecord) -> bytes:
    """Encode a record as it is stored."""
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
    """Yield everything in a segment from `offset` to its end, in order and without a gap.

    Bodies are checked and not decoded, so that a start-up that reads many records builds nothing but one
    tuple for each.
    """
    end = len(raw)
    view = memoryview(raw)
    header_size = RECORD_HEADER.size
    unpack_header = RECORD_HEADER.unpack_from
    digest = xxhash.xxh32_intdigest
    intact = RecordState.INTACT
    new_fragment = partial(tuple.__new__, RecordFragment)  # skips the constructor, which is Python code
    while offset < end:
        kind = None
        if end - offset >= header_size:
            magic, code, _, body_size, key, arrived_at, retention, body_sum, header_sum = unpack_header(
                raw, offset
            )
            is_intact = (
                magic == RECORD_MAGIC and digest(view[offset : offset + header_size - 4]) == header_sum
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
            # What follows the header is shorter than its body: the segment was cut, or never flushed.
            yield RecordFragment(
                RecordState.TRUNCATED, offset, end - offset, kind, key, arrived_at, retention
            )
            return
        state = intact
        if digest(view[body_offset : body_offset + body_size]) != body_sum:
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
    """The stretch up to the next intact header, of which nothing is known."""
    next_offset = _find_header(raw, offset + 1)
    state = RecordState.LOST
    if next_offset == len(raw) and next_offset - offset < RECORD_HEADER.size:
        state = RecordState.TRUNCATED
    return RecordFragment(state, offset, next_offset - offset)


def _find_header(raw: bytes, offset: int) -> int:
    """The next offset with an intact header, or the end."""
    while (offset := raw.find(RECORD_MAGIC, offset)) >= 0:
        header = raw[offset : offset + RECORD_HEADER.size]
        if len(header) == RECORD_HEADER.size and with_checksum(header) == header:
            return offset
        offset += 1
    return len(raw)
