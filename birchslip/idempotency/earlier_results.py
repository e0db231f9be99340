"""Answers to repeats of requests that an earlier incarnation of the app server started.

The index of the recovered store holds the keys of these requests; their results are read from the segments
when a repeat arrives. If the agent reports the end of such a run only after the restart, the run is completed
then. Whether a request may run is decided by `IdempotencyTable` alone; the entries that it gets from this
module are marked as run, so that their keys are not run again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from ..admission.types import NEVER_RAN_OUTCOMES, Outcome, Request, RequestState
from ..net.counters import Counters
from ..net.request_context import IdempotencyEntry, RequestContext, RunResult
from .flush_queue import FlushQueue
from .key_index import UNKNOWN_LOCATION, KeyIndex, pack_location, unpack_location
from .record_format import RecordKind, ResultRecord, digest_request
from .recovery import RecoveredStore
from .retention_budget import COMPLETION_RESERVE_BYTES
from .writer import AppendTask, FetchTask, Writer

ResolutionListener = Callable[[IdempotencyEntry, RunResult], None]


class DiscardingChannel:
    """Response channel of a request whose connection ended with an earlier incarnation; discards answers."""

    def __init__(self) -> None:
        """Start without open requests."""
        self.open_requests: dict[int, RequestContext] = {}

    def send_result(self, message_id: int, body: bytes) -> None:
        """Discard a result."""

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """Discard a rejection."""

    def send_error(self, message_id: int) -> None:
        """Discard a failure."""

    def has_peer_closed(self) -> bool:
        """Return that no answer can reach the caller."""
        return True


class EarlierResults:
    """Keys of earlier incarnations and answers to their repeats.

    Attributes:
        on_resolved: Called with the entry of a key and the result of its run, once the result is known; must
            be set before the first repeat.
    """

    def __init__(
        self, counters: Counters, writer: Writer, flush_queue: FlushQueue, recovered: RecoveredStore
    ) -> None:
        """Answer from a recovered store, which is updated as keys are resolved or expire."""
        self.on_resolved: ResolutionListener
        self._counters = counters
        self._writer = writer
        self._flush_queue = flush_queue
        self._recovered = recovered
        self._entries: dict[bytes, IdempotencyEntry] = {}  # of keys that were repeated since the start

    @property
    def is_empty(self) -> bool:
        """Whether no key of an earlier incarnation is known."""
        return len(self._recovered.index) == 0

    @property
    def entry_count(self) -> int:
        """The number of keys in memory: those that were repeated since the start."""
        return len(self._entries)

    def find(self, context: RequestContext) -> IdempotencyEntry | None:
        """Return the entry of a request's key if an earlier incarnation started it, or None.

        If the result is stored, it is read from its segment, and `on_resolved` is called afterwards.
        """
        key = bytes.fromhex(context.idempotency_key)
        location = self._recovered.index.get(key, context.received_at)
        if location is None:
            return None
        if key in self._entries:
            return self._entries[key]
        entry = self._entries[key] = _make_entry(context)
        if location == UNKNOWN_LOCATION:
            self._counters.count("keep.unknown")
            entry.result = RunResult(Outcome.FAILED)
        else:
            self._counters.count("keep.fetched")
            task = FetchTask(
                location=unpack_location(location),
                max_body_bytes=COMPLETION_RESERVE_BYTES,
                on_done=partial(self._on_fetched, entry),
            )
            self._writer.submit(task)
        return entry

    def complete_run(self, run_id: str, outcome: Outcome, result: bytes) -> None:
        """Complete a run of an earlier incarnation whose end the agent reports late; ignore other runs."""
        started = self._recovered.open_runs.pop(run_id, None)
        if started is None:
            return
        self._counters.count("keep.resolved")
        entry = self._entries.pop(started.key, None)
        if entry is not None:
            self._resolve(entry, RunResult(outcome, result))
        completed = replace(started, kind=RecordKind.COMPLETED, run_id="", outcome=outcome, result=result)
        self._flush_queue.append(completed, partial(self._on_completion_appended, completed))

    def forget(self, now: int) -> None:
        """Drop all keys; called once the last one has expired."""
        self._recovered.index = KeyIndex(now)
        self._entries = {}

    def _on_fetched(self, entry: IdempotencyEntry, task: FetchTask) -> None:
        record = task.record
        if record is None or record.key != bytes.fromhex(entry.key):
            self._counters.count("keep.unread")
            self._resolve(entry, RunResult(Outcome.FAILED))
            return
        entry.matches_earlier_run = partial(_is_same_request, record.request_digest)
        self._resolve(entry, RunResult(record.outcome, record.result))

    def _resolve(self, entry: IdempotencyEntry, run_result: RunResult) -> None:
        if entry.result is None:
            self.on_resolved(entry, run_result)

    def _on_completion_appended(self, record: ResultRecord, task: AppendTask) -> None:
        """Update the index once the completed record of an earlier run is flushed or has failed."""
        index = self._recovered.index
        if record.outcome in NEVER_RAN_OUTCOMES:
            index.put(record.key, 0)  # expired, so that the key can be started again
        elif not task.error:
            index.put(record.key, record.expires_at, pack_location(task.serial, task.offset))


def _make_entry(repeat: RequestContext) -> IdempotencyEntry:
    """Return an entry whose original request counts as run and answered, so that it is not run again."""
    arrived_at = repeat.received_at
    request_class = repeat.request.request_class
    request = Request(request_class, caller=0, arrived_at=arrived_at, deadline=arrived_at, size=0)
    request.has_started = True
    request.state = RequestState.COMPLETED
    original = RequestContext(
        DiscardingChannel(), 0, "", "", b"", request, arrived_at, repeat.idempotency_key
    )
    original.is_launched = True
    original.is_answered = True
    # Every repeat matches until the stored digest is read, and always if none can be read.
    return IdempotencyEntry(
        repeat.idempotency_key, original, arrived_at, original, matches_earlier_run=lambda other: True
    )


def _is_same_request(digest: bytes, context: RequestContext) -> bool:
    return digest_request(context.class_name, context.body) == digest
