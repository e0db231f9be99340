"""Messages of rollouts: operators' commands, their results, reports, and the replicated states.

The keys appear on the wire, in the commands' JSON output and in stored states, and never change; a class's
`rename` maps attributes with another name.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from .canary_metrics import MetricReport
from .messages import Count, Message, Text
from .rollout_types import RolloutRecord, RolloutSpec


class RolloutAction(Enum):
    """Operators' commands on rollouts; the values are sent on the wire."""

    START = "start"
    STATUS = "status"
    HALT = "halt"
    RESUME = "resume"
    ROLL_BACK = "back"
    HISTORY = "history"


READ_ACTIONS = (RolloutAction.STATUS, RolloutAction.HISTORY)  # answered by any planner, not only the leader


class RolloutCommand(Message, rename={"action": "what", "operator": "who", "reason": "why", "spec": "plan"}):
    """A command of an operator.

    Attributes:
        action: What to do.
        number: Number of the rollout; 0 selects all rollouts to halt or report, and the only halted one to
            resume or roll back.
        operator: Name of the operator.
        reason: Why the operator gives the command.
        spec: The release file of a rollout to start.
    """

    action: RolloutAction
    number: Count = 0
    operator: Text = ""
    reason: Text = ""
    spec: RolloutSpec | None = None


class CommandResult(Message, rename={"accepted": "done", "reason": "why"}):
    """The result of a command: the number of the rollout, or why the command was refused."""

    accepted: bool
    number: Count = 0
    reason: str = ""


class RolloutStates(Message, rename={"last_number": "number", "records": "courses"}):
    """The state of all rollouts that the leader replicates, the oldest rollout first."""

    last_number: Count = 0
    records: list[RolloutRecord] = msgspec.field(default_factory=list)


class RolloutReport(
    msgspec.Struct,
    rename={
        "previous_version": "before",
        "reason": "why",
        "version_is_bad": "bad",
        "progress": "doing",
        "excluded": "left_out",
        "metrics": "figures",
    },
):
    """A report on one rollout for operators.

    Attributes:
        number: Number of the rollout.
        version: The new version.
        previous_version: The version before.
        phase: Value of its `RolloutPhase`.
        reason: Why it is in that phase.
        version_is_bad: Whether the new version was found bad.
        batch: Number of the current batch, from 1.
        batches: Number of batches.
        members: Number of members.
        released: Number of members in the new version.
        progress: What the rollout waits for.
        excluded: Members that start in neither version.
        metrics: Comparisons of the batch that is watched.
        verdict: The reason for the verdict on the batch.
        history: One line for each event, the oldest first; omitted unless it was requested.
    """

    number: int
    version: str
    previous_version: str
    phase: str
    reason: str
    version_is_bad: bool
    batch: int
    batches: int
    members: int
    released: int
    progress: str
    excluded: list[str]
    metrics: list[MetricReport]
    verdict: str
    history: list[str] | msgspec.UnsetType = msgspec.UNSET
