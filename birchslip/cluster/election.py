"""Leader election among the planners: a lease granted by a quorum, in numbered terms that fence old leaders.

Decides who leads and which state survives; does no I/O and reads no clock. The alternatives are compared in
`docs/fleet.md`. It guarantees:

- *At most one leader at a time.* A planner votes for one candidate at a time, for `LEASE_SPAN` from when the
  request arrived. The leader counts the same lease from when it *sent* the request, less a margin for clock
  drift. A planner that has just started votes for nobody for a whole lease: it may have voted before.
- *A paused leader is fenced.* Terms rise and no two planners use the same one; members refuse replies of a
  term below the highest that they have heard.
- *State stored by a quorum is not lost.* A new leader adopts the newest state among its voters. A planner
  whose disk is empty or outdated does not vote until all others, or the leader, have sent their state. An
  outdated disk shows by a generation or a state that the others have already seen.

Handling a request may change `durable`: the caller must store it before it sends the response, or the
guarantees are void.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum, auto

from .durable_vote import NO_CANDIDATE, NO_STATE, Candidate, DurableVote, StoredState
from .election_messages import (
    PeerObservation,
    ReplicationRequest,
    ReplicationResponse,
    StateVersion,
    VoteRequest,
    VoteResponse,
)
from .messages import Incarnation
from .quorum import CLOCK_DRIFT, LEASE_SPAN, QuorumLease, QuorumReplicas

# All spans are in units of 0.1 ms.
RENEWAL_INTERVAL = 2_500  # four requests in a lease: three may be lost
CONFIRMATION_LEASES = 3  # leases that a starting planner waits for the others before it trusts its disk
MAX_JITTER = 2_500  # candidates that start at the same time would split the votes
TERM_STRIDE = 64  # a term's remainder by it is the place of the planner that may use it


class ElectionRole(Enum):
    """A planner's part in the election."""

    RECOVERING = auto()  # its own state is missing or not yet confirmed by the others
    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


