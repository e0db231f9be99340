"""Route: each wish of the decisions goes to the stage that carries it out."""

from __future__ import annotations

from ...admission.types import (
    Action,
    AttachToOriginal,
    CallDownstream,
    Fail,
    Reject,
    ReleaseKey,
    Request,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
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

    def carry(self, transaction: Request, wish: Action) -> None:
        passage: Passage = transaction.context
        match wish:
            case StartRun():
                self.send.start(passage)
            case CallDownstream(limit):
                self.relay.call(passage, limit)
            case SkipCall():
                self.relay.skip(passage)
            case AttachToOriginal():
                self.book.attach(passage)
            case StopRun():
                self.send.stop(passage)
            case StoreKey(span):
                now = self.scheduler.now
                if passage.label_name:
                    self.labels.remember(passage, now + span, now)
            case ReleaseKey():
                self.book.forget(passage)
            case Reject(after, last):
                self.book.shed(passage, after, last)
            case Fail():
                self.relay.drop(passage)
                self.book.write_off(passage)
