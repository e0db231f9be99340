"""Election, fencing and leases over many random histories; without any one rule a violation is found."""

import pytest

from birchslip.cluster.election import Election
from birchslip.cluster.plan_subscription import PlanSubscription
from birchslip.cluster.quota_leases import QuotaLeases
from birchslip.lab import explore as exploring
from birchslip.lab.explore import Explorer, GuaranteeViolationError, explore


def test_no_history_violates_a_guarantee():
    totals = explore(range(40), 2_000)
    assert totals["reigns"] > 80  # fewer would mean that the histories tried too little


class Unfenced(PlanSubscription):
    """Accepts replies of any term."""

    def accept(self, reply, sent, now):
        self.term = min(self.term, reply.term)
        self.leader = reply.planner if reply.term == self.term else self.leader
        return super().accept(reply, sent, now)


class LeasedFromReceipt(PlanSubscription):
    """Counts a lease from when the reply arrived."""

    def accept(self, reply, sent, now):
        return super().accept(reply, now, now)


class NeverSilent(Election):
    """Votes at once after a start, whatever it promised before."""

    @property
    def startup_delay(self):
        return 0


class VotingTwice(Election):
    """Grants a second vote while the first one still holds."""

    def handle_vote_request(self, request, now):
        self.granted_until = 0
        return super().handle_vote_request(request, now)


class TrustingDisk(Election):
    """Trusts its disk whatever the others have seen."""

    def has_lost_state(self, own_observation):
        return False


@pytest.mark.parametrize(
    ("message", "explorer_options"),
    [
        ("went from epoch", {"subscription_class": Unfenced}),
        ("calls of", {"subscription_class": LeasedFromReceipt}),
        ("lead at once", {"election_class": NeverSilent}),
        ("lead at once", {"election_class": VotingTwice}),
        ("a majority kept", {"election_class": TrustingDisk}),
        ("a majority kept", {"skips_flush": True}),
    ],
    ids=["no fence", "lease from receipt", "no quiet start", "two votes", "old disk trusted", "no flush"],
)
def test_a_violation_is_found_without_one_of_the_rules(message, explorer_options):
    with pytest.raises(GuaranteeViolationError, match=message):
        explore(range(400), 2_000, **explorer_options)


def test_a_lease_granted_before_the_last_one_has_surely_ended_is_found(monkeypatch):
    class Eager(QuotaLeases):
        def previous_leases_ended(self, now):
            return True

    monkeypatch.setattr(exploring, "QuotaLeases", Eager)
    with pytest.raises(GuaranteeViolationError, match="calls of"):
        explore(range(400), 2_000)


def test_the_same_seed_gives_the_same_history():
    a, b = (Explorer(7).run(1_500) for _ in range(2))
    assert (a.true_time, a.majority_state, a.leadership_count, a.max_calls) == (
        b.true_time,
        b.majority_state,
        b.leadership_count,
        b.max_calls,
    )
