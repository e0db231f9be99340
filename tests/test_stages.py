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
from birchslip.net.idempotency_table import RETENTION_SLACK, IdempotencyTable
from birchslip.net.program import MOVES, Phase, Program
from birchslip.net.request_context import DecodedRequest, RequestContext, RunResult
from birchslip.net.servers import RUN_OUTCOMES
from birchslip.net.site import ServerConfig
from birchslip.net.stages.action_dispatcher import ActionDispatcher
from birchslip.net.stages.admission_stage import AdmissionStage
from birchslip.net.stages.downstream_caller import DownstreamCaller
from birchslip.net.stages.request_decoder import RequestDecoder
from birchslip.net.stages.response_recorder import ResponseRecorder
from birchslip.net.stages.run_dispatcher import RunDispatcher
from birchslip.net.vault import CALL_OUTCOMES

from .desk import profile

KEYED = profile(Idempotency.KEYED, key_retention=5 * SECOND)
IDEMPOTENT = profile()


class RecordingPeer:
    """Stands for the agent, the vault, a router's connection and the log: keeps what it is told."""

    def __init__(self):
        self.said, self.runs, self.open_requests = [], {}, {}

    def __getattr__(self, name):
        return lambda *parts, **_: self.said.append(
            (name, *(p for p in parts if not isinstance(p, RequestContext)))
        )

    def launch(self, context):
        self.runs[context.request_id] = context
        self.said.append(("launch", context.request_id))


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
        return RecordingPeer()


class Pipeline:
    """The stages, with what the decisions hear kept in place of the decisions."""

    def __init__(self):
        self.clock, self.counters = Clock(), Counters()
        self.agent, self.vault, self.log = RecordingPeer(), RecordingPeer(), RecordingPeer()
        self.idempotency_table = IdempotencyTable(4 * SECOND)
        self.admission_stage = AdmissionStage(self.clock, self.counters, self.idempotency_table)
        self.response_recorder = ResponseRecorder(
            self.counters, self.log, self.idempotency_table, self.admission_stage
        )
        self.downstream_caller = DownstreamCaller(
            self.clock, self.counters, self.agent, self.vault, self.admission_stage
        )
        self.run_dispatcher = RunDispatcher(
            self.counters,
            self.log,
            self.agent,
            self.idempotency_table,
            self.admission_stage,
            self.downstream_caller,
            self.response_recorder,
        )
        self.action_dispatcher = ActionDispatcher(
            self.clock,
            self.idempotency_table,
            self.run_dispatcher,
            self.downstream_caller,
            self.response_recorder,
        )

    def make_context(self, name="a", kind=IDEMPOTENT, key="", original=None):
        now = self.clock.now
        request = Request(kind, 0, now, now + kind.deadline, 100, original=original and original.request)
        context = RequestContext(
            RecordingPeer(),
            7,
            name,
            "lookup",
            b"body",
            request,
            now,
            key,
            original and self.idempotency_table.find(key, now),
        )
        request.context = context
        return context

    def perform(self, context, *actions):
        for action in actions:
            self.action_dispatcher.perform(context.request, action)
        return self

    def take_events(self):
        heard = [(context.request_id, event) for context, event in self.admission_stage.pending_events]
        self.admission_stage.pending_events.clear()
        return heard


@pytest.fixture
def pipeline():
    return Pipeline()


@pytest.mark.parametrize(
    ("action", "answer"),
    [
        (Reject(), ("send_rejection", 7, 0, False)),
        (Reject(2501, True), ("send_rejection", 7, 2501, True)),
        (Fail(), ("send_error", 7)),
    ],
)
def test_final_answers_are_given_once(pipeline, action, answer):
    context = pipeline.make_context()
    pipeline.perform(context, action, action, Reject(), Fail())
    pipeline.response_recorder.on_caller_gone(context)
    assert context.channel.said == [answer]
    assert pipeline.take_events() == []


