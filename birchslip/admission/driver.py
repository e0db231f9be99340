"""Carries decisions out: resumes generators, passes on what they yield, delivers events. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable

from .controller import AdmissionController
from .types import (
    WAITING_ACTIONS,
    Action,
    AdmissionSettings,
    Event,
    Gauges,
    PlanOverride,
    Request,
    ServerAction,
)


class AdmissionDriver:
    """One app server. `carry` takes what a transaction wishes, `tell` what concerns the whole app server.

    `fault` is told what one transaction's path raised, which ends that path alone; without it, it goes on up.
    """

    def __init__(
        self,
        deployment: AdmissionSettings,
        now: int,
        carry: Callable[[Request, Action], None],
        tell: Callable[[ServerAction], None],
        fault: Callable[[Request, Exception], None] | None = None,
    ) -> None:
        self.perform = carry
        self.announce = tell
        self.fault = fault
        self.controller = AdmissionController(deployment, now)
        self._tell_all()

    def advance_clock(self, now: int) -> None:
        self.controller.clock(now)

    def admit(self, transaction: Request) -> None:
        transaction.steps = self.controller.path(transaction)
        self.deliver(transaction, None)

    def deliver(self, transaction: Request, event: Event | None) -> None:
        """Resume a transaction until it waits again; one that has ended hears nothing."""
        path = transaction.steps
        if path is None:
            return
        try:
            wish = path.send(event)
            self.perform(transaction, wish)
            while not isinstance(wish, WAITING_ACTIONS):
                wish = path.send(None)
                self.perform(transaction, wish)
        except StopIteration:
            self.release(transaction)
        except Exception as trouble:
            try:
                if self.fault is None:
                    raise
                self.fault(transaction, trouble)
            finally:
                self.release(transaction)

    @staticmethod
    def release(transaction: Request) -> None:
        """Nothing more comes of it here; its door is let go, so that neither keeps the other in memory."""
        transaction.steps = transaction.context = None

    def tick(self, gauges: Gauges) -> None:
        self.controller.tick(gauges)

    def drain(self, end: int) -> None:
        self.controller.leave(end)

    def apply_plan(self, plan: PlanOverride) -> bool:
        """Whether the plan is in force now; one of an older epoch or number is ignored."""
        return self.controller.take_over(plan)

    def limit_new_keys(self, left: int, scarce: int, wait: int) -> None:
        """How many labelled transactions may still begin where results are kept, from which number on that is
        few, and how long until there is room.
        """
        self.controller.labels_left, self.controller.labels_scarce, self.controller.labels_wait = (
            left,
            scarce,
            wait,
        )

    def set_downstream_quota(self, calls: float) -> None:
        """How many calls to what lies below may be in hand from now on."""
        self.controller.calls_share = calls

    def settle(self) -> None:
        """After each batch: the decisions pick who goes on, one at a time, and say what they have to say."""
        for transaction, event in self.controller.settle():
            self.deliver(transaction, event)
        self._tell_all()

    def _tell_all(self) -> None:
        for notice in self.controller.notices:
            self.announce(notice)
        self.controller.notices.clear()
