"""Named habits of routers: where a try goes, whether there is another, and when. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeVar

FIRST_RETRY_DELAY = 500  # before a further try: 50 ms at first, twice as long each time, half of it by chance
TargetT = TypeVar("TargetT")


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """`tries` is the most for one transaction, the first included; `heed` the share of advice that it
    follows; `hedge` the part of the latency goal after which a silent redoable try is followed by another;
    `checks` whether it goes by health checks; `choice` how it picks among those that it may use.
    """

    max_attempts: int = 4
    advice_compliance: float = 0.6
    hedge_fraction: float = 0.75
    uses_health_checks: bool = True
    prefers_home_site: bool = True
    choice: str = "two"  # the less loaded of two by chance; or `turn`, one after the other, or `any`

    def retry_delay(self, attempt_count: int, rng: Random) -> int:
        """Before the next try, after so many."""
        return int(FIRST_RETRY_DELAY * 2 ** max(0, attempt_count - 1) * (0.5 + rng.random()))

    def follows_advice(self, rng: Random) -> bool:
        return rng.random() < self.advice_compliance

    def choose(
        self, candidates: Sequence[TargetT], load: Callable[[TargetT], int], rng: Random, turn: int
    ) -> TargetT | None:
        if not candidates:
            return None
        if self.choice == "turn":
            return candidates[turn % len(candidates)]
        first = rng.choice(candidates)
        if self.choice == "any":
            return first
        second = rng.choice(candidates)
        return first if load(first) <= load(second) else second


ROUTING_POLICIES = {
    "usual": RoutingPolicy(),
    "heedful": RoutingPolicy(advice_compliance=1.0),
    "stubborn": RoutingPolicy(max_attempts=6, advice_compliance=0.0),
    "single": RoutingPolicy(max_attempts=1, hedge_fraction=9.0),
    "turns": RoutingPolicy(choice="turn"),
    "blind": RoutingPolicy(uses_health_checks=False, advice_compliance=0.0, choice="any"),
    "anywhere": RoutingPolicy(prefers_home_site=False),
}