@pytest.mark.parametrize(
    ("end", "answer"),
    [
        ("done", ("send_result", 7, b"made")),
        ("crashed", ("send_error", 7)),
        ("aborted", ("send_error", 7)),
        ("stale", ("send_error", 7)),
    ],
)
def test_the_end_of_a_run_answers_and_is_heard(pipeline, end, answer):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun())
    pipeline.run_dispatcher.on_run_ended(context, RUN_OUTCOMES[end], b"made", 40)
    assert context.channel.said == [answer]
    assert pipeline.take_events() == [("a", RunEnded(RUN_OUTCOMES[end], 40))]


def test_a_stop_goes_only_to_what_runs(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StopRun(), StartRun(), StopRun())
    assert pipeline.agent.said == [("launch", "a"), ("stop_run",)]


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
def test_the_vaults_words(pipeline, word, outcome):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun())
    pipeline.downstream_caller.on_call_needed(context, 3, b"question")
    pipeline.perform(context, CallDownstream(2500))
    pipeline.clock.now += 30
    pipeline.downstream_caller.on_call_ended(context, CALL_OUTCOMES[word], b"reply")
    assert pipeline.vault.said == [("call", 250, b"question")]
    assert pipeline.take_events() == [("a", CallNeeded()), ("a", CallEnded(outcome, 30))]
    assert (("deliver", b"reply") in pipeline.agent.said) == (outcome is Outcome.SERVED)


def test_a_call_past_its_limit_is_given_up(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), CallDownstream(2500))
    due, action = pipeline.clock.timers[0]
    assert due == pipeline.clock.now + 2500
    action()
    assert pipeline.vault.said[-1] == ("cancel_call",)
    assert pipeline.take_events() == [("a", CallEnded(Outcome.TIMED_OUT, 0))]


@pytest.mark.parametrize("over", ["written off", "run ended"])
def test_no_call_is_left_behind_by_what_is_over(pipeline, over):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), CallDownstream(2500))
    if over == "written off":
        pipeline.perform(context, Fail(), Fail())
    else:
        pipeline.run_dispatcher.on_run_ended(context, Outcome.CANCELLED, b"", 0)
    assert pipeline.vault.said[1:] == [("cancel_call",)]


def test_a_skipped_call_names_its_notice(pipeline):
    context = pipeline.make_context()
    pipeline.downstream_caller.on_call_needed(context, 3, b"question")
    pipeline.perform(context, SkipCall())
    assert pipeline.agent.said == [("skip_call",)]
    assert context.call_notice_number == 3


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
def test_told_times_are_bounded(pipeline, stamp, wait, arrived, due):
    now = pipeline.clock.now
    decoder = RequestDecoder(pipeline.clock, pipeline.counters, pipeline.log, site().settings, ["lookup"], [])
    decoder.is_id_in_use = lambda name: False
    told = DecodedRequest("a" * 16, "lookup", b"", now + stamp, wait, 1, "", 100, False, "")
    context = decoder.build_context(RecordingPeer(), 7, told)
    request = context.request
    assert (request.arrived_at - now, request.deadline - now, context.received_at) == (
        arrived,
        due,
        now + min(stamp, 0),
    )


# ---- labels ------------------------------------------------------------------------------------------------

START = 100 * SECOND


@pytest.mark.parametrize(
    ("fate", "arrived", "found"),
    [
        ("held", START + 1, "a"),
        ("held", START + 5 * SECOND, "a"),
        ("held", START + 5 * SECOND + RETENTION_SLACK, "a"),  # limits of time are 50 ms longer on sockets
        ("held", START + 5 * SECOND + RETENTION_SLACK + 1, None),
        ("forgotten", START + 1, None),
        ("ran", START + 5 * SECOND + RETENTION_SLACK, "a"),
        ("ran", START + 5 * SECOND + RETENTION_SLACK + 1, None),
        ("ran and forgotten", START + 1, "a"),  # what has run is not forgotten before its window is over
        ("moved", START + 1, "b"),
        ("ran, then moved", START + 1, "a"),  # the one that ran comes before the one with the entry
    ],
)
def test_who_is_repeated(pipeline, fate, arrived, found):
    first, second = (pipeline.make_context(name, KEYED, "key") for name in "ab")
    pipeline.perform(first, StoreKey(KEYED.key_retention))
    if fate.startswith("ran"):
        pipeline.perform(first, StartRun())
    if "moved" in fate:
        pipeline.perform(second, StoreKey(KEYED.key_retention))
    if "forgotten" in fate:
        pipeline.perform(first, ReleaseKey())
    entry = pipeline.idempotency_table.find("key", arrived)
    assert (entry and entry.original.request_id) == found


