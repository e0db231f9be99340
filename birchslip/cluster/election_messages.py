"""Messages that planners send each other to elect a leader and to replicate its state.

For keys, encoding and units see `messages.py`.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .messages import Count, Incarnation, Message, Name, Span, Term


class StateVersion(NamedTuple):
    """Version of a replicated state, ordered by the leader's term, then by the number within the term."""

    term: int
    number: int


class PeerObservation(
    Message,
    rename={
        "generation": "life",
        "nonce": "mark",
        "promised_term": "promised",
        "state_term": "epoch",
        "state_number": "number",
    },
):
    """The latest that one planner knows of another: its run, its promise and its stored state.

    Attributes:
        generation: The observed planner's number of starts.
        nonce: Identifies the observed run.
        promised_term: The highest term that the planner is known to have promised.
        state_term: Term of the newest state that the planner is known to have stored.
        state_number: Number of that state within its term.
    """

    generation: Count
    nonce: Count
    promised_term: Term = 0
    state_term: Term = 0
    state_number: Count = 0

    @property
    def state_version(self) -> StateVersion:
        """Version of the state that the planner has stored."""
        return StateVersion(self.state_term, self.state_number)

    def record_state(self, version: StateVersion) -> None:
        """Record that the planner has stored a state, unless a newer one is known."""
        self.state_term, self.state_number = max(self.state_version, version)


class VoteRequest(
    Message,
    rename={"term": "epoch", "candidate": "name", "observations": "seen", "suspects": "doubt"},
):
    """A planner's request for votes, or for the renewal of its lease.

    A request of term 0 asks only for the observations and states of the other planners.

    Attributes:
        term: Term of the candidacy or leadership, or 0.
        candidate: Name of the planner that requests votes.
        incarnation: Run of that planner.
        observations: Its observations of the other planners, which may show one that its disk is old.
        suspects: Members whose reports do not reach that planner.
    """

    term: Term
    candidate: Name
    incarnation: Incarnation
    observations: dict[Name, PeerObservation] = msgspec.field(default_factory=dict)
    suspects: list[Name] = msgspec.field(default_factory=list)

    @property
    def observation(self) -> PeerObservation:
        """Observation of the candidate that follows from this request."""
        return PeerObservation(generation=self.incarnation.generation, nonce=self.incarnation.nonce)


class VoteResponse(
    Message,
    rename={
        "promised_term": "epoch",
        "voter": "name",
        "is_blank": "new",
        "lease_remaining": "held",
        "state_term": "state_epoch",
        "heard_suspects": "heard",
        "observations": "seen",
    },
):
    """Reply to a `VoteRequest`.

    Attributes:
        granted: Whether the vote is granted.
        promised_term: The highest term that the voter has promised.
        voter: Name of the planner that replies.
        incarnation: Run of the voter.
        is_blank: Whether the voter has lost, or never had, the state it should have stored.
        lease_remaining: Time left until the voter may vote for another candidate.
        state_term: Term of the state that the voter has stored.
        state_number: Number of that state within its term.
        state: The encoded state.
        heard_suspects: Those of the request's suspects that report to the voter.
        observations: The voter's observations of the other planners.
    """

    granted: bool
    promised_term: Term
    voter: Name
    incarnation: Incarnation
    is_blank: bool
    lease_remaining: Span = 0
    state_term: Term = 0
    state_number: Count = 0
    state: bytes = b""
    heard_suspects: list[Name] = msgspec.field(default_factory=list)
    observations: dict[Name, PeerObservation] = msgspec.field(default_factory=dict)

    @property
    def observation(self) -> PeerObservation:
        """Observation of the voter that follows from this response."""
        return PeerObservation(
            generation=self.incarnation.generation,
            nonce=self.incarnation.nonce,
            promised_term=self.promised_term,
            state_term=self.state_term,
            state_number=self.state_number,
        )

    @property
    def state_version(self) -> StateVersion:
        """Version of the state that the voter has stored."""
        return StateVersion(self.state_term, self.state_number)


class ReplicationRequest(Message, rename={"term": "epoch", "state_number": "number", "leader": "name"}):
    """The leader's request to store its state, which the leader acts on only once a quorum has stored it.

    Attributes:
        term: The leader's term.
        state_number: Number of the state within the term.
        leader: Name of the leader.
        incarnation: Run of the leader.
        state: The encoded state.
    """

    term: Term
    state_number: Count
    leader: Name
    incarnation: Incarnation
    state: bytes

    @property
    def state_version(self) -> StateVersion:
        """Version of the state to store."""
        return StateVersion(self.term, self.state_number)


class ReplicationResponse(Message, rename={"is_stored": "kept", "promised_term": "epoch", "replica": "name"}):
    """Reply to a `ReplicationRequest`.

    Attributes:
        is_stored: Whether the replica has stored the state.
        promised_term: The highest term that the replica has promised.
        replica: Name of the planner that replies.
    """

    is_stored: bool
    promised_term: Term
    replica: Name
