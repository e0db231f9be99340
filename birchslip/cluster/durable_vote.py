"""What a planner stores for the election: its promise, the replicated state and observations of peers.

Holds the values only: `election.py` decides how they change and `election_store.py` writes them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from .election_messages import PeerObservation, StateVersion


class Candidate(NamedTuple):
    """One run of a planner that requests votes."""

    name: str
    nonce: int


class StoredState(NamedTuple):
    """A replicated state and its version."""

    term: int
    number: int
    state: bytes

    @property
    def version(self) -> StateVersion:
        """Version of the state."""
        return StateVersion(self.term, self.number)


NO_CANDIDATE = Candidate("", 0)
NO_STATE = StoredState(0, 0, b"")


@dataclass(slots=True)
class DurableVote:
    """The part of a planner's election state that must survive a restart.

    The order of the fields is that of the stored row and of its checksum.

    Attributes:
        generation: Number of starts of this planner.
        promised_term: Highest promised term.
        promised_candidate: Name of the candidate that the term was promised to.
        promised_nonce: Nonce of that candidate's run.
        state_term: Term of the stored state.
        state_number: Number of the stored state within its term.
        state: The encoded state.
        is_blank: Whether these values may be older than what the planner stored last.
        observations: Observations of the other planners, as JSON.
    """

    generation: int = 0
    promised_term: int = 0
    promised_candidate: str = ""
    promised_nonce: int = 0
    state_term: int = 0
    state_number: int = 0
    state: bytes = b""
    is_blank: bool = True
    observations: str = ""

    @property
    def state_version(self) -> StateVersion:
        """Version of the stored state."""
        return StateVersion(self.state_term, self.state_number)

    def promise(self, term: int, candidate: Candidate) -> None:
        """Promise a term to a candidate."""
        self.promised_term = term
        self.promised_candidate, self.promised_nonce = candidate

    def store(self, version: StateVersion, state: bytes) -> None:
        """Replace the stored state."""
        self.state_term, self.state_number = version
        self.state = state

    def is_promised_to(self, term: int, candidate: Candidate) -> bool:
        """Return whether this term was promised to this run of the candidate."""
        promised = (self.promised_term, self.promised_candidate, self.promised_nonce)
        return promised == (term, *candidate)

    def load_observations(self) -> dict[str, PeerObservation]:
        """Decode the observations; return an empty dict if there are none."""
        if not self.observations:
            return {}
        return msgspec.json.decode(self.observations, type=dict[str, PeerObservation])

    def save_observations(self, observations: dict[str, PeerObservation]) -> None:
        """Encode and replace the observations."""
        self.observations = msgspec.json.encode(observations).decode()
