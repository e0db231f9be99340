"""Leader election among the planners: a quorum grants a lease, and increasing terms fence earlier leaders.

Decides which planner leads and which replicated state is adopted; does no I/O and reads no clock. The
alternatives are compared in `docs/fleet.md`. The election guarantees:

- *At most one leader at a time.* A planner votes for one candidate at a time, for `LEASE_SPAN` from when the
  request arrived. The leader counts the same lease from when it *sent* the request, less a margin for clock
  drift. A planner that has just started does not vote for a whole lease, as it may have voted before.
- *A paused leader is fenced.* Terms increase and no two planners use the same one; members reject replies
  whose term is below the highest that they have received.
- *State stored by a quorum is not lost.* A new leader adopts the newest state among its voters. A planner
  whose disk is empty or outdated does not vote until all others, or the leader, have sent their state. A disk
  is recognised as outdated if the others have already observed a later generation or state of this planner.

Handling a request may change `durable`. The caller must store it before it sends the response, or the
guarantees do not hold.
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
RENEWAL_INTERVAL = 2_500  # four requests per lease, so that three may be lost
CONFIRMATION_LEASES = 3  # leases a starting planner waits for the others to confirm that its disk is current
MAX_JITTER = 2_500  # without jitter, candidates that start at the same time would split the votes
TERM_STRIDE = 64  # a term modulo the stride is the index of the planner that may use the term


class ElectionRole(Enum):
    """A planner's role in the election."""

    RECOVERING = auto()  # its stored state is missing or not yet confirmed by the others
    FOLLOWER = auto()
    CANDIDATE = auto()
    LEADER = auto()


