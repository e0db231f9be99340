"""Bounds on what peers can make the app server hold, from the configured limits on sockets and memory.

Too many connections, incomplete messages, responses that routers do not read, and endless replies to
downstream calls must not exhaust the process. Each has a share of the memory that the process does not need
itself.
"""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 16  # for the agent, the catalog, the log and signals
MIN_CALLS = 4
MIN_SOCKETS = RESERVED_DESCRIPTORS + MIN_CALLS + 1  # with fewer no router could connect
DESCRIPTORS_PER_CALL = 8  # one descriptor in eight is for downstream calls
CONNECTION_BYTES = 12_288  # memory of a connection and its task, without unread data
MIN_UNREAD_BYTES, MAX_UNREAD_BYTES = 8_192, 32_768  # the minimum holds two of a router's largest messages
CALL_BYTES = 81_920  # memory of a downstream call: its largest reply, unread, and its task
LAUNCHED_ID_BYTES = 128  # memory of the id of a run, in a set that is rarely full
MIN_LAUNCHED_IDS = 4_096
KEY_BYTES = 3_072  # memory of an idempotency key, without the body and the result
MIN_KEY_BYTES = 2 << 20  # of all keys
MIN_AVAILABLE_BYTES = 4 << 20  # assumed at least; with less it cannot serve, which shows in rejections


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on what peers can make the process hold; logged at its start under these names.

    Attributes:
        connections: Number of connections.
        calls: Number of downstream calls in flight.
        unread: Bytes read and not yet consumed, on each connection.
        unsent: Bytes not yet sent to routers, on all connections together.
        orders: Bytes not yet sent to the agent.
        launched_ids: Ids of runs that are remembered after their launch.
        keys: Bytes of idempotency keys with the bodies and results of their requests.
    """

    connections: int
    calls: int
    unread: int
    unsent: int
    orders: int
    launched_ids: int
    keys: int


def compute_bounds(memory_limit: int, own_memory: int, descriptors: int) -> Bounds:
    """Divide the limits of memory and descriptors among connections, calls and unsent bytes.

    Of the available memory, three eighths are for connections with their unread bytes, at most a quarter is
    for calls, an eighth each is for unsent bytes to routers and to the agent, and a sixteenth each is for
    the ids of launched runs and for idempotency keys. Each bound has a minimum, which applies even if the
    limits leave less.

    Args:
        memory_limit: Limit of the process's memory, in bytes.
        own_memory: Bytes that the process uses before any peer is connected.
        descriptors: Limit of open descriptors.
    """
    available = max(MIN_AVAILABLE_BYTES, memory_limit - own_memory)
    calls = max(MIN_CALLS, min(descriptors // DESCRIPTORS_PER_CALL, available // 4 // CALL_BYTES))
    share = available * 3 // 8
    connections = max(
        1, min(descriptors - calls - RESERVED_DESCRIPTORS, share // (CONNECTION_BYTES + MIN_UNREAD_BYTES))
    )
    unread = max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, share // connections - CONNECTION_BYTES))
    return Bounds(
        connections,
        calls,
        unread,
        unsent=available // 8,
        orders=available // 8,
        launched_ids=max(MIN_LAUNCHED_IDS, available // 16 // LAUNCHED_ID_BYTES),
        keys=max(MIN_KEY_BYTES, available // 16),
    )
