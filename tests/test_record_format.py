"""The binary format of records and segment headers: encoded data is decoded, and damage is classified."""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from birchslip.admission.types import Outcome
from birchslip.errors import StoreWriteError
from birchslip.idempotency.errors import (
    CorruptRecordError,
    ForeignStoreError,
    UnsupportedVersionError,
)
from birchslip.idempotency.record_format import (
    OUTCOME_CODES,
    RecordKind,
    RecordState,
    ResultRecord,
    checksum,
    encode,
    read_fragments,
)
from birchslip.idempotency.segment_files import SegmentFiles
from birchslip.idempotency.segment_header import (
    FORMAT_VERSION,
    decode_segment_header,
    encode_segment_header,
)

from .result_records import key_of, started


@given(
    st.binary(min_size=16, max_size=16),
    st.integers(0, 2**60),
    st.integers(0, 2**31),
    st.binary(max_size=6_000),
    st.sampled_from(list(Outcome)),
)
@settings(max_examples=100, deadline=None)
def test_decoding_restores_the_encoded_records(key, arrived_at, retention, result, outcome):
    started_record = ResultRecord(
        RecordKind.STARTED, key, arrived_at, retention, "0123456789abcdef", request_digest=b"x" * 16
    )
    completed_record = ResultRecord(
        RecordKind.COMPLETED,
        key,
        arrived_at,
        retention,
        request_digest=b"y" * 16,
        outcome=outcome,
        result=result,
    )
    raw = encode(started_record) + encode(completed_record)
    fragments = list(read_fragments(raw))
    assert [fragment.decode(raw) for fragment in fragments] == [started_record, completed_record]
    assert {fragment.state for fragment in fragments} == {RecordState.INTACT}


@given(st.binary(max_size=400))
@settings(max_examples=300, deadline=None)
def test_fragments_cover_arbitrary_bytes_without_gaps(raw):
    fragments = list(read_fragments(raw))
    assert sum(fragment.size for fragment in fragments) == len(raw)
    assert not any(fragment.state is RecordState.INTACT for fragment in fragments)


def flip_byte(raw, offset):
    return raw[:offset] + bytes([raw[offset] ^ 1]) + raw[offset + 1 :]


RECORD = encode(started(key_of(1)))


@pytest.mark.parametrize(
    ("raw", "state"),
    [
        (RECORD, RecordState.INTACT),
        (RECORD[:20], RecordState.TRUNCATED),
        (RECORD[:-1], RecordState.TRUNCATED),
        (flip_byte(RECORD, len(RECORD) - 1), RecordState.CORRUPT),
        (flip_byte(RECORD, 5), RecordState.LOST),
    ],
    ids=["intact", "within the header", "within the body", "body damaged", "header damaged"],
)
def test_damage_is_classified_and_only_an_intact_record_is_decoded(raw, state):
    (fragment,) = read_fragments(raw)
    assert (fragment.state, fragment.decoded_state(raw)) == (state, state)
    if state is RecordState.INTACT:
        assert fragment.decode(raw) == started(key_of(1))
        return
    with pytest.raises(CorruptRecordError):
        fragment.decode(raw)


def test_a_completed_record_with_an_undecodable_body_counts_as_corrupt_once_decoded():
    raw = encode(
        ResultRecord(RecordKind.STARTED, key_of(1), 0, 0, run_id="\x7f\x00", request_digest=b"d" * 16)
    )
    header = bytearray(raw[:44])
    header[2] = RecordKind.COMPLETED.value
    header[-4:] = struct.pack("<I", checksum(bytes(header[:-4])))
    raw = bytes(header) + raw[44:]
    (fragment,) = read_fragments(raw)
    assert fragment.state is RecordState.INTACT
    assert fragment.decoded_state(raw) is RecordState.CORRUPT


def test_every_outcome_has_a_code_of_its_own():
    assert set(OUTCOME_CODES) == set(Outcome)
    assert sorted(OUTCOME_CODES.values()) == list(range(len(Outcome)))


def later_version_header():
    raw = bytearray(encode_segment_header(1, "a"))
    raw[8:10] = struct.pack("<H", FORMAT_VERSION + 1)
    raw[-4:] = struct.pack("<I", checksum(bytes(raw[:-4])))
    return bytes(raw)


def test_a_store_of_a_later_version_is_rejected_and_left_unchanged(tmp_path):
    raw = later_version_header()
    path = tmp_path / "a-00000001.kept"
    path.write_bytes(raw)
    with pytest.raises(StoreWriteError, match="of version 2"):
        list(SegmentFiles(tmp_path, "a").read_segments())
    assert path.read_bytes() == raw


def test_a_segment_header_holds_its_serial_version_and_owner():
    assert decode_segment_header(encode_segment_header(7, "a"), "a") == 7
    assert decode_segment_header(encode_segment_header(7, "a")[:-1], "a") is None
    with pytest.raises(UnsupportedVersionError) as unsupported:
        decode_segment_header(later_version_header(), "a")
    assert (unsupported.value.version, unsupported.value.supported) == (2, 1)
    with pytest.raises(ForeignStoreError):
        decode_segment_header(encode_segment_header(7, "a"), "b")
