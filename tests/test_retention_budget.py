"""The limits of a store: entries, bytes, and the time until it has room."""

from hypothesis import given, settings
from hypothesis import strategies as st

from birchslip.admission.types import SECOND
from birchslip.idempotency.retention_budget import COMPLETION_RESERVE_BYTES, MIN_SEGMENTS, RetentionBudget

from .result_records import NOW, RETENTION


def test_a_full_store_reports_when_it_has_room_and_drops_nothing_before():
    budget = RetentionBudget(3, 1 << 20, SECOND)
    budget.add_segment(1, 0)
    assert budget.remaining_entries(NOW) == 3
    for n in range(3):
        budget.start_entry(NOW + RETENTION + n * SECOND)
    assert budget.remaining_entries(NOW) == 0
    wait = budget.time_until_room(NOW)
    assert RETENTION <= wait <= RETENTION + 2 * SECOND
    assert budget.remaining_entries(NOW + wait - SECOND) == 0
    assert budget.remaining_entries(NOW + wait) == 1
    assert budget.remaining_entries(NOW + 10 * RETENTION) == 3


def test_a_started_entry_reserves_room_for_its_completion_and_segments_expire_as_a_whole():
    max_bytes = MIN_SEGMENTS * 4 * COMPLETION_RESERVE_BYTES
    budget = RetentionBudget(10**6, max_bytes, SECOND)
    budget.add_segment(1, 0)
    capacity = budget.remaining_entries(NOW)
    assert capacity == max_bytes // COMPLETION_RESERVE_BYTES
    for n in range(capacity):
        budget.start_entry(NOW + RETENTION)
        budget.add_record(50, NOW + RETENTION + n)
    assert budget.remaining_entries(NOW) == 0
    budget.release_reserve()
    assert budget.remaining_entries(NOW) == 0  # the records of the other entries take the rest
    assert budget.needs_new_segment(budget.max_segment_bytes)
    budget.add_segment(2, 0)
    assert budget.remove_expired_segments(NOW + RETENTION) == []
    assert budget.time_until_room(NOW) > RETENTION
    assert budget.remove_expired_segments(NOW + RETENTION + capacity + SECOND) == [1]
    assert len(budget.segments) == 1


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5)), max_size=60))
@settings(max_examples=100, deadline=None)
def test_the_number_of_live_entries_equals_a_recount_of_expiries(steps):
    budget, expiries, now = RetentionBudget(10**6, 1 << 30, 0), [], 0
    for retention_s, passed_s in steps:
        now += passed_s * SECOND
        budget.remove_expired_entries(now)
        budget.start_entry(now + retention_s * SECOND)
        expiries.append(now + retention_s * SECOND)
        budget.remove_expired_entries(now)
        assert budget.live_entries == sum(expires_at >= now for expires_at in expiries)
