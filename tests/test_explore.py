"""The vote, the fence and the leases over many histories; without any one rule a fault is found."""

import pytest

from birchslip.cluster.election import Election
from birchslip.cluster.plan_subscription import PlanSubscription
from birchslip.cluster.quota_leases import QuotaLeases
from birchslip.lab import explore as exploring
from birchslip.lab.explore import Explorer, Fault, explore


def test_no_history_breaks_a_rule():
    told = explore(range(40), 2_000)
    assert told["reigns"] > 80  # or nothing was tried


class Unfenced(PlanSubscription):
    """Obeys whoever speaks last."""

    def take(self, reply, sent, now):
        self.epoch = min(self.epoch, reply.term)
        self.author = reply.planner if reply.term == self.epoch else self.author
        return super().take(reply, sent, now)


class Late(PlanSubscription):
    """Counts a lease from when the answer came."""

    def take(self, reply, sent, now):
        return super().take(reply, now, now)


class Hasty(Election):
    """Votes at once after a start, whatever it had promised before."""

    @property
    def silent_span(self):
        return 0


class Fickle(Election):
    """Grants a second vote while the first one still holds."""

    def handle_vote_request(self, request, now):
        self.granted_until = 0
        return super().handle_vote_request(request, now)


class Trusting(Election):
    """Takes its disk for what it last had."""

    def has_lost_state(self, own):
        return False


@pytest.mark.parametrize(
    ("what", "mistake"),
    [
        ("went from epoch", {"obedience": Unfenced}),
        ("calls of", {"obedience": Late}),
        ("lead at once", {"ballot": Hasty}),
        ("lead at once", {"ballot": Fickle}),
        ("a majority kept", {"ballot": Trusting}),
        ("a majority kept", {"forgetful": True}),
    ],
    ids=["no fence", "lease from receipt", "no quiet start", "two votes", "old disk trusted", "no flush"],
)
def test_without_a_rule_the_fault_is_found(what, mistake):
    with pytest.raises(Fault, match=what):
        explore(range(400), 2_000, **mistake)


def test_a_share_lent_before_its_owner_has_surely_stopped_is_found(monkeypatch):
    class Eager(QuotaLeases):
        def previous_leases_ended(self, now):
            return True

    monkeypatch.setattr(exploring, "QuotaLeases", Eager)
    with pytest.raises(Fault, match="calls of"):
        explore(range(400), 2_000)


def test_the_same_seed_gives_the_same_history():
    a, b = (Explorer(7).run(1_500) for _ in range(2))
    assert (a.true, a.agreed, a.reigns, a.most) == (b.true, b.agreed, b.reigns, b.most)
