"""The I/O of a planner's election and replication: stores votes, sends requests to peers, counts responses.

Owns the order of these steps. The state that a response depends on is on this planner's disk before the
response is sent, and a quorum has stored it before a member or an operator receives it. `election.py` and
`planner_state.py` decide which planner leads and what the state is.
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

REPLICATION_RETRY_INTERVAL = 2_500  # 250 ms, after which an unconfirmed state is sent again
MAX_SUSPECTS = 64  # members named in one vote request


@dataclass(frozen=True, slots=True)
class PendingReply:
    """A reply that waits until a quorum has stored the state that it confirms.

    Attributes:
        term: Term of that state.
        state_number: Number of that state.
        response: The encoded response.
        reply: Sends the response.
    """

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
        """Create the channels to the other planners.

        Args:
            scheduler: Runs the tasks and provides the time.
            counters: Counters for operators.
            log: Receives failures.
            store: Stores the vote.
            election: Decides on votes.
            state: Decides on plans and provides the state to replicate.
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
        """Store the vote if it has changed; call this before a message that depends on it is sent.

        Raises:
            StoreWriteError: If the vote could not be stored; no such message may be sent then.
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
        """Send a vote request to all planners if one is due, and count this planner's own vote.

        Raises:
            StoreWriteError: If the vote could not be stored; no request is sent then.
        """
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
        """Send the newest state to all planners unless a quorum has stored it or it was sent recently."""
        request = self.state.replication_request()
        if request is None:
            return
        if request.state_number == self.replicating_number and now < self.next_retry_at:
            return
        self.replicating_number = request.state_number
        self.next_retry_at = now + REPLICATION_RETRY_INTERVAL
        self.counters.count("keep.told")
        own_response = self.election.handle_replication_request(request, now)
        # A leader that can't store its state does not count as a replica; the others may still form a quorum.
        with suppress(StoreWriteError):
            self.flush()
            if self.election.handle_replication_response(own_response, request.state_number):
                self.state.mark_replicated(request.state_number)
                self.on_replicated()
        self.send_to_all(PlannerMethod.REPLICATE, request)

    def send_to_all(self, method: PlannerMethod, request: Message) -> None:
        """Send a request to all other planners."""
        for channel in self.channels:
            channel.send(method, request)

    # ---- responses of the other planners ---------------------------------------------------------------

    def handle_response(self, request: Message, raw: bytes, sent: int) -> None:
        """Handle another planner's response to a request; `sent` is when the request was sent.

        Raises:
            InvalidInputError: If the response is malformed.
            StoreWriteError: If the vote could not be stored.
        """
        now = self.scheduler.update_clock()
        if isinstance(request, VoteRequest):
            self.handle_vote_response(request, decode(raw, VoteResponse), sent, now)
        elif isinstance(request, ReplicationRequest):
            self.handle_replication_response(request, decode(raw, ReplicationResponse))

    def handle_vote_response(self, request: VoteRequest, response: VoteResponse, sent: int, now: int) -> None:
        """Handle a vote response; if the vote is granted, record which suspects report to the voter.

        Raises:
            StoreWriteError: If what the response has changed could not be stored.
        """
        self.election.handle_vote_response(response, request.term, sent, now)
        if response.granted:
            self.state.membership.mark_reported_by_peers(response.heard_suspects, now)
        self.flush()

    def handle_replication_response(self, request: ReplicationRequest, response: ReplicationResponse) -> None:
        """Count a replica; once a quorum has stored the state, send the replies that wait for it."""
        self.counters.count("keep.kept" if response.is_stored else "keep.refused")
        if request.term != self.state.leadership.term:
            return
        if self.election.handle_replication_response(response, request.state_number):
            self.state.mark_replicated(request.state_number)
            self.complete_replies()
            self.on_replicated()

    # ---- deferred replies ------------------------------------------------------------------------------

    def reply_when_replicated(self, state_number: int, response: bytes, now: int) -> bytes | DeferredReply:
        """Return the response if a quorum has stored that state, else a reply that is sent once it has."""
        if state_number <= self.state.leadership.replicated_version:
            return response
        reply = DeferredReply()
        self.pending_replies.append(PendingReply(self.state.leadership.term, state_number, response, reply))
        self.replicate(now)
        self.complete_replies()
        return reply

    def complete_replies(self) -> None:
        """Send the replies whose state a quorum has stored, and an error for those of an earlier term."""
        waiting = []
        for pending in self.pending_replies:
            if pending.term != self.state.leadership.term:
                pending.reply.complete(InvalidInputError("no longer the leader: ask the next one"))
            elif pending.state_number <= self.state.leadership.replicated_version:
                pending.reply.complete(pending.response)
            else:
                waiting.append(pending)
        self.pending_replies = waiting
