"""Orders to the agent that no notice has answered yet, and their encoding as lines of JSON.

All times are in tenths of a millisecond.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import StrEnum

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
    """

    kind: OrderKind
    line: bytes = field(repr=False)
    written_at: int | None = None
