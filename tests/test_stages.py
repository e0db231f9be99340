"""Labels, the stages between the decisions and the peers, and the phases, without a socket."""

import gc
import weakref

import pytest

from birchslip.admission.types import (
    SECOND,
    AdmissionSettings,
    AttachToOriginal,
    CallDownstream,
    CallEnded,
    CallNeeded,
    Fail,
    Gauges,
    Idempotency,
    Outcome,
    Reject,
    ReleaseKey,
    Request,
    RunEnded,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
)
from birchslip.net.counters import Counters
from birchslip.net.labels import SLACK, Labels
from birchslip.net.passage import Conclusion, Passage, Told
from birchslip.net.program import MOVES, Phase, Program
from birchslip.net.servers import OUTCOMES as RUN_OUTCOMES
from birchslip.net.site import Site
from birchslip.net.stages.admit import Admit
from birchslip.net.stages.book import Book
from birchslip.net.stages.relay import Relay
from birchslip.net.stages.route import Route
from birchslip.net.stages.send import Send
from birchslip.net.stages.take_in import TakeIn
from birchslip.net.vault import OUTCOMES as CALL_OUTCOMES

from .desk import profile

KEYED = profile(Idempotency.KEYED, key_retention=5 * SECOND)
IDEMPOTENT = profile()


class Peer:
    """Stands for the agent, the vault, a router's connection and the log: keeps what it is told."""

    def __init__(self):
        self.said, self.runs, self.open = [], {}, {}

    def __getattr__(self, name):
        return lambda *parts, **_: self.said.append((name, *(p for p in parts if not isinstance(p, Passage))))

    def launch(self, passage):
        self.runs[passage.name] = passage
        self.said.append(("launch", passage.name))


class Clock:
    """Stands for the scheduler: time is set, timers are kept."""

    def __init__(self):
        self.now, self.timers = 100 * SECOND, []

    def tell_time(self):
        return self.now

    def soon(self):
        pass

    def at(self, due, action):
        self.timers.append((due, action))
        return Peer()


class Chain:
    """The stages, with what the decisions hear kept in place of the decisions."""

    def __init__(self):
        self.clock, self.counters = Clock(), Counters()
        self.agent, self.vault, self.log = Peer(), Peer(), Peer()
        self.labels = Labels(4 * SECOND)
        self.admit = Admit(self.clock, self.counters, self.labels)
        self.book = Book(self.counters, self.log, self.labels, self.admit)
        self.relay = Relay(self.clock, self.counters, self.agent, self.vault, self.admit)
        self.send = Send(self.counters, self.log, self.agent, self.labels, self.admit, self.relay, self.book)
        self.route = Route(self.clock, self.labels, self.send, self.relay, self.book)

    def passage(self, name="a", kind=IDEMPOTENT, label="", original=None):
        now = self.clock.now
        tx = Request(kind, 0, now, now + kind.deadline, 100, original=original and original.transaction)
        passage = Passage(
            Peer(), 7, name, "lookup", b"body", tx, now, label, original and self.labels.standing(label, now)
        )
        tx.context = passage
        return passage

    def wish(self, passage, *wishes):
        for wish in wishes:
            self.route.carry(passage.transaction, wish)
        return self

    def heard(self):
        heard = [(passage.name, event) for passage, event in self.admit.news]
        self.admit.news.clear()
        return heard


@pytest.fixture
def chain():
    return Chain()


@pytest.mark.parametrize(
    ("wish", "answer"),
    [
        (Reject(), ("shed", 7, 0, False)),
        (Reject(2501, True), ("shed", 7, 2501, True)),
        (Fail(), ("write_off", 7)),
    ],
)
def test_final_answers_are_given_once(chain, wish, answer):
    passage = chain.passage()
    chain.wish(passage, wish, wish, Reject(), Fail())
    chain.book.gone(passage)
    assert passage.client.said == [answer]
    assert chain.heard() == []


