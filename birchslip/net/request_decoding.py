"""Decodes and validates the parameters of a request, as routers send them."""

from __future__ import annotations

import re
from math import ceil
from re import Pattern
from typing import Any

from ..admission.types import MS
from ..errors import InvalidInputError
from .request_context import MAX_BODY_BYTES, DecodedRequest

ID_PATTERN, KEY_PATTERN = re.compile("[0-9a-f]{16}"), re.compile("[0-9a-f]{32}")
INTEGER_PATTERN, DECIMAL_PATTERN, FLAG_PATTERN = (
    re.compile("[0-9]{1,18}"),
    re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?"),
    re.compile("1"),
)
MAX_FIELD_CHARS = 256  # tenant names may be long
MAX_NEED_KB = 2000  # memory that a request reserves; exclusive
MAX_TIMEOUT_MS = 3_600_000  # no caller waits for an hour; also used where a request names no timeout


def parse_field(fields: dict[str, str], name: str, pattern: Pattern[str]) -> str:
    """Return the value of a field that has the form of `pattern`.

    Raises:
        InvalidInputError: If it is absent or does not match the pattern.
    """
    value = fields.get(name, "")
    if not pattern.fullmatch(value):
        raise InvalidInputError(f"{name} is absent or of a wrong form: {value[:40]!r}")
    return value


def parse_number(fields: dict[str, str], name: str, pattern: Pattern[str], low: float, high: float) -> float:
    """Return the value of a field as a number from `low` (inclusive) to `high` (exclusive).

    Raises:
        InvalidInputError: If it is absent, does not match the pattern or is out of range.
    """
    value = float(parse_field(fields, name, pattern))
    if not low <= value < high:
        raise InvalidInputError(f"{name} is out of range: {value:.15g}")
    return value


def decode_request(class_name: str, params: list[Any]) -> DecodedRequest:
    """Decode and validate the parameters of a request.

    Args:
        class_name: The method of the message: the name of a request class.
        params: The fields, as a map of strings, and the body.

    Raises:
        InvalidInputError: If a field or the body is invalid; its text is sent to the router.
    """
    match params:
        case [dict(fields), bytes(body)] if len(body) <= MAX_BODY_BYTES:
            pass
        case _:
            raise InvalidInputError(f"not fields and a body of at most {MAX_BODY_BYTES} bytes")
    for field, value in fields.items():
        if not isinstance(field, str) or not isinstance(value, str) or len(value) > MAX_FIELD_CHARS:
            raise InvalidInputError(f"a field that is not text of at most {MAX_FIELD_CHARS} characters")
    parse_number(fields, "level", DECIMAL_PATTERN, 0, 1)
    need = parse_number(fields, "need", DECIMAL_PATTERN, 0, MAX_NEED_KB)
    if not need:
        raise InvalidInputError("need is 0")
    if "subject" in fields:
        parse_field(fields, "subject", ID_PATTERN)
    return DecodedRequest(
        request_id=parse_field(fields, "req", ID_PATTERN),
        class_name=class_name,
        body=body,
        router_timestamp=int(parse_number(fields, "ts", INTEGER_PATTERN, 0, 1 << 50)) * MS,
        # Without a timeout of the caller, the deadline of the request class applies.
        timeout=int(
            parse_number(fields, "timeout", INTEGER_PATTERN, 1, MAX_TIMEOUT_MS)
            if "timeout" in fields
            else MAX_TIMEOUT_MS
        )
        * MS,
        caller=int(parse_field(fields, "via", INTEGER_PATTERN)),
        tenant=fields.get("owner", ""),
        size=ceil(need * 1024),
        is_retry="resent" in fields and bool(parse_field(fields, "resent", FLAG_PATTERN)),
        idempotency_key=parse_field(fields, "opkey", KEY_PATTERN) if "opkey" in fields else "",
        has_subject="subject" in fields,
    )
