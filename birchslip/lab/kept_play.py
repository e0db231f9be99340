"""`lab play kept`: keyed requests to an app server with a result store that is killed repeatedly.

A client retries each key until it has an answer, repeats some answered keys, and after each kill retries the
requests that were in flight. Whether a key ran twice is taken from the agent's record of launches: a key that
was launched twice took effect twice. Times are in tenths of a millisecond.
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
from ..net.connection import Connection, connect
from ..net.message_reader import read_messages
from ..net.messagepack import pack
from .clients import AppServer, RequestClass
from .dying import CRASH_POINTS
from .processes import Process
from .truth import SECOND
from .world import TENANT_SHARES, ScenarioOptions, Testbed

ORDER = RequestClass("order", 1.0, 150, SECOND, 2 * SECOND, 1.0, True)
RETENTION_WINDOW = 8 * SECOND
REPEAT_FRACTION = 0.25  # share of the answered requests that are repeated
BUFFER_BYTES = 1 << 20
# Age of a request after which no attempt is sent, so that all attempts fall within the retention window.
MAX_REQUEST_AGE = RETENTION_WINDOW - SECOND
MAX_STALL = 2 * SECOND  # time after a shed in which its record may not be flushed yet
SURGE_FACTOR = 6.0  # factor on the arrivals of the surging tenant
SURGE_START, SURGE_END = 0.2, 0.8  # shares of all keys sent between which the surge lasts
SURGING_TENANT = "blue"
SMALL_STORE_ENTRIES, STORE_ENTRIES = 700, 20_000  # keys that a store holds; the small one can fill up
LIFETIME_RANGE = (2_000, 12_000)  # between a start and its kill
CRASH_POINT_FRACTION = 0.5  # share of the kills that are at a crash point
MAX_WAITING_CLIENTS = 120  # unfinished requests past which no new one is created
RECENT_REQUESTS = 400  # last requests that are searched for unfinished or in-flight ones
MAX_PENDING = 24  # largest number of unanswered attempts on the connection

FAULTS = {
    "none": "kills at random times and at crash points, while the agent keeps running",
    "agent-too": "the agent restarts with the program and loses its runs: their outcome stays unknown",
    "slow-disk": "each flush takes 30 ms longer",
    "stalled-disk": "each flush takes 600 ms longer: keyed requests are shed, and none is lost",
    "full-disk": "the disk is full for half a second in each incarnation",
    "filling": "one tenant sends six times its usual load for a part of the run, and a small store fills up",
    "notices": "in place of every third kill the program gets SIGHUP and is then drained by SIGTERM",
}


@dataclass(frozen=True)
class ResultStoreOptions(ScenarioOptions):
    """Options of a result store scenario.

    Attributes:
        labels: Number of idempotency keys.
        kills: Number of kills of the app server.
        arrival_rate: New keys per second, outside a surge.
        has_result_store: Whether the app server has a result store.
        mean_work: Mean core time of a run, in tenths of a millisecond.
        repeat_fraction: Share of the answered requests that are repeated.
    """

    labels: int = 10_000
    kills: int = 200
    arrival_rate: float = 60.0
    has_result_store: bool = True
    mean_work: int = ORDER.mean_work
    repeat_fraction: float = REPEAT_FRACTION


@dataclass(eq=False)
class KeyedRequest:
    """One request with an idempotency key, as its client knows it.

    Attributes:
        is_in_surge: Whether it was created during the surge.
        attempt_count: Number of attempts sent.
        pending_attempts: Number of attempts sent and not answered.
        result: Result of the first honoured attempt; None before.
        answered_at: When that result arrived.
        first_incarnation: Incarnation of the app server that it was first sent to.
        was_in_flight_at_kill: Whether at a kill an attempt was unanswered, or shed within `MAX_STALL` before.
        is_unknown: Whether a later incarnation answered that its outcome is unknown.
        shed_at: When an attempt was last shed; 0 if none was.
        is_finished: Whether no further attempt is to be sent.
    """

    key: str
    body: bytes
    created_at: int
    tenant: str = "blue"
    is_in_surge: bool = False
    attempt_count: int = 0
    pending_attempts: int = 0
    result: bytes | None = None
    answered_at: int = 0
    first_incarnation: int = 0
    was_in_flight_at_kill: bool = False
    is_unknown: bool = False
    shed_at: int = 0
    is_finished: bool = False


@dataclass(eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        outcome: Empty until a response arrives, then "honoured", "shed" or "written off".
        is_excused: Whether no response is owed, because the connection or the app server was lost.
    """

    request: KeyedRequest
    sent_at: int
    outcome: str = ""
    is_excused: bool = False


