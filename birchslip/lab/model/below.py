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
class DownstreamCall:
    """One call in hand."""

    server: str
    on_end: Callable[[Outcome], None]
    is_over: bool = False


class DownstreamService:
    """`took` is a usual call's span; past `holds` in hand each takes longer in proportion; past `survives`
    the service falls, and stays down. `most` is the most that was ever in hand.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        mean_call_time: int,
        full_speed_limit: int = 0,
        failure_limit: int = 0,
    ) -> None:
        self.clock, self.rng = clock, rng
        self.mean_call_time = mean_call_time
        self.full_speed_limit, self.failure_limit = full_speed_limit, failure_limit
        self.calls_in_flight = self.max_calls_in_flight = 0
        self.calls_by_server: dict[str, dict[DownstreamCall, None]] = {}
        self.is_down = self.has_failed = False
        self.on_change: Callable[[str], None] = lambda server: None

    def start_call(self, server: str, timeout: int, on_end: Callable[[Outcome], None]) -> DownstreamCall:
        call = DownstreamCall(server, on_end)
        if self.is_down:
            self.clock.after(10, self.finish_call, call, Outcome.UNREACHABLE)
            self.add_call(call)
            return call
        self.add_call(call)
        slowdown = max(1.0, self.calls_in_flight / self.full_speed_limit) if self.full_speed_limit else 1.0
        call_time = int(self.mean_call_time * self.rng.uniform(0.75, 1.25) * slowdown)
        if self.failure_limit and self.calls_in_flight > self.failure_limit:
            self.has_failed = True
            self.go_down()
            return call
        if call_time > timeout:
            self.clock.after(timeout, self.finish_call, call, Outcome.TIMED_OUT)
        else:
            self.clock.after(call_time, self.finish_call, call, Outcome.SERVED)
        return call

    def add_call(self, call: DownstreamCall) -> None:
        self.calls_in_flight += 1
        self.max_calls_in_flight = max(self.max_calls_in_flight, self.calls_in_flight)
        self.calls_by_server.setdefault(call.server, {})[call] = None
        self.on_change(call.server)

    def remove_call(self, call: DownstreamCall) -> None:
        if not call.is_over:
            call.is_over = True
            self.calls_in_flight -= 1
            del self.calls_by_server[call.server][call]
            self.on_change(call.server)

    def finish_call(self, call: DownstreamCall, outcome: Outcome) -> None:
        if not call.is_over:
            self.remove_call(call)
            call.on_end(outcome)

    def drop_calls(self, server: str) -> None:
        """The app server has died: its calls are in hand no more."""
        for call in list(self.calls_by_server.get(server, ())):
            self.remove_call(call)

    def go_down(self) -> None:
        """All that is in hand is cut."""
        self.is_down = True
        for calls in list(self.calls_by_server.values()):
            for call in list(calls):
                self.clock.after(0, self.finish_call, call, Outcome.CONNECTION_LOST)

    def recover(self) -> None:
        self.is_down = self.has_failed = False
