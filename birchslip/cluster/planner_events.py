"""Events of a planner's decisions, buffered until the planner's process writes them to its log."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

MAX_BUFFERED_EVENTS = 256


class PlannerEvent(NamedTuple):
    """One event: a stable snake_case name and its fields."""

    name: str
    fields: dict[str, object]


class EventBuffer:
    """A buffer of at most `MAX_BUFFERED_EVENTS` events; further events are dropped until it is emptied."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._events: list[PlannerEvent] = []

    def record(self, name: str, **fields: object) -> None:
        """Add an event, or drop it if the buffer is full."""
        if len(self._events) < MAX_BUFFERED_EVENTS:
            self._events.append(PlannerEvent(name, fields))

    def drain(self) -> Iterator[PlannerEvent]:
        """Empty the buffer and yield its events, oldest first."""
        events = self._events
        self._events = []
        yield from events
