"""Files of one store: a lock file and segments, of which only the last one is appended to.

    NAME.lock             locked while a program uses the store; holds its process id
    NAME-00000001.kept    a segment with records; the oldest has the lowest serial number

Every program starts a new segment. Earlier segments are read, truncated at an incomplete last record, and
deleted as a whole; this module must never rewrite one.
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
    """Serial number of a segment and its bytes, header included."""

    serial: int
    raw: bytes


def find_owner(directory: Path) -> str:
    """Return the owner of the store in a directory.

    Raises:
        StoreWriteError: There is no store in the directory, or there are several.
    """
    matches = (SEGMENT_NAME.fullmatch(path.name) for path in directory.iterdir())
    owners = sorted({match["owner"] for match in matches if match})
    if not owners:
        raise StoreWriteError(directory, "no store")
    if len(owners) > 1:
        raise StoreWriteError(directory, f"several stores, of {', '.join(owners)}")
    return owners[0]


class SegmentFiles:
    """Files of one owner's store in a directory.

    As a context manager it closes the open segment and releases the lock on exit.

    Attributes:
        directory: Directory of the files.
        owner: Name of the app server that owns the store.
        system: System calls that are used.
        serial: Serial number of the open segment; 0 if none was created.
        size: Size of the open segment in bytes.
        has_damaged_header: Whether `read_segments` found a damaged segment header, so that records may be
            missing; final once all segments are read.
    """

    def __init__(self, directory: Path, owner: str, system: FileSystem | None = None) -> None:
        """Open no file yet; `system` replaces the real file system in tests."""
        self.directory = directory
        self.owner = owner
        self.system = system or FileSystem()
        self.serial = 0
        self.size = 0
        self.has_damaged_header = False
        self._descriptor: int | None = None
        self._lock_descriptor: int | None = None

    def __enter__(self) -> Self:
        """Return this object, without opening any file."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the open segment and release the lock, also after an exception."""
        self.close()

    def path_of(self, serial: int) -> Path:
        """Return the path of a segment."""
        return self.directory / f"{self.owner}-{serial:08}{SEGMENT_SUFFIX}"

    def lock(self) -> None:
        """Create the directory if it does not exist, and lock the store for this program.

        Raises:
            StoreWriteError: The directory cannot be used, the store is locked, or it has another owner.
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
        """Return the serial numbers of all segments, oldest first."""
        matches = (SEGMENT_NAME.fullmatch(name) for name in self.system.list_names(self.directory))
        return sorted(int(match["serial"]) for match in matches if match and match["owner"] == self.owner)

    def read_segments(self) -> Iterator[SegmentContent]:
        """Yield the segments one by one, oldest first, so that only one has to be in memory.

        A segment that ends within its header was interrupted while it was created, and holds no records.

        Raises:
            StoreWriteError: A segment has a later format version or another owner.
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
        """Create and open a new segment; the previous one is closed and not appended to again."""
        self._close_segment()
        descriptor = self.system.create(self.path_of(serial))
        self._descriptor = descriptor
        self.serial = serial
        self.size = 0
        self.append(encode_segment_header(serial, self.owner))
        self.system.flush(descriptor)
        self.system.flush_directory(self.directory)

    def append(self, raw: bytes) -> int:
        """Append to the open segment without flushing it, and return the offset.

        Raises:
            OSError: The write has failed; the written part of `raw` has been truncated, if possible.
        """
        if self._descriptor is None:
            raise OSError("no segment is open")
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
        """Delete the file of the segment `serial`; the directory is not flushed."""
        self.system.unlink(self.path_of(serial))

    def close(self) -> None:
        """Close the open segment and release the lock; further calls have no effect."""
        self._close_segment()
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    def _check_owner(self) -> None:
        names = self.system.list_names(self.directory)
        segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
        if segments and not self.serials():
            raise StoreWriteError(self.directory, f"belongs to another owner: {min(segments)}")

    def _close_segment(self) -> None:
        if self._descriptor is not None:
            self.system.close(self._descriptor)
            self._descriptor = None
