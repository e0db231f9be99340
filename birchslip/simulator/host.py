"""One host for each app server, and the loop that reads batches and writes replies. Decides nothing."""

from __future__ import annotations

import traceback
from collections.abc import Iterable
from typing import IO, TextIO
from weakref import WeakKeyDictionary, WeakValueDictionary

from ..admission.driver import AdmissionDriver
from ..admission.settings import (
    is_absent,
    parse_count,
    parse_number,
    round_down_seconds,
    round_up_seconds,
)
from ..admission.types import (
    Action,
    CallEnded,
    CallerGone,
    CallNeeded,
    Event,
    Request,
    RequestClass,
    RunEnded,
    ServerAction,
)
from ..errors import InvalidInputError
from . import wire


class SimulatedServer:
    """One app server on the wire: ids on this side of the door, objects on the other."""

    def __init__(self, parts: list[str], now: int) -> None:
        if len(parts) < 2:
            raise InvalidInputError("a start without a seed")
        self.lines: list[str] = []
        self.deployment = wire.deployment(parse_count(parts[1], "prng"), parts[2:])
        self.ids: WeakKeyDictionary[Request, int] = WeakKeyDictionary()
        self.known: WeakValueDictionary[int, Request] = WeakValueDictionary()
        self.driver = AdmissionDriver(self.deployment, now, self.carry, self.tell)

    def carry(self, transaction: Request, wish: Action) -> None:
        line = wire.wish_line(self.ids[transaction], wish)
        if line is not None:
            self.lines.append(line)

    def tell(self, notice: ServerAction) -> None:
        self.lines.append(wire.notice_line(notice))

    def take(self, parts: list[str], now: int) -> None:
        """One event of this app server; an unknown kind of event is left alone."""
        match parts[0]:
            case "call":
                self.read(parts, now)
            case "completed":
                self.pass_on(parts, RunEnded(wire.outcome(self.part(parts, 2)), self.span(parts, 3)))
            case "ready_to_call":
                self.pass_on(parts, CallNeeded())
            case "call_ended":
                self.pass_on(parts, CallEnded(wire.outcome(self.part(parts, 2)), self.span(parts, 3)))
            case "hangup":
                self.pass_on(parts, CallerGone())
            case "wakeup":
                self.driver.tick(wire.gauges(parts[2] if len(parts) > 2 else "-"))
            case "wind_down":
                self.driver.drain(
                    round_down_seconds(parse_number(self.part(parts, 1), "the end of a wind_down"))
                )

    @staticmethod
    def part(parts: list[str], place: int) -> str:
        if place >= len(parts):
            raise InvalidInputError(f"{parts[0]} has {len(parts) - 1} parts, at least {place} wanted")
        return parts[place]

    @staticmethod
    def span(parts: list[str], place: int) -> int:
        return (
            round_up_seconds(parse_number(parts[place], "elapsed_s"))
            if len(parts) > place and not is_absent(parts[place])
            else 0
        )

    def pass_on(self, parts: list[str], event: Event) -> None:
        """News of one that has ended, or of one never heard of, is harmless."""
        transaction = self.known.get(parse_count(self.part(parts, 1), "request_id"))
        if transaction is not None:
            self.driver.deliver(transaction, event)

    def read(self, parts: list[str], now: int) -> None:
        parts = parts + ["-"] * (13 - len(parts))
        number_here = parse_count(parts[1], "request_id")
        profile = self.profile(parts[2])
        backlog = 0 if is_absent(parts[11]) else round_down_seconds(parse_number(parts[11], "backlog_time_s"))
        arrived = now - backlog
        due = 0 if is_absent(parts[5]) else round_down_seconds(parse_number(parts[5], "client_deadline_s"))
        tenants = self.deployment.tenants
        tenant = 0 if is_absent(parts[3]) else parse_count(parts[3], "user_group")
        if tenants and tenant >= len(tenants):
            raise InvalidInputError(f"no such user_group: {tenant}")
        original = None
        if not is_absent(parts[12]) and parts[12] != "0":
            # One that is remembered no longer must be taken as having run: the safe side.
            original = self.known.get(parse_count(parts[12], "original"))
            if original is None:
                original = Request(profile, 0, now, now, 0, has_started=True)
        transaction = Request(
            profile,
            caller=0 if is_absent(parts[10]) else parse_count(parts[10], "who"),
            arrived_at=arrived,
            deadline=max(now, due or arrived + profile.deadline),
            size=0 if is_absent(parts[7]) else -int(-parse_number(parts[7], "kb") * 1024 // 1),
            cost_hint=0 if is_absent(parts[6]) else round_up_seconds(parse_number(parts[6], "work_s")),
            tenant=tenants[tenant] if tenants else None,
            original=original,
            is_retry=not is_absent(parts[9]) and bool(parse_count(parts[9], "flags") & wire.AGAIN),
        )
        self.ids[transaction] = number_here
        self.known[number_here] = transaction
        self.driver.admit(transaction)

    def profile(self, text: str) -> RequestClass:
        place = parse_count(text, "priority")
        if place >= len(self.deployment.request_classes):
            raise InvalidInputError(f"no such priority: {place}")
        return self.deployment.request_classes[place]

    def settle(self) -> list[str]:
        self.driver.settle()
        lines, self.lines = self.lines, []
        return lines


class Loop:
    """All app servers that this process hosts; they share nothing but the process."""

    def __init__(self, errors: TextIO) -> None:
        self.hosts: dict[int, SimulatedServer] = {}
        self.errors = errors

    def batch(self, lines: Iterable[str]) -> list[str]:
        """The reply to one batch, without its closing line."""
        now = 0
        server: int | None = None
        touched: dict[int, list[str]] = {}
        for line in lines:
            parts = line.split("\t")
            try:
                if parts[0] == "sync":
                    now = round_up_seconds(parse_number(SimulatedServer.part(parts, 1), "the clock"))
                elif parts[0] == "to":
                    server = parse_count(SimulatedServer.part(parts, 1), "server_id")
                    touched.setdefault(server, [])
                    if server in self.hosts:
                        self.hosts[server].driver.advance_clock(now)
                elif server is None:
                    raise InvalidInputError(f"an event before any 'to' line: {parts[0][:40]!r}")
                elif parts[0] == "hello":
                    self.hosts[server] = SimulatedServer(parts, now)
                elif parts[0] == "crash_now":
                    self.hosts.pop(server, None)
                elif server in self.hosts:
                    self.hosts[server].take(parts, now)
                else:
                    raise InvalidInputError(f"an event for one that has not started: {parts[0][:40]!r}")
            except Exception as trouble:
                self.fault(server, touched, trouble)
        reply: list[str] = []
        for number_here, said in touched.items():
            if number_here in self.hosts:
                try:
                    said = self.hosts[number_here].settle() + said
                except Exception as trouble:
                    self.fault(number_here, touched, trouble)
            if said:
                reply.append(f"at\t{number_here}")
                reply.extend(said)
        return reply

    def fault(self, server: int | None, touched: dict[int, list[str]], trouble: Exception) -> None:
        """One plain message on standard error, and the fault declared for the app server concerned."""
        text = " ".join(str(trouble).split()) or type(trouble).__name__
        if not isinstance(trouble, InvalidInputError):
            where = traceback.extract_tb(trouble.__traceback__)[-1]
            text = f"{type(trouble).__name__}: {text} ({where.name}, line {where.lineno})"
        print(
            f"birchslip: app server {'-' if server is None else server}: {text}", file=self.errors, flush=True
        )
        if server is not None:
            touched[server].append(f"crash\t{text}")


def serve(source: IO[bytes], sink: IO[bytes], errors: TextIO) -> int:
    loop = Loop(errors)
    lines: list[str] = []
    for raw in source:
        line = raw.decode("utf-8", "replace").rstrip("\r\n")
        if line != "go":
            if line:
                lines.append(line)
            continue
        reply = loop.batch(lines)
        lines.clear()
        sink.write(("\n".join([*reply, "ack"]) + "\n").encode())
        sink.flush()
    return 0
