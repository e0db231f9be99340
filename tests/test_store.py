"""What survives a planner's restart: whole or not at all, and never taken for more than it is."""

import sqlite3

import pytest

from birchslip.cluster.election import DurableVote
from birchslip.cluster.election_store import ElectionStore, StoreWriteError
from birchslip.cluster.messages import ReplicationRequest, ReplicationResponse, encode
from birchslip.cluster.planner import Planner

from .fleetdesk import fleet

KEPT = DurableVote(3, 128, "p1", 77, 128, 4, b'{"sites":{}}', False, '{"p1":{"life":1,"mark":5}}')


def written(folder):
    store = ElectionStore(folder, "p0")
    assert store.found == DurableVote() and store.found.blank
    store.save(KEPT)
    store.close()
    return folder / "p0.planner"


def test_what_was_saved_is_found_again(tmp_path):
    written(tmp_path)
    store = ElectionStore(tmp_path, "p0")
    assert store.found == KEPT and not store.trouble
    store.close()


def test_a_file_cut_anywhere_is_put_aside_or_found_as_it_was_or_as_never_written(tmp_path):
    raw = written(tmp_path).read_bytes()
    outcomes = set()
    for size in range(0, len(raw), 97):
        folder = tmp_path / str(size)
        folder.mkdir()
        (folder / "p0.planner").write_bytes(raw[:size])
        store = ElectionStore(folder, "p0")
        assert store.found in (KEPT, DurableVote())
        assert store.found.blank or not store.trouble
        outcomes.add(bool(store.trouble))
        store.save(KEPT)  # whatever it was, it serves again
        store.close()
    assert outcomes == {True, False}


def test_a_flipped_byte_of_what_was_kept_is_not_believed(tmp_path):
    path = written(tmp_path)
    raw = path.read_bytes()
    at = raw.index(b'{"sites":{}}')
    path.write_bytes(raw[:at] + b'{"sitez":{}}' + raw[at + 12 :])
    store = ElectionStore(tmp_path, "p0")
    assert store.found == DurableVote() and "checksum" in store.trouble
    assert (tmp_path / "p0.planner.damaged").exists()
    store.close()


def test_a_later_version_is_put_aside(tmp_path):
    path = written(tmp_path)
    link = sqlite3.connect(path)
    link.execute("pragma user_version = 9")
    link.commit()
    link.close()
    store = ElectionStore(tmp_path, "p0")
    assert store.found.blank and "version 9" in store.trouble
    store.close()


def test_a_second_planner_of_the_same_name_is_refused(tmp_path):
    first = ElectionStore(tmp_path, "p0")
    first.save(KEPT)
    with pytest.raises(StoreWriteError, match="locked"):
        ElectionStore(tmp_path, "p0")
    first.close()


def test_a_disk_that_does_not_take_it_says_so(tmp_path):
    store = ElectionStore(tmp_path, "p0")
    store.link.execute("pragma max_page_count = 1")
    store.link.execute("pragma query_only = on")
    with pytest.raises(StoreWriteError):
        store.save(KEPT)
    store.link.execute("pragma query_only = off")
    store.save(KEPT)
    store.close()


def test_a_leader_whose_disk_is_full_is_no_keeper_of_its_own_state_and_others_may_be(tmp_path):
    planner = Planner(fleet(tmp_path, planners=3), "p0", tmp_path / "p0")
    told = []
    for peer in planner.peers:
        peer.put = lambda method, record: told.append((method, record))
    ballot, mind = planner.ballot, planner.mind
    ballot.durable.blank, ballot.epoch = False, 64
    mind.reign, mind.number = 64, 1

    def full(durable):
        raise StoreWriteError("no space left")

    planner.store.save = full
    planner.have_kept(planner.scheduler.now)
    assert [method for method, _ in told] == ["keep", "keep"] and mind.kept_number == 0
    for name, kept in (("p1", 0), ("p2", 1)):
        assert mind.kept_number == 0  # one of three is no majority
        keep = next(record for _, record in told if isinstance(record, ReplicationRequest))
        planner.heard(keep, encode(ReplicationResponse(is_stored=True, promised_term=64, replica=name)), 0)
        assert mind.kept_number == kept
    planner.store.close()


def test_a_planner_that_can_not_keep_its_vote_does_not_give_it(tmp_path):
    planner = Planner(fleet(tmp_path, planners=3), "p0", tmp_path / "p0")
    planner.ballot.dirty = True

    def full(durable):
        raise StoreWriteError("no space left")

    planner.store.save = full
    with pytest.raises(StoreWriteError):
        planner.serve(None, "ask", encode(planner.ballot.question(128)))
    planner.store.close()
