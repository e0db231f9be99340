"""Number and age of the requests rejected in the window, by which other decisions know an overload."""

from __future__ import annotations

from .quota_meter import WINDOW_COUNT, WINDOW_LENGTH
from .windows import WindowedCounter


class RejectionStats:
    """Rejections of the last ten seconds."""

    def __init__(self) -> None:
        """Begin with no rejections."""
        self.count = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.ages = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.is_retry_storm = False

    def add(self, now: int, age: int) -> None:
        """Count a rejection of a request of that age."""
        self.count.add(now, 1)
        self.ages.add(now, age)

    def mean_age(self, now: int) -> float:
        """Return how old rejected requests were."""
        return self.ages.total(now) / max(1, self.count.total(now))

    def measure(self, now: int, served: int) -> None:
        """Bring `is_retry_storm` up to date: more is rejected than served."""
        self.is_retry_storm = self.count.total(now) > served
