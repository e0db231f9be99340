"""The idempotency table, the stages of the request pipeline, and the program's phases, without sockets."""

import gc
import weakref

import pytest

from birchslip.admission.types import (
    MS,
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
from birchslip.net.agent_messages import RUN_OUTCOMES
from birchslip.net.counters import Counters
from birchslip.net.idempotency_table import RETENTION_SLACK, IdempotencyTable
from birchslip.net.launched_ids import LaunchedIds
from birchslip.net.program import PHASE_TRANSITIONS, Phase, Program
from birchslip.net.request_context import DecodedRequest, RequestContext, RunResult
from birchslip.net.site import ServerConfig
from birchslip.net.stages.action_dispatcher import ActionDispatcher
from birchslip.net.stages.admission_stage import AdmissionStage
from birchslip.net.stages.downstream_caller import DownstreamCaller
from birchslip.net.stages.request_decoder import RequestDecoder
from birchslip.net.stages.response_recorder import ResponseRecorder
from birchslip.net.stages.run_dispatcher import RunDispatcher
from birchslip.net.vault import CALL_OUTCOMES

from .decision_harness import make_request_class

KEYED = make_request_class(Idempotency.KEYED, key_retention=5 * SECOND)
IDEMPOTENT = make_request_class()


class RecordingPeer:
    """Replaces the agent, the vault, a router's connection or the log: records the calls of its methods."""

    def __init__(self):
        self.calls, self.runs, self.open_requests = [], {}, {}

    def __getattr__(self, name):
        return lambda *parts, **_: self.calls.append(
            (name, *(p for p in parts if not isinstance(p, RequestContext)))
        )

    def has_peer_closed(self):
        return False

    def launch(self, context):
        self.runs[context.request_id] = context
        self.calls.append(("launch", context.request_id))


class FakeScheduler:
    """Replaces the scheduler: tests set the time, and timers are recorded."""

    def __init__(self):
        self.now, self.timers = 100 * SECOND, []

    def update_clock(self):
        return self.now

    def request_pass(self):
        pass

    def at(self, due_at, action):
        self.timers.append((due_at, action))
        return RecordingPeer()


class Pipeline:
    """All stages of the pipeline; events for admission stay pending, for tests to take."""

    def __init__(self):
        self.clock, self.counters = FakeScheduler(), Counters()
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
            LaunchedIds(4 * SECOND, 4096),
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
        events = [(context.request_id, event) for context, event in self.admission_stage.pending_events]
        self.admission_stage.pending_events.clear()
        return events


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
def test_answers_each_request_once(pipeline, action, answer):
    context = pipeline.make_context()
    pipeline.perform(context, action, action, Reject(), Fail())
    pipeline.response_recorder.on_caller_gone(context)
    assert context.channel.calls == [answer]
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
def test_run_end_answers_request_and_notifies_admission(pipeline, end, answer):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun())
    pipeline.run_dispatcher.on_run_ended(context, RUN_OUTCOMES[end], b"made", 40)
    assert context.channel.calls == [answer]
    assert pipeline.take_events() == [("a", RunEnded(RUN_OUTCOMES[end], 40))]


def test_stop_is_sent_only_for_launched_run(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StopRun(), StartRun(), StopRun())
    assert pipeline.agent.calls == [("launch", "a"), ("stop_run",)]


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
def test_maps_each_vault_reply_to_an_outcome(pipeline, word, outcome):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun())
    pipeline.downstream_caller.on_call_needed(context, 3, b"question")
    pipeline.perform(context, CallDownstream(2500))
    pipeline.clock.now += 30
    pipeline.downstream_caller.on_call_ended(context, CALL_OUTCOMES[word], b"reply")
    assert pipeline.vault.calls == [("call", 250, b"question")]
    assert pipeline.take_events() == [("a", CallNeeded()), ("a", CallEnded(outcome, 30))]
    assert (("deliver", b"reply") in pipeline.agent.calls) == (outcome is Outcome.SERVED)


def test_call_is_cancelled_at_its_timeout(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), CallDownstream(2500))
    due_at, action = pipeline.clock.timers[0]
    assert due_at == pipeline.clock.now + 2500
    action()
    assert pipeline.vault.calls[-1] == ("cancel_call",)
    assert pipeline.take_events() == [("a", CallEnded(Outcome.TIMED_OUT, 0))]