@pytest.mark.parametrize(
    ("end", "answer"),
    [
        ("done", ("honour", 7, b"made")),
        ("crashed", ("write_off", 7)),
        ("aborted", ("write_off", 7)),
        ("stale", ("write_off", 7)),
    ],
)
def test_the_end_of_a_run_answers_and_is_heard(chain, end, answer):
    passage = chain.passage()
    chain.wish(passage, StartRun())
    chain.send.ended(passage, RUN_OUTCOMES[end], b"made", 40)
    assert passage.client.said == [answer]
    assert chain.heard() == [("a", RunEnded(RUN_OUTCOMES[end], 40))]


def test_a_stop_goes_only_to_what_runs(chain):
    passage = chain.passage()
    chain.wish(passage, StopRun(), StartRun(), StopRun())
    assert chain.agent.said == [("launch", "a"), ("freeze",)]


@pytest.mark.parametrize(
    ("word", "outcome"),
    [
        (b"yes", Outcome.SERVED),
        (b"notnow", Outcome.REJECTED),
        (b"failed", Outcome.FAILED),
        (b"overdue", Outcome.TIMED_OUT),
        (b"pointless", Outcome.SUPERSEDED),
    ],
)
def test_the_vaults_words(chain, word, outcome):
    passage = chain.passage()
    chain.wish(passage, StartRun())
    chain.relay.wanted(passage, 3, b"question")
    chain.wish(passage, CallDownstream(2500))
    chain.clock.now += 30
    chain.relay.ended(passage, CALL_OUTCOMES[word], b"reply")
    assert chain.vault.said == [("ask", 250, b"question")]
    assert chain.heard() == [("a", CallNeeded()), ("a", CallEnded(outcome, 30))]
    assert (("deliver", b"reply") in chain.agent.said) == (outcome is Outcome.SERVED)


def test_a_call_past_its_limit_is_given_up(chain):
    passage = chain.passage()
    chain.wish(passage, StartRun(), CallDownstream(2500))
    due, action = chain.clock.timers[0]
    assert due == chain.clock.now + 2500
    action()
    assert chain.vault.said[-1] == ("unask",)
    assert chain.heard() == [("a", CallEnded(Outcome.TIMED_OUT, 0))]


@pytest.mark.parametrize("over", ["written off", "run ended"])
def test_no_call_is_left_behind_by_what_is_over(chain, over):
    passage = chain.passage()
    chain.wish(passage, StartRun(), CallDownstream(2500))
    if over == "written off":
        chain.wish(passage, Fail(), Fail())
    else:
        chain.send.ended(passage, Outcome.CANCELLED, b"", 0)
    assert chain.vault.said[1:] == [("unask",)]


def test_a_skipped_call_names_its_notice(chain):
    passage = chain.passage()
    chain.relay.wanted(passage, 3, b"question")
    chain.wish(passage, SkipCall())
    assert chain.agent.said == [("forgo",)]
    assert passage.need == 3


@pytest.mark.parametrize(
    ("stamp", "wait", "arrived", "due"),
    [
        (-100, 4800, -100, 4700),
        (-100, 900_000, -100, 39_900),
        (-5000, 3000, -5000, 0),  # due before it was read: due now
        (600_000, 4800, 0, 4800),  # told from the future: it came now
        (-600_000, 4800, -40_000, 0),  # absurd: as old as a client waits, and no older
    ],
)
def test_told_times_are_bounded(chain, stamp, wait, arrived, due):
    now = chain.clock.now
    take_in = TakeIn(chain.clock, chain.counters, chain.log, site().deployment, ["lookup"], [])
    take_in.in_use = lambda name: False
    told = Told("a" * 16, "lookup", b"", now + stamp, wait, 1, "", 100, False, "")
    passage = take_in.passage(Peer(), 7, told)
    tx = passage.transaction
    assert (tx.arrived_at - now, tx.deadline - now, passage.stamp) == (arrived, due, now + min(stamp, 0))


# ---- labels ------------------------------------------------------------------------------------------------

START = 100 * SECOND


