"""The operators' release file: reading, checking, and its JSON Schema.

Reads the release file alone: `rollout_checks` compares it with the fleet before a rollout starts.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from ..errors import InvalidInputError
from .rollout_types import RolloutSpec

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
# Published in deploy/release.schema.json, and therefore independent of names in the code.
SCHEMA_NAME = "Plan"
SCHEMA_DESCRIPTION = (
    "A release file. The first batch are the canaries; `sites` in the order in which they are released."
)


def read_release(path: str | Path) -> RolloutSpec:
    """Read and check a release file.

    Raises:
        InvalidInputError: If it is malformed or its fields contradict each other; the message is one line
            that names the file and the field.
        OSError: If the file can't be read.
    """
    try:
        spec: RolloutSpec = msgspec.json.decode(Path(path).read_bytes(), type=RolloutSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInputError(f"{path}: {error}") from None
    reason = spec.validation_error()
    if reason:
        raise InvalidInputError(f"{path}: {reason}")
    return spec


def release_schema() -> dict[str, Any]:
    """Return the JSON Schema of a release file, as in `deploy/release.schema.json`."""
    _, components = msgspec.json.schema_components((RolloutSpec,))
    definition = components[RolloutSpec.__name__]
    definition |= {"title": SCHEMA_NAME, "description": SCHEMA_DESCRIPTION}
    return {
        "$schema": SCHEMA_DIALECT,
        "$ref": f"#/$defs/{SCHEMA_NAME}",
        "$defs": {SCHEMA_NAME: definition},
    }
