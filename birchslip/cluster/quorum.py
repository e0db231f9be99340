"""Counts the votes that a quorum of planners has granted to the leader, and the states it has stored.

Only counts; `election.py` decides about votes and states. The leader's lease starts when the request was
sent, so that it ends at the leader before it ends at any voter, whatever the network delay.
"""

from __future__ import annotations

# All spans are in units of 0.1 ms.
LEASE_SPAN = 10_000
CLOCK_DRIFT = 0.02  # largest relative drift between two clocks that is allowed for
LEADER_LEASE_SPAN = int(LEASE_SPAN * (1 - CLOCK_DRIFT))  # the same lease as counted by the leader
TRACKED_STATES = 8  # latest state numbers whose replicas are counted


class QuorumLease:
    """A lease that is valid while a quorum of votes is recent."""

    def __init__(self, quorum: int) -> None:
        """Create a lease without votes; `quorum` is the number of votes that grants it."""
        self.quorum = quorum
        self.sent_times: dict[str, int] = {}

    def record(self, voter: str, sent: int) -> None:
        """Count a vote; `sent` is when the request that it answers was sent."""
        self.sent_times[voter] = max(sent, self.sent_times.get(voter, 0))

    def end(self) -> int:
        """Return when the lease ends; 0 without a quorum.

        A vote expires one `LEADER_LEASE_SPAN` after its request was sent. The lease ends when fewer than a
        quorum of votes are left, so the oldest of the `quorum` newest votes decides.
        """
        newest_first = sorted(self.sent_times.values(), reverse=True)
        if len(newest_first) < self.quorum:
            return 0
        return newest_first[self.quorum - 1] + LEADER_LEASE_SPAN

    def clear(self) -> None:
        """Drop all votes."""
        self.sent_times.clear()


class QuorumReplicas:
    """Counts the planners that have stored each of the latest states."""

    def __init__(self, quorum: int) -> None:
        """Create the count without replicas; `quorum` is the number of replicas that makes a state safe."""
        self.quorum = quorum
        self.replicas: dict[int, set[str]] = {}

    def record(self, replica: str, state_number: int) -> None:
        """Count a planner that has stored a state, and drop states more than `TRACKED_STATES` older."""
        oldest = state_number - TRACKED_STATES
        for number in [number for number in self.replicas if number < oldest]:
            del self.replicas[number]
        self.replicas.setdefault(state_number, set()).add(replica)

    def has_quorum(self, state_number: int) -> bool:
        """Return whether a quorum has stored that state."""
        return len(self.replicas.get(state_number, ())) >= self.quorum

    def clear(self) -> None:
        """Drop all replicas."""
        self.replicas.clear()
