"""Health checks of other members on behalf of the planners.

The planners receive the results with the next reports and evaluate them. A member is probed only if a planner
requests it, and at most once per `PROBE_INTERVAL`.
"""

from __future__ import annotations

import errno
from functools import partial
from typing import NamedTuple

from ..net.counters import Counters
from ..net.scheduler import Scheduler
from ..net.site import parse_address
from .messages import ProbeOutcome, ProbeResult
from .transport import PeerConnection

# All spans are in units of 0.1 ms.
PROBE_TIMEOUT = 3_000
PROBE_INTERVAL = 2_000  # minimum between two probes of one member
RESULT_LIFETIME = 10_000  # how long a result is part of reports
MAX_RESULTS = 8  # per report
MAX_TRACKED_PROBES = 4 * MAX_RESULTS
PING_METHOD = "ping"


class TimedOutcome(NamedTuple):
    """The outcome of a probe and when it was found."""

    found_at: int
    outcome: ProbeOutcome


def is_connection_refused(error: OSError) -> bool:
    """Return whether the host is reachable but no process listens at the address."""
    return isinstance(error, ConnectionRefusedError) or error.errno == errno.ECONNREFUSED


class MemberProber:
    """Probes members and keeps the latest results."""

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        """Create a prober without results."""
        self.scheduler = scheduler
        self.counters = counters
        self.outcomes: dict[str, TimedOutcome] = {}
        self.started_at: dict[str, int] = {}

    def start(self, member: str, address: str) -> None:
        """Start a probe of a member, unless one was started recently or too many are tracked."""
        now = self.scheduler.now
        last_started_at = self.started_at.get(member, -PROBE_INTERVAL)
        if now - last_started_at < PROBE_INTERVAL or len(self.started_at) > MAX_TRACKED_PROBES:
            return
        recent = now - PROBE_INTERVAL
        self.started_at = {name: start for name, start in self.started_at.items() if start > recent}
        self.started_at[member] = now
        self.scheduler.spawn(f"probe {member}", partial(self.probe, member, address))

    def probe(self, member: str, address: str) -> None:
        """Probe a member once and store the outcome; a malformed address yields none. Runs as a task."""
        self.counters.count("fleet.knocks")
        try:
            connection = PeerConnection(self.scheduler, parse_address(address, "door"))
        except ValueError:
            return
        outcome = self.ping(connection)
        self.outcomes[member] = TimedOutcome(self.scheduler.now, outcome)

    def ping(self, connection: PeerConnection) -> ProbeOutcome:
        """Send a ping, wait for the response up to `PROBE_TIMEOUT` and close the connection."""
        deadline = self.scheduler.now + PROBE_TIMEOUT
        try:
            connection.call(PING_METHOD, b"", deadline, params=[{}])
        except OSError as error:
            return ProbeOutcome.REFUSED if is_connection_refused(error) else ProbeOutcome.SILENT
        finally:
            connection.close()
        return ProbeOutcome.ANSWERED

    def results(self) -> list[ProbeResult]:
        """Return at most `MAX_RESULTS` recent results for a report."""
        oldest = self.scheduler.now - RESULT_LIFETIME
        self.outcomes = {name: timed for name, timed in self.outcomes.items() if timed.found_at >= oldest}
        results = [
            ProbeResult(member=member, outcome=timed.outcome) for member, timed in self.outcomes.items()
        ]
        return results[:MAX_RESULTS]
