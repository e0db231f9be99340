"""The result store in the request pipeline: notifications of flushes, and results for repeats."""

import pytest

from birchslip.admission.types import (
    SECOND,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    RequestState,
)
from birchslip.errors import InvalidInputError
from birchslip.idempotency.record_format import RecordState
from birchslip.idempotency.result_store import ResultStore
from birchslip.idempotency.settings_file import StoreSettings
from birchslip.lab.power import SimulatedDisk
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.request_context import RequestContext, RunResult
from birchslip.net.scheduler import Scheduler

RETENTION = 17 * SECOND
KEYED_CLASS = RequestClass(Idempotency.KEYED, SECOND, 4 * SECOND, key_retention=RETENTION)
SERVED = RunResult(Outcome.SERVED, b"made")


class Incarnation:
    """A store on a simulated disk; `flush` does the work of the writer thread."""

    def __init__(self, folder, system=None, now=10**13, **settings):
        self.system = system or SimulatedDisk()
        self.now, self.flushed, self.resolved = now, [], []
        self.scheduler = Scheduler(lambda: None, self.raise_fault, lambda: self.now)
        settings = StoreSettings(folder=str(folder), **{"stall_ms": 100, "entries": 10} | settings)
        self.counters = Counters()
        self.log = Log(self.scheduler, "a")
        self.store = ResultStore(
            self.scheduler, self.counters, self.log, settings, "a", [KEYED_CLASS], system=self.system
        )
        self.store.set_resolution_listener(self.resolve)

    def raise_fault(self, name, error):
        raise error

    def resolve(self, entry, run_result):
        entry.result = run_result
        self.resolved.append((run_result.outcome, run_result.body))

    def request(self, n, body=b"body", arrived_at=None):
        arrived_at = self.now if arrived_at is None else arrived_at
        request = Request(KEYED_CLASS, 0, arrived_at, arrived_at + KEYED_CLASS.deadline, 100)
        return RequestContext(None, n, f"{n:016x}", "order", body, request, arrived_at, f"{n:032x}")

    def start(self, n):
        request = self.request(n)
        self.store.record_start(request, lambda ok: self.flushed.append((n, "started", ok)))
        self.scheduler.run_due_timers()
        return request

    def complete(self, request, run_result=SERVED):
        number = int(request.request_id, 16)
        self.store.record_completion(
            request, run_result, lambda ok: self.flushed.append((number, "completed", ok))
        )

    def flush(self):
        for task in self.store.writer.execute_submitted():
            task.notify()
        return self

    def advance(self, seconds):
        self.now += int(seconds * SECOND)
        self.scheduler.update_clock()
        self.store.run_periodic_check()
        return self

    def restart(self):
        """Kill this incarnation and return the next one, on the same disk."""
        self.store.files.close()
        self.system.kill_process()
        return Incarnation(self.store.files.directory, self.system, self.now)

    def take_flushed(self):
        flushed, self.flushed = self.flushed, []
        return flushed


@pytest.fixture
def first(tmp_path):
    return Incarnation(tmp_path)


def test_no_run_is_launched_and_no_request_answered_before_its_flush(first):
    request = first.start(1)
    assert first.flushed == []
    assert first.flush().take_flushed() == [(1, "started", True)]
    first.complete(request)
    assert first.flushed == []
    assert first.flush().take_flushed() == [(1, "completed", True)]


def test_concurrent_records_share_one_flush(first):
    for n in range(5):
        first.start(n)
    before = first.system.flush_count
    first.flush()
    assert first.system.flush_count == before + 1
    assert len(first.flushed) == 5


def test_a_stalled_disk_rejects_new_keys_and_releases_pending_answers(first):
    request = first.start(1)
    first.flush().take_flushed()
    first.start(2)
    first.complete(request)
    first.advance(0.1)
    assert sorted(first.take_flushed()) == [(1, "completed", False), (2, "started", False)]
    assert first.store.capacity().remaining == 0
    assert not first.store.disk.is_healthy
    assert first.start(3)
    assert first.take_flushed() == [(3, "started", False)]
    first.flush()  # the stalled flush ends
    assert first.store.disk.is_healthy
    assert first.store.capacity().remaining > 0
    assert first.flushed == []
    later = first.restart()
    assert later.store.find_earlier_result(later.request(2)) is None  # it never ran
    assert later.store.find_earlier_result(later.request(1)) is not None


@pytest.mark.parametrize("failures", [1, 3])
def test_a_failed_disk_changes_its_state_and_recovers_without_a_restart(first, failures):
    first.start(1)
    first.system.failures_left = failures
    first.flush()
    assert first.take_flushed() == [(1, "started", False)]
    assert first.store.disk.state.value == "failed"
    assert first.store.capacity().remaining == 0
    first.system.failures_left = 0
    first.flush()
    for _ in range(60):
        first.advance(0.5).flush()
    assert first.store.disk.is_healthy
    assert first.store.capacity().remaining > 0
    second = first.start(2)
    assert first.flush().take_flushed() == [(2, "started", True)]
    first.complete(second)
    first.flush()
    later = first.restart()
    assert not later.store.recovered.is_in_doubt
    assert later.store.recovered.index.get(bytes.fromhex(f"{2:032x}"), second.received_at) is not None


def test_a_full_disk_stops_keyed_requests_until_there_is_room(first):
    first.system.capacity_bytes = sum(len(one.data) for one in first.system.files.values()) + 40
    first.start(1)
    first.flush()
    assert first.take_flushed() == [(1, "started", False)]
    assert "space" in first.store.disk.reason
    first.system.capacity_bytes = 1 << 30
    first.advance(1).flush()
    assert first.store.disk.is_healthy


def test_a_repeat_after_a_restart_gets_the_first_answer(first):
    request = first.start(1)
    first.flush()
    first.complete(request)
    first.flush()
    later = first.restart()
    entry = later.store.find_earlier_result(later.request(1))
    original = entry.original.request
    assert original.has_started  # so that the admission controller treats it as a repeat
    assert original.state is RequestState.COMPLETED
    assert entry.result is None
    assert later.store.find_earlier_result(later.request(1)) is entry
    later.flush()
    assert later.resolved == [(Outcome.SERVED, b"made")]
    assert entry.matches(later.request(1))
    assert not entry.matches(later.request(1, b"another body"))


def test_a_repeat_fails_if_its_stored_result_has_become_corrupt(first):
    request = first.start(1)
    first.flush()
    first.complete(request)
    first.flush()
    later = first.restart()
    segment = min(later.system.files)
    later.system.files[segment].data[-1] ^= 1
    later.store.find_earlier_result(later.request(1))
    later.flush()
    assert later.resolved == [(Outcome.FAILED, b"")]
    assert later.counters.counts["keep.unread"] == 1


@pytest.mark.parametrize(
    ("delay", "is_repeat"),
    [(RETENTION - 10, True), (RETENTION, True), (RETENTION + 10, False)],
    ids=["a millisecond before the end", "at the end", "a millisecond after the end"],
)
def test_a_key_is_retained_to_the_millisecond(first, delay, is_repeat):
    request = first.start(1)
    first.flush()
    first.complete(request)
    first.flush()
    later = first.restart()
    repeat = later.request(1, arrived_at=request.received_at + delay)
    assert (later.store.find_earlier_result(repeat) is not None) is is_repeat


def test_a_key_that_was_started_and_not_completed_is_unknown_until_the_agent_reports(first):
    request = first.start(1)
    first.flush()
    later = first.restart()
    assert later.store.recovered.unknown == 1
    entry = later.store.find_earlier_result(later.request(1))
    assert entry.result.outcome is Outcome.FAILED
    later.store.complete_earlier_run("unknown run", Outcome.SERVED, b"")
    later.store.complete_earlier_run(request.request_id, Outcome.SERVED, b"reported late")
    later.flush()
    entry = later.store.find_earlier_result(later.request(1))
    later.flush()
    assert later.resolved == [(Outcome.SERVED, b"reported late")]
    assert entry.result.body == b"reported late"
    last = later.restart()
    assert last.store.recovered.unknown == 0
    last.store.find_earlier_result(last.request(1))
    last.flush()
    assert last.resolved == [(Outcome.SERVED, b"reported late")]


