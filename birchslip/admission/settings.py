"""Reads settings into `AdmissionSettings`, for the simulator's wire and for the app server on sockets alike.

Settings are pairs of a path and a text, as on the simulator's wire; `flatten` converts nested JSON to such
pairs. Conversion is conservative: deadlines are rounded down, timers and spans up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil, floor
from typing import TypeVar

from ..errors import InvalidInputError
from .types import (
    SECOND,
    AdmissionSettings,
    Downstream,
    Idempotency,
    Preemption,
    RequestClass,
    Tenant,
)

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
PREEMPTION_BY_HALT = {"off": Preemption.OFF, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
DOWNSTREAM_BY_NAME = {"off": Downstream.NONE, "shared": Downstream.SHARED, "tier": Downstream.TIER}
LEVEL_SIGNAL = "level"
ABSENT_VALUES = ("", "-")
MAX_NUMBER = 1e15
MAX_DIGITS = 20
MAX_SHOWN_CHARACTERS = 40  # of an invalid value in an error message
DEFAULT_DEADLINE_S = 1.0
MIN_SPAN_S = 0.001
MIN_KEEPALIVE_S = 0.01
ROUNDING_DIGITS = 3  # decimals of a tenth of a millisecond; removes the error of binary fractions
BYTES_PER_KB = 1024

Choice = TypeVar("Choice")


def parse_number(text: str, name: str) -> float:
    """Parse a finite number; an `InvalidInputError` refers to it by `name`."""
    try:
        value = float(text)
    except ValueError:
        raise InvalidInputError(f"{name} is not a number: {text[:MAX_SHOWN_CHARACTERS]!r}") from None
    if not -MAX_NUMBER < value < MAX_NUMBER:
        raise InvalidInputError(f"{name} is out of range: {text[:MAX_SHOWN_CHARACTERS]!r}")
    return value


def parse_count(text: str, name: str) -> int:
    """Parse a whole number of at least 0; an `InvalidInputError` refers to it by `name`."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise InvalidInputError(f"{name} is not a whole number: {text[:MAX_SHOWN_CHARACTERS]!r}")
    return int(text)


def is_absent(text: str) -> bool:
    """Return whether a text means that a value is absent."""
    return text in ABSENT_VALUES


def round_down_seconds(seconds: float) -> int:
    """Convert seconds to tenths of a millisecond, rounded down."""
    return floor(round(seconds * SECOND, ROUNDING_DIGITS))


def round_up_seconds(seconds: float) -> int:
    """Convert seconds to tenths of a millisecond, rounded up."""
    return ceil(round(seconds * SECOND, ROUNDING_DIGITS))


