"""Health checks of other members, made for the planners.

Decides nothing from the results: they go to the planners with the next reports. A member is probed only if a
planner requests it, and never more often than `PROBE_INTERVAL`.
"""

from __future__ import annotations

import errno
from functools import partial
from typing import NamedTuple

from ..net.counters import Counters
from ..net.scheduler import Scheduler
from ..net.site import address as parse_address
from .messages import ProbeOutcome, ProbeResult
from .transport import PeerConnection

# All spans are in units of 0.1 ms.
PROBE_TIMEOUT = 3_000
PROBE_INTERVAL = 2_000  # between two probes of one member
RESULT_LIFETIME = 10_000
MAX_RESULTS = 8  # in one report
MAX_TRACKED_PROBES = 4 * MAX_RESULTS
PING_METHOD = "ping"


class TimedOutcome(NamedTuple):
    """An outcome and when it was found."""

    found_at: int
    outcome: ProbeOutcome


def is_connection_refused(error: OSError) -> bool:
    """Whether the address is reachable and nothing listens there."""
    return isinstance(error, ConnectionRefusedError) or error.errno == errno.ECONNREFUSED


class MemberProber:
    """Probes members and stores the latest results."""

    def __init__(self, scheduler: Scheduler, counters: Counters) -> None:
        """Begins without results."""
        self.scheduler = scheduler
        self.counters = counters
        self.outcomes: dict[str, TimedOutcome] = {}
        self.started_at: dict[str, int] = {}

    def start(self, member: str, address: str) -> None:
        """Starts a probe of a member, unless it has just been probed."""
        now = self.scheduler.now
        last_started_at = self.started_at.get(member, -PROBE_INTERVAL)
        if now - last_started_at < PROBE_INTERVAL or len(self.started_at) > MAX_TRACKED_PROBES:
            return
        recent = now - PROBE_INTERVAL
        self.started_at = {name: start for name, start in self.started_at.items() if start > recent}
        self.started_at[member] = now
        self.scheduler.spawn(f"probe {member}", partial(self.probe, member, address))

    def probe(self, member: str, address: str) -> None:
        """The task of one probe."""
        self.counters.count("fleet.knocks")
        try:
            connection = PeerConnection(self.scheduler, parse_address(address, "door"))
        except ValueError:
            return
        outcome = self.ping(connection)
        self.outcomes[member] = TimedOutcome(self.scheduler.now, outcome)

    def ping(self, connection: PeerConnection) -> ProbeOutcome:
        """Sends a ping and waits for the response."""
        deadline = self.scheduler.now + PROBE_TIMEOUT
        try:
            connection.call(PING_METHOD, b"", deadline, params=[{}])
        except OSError as error:
            return ProbeOutcome.REFUSED if is_connection_refused(error) else ProbeOutcome.SILENT
        finally:
            connection.close()
        return ProbeOutcome.ANSWERED

    def results(self) -> list[ProbeResult]:
        """The recent results, for a report."""
        oldest = self.scheduler.now - RESULT_LIFETIME
        self.outcomes = {name: timed for name, timed in self.outcomes.items() if timed.found_at >= oldest}
        results = [
            ProbeResult(member=member, outcome=timed.outcome) for member, timed in self.outcomes.items()
        ]
        return results[:MAX_RESULTS]
