"""Reads MessagePack messages from data that arrives in pieces, with work linear in the number of bytes.

A message is decoded once, when it is complete. Until then only its structure is followed, from where the last
piece ended: how many values each open array or map still lacks. What an incomplete message takes in memory is
its bytes and a few numbers.
"""

from __future__ import annotations

from typing import Any

from .buffer import Buffer, MalformedMessageError
from .messagepack import (
    MAX_DEPTH,
    NUMBER_FORMATS,
    SINGLE_BYTE_VALUES,
    SIZED_TYPES,
    IncompleteMessageError,
    check_count,
    check_size,
    unpack,
)

MAX_VALUES = 512  # in one message, arrays and maps included; the largest request has some 140


def fixed_size(type_byte: int) -> int:
    """Return the size in bytes of a value whose type byte determines it; 0 for other types."""
    if type_byte <= 0x7F or type_byte >= 0xE0 or type_byte in SINGLE_BYTE_VALUES:
        return 1
    if 0xA0 <= type_byte <= 0xBF:
        return 1 + (type_byte & 0x1F)
    return 1 + NUMBER_FORMATS[type_byte].size if type_byte in NUMBER_FORMATS else 0


FIXED_SIZES = [fixed_size(type_byte) for type_byte in range(256)]


class MessageReader:
    """Reads the messages of one connection from its buffer.

    Attributes:
        scanned: Bytes of the current message that were followed, from its first byte on.
        missing: How many values each open array or map lacks, the outermost first.
        value_count: Values of the current message that were followed.
    """

    def __init__(self) -> None:
        """Start before the first message."""
        self.scanned = 0
        self.missing: list[int] = []
        self.value_count = 0

    def next_message(self, buffer: Buffer) -> tuple[Any, int]:
        """Remove the next message from the buffer.

        Returns:
            The message and the number of values in it.

        Raises:
            IncompleteMessageError: If it is not complete; its bytes stay in the buffer.
            MalformedMessageError: If the data is not valid, or exceeds a limit.
        """
        with memoryview(buffer.data) as view:
            end = self._find_end(view, buffer.start, buffer.end)
            message, _ = unpack(view, buffer.start, end)
        buffer.skip(end - buffer.start)
        value_count = self.value_count
        self.scanned = self.value_count = 0
        return message, value_count

    def _find_end(self, view: memoryview, start: int, end: int) -> int:
        """Return the index after the message that begins at `start`; go on where the last call ended."""
        missing, position = self.missing, start + self.scanned
        while position < end:
            size, item_count = FIXED_SIZES[view[position]], 0
            if not size:
                size, item_count = measure_value(view, position, end)
            if position + size > end:
                break
            if len(missing) > MAX_DEPTH:
                raise MalformedMessageError("nested too deeply")
            self.value_count += 1
            if self.value_count > MAX_VALUES:
                raise MalformedMessageError(f"more than {MAX_VALUES} values in one message")
            position += size
            self.scanned += size
            if item_count:
                missing.append(item_count)
                continue
            # This value is complete, and with it each array and map of which it is the last item.
            while missing and missing[-1] == 1:
                missing.pop()
            if not missing:
                return position
            missing[-1] -= 1
        raise IncompleteMessageError


def measure_value(view: memoryview, offset: int, end: int) -> tuple[int, int]:
    """Return the size of the value at `offset`, one without a fixed size, and the number of its items.

    The size of an array or a map is that of its head; each key and each value of a map is an item.

    Raises:
        IncompleteMessageError: If its length continues past `end`.
        MalformedMessageError: If its type is not supported, or its length exceeds a limit.
    """
    type_byte = view[offset]
    if type_byte <= 0x8F:
        return 1, 2 * (type_byte & 0x0F)
    if type_byte <= 0x9F:
        return 1, type_byte & 0x0F
    if type_byte not in SIZED_TYPES:
        raise MalformedMessageError(f"type byte {type_byte:#04x} is not supported")
    kind, length_size = SIZED_TYPES[type_byte]
    head_size = 1 + length_size
    if offset + head_size > end:
        raise IncompleteMessageError
    length = int.from_bytes(view[offset + 1 : offset + head_size], "big")
    if kind in ("array", "map"):
        check_count(kind, length)
        return head_size, 2 * length if kind == "map" else length
    check_size(length)
    return head_size + length, 0


def read_messages(buffer: Buffer, reader: MessageReader | None = None) -> tuple[list[Any], str]:
    """Remove all complete messages from a buffer and return them; an incomplete one stays.

    Args:
        buffer: The buffer.
        reader: Keeps what is known of the incomplete message between two calls; None starts anew.

    Returns:
        The messages, and why the data after them is malformed, or "".
    """
    reader = reader or MessageReader()
    received = []
    try:
        while len(buffer):
            received.append(reader.next_message(buffer)[0])
    except IncompleteMessageError:
        pass
    except MalformedMessageError as error:
        return received, str(error)
    return received, ""
