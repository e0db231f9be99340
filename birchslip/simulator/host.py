"""Hosts the app servers of one process on the simulator's wire, and loops over batches.

It makes no decisions: it maps the ids of the wire to requests and passes their events to the drivers.
"""

from __future__ import annotations

import traceback
from collections.abc import Iterable
from typing import IO, TextIO
from weakref import WeakKeyDictionary, WeakValueDictionary

from ..admission.driver import AdmissionDriver
from ..admission.settings import (
    parse_count,
    parse_number,
    round_down_seconds,
    round_up_seconds,
)
from ..admission.types import Action, Request, RequestClass, ServerAction, Tenant
from ..errors import InvalidInputError
from . import codec

END_OF_BATCH = "go"
END_OF_REPLY = "ack"
START_HEADER_PARTS = 2  # parts of a `hello` line before its settings
GAUGES_INDEX = 2


class SimulatedServer:
    """One app server on the wire: its driver and its requests by id."""

    def __init__(self, parts: list[str], now: int) -> None:
        """Start an app server with the seed and the settings of a `hello` line."""
        if len(parts) < START_HEADER_PARTS:
            raise InvalidInputError("hello without a seed")
        self.lines: list[str] = []
        self.settings = codec.decode_settings(parts[1], parts[START_HEADER_PARTS:])
        self.ids: WeakKeyDictionary[Request, int] = WeakKeyDictionary()
        self.requests: WeakValueDictionary[int, Request] = WeakValueDictionary()
        self.driver = AdmissionDriver(self.settings, now, self.perform, self.perform_server_action)

    def perform(self, request: Request, action: Action) -> None:
        """Add the line of an action for one request to the reply."""
        line = codec.encode_action(self.ids[request], action)
        if line is not None:
            self.lines.append(line)

    def perform_server_action(self, action: ServerAction) -> None:
        """Add the line of an action for the app server as a whole to the reply."""
        self.lines.append(codec.encode_server_action(action))

    def handle(self, parts: list[str], now: int) -> None:
        """Handle one event line; an unknown kind is ignored."""
        match parts[0]:
            case "call":
                self._admit(codec.decode_request(parts), now)
            case "wakeup":
                gauges = parts[GAUGES_INDEX] if len(parts) > GAUGES_INDEX else "-"
                self.driver.tick(codec.decode_gauges(gauges))
            case "wind_down":
                ends_at = parse_number(codec.required_part(parts, 1), "the end of a wind_down")
                self.driver.drain(round_down_seconds(ends_at))
            case _:
                self._deliver(parts)

    def _deliver(self, parts: list[str]) -> None:
        """Deliver an event of one request; ignored for a request that is over or unknown."""
        event = codec.decode_request_event(parts)
        if event is None:
            return
        request = self.requests.get(parse_count(codec.required_part(parts, 1), "request_id"))
        if request is not None:
            self.driver.deliver(request, event)

    def _admit(self, line: codec.RequestLine, now: int) -> None:
        request_class = self._request_class(line.class_index)
        arrived_at = now - line.read_delay
        request = Request(
            request_class,
            caller=line.caller,
            arrived_at=arrived_at,
            deadline=max(now, line.deadline or arrived_at + request_class.deadline),
            size=line.size,
            cost_hint=line.cost_hint,
            tenant=self._tenant(line.tenant_index),
            original=self._original(line.original, request_class, now),
            is_retry=line.is_retry,
        )
        self.ids[request] = line.request_id
        self.requests[line.request_id] = request
        self.driver.admit(request)

    def _request_class(self, index: int) -> RequestClass:
        if index >= len(self.settings.request_classes):
            raise InvalidInputError(f"no such priority: {index}")
        return self.settings.request_classes[index]

    def _tenant(self, index: int) -> Tenant | None:
        tenants = self.settings.tenants
        if not tenants:
            return None
        if index >= len(tenants):
            raise InvalidInputError(f"no such user_group: {index}")
        return tenants[index]

    def _original(self, request_id: int | None, request_class: RequestClass, now: int) -> Request | None:
        if request_id is None:
            return None
        original = self.requests.get(request_id)
        if original is not None:
            return original
        # An unknown original may have run: treat it as one that has, so that it does not run twice.
        return Request(request_class, 0, now, now, 0, has_started=True)

    def settle(self) -> list[str]:
        """End a batch; returns the reply lines of this app server."""
        self.driver.settle()
        lines, self.lines = self.lines, []
        return lines


