"""The operators' settings file of a store: JSON with a schema, checked whole before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..errors import ConfigurationError
from .retention_budget import COMPLETION_RESERVE_BYTES, MIN_SEGMENTS

MIN_COMPLETIONS_PER_SEGMENT = 4
SCHEMA_NAME = "Keep"  # published, as is the description
SCHEMA_DESCRIPTION = (
    "Where results are kept, and within which bounds; `stall_ms` is when a flush counts as stalled,\n"
    "`gather_ms` how long one waits for more to share it."
)


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Where results are stored, and within which bounds.

    Attributes:
        folder: The directory of the store.
        bytes: How many bytes the segments may take.
        entries: How many keys may be live at a time.
        stall_ms: When a flush counts as stalled.
        gather_ms: How long a flush waits for more records to share it.
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
    """Read and check a settings file.

    Raises:
        ConfigurationError: The file is malformed; the message says in one line what is wrong, and where.
        OSError: The file can't be read.
    """
    try:
        settings: StoreSettings = msgspec.json.decode(Path(path).read_bytes(), type=StoreSettings)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    return settings


def store_settings_schema() -> dict[str, Any]:
    """The JSON Schema of the file, as it is in `deploy/keep.schema.json`."""
    _, components = msgspec.json.schema_components([StoreSettings])
    definition = components[StoreSettings.__name__]
    definition |= {"title": SCHEMA_NAME, "description": SCHEMA_DESCRIPTION}
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "$ref": f"#/$defs/{SCHEMA_NAME}",
        "$defs": {SCHEMA_NAME: definition},
    }
