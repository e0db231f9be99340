"""Orders to the agent that no notice has answered yet, and their encoding as lines of JSON.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import StrEnum

from .connection import Connection

encode_json = json.JSONEncoder(separators=(",", ":")).encode  # `json.dumps` would create an encoder per order


def encode_line(**parts: object) -> bytes:
    """Encode a message to the agent as a line of JSON."""
    return encode_json(parts).encode() + b"\n"


class OrderKind(StrEnum):
    """An order about one run; the value is its `op` on the wire."""

    LAUNCH = "launch"
    STOP = "freeze"
    DELIVER = "deliver"
    SKIP_CALL = "forgo"


@dataclass(eq=False, slots=True)
class PendingOrder:
    """An order about a run that no notice of the agent has answered yet.

    Attributes:
        kind: What is ordered.
        line: The encoded order.
        written_at: When it was last written to a link; None if it never was.
        link_position: Bytes written to the current link up to the end of this order; None if it was not
            written to that link.
        may_have_arrived: Whether a link was lost after it had taken the whole order.
    """

    kind: OrderKind
    line: bytes = field(repr=False)
    written_at: int | None = None
    link_position: int | None = None
    may_have_arrived: bool = False

    def write_to(self, link: Connection, now: int) -> None:
        """Write the order to an open link, but once to each: the link may be synchronized more than once."""
        if link.open and self.link_position is None:
            link.write(self.line)
            self.written_at, self.link_position = now, link.written_bytes

    def handle_link_lost(self, link: Connection) -> None:
        """Record whether the agent may have received the order on a link that was lost."""
        if self.link_position is not None and self.link_position <= link.sent_bytes:
            self.may_have_arrived = True
        self.link_position = None

    @property
    def may_be_repeated(self) -> bool:
        """Whether the order may be sent again although the agent may have carried it out already.

        A second `launch` or `freeze` of a run changes nothing, and `forgo` names the notice that it answers.
        `deliver` names only the run: if the first one arrived, the run may meanwhile wait for its next call,
        and would take a second one for the reply to that.
        """
        return self.kind is not OrderKind.DELIVER or not self.may_have_arrived