def test_a_key_that_the_agent_never_ran_can_be_started_again(first):
    request = first.start(1)
    first.flush()
    later = first.restart()
    later.store.complete_earlier_run(request.request_id, Outcome.SUPERSEDED, b"")
    later.flush()
    assert later.store.find_earlier_result(later.request(1)) is None


def test_a_store_in_doubt_takes_no_new_keys_for_one_retention(first):
    for n in range(3):
        first.start(n)
    first.flush()
    segment_file = next(iter(first.system.files.values()))
    segment_file.data[32 + 7] ^= 1  # in the header of the first record
    later = first.restart()
    assert later.store.recovered.is_in_doubt
    assert later.store.recovered.fragment_counts[RecordState.LOST] == 1
    assert later.store.capacity().remaining == 0
    assert RETENTION - 10 <= later.store.capacity().time_until_room <= RETENTION
    later.advance(RETENTION / SECOND + 0.1)
    assert later.store.capacity().remaining > 0


def test_keys_of_earlier_incarnations_are_dropped_once_all_have_expired(first):
    first.start(1)
    first.flush()
    later = first.restart()
    later.store.find_earlier_result(later.request(1))
    later.advance(30).flush()
    assert later.store.earlier_results.is_empty
    assert later.store.earlier_results.entry_count == 0
    assert later.store.find_earlier_result(later.request(1, arrived_at=first.now)) is None
    assert len(later.system.files) == 1  # their segments are deleted as well


def test_a_full_store_takes_no_new_keys_and_reports_when_it_has_room(first):
    for n in range(10):
        first.start(n)
    first.flush()
    remaining, scarce_below, wait = first.store.capacity()
    assert (remaining, scarce_below) == (0, 2)
    assert wait > 10 * SECOND
    first.start(11)
    assert first.flushed[-1] == (11, "started", False)
    first.advance(25)
    assert first.store.capacity().remaining == 10


def test_an_unusable_directory_is_reported_in_one_line(tmp_path):
    path = tmp_path / "file"
    path.write_text("not a directory")
    with pytest.raises(InvalidInputError, match="keep: ") as error:
        Incarnation(path)
    assert "\n" not in str(error.value)
    system = SimulatedDisk()
    system.capacity_bytes = 10
    with pytest.raises(InvalidInputError, match="No space"):
        Incarnation(tmp_path / "full", system)


@pytest.mark.parametrize(
    ("prepare", "health"),
    [
        (lambda incarnation: None, {}),
        (lambda incarnation: incarnation.advance(0.1), {"store": "stalled"}),
        (lambda incarnation: [incarnation.start(n) for n in range(1, 10)], {"store": "full"}),
    ],
    ids=["healthy", "a stalled flush", "a full store"],
)
def test_health_reports_why_keyed_requests_are_rejected(first, prepare, health):
    first.start(0)
    prepare(first)
    assert first.store.health() == health


def test_logs_the_recovery_and_a_stalled_disk(first):
    events = []
    first.log.info = lambda event, **fields: events.append((event, fields))
    first.store.start()
    first.start(1)
    first.advance(0.1)
    first.store.close()
    assert [event for event, _ in events] == ["store_recovered", "store_disk_state_changed"]
    assert events[0][1] == {
        "keys": 0,
        "unknown": 0,
        "runs": 0,
        "truncated": 0,
        "corrupt": 0,
        "lost": 0,
        "in_doubt": False,
        "bytes": 28,
    }
    assert events[1][1] == {"state": "stalled", "reason": "no flush for 100 ms"}
