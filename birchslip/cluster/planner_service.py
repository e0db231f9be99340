"""The requests that a planner serves: from members, other planners and operators.

Decodes each request, passes it to the planner's state and encodes the reply. Tracks the member of each
connection, so that a member whose last connection breaks is suspected immediately.
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
    """The request was refused, as only the leader accepts it.

    Attributes:
        leader: The planner that is believed to lead; empty if none is known.
    """

    def __init__(self, leader: str) -> None:
        """Initialize the error with the name of the leader, if that is known."""
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
        """Create the service.

        Args:
            scheduler: Provides the time.
            counters: Counters for operators.
            log: Receives failures.
            state: Decides on reports and commands.
            replicator: Stores votes and states, and defers replies until a quorum has stored them.
        """
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
        """Handle one request.

        Raises:
            InvalidInputError: If the request is malformed or refused; the text is sent to the client.
            StoreWriteError: If the vote could not be stored.
        """
        handler = self.handlers.get(method)
        if handler is None:
            raise InvalidInputError(f"no such method: {method[:METHOD_LIMIT]!r}")
        return handler(connection, value, self.scheduler.update_clock())

    # ---- members ---------------------------------------------------------------------------------------

    def handle_report(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Handle a member's report; the reply contains the member's part of the plan."""
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
        """Forget the member of a closed connection."""
        self.forget_reporter(connection)

    def forget_reporter(self, connection: IncomingConnection) -> None:
        """Remove a connection's member, and suspect the member if it has no other connection."""
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
        """Handle a vote request; the response lists the suspects that report to this planner."""
        request = decode(value, VoteRequest)
        response = self.replicator.election.handle_vote_request(request, now)
        self.replicator.flush()
        if response.granted:
            self.counters.count("vote.granted")
        response.heard_suspects = self.state.members_reporting_here(request.suspects, now)
        return encode(response)

    def handle_replication_request(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Handle the leader's request to store its state."""
        request = decode(value, ReplicationRequest)
        response = self.replicator.election.handle_replication_request(request, now)
        self.replicator.flush()
        return encode(response)

    # ---- operators -------------------------------------------------------------------------------------

    def handle_operator_command(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Show the fleet, forecast the loss of a site or change a site; only the leader changes sites."""
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
            done = self.state.end_site_evacuation(command.site, command.operator, now)
        self.counters.count("wishes.taken")
        return msgspec.json.encode({"done": done, "site": command.site, "what": command.operation})

    def handle_eviction_request(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Handle a request to the disruption budget.

        The reply is sent once a quorum has stored the state, so that the next leader knows every permit that
        was confirmed. If this planner loses its leadership before that, the reply is an error.
        """
        request = decode(value, EvictionRequest)
        self.require_leadership(now, "wants")
        self.counters.count("wants.taken")
        state_number, response = self.state.handle_eviction(request, now)
        return self.replicator.reply_when_replicated(state_number, encode(response), now)

    def handle_rollout_command(self, connection: IncomingConnection, value: bytes, now: int) -> Reply:
        """Show rollouts or change one; only the leader changes rollouts."""
        command = decode(value, RolloutCommand)
        if command.action in READ_ACTIONS:
            shown = rollouts_status(self.state, now, command.number, command.action is RolloutAction.HISTORY)
            return msgspec.json.encode({"leads": self.state.is_effective_leader(now), "releases": shown})
        self.require_leadership(now, "wants")
        self.counters.count("wants.taken")
        state_number, result = self.state.handle_rollout_command(command, now)
        return self.replicator.reply_when_replicated(state_number, encode(result), now)

    def require_leadership(self, now: int, counter_group: str) -> None:
        """Check that this planner leads, as a request that changes the state requires.

        Raises:
            NotLeaderError: If this planner does not lead; counted under `counter_group`.
        """
        if not self.state.is_effective_leader(now):
            self.counters.count(f"{counter_group}.refused")
            raise NotLeaderError(self.state.leader_name(now))
