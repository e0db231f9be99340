"""Messages of rollouts: commands of operators, their results, reports, and the replicated states.

Owns no decision. The keys are those of the wire, of the commands' JSON output and of stored states, and never
change; attributes that have another name are mapped in each class's `rename`.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from .canary_metrics import MetricReport
from .messages import Count, Message, Text
from .rollout_types import RolloutRecord, RolloutSpec


class RolloutAction(Enum):
    """What an operator can command; the values are those of the wire."""

    START = "start"
    STATUS = "status"
    HALT = "halt"
    RESUME = "resume"
    ROLL_BACK = "back"
    HISTORY = "history"


READ_ACTIONS = (RolloutAction.STATUS, RolloutAction.HISTORY)  # any planner answers them


class RolloutCommand(Message, rename={"action": "what", "operator": "who", "reason": "why", "spec": "plan"}):
    """A command of an operator.

    Attributes:
        action: What to do.
        number: Of the rollout; 0 means the only one it can be meant of, or all of them to halt.
        operator: Who commands it.
        reason: Why.
        spec: The release file, to start one.
    """

    action: RolloutAction
    number: Count = 0
    operator: Text = ""
    reason: Text = ""
    spec: RolloutSpec | None = None


class CommandResult(Message, rename={"accepted": "done", "reason": "why"}):
    """What came of a command: the number of the rollout, or why it was refused."""

    accepted: bool
    number: Count = 0
    reason: str = ""


class RolloutStates(Message, rename={"last_number": "number", "records": "courses"}):
    """All rollouts as the leader replicates them, the oldest first."""

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
    """One rollout as operators see it.

    Attributes:
        number: Number of the rollout.
        version: The new version.
        previous_version: The version before.
        phase: Value of its `RolloutPhase`.
        reason: Why it is in that phase.
        version_is_bad: Whether the new version was found bad.
        batch: The batch under way, from 1.
        batches: How many there are.
        members: How many members it has.
        released: How many of them are in the new version.
        progress: What it waits for.
        excluded: Members that start in neither version.
        metrics: Comparisons of the batch that is watched.
        verdict: The reason of their verdict.
        history: One line for each event, if it was requested.
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
