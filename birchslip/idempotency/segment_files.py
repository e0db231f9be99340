"""The files of one store: a lock, and a row of segments of which only the last one is written to.

    NAME.lock             locked as long as a program has the store; holds its process id
    NAME-00000001.kept    records, in segments; the oldest has the lowest serial number

Every program starts a segment of its own. The segments before it are read, cut at a truncated end, and
deleted whole; this module must never rewrite one.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

from ..errors import StoreWriteError
from .errors import ForeignStoreError, UnsupportedVersionError
from .file_system import FileSystem
from .segment_header import (
    SEGMENT_HEADER,
    decode_segment_header,
    encode_segment_header,
)

LOCK_MODE = 0o644
SEGMENT_SUFFIX = ".kept"
SEGMENT_NAME = re.compile(r"(?P<owner>.+)-(?P<serial>[0-9]{8})\.kept")


class SegmentContent(NamedTuple):
    """A whole segment as it was read, header included."""

    serial: int
    raw: bytes


def find_owner(directory: Path) -> str:
    """Whose store is in a directory.

    Raises:
        StoreWriteError: There is no store in it, or there are several.
    """
    matches = (SEGMENT_NAME.fullmatch(path.name) for path in directory.iterdir())
    owners = sorted({match["owner"] for match in matches if match})
    if not owners:
        raise StoreWriteError(directory, "no store")
    if len(owners) > 1:
        raise StoreWriteError(directory, f"stores of {', '.join(owners)}")
    return owners[0]


class SegmentFiles:
    """The store of one owner in a directory.

    As a context manager it closes what is open, and releases the lock.

    Attributes:
        has_damaged_header: Whether the last reading found a header that is damaged, so that what the segment
            held is in doubt; complete once all segments are read.
    """

    def __init__(self, directory: Path, owner: str, system: FileSystem | None = None) -> None:
        """Open nothing yet; `system` replaces the real file system in tests."""
        self.directory = directory
        self.owner = owner
        self.system = system or FileSystem()
        self.serial = 0
        self.size = 0
        self.has_damaged_header = False
        self._descriptor: int | None = None
        self._lock_descriptor: int | None = None

    def __enter__(self) -> Self:
        """Return the files as they are."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the files, whatever was raised."""
        self.close()

    def path_of(self, serial: int) -> Path:
        """The path of a segment."""
        return self.directory / f"{self.owner}-{serial:08}{SEGMENT_SUFFIX}"

    def lock(self) -> None:
        """Create the directory if need be, and lock the store for this program.

        Raises:
            StoreWriteError: The directory can't be used, or the store is locked or of another owner.
        """
        try:
            self.directory.mkdir(parents=True, exist_ok=True)
            path = self.directory / f"{self.owner}.lock"
            self._lock_descriptor = os.open(path, os.O_CREAT | os.O_RDWR, LOCK_MODE)
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(self._lock_descriptor, 0)
            os.pwrite(self._lock_descriptor, f"{os.getpid()}\n".encode(), 0)
        except BlockingIOError:
            reason = f"another program has the store of {self.owner}"
            raise StoreWriteError(self.directory, reason) from None
        except OSError as error:
            raise StoreWriteError(self.directory, error.strerror or str(error)) from None
        self._check_owner()

    def serials(self) -> list[int]:
        """The serial numbers of all segments, oldest first."""
        matches = (SEGMENT_NAME.fullmatch(name) for name in self.system.list_names(self.directory))
        return sorted(int(match["serial"]) for match in matches if match and match["owner"] == self.owner)

    def read_segments(self) -> Iterator[SegmentContent]:
        """Yield the segments one by one, oldest first, so that only one need be in memory.

        A segment that ends within its header was just being created and holds nothing.

        Raises:
            StoreWriteError: A segment is of a later version or of another owner.
        """
        self.has_damaged_header = False
        for serial in self.serials():
            path = self.path_of(serial)
            raw = self.system.read(path)
            try:
                serial_in_header = decode_segment_header(raw, self.owner)
            except (UnsupportedVersionError, ForeignStoreError) as error:
                raise StoreWriteError(path, str(error)) from None
            if len(raw) >= SEGMENT_HEADER.size and serial_in_header != serial:
                self.has_damaged_header = True
            yield SegmentContent(serial, raw)

    def create_segment(self, serial: int) -> None:
        """Start a new segment; the one before is not written to any more."""
        self._close_segment()
        descriptor = self.system.create(self.path_of(serial))
        self._descriptor = descriptor
        self.serial = serial
        self.size = 0
        self.append(encode_segment_header(serial, self.owner))
        self.system.flush(descriptor)
        self.system.flush_directory(self.directory)

    def append(self, raw: bytes) -> int:
        """Append to the open segment and return the offset; nothing is flushed yet.

        Raises:
            OSError: The write has failed; what was written of `raw` is cut off again.
        """
        if self._descriptor is None:
            raise OSError("no file is open")
        offset = self.size
        remaining = memoryview(raw)
        try:
            while remaining:
                written = self.system.write(self._descriptor, bytes(remaining))
                remaining = remaining[written:]
        except OSError:
            with suppress(OSError):
                self.system.truncate(self.path_of(self.serial), offset)
                os.lseek(self._descriptor, offset, os.SEEK_SET)
            raise
        self.size += len(raw)
        return offset

    def flush(self) -> None:
        """Flush the open segment, if there is one."""
        if self._descriptor is not None:
            self.system.flush(self._descriptor)

    def delete_segment(self, serial: int) -> None:
        """Delete a segment."""
        self.system.unlink(self.path_of(serial))

    def close(self) -> None:
        """Close the open segment and release the lock; to call it again does nothing."""
        self._close_segment()
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def _check_owner(self) -> None:
        names = self.system.list_names(self.directory)
        segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
        if segments and not self.serials():
            raise StoreWriteError(self.directory, f"belongs to another name: {min(segments)}")

    def _close_segment(self) -> None:
        if self._descriptor is not None:
            self.system.close(self._descriptor)
            self._descriptor = None
