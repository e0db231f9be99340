"""The state that a majority of planners stores, as the leader replicates it before it acts on it.

Only the form is defined here. The keys are those of disks in the field: attributes may be renamed, keys may
not.
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
    """A stored state that this version can't decode: it is of a later version or damaged.

    Attributes:
        reason: What the decoder found.
    """

    def __init__(self, reason: str) -> None:
        """Takes what the decoder found."""
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
    """A site that does not carry all of its load, or has flapped; see `RecoveryRamp` for the fields.

    Attributes:
        load: The usual load of the site by tenant, in requests a second.
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
        """Returns what is to be stored of a site."""
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
        """Returns the stored ramp, its stage entered `now`: no time of another machine's clock is stored."""
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
    """All that the leader has a majority store."""

    sites: dict[Name, SiteState] = msgspec.field(default_factory=dict)
    permits: BudgetState = msgspec.field(default_factory=BudgetState)
    rollouts: RolloutStates = msgspec.field(default_factory=RolloutStates)


def encode_state(state: ReplicatedState) -> bytes:
    """Returns the bytes that planners store."""
    return msgspec.json.encode(state)


def decode_state(raw: bytes) -> ReplicatedState:
    """Returns a stored state; an empty one if nothing was stored yet.

    Raises:
        UnreadableStateError: It is not of this version's form.
    """
    if not raw:
        return ReplicatedState()
    try:
        return msgspec.json.decode(raw, type=ReplicatedState)
    except msgspec.DecodeError as error:
        raise UnreadableStateError(str(error)) from None
