"""Orders to the agent over many random histories of lost links; without any one rule a violation is found."""

import pytest

from birchslip.lab.explore import GuaranteeViolationError
from birchslip.lab.explore_agent_link import AgentLinkExplorer, explore
from birchslip.net.agent_orders import PendingOrder


def forget_position(order, link):
    """Let the next link take the order as if none had taken it."""
    order.link_position = None


def write_again(order, link, now):
    """Write an order to a link whether it was written there or not."""
    link.write(order.line)
    order.written_at, order.link_position = now, link.written_bytes


def test_no_run_takes_the_reply_of_another_call_or_waits_for_ever():
    totals = explore(range(400), 300)
    # Fewer would mean that the histories tried too little.
    assert totals["unconfirmed"] > 400
    assert totals["replies_lost"] > 200
    assert min(totals[op] for op in ("launch", "freeze", "forgo")) > 80


@pytest.mark.parametrize(
    ("message", "owner", "name", "replacement"),
    [
        ("took b'reply", PendingOrder, "may_be_repeated", property(lambda order: True)),
        ("took b'reply", PendingOrder, "handle_link_lost", forget_position),
        ("took b'reply", PendingOrder, "write_to", write_again),
        ("never end", PendingOrder, "may_be_repeated", property(lambda order: not order.may_have_arrived)),
        ("never end", AgentLinkExplorer, "on_reply_unconfirmed", lambda explorer, context: None),
    ],
    ids=["replies repeated", "links forgotten", "repeated on a link", "no order repeated", "no call skipped"],
)
def test_a_violation_is_found_without_one_of_the_rules(monkeypatch, message, owner, name, replacement):
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(GuaranteeViolationError, match=message):
        explore(range(400), 300)


def test_the_same_seed_gives_the_same_history():
    first, second = (AgentLinkExplorer(7).run(300) for _ in range(2))
    assert first.agent.notices == second.agent.notices
    assert first.counters.counts == second.counters.counts
