"""Records and helpers shared by the tests of the result store."""

from birchslip.admission.types import SECOND, Outcome
from birchslip.idempotency.record_format import RecordKind, ResultRecord, encode
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import RetentionBudget
from birchslip.idempotency.segment_files import SegmentContent
from birchslip.idempotency.segment_header import encode_segment_header

NOW = 10**13  # times are in tenths of a millisecond
RETENTION = 17 * SECOND
DIGEST = b"d" * 16
OWNER = "x"


def key_of(number):
    """Return the 16-byte key with this number."""
    return number.to_bytes(16)


def started(key, arrived_at=NOW, run_id=None):
    """Build the record of a started run; its id is by default derived from the key."""
    return ResultRecord(
        RecordKind.STARTED, key, arrived_at, RETENTION, run_id or key.hex()[:16], request_digest=DIGEST
    )


def completed(key, arrived_at=NOW, outcome=Outcome.SERVED, result=None):
    """Build the record of a completed run; its result is by default derived from the key."""
    return ResultRecord(
        RecordKind.COMPLETED,
        key,
        arrived_at,
        RETENTION,
        request_digest=DIGEST,
        outcome=outcome,
        result=b"of " + key if result is None else result,
    )


# Three keys with their results, and one that was only started.
STORED_RECORDS = [
    encode(record) for n in range(3) for record in (started(key_of(n)), completed(key_of(n)))
] + [encode(started(key_of(3)))]


def recover_segments(contents, now=NOW):
    """Recover a store from segments with serial numbers from 1, and return it.

    Each of `contents` holds the encoded records of one segment, without its header.
    """
    segments = [
        SegmentContent(serial, encode_segment_header(serial, OWNER) + raw)
        for serial, raw in enumerate(contents, 1)
    ]
    return recover(segments, RetentionBudget(10**6, 1 << 30, SECOND), now, RETENTION, len(segments))
