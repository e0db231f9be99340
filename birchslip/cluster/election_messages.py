"""Messages that planners send each other to elect a leader and to replicate its state.

For keys, encoding and units see `messages.py`.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .messages import Count, Incarnation, Message, Name, Span, Term


class StateVersion(NamedTuple):
    """Orders replicated states: first by the leader's term, then by the number within it."""

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
    """The latest that a planner knows of another one: its run, its promise and its stored state."""

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
        """Notes that the planner has stored a state, unless a newer one is known."""
        self.state_term, self.state_number = max(self.state_version, version)


class VoteRequest(
    Message,
    rename={"term": "epoch", "candidate": "name", "observations": "seen", "suspects": "doubt"},
):
    """A planner requests votes, or the extension of its lease; with term 0 only what the others know.

    Attributes:
        term: Term of the candidacy or leadership.
        candidate: Name of the planner that requests them.
        incarnation: Its run.
        observations: What it knows of the other planners, which may show one that its disk is outdated.
        suspects: Members that it does not hear.
    """

    term: Term
    candidate: Name
    incarnation: Incarnation
    observations: dict[Name, PeerObservation] = msgspec.field(default_factory=dict)
    suspects: list[Name] = msgspec.field(default_factory=list)

    @property
    def observation(self) -> PeerObservation:
        """What the request shows of the planner that sent it."""
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
        granted: Whether the vote is given.
        promised_term: The highest term that the voter has promised.
        voter: Name of the planner that replies.
        incarnation: Its run.
        is_blank: Whether it has lost, or never had, the state it should have stored.
        lease_remaining: Time left of the lease that it has granted.
        state_term: Term of the state that it has stored.
        state_number: Number of that state.
        state: The state itself.
        heard_suspects: Those of the request's suspects that it hears.
        observations: What it knows of the other planners.
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
        """What the response shows of the voter."""
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
    """State that the leader has the other planners store before it acts on it."""

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
    """Reply to a `ReplicationRequest`: whether the named planner has stored it."""

    is_stored: bool
    promised_term: Term
    replica: Name