@pytest.mark.parametrize("end", [None, Outcome.SERVED, Outcome.CANCELLED])
def test_one_label_is_launched_once_whatever_is_wished(pipeline, end):
    first, second = (pipeline.make_context(name, KEYED, "key") for name in "ab")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun(), Fail())
    if end:
        pipeline.run_dispatcher.on_run_ended(first, end, b"made", 0)
    pipeline.clock.now += 5 * SECOND - 1
    pipeline.perform(second, StoreKey(KEYED.key_retention), StartRun())
    assert [said for said in pipeline.agent.said if said[0] == "launch"] == [("launch", "a")]
    if not end:
        pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    assert second.channel.said[0][0] == ("send_error" if end is Outcome.CANCELLED else "send_result")


@pytest.mark.parametrize("ahead", [-3 * SECOND, 0, 2 * SECOND])
def test_a_window_is_counted_by_the_later_of_two_clocks(pipeline, ahead):
    """Guards against a second run where the stamp of the one that ran lies ahead of our clock."""
    first = pipeline.make_context("a", KEYED, "key")
    first.router_timestamp = pipeline.clock.now + ahead
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun())
    pipeline.idempotency_table.complete(first, RunResult(Outcome.SERVED, b"made"))
    pipeline.clock.now += max(0, ahead) + KEYED.key_retention
    assert pipeline.idempotency_table.find("key", pipeline.clock.now) is not None
    pipeline.idempotency_table.remove_expired(
        pipeline.clock.now + RETENTION_SLACK + pipeline.idempotency_table.max_deadline
    )
    assert pipeline.idempotency_table.find("key", pipeline.clock.now + RETENTION_SLACK) is not None
    assert pipeline.idempotency_table.find("key", pipeline.clock.now + RETENTION_SLACK + 1) is None


def test_a_label_runs_again_after_its_window(pipeline):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun())
    pipeline.clock.now += 5 * SECOND + RETENTION_SLACK + 1
    second = pipeline.make_context("b", KEYED, "key")
    pipeline.perform(second, StoreKey(KEYED.key_retention), StartRun())
    assert [said[1] for said in pipeline.agent.said] == ["a", "b"]
    pipeline.run_dispatcher.on_run_ended(
        first, Outcome.SERVED, b"old", 0
    )  # the old run ends late: it is not the new one's
    assert first.channel.said == [("send_result", 7, b"old")]
    assert second.channel.said == []


@pytest.mark.parametrize(
    ("fate", "answer", "outcome"),
    [
        ("ended before", ("send_result", 7, b"made"), Outcome.SERVED),
        ("ends later", ("send_result", 7, b"made"), Outcome.SERVED),
        ("crashes", ("send_error", 7), Outcome.FAILED),
        ("is dropped", ("send_error", 7), Outcome.FAILED),
    ],
)
def test_a_repeat_shares_the_outcome(pipeline, fate, answer, outcome):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention))
    if fate != "is dropped":
        pipeline.perform(first, StartRun())
    if fate == "ended before":
        pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    repeat = pipeline.make_context("b", KEYED, "key", first)
    pipeline.perform(repeat, AttachToOriginal())
    if fate == "is dropped":
        pipeline.perform(first, ReleaseKey(), Reject())
    elif fate != "ended before":
        pipeline.run_dispatcher.on_run_ended(
            first, Outcome.FAILED if fate == "crashes" else Outcome.SERVED, b"made", 0
        )
    assert repeat.channel.said == [answer]
    assert ("b", RunEnded(outcome)) in pipeline.take_events()


