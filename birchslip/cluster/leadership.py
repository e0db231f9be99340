"""Leadership: this planner's term and the versions of its state that a majority has stored.

The election decides who leads; this module follows it. A leader is *effective* once a majority has stored the
state that it took over: before that it must not instruct anybody.
"""

from __future__ import annotations

from enum import Enum, auto

from .election import Election
from .election_messages import ReplicationRequest


class LeadershipChange(Enum):
    """What an update has changed."""

    UNCHANGED = auto()
    ACQUIRED = auto()
    LOST = auto()


class Leadership:
    """The term of one planner.

    Attributes:
        term: The term in which it leads, 0 while it does not.
        version: The newest version of its state within the term.
        replicated_version: The newest version that a majority has stored.
    """

    def __init__(self, election: Election) -> None:
        """Starts as a follower."""
        self.election = election
        self.term = 0
        self.version = 0
        self.replicated_version = 0

    @property
    def is_leading(self) -> bool:
        """Whether it was leading at the last update."""
        return self.term > 0

    def is_effective_leader(self, now: int) -> bool:
        """Returns whether it has the lease at this moment and may instruct members."""
        holds_lease = self.election.is_leading(now) and self.term == self.election.term
        return holds_lease and self.replicated_version > 0

    def update(self, now: int) -> LeadershipChange:
        """Follows the election; a new term starts at version 0."""
        if not self.election.is_leading(now):
            was_leading = self.is_leading
            self.term = 0
            return LeadershipChange.LOST if was_leading else LeadershipChange.UNCHANGED
        if self.term == self.election.term:
            return LeadershipChange.UNCHANGED
        self.term = self.election.term
        self.version = 0
        self.replicated_version = 0
        return LeadershipChange.ACQUIRED

    def observe_term(self, term: int) -> None:
        """Ends the term if somebody follows a higher one; the next candidacy starts above it."""
        if term > self.election.highest_term:
            self.election.observe_term(term)

    def known_leader(self, now: int) -> str:
        """Returns the name of the planner that this one has voted for, empty if its lease is over."""
        return self.election.granted_to[0] if now < self.election.granted_until else ""

    # ---- replication -----------------------------------------------------------------------------------

    def advance_version(self) -> None:
        """The state has changed, and a majority has to store it again."""
        self.version += 1

    def needs_replication(self) -> bool:
        """Returns whether the newest version is not stored by a majority yet."""
        return self.is_leading and self.replicated_version < self.version

    def replication_request(self, state: bytes) -> ReplicationRequest:
        """Returns the request to store the newest version."""
        return ReplicationRequest(
            term=self.term,
            state_number=self.version,
            leader=self.election.name,
            incarnation=self.election.incarnation,
            state=state,
        )

    def mark_replicated(self, version: int) -> bool:
        """Records that a majority stores a version; returns whether that is the newest one, and new."""
        if version != self.version or version <= self.replicated_version:
            return False
        self.replicated_version = version
        return True