@dataclass(eq=False)
class ClientHistory:
    """Attempts and irregular answers of one scenario run.

    Attributes:
        identical_repeat_answers: Number of answers to a key that brought its first result again.
        different_repeat_answers: Number of answers to a key that brought another result than the first.
        unexpected_messages: Number of responses that fit no attempt or no key, by description.
    """

    attempts: list[Attempt] = field(default_factory=list)
    identical_repeat_answers: int = 0
    different_repeat_answers: int = 0
    unexpected_messages: Counter[str] = field(default_factory=Counter)


class ResultStoreScenarioRun(Testbed):
    """One run of the result store scenario: one app server, one client connection.

    Attributes:
        connection: The client connection while it is open.
        pending: Unanswered attempts by message number.
        kill_count: Number of ends of the app server, drains included.
        incarnation_count: Number of its starts.
        kills_by_point: Number of ends by crash point; "random" for the others.
        cpu_s: Processor time in seconds of the last incarnation.
    """

    request_classes = [ORDER]  # noqa: RUF012
    retention_window = RETENTION_WINDOW

    def __init__(self, options: ResultStoreOptions, folder: Path) -> None:
        """Create the testbed of one run in `folder`."""
        self.options = options
        super().__init__(options, folder)
        self.random_source = random.Random(options.seed)
        self.server, self.member = self.servers[0], self.members[self.servers[0].name]
        self.agent = self.agents[self.server.name]
        self.requests: list[KeyedRequest] = []
        self.client_history = ClientHistory()
        self.connection: Connection | None = None
        self.pending: dict[int, Attempt] = {}
        self.last_number = self.kill_count = self.incarnation_count = 0
        self.kills_by_point: Counter[str] = Counter()
        self.is_finished = False
        self.cpu_s = 0.0

    def write_member_files(self, server: AppServer) -> Process:
        """Add the result store and the crash points to the files of the app server."""
        member = super().write_member_files(server)
        if self.options.has_result_store:
            path = self.folder / "keep.json"
            entries = SMALL_STORE_ENTRIES if self.options.fault == "filling" else STORE_ENTRIES
            store_configuration = {"folder": str(self.folder / "kept"), "bytes": 4 << 20, "entries": entries}
            path.write_text(json.dumps(store_configuration))
            member.environment["BIRCHSLIP_KEEP"] = str(path)
        member.module = "birchslip.lab.dying"
        return member

    # ---- process ---------------------------------------------------------------------------------------

    def start(self, point: str, count: int) -> None:
        """Start an incarnation that dies at the `count`-th pass through a crash point; "none" is no point."""
        flush_delay_ms = {"slow-disk": 30, "stalled-disk": 600}.get(self.options.fault, 0)
        self.member.arguments = [point, str(count), str(flush_delay_ms)]
        self.incarnation_count += 1
        self.server.incarnation += 1
        self.member.start()
        self.server.is_up = True

    def run_incarnations(self) -> None:
        """Run one incarnation after another until the run is finished.

        Each ends at its crash point, or is killed (with fault "notices" sometimes drained) after a random
        lifetime, which is 2 s longer if it has a crash point. Once all kills are done, the last incarnation
        keeps running.
        """
        while not self.is_finished:
            fault = self.options.fault
            at_crash_point = (
                self.random_source.random() < CRASH_POINT_FRACTION and self.kill_count < self.options.kills
            )
            point = self.random_source.choice(list(CRASH_POINTS)) if at_crash_point else "none"
            self.start(point, self.random_source.randint(1, 40))
            started_at = self.scheduler.now
            lifetime = self.random_source.randint(*LIFETIME_RANGE)
            was_disk_filled = False
            while self.member.is_running() and not self.is_finished:
                self.scheduler.sleep(self.scheduler.now + 100)
                elapsed = self.scheduler.now - started_at
                if self.kill_count >= self.options.kills:
                    continue
                if fault == "full-disk" and not was_disk_filled and elapsed > lifetime // 3:
                    was_disk_filled = True
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
        """Count a kill at `point`, excuse the attempts in flight and close the connection.

        With fault "agent-too" the agent is restarted.
        """
        self.kill_count += 1
        self.kills_by_point[point] += 1
        self.member.unexpected_exit_codes.clear()
        self.server.is_up = False
        if self.options.fault == "agent-too":
            self.agent.start(is_cold=False)
        # A dead process owes no responses; `keep_connected` retries the requests in flight.
        for attempt in list(self.pending.values()):
            attempt.is_excused = True
            attempt.request.was_in_flight_at_kill = True
        for request in self.requests[-RECENT_REQUESTS:]:
            # During a disk stall, the record that a shed request never ran may not be flushed yet.
            request.was_in_flight_at_kill = (
                request.was_in_flight_at_kill or self.scheduler.now - request.shed_at < MAX_STALL
            )
        if self.connection is not None:
            self.connection.close("dead")

    # ---- client ----------------------------------------------------------------------------------------

    def keep_connected(self) -> None:
        """Keep a connection to the app server open and retry what a lost connection left unanswered."""
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
        """Handle responses on the client connection.

        Raises:
            MalformedMessageError: The data is no message that an app server sends.
        """
        messages, error_text = read_messages(buffer)
        for message in messages:
            match message:
                case [1, int(number), error, result]:
                    self.on_response(number, error, result)
                case [2, "closing", []]:
                    pass
                case _:
                    raise MalformedMessageError("unexpected message from an app server")
        if error_text:
            raise MalformedMessageError(error_text)

    def generate_request(self) -> None:
        """Create and send one request, and schedule the next arrival.

        The request is left out while too many wait for an answer.
        """
        if self.is_finished or len(self.requests) >= self.options.labels:
            return
        is_filling = self.options.fault == "filling"
        is_in_surge = is_filling and SURGE_START < len(self.requests) / self.options.labels < SURGE_END
        weights = {
            name: share * (SURGE_FACTOR if is_in_surge and name == SURGING_TENANT else 1.0)
            for name, share in TENANT_SHARES.items()
        }
        gap = (
            int(self.random_source.expovariate(self.options.arrival_rate * sum(weights.values())) * SECOND)
            + 1
        )
        self.scheduler.at(self.scheduler.now + gap, self.generate_request)
        # Requests wait while the app server is down, too. Their number is bounded, so that one incarnation
        # can serve them.
        if (
            not is_filling
            and sum(1 for request in self.requests[-RECENT_REQUESTS:] if not request.is_finished)
            > MAX_WAITING_CLIENTS
        ):
            return
        tenant = (
            self.random_source.choices(list(weights), list(weights.values()))[0]
            if is_filling
            else SURGING_TENANT
        )
        key = self.random_source.randbytes(16).hex()
        # While the store fills up, the cores must not be the bottleneck.
        mean_work = self.options.mean_work / (3 if is_filling else 1)
        work = max(1, int(self.random_source.gammavariate(4, mean_work / 4) / 10))
        request = KeyedRequest(key, f"{work} L{key}".encode(), self.scheduler.now, tenant, is_in_surge)
        self.requests.append(request)
        self.send(request)

    def send_later(self, request: KeyedRequest, delay: int) -> None:
        """Schedule an attempt after `delay`."""
        self.scheduler.at(self.scheduler.now + delay, partial(self.send, request))

    def send(self, request: KeyedRequest) -> None:
        """Send an attempt, or give the request up if it is older than `MAX_REQUEST_AGE`.

        Without a connection, or with `MAX_PENDING` attempts unanswered, try again 50 ms later.
        """
        now = self.scheduler.now
        if self.is_finished or now - request.created_at > MAX_REQUEST_AGE:
            request.is_finished = True
            return
        if self.connection is None or not self.connection.open or len(self.pending) >= MAX_PENDING:
            self.send_later(request, 500)
            return
        self.last_number += 1
        attempt = self.pending[self.last_number] = Attempt(request, now)
        self.client_history.attempts.append(attempt)
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

    def on_response(self, number: int, error: list[Any] | None, result: list[bytes]) -> None:
        """Record the response to an attempt and schedule the next attempt of its request, if there is one.

        An honoured request is sometimes repeated, any other is retried.

        Args:
            number: Number of the attempt's message.
            error: Error of the response; its first item is the kind of error. None if it was honoured.
            result: Result of the response; its first item is the body.
        """
        attempt = self.pending.pop(number, None)
        if attempt is None:
            self.client_history.unexpected_messages["an answer to nobody"] += 1
            return
        request, now = attempt.request, self.scheduler.now
        request.pending_attempts -= 1
        if error is None:
            attempt.outcome = "honoured"
            if request.result is None:
                request.result, request.answered_at = result[0], now
                if not result[0].startswith(b"made of " + request.body):
                    self.client_history.unexpected_messages["a result of another label"] += 1
            elif request.result == result[0]:
                self.client_history.identical_repeat_answers += 1
            else:
                self.client_history.different_repeat_answers += 1
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

    # ---- course of the run -----------------------------------------------------------------------------

    def run_schedule(self) -> None:
        """Run the client and the kills until all requests are finished, then wait for late responses.

        A fault is recorded if the requests take longer than four times the span of the arrivals plus 3 s for
        each kill and a minute.
        """
        self.scheduler.spawn("incarnations", self.run_incarnations)
        self.scheduler.spawn("client", self.keep_connected)
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
            self.faults.append("the run did not finish in time")
        self.scheduler.sleep(self.scheduler.now + 2 * ORDER.deadline)
        self.is_finished = True
        self.scheduler.sleep(self.scheduler.now + SECOND)

    def is_complete(self) -> bool:
        """Return whether all kills are done, all requests were sent, and the last 500 are finished."""
        all_sent = len(self.requests) >= self.options.labels and self.kill_count >= self.options.kills
        return all_sent and all(request.is_finished for request in self.requests[-500:])

    # ---- report ----------------------------------------------------------------------------------------

    def compute_timely_fractions(self) -> dict[str, float]:
        """Return, by tenant, the share of requests of the surge honoured within the latency objective."""
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
        """Return, by tenant, how often a request of the surge was shed on average."""
        request_counts: Counter[str] = Counter()
        shed_counts: Counter[str] = Counter()
        for request in self.requests:
            if request.is_in_surge:
                request_counts[request.tenant] += 1
        for attempt in self.client_history.attempts:
            if attempt.request.is_in_surge and attempt.outcome == "shed":
                shed_counts[attempt.request.tenant] += 1
        return {
            tenant: round(shed_counts[tenant] / request_counts[tenant], 2)
            for tenant in sorted(request_counts)
        }

    def summarize_flushes(self) -> dict[str, Any]:
        """Return the number of flushes and the medians of their latency percentiles.

        They are taken from the log lines that the program writes every 256 flushes.
        """
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
        """Return the figures of the run under the names that the report has for them."""
        launches = Counter(key for (_, _, key), times in self.history.launches.items() for _ in times)
        now = self.scheduler.now
        unanswered = [
            attempt
            for attempt in self.client_history.attempts
            if not attempt.outcome
            and not attempt.is_excused
            and now - attempt.sent_at > ORDER.deadline + SECOND // 2
        ]
        unknown = [request for request in self.requests if request.is_unknown]
        honoured = [request for request in self.requests if request.result is not None]
        latencies_ms = sorted((request.answered_at - request.created_at) / 10 for request in honoured)
        span = max((request.answered_at for request in honoured), default=0) - min(
            (request.created_at for request in honoured), default=0
        )
        return {
            "labels": len(self.requests),
            "kills": self.kill_count,
            "lives": self.incarnation_count,
            "killed_at": dict(self.kills_by_point),
            "double_runs": sum(1 for count in launches.values() if count > 1),
            "unanswered": len(unanswered),
            "first_answer_again": self.client_history.identical_repeat_answers,
            "other_answer": self.client_history.different_repeat_answers,
            "strange": dict(self.client_history.unexpected_messages),
            "unknown": len(unknown),
            "unknown_beyond": sum(1 for request in unknown if not request.was_in_flight_at_kill),
            "service": round(len(honoured) / max(1, len(self.requests)), 4),
            "took_ms": {
                f"p{part}": latencies_ms[len(latencies_ms) * part // 100] if latencies_ms else None
                for part in (50, 99)
            },
            "rate": round(len(honoured) / max(1, span) * SECOND, 1),
            "program_cpu_s": round(self.cpu_s, 2),
            "tries": dict(Counter(attempt.outcome or "cut" for attempt in self.client_history.attempts)),
            "in_time": self.compute_timely_fractions(),
            "sheds_each": self.compute_sheds_per_request(),
            "trouble": self.faults[:5],
            "dead": self.list_unexpected_exits(),
            **self.summarize_flushes(),
        }


def run_scenario(options: ResultStoreOptions, folder: Path) -> dict[str, Any]:
    """Run the scenario once, end all its processes and return the report.

    An existing `folder` is deleted first, so that the run starts without files of an earlier one.
    """
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
    """Run the scenario and return the report of the command.

    Unless `alone`, the same schedule is run without a result store, to show what the store prevents.
    """
    log_folder = options.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        report = {"seed": options.seed, "fault": options.fault, **run_scenario(options, log_folder / "kept")}
        if not options.alone:
            without = run_scenario(replace(options, has_result_store=False), log_folder / "without")
            report["without"] = {name: without[name] for name in ("double_runs", "service")}
    finally:
        if options.logs is None:
            shutil.rmtree(log_folder, ignore_errors=True)
    # While the disk takes no data, an answer is sent without being stored. After a kill its key is unknown.
    tolerated = ("unknown_beyond",) if options.fault in UNSTORED_ANSWER_FAULTS else ()
    report["broken"] = [
        f"{name}: {report[name]}" for name in VIOLATIONS if report[name] and name not in tolerated
    ]
    return report
