"""Phi accrual failure detection: a measure of how suspicious the silence of one member is.

Returns phi only; callers compare it with their own threshold.

Source: Hayashibara, Defago, Yared and Katayama, "The phi accrual failure detector" (SRDS 2004). The intervals
between heartbeats are assumed to be normally distributed, and phi is -log10 of the probability that a
heartbeat is still to come.
"""

from __future__ import annotations

from collections import deque
from math import erfc, log10, sqrt

WINDOW_SIZE = 64  # intervals
MIN_DEVIATION_RATIO = 0.25  # of the mean, as heartbeats sent by one clock arrive at almost equal intervals
MIN_DEVIATION = 1.0  # tenths of a millisecond
MAX_PHI = 40.0  # upper bound, as the probability of a long silence is zero to a float


class PhiAccrualDetector:
    """A window of the intervals between one member's heartbeats, in tenths of a millisecond.

    Attributes:
        last_heartbeat: When the newest heartbeat arrived.
    """

    def __init__(self, now: int, expected_interval: int) -> None:
        """Start as if one heartbeat had arrived at `now`, and one `expected_interval` earlier."""
        self.last_heartbeat = now
        self._intervals: deque[int] = deque((expected_interval,), maxlen=WINDOW_SIZE)
        self._sum = expected_interval
        self._sum_of_squares = expected_interval * expected_interval

    def record_heartbeat(self, now: int) -> None:
        """Add the interval since the last heartbeat to the window."""
        interval = max(0, now - self.last_heartbeat)
        if len(self._intervals) == WINDOW_SIZE:
            oldest = self._intervals[0]
            self._sum -= oldest
            self._sum_of_squares -= oldest * oldest
        self._intervals.append(interval)
        self._sum += interval
        self._sum_of_squares += interval * interval
        self.last_heartbeat = max(now, self.last_heartbeat)

    def phi(self, now: int) -> float:
        """Return the suspicion level; phi 1 means one false alarm in 10 cases, phi 5 one in 100,000."""
        count = len(self._intervals)
        mean = self._sum / count
        deviation = sqrt(max(0.0, self._sum_of_squares / count - mean * mean))
        # Without a minimum, the first longer interval after only equal ones would look like a failure.
        deviation = max(deviation, MIN_DEVIATION_RATIO * mean, MIN_DEVIATION)
        probability = erfc((now - self.last_heartbeat - mean) / (deviation * sqrt(2))) / 2
        return -log10(probability) if probability > 10**-MAX_PHI else MAX_PHI
