"""Detects a lack of progress, as when a permit is never granted or a stop or start never completes."""

from __future__ import annotations


class StallDetector:
    """Measures how long a snapshot has stayed equal; the caller passes the time."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self._snapshot: object = None
        self._since: int | None = None

    def reset(self) -> None:
        """Discard the snapshot: the next one counts as a change."""
        self._since = None

    def unchanged_for(self, snapshot: object, now: int) -> int:
        """Compare `snapshot` with the last one; return for how long it is unchanged, in the unit of `now`."""
        if self._since is None or snapshot != self._snapshot:
            self._since = now
            self._snapshot = snapshot
        return now - self._since
