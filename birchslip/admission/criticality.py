"""The criticality level that callers receive: requests of a lower rank should not be sent.

Owns the level alone.
"""

from __future__ import annotations

from .types import AdmissionSettings

REJECTED_RATIO = 0.1  # rejected over served at which the level rises
LEVEL_STEP = 0.02  # a timer
HIGHEST_LEVEL = 0.9


class CriticalityLevel:
    """The level in force, from 0 to `HIGHEST_LEVEL`."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Begin at 0."""
        self.is_sent = settings.sends_criticality
        self.level = 0.0

    def adjust(self, has_queue: bool, rejected: int, served: int) -> float | None:
        """Move the level by a step; returns it if it has changed and callers heed one."""
        is_rejecting = has_queue and rejected > REJECTED_RATIO * served
        step = LEVEL_STEP if is_rejecting else -LEVEL_STEP / 2
        level = min(HIGHEST_LEVEL, max(0.0, self.level + step))
        if not self.is_sent or level == self.level:
            return None
        self.level = level
        return level