@pytest.mark.parametrize(
    ("fate", "arrived", "found"),
    [
        ("held", START + 1, "a"),
        ("held", START + 5 * SECOND, "a"),
        ("held", START + 5 * SECOND + SLACK, "a"),  # limits of time are 50 ms longer on sockets
        ("held", START + 5 * SECOND + SLACK + 1, None),
        ("forgotten", START + 1, None),
        ("ran", START + 5 * SECOND + SLACK, "a"),
        ("ran", START + 5 * SECOND + SLACK + 1, None),
        ("ran and forgotten", START + 1, "a"),  # what has run is not forgotten before its window is over
        ("moved", START + 1, "b"),
        ("ran, then moved", START + 1, "a"),  # the one that ran comes before the one with the entry
    ],
)
def test_who_is_repeated(chain, fate, arrived, found):
    first, second = (chain.passage(name, KEYED, "key") for name in "ab")
    chain.wish(first, StoreKey(KEYED.key_retention))
    if fate.startswith("ran"):
        chain.wish(first, StartRun())
    if "moved" in fate:
        chain.wish(second, StoreKey(KEYED.key_retention))
    if "forgotten" in fate:
        chain.wish(first, ReleaseKey())
    entry = chain.labels.standing("key", arrived)
    assert (entry and entry.original.name) == found


@pytest.mark.parametrize("end", [None, Outcome.SERVED, Outcome.CANCELLED])
def test_one_label_is_launched_once_whatever_is_wished(chain, end):
    first, second = (chain.passage(name, KEYED, "key") for name in "ab")
    chain.wish(first, StoreKey(KEYED.key_retention), StartRun(), Fail())
    if end:
        chain.send.ended(first, end, b"made", 0)
    chain.clock.now += 5 * SECOND - 1
    chain.wish(second, StoreKey(KEYED.key_retention), StartRun())
    assert [said for said in chain.agent.said if said[0] == "launch"] == [("launch", "a")]
    if not end:
        chain.send.ended(first, Outcome.SERVED, b"made", 0)
    assert second.client.said[0][0] == ("write_off" if end is Outcome.CANCELLED else "honour")


@pytest.mark.parametrize("ahead", [-3 * SECOND, 0, 2 * SECOND])
def test_a_window_is_counted_by_the_later_of_two_clocks(chain, ahead):
    """Guards against a second run where the stamp of the one that ran lies ahead of our clock."""
    first = chain.passage("a", KEYED, "key")
    first.told_stamp = chain.clock.now + ahead
    chain.wish(first, StoreKey(KEYED.key_retention), StartRun())
    chain.labels.conclude(first, Conclusion(Outcome.SERVED, b"made"))
    chain.clock.now += max(0, ahead) + KEYED.key_retention
    assert chain.labels.standing("key", chain.clock.now) is not None
    chain.labels.purge(chain.clock.now + SLACK + chain.labels.longest_wait)
    assert chain.labels.standing("key", chain.clock.now + SLACK) is not None
    assert chain.labels.standing("key", chain.clock.now + SLACK + 1) is None


def test_a_label_runs_again_after_its_window(chain):
    first = chain.passage("a", KEYED, "key")
    chain.wish(first, StoreKey(KEYED.key_retention), StartRun())
    chain.clock.now += 5 * SECOND + SLACK + 1
    second = chain.passage("b", KEYED, "key")
    chain.wish(second, StoreKey(KEYED.key_retention), StartRun())
    assert [said[1] for said in chain.agent.said] == ["a", "b"]
    chain.send.ended(first, Outcome.SERVED, b"old", 0)  # the old run ends late: it is not the new one's
    assert first.client.said == [("honour", 7, b"old")]
    assert second.client.said == []


@pytest.mark.parametrize(
    ("fate", "answer", "outcome"),
    [
        ("ended before", ("honour", 7, b"made"), Outcome.SERVED),
        ("ends later", ("honour", 7, b"made"), Outcome.SERVED),
        ("crashes", ("write_off", 7), Outcome.FAILED),
        ("is dropped", ("write_off", 7), Outcome.FAILED),
    ],
)
def test_a_repeat_shares_the_outcome(chain, fate, answer, outcome):
    first = chain.passage("a", KEYED, "key")
    chain.wish(first, StoreKey(KEYED.key_retention))
    if fate != "is dropped":
        chain.wish(first, StartRun())
    if fate == "ended before":
        chain.send.ended(first, Outcome.SERVED, b"made", 0)
    repeat = chain.passage("b", KEYED, "key", first)
    chain.wish(repeat, AttachToOriginal())
    if fate == "is dropped":
        chain.wish(first, ReleaseKey(), Reject())
    elif fate != "ended before":
        chain.send.ended(first, Outcome.FAILED if fate == "crashes" else Outcome.SERVED, b"made", 0)
    assert repeat.client.said == [answer]
    assert ("b", RunEnded(outcome)) in chain.heard()


