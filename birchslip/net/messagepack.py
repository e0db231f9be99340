"""MessagePack codec: encodes values, and decodes values from data that may end in the middle of one.

Supports nil, booleans, integers, floats, strings, binary data, arrays and maps. Extension types are rejected,
and so are values past the limits below, since the data comes from peers.
"""

from __future__ import annotations

import struct
from typing import Any

from .buffer import MalformedMessageError

MAX_DEPTH = 8  # arrays and maps that may contain a value, one inside the other
MAX_VALUE_BYTES = 16_384  # of one string or binary value
MAX_ITEMS = 64  # of one array, or pairs of one map


class IncompleteMessageError(Exception):
    """The value is not complete yet: it continues past the data received so far."""


# Values that consist of their type byte alone.
SINGLE_BYTE_VALUES = {0xC0: None, 0xC2: False, 0xC3: True}
# Type byte: layout of the number that follows it.
NUMBER_FORMATS = {
    0xCA: struct.Struct(">f"),
    0xCB: struct.Struct(">d"),
    0xCC: struct.Struct(">B"),
    0xCD: struct.Struct(">H"),
    0xCE: struct.Struct(">I"),
    0xCF: struct.Struct(">Q"),
    0xD0: struct.Struct(">b"),
    0xD1: struct.Struct(">h"),
    0xD2: struct.Struct(">i"),
    0xD3: struct.Struct(">q"),
}
# Type byte: (kind of the value, bytes of the length that follows the type byte).
SIZED_TYPES = {
    0xC4: ("bin", 1),
    0xC5: ("bin", 2),
    0xC6: ("bin", 4),
    0xD9: ("str", 1),
    0xDA: ("str", 2),
    0xDB: ("str", 4),
    0xDC: ("array", 2),
    0xDD: ("array", 4),
    0xDE: ("map", 2),
    0xDF: ("map", 4),
}


def unpack(view: memoryview, offset: int, end: int, depth: int = 0) -> tuple[Any, int]:
    """Decode the value that begins at `offset`.

    Args:
        view: Data received so far.
        offset: Index of the type byte of the value.
        end: Index after the last byte received.
        depth: Number of arrays and maps that contain the value.

    Returns:
        The value and the index of the first byte after it.

    Raises:
        IncompleteMessageError: If the value continues past `end`.
        MalformedMessageError: If the data is not valid, or exceeds a limit of this module.
    """
    if offset >= end:
        raise IncompleteMessageError
    if depth > MAX_DEPTH:
        raise MalformedMessageError("nested too deeply")
    type_byte = view[offset]
    offset += 1
    if type_byte <= 0x7F:
        return type_byte, offset
    if type_byte >= 0xE0:
        return type_byte - 256, offset
    if type_byte <= 0x8F:
        return unpack_map(view, offset, end, type_byte & 0x0F, depth)
    if type_byte <= 0x9F:
        return unpack_array(view, offset, end, type_byte & 0x0F, depth)
    if type_byte <= 0xBF:
        return unpack_string(view, offset, end, type_byte & 0x1F)
    if type_byte in SINGLE_BYTE_VALUES:
        return SINGLE_BYTE_VALUES[type_byte], offset
    if type_byte in NUMBER_FORMATS:
        number_format = NUMBER_FORMATS[type_byte]
        if offset + number_format.size > end:
            raise IncompleteMessageError
        return number_format.unpack_from(view, offset)[0], offset + number_format.size
    if type_byte not in SIZED_TYPES:
        raise MalformedMessageError(f"type byte {type_byte:#04x} is not supported")
    kind, length_size = SIZED_TYPES[type_byte]
    if offset + length_size > end:
        raise IncompleteMessageError
    size = int.from_bytes(view[offset : offset + length_size], "big")
    offset += length_size
    if kind == "array":
        return unpack_array(view, offset, end, size, depth)
    if kind == "map":
        return unpack_map(view, offset, end, size, depth)
    if kind == "str":
        return unpack_string(view, offset, end, size)
    check_length(offset, end, size)
    return bytes(view[offset : offset + size]), offset + size


def check_length(offset: int, end: int, size: int) -> None:
    """Check that a string or binary value of `size` bytes is within the limit and was received whole.

    Raises:
        IncompleteMessageError: If the value continues past `end`.
        MalformedMessageError: If it is longer than `MAX_VALUE_BYTES`.
    """
    check_size(size)
    if offset + size > end:
        raise IncompleteMessageError


def check_size(size: int) -> None:
    """Check the bytes of one string or binary value.

    Raises:
        MalformedMessageError: If there are more than `MAX_VALUE_BYTES`.
    """
    if size > MAX_VALUE_BYTES:
        raise MalformedMessageError(f"{size} bytes in one value, {MAX_VALUE_BYTES} at most")


def check_count(kind: str, count: int) -> None:
    """Check the items of one "array", or the pairs of one "map".

    Raises:
        MalformedMessageError: If there are more than `MAX_ITEMS`.
    """
    if count > MAX_ITEMS:
        items = "items" if kind == "array" else "pairs"
        raise MalformedMessageError(f"{count} {items} in one {kind}, {MAX_ITEMS} at most")


