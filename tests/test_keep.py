"""Kept results, without a program: the form of records, index, bounds, states of the disk, and recovery."""

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchslip.admission.types import Outcome
from birchslip.idempotency.disk import PROBE_FIRST, Disk, State
from birchslip.idempotency.files import Files, FileSystem, StoreWriteError
from birchslip.idempotency.index import UNKNOWN, Index
from birchslip.idempotency.record_format import (
    FILE,
    VERSION,
    RecordKind,
    ResultRecord,
    ScanOutcome,
    encode,
    file_head,
    pieces,
    read_file_head,
)
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import CLOSING, FILES, SECOND, RetentionBudget
from birchslip.lab.power import Memory

NOW = 10**13
WINDOW = 17 * SECOND
FOLDER = Path("/nowhere")


def begun(label, stamp=NOW, run=None):
    return ResultRecord(RecordKind.BEGUN, label, stamp, WINDOW, run or label.hex()[:16], b"d" * 16)


def concluded(label, stamp=NOW, outcome=Outcome.SERVED, result=None):
    result = b"of " + label if result is None else result
    return ResultRecord(
        RecordKind.CONCLUDED, label, stamp, WINDOW, digest=b"d" * 16, outcome=outcome, result=result
    )


def label(n):
    return n.to_bytes(16)


def read(raws, now=NOW, ledger=None):
    ledger = ledger or RetentionBudget(10**6, 1 << 30, SECOND)
    files = [(n, file_head(n, "x") + raw) for n, raw in enumerate(raws, 1)]
    return recover(files, ledger, now, WINDOW, FILE.size, max(serial for serial, _ in files))


# ---- the form ---------------------------------------------------------------------------------------------


@given(
    some.binary(min_size=16, max_size=16),
    some.integers(0, 2**60),
    some.integers(0, 2**31),
    some.binary(max_size=6_000),
    some.sampled_from(list(Outcome)),
)
@settings(max_examples=100, deadline=None)
def test_what_is_written_is_read(name, stamp, span, result, outcome):
    first = ResultRecord(RecordKind.BEGUN, name, stamp, span, "0123456789abcdef", b"x" * 16)
    second = ResultRecord(
        RecordKind.CONCLUDED, name, stamp, span, digest=b"y" * 16, outcome=outcome, result=result
    )
    found = list(pieces(encode(first) + encode(second)))
    assert [piece.entry for piece in found] == [first, second]
    assert {piece.found for piece in found} == {ScanOutcome.GOOD}


@given(some.binary(max_size=400))
@settings(max_examples=300, deadline=None)
def test_whatever_stands_there_is_read_to_its_end(raw):
    found = list(pieces(raw))
    assert sum(piece.size for piece in found) == len(raw)
    assert not any(piece.found is ScanOutcome.GOOD for piece in found)


STORE = [encode(one) for n in range(3) for one in (begun(label(n)), concluded(label(n)))] + [
    encode(begun(label(3)))
]


