"""Take in: a router's message becomes a passage, or an error that names what is wrong with it."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from math import ceil
from typing import Any

from ...deployment import Malformed, number, whole
from ...interface import Deployment, Kind, Tenant, Transaction
from ..clients import FAILED, Client
from ..counters import Counters
from ..log import Log
from ..passage import Passage
from ..scheduler import Scheduler

MS = 10
BODY = 2048  # the largest body
NEED = 1 << 22  # KB: far past what any transaction books
HEX = frozenset("0123456789abcdef")


class TakeIn:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        deployment: Deployment,
        profiles: list[str],
        tenants: list[str],
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.profiles = dict(zip(profiles, deployment.profiles, strict=True))
        self.tenants = dict(zip(tenants, deployment.tenants, strict=True))
        self.admit: Callable[[Passage], None]

    def __call__(self, client: Client, number_there: int, profile: str, params: list[Any]) -> None:
        try:
            passage = self.read(client, number_there, profile, params)
        except Malformed as trouble:
            self.counters.count("clients.errors")
            self.log.fault("a transaction that can't be taken in", why=str(trouble))
            client.answer_error(number_there, str(trouble))
            return
        except Exception as trouble:
            self.counters.count("book.faults")
            self.log.fault("a fault in taking in", trace="".join(traceback.format_exception(trouble))[-1500:])
            client.answer_error(number_there, FAILED)
            return
        self.counters.count("take_in.taken")
        client.open[number_there] = passage
        self.admit(passage)

    def read(self, client: Client, number_there: int, name: str, params: list[Any]) -> Passage:
        if name not in self.profiles:
            raise Malformed(f"no such profile: {name[:40]!r}")
        profile = self.profiles[name]
        match params:
            case [dict(fields), bytes(body)] if len(body) <= BODY:
                pass
            case _:
                raise Malformed(f"not fields and a body of at most {BODY} bytes")
        for field, value in fields.items():
            if not isinstance(field, str) or not isinstance(value, str):
                raise Malformed("a field that is not text")
        request = self.field(fields, "req")
        if len(request) != 16 or not HEX.issuperset(request):
            raise Malformed("req is not 16 hexadecimal digits")
        label = ""
        if profile.kind is Kind.LABELLED:
            label = self.field(fields, "opkey")
        stamp, arrived, due = self.times(fields, profile.outer)
        return Passage(
            client=client,
            number=number_there,
            name=request,
            profile=name,
            body=body,
            stamp=stamp,
            label_name=label,
            transaction=Transaction(
                profile,
                caller=whole(fields.get("via", "0"), "via"),
                arrived=arrived,
                due=due,
                size=self.size(fields),
                tenant=self.tenant(fields),
                again=fields.get("resent", "0") == "1",
            ),
        )

    @staticmethod
    def field(fields: dict[str, str], name: str) -> str:
        value = fields.get(name, "")
        if not value or len(value) > 64:
            raise Malformed(f"{name} is absent or too long")
        return value

    def times(self, fields: dict[str, str], outer: int) -> tuple[int, int, int]:
        """When it came as told, when it is taken to have arrived, and when it is due.

        Never in the future; and for the decisions never longer ago than a client waits, or one absurd time
        would look like a backlog. What a label repeats is found by the time as told, however late it is read.
        """
        now = self.scheduler.now
        stamp = min(int(number(self.field(fields, "ts"), "ts") * MS), now)
        timeout = int(number(fields.get("timeout", "0"), "timeout") * MS)
        if timeout < 0:
            raise Malformed("timeout is below 0")
        arrived = max(now - outer, stamp)
        return stamp, arrived, max(now, arrived + (min(timeout, outer) or outer))

    def size(self, fields: dict[str, str]) -> int:
        need = number(fields.get("need", "0"), "need")
        if not 0 <= need < NEED:
            raise Malformed("need is out of range")
        return ceil(need * 1024)

    def tenant(self, fields: dict[str, str]) -> Tenant | None:
        if not self.tenants:
            return None
        owner = fields.get("owner", "")
        if owner not in self.tenants:
            raise Malformed(f"no such tenant: {owner[:40]!r}")
        return self.tenants[owner]