@pytest.mark.parametrize("ending", ["request failed", "run ended"])
def test_call_is_cancelled_once_when_request_or_run_ends(pipeline, ending):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), CallDownstream(2500))
    if ending == "request failed":
        pipeline.perform(context, Fail(), Fail())
    else:
        pipeline.run_dispatcher.on_run_ended(context, Outcome.CANCELLED, b"", 0)
    assert pipeline.vault.calls[1:] == [("cancel_call",)]


@pytest.mark.parametrize(
    ("weight_without_call", "is_answered", "skips_call"),
    [(0.3, False, True), (0.3, True, False), (0.0, False, False)],
)
def test_unconfirmed_reply_makes_run_skip_its_call_if_allowed(
    pipeline, weight_without_call, is_answered, skips_call
):
    """Guards against a `forgo` that the site forbids, and against one for a request that is over."""
    context = pipeline.make_context(kind=make_request_class(weight_without_call=weight_without_call))
    context.is_answered = is_answered
    pipeline.downstream_caller.on_reply_unconfirmed(context)
    assert pipeline.agent.calls == [("skip_call",)] * skips_call


def test_skipped_call_refers_to_its_notice(pipeline):
    context = pipeline.make_context()
    pipeline.downstream_caller.on_call_needed(context, 3, b"question")
    pipeline.perform(context, SkipCall())
    assert pipeline.agent.calls == [("skip_call",)]
    assert context.call_notice_number == 3


@pytest.mark.parametrize(
    ("timestamp", "timeout", "arrived_at", "deadline"),
    [
        (-100, 4800, -100, 4700),
        (-100, 900_000, -100, 39_900),
        (-5000, 3000, -5000, 0),  # the deadline passed before it was read: due now
        (600_000, 4800, 0, 4800),  # ahead of our clock: received now
        (-600_000, 4800, -40_000, 0),  # wrong: received no longer ago than the deadline of the class
    ],
)
def test_bounds_arrival_and_deadline_derived_from_router_timestamp(
    pipeline, timestamp, timeout, arrived_at, deadline
):
    now = pipeline.clock.now
    decoder = RequestDecoder(
        pipeline.clock, pipeline.counters, pipeline.log, server_config().settings, ["lookup"], []
    )
    decoder.is_id_in_use = lambda name: False
    decoded = DecodedRequest("a" * 16, "lookup", b"", now + timestamp, timeout, 1, "", 100, False, "")
    context = decoder.build_context(RecordingPeer(), 7, decoded)
    request = context.request
    assert (request.arrived_at - now, request.deadline - now, context.received_at) == (
        arrived_at,
        deadline,
        now + min(timestamp, 0),
    )


# ---- idempotency keys --------------------------------------------------------------------------------------

START = 100 * SECOND


@pytest.mark.parametrize(
    ("case", "received_at", "found"),
    [
        ("stored", START + 1, "a"),
        ("stored", START + 5 * SECOND, "a"),
        ("stored", START + 5 * SECOND + RETENTION_SLACK, "a"),  # time limits are 50 ms longer on sockets
        ("stored", START + 5 * SECOND + RETENTION_SLACK + 1, None),
        ("released", START + 1, None),
        ("ran", START + 5 * SECOND + RETENTION_SLACK, "a"),
        ("ran", START + 5 * SECOND + RETENTION_SLACK + 1, None),
        ("ran, then released", START + 1, "a"),  # a key that ran is retained until its window ends
        ("replaced", START + 1, "b"),
        ("ran, then replaced", START + 1, "a"),  # the attempt that ran, not the last one stored
    ],
)
def test_finds_original_of_repeat_by_time_of_receipt(pipeline, case, received_at, found):
    first, second = (pipeline.make_context(name, KEYED, "key") for name in "ab")
    pipeline.perform(first, StoreKey(KEYED.key_retention))
    if case.startswith("ran"):
        pipeline.perform(first, StartRun())
    if "replaced" in case:
        pipeline.perform(second, StoreKey(KEYED.key_retention))
    if "released" in case:
        pipeline.perform(first, ReleaseKey())
    entry = pipeline.idempotency_table.find("key", received_at)
    assert (entry and entry.original.request_id) == found


@pytest.mark.parametrize("end", [None, Outcome.SERVED, Outcome.CANCELLED])
def test_launches_each_key_once_despite_second_start_action(pipeline, end):
    first, second = (pipeline.make_context(name, KEYED, "key") for name in "ab")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun(), Fail())
    if end:
        pipeline.run_dispatcher.on_run_ended(first, end, b"made", 0)
    pipeline.clock.now += 5 * SECOND - 1
    pipeline.perform(second, StoreKey(KEYED.key_retention), StartRun())
    assert [call for call in pipeline.agent.calls if call[0] == "launch"] == [("launch", "a")]
    if not end:
        pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    assert second.channel.calls[0][0] == ("send_error" if end is Outcome.CANCELLED else "send_result")


