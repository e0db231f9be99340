"""Memory of open requests and of idempotency keys, and the room for results that a store still has.

Owns both counts. A key's memory counts for its whole retention.
"""

from __future__ import annotations

import heapq
from math import ceil, inf
from typing import NamedTuple

from .deadlines import TIMER_INTERVAL
from .quota import Quotas
from .types import AdmissionSettings, Idempotency, Request

MEMORY_SHARE = 0.9  # of what the app server survives


class KeyEntry(NamedTuple):
    """Heap entry: the key that runs out first comes first."""

    expires_at: int
    sequence: int
    request: Request


class KeyCapacity(NamedTuple):
    """Keyed requests that a store of results still takes."""

    remaining: float = inf
    scarce_below: float = 0  # from here on the last room is reserved for those within their quota
    retry_delay: int = 0  # time until there is room again


class MemoryBudget:
    """Memory in use, in bytes, and the idempotency keys in memory."""

    def __init__(self, settings: AdmissionSettings, quotas: Quotas) -> None:
        """Begin with nothing in memory and no bound on keys."""
        self.settings = settings
        self.quotas = quotas
        self.used = 0
        self.keys: list[KeyEntry] = []
        self.key_capacity = KeyCapacity()

    def charge(self, request: Request, size: int) -> None:
        """Set the memory that a request takes."""
        self.used += size - request.memory_held
        request.memory_held = size

    def charge_running(self, request: Request) -> None:
        """Set the memory of a request that starts to run."""
        self.charge(request, ceil(request.size * self.settings.running_memory_factor))

    def has_room(self, request: Request) -> bool:
        """Return whether a request fits, with what its key will take."""
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        key_size = self.settings.idempotency_key_size if is_keyed else 0
        return self.used + request.size + key_size <= MEMORY_SHARE * self.settings.memory_limit

    def has_room_attached(self, request: Request) -> bool:
        """Return whether a repeat fits while it waits for its original."""
        return self.used + request.size <= self.settings.memory_limit

    def has_room_running(self, request: Request) -> bool:
        """Return whether a queued request fits once it runs."""
        extra = request.size * (self.settings.running_memory_factor - 1)
        return self.used + extra <= MEMORY_SHARE * self.settings.memory_limit

    def may_store_result(self, request: Request, now: int) -> bool:
        """Return whether the result of a keyed request can be stored.

        The last of the room is not for those past their quota, nor for those who had more of their quota
        than all have together, so that no surge fills the store.
        """
        remaining, scarce_below, _ = self.key_capacity
        if request.request_class.idempotency is not Idempotency.KEYED or remaining > scarce_below:
            return True
        meter = request.quota_meter
        if remaining < 1 or self.quotas.delay(meter, now):
            return False
        # A store may hold less than one quota's window: nobody need be past its quota when it is full.
        return self.quotas.is_within_fair_share(meter, now)

    def store_key(self, request: Request, now: int) -> None:
        """Count the memory of a request's key for its whole retention."""
        self.used += self.settings.idempotency_key_size
        request.holds_key = True
        expires_at = now + request.request_class.key_retention + TIMER_INTERVAL
        heapq.heappush(self.keys, KeyEntry(expires_at, request.sequence, request))

    def release_key(self, request: Request) -> None:
        """Give back the memory of a request's key, once."""
        if request.holds_key:
            request.holds_key = False
            self.used -= self.settings.idempotency_key_size

    def expire_keys(self, now: int) -> None:
        """Give back the memory of the keys whose retention is over."""
        while self.keys and self.keys[0].expires_at <= now:
            self.release_key(heapq.heappop(self.keys).request)
