"""The system calls that the store makes, gathered so that a test can put a disk that fails in their place."""

from __future__ import annotations

import os
from pathlib import Path

NEW_FILE_MODE = 0o644


class FileSystem:
    """The real file system; every method raises OSError as the call below it does."""

    def create(self, path: Path) -> int:
        """Create a file that must not exist, and return its descriptor."""
        return os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, NEW_FILE_MODE)

    def write(self, descriptor: int, raw: bytes) -> int:
        """Write some of `raw` and return how many bytes were written."""
        return os.write(descriptor, raw)

    def flush(self, descriptor: int) -> None:
        """Flush the data of a file to the disk."""
        os.fdatasync(descriptor)

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to `size` bytes, and flush it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def flush_directory(self, directory: Path) -> None:
        """Flush the entries of a directory, so that new files in it survive a power failure."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes:
        """Read a whole file."""
        return path.read_bytes()

    def read_at(self, path: Path, offset: int, size: int) -> bytes:
        """Read up to `size` bytes from `offset` on."""
        with path.open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def unlink(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()

    def list_names(self, directory: Path) -> list[str]:
        """The names of the files in a directory."""
        return os.listdir(directory)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)
