"""One app server's kept results: between the stages, which run and answer, and the thread that flushes.

*begun* is flushed before the launch is ordered, *concluded* before the answer is sent. Who may run is for
`labels.py` alone to say; this module only knows what earlier lives have left.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from statistics import quantiles

from ..admission.types import (
    NEVER_RAN_OUTCOMES,
    Outcome,
    Request,
    RequestClass,
    RequestState,
)
from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.passage import Conclusion, Label, Passage
from ..net.scheduler import Scheduler
from .disk import Disk
from .files import Files, FileSystem, StoreWriteError
from .index import UNKNOWN, Index
from .record_format import (
    FILE,
    RecordKind,
    ResultRecord,
    ScanOutcome,
    digest_of,
    encode,
)
from .recovery import Recovered, place, recover
from .retention_budget import CLOSING, RetentionBudget
from .settings_file import StoreSettings
from .writer import Work, Writer

LOOK = 500  # the disk's state is looked at twenty times a second
TOOK = 256  # waits whose times are told together
SCARCE = 0.2  # of the entries: from here on the room is for who is within the quota


class DiscardingContext:
    """The caller of a try of an earlier life: there is nobody to answer."""

    def __init__(self) -> None:
        self.open: dict[int, Passage] = {}

    def honour(self, number: int, result: bytes) -> None: ...
    def shed(self, number: int, after: int, last: bool) -> None: ...
    def write_off(self, number: int) -> None: ...


class ResultStore:
    """`InvalidInputError` at its making says in a line why the store can't be had."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        told: StoreSettings,
        name: str,
        profiles: list[RequestClass],
        system: FileSystem | None = None,
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.longest = max([profile.key_retention for profile in profiles], default=0)
        linger = max([profile.deadline for profile in profiles], default=0)
        self.ledger = RetentionBudget(told.entries, told.bytes, linger)
        self.disk = Disk(told.stall_ms * 10)
        self.files = Files(Path(told.folder), name, system)
        self.writer = Writer(scheduler, self.files, told.gather_ms / 1000)
        self.pending: dict[Waiting, None] = {}
        self.took: list[float] = []  # ms that waits for a flush took, until they are told
        self.waiting = 0  # pieces of work that wait for a flush
        self.failed_file = False
        self.resolved: Callable[[Label, Conclusion], None]
        try:
            self.recovered = self.open(scheduler.now)
        except (StoreWriteError, OSError) as trouble:
            self.files.close()
            raise InvalidInputError(f"keep: {trouble}") from None
        self.doubt_until = scheduler.now + self.longest if self.recovered.doubt else 0
        self.forget_at = scheduler.now + self.longest + linger
        self.fetched: dict[bytes, Label] = {}  # of earlier lives, asked for in this one

    def open(self, now: int) -> Recovered:
        """All that earlier lives left, and a file of this one's own behind it."""
        self.files.hold()
        last = max(self.files.serials(), default=0)
        made = recover(self.files.each(), self.ledger, now, self.longest, FILE.size, last)
        made.doubt = made.doubt or self.files.doubt
        if made.cut is not None:
            self.files.system.cut(self.files.path(last), max(FILE.size, made.cut))
        for serial in self.ledger.gone(now):
            self.files.drop(serial)
        self.files.begin(last + 1)
        self.ledger.open_file(self.files.serial, self.files.size)
        return made

    # ---- the process -----------------------------------------------------------------------------------

    def tell(self, resolved: Callable[[Label, Conclusion], None]) -> None:
        """Who hears what a label of an earlier life has come to."""
        self.resolved = resolved

    def start(self) -> None:
        made = self.recovered
        self.log.info(
            "kept results",
            labels=len(made.index),
            unknown=made.unknown,
            runs=len(made.runs),
            torn=made.found[ScanOutcome.TORN],
            spoilt=made.found[ScanOutcome.SPOILT],
            lost=made.found[ScanOutcome.LOST],
            doubt=made.doubt,
            bytes=self.ledger.held,
        )
        self.writer.start()
        self.scheduler.spawn("keep", self.writer.hear)
        self.scheduler.at(self.scheduler.now + LOOK, self.look)

    def finish(self) -> None:
        self.writer.finish()
        self.files.close()

    def look(self) -> None:
        """By time: stalls, probes, files whose windows are over."""
        now = self.scheduler.now
        self.scheduler.at(now + LOOK, self.look)
        if self.disk.look(now):
            self.say_state()
            self.give_up()
        if self.disk.wants_probe(now):
            raw = encode(ResultRecord(RecordKind.VOID, bytes(16), now, 0))
            self.put(raw, now, lambda work: None)
        if now > self.forget_at and len(self.recovered.index):
            # Nothing of earlier lives is in its window any more.
            self.recovered.index, self.fetched = Index(now), {}
        for serial in self.ledger.gone(now):
            self.counters.count("keep.files_dropped")
            self.writer.put(Work(lambda work: None, drop=serial))

    def say_took(self) -> None:
        """How long waits for a flush were, as those saw it who waited."""
        took, self.took = self.took, []
        cuts = quantiles(took, n=100, method="inclusive")
        self.log.info("flushes", flushes=len(took), p50_ms=round(cuts[49], 2), p99_ms=round(cuts[98], 2))

    def say_state(self) -> None:
        self.counters.count(f"keep.{self.disk.state.value}")
        self.log.info("the store's disk", state=self.disk.state.value, why=self.disk.why)

    # ---- what the decisions are told -------------------------------------------------------------------

    def room(self) -> int:
        """How many labelled transactions may still begin."""
        now = self.scheduler.now
        return self.ledger.room(now) if self.disk.good and now >= self.doubt_until else 0

    def wait(self) -> int:
        """Until there may be room again."""
        now = self.scheduler.now
        if now < self.doubt_until:
            return self.doubt_until - now
        return self.ledger.wait(now) if self.disk.good else self.disk.stall

    def told(self) -> tuple[int, int, int]:
        """How many may still begin, from which number on that is few, and how long until there is room."""
        return self.room(), int(SCARCE * self.ledger.entries), self.wait()

    def health(self) -> dict[str, str]:
        """For health checks: why labelled transactions are shed just now; nothing while they are not."""
        if not self.disk.good:
            return {"store": self.disk.state.value}
        if self.scheduler.now < self.doubt_until:
            return {"store": "doubt"}
        return {} if self.room() else {"store": "full"}

    # ---- writing ---------------------------------------------------------------------------------------

    def put(self, raw: bytes, until: int, then: Callable[[Work], None]) -> None:
        now, file = self.scheduler.now, 0
        if self.failed_file or self.ledger.wants_new_file(len(raw)):
            # After an error the old file is not written to: what the system says of it later is not to be
            # believed.
            file, self.failed_file = self.ledger.files[-1].serial + 1, False
            self.ledger.open_file(file, FILE.size)
        self.ledger.written(len(raw), until)
        self.disk.sent(now)
        self.waiting += 1
        serial = self.ledger.files[-1].serial
        self.writer.put(Work(partial(self.ended, then), raw, file, sent=now, serial=serial))

    def ended(self, then: Callable[[Work], None], work: Work) -> None:
        now = self.scheduler.tell_time()
        self.waiting -= 1
        self.counters.count("keep.flushed" if not work.trouble else "keep.unflushed")
        self.counters.peak("keep.flush_ms", (now - work.sent) // 10)
        self.took.append((now - work.sent) / 10)
        if len(self.took) >= TOOK:
            self.say_took()
        if work.trouble:
            self.failed_file = True
            changed = self.disk.failed(now, work.trouble)
        else:
            changed = self.disk.done(now, self.waiting > 0)
        if changed:
            self.say_state()
        then(work)
        if work.trouble:
            self.give_up()

    # ---- the path of a labelled transaction ------------------------------------------------------------

    def begin(self, passage: Passage, then: Callable[[bool], None]) -> None:
        """`then` hears, once, whether it may be launched: *begun* is flushed, or could not be in time."""
        if not self.room():
            self.counters.count("keep.no_room")
            self.scheduler.at(self.scheduler.now, lambda: then(False))
            return
        entry = self.entry(RecordKind.BEGUN, passage, run=passage.name)
        self.ledger.begin(entry.until)
        self.once(encode(entry), entry, then, passage)

    def conclude(self, passage: Passage, conclusion: Conclusion, then: Callable[[bool], None]) -> None:
        """`then` hears, once, that it may be answered: *concluded* is flushed, or the disk would keep it too
        long.
        """
        entry = self.entry(
            RecordKind.CONCLUDED, passage, outcome=conclusion.outcome, result=conclusion.result
        )
        self.ledger.conclude()
        self.once(encode(entry), entry, then, None)

    def entry(self, kind: RecordKind, passage: Passage, **more: object) -> ResultRecord:
        window = passage.transaction.request_class.key_retention
        digest = digest_of(passage.profile, passage.body)
        label = bytes.fromhex(passage.label_name)
        return ResultRecord(kind, label, passage.window_from, window, digest=digest, **more)  # type: ignore[arg-type]

    def once(
        self, raw: bytes, entry: ResultRecord, then: Callable[[bool], None], passage: Passage | None
    ) -> None:
        """Waits for the flush, and no longer than a stall: what is said then stays said."""
        wait = Waiting(then, entry)
        self.pending[wait] = None
        self.put(raw, entry.until, lambda work: self.over(wait, not work.trouble))

    def over(self, wait: Waiting, good: bool) -> None:
        if wait in self.pending:  # or it was given up before
            del self.pending[wait]
            self.answer(wait, good)

    def answer(self, wait: Waiting, good: bool) -> None:
        if wait.entry.kind is RecordKind.BEGUN and not good:
            self.never_ran(wait.entry)
        wait.then(good)

    def give_up(self) -> None:
        """The disk is not good: who waits for it hears so now."""
        waits, self.pending = list(self.pending), {}
        for wait in waits:
            self.answer(wait, False)

    def void(self, passage: Passage) -> None:
        """It was begun, and will not be launched after all."""
        self.never_ran(self.entry(RecordKind.BEGUN, passage, run=passage.name))

    def never_ran(self, entry: ResultRecord) -> None:
        """It may stand in the file as begun: said to be void, a later life does not take it for unknown."""
        void = ResultRecord(
            RecordKind.CONCLUDED,
            entry.label,
            entry.stamp,
            entry.span,
            digest=entry.digest,
            outcome=Outcome.SUPERSEDED,
        )
        self.ledger.conclude()
        self.put(encode(void), entry.until, lambda work: None)

    # ---- what earlier lives left -----------------------------------------------------------------------

    def earlier(self, passage: Passage) -> Label | None:
        """The entry of a label that an earlier life began; what came of it is fetched."""
        label = bytes.fromhex(passage.label_name)
        where = self.recovered.index.get(label, passage.stamp)
        if where is None:
            return None
        known = self.fetched.get(label)
        if known is not None:
            return known
        entry = self.fetched[label] = self.stand_in(passage)
        if where == UNKNOWN:
            self.counters.count("keep.unknown")
            entry.conclusion = Conclusion(Outcome.FAILED)
        else:
            self.counters.count("keep.fetched")
            record = (where >> 32, where & 0xFFFFFFFF, CLOSING)
            self.writer.put(Work(partial(self.fetch_over, entry), fetch=record))
        return entry

    def stand_in(self, like: Passage) -> Label:
        """A try of an earlier life, as far as the decisions look at it: it has run, and is over."""
        arrived = like.stamp
        transaction = Request(
            like.transaction.request_class, caller=0, arrived_at=arrived, deadline=arrived, size=0
        )
        transaction.has_started, transaction.state = True, RequestState.COMPLETED
        passage = Passage(DiscardingContext(), 0, "", "", b"", transaction, arrived, like.label_name)
        passage.launched = passage.answered = True
        return Label(like.label_name, passage, arrived, passage, asked=lambda other: True)

    def fetch_over(self, entry: Label, work: Work) -> None:
        piece = work.found
        whole = piece is not None and piece.found is ScanOutcome.GOOD and piece.entry is not None
        found = piece.entry if piece is not None and whole else None
        if found is None or found.label != bytes.fromhex(entry.name):
            self.counters.count("keep.unread")
            self.resolve(entry, Conclusion(Outcome.FAILED))
            return
        digest = found.digest
        entry.asked = lambda other: digest_of(other.profile, other.body) == digest
        self.resolve(entry, Conclusion(found.outcome, found.result))

    def resolve(self, entry: Label, conclusion: Conclusion) -> None:
        if entry.conclusion is None:
            self.resolved(entry, conclusion)

    def stranger(self, run: str, outcome: Outcome, result: bytes) -> None:
        """A run of an earlier life whose end the agent still tells: no longer unknown."""
        begun = self.recovered.runs.pop(run, None)
        if begun is None:
            return
        self.counters.count("keep.resolved")
        entry = ResultRecord(
            RecordKind.CONCLUDED,
            begun.label,
            begun.stamp,
            begun.span,
            digest=begun.digest,
            outcome=outcome,
            result=result,
        )
        known = self.fetched.pop(begun.label, None)
        if known is not None and known.conclusion is None:
            self.resolve(known, Conclusion(outcome, result))
        raw = encode(entry)

        def kept(work: Work) -> None:
            if not work.trouble and outcome not in NEVER_RAN_OUTCOMES:
                self.recovered.index.put(begun.label, begun.until, place(work.serial, work.at))
            elif outcome in NEVER_RAN_OUTCOMES:
                self.recovered.index.put(begun.label, 0)

        self.put(raw, begun.until, kept)


class Waiting:
    """Somebody who waits for a flush."""

    __slots__ = ("entry", "then")

    def __init__(self, then: Callable[[bool], None], entry: ResultRecord) -> None:
        self.then, self.entry = then, entry
