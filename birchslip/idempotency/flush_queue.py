"""Appends records to the store, notifies listeners of flushes, and tracks flush latency and disk health.

No listener waits longer than the stall limit: once the disk is not healthy, all waiting listeners are
notified that their record is not flushed, and are not notified again if it is flushed later. This module
decides which segment a record is appended to, and does no I/O itself.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from statistics import quantiles

from ..admission.types import MS
from ..net.counters import Counters
from ..net.log import Log
from ..net.scheduler import Scheduler
from .disk_health import DiskHealth
from .record_format import RecordKind, ResultRecord, encode
from .retention_budget import RetentionBudget
from .segment_header import SEGMENT_HEADER
from .writer import AppendTask, Writer

LATENCIES_PER_EVENT = 256
PERCENTILES = 100
KEY_BYTES = 16

FlushListener = Callable[[bool], None]  # its argument states whether the record was flushed


class FlushQueue:
    """Records that are submitted to the writer and not flushed yet."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        writer: Writer,
        budget: RetentionBudget,
        disk: DiskHealth,
    ) -> None:
        """Start empty.

        Args:
            scheduler: Source of the current time.
            counters: Where flushes and changes of the disk state are counted, as `keep.*`.
            log: Where flush latencies and changes of the disk state are logged.
            writer: Executes the appends in its thread.
            budget: Accounts for the segments and their records.
            disk: Health of the disk, updated on each flush.
        """
        self._scheduler = scheduler
        self._counters = counters
        self._log = log
        self._writer = writer
        self._budget = budget
        self._disk = disk
        self._listeners: dict[int, FlushListener] = {}  # by append number
        self._last_append_number = 0
        self._unflushed = 0
        self._segment_has_failed = False
        self._latencies_ms: list[float] = []  # from submission to notification, since the last event

    def append(self, record: ResultRecord, on_done: Callable[[AppendTask], None] | None = None) -> None:
        """Append a record; `on_done` is called once the record is flushed or has failed."""
        raw = encode(record)
        starts_segment = self._segment_has_failed or self._budget.needs_new_segment(len(raw))
        if starts_segment:
            # After an error the old segment is not written to again: a later flush of it may report success
            # although data was lost.
            self._segment_has_failed = False
            self._budget.add_segment(self._budget.segments[-1].serial + 1, SEGMENT_HEADER.size)
        self._budget.add_record(len(raw), record.expires_at)
        self._disk.flush_requested(self._scheduler.now)
        self._unflushed += 1
        task = AppendTask(
            raw=raw,
            serial=self._budget.segments[-1].serial,
            starts_segment=starts_segment,
            submitted_at=self._scheduler.now,
            on_done=partial(self._on_append_done, on_done),
        )
        self._writer.submit(task)

    def append_and_wait(self, record: ResultRecord, listener: FlushListener) -> None:
        """Append a record and notify the listener once whether it was flushed.

        The listener is notified at the latest when the disk counts as stalled.
        """
        self._last_append_number += 1
        number = self._last_append_number
        self._listeners[number] = listener
        self.append(record, lambda task: self._notify_listener(number, not task.error))

    def check_disk(self) -> None:
        """Detect a stalled disk and probe a failed one; called periodically."""
        now = self._scheduler.now
        if self._disk.detect_stall(now):
            self._report_disk_state()
            self._notify_all_not_flushed()
        if self._disk.needs_probe(now):
            self.append(ResultRecord(RecordKind.VOID, bytes(KEY_BYTES), now, 0))

    def _on_append_done(self, on_done: Callable[[AppendTask], None] | None, task: AppendTask) -> None:
        now = self._scheduler.update_clock()
        self._unflushed -= 1
        self._record_latency(now - task.submitted_at, bool(task.error))
        if task.error:
            self._segment_has_failed = True
            has_changed = self._disk.flush_failed(now, task.error)
        else:
            has_changed = self._disk.flush_succeeded(now, self._unflushed > 0)
        if has_changed:
            self._report_disk_state()
        if on_done is not None:
            on_done(task)
        if task.error:
            self._notify_all_not_flushed()

    def _notify_listener(self, number: int, is_flushed: bool) -> None:
        listener = self._listeners.pop(number, None)
        if listener is not None:  # None if it was notified at a stall or an error
            listener(is_flushed)

    def _notify_all_not_flushed(self) -> None:
        listeners, self._listeners = self._listeners, {}
        for listener in listeners.values():
            listener(False)

    def _record_latency(self, latency: int, has_failed: bool) -> None:
        self._counters.count("keep.unflushed" if has_failed else "keep.flushed")
        self._counters.peak("keep.flush_ms", latency // MS)
        self._latencies_ms.append(latency / MS)
        if len(self._latencies_ms) >= LATENCIES_PER_EVENT:
            self._report_latencies()

    def _report_latencies(self) -> None:
        latencies_ms, self._latencies_ms = self._latencies_ms, []
        percentiles = quantiles(latencies_ms, n=PERCENTILES, method="inclusive")
        self._log.info(
            "store_flush_latency",
            flushes=len(latencies_ms),
            p50_ms=round(percentiles[49], 2),
            p99_ms=round(percentiles[98], 2),
        )

    def _report_disk_state(self) -> None:
        self._counters.count(f"keep.{self._disk.state.value}")
        self._log.info("store_disk_state_changed", state=self._disk.state.value, reason=self._disk.reason)
