"""How much a silence means: the phi of an accrual failure detector.

Source: Hayashibara, Defago, Yared and Katayama, "The phi accrual failure detector" (SRDS 2004): gaps between
reports are taken as normally distributed, and phi is -log10 of the chance that a report is still to come.
"""

from __future__ import annotations

from collections import deque
from math import erfc, log10, sqrt

KEPT = 64  # gaps; older ones say little about now
LEAST_SPREAD = 0.25  # of the usual gap: reports sent by one clock come with gaps that are all alike
MOST = 40.0  # past it the chance is nought to a float


class PhiAccrualDetector:
    """The gaps between one member's reports, in tenths of a millisecond."""

    def __init__(self, now: int, usual: int) -> None:
        self.last = now
        self.gaps: deque[int] = deque((usual,), maxlen=KEPT)
        self.sum, self.squares = usual, usual * usual

    def heard(self, now: int) -> None:
        gap = max(0, now - self.last)
        if len(self.gaps) == KEPT:
            old = self.gaps[0]
            self.sum -= old
            self.squares -= old * old
        self.gaps.append(gap)
        self.sum += gap
        self.squares += gap * gap
        self.last = max(now, self.last)

    def phi(self, now: int) -> float:
        count = len(self.gaps)
        mean = self.sum / count
        spread = sqrt(max(0.0, self.squares / count - mean * mean))
        # A detector that has seen even gaps alone would take the first uneven one for a death.
        spread = max(spread, LEAST_SPREAD * mean, 1.0)
        chance = erfc((now - self.last - mean) / (spread * sqrt(2))) / 2
        return -log10(chance) if chance > 10**-MOST else MOST
