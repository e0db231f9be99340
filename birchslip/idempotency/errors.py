"""Errors of the result store."""

from __future__ import annotations

from ..errors import BirchslipError


class UnsupportedVersionError(BirchslipError, ValueError):
    """A segment was written by a later version of the format; it must be left untouched.

    Attributes:
        version: The version of the segment.
        supported: The latest version that this program reads.
    """

    def __init__(self, version: int, supported: int) -> None:
        """Name both versions."""
        super().__init__(f"of version {version}, and this program reads up to {supported}")
        self.version = version
        self.supported = supported


class ForeignStoreError(BirchslipError, ValueError):
    """A segment belongs to the store of another owner.

    Attributes:
        owner: The owner that was expected.
    """

    def __init__(self, owner: str) -> None:
        """Name the owner that was expected; the other one is known only by its checksum."""
        super().__init__(f"kept by another name than {owner!r}")
        self.owner = owner


class CorruptRecordError(BirchslipError, ValueError):
    """A record can't be decoded.

    Attributes:
        offset: Where the record starts in its segment, in bytes.
    """

    def __init__(self, offset: int) -> None:
        """Name the offset of the record."""
        super().__init__(f"the record at {offset} can't be decoded")
        self.offset = offset