def unpack_string(view: memoryview, offset: int, end: int, size: int) -> tuple[str, int]:
    """Decode a UTF-8 string of `size` bytes at `offset`; return it and the index after it.

    Raises:
        IncompleteMessageError: If the string continues past `end`.
        MalformedMessageError: If it is too long or not UTF-8.
    """
    check_length(offset, end, size)
    try:
        return str(view[offset : offset + size], "utf-8"), offset + size
    except UnicodeDecodeError:
        raise MalformedMessageError("a string that is not UTF-8") from None


def unpack_array(view: memoryview, offset: int, end: int, count: int, depth: int) -> tuple[list[Any], int]:
    """Decode an array of `count` items at `offset`; return it and the index after it.

    `depth` is the number of arrays and maps that contain it.

    Raises:
        IncompleteMessageError: If an item continues past `end`.
        MalformedMessageError: If there are too many items, or one of them is not valid.
    """
    check_count("array", count)
    items = []
    for _ in range(count):
        item, offset = unpack(view, offset, end, depth + 1)
        items.append(item)
    return items, offset


def unpack_map(view: memoryview, offset: int, end: int, count: int, depth: int) -> tuple[dict[Any, Any], int]:
    """Decode a map of `count` pairs at `offset`; return it and the index after it.

    `depth` is the number of arrays and maps that contain it.

    Raises:
        IncompleteMessageError: If a key or value continues past `end`.
        MalformedMessageError: If there are too many pairs, a key is an array or a map, or an item is invalid.
    """
    check_count("map", count)
    pairs: dict[Any, Any] = {}
    for _ in range(count):
        key, offset = unpack(view, offset, end, depth + 1)
        if isinstance(key, list | dict):
            raise MalformedMessageError("an array or a map as a key of a map")
        pairs[key], offset = unpack(view, offset, end, depth + 1)
    return pairs, offset


def pack(value: object) -> bytes:
    """Return the encoding of a value.

    Raises:
        TypeError: If a value has a type that this codec does not support.
        OverflowError: If an integer does not fit into 64 bits, or a length into 32 bits.
    """
    pieces: list[bytes] = []
    pack_into(pieces, value)
    return b"".join(pieces)


def pack_into(pieces: list[bytes], value: object) -> None:
    """Append the encoding of a value to `pieces`; raise the same errors as `pack`."""
    if value is None:
        pieces.append(b"\xc0")
    elif isinstance(value, bool):
        pieces.append(b"\xc3" if value else b"\xc2")
    elif isinstance(value, int):
        pieces.append(pack_integer(value))
    elif isinstance(value, float):
        pieces.append(struct.pack(">Bd", 0xCB, value))
    elif isinstance(value, bytes):
        pieces += (pack_header(len(value), None, (0xC4, 0xC5, 0xC6)), value)
    elif isinstance(value, str):
        encoded = value.encode()
        pieces += (pack_header(len(encoded), (0xA0, 32), (0xD9, 0xDA, 0xDB)), encoded)
    elif isinstance(value, list | tuple):
        pieces.append(pack_header(len(value), (0x90, 16), (None, 0xDC, 0xDD)))
        for item in value:
            pack_into(pieces, item)
    elif isinstance(value, dict):
        pieces.append(pack_header(len(value), (0x80, 16), (None, 0xDE, 0xDF)))
        for key, item in value.items():
            pack_into(pieces, key)
            pack_into(pieces, item)
    else:
        raise TypeError(f"type {type(value).__name__} cannot be encoded")


def pack_integer(value: int) -> bytes:
    """Encode an integer in its shortest form.

    Raises:
        OverflowError: If it does not fit into 64 bits.
    """
    if -32 <= value <= 127:
        return (value & 0xFF).to_bytes(1, "big")
    for type_byte in (0xCC, 0xCD, 0xCE, 0xCF) if value > 0 else (0xD0, 0xD1, 0xD2, 0xD3):
        number_format = NUMBER_FORMATS[type_byte]
        if ((~value).bit_length() + 1 if value < 0 else value.bit_length()) <= number_format.size * 8:
            return bytes((type_byte,)) + number_format.pack(value)
    raise OverflowError(f"integer {value} does not fit into 64 bits")


def pack_header(size: int, short: tuple[int, int] | None, long: tuple[int | None, int, int]) -> bytes:
    """Encode the type byte and length of a string, binary value, array or map in the shortest form.

    Args:
        size: Length in bytes, or number of items or pairs.
        short: Base type byte of the form that holds the length itself, and the first length that does not fit
            into it; None if the type has no such form.
        long: Type bytes for lengths of 1, 2 and 4 bytes; None where the type has no such form.

    Raises:
        OverflowError: If the length does not fit into 4 bytes.
    """
    if short is not None and size < short[1]:
        return bytes((short[0] | size,))
    for type_byte, length_size in zip(long, (1, 2, 4), strict=True):
        if type_byte is not None and size < 1 << (8 * length_size):
            return bytes((type_byte,)) + size.to_bytes(length_size, "big")
    raise OverflowError(f"a length of {size} does not fit into 32 bits")
