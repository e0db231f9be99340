"""The settings that expectations are held against: a configuration, a fleet file, a world file. Read as the
program reads them, and with single values changed, for whoever asks what a value is worth.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cached_property
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ..cluster.fleet_file import Fleet
from ..cluster.fleet_validation import violations
from ..errors import InvalidInputError
from ..lab.model.layout import Layout
from ..lab.model.world import Setting
from ..net.site import ServerConfig, parse_config

KEYS = ("name", "from", "number")  # what an entry of a list is called by, where it has one
FILES = ("config", "fleet", "world")

Path_ = tuple[str | int, ...]
Kind = TypeVar("Kind", bound=msgspec.Struct)


@dataclass(frozen=True)
class Sources:
    """Decoded JSON; `InvalidInputError` at `setting` says what is wrong with it."""

    config: dict[str, Any]
    fleet: dict[str, Any] | None = None
    world: dict[str, Any] | None = None
    names: tuple[str, str, str] = ("configuration", "fleet file", "world file")

    @cached_property
    def site(self) -> ServerConfig:
        try:
            return parse_config(self.config, {})
        except InvalidInputError as trouble:
            raise InvalidInputError(f"{self.names[0]}: {trouble}") from None

    @cached_property
    def read_fleet(self) -> Fleet | None:
        if self.fleet is None:
            return None
        fleet = convert(self.fleet, Fleet, self.names[1])
        found = list(violations(fleet))
        if found:
            raise InvalidInputError(f"{self.names[1]}: {found[0]}")
        return fleet

    @cached_property
    def layout(self) -> Layout:
        return convert(self.world or {}, Layout, self.names[2])

    @cached_property
    def setting(self) -> Setting:
        site = self.site
        made = Setting(
            site.settings, site.class_names, site.tenant_names, self.layout, self.read_fleet, name=site.name
        )
        troubles = self.layout.trouble(site.class_names, site.tenant_names, list(made.sites()))
        if troubles:
            raise InvalidInputError(f"{self.names[2]}: {troubles[0]}")
        return made

    # ---- single values ---------------------------------------------------------------------------------

    def values(self) -> Iterator[tuple[str, Path_, Any]]:
        """Every value that is no list and no object, with its file and path, in order."""
        for which in FILES:
            told = getattr(self, which)
            if told is not None:
                for path, value in leaves(told, ()):
                    yield which, path, value

    def value(self, which: str, path: Path_) -> Any:
        at = getattr(self, which)
        for part in path:
            at = at[part]
        return at

    def with_value(self, which: str, path: Path_, value: Any) -> Sources:
        """The same but for one value; `None` takes the entry out."""
        told = copy.deepcopy(getattr(self, which))
        at = told
        for part in path[:-1]:
            at = at[part]
        if value is None:
            del at[path[-1]]
        else:
            at[path[-1]] = value
        return replace(self, **{which: told})

    def place(self, which: str, path: Path_) -> str:
        """A path for people: entries by their names, where they have any."""
        at, made = getattr(self, which), ""
        for part in path:
            if isinstance(part, str):
                made += f".{part}" if made else part
                at = at.get(part) if isinstance(at, dict) else None
                continue
            at = at[part]
            called = next((at[key] for key in KEYS if isinstance(at, dict) and key in at), part)
            made += f"[{called}]"
        return f"{self.names[FILES.index(which)]}: {made}"


def leaves(at: Any, path: Path_) -> Iterator[tuple[Path_, Any]]:
    if isinstance(at, dict):
        for name, value in at.items():
            yield from leaves(value, (*path, name))
    elif isinstance(at, list):
        for place, value in enumerate(at):
            yield from leaves(value, (*path, place))
    else:
        yield path, at


def convert(told: dict[str, Any], kind: type[Kind], name: str) -> Kind:
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as trouble:
        raise InvalidInputError(f"{name}: {trouble}") from None


def read_json(path: str | Path) -> dict[str, Any]:
    """Malformed or OSError says what is wrong, in one line."""
    try:
        told = json.loads(Path(path).read_bytes())
    except (ValueError, RecursionError) as trouble:
        raise InvalidInputError(f"{path} is not JSON: {trouble}") from None
    if not isinstance(told, dict):
        raise InvalidInputError(f"{path} holds no object")
    return told


def read_sources(
    config: str | Path, fleet: str | Path | None = None, world: str | Path | None = None
) -> Sources:
    files = [
        Path(one).name if one is not None else usual
        for one, usual in ((config, ""), (fleet, "fleet file"), (world, "world file"))
    ]
    made = Sources(
        read_json(config),
        read_json(fleet) if fleet is not None else None,
        read_json(world) if world is not None else None,
        (files[0], files[1], files[2]),
    )
    _ = made.setting
    return made
