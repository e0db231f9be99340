"""Compact hash table of the idempotency keys of earlier incarnations.

The table uses open addressing over arrays, because a dict of objects would take several times the memory. A
slot holds the two halves of a key, its expiry and the location of its last record. Single keys are never
removed: expired keys are ignored, and dropped when the table is rebuilt. Times are in ticks of a tenth of a
millisecond.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

HALF_KEY_BYTES = 8
MIN_SLOTS = 1 << 10
MAX_LOAD = 0.7  # used slots divided by all slots
SLOT_BYTES = 8 + 8 + 4 + 8  # two halves of the key, expiry, location
MAX_RELATIVE_EXPIRY = (1 << 32) - 1  # ticks after the base time: five days, in four bytes
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio, as in Fibonacci hashing
HASH_MASK = (1 << 64) - 1
HASH_HALF_BITS = 32
OFFSET_BITS = 32
UNKNOWN_LOCATION = (1 << 64) - 1  # the key was started and its result is unknown


class RecordLocation(NamedTuple):
    """Location of a record: the serial number of its segment and its offset there in bytes."""

    serial: int
    offset: int


class IndexEntry(NamedTuple):
    """One key of the index; `location` is a packed location or `UNKNOWN_LOCATION`."""

    key: bytes
    expires_at: int
    location: int


def pack_location(serial: int, offset: int) -> int:
    """Pack a location into the integer that the index holds."""
    return serial << OFFSET_BITS | offset


def unpack_location(packed: int) -> RecordLocation:
    """Unpack a location that `pack_location` packed."""
    return RecordLocation(packed >> OFFSET_BITS, packed & ((1 << OFFSET_BITS) - 1))


class KeyIndex:
    """Map from keys of 16 bytes to their expiry and the location of their last record.

    Attributes:
        base_time: Time that the stored expiries are relative to, in ticks.
    """

    def __init__(self, base_time: int = 0) -> None:
        """Start empty; `base_time`, in ticks, must be before every expiry that still matters."""
        self.base_time = base_time
        self._allocate(MIN_SLOTS)

    def __len__(self) -> int:
        """Return the number of keys, expired ones included."""
        return self._used_slots

    @property
    def memory_bytes(self) -> int:
        """The size of the arrays in bytes, unused slots included."""
        return self._slots * SLOT_BYTES

    def put(self, key: bytes, expires_at: int, location: int = UNKNOWN_LOCATION) -> None:
        """Add a key, or replace its expiry and location."""
        if self._used_slots >= MAX_LOAD * self._slots:
            self.rebuild(0)  # grows the table; drops no key, as the current time is not known here
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
        """Return the packed location of a key, or None if it is unknown or had expired at `arrived_at`."""
        slot = self._find_slot(int.from_bytes(key[:HALF_KEY_BYTES]), int.from_bytes(key[HALF_KEY_BYTES:]))
        expiry = self._expiries[slot]
        if not expiry or arrived_at > self.base_time + expiry:
            return None
        return self._locations[slot]

    def reserve(self, count: int) -> None:
        """Empty the index and allocate room for `count` keys, which avoids repeated growth."""
        self._allocate(max(MIN_SLOTS, 1 << int(count / MAX_LOAD).bit_length()))

    def rebuild(self, now: int) -> None:
        """Drop the keys that have expired by `now`, and allocate room for as many new ones as remain."""
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
        """Return the slot that holds a key, or the free slot where it belongs."""
        # Callers choose the keys, so either half may be constant: both are mixed before the modulo.
        mixed = (high ^ (low * HASH_MULTIPLIER)) & HASH_MASK
        slot = ((mixed >> HASH_HALF_BITS) ^ mixed) % self._slots
        while self._expiries[slot] and (self._high_halves[slot] != high or self._low_halves[slot] != low):
            slot = (slot + 1) % self._slots
        return slot
