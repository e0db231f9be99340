"""The table of labels: which try has the entry, which one ran, and what it made.

A label's run is claimed here and nowhere else, so a second launch within its window cannot happen, whatever
the timing: the claim names the try that runs, and stands until the window is over, also when that try was
written off.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from ..admission.types import MS, Outcome
from .request_context import IdempotencyEntry, RequestContext, RunResult

RETENTION_SLACK = 50 * MS  # by which the protocol's limits of time are longer on sockets


class IdempotencyTable:
    def __init__(self, max_deadline: int) -> None:
        # An entry is found by arrival, however late the repeat is read: it is kept for that much longer.
        self.max_deadline = max_deadline
        self.entries: dict[str, IdempotencyEntry] = {}
        self.expiry_heap: list[tuple[int, int, IdempotencyEntry]] = []
        self.last_serial = 0
        # what a try repeats that ran in an earlier life, where that is kept
        self.find_earlier: Callable[[RequestContext], IdempotencyEntry | None] = lambda context: None

    def find(self, key: str, received_at: int) -> IdempotencyEntry | None:
        """The entry that one which arrived then repeats."""
        entry = self.entries.get(key)
        return entry if entry is not None and received_at <= entry.valid_until else None

    def store(self, context: RequestContext, valid_until: int, now: int) -> None:
        self.remove_expired(now)
        entry = self.find(context.idempotency_key, context.received_at)
        if entry is None:
            entry = self.entries[context.idempotency_key] = IdempotencyEntry(
                context.idempotency_key, context, valid_until + RETENTION_SLACK
            )
        entry.stored_by, entry.valid_until = context, max(valid_until + RETENTION_SLACK, entry.valid_until)
        context.entry = entry
        self.schedule_expiry(entry)

    def schedule_expiry(self, entry: IdempotencyEntry) -> None:
        self.last_serial += 1
        heapq.heappush(self.expiry_heap, (entry.valid_until + self.max_deadline, self.last_serial, entry))

    def release(self, context: RequestContext, was_claimed: bool = False) -> list[RequestContext]:
        """Drop the entry of one that never ran, even if it was `claimed`; those that waited are returned."""
        entry = context.entry
        claimant = context if was_claimed else None
        if (
            entry is None
            or entry.claimed_by is not claimant
            or (not was_claimed and entry.stored_by is not context)
        ):
            return []
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
        waiters, entry.waiters = entry.waiters, []
        entry.detach(context, *waiters)
        return waiters

    def claim(self, context: RequestContext) -> bool:
        """Whether this try may run: only one may, for as long as the entry stands."""
        entry = context.entry
        if entry is None or (entry.claimed_by is not None and entry.claimed_by is not context):
            return False
        entry.claimed_by = context
        valid_until = context.retention_start + context.request.request_class.key_retention + RETENTION_SLACK
        if valid_until > entry.valid_until:
            # Its clock lies ahead of ours: it is kept for longer than was thought when it was remembered.
            entry.valid_until = valid_until
            self.schedule_expiry(entry)
        return True

    def attach(self, context: RequestContext) -> RunResult | None:
        """What its label has come to, or None: then this one waits for it."""
        entry = context.entry
        if entry is None:
            return RunResult(Outcome.FAILED)
        if entry.result is None:
            entry.waiters.append(context)
        return entry.result

    def complete(self, context: RequestContext, run_result: RunResult) -> list[RequestContext]:
        """The claimed run is over; those that waited for it are returned."""
        entry = context.entry
        if entry is None or entry.claimed_by is not context:
            return []
        entry.result = run_result
        waiters, entry.waiters = entry.waiters, []
        entry.detach(context, *waiters)
        return waiters

    def remove_expired(self, now: int) -> None:
        while self.expiry_heap and self.expiry_heap[0][0] < now:
            entry = heapq.heappop(self.expiry_heap)[2]
            if entry.valid_until + self.max_deadline < now and self.entries.get(entry.key) is entry:
                del self.entries[entry.key]