@pytest.mark.parametrize("ahead", [-3 * SECOND, 0, 2 * SECOND])
def test_retention_starts_at_later_of_router_and_server_clock(pipeline, ahead):
    """Guards against a second run of a key if the router's timestamp of the first is ahead of our clock."""
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


def test_key_may_run_again_after_its_retention(pipeline):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun())
    pipeline.clock.now += 5 * SECOND + RETENTION_SLACK + 1
    second = pipeline.make_context("b", KEYED, "key")
    pipeline.perform(second, StoreKey(KEYED.key_retention), StartRun())
    assert [call[1] for call in pipeline.agent.calls] == ["a", "b"]
    # The first run ends late: its result must not answer the second request.
    pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"old", 0)
    assert first.channel.calls == [("send_result", 7, b"old")]
    assert second.channel.calls == []


@pytest.mark.parametrize(
    ("case", "answer", "outcome"),
    [
        ("ended before", ("send_result", 7, b"made"), Outcome.SERVED),
        ("ends later", ("send_result", 7, b"made"), Outcome.SERVED),
        ("crashes", ("send_error", 7), Outcome.FAILED),
        ("is dropped", ("send_error", 7), Outcome.FAILED),
    ],
)
def test_repeat_is_answered_with_result_of_original(pipeline, case, answer, outcome):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention))
    if case != "is dropped":
        pipeline.perform(first, StartRun())
    if case == "ended before":
        pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    repeat = pipeline.make_context("b", KEYED, "key", first)
    pipeline.perform(repeat, AttachToOriginal())
    if case == "is dropped":
        pipeline.perform(first, ReleaseKey(), Reject())
    elif case != "ended before":
        pipeline.run_dispatcher.on_run_ended(
            first, Outcome.FAILED if case == "crashes" else Outcome.SERVED, b"made", 0
        )
    assert repeat.channel.calls == [answer]
    assert ("b", RunEnded(outcome)) in pipeline.take_events()


def test_launched_request_gets_error_instead_of_rejection(pipeline):
    context = pipeline.make_context()
    pipeline.perform(context, StartRun(), Reject(100, True))
    assert context.channel.calls == [("send_error", 7)]


def test_repeat_answered_before_run_ends_is_not_answered_twice(pipeline):
    first = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(first, StoreKey(KEYED.key_retention), StartRun())
    repeat = pipeline.make_context("b", KEYED, "key", first)
    pipeline.perform(repeat, AttachToOriginal(), Fail())
    pipeline.run_dispatcher.on_run_ended(first, Outcome.SERVED, b"made", 0)
    assert repeat.channel.calls == [("send_error", 7)]


def test_removes_expired_entries(pipeline):
    for number in range(100):
        context = pipeline.make_context(str(number), KEYED, f"key{number}")
        pipeline.perform(context, StoreKey(KEYED.key_retention), StartRun())
        pipeline.idempotency_table.complete(context, RunResult(Outcome.SERVED, b"x" * 4096))
        pipeline.clock.now += SECOND
    assert len(pipeline.idempotency_table.entries) <= 11
    assert len(pipeline.idempotency_table.expiry_queue) <= 11


@pytest.mark.parametrize(
    "case", ["served", "rejected", "failed", "caller gone", "repeated", "launch refused"]
)
def test_finished_request_is_freed_without_garbage_collection(pipeline, case):
    pipeline.agent = pipeline.run_dispatcher.agent = RecordingPeer()
    start_admission(pipeline)
    gc.collect()
    gc.disable()
    try:
        first = pipeline.make_context("a", KEYED, "key")
        pipeline.admission_stage.submit(first)
        if case == "rejected":
            first.request.deadline = first.request.arrived_at
        pipeline.admission_stage.process_pending()
        watched = [weakref.ref(first.request)]
        if case == "repeated":
            second = pipeline.make_context("b", KEYED, "key")
            watched.append(weakref.ref(second.request))
            pipeline.admission_stage.submit(second)
            pipeline.admission_stage.process_pending()
            del second
        if case in ("failed", "caller gone"):
            pipeline.downstream_caller.cancel_call(first)
            recorder = pipeline.response_recorder
            recorder.on_caller_gone(first) if case == "caller gone" else recorder.send_error(first)
            pipeline.admission_stage.process_pending()
        if case == "launch refused":
            pipeline.run_dispatcher.on_launch_refused(first)
        elif case != "rejected":
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


