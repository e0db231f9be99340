"""What is known of labels when a store is read again, file by file, oldest first.

| record | after it the label is |
| --- | --- |
| begun | unknown: its run may have had its effect; repeats are written off, and never run |
| concluded | known: repeats get the first answer |
| concluded as never run | free |
| spoilt | unknown, whatever it said |
| torn, at the end of the last file | as before: nothing was done that rests on it |
| lost, or torn elsewhere | some may be unknown that nobody can name: all are *in doubt* for one window |
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..admission.types import NEVER_RAN_OUTCOMES
from .index import UNKNOWN, Index
from .record_format import HEAD, OUTCOMES, RecordKind, ResultRecord, ScanOutcome, read
from .record_format import scan as scan_file
from .retention_budget import RetentionBudget

OUTCOME_AT = HEAD.size + 16  # in a record of one concluded
VOID_CODES = frozenset(OUTCOMES.index(outcome) for outcome in NEVER_RAN_OUTCOMES)


@dataclass(slots=True)
class Recovered:
    """`runs` are those begun and not concluded, by the run's name at the agent; `cut` is how much of the last
    file stands.
    """

    index: Index = field(default_factory=Index)
    runs: dict[str, ResultRecord] = field(default_factory=dict)
    found: dict[ScanOutcome, int] = field(default_factory=lambda: dict.fromkeys(ScanOutcome, 0))
    over: int = 0  # records whose window has ended
    unknown: int = 0
    doubt: bool = False
    cut: int | None = None


def place(serial: int, at: int) -> int:
    """Where a record stands, as one number."""
    return serial << 32 | at


class Reading:
    """One reading of a store. `longest` is the longest window: an end beyond it was told by a clock that has
    been set back since, and counts from now.
    """

    def __init__(self, ledger: RetentionBudget, now: int, longest: int) -> None:
        self.ledger, self.now, self.longest = ledger, now, longest
        self.made = Recovered(Index(now - longest - ledger.linger - 1))
        self.labels: dict[bytes, tuple[int, int]] = {}  # end of the window, place or UNKNOWN
        self.open: dict[bytes, tuple[int, int, int]] = {}  # begun and not concluded: file, place, size
        self.begun: dict[bytes, ResultRecord | None] = {}
        self.before: int | None = None

    def file(self, serial: int, raw: bytes, last: bool, start: int) -> None:
        made, now, latest = self.made, self.now, self.now + self.longest
        if self.before is not None and serial != self.before + 1:
            made.doubt = True  # a file is missing between two others
        self.before = serial
        self.ledger.open_file(serial, len(raw))
        ends, linger = 0, self.ledger.linger
        good, begun, concluded = ScanOutcome.GOOD, RecordKind.BEGUN.value, RecordKind.CONCLUDED.value
        labels, runs, whole = self.labels, self.open, 0
        for found, at, size, kind, label, stamp, span in scan_file(raw, start):
            if found is good:
                whole += 1
            else:
                made.found[found] += 1
            if found is ScanOutcome.TORN and last:
                made.cut = at
                self.ledger.files[-1].size = at
                continue
            if found is ScanOutcome.LOST or found is ScanOutcome.TORN:
                made.doubt, ends = True, latest
                continue
            until = min(stamp + span, latest)
            if until > ends:
                ends = until
            if until + linger < now or (kind != begun and kind != concluded):
                made.over += 1
                continue
            if found is not good:
                labels[label] = (until, UNKNOWN)
                runs.pop(label, None)
            elif kind == begun:
                labels[label] = (until, UNKNOWN)
                runs[label] = (serial, at, size)
            else:
                runs.pop(label, None)
                if raw[at + OUTCOME_AT] in VOID_CODES:
                    labels.pop(label, None)
                else:
                    labels[label] = (until, place(serial, at))
        made.found[good] += whole
        self.ledger.files[-1].last = ends
        for label, (of, at, size) in list(runs.items()):
            if of == serial:
                # Read now: the file is not kept in memory.
                self.begun[label] = read(
                    raw, (good, at, size, begun, label, *HEAD.unpack_from(raw, at)[5:7])
                ).entry

    def whole(self) -> Recovered:
        made = self.made
        made.runs = {entry.run: entry for label, entry in self.begun.items() if entry and label in self.open}
        made.index.make_room(len(self.labels))
        for label, (until, where) in self.labels.items():
            made.index.put(label, until, where)
            self.ledger.count(until)
            made.unknown += where == UNKNOWN
        return made


def recover(
    files: Iterable[tuple[int, bytes]], ledger: RetentionBudget, now: int, longest: int, start: int, last: int
) -> Recovered:
    """`start` is where records begin in a file, `last` the serial of the newest: each is needed once."""
    reading = Reading(ledger, now, longest)
    for serial, raw in files:
        reading.file(serial, raw, serial == last, start)
    return reading.whole()
