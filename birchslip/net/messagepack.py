"""MessagePack of the project's own: one value from a buffer cut at any byte, and back."""

from __future__ import annotations

import struct
from typing import Any

from .buffer import MalformedMessageError

MAX_DEPTH = 8
MAX_VALUE_BYTES = 16_384  # of a string or of bytes
MAX_ITEMS = 64  # items of an array or a map


class IncompleteMessageError(Exception):
    """The value goes on past what has been read."""


SINGLE_BYTE_VALUES = {0xC0: None, 0xC2: False, 0xC3: True}
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
# type byte: (what follows the length, bytes of the length)
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
    """The value that begins at `offset` and the place after it."""
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
        raise MalformedMessageError(f"type byte {type_byte:#04x} is not taken here")
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
    if size > MAX_VALUE_BYTES:
        raise MalformedMessageError(f"{size} bytes in one value, {MAX_VALUE_BYTES} at most")
    if offset + size > end:
        raise IncompleteMessageError


def unpack_string(view: memoryview, offset: int, end: int, size: int) -> tuple[str, int]:
    check_length(offset, end, size)
    try:
        return str(view[offset : offset + size], "utf-8"), offset + size
    except UnicodeDecodeError:
        raise MalformedMessageError("a string that is not UTF-8") from None


def unpack_array(view: memoryview, offset: int, end: int, count: int, depth: int) -> tuple[list[Any], int]:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"{count} items in one array, {MAX_ITEMS} at most")
    items = []
    for _ in range(count):
        item, offset = unpack(view, offset, end, depth + 1)
        items.append(item)
    return items, offset


def unpack_map(view: memoryview, offset: int, end: int, count: int, depth: int) -> tuple[dict[Any, Any], int]:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"{count} pairs in one map, {MAX_ITEMS} at most")
    pairs: dict[Any, Any] = {}
    for _ in range(count):
        key, offset = unpack(view, offset, end, depth + 1)
        if isinstance(key, list | dict):
            raise MalformedMessageError("a list or a map as the name in a map")
        pairs[key], offset = unpack(view, offset, end, depth + 1)
    return pairs, offset


def pack(value: Any) -> bytes:
    pieces: list[bytes] = []
    pack_into(pieces, value)
    return b"".join(pieces)


def pack_into(pieces: list[bytes], value: Any) -> None:
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
        raise TypeError(f"{type(value).__name__} has no form here")


def pack_integer(value: int) -> bytes:
    if -32 <= value <= 127:
        return (value & 0xFF).to_bytes(1, "big")
    for type_byte in (0xCC, 0xCD, 0xCE, 0xCF) if value > 0 else (0xD0, 0xD1, 0xD2, 0xD3):
        number_format = NUMBER_FORMATS[type_byte]
        if ((~value).bit_length() + 1 if value < 0 else value.bit_length()) <= number_format.size * 8:
            return bytes((type_byte,)) + number_format.pack(value)
    raise OverflowError(f"{value} has no form here")


def pack_header(size: int, short: tuple[int, int] | None, long: tuple[int | None, int, int]) -> bytes:
    if short is not None and size < short[1]:
        return bytes((short[0] | size,))
    for type_byte, length_size in zip(long, (1, 2, 4), strict=True):
        if type_byte is not None and size < 1 << (8 * length_size):
            return bytes((type_byte,)) + size.to_bytes(length_size, "big")
    raise OverflowError(f"{size} items or bytes have no form here")
