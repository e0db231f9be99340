"""One app server without a wire: events are delivered by hand and actions are kept; a command line."""

import os
import subprocess
import sys
from pathlib import Path

from birchslip.admission.driver import AdmissionDriver
from birchslip.admission.types import (
    SECOND,
    AdmissionSettings,
    Gauges,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    RunEnded,
)

MS = SECOND // 1000
ROOT = Path(__file__).resolve().parent.parent
SERVED = RunEnded(Outcome.SERVED)


def profile(kind=Idempotency.IDEMPOTENT, latency_objective=1000, deadline=4000, **more):
    return RequestClass(kind, latency_objective * MS, deadline * MS, **more)


class Desk:
    """Times are given in milliseconds."""

    def __init__(self, *profiles, **site):
        self.profiles = profiles or (profile(),)
        self.actions, self.announcements, self.now = [], [], 0
        site = {"cores": 2, "fleet_size": 1, **site}
        self.driver = AdmissionDriver(
            AdmissionSettings(list(self.profiles), **site),
            0,
            lambda request, action: self.actions.append((request, action)),
            self.announcements.append,
        )
        self.controller = self.driver.controller

    def at(self, ms, *news, cpu=None, leave=None):
        """One batch: requests read, (request, event) pairs, then perhaps a notice or a tick."""
        self.now = ms * MS
        self.driver.advance_clock(self.now)
        for item in news:
            if isinstance(item, Request):
                self.driver.admit(item)
            else:
                self.driver.deliver(*item)
        if leave is not None:
            self.driver.drain(leave * MS)
        if cpu is not None:
            self.driver.tick(Gauges(cpu))
        self.driver.settle()
        return self

    def read(self, ms, which=0, caller=0, wait=None, size=1000, **more):
        """A request that reached the machine at `ms`; `wait` is how long its caller waits."""
        kind = self.profiles[which]
        due = ms * MS + (kind.deadline if wait is None else wait * MS)
        return Request(kind, caller, ms * MS, due, size, **more)

    def action_names(self, request):
        """The names of the actions for this request, waits left out."""
        return [
            type(action).__name__
            for who, action in self.actions
            if who is request and type(action).__name__ != "Wait"
        ]

    def warm(self, took=300, until=12_000, which=0, cpu=0.5):
        """Runs of `took` ms one after the other until `until`, so that the usual time is known."""
        ms = 0
        while ms + took < until:
            request = self.read(ms, which)
            self.at(ms, request, cpu=cpu).at(ms + took, (request, SERVED), cpu=cpu)
            ms += took
        return self


def command(*words, **environment):
    """Exit code, output and complaints of `python -m birchslip` with these words."""
    done = subprocess.run(
        [sys.executable, "-m", "birchslip", *words],
        cwd=ROOT,
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr
