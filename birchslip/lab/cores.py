"""Model of the CPU cores of one app server, shared by the testbed's agents and the simulation model.

The speed drops while the server is cold, while a slowdown is injected, by the work of opening connections
and reading requests, and when more runs are active than there are cores.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admission.windows import WindowedCounter

SECOND = 10_000
MAX_FRONT_FRACTION = 0.9  # share of the cores that connections and reads can take
# Core time of each new connection (20 ms) and of each attempt that is read (2 ms).
HANDSHAKE_WORK, READ_WORK = 200, 20


@dataclass(slots=True)
class Cores:
    """Cores of one app server and how fast they work at a given moment.

    Times are tenths of a millisecond.

    Attributes:
        count: Number of cores.
        cold_speed: Share of the full speed at a cold start.
        warm_up_span: Time from a cold start until full speed.
        contention_threshold: Number of active runs past which throughput falls; 0 for never, so that more
            runs than cores only share them.
        contention_loss: Share of the throughput lost for each active run past the threshold.
        is_cold: Whether the last start was cold.
        started_at: Time of the last start.
        slowdown: Factor by which all work takes longer; 1.0 without an injected fault.
        front_work: Core time of connections and reads in the last second.
    """

    count: int
    cold_speed: float = 1.0
    warm_up_span: int = 0
    contention_threshold: int = 0
    contention_loss: float = 0.0
    is_cold: bool = False
    started_at: int = 0
    slowdown: float = 1.0
    front_work: WindowedCounter = field(default_factory=lambda: WindowedCounter(10, SECOND // 10))

    def start(self, now: int, is_cold: bool) -> None:
        """Restart the cores at `now`, cold or at full speed."""
        self.started_at, self.is_cold = now, is_cold

    def charge(self, now: int, work: int) -> None:
        """Charge core time for a new connection or for reading a request.

        It is charged even if the request is then rejected.
        """
        self.front_work.add(now, work)

    def speed(self, now: int) -> float:
        """Return the present speed as a share of the speed of idle, warm cores."""
        front_fraction = min(MAX_FRONT_FRACTION, self.front_work.total(now) / (self.count * SECOND))
        warm_speed = (1 - front_fraction) / self.slowdown
        if not self.is_cold:
            return warm_speed
        warm_up_fraction = min(1.0, (now - self.started_at) / max(1, self.warm_up_span))
        return (self.cold_speed + (1 - self.cold_speed) * warm_up_fraction) * warm_speed

    def compute_duration(self, now: int, work: int, on_cores: int) -> int:
        """Return how long a piece of `work` takes that begins now.

        Args:
            now: Present time.
            work: Core time of the piece on an idle, warm core.
            on_cores: Number of active runs, this one included.
        """
        sharing = max(1.0, on_cores / self.count)
        if self.contention_threshold and on_cores > self.contention_threshold:
            sharing /= max(0.1, 1 - self.contention_loss * (on_cores - self.contention_threshold))
        return int(work * sharing / self.speed(now))
