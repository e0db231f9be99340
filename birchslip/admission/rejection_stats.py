"""Number and age of the requests rejected in the window; other decisions detect overload from them."""

from __future__ import annotations

from .quota_meter import WINDOW_COUNT, WINDOW_LENGTH
from .windows import WindowedCounter


class RejectionStats:
    """Rejections of the last ten seconds."""

    def __init__(self) -> None:
        """Start with no rejections."""
        self.count = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.ages = WindowedCounter(WINDOW_COUNT, WINDOW_LENGTH)
        self.is_retry_storm = False

    def add(self, now: int, age: int) -> None:
        """Count the rejection of a request; `age` is the time since its arrival."""
        self.count.add(now, 1)
        self.ages.add(now, age)

    def mean_age(self, now: int) -> float:
        """Return the mean age of rejected requests, 0 if there are none."""
        return self.ages.total(now) / max(1, self.count.total(now))

    def measure(self, now: int, served: int) -> None:
        """Update `is_retry_storm`: more requests were rejected than the `served` ones."""
        self.is_retry_storm = self.count.total(now) > served
