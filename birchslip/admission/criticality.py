"""The criticality level sent to callers, which should not send requests of a lower criticality.

This module owns only the level.
"""

from __future__ import annotations

from .types import AdmissionSettings

REJECTED_RATIO = 0.1  # ratio of rejected to served requests above which the level rises
LEVEL_STEP = 0.02  # per timer
MAX_LEVEL = 0.9


class CriticalityLevel:
    """The current level, from 0 to `MAX_LEVEL`."""

    def __init__(self, settings: AdmissionSettings) -> None:
        """Start at level 0."""
        self.is_sent = settings.sends_criticality
        self.level = 0.0

    def adjust(self, has_queue: bool, rejected: int, served: int) -> float | None:
        """Raise or lower the level by a step; returns it if it has changed and is sent to callers."""
        is_rejecting = has_queue and rejected > REJECTED_RATIO * served
        step = LEVEL_STEP if is_rejecting else -LEVEL_STEP / 2
        level = min(MAX_LEVEL, max(0.0, self.level + step))
        if not self.is_sent or level == self.level:
            return None
        self.level = level
        return level
