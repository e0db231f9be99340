"""The index of idempotency keys, compared with a dict."""

from hypothesis import given, settings
from hypothesis import strategies as st

from birchslip.idempotency.key_index import KeyIndex, RecordLocation, pack_location, unpack_location


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 60), st.integers(0, 9)), max_size=120))
@settings(max_examples=100, deadline=None)
def test_the_index_finds_the_same_keys_as_a_dict(steps):
    index, expected = KeyIndex(), {}
    for number, expires_at, location in steps:
        key = (number * 2**64).to_bytes(16)  # equal low halves, so that keys collide more often
        index.put(key, expires_at, location)
        expected[key] = (expires_at, location)
    for key, (expires_at, location) in expected.items():
        assert index.get(key, expires_at) == location
        assert index.get(key, expires_at + 1) is None  # a tick later
    assert len(index) == len(expected)
    index.rebuild(30)
    live = {key for key, (expires_at, _) in expected.items() if expires_at >= 30}
    assert {entry.key for entry in index.entries(0)} == live


@given(st.integers(1, 2**31), st.integers(0, 2**32 - 1))
def test_unpacking_a_packed_location_restores_it(serial, offset):
    assert unpack_location(pack_location(serial, offset)) == RecordLocation(serial, offset)
