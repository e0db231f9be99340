"""Leadership follows the election, and is effective once a majority has stored the first version."""

import random

from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election import Election
from birchslip.cluster.leadership import Leadership, LeadershipChange
from birchslip.cluster.planner_events import MAX_BUFFERED_EVENTS, EventBuffer

from .planner_harness import SECOND


def elected_leadership(now=3 * SECOND):
    """Return a single planner that has just won its election."""
    election = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
    request = election.next_vote_request(now)
    election.handle_vote_response(election.handle_vote_request(request, now), request.term, now, now)
    return Leadership(election)


def test_a_term_starts_when_the_election_is_won_and_ends_with_the_lease():
    leadership = elected_leadership()
    assert not leadership.is_leading
    assert leadership.update(3 * SECOND) is LeadershipChange.ACQUIRED
    assert leadership.is_leading
    assert leadership.term == leadership.election.term
    assert leadership.update(3 * SECOND + 1) is LeadershipChange.UNCHANGED
    assert leadership.update(60 * SECOND) is LeadershipChange.LOST
    assert not leadership.is_leading
    assert leadership.update(60 * SECOND) is LeadershipChange.UNCHANGED


def test_a_leader_is_effective_once_its_first_version_is_replicated():
    leadership, now = elected_leadership(), 3 * SECOND
    leadership.update(now)
    assert not leadership.needs_replication()
    leadership.advance_version()
    assert leadership.needs_replication()
    assert not leadership.is_effective_leader(now)
    assert leadership.mark_replicated(1)
    assert leadership.is_effective_leader(now)
    assert not leadership.needs_replication()
    assert not leadership.is_effective_leader(60 * SECOND)


def test_only_the_newest_version_counts_as_replicated_and_only_once():
    leadership = elected_leadership()
    leadership.update(3 * SECOND)
    leadership.advance_version()
    leadership.advance_version()
    assert not leadership.mark_replicated(1)
    assert leadership.replicated_version == 0
    assert leadership.mark_replicated(2)
    assert not leadership.mark_replicated(2)


def test_a_higher_observed_term_ends_this_one():
    leadership, now = elected_leadership(), 3 * SECOND
    leadership.update(now)
    leadership.observe_term(leadership.term - 1)
    assert leadership.update(now) is LeadershipChange.UNCHANGED
    leadership.observe_term(leadership.term + 64)
    assert leadership.update(now) is LeadershipChange.LOST


def test_buffered_events_are_bounded_and_drained_once():
    events = EventBuffer()
    for number in range(MAX_BUFFERED_EVENTS + 1):
        events.record("site_lost", number=number)
    assert [event.fields["number"] for event in events.drain()] == list(range(MAX_BUFFERED_EVENTS))
    assert list(events.drain()) == []
