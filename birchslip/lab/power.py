"""A disk in memory whose power can be cut: what was not flushed survives in part, page by page.

After a cut a file has any size between what was flushed and what was written, and of the pages written since
the flush any may be old (or nought) and any new. A file that was made and whose folder was not flushed may be
gone, one that was dropped may be back. Errors and full disks are played too.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field
from pathlib import Path

from ..idempotency.file_system import FileSystem

PAGE_BYTES = 512


@dataclass(eq=False)
class SimulatedFile:
    data: bytearray = field(default_factory=bytearray)
    flushed: bytes = b""
    is_directory_flushed: bool = False  # whether its folder was flushed since it was made


class SimulatedDisk(FileSystem):
    """`room` bytes fit; `fails` is what the next writes or flushes raise, -1 for good."""

    def __init__(self) -> None:
        self.files: dict[Path, SimulatedFile] = {}
        self.unflushed_deletions: dict[Path, SimulatedFile] = {}
        self.open_files: dict[int, SimulatedFile] = {}
        self.last_descriptor = 100
        self.capacity_bytes = 1 << 30
        self.failures_left = 0
        self.flush_count = 0

    def raise_injected_error(self) -> None:
        if self.failures_left:
            self.failures_left -= self.failures_left > 0
            raise OSError(errno.EIO, "Input/output error")

    def create(self, path: Path) -> int:
        self.raise_injected_error()
        if path in self.files:
            raise FileExistsError(errno.EEXIST, "File exists")
        self.last_descriptor += 1
        self.files[path] = self.open_files[self.last_descriptor] = SimulatedFile()
        return self.last_descriptor

    def write(self, descriptor: int, content: bytes) -> int:
        self.raise_injected_error()
        used_bytes = sum(len(file.data) for file in self.files.values())
        accepted = content[: max(0, self.capacity_bytes - used_bytes)]
        if content and not accepted:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.open_files[descriptor].data += accepted
        return len(accepted)

    def flush(self, descriptor: int) -> None:
        self.raise_injected_error()
        self.flush_count += 1
        self.open_files[descriptor].flushed = bytes(self.open_files[descriptor].data)

    def truncate(self, path: Path, size: int) -> None:
        file = self.files[path]
        del file.data[size:]
        file.flushed = file.flushed[:size]

    def flush_directory(self, directory: Path) -> None:
        self.raise_injected_error()
        self.unflushed_deletions.clear()
        for file in self.files.values():
            file.is_directory_flushed = True

    def read(self, path: Path) -> bytes:
        return bytes(self.files[path].data)

    def read_at(self, path: Path, offset: int, size: int) -> bytes:
        return bytes(self.files[path].data[offset : offset + size])

    def unlink(self, path: Path) -> None:
        self.unflushed_deletions[path] = self.files.pop(path)

    def list_names(self, directory: Path) -> list[str]:
        return [path.name for path in self.files]

    def close(self, descriptor: int) -> None:
        self.open_files.pop(descriptor, None)

    def kill_process(self) -> None:
        """The process is gone and the system is not: all that was written stands."""
        self.open_files.clear()

    def cut_power(self, random_source: random.Random) -> None:
        for path, file in list(self.unflushed_deletions.items()):
            if random_source.random() < 0.5:
                self.files[path] = file
        self.unflushed_deletions.clear()
        for path, file in list(self.files.items()):
            if not file.is_directory_flushed and random_source.random() < 0.5:
                del self.files[path]
                continue
            file.is_directory_flushed = True
            size = random_source.randint(len(file.flushed), len(file.data))
            old = file.flushed + bytes(max(0, size - len(file.flushed)))
            content = bytearray(old[:size])
            for offset in range(len(file.flushed) // PAGE_BYTES * PAGE_BYTES, size, PAGE_BYTES):
                if random_source.random() < 0.5:
                    content[offset : offset + PAGE_BYTES] = file.data[offset : min(size, offset + PAGE_BYTES)]
            # What was flushed is there, whatever became of the rest of its page.
            content[: len(file.flushed)] = file.flushed
            file.data, file.flushed = content, bytes(content)
        self.open_files.clear()
