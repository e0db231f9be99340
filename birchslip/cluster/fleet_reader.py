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
    "Fleet": "A fleet: planners, sites, and the limits and costs that apply when a site is lost.",
    "Planner": "One planner, and the address at which members, other planners and operators connect to it.",
    "Site": "A site, its app servers, and the numbers of the routers whose callers are local to it.",
    "Member": (
        "One app server and the address at which routers connect to it; `calls` overrides its even share of "
        "the vault, `needs` names the downstream services without which it counts as unavailable."
    ),
    "Link": "What it costs to send one site's load to another; links that are not given cost 1.",
    "Vault": (
        "The shared vault: `total` concurrent calls are allowed to all app servers together; the fraction "
        "`kept` of each member's share is never granted to others, and the rest is leased for `lease_ms`."
    ),
    "Budget": (
        "How many may be unavailable at once: app servers of the sites and members named, or all app "
        "servers; services that are named, or are of the kinds named."
    ),
    "Service": "One downstream service by its name on the platform: a replica of a kind.",
    "Platform": (
        "The platform that starts and stops processes: polled every `ask_ms` for their state; an answer is "
        "valid for `stale_ms`."
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
