"""Greenlets over `select.poll`: who waits for which descriptor, timers in a heap, one pass after the other.

A pass takes what is due, then what is ready, then calls `settle` once, then what was asked for its end.
Nothing else blocks: only a ready descriptor, a due timer or a signal wakes an idle process.
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
TASK_TIME_SLICE = (
    50  # a pass that has taken 5 ms of reading settles and looks at its timers before it reads more
)
MIN_CANCELLED_TO_SWEEP = (
    64  # cancelled timers are swept out of the heap once there are so many, and they are half of it
)


def unix_clock() -> int:
    """The system's Unix clock in tenths of a millisecond."""
    return time.time_ns() // 100_000


class Timer:
    """Something to do at a time, unless it is cancelled before."""

    __slots__ = ("action", "scheduler")

    def __init__(self, scheduler: Scheduler, action: Callable[[], None]) -> None:
        self.scheduler = scheduler
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        if self.action is not None:
            self.action = None
            self.scheduler.on_timer_cancelled()


class InterruptibleSleep:
    """A task's sleep that others may end early."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.task: greenlet | None = None
        self.timer: Timer | None = None

    def sleep(self, until: int) -> None:
        self.task = getcurrent()
        self.timer = self.scheduler.at(until, self.wake)
        self.scheduler.hub.switch()

    def wake(self) -> None:
        task, self.task = self.task, None
        if task is not None and self.timer is not None:
            self.timer.cancel()
            self.scheduler.ready_tasks.append((task, 0))


class Scheduler:
    """`settle` is called once at the end of each pass; `fault` hears what a task or a timer raised."""

    def __init__(
        self,
        on_pass_end: Callable[[], None],
        on_error: Callable[[str, Exception], None],
        clock: Callable[[], int] = unix_clock,
    ) -> None:
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

    # ---- what tasks call -----------------------------------------------------------------------------------

    def spawn(self, name: str, function: Callable[[], None]) -> greenlet:
        """A task of its own; what it raises is told to `fault` and ends nothing else."""
        task = greenlet(lambda _: self.guard(function, name), self.hub)
        self.ready_tasks.append((task, None))
        return task

    def wait(self, descriptor: int, mask: int, until: int | None = None) -> int:
        """Wait for a descriptor; what it is ready for, 0 when the time is up or it was woken."""
        self.register_descriptor(descriptor, mask)
        self.waiting_tasks[descriptor] = getcurrent()
        timer = None if until is None else self.at(until, lambda: self.wake(descriptor))
        events: int = self.hub.switch()
        if timer is not None:
            timer.cancel()
        return events

    def update_mask(self, descriptor: int, mask: int) -> None:
        """Let the task that waits for this descriptor be woken for more."""
        if descriptor in self.waiting_tasks:
            self.register_descriptor(descriptor, mask)

    def register_descriptor(self, descriptor: int, mask: int) -> None:
        if self.event_masks.get(descriptor) != mask:
            self.event_masks[descriptor] = mask
            self.poller.register(descriptor, mask)

    def wake(self, descriptor: int) -> None:
        task = self.waiting_tasks.pop(descriptor, None)
        if task is not None:
            self.ready_tasks.append((task, 0))

    def unregister(self, descriptor: int) -> None:
        """Before a descriptor is closed: its number may come back for another."""
        if self.event_masks.pop(descriptor, None) is not None:
            self.poller.unregister(descriptor)
        self.wake(descriptor)

    def sleep(self, until: int) -> None:
        task = getcurrent()
        self.at(until, lambda: self.ready_tasks.append((task, 0)))
        self.hub.switch()

    def at(self, due: int, action: Callable[[], None]) -> Timer:
        timer = Timer(self, action)
        self.last_serial += 1
        heapq.heappush(self.timers, (due, self.last_serial, timer))
        return timer

    def at_pass_end(self, action: Callable[[], None]) -> None:
        """Once, at the end of this pass."""
        self.pass_end_actions.append(action)

    def request_pass(self) -> None:
        """Another pass at once, whatever the descriptors say."""
        self.poll_at_once = True

    def stop(self) -> None:
        self.stopped = True

    # ---- the passes ----------------------------------------------------------------------------------------

    def run(self) -> None:
        self.hub = getcurrent()
        while not self.stopped:
            self.run_pass()

    def run_pass(self) -> None:
        # Also while tasks are ready: each pass has its price, whether it takes one event or thirty.
        for descriptor, events in self.poller.poll(0 if self.ready_tasks else self.poll_timeout_ms()):
            task = self.waiting_tasks.pop(descriptor, None)
            if task is not None:
                self.ready_tasks.append((task, events))
            else:
                # Nobody waits for it just now: left in, it would wake every pass.
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
        """Milliseconds until the next timer, rounded up; None for ever."""
        if self.poll_at_once or self.pass_end_actions:
            return 0
        if not self.timers:
            return None
        return max(0, -((self.clock() - self.timers[0][0]) // 10))

    def update_clock(self) -> int:
        """The clock, which never goes back within a run."""
        self.now = max(self.now, self.clock())
        return self.now

    def run_due_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            timer = heapq.heappop(self.timers)[2]
            action, timer.action = timer.action, None
            if action is None:
                self.cancelled_count -= 1
            else:
                self.guard(action)

    def guard(self, action: Callable[[], None], name: str = "") -> None:
        try:
            action()
        except Exception as error:
            self.on_error(name or getattr(action, "__qualname__", "action"), error)

    def on_timer_cancelled(self) -> None:
        self.cancelled_count += 1
        if self.cancelled_count >= MIN_CANCELLED_TO_SWEEP and self.cancelled_count * 2 > len(self.timers):
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.cancelled_count = 0
