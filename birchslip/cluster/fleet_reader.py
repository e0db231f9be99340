"""Reading of the operators' fleet file, and its JSON Schema.

The whole file is validated before anything starts.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from ..errors import ConfigurationError
from .fleet_file import Fleet
from .fleet_validation import violations

# Descriptions by class in the published schema; independent of the classes' docstrings.
SCHEMA_DESCRIPTIONS = {
    "Fleet": "A fleet: planners, sites, and what is agreed for the day a site is lost.",
    "Planner": "One planner: where members, other planners and operators find it.",
    "Site": "A site, its app servers, and the numbers of the routers at home there.",
    "Member": (
        "One app server and where routers find it; `calls` overrides its even share of the vault, `needs` "
        "names\nthe services below without which it is out."
    ),
    "Link": "What it costs to send a site's load to another; links that are not told cost 1.",
    "Vault": (
        "The shared vault: calls in hand that all may have together, and the part of a share that is never"
        "\nlent."
    ),
    "Budget": (
        "How many may be out at once: of the app servers of the sites and members named, or of all of\n"
        "them; of the services named, or of the kinds named."
    ),
    "Service": "One service below, as the platform names it: a replica of a kind.",
    "Platform": (
        "What starts and stops processes here: asked `ask_ms` apart how they are; what it said holds for\n"
        "`stale_ms`."
    ),
}
SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def read_fleet(path: str | Path) -> Fleet:
    """Read and validate a fleet file.

    Raises:
        ConfigurationError: If it is invalid; the message has one line for each violation, with its place.
        OSError: If it can't be read.
    """
    raw = Path(path).read_bytes()
    try:
        fleet: Fleet = msgspec.json.decode(raw, type=Fleet)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
    problems = list(violations(fleet))
    if problems:
        raise ConfigurationError("\n".join(f"{path}: {line}" for line in problems))
    return fleet


def fleet_schema() -> dict[str, Any]:
    """Return the JSON Schema of a fleet file, as in `deploy/fleet.schema.json`."""
    schema = msgspec.json.schema(Fleet)
    for name, description in SCHEMA_DESCRIPTIONS.items():
        schema["$defs"][name]["description"] = description
    return {"$schema": SCHEMA_DIALECT, **schema}
