"""What must survive a planner's restart, in SQLite: one row, flushed before anything is answered.

A file that is cut short, damaged or of a later version is no reason to stay away: it is put aside under
another name, and the planner comes back blank, which it then says until the others have told it what it
missed.
"""

from __future__ import annotations

import sqlite3
import zlib
from contextlib import closing
from dataclasses import astuple, fields
from pathlib import Path

from .election import DurableVote

VERSION = 1
COLUMNS = [field.name for field in fields(DurableVote)]
FORM = (
    "create table if not exists ballot (one integer primary key check (one = 1), checksum integer not null, "
    + ", ".join(COLUMNS)
    + ")"
)


class StoreWriteError(OSError):
    """What had to be flushed could not be: nothing may be answered that rests on it."""


def checksum(durable: DurableVote) -> int:
    return zlib.crc32(repr(astuple(durable)).encode())


class ElectionStore:
    """One planner's file. `trouble` says why an earlier one was put aside, if one was."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"{name}.planner"
        self.damage = ""
        folder.mkdir(parents=True, exist_ok=True)
        try:
            self.connection = self.open()
            self.vote = self.load()
        except sqlite3.OperationalError as trouble:
            raise StoreWriteError(f"{self.path}: {trouble}") from None
        except (sqlite3.DatabaseError, ValueError) as trouble:
            self.damage = str(trouble)
            self.put_aside()
            self.connection = self.open()
            self.vote = DurableVote()

    def open(self) -> sqlite3.Connection:
        link = sqlite3.connect(self.path, isolation_level=None, timeout=0)
        try:
            # Held for as long as it lives: a second planner of this name is refused at its start.
            link.execute("pragma locking_mode = exclusive")
            link.execute("pragma journal_mode = wal")
            link.execute("pragma synchronous = full")
            (version,) = link.execute("pragma user_version").fetchone()
            if version not in (0, VERSION):
                raise ValueError(f"version {version}, and {VERSION} is the latest known")
            link.execute("begin exclusive")
            link.execute(FORM)
            link.execute(f"pragma user_version = {VERSION}")
            link.execute("commit")
        except BaseException:
            link.close()
            raise
        return link

    def load(self) -> DurableVote:
        with closing(self.connection.execute(f"select checksum, {', '.join(COLUMNS)} from ballot")) as rows:
            row = rows.fetchone()
        if row is None:
            return DurableVote()
        durable = DurableVote(*row[1:])
        durable.is_blank = bool(durable.is_blank)
        if row[0] != checksum(durable):
            self.connection.close()
            raise ValueError("the row does not match its checksum")
        return durable

    def save(self, durable: DurableVote) -> None:
        """On the disk when it returns; Unkept where that could not be."""
        marks = ", ".join("?" * (len(COLUMNS) + 2))
        try:
            self.connection.execute(
                f"insert or replace into ballot values ({marks})", (1, checksum(durable), *astuple(durable))
            )
        except sqlite3.Error as trouble:
            raise StoreWriteError(f"{self.path}: {trouble}") from None

    def put_aside(self) -> None:
        for tail in ("", "-wal", "-shm"):
            path = Path(f"{self.path}{tail}")
            if path.exists():
                path.replace(f"{self.path}.damaged{tail}")

    def close(self) -> None:
        self.connection.close()
