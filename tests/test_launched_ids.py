"""How long the ids of launched runs are remembered, and the bound on their number."""

from collections import deque

from hypothesis import given
from hypothesis import strategies as st

from birchslip.admission.types import SECOND
from birchslip.net.launched_ids import SLOT_SPAN, LaunchedIds

MIN_RETENTION = 4 * SECOND
LAUNCHES = st.lists(st.tuples(st.integers(0, SECOND), st.integers(-SECOND, 90 * SECOND)), max_size=200)


@given(LAUNCHES, st.integers(1, 60))
def test_no_id_is_forgotten_within_its_minimum_and_no_more_than_the_bound_are_kept(launches, max_ids):
    launched_ids, now, recent = LaunchedIds(MIN_RETENTION, max_ids), 0, deque()
    for number, (passed, accepted_for) in enumerate(launches):
        now += passed
        while recent and recent[0][1] <= now - MIN_RETENTION:
            recent.popleft()
        if not launched_ids.has_room(now):
            assert len(recent) > 0
            continue
        launched_ids.add(str(number), now + max(MIN_RETENTION, accepted_for), now)
        recent.append((str(number), now))
        assert all(name in launched_ids for name, _ in recent)
        assert launched_ids.count == sum(len(slot.ids) for slot in launched_ids.slots.values()) <= max_ids


def test_id_is_remembered_while_a_copy_would_be_accepted_and_forgotten_soon_after():
    launched_ids = LaunchedIds(MIN_RETENTION, 1000)
    launched_ids.add("a", 60 * SECOND, 0)
    for now in range(0, 61 * SECOND, SECOND):
        assert launched_ids.has_room(now)
        assert "a" in launched_ids
    assert launched_ids.has_room(60 * SECOND + SLOT_SPAN)
    assert "a" not in launched_ids
    assert not launched_ids.slots


def test_nothing_is_launched_if_only_ids_within_their_minimum_could_be_dropped():
    launched_ids = LaunchedIds(MIN_RETENTION, 2)
    for name in ("a", "b"):
        assert launched_ids.has_room(0)
        launched_ids.add(name, 60 * SECOND, 0)
    assert not launched_ids.has_room(MIN_RETENTION - 1)
    assert launched_ids.has_room(MIN_RETENTION)


def test_id_of_a_launch_that_never_began_can_be_used_again():
    launched_ids = LaunchedIds(MIN_RETENTION, 2)
    launched_ids.add("a", 60 * SECOND, 0)
    launched_ids.remove("a")
    launched_ids.remove("b")
    assert "a" not in launched_ids
    assert launched_ids.count == 0
