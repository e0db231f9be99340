"""Who leads: a lease by a majority of planners, under an epoch that fences the leader before.

The roads weighed are in `docs/fleet.md`. What holds, and by which rule:

- *Never two leaders at once.* A planner grants its vote to one at a time, for `LEASE` counted from when it
  was asked for; the leader counts the same lease from when it *sent* the question, and less by a margin for
  clocks that go at different speeds. One that has just started grants nothing for a whole lease: it may
  have granted one in its life before.
- *A leader that has been paused can't be obeyed.* Epochs rise and are never used by two planners; those who
  obey know the highest that they have heard, and refuse what is older.
- *What was kept by a majority is not forgotten.* Whoever leads takes the newest state that its voters keep.
  One with an empty or old disk does not vote until it has heard all the others or the leader has told it
  again; an old disk shows by a life that the others have seen go by, which it asks for at its start.

`asked` and `keep` change what must survive: the caller flushes `durable` before it answers.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec

from .messages import (
    Incarnation,
    PeerObservation,
    ReplicationRequest,
    ReplicationResponse,
    VoteRequest,
    VoteResponse,
)

LEASE = 10_000  # a second
DRIFT = 0.02
RENEW = 2_500  # four questions in a lease: three may be lost
SURE_LEASES = 3  # that one which has just started waits for others that do not answer, before it votes
JITTER = 2_500  # candidates try at different times, or they would split the votes for ever
KEPT_NUMBERS = 8  # whose keepers are still counted
WIDTH = 64  # planners: an epoch's rest by it names the planner that may use it


@dataclass(slots=True)
class DurableVote:
    """What survives a restart. `blank` says that it is not, or may not be, what this planner last had."""

    generation: int = 0
    promised_term: int = 0
    promised_candidate: str = ""
    promised_nonce: int = 0
    state_term: int = 0
    state_number: int = 0
    state: bytes = b""
    is_blank: bool = True
    observations: str = ""  # of the others, as JSON


@dataclass(slots=True)
class Election:
    """One planner's part in the vote. Times are of a clock that doesn't jump."""

    name: str
    planners: list[str]
    durable: DurableVote
    nonce: int
    now: int
    rng: random.Random
    needs_flush: bool = True
    observations: dict[str, PeerObservation] = field(default_factory=dict)
    recovery_responses: dict[str, VoteResponse] = field(
        default_factory=dict
    )  # by all others, since this one is blank
    granted_to: tuple[str, int] = ("", 0)
    granted_until: int = 0
    silent_until: int = 0
    term: int = 0  # of its own candidacy or leadership
    votes: dict[str, int] = field(default_factory=dict)  # voter: when the question was sent
    highest_term: int = 0  # epoch heard of, from whomever: the next candidacy begins above it
    is_elected: bool = False
    fencing_term: int = 0  # the highest that is known to be obeyed
    next_request_at: int = 0
    newest_state: tuple[int, int, bytes] = (0, 0, b"")
    replicas: dict[int, set[str]] = field(default_factory=dict)  # number: planners that keep it
    unconfirmed_peers: set[str] = field(
        default_factory=set
    )  # others that have not shown yet which of my lives they know
    confirmed_from: int = 0
    lost_version: tuple[int, int] = (
        0,
        0,
    )  # what it is known to have lost: that is found once, not again and again

    def __post_init__(self) -> None:
        self.durable.generation += 1
        if self.durable.observations:
            self.observations = msgspec.json.decode(
                self.durable.observations, type=dict[str, PeerObservation]
            )
        self.silent_until = self.now + self.silent_span
        self.next_request_at = self.now + self.rng.randrange(JITTER)
        self.highest_term = self.durable.promised_term
        self.unconfirmed_peers = {name for name in self.planners if name != self.name}
        self.confirmed_from = self.now + SURE_LEASES * self.silent_span
        if len(self.planners) == 1:
            self.durable.is_blank = False

    @property
    def silent_span(self) -> int:
        """After so long here, a lease that was granted just before has ended wherever it is counted."""
        return int(LEASE * (1 + DRIFT))

    def is_confirmed(self) -> bool:
        """Whether the others have had the time to say that this disk is older than what they have seen."""
        return not self.unconfirmed_peers or self.now >= self.confirmed_from

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(generation=self.durable.generation, nonce=self.nonce)

    @property
    def quorum(self) -> int:
        return len(self.planners) // 2 + 1

    # ---- as a voter ------------------------------------------------------------------------------------

    def observe_peer(self, name: str, shown: PeerObservation, seen: dict[str, PeerObservation]) -> None:
        """What another planner shows of itself, and what it has seen of me."""
        self.unconfirmed_peers.discard(name)
        known = self.observations.get(name)
        if known is None or (known.nonce != shown.nonce and shown.generation >= known.generation):
            # A new life: on the disk, as a third planner may have to tell it one day that its disk is old.
            self.observations[name] = known = PeerObservation(
                generation=shown.generation,
                nonce=shown.nonce,
                promised_term=known.promised_term if known is not None else 0,
                state_term=known.state_term if known is not None else 0,
                state_number=known.state_number if known is not None else 0,
            )
            self.durable.observations = msgspec.json.encode(self.observations).decode()
            self.needs_flush = True
        known.promised_term = max(known.promised_term, shown.promised_term)
        known.state_term, known.state_number = max(
            (known.state_term, known.state_number), (shown.state_term, shown.state_number)
        )
        mine = seen.get(self.name)
        if mine is not None and self.has_lost_state(mine):
            # What I promised and kept since is not on this disk.
            self.durable.generation = max(self.durable.generation, mine.generation + 1)
            self.durable.promised_term = max(self.durable.promised_term, mine.promised_term)
            self.lost_version = max(self.lost_version, (mine.state_term, mine.state_number))
            self.durable.is_blank = True
            self.recovery_responses.clear()
            self.needs_flush = True

    def has_lost_state(self, mine: PeerObservation) -> bool:
        """Whether another has seen more of me than my disk holds: it is empty, cut short or of an earlier
        day.
        """
        durable = self.durable
        return (
            (mine.generation >= durable.generation and mine.nonce != self.nonce)
            or mine.promised_term > durable.promised_term
            or (mine.state_term, mine.state_number)
            > max(self.lost_version, (durable.state_term, durable.state_number))
        )

    def observe_stored_state(self, name: str, epoch: int, number: int) -> None:
        """Another has shown that it keeps this."""
        seen = self.observations.get(name)
        if seen is not None:
            seen.promised_term = max(seen.promised_term, epoch)
            seen.state_term, seen.state_number = max((seen.state_term, seen.state_number), (epoch, number))

    def shows(self, answer: VoteResponse) -> PeerObservation:
        return PeerObservation(
            generation=answer.incarnation.generation,
            nonce=answer.incarnation.nonce,
            promised_term=answer.promised_term,
            state_term=answer.state_term,
            state_number=answer.state_number,
        )

    def handle_vote_request(self, ask: VoteRequest, now: int) -> VoteResponse:
        self.now = max(self.now, now)
        if ask.candidate != self.name:
            self.observe_peer(
                ask.candidate,
                PeerObservation(generation=ask.incarnation.generation, nonce=ask.incarnation.nonce),
                ask.observations,
            )
        asker = (ask.candidate, ask.incarnation.nonce)
        durable = self.durable
        self.highest_term = max(self.highest_term, ask.term)
        granted = (
            ask.term > 0
            and not durable.is_blank
            and self.is_confirmed()
            and self.now >= self.silent_until
            and (self.now >= self.granted_until or self.granted_to == asker)
            and (
                ask.term > durable.promised_term
                or (ask.term, *asker)
                == (durable.promised_term, durable.promised_candidate, durable.promised_nonce)
            )
        )
        if granted:
            if ask.term != durable.promised_term:
                durable.promised_term, durable.promised_candidate, durable.promised_nonce = ask.term, *asker
                self.needs_flush = True
            self.granted_to, self.granted_until = asker, self.now + LEASE
            if ask.candidate != self.name:
                self.next_request_at = self.granted_until + self.rng.randrange(JITTER)
        return self.answer(granted)

    def answer(self, granted: bool) -> VoteResponse:
        durable = self.durable
        return VoteResponse(
            granted=granted,
            promised_term=durable.promised_term,
            voter=self.name,
            incarnation=self.incarnation,
            is_blank=durable.is_blank,
            lease_remaining=max(0, max(self.granted_until, self.silent_until) - self.now),
            state_term=durable.state_term,
            state_number=durable.state_number,
            state=durable.state,
            observations=self.observations,
        )

    def handle_replication_request(self, told: ReplicationRequest, now: int) -> ReplicationResponse:
        """The leader's state, to be kept before anybody is told of it; a leader of older days is refused."""
        self.now = max(self.now, now)
        durable = self.durable
        self.highest_term = max(self.highest_term, told.term)
        if told.term < durable.promised_term:
            return ReplicationResponse(
                is_stored=False, promised_term=durable.promised_term, replica=self.name
            )
        if told.term > durable.promised_term:
            durable.promised_term, durable.promised_candidate = told.term, told.leader
            durable.promised_nonce = told.incarnation.nonce
            self.needs_flush = True
        if (told.term, told.state_number) > (durable.state_term, durable.state_number) or durable.is_blank:
            durable.state_term, durable.state_number = told.term, told.state_number
            durable.state = told.state
            durable.is_blank = False
            self.observe_stored_state(told.leader, told.term, told.state_number)
            # It is flushed now anyway: what is known of the others survives with it, and may unmask an old
            # disk.
            durable.observations = msgspec.json.encode(self.observations).decode()
            self.needs_flush = True
        return ReplicationResponse(is_stored=True, promised_term=durable.promised_term, replica=self.name)

    # ---- as a candidate and a leader -------------------------------------------------------------------

    def next_vote_request(self, now: int) -> VoteRequest | None:
        """The question to put to all planners, oneself included, where it is time for one."""
        self.now = max(self.now, now)
        if self.now < self.next_request_at:
            return None
        if self.durable.is_blank or not self.is_confirmed():
            self.next_request_at = self.now + RENEW
            return self.vote_request(0)  # it asks what the others know, and for nothing
        if self.is_leading(now):
            self.next_request_at = self.now + RENEW
            return self.vote_request(self.term)
        if self.term:
            # Not elected: its own vote is free again, as it will never lead in that epoch. Guards against two
            # that each keep their vote for themselves and so never agree.
            self.term = 0
            if self.granted_to[0] == self.name:
                self.granted_until = self.now
            self.next_request_at = self.now + self.rng.randrange(2 * JITTER)
            return None
        if self.now < self.granted_until and self.granted_to[0] != self.name:
            self.next_request_at = self.granted_until + self.rng.randrange(JITTER)
            return None
        if self.now < self.silent_until:
            self.next_request_at = self.silent_until + self.rng.randrange(JITTER)
            return None
        self.term, self.is_elected = self.next_term(), False
        self.votes.clear()
        self.replicas.clear()
        self.newest_state = (0, 0, b"")
        self.next_request_at = self.now + RENEW
        return self.vote_request(self.term)

    def vote_request(self, epoch: int) -> VoteRequest:
        return VoteRequest(
            term=epoch, candidate=self.name, incarnation=self.incarnation, observations=self.observations
        )

    def next_term(self) -> int:
        """Above all that was heard of, and never another planner's."""
        place = self.planners.index(self.name)
        return (max(self.highest_term, self.durable.promised_term) // WIDTH + 1) * WIDTH + place

    def handle_vote_response(self, answer: VoteResponse, epoch: int, sent: int, now: int) -> None:
        """`epoch` and `sent` are of the question that this answers."""
        self.now = max(self.now, now)
        if answer.voter != self.name:
            self.observe_peer(answer.voter, self.shows(answer), answer.observations)
        self.highest_term = max(self.highest_term, answer.promised_term)
        if self.durable.is_blank:
            self.recover_state(answer)
            return
        if not answer.granted or epoch != self.term or not epoch:
            return
        self.votes[answer.voter] = max(sent, self.votes.get(answer.voter, 0))
        self.newest_state = max(self.newest_state, (answer.state_term, answer.state_number, answer.state))

    def recover_state(self, answer: VoteResponse) -> None:
        """Blank: once all others have told what they keep, nothing that a majority kept is missing here."""
        if answer.voter == self.name:
            return
        self.recovery_responses[answer.voter] = answer
        if len(self.recovery_responses) < len(self.planners) - 1:
            return
        durable = self.durable
        newest = max(self.recovery_responses.values(), key=lambda one: (one.state_term, one.state_number))
        if (newest.state_term, newest.state_number) > (durable.state_term, durable.state_number):
            durable.state_term, durable.state_number = newest.state_term, newest.state_number
            durable.state = newest.state
        durable.promised_term = max(
            durable.promised_term, max(one.promised_term for one in self.recovery_responses.values())
        )
        durable.is_blank = False
        self.recovery_responses.clear()
        self.needs_flush = True

    def lease_end(self) -> int:
        """Its lease runs from the question that the last of a majority has granted, by the sender's clock."""
        sent = sorted(self.votes.values(), reverse=True)
        return sent[self.quorum - 1] + int(LEASE * (1 - DRIFT)) if len(sent) >= self.quorum else 0

    def is_leading(self, now: int) -> bool:
        """Whether it holds the lease at this moment; to be looked at just before each answer."""
        self.now = max(self.now, now)
        if self.term and (self.now >= self.lease_end() or self.term < self.fencing_term):
            if self.is_elected:
                # One that has lapsed is never taken up again: others may have led, and kept more, meanwhile.
                self.term, self.is_elected = 0, False
            return False
        self.is_elected = self.term > 0
        return self.is_elected

    def observe_term(self, epoch: int) -> None:
        """Somebody obeys a higher epoch: this one is over, and the next candidacy begins above it."""
        self.highest_term = max(self.highest_term, epoch)
        self.fencing_term = max(self.fencing_term, epoch)

    def handle_replication_response(self, answer: ReplicationResponse, number: int) -> bool:
        """Whether that number is kept by a majority now."""
        self.highest_term = max(self.highest_term, answer.promised_term)
        if answer.is_stored:
            for old in [one for one in self.replicas if one < number - KEPT_NUMBERS]:
                del self.replicas[old]
            self.replicas.setdefault(number, set()).add(answer.replica)
            self.observe_stored_state(answer.replica, self.term, number)
        return len(self.replicas.get(number, ())) >= self.quorum
