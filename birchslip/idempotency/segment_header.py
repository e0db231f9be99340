"""The header of a segment file: which version wrote it, for which owner, and its place in the row."""

from __future__ import annotations

import struct

import xxhash

from .errors import ForeignStoreError, UnsupportedVersionError
from .record_format import CHECKSUM, checksum, with_checksum

SEGMENT_HEADER = struct.Struct("<8sHHIQI")  # mark, version, zero, serial, checksum of owner, checksum
SEGMENT_MAGIC = b"bslpkeep"
FORMAT_VERSION = 1


def encode_segment_header(serial: int, owner: str) -> bytes:
    """Encode the header of the segment `serial` in the store of `owner`."""
    return with_checksum(
        SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, serial, _checksum_owner(owner), 0)
    )


def decode_segment_header(raw: bytes, owner: str) -> int | None:
    """The serial number in a segment's header, or None where the header is cut short or damaged.

    Raises:
        UnsupportedVersionError: The segment was written by a later version.
        ForeignStoreError: The segment is not of `owner`.
    """
    header = raw[: SEGMENT_HEADER.size]
    if len(header) < SEGMENT_HEADER.size:
        return None
    magic, version, _, serial, owner_sum, header_sum = SEGMENT_HEADER.unpack(header)
    if magic != SEGMENT_MAGIC or checksum(header[: -CHECKSUM.size]) != header_sum:
        return None
    if version > FORMAT_VERSION:
        raise UnsupportedVersionError(version, FORMAT_VERSION)
    if owner_sum != _checksum_owner(owner):
        raise ForeignStoreError(owner)
    return int(serial)


def _checksum_owner(owner: str) -> int:
    return xxhash.xxh3_64_intdigest(owner.encode())
