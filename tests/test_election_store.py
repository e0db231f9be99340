"""The vote file of a planner: read back whole or not at all, and written before a vote is granted."""

import sqlite3
from pathlib import Path

import pytest

from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election_messages import ReplicationRequest, ReplicationResponse
from birchslip.cluster.election_store import ElectionStore
from birchslip.cluster.messages import encode
from birchslip.cluster.planner import Planner
from birchslip.errors import StoreWriteError

from .planner_harness import make_fleet

SAVED_VOTE = DurableVote(3, 128, "p1", 77, 128, 4, b'{"sites":{}}', False, '{"p1":{"life":1,"mark":5}}')


def write_vote(folder):
    store = ElectionStore(folder, "p0")
    assert store.vote == DurableVote()
    assert store.vote.is_blank
    store.save(SAVED_VOTE)
    store.close()
    return folder / "p0.planner"


def test_a_saved_vote_is_read_back(tmp_path):
    write_vote(tmp_path)
    store = ElectionStore(tmp_path, "p0")
    assert store.vote == SAVED_VOTE
    assert not store.damage
    store.close()


def test_a_truncated_file_is_set_aside_or_read_as_saved_or_as_blank(tmp_path):
    raw = write_vote(tmp_path).read_bytes()
    outcomes = set()
    for size in range(0, len(raw), 97):
        folder = tmp_path / str(size)
        folder.mkdir()
        (folder / "p0.planner").write_bytes(raw[:size])
        store = ElectionStore(folder, "p0")
        assert store.vote in (SAVED_VOTE, DurableVote())
        assert store.vote.is_blank or not store.damage
        outcomes.add(bool(store.damage))
        store.save(SAVED_VOTE)  # the new file is usable in any case
        store.close()
    assert outcomes == {True, False}


def test_a_row_that_does_not_match_its_checksum_is_set_aside(tmp_path):
    path = write_vote(tmp_path)
    raw = path.read_bytes()
    at = raw.index(b'{"sites":{}}')
    path.write_bytes(raw[:at] + b'{"sitez":{}}' + raw[at + 12 :])
    store = ElectionStore(tmp_path, "p0")
    assert store.vote == DurableVote()
    assert "checksum" in store.damage
    assert (tmp_path / "p0.planner.damaged").exists()
    store.close()


def test_a_file_of_a_later_version_is_set_aside(tmp_path):
    path = write_vote(tmp_path)
    connection = sqlite3.connect(path)
    connection.execute("pragma user_version = 9")
    connection.commit()
    connection.close()
    store = ElectionStore(tmp_path, "p0")
    assert store.vote.is_blank
    assert "version 9" in store.damage
    store.close()


def test_a_second_planner_of_the_same_name_is_refused(tmp_path):
    first = ElectionStore(tmp_path, "p0")
    first.save(SAVED_VOTE)
    with pytest.raises(StoreWriteError, match="locked"):
        ElectionStore(tmp_path, "p0")
    first.close()


def test_a_failed_write_raises_and_a_later_one_succeeds(tmp_path):
    store = ElectionStore(tmp_path, "p0")
    store.connection.execute("pragma max_page_count = 1")
    store.connection.execute("pragma query_only = on")
    with pytest.raises(StoreWriteError):
        store.save(SAVED_VOTE)
    store.connection.execute("pragma query_only = off")
    store.save(SAVED_VOTE)
    store.close()


def test_a_leader_with_a_full_disk_is_not_counted_as_a_replica_of_its_own_state(tmp_path):
    planner = Planner(make_fleet(tmp_path, planners=3), "p0", tmp_path / "p0")
    sent = []
    for channel in planner.replicator.channels:
        channel.send = lambda method, request: sent.append((method, request))
    election, state = planner.election, planner.state
    election.durable.is_blank, election.term = False, 64
    state.leadership.term, state.leadership.version = 64, 1

    def fail_on_full_disk(durable):
        raise StoreWriteError(Path("p0.planner"), "no space left")

    planner.store.save = fail_on_full_disk
    planner.replicator.replicate(planner.scheduler.now)
    assert [method for method, _ in sent] == ["keep", "keep"]
    assert state.leadership.replicated_version == 0
    request = next(request for _, request in sent if isinstance(request, ReplicationRequest))
    for name, replicated_version in (("p1", 0), ("p2", 1)):
        assert state.leadership.replicated_version == 0  # one replica of three planners is no quorum
        response = ReplicationResponse(is_stored=True, promised_term=64, replica=name)
        planner.replicator.handle_response(request, encode(response), 0)
        assert state.leadership.replicated_version == replicated_version
    planner.store.close()


def test_a_vote_that_cannot_be_stored_is_not_granted(tmp_path):
    planner = Planner(make_fleet(tmp_path, planners=3), "p0", tmp_path / "p0")
    planner.election.needs_flush = True

    def fail_on_full_disk(durable):
        raise StoreWriteError(Path("p0.planner"), "no space left")

    planner.store.save = fail_on_full_disk
    with pytest.raises(StoreWriteError):
        planner.service.handle(None, "ask", encode(planner.election.vote_request(128)))
    planner.store.close()
