"""Carries out a planner's election and replication: stores, sends to the other planners, counts responses.

Owns the order in which that happens: what a response or a reply rests on is on this planner's disk before it
is sent, and stored by a quorum before a member or an operator learns of it. Who leads and what the state is
are decided by `election.py` and `planner_state.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

from ..errors import InvalidInputError, StoreWriteError
from ..net.counters import Counters
from ..net.log import Log
from ..net.scheduler import Scheduler
from .election import Election
from .election_messages import (
    ReplicationRequest,
    ReplicationResponse,
    VoteRequest,
    VoteResponse,
)
from .election_store import ElectionStore
from .messages import Message, decode
from .peer_channel import PeerChannel, PlannerMethod
from .planner_state import PlannerState
from .transport import DeferredReply, PeerConnection

REPLICATION_RETRY_INTERVAL = 2_500  # 250 ms
MAX_SUSPECTS = 64  # members named in one vote request


@dataclass(frozen=True, slots=True)
class PendingReply:
    """A reply that waits until a quorum has stored the state that it confirms."""

    term: int
    state_number: int
    response: bytes
    reply: DeferredReply


class StateReplicator:
    """One planner's side of the election and of the replication of its state."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        store: ElectionStore,
        election: Election,
        state: PlannerState,
        peers: Mapping[str, PeerConnection],
        on_replicated: Callable[[], None],
    ) -> None:
        """Sets it up.

        Args:
            scheduler: Runs the tasks and gives the time.
            counters: What is counted for operators.
            log: Where failures go.
            store: Where the vote is stored.
            election: Decides on votes.
            state: Decides on plans.
            peers: Connections to the other planners, by name.
            on_replicated: Called each time a quorum has stored the newest state.
        """
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.store = store
        self.election = election
        self.state = state
        self.on_replicated = on_replicated
        self.channels = [
            PeerChannel(name, connection, scheduler, log, self.handle_response)
            for name, connection in peers.items()
        ]
        self.replicating_number = 0
        self.next_retry_at = 0
        self.pending_replies: list[PendingReply] = []

    def flush(self) -> None:
        """Stores the vote if it has changed; to be called before anything is sent that rests on it.

        Raises:
            StoreWriteError: If it could not be stored: nothing may be sent.
        """
        if not self.election.needs_flush:
            return
        try:
            self.store.save(self.election.durable)
        except StoreWriteError as error:
            self.counters.count("disk.failed")
            self.log.fault("vote_store_failed", why=str(error))
            raise
        self.counters.count("disk.flushes")
        self.election.needs_flush = False

    # ---- requests to the other planners ----------------------------------------------------------------

    def request_votes(self, now: int) -> None:
        """Sends a vote request, if one is due."""
        request = self.election.next_vote_request(now)
        if request is None:
            return
        self.counters.count("vote.asked")
        own_response = self.election.handle_vote_request(request, now)
        self.flush()
        self.election.handle_vote_response(own_response, request.term, now, now)
        request.suspects = [member.name for member in self.state.probes.suspected][:MAX_SUSPECTS]
        self.send_to_all(PlannerMethod.VOTE, request)

    def replicate(self, now: int) -> None:
        """Sends the newest state, if a quorum has not stored it yet and it is time to."""
        request = self.state.replication_request()
        if request is None:
            return
        if request.state_number == self.replicating_number and now < self.next_retry_at:
            return
        self.replicating_number = request.state_number
        self.next_retry_at = now + REPLICATION_RETRY_INTERVAL
        self.counters.count("keep.told")
        own_response = self.election.handle_replication_request(request, now)
        # A leader that can't store its state is no replica of it; the others may still form a quorum.
        with suppress(StoreWriteError):
            self.flush()
            if self.election.handle_replication_response(own_response, request.state_number):
                self.state.mark_replicated(request.state_number)
                self.on_replicated()
        self.send_to_all(PlannerMethod.REPLICATE, request)

    def send_to_all(self, method: PlannerMethod, request: Message) -> None:
        """Sends a request to all other planners."""
        for channel in self.channels:
            channel.send(method, request)

    # ---- their responses -------------------------------------------------------------------------------

    def handle_response(self, request: Message, raw: bytes, sent: int) -> None:
        """Takes in another planner's response to a request that was sent at a time."""
        now = self.scheduler.update_clock()
        if isinstance(request, VoteRequest):
            self.handle_vote_response(request, decode(raw, VoteResponse), sent, now)
        elif isinstance(request, ReplicationRequest):
            self.handle_replication_response(request, decode(raw, ReplicationResponse))

    def handle_vote_response(self, request: VoteRequest, response: VoteResponse, sent: int, now: int) -> None:
        """Counts a vote, and takes in which suspects the voter hears."""
        self.election.handle_vote_response(response, request.term, sent, now)
        if response.granted:
            self.state.membership.mark_heard_by_peers(response.heard_suspects, now)
        self.flush()

    def handle_replication_response(self, request: ReplicationRequest, response: ReplicationResponse) -> None:
        """Counts a replica; once a quorum has stored the state, what waits for it is sent."""
        self.counters.count("keep.kept" if response.is_stored else "keep.refused")
        if request.term != self.state.leadership.term:
            return
        if self.election.handle_replication_response(response, request.state_number):
            self.state.mark_replicated(request.state_number)
            self.complete_replies()
            self.on_replicated()

    # ---- replies that wait for a quorum ----------------------------------------------------------------

    def reply_when_replicated(self, state_number: int, response: bytes, now: int) -> bytes | DeferredReply:
        """Returns the response once a quorum has stored that state, else a deferred one."""
        if state_number <= self.state.leadership.replicated_version:
            return response
        reply = DeferredReply()
        self.pending_replies.append(PendingReply(self.state.leadership.term, state_number, response, reply))
        self.replicate(now)
        self.complete_replies()
        return reply

    def complete_replies(self) -> None:
        """Sends the replies whose state is stored by a quorum, and an error for those of an earlier term."""
        waiting = []
        for pending in self.pending_replies:
            if pending.term != self.state.leadership.term:
                pending.reply.complete(InvalidInputError("no longer the leader: ask the next one"))
            elif pending.state_number <= self.state.leadership.replicated_version:
                pending.reply.complete(pending.response)
            else:
                waiting.append(pending)
        self.pending_replies = waiting
