"""The files of one store, on the real system or a stand-in for it.

    NAME.lock             held as long as a program has the store; names its owner
    NAME-00000001.kept    records, in a row of files, the oldest with the lowest number

Every life begins a file of its own; what stands in the others is read, cut at a torn end, and dropped whole.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from .record_format import FILE, UnsupportedVersionError, file_head, read_file_head


class StoreWriteError(OSError):
    """Why a store can't be opened, in one line."""


class FileSystem:
    """What is asked of the operating system; a test puts a disk that fails in its place."""

    def create(self, path: Path) -> int:
        return os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o644)

    def write(self, descriptor: int, raw: bytes) -> int:
        return os.write(descriptor, raw)

    def flush(self, descriptor: int) -> None:
        os.fdatasync(descriptor)

    def cut(self, path: Path, size: int) -> None:
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def flush_folder(self, folder: Path) -> None:
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def read_at(self, path: Path, at: int, size: int) -> bytes:
        with path.open("rb") as file:
            file.seek(at)
            return file.read(size)

    def unlink(self, path: Path) -> None:
        path.unlink()

    def names(self, folder: Path) -> list[str]:
        return os.listdir(folder)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)


class Files:
    def __init__(self, folder: Path, name: str, system: FileSystem | None = None) -> None:
        self.folder, self.name = folder, name
        self.system = system or FileSystem()
        self.form = re.compile(re.escape(name) + r"-([0-9]{8})\.kept")
        self.descriptor: int | None = None
        self.serial = 0
        self.size = 0
        self.lock = -1
        self.doubt = False  # of the last reading: a head did not check

    def path(self, serial: int) -> Path:
        return self.folder / f"{self.name}-{serial:08}.kept"

    # ---- opening ---------------------------------------------------------------------------------------

    def hold(self) -> None:
        """The folder is this program's from now on; NotKept where it can't be."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock = os.open(self.folder / f"{self.name}.lock", os.O_CREAT | os.O_RDWR, 0o644)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(self.lock, 0)
            os.pwrite(self.lock, f"{os.getpid()}\n".encode(), 0)
        except BlockingIOError:
            raise StoreWriteError(f"{self.folder}: another program has the store of {self.name}") from None
        except OSError as trouble:
            raise StoreWriteError(f"{self.folder}: {trouble.strerror or trouble}") from None
        strangers = [one for one in self.system.names(self.folder) if one.endswith(".kept")]
        if strangers and not any(self.form.fullmatch(one) for one in strangers):
            raise StoreWriteError(f"{self.folder}: belongs to another name: {min(strangers)}")

    def serials(self) -> list[int]:
        found = (self.form.fullmatch(one) for one in self.system.names(self.folder))
        return sorted(int(match[1]) for match in found if match)

    def read_all(self) -> tuple[list[tuple[int, bytes]], bool]:
        """All files, oldest first, and whether a head did not check: what stood there is in doubt."""
        held = list(self.each())
        return held, self.doubt

    def each(self) -> Iterator[tuple[int, bytes]]:
        """The same one by one, so that no more than one need be in memory; `doubt` stands once all are read.

        One that ends within its head is one that was being made: nothing stands in it.
        """
        self.doubt = False
        for serial in self.serials():
            path = self.path(serial)
            raw = self.system.read(path)
            try:
                told = read_file_head(raw, self.name)
            except UnsupportedVersionError as trouble:
                raise StoreWriteError(f"{path}: {trouble}") from None
            except ValueError as trouble:
                raise StoreWriteError(f"{path}: {trouble}") from None
            if len(raw) >= FILE.size:
                self.doubt = self.doubt or told != serial
            yield serial, raw

    # ---- writing ---------------------------------------------------------------------------------------

    def begin(self, serial: int) -> None:
        """A new file; what came before is not written to any more."""
        if self.descriptor is not None:
            self.system.close(self.descriptor)
            self.descriptor = None
        descriptor = self.system.create(self.path(serial))
        self.descriptor, self.serial, self.size = descriptor, serial, 0
        self.append(file_head(serial, self.name))
        self.system.flush(descriptor)
        self.system.flush_folder(self.folder)

    def append(self, raw: bytes) -> int:
        """Where it stands now; not flushed yet. After an error, what was written of it is cut off again."""
        if self.descriptor is None:
            raise OSError("no file is open")
        at, left = self.size, memoryview(raw)
        try:
            while left:
                left = left[self.system.write(self.descriptor, bytes(left)) :]
        except OSError:
            with suppress(OSError):
                self.system.cut(self.path(self.serial), at)
                os.lseek(self.descriptor, at, os.SEEK_SET)
            raise
        self.size += len(raw)
        return at

    def flush(self) -> None:
        if self.descriptor is not None:
            self.system.flush(self.descriptor)

    def drop(self, serial: int) -> None:
        self.system.unlink(self.path(serial))

    def close(self) -> None:
        if self.descriptor is not None:
            self.system.close(self.descriptor)
            self.descriptor = None
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1
