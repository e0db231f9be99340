"""What the limits told leave for each kind of thing that peers can make this program hold.

Guards against crowds: of connections, of messages that are cut off, of answers that nobody reads, of calls
whose replies go on and on. Each has a share of the memory that the program leaves, whatever that is.
"""

from __future__ import annotations

from dataclasses import dataclass

PEERS_KEEP = 16  # descriptors kept for the agent, the catalog, the log and the signals
CALLS_LEAST = 4
SOCKETS_LEAST = PEERS_KEEP + CALLS_LEAST + 1  # with fewer no router could be let in
CALLS_SHARE = 8  # of the descriptors, one in so many is for calls
CONNECTION = 12_288  # bytes that a connection takes with all that belongs to it
UNREAD_LEAST, UNREAD_MOST = 8_192, 32_768  # a whole message of a router fits twice into the least
CALL = 81_920  # bytes of a call: the largest reply, unread, and its task
ROOM_LEAST = 4 << 20  # of less the program can't serve: it says so by what it turns away


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of a number of connections and of calls, and of bytes: unread on each, unsent on all, orders unsent."""

    connections: int
    calls: int
    unread: int
    unsent: int
    orders: int


def bounds(memory: int, taken: int, descriptors: int) -> Bounds:
    """`taken` is what the program takes by itself, before any peer has come."""
    room = max(ROOM_LEAST, memory - taken)
    calls = max(CALLS_LEAST, min(descriptors // CALLS_SHARE, room // 4 // CALL))
    share = room * 3 // 8
    connections = max(1, min(descriptors - calls - PEERS_KEEP, share // (CONNECTION + UNREAD_LEAST)))
    unread = max(UNREAD_LEAST, min(UNREAD_MOST, share // connections - CONNECTION))
    return Bounds(connections, calls, unread, unsent=room // 8, orders=room // 8)
