"""The unit of time of the decisions: a whole number of tenths of a millisecond."""

SECOND = 10_000
MS = SECOND // 1000
