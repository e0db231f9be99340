"""The clock of leases and timeouts: monotonic, and advancing while the machine is suspended."""

from __future__ import annotations

import time

CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
NANOSECONDS_PER_TICK = 100_000


def monotonic_now() -> int:
    """Return the time in tenths of a millisecond since an arbitrary start; only differences have meaning."""
    return time.clock_gettime_ns(CLOCK_ID) // NANOSECONDS_PER_TICK
