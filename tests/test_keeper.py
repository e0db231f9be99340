"""The keeper between stages and disk: who waits for which flush, what hears that it could not be kept."""

import pytest

from birchslip.admission.types import Idempotency, Outcome, Request, RequestClass, RequestState
from birchslip.errors import InvalidInputError
from birchslip.idempotency.record_format import ScanOutcome
from birchslip.idempotency.result_store import ResultStore
from birchslip.idempotency.settings_file import StoreSettings
from birchslip.lab.power import Memory
from birchslip.net.counters import Counters
from birchslip.net.log import Log
from birchslip.net.passage import Conclusion, Passage
from birchslip.net.scheduler import Scheduler

SECOND = 10_000
WINDOW = 17 * SECOND
PROFILE = RequestClass(Idempotency.KEYED, SECOND, 4 * SECOND, key_retention=WINDOW)
SERVED = Conclusion(Outcome.SERVED, b"made")


class Life:
    """A keeper over a disk in memory; the thread's work is done when `flush` is called."""

    def __init__(self, folder, system=None, now=10**13, **told):
        self.system = system or Memory()
        self.now, self.heard, self.resolved = now, [], []
        self.scheduler = Scheduler(lambda: None, self.fault, lambda: self.now)
        told = StoreSettings(folder=str(folder), **{"stall_ms": 100, "entries": 10} | told)
        log = Log(self.scheduler, "a")
        self.keeper = ResultStore(self.scheduler, Counters(), log, told, "a", [PROFILE], system=self.system)
        self.keeper.tell(self.resolve)

    def fault(self, name, trouble):
        raise trouble

    def resolve(self, entry, conclusion):
        entry.conclusion = conclusion
        self.resolved.append((conclusion.outcome, conclusion.result))

    def passage(self, n, body=b"body", stamp=None):
        stamp = self.now if stamp is None else stamp
        transaction = Request(PROFILE, 0, stamp, stamp + PROFILE.deadline, 100)
        return Passage(None, n, f"{n:016x}", "order", body, transaction, stamp, f"{n:032x}")

    def begin(self, n):
        passage = self.passage(n)
        self.keeper.begin(passage, lambda good: self.heard.append((n, "begun", good)))
        self.scheduler.run_due()
        return passage

    def conclude(self, passage, conclusion=SERVED):
        number = int(passage.name, 16)
        self.keeper.conclude(passage, conclusion, lambda good: self.heard.append((number, "concluded", good)))

    def flush(self):
        batch = list(self.keeper.writer.todo)
        self.keeper.writer.todo.clear()
        self.keeper.writer.do(batch)
        for work in batch:
            work.then(work)
        return self

    def at(self, seconds):
        self.now += int(seconds * SECOND)
        self.scheduler.tell_time()
        self.keeper.look()
        return self

    def kill(self):
        """Another life, on what stands on the disk."""
        self.keeper.files.close()
        self.system.kill()
        return Life(self.keeper.files.folder, self.system, self.now)

    def take_heard(self):
        heard, self.heard = self.heard, []
        return heard


@pytest.fixture
def life(tmp_path):
    return Life(tmp_path)


def test_nothing_is_launched_or_answered_before_its_flush(life):
    passage = life.begin(1)
    assert life.heard == []
    assert life.flush().take_heard() == [(1, "begun", True)]
    life.conclude(passage)
    assert life.heard == []
    assert life.flush().take_heard() == [(1, "concluded", True)]


def test_many_that_wait_share_one_flush(life):
    for n in range(5):
        life.begin(n)
    before = life.system.flushes
    life.flush()
    assert life.system.flushes == before + 1 and len(life.heard) == 5


def test_a_disk_that_stalls_sheds_what_has_not_begun_and_lets_answers_go(life):
    first = life.begin(1)
    life.flush().take_heard()
    life.begin(2)
    life.conclude(first)
    life.at(0.1)
    assert sorted(life.take_heard()) == [(1, "concluded", False), (2, "begun", False)]
    assert life.keeper.told()[0] == 0 and not life.keeper.disk.good
    assert life.begin(3) and life.take_heard() == [(3, "begun", False)]
    life.flush()  # it ends after all
    assert life.keeper.disk.good and life.keeper.told()[0] > 0 and life.heard == []
    later = life.kill()
    assert later.keeper.earlier(later.passage(2)) is None  # void: it never ran
    assert later.keeper.earlier(later.passage(1)) is not None


@pytest.mark.parametrize("fails", [1, 3])
def test_a_disk_that_errs_is_a_state_and_recovers_without_a_restart(life, fails):
    life.begin(1)
    life.system.fails = fails
    life.flush()
    assert life.take_heard() == [(1, "begun", False)] and life.keeper.disk.state.value == "failed"
    assert life.keeper.told()[0] == 0
    life.system.fails = 0
    life.flush()
    for _ in range(60):
        life.at(0.5).flush()
    assert life.keeper.disk.good and life.keeper.told()[0] > 0
    second = life.begin(2)
    assert life.flush().take_heard() == [(2, "begun", True)]
    life.conclude(second)
    life.flush()
    later = life.kill()
    assert not later.keeper.recovered.doubt
    assert later.keeper.recovered.index.get(bytes.fromhex(f"{2:032x}"), second.stamp) is not None


def test_a_full_disk_stops_labelled_ones_and_room_brings_them_back(life):
    life.system.room = sum(len(one.data) for one in life.system.files.values()) + 40
    life.begin(1)
    life.flush()
    assert life.take_heard() == [(1, "begun", False)] and "space" in life.keeper.disk.why
    life.system.room = 1 << 30
    life.at(1).flush()
    assert life.keeper.disk.good


def test_a_repeat_after_a_restart_gets_the_first_answer(life):
    passage = life.begin(1)
    life.flush()
    life.conclude(passage)
    life.flush()
    later = life.kill()
    entry = later.keeper.earlier(later.passage(1))
    original = entry.original.transaction
    assert original.has_run and original.place is RequestState.COMPLETED  # to the decisions it is a repeat
    assert entry.conclusion is None and later.keeper.earlier(later.passage(1)) is entry
    later.flush()
    assert later.resolved == [(Outcome.SERVED, b"made")]
    assert entry.same(later.passage(1)) and not entry.same(later.passage(1, b"another body"))


@pytest.mark.parametrize(("after", "repeat"), [(WINDOW - 10, True), (WINDOW, True), (WINDOW + 10, False)])
def test_a_millisecond_inside_and_outside_the_window(life, after, repeat):
    passage = life.begin(1)
    life.flush()
    life.conclude(passage)
    life.flush()
    later = life.kill()
    assert (later.keeper.earlier(later.passage(1, stamp=passage.stamp + after)) is not None) is repeat


def test_what_was_begun_and_not_concluded_is_unknown_until_the_agent_tells(life):
    passage = life.begin(1)
    life.flush()
    later = life.kill()
    assert later.keeper.recovered.unknown == 1
    entry = later.keeper.earlier(later.passage(1))
    assert entry.conclusion.outcome is Outcome.FAILED
    later.keeper.stranger("no run of ours", Outcome.SERVED, b"")
    later.keeper.stranger(passage.name, Outcome.SERVED, b"told late")
    later.flush()
    entry = later.keeper.earlier(later.passage(1))
    later.flush()
    assert later.resolved == [(Outcome.SERVED, b"told late")] and entry.conclusion.result == b"told late"
    last = later.kill()
    assert last.keeper.recovered.unknown == 0
    last.keeper.earlier(last.passage(1))
    last.flush()
    assert last.resolved == [(Outcome.SERVED, b"told late")]


def test_one_that_the_agent_never_ran_is_free_again(life):
    passage = life.begin(1)
    life.flush()
    later = life.kill()
    later.keeper.stranger(passage.name, Outcome.SUPERSEDED, b"")
    later.flush()
    assert later.keeper.earlier(later.passage(1)) is None


def test_a_store_in_doubt_begins_nothing_for_one_window(life):
    for n in range(3):
        life.begin(n)
    life.flush()
    held = next(iter(life.system.files.values()))
    held.data[32 + 7] ^= 1  # in the head of the first record
    later = life.kill()
    assert later.keeper.recovered.doubt and later.keeper.recovered.found[ScanOutcome.LOST] == 1
    assert later.keeper.told()[0] == 0 and WINDOW - 10 <= later.keeper.told()[2] <= WINDOW
    later.at(WINDOW / SECOND + 0.1)
    assert later.keeper.told()[0] > 0


def test_earlier_lives_are_forgotten_once_all_their_windows_are_over(life):
    life.begin(1)
    life.flush()
    later = life.kill()
    later.keeper.earlier(later.passage(1))
    later.at(30).flush()
    assert not len(later.keeper.recovered.index) and not later.keeper.fetched
    assert len(later.system.files) == 1  # and so are their files


def test_a_full_store_takes_no_more_and_says_when(life):
    for n in range(10):
        life.begin(n)
    life.flush()
    room, scarce, wait = life.keeper.told()
    assert (room, scarce) == (0, 2) and wait > 10 * SECOND
    life.begin(11)
    assert life.heard[-1] == (11, "begun", False)
    life.at(25)
    assert life.keeper.told()[0] == 10


def test_a_folder_that_can_not_be_had_is_said_in_one_line(tmp_path):
    path = tmp_path / "file"
    path.write_text("no folder")
    with pytest.raises(InvalidInputError, match="keep: ") as found:
        Life(path)
    assert "\n" not in str(found.value)
    system = Memory()
    system.room = 10
    with pytest.raises(InvalidInputError, match="No space"):
        Life(tmp_path / "full", system)
