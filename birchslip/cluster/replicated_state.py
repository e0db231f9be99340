"""The state that the leader replicates to a majority of planners before it acts on it.

Defines only the format. The keys are those of states already stored by planners: attributes may be renamed,
keys may not.
"""

from __future__ import annotations

import msgspec

from ..errors import BirchslipError
from .disruption_types import BudgetState
from .messages import Count, Message, Name, Rate, Span, Text
from .recovery_ramp import RecoveryRamp, RecoveryStage
from .rollout_messages import RolloutStates

MAX_REASON_LENGTH = 400  # characters, the limit of `Text`


class UnreadableStateError(BirchslipError):
    """A stored state that this version can't decode, as it is of a later version or damaged.

    Attributes:
        reason: The decoder's error.
    """

    def __init__(self, reason: str) -> None:
        """Initialize the error with the decoder's message."""
        super().__init__(f"the replicated state can't be decoded: {reason}")
        self.reason = reason


class SiteState(
    Message,
    rename={
        "flap_count": "flaps",
        "evacuated_by_operator": "by_hand",
        "reason": "why",
        "min_step_duration": "hold",
    },
):
    """Stored state of a site that does not serve all of its load, or has flapped.

    The fields other than `load` are those of `RecoveryRamp`.

    Attributes:
        load: The usual load of the site by tenant, in requests per second.
    """

    stage: Name
    step: Count
    flap_count: Count
    evacuated_by_operator: bool
    reason: Text
    load: dict[Name, Rate]
    min_step_duration: Span

    @classmethod
    def from_ramp(cls, ramp: RecoveryRamp, load: dict[str, float]) -> SiteState:
        """Return the state to store of a site's ramp and its usual load."""
        return cls(
            stage=ramp.stage.value,
            step=ramp.step,
            flap_count=ramp.flap_count,
            evacuated_by_operator=ramp.evacuated_by_operator,
            reason=ramp.reason[:MAX_REASON_LENGTH],
            load=load,
            min_step_duration=ramp.min_step_duration,
        )

    def to_ramp(self, site: str, now: int) -> RecoveryRamp:
        """Return the stored ramp with its stage entered at `now`, as clock times are not stored."""
        return RecoveryRamp(
            site=site,
            stage=RecoveryStage(self.stage),
            step=self.step,
            since=now,
            flap_count=self.flap_count,
            min_step_duration=self.min_step_duration,
            evacuated_by_operator=self.evacuated_by_operator,
            reason=self.reason,
        )


class ReplicatedState(Message, rename={"rollouts": "releases"}):
    """The whole state that the leader replicates."""

    sites: dict[Name, SiteState] = msgspec.field(default_factory=dict)
    permits: BudgetState = msgspec.field(default_factory=BudgetState)
    rollouts: RolloutStates = msgspec.field(default_factory=RolloutStates)


def encode_state(state: ReplicatedState) -> bytes:
    """Encode a state as the bytes that planners store."""
    return msgspec.json.encode(state)


def decode_state(raw: bytes) -> ReplicatedState:
    """Decode a stored state; return an empty one if nothing was stored yet.

    Raises:
        UnreadableStateError: If the bytes are not a state of this version.
    """
    if not raw:
        return ReplicatedState()
    try:
        return msgspec.json.decode(raw, type=ReplicatedState)
    except msgspec.DecodeError as error:
        raise UnreadableStateError(str(error)) from None
