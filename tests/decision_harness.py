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


def make_request_class(kind=Idempotency.IDEMPOTENT, latency_objective=1000, deadline=4000, **fields):
    return RequestClass(kind, latency_objective * MS, deadline * MS, **fields)


class DecisionHarness:
    """Times are given in milliseconds."""

    def __init__(self, *request_classes, **settings):
        self.request_classes = request_classes or (make_request_class(),)
        self.actions, self.announcements, self.now = [], [], 0
        settings = {"cores": 2, "fleet_size": 1, **settings}
        self.driver = AdmissionDriver(
            AdmissionSettings(list(self.request_classes), **settings),
            0,
            lambda request, action: self.actions.append((request, action)),
            self.announcements.append,
        )
        self.controller = self.driver.controller

    def process_at(self, ms, *events, cpu=None, drain_end=None):
        """One batch: requests read, (request, event) pairs, then perhaps a notice or a tick."""
        self.now = ms * MS
        self.driver.advance_clock(self.now)
        for item in events:
            if isinstance(item, Request):
                self.driver.admit(item)
            else:
                self.driver.deliver(*item)
        if drain_end is not None:
            self.driver.drain(drain_end * MS)
        if cpu is not None:
            self.driver.tick(Gauges(cpu))
        self.driver.settle()
        return self

    def make_request(self, ms, class_index=0, caller=0, caller_timeout=None, size=1000, **fields):
        """A request that reached the machine at `ms`; `wait` is how long its caller waits."""
        request_class = self.request_classes[class_index]
        deadline = ms * MS + (request_class.deadline if caller_timeout is None else caller_timeout * MS)
        return Request(request_class, caller, ms * MS, deadline, size, **fields)

    def action_names(self, request):
        """The names of the actions for this request, waits left out."""
        return [
            type(action).__name__
            for target, action in self.actions
            if target is request and type(action).__name__ != "Wait"
        ]

    def warm_up(self, run_time=300, until=12_000, class_index=0, cpu=0.5):
        """Runs of `took` ms one after the other until `until`, so that the usual time is known."""
        ms = 0
        while ms + run_time < until:
            request = self.make_request(ms, class_index)
            self.process_at(ms, request, cpu=cpu).process_at(ms + run_time, (request, SERVED), cpu=cpu)
            ms += run_time
        return self


def run_command(*arguments, **environment):
    """Exit code, output and complaints of `python -m birchslip` with these words."""
    done = subprocess.run(
        [sys.executable, "-m", "birchslip", *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr
