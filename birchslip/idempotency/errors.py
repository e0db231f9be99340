"""Errors of the result store."""

from __future__ import annotations

from ..errors import BirchslipError


class UnsupportedVersionError(BirchslipError, ValueError):
    """A segment was written in a later version of the format and must not be changed.

    Attributes:
        version: The format version of the segment.
        supported: The latest format version that this program reads.
    """

    def __init__(self, version: int, supported: int) -> None:
        """State both versions in the message."""
        super().__init__(f"segment of version {version}, but this program reads versions up to {supported}")
        self.version = version
        self.supported = supported


class ForeignStoreError(BirchslipError, ValueError):
    """A segment belongs to the store of a different owner.

    Attributes:
        owner: The expected owner.
    """

    def __init__(self, owner: str) -> None:
        """State the expected owner in the message; of the actual one the segment only holds a checksum."""
        super().__init__(f"segment does not belong to {owner!r}")
        self.owner = owner


class CorruptRecordError(BirchslipError, ValueError):
    """A record cannot be decoded.

    Attributes:
        offset: Offset of the record in its segment, in bytes.
    """

    def __init__(self, offset: int) -> None:
        """State the offset in the message."""
        super().__init__(f"the record at offset {offset} cannot be decoded")
        self.offset = offset
