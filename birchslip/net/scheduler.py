"""An event loop of greenlets over `select.poll`, with timers.

A pass runs due timers, then tasks that are ready, then calls `on_pass_end` once, then runs the actions
scheduled for its end. Nothing else blocks: only a ready descriptor, a due timer or a signal wakes an idle
process.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

import heapq
import select
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from greenlet import getcurrent, greenlet

READ, WRITE = select.POLLIN, select.POLLOUT
HANGUP_OR_ERROR = select.POLLHUP | select.POLLERR | select.POLLNVAL
TASK_TIME_SLICE = 50  # after 5 ms of tasks a pass ends, so that timers are not late; the rest run in the next
MIN_CANCELLED_TO_SWEEP = 64  # cancelled timers; removed at this count if they are over half of the heap


def unix_clock() -> int:
    """Return Unix time in tenths of a millisecond."""
    return time.time_ns() // 100_000


class Timer:
    """An action at a time that can be cancelled; `action` is None once it has run or was cancelled."""

    __slots__ = ("action", "scheduler")

    def __init__(self, scheduler: Scheduler, action: Callable[[], None]) -> None:
        """Create a timer that is not scheduled; called by `Scheduler.at` only."""
        self.scheduler = scheduler
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Cancel the action, if it has not run."""
        if self.action is not None:
            self.action = None
            self.scheduler.on_timer_cancelled()


class InterruptibleSleep:
    """A sleep of one task that others can end early."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Start without a sleeping task."""
        self.scheduler = scheduler
        self.task: greenlet | None = None
        self.timer: Timer | None = None

    def sleep(self, until: int) -> None:
        """Suspend the calling task until a time, or until `wake` is called."""
        self.task = getcurrent()
        self.timer = self.scheduler.at(until, self.wake)
        self.scheduler.hub.switch()

    def wake(self) -> None:
        """Wake the task, if it sleeps."""
        task, self.task = self.task, None
        if task is not None and self.timer is not None:
            self.timer.cancel()
            self.scheduler.ready_tasks.append((task, 0))


