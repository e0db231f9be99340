"""Relay: a run's call goes to the vault when its turn has come, and the reply goes back to the run."""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import MS, CallEnded, CallNeeded, Outcome
from ..counters import Counters
from ..passage import Passage
from ..scheduler import Scheduler
from ..servers import Agent
from ..vault import Vault
from .admit import Admit


class Relay:
    def __init__(
        self, scheduler: Scheduler, counters: Counters, agent: Agent, vault: Vault, admit: Admit
    ) -> None:
        self.scheduler, self.counters = scheduler, counters
        self.agent, self.vault, self.admit = agent, vault, admit
        self.guarded_overdue: Callable[[Passage], None] = self.overdue

    def wanted(self, passage: Passage, notice: int, body: bytes) -> None:
        self.counters.count("relay.wanted")
        self.drop(passage)  # one that is out is none that the run waits for any more
        passage.need, passage.need_body = notice, body
        self.admit.hear(passage, CallNeeded())

    def call(self, passage: Passage, limit: int) -> None:
        self.counters.count("relay.called")
        now = self.scheduler.now
        passage.call_at = now
        passage.call_timer = self.scheduler.at(now + limit, lambda: self.guarded_overdue(passage))
        self.vault.ask(passage, max(1, limit // MS), passage.need_body)

    def skip(self, passage: Passage) -> None:
        self.counters.count("relay.skipped")
        self.agent.forgo(passage)

    def overdue(self, passage: Passage) -> None:
        self.vault.unask(passage)
        self.ended(passage, Outcome.TIMED_OUT, b"")

    def ended(self, passage: Passage, outcome: Outcome, reply: bytes) -> None:
        self.counters.count(f"relay.{outcome.value}")
        self.rest(passage)
        if outcome is Outcome.SERVED:
            self.agent.deliver(passage, reply)
        self.admit.hear(passage, CallEnded(outcome, self.scheduler.now - passage.call_at))

    def drop(self, passage: Passage) -> None:
        """Its transaction or its run is over: no call is left behind."""
        if passage.call_timer is not None:
            self.counters.count("relay.dropped")
            self.rest(passage)
            self.vault.unask(passage)

    @staticmethod
    def rest(passage: Passage) -> None:
        if passage.call_timer is not None:
            passage.call_timer.cancel()
            passage.call_timer = None