def start_admission(pipeline):
    """Connect the stages to admission control with one core, as the program does."""
    pipeline.admission_stage.perform, pipeline.admission_stage.announce = (
        pipeline.action_dispatcher.perform,
        lambda notice: None,
    )
    pipeline.admission_stage.on_fault = pipeline.response_recorder.handle_fault
    pipeline.admission_stage.start(AdmissionSettings([KEYED], cores=1), pipeline.clock.now)
    return pipeline.admission_stage


# Guards against memory that grows with each request until its deadline or the retention of its key is over,
# although the request has ended (review case 6).
@pytest.mark.parametrize("ending", ["taken back", "launch refused"])
def test_ended_requests_are_not_kept_until_their_deadline_or_retention(pipeline, ending):
    admission = start_admission(pipeline)
    controller = admission.driver.controller
    if ending == "taken back":  # they wait behind a run that goes on
        admission.submit(pipeline.make_context("running", KEYED, "running"))
        admission.process_pending()
    used_before = controller.memory.used
    watched = []
    for number in range(1000):
        context = pipeline.make_context(str(number), KEYED, f"key{number}")
        watched.append(weakref.ref(context.request))
        admission.submit(context)
        admission.process_pending()
        if ending == "taken back":
            pipeline.response_recorder.on_caller_gone(context)
        else:
            pipeline.run_dispatcher.on_launch_refused(pipeline.agent.runs.pop(str(number)))
        admission.process_pending()
        pipeline.clock.now += MS
    assert controller.memory.used == used_before
    assert sum(ref() is not None for ref in watched) < 200
    assert len(pipeline.idempotency_table.entries) <= 1


# Guards against memory that grows while a keyed run goes on: repeats of it that were taken back stayed.
def test_repeats_taken_back_are_not_kept_until_the_run_ends(pipeline):
    admission = start_admission(pipeline)
    admission.submit(pipeline.make_context("running", KEYED, "key"))
    admission.process_pending()
    watched = []
    for number in range(500):
        repeat = pipeline.make_context(str(number), KEYED, "key")
        watched.append(weakref.ref(repeat.request))
        admission.submit(repeat)
        admission.process_pending()
        pipeline.response_recorder.on_caller_gone(repeat)
        admission.process_pending()
    last = pipeline.make_context("last", KEYED, "key")
    admission.submit(last)
    admission.process_pending()
    assert sum(ref() is not None for ref in watched) < 100
    pipeline.run_dispatcher.on_run_ended(pipeline.agent.runs.pop("running"), Outcome.SERVED, b"made", 0)
    assert last.channel.calls == [("send_result", 7, b"made")]


# ---- exceptions and phases ---------------------------------------------------------------------------------


