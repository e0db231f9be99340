"""The unit of time: times are whole numbers of tenths of a millisecond."""

SECOND = 10_000
MS = SECOND // 1000
