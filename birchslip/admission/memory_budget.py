"""Memory of open requests and of idempotency keys, and the remaining room in the result store.

This module owns both counts. The memory of a key counts for the key's whole retention.
"""

from __future__ import annotations

from math import ceil, inf
from typing import NamedTuple

from .deadlines import TIMER_INTERVAL
from .expiry_queue import ExpiryQueue
from .quota import Quotas
from .types import AdmissionSettings, Idempotency, Request

MEMORY_SHARE = 0.9  # of the memory limit, beyond which the app server does not survive


class KeyCapacity(NamedTuple):
    """Room for keyed requests in the result store."""

    remaining: float = inf
    scarce_below: float = 0  # from this number down, the room is reserved for callers within their quota
    retry_delay: int = 0  # time until there is room again


class MemoryBudget:
    """Memory in use, in bytes, and the idempotency keys in memory."""

    def __init__(self, settings: AdmissionSettings, quotas: Quotas) -> None:
        """Start with no memory in use and no limit on keys."""
        self.settings = settings
        self.quotas = quotas
        self.used = 0
        self.keys: ExpiryQueue[Request] = ExpiryQueue()
        self.key_capacity = KeyCapacity()

    def charge(self, request: Request, size: int) -> None:
        """Set the memory that a request uses to `size`."""
        self.used += size - request.memory_held
        request.memory_held = size

    def charge_running(self, request: Request) -> None:
        """Set the memory of a request that starts to run: its size times the configured factor."""
        self.charge(request, ceil(request.size * self.settings.running_memory_factor))

    def has_room(self, request: Request) -> bool:
        """Return whether a request fits into memory together with its idempotency key."""
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        key_size = self.settings.idempotency_key_size if is_keyed else 0
        return self.used + request.size + key_size <= MEMORY_SHARE * self.settings.memory_limit

    def has_room_attached(self, request: Request) -> bool:
        """Return whether a repeat fits into memory while it waits for its original."""
        return self.used + request.size <= self.settings.memory_limit

    def has_room_running(self, request: Request) -> bool:
        """Return whether a queued request will fit into memory when it runs."""
        extra = request.size * (self.settings.running_memory_factor - 1)
        return self.used + extra <= MEMORY_SHARE * self.settings.memory_limit

    def may_store_result(self, request: Request, now: int) -> bool:
        """Return whether the result of a keyed request can be stored.

        The last room is not given to callers past their quota, nor to tenants that have used a larger part of
        their quota than all active tenants together, so that a surge of one tenant can't fill the store.
        """
        remaining, scarce_below, _ = self.key_capacity
        if request.request_class.idempotency is not Idempotency.KEYED or remaining > scarce_below:
            return True
        meter = request.quota_meter
        if remaining < 1 or self.quotas.delay(meter, now):
            return False
        # The store may hold less than one quota window, so it can fill up with no tenant past its quota.
        return self.quotas.is_within_fair_share(meter, now)

    def store_key(self, request: Request, now: int) -> None:
        """Charge the memory of a request's key for the key's whole retention."""
        self.used += self.settings.idempotency_key_size
        request.holds_key = True
        self.keys.put(request, now + request.request_class.key_retention + TIMER_INTERVAL)

    def release_key(self, request: Request) -> None:
        """Release the memory of a request's key; a second call has no effect."""
        if request.holds_key:
            request.holds_key = False
            self.keys.remove(request)
            self.used -= self.settings.idempotency_key_size

    def expire_keys(self, now: int) -> None:
        """Release the memory of the keys whose retention is over."""
        for request in self.keys.take_expired(now):
            self.release_key(request)
