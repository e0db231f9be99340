"""The disruption budget: grants eviction permits to members within nested or overlapping budgets.

A group is a set of members (a site, the whole fleet) with a bound on how many may be unavailable and on the
capacity that has to stay. Planned and unplanned unavailability count alike. Only the leader decides, and it
reports a grant only once a majority of planners has stored it, so a minority grants nothing. The model is
that of pod disruption budgets in Kubernetes, with permits that are held by one incarnation of a member.

- A permit ends when its holder is observed in service in a later incarnation, when its holder releases it, or
  when it is revoked. It never expires, because a member that no longer reports is still unavailable.
- A repeated request returns the same permit. Another incarnation of the holder gets no permit until the
  earlier incarnation's permit has ended.
- Waiters are served in the order of arrival. A later waiter is granted first only if that takes no place in
  any group from an earlier one, so no waiter starves.
- A budget that is lowered below what is already unavailable grants nothing until enough members are back.
- An override has a requester, a reason, a number of members and a duration, and enters the audit log.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from .disruption_tally import BudgetIndex, DisruptionTally
from .disruption_types import (
    BudgetGroup,
    BudgetOverride,
    BudgetState,
    EvictionDecision,
    EvictionWaiter,
    MemberObservation,
    Permit,
    UnavailabilityReason,
)
from .messages import Incarnation

MAX_AUDIT_LINES = 256
MAX_AUDIT_LINE_LENGTH = 400  # characters
MAX_OVERRIDE_MEMBERS = 3
MAX_OVERRIDE_SPAN = 3_600 * 10_000  # an hour, in tenths of a millisecond
MAX_WAITERS = 1_024


class DisruptionBudget:
    """Grants, queues and ends permits.

    The argument `observations` of its methods has the current observation of every member and service.

    Attributes:
        state: The replicated permits, waiters, overrides and audit log.
        index: The groups of each member, and the members that depend on each service.
    """

    def __init__(
        self,
        groups: list[BudgetGroup],
        state: BudgetState | None = None,
        dependencies: Mapping[str, Iterable[str]] | None = None,
    ) -> None:
        """Start with a stored `state`; `dependencies` are the downstream services that members require."""
        self.state = state if state is not None else BudgetState()
        self.index = BudgetIndex(groups, dependencies or {})

    @property
    def groups(self) -> list[BudgetGroup]:
        """The groups in force."""
        return self.index.groups

    @property
    def groups_of(self) -> Mapping[str, list[BudgetGroup]]:
        """The groups of each member."""
        return self.index.groups_of

    @property
    def dependencies(self) -> Mapping[str, Iterable[str]]:
        """The downstream services that each member requires, for members that require any."""
        return self.index.dependencies

    def set_groups(
        self, groups: list[BudgetGroup], dependencies: Mapping[str, Iterable[str]] | None = None
    ) -> None:
        """Replace the groups, and the dependencies unless they are None. Permits stay."""
        effective = self.dependencies if dependencies is None else dependencies
        self.index = BudgetIndex(groups, effective)

    # ---- counting --------------------------------------------------------------------------------------

    def permit_of(self, name: str) -> Permit | None:
        """Return the permit that a member holds, if any."""
        return next((permit for permit in self.state.permits if permit.holder == name), None)

    def unavailable_members(
        self, observations: Mapping[str, MemberObservation]
    ) -> dict[str, UnavailabilityReason]:
        """Return every unavailable member and why.

        The holder of an unused permit counts as unavailable, because it may drain at any moment.
        """
        unavailable = {
            name: observation.unavailability
            for name, observation in observations.items()
            if observation.unavailability is not None
        }
        for permit in self.state.permits:
            unavailable.setdefault(permit.holder, UnavailabilityReason.PERMIT)
        dependents = self.index.dependents
        for service in [name for name in dependents if name in unavailable]:
            for name in dependents[service]:
                unavailable.setdefault(name, UnavailabilityReason.DOWNSTREAM)
        return unavailable

    def tally(
        self, observations: Mapping[str, MemberObservation], ahead: Iterable[str] = ()
    ) -> DisruptionTally:
        """Return a tally of all unavailable members, with those in `ahead` counted as unavailable too."""
        tally = DisruptionTally(self.index, observations, self.unavailable_members(observations))
        for name in ahead:
            tally.add(name)
        return tally

    # ---- acquiring -------------------------------------------------------------------------------------

    def acquire(
        self, requester: EvictionWaiter, observations: Mapping[str, MemberObservation]
    ) -> EvictionDecision:
        """Return a new permit, the permit that the requester already holds, or its place in the queue.

        The decision has neither a permit nor a place, only a reason, if the request is refused.
        """
        holder = requester.holder
        if holder not in self.groups_of:
            return EvictionDecision(reason=f"{holder} is in no group")
        permit = self.permit_of(holder)
        if permit is not None and permit.incarnation == requester.incarnation:
            return EvictionDecision(permit)
        if permit is not None:
            return EvictionDecision(reason=f"an earlier incarnation of {holder} is out until it is seen back")
        observation = observations.get(holder)
        if observation is None or observation.incarnation != requester.incarnation:
            return EvictionDecision(reason=f"{holder} is not known in that incarnation")
        if not self._enqueue(requester):
            return EvictionDecision(reason=f"{len(self.state.waiters)} wait already")
        self.grant_waiting(observations)
        permit = self.permit_of(holder)
        if permit is not None:
            return EvictionDecision(permit)
        return self._waiting_decision(holder, observations)

    def _enqueue(self, requester: EvictionWaiter) -> bool:
        """Add a waiter; a new incarnation keeps its member's place. Return False if the queue is full."""
        index = self._waiting_index(requester.holder)
        if index is not None:
            self.state.waiters[index] = requester
            return True
        if len(self.state.waiters) >= MAX_WAITERS:
            return False
        self.state.waiters.append(requester)
        return True

    def _waiting_index(self, holder: str) -> int | None:
        """Return the index of a holder among the waiters, from 0; None if it does not wait."""
        waiters = enumerate(self.state.waiters)
        return next((index for index, waiter in waiters if waiter.holder == holder), None)

    def _waiting_decision(
        self, holder: str, observations: Mapping[str, MemberObservation]
    ) -> EvictionDecision:
        index = self._waiting_index(holder) or 0
        ahead = [waiter.holder for waiter in self.state.waiters[:index]]
        reason = self.tally(observations, ahead).blocking_reason(holder)
        return EvictionDecision(position=index + 1, reason=reason)

    def cancel(self, holder: str) -> bool:
        """Remove a waiter; return False if there is none.

        A permit stays, because its holder may be unavailable already.
        """
        before = len(self.state.waiters)
        self.state.waiters[:] = [waiter for waiter in self.state.waiters if waiter.holder != holder]
        return len(self.state.waiters) < before

    def grant_waiting(self, observations: Mapping[str, MemberObservation]) -> list[Permit]:
        """Grant permits to waiters, in the order of arrival, as far as the budgets allow.

        Waiters whose incarnation has ended are removed.

        Returns:
            The new permits.
        """
        if not self.state.waiters:
            return []
        granted: list[Permit] = []
        tally = self.tally(observations)
        for waiter in list(self.state.waiters):
            observation = observations.get(waiter.holder)
            if observation is None or observation.incarnation != waiter.incarnation:
                self.cancel(waiter.holder)  # that incarnation has ended; the next one may request a permit
                continue
            if not tally.blocking_reason(waiter.holder):
                granted.append(self.grant(waiter))
            tally.add(waiter.holder)  # unavailable now, or its place is reserved
        return granted

    def grant(self, requester: EvictionWaiter, override: bool = False) -> Permit:
        """Grant a permit without checking the budgets, and remove its holder from the queue."""
        self.state.last_permit_number += 1
        permit = Permit(
            holder=requester.holder,
            incarnation=requester.incarnation,
            reason=requester.reason,
            number=self.state.last_permit_number,
            override=override,
        )
        self.state.permits.append(permit)
        self.cancel(requester.holder)
        self.record_event(f"{permit.number}: {requester.holder} may be out: {requester.reason}")
        return permit

    # ---- ending ----------------------------------------------------------------------------------------

    def reconcile(self, observations: Mapping[str, MemberObservation]) -> bool:
        """End permits of members that are back, and grant waiters; return whether anything has changed."""
        returned = [
            permit
            for permit in self.state.permits
            if self.has_returned(permit, observations.get(permit.holder))
        ]
        for permit in returned:
            self.state.permits.remove(permit)
            self.record_event(f"{permit.number}: {permit.holder} is back")
        granted = self.grant_waiting(observations)
        return bool(granted or returned)

    @staticmethod
    def has_returned(permit: Permit, observation: MemberObservation | None) -> bool:
        """Return whether the holder serves in another incarnation; the same one may still drain."""
        if observation is None or observation.unavailability is not None:
            return False
        return observation.incarnation != permit.incarnation

    def release(
        self, holder: str, incarnation: Incarnation, observations: Mapping[str, MemberObservation]
    ) -> bool:
        """End the unused permit of a holder that is in service; return whether the permit was ended.

        False if the holder has no permit, if another incarnation holds the permit, or if the holder is
        unavailable, because it may then be using the permit.
        """
        permit = self.permit_of(holder)
        observation = observations.get(holder)
        if permit is None or permit.incarnation != incarnation:
            return False
        if observation is None or observation.unavailability is not None:
            return False
        self.state.permits.remove(permit)
        self.record_event(f"{permit.number}: {holder} hands it back")
        return True

    def revoke(self, holder: str, operator: str) -> None:
        """End the permit and the queued request of a member that an operator has removed from the fleet."""
        self.state.permits[:] = [permit for permit in self.state.permits if permit.holder != holder]
        self.cancel(holder)
        self.record_event(f"{holder} is struck from the fleet by {operator}")

    # ---- overriding ------------------------------------------------------------------------------------

    def add_override(self, requester: str, reason: str, count: int, span: int) -> str:
        """Allow `count` permits beyond the budgets within `span` tenths of a millisecond.

        At most `MAX_OVERRIDE_MEMBERS` permits and `MAX_OVERRIDE_SPAN` are allowed.

        Returns:
            Why the override is refused; empty if it was added.
        """
        if not requester or not reason:
            return "an override names who and why"
        if not 1 <= count <= MAX_OVERRIDE_MEMBERS:
            return f"an override is for 1 to {MAX_OVERRIDE_MEMBERS} members"
        if not 0 < span <= MAX_OVERRIDE_SPAN:
            return "an override is for an hour at most"
        override = BudgetOverride(requester=requester, reason=reason, count=count, remaining=span)
        self.state.overrides.append(override)
        self.record_event(f"override by {requester} for {count}: {reason}")
        return ""

    def acquire_with_override(
        self, requester: EvictionWaiter, observations: Mapping[str, MemberObservation]
    ) -> EvictionDecision:
        """Acquire a permit; use one of the oldest override's permits if the budgets forbid it."""
        decision = self.acquire(requester, observations)
        if decision.permit is not None or not decision.position:
            return decision
        if not self.state.overrides:
            return decision
        override = self.state.overrides[0]
        override.count -= 1
        if not override.count:
            self.state.overrides.pop(0)
        self.record_event(f"past the budgets for {override.requester}: {override.reason}")
        return EvictionDecision(self.grant(requester, override=True))

    def expire_overrides(self, elapsed: int) -> None:
        """Subtract `elapsed` tenths of a millisecond from every override, and end those with no time left."""
        for override in self.state.overrides:
            override.remaining = max(0, override.remaining - elapsed)
        for override in [override for override in self.state.overrides if not override.remaining]:
            self.state.overrides.remove(override)
            self.record_event(f"the override by {override.requester} has ended")

    # ---- storing ---------------------------------------------------------------------------------------

    def record_event(self, text: str) -> None:
        """Append a line to the audit log, and drop the oldest lines above `MAX_AUDIT_LINES`."""
        self.state.audit_log.append(text[:MAX_AUDIT_LINE_LENGTH])
        del self.state.audit_log[:-MAX_AUDIT_LINES]

    def encode(self) -> bytes:
        """Return the state as it is replicated."""
        return msgspec.json.encode(self.state)

    def restore(self, raw: bytes) -> None:
        """Replace the state with a replicated one; empty bytes mean an empty state."""
        self.state = msgspec.json.decode(raw, type=BudgetState) if raw else BudgetState()