@dataclass(slots=True)
class Election:
    """One planner's voter and candidate. All times are of the planner's monotonic clock.

    Attributes:
        name: The planner's name.
        planners: Names of all planners, in the fleet file's order.
        durable: The values that must be stored before a response is sent.
        nonce: Identifies this run of the planner.
        now: The latest time that was passed in.
        rng: Source of the jitter.
        needs_flush: Whether `durable` has changed since it was stored.
        observations: The latest observation of each other planner, by name.
        recovery_responses: Responses of the other planners while this one is blank, by name.
        granted_to: The candidate that has this planner's vote.
        granted_until: When that vote ends.
        can_vote_from: When this planner may vote for the first time after its start.
        term: Term of this planner's candidacy or leadership; 0 if none.
        lease: Votes for `term` and the lease that they grant.
        highest_term: Highest term in any message so far; the next candidacy uses a higher one.
        is_elected: Whether this planner has been elected in `term`.
        fencing_term: Highest term that a member is known to follow.
        next_request_at: When the next vote request is due.
        newest_state: Newest state among the voters.
        replicas: Which planners have stored the states of `term`.
        unconfirmed_peers: Planners that have not yet sent their observation of this one.
        confirmed_from: When this planner trusts its disk even without `unconfirmed_peers`.
        lost_version: Newest state that this disk is known to have lost, so that a loss is handled only once.
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
        """Count the start, load the observations and begin the delay before the first vote."""
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
        """Span after which a lease that was granted just before the start has ended by every clock."""
        return int(LEASE_SPAN * (1 + CLOCK_DRIFT))

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this run of the planner."""
        return Incarnation(generation=self.durable.generation, nonce=self.nonce)

    @property
    def quorum(self) -> int:
        """Number of planners that form a majority."""
        return len(self.planners) // 2 + 1

    def is_confirmed(self) -> bool:
        """Return whether all others have reported whether this disk is outdated, or had the time to."""
        return not self.unconfirmed_peers or self.now >= self.confirmed_from

    def role(self, now: int) -> ElectionRole:
        """Return the planner's role at `now`."""
        if self.durable.is_blank or not self.is_confirmed():
            return ElectionRole.RECOVERING
        if self.is_leading(now):
            return ElectionRole.LEADER
        return ElectionRole.CANDIDATE if self.term else ElectionRole.FOLLOWER

    # ---- voter -----------------------------------------------------------------------------------------

    def handle_vote_request(self, request: VoteRequest, now: int) -> VoteResponse:
        """Grant or refuse a vote; the caller must store `durable` before it sends the response."""
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
        """Return whether a vote for `candidate` in `term` breaks no earlier vote or promise."""
        if term <= 0 or self.durable.is_blank or not self.is_confirmed():
            return False
        if self.now < self.can_vote_from:
            return False
        if self.now < self.granted_until and self.granted_to != candidate:
            return False
        return term > self.durable.promised_term or self.durable.is_promised_to(term, candidate)

    def grant(self, term: int, candidate: Candidate) -> None:
        """Grant the vote to a candidate for `LEASE_SPAN` from now on."""
        if term != self.durable.promised_term:
            self.durable.promise(term, candidate)
            self.needs_flush = True
        self.granted_to = candidate
        self.granted_until = self.now + LEASE_SPAN
        if candidate.name != self.name:
            self.next_request_at = self.granted_until + self.rng.randrange(MAX_JITTER)

    def vote_response(self, granted: bool) -> VoteResponse:
        """Build a response with the stored state and the observations of this planner."""
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
        """Accept the leader's state unless a later term was promised.

        The caller must store `durable` before it sends the response.
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
            # The flush is due anyway. Observations that survive a restart may show that a peer's disk is old.
            durable.save_observations(self.observations)
            self.needs_flush = True
        return self.replication_response(is_stored=True)

    def replication_response(self, is_stored: bool) -> ReplicationResponse:
        """Build a response with the currently promised term."""
        return ReplicationResponse(
            is_stored=is_stored, promised_term=self.durable.promised_term, replica=self.name
        )

    # ---- observations of the other planners ------------------------------------------------------------

    def observe_peer(
        self, name: str, reported: PeerObservation, observations: dict[str, PeerObservation]
    ) -> None:
        """Record what another planner reports of itself, and check what it has observed of this one."""
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
        """Record a restart of another planner, so that an outdated disk of it can be recognised.

        Returns:
            The new observation of that planner, which has replaced `known`.
        """
        restarted = PeerObservation(generation=reported.generation, nonce=reported.nonce)
        if known is not None:
            restarted.promised_term = known.promised_term
            restarted.record_state(known.state_version)
        self.observations[name] = restarted
        self.durable.save_observations(self.observations)
        self.needs_flush = True
        return restarted

    def has_lost_state(self, own_observation: PeerObservation) -> bool:
        """Return whether another planner has observed a later run, promise or state than this disk has."""
        durable = self.durable
        return (
            (own_observation.generation >= durable.generation and own_observation.nonce != self.nonce)
            or own_observation.promised_term > durable.promised_term
            or own_observation.state_version > max(self.lost_version, durable.state_version)
        )

    def discard_state(self, own_observation: PeerObservation) -> None:
        """Mark this planner as blank, as this disk lacks promises or state of an earlier run."""
        self.durable.generation = max(self.durable.generation, own_observation.generation + 1)
        self.durable.promised_term = max(self.durable.promised_term, own_observation.promised_term)
        self.lost_version = max(self.lost_version, own_observation.state_version)
        self.durable.is_blank = True
        self.recovery_responses.clear()
        self.needs_flush = True

    def observe_stored_state(self, name: str, version: StateVersion) -> None:
        """Record that another planner has stored a state."""
        known = self.observations.get(name)
        if known is not None:
            known.promised_term = max(known.promised_term, version.term)
            known.record_state(version)

    def observe_term(self, term: int) -> None:
        """Record that a member follows a term, which ends the leadership of any earlier term."""
        self.highest_term = max(self.highest_term, term)
        self.fencing_term = max(self.fencing_term, term)

    def recover_state(self, response: VoteResponse) -> None:
        """Adopt the newest state, while this planner is blank, once all others have responded."""
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
        """Return the request to send to all planners, including this one; None if none is due.

        A follower starts a candidacy. A candidate that has not been elected by then gives up its candidacy.
        """
        self.now = max(self.now, now)
        if self.now < self.next_request_at:
            return None
        match self.role(now):
            case ElectionRole.RECOVERING:
                self.next_request_at = self.now + RENEWAL_INTERVAL
                return self.vote_request(0)  # term 0 requests only the observations and states of the others
            case ElectionRole.LEADER:
                self.next_request_at = self.now + RENEWAL_INTERVAL
                return self.vote_request(self.term)
            case ElectionRole.CANDIDATE:
                self.abandon_candidacy()
                return None
            case ElectionRole.FOLLOWER:
                return self.start_candidacy()

    def abandon_candidacy(self) -> None:
        """Give up the candidacy and free this planner's vote for another candidate.

        Without that, candidates that all voted for themselves would renew their own votes in each attempt,
        and none would ever get a quorum.
        """
        self.term = 0
        if self.granted_to.name == self.name:
            self.granted_until = self.now
        self.next_request_at = self.now + self.rng.randrange(2 * MAX_JITTER)

    def start_candidacy(self) -> VoteRequest | None:
        """Start a candidacy in a new term and return its vote request.

        None while another planner has this one's vote or this planner may not vote yet; the next attempt is
        due a random delay after that.
        """
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
        """Build this planner's request for votes in `term`, with what it has observed of the other planners.

        The request of a leader renews its lease. With term 0 no votes are requested, only the observations
        and states of the other planners.
        """
        return VoteRequest(
            term=term, candidate=self.name, incarnation=self.incarnation, observations=self.observations
        )

    def next_term(self) -> int:
        """Return a term above all known ones that no other planner uses."""
        index = self.planners.index(self.name)
        highest = max(self.highest_term, self.durable.promised_term)
        return (highest // TERM_STRIDE + 1) * TERM_STRIDE + index

    def handle_vote_response(self, response: VoteResponse, term: int, sent: int, now: int) -> None:
        """Count a vote, or use the response to recover while this planner is blank.

        Args:
            response: The response of a voter.
            term: Term of the request that the response answers.
            sent: When that request was sent.
            now: The current time.
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
        """Return whether this planner holds the lease at `now`; must be checked just before each reply.

        A leadership whose lease has expired, or whose term is below one that a member follows, ends here.
        """
        self.now = max(self.now, now)
        if self.term and (self.now >= self.lease.end() or self.term < self.fencing_term):
            if self.is_elected:
                # An expired lease is never resumed: another planner may have led and stored state since.
                self.term = 0
                self.is_elected = False
            return False
        self.is_elected = self.term > 0
        return self.is_elected

    def handle_replication_response(self, response: ReplicationResponse, state_number: int) -> bool:
        """Count a replica and return whether a quorum has stored that state."""
        self.highest_term = max(self.highest_term, response.promised_term)
        if response.is_stored:
            self.replicas.record(response.replica, state_number)
            self.observe_stored_state(response.replica, StateVersion(self.term, state_number))
        return self.replicas.has_quorum(state_number)