def test_a_shed_is_never_said_of_what_has_run(chain):
    passage = chain.passage()
    chain.wish(passage, StartRun(), Reject(100, True))
    assert passage.client.said == [("write_off", 7)]


def test_a_repeat_that_was_answered_is_not_answered_again(chain):
    first = chain.passage("a", KEYED, "key")
    chain.wish(first, StoreKey(KEYED.key_retention), StartRun())
    repeat = chain.passage("b", KEYED, "key", first)
    chain.wish(repeat, AttachToOriginal(), Fail())
    chain.send.ended(first, Outcome.SERVED, b"made", 0)
    assert repeat.client.said == [("write_off", 7)]


def test_entries_and_results_are_dropped_after_their_time(chain):
    for place in range(100):
        passage = chain.passage(str(place), KEYED, f"key{place}")
        chain.wish(passage, StoreKey(KEYED.key_retention), StartRun())
        chain.labels.conclude(passage, Conclusion(Outcome.SERVED, b"x" * 4096))
        chain.clock.now += SECOND
    assert len(chain.labels.table) <= 11
    assert len(chain.labels.ends) <= 11


@pytest.mark.parametrize("fate", ["honoured", "shed", "given up", "gone", "repeated", "refused"])
def test_what_is_over_is_freed_without_a_collection(chain, fate):
    chain.agent = chain.send.agent = Peer()
    chain.admit.carry, chain.admit.tell = chain.route.carry, lambda notice: None
    chain.admit.fault = chain.book.fault
    chain.admit.begin(AdmissionSettings([KEYED], cores=1), chain.clock.now)
    gc.collect()
    gc.disable()
    try:
        first = chain.passage("a", KEYED, "key")
        chain.admit.arrive(first)
        if fate == "shed":
            first.transaction.deadline = first.transaction.arrived_at
        chain.admit.settle()
        watched = [weakref.ref(first.transaction)]
        if fate == "repeated":
            second = chain.passage("b", KEYED, "key")
            watched.append(weakref.ref(second.transaction))
            chain.admit.arrive(second)
            chain.admit.settle()
            del second
        if fate in ("given up", "gone"):
            chain.relay.drop(first)
            chain.book.gone(first) if fate == "gone" else chain.book.write_off(first)
            chain.admit.settle()
        if fate == "refused":
            chain.send.refused(first)
        elif fate != "shed":
            chain.send.ended(first, Outcome.SERVED, b"made", 0)
        chain.admit.settle()
        del first
        chain.agent.runs.clear()
        chain.clock.now += 30 * SECOND
        chain.labels.purge(chain.clock.now)
        chain.admit.tick(Gauges())
        chain.admit.settle()
        assert [ref() for ref in watched if ref() is not None] == []
    finally:
        gc.enable()


# ---- faults and phases -------------------------------------------------------------------------------------


