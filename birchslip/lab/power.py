"""A simulated disk whose power can be cut: unflushed data survives only in part, page by page.

After a power cut a file has any size between its flushed and its written size, and each page written since
the flush may have its old (or zero) or its new content. A file that was created without a flush of its
directory may be missing, and one that was deleted may be back. Errors and full disks are simulated as well.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field
from pathlib import Path

from ..idempotency.file_system import FileSystem

PAGE_BYTES = 512
# Probability that a power cut keeps an unflushed page, or undoes an unflushed creation or deletion.
POWER_CUT_PROBABILITY = 0.5


@dataclass(eq=False)
class SimulatedFile:
    """A file: its written content, its flushed content and whether its directory entry is flushed."""

    data: bytearray = field(default_factory=bytearray)
    flushed: bytes = b""
    is_directory_flushed: bool = False


class SimulatedDisk(FileSystem):
    """An in-memory file system with power cuts, injected errors and a bounded capacity.

    Attributes:
        capacity_bytes: Bytes that fit on the disk.
        failures_left: Number of coming operations that fail with EIO; negative for all.
        flush_count: Number of flushes so far.
    """

    def __init__(self) -> None:
        """Create an empty disk."""
        self.files: dict[Path, SimulatedFile] = {}
        self.unflushed_deletions: dict[Path, SimulatedFile] = {}
        self.open_files: dict[int, SimulatedFile] = {}
        self.last_descriptor = 100
        self.capacity_bytes = 1 << 30
        self.failures_left = 0
        self.flush_count = 0

    def raise_injected_error(self) -> None:
        """Fail if an error is injected.

        Raises:
            OSError: EIO while `failures_left` is not 0.
        """
        if self.failures_left:
            self.failures_left -= self.failures_left > 0
            raise OSError(errno.EIO, "Input/output error")

    def create(self, path: Path) -> int:
        """Create a file and return its descriptor."""
        self.raise_injected_error()
        if path in self.files:
            raise FileExistsError(errno.EEXIST, "File exists")
        self.last_descriptor += 1
        self.files[path] = self.open_files[self.last_descriptor] = SimulatedFile()
        return self.last_descriptor

    def write(self, descriptor: int, raw: bytes) -> int:
        """Append as much as fits and return the number of bytes written.

        Raises:
            OSError: ENOSPC if nothing fits, or an injected error.
        """
        self.raise_injected_error()
        used_bytes = sum(len(file.data) for file in self.files.values())
        accepted = raw[: max(0, self.capacity_bytes - used_bytes)]
        if raw and not accepted:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.open_files[descriptor].data += accepted
        return len(accepted)

    def flush(self, descriptor: int) -> None:
        """Make the written content of a file durable."""
        self.raise_injected_error()
        self.flush_count += 1
        self.open_files[descriptor].flushed = bytes(self.open_files[descriptor].data)

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file to `size` bytes."""
        file = self.files[path]
        del file.data[size:]
        file.flushed = file.flushed[:size]

    def flush_directory(self, directory: Path) -> None:
        """Make creations and deletions of files durable."""
        self.raise_injected_error()
        self.unflushed_deletions.clear()
        for file in self.files.values():
            file.is_directory_flushed = True

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return bytes(self.files[path].data)

    def read_at(self, path: Path, offset: int, size: int) -> bytes:
        """Return up to `size` bytes of a file from `offset` on."""
        return bytes(self.files[path].data[offset : offset + size])

    def unlink(self, path: Path) -> None:
        """Delete a file; it can come back until its directory is flushed."""
        self.unflushed_deletions[path] = self.files.pop(path)

    def list_names(self, directory: Path) -> list[str]:
        """Return the names of all files."""
        return [path.name for path in self.files]

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        self.open_files.pop(descriptor, None)

    def kill_process(self) -> None:
        """End the process but not the system: all written data survives."""
        self.open_files.clear()

    def cut_power(self, random_source: random.Random) -> None:
        """Cut the power: unflushed data, creations and deletions survive at random."""
        for path, file in list(self.unflushed_deletions.items()):
            if random_source.random() < POWER_CUT_PROBABILITY:
                self.files[path] = file
        self.unflushed_deletions.clear()
        for path, file in list(self.files.items()):
            if not file.is_directory_flushed and random_source.random() < POWER_CUT_PROBABILITY:
                del self.files[path]
                continue
            file.is_directory_flushed = True
            size = random_source.randint(len(file.flushed), len(file.data))
            old = file.flushed + bytes(max(0, size - len(file.flushed)))
            content = bytearray(old[:size])
            for offset in range(len(file.flushed) // PAGE_BYTES * PAGE_BYTES, size, PAGE_BYTES):
                if random_source.random() < POWER_CUT_PROBABILITY:
                    content[offset : offset + PAGE_BYTES] = file.data[offset : min(size, offset + PAGE_BYTES)]
            # Flushed content survives even if the rest of its page does not.
            content[: len(file.flushed)] = file.flushed
            file.data, file.flushed = content, bytes(content)
        self.open_files.clear()
