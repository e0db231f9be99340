"""The service below in the model: shared by all app servers that call it, slower when crowded, and down where
it is loaded past what it survives.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ...admission.types import Outcome
from .clock import Clock


@dataclass(eq=False, slots=True)
class CallBelow:
    """One call in hand."""

    server: str
    then: Callable[[Outcome], None]
    over: bool = False


class Below:
    """`took` is a usual call's span; past `holds` in hand each takes longer in proportion; past `survives`
    the service falls, and stays down. `most` is the most that was ever in hand.
    """

    def __init__(self, clock: Clock, chance: Random, took: int, holds: int = 0, survives: int = 0) -> None:
        self.clock, self.chance = clock, chance
        self.took, self.holds, self.survives = took, holds, survives
        self.in_hand = self.most = 0
        self.by_server: dict[str, dict[CallBelow, None]] = {}
        self.down = self.fallen = False
        self.changed: Callable[[str], None] = lambda server: None

    def ask(self, server: str, limit: int, then: Callable[[Outcome], None]) -> CallBelow:
        call = CallBelow(server, then)
        if self.down:
            self.clock.after(10, self.end, call, Outcome.UNREACHABLE)
            self.hold(call)
            return call
        self.hold(call)
        crowd = max(1.0, self.in_hand / self.holds) if self.holds else 1.0
        took = int(self.took * self.chance.uniform(0.75, 1.25) * crowd)
        if self.survives and self.in_hand > self.survives:
            self.fallen = True
            self.fall()
            return call
        if took > limit:
            self.clock.after(limit, self.end, call, Outcome.TIMED_OUT)
        else:
            self.clock.after(took, self.end, call, Outcome.SERVED)
        return call

    def hold(self, call: CallBelow) -> None:
        self.in_hand += 1
        self.most = max(self.most, self.in_hand)
        self.by_server.setdefault(call.server, {})[call] = None
        self.changed(call.server)

    def unask(self, call: CallBelow) -> None:
        if not call.over:
            call.over = True
            self.in_hand -= 1
            del self.by_server[call.server][call]
            self.changed(call.server)

    def end(self, call: CallBelow, outcome: Outcome) -> None:
        if not call.over:
            self.unask(call)
            call.then(outcome)

    def drop(self, server: str) -> None:
        """The app server has died: its calls are in hand no more."""
        for call in list(self.by_server.get(server, ())):
            self.unask(call)

    def fall(self) -> None:
        """All that is in hand is cut."""
        self.down = True
        for calls in list(self.by_server.values()):
            for call in list(calls):
                self.clock.after(0, self.end, call, Outcome.CONNECTION_LOST)

    def rise(self) -> None:
        self.down = self.fallen = False
