"""Named routing policies: which app server gets an attempt, and whether and when a request is retried.

Policies do no I/O and read no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeVar

FIRST_RETRY_DELAY = 500  # 50 ms, doubled for each further retry, with a random factor from 0.5 to 1.5
TargetT = TypeVar("TargetT")


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """How a router chooses app servers and retries.

    Attributes:
        max_attempts: Maximum number of attempts for one request, including the first.
        advice_compliance: Share of rejections whose advice (Retry-After, no further retry) is followed.
        hedge_fraction: Fraction of the latency objective after which an unanswered attempt of a request
            without idempotency key is followed by a second one.
        uses_health_checks: Whether app servers that fail health checks are avoided.
        prefers_home_site: Whether the first attempt goes to the router's own site if possible.
        choice: How an app server is chosen: `two` for the less loaded of two random ones, `turn` for
            round robin, `any` for a random one.
    """

    max_attempts: int = 4
    advice_compliance: float = 0.6
    hedge_fraction: float = 0.75
    uses_health_checks: bool = True
    prefers_home_site: bool = True
    choice: str = "two"

    def retry_delay(self, attempt_count: int, rng: Random) -> int:
        """Return the delay before the next attempt, in units of 0.1 ms.

        Args:
            attempt_count: Number of attempts so far.
            rng: Source of the random factor.
        """
        return int(FIRST_RETRY_DELAY * 2 ** max(0, attempt_count - 1) * (0.5 + rng.random()))

    def follows_advice(self, rng: Random) -> bool:
        """Return whether the advice of one rejection is followed."""
        return rng.random() < self.advice_compliance

    def choose(
        self, candidates: Sequence[TargetT], load: Callable[[TargetT], int], rng: Random, turn: int
    ) -> TargetT | None:
        """Choose one of the candidates.

        Args:
            candidates: The targets that may be chosen.
            load: Returns the load of a target.
            rng: Source of random choices.
            turn: Number of the choice, for round robin.

        Returns:
            The target, or `None` if there are no candidates.
        """
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