def test_a_store_cut_anywhere_is_its_whole_records_and_no_more():
    raw = b"".join(STORE)
    ends = [sum(map(len, STORE[:n])) for n in range(len(STORE) + 1)]
    for size in range(len(raw) + 1):
        made = read([raw[:size]])
        whole = sum(end <= size for end in ends) - 1
        known = {label(n // 2): n % 2 for n in range(whole)}  # the last record of each that is whole
        for name, last in known.items():
            where = made.index.get(name, NOW)
            assert where is not None and (where == UNKNOWN) == (not last)
        assert not made.doubt and made.unknown == sum(not last for last in known.values())
        assert (made.cut is not None) == (size not in ends)


def test_a_flipped_byte_never_frees_a_label_and_never_tells_another_result():
    raw = file_head(1, "x") + b"".join(STORE)
    for at in range(len(raw)):
        spoilt = bytearray(raw)
        spoilt[at] ^= 0x41
        told = read_file_head(bytes(spoilt), "x") if at >= FILE.size else None
        made = recover([(1, bytes(spoilt))], RetentionBudget(99, 1 << 20, SECOND), NOW, WINDOW, FILE.size, 1)
        for n in range(4):
            where = made.index.get(label(n), NOW)
            if where is None:
                assert made.doubt
            elif where != UNKNOWN:
                piece = next(pieces(bytes(spoilt), where & 0xFFFFFFFF))
                assert piece.entry == concluded(label(n))
        assert at < FILE.size or told == 1


@pytest.mark.parametrize(
    ("records", "unknown", "known", "doubt"),
    [
        ([[begun(label(1))]], [1], [], False),
        ([[begun(label(1)), concluded(label(1))]], [], [1], False),
        ([[begun(label(1))], [concluded(label(1))]], [], [1], False),
        ([[begun(label(1)), concluded(label(1), outcome=Outcome.SUPERSEDED)]], [], [], False),
        (
            [[begun(label(1)), concluded(label(1), outcome=Outcome.SUPERSEDED), begun(label(1))]],
            [1],
            [],
            False,
        ),
        ([[begun(label(1), NOW - 2 * WINDOW)]], [], [], False),
        ([[begun(label(1), NOW + 10 * WINDOW)]], [1], [], False),  # the clock was set back since
    ],
    ids=["begun", "concluded", "over two files", "never ran", "again", "over", "clock set back"],
)
def test_what_a_label_is_after_its_records(records, unknown, known, doubt):
    made = read([b"".join(map(encode, file)) for file in records])
    found = {n: made.index.get(label(n), NOW) for n in (1,)}
    assert [n for n, where in found.items() if where == UNKNOWN] == unknown
    assert [n for n, where in found.items() if where not in (None, UNKNOWN)] == known
    assert made.doubt is doubt and len(made.runs) == len(unknown)


def test_a_clock_that_was_set_back_keeps_nothing_for_longer_than_a_window_from_now():
    made = read([encode(begun(label(1), NOW + 1_000 * WINDOW))])
    assert made.index.get(label(1), NOW + WINDOW) == UNKNOWN
    assert made.index.get(label(1), NOW + WINDOW + 1) is None


def test_a_missing_file_and_a_torn_end_before_the_last_file_are_doubt():
    assert read([b"".join(STORE)[:-3], encode(begun(label(9)))]).doubt
    files = [(1, file_head(1, "x")), (3, file_head(3, "x"))]
    assert recover(files, RetentionBudget(9, 1 << 20, 0), NOW, WINDOW, FILE.size, max(files)[0]).doubt


# ---- the index --------------------------------------------------------------------------------------------


@given(some.lists(some.tuples(some.integers(0, 40), some.integers(1, 60), some.integers(0, 9)), max_size=120))
@settings(max_examples=100, deadline=None)
def test_the_index_finds_what_a_dict_would(steps):
    index, plain = Index(), {}
    for number, seconds, where in steps:
        name = (number * 2**64).to_bytes(16)  # halves alike, to meet
        index.put(name, seconds, where)
        plain[name] = (seconds, where)
    for name, (seconds, where) in plain.items():
        assert index.get(name, seconds) == where
        assert index.get(name, seconds + 1) is None  # a tenth of a millisecond later
    assert len(index) == len(plain)
    index.grow(30)
    assert {name for name, _, _ in index.items(0)} == {n for n, (end, _) in plain.items() if end >= 30}


# ---- bounds -----------------------------------------------------------------------------------------------


def test_a_full_store_says_when_room_comes_and_throws_nothing_away():
    ledger = RetentionBudget(3, 1 << 20, SECOND)
    ledger.open_file(1, 0)
    assert ledger.room(NOW) == 3
    for n in range(3):
        ledger.begin(NOW + WINDOW + n * SECOND)
    assert ledger.room(NOW) == 0
    wait = ledger.wait(NOW)
    assert WINDOW <= wait <= WINDOW + 2 * SECOND
    assert ledger.room(NOW + wait - SECOND) == 0 and ledger.room(NOW + wait) == 1
    assert ledger.room(NOW + 10 * WINDOW) == 3


def test_what_is_begun_has_room_kept_for_its_end_and_files_go_whole():
    size = FILES * 4 * CLOSING
    ledger = RetentionBudget(10**6, size, SECOND)
    ledger.open_file(1, 0)
    most = ledger.room(NOW)
    assert most == size // CLOSING
    for n in range(most):
        ledger.begin(NOW + WINDOW)
        ledger.written(50, NOW + WINDOW + n)
    assert ledger.room(NOW) == 0
    ledger.conclude()
    assert ledger.room(NOW) == 0  # what was written of the others takes the rest
    assert ledger.wants_new_file(ledger.file_most)
    ledger.open_file(2, 0)
    assert ledger.gone(NOW + WINDOW) == [] and ledger.wait(NOW) > WINDOW
    assert ledger.gone(NOW + WINDOW + most + SECOND) == [1] and len(ledger.files) == 1


@given(some.lists(some.tuples(some.integers(0, 30), some.integers(0, 5)), max_size=60))
@settings(max_examples=100, deadline=None)
def test_what_is_live_is_what_counting_anew_would_find(steps):
    ledger, plain, now = RetentionBudget(10**6, 1 << 30, 0), [], 0
    for window, passed in steps:
        now += passed * SECOND
        ledger.sweep(now)
        ledger.begin(now + window * SECOND)
        plain.append(now + window * SECOND)
        ledger.sweep(now)
        assert ledger.live == sum(until >= now for until in plain)


# ---- the disk ---------------------------------------------------------------------------------------------


def test_a_disk_that_stalls_errs_once_or_for_good_is_a_state_with_a_name():
    disk = Disk(stall=2_500)
    disk.sent(0)
    assert not disk.look(2_499) and disk.good
    assert disk.look(2_500) and disk.state is State.STALLED and "250 ms" in disk.why
    assert disk.done(4_000, more=False) and disk.good
    assert disk.failed(5_000, "no space") and disk.state is State.FAILED
    assert not disk.wants_probe(5_000) and disk.wants_probe(5_000 + PROBE_FIRST)
    disk.sent(10_000)
    assert not disk.wants_probe(99_999)  # one is out
    assert not disk.failed(10_001, "no space") and not disk.wants_probe(10_001 + PROBE_FIRST)
    assert disk.wants_probe(10_001 + 2 * PROBE_FIRST)
    disk.sent(30_000)
    assert disk.done(30_001, more=False) and disk.good and not disk.look(99_999)


# ---- files ------------------------------------------------------------------------------------------------


def test_one_program_has_a_store_and_another_name_does_not_get_it(tmp_path):
    first = Files(tmp_path, "a")
    first.hold()
    first.begin(1)
    with pytest.raises(StoreWriteError, match="another program"):
        Files(tmp_path, "a").hold()
    first.close()
    with pytest.raises(StoreWriteError, match="belongs to another name"):
        Files(tmp_path, "b").hold()
    Files(tmp_path, "a").hold()


def test_a_store_of_a_later_version_is_refused_and_left_as_it_is(tmp_path):
    import struct

    from birchslip.idempotency.record_format import checksum

    raw = bytearray(file_head(1, "a"))
    raw[8:10] = struct.pack("<H", VERSION + 1)
    raw[-4:] = struct.pack("<I", checksum(bytes(raw[:-4])))
    path = tmp_path / "a-00000001.kept"
    path.write_bytes(raw)
    with pytest.raises(StoreWriteError, match="of version 2"):
        Files(tmp_path, "a").read_all()
    assert path.read_bytes() == raw


def test_a_write_that_fails_half_way_leaves_whole_records(tmp_path):
    class Short(FileSystem):
        left = 1 << 20

        def write(self, descriptor, raw):
            if not self.left:
                raise OSError(28, "No space left on device")
            some, self.left = raw[: self.left], max(0, self.left - len(raw))
            return super().write(descriptor, some)

    files = Files(tmp_path, "a", Short())
    files.begin(1)
    one = encode(begun(label(1)))
    files.append(one)
    files.system.left = 7
    with pytest.raises(OSError, match="space"):
        files.append(one)
    files.system.left = 1 << 20
    files.append(encode(begun(label(2))))
    raw = files.path(1).read_bytes()
    assert [piece.found for piece in pieces(raw, FILE.size)] == [ScanOutcome.GOOD] * 2


# ---- all of it against a model ----------------------------------------------------------------------------

LABELS = [label(n) for n in range(6)]


class Life:
    """One life of a store over a disk in memory, flushed by hand; what is flushed may be acted on."""

    def __init__(self, system, now):
        self.ledger = RetentionBudget(50, FILES * 8 * CLOSING, SECOND)
        self.files = Files(FOLDER, "x", system)
        held, doubt = self.files.read_all()
        self.made = recover(held, self.ledger, now, WINDOW, FILE.size, held[-1][0] if held else 0)
        self.doubt = now + WINDOW if self.made.doubt or doubt else 0
        if self.made.cut is not None:
            system.cut(self.files.path(held[-1][0]), max(FILE.size, self.made.cut))
        for serial in self.ledger.gone(now):
            self.files.drop(serial)
        self.files.begin((held[-1][0] if held else 0) + 1)
        self.ledger.open_file(self.files.serial, self.files.size)
        self.here = {}  # this life's own: label: end of its window

    def standing(self, name, now):
        """What a try that arrives now may be told: run, unknown, answer, or shed."""
        if now <= self.here.get(name, 0):
            return "here"
        where = self.made.index.get(name, now)
        if where == UNKNOWN:
            return "unknown"
        if where is not None:
            raw = self.files.system.read_at(self.files.path(where >> 32), where & 0xFFFFFFFF, 10_000)
            return next(pieces(raw)).entry.result
        return "shed" if now < self.doubt or not self.ledger.room(now) else "free"

    def write(self, entry):
        raw = encode(entry)
        if self.ledger.wants_new_file(len(raw)):
            self.files.begin(self.files.serial + 1)
            self.ledger.open_file(self.files.serial, self.files.size)
        self.files.append(raw)
        self.ledger.written(len(raw), entry.until)


class Kept(RuleBasedStateMachine):
    """Labels are begun, run, concluded; the process is killed, the power cut, time passes, the disk fills."""

    def __init__(self):
        super().__init__()
        self.system, self.now = Memory(), NOW
        self.life = Life(self.system, self.now)
        self.ran = {}  # label: when its run that had an effect arrived
        self.answers = {}  # label: what was told, and when its window ends
        self.open = {}  # label: arrival; launched in this life
        self.serial = 0

    names = some.sampled_from(LABELS)

    @rule(name=names)
    def ask(self, name):
        stands = self.life.standing(name, self.now)
        if isinstance(stands, bytes):
            assert self.answers.get(name, (stands, 0))[0] == stands  # the first answer again
        if stands != "free":
            return
        before = self.ran.get(name)
        assert before is None or self.now > before + WINDOW, "a second run within its window"
        self.life.write(begun(name, self.now))
        self.life.files.flush()
        self.life.ledger.begin(self.now + WINDOW)
        # Flushed: launched.
        self.ran[name] = self.now
        self.life.here[name] = self.now + WINDOW
        self.open[name] = self.now
        self.answers.pop(name, None)

    @rule(name=names)
    def begin_and_never_flush(self, name):
        if self.life.standing(name, self.now) == "free":
            self.life.write(begun(name, self.now))
            self.life.ledger.begin(self.now + WINDOW)
            self.life.here[name] = self.now + WINDOW
            # Its flush never ends in this life: nothing is launched.
            self.open.pop(name, None)

    @precondition(lambda self: self.open)
    @rule(flushed=some.booleans())
    def conclude(self, flushed):
        name, stamp = self.open.popitem()
        self.serial += 1
        result = b"result %d" % self.serial
        self.life.write(concluded(name, stamp, result=result))
        self.life.ledger.conclude()
        if flushed:
            self.life.files.flush()
            self.answers[name] = (result, stamp + WINDOW)

    @rule(seconds=some.integers(1, 12))
    def pass_time(self, seconds):
        self.now += seconds * SECOND
        for serial in self.life.ledger.gone(self.now):
            self.life.files.drop(serial)

    @rule(seed=some.integers(0, 2**32), power=some.booleans())
    def crash(self, seed, power):
        if power:
            self.system.cut_power(random.Random(seed))
        else:
            self.system.kill()
        self.open.clear()
        self.life = Life(self.system, self.now)

    @invariant()
    def what_was_answered_is_answered_again_or_not_known_but_never_free(self):
        for name, (result, until) in self.answers.items():
            if self.now <= until and name not in self.life.here:
                assert self.life.standing(name, self.now) in (result, "unknown", "shed")

    @invariant()
    def what_ran_is_never_free_within_its_window(self):
        for name, stamp in self.ran.items():
            if self.now <= stamp + WINDOW:
                assert self.life.standing(name, self.now) != "free"

    @invariant()
    def bounds_hold(self):
        assert self.life.ledger.live <= 50 + len(LABELS) and self.life.ledger.room(self.now) >= 0


Kept.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestKept = Kept.TestCase
