"""Durable results by idempotency key of one app server.

A *started* record is flushed before the run is launched, a *completed* one before the request is answered.
The store says how many new keys it can take, and knows what earlier incarnations have left. It must never
decide who may run: that is for the table of idempotency keys alone.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

from ..admission.types import MS, Outcome, RequestClass
from ..errors import ConfigurationError
from ..net.counters import Counters
from ..net.log import Log
from ..net.request_context import IdempotencyEntry, RequestContext, RunResult
from ..net.scheduler import Scheduler
from .disk_health import DiskHealth
from .earlier_results import EarlierResults, ResolutionListener
from .file_system import FileSystem
from .flush_queue import FlushListener, FlushQueue
from .record_format import RecordKind, RecordState, ResultRecord, digest_request
from .recovery import RecoveredStore, recover
from .retention_budget import RetentionBudget
from .segment_files import SegmentFiles
from .segment_header import SEGMENT_HEADER
from .settings_file import StoreSettings
from .writer import DeleteSegmentTask, Writer

CHECK_INTERVAL = 50 * MS
SCARCE_SHARE = 0.2  # of the entries: the last ones are left to callers within their quota


class KeyCapacity(NamedTuple):
    """How many new keys the store takes.

    Attributes:
        remaining: How many more may be started.
        scarce_below: From which number on those that remain are scarce.
        time_until_room: The ticks until there is room again; 0 while there is.
    """

    remaining: int
    scarce_below: int
    time_until_room: int


class ResultStore:
    """The store of one app server, opened when it is made."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        settings: StoreSettings,
        owner: str,
        request_classes: list[RequestClass],
        system: FileSystem | None = None,
    ) -> None:
        """Lock the store, recover what it holds, and start a segment.

        Args:
            scheduler: The scheduler that is never to wait for the disk.
            counters: Where events are counted, as `keep.*`.
            log: Where events are logged.
            settings: The operators' settings.
            owner: The name of the app server.
            request_classes: All request classes, which say for how long keys are retained.
            system: Replaces the real file system in tests.

        Raises:
            ConfigurationError: The store can't be opened; the message is one line.
        """
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.max_retention = max([one.key_retention for one in request_classes], default=0)
        grace = max([one.deadline for one in request_classes], default=0)
        self.budget = RetentionBudget(settings.entries, settings.bytes, grace)
        self.disk = DiskHealth(settings.stall_ms * MS)
        self.files = SegmentFiles(Path(settings.folder), owner, system)
        self.recovered = self._open(scheduler.now)
        self.writer = Writer(scheduler, self.files, settings.gather_ms / 1000)
        self.flush_queue = FlushQueue(scheduler, counters, log, self.writer, self.budget, self.disk)
        self.earlier_results = EarlierResults(counters, self.writer, self.flush_queue, self.recovered)
        self._in_doubt_until = 0
        if self.recovered.is_in_doubt:
            self._in_doubt_until = scheduler.now + self.max_retention
        self._earlier_expire_at = scheduler.now + self.max_retention + grace

    # ---- lifetime --------------------------------------------------------------------------------------

    def set_resolution_listener(self, listener: ResolutionListener) -> None:
        """Set who is notified of what keys of earlier incarnations have come to; before `start`."""
        self.earlier_results.on_resolved = listener

    def start(self) -> None:
        """Report what was recovered, and start writing."""
        recovered = self.recovered
        self.log.info(
            "store_recovered",
            keys=len(recovered.index),
            unknown=recovered.unknown,
            runs=len(recovered.open_runs),
            truncated=recovered.fragment_counts[RecordState.TRUNCATED],
            corrupt=recovered.fragment_counts[RecordState.CORRUPT],
            lost=recovered.fragment_counts[RecordState.LOST],
            in_doubt=recovered.is_in_doubt,
            bytes=self.budget.stored_bytes,
        )
        self.writer.start()
        self.scheduler.at(self.scheduler.now + CHECK_INTERVAL, self.time_passed)

    def close(self) -> None:
        """Finish what is being written, and release the store."""
        self.writer.close()
        self.files.close()

    def time_passed(self) -> None:
        """Check the disk, and delete what has expired; calls itself again after the check interval."""
        now = self.scheduler.now
        self.scheduler.at(now + CHECK_INTERVAL, self.time_passed)
        self.flush_queue.time_passed()
        if now > self._earlier_expire_at and not self.earlier_results.is_empty:
            self.earlier_results.forget(now)
        for serial in self.budget.remove_expired_segments(now):
            self.counters.count("keep.files_dropped")
            self.writer.submit(DeleteSegmentTask(serial=serial))

    # ---- capacity --------------------------------------------------------------------------------------

    def capacity(self) -> KeyCapacity:
        """How many new keys the store takes at the moment."""
        scarce_below = int(SCARCE_SHARE * self.budget.max_entries)
        return KeyCapacity(self._remaining_keys(), scarce_below, self._time_until_room())

    def health(self) -> dict[str, str]:
        """Why keyed requests are rejected at the moment, for health checks; empty while they are not."""
        if not self.disk.is_healthy:
            return {"store": self.disk.state.value}
        if self.scheduler.now < self._in_doubt_until:
            return {"store": "doubt"}
        if not self._remaining_keys():
            return {"store": "full"}
        return {}

    def _remaining_keys(self) -> int:
        now = self.scheduler.now
        if not self.disk.is_healthy or now < self._in_doubt_until:
            return 0
        return self.budget.remaining_entries(now)

    def _time_until_room(self) -> int:
        now = self.scheduler.now
        if now < self._in_doubt_until:
            return self._in_doubt_until - now
        if not self.disk.is_healthy:
            return self.disk.stall_limit
        return self.budget.time_until_room(now)

    # ---- keyed requests --------------------------------------------------------------------------------

    def record_start(self, context: RequestContext, listener: FlushListener) -> None:
        """Record that a request is about to run.

        The listener is notified once whether it may be launched: whether its started record was flushed in
        time.
        """
        if not self._remaining_keys():
            self.counters.count("keep.no_room")
            self.scheduler.at(self.scheduler.now, lambda: listener(False))
            return
        record = _make_started(context)

        def flushed(is_flushed: bool) -> None:
            if not is_flushed:
                self._append_never_ran(record)
            listener(is_flushed)

        self.budget.start_entry(record.expires_at)
        self.flush_queue.append_and_wait(record, flushed)

    def record_never_ran(self, context: RequestContext) -> None:
        """Record that a request whose start was recorded will not be launched after all."""
        self._append_never_ran(_make_started(context))

    def record_completion(
        self, context: RequestContext, run_result: RunResult, listener: FlushListener
    ) -> None:
        """Record what a run has come to.

        The listener is notified once, and the request may be answered: its completed record is flushed, or
        the disk takes too long.
        """
        completed = replace(
            _make_started(context),
            kind=RecordKind.COMPLETED,
            run_id="",
            outcome=run_result.outcome,
            result=run_result.body,
        )
        self.budget.release_reserve()
        self.flush_queue.append_and_wait(completed, listener)

    def _append_never_ran(self, started: ResultRecord) -> None:
        """Complete a started record that may be on the disk, lest it counts as unknown after a restart."""
        never_ran = replace(started, kind=RecordKind.COMPLETED, run_id="", outcome=Outcome.SUPERSEDED)
        self.budget.release_reserve()
        self.flush_queue.append(never_ran)

    # ---- earlier incarnations --------------------------------------------------------------------------

    def find_earlier_result(self, context: RequestContext) -> IdempotencyEntry | None:
        """The entry of a request's key, if an earlier incarnation started it."""
        return self.earlier_results.find(context)

    def complete_earlier_run(self, run_id: str, outcome: Outcome, result: bytes) -> None:
        """Complete a run of an earlier incarnation whose end the agent still reports."""
        self.earlier_results.complete_run(run_id, outcome, result)

    # ---- opening ---------------------------------------------------------------------------------------

    def _open(self, now: int) -> RecoveredStore:
        try:
            return self._recover(now)
        except OSError as error:
            self.files.close()
            raise ConfigurationError(f"keep: {error}") from None

    def _recover(self, now: int) -> RecoveredStore:
        """Read what earlier incarnations have left, and start a segment behind it."""
        files = self.files
        files.lock()
        last_serial = max(files.serials(), default=0)
        recovered = recover(files.read_segments(), self.budget, now, self.max_retention, last_serial)
        if files.has_damaged_header:
            recovered.is_in_doubt = True
        if recovered.truncated_at is not None:
            size = max(SEGMENT_HEADER.size, recovered.truncated_at)
            files.system.truncate(files.path_of(last_serial), size)
        for serial in self.budget.remove_expired_segments(now):
            files.delete_segment(serial)
        files.create_segment(last_serial + 1)
        self.budget.add_segment(files.serial, files.size)
        return recovered


def _make_started(context: RequestContext) -> ResultRecord:
    return ResultRecord(
        RecordKind.STARTED,
        bytes.fromhex(context.idempotency_key),
        context.retention_start,
        context.request.request_class.key_retention,
        run_id=context.request_id,
        request_digest=digest_request(context.class_name, context.body),
    )
