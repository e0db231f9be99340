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
MOVING = ("agent", "catalog", "vault", "stop")  # what a running program takes over


@dataclass(slots=True)
class Site:
    """The program's own; the settings become a `AdmissionSettings`, and their names stay at the door."""

    name: str
    listen: Address
    agent: Address
    catalog: Address
    vault: Address | None
    stop: int
    sockets: int
    memory: int  # bytes
    deployment: AdmissionSettings
    profiles: list[str]
    tenants: list[str]
    gauges: list[str]

    def fixed(self, later: Site) -> list[str]:
        """The parts in which a later reading differs and that stand as long as the program runs."""
        now, then = asdict(self), asdict(later)
        return [part for part in now if part not in MOVING and now[part] != then[part]]


def read_site(environment: Mapping[str, str]) -> Site:
    """Malformed or OSError says what is wrong, in one line."""
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise InvalidInputError("PROXY_CONFIG names no file")
    with open(path, encoding="utf-8") as file:
        try:
            told = json.load(file)
        except (ValueError, RecursionError) as trouble:
            raise InvalidInputError(f"{path} is not JSON: {trouble}") from None
    if not isinstance(told, dict):
        raise InvalidInputError(f"{path} holds no object")
    return site_of(told, environment)


def site_of(told: dict[str, Any], environment: Mapping[str, str]) -> Site:
    """What a configuration says, once it is read."""
    for part in ("settings", "limits"):
        if not isinstance(told.get(part, {}), dict):
            raise InvalidInputError(f"{part} is not an object")
    try:
        setup = SettingsReader(flatten(told.get("settings", {})))
    except RecursionError:
        raise InvalidInputError("settings are nested too deeply") from None
    limits = told.get("limits", {})
    sockets, memory = limits.get("sockets", 1024), limits.get("memory_mb", 192)
    stop = told.get("stop_ms", 3000)
    for what, value in (("limits.sockets", sockets), ("limits.memory_mb", memory), ("stop_ms", stop)):
        if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < 1e9:
            raise InvalidInputError(f"{what} is not a number above 0: {value!r}")
    if sockets < MIN_SOCKETS:
        raise InvalidInputError(f"limits.sockets is under {MIN_SOCKETS}: {sockets!r}")
    site = Site(
        name=environment.get("PROXY_NAME") or text(told, "name"),
        listen=address(environment.get("PROXY_LISTEN") or text(told, "listen"), "listen", lowest=0),
        agent=address(text(told, "agent"), "agent"),
        catalog=address(text(told, "directory"), "directory"),
        vault=address(text(told, "vault"), "vault") if "vault" in told else None,
        stop=int(stop * MS),
        sockets=int(sockets),
        memory=int(memory * (1 << 20)),
        deployment=read_admission_settings(seed(told), setup),
        profiles=setup.names("classes"),
        tenants=setup.names("tenants"),
        gauges=setup.text("family_info.gauges", "").split(","),
    )
    if not all(site.profiles) or not site.profiles:
        raise InvalidInputError("settings.classes has no names")
    for what, names in (("classes", site.profiles), ("tenants", site.tenants)):
        twice = next((name for place, name in enumerate(names) if name in names[:place]), None)
        if twice is not None:
            raise InvalidInputError(f"settings.{what} names one twice: {twice[:40]!r}")
    return site


def text(told: dict[str, Any], name: str) -> str:
    value = told.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidInputError(f"{name} is absent or not a text")
    return value


def seed(told: dict[str, Any]) -> int:
    try:
        return int(str(told.get("seed", "1")), 16)
    except ValueError:
        raise InvalidInputError(f"seed is not hexadecimal: {told.get('seed')!r}") from None


def address(value: str, what: str, lowest: int = 1) -> Address:
    """HOST:PORT; where port 0 is allowed, it takes any free one."""
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal() or not lowest <= int(port) < 65536:
        raise InvalidInputError(f"{what} is not HOST:PORT: {value[:60]!r}")
    try:
        # A name would be looked up each time it is dialled, and all else would wait for that.
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise InvalidInputError(f"{what} is not an IPv4 address and a port: {value[:60]!r}") from None
    return host, int(port)
