"""Detects that nothing changes: guards against a permit, a stop or a start that never comes."""

from __future__ import annotations


class StallDetector:
    """How long a snapshot has stayed the same, by a clock that is an argument."""

    def __init__(self) -> None:
        """Start without a snapshot."""
        self._snapshot: object = None
        self._since: int | None = None

    def reset(self) -> None:
        """Forget the snapshot: the next one counts as a change."""
        self._since = None

    def unchanged_for(self, snapshot: object, now: int) -> int:
        """Take a snapshot at `now`; returns for how long it has been equal, in the unit of `now`."""
        if self._since is None or snapshot != self._snapshot:
            self._since = now
            self._snapshot = snapshot
        return now - self._since
