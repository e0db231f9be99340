"""A clock that does not jump: set back or forward by nobody, and running on while the machine sleeps."""

from __future__ import annotations

import time

SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_now() -> int:
    """Tenths of a millisecond since some moment of the past; only differences mean anything."""
    return time.clock_gettime_ns(SOURCE) // 100_000
