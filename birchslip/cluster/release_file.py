"""The operators' release file: JSON with a schema, checked whole before anybody is asked."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from ..errors import InvalidInputError
from .rollout import RolloutSpec


def read_release(path: str | Path) -> RolloutSpec:
    """Malformed or OSError says in a line what is wrong, and where."""
    try:
        plan: RolloutSpec = msgspec.json.decode(Path(path).read_bytes(), type=RolloutSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"{path}: {trouble}") from None
    why = plan.trouble()
    if why:
        raise InvalidInputError(f"{path}: {why}")
    return plan


def release_schema() -> dict[str, Any]:
    """The JSON Schema, as it stands in `deploy/release.schema.json`."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(RolloutSpec)}