def test_a_shed_is_never_said_of_what_has_run(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), Reject(100, True))
    assert context.channel.said == [("send_error", 7)]


def test_a_repeat_that_was_answered_is_not_answered_again(pipeline):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun())
    repeat = pipeline.make_context("b", KEYED, "key", first)
    pipeline.perform(repeat, AttachToOriginal(), Fail())
    pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    assert repeat.channel.said == [("send_error", 7)]


def test_entries_and_results_are_dropped_after_their_time(pipeline):
    for place in range(100):
        context = pipeline.make_context(str(place), KEYED, f"key{place}")
        pipeline.perform(context, StoreKey(KEYED.key_retention), StartRun())
        pipeline.idempotency_table.complete(context, RunResult(Outcome.SERVED, b"x" * 4096))
        pipeline.clock.now += SECOND
    assert len(pipeline.idempotency_table.entries) <= 11
    assert len(pipeline.idempotency_table.expiry_heap) <= 11


@pytest.mark.parametrize("fate", ["honoured", "shed", "given up", "gone", "repeated", "refused"])
def test_what_is_over_is_freed_without_a_collection(pipeline, fate):
    pipeline.agent = pipeline.run_dispatcher.agent = RecordingPeer()
    pipeline.admission_stage.perform, pipeline.admission_stage.announce = (
        pipeline.action_dispatcher.perform,
        lambda notice: None,
    )
    pipeline.admission_stage.on_fault = pipeline.response_recorder.handle_fault
    pipeline.admission_stage.start(AdmissionSettings([KEYED], cores=1), pipeline.clock.now)
    gc.collect()
    gc.disable()
    try:
        first = pipeline.make_context("a", KEYED, "key")
        pipeline.admission_stage.submit(first)
        if fate == "shed":
            first.request.deadline = first.request.arrived_at
        pipeline.admission_stage.process_pending()
        watched = [weakref.ref(first.request)]
        if fate == "repeated":
            second = pipeline.make_context("b", KEYED, "key")
            watched.append(weakref.ref(second.request))
            pipeline.admission_stage.submit(second)
            pipeline.admission_stage.process_pending()
            del second
        if fate in ("given up", "gone"):
            pipeline.downstream_caller.cancel_call(first)
            pipeline.response_recorder.on_caller_gone(
                first
            ) if fate == "gone" else pipeline.response_recorder.send_error(first)
            pipeline.admission_stage.process_pending()
        if fate == "refused":
            pipeline.run_dispatcher.on_launch_refused(first)
        elif fate != "shed":
            pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
        pipeline.admission_stage.process_pending()
        del first
        pipeline.agent.runs.clear()
        pipeline.clock.now += 30 * SECOND
        pipeline.idempotency_table.remove_expired(pipeline.clock.now)
        pipeline.admission_stage.tick(Gauges())
        pipeline.admission_stage.process_pending()
        assert [ref() for ref in watched if ref() is not None] == []
    finally:
        gc.enable()


# ---- faults and phases -------------------------------------------------------------------------------------


