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

    life: int = 0
    promised: int = 0
    promised_to: str = ""
    promised_mark: int = 0
    state_epoch: int = 0
    state_number: int = 0
    state: bytes = b""
    blank: bool = True
    seen: str = ""  # of the others, as JSON


@dataclass(slots=True)
class Election:
    """One planner's part in the vote. Times are of a clock that doesn't jump."""

    name: str
    planners: list[str]
    durable: DurableVote
    mark: int
    now: int
    chance: random.Random
    dirty: bool = True
    seen: dict[str, PeerObservation] = field(default_factory=dict)
    told: dict[str, VoteResponse] = field(default_factory=dict)  # by all others, since this one is blank
    granted_to: tuple[str, int] = ("", 0)
    granted_until: int = 0
    quiet_until: int = 0
    epoch: int = 0  # of its own candidacy or leadership
    grants: dict[str, int] = field(default_factory=dict)  # voter: when the question was sent
    highest: int = 0  # epoch heard of, from whomever: the next candidacy begins above it
    won: bool = False
    overtaken: int = 0  # the highest that is known to be obeyed
    next_ask: int = 0
    newest: tuple[int, int, bytes] = (0, 0, b"")
    kept_by: dict[int, set[str]] = field(default_factory=dict)  # number: planners that keep it
    unsure: set[str] = field(
        default_factory=set
    )  # others that have not shown yet which of my lives they know
    sure_from: int = 0
    forgone: tuple[int, int] = (
        0,
        0,
    )  # what it is known to have lost: that is found once, not again and again

    def __post_init__(self) -> None:
        self.durable.life += 1
        if self.durable.seen:
            self.seen = msgspec.json.decode(self.durable.seen, type=dict[str, PeerObservation])
        self.quiet_until = self.now + self.quiet
        self.next_ask = self.now + self.chance.randrange(JITTER)
        self.highest = self.durable.promised
        self.unsure = {name for name in self.planners if name != self.name}
        self.sure_from = self.now + SURE_LEASES * self.quiet
        if len(self.planners) == 1:
            self.durable.blank = False

    @property
    def quiet(self) -> int:
        """After so long here, a lease that was granted just before has ended wherever it is counted."""
        return int(LEASE * (1 + DRIFT))

    def sure(self) -> bool:
        """Whether the others have had the time to say that this disk is older than what they have seen."""
        return not self.unsure or self.now >= self.sure_from

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(generation=self.durable.life, nonce=self.mark)

    @property
    def majority(self) -> int:
        return len(self.planners) // 2 + 1

    # ---- as a voter ------------------------------------------------------------------------------------

    def meet(self, name: str, shown: PeerObservation, seen: dict[str, PeerObservation]) -> None:
        """What another planner shows of itself, and what it has seen of me."""
        self.unsure.discard(name)
        known = self.seen.get(name)
        if known is None or (known.nonce != shown.nonce and shown.generation >= known.generation):
            # A new life: on the disk, as a third planner may have to tell it one day that its disk is old.
            self.seen[name] = known = PeerObservation(
                generation=shown.generation,
                nonce=shown.nonce,
                promised_term=known.promised_term if known is not None else 0,
                state_term=known.state_term if known is not None else 0,
                state_number=known.state_number if known is not None else 0,
            )
            self.durable.seen = msgspec.json.encode(self.seen).decode()
            self.dirty = True
        known.promised_term = max(known.promised_term, shown.promised_term)
        known.state_term, known.state_number = max(
            (known.state_term, known.state_number), (shown.state_term, shown.state_number)
        )
        mine = seen.get(self.name)
        if mine is not None and self.older_than(mine):
            # What I promised and kept since is not on this disk.
            self.durable.life = max(self.durable.life, mine.generation + 1)
            self.durable.promised = max(self.durable.promised, mine.promised_term)
            self.forgone = max(self.forgone, (mine.state_term, mine.state_number))
            self.durable.blank = True
            self.told.clear()
            self.dirty = True

    def older_than(self, mine: PeerObservation) -> bool:
        """Whether another has seen more of me than my disk holds: it is empty, cut short or of an earlier
        day.
        """
        durable = self.durable
        return (
            (mine.generation >= durable.life and mine.nonce != self.mark)
            or mine.promised_term > durable.promised
            or (mine.state_term, mine.state_number)
            > max(self.forgone, (durable.state_epoch, durable.state_number))
        )

    def note(self, name: str, epoch: int, number: int) -> None:
        """Another has shown that it keeps this."""
        seen = self.seen.get(name)
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

    def asked(self, ask: VoteRequest, now: int) -> VoteResponse:
        self.now = max(self.now, now)
        if ask.candidate != self.name:
            self.meet(
                ask.candidate,
                PeerObservation(generation=ask.incarnation.generation, nonce=ask.incarnation.nonce),
                ask.observations,
            )
        asker = (ask.candidate, ask.incarnation.nonce)
        durable = self.durable
        self.highest = max(self.highest, ask.term)
        granted = (
            ask.term > 0
            and not durable.blank
            and self.sure()
            and self.now >= self.quiet_until
            and (self.now >= self.granted_until or self.granted_to == asker)
            and (
                ask.term > durable.promised
                or (ask.term, *asker) == (durable.promised, durable.promised_to, durable.promised_mark)
            )
        )
        if granted:
            if ask.term != durable.promised:
                durable.promised, durable.promised_to, durable.promised_mark = ask.term, *asker
                self.dirty = True
            self.granted_to, self.granted_until = asker, self.now + LEASE
            if ask.candidate != self.name:
                self.next_ask = self.granted_until + self.chance.randrange(JITTER)
        return self.answer(granted)

    def answer(self, granted: bool) -> VoteResponse:
        durable = self.durable
        return VoteResponse(
            granted=granted,
            promised_term=durable.promised,
            voter=self.name,
            incarnation=self.incarnation,
            is_blank=durable.blank,
            lease_remaining=max(0, max(self.granted_until, self.quiet_until) - self.now),
            state_term=durable.state_epoch,
            state_number=durable.state_number,
            state=durable.state,
            observations=self.seen,
        )

    def keep(self, told: ReplicationRequest, now: int) -> ReplicationResponse:
        """The leader's state, to be kept before anybody is told of it; a leader of older days is refused."""
        self.now = max(self.now, now)
        durable = self.durable
        self.highest = max(self.highest, told.term)
        if told.term < durable.promised:
            return ReplicationResponse(is_stored=False, promised_term=durable.promised, replica=self.name)
        if told.term > durable.promised:
            durable.promised, durable.promised_to = told.term, told.leader
            durable.promised_mark = told.incarnation.nonce
            self.dirty = True
        if (told.term, told.state_number) > (durable.state_epoch, durable.state_number) or durable.blank:
            durable.state_epoch, durable.state_number = told.term, told.state_number
            durable.state = told.state
            durable.blank = False
            self.note(told.leader, told.term, told.state_number)
            # It is flushed now anyway: what is known of the others survives with it, and may unmask an old
            # disk.
            durable.seen = msgspec.json.encode(self.seen).decode()
            self.dirty = True
        return ReplicationResponse(is_stored=True, promised_term=durable.promised, replica=self.name)

    # ---- as a candidate and a leader -------------------------------------------------------------------

    def ask(self, now: int) -> VoteRequest | None:
        """The question to put to all planners, oneself included, where it is time for one."""
        self.now = max(self.now, now)
        if self.now < self.next_ask:
            return None
        if self.durable.blank or not self.sure():
            self.next_ask = self.now + RENEW
            return self.question(0)  # it asks what the others know, and for nothing
        if self.leads(now):
            self.next_ask = self.now + RENEW
            return self.question(self.epoch)
        if self.epoch:
            # Not elected: its own vote is free again, as it will never lead in that epoch. Guards against two
            # that each keep their vote for themselves and so never agree.
            self.epoch = 0
            if self.granted_to[0] == self.name:
                self.granted_until = self.now
            self.next_ask = self.now + self.chance.randrange(2 * JITTER)
            return None
        if self.now < self.granted_until and self.granted_to[0] != self.name:
            self.next_ask = self.granted_until + self.chance.randrange(JITTER)
            return None
        if self.now < self.quiet_until:
            self.next_ask = self.quiet_until + self.chance.randrange(JITTER)
            return None
        self.epoch, self.won = self.next_epoch(), False
        self.grants.clear()
        self.kept_by.clear()
        self.newest = (0, 0, b"")
        self.next_ask = self.now + RENEW
        return self.question(self.epoch)

    def question(self, epoch: int) -> VoteRequest:
        return VoteRequest(
            term=epoch, candidate=self.name, incarnation=self.incarnation, observations=self.seen
        )

    def next_epoch(self) -> int:
        """Above all that was heard of, and never another planner's."""
        place = self.planners.index(self.name)
        return (max(self.highest, self.durable.promised) // WIDTH + 1) * WIDTH + place

    def answered(self, answer: VoteResponse, epoch: int, sent: int, now: int) -> None:
        """`epoch` and `sent` are of the question that this answers."""
        self.now = max(self.now, now)
        if answer.voter != self.name:
            self.meet(answer.voter, self.shows(answer), answer.observations)
        self.highest = max(self.highest, answer.promised_term)
        if self.durable.blank:
            self.learn(answer)
            return
        if not answer.granted or epoch != self.epoch or not epoch:
            return
        self.grants[answer.voter] = max(sent, self.grants.get(answer.voter, 0))
        self.newest = max(self.newest, (answer.state_term, answer.state_number, answer.state))

    def learn(self, answer: VoteResponse) -> None:
        """Blank: once all others have told what they keep, nothing that a majority kept is missing here."""
        if answer.voter == self.name:
            return
        self.told[answer.voter] = answer
        if len(self.told) < len(self.planners) - 1:
            return
        durable = self.durable
        newest = max(self.told.values(), key=lambda one: (one.state_term, one.state_number))
        if (newest.state_term, newest.state_number) > (durable.state_epoch, durable.state_number):
            durable.state_epoch, durable.state_number = newest.state_term, newest.state_number
            durable.state = newest.state
        durable.promised = max(durable.promised, max(one.promised_term for one in self.told.values()))
        durable.blank = False
        self.told.clear()
        self.dirty = True

    def lease_end(self) -> int:
        """Its lease runs from the question that the last of a majority has granted, by the sender's clock."""
        sent = sorted(self.grants.values(), reverse=True)
        return sent[self.majority - 1] + int(LEASE * (1 - DRIFT)) if len(sent) >= self.majority else 0

    def leads(self, now: int) -> bool:
        """Whether it holds the lease at this moment; to be looked at just before each answer."""
        self.now = max(self.now, now)
        if self.epoch and (self.now >= self.lease_end() or self.epoch < self.overtaken):
            if self.won:
                # One that has lapsed is never taken up again: others may have led, and kept more, meanwhile.
                self.epoch, self.won = 0, False
            return False
        self.won = self.epoch > 0
        return self.won

    def outrun(self, epoch: int) -> None:
        """Somebody obeys a higher epoch: this one is over, and the next candidacy begins above it."""
        self.highest = max(self.highest, epoch)
        self.overtaken = max(self.overtaken, epoch)

    def kept(self, answer: ReplicationResponse, number: int) -> bool:
        """Whether that number is kept by a majority now."""
        self.highest = max(self.highest, answer.promised_term)
        if answer.is_stored:
            for old in [one for one in self.kept_by if one < number - KEPT_NUMBERS]:
                del self.kept_by[old]
            self.kept_by.setdefault(number, set()).add(answer.replica)
            self.note(answer.replica, self.epoch, number)
        return len(self.kept_by.get(number, ())) >= self.majority
