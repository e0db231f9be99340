"""The files of a store: lock, owner, and failed writes."""

import pytest

from birchslip.errors import BirchslipError, StoreWriteError
from birchslip.idempotency.file_system import FileSystem
from birchslip.idempotency.record_format import RecordState, encode, read_fragments
from birchslip.idempotency.segment_files import SegmentFiles
from birchslip.idempotency.segment_header import SEGMENT_HEADER

from .result_records import key_of, started


def test_only_one_program_locks_a_store_and_another_owner_cannot(tmp_path):
    first = SegmentFiles(tmp_path, "a")
    first.lock()
    first.create_segment(1)
    with pytest.raises(StoreWriteError, match="another program") as locked:
        SegmentFiles(tmp_path, "a").lock()
    assert isinstance(locked.value, BirchslipError)
    assert isinstance(locked.value, OSError)
    assert locked.value.location == tmp_path
    first.close()
    with pytest.raises(StoreWriteError, match="belongs to another owner"):
        SegmentFiles(tmp_path, "b").lock()
    SegmentFiles(tmp_path, "a").lock()


def test_the_lock_is_released_at_the_end_of_the_context(tmp_path):
    with SegmentFiles(tmp_path, "a") as files:
        files.lock()
    with SegmentFiles(tmp_path, "a") as files:
        files.lock()


class LimitedFileSystem(FileSystem):
    """A disk that has room for only `remaining` bytes."""

    remaining = 1 << 20

    def write(self, descriptor, raw):
        if not self.remaining:
            raise OSError(28, "No space left on device")
        accepted, self.remaining = raw[: self.remaining], max(0, self.remaining - len(raw))
        return super().write(descriptor, accepted)


def test_a_write_that_fails_half_way_leaves_only_whole_records(tmp_path):
    files = SegmentFiles(tmp_path, "a", LimitedFileSystem())
    files.create_segment(1)
    record = encode(started(key_of(1)))
    files.append(record)
    files.system.remaining = 7
    with pytest.raises(OSError, match="space"):
        files.append(record)
    files.system.remaining = 1 << 20
    files.append(encode(started(key_of(2))))
    raw = files.path_of(1).read_bytes()
    states = [fragment.state for fragment in read_fragments(raw, SEGMENT_HEADER.size)]
    assert states == [RecordState.INTACT] * 2
