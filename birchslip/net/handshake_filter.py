"""Blocks new handshakes on a listening socket before it is closed."""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress

SO_ATTACH_FILTER = 26  # Linux; not in the socket module
# Classic BPF on a TCP header: loads the flags, drops the packet if SYN is set, else keeps it whole.
DROP_SYN_FILTER = ((0x30, 0, 0, 13), (0x45, 0, 1, 2), (0x06, 0, 0, 0), (0x06, 0, 0, 0xFFFFFFFF))


def block_new_handshakes(listener: socket.socket) -> None:
    """Make the system drop new SYN packets to a listener.

    Peers retransmit them, and are refused once the listener is closed. Otherwise the system could
    complete a handshake between the last `accept` and the close of the listener: the close would reset that
    connection, and its request would be lost. A system that does not accept the filter keeps that gap.
    """
    instructions = array("B", b"".join(struct.pack("HBBI", *line) for line in DROP_SYN_FILTER))
    filter_program = struct.pack("HP", len(DROP_SYN_FILTER), instructions.buffer_info()[0])
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)
