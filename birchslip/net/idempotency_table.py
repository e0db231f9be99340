"""The idempotency table: for each key, which attempt stored it, which one runs, and the result of the run.

Keys are claimed in `IdempotencyTable.claim` and nowhere else, so a key can't be launched twice within its
retention, whatever the timing. A claim names the attempt that runs and lasts until the retention is over,
also if that attempt was answered with an error in the meantime.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..admission.expiry_queue import ExpiryQueue
from ..admission.types import MS, Outcome
from .bounds import KEY_BYTES
from .request_context import MAX_BODY_BYTES, IdempotencyEntry, RequestContext, RunResult

# Added to each retention: on sockets, the protocol's time limits are this much longer.
RETENTION_SLACK = 50 * MS


class IdempotencyTable:
    """The entries of all idempotency keys that are in use on this app server.

    Attributes:
        max_deadline: The longest deadline of all request classes.
        entries: The entries by key.
        max_bytes: The memory that the entries may take; one that has run may exceed it by its result.
        retained_bytes: The memory that they take, with the bodies and the results of their requests.
        expiry_queue: The entries by the time from which each may be removed.
        find_earlier: Finds the entry of a key whose run was started by an earlier incarnation; finds nothing
            without a result store.
    """

    def __init__(self, max_deadline: int, max_bytes: float = inf) -> None:
        """Begin without entries.

        Args:
            max_deadline: The longest deadline of all request classes. Repeats are matched by their time of
                receipt, however late they are processed, so entries are kept for this much longer.
            max_bytes: The memory that the entries may take.
        """
        self.max_deadline = max_deadline
        self.max_bytes, self.retained_bytes = max_bytes, 0
        self.entries: dict[str, IdempotencyEntry] = {}
        self.expiry_queue: ExpiryQueue[IdempotencyEntry] = ExpiryQueue()
        self.find_earlier: Callable[[RequestContext], IdempotencyEntry | None] = lambda context: None

    def remaining_keys(self, now: int) -> float:
        """Return how many more keys may be stored if each has the largest body; first remove expired ones."""
        self.remove_expired(now)
        return max(0, (self.max_bytes - self.retained_bytes) // (KEY_BYTES + MAX_BODY_BYTES))

    def find(self, key: str, received_at: int) -> IdempotencyEntry | None:
        """Return the entry that a request received at this time repeats, if any."""
        entry = self.entries.get(key)
        return entry if entry is not None and received_at <= entry.valid_until else None

    def store(self, context: RequestContext, retained_until: int, now: int) -> None:
        """Store the key of a request, or extend the retention of its entry; first remove expired entries."""
        self.remove_expired(now)
        entry = self.find(context.idempotency_key, context.received_at)
        if entry is None:
            entry = self.entries[context.idempotency_key] = IdempotencyEntry(
                context.idempotency_key, context, retained_until + RETENTION_SLACK
            )
            self.count_bytes(entry, KEY_BYTES + len(context.body))
        entry.stored_by, entry.valid_until = context, max(retained_until + RETENTION_SLACK, entry.valid_until)
        context.entry = entry
        self.schedule_expiry(entry)

    def schedule_expiry(self, entry: IdempotencyEntry) -> None:
        """Schedule the removal of an entry; called again whenever its `valid_until` moves."""
        self.expiry_queue.put(entry, entry.valid_until + self.max_deadline)

    def release(self, context: RequestContext, was_claimed: bool = False) -> list[RequestContext]:
        """Remove the entry of a request that never ran.

        Args:
            context: The attempt whose entry is removed; does nothing if the entry belongs to another attempt.
            was_claimed: Whether this attempt had claimed the key.

        Returns:
            The repeats that were waiting for it.
        """
        entry = context.entry
        claimant = context if was_claimed else None
        if (
            entry is None
            or entry.claimed_by is not claimant
            or (not was_claimed and entry.stored_by is not context)
        ):
            return []
        self.expiry_queue.remove(entry)
        self.remove_entry(entry)
        waiters = entry.take_waiters()
        entry.detach(context, *waiters)
        return waiters

    def claim(self, context: RequestContext) -> bool:
        """Claim the key of an attempt that is about to run.

        Returns:
            Whether the attempt may run: only one may, for as long as the entry is valid.
        """
        entry = context.entry
        if entry is None or (entry.claimed_by is not None and entry.claimed_by is not context):
            return False
        entry.claimed_by = context
        valid_until = context.retention_start + context.request.request_class.key_retention + RETENTION_SLACK
        if valid_until > entry.valid_until:
            # The router's clock is ahead of ours, so the retention ends later than `store` assumed.
            entry.valid_until = valid_until
            self.schedule_expiry(entry)
        return True

    def attach(self, context: RequestContext) -> RunResult | None:
        """Let a repeat share the result of the original.

        Returns:
            The result, or None if the run is not over: the repeat is then among the entry's waiters. Without
            an entry, the result is a failure.
        """
        entry = context.entry
        if entry is None:
            return RunResult(Outcome.FAILED)
        if entry.result is None:
            entry.waiters[context] = None
        return entry.result

    def stop_waiting(self, context: RequestContext) -> None:
        """Remove a request from the waiting repeats of its key; do nothing if it is not among them.

        A request that admission control has started stays: it needs the end of the run that it shares.
        """
        entry = context.entry
        if entry is not None and context in entry.waiters and not context.request.has_started:
            del entry.waiters[context]
            entry.detach(context)

    def complete(self, context: RequestContext, run_result: RunResult) -> list[RequestContext]:
        """Store the result of a run; do nothing if the attempt does not hold the claim.

        Returns:
            The repeats that were waiting for it.
        """
        entry = context.entry
        if entry is None or entry.claimed_by is not context:
            return []
        entry.result = run_result
        self.count_bytes(entry, len(run_result.body))
        waiters = entry.take_waiters()
        entry.detach(context, *waiters)
        return waiters

    def remove_expired(self, now: int) -> None:
        """Remove the entries that no request can repeat any more."""
        for entry in self.expiry_queue.take_expired(now - 1):
            self.remove_entry(entry)

    def count_bytes(self, entry: IdempotencyEntry, change: int) -> None:
        """Add to the memory that an entry takes."""
        entry.retained_bytes += change
        self.retained_bytes += change

    def remove_entry(self, entry: IdempotencyEntry) -> None:
        """Remove an entry; its key may have a later one by now, which stays."""
        self.count_bytes(entry, -entry.retained_bytes)
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
