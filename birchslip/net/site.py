"""Where this app server stands: the JSON that `PROXY_CONFIG` names, read at the start and on SIGHUP."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from ..admission.settings import SettingsReader, flatten, read_admission_settings
from ..admission.types import MS, AdmissionSettings
from ..errors import InvalidInputError
from .bounds import MIN_SOCKETS

Address = tuple[str, int]
RELOADABLE_FIELDS = ("agent", "catalog", "vault", "stop_timeout")  # what a running program takes over


@dataclass(slots=True)
class ServerConfig:
    """The program's own; the settings become a `AdmissionSettings`, and their names stay at the door."""

    name: str
    listen: Address
    agent: Address
    catalog: Address
    vault: Address | None
    stop_timeout: int
    sockets: int
    memory_bytes: int  # bytes
    settings: AdmissionSettings
    class_names: list[str]
    tenant_names: list[str]
    gauge_names: list[str]

    def changes_needing_restart(self, later: ServerConfig) -> list[str]:
        """The parts in which a later reading differs and that stand as long as the program runs."""
        running, reloaded = asdict(self), asdict(later)
        return [part for part in running if part not in RELOADABLE_FIELDS and running[part] != reloaded[part]]


def read_config(environment: Mapping[str, str]) -> ServerConfig:
    """Malformed or OSError says what is wrong, in one line."""
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise InvalidInputError("PROXY_CONFIG names no file")
    with open(path, encoding="utf-8") as file:
        try:
            configuration = json.load(file)
        except (ValueError, RecursionError) as error:
            raise InvalidInputError(f"{path} is not JSON: {error}") from None
    if not isinstance(configuration, dict):
        raise InvalidInputError(f"{path} holds no object")
    return parse_config(configuration, environment)


def parse_config(configuration: dict[str, Any], environment: Mapping[str, str]) -> ServerConfig:
    """What a configuration says, once it is read."""
    for part in ("settings", "limits"):
        if not isinstance(configuration.get(part, {}), dict):
            raise InvalidInputError(f"{part} is not an object")
    try:
        reader = SettingsReader(flatten(configuration.get("settings", {})))
    except RecursionError:
        raise InvalidInputError("settings are nested too deeply") from None
    limits = configuration.get("limits", {})
    sockets, memory_mb = limits.get("sockets", 1024), limits.get("memory_mb", 192)
    stop_ms = configuration.get("stop_ms", 3000)
    for setting, value in (
        ("limits.sockets", sockets),
        ("limits.memory_mb", memory_mb),
        ("stop_ms", stop_ms),
    ):
        if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < 1e9:
            raise InvalidInputError(f"{setting} is not a number above 0: {value!r}")
    if sockets < MIN_SOCKETS:
        raise InvalidInputError(f"limits.sockets is under {MIN_SOCKETS}: {sockets!r}")
    config = ServerConfig(
        name=environment.get("PROXY_NAME") or read_text(configuration, "name"),
        listen=parse_address(
            environment.get("PROXY_LISTEN") or read_text(configuration, "listen"), "listen", min_port=0
        ),
        agent=parse_address(read_text(configuration, "agent"), "agent"),
        catalog=parse_address(read_text(configuration, "directory"), "directory"),
        vault=parse_address(read_text(configuration, "vault"), "vault") if "vault" in configuration else None,
        stop_timeout=int(stop_ms * MS),
        sockets=int(sockets),
        memory_bytes=int(memory_mb * (1 << 20)),
        settings=read_admission_settings(parse_seed(configuration), reader),
        class_names=reader.names("classes"),
        tenant_names=reader.names("tenants"),
        gauge_names=reader.text("family_info.gauges", "").split(","),
    )
    if not all(config.class_names) or not config.class_names:
        raise InvalidInputError("settings.classes has no names")
    for setting, names in (("classes", config.class_names), ("tenants", config.tenant_names)):
        duplicate = next((name for place, name in enumerate(names) if name in names[:place]), None)
        if duplicate is not None:
            raise InvalidInputError(f"settings.{setting} names one twice: {duplicate[:40]!r}")
    return config


def read_text(configuration: dict[str, Any], name: str) -> str:
    value = configuration.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidInputError(f"{name} is absent or not a text")
    return value


def parse_seed(configuration: dict[str, Any]) -> int:
    try:
        return int(str(configuration.get("seed", "1")), 16)
    except ValueError:
        raise InvalidInputError(f"seed is not hexadecimal: {configuration.get('seed')!r}") from None


def parse_address(value: str, setting: str, min_port: int = 1) -> Address:
    """HOST:PORT; where port 0 is allowed, it takes any free one."""
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise InvalidInputError(f"{setting} is not HOST:PORT: {value[:60]!r}")
    try:
        # A name would be looked up each time it is dialled, and all else would wait for that.
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise InvalidInputError(f"{setting} is not an IPv4 address and a port: {value[:60]!r}") from None
    return host, int(port)
