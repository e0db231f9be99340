"""The state of the disk as flushes show it: whether labelled transactions may begin on it.

    good --a flush is older than `stall`--> stalled --it ends--> good
    good, stalled --an error--> failed --a probe is flushed--> good

Guards against a disk that takes seconds for a flush, that errs once, that errs for good, and that is full. In
every state but `good` labelled transactions are shed before they begin; the others pass. It recovers by
itself: while it is failed, an empty record is written now and then to see.
"""

from __future__ import annotations

from enum import Enum

PROBE_FIRST, PROBE_MOST = 5_000, 100_000  # between probes: half a second at first, ten seconds at most


class State(Enum):
    GOOD = "good"
    STALLED = "stalled"
    FAILED = "failed"


class Disk:
    def __init__(self, stall: int) -> None:
        self.stall = stall
        self.state = State.GOOD
        self.why = ""
        self.sent_at = -1  # of the oldest flush that has not ended
        self.probe_at = 0
        self.probe_every = PROBE_FIRST

    @property
    def good(self) -> bool:
        return self.state is State.GOOD

    def sent(self, now: int) -> None:
        """Something waits for a flush from now on."""
        if self.sent_at < 0:
            self.sent_at = now

    def done(self, now: int, more: bool) -> bool:
        """A flush has ended well; whether the state has changed. `more` waits for the next one."""
        self.sent_at = now if more else -1
        self.probe_every = PROBE_FIRST
        return self.move(State.GOOD, "")

    def failed(self, now: int, why: str) -> bool:
        self.sent_at = -1
        self.probe_at = now + self.probe_every
        self.probe_every = min(2 * self.probe_every, PROBE_MOST)
        return self.move(State.FAILED, why)

    def look(self, now: int) -> bool:
        """Whether the state has changed by time alone."""
        if self.state is State.GOOD and 0 <= self.sent_at <= now - self.stall:
            return self.move(State.STALLED, f"no flush for {(now - self.sent_at) // 10} ms")
        return False

    def wants_probe(self, now: int) -> bool:
        return self.state is State.FAILED and self.sent_at < 0 and now >= self.probe_at

    def move(self, state: State, why: str) -> bool:
        changed = state is not self.state
        self.state, self.why = state, why
        return changed
