"""`lab play kept`: labelled transactions at an app server that is killed again and again, with its store.

A client asks for each label until it has its answer, asks some again, and after each kill asks again for what
was under way. The truth is the agent's: a label that was launched twice had its effect twice.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

from ..net.buffer import Buffer, MalformedMessageError
from ..net.clients import read_messages
from ..net.connection import Connection, connect
from ..net.messagepack import pack
from .clients import AppServer, RequestClass
from .dying import CRASH_POINTS
from .processes import Process
from .truth import SECOND
from .world import TENANT_SHARES, ScenarioOptions, Testbed

ORDER = RequestClass("order", 1.0, 150, SECOND, 2 * SECOND, 1.0, True)
RETENTION_WINDOW = 8 * SECOND
REPEAT_FRACTION = 0.25  # of the answered ones are asked for again
BUFFER_BYTES = 1 << 20
MAX_REQUEST_AGE = RETENTION_WINDOW - SECOND  # after its first try no label is asked for any more
MAX_STALL = 2 * SECOND
SURGE_FACTOR, SMALL_STORE_ENTRIES = (
    6.0,
    700,
)  # times its usual that an account asks; labels that its store holds
SURGING_TENANT = "blue"
LIFETIME_RANGE = (2_000, 12_000)  # between a start and its kill
CRASH_POINT_FRACTION = 0.5  # of the kills are at a chosen point

FAULTS = {
    "none": "kills at random and at chosen points; the agent outlives the program",
    "agent-too": "the agent dies with the program each time: what was under way stays unknown",
    "slow-disk": "each flush takes 30 ms longer",
    "stalled-disk": "each flush takes 600 ms longer: labelled transactions are shed, and none is lost",
    "full-disk": "the disk takes nothing for a second at a time",
    "filling": "one account asks six times its usual for half of the time, and a small store fills",
    "notices": "SIGHUP and notices to leave take turns with kills",
}


@dataclass(frozen=True)
class ResultStoreOptions(ScenarioOptions):
    labels: int = 10_000
    kills: int = 200
    arrival_rate: float = 60.0  # new labels a second
    has_result_store: bool = True
    mean_work: int = ORDER.mean_work  # tenths of a millisecond on a core, in the mean
    repeat_fraction: float = REPEAT_FRACTION  # of the answered ones are asked for again


@dataclass(eq=False)
class KeyedRequest:
    """One label as its client knows it."""

    key: str
    body: bytes
    created_at: int
    tenant: str = "blue"
    is_in_surge: bool = False  # whether the surge was on when it was asked for
    attempt_count: int = 0
    pending_attempts: int = 0
    result: bytes | None = None
    answered_at: int = 0
    first_incarnation: int = 0  # in which it was asked for first
    was_in_flight_at_kill: bool = False  # at a kill, sent and not answered
    is_unknown: bool = False  # a try was written off in a later life
    shed_at: int = 0
    is_finished: bool = False


@dataclass(eq=False)
class Attempt:
    request: KeyedRequest
    sent_at: int
    outcome: str = ""
    is_excused: bool = False


@dataclass(eq=False)
class Tally:
    attempts: list[Attempt] = field(default_factory=list)
    identical_repeat_answers: int = 0
    different_repeat_answers: int = 0
    unexpected_messages: Counter[str] = field(default_factory=Counter)


class ResultStoreScenarioRun(Testbed):
    request_classes = [ORDER]  # noqa: RUF012
    retention_window = RETENTION_WINDOW

    def __init__(self, options: ResultStoreOptions, folder: Path) -> None:
        self.options = options
        super().__init__(options, folder)
        self.random_source = random.Random(options.seed)
        self.server, self.member = self.servers[0], self.members[self.servers[0].name]
        self.agent = self.agents[self.server.name]
        self.requests: list[KeyedRequest] = []
        self.tally = Tally()
        self.connection: Connection | None = None
        self.pending: dict[int, Attempt] = {}
        self.last_number = self.kill_count = self.incarnation_count = 0
        self.kills_by_point: Counter[str] = Counter()
        self.is_finished = False
        self.cpu_s = 0.0

    def write_member_files(self, server: AppServer) -> Process:
        member = super().write_member_files(server)
        if self.options.has_result_store:
            path = self.folder / "keep.json"
            entries = SMALL_STORE_ENTRIES if self.options.fault == "filling" else 20_000
            store_configuration = {"folder": str(self.folder / "kept"), "bytes": 4 << 20, "entries": entries}
            path.write_text(json.dumps(store_configuration))
            member.environment["BIRCHSLIP_KEEP"] = str(path)
        member.module = "birchslip.lab.dying"
        return member

    # ---- the process -----------------------------------------------------------------------------------

    def start(self, point: str, count: int) -> None:
        flush = {"slow-disk": 30, "stalled-disk": 600}.get(self.options.fault, 0)
        self.member.arguments = [point, str(count), str(flush)]
        self.incarnation_count += 1
        self.server.incarnation += 1
        self.member.start()
        self.server.is_up = True

    def run_incarnations(self) -> None:
        """One life after the other, until all kills are done and all labels asked for."""
        while not self.is_finished:
            fault, at_crash_point = (
                self.options.fault,
                self.random_source.random() < CRASH_POINT_FRACTION and self.kill_count < self.options.kills,
            )
            point = self.random_source.choice(list(CRASH_POINTS)) if at_crash_point else "none"
            self.start(point, self.random_source.randint(1, 40))
            started_at = self.scheduler.now
            lifetime = self.random_source.randint(*LIFETIME_RANGE)
            is_disk_full = False
            while self.member.is_running() and not self.is_finished:
                self.scheduler.sleep(self.scheduler.now + 100)
                elapsed = self.scheduler.now - started_at
                if self.kill_count >= self.options.kills:
                    continue
                if fault == "full-disk" and not is_disk_full and elapsed > lifetime // 3:
                    is_disk_full = True
                    self.member.forbid_file_growth()
                    self.scheduler.at(self.scheduler.now + SECOND // 2, self.member.allow_file_growth)
                if fault == "notices" and self.kill_count % 3 == 1 and elapsed > lifetime // 2:
                    self.member.reload()
                    self.drain_server(self.server)
                    while self.member.is_running():
                        self.scheduler.sleep(self.scheduler.now + 100)
                elif elapsed > lifetime + (2 * SECOND if at_crash_point else 0):
                    self.member.kill()
            if not self.is_finished:
                self.on_process_killed(point if at_crash_point else "random")

    def on_process_killed(self, point: str) -> None:
        self.kill_count += 1
        self.kills_by_point[point] += 1
        self.member.unexpected_exit_codes.clear()
        self.server.is_up = False
        if self.options.fault == "agent-too":
            self.agent.start(is_cold=False)
        # What was on its way is asked for again; nothing is owed on links of the dead.
        for attempt in list(self.pending.values()):
            attempt.is_excused = True
            attempt.request.was_in_flight_at_kill = True
        for request in self.requests[-400:]:
            # Shed as the disk stalled: that it never ran may be on its way to the disk still.
            request.was_in_flight_at_kill = (
                request.was_in_flight_at_kill or self.scheduler.now - request.shed_at < MAX_STALL
            )
        if self.connection is not None:
            self.connection.close("dead")

    # ---- the client ------------------------------------------------------------------------------------

    def keep_connected(self) -> None:
        while not self.is_finished:
            try:
                connection = Connection(
                    self.scheduler, connect(self.scheduler, self.server.address), BUFFER_BYTES, BUFFER_BYTES
                )
            except OSError:
                self.scheduler.sleep(self.scheduler.now + 300)
                continue
            self.connection = connection
            connection.serve(self.on_data)
            self.connection = None
            lost_attempts, self.pending = list(self.pending.values()), {}
            for attempt in lost_attempts:
                attempt.is_excused = True
                attempt.request.pending_attempts -= 1
                attempt.request.was_in_flight_at_kill = True
                self.send_later(attempt.request, self.random_source.randint(0, 2_000))

    def on_data(self, buffer: Buffer) -> None:
        messages, error_text = read_messages(buffer)
        for message in messages:
            match message:
                case [1, int(number), error, result]:
                    self.on_response(number, error, result)
                case [2, "closing", []]:
                    pass
                case _:
                    raise MalformedMessageError("no message of an app server's")
        if error_text:
            raise MalformedMessageError(error_text)

    def generate_request(self) -> None:
        if self.is_finished or len(self.requests) >= self.options.labels:
            return
        is_filling = self.options.fault == "filling"
        is_in_surge = is_filling and 0.2 < len(self.requests) / self.options.labels < 0.8
        weights = {
            name: share * (SURGE_FACTOR if is_in_surge and name == SURGING_TENANT else 1.0)
            for name, share in TENANT_SHARES.items()
        }
        gap = (
            int(self.random_source.expovariate(self.options.arrival_rate * sum(weights.values())) * SECOND)
            + 1
        )
        self.scheduler.at(self.scheduler.now + gap, self.generate_request)
        # No more than a life has room for waits meanwhile: the clients of a dead app server wait as well.
        if not is_filling and sum(1 for one in self.requests[-400:] if not one.is_finished) > 120:
            return
        tenant = (
            self.random_source.choices(list(weights), list(weights.values()))[0]
            if is_filling
            else SURGING_TENANT
        )
        key = self.random_source.randbytes(16).hex()
        # Where a store is to fill, the cores are not what is short.
        mean_work = self.options.mean_work / (3 if is_filling else 1)
        work = max(1, int(self.random_source.gammavariate(4, mean_work / 4) / 10))
        request = KeyedRequest(key, f"{work} L{key}".encode(), self.scheduler.now, tenant, is_in_surge)
        self.requests.append(request)
        self.send(request)

    def send_later(self, request: KeyedRequest, wait: int) -> None:
        self.scheduler.at(self.scheduler.now + wait, partial(self.send, request))

    def send(self, request: KeyedRequest) -> None:
        now = self.scheduler.now
        if self.is_finished or now - request.created_at > MAX_REQUEST_AGE:
            request.is_finished = True
            return
        if self.connection is None or not self.connection.open or len(self.pending) >= 24:
            self.send_later(request, 500)
            return
        self.last_number += 1
        attempt = self.pending[self.last_number] = Attempt(request, now)
        self.tally.attempts.append(attempt)
        fields = {
            "req": os.urandom(8).hex(),
            "ts": str(now // 10),
            "via": "1",
            "owner": request.tenant,
            "timeout": str(ORDER.deadline // 10),
            "need": "10",
            "level": "0.5",
            "opkey": request.key,
        }
        request.first_incarnation = request.first_incarnation or self.incarnation_count
        if request.attempt_count:
            fields["resent"] = "1"
        request.attempt_count += 1
        request.pending_attempts += 1
        self.connection.write(pack([0, self.last_number, ORDER.name, [fields, request.body]]))

    def on_response(self, number: int, error: Any, result: Any) -> None:
        attempt = self.pending.pop(number, None)
        if attempt is None:
            self.tally.unexpected_messages["an answer to nobody"] += 1
            return
        request, now = attempt.request, self.scheduler.now
        request.pending_attempts -= 1
        if error is None:
            attempt.outcome = "honoured"
            if request.result is None:
                request.result, request.answered_at = result[0], now
                if not result[0].startswith(b"made of " + request.body):
                    self.tally.unexpected_messages["a result of another label"] += 1
            elif request.result == result[0]:
                self.tally.identical_repeat_answers += 1
            else:
                self.tally.different_repeat_answers += 1
            if self.random_source.random() < self.options.repeat_fraction:
                self.send_later(request, self.random_source.randint(0, 2 * SECOND))
            else:
                request.is_finished = True
        elif error[0] == "Overloaded":
            attempt.outcome = "shed"
            request.shed_at = self.scheduler.now
            self.send_later(request, self.random_source.randint(500, 2_000))
        else:
            attempt.outcome = "written off"
            request.is_unknown = request.is_unknown or self.incarnation_count > request.first_incarnation
            self.send_later(request, self.random_source.randint(2_000, SECOND))

    # ---- the course ------------------------------------------------------------------------------------

    def run_schedule(self) -> None:
        self.scheduler.spawn("lives", self.run_incarnations)
        self.scheduler.spawn("link", self.keep_connected)
        self.wait_for(lambda: self.server.name in self.catalog.get_listed_servers(), 15 * SECOND)
        self.scheduler.at(self.scheduler.now, self.generate_request)
        timeout = (
            int(self.options.labels / self.options.arrival_rate * 4 * SECOND)
            + self.options.kills * 3 * SECOND
            + 60 * SECOND
        )
        until = self.scheduler.now + timeout
        while self.scheduler.now < until and not self.is_complete():
            self.scheduler.sleep(self.scheduler.now + SECOND // 2)
        self.cpu_s = self.member.measure_usage()[0]
        if not self.is_complete():
            self.faults.append("it did not come to its end in time")
        self.scheduler.sleep(self.scheduler.now + 2 * ORDER.deadline)
        self.is_finished = True
        self.scheduler.sleep(self.scheduler.now + SECOND)

    def is_complete(self) -> bool:
        all_sent = len(self.requests) >= self.options.labels and self.kill_count >= self.options.kills
        return all_sent and all(one.is_finished for one in self.requests[-500:])

    # ---- what is told of it ----------------------------------------------------------------------------

    def compute_timely_fractions(self) -> dict[str, float]:
        """Of each account's labels of the surge: honoured within the latency goal."""
        fractions = {}
        for tenant in TENANT_SHARES:
            requests = [
                request for request in self.requests if request.is_in_surge and request.tenant == tenant
            ]
            timely_count = sum(
                1
                for request in requests
                if request.result is not None
                and request.answered_at - request.created_at <= ORDER.latency_objective
            )
            if requests:
                fractions[tenant] = round(timely_count / len(requests), 4)
        return fractions

    def compute_sheds_per_request(self) -> dict[str, float]:
        """Of each account's labels of the surge: how often one was shed in the mean."""
        request_counts: Counter[str] = Counter()
        shed_counts: Counter[str] = Counter()
        for request in self.requests:
            if request.is_in_surge:
                request_counts[request.tenant] += 1
        for attempt in self.tally.attempts:
            if attempt.request.is_in_surge and attempt.outcome == "shed":
                shed_counts[attempt.request.tenant] += 1
        return {
            tenant: round(shed_counts[tenant] / request_counts[tenant], 2)
            for tenant in sorted(request_counts)
        }

    def summarize_flushes(self) -> dict[str, Any]:
        """As the program logged them, every 256."""
        lines = [line for _, line in self.member.find_log_lines("event=store_flush_latency")]
        reports = [dict(word.split("=", 1) for word in line.split() if "=" in word) for line in lines]
        latencies = {name: sorted(float(report[name]) for report in reports) for name in ("p50_ms", "p99_ms")}
        return {
            "flushes": sum(int(report["flushes"]) for report in reports),
            "flush_ms": {
                name[:3]: sorted_latencies[len(sorted_latencies) // 2] if sorted_latencies else None
                for name, sorted_latencies in latencies.items()
            },
        }

    def build_report(self) -> dict[str, Any]:
        launches = Counter(label for (_, _, label), times in self.history.launches.items() for _ in times)
        now = self.scheduler.now
        unanswered = [
            item
            for item in self.tally.attempts
            if not item.outcome and not item.is_excused and now - item.sent_at > ORDER.deadline + SECOND // 2
        ]
        unknown = [item for item in self.requests if item.is_unknown]
        honoured = [item for item in self.requests if item.result is not None]
        latencies_ms = sorted((item.answered_at - item.created_at) / 10 for item in honoured)
        span = max((item.answered_at for item in honoured), default=0) - min(
            (item.created_at for item in honoured), default=0
        )
        return {
            "labels": len(self.requests),
            "kills": self.kill_count,
            "lives": self.incarnation_count,
            "killed_at": dict(self.kills_by_point),
            "double_runs": sum(1 for count in launches.values() if count > 1),
            "unanswered": len(unanswered),
            "first_answer_again": self.tally.identical_repeat_answers,
            "other_answer": self.tally.different_repeat_answers,
            "strange": dict(self.tally.unexpected_messages),
            "unknown": len(unknown),
            "unknown_beyond": sum(1 for item in unknown if not item.was_in_flight_at_kill),
            "service": round(len(honoured) / max(1, len(self.requests)), 4),
            "took_ms": {
                f"p{part}": latencies_ms[len(latencies_ms) * part // 100] if latencies_ms else None
                for part in (50, 99)
            },
            "rate": round(len(honoured) / max(1, span) * SECOND, 1),
            "program_cpu_s": round(self.cpu_s, 2),
            "tries": dict(Counter(item.outcome or "cut" for item in self.tally.attempts)),
            "in_time": self.compute_timely_fractions(),
            "sheds_each": self.compute_sheds_per_request(),
            "trouble": self.faults[:5],
            "dead": self.list_unexpected_exits(),
            **self.summarize_flushes(),
        }


def run_scenario(options: ResultStoreOptions, folder: Path) -> dict[str, Any]:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    run = ResultStoreScenarioRun(options, folder)
    try:
        run.run_director(run.run_schedule)
    finally:
        run.is_finished = True
        run.terminate_all()
    return run.build_report()


UNSTORED_ANSWER_FAULTS = ("full-disk", "stalled-disk")
VIOLATIONS = ("double_runs", "unanswered", "other_answer", "strange", "unknown_beyond", "trouble", "dead")


def run_result_store_scenario(options: ResultStoreOptions) -> dict[str, Any]:
    """The report of the command; without a store the same schedule shows what one is for."""
    log_folder = options.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        report = {"seed": options.seed, "fault": options.fault, **run_scenario(options, log_folder / "kept")}
        if not options.alone:
            without = run_scenario(replace(options, has_result_store=False), log_folder / "without")
            report["without"] = {name: without[name] for name in ("double_runs", "service")}
    finally:
        if options.logs is None:
            shutil.rmtree(log_folder, ignore_errors=True)
    # On a disk that takes nothing an answer goes out unkept: killed then, its label is unknown.
    tolerated = ("unknown_beyond",) if options.fault in UNSTORED_ANSWER_FAULTS else ()
    report["broken"] = [
        f"{name}: {report[name]}" for name in VIOLATIONS if report[name] and name not in tolerated
    ]
    return report
