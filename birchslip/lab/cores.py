"""How fast the cores of one app server go: cold at first, slowed by a spell, by what connections and reading
cost, and by a crowd. The stand-in agent of the processes and the model go by the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admission.windows import WindowedCounter

SECOND = 10_000
FRONT_MOST = 0.9  # of the cores that connections and reading may take
HANDSHAKE, READING = 200, 20  # 20 ms of a core for each new connection, 2 ms for each try that is read


@dataclass(slots=True)
class Cores:
    """`cold_from` is the part of its speed that it starts with, `cold_span` how long until it has all of it.

    Past `crowd` on the cores each one more costs `loss` of all that gets done; without either, a crowd only
    shares what there is. Times are tenths of a millisecond.
    """

    count: int
    cold_from: float = 1.0
    cold_span: int = 0
    crowd: int = 0
    loss: float = 0.0
    cold: bool = False
    began: int = 0
    slow: float = 1.0  # how many times longer everything takes just now
    front: WindowedCounter = field(default_factory=lambda: WindowedCounter(10, SECOND // 10))

    def start(self, now: int, cold: bool) -> None:
        self.began, self.cold = now, cold

    def cost(self, now: int, span: int) -> None:
        """A connection or a try at the door: the cores pay, whatever becomes of it."""
        self.front.add(now, span)

    def speed(self, now: int) -> float:
        taken = min(FRONT_MOST, self.front.total(now) / (self.count * SECOND))
        whole = (1 - taken) / self.slow
        if not self.cold:
            return whole
        grown = min(1.0, (now - self.began) / max(1, self.cold_span))
        return (self.cold_from + (1 - self.cold_from) * grown) * whole

    def took(self, now: int, span: int, on_cores: int) -> int:
        """What a piece of `span` takes that begins now, itself among those on the cores."""
        crowd = max(1.0, on_cores / self.count)
        if self.crowd and on_cores > self.crowd:
            crowd /= max(0.1, 1 - self.loss * (on_cores - self.crowd))
        return int(span * crowd / self.speed(now))
