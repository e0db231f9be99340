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

PAGE = 512


@dataclass(eq=False)
class Held:
    data: bytearray = field(default_factory=bytearray)
    flushed: bytes = b""
    named: bool = False  # whether its folder was flushed since it was made


class Memory(FileSystem):
    """`room` bytes fit; `fails` is what the next writes or flushes raise, -1 for good."""

    def __init__(self) -> None:
        self.files: dict[Path, Held] = {}
        self.dropped: dict[Path, Held] = {}
        self.open: dict[int, Held] = {}
        self.number = 100
        self.room = 1 << 30
        self.fails = 0
        self.flushes = 0

    def trouble(self) -> None:
        if self.fails:
            self.fails -= self.fails > 0
            raise OSError(errno.EIO, "Input/output error")

    def create(self, path: Path) -> int:
        self.trouble()
        if path in self.files:
            raise FileExistsError(errno.EEXIST, "File exists")
        self.number += 1
        self.files[path] = self.open[self.number] = Held()
        return self.number

    def write(self, descriptor: int, raw: bytes) -> int:
        self.trouble()
        held = sum(len(one.data) for one in self.files.values())
        some = raw[: max(0, self.room - held)]
        if raw and not some:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.open[descriptor].data += some
        return len(some)

    def flush(self, descriptor: int) -> None:
        self.trouble()
        self.flushes += 1
        self.open[descriptor].flushed = bytes(self.open[descriptor].data)

    def truncate(self, path: Path, size: int) -> None:
        held = self.files[path]
        del held.data[size:]
        held.flushed = held.flushed[:size]

    def flush_directory(self, directory: Path) -> None:
        self.trouble()
        self.dropped.clear()
        for held in self.files.values():
            held.named = True

    def read(self, path: Path) -> bytes:
        return bytes(self.files[path].data)

    def read_at(self, path: Path, offset: int, size: int) -> bytes:
        return bytes(self.files[path].data[offset : offset + size])

    def unlink(self, path: Path) -> None:
        self.dropped[path] = self.files.pop(path)

    def list_names(self, directory: Path) -> list[str]:
        return [path.name for path in self.files]

    def close(self, descriptor: int) -> None:
        self.open.pop(descriptor, None)

    def kill(self) -> None:
        """The process is gone and the system is not: all that was written stands."""
        self.open.clear()

    def cut_power(self, chance: random.Random) -> None:
        for path, held in list(self.dropped.items()):
            if chance.random() < 0.5:
                self.files[path] = held
        self.dropped.clear()
        for path, held in list(self.files.items()):
            if not held.named and chance.random() < 0.5:
                del self.files[path]
                continue
            held.named = True
            size = chance.randint(len(held.flushed), len(held.data))
            old = held.flushed + bytes(max(0, size - len(held.flushed)))
            made = bytearray(old[:size])
            for at in range(len(held.flushed) // PAGE * PAGE, size, PAGE):
                if chance.random() < 0.5:
                    made[at : at + PAGE] = held.data[at : min(size, at + PAGE)]
            # What was flushed is there, whatever became of the rest of its page.
            made[: len(held.flushed)] = held.flushed
            held.data, held.flushed = made, bytes(made)
        self.open.clear()
