"""Admit: what was read and what has happened goes to the decisions, in order, at the end of each pass."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ...admission.driver import AdmissionDriver
from ...admission.types import (
    Action,
    AdmissionSettings,
    Event,
    Gauges,
    Request,
    ServerAction,
)
from ..counters import Counters
from ..labels import Labels
from ..passage import Passage
from ..scheduler import Scheduler


class Admit:
    """`unready` hears of what comes while nothing may run, `fault` of what went wrong with one."""

    def __init__(self, scheduler: Scheduler, counters: Counters, labels: Labels) -> None:
        self.scheduler, self.counters, self.labels = scheduler, counters, labels
        self.driver: AdmissionDriver | None = None
        self.news: deque[tuple[Passage, Event | None]] = deque()
        self.gauges: Gauges | None = None
        self.shut = False  # nothing that is read from now on may run
        self.carry: Callable[[Request, Action], None]
        self.tell: Callable[[ServerAction], None]
        self.unready: Callable[[Passage], None]
        self.mislabelled: Callable[[Passage], None]
        self.fault: Callable[[Passage, Exception], None]

    def begin(self, deployment: AdmissionSettings, began: int) -> None:
        self.driver = AdmissionDriver(deployment, began, self.carry, self.tell, self.fault_of)

    def arrive(self, passage: Passage) -> None:
        self.news.append((passage, None))

    def hear(self, passage: Passage, event: Event) -> None:
        self.news.append((passage, event))

    def tick(self, gauges: Gauges) -> None:
        self.gauges = gauges

    def leave(self, end: int) -> None:
        if self.driver is not None:
            self.driver.advance_clock(self.scheduler.now)
            self.driver.drain(end)

    def settle(self) -> None:
        """One batch: what has come, then a tick, then who goes on. What that brings is the next batch's."""
        if self.driver is None:
            # Also of what repeats a label of an earlier life: nothing has run in this one, it may come again.
            while self.news:
                self.unready(self.news.popleft()[0])
            return
        self.driver.advance_clock(self.scheduler.tell_time())
        for _ in range(len(self.news)):
            passage, event = self.news.popleft()
            try:
                self.pass_on(self.driver, passage, event)
            except Exception as trouble:
                self.fault(passage, trouble)
        if self.gauges is not None:
            gauges, self.gauges = self.gauges, None
            self.driver.tick(gauges)
        self.driver.settle()
        if self.news:
            self.scheduler.soon()

    def pass_on(self, driver: AdmissionDriver, passage: Passage, event: Event | None) -> None:
        transaction = passage.transaction
        if event is not None:
            driver.deliver(transaction, event)
            return
        if passage.answered:
            return
        self.find_label(passage)
        if self.shut and passage.label is None:
            self.unready(passage)
            return
        if passage.label is not None:
            if not passage.label.same(passage):
                self.counters.count("admit.mislabelled")
                self.mislabelled(passage)
                return
            self.counters.count("admit.repeats")
            transaction.original = passage.label.original.transaction
        transaction.context = passage
        driver.admit(transaction)

    def find_label(self, passage: Passage) -> None:
        if passage.label_name and passage.label is None:
            standing = self.labels.standing(passage.label_name, passage.stamp)
            passage.label = standing or self.labels.earlier(passage)

    def fault_of(self, transaction: Request, trouble: Exception) -> None:
        self.fault(transaction.context, trouble)
