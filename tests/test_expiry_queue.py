"""The queue of items that expire: order, removal, and the memory that ended items keep."""

from hypothesis import given
from hypothesis import strategies as st

from birchslip.admission.expiry_queue import MIN_STALE_TO_REBUILD, ExpiryQueue

ITEMS = st.integers(0, 9)
OPERATIONS = st.one_of(
    st.tuples(st.just("put"), ITEMS, st.integers(0, 99)),
    st.tuples(st.just("remove"), ITEMS, st.just(0)),
    st.tuples(st.just("take"), st.just(0), st.integers(0, 99)),
)


@given(st.lists(OPERATIONS, max_size=300))
def test_takes_each_item_once_at_its_latest_time_in_order(operations):
    queue, expected = ExpiryQueue(), {}
    for order, (name, item, time) in enumerate(operations):
        if name == "put":
            queue.put(item, time)
            expected[item] = (time, order)
        elif name == "remove":
            queue.remove(item)
            expected.pop(item, None)
        else:
            due = sorted((when, item) for item, when in expected.items() if when[0] <= time)
            assert list(queue.take_expired(time)) == [item for _, item in due]
            for _, item in due:
                del expected[item]
        assert len(queue) == len(expected)


def test_item_removed_while_others_are_taken_is_not_taken():
    queue = ExpiryQueue()
    for item in range(200):
        queue.put(item, item)
    taken = []
    for item in queue.take_expired(500):
        taken.append(item)
        for other in range(item + 1, 199):
            queue.remove(other)
    assert taken == [0, 199]


def test_heap_holds_few_items_that_were_removed_or_moved():
    queue = ExpiryQueue()
    for item in range(10_000):
        queue.put(item, 1_000_000)
        queue.remove(item)
        queue.put("moved", 1_000_000 + item)
        assert len(queue.heap) <= 2 * len(queue) + MIN_STALE_TO_REBUILD
