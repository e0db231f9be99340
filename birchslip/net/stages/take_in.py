"""Take in: what a peer told of a transaction becomes a passage, or an error that names what is wrong."""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import SECOND, AdmissionSettings, Idempotency, Request, Tenant
from ...errors import InvalidInputError
from ..clients import Client
from ..counters import Counters
from ..log import Log
from ..passage import Passage, Told
from ..scheduler import Scheduler

STRAY = 60 * SECOND  # told times lie within a minute of ours: one machine has one clock


class TakeIn:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        deployment: AdmissionSettings,
        profiles: list[str],
        tenants: list[str],
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.profiles = dict(zip(profiles, deployment.request_classes, strict=True))
        self.tenants = dict(zip(tenants, deployment.tenants, strict=True))
        self.admit: Callable[[Passage], None]
        self.in_use: Callable[[str], bool]
        self.open: Callable[[Passage], None]

    def __call__(self, client: Client, number: int, told: Callable[[], Told]) -> None:
        """`told` reads the message, and may find it malformed."""
        try:
            passage = self.passage(client, number, told())
        except InvalidInputError as trouble:
            self.counters.count("take_in.malformed")
            self.log.fault("a transaction that can't be taken in", why=str(trouble))
            client.write_off(number, str(trouble))
            return
        except Exception as trouble:
            self.counters.count("book.faults")
            self.log.trace("a fault in taking in", trouble)
            client.write_off(number)
            return
        self.counters.count("take_in.taken")
        self.open(passage)
        self.admit(passage)

    def passage(self, client: Client, number: int, told: Told) -> Passage:
        if told.profile not in self.profiles:
            raise InvalidInputError(f"no such profile: {told.profile[:40]!r}")
        profile = self.profiles[told.profile]
        labelled = profile.idempotency is Idempotency.KEYED
        if labelled != bool(told.label):
            raise InvalidInputError(
                "a labelled transaction without its label" if labelled else "a label where none is due"
            )
        if labelled and told.about:
            raise InvalidInputError("a labelled transaction that names what it reads")
        if self.in_use(told.name):
            raise InvalidInputError("the id of one that is open")
        # Never in the future; and for the decisions never longer ago than a client waits, or one absurd time
        # would look like a backlog. What a label repeats is found by the time told, however late it is read.
        now = self.scheduler.now
        if abs(told.stamp - now) > STRAY:
            raise InvalidInputError("it came at a time that can't be")
        stamp = min(told.stamp, now)
        arrived = max(now - profile.deadline, stamp)
        due = max(now, arrived + min(told.wait, profile.deadline))
        transaction = Request(
            profile,
            caller=told.caller,
            arrived_at=arrived,
            deadline=due,
            size=told.size,
            tenant=self.tenant(told.tenant),
            is_retry=told.again,
        )
        passage = Passage(client, number, told.name, told.profile, told.body, transaction, stamp, told.label)
        passage.told_stamp = told.stamp
        return passage

    def tenant(self, name: str) -> Tenant | None:
        if not self.tenants:
            return None
        if name not in self.tenants:
            raise InvalidInputError(f"no such tenant: {name[:40]!r}")
        return self.tenants[name]
