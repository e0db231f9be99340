"""Leadership: this planner's term and the versions of its state that a majority has stored.

The election decides which planner leads; this module follows it. A leader is *effective* once a majority has
stored the state that it restored. Until then it must not send instructions to members, operators or the
platform.
"""

from __future__ import annotations

from enum import Enum, auto

from .election import Election
from .election_messages import ReplicationRequest


class LeadershipChange(Enum):
    """Change of leadership in an update."""

    UNCHANGED = auto()
    ACQUIRED = auto()
    LOST = auto()


class Leadership:
    """The leadership of one planner and the replication of its state.

    Attributes:
        term: The term in which this planner leads; 0 while it does not lead.
        version: The newest version of the state within the term.
        replicated_version: The newest version that a majority has stored.
    """

    def __init__(self, election: Election) -> None:
        """Create the leadership of a follower."""
        self.election = election
        self.term = 0
        self.version = 0
        self.replicated_version = 0

    @property
    def is_leading(self) -> bool:
        """Whether this planner was leading at the last update."""
        return self.term > 0

    def is_effective_leader(self, now: int) -> bool:
        """Return whether this planner holds the lease at `now` and may instruct members."""
        holds_lease = self.election.is_leading(now) and self.term == self.election.term
        return holds_lease and self.replicated_version > 0

    def update(self, now: int) -> LeadershipChange:
        """Follow the election and return the change; a new term starts at version 0."""
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
        """End this term if a member follows a higher one; the next candidacy uses a term above that one."""
        if term > self.election.highest_term:
            self.election.observe_term(term)

    def known_leader(self, now: int) -> str:
        """Return the name of the planner that holds this one's vote; empty if the vote has expired."""
        return self.election.granted_to[0] if now < self.election.granted_until else ""

    # ---- replication -----------------------------------------------------------------------------------

    def advance_version(self) -> None:
        """Start a new version after a change of the state; a majority has to store it."""
        self.version += 1

    def needs_replication(self) -> bool:
        """Return whether a majority has not yet stored the newest version."""
        return self.is_leading and self.replicated_version < self.version

    def replication_request(self, state: bytes) -> ReplicationRequest:
        """Return the request to store `state` as the newest version."""
        return ReplicationRequest(
            term=self.term,
            state_number=self.version,
            leader=self.election.name,
            incarnation=self.election.incarnation,
            state=state,
        )

    def mark_replicated(self, version: int) -> bool:
        """Record that a majority has stored a version.

        Returns:
            True if it is the newest version and was not recorded before.
        """
        if version != self.version or version <= self.replicated_version:
            return False
        self.replicated_version = version
        return True
