"""Route: each wish of the decisions goes to the stage that carries it out."""

from __future__ import annotations

from ...interface import (
    Attach,
    Call,
    Forget,
    Remember,
    Shed,
    SkipCall,
    Start,
    Stop,
    Transaction,
    Wish,
    WriteOff,
)
from ..labels import Labels
from ..passage import Passage
from ..scheduler import Scheduler
from .book import Book
from .relay import Relay
from .send import Send


class Route:
    def __init__(self, scheduler: Scheduler, labels: Labels, send: Send, relay: Relay, book: Book) -> None:
        self.scheduler, self.labels = scheduler, labels
        self.send, self.relay, self.book = send, relay, book

    def carry(self, transaction: Transaction, wish: Wish) -> None:
        passage: Passage = transaction.outside
        match wish:
            case Start():
                self.send.start(passage)
            case Call(limit):
                self.relay.call(passage, limit)
            case SkipCall():
                self.relay.skip(passage)
            case Attach():
                self.book.attach(passage)
            case Stop():
                self.send.stop(passage)
            case Remember(span):
                now = self.scheduler.now
                if passage.label_name:
                    self.labels.remember(passage, now + span, now)
            case Forget():
                self.book.forget(passage)
            case Shed(after, last):
                self.book.shed(passage, after, last)
            case WriteOff():
                self.relay.drop(passage)
                self.book.write_off(passage)
