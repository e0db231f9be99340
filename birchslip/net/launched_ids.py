"""The ids of runs that were launched, remembered for as long as a copy of their request may come.

A client may come again with the id of a request that it has left, and a copy may be late on its way. A copy
is accepted until its timestamp is too old, so the id is remembered until then.

The number of ids has a bound. At the bound those that would be forgotten next are dropped early, but none
before the longest deadline of the request classes has passed since its launch: until then a copy could still
be run in time. If there are only such ids, nothing more is launched.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..admission.types import SECOND

SLOT_SPAN = 5 * SECOND  # ids are forgotten together with the others of their slot


@dataclass(eq=False, slots=True)
class Slot:
    """Ids that are forgotten at the same time.

    Attributes:
        ids: The ids.
        last_launch_at: When the last of them was launched.
    """

    ids: set[str] = field(default_factory=set)
    last_launch_at: int = 0


class LaunchedIds:
    """The ids of runs that were launched.

    Attributes:
        min_retention: How long each id is remembered in any case.
        max_ids: The bound on the number of ids.
        slots: The ids by the number of the slot in which they are forgotten.
        count: The number of ids.
    """

    def __init__(self, min_retention: int, max_ids: int) -> None:
        """Start without ids."""
        self.min_retention, self.max_ids = min_retention, max_ids
        self.slots: dict[int, Slot] = {}
        self.count = 0

    def __contains__(self, request_id: str) -> bool:
        """Return whether a run with this id was launched."""
        return any(request_id in slot.ids for slot in self.slots.values())

    def has_room(self, now: int) -> bool:
        """Return whether another id can be remembered; forget the ids whose time is over."""
        for number in sorted(self.slots):
            is_over = (number + 1) * SLOT_SPAN <= now
            is_full = self.count >= self.max_ids
            if not is_over and not is_full:
                break
            if not is_over and self.slots[number].last_launch_at + self.min_retention > now:
                break
            self.count -= len(self.slots.pop(number).ids)
        return self.count < self.max_ids

    def add(self, request_id: str, accepted_until: int, now: int) -> None:
        """Remember the id of a run that is launched; `has_room` must have allowed it.

        Args:
            request_id: The id.
            accepted_until: Until when a copy of the request would be accepted.
            now: The present time.
        """
        slot = self.slots.setdefault(accepted_until // SLOT_SPAN, Slot())
        self.count -= len(slot.ids)
        slot.ids.add(request_id)
        self.count += len(slot.ids)
        slot.last_launch_at = now

    def remove(self, request_id: str) -> None:
        """Forget the id of a launch that certainly never began."""
        for slot in self.slots.values():
            if request_id in slot.ids:
                slot.ids.remove(request_id)
                self.count -= 1
