"""Durable store of results by idempotency key, for one app server.

A *started* record is flushed before a run is launched, and a *completed* record before its request is
answered. The store reports how many new keys it can take, and holds the results of earlier incarnations. It
must never decide which request may run: that is decided by `IdempotencyTable` alone.
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

CHECK_INTERVAL = 50 * MS  # between checks of the disk and of expiries
SCARCE_SHARE = 0.2  # of all entries: the last ones are reserved for callers within their quota


class KeyCapacity(NamedTuple):
    """Capacity of the store for new keys.

    Attributes:
        remaining: Number of keys that may still be started.
        scarce_below: Keys are scarce from this number of remaining keys down.
        time_until_room: Ticks until a key may be started; 0 if one may be started now.
    """

    remaining: int
    scarce_below: int
    time_until_room: int


class ResultStore:
    """Store of one app server; the constructor opens it.

    Attributes:
        scheduler: The scheduler; it never waits for the disk.
        counters: Where events are counted, as `keep.*`.
        log: Where events are logged.
        max_retention: The longest retention of any request class, in ticks.
        budget: Limits of the store and their use.
        disk: Health of the disk.
        files: Files of the store.
        recovered: State that was recovered when the store was opened.
        writer: Thread that writes the store.
        flush_queue: Records that are not flushed yet.
        earlier_results: Results of earlier incarnations.
    """

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
        """Lock the store, recover its contents, and create a new segment.

        Args:
            scheduler: The scheduler; it must never wait for the disk.
            counters: Where events are counted, as `keep.*`.
            log: Where events are logged.
            settings: The operators' settings.
            owner: Name of the app server.
            request_classes: All request classes; they define how long keys are retained.
            system: Replaces the real file system in tests.

        Raises:
            ConfigurationError: The store cannot be opened; the message is one line.
        """
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.max_retention = max(
            [request_class.key_retention for request_class in request_classes], default=0
        )
        grace = max([request_class.deadline for request_class in request_classes], default=0)
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
        self._earlier_keys_expire_at = scheduler.now + self.max_retention + grace

    # ---- lifetime --------------------------------------------------------------------------------------

    def set_resolution_listener(self, listener: ResolutionListener) -> None:
        """Set the listener for outcomes of keys of earlier incarnations; must be called before `start`."""
        self.earlier_results.on_resolved = listener

    def start(self) -> None:
        """Log the recovered state, and start the writer and the periodic check."""
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
        self.scheduler.at(self.scheduler.now + CHECK_INTERVAL, self.run_periodic_check)

    def close(self) -> None:
        """Finish the submitted writes, close the files and release the lock."""
        self.writer.close()
        self.files.close()

    def run_periodic_check(self) -> None:
        """Check the disk, delete what has expired, and schedule the next check."""
        now = self.scheduler.now
        self.scheduler.at(now + CHECK_INTERVAL, self.run_periodic_check)
        self.flush_queue.check_disk()
        if now > self._earlier_keys_expire_at and not self.earlier_results.is_empty:
            self.earlier_results.forget(now)
        for serial in self.budget.remove_expired_segments(now):
            self.counters.count("keep.files_dropped")
            self.writer.submit(DeleteSegmentTask(serial=serial))

    # ---- capacity --------------------------------------------------------------------------------------

    def capacity(self) -> KeyCapacity:
        """Return how many new keys the store takes, when they count as scarce, and the time until room."""
        scarce_below = int(SCARCE_SHARE * self.budget.max_entries)
        return KeyCapacity(self._remaining_keys(), scarce_below, self._time_until_room())

    def health(self) -> dict[str, str]:
        """Return why keyed requests are rejected now, for health checks; empty if they are accepted."""
        if not self.disk.is_healthy:
            return {"store": self.disk.state.value}
        if self.scheduler.now < self._in_doubt_until:
            return {"store": "doubt"}
        if not self._remaining_keys():
            return {"store": "full"}
        return {}

    def _remaining_keys(self) -> int:
        """Return how many keys may be started; 0 while the disk is unhealthy or the store in doubt."""
        now = self.scheduler.now
        if not self.disk.is_healthy or now < self._in_doubt_until:
            return 0
        return self.budget.remaining_entries(now)

    def _time_until_room(self) -> int:
        """Return the ticks until a key may be started; 0 if one may be started now."""
        now = self.scheduler.now
        if now < self._in_doubt_until:
            return self._in_doubt_until - now
        if not self.disk.is_healthy:
            return self.disk.stall_limit  # an estimate: it is unknown when the disk recovers
        return self.budget.time_until_room(now)

    # ---- keyed requests --------------------------------------------------------------------------------

    def record_start(self, context: RequestContext, listener: FlushListener) -> None:
        """Record that a request is about to run.

        The listener is notified once whether the run may be launched, which is the case if the started
        record was flushed in time.
        """
        if not self._remaining_keys():
            self.counters.count("keep.no_room")
            self.scheduler.at(self.scheduler.now, lambda: listener(False))
            return
        record = _make_started(context)

        def on_flushed(is_flushed: bool) -> None:
            if not is_flushed:
                self._append_never_ran(record)
            listener(is_flushed)

        self.budget.start_entry(record.expires_at)
        self.flush_queue.append_and_wait(record, on_flushed)

    def record_never_ran(self, context: RequestContext) -> None:
        """Record that a request whose start was recorded will not be launched."""
        self._append_never_ran(_make_started(context))

    def record_completion(
        self, context: RequestContext, run_result: RunResult, listener: FlushListener
    ) -> None:
        """Record the outcome and the result of a run.

        The listener is notified once, and the request may be answered then: either the completed record is
        flushed, or the disk has stalled or failed.
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
        """Complete a started record that may be on the disk, so that a restart does not find it unknown."""
        never_ran = replace(started, kind=RecordKind.COMPLETED, run_id="", outcome=Outcome.SUPERSEDED)
        self.budget.release_reserve()
        self.flush_queue.append(never_ran)

    # ---- earlier incarnations --------------------------------------------------------------------------

    def find_earlier_result(self, context: RequestContext) -> IdempotencyEntry | None:
        """Return the entry of a request's key if an earlier incarnation started it, or None."""
        return self.earlier_results.find(context)

    def complete_earlier_run(self, run_id: str, outcome: Outcome, result: bytes) -> None:
        """Complete a run of an earlier incarnation whose end the agent reports late."""
        self.earlier_results.complete_run(run_id, outcome, result)

    # ---- opening ---------------------------------------------------------------------------------------

    def _open(self, now: int) -> RecoveredStore:
        try:
            return self._recover(now)
        except OSError as error:
            self.files.close()
            raise ConfigurationError(f"keep: {error}") from None

    def _recover(self, now: int) -> RecoveredStore:
        """Read the segments of earlier incarnations, and create a new one after them."""
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