class Scheduler:
    """Runs tasks, each a greenlet, and timers in one thread.

    Attributes:
        now: Time of the last reading of the clock; it never goes back.
        hub: The greenlet that runs the passes; a task waits by switching to it.
        event_masks: Events that the poller reports, by descriptor.
        waiting_tasks: The task that waits for each descriptor.
        ready_tasks: Tasks to resume, with the value that their wait returns.
        pass_end_actions: Actions for the end of this pass.
        timers: A heap of time, serial number and timer; timers of the same time run in the order of creation.
        last_serial: Serial number of the newest timer.
        cancelled_count: Number of cancelled timers that are still in the heap.
        poll_at_once: Whether the next pass does not wait for events.
        stopped: Whether `run` returns after the current pass.
    """

    def __init__(
        self,
        on_pass_end: Callable[[], None],
        on_error: Callable[[str, Exception], None],
        clock: Callable[[], int] = unix_clock,
    ) -> None:
        """Start without tasks.

        Args:
            on_pass_end: Called once at the end of each pass.
            on_error: Called with the name of a task or action and the exception that it raised.
            clock: Returns the time in tenths of a millisecond.
        """
        self.on_pass_end, self.on_error, self.clock = on_pass_end, on_error, clock
        self.now = clock()
        self.hub = getcurrent()
        self.poller = select.poll()
        self.event_masks: dict[int, int] = {}
        self.waiting_tasks: dict[int, greenlet] = {}
        self.ready_tasks: deque[tuple[greenlet, Any]] = deque()
        self.pass_end_actions: list[Callable[[], None]] = []
        self.timers: list[tuple[int, int, Timer]] = []
        self.last_serial = self.cancelled_count = 0
        self.poll_at_once = self.stopped = False

    # ---- called by tasks -----------------------------------------------------------------------------------

    def spawn(self, name: str, function: Callable[[], None]) -> greenlet:
        """Start a task and return its greenlet; an exception ends only this task and goes to `on_error`."""
        task = greenlet(lambda _: self.guard(function, name), self.hub)
        self.ready_tasks.append((task, None))
        return task

    def wait(self, descriptor: int, mask: int, until: int | None = None) -> int:
        """Suspend the calling task until a descriptor is ready for an event of `mask`, or fails.

        Returns:
            The events, or 0 at the time `until` or if the task was woken.
        """
        self.register_descriptor(descriptor, mask)
        self.waiting_tasks[descriptor] = getcurrent()
        timer = None if until is None else self.at(until, lambda: self.wake(descriptor))
        events: int = self.hub.switch()
        if timer is not None:
            timer.cancel()
        return events

    def update_mask(self, descriptor: int, mask: int) -> None:
        """Change the events for which the waiting task is woken; do nothing if no task waits."""
        if descriptor in self.waiting_tasks:
            self.register_descriptor(descriptor, mask)

    def register_descriptor(self, descriptor: int, mask: int) -> None:
        """Set the events that the poller reports for a descriptor."""
        if self.event_masks.get(descriptor) != mask:
            self.event_masks[descriptor] = mask
            self.poller.register(descriptor, mask)

    def wake(self, descriptor: int) -> None:
        """Resume the task that waits for a descriptor, if there is one; its `wait` returns 0."""
        task = self.waiting_tasks.pop(descriptor, None)
        if task is not None:
            self.ready_tasks.append((task, 0))

    def unregister(self, descriptor: int) -> None:
        """Stop polling a descriptor and wake its task.

        To be called before the descriptor is closed, since its number can be used again.
        """
        if self.event_masks.pop(descriptor, None) is not None:
            self.poller.unregister(descriptor)
        self.wake(descriptor)

    def sleep(self, until: int) -> None:
        """Suspend the calling task until a time."""
        task = getcurrent()
        self.at(until, lambda: self.ready_tasks.append((task, 0)))
        self.hub.switch()

    def at(self, due: int, action: Callable[[], None]) -> Timer:
        """Schedule an action for a time; the returned timer can cancel it."""
        timer = Timer(self, action)
        self.last_serial += 1
        heapq.heappush(self.timers, (due, self.last_serial, timer))
        return timer

    def at_pass_end(self, action: Callable[[], None]) -> None:
        """Schedule an action for the end of this pass."""
        self.pass_end_actions.append(action)

    def request_pass(self) -> None:
        """Make the next pass start at once, whether a descriptor is ready or not."""
        self.poll_at_once = True

    def stop(self) -> None:
        """Make `run` return after this pass."""
        self.stopped = True

    # ---- passes --------------------------------------------------------------------------------------------

    def run(self) -> None:
        """Run passes until `stop` is called."""
        self.hub = getcurrent()
        while not self.stopped:
            self.run_pass()

    def run_pass(self) -> None:
        """Run one pass; wait for an event first if there is nothing to do."""
        # Polls also while tasks are ready: a pass has a fixed cost, so it should handle many events.
        for descriptor, events in self.poller.poll(0 if self.ready_tasks else self.poll_timeout_ms()):
            task = self.waiting_tasks.pop(descriptor, None)
            if task is not None:
                self.ready_tasks.append((task, events))
            else:
                # No task waits for this descriptor: left in the poller, it would end every wait at once.
                del self.event_masks[descriptor]
                self.poller.unregister(descriptor)
        self.poll_at_once = False
        started_at = self.update_clock()
        self.run_due_timers()
        while self.ready_tasks:
            task, value = self.ready_tasks.popleft()
            task.switch(value)
            if self.update_clock() - started_at >= TASK_TIME_SLICE:
                break
        self.guard(self.on_pass_end)
        while self.pass_end_actions:
            pass_end_actions, self.pass_end_actions = self.pass_end_actions, []
            for action in pass_end_actions:
                self.guard(action)

    def poll_timeout_ms(self) -> int | None:
        """Return how long the next pass may wait for events, in milliseconds.

        This is 0 if work is left to do at once, else the time until the next timer, rounded up. None sets no
        limit, as there is no timer.
        """
        if self.poll_at_once or self.pass_end_actions:
            return 0
        if not self.timers:
            return None
        return max(0, -((self.clock() - self.timers[0][0]) // 10))

    def update_clock(self) -> int:
        """Set `now` to the time of the clock, unless the clock went back, and return `now`."""
        self.now = max(self.now, self.clock())
        return self.now

    def run_due_timers(self) -> None:
        """Run the actions of timers whose time has come."""
        while self.timers and self.timers[0][0] <= self.now:
            timer = heapq.heappop(self.timers)[2]
            action, timer.action = timer.action, None
            if action is None:
                self.cancelled_count -= 1
            else:
                self.guard(action)

    def guard(self, action: Callable[[], None], name: str = "") -> None:
        """Run an action; pass an exception to `on_error`, under `name` or else the name of the action."""
        try:
            action()
        except Exception as error:
            self.on_error(name or getattr(action, "__qualname__", "action"), error)

    def on_timer_cancelled(self) -> None:
        """Count a cancelled timer; remove all cancelled timers from the heap if there are too many."""
        self.cancelled_count += 1
        if self.cancelled_count >= MIN_CANCELLED_TO_SWEEP and self.cancelled_count * 2 > len(self.timers):
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.cancelled_count = 0
