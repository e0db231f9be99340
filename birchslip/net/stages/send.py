"""Send: runs are started and stopped at the agent, and their ends come back."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from ...admission.types import Outcome, RunEnded
from ..counters import Counters
from ..labels import Labels
from ..log import Log
from ..passage import Conclusion, Passage
from ..servers import Agent
from .admit import Admit
from .book import Book
from .relay import Relay


class Keeping(Protocol):
    """Where a folder survives: `listener` hears once that it is kept, or could not be."""

    def record_start(self, request: Passage, listener: Callable[[bool], None]) -> None: ...
    def record_never_ran(self, request: Passage) -> None: ...
    def record_completion(
        self, request: Passage, conclusion: Conclusion, listener: Callable[[bool], None]
    ) -> None: ...


class Send:
    def __init__(
        self,
        counters: Counters,
        log: Log,
        agent: Agent,
        labels: Labels,
        admit: Admit,
        relay: Relay,
        book: Book,
    ) -> None:
        self.counters, self.log, self.agent, self.labels = counters, log, agent, labels
        self.admit, self.relay, self.book = admit, relay, book
        self.keep: Keeping | None = None

    def start(self, passage: Passage) -> None:
        if passage.label_name and not self.labels.claim(passage):
            # Another try of the same label holds the claim: this one shares what that one comes to.
            self.counters.count("send.unclaimed")
            self.log.fault("a second run of a label was asked for and not made", id=passage.name)
            self.book.attach(passage)
            return
        if passage.label_name and self.keep is not None:
            self.keep.record_start(passage, partial(self.begun, passage))
        else:
            self.launch(passage)

    def launch(self, passage: Passage) -> None:
        passage.launched, passage.launched_at = True, self.admit.scheduler.now
        self.counters.count("send.launched")
        self.counters.peak("send.running", len(self.agent.runs) + 1)
        self.agent.launch(passage)

    def begun(self, passage: Passage, good: bool) -> None:
        """That it begins is kept, or can't be: then it never ran, nor does one written off meanwhile."""
        if good and not passage.answered:
            self.launch(passage)
            return
        if good and self.keep is not None:
            self.keep.record_never_ran(passage)
        # None of its repeats ran either: all may come again.
        for one in (passage, *self.labels.forget(passage, claimed=True)):
            self.book.shed(one)
            self.admit.hear(one, RunEnded(Outcome.SUPERSEDED))

    def stop(self, passage: Passage) -> None:
        if self.agent.runs.get(passage.name) is passage:
            self.counters.count("send.stopped")
            self.agent.freeze(passage)

    def doubt(self, passage: Passage) -> None:
        """How its run ended can't be known any more."""
        self.log.fault("how a run ended can't be known", id=passage.name)
        self.ended(passage, Outcome.CANCELLED, b"", 0)

    def refused(self, passage: Passage) -> None:
        """The agent does not know it: it has never run, and a further try of its label finds nothing."""
        self.counters.count("send.refused")
        self.book.forget(passage, claimed=True)
        self.ended(passage, Outcome.SUPERSEDED, b"", 0)

    def ended(self, passage: Passage, outcome: Outcome, result: bytes, elapsed: int) -> None:
        self.counters.count(f"send.{outcome.value}")
        self.relay.drop(passage)
        conclusion = Conclusion(outcome, result)
        if passage.label_name and self.keep is not None:
            self.keep.record_completion(
                passage, conclusion, lambda good: self.conclude(passage, conclusion, elapsed)
            )
        else:
            self.conclude(passage, conclusion, elapsed)

    def conclude(self, passage: Passage, conclusion: Conclusion, elapsed: int) -> None:
        waiting = self.labels.conclude(passage, conclusion)
        self.book.conclude(passage, conclusion)
        self.admit.hear(passage, RunEnded(conclusion.outcome, elapsed))
        for repeat in waiting:
            self.book.share(repeat, conclusion)
