"""The requests that a planner serves: of members, of other planners and of operators.

Decodes each request, has it decided and encodes the reply. Owns which connection belongs to which member, so
that a member whose last connection breaks is suspected at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.scheduler import Scheduler
from .election_messages import ReplicationRequest, VoteRequest
from .messages import (
    EvictionRequest,
    Incarnation,
    MemberReport,
    OperatorCommand,
    OperatorOperation,
    decode,
    encode,
)
from .operator_views import fleet_status, rollouts_status, site_loss_forecast
from .peer_channel import PlannerMethod
from .planner_state import PlannerState
from .rollout_messages import READ_ACTIONS, RolloutAction, RolloutCommand
from .state_replicator import StateReplicator
from .transport import DeferredReply, IncomingConnection

METHOD_LIMIT = 40  # characters of an unknown method's name in an error

Reply = bytes | DeferredReply


class NotLeaderError(InvalidInputError):
    """Only the leader takes this request.

    Attributes:
        leader: The planner that is believed to lead; empty if none is known.
    """

    def __init__(self, leader: str) -> None:
        """Names the leader, if it is known."""
        super().__init__(f"not the leader: ask {leader or 'again soon'}")
        self.leader = leader


class MemberRun(NamedTuple):
    """One run of a member's process."""

    name: str
    incarnation: Incarnation


class PlannerService:
    """Handles the requests of one planner's endpoint."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        state: PlannerState,
        replicator: StateReplicator,
    ) -> None:
        """Sets it up with what decides on the requests."""
        self.scheduler = scheduler
        self.counters = counters
        self.log = log
        self.state = state
        self.replicator = replicator
        self.reporters: dict[IncomingConnection, MemberRun] = {}
        self.member_connections: defaultdict[str, set[IncomingConnection]] = defaultdict(set)
        self.handlers: dict[str, Callable[[IncomingConnection, bytes, int], Reply]] = {
            PlannerMethod.REPORT: self.handle_report,
            PlannerMethod.VOTE: self.handle_vote_request,
            PlannerMethod.REPLICATE: self.handle_replication_request,
            PlannerMethod.OPERATOR_COMMAND: self.handle_operator_command,
            PlannerMethod.EVICTION: self.handle_eviction_request,
            PlannerMethod.ROLLOUT: self.handle_rollout_command,
        }

    def handle(self, connection: IncomingConnection, method: str, value: bytes) -> Reply:
        """Handles one request.

        Raises:
            InvalidInputError: If it is malformed or refused; the text goes to the other side.
            StoreWriteError: If the vote could not be stored.
        """
        handler = self.handlers.get(method)
        if handler is None:
            raise InvalidInputError(f"no such method: {method[:METHOD_LIMIT]!r}")
        return handler(connection, value, self.scheduler.update_clock())

    # ---- members ---------------------------------------------------------------------------------------

    def handle_report(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Handles a member's report and replies with its part of the plan."""
        self.counters.count("members.reports")
        try:
            report = decode(value, MemberReport)
        except InvalidInputError as error:
            self.counters.count("members.malformed")
            self.log.fault("malformed_report", why=str(error))
            raise
        reply = self.state.receive_report(report, now)
        known = self.reporters.get(connection)
        if known is None or known.incarnation != report.incarnation:
            self.forget_reporter(connection)
            self.reporters[connection] = MemberRun(report.name, report.incarnation)
            self.member_connections[report.name].add(connection)
        return encode(reply)

    def handle_close(self, connection: IncomingConnection, reason: str) -> None:
        """Handles the end of a connection."""
        self.forget_reporter(connection)

    def forget_reporter(self, connection: IncomingConnection) -> None:
        """Drops a connection's member, which is suspected if it has no other connection."""
        run = self.reporters.pop(connection, None)
        if run is None:
            return
        others = self.member_connections[run.name]
        others.discard(connection)
        if not any(self.reporters[other] == run for other in others):
            self.counters.count("members.broken")
            self.state.membership.mark_disconnected(run.name, run.incarnation)

    # ---- other planners --------------------------------------------------------------------------------

    def handle_vote_request(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Votes, and lists which suspects this planner hears."""
        request = decode(value, VoteRequest)
        response = self.replicator.election.handle_vote_request(request, now)
        self.replicator.flush()
        if response.granted:
            self.counters.count("vote.granted")
        response.heard_suspects = self.state.members_heard_here(request.suspects, now)
        return encode(response)

    def handle_replication_request(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Stores the leader's state."""
        request = decode(value, ReplicationRequest)
        response = self.replicator.election.handle_replication_request(request, now)
        self.replicator.flush()
        return encode(response)

    # ---- operators -------------------------------------------------------------------------------------

    def handle_operator_command(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Shows the fleet, or changes a site; only the leader does the latter."""
        command = decode(value, OperatorCommand)
        if command.operation is OperatorOperation.SHOW:
            return msgspec.json.encode(fleet_status(self.state, now))
        if command.site not in self.state.sites.ramps:
            known = ", ".join(self.state.sites.ramps)
            raise InvalidInputError(f"no site is named {command.site!r}; there are {known}")
        if command.operation is OperatorOperation.WHAT_IF:
            return msgspec.json.encode(site_loss_forecast(self.state, command.site))
        self.require_leadership(now, "wishes")
        if command.operation is OperatorOperation.EVACUATE:
            done = self.state.evacuate_site(command.site, command.operator, command.reason, now)
        else:
            done = self.state.return_site(command.site, command.operator, now)
        self.counters.count("wishes.taken")
        return msgspec.json.encode({"done": done, "site": command.site, "what": command.operation})

    def handle_eviction_request(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Requests a permit of the disruption budget.

        The reply waits for a quorum; one that loses its leadership meanwhile says so, and the next leader
        knows of a permit that was granted.
        """
        request = decode(value, EvictionRequest)
        self.require_leadership(now, "wants")
        self.counters.count("wants.taken")
        state_number, response = self.state.handle_eviction(request, now)
        return self.replicator.reply_when_replicated(state_number, encode(response), now)

    def handle_rollout_command(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Shows rollouts, or changes one; only the leader does the latter."""
        command = decode(value, RolloutCommand)
        if command.action in READ_ACTIONS:
            shown = rollouts_status(self.state, now, command.number, command.action is RolloutAction.HISTORY)
            return msgspec.json.encode({"leads": self.state.is_effective_leader(now), "releases": shown})
        self.require_leadership(now, "wants")
        self.counters.count("wants.taken")
        state_number, result = self.state.handle_rollout_command(command, now)
        return self.replicator.reply_when_replicated(state_number, encode(result), now)

    def require_leadership(self, now: int, counter_group: str) -> None:
        """Refuses a request that changes something unless this planner leads.

        Raises:
            NotLeaderError: If it does not.
        """
        if not self.state.is_effective_leader(now):
            self.counters.count(f"{counter_group}.refused")
            raise NotLeaderError(self.state.leader_name(now))
