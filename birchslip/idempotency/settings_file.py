"""The operators' file of a store: JSON with a schema, checked whole before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..errors import InvalidInputError
from .retention_budget import CLOSING, FILES


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Where results are kept, and within which bounds; `stall_ms` is when a flush counts as stalled,
    `gather_ms` how long one waits for more to share it.
    """

    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
    bytes: Annotated[int, msgspec.Meta(ge=FILES * 4 * CLOSING, le=1 << 36)] = 256 << 20
    entries: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    stall_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 250
    gather_ms: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0


def read_store_settings(path: str | Path) -> StoreSettings:
    """Malformed or OSError says in a line what is wrong, and where."""
    try:
        told: StoreSettings = msgspec.json.decode(Path(path).read_bytes(), type=StoreSettings)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"{path}: {trouble}") from None
    return told


def store_settings_schema() -> dict[str, Any]:
    """The JSON Schema, as it stands in `deploy/keep.schema.json`."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(StoreSettings)}
