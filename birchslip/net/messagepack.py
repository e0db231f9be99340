"""MessagePack of the project's own: one value from a buffer cut at any byte, and back."""

from __future__ import annotations

import struct
from typing import Any

from .buffer import MalformedMessageError

DEEPEST = 8
LONGEST = 16_384  # of a string or of bytes
WIDEST = 64  # items of an array or a map


class Incomplete(Exception):
    """The value goes on past what has been read."""


ALONE = {0xC0: None, 0xC2: False, 0xC3: True}
FIXED = {
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
SIZED = {
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


def unpack(view: memoryview, at: int, end: int, depth: int = 0) -> tuple[Any, int]:
    """The value that begins at `at` and the place after it."""
    if at >= end:
        raise Incomplete
    if depth > DEEPEST:
        raise MalformedMessageError("nested too deeply")
    first = view[at]
    at += 1
    if first <= 0x7F:
        return first, at
    if first >= 0xE0:
        return first - 256, at
    if first <= 0x8F:
        return unpack_map(view, at, end, first & 0x0F, depth)
    if first <= 0x9F:
        return unpack_array(view, at, end, first & 0x0F, depth)
    if first <= 0xBF:
        return unpack_text(view, at, end, first & 0x1F)
    if first in ALONE:
        return ALONE[first], at
    if first in FIXED:
        form = FIXED[first]
        if at + form.size > end:
            raise Incomplete
        return form.unpack_from(view, at)[0], at + form.size
    if first not in SIZED:
        raise MalformedMessageError(f"type byte {first:#04x} is not taken here")
    what, width = SIZED[first]
    if at + width > end:
        raise Incomplete
    size = int.from_bytes(view[at : at + width], "big")
    at += width
    if what == "array":
        return unpack_array(view, at, end, size, depth)
    if what == "map":
        return unpack_map(view, at, end, size, depth)
    if what == "str":
        return unpack_text(view, at, end, size)
    check_length(at, end, size)
    return bytes(view[at : at + size]), at + size


def check_length(at: int, end: int, size: int) -> None:
    if size > LONGEST:
        raise MalformedMessageError(f"{size} bytes in one value, {LONGEST} at most")
    if at + size > end:
        raise Incomplete


def unpack_text(view: memoryview, at: int, end: int, size: int) -> tuple[str, int]:
    check_length(at, end, size)
    try:
        return str(view[at : at + size], "utf-8"), at + size
    except UnicodeDecodeError:
        raise MalformedMessageError("a string that is not UTF-8") from None


def unpack_array(view: memoryview, at: int, end: int, count: int, depth: int) -> tuple[list[Any], int]:
    if count > WIDEST:
        raise MalformedMessageError(f"{count} items in one array, {WIDEST} at most")
    items = []
    for _ in range(count):
        item, at = unpack(view, at, end, depth + 1)
        items.append(item)
    return items, at


def unpack_map(view: memoryview, at: int, end: int, count: int, depth: int) -> tuple[dict[Any, Any], int]:
    if count > WIDEST:
        raise MalformedMessageError(f"{count} pairs in one map, {WIDEST} at most")
    pairs: dict[Any, Any] = {}
    for _ in range(count):
        name, at = unpack(view, at, end, depth + 1)
        if isinstance(name, list | dict):
            raise MalformedMessageError("a list or a map as the name in a map")
        pairs[name], at = unpack(view, at, end, depth + 1)
    return pairs, at


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
        pieces.append(pack_whole(value))
    elif isinstance(value, float):
        pieces.append(struct.pack(">Bd", 0xCB, value))
    elif isinstance(value, bytes):
        pieces += (pack_head(len(value), None, (0xC4, 0xC5, 0xC6)), value)
    elif isinstance(value, str):
        text = value.encode()
        pieces += (pack_head(len(text), (0xA0, 32), (0xD9, 0xDA, 0xDB)), text)
    elif isinstance(value, list | tuple):
        pieces.append(pack_head(len(value), (0x90, 16), (None, 0xDC, 0xDD)))
        for item in value:
            pack_into(pieces, item)
    elif isinstance(value, dict):
        pieces.append(pack_head(len(value), (0x80, 16), (None, 0xDE, 0xDF)))
        for name, item in value.items():
            pack_into(pieces, name)
            pack_into(pieces, item)
    else:
        raise TypeError(f"{type(value).__name__} has no form here")


def pack_whole(value: int) -> bytes:
    if -32 <= value <= 127:
        return (value & 0xFF).to_bytes(1, "big")
    for first in (0xCC, 0xCD, 0xCE, 0xCF) if value > 0 else (0xD0, 0xD1, 0xD2, 0xD3):
        form = FIXED[first]
        if ((~value).bit_length() + 1 if value < 0 else value.bit_length()) <= form.size * 8:
            return bytes((first,)) + form.pack(value)
    raise OverflowError(f"{value} has no form here")


def pack_head(size: int, short: tuple[int, int] | None, long: tuple[int | None, int, int]) -> bytes:
    if short is not None and size < short[1]:
        return bytes((short[0] | size,))
    for first, width in zip(long, (1, 2, 4), strict=True):
        if first is not None and size < 1 << (8 * width):
            return bytes((first,)) + size.to_bytes(width, "big")
    raise OverflowError(f"{size} items or bytes have no form here")