def test_a_fault_writes_its_transaction_off_and_no_other(chain):
    bad, good = chain.passage("a"), chain.passage("b")
    stage = chain.book.guarded(lambda passage: 1 // (passage is good))
    stage(bad)
    stage(good)
    assert bad.client.said == [("write_off", 7)]
    assert good.client.said == []
    assert chain.counters.counts["book.faults"] == 1


def test_a_fault_in_the_decisions_ends_one_path(chain):
    passages = [chain.passage("a"), chain.passage("b")]

    def carry(transaction, wish):
        if transaction.context.name == "a" and isinstance(wish, StartRun):
            raise KeyError("made up")
        chain.route.carry(transaction, wish)

    chain.admit.carry, chain.admit.tell, chain.admit.fault = carry, lambda notice: None, chain.book.fault
    chain.admit.begin(site().deployment, chain.clock.now)
    for passage in passages:
        chain.admit.arrive(passage)
    chain.admit.settle()
    assert passages[0].client.said == [("write_off", 7)]
    assert chain.agent.said == [("launch", "b")]


def site():
    here = ("127.0.0.1", 1)
    deployment = AdmissionSettings([IDEMPOTENT], cores=2)
    return Site("t", here, here, here, None, 3 * SECOND, 64, 192 << 20, deployment, ["lookup"], [], [])


@pytest.mark.parametrize("phase", Phase)
def test_only_the_named_moves_are_made(phase):
    program = Program(site())
    for target in Phase:
        program.phase = phase
        if target in MOVES[phase]:
            program.move(target)
            assert program.phase is target
        else:
            with pytest.raises(RuntimeError, match=target.value):
                program.move(target)


def test_every_phase_leads_to_the_end():
    for phase in Phase:
        while phase is not Phase.ENDED:
            assert MOVES[phase]
            phase = MOVES[phase][-1]


def test_before_the_agent_greets_a_transaction_is_shed_and_checks_are_good():
    program, chain = Program(site()), Chain()
    passage = chain.passage()
    program.admit.arrive(passage)
    program.settle()
    assert passage.client.said == [("shed", 7, 0, False)]
    assert program.passing()
    assert program.phase is Phase.STARTING


@pytest.mark.parametrize(("cold", "counted"), [(True, 20 * SECOND), (False, 0)])
def test_the_agents_age_counts_while_it_warms_up(cold, counted):
    """Guards against a quota that binds on a warm agent before the windows have been filled once."""
    program = Program(site())
    program.greeted(cold, program.scheduler.now - 20 * SECOND)
    controller = program.admit.driver.controller
    assert (program.phase, controller.settings.starts_cold) == (Phase.SERVING, cold)
    assert controller.started_at == program.scheduler.now - counted


# ---- kept results ------------------------------------------------------------------------------------------


class Kept:
    """Stands for the result store: what waits for a flush is let go by hand."""

    def __init__(self):
        self.waiting, self.voided = [], []

    def record_start(self, request, listener):
        self.waiting.append(listener)

    def record_completion(self, request, conclusion, listener):
        self.waiting.append(listener)

    def record_never_ran(self, request):
        self.voided.append(request.name)


@pytest.fixture
def kept(chain):
    chain.send.keep = Kept()
    return chain


def begun(chain):
    passage = chain.passage("a", KEYED, "key")
    chain.wish(passage, StoreKey(KEYED.key_retention), StartRun())
    return passage


def attached(chain, first):
    repeat = chain.passage("b", KEYED, "key", original=first)
    repeat.label = first.label
    chain.wish(repeat, AttachToOriginal())
    return repeat


def test_a_launch_waits_for_its_flush_and_an_answer_for_its_own(kept):
    passage = begun(kept)
    assert not passage.launched
    assert kept.agent.said == []
    kept.send.keep.waiting.pop()(True)
    assert passage.launched
    kept.send.ended(passage, Outcome.SERVED, b"made", 5)
    assert passage.client.said == []
    assert kept.heard() == []
    kept.send.keep.waiting.pop()(False)  # the disk would keep it too long: it is answered all the same
    assert passage.client.said == [("honour", 7, b"made")]
    assert [event.outcome for _, event in kept.heard()] == [Outcome.SERVED]


def test_what_could_not_be_kept_and_all_its_repeats_are_shed_and_may_run_another_time(kept):
    passage = begun(kept)
    repeat = attached(kept, passage)
    kept.send.keep.waiting.pop()(False)
    assert passage.client.said == repeat.client.said == [("shed", 7, 0, False)]
    assert [(name, event.outcome) for name, event in kept.heard()] == [
        ("a", Outcome.SUPERSEDED),
        ("b", Outcome.SUPERSEDED),
    ]
    assert kept.labels.standing("key", kept.clock.now) is None
    assert kept.agent.said == []
    again = begun(kept)
    kept.send.keep.waiting.pop()(True)
    assert again.launched


def test_one_that_was_written_off_while_it_waited_is_never_launched(kept):
    passage = begun(kept)
    kept.book.write_off(passage)
    kept.send.keep.waiting.pop()(True)
    assert not passage.launched
    assert kept.agent.said == []
    assert kept.send.keep.voided == ["a"]
    assert passage.client.said == [("write_off", 7)]
