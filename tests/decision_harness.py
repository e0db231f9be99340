"""A harness for the admission decisions of one app server without sockets, and a runner of commands."""

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
    """Build a request class; `latency_objective` and `deadline` are in milliseconds.

    `fields` are other fields of `RequestClass`, in its units.
    """
    return RequestClass(kind, latency_objective * MS, deadline * MS, **fields)


class DecisionHarness:
    """Delivers events to an `AdmissionDriver` and records the actions that it returns.

    Times in arguments of the methods are in milliseconds; `now` is in tenths of a millisecond, as in the
    library.

    Attributes:
        actions: Pairs of a request and an action on it, in the order of the decisions.
        announcements: Actions that concern no single request.
    """

    def __init__(self, *request_classes, **settings):
        """Create a driver at time 0; `settings` are fields of `AdmissionSettings`."""
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
        """Advance the clock to `ms` and process one batch of events.

        Args:
            ms: Time of the batch.
            *events: Requests to admit, or pairs of a request and an event of it.
            cpu: Core utilization from 0 to 1 for a tick after the events; no tick if None.
            drain_end: Time at which a drain that starts after the events ends; no drain if None.

        Returns:
            This harness, so that calls can be chained.
        """
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
        """Build a request that arrives at `ms`, without admitting it.

        Its deadline is `caller_timeout` after `ms`, or that of its request class if the argument is None.
        `size` is in bytes, and `fields` are other fields of `Request`, in its units.
        """
        request_class = self.request_classes[class_index]
        deadline = ms * MS + (request_class.deadline if caller_timeout is None else caller_timeout * MS)
        return Request(request_class, caller, ms * MS, deadline, size, **fields)

    def action_names(self, request):
        """Return the names of the actions on this request in order, except `Wait`."""
        return [
            type(action).__name__
            for target, action in self.actions
            if target is request and type(action).__name__ != "Wait"
        ]

    def warm_up(self, run_time=300, until=12_000, class_index=0, cpu=0.5):
        """Serve requests of `run_time` one after another, from 0 to `until`, with a tick after each step.

        The driver then knows the usual run time. Return this harness.
        """
        ms = 0
        while ms + run_time < until:
            request = self.make_request(ms, class_index)
            self.process_at(ms, request, cpu=cpu).process_at(ms + run_time, (request, SERVED), cpu=cpu)
            ms += run_time
        return self


def run_command(*arguments, **environment):
    """Run `python -m birchslip` at the repository's root, with `environment` added to that of this process.

    Returns:
        The exit code, the standard output and the standard error.

    Raises:
        subprocess.TimeoutExpired: If the command takes longer than 60 seconds.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "birchslip", *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr
