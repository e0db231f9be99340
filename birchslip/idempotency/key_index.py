"""Idempotency keys of earlier incarnations, found in constant time in a few bytes each.

Open addressing over arrays: a slot holds the two halves of a key, when it expires, and where its last record
is. Objects and a dict would take several times the memory. Single keys are never removed: expired ones are
ignored, and gone once the table is rebuilt.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

HALF_KEY_BYTES = 8
MIN_SLOTS = 1 << 10
MAX_LOAD = 0.7  # used slots over all slots
SLOT_BYTES = 8 + 8 + 4 + 8  # two halves of a key, its expiry, the location of its record
MAX_RELATIVE_EXPIRY = (1 << 32) - 1  # ticks after the base time: four bytes hold five days
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = (1 << 64) - 1
HASH_HALF_BITS = 32
OFFSET_BITS = 32
UNKNOWN_LOCATION = (1 << 64) - 1  # the key was started and nothing is known of its result


class RecordLocation(NamedTuple):
    """Where a record is in the store; `offset` is in bytes from the start of the segment."""

    serial: int
    offset: int


class IndexEntry(NamedTuple):
    """One key of the index; `location` is packed, or `UNKNOWN_LOCATION`."""

    key: bytes
    expires_at: int
    location: int


def pack_location(serial: int, offset: int) -> int:
    """A location as the number that the index holds."""
    return serial << OFFSET_BITS | offset


def unpack_location(packed: int) -> RecordLocation:
    """The reverse of `pack_location`."""
    return RecordLocation(packed >> OFFSET_BITS, packed & ((1 << OFFSET_BITS) - 1))


class KeyIndex:
    """A map from keys of 16 bytes to their expiry and the location of their last record."""

    def __init__(self, base_time: int = 0) -> None:
        """Start empty; `base_time`, in ticks, is before every expiry that is still of use."""
        self.base_time = base_time
        self._allocate(MIN_SLOTS)

    def __len__(self) -> int:
        """The number of keys, expired ones included."""
        return self._used_slots

    @property
    def memory_bytes(self) -> int:
        """The bytes of the arrays, however full they are."""
        return self._slots * SLOT_BYTES

    def put(self, key: bytes, expires_at: int, location: int = UNKNOWN_LOCATION) -> None:
        """Add a key, or replace what is known of it."""
        if self._used_slots >= MAX_LOAD * self._slots:
            self.rebuild(0)
        high = int.from_bytes(key[:HALF_KEY_BYTES])
        low = int.from_bytes(key[HALF_KEY_BYTES:])
        slot = self._find_slot(high, low)
        if not self._expiries[slot]:
            self._used_slots += 1
            self._high_halves[slot] = high
            self._low_halves[slot] = low
        self._expiries[slot] = max(1, min(MAX_RELATIVE_EXPIRY, expires_at - self.base_time))
        self._locations[slot] = location

    def get(self, key: bytes, arrived_at: int) -> int | None:
        """The packed location of a key that has not expired for a request that arrived then, or None."""
        slot = self._find_slot(int.from_bytes(key[:HALF_KEY_BYTES]), int.from_bytes(key[HALF_KEY_BYTES:]))
        expiry = self._expiries[slot]
        if not expiry or arrived_at > self.base_time + expiry:
            return None
        return self._locations[slot]

    def reserve(self, count: int) -> None:
        """Empty the index and make room for `count` keys, which saves growing step by step."""
        self._allocate(max(MIN_SLOTS, 1 << int(count / MAX_LOAD).bit_length()))

    def rebuild(self, now: int) -> None:
        """Drop what has expired by `now`, and make room for as many keys again."""
        entries = list(self.entries(now))
        self._allocate(max(MIN_SLOTS, 1 << (2 * len(entries)).bit_length()))
        for entry in entries:
            self.put(entry.key, entry.expires_at, entry.location)

    def entries(self, now: int) -> Iterator[IndexEntry]:
        """Yield the keys that have not expired by `now`, in the order of the table."""
        for slot in range(self._slots):
            expiry = self._expiries[slot]
            if not expiry or self.base_time + expiry < now:
                continue
            high = self._high_halves[slot].to_bytes(HALF_KEY_BYTES)
            low = self._low_halves[slot].to_bytes(HALF_KEY_BYTES)
            yield IndexEntry(high + low, self.base_time + expiry, self._locations[slot])

    def _allocate(self, slots: int) -> None:
        self._slots = slots
        self._used_slots = 0
        self._high_halves = array("Q", bytes(8 * slots))
        self._low_halves = array("Q", bytes(8 * slots))
        self._expiries = array("I", bytes(4 * slots))  # after the base time; 0 marks a free slot
        self._locations = array("Q", bytes(8 * slots))

    def _find_slot(self, high: int, low: int) -> int:
        """The slot that holds a key, or that would."""
        # Callers choose their keys freely: both halves are mixed before they are cut short.
        mixed = (high ^ (low * HASH_MULTIPLIER)) & HASH_MASK
        slot = ((mixed >> HASH_HALF_BITS) ^ mixed) % self._slots
        while self._expiries[slot] and (self._high_halves[slot] != high or self._low_halves[slot] != low):
            slot = (slot + 1) % self._slots
        return slot
