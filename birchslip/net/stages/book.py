"""Book: each transaction gets its one final answer here, and what came of it is counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ...admission.types import CallerGone, Outcome, RunEnded
from ..counters import Counters
from ..labels import Labels
from ..log import Log
from ..passage import Conclusion, Label, Passage
from .admit import Admit


class Book:
    def __init__(self, counters: Counters, log: Log, labels: Labels, admit: Admit) -> None:
        self.counters, self.log, self.labels, self.admit = counters, log, labels, admit
        self.open_names: set[str] = set()
        # hears of each final answer, where a fleet's side wants to
        self.told: Callable[[Passage, str], None] | None = None

    def open(self, passage: Passage) -> None:
        """From now on it is owed its answer."""
        passage.client.open[passage.number] = passage
        self.open_names.add(passage.name)

    def close(self, passage: Passage, what: str) -> bool:
        """Whether this is the final answer: there is one, and none once the caller has gone."""
        if passage.answered:
            return False
        passage.answered = True
        passage.client.open.pop(passage.number, None)
        self.open_names.discard(passage.name)
        self.counters.count(f"book.{what}")
        if self.told is not None:
            self.told(passage, what)
        return True

    def honour(self, passage: Passage, result: bytes) -> None:
        if self.close(passage, "honoured"):
            passage.client.honour(passage.number, result)

    def write_off(self, passage: Passage, what: str = "written_off") -> None:
        if self.close(passage, what):
            passage.client.write_off(passage.number)

    def shed(self, passage: Passage, after: int = 0, last: bool = False) -> None:
        """Only ever said of what never ran: were it asked for one that has, it would be written off."""
        if passage.launched:
            self.log.fault("a shed of what has run was asked for and not said", id=passage.name)
            self.write_off(passage)
        elif self.close(passage, "shed"):
            passage.client.shed(passage.number, after, last)

    def gone(self, passage: Passage) -> None:
        """Its caller waits no longer, or its connection has ended."""
        if self.close(passage, "gone"):
            self.admit.hear(passage, CallerGone())

    def give_up(self, passage: Passage) -> None:
        """No later answer can reach its caller: it is answered now, and the decisions hear that nobody waits.

        Shed where neither it nor any try of its label has run, for that may be tried again elsewhere.
        """
        label = passage.label
        ran = label is not None and (label.ran is not None or label.asked is not None)
        if not passage.answered:
            self.write_off(passage) if passage.launched or ran else self.shed(passage)
            self.admit.hear(passage, CallerGone())

    def conclude(self, passage: Passage, conclusion: Conclusion) -> None:
        """Its run is over: the result, or that there is none, unless it was answered before."""
        if conclusion.outcome is Outcome.SERVED:
            self.honour(passage, conclusion.result)
        else:
            self.write_off(passage, "erred")

    # ---- labels --------------------------------------------------------------------------------------------

    def attach(self, passage: Passage) -> None:
        """It shares what the try that it repeats comes to, or has come to."""
        conclusion = self.labels.attach(passage)
        if conclusion is not None:
            self.share(passage, conclusion)

    def share(self, passage: Passage, conclusion: Conclusion) -> None:
        outcome = Outcome.SERVED if conclusion.outcome is Outcome.SERVED else Outcome.FAILED
        self.conclude(passage, conclusion)
        self.admit.hear(passage, RunEnded(outcome))

    def resolve(self, entry: Label, conclusion: Conclusion) -> None:
        """What a try of an earlier life has come to: those that wait for it hear so."""
        entry.conclusion = conclusion
        waiting, entry.waiting = entry.waiting, []
        for repeat in waiting:
            self.share(repeat, conclusion if entry.same(repeat) else Conclusion(Outcome.FAILED))

    def forget(self, passage: Passage, claimed: bool = False) -> None:
        for repeat in self.labels.forget(passage, claimed):
            self.share(repeat, Conclusion(Outcome.FAILED))

    # ---- trouble -------------------------------------------------------------------------------------------

    def guarded(self, stage: Callable[..., None]) -> Callable[..., None]:
        """The stage, with a fault in it kept to its transaction, which is the first argument."""

        def run(passage: Passage, *more: Any) -> None:
            try:
                stage(passage, *more)
            except Exception as trouble:
                self.fault(passage, trouble)

        return run

    def fault(self, passage: Passage, trouble: Exception) -> None:
        """An exception in its stages: it alone is written off, and the program goes on."""
        self.counters.count("book.faults")
        self.log.trace("a fault in a transaction's stages", trouble, id=passage.name)
        self.write_off(passage)
