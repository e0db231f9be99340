"""Header of a segment file: format version, owner and serial number."""

from __future__ import annotations

import struct

import xxhash

from .errors import ForeignStoreError, UnsupportedVersionError
from .record_format import CHECKSUM, checksum, with_checksum

SEGMENT_HEADER = struct.Struct("<8sHHIQI")  # magic, version, zero, serial, checksum of owner, checksum
SEGMENT_MAGIC = b"bslpkeep"
FORMAT_VERSION = 1


def encode_segment_header(serial: int, owner: str) -> bytes:
    """Encode the header of a segment."""
    return with_checksum(
        SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, serial, _checksum_owner(owner), 0)
    )


def decode_segment_header(raw: bytes, owner: str) -> int | None:
    """Return the serial number from a segment's header, or None if the header is cut short or damaged.

    Raises:
        UnsupportedVersionError: The segment has a later format version.
        ForeignStoreError: The segment does not belong to `owner`.
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