class SimulatorHost:
    """All app servers of this process; they share no state."""

    def __init__(self, errors: TextIO) -> None:
        """Start without app servers; one line for each error is written to `errors`."""
        self.servers: dict[int, SimulatedServer] = {}
        self.errors = errors
        self.now = 0
        self.server_id: int | None = None
        self.replies: dict[int, list[str]] = {}

    def batch(self, lines: Iterable[str]) -> list[str]:
        """Handle one batch; returns the reply without its closing line."""
        self.now = 0
        self.server_id = None
        self.replies = {}
        for line in lines:
            try:
                self._handle(line.split("\t"))
            except Exception as error:
                self._report(self.server_id, error)
        reply: list[str] = []
        for server_id in self.replies:
            reply_lines = self._settle(server_id)
            if reply_lines:
                reply.append(f"at\t{server_id}")
                reply.extend(reply_lines)
        return reply

    def _handle(self, parts: list[str]) -> None:
        kind = parts[0]
        server_id = self.server_id
        if kind == "sync":
            self.now = round_up_seconds(parse_number(codec.required_part(parts, 1), "the clock"))
        elif kind == "to":
            self._select_server(parse_count(codec.required_part(parts, 1), "server_id"))
        elif server_id is None:
            raise InvalidInputError(f"an event before any 'to' line: {kind[:40]!r}")
        elif kind == "hello":
            self.servers[server_id] = SimulatedServer(parts, self.now)
        elif kind == "crash_now":
            self.servers.pop(server_id, None)
        elif server_id in self.servers:
            self.servers[server_id].handle(parts, self.now)
        else:
            raise InvalidInputError(f"an event for an app server that has not started: {kind[:40]!r}")

    def _select_server(self, server_id: int) -> None:
        self.server_id = server_id
        self.replies.setdefault(server_id, [])
        if server_id in self.servers:
            self.servers[server_id].driver.advance_clock(self.now)

    def _settle(self, server_id: int) -> list[str]:
        """End the batch of one app server; returns its reply lines, then the `crash` lines of its errors."""
        errors = self.replies[server_id]
        if server_id not in self.servers:
            return errors
        try:
            return self.servers[server_id].settle() + errors
        except Exception as error:
            self._report(server_id, error)
            return errors

    def _report(self, server_id: int | None, error: Exception) -> None:
        """Write one line to `errors`, and add a `crash` line to the reply of the app server concerned."""
        text = " ".join(str(error).split()) or type(error).__name__
        if not isinstance(error, InvalidInputError):
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__}: {text} ({frame.name}, line {frame.lineno})"
        name = "-" if server_id is None else server_id
        print(f"birchslip: app server {name}: {text}", file=self.errors, flush=True)
        if server_id is not None:
            self.replies[server_id].append(f"crash\t{text}")


def serve(source: IO[bytes], sink: IO[bytes], errors: TextIO) -> int:
    """Answer batches from `source` on `sink` until the source ends; returns the exit code."""
    host = SimulatorHost(errors)
    lines: list[str] = []
    for raw in source:
        line = raw.decode("utf-8", "replace").rstrip("\r\n")
        if line != END_OF_BATCH:
            if line:
                lines.append(line)
            continue
        reply = host.batch(lines)
        lines.clear()
        sink.write(("\n".join([*reply, END_OF_REPLY]) + "\n").encode())
        sink.flush()
    return 0
