"""Counts what a quorum of planners has granted to the leader and stored for it.

Decides nothing about votes or states; `election.py` does. The leader's lease starts when the request was
sent, so that it ends here before it ends at any voter, whatever the network does.
"""

from __future__ import annotations

# All spans are in units of 0.1 ms.
LEASE_SPAN = 10_000
CLOCK_DRIFT = 0.02
LEADER_LEASE_SPAN = int(LEASE_SPAN * (1 - CLOCK_DRIFT))
TRACKED_STATES = 8  # state numbers whose replicas are still counted


class QuorumLease:
    """A lease that is valid while a quorum of votes is recent enough."""

    def __init__(self, quorum: int) -> None:
        """Begins without votes."""
        self.quorum = quorum
        self.sent_times: dict[str, int] = {}

    def record(self, voter: str, sent: int) -> None:
        """Counts a vote that was granted to a request sent at a time."""
        self.sent_times[voter] = max(sent, self.sent_times.get(voter, 0))

    def end(self) -> int:
        """When the lease ends; 0 without a quorum."""
        newest_first = sorted(self.sent_times.values(), reverse=True)
        if len(newest_first) < self.quorum:
            return 0
        return newest_first[self.quorum - 1] + LEADER_LEASE_SPAN

    def clear(self) -> None:
        """Drops all votes."""
        self.sent_times.clear()


class QuorumReplicas:
    """Which planners have stored which of the latest states."""

    def __init__(self, quorum: int) -> None:
        """Begins without replicas."""
        self.quorum = quorum
        self.replicas: dict[int, set[str]] = {}

    def record(self, replica: str, state_number: int) -> None:
        """Counts a planner that has stored a state."""
        oldest = state_number - TRACKED_STATES
        for number in [one for one in self.replicas if one < oldest]:
            del self.replicas[number]
        self.replicas.setdefault(state_number, set()).add(replica)

    def has_quorum(self, state_number: int) -> bool:
        """Whether a quorum has stored that state."""
        return len(self.replicas.get(state_number, ())) >= self.quorum

    def clear(self) -> None:
        """Drops all replicas."""
        self.replicas.clear()