def test_exception_in_stage_fails_only_its_request(pipeline):
    bad, good = pipeline.make_context("a"), pipeline.make_context("b")
    stage = pipeline.response_recorder.guard(lambda context: 1 // (context is good))
    stage(bad)
    stage(good)
    assert bad.channel.calls == [("send_error", 7)]
    assert good.channel.calls == []
    assert pipeline.counters.counts["book.faults"] == 1


def test_exception_in_admission_fails_only_its_request(pipeline):
    contexts = [pipeline.make_context("a"), pipeline.make_context("b")]

    def perform_or_raise(request, action):
        if request.context.request_id == "a" and isinstance(action, StartRun):
            raise KeyError("made up")
        pipeline.action_dispatcher.perform(request, action)

    pipeline.admission_stage.perform, pipeline.admission_stage.announce, pipeline.admission_stage.on_fault = (
        perform_or_raise,
        lambda notice: None,
        pipeline.response_recorder.handle_fault,
    )
    pipeline.admission_stage.start(server_config().settings, pipeline.clock.now)
    for context in contexts:
        pipeline.admission_stage.submit(context)
    pipeline.admission_stage.process_pending()
    assert contexts[0].channel.calls == [("send_error", 7)]
    assert pipeline.agent.calls == [("launch", "b")]


def server_config():
    here = ("127.0.0.1", 1)
    settings = AdmissionSettings([IDEMPOTENT], cores=2)
    return ServerConfig("t", here, here, here, None, 3 * SECOND, 64, 192 << 20, settings, ["lookup"], [], [])


@pytest.mark.parametrize("phase", Phase)
def test_program_rejects_phase_changes_that_are_not_listed(phase):
    program = Program(server_config())
    for target in Phase:
        program.phase = phase
        if target in PHASE_TRANSITIONS[phase]:
            program.enter_phase(target)
            assert program.phase is target
        else:
            with pytest.raises(RuntimeError, match=target.value):
                program.enter_phase(target)


def test_every_phase_leads_to_ended():
    for phase in Phase:
        while phase is not Phase.ENDED:
            assert PHASE_TRANSITIONS[phase]
            phase = PHASE_TRANSITIONS[phase][-1]


def test_before_agent_greeting_rejects_requests_and_passes_health_checks():
    program, pipeline = Program(server_config()), Pipeline()
    context = pipeline.make_context()
    program.admission_stage.submit(context)
    program.finish_pass()
    assert context.channel.calls == [("send_rejection", 7, 0, False)]
    assert program.is_passing()
    assert program.phase is Phase.STARTING


@pytest.mark.parametrize(("cold", "counted"), [(True, 20 * SECOND), (False, 0)])
def test_age_of_agent_counts_only_for_warm_up(cold, counted):
    """Guards against a quota that applies to a warm agent before its quota windows were filled once."""
    program = Program(server_config())
    program.on_agent_greeting(cold, program.scheduler.now - 20 * SECOND)
    controller = program.admission_stage.driver.controller
    assert (program.phase, controller.settings.starts_cold) == (Phase.SERVING, cold)
    assert controller.started_at == program.scheduler.now - counted


# ---- stored results ----------------------------------------------------------------------------------------


class FakeResultKeeper:
    """Replaces the result store: tests call the listeners that wait for a flush."""

    def __init__(self):
        self.listeners, self.never_ran = [], []

    def record_start(self, context, listener):
        self.listeners.append(listener)

    def record_completion(self, context, run_result, listener):
        self.listeners.append(listener)

    def record_never_ran(self, context):
        self.never_ran.append(context.request_id)


@pytest.fixture
def storing_pipeline(pipeline):
    pipeline.run_dispatcher.result_keeper = FakeResultKeeper()
    return pipeline


def start_keyed_run(pipeline):
    context = pipeline.make_context("a", KEYED, "key")
    pipeline.perform(context, StoreKey(KEYED.key_retention), StartRun())
    return context


def attach_repeat(pipeline, first):
    repeat = pipeline.make_context("b", KEYED, "key", original=first)
    repeat.entry = first.entry
    pipeline.perform(repeat, AttachToOriginal())
    return repeat


def test_launch_and_answer_each_wait_for_their_record(storing_pipeline):
    context = start_keyed_run(storing_pipeline)
    assert not context.is_launched
    assert storing_pipeline.agent.calls == []
    storing_pipeline.run_dispatcher.result_keeper.listeners.pop()(True)
    assert context.is_launched
    storing_pipeline.run_dispatcher.on_run_ended(context, Outcome.SERVED, b"made", 5)
    assert context.channel.calls == []
    assert storing_pipeline.take_events() == []
    # The disk takes too long: the request is answered nevertheless.
    storing_pipeline.run_dispatcher.result_keeper.listeners.pop()(False)
    assert context.channel.calls == [("send_result", 7, b"made")]
    assert [event.outcome for _, event in storing_pipeline.take_events()] == [Outcome.SERVED]


def test_unrecorded_start_rejects_request_and_repeats_and_frees_key(storing_pipeline):
    context = start_keyed_run(storing_pipeline)
    repeat = attach_repeat(storing_pipeline, context)
    storing_pipeline.run_dispatcher.result_keeper.listeners.pop()(False)
    assert context.channel.calls == repeat.channel.calls == [("send_rejection", 7, 0, False)]
    assert [(name, event.outcome) for name, event in storing_pipeline.take_events()] == [
        ("a", Outcome.SUPERSEDED),
        ("b", Outcome.SUPERSEDED),
    ]
    assert storing_pipeline.idempotency_table.find("key", storing_pipeline.clock.now) is None
    assert storing_pipeline.agent.calls == []
    retry = start_keyed_run(storing_pipeline)
    storing_pipeline.run_dispatcher.result_keeper.listeners.pop()(True)
    assert retry.is_launched


def test_request_failed_while_start_is_recorded_is_never_launched(storing_pipeline):
    context = start_keyed_run(storing_pipeline)
    storing_pipeline.response_recorder.send_error(context)
    storing_pipeline.run_dispatcher.result_keeper.listeners.pop()(True)
    assert not context.is_launched
    assert storing_pipeline.agent.calls == []
    assert storing_pipeline.run_dispatcher.result_keeper.never_ran == ["a"]
    assert context.channel.calls == [("send_error", 7)]
