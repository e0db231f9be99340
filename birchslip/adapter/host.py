"""One host for each app server, and the loop that reads batches and writes replies. Decides nothing."""

from __future__ import annotations

import traceback
from collections.abc import Iterable
from typing import IO, TextIO
from weakref import WeakKeyDictionary, WeakValueDictionary

from ..deployment import Malformed, absent, early, late, number, whole
from ..driver import Driver
from ..interface import CallEnded, Ended, Event, Gone, NeedsCall, Notice, Profile, Transaction, Wish
from . import wire


class Host:
    """One app server on the wire: ids on this side of the door, objects on the other."""

    def __init__(self, parts: list[str], now: int) -> None:
        if len(parts) < 2:
            raise Malformed("a start without a seed")
        self.lines: list[str] = []
        self.deployment = wire.deployment(whole(parts[1], "prng"), parts[2:])
        self.ids: WeakKeyDictionary[Transaction, int] = WeakKeyDictionary()
        self.known: WeakValueDictionary[int, Transaction] = WeakValueDictionary()
        self.driver = Driver(self.deployment, now, self.carry, self.tell)

    def carry(self, transaction: Transaction, wish: Wish) -> None:
        line = wire.wish_line(self.ids[transaction], wish)
        if line is not None:
            self.lines.append(line)

    def tell(self, notice: Notice) -> None:
        self.lines.append(wire.notice_line(notice))

    def take(self, parts: list[str], now: int) -> None:
        """One event of this app server; an unknown kind of event is left alone."""
        match parts[0]:
            case "call":
                self.read(parts, now)
            case "completed":
                self.pass_on(parts, Ended(wire.outcome(self.part(parts, 2)), self.span(parts, 3)))
            case "ready_to_call":
                self.pass_on(parts, NeedsCall())
            case "call_ended":
                self.pass_on(parts, CallEnded(wire.outcome(self.part(parts, 2)), self.span(parts, 3)))
            case "hangup":
                self.pass_on(parts, Gone())
            case "wakeup":
                self.driver.tick(wire.gauges(parts[2] if len(parts) > 2 else "-"))
            case "wind_down":
                self.driver.leave(early(number(self.part(parts, 1), "the end of a wind_down")))

    @staticmethod
    def part(parts: list[str], place: int) -> str:
        if place >= len(parts):
            raise Malformed(f"{parts[0]} has {len(parts) - 1} parts, at least {place} wanted")
        return parts[place]

    @staticmethod
    def span(parts: list[str], place: int) -> int:
        return (
            late(number(parts[place], "elapsed_s")) if len(parts) > place and not absent(parts[place]) else 0
        )

    def pass_on(self, parts: list[str], event: Event) -> None:
        """News of one that has ended, or of one never heard of, is harmless."""
        transaction = self.known.get(whole(self.part(parts, 1), "request_id"))
        if transaction is not None:
            self.driver.deliver(transaction, event)

    def read(self, parts: list[str], now: int) -> None:
        parts = parts + ["-"] * (13 - len(parts))
        number_here = whole(parts[1], "request_id")
        profile = self.profile(parts[2])
        backlog = 0 if absent(parts[11]) else early(number(parts[11], "backlog_time_s"))
        arrived = now - backlog
        due = 0 if absent(parts[5]) else early(number(parts[5], "client_deadline_s"))
        tenants = self.deployment.tenants
        tenant = 0 if absent(parts[3]) else whole(parts[3], "user_group")
        if tenants and tenant >= len(tenants):
            raise Malformed(f"no such user_group: {tenant}")
        original = None
        if not absent(parts[12]) and parts[12] != "0":
            # One that is remembered no longer must be taken as having run: the safe side.
            original = self.known.get(whole(parts[12], "original"))
            if original is None:
                original = Transaction(profile, 0, now, now, 0, has_run=True)
        transaction = Transaction(
            profile,
            caller=0 if absent(parts[10]) else whole(parts[10], "who"),
            arrived=arrived,
            due=max(now, due or arrived + profile.deadline),
            size=0 if absent(parts[7]) else -int(-number(parts[7], "kb") * 1024 // 1),
            work=0 if absent(parts[6]) else late(number(parts[6], "work_s")),
            tenant=tenants[tenant] if tenants else None,
            original=original,
            again=not absent(parts[9]) and bool(whole(parts[9], "flags") & wire.AGAIN),
        )
        self.ids[transaction] = number_here
        self.known[number_here] = transaction
        self.driver.arrive(transaction)

    def profile(self, text: str) -> Profile:
        place = whole(text, "priority")
        if place >= len(self.deployment.profiles):
            raise Malformed(f"no such priority: {place}")
        return self.deployment.profiles[place]

    def settle(self) -> list[str]:
        self.driver.settle()
        lines, self.lines = self.lines, []
        return lines


class Loop:
    """All app servers that this process hosts; they share nothing but the process."""

    def __init__(self, errors: TextIO) -> None:
        self.hosts: dict[int, Host] = {}
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
                    now = late(number(Host.part(parts, 1), "the clock"))
                elif parts[0] == "to":
                    server = whole(Host.part(parts, 1), "server_id")
                    touched.setdefault(server, [])
                    if server in self.hosts:
                        self.hosts[server].driver.clock(now)
                elif server is None:
                    raise Malformed(f"an event before any 'to' line: {parts[0][:40]!r}")
                elif parts[0] == "hello":
                    self.hosts[server] = Host(parts, now)
                elif parts[0] == "crash_now":
                    self.hosts.pop(server, None)
                elif server in self.hosts:
                    self.hosts[server].take(parts, now)
                else:
                    raise Malformed(f"an event for one that has not started: {parts[0][:40]!r}")
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
        if not isinstance(trouble, Malformed):
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
