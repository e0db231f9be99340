"""The downstream service of the emulated fleet, shared by all app servers that call it.

Its calls take longer in proportion to the load past a limit, and past a higher limit the service goes down.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ...admission.types import Outcome
from .clock import Clock

CONNECT_FAILURE_TIME = 10  # 1 ms until a call to a service that is down fails


@dataclass(eq=False, slots=True)
class DownstreamCall:
    """A call to the downstream service.

    Attributes:
        server: Name of the app server that made the call.
        on_end: Called with the outcome when the call ends; not if the call is removed before that.
        is_over: Whether the call has ended or was removed.
    """

    server: str
    on_end: Callable[[Outcome], None]
    is_over: bool = False


class DownstreamService:
    """The emulated downstream service. Times are in units of 0.1 ms.

    Attributes:
        calls_in_flight: Number of calls that have not ended.
        max_calls_in_flight: The highest number of calls in flight so far.
        calls_by_server: The calls in flight of each app server, by its name, in the order of their start.
        is_down: Whether calls fail because the service is down.
        has_failed: Whether the service went down because of `failure_limit`.
        on_change: Called with the name of an app server when its number of calls in flight changes.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        mean_call_time: int,
        full_speed_limit: int = 0,
        failure_limit: int = 0,
    ) -> None:
        """Create a service that is up and has no calls.

        Args:
            clock: The virtual clock.
            rng: Source of the call durations.
            mean_call_time: Mean duration of a call at full speed.
            full_speed_limit: Calls in flight past which new calls slow down in proportion; 0 for no limit.
            failure_limit: Calls in flight past which the service goes down until `recover`; 0 for no limit.
        """
        self.clock, self.rng = clock, rng
        self.mean_call_time = mean_call_time
        self.full_speed_limit, self.failure_limit = full_speed_limit, failure_limit
        self.calls_in_flight = self.max_calls_in_flight = 0
        self.calls_by_server: dict[str, dict[DownstreamCall, None]] = {}
        self.is_down = self.has_failed = False
        self.on_change: Callable[[str], None] = lambda server: None

    def start_call(self, server: str, timeout: int, on_end: Callable[[Outcome], None]) -> DownstreamCall:
        """Start a call and schedule its end.

        The call takes the mean time, up to a quarter more or less, and longer past `full_speed_limit`. A
        service that is down fails the call after `CONNECT_FAILURE_TIME`. A call past `failure_limit` takes
        the service down, and all calls in flight lose their connection.

        Args:
            server: Name of the app server that makes the call.
            timeout: Span after which the call ends as timed out.
            on_end: Called with the outcome when the call ends.

        Returns:
            The call.
        """
        call = DownstreamCall(server, on_end)
        if self.is_down:
            self.clock.after(CONNECT_FAILURE_TIME, self.finish_call, call, Outcome.UNREACHABLE)
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
        """Count a call as in flight."""
        self.calls_in_flight += 1
        self.max_calls_in_flight = max(self.max_calls_in_flight, self.calls_in_flight)
        self.calls_by_server.setdefault(call.server, {})[call] = None
        self.on_change(call.server)

    def remove_call(self, call: DownstreamCall) -> None:
        """Stop counting a call as in flight, without reporting an outcome; ignored if the call is over."""
        if not call.is_over:
            call.is_over = True
            self.calls_in_flight -= 1
            del self.calls_by_server[call.server][call]
            self.on_change(call.server)

    def finish_call(self, call: DownstreamCall, outcome: Outcome) -> None:
        """End a call and report its outcome; ignored if the call is over."""
        if not call.is_over:
            self.remove_call(call)
            call.on_end(outcome)

    def drop_calls(self, server: str) -> None:
        """Remove all calls of an app server that has crashed, without reporting an outcome."""
        for call in list(self.calls_by_server.get(server, ())):
            self.remove_call(call)

    def go_down(self) -> None:
        """Take the service down; all calls in flight lose their connection."""
        self.is_down = True
        for calls in list(self.calls_by_server.values()):
            for call in list(calls):
                self.clock.after(0, self.finish_call, call, Outcome.CONNECTION_LOST)

    def recover(self) -> None:
        """Bring the service up again and clear `has_failed`."""
        self.is_down = self.has_failed = False
