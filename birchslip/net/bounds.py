"""What the limits told leave for each kind of thing that peers can make this program hold.

Guards against crowds: of connections, of messages that are cut off, of answers that nobody reads, of calls
whose replies go on and on. Each has a share of the memory that the program leaves, whatever that is.
"""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 16  # descriptors kept for the agent, the catalog, the log and the signals
MIN_CALLS = 4
MIN_SOCKETS = RESERVED_DESCRIPTORS + MIN_CALLS + 1  # with fewer no router could be let in
DESCRIPTORS_PER_CALL = 8  # of the descriptors, one in so many is for calls
CONNECTION_BYTES = 12_288  # bytes that a connection takes with all that belongs to it
MIN_UNREAD_BYTES, MAX_UNREAD_BYTES = 8_192, 32_768  # a whole message of a router fits twice into the least
CALL_BYTES = 81_920  # bytes of a call: the largest reply, unread, and its task
MIN_AVAILABLE_BYTES = 4 << 20  # of less the program can't serve: it says so by what it turns away


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of a number of connections and of calls, and of bytes: unread on each, unsent on all, orders unsent."""

    connections: int
    calls: int
    unread: int
    unsent: int
    orders: int


def compute_bounds(memory_limit: int, own_memory: int, descriptors: int) -> Bounds:
    """`taken` is what the program takes by itself, before any peer has come."""
    available = max(MIN_AVAILABLE_BYTES, memory_limit - own_memory)
    calls = max(MIN_CALLS, min(descriptors // DESCRIPTORS_PER_CALL, available // 4 // CALL_BYTES))
    share = available * 3 // 8
    connections = max(
        1, min(descriptors - calls - RESERVED_DESCRIPTORS, share // (CONNECTION_BYTES + MIN_UNREAD_BYTES))
    )
    unread = max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, share // connections - CONNECTION_BYTES))
    return Bounds(connections, calls, unread, unsent=available // 8, orders=available // 8)
