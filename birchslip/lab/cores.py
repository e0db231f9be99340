"""How fast the cores of one app server go: cold at first, slowed by a spell, by what connections and reading
cost, and by a crowd. The stand-in agent of the processes and the model go by the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admission.windows import WindowedCounter

SECOND = 10_000
MAX_FRONT_FRACTION = 0.9  # of the cores that connections and reading may take
HANDSHAKE_WORK, READ_WORK = 200, 20  # 20 ms of a core for each new connection, 2 ms for each try that is read


@dataclass(slots=True)
class Cores:
    """`cold_from` is the part of its speed that it starts with, `cold_span` how long until it has all of it.

    Past `crowd` on the cores each one more costs `loss` of all that gets done; without either, a crowd only
    shares what there is. Times are tenths of a millisecond.
    """

    count: int
    cold_speed: float = 1.0
    warm_up_span: int = 0
    contention_threshold: int = 0
    contention_loss: float = 0.0
    is_cold: bool = False
    started_at: int = 0
    slowdown: float = 1.0  # how many times longer everything takes just now
    front_work: WindowedCounter = field(default_factory=lambda: WindowedCounter(10, SECOND // 10))

    def start(self, now: int, is_cold: bool) -> None:
        self.started_at, self.is_cold = now, is_cold

    def charge(self, now: int, work: int) -> None:
        """A connection or a try at the door: the cores pay, whatever becomes of it."""
        self.front_work.add(now, work)

    def speed(self, now: int) -> float:
        front_fraction = min(MAX_FRONT_FRACTION, self.front_work.total(now) / (self.count * SECOND))
        warm_speed = (1 - front_fraction) / self.slowdown
        if not self.is_cold:
            return warm_speed
        warm_up_fraction = min(1.0, (now - self.started_at) / max(1, self.warm_up_span))
        return (self.cold_speed + (1 - self.cold_speed) * warm_up_fraction) * warm_speed

    def compute_duration(self, now: int, work: int, on_cores: int) -> int:
        """What a piece of `span` takes that begins now, itself among those on the cores."""
        sharing = max(1.0, on_cores / self.count)
        if self.contention_threshold and on_cores > self.contention_threshold:
            sharing /= max(0.1, 1 - self.contention_loss * (on_cores - self.contention_threshold))
        return int(work * sharing / self.speed(now))
