"""An explorer of the vote, the fence and the leases: many short histories of messages, crashes and clocks.

Each history is drawn from a seed: messages are lost, doubled, late and out of order; planners stop, pause and
start again, with the disk as it was flushed, an older one or none; clocks start anywhere and go at slightly
different speeds. After each step it is checked, in true time, that

- no two planners hold the lease of leadership at once;
- no member goes back from a newer epoch to an older one, or obeys two planners in one epoch;
- what members may use of the vault adds up to no more than there is;
- what a majority kept is known to whoever leads later, where no more than one disk is lost or old at a time.

A found fault is named with its seed; the same seed finds it again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise

from ..cluster.durable_vote import DurableVote
from ..cluster.election import Election
from ..cluster.election_messages import (
    ReplicationRequest,
    ReplicationResponse,
    VoteRequest,
    VoteResponse,
)
from ..cluster.messages import Message, PlanAssignment, ReportReply
from ..cluster.plan_subscription import PlanSubscription
from ..cluster.quota_leases import QuotaLeases

SECOND = 10_000
SPAN = 20_000  # of a share's lease
PLAN_SPAN = 40_000
TOTAL, KEPT_PART = 12.0, 0.5
SKEW = 0.004  # clocks differ by less than this, either way


class Fault(AssertionError):
    """What must not be: the text says what and where."""


@dataclass(eq=False)
class Node:
    """One planner, with its clock and its disk."""

    name: str
    offset: int
    rate: float
    ballot: Election
    disk: DurableVote
    older: DurableVote
    up: bool = True
    paused_until: int = 0
    shares: QuotaLeases | None = None
    reign: int = 0
    number: int = 0
    kept_number: int = 0
    inbox: list[Callable[[], None]] = field(default_factory=list)

    def clock(self, true: int) -> int:
        return self.offset + int(true * self.rate)


@dataclass(eq=False)
class Seat:
    """One member: what it obeys and may use."""

    name: str
    offset: int
    rate: float
    obey: PlanSubscription
    base: float
    history: list[tuple[int, int]] = field(default_factory=list)
    paused_until: int = 0

    def clock(self, true: int) -> int:
        return self.offset + int(true * self.rate)


class Explorer:
    """One history. `ballot` and `obedience` may be others, with a mistake in them, to show that it is
    found.
    """

    def __init__(
        self,
        seed: int,
        planners: int = 3,
        members: int = 3,
        ballot: type[Election] = Election,
        obedience: type[PlanSubscription] = PlanSubscription,
        forgetful: bool = False,
    ) -> None:
        self.chance = random.Random(seed)
        self.seed, self.true, self.steps = seed, 0, 0
        self.ballot_kind, self.forgetful = ballot, forgetful
        self.names = [f"p{n}" for n in range(planners)]
        self.flight: list[tuple[int, Callable[[], None]]] = []
        self.serial = 0
        self.nodes = {name: self.node(name) for name in self.names}
        bases = {f"m{n}": TOTAL / members for n in range(members)}
        self.bases = bases
        self.seats = {}
        for name, base in bases.items():
            offset = self.chance.randrange(1 << 30)
            obey = obedience(KEPT_PART * base, SECOND, offset)
            self.seats[name] = Seat(name, offset, self.skew(), obey, base)
        self.agreed = (0, 0)  # the newest that a majority kept
        self.calm_until = 0
        self.reigns = 0
        self.most = 0.0

    def skew(self) -> float:
        return 1 + self.chance.uniform(-SKEW, SKEW)

    def node(self, name: str) -> Node:
        offset, rate = self.chance.randrange(1 << 30), self.skew()
        durable = DurableVote()
        ballot = self.made(name, durable, offset + int(self.true * rate))
        return Node(name, offset, rate, ballot, deepcopy(ballot.durable), deepcopy(ballot.durable))

    def made(self, name: str, durable: DurableVote, now: int) -> Election:
        chance = random.Random(self.chance.getrandbits(64))
        return self.ballot_kind(name, self.names, durable, self.chance.getrandbits(48), now, chance)

    # ---- messages --------------------------------------------------------------------------------------

    def post(self, act: Callable[[], None]) -> None:
        """Lost, doubled, late or in time."""
        draw = self.chance.random()
        if draw < 0.12:
            return
        for _ in range(2 if draw > 0.92 else 1):
            late = self.chance.random()
            delay = self.chance.randrange(20, 400) if late < 0.85 else self.chance.randrange(400, 12_000)
            self.flight.append((self.true + delay, act))

    def to_node(self, node: Node, act: Callable[[], None]) -> None:
        """What reaches one that is paused waits for it; one that is down never hears it."""
        life = node.ballot

        def guarded() -> None:
            if not node.up or node.ballot is not life:
                return
            if self.true < node.paused_until:
                node.inbox.append(guarded)
            else:
                act()

        self.post(guarded)

    def flush(self, node: Node) -> None:
        if node.ballot.needs_flush and not self.forgetful:
            if self.chance.random() < 0.1:
                node.older = deepcopy(node.disk)
            node.disk = deepcopy(node.ballot.durable)
        node.ballot.needs_flush = False

    def send(self, node: Node, record: Message) -> None:
        sent = node.clock(self.true)
        for other in self.nodes.values():
            if other is not node:
                self.to_node(other, partial(self.take, other, node, record, sent))

    def take(self, node: Node, sender: Node, record: Message, sent: int) -> None:
        now = node.clock(self.true)
        if isinstance(record, VoteRequest):
            answer = node.ballot.handle_vote_request(record, now)
            answer.observations = deepcopy(answer.observations)
            self.flush(node)
            self.to_node(sender, lambda: self.answered(sender, answer, record.term, sent))
        elif isinstance(record, ReplicationRequest):
            kept = node.ballot.handle_replication_request(record, now)
            self.flush(node)
            self.to_node(sender, lambda: self.kept(sender, kept, record))

    def answered(self, node: Node, answer: VoteResponse, epoch: int, sent: int) -> None:
        node.ballot.handle_vote_response(answer, epoch, sent, node.clock(self.true))
        self.flush(node)

    def kept(self, node: Node, kept: ReplicationResponse, told: ReplicationRequest) -> None:
        if told.term == node.reign and node.ballot.handle_replication_response(kept, told.state_number):
            node.kept_number = max(node.kept_number, told.state_number)
            self.agreed = max(self.agreed, (told.term, told.state_number))

    # ---- planners act ----------------------------------------------------------------------------------

    def act(self, node: Node) -> None:
        now = node.clock(self.true)
        ask = node.ballot.next_vote_request(now)
        if ask is not None:
            ask.observations = deepcopy(ask.observations)
            own = node.ballot.handle_vote_request(ask, now)
            self.flush(node)
            node.ballot.handle_vote_response(own, ask.term, now, now)
            self.send(node, ask)
        if not node.ballot.is_leading(now):
            node.reign = 0
            return
        if node.reign != node.ballot.term:
            node.reign, node.number, node.kept_number = node.ballot.term, 1, 0
            node.shares = QuotaLeases(self.bases, TOTAL, KEPT_PART, SPAN, now)
            self.reigns += 1
            found = node.ballot.newest_state[:2]
            if found < self.agreed:
                raise Fault(f"{node.name} leads with {found}, and a majority kept {self.agreed}")
        elif self.chance.random() < 0.02:
            node.number += 1
        if node.kept_number < node.number and self.chance.random() < 0.3:
            told = ReplicationRequest(
                term=node.reign,
                state_number=node.number,
                leader=node.name,
                incarnation=node.ballot.incarnation,
                state=b"%d" % node.number,
            )
            own_kept = node.ballot.handle_replication_request(told, now)
            self.flush(node)
            self.kept(node, own_kept, told)
            self.send(node, told)

    # ---- members ---------------------------------------------------------------------------------------

    def report(self, seat: Seat) -> None:
        node = self.nodes[self.chance.choice(self.names)]
        sent = seat.clock(self.true)
        held = (
            max(0.0, seat.obey.allowed_calls(sent) - seat.obey.unleased_calls)
            if seat.obey.lease_remaining(sent)
            else 0.0
        )
        wanted = self.chance.choice((0.0, 0.5, 1.0, 2.0, 6.0))
        epoch = seat.obey.term
        self.to_node(node, lambda: self.heard(node, seat, held, wanted, epoch, sent))

    def heard(self, node: Node, seat: Seat, held: float, wanted: float, epoch: int, sent: int) -> None:
        now = node.clock(self.true)
        if epoch > node.ballot.highest_term:
            node.ballot.observe_term(epoch)
        if not node.ballot.is_leading(now) or node.reign != node.ballot.term or not node.kept_number:
            return
        assert node.shares is not None
        share = KEPT_PART * seat.base + node.shares.grant(seat.name, wanted, held, now)
        tell = PlanAssignment(
            term=node.reign,
            number=node.kept_number,
            validity_span=PLAN_SPAN,
            fade_span=SECOND,
            quotas={},
            evacuated_callers=[],
            evacuated_quota=0.0,
            shedding_order=[],
            serving_fraction=1.0,
            is_listed=True,
            is_capacity_short=False,
        )
        reply = ReportReply(
            term=node.reign,
            planner=node.ballot.incarnation,
            is_leading=True,
            assignment=tell,
            call_limit=share,
            lease_span=SPAN,
        )
        self.post(lambda: self.obeyed(seat, reply, sent))

    def obeyed(self, seat: Seat, reply: ReportReply, sent: int) -> None:
        if self.true < seat.paused_until:
            self.flight.append((seat.paused_until, lambda: self.obeyed(seat, reply, sent)))
            return
        if seat.obey.accept(reply, sent, seat.clock(self.true)):
            seat.history.append((reply.term, reply.planner.nonce))

    # ---- trouble ---------------------------------------------------------------------------------------

    def trouble(self) -> None:
        node = self.nodes[self.chance.choice(self.names)]
        draw = self.chance.random()
        if not node.up:
            if draw < 0.5:
                self.start(node)
        elif draw < 0.35:
            node.up = False
            node.inbox.clear()
        elif draw < 0.7:
            node.paused_until = self.true + self.chance.randrange(500, 40_000)
        else:
            seat = self.seats[self.chance.choice(list(self.seats))]
            seat.paused_until = self.true + self.chance.randrange(500, 60_000)

    def start(self, node: Node) -> None:
        """With the disk as it was flushed; now and then an older one, or none, if the others' are whole."""
        draw = self.chance.random()
        others = [one for one in self.nodes.values() if one is not node]
        whole = all(
            one.up and not one.ballot.durable.is_blank and one.paused_until < self.true for one in others
        )
        if draw < 0.6 and whole:
            # One disk at a time: nothing else fails until it had the time to hear of it.
            node.disk = DurableVote() if draw < 0.2 else deepcopy(node.older)
            self.calm_until = self.true + 4 * SECOND
        node.up = True
        node.ballot = self.made(node.name, deepcopy(node.disk), node.clock(self.true))
        node.reign = node.kept_number = 0
        node.paused_until = 0
        self.flush(node)

    # ---- one history -----------------------------------------------------------------------------------

    def run(self, steps: int) -> Explorer:
        for _ in range(steps):
            self.step()
        return self

    def step(self) -> None:
        self.steps += 1
        self.true += self.chance.randrange(10, 300)
        due = [entry for entry in self.flight if entry[0] <= self.true]
        self.flight = [entry for entry in self.flight if entry[0] > self.true]
        self.chance.shuffle(due)
        for _, act in due:
            act()
        for node in self.nodes.values():
            if node.up and self.true >= node.paused_until:
                waiting, node.inbox = node.inbox, []
                for act in waiting:
                    act()
                self.act(node)
        for seat in self.seats.values():
            if self.true >= seat.paused_until and self.chance.random() < 0.3:
                self.report(seat)
        if self.true >= self.calm_until and self.chance.random() < 0.01:
            self.trouble()
        self.check()

    def check(self) -> None:
        lead = [
            one.name for one in self.nodes.values() if one.up and one.ballot.is_leading(one.clock(self.true))
        ]
        if len(lead) > 1:
            raise Fault(f"seed {self.seed}, step {self.steps}: {lead} lead at once")
        used = sum(seat.obey.allowed_calls(seat.clock(self.true)) for seat in self.seats.values())
        self.most = max(self.most, used)
        if used > TOTAL + 1e-6:
            raise Fault(f"seed {self.seed}, step {self.steps}: {used:.2f} calls of {TOTAL:g} may be in hand")
        authors: dict[int, int] = {}
        for seat in self.seats.values():
            for (a, _), (b, _) in pairwise(seat.history):
                if b < a:
                    raise Fault(
                        f"seed {self.seed}, step {self.steps}: {seat.name} went from epoch {a} to {b}"
                    )
            for epoch, mark in seat.history:
                if authors.setdefault(epoch, mark) != mark:
                    raise Fault(f"seed {self.seed}, step {self.steps}: two are obeyed in epoch {epoch}")
            seat.history = seat.history[-2:]


def explore(seeds: range, steps: int, **more: object) -> dict[str, int]:
    """Histories one after the other; how many steps and reigns they had. Fault at the first that must not
    be.
    """
    total = {"histories": 0, "steps": 0, "reigns": 0}
    for seed in seeds:
        done = Explorer(seed, **more).run(steps)  # type: ignore[arg-type]
        total["histories"] += 1
        total["steps"] += done.steps
        total["reigns"] += done.reigns
    return total
