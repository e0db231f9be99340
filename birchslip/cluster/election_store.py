"""Storage of a planner's durable vote: an SQLite file with one row, flushed before any response is sent.

A file that is truncated, damaged or of a later version does not stop the planner from starting: the file is
renamed and the planner starts blank, until the other planners have sent the state that it lacks. The table's
name, its columns and the checksum are a stored format and must not change.
"""

from __future__ import annotations

import sqlite3
import zlib
from contextlib import closing
from dataclasses import astuple
from pathlib import Path

from ..errors import BirchslipError, StoreWriteError
from .durable_vote import DurableVote

VERSION = 1
# In the order of the fields of `DurableVote`.
COLUMNS = (
    "life",
    "promised",
    "promised_to",
    "promised_mark",
    "state_epoch",
    "state_number",
    "state",
    "blank",
    "seen",
)
COLUMN_LIST = ", ".join(COLUMNS)
CREATE_TABLE = (
    "create table if not exists ballot "
    f"(one integer primary key check (one = 1), checksum integer not null, {COLUMN_LIST})"
)
SELECT_ROW = f"select checksum, {COLUMN_LIST} from ballot"
PLACEHOLDERS = ", ".join("?" * (len(COLUMNS) + 2))
REPLACE_ROW = f"insert or replace into ballot values ({PLACEHOLDERS})"
ROW_KEY = 1
DATABASE_FILE_SUFFIXES = ("", "-wal", "-shm")  # database, write-ahead log, shared memory


class DamagedStoreError(BirchslipError, ValueError):
    """The file can be read but does not contain a valid vote of this version."""


def checksum(vote: DurableVote) -> int:
    """Return the checksum that is stored beside a vote."""
    return zlib.crc32(repr(astuple(vote)).encode())


class ElectionStore:
    """One planner's vote file, locked while it is open.

    Attributes:
        path: Path of the file.
        vote: The vote that was stored in the file; blank if there was none.
        damage: Why an earlier file was renamed; empty if none was.
    """

    def __init__(self, folder: Path, name: str) -> None:
        """Open or create the file `NAME.planner` in `folder`.

        Raises:
            StoreWriteError: If the file can't be written, or another planner of this name has locked it.
        """
        self.path = folder / f"{name}.planner"
        self.damage = ""
        folder.mkdir(parents=True, exist_ok=True)
        try:
            self.connection = self.open()
            self.vote = self.load()
        except sqlite3.OperationalError as error:
            raise StoreWriteError(self.path, str(error)) from None
        except (sqlite3.DatabaseError, DamagedStoreError, ValueError) as error:
            self.damage = str(error)
            self.set_aside()
            self.connection = self.open()
            self.vote = DurableVote()

    def __enter__(self) -> ElectionStore:
        """Return the open store."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def open(self) -> sqlite3.Connection:
        """Open the file with an exclusive lock and create its table.

        Raises:
            DamagedStoreError: If the file is of another version.
            sqlite3.Error: If the file is locked, damaged or not writable.
        """
        connection = sqlite3.connect(self.path, isolation_level=None, timeout=0)
        try:
            # The lock lasts as long as the connection, so that a second planner of this name can't start.
            connection.execute("pragma locking_mode = exclusive")
            connection.execute("pragma journal_mode = wal")
            connection.execute("pragma synchronous = full")
            (version,) = connection.execute("pragma user_version").fetchone()
            if version not in (0, VERSION):
                raise DamagedStoreError(f"the file has version {version}, the latest known is {VERSION}")
            connection.execute("begin exclusive")
            connection.execute(CREATE_TABLE)
            connection.execute(f"pragma user_version = {VERSION}")
            connection.execute("commit")
        except BaseException:
            connection.close()
            raise
        return connection

    def load(self) -> DurableVote:
        """Read the stored vote; return a blank one if none is stored.

        Raises:
            DamagedStoreError: If the row does not match its checksum; the file is closed then.
            sqlite3.Error: If the row can't be read.
        """
        with closing(self.connection.execute(SELECT_ROW)) as rows:
            row = rows.fetchone()
        if row is None:
            return DurableVote()
        stored_checksum, *columns = row
        vote = DurableVote(*columns)
        vote.is_blank = bool(vote.is_blank)
        if stored_checksum != checksum(vote):
            self.connection.close()
            raise DamagedStoreError("the row does not match its checksum")
        return vote

    def save(self, vote: DurableVote) -> None:
        """Write the vote and flush it to the disk.

        Raises:
            StoreWriteError: If the vote could not be written.
        """
        try:
            self.connection.execute(REPLACE_ROW, (ROW_KEY, checksum(vote), *astuple(vote)))
        except sqlite3.Error as error:
            raise StoreWriteError(self.path, str(error)) from None

    def set_aside(self) -> None:
        """Rename the files of the database to `*.damaged*`, so that a new one can be created."""
        for suffix in DATABASE_FILE_SUFFIXES:
            path = Path(f"{self.path}{suffix}")
            if path.exists():
                path.replace(f"{self.path}.damaged{suffix}")

    def close(self) -> None:
        """Close the file and release its lock."""
        self.connection.close()
