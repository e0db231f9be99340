"""The settings that expectations are checked against: configuration, fleet file and world file.

They are read as the program reads them. Single values can be changed to find out what depends on them.
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

NAMING_KEYS = ("name", "from", "number")  # keys that name an entry of a list; the first one present counts
FILE_KINDS = ("config", "fleet", "world")

ValuePath = tuple[str | int, ...]
StructT = TypeVar("StructT", bound=msgspec.Struct)


@dataclass(frozen=True)
class Sources:
    """The decoded JSON of the three files.

    Accessing `setting` validates all of them and raises `InvalidInputError` for the first error.

    Attributes:
        config: The configuration of an app server.
        fleet: The fleet file, if there is one.
        world: The world file, if there is one.
        file_labels: What messages call the three files, in the order of `FILE_KINDS`.
    """

    config: dict[str, Any]
    fleet: dict[str, Any] | None = None
    world: dict[str, Any] | None = None
    file_labels: tuple[str, str, str] = ("configuration", "fleet file", "world file")

    @cached_property
    def server_config(self) -> ServerConfig:
        """The parsed configuration.

        Raises:
            InvalidInputError: The configuration is invalid.
        """
        try:
            return parse_config(self.config, {})
        except InvalidInputError as error:
            raise InvalidInputError(f"{self.file_labels[0]}: {error}") from None

    @cached_property
    def parsed_fleet(self) -> Fleet | None:
        """The parsed fleet file, or `None` if there is none.

        Raises:
            InvalidInputError: The fleet file is malformed or inconsistent.
        """
        if self.fleet is None:
            return None
        fleet = convert_struct(self.fleet, Fleet, self.file_labels[1])
        failures = list(violations(fleet))
        if failures:
            raise InvalidInputError(f"{self.file_labels[1]}: {failures[0]}")
        return fleet

    @cached_property
    def layout(self) -> Layout:
        """The parsed world file; its defaults if there is none.

        Raises:
            InvalidInputError: The world file is malformed.
        """
        return convert_struct(self.world or {}, Layout, self.file_labels[2])

    @cached_property
    def setting(self) -> Setting:
        """The settings of a scenario run.

        Raises:
            InvalidInputError: A file is invalid, or the world file refers to an unknown name.
        """
        server_config = self.server_config
        result = Setting(
            server_config.settings,
            server_config.class_names,
            server_config.tenant_names,
            self.layout,
            self.parsed_fleet,
            name=server_config.name,
        )
        errors = self.layout.validation_errors(
            server_config.class_names, server_config.tenant_names, list(result.sites())
        )
        if errors:
            raise InvalidInputError(f"{self.file_labels[2]}: {errors[0]}")
        return result

    # ---- single values ---------------------------------------------------------------------------------

    def values(self) -> Iterator[tuple[str, ValuePath, Any]]:
        """Yield every value that is no object and no list, as (file kind, path, value), in file order."""
        for file_kind in FILE_KINDS:
            contents = getattr(self, file_kind)
            if contents is not None:
                for path, value in leaf_values(contents, ()):
                    yield file_kind, path, value

    def value(self, file_kind: str, path: ValuePath) -> Any:
        """Return the value at a path of a file."""
        node = getattr(self, file_kind)
        for key in path:
            node = node[key]
        return node

    def with_value(self, file_kind: str, path: ValuePath, value: Any) -> Sources:
        """Return a copy with one value replaced, or its entry removed if the value is `None`."""
        contents = copy.deepcopy(getattr(self, file_kind))
        node = contents
        for key in path[:-1]:
            node = node[key]
        if value is None:
            del node[path[-1]]
        else:
            node[path[-1]] = value
        return replace(self, **{file_kind: contents})

    def path_label(self, file_kind: str, path: ValuePath) -> str:
        """Return a file's label and a path for messages, with list entries shown by their names if any."""
        node, result = getattr(self, file_kind), ""
        for key in path:
            if isinstance(key, str):
                result += f".{key}" if result else key
                node = node.get(key) if isinstance(node, dict) else None
                continue
            node = node[key]
            label = next((node[name] for name in NAMING_KEYS if isinstance(node, dict) and name in node), key)
            result += f"[{label}]"
        return f"{self.file_labels[FILE_KINDS.index(file_kind)]}: {result}"


def leaf_values(node: Any, path: ValuePath) -> Iterator[tuple[ValuePath, Any]]:
    """Yield the values below a node that are no objects and no lists, with their paths."""
    if isinstance(node, dict):
        for name, value in node.items():
            yield from leaf_values(value, (*path, name))
    elif isinstance(node, list):
        for index, value in enumerate(node):
            yield from leaf_values(value, (*path, index))
    else:
        yield path, node


def convert_struct(contents: dict[str, Any], kind: type[StructT], name: str) -> StructT:
    """Convert decoded JSON to a struct.

    Raises:
        InvalidInputError: The contents do not match the struct; the message starts with `name`.
    """
    try:
        return msgspec.convert(contents, kind)
    except msgspec.ValidationError as error:
        raise InvalidInputError(f"{name}: {error}") from None


def read_json(path: str | Path) -> dict[str, Any]:
    """Read a JSON file that holds an object.

    Raises:
        InvalidInputError: The file is not JSON or does not hold an object.
        OSError: The file cannot be read.
    """
    try:
        contents = json.loads(Path(path).read_bytes())
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(f"{path} is not JSON: {error}") from None
    if not isinstance(contents, dict):
        raise InvalidInputError(f"{path} does not hold a JSON object")
    return contents


def read_sources(
    config: str | Path, fleet: str | Path | None = None, world: str | Path | None = None
) -> Sources:
    """Read and validate the settings; the files are called by their names in messages.

    Raises:
        InvalidInputError: A file is invalid.
        OSError: A file cannot be read.
    """
    labels = [
        Path(path).name if path is not None else default
        for path, default in ((config, ""), (fleet, "fleet file"), (world, "world file"))
    ]
    result = Sources(
        read_json(config),
        read_json(fleet) if fleet is not None else None,
        read_json(world) if world is not None else None,
        (labels[0], labels[1], labels[2]),
    )
    _ = result.setting
    return result
