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
ENDED = select.POLLHUP | select.POLLERR | select.POLLNVAL
SLICE = 50  # a pass that has taken 5 ms of reading settles and looks at its timers before it reads more
SWEEP = 64  # cancelled timers are swept out of the heap once there are so many, and they are half of it


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
            self.scheduler.drop_timer()


class Nap:
    """A task's sleep that others may end early."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.task: greenlet | None = None
        self.timer: Timer | None = None

    def sleep(self, until: int) -> None:
        self.task = getcurrent()
        self.timer = self.scheduler.at(until, self.end)
        self.scheduler.hub.switch()

    def end(self) -> None:
        task, self.task = self.task, None
        if task is not None and self.timer is not None:
            self.timer.cancel()
            self.scheduler.ready.append((task, 0))


class Scheduler:
    """`settle` is called once at the end of each pass; `fault` hears what a task or a timer raised."""

    def __init__(
        self,
        settle: Callable[[], None],
        fault: Callable[[str, Exception], None],
        clock: Callable[[], int] = unix_clock,
    ) -> None:
        self.settle, self.fault, self.clock = settle, fault, clock
        self.now = clock()
        self.hub = getcurrent()
        self.poll = select.poll()
        self.masks: dict[int, int] = {}
        self.waiting: dict[int, greenlet] = {}
        self.ready: deque[tuple[greenlet, Any]] = deque()
        self.ends: list[Callable[[], None]] = []
        self.timers: list[tuple[int, int, Timer]] = []
        self.serial = self.cancelled = 0
        self.again = self.stopped = False

    # ---- what tasks call -----------------------------------------------------------------------------------

    def spawn(self, name: str, work: Callable[[], None]) -> greenlet:
        """A task of its own; what it raises is told to `fault` and ends nothing else."""
        task = greenlet(lambda _: self.guard(work, name), self.hub)
        self.ready.append((task, None))
        return task

    def wait(self, descriptor: int, mask: int, until: int | None = None) -> int:
        """Wait for a descriptor; what it is ready for, 0 when the time is up or it was woken."""
        self.watch(descriptor, mask)
        self.waiting[descriptor] = getcurrent()
        timer = None if until is None else self.at(until, lambda: self.wake(descriptor))
        events: int = self.hub.switch()
        if timer is not None:
            timer.cancel()
        return events

    def widen(self, descriptor: int, mask: int) -> None:
        """Let the task that waits for this descriptor be woken for more."""
        if descriptor in self.waiting:
            self.watch(descriptor, mask)

    def watch(self, descriptor: int, mask: int) -> None:
        if self.masks.get(descriptor) != mask:
            self.masks[descriptor] = mask
            self.poll.register(descriptor, mask)

    def wake(self, descriptor: int) -> None:
        task = self.waiting.pop(descriptor, None)
        if task is not None:
            self.ready.append((task, 0))

    def forget(self, descriptor: int) -> None:
        """Before a descriptor is closed: its number may come back for another."""
        if self.masks.pop(descriptor, None) is not None:
            self.poll.unregister(descriptor)
        self.wake(descriptor)

    def sleep(self, until: int) -> None:
        task = getcurrent()
        self.at(until, lambda: self.ready.append((task, 0)))
        self.hub.switch()

    def at(self, due: int, action: Callable[[], None]) -> Timer:
        timer = Timer(self, action)
        self.serial += 1
        heapq.heappush(self.timers, (due, self.serial, timer))
        return timer

    def at_end(self, action: Callable[[], None]) -> None:
        """Once, at the end of this pass."""
        self.ends.append(action)

    def soon(self) -> None:
        """Another pass at once, whatever the descriptors say."""
        self.again = True

    def stop(self) -> None:
        self.stopped = True

    # ---- the passes ----------------------------------------------------------------------------------------

    def run(self) -> None:
        self.hub = getcurrent()
        while not self.stopped:
            self.one_pass()

    def one_pass(self) -> None:
        # Also while tasks are ready: each pass has its price, whether it takes one event or thirty.
        for descriptor, events in self.poll.poll(0 if self.ready else self.patience()):
            task = self.waiting.pop(descriptor, None)
            if task is not None:
                self.ready.append((task, events))
            else:
                # Nobody waits for it just now: left in, it would wake every pass.
                del self.masks[descriptor]
                self.poll.unregister(descriptor)
        self.again = False
        began = self.tell_time()
        self.run_due()
        while self.ready:
            task, value = self.ready.popleft()
            task.switch(value)
            if self.tell_time() - began >= SLICE:
                break
        self.guard(self.settle)
        while self.ends:
            ends, self.ends = self.ends, []
            for action in ends:
                self.guard(action)

    def patience(self) -> int | None:
        """Milliseconds until the next timer, rounded up; None for ever."""
        if self.again or self.ends:
            return 0
        if not self.timers:
            return None
        return max(0, -((self.clock() - self.timers[0][0]) // 10))

    def tell_time(self) -> int:
        """The clock, which never goes back within a run."""
        self.now = max(self.now, self.clock())
        return self.now

    def run_due(self) -> None:
        while self.timers and self.timers[0][0] <= self.now:
            timer = heapq.heappop(self.timers)[2]
            action, timer.action = timer.action, None
            if action is None:
                self.cancelled -= 1
            else:
                self.guard(action)

    def guard(self, action: Callable[[], None], name: str = "") -> None:
        try:
            action()
        except Exception as trouble:
            self.fault(name or getattr(action, "__qualname__", "action"), trouble)

    def drop_timer(self) -> None:
        self.cancelled += 1
        if self.cancelled >= SWEEP and self.cancelled * 2 > len(self.timers):
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.cancelled = 0
