"""Runs an `AdmissionController`: resumes requests with events and performs the actions that they yield.

It makes no decisions. The server around it sets the clock, delivers events and calls `settle` after each
batch.
"""

from __future__ import annotations

from collections.abc import Callable

from .controller import AdmissionController, ControllerMetrics
from .memory_budget import KeyCapacity
from .types import (
    WAITING_ACTIONS,
    Action,
    AdmissionSettings,
    Event,
    Gauges,
    PlanOverride,
    Request,
    ServerAction,
)


class AdmissionDriver:
    """Passes events to the controller of one app server and performs the resulting actions."""

    def __init__(
        self,
        settings: AdmissionSettings,
        now: int,
        perform: Callable[[Request, Action], None],
        perform_server_action: Callable[[ServerAction], None],
        on_error: Callable[[Request, Exception], None] | None = None,
    ) -> None:
        """Start without requests.

        Args:
            settings: Settings of the app server.
            now: The current time.
            perform: Performs an action of one request.
            perform_server_action: Performs an action for the app server as a whole.
            on_error: Receives an exception raised by the steps of a request. It ends the steps of that
                request only. Without `on_error` the exception is raised.
        """
        self.perform = perform
        self.perform_server_action = perform_server_action
        self.on_error = on_error
        self.controller = AdmissionController(settings, now)
        self._perform_server_actions()

    def advance_clock(self, now: int) -> None:
        """Set the current time, which must not go back."""
        self.controller.advance_clock(now)

    def admit(self, request: Request) -> None:
        """Start the steps of a request that was read."""
        request.steps = self.controller.steps(request)
        self.deliver(request, None)

    def deliver(self, request: Request, event: Event | None) -> None:
        """Resume a request with an event until it waits again; ignored for a request that is over."""
        steps = request.steps
        if steps is None:
            return
        try:
            action = next(steps) if event is None else steps.send(event)
            self.perform(request, action)
            while not isinstance(action, WAITING_ACTIONS):
                action = next(steps)
                self.perform(request, action)
        except StopIteration:
            self.release(request)
        except Exception as error:
            try:
                if self.on_error is None:
                    raise
                self.on_error(request, error)
            finally:
                self.release(request)

    @staticmethod
    def release(request: Request) -> None:
        """Drop the references of a request that is over, so that no reference cycle stays in memory."""
        request.steps = request.context = None

    def tick(self, gauges: Gauges) -> None:
        """Update the controller's measurements; called when its timer is due."""
        self.controller.tick(gauges)

    def drain(self, ends_at: int) -> None:
        """Start a drain; the process ends at `ends_at`."""
        self.controller.drain(ends_at)

    def apply_plan(self, plan: PlanOverride) -> bool:
        """Apply a plan; returns False for a plan of an older term or number, which is ignored."""
        return self.controller.apply_plan(plan)

    def limit_new_keys(self, remaining: float, scarce_below: int, retry_delay: int) -> None:
        """Limit the keyed requests that may still start to the room for keys, in memory and in the store.

        Args:
            remaining: How many keyed requests there is room for.
            scarce_below: From this number down, the room is reserved for callers within their quota.
            retry_delay: Time until there is room again.
        """
        self.controller.limit_new_keys(KeyCapacity(remaining, scarce_below, retry_delay))

    def set_downstream_quota(self, calls: float) -> None:
        """Set how many calls to the downstream service may be in flight at once."""
        self.controller.set_downstream_quota(calls)

    def metrics(self) -> ControllerMetrics:
        """Return the controller's current figures."""
        return self.controller.metrics()

    def settle(self) -> None:
        """End a batch: resume the requests that the controller selects, then perform its server actions.

        Requests are resumed one at a time, because each may change which one the controller selects next.
        """
        for request, event in self.controller.settle():
            self.deliver(request, event)
        self._perform_server_actions()

    def _perform_server_actions(self) -> None:
        for action in self.controller.server_actions:
            self.perform_server_action(action)
        self.controller.server_actions.clear()