class SettingsReader:
    """Settings by path, with defaults for absent values."""

    def __init__(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Store the pairs; if a path occurs twice, the last pair counts."""
        self.values = dict(pairs)

    def text(self, name: str, default: str) -> str:
        """Return a setting as text."""
        value = self.values.get(name, default)
        return default if is_absent(value) else value

    def number(self, name: str, default: float) -> float:
        """Return a setting as a number."""
        value = self.values.get(name, "-")
        return default if is_absent(value) else parse_number(value, name)

    def bounded(self, name: str, default: float, lowest: float = 0.0) -> float:
        """Return a number that is unsafe below `lowest`, where it raises `InvalidInputError`."""
        value = self.number(name, default)
        if value < lowest:
            shown = self.text(name, "")[:MAX_SHOWN_CHARACTERS]
            raise InvalidInputError(f"{name} is under {lowest:g}: {shown!r}")
        return value

    def choice(self, name: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return the choice for a word; an unknown word would be unsafe and raises `InvalidInputError`."""
        word = self.text(name, default)
        if word not in choices:
            raise InvalidInputError(f"{name} is unknown: {word[:MAX_SHOWN_CHARACTERS]!r}")
        return choices[word]

    def flag(self, name: str, if_unclear: bool = False) -> bool:
        """Return a truth value; `if_unclear` is returned for a text that is neither true nor false."""
        text = self.text(name, "false")
        return text in ("true", "1") or (if_unclear and text not in ("false", "0"))

    def count(self, name: str) -> int:
        """Return the length of a list of objects."""
        return int(self.number(f"{name}.count", 0))

    def list_item(self, name: str, index: int, default: str) -> str:
        """Return one item of a plain list."""
        values = self.text(name, "").split(",")
        if index >= len(values) or is_absent(values[index]):
            return default
        return values[index]

    def names(self, name: str) -> list[str]:
        """Return the names in a list of objects, in order; any text is a valid name."""
        return [self.values.get(f"{name}.{index}.name", "") for index in range(self.count(name))]


def flatten(settings: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Yield nested JSON as pairs of a dotted path and a text.

    A list of objects becomes its length at `PATH.count` and its items at `PATH.0`, `PATH.1` and so on. The
    items of any other list are joined by commas.
    """
    if isinstance(settings, dict):
        for name, value in settings.items():
            yield from flatten(value, f"{path}.{name}" if path else str(name))
    elif isinstance(settings, list) and any(isinstance(item, dict) for item in settings):
        yield f"{path}.count", str(len(settings))
        for index, item in enumerate(settings):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(settings, list):
        yield path, ",".join(_scalar_text(item) for item in settings)
    else:
        yield path, _scalar_text(settings)


def _scalar_text(value: object) -> str:
    if value is None:
        return "-"
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_admission_settings(seed: int, reader: SettingsReader) -> AdmissionSettings:
    """Read all settings of an app server.

    Raises:
        InvalidInputError: A value is not a number, or is out of the range that is safe.
    """
    classes = [_read_request_class(reader, index) for index in range(reader.count("classes"))]
    tenants = [
        Tenant(max(0.0, reader.number(f"tenants.{index}.quota_per_s", 0.0)))
        for index in range(reader.count("tenants"))
    ]
    settings = AdmissionSettings(classes, tenants, seed=seed)
    settings = _with_callers(reader, settings)
    settings = _with_downstream(reader, settings)
    return _with_resources(reader, settings)


def _read_request_class(reader: SettingsReader, index: int) -> RequestClass:
    name = f"classes.{index}"
    idempotency = reader.choice(f"{name}.effect", IDEMPOTENCY_BY_EFFECT, "once")
    deadline = reader.bounded(f"{name}.hard_limit_s", DEFAULT_DEADLINE_S, MIN_SPAN_S)
    # Without a configured window, a key is kept for as long as its caller may wait and repeat the request.
    is_keyed = idempotency is Idempotency.KEYED
    retention = reader.bounded(f"{name}.window_s", deadline) if is_keyed else 0.0
    weight_without_call = reader.list_item("family_info.class_skip_worth", index, "0")
    return RequestClass(
        idempotency=idempotency,
        latency_objective=round_down_seconds(reader.number(f"{name}.aim_s", deadline)),
        deadline=round_down_seconds(deadline),
        late_weight=reader.number(f"{name}.late_worth", 0.0),
        key_retention=round_up_seconds(retention),
        priority_weight=reader.number(f"{name}.credit", 1.0),
        weight_without_call=parse_number(weight_without_call, "family_info.class_skip_worth"),
    )


def _with_callers(reader: SettingsReader, settings: AdmissionSettings) -> AdmissionSettings:
    """Return a copy of the settings with those about callers: their number, and what is sent to them."""
    max_retry_after = reader.number("ceilings.max_retry_after_s", 0.0)
    keepalive = reader.number("family_info.keepalive_max_s", settings.keepalive_timeout / SECOND)
    return replace(
        settings,
        sends_retry_after=reader.flag("ceilings.retry_after") and max_retry_after > 0,
        max_retry_after=round_down_seconds(max_retry_after),
        caller_count=max(0, int(reader.number("family_info.clients_total", settings.caller_count))),
        sends_criticality=reader.text("family_info.signal", "off") == LEVEL_SIGNAL,
        keepalive_timeout=round_up_seconds(max(MIN_KEEPALIVE_S, keepalive)),
    )


def _with_downstream(reader: SettingsReader, settings: AdmissionSettings) -> AdmissionSettings:
    """Return a copy of the settings with those of the downstream service; only a shared one has a quota."""
    downstream = reader.choice("family_info.downstream", DOWNSTREAM_BY_NAME, "off")
    quota = settings.downstream_quota
    window = settings.downstream_quota_window / SECOND
    linger = 0.0
    if downstream is Downstream.SHARED:
        quota = reader.bounded("family_info.calls_out", quota)
        window = reader.bounded("family_info.share_span_s", window, MIN_SPAN_S)
        linger = window
    return replace(
        settings,
        downstream=downstream,
        downstream_quota=quota,
        downstream_quota_window=round_down_seconds(window),
        abandoned_call_linger=round_up_seconds(reader.bounded("family_info.linger_s", linger)),
    )


def _with_resources(reader: SettingsReader, settings: AdmissionSettings) -> AdmissionSettings:
    """Return a copy of the settings with those about cores, memory, runs, fleet size, start and drain."""
    memory = reader.bounded("family_info.mem_limit_kb", settings.memory_limit / BYTES_PER_KB)
    # With an unknown way to stop runs, no run is stopped.
    preemption = PREEMPTION_BY_HALT.get(reader.text("family_info.halt", "off"), Preemption.OFF)
    return replace(
        settings,
        cores=max(1, int(reader.bounded("family_info.cores", settings.cores))),
        memory_limit=floor(memory * BYTES_PER_KB),
        running_memory_factor=reader.bounded("family_info.run_factor", settings.running_memory_factor),
        idempotency_key_size=ceil(reader.bounded("family_info.key_kb", 0.0) * BYTES_PER_KB),
        preemption=preemption,
        fleet_size=max(1, int(reader.bounded("group_size", settings.fleet_size))),
        starts_cold=reader.flag("family_info.cold", if_unclear=True),
        cold_start_speed=reader.bounded("contract.cold_from", 0.0),
        warm_up_span=round_up_seconds(reader.bounded("contract.cold_s", 0.0)),
        overload_multiple=reader.bounded("contract.fall_multiple", settings.overload_multiple),
        drain_grace=round_down_seconds(reader.bounded("contract.drain_grace_s", 0.0)),
    )
