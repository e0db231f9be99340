"""Operators' settings file of a store: JSON with a schema, validated completely at start-up."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..errors import ConfigurationError
from .retention_budget import COMPLETION_RESERVE_BYTES, MIN_SEGMENTS

MIN_COMPLETIONS_PER_SEGMENT = 4
SCHEMA_NAME = "Keep"  # part of the published schema, as is the description
SCHEMA_DESCRIPTION = (
    "Directory and limits of the result store. A flush that takes longer than `stall_ms` counts as stalled;\n"
    "a flush waits `gather_ms` for more records to share it."
)


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Directory and limits of a store.

    Attributes:
        folder: Directory of the store.
        bytes: Maximum size of all segments in bytes.
        entries: Maximum number of live keys.
        stall_ms: Time after which an unfinished flush counts as stalled.
        gather_ms: Time that a flush waits for more records to share it.
    """

    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=4_096)]
    bytes: Annotated[
        int,
        msgspec.Meta(ge=MIN_SEGMENTS * MIN_COMPLETIONS_PER_SEGMENT * COMPLETION_RESERVE_BYTES, le=1 << 36),
    ] = 256 << 20
    entries: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 100_000
    stall_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 250
    gather_ms: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0


def read_store_settings(path: str | Path) -> StoreSettings:
    """Read and validate a settings file.

    Raises:
        ConfigurationError: The file is invalid; the message states in one line what is wrong, and where.
        OSError: The file cannot be read.
    """
    try:
        settings: StoreSettings = msgspec.json.decode(Path(path).read_bytes(), type=StoreSettings)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    return settings


def store_settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of the file, which is stored in `deploy/keep.schema.json`."""
    _, components = msgspec.json.schema_components([StoreSettings])
    definition = components[StoreSettings.__name__]
    definition |= {"title": SCHEMA_NAME, "description": SCHEMA_DESCRIPTION}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "$ref": f"#/$defs/{SCHEMA_NAME}",
        "$defs": {SCHEMA_NAME: definition},
    }
