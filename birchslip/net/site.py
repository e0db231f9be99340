"""Configuration of this app server: the JSON file named by `PROXY_CONFIG`, read at start and on SIGHUP.

Invalid values are rejected with an `InvalidInputError` whose text is one line and names the setting.
"""

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

Address = tuple[str, int]  # IPv4 address and port
# Fields of `ServerConfig` that a running app server adopts from a changed file; all others need a restart.
RELOADABLE_FIELDS = ("agent", "catalog", "vault", "stop_timeout")
# Names under which changed fields of `ServerConfig` are logged, where they differ from the field names.
LOGGED_FIELD_NAMES = {
    "stop_timeout": "stop",
    "memory_bytes": "memory",
    "settings": "deployment",
    "class_names": "profiles",
    "tenant_names": "tenants",
    "gauge_names": "gauges",
}


@dataclass(slots=True)
class ServerConfig:
    """Validated configuration of this app server.

    The admission decisions know request classes and tenants by position only; their names are kept here.

    Attributes:
        name: Name of this app server in the catalog and the fleet file.
        listen: Address to listen on for routers; port 0 is any free port.
        agent: Address of the agent.
        catalog: Address of the catalog.
        vault: Address of the vault, or None if no run calls it.
        stop_timeout: Time from the request to stop until the process is killed, in tenths of a millisecond.
        sockets: Limit of open sockets.
        memory_bytes: Limit of resident memory.
        settings: Settings of the admission decisions.
        class_names: Names of the request classes, in the order of `settings.request_classes`.
        tenant_names: Names of the tenants, in the order of `settings.tenants`.
        gauge_names: Names of the gauges that the agent samples, in the order of its values.
    """

    name: str
    listen: Address
    agent: Address
    catalog: Address
    vault: Address | None
    stop_timeout: int
    sockets: int
    memory_bytes: int
    settings: AdmissionSettings
    class_names: list[str]
    tenant_names: list[str]
    gauge_names: list[str]

    def changes_needing_restart(self, later: ServerConfig) -> list[str]:
        """Return the logged names of the fields that differ in `later` and need a restart to take effect."""
        running, reloaded = asdict(self), asdict(later)
        return [
            LOGGED_FIELD_NAMES.get(field, field)
            for field in running
            if field not in RELOADABLE_FIELDS and running[field] != reloaded[field]
        ]


def read_config(environment: Mapping[str, str]) -> ServerConfig:
    """Read and validate the configuration file named by `PROXY_CONFIG`.

    Raises:
        InvalidInputError: If no file is named, or the file is not valid.
        OSError: If the file cannot be read.
    """
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
    """Validate a configuration and convert it to this program's units.

    Args:
        configuration: The decoded JSON object; absent limits and `stop_ms` have defaults.
        environment: Environment variables; `PROXY_NAME` and `PROXY_LISTEN` take precedence over `name` and
            `listen`.

    Raises:
        InvalidInputError: If a value is absent or not valid.
    """
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
        duplicate = next((name for index, name in enumerate(names) if name in names[:index]), None)
        if duplicate is not None:
            raise InvalidInputError(f"settings.{setting} names one twice: {duplicate[:40]!r}")
    return config


def read_text(configuration: dict[str, Any], name: str) -> str:
    """Return the text under `name`.

    Raises:
        InvalidInputError: If it is absent, empty or not a text.
    """
    value = configuration.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidInputError(f"{name} is absent or not a text")
    return value


def parse_seed(configuration: dict[str, Any]) -> int:
    """Return the seed of the random decisions, given in hexadecimal; 1 if there is none.

    Raises:
        InvalidInputError: If it is not hexadecimal.
    """
    try:
        return int(str(configuration.get("seed", "1")), 16)
    except ValueError:
        raise InvalidInputError(f"seed is not hexadecimal: {configuration.get('seed')!r}") from None


def parse_address(value: str, setting: str, min_port: int = 1) -> Address:
    """Parse an address of the form HOST:PORT, where HOST is an IPv4 address.

    Args:
        value: Text to parse.
        setting: Name of the setting, for error messages.
        min_port: 0 if the port may be 0, which stands for any free port.

    Raises:
        InvalidInputError: If the text has another form.
    """
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise InvalidInputError(f"{setting} is not HOST:PORT: {value[:60]!r}")
    try:
        # A host name would be resolved at each connect, which blocks all tasks of the process.
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise InvalidInputError(f"{setting} is not an IPv4 address and a port: {value[:60]!r}") from None
    return host, int(port)
