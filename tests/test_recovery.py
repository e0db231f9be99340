"""Recovery of a store, also after kills and power failures at any point."""

import random
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchslip.admission.types import SECOND, Outcome
from birchslip.idempotency.key_index import UNKNOWN_LOCATION, unpack_location
from birchslip.idempotency.record_format import encode, read_fragments
from birchslip.idempotency.recovery import recover
from birchslip.idempotency.retention_budget import COMPLETION_RESERVE_BYTES, MIN_SEGMENTS, RetentionBudget
from birchslip.idempotency.segment_files import SegmentContent, SegmentFiles
from birchslip.idempotency.segment_header import (
    SEGMENT_HEADER,
    decode_segment_header,
    encode_segment_header,
)
from birchslip.lab.power import SimulatedDisk

from .result_records import (
    NOW,
    OWNER,
    RETENTION,
    STORED_RECORDS,
    completed,
    key_of,
    recover_segments,
    started,
)

DIRECTORY = Path("/nowhere")


def decode_at(raw, offset):
    return next(read_fragments(raw, offset)).decode(raw)


def test_a_store_truncated_anywhere_recovers_exactly_its_whole_records():
    raw = b"".join(STORED_RECORDS)
    ends = [sum(map(len, STORED_RECORDS[:n])) for n in range(len(STORED_RECORDS) + 1)]
    for size in range(len(raw) + 1):
        store = recover_segments([raw[:size]])
        whole_count = sum(end <= size for end in ends) - 1
        # A key has a result if its last whole record is a completed one.
        has_result_by_key = {key_of(n // 2): n % 2 for n in range(whole_count)}
        for key, has_result in has_result_by_key.items():
            location = store.index.get(key, NOW)
            assert location is not None
            assert (location == UNKNOWN_LOCATION) == (not has_result)
        assert not store.is_in_doubt
        assert store.unknown == sum(not has_result for has_result in has_result_by_key.values())
        assert (store.truncated_at is not None) == (size not in ends)


def test_a_changed_byte_never_frees_a_key_and_never_changes_a_result():
    raw = encode_segment_header(1, OWNER) + b"".join(STORED_RECORDS)
    for offset in range(len(raw)):
        damaged = bytearray(raw)
        damaged[offset] ^= 0x41
        damaged = bytes(damaged)
        if offset >= SEGMENT_HEADER.size:
            assert decode_segment_header(damaged, OWNER) == 1
        budget = RetentionBudget(99, 1 << 20, SECOND)
        store = recover([SegmentContent(1, damaged)], budget, NOW, RETENTION, 1)
        for n in range(4):
            location = store.index.get(key_of(n), NOW)
            if location is None:
                assert store.is_in_doubt
            elif location != UNKNOWN_LOCATION:
                assert decode_at(damaged, unpack_location(location).offset) == completed(key_of(n))


KEY = key_of(1)
NEVER_RAN = completed(KEY, outcome=Outcome.SUPERSEDED)


@pytest.mark.parametrize(
    ("segments", "is_unknown", "is_known"),
    [
        ([[started(KEY)]], True, False),
        ([[started(KEY), completed(KEY)]], False, True),
        ([[started(KEY)], [completed(KEY)]], False, True),
        ([[started(KEY), NEVER_RAN]], False, False),
        ([[started(KEY), NEVER_RAN, started(KEY)]], True, False),
        ([[started(KEY, NOW - 2 * RETENTION)]], False, False),
        ([[started(KEY, NOW + 10 * RETENTION)]], True, False),
    ],
    ids=[
        "started",
        "completed",
        "over two segments",
        "never ran",
        "started again",
        "expired",
        "clock was set back",
    ],
)
def test_the_state_of_a_key_follows_from_its_records(segments, is_unknown, is_known):
    store = recover_segments([b"".join(map(encode, records)) for records in segments])
    location = store.index.get(KEY, NOW)
    assert (location == UNKNOWN_LOCATION) is is_unknown
    assert (location not in (None, UNKNOWN_LOCATION)) is is_known
    assert not store.is_in_doubt
    assert len(store.open_runs) == is_unknown


def test_after_the_clock_was_set_back_a_key_is_retained_for_at_most_one_retention_from_now():
    store = recover_segments([encode(started(KEY, NOW + 1_000 * RETENTION))])
    assert store.index.get(KEY, NOW + RETENTION) == UNKNOWN_LOCATION
    assert store.index.get(KEY, NOW + RETENTION + 1) is None


def test_a_missing_segment_or_a_truncated_earlier_one_puts_the_store_in_doubt():
    assert recover_segments([b"".join(STORED_RECORDS)[:-3], encode(started(key_of(9)))]).is_in_doubt
    segments = [SegmentContent(serial, encode_segment_header(serial, OWNER)) for serial in (1, 3)]
    assert recover(segments, RetentionBudget(9, 1 << 20, 0), NOW, RETENTION, 3).is_in_doubt


# ---- against a model --------------------------------------------------------------------------------------

KEYS = [key_of(n) for n in range(6)]
MAX_ENTRIES = 50


class Incarnation:
    """One incarnation of a store on a simulated disk.

    The test flushes the disk explicitly; only a flushed record allows a run or an answer.
    """

    def __init__(self, system, now):
        self.budget = RetentionBudget(MAX_ENTRIES, MIN_SEGMENTS * 8 * COMPLETION_RESERVE_BYTES, SECOND)
        self.files = SegmentFiles(DIRECTORY, OWNER, system)
        last_serial = max(self.files.serials(), default=0)
        self.store = recover(self.files.read_segments(), self.budget, now, RETENTION, last_serial)
        is_in_doubt = self.store.is_in_doubt or self.files.has_damaged_header
        self.in_doubt_until = now + RETENTION if is_in_doubt else 0
        if self.store.truncated_at is not None:
            size = max(SEGMENT_HEADER.size, self.store.truncated_at)
            system.truncate(self.files.path_of(last_serial), size)
        for serial in self.budget.remove_expired_segments(now):
            self.files.delete_segment(serial)
        self.files.create_segment(last_serial + 1)
        self.budget.add_segment(self.files.serial, self.files.size)
        self.own_keys = {}  # expiry of the keys that this incarnation started

    def state_of(self, key, now):
        """Return a key's state for a request that arrives now: own, unknown, a result, rejected or free."""
        if now <= self.own_keys.get(key, 0):
            return "own"
        packed = self.store.index.get(key, now)
        if packed == UNKNOWN_LOCATION:
            return "unknown"
        if packed is not None:
            location = unpack_location(packed)
            raw = self.files.system.read_at(self.files.path_of(location.serial), location.offset, 10_000)
            return decode_at(raw, 0).result
        if now < self.in_doubt_until or not self.budget.remaining_entries(now):
            return "rejected"
        return "free"

    def write(self, record):
        raw = encode(record)
        if self.budget.needs_new_segment(len(raw)):
            self.files.create_segment(self.files.serial + 1)
            self.budget.add_segment(self.files.serial, self.files.size)
        self.files.append(raw)
        self.budget.add_record(len(raw), record.expires_at)


class StoreMachine(RuleBasedStateMachine):
    """Starts, runs and completes keys while processes are killed, the power fails and time passes."""

    def __init__(self):
        super().__init__()
        self.system, self.now = SimulatedDisk(), NOW
        self.incarnation = Incarnation(self.system, self.now)
        self.ran = {}  # arrival of the last launched request of each key
        self.answers = {}  # answered result of each key, and its expiry
        self.open = {}  # arrival of each key that was launched in this incarnation and not completed
        self.completions = 0

    keys = st.sampled_from(KEYS)

    @rule(key=keys)
    def request(self, key):
        state = self.incarnation.state_of(key, self.now)
        if isinstance(state, bytes):
            assert self.answers.get(key, (state, 0))[0] == state  # the same answer as before
        if state != "free":
            return
        before = self.ran.get(key)
        assert before is None or self.now > before + RETENTION, "a second run within the retention"
        self.incarnation.write(started(key, self.now))
        self.incarnation.files.flush()
        self.incarnation.budget.start_entry(self.now + RETENTION)
        # The run is launched, because its started record is flushed.
        self.ran[key] = self.now
        self.incarnation.own_keys[key] = self.now + RETENTION
        self.open[key] = self.now
        self.answers.pop(key, None)

    @rule(key=keys)
    def start_without_flush(self, key):
        if self.incarnation.state_of(key, self.now) == "free":
            self.incarnation.write(started(key, self.now))
            self.incarnation.budget.start_entry(self.now + RETENTION)
            self.incarnation.own_keys[key] = self.now + RETENTION
            # The flush does not end in this incarnation, so the run is not launched.
            self.open.pop(key, None)

    @precondition(lambda self: self.open)
    @rule(is_flushed=st.booleans())
    def complete(self, is_flushed):
        key, arrived_at = self.open.popitem()
        self.completions += 1
        result = b"result %d" % self.completions
        self.incarnation.write(completed(key, arrived_at, result=result))
        self.incarnation.budget.release_reserve()
        if is_flushed:
            self.incarnation.files.flush()
            self.answers[key] = (result, arrived_at + RETENTION)

    @rule(seconds=st.integers(1, 12))
    def pass_time(self, seconds):
        self.now += seconds * SECOND
        for serial in self.incarnation.budget.remove_expired_segments(self.now):
            self.incarnation.files.delete_segment(serial)

    @rule(seed=st.integers(0, 2**32), power_fails=st.booleans())
    def crash(self, seed, power_fails):
        if power_fails:
            self.system.cut_power(random.Random(seed))
        else:
            self.system.kill_process()
        self.open.clear()
        self.incarnation = Incarnation(self.system, self.now)

    @invariant()
    def an_answered_key_is_never_free_and_never_gets_another_result(self):
        for key, (result, expires_at) in self.answers.items():
            if self.now <= expires_at and key not in self.incarnation.own_keys:
                assert self.incarnation.state_of(key, self.now) in (result, "unknown", "rejected")

    @invariant()
    def a_key_that_ran_is_never_free_within_its_retention(self):
        for key, arrived_at in self.ran.items():
            if self.now <= arrived_at + RETENTION:
                assert self.incarnation.state_of(key, self.now) != "free"

    @invariant()
    def limits_hold(self):
        budget = self.incarnation.budget
        assert budget.live_entries <= MAX_ENTRIES + len(KEYS)
        assert budget.remaining_entries(self.now) >= 0


StoreMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestStoreMachine = StoreMachine.TestCase