def test_a_fault_writes_its_transaction_off_and_no_other(pipeline):
    bad, good = pipeline.make_context("a"), pipeline.make_context("b")
    stage = pipeline.response_recorder.guard(lambda context: 1 // (context is good))
    stage(bad)
    stage(good)
    assert bad.channel.said == [("send_error", 7)]
    assert good.channel.said == []
    assert pipeline.counters.counts["book.faults"] == 1


def test_a_fault_in_the_decisions_ends_one_path(pipeline):
    contexts = [pipeline.make_context("a"), pipeline.make_context("b")]

    def perform(request, action):
        if request.context.request_id == "a" and isinstance(action, StartRun):
            raise KeyError("made up")
        pipeline.action_dispatcher.perform(request, action)

    pipeline.admission_stage.perform, pipeline.admission_stage.announce, pipeline.admission_stage.on_fault = (
        perform,
        lambda notice: None,
        pipeline.response_recorder.handle_fault,
    )
    pipeline.admission_stage.start(site().settings, pipeline.clock.now)
    for context in contexts:
        pipeline.admission_stage.submit(context)
    pipeline.admission_stage.process_pending()
    assert contexts[0].channel.said == [("send_error", 7)]
    assert pipeline.agent.said == [("launch", "b")]


def site():
    here = ("127.0.0.1", 1)
    deployment = AdmissionSettings([IDEMPOTENT], cores=2)
    return ServerConfig(
        "t", here, here, here, None, 3 * SECOND, 64, 192 << 20, deployment, ["lookup"], [], []
    )


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
    program, pipeline = Program(site()), Pipeline()
    context = pipeline.make_context()
    program.admission_stage.submit(context)
    program.settle()
    assert context.channel.said == [("send_rejection", 7, 0, False)]
    assert program.passing()
    assert program.phase is Phase.STARTING


@pytest.mark.parametrize(("cold", "counted"), [(True, 20 * SECOND), (False, 0)])
def test_the_agents_age_counts_while_it_warms_up(cold, counted):
    """Guards against a quota that binds on a warm agent before the windows have been filled once."""
    program = Program(site())
    program.greeted(cold, program.scheduler.now - 20 * SECOND)
    controller = program.admission_stage.driver.controller
    assert (program.phase, controller.settings.starts_cold) == (Phase.SERVING, cold)
    assert controller.started_at == program.scheduler.now - counted


# ---- kept results ------------------------------------------------------------------------------------------


class FakeResultKeeper:
    """Stands for the result store: what waits for a flush is let go by hand."""

    def __init__(self):
        self.waiting, self.voided = [], []

    def record_start(self, request, listener):
        self.waiting.append(listener)

    def record_completion(self, request, run_result, listener):
        self.waiting.append(listener)

    def record_never_ran(self, request):
        self.voided.append(request.request_id)


@pytest.fixture
def kept(pipeline):
    pipeline.run_dispatcher.result_keeper = FakeResultKeeper()
    return pipeline


def begun(pipeline):
    context = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(context, StoreKey(KEYED.key_retention), StartRun())
    return context


def attached(pipeline, first):
    repeat = pipeline.make_context("b", KEYED, "key", original=first)
    repeat.entry = first.entry
    pipeline.perform(repeat, AttachToOriginal())
    return repeat


def test_a_launch_waits_for_its_flush_and_an_answer_for_its_own(kept):
    context = begun(kept)
    assert not context.is_launched
    assert kept.agent.said == []
    kept.run_dispatcher.result_keeper.waiting.pop()(True)
    assert context.is_launched
    kept.run_dispatcher.on_run_ended(context, Outcome.SERVED, b"made", 5)
    assert context.channel.said == []
    assert kept.take_events() == []
    kept.run_dispatcher.result_keeper.waiting.pop()(
        False
    )  # the disk would keep it too long: it is answered all the same
    assert context.channel.said == [("send_result", 7, b"made")]
    assert [event.outcome for _, event in kept.take_events()] == [Outcome.SERVED]


def test_what_could_not_be_kept_and_all_its_repeats_are_shed_and_may_run_another_time(kept):
    context = begun(kept)
    repeat = attached(kept, context)
    kept.run_dispatcher.result_keeper.waiting.pop()(False)
    assert context.channel.said == repeat.channel.said == [("send_rejection", 7, 0, False)]
    assert [(name, event.outcome) for name, event in kept.take_events()] == [
        ("a", Outcome.SUPERSEDED),
        ("b", Outcome.SUPERSEDED),
    ]
    assert kept.idempotency_table.find("key", kept.clock.now) is None
    assert kept.agent.said == []
    again = begun(kept)
    kept.run_dispatcher.result_keeper.waiting.pop()(True)
    assert again.is_launched


def test_one_that_was_written_off_while_it_waited_is_never_launched(kept):
    context = begun(kept)
    kept.response_recorder.send_error(context)
    kept.run_dispatcher.result_keeper.waiting.pop()(True)
    assert not context.is_launched
    assert kept.agent.said == []
    assert kept.run_dispatcher.result_keeper.voided == ["a"]
    assert context.channel.said == [("send_error", 7)]
