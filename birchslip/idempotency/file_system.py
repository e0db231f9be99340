"""The system calls of the store, in one class so that tests can replace it by a simulated failing disk."""

from __future__ import annotations

import os
from pathlib import Path

NEW_FILE_MODE = 0o644


class FileSystem:
    """The real file system; every method raises the OSError of the system call that fails."""

    def create(self, path: Path) -> int:
        """Create a file that must not exist, and return its descriptor."""
        return os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, NEW_FILE_MODE)

    def write(self, descriptor: int, raw: bytes) -> int:
        """Write a prefix of `raw`, possibly all of it, and return its length in bytes."""
        return os.write(descriptor, raw)

    def flush(self, descriptor: int) -> None:
        """Flush the data of an open file to the disk."""
        os.fdatasync(descriptor)

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to `size` bytes and flush it."""
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def flush_directory(self, directory: Path) -> None:
        """Flush the entries of a directory, so that files created in it survive a power failure."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes:
        """Read a whole file."""
        return path.read_bytes()

    def read_at(self, path: Path, offset: int, size: int) -> bytes:
        """Read up to `size` bytes that start at `offset`."""
        with path.open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def unlink(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()

    def list_names(self, directory: Path) -> list[str]:
        """Return the names of the files in a directory."""
        return os.listdir(directory)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)