@dataclass(slots=True)
class Election:
    """One planner's voter and candidate. All times are of its monotonic clock.

    Attributes:
        name: The planner's name.
        planners: Names of all planners, in the fleet file's order.
        durable: What has to be stored before a response is sent.
        nonce: Identifies this run.
        now: The latest time that was passed in.
        rng: Source of the jitter.
        needs_flush: Whether `durable` has changed since it was stored.
        observations: The latest known of each other planner.
        recovery_responses: Responses of the other planners while this one is blank.
        granted_to: Who has this planner's vote.
        granted_until: When that vote ends.
        can_vote_from: Until when it does not vote after its start.
        term: Term of its own candidacy or leadership; 0 if none.
        lease: Votes for `term` and the lease that they grant.
        highest_term: Highest term heard of; the next candidacy is above it.
        is_elected: Whether it has been elected in `term`.
        fencing_term: Highest term that a member is known to follow.
        next_request_at: When the next vote request is due.
        newest_state: Newest state among the voters.
        replicas: Which planners have stored the states of `term`.
        unconfirmed_peers: Planners that have not yet sent what they know of this one.
        confirmed_from: When it trusts its disk even without them.
        lost_version: State that it is known to have lost, so that the loss is noticed once.
    """

    name: str
    planners: list[str]
    durable: DurableVote
    nonce: int
    now: int
    rng: random.Random
    needs_flush: bool = True
    observations: dict[str, PeerObservation] = field(default_factory=dict)
    recovery_responses: dict[str, VoteResponse] = field(default_factory=dict)
    granted_to: Candidate = NO_CANDIDATE
    granted_until: int = 0
    can_vote_from: int = 0
    term: int = 0
    lease: QuorumLease = field(init=False)
    highest_term: int = 0
    is_elected: bool = False
    fencing_term: int = 0
    next_request_at: int = 0
    newest_state: StoredState = NO_STATE
    replicas: QuorumReplicas = field(init=False)
    unconfirmed_peers: set[str] = field(default_factory=set)
    confirmed_from: int = 0
    lost_version: StateVersion = NO_STATE.version

    def __post_init__(self) -> None:
        """Counts the start and begins the silent span."""
        self.durable.generation += 1
        self.observations = self.durable.load_observations()
        self.lease = QuorumLease(self.quorum)
        self.replicas = QuorumReplicas(self.quorum)
        self.can_vote_from = self.now + self.startup_delay
        self.next_request_at = self.now + self.rng.randrange(MAX_JITTER)
        self.highest_term = self.durable.promised_term
        self.unconfirmed_peers = {name for name in self.planners if name != self.name}
        self.confirmed_from = self.now + CONFIRMATION_LEASES * self.startup_delay
        if len(self.planners) == 1:
            self.durable.is_blank = False

    @property
    def startup_delay(self) -> int:
        """Span after which a lease granted just before has ended by every clock."""
        return int(LEASE_SPAN * (1 + CLOCK_DRIFT))

    @property
    def incarnation(self) -> Incarnation:
        """This run of the planner."""
        return Incarnation(generation=self.durable.generation, nonce=self.nonce)

    @property
    def quorum(self) -> int:
        """Number of planners that form a majority."""
        return len(self.planners) // 2 + 1

    def is_confirmed(self) -> bool:
        """Whether the others had the time to say that this disk is outdated."""
        return not self.unconfirmed_peers or self.now >= self.confirmed_from

    def role(self, now: int) -> ElectionRole:
        """The planner's part at this moment."""
        if self.durable.is_blank or not self.is_confirmed():
            return ElectionRole.RECOVERING
        if self.is_leading(now):
            return ElectionRole.LEADER
        return ElectionRole.CANDIDATE if self.term else ElectionRole.FOLLOWER

    # ---- voter -----------------------------------------------------------------------------------------

    def handle_vote_request(self, request: VoteRequest, now: int) -> VoteResponse:
        """Grants or refuses a vote; `durable` has to be stored before the response is sent."""
        self.now = max(self.now, now)
        candidate = Candidate(request.candidate, request.incarnation.nonce)
        if candidate.name != self.name:
            self.observe_peer(candidate.name, request.observation, request.observations)
        self.highest_term = max(self.highest_term, request.term)
        granted = self.may_grant(request.term, candidate)
        if granted:
            self.grant(request.term, candidate)
        return self.vote_response(granted)

    def may_grant(self, term: int, candidate: Candidate) -> bool:
        """Whether the vote may be given without breaking an earlier one."""
        if term <= 0 or self.durable.is_blank or not self.is_confirmed():
            return False
        if self.now < self.can_vote_from:
            return False
        if self.now < self.granted_until and self.granted_to != candidate:
            return False
        return term > self.durable.promised_term or self.durable.is_promised_to(term, candidate)

    def grant(self, term: int, candidate: Candidate) -> None:
        """Gives the vote for one lease."""
        if term != self.durable.promised_term:
            self.durable.promise(term, candidate)
            self.needs_flush = True
        self.granted_to = candidate
        self.granted_until = self.now + LEASE_SPAN
        if candidate.name != self.name:
            self.next_request_at = self.granted_until + self.rng.randrange(MAX_JITTER)

    def vote_response(self, granted: bool) -> VoteResponse:
        """A response with all that this planner has stored and knows."""
        durable = self.durable
        return VoteResponse(
            granted=granted,
            promised_term=durable.promised_term,
            voter=self.name,
            incarnation=self.incarnation,
            is_blank=durable.is_blank,
            lease_remaining=max(0, max(self.granted_until, self.can_vote_from) - self.now),
            state_term=durable.state_term,
            state_number=durable.state_number,
            state=durable.state,
            observations=self.observations,
        )

    def handle_replication_request(self, request: ReplicationRequest, now: int) -> ReplicationResponse:
        """Stores the leader's state unless a later term was promised.

        `durable` has to be stored before the response is sent.
        """
        self.now = max(self.now, now)
        durable = self.durable
        self.highest_term = max(self.highest_term, request.term)
        if request.term < durable.promised_term:
            return self.replication_response(is_stored=False)
        if request.term > durable.promised_term:
            durable.promise(request.term, Candidate(request.leader, request.incarnation.nonce))
            self.needs_flush = True
        if request.state_version > durable.state_version or durable.is_blank:
            durable.store(request.state_version, request.state)
            durable.is_blank = False
            self.observe_stored_state(request.leader, request.state_version)
            # It is flushed anyway: observations that survive may show another planner that its disk is old.
            durable.save_observations(self.observations)
            self.needs_flush = True
        return self.replication_response(is_stored=True)

    def replication_response(self, is_stored: bool) -> ReplicationResponse:
        """A response with the term that is promised now."""
        return ReplicationResponse(
            is_stored=is_stored, promised_term=self.durable.promised_term, replica=self.name
        )

    # ---- what the planners know of each other ----------------------------------------------------------

    def observe_peer(
        self, name: str, reported: PeerObservation, observations: dict[str, PeerObservation]
    ) -> None:
        """Takes in what another planner shows of itself, and what it has observed of this one."""
        self.unconfirmed_peers.discard(name)
        known = self.observations.get(name)
        if known is None or (known.nonce != reported.nonce and reported.generation >= known.generation):
            known = self.observe_restart(name, reported, known)
        known.promised_term = max(known.promised_term, reported.promised_term)
        known.record_state(reported.state_version)
        own_observation = observations.get(self.name)
        if own_observation is not None and self.has_lost_state(own_observation):
            self.discard_state(own_observation)

    def observe_restart(
        self, name: str, reported: PeerObservation, known: PeerObservation | None
    ) -> PeerObservation:
        """Records that a planner has restarted, so that an outdated disk of it is recognised."""
        restarted = PeerObservation(generation=reported.generation, nonce=reported.nonce)
        if known is not None:
            restarted.promised_term = known.promised_term
            restarted.record_state(known.state_version)
        self.observations[name] = restarted
        self.durable.save_observations(self.observations)
        self.needs_flush = True
        return restarted

    def has_lost_state(self, own_observation: PeerObservation) -> bool:
        """Whether another planner has seen more of this one than its disk contains."""
        durable = self.durable
        return (
            (own_observation.generation >= durable.generation and own_observation.nonce != self.nonce)
            or own_observation.promised_term > durable.promised_term
            or own_observation.state_version > max(self.lost_version, durable.state_version)
        )

    def discard_state(self, own_observation: PeerObservation) -> None:
        """Becomes blank: promises and state of an earlier run are not on this disk."""
        self.durable.generation = max(self.durable.generation, own_observation.generation + 1)
        self.durable.promised_term = max(self.durable.promised_term, own_observation.promised_term)
        self.lost_version = max(self.lost_version, own_observation.state_version)
        self.durable.is_blank = True
        self.recovery_responses.clear()
        self.needs_flush = True

    def observe_stored_state(self, name: str, version: StateVersion) -> None:
        """Takes in that another planner has stored a state."""
        known = self.observations.get(name)
        if known is not None:
            known.promised_term = max(known.promised_term, version.term)
            known.record_state(version)

    def observe_term(self, term: int) -> None:
        """Takes in that a member follows a term: leadership of an earlier one is over."""
        self.highest_term = max(self.highest_term, term)
        self.fencing_term = max(self.fencing_term, term)

    def recover_state(self, response: VoteResponse) -> None:
        """While blank: adopts the newest state once all others have responded."""
        if response.voter == self.name:
            return
        self.recovery_responses[response.voter] = response
        if len(self.recovery_responses) < len(self.planners) - 1:
            return
        responses = self.recovery_responses.values()
        newest = max(responses, key=lambda response: response.state_version)
        durable = self.durable
        if newest.state_version > durable.state_version:
            durable.store(newest.state_version, newest.state)
        highest_promised = max(response.promised_term for response in responses)
        durable.promised_term = max(durable.promised_term, highest_promised)
        durable.is_blank = False
        self.recovery_responses.clear()
        self.needs_flush = True

    # ---- candidate and leader --------------------------------------------------------------------------

    def next_vote_request(self, now: int) -> VoteRequest | None:
        """The request to send to all planners, this one included, if one is due."""
        self.now = max(self.now, now)
        if self.now < self.next_request_at:
            return None
        match self.role(now):
            case ElectionRole.RECOVERING:
                self.next_request_at = self.now + RENEWAL_INTERVAL
                return self.vote_request(0)  # requests only what the others know
            case ElectionRole.LEADER:
                self.next_request_at = self.now + RENEWAL_INTERVAL
                return self.vote_request(self.term)
            case ElectionRole.CANDIDATE:
                self.abandon_candidacy()
                return None
            case ElectionRole.FOLLOWER:
                return self.start_candidacy()

    def abandon_candidacy(self) -> None:
        """Frees this planner's vote, as it will never lead in that term.

        Candidates that all voted for themselves would never agree.
        """
        self.term = 0
        if self.granted_to.name == self.name:
            self.granted_until = self.now
        self.next_request_at = self.now + self.rng.randrange(2 * MAX_JITTER)

    def start_candidacy(self) -> VoteRequest | None:
        """Begins a new term, or waits until nobody else can have the lease."""
        if self.now < self.granted_until and self.granted_to.name != self.name:
            self.next_request_at = self.granted_until + self.rng.randrange(MAX_JITTER)
            return None
        if self.now < self.can_vote_from:
            self.next_request_at = self.can_vote_from + self.rng.randrange(MAX_JITTER)
            return None
        self.term = self.next_term()
        self.is_elected = False
        self.lease.clear()
        self.replicas.clear()
        self.newest_state = NO_STATE
        self.next_request_at = self.now + RENEWAL_INTERVAL
        return self.vote_request(self.term)

    def vote_request(self, term: int) -> VoteRequest:
        """A request for votes in a term."""
        return VoteRequest(
            term=term, candidate=self.name, incarnation=self.incarnation, observations=self.observations
        )

    def next_term(self) -> int:
        """A term above all heard of, which no other planner uses."""
        index = self.planners.index(self.name)
        highest = max(self.highest_term, self.durable.promised_term)
        return (highest // TERM_STRIDE + 1) * TERM_STRIDE + index

    def handle_vote_response(self, response: VoteResponse, term: int, sent: int, now: int) -> None:
        """Counts a vote.

        Args:
            response: The response.
            term: Term of the request that it answers.
            sent: When that request was sent.
            now: The present time.
        """
        self.now = max(self.now, now)
        if response.voter != self.name:
            self.observe_peer(response.voter, response.observation, response.observations)
        self.highest_term = max(self.highest_term, response.promised_term)
        if self.durable.is_blank:
            self.recover_state(response)
            return
        if not response.granted or term != self.term or not term:
            return
        self.lease.record(response.voter, sent)
        self.newest_state = max(self.newest_state, StoredState(*response.state_version, response.state))

    def is_leading(self, now: int) -> bool:
        """Whether it has the lease at this moment; to be checked just before each reply."""
        self.now = max(self.now, now)
        if self.term and (self.now >= self.lease.end() or self.term < self.fencing_term):
            if self.is_elected:
                # A lapsed lease is never resumed: others may have led, and stored more, in the meantime.
                self.term = 0
                self.is_elected = False
            return False
        self.is_elected = self.term > 0
        return self.is_elected

    def handle_replication_response(self, response: ReplicationResponse, state_number: int) -> bool:
        """Counts a replica; returns whether a quorum has stored that state."""
        self.highest_term = max(self.highest_term, response.promised_term)
        if response.is_stored:
            self.replicas.record(response.replica, state_number)
            self.observe_stored_state(response.replica, StateVersion(self.term, state_number))
        return self.replicas.has_quorum(state_number)
