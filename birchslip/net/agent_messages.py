"""Messages of the agent: lines of JSON, decoded into one class for each kind.

A notice has a number, by which it is processed once. All times are in tenths of a millisecond.
"""

from __future__ import annotations

import json
from binascii import a2b_base64
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from ..admission.types import MS, Outcome
from .buffer import MalformedMessageError

MAX_TEXT_CHARS = 40  # of a word that the agent repeats or that is not understood
MAX_REMARK_CHARS = 200
IS_COLD_BY_START_KIND = {"fresh": True, "seasoned": False}
RUN_OUTCOMES = {
    "done": Outcome.SERVED,
    "crashed": Outcome.FAILED,
    "aborted": Outcome.CANCELLED,
    "stale": Outcome.SUPERSEDED,
}


@dataclass(eq=False, slots=True)
class Greeting:
    """The first message of a link.

    Attributes:
        is_cold: Whether the agent was cold when it started.
        age: Time since its start.
    """

    is_cold: bool
    age: int


@dataclass(eq=False, slots=True)
class Sample:
    """The gauges, in the order of the settings, with the tag of the request for them."""

    tag: str
    values: list[float]


@dataclass(eq=False, slots=True)
class Refusal:
    """An order that was not carried out: its `op`, and the request whose run it was about."""

    order: str
    request_id: str


@dataclass(eq=False, slots=True)
class Remark:
    """A notice without a meaning for the app server."""

    notice_number: int
    text: str


@dataclass(eq=False, slots=True)
class CallRequest:
    """The notice that a run needs a downstream call with this body."""

    notice_number: int
    request_id: str
    body: bytes = field(repr=False)


@dataclass(eq=False, slots=True)
class RunEnd:
    """The notice that a run has ended, after `elapsed`."""

    notice_number: int
    request_id: str
    outcome: Outcome
    result: bytes = field(repr=False)
    elapsed: int


Notice = Remark | CallRequest | RunEnd
AgentMessage = Greeting | Sample | Refusal | Notice


def parse_message(line: bytes) -> AgentMessage:
    """Decode a message of the agent.

    Raises:
        MalformedMessageError: If it is not valid.
    """
    try:
        message = json.loads(str(line, "utf-8"))
        return _decode(message)
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as error:
        raise MalformedMessageError(f"{type(error).__name__}: {error}") from None


def _decode(message: dict[str, Any]) -> AgentMessage:
    match message["op"]:
        case "greeting":
            return Greeting(IS_COLD_BY_START_KIND[message["end"]], _duration(message["ms"]))
        case "sampled":
            return Sample(str(message["tag"]), [_number(value) for value in message["values"]])
        case "refusal":
            order, request_id = str(message.get("end")), str(message.get("id"))
            return Refusal(order[:MAX_TEXT_CHARS], request_id[:MAX_TEXT_CHARS])
        case "aside":
            return Remark(_notice_number(message), str(message.get("end"))[:MAX_REMARK_CHARS])
        case "request":
            return CallRequest(_notice_number(message), str(message["id"]), _body(message))
        case "outcome":
            return RunEnd(
                _notice_number(message),
                str(message["id"]),
                RUN_OUTCOMES[message["end"]],
                _body(message),
                _duration(message["ms"]),
            )
        case unknown:
            raise ValueError(f"unknown op: {str(unknown)[:MAX_TEXT_CHARS]!r}")


def _number(value: float | str) -> float:
    """Convert a number, which may be given as text, to a finite float."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"number is not finite: {number}")
    return number


def _duration(milliseconds: float | str) -> int:
    """Convert milliseconds to tenths of a millisecond."""
    return int(_number(milliseconds) * MS)


def _notice_number(message: dict[str, Any]) -> int:
    """Return the number of a notice, a whole number of at least 1."""
    notice_number = message["seq"]
    if not isinstance(notice_number, int) or notice_number < 1:
        raise ValueError(f"invalid notice number: {str(notice_number)[:MAX_TEXT_CHARS]!r}")
    return notice_number


def _body(message: dict[str, Any]) -> bytes:
    """Decode the base64 body of a message; an absent body is empty."""
    return a2b_base64(message.get("body") or "", strict_mode=True)
