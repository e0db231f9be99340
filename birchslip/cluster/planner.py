"""One planner: a process of its own that carries what `vote.py` and `mind.py` decide.

It serves members (`report`), other planners (`ask`, `keep`) and operators (`wish`) at one door. Nothing here
is on the path of a transaction.
"""

from __future__ import annotations

import os
import random
import resource
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.program import memory
from ..net.scheduler import READ, Scheduler
from ..net.site import address
from .election import Election
from .election_store import ElectionStore, StoreWriteError
from .fleet_file import Fleet, read_fleet, span
from .messages import (
    EvictionRequest,
    MemberReport,
    Message,
    OperatorCommand,
    ReplicationRequest,
    ReplicationResponse,
    VoteRequest,
    VoteResponse,
    decode,
    encode,
)
from .monotonic_clock import monotonic_now
from .planner_state import LOOK, PlannerState
from .platform_link import PlatformLink
from .rollout_controller import RolloutCommand
from .transport import (
    DeferredReply,
    IncomingConnection,
    PeerConnection,
    PlannerEndpoint,
)

TICK = 250  # the vote is looked at forty times a second
LIMIT = 3_000  # an answer of another planner that takes longer than 300 ms is none
KEEP_AGAIN = 2_500  # what a majority does not keep yet is told again
DESCRIPTORS_MOST = 16_384
DESCRIPTORS = 32  # kept for the disk, the log, other planners and operators
STORY = (
    "vote.asked vote.granted vote.won vote.lost keep.told keep.kept keep.refused "
    "members.reports members.malformed members.broken wishes.taken wishes.refused "
    "wants.taken wants.refused disk.flushes disk.failed "
    "fleet.taken_over fleet.not_taken_over "
    "platform.listings platform.missed platform.orders platform.refused"
).split()


def descriptors() -> int:
    """All that the system allows, up to a bound: each member of the fleet holds one here."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS_MOST if hard == resource.RLIM_INFINITY else min(hard, DESCRIPTORS_MOST)
    if soft < wanted:
        with suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


class Peer:
    """Another planner: the newest question of each kind waits until the one before is over."""

    def __init__(self, planner: Planner, name: str, line: PeerConnection) -> None:
        self.planner, self.name, self.line = planner, name, line
        self.waiting: dict[str, Message] = {}
        self.busy = False

    def put(self, method: str, record: Message) -> None:
        self.waiting[method] = record
        if not self.busy:
            self.busy = True
            self.planner.scheduler.spawn(f"to {self.name}", self.work)

    def work(self) -> None:
        try:
            while self.waiting:
                method = next(iter(self.waiting))
                record = self.waiting.pop(method)
                sent = self.planner.scheduler.tell_time()
                try:
                    answer = self.line.ask(method, encode(record), sent + LIMIT)
                    self.planner.heard(record, answer, sent)
                except (OSError, InvalidInputError) as trouble:
                    self.planner.log.fault("a planner can't be asked", planner=self.name, why=str(trouble))
        finally:
            self.busy = False


class Planner:
    """`StoreWriteError`, `OSError` or `InvalidInputError` at its making says in a line why it can't be."""

    def __init__(self, fleet: Fleet, name: str, folder: Path, listen: str = "", path: str = "") -> None:
        self.path = path  # of the fleet file, to be read again on SIGHUP
        mine = next((one for one in fleet.planners if one.name == name), None)
        if mine is None:
            names = ", ".join(one.name for one in fleet.planners)
            raise InvalidInputError(f"planners: none is named {name!r}; there are {names}")
        self.fleet, self.name, self.address = fleet, name, address(listen or mine.address, "address")
        self.scheduler = Scheduler(lambda: None, self.fault, monotonic_now)
        self.log = Log(self.scheduler, name)
        self.counters = Counters(STORY)
        self.store = ElectionStore(folder, name)
        chance = random.Random(int.from_bytes(os.urandom(8)))
        self.ballot = Election(
            name,
            [one.name for one in fleet.planners],
            self.store.vote,
            chance.getrandbits(48),
            self.scheduler.now,
            chance,
        )
        self.flush()
        self.mind = PlannerState(fleet, self.ballot, self.scheduler.now)
        most = descriptors() - DESCRIPTORS
        self.door = PlannerEndpoint(self.scheduler, most, self.serve, self.gone)
        self.peers = [
            Peer(self, one.name, PeerConnection(self.scheduler, address(one.address, "address")))
            for one in fleet.planners
            if one.name != name
        ]
        self.links: dict[str, set[IncomingConnection]] = {}
        self.next_look = self.next_keep = 0
        self.keeping = 0
        self.owed: list[
            tuple[int, int, bytes, DeferredReply]
        ] = []  # answers that a majority has to keep first
        platform = fleet.platform
        self.platform = (
            PlatformLink(
                self.scheduler,
                self.counters,
                self.log,
                address(platform.address, "platform.address"),
                self.mind,
                span(platform.ask_ms),
            )
            if platform is not None
            else None
        )
        self.signals, self.wakeup = socket.socketpair()
        self.led = False

    # ---- the process -----------------------------------------------------------------------------------

    def run(self) -> None:
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        host, port = self.door.listen(self.address)
        self.log.info(
            "listening",
            address=f"{host}:{port}",
            life=self.ballot.durable.generation,
            blank=self.ballot.durable.is_blank,
            **({"put_aside": self.store.damage} if self.store.damage else {}),
        )
        self.scheduler.spawn("door", self.door.accept)
        self.scheduler.spawn("signals", self.take_signals)
        if self.platform is not None:
            self.scheduler.spawn("platform", self.platform.keep)
        self.scheduler.at(self.scheduler.now, self.tick)
        try:
            self.scheduler.run()
        finally:
            self.report()
            self.store.close()
            self.log.sink.finish()

    def take_signals(self) -> None:
        while True:
            self.scheduler.wait(self.signals.fileno(), READ)
            try:
                numbers = self.signals.recv(64)
            except BlockingIOError:
                continue
            if signal.SIGUSR1 in numbers:
                self.report()
            if signal.SIGHUP in numbers:
                self.reload()
            if signal.SIGTERM in numbers or signal.SIGINT in numbers:
                self.scheduler.stop()

    def reload(self) -> None:
        """The fleet file again; one that can't be taken over leaves the old one in force, and says why."""
        try:
            troubles = self.mind.amend(read_fleet(self.path), self.scheduler.tell_time())
        except (InvalidInputError, OSError) as trouble:
            troubles = str(trouble).splitlines()
        self.counters.count("fleet.not_taken_over" if troubles else "fleet.taken_over")
        for why in troubles:
            self.log.info("the fleet file is left as it was", why=why)

    def report(self) -> None:
        for part, counts in self.counters.report().items():
            self.log.info("counters", part=part, **counts)
        self.log.info("counters", part="process", memory_kb_most=memory("VmHWM"))

    def fault(self, name: str, trouble: Exception) -> None:
        self.counters.count("planner.faults")
        self.log.trace("a fault", trouble, task=name)

    # ---- what must survive -----------------------------------------------------------------------------

    def flush(self) -> None:
        """Before anything is said that rests on it."""
        if self.ballot.needs_flush:
            try:
                self.store.save(self.ballot.durable)
            except StoreWriteError as trouble:
                self.counters.count("disk.failed")
                self.log.fault("the disk does not keep what it must", why=str(trouble))
                raise
            self.counters.count("disk.flushes")
            self.ballot.needs_flush = False

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.scheduler.tell_time()
        self.scheduler.at(now + TICK, self.tick)
        self.vote(now)
        if now >= self.next_look:
            self.next_look = now + LOOK
            self.mind.look(now)
        leads = self.ballot.is_leading(now)
        if leads != self.led:
            self.led = leads
            self.counters.count("vote.won" if leads else "vote.lost")
            self.mind.look(now)
        self.have_kept(now)
        self.pay()
        for event, more in self.mind.take_remarks():
            self.log.info(event, **more)

    def vote(self, now: int) -> None:
        ask = self.ballot.next_vote_request(now)
        if ask is None:
            return
        self.counters.count("vote.asked")
        own = self.ballot.handle_vote_request(ask, now)
        self.flush()
        self.ballot.handle_vote_response(own, ask.term, now, now)
        ask.suspects = [one.name for one in self.mind.doubt][:64]
        for peer in self.peers:
            peer.put("ask", ask)

    def have_kept(self, now: int) -> None:
        """What is decided is kept by a majority before anybody is told."""
        told = self.mind.keep()
        if told is None or (told.state_number == self.keeping and now < self.next_keep):
            return
        self.keeping, self.next_keep = told.state_number, now + KEEP_AGAIN
        self.counters.count("keep.told")
        own = self.ballot.handle_replication_request(told, now)
        # A leader whose disk is full is none of its own keepers; the others may still be a majority.
        with suppress(StoreWriteError):
            self.flush()
            if self.ballot.handle_replication_response(own, told.state_number):
                self.mind.kept(told.state_number)
                self.hurry()
        for peer in self.peers:
            peer.put("keep", told)

    def heard(self, asked: Message, raw: bytes, sent: int) -> None:
        """Another planner's answer."""
        now = self.scheduler.tell_time()
        if isinstance(asked, VoteRequest):
            answer = decode(raw, VoteResponse)
            self.ballot.handle_vote_response(answer, asked.term, sent, now)
            if answer.granted:
                self.mind.membership.heard_elsewhere(answer.heard_suspects, now)
            self.flush()
        elif isinstance(asked, ReplicationRequest):
            kept = decode(raw, ReplicationResponse)
            self.counters.count("keep.kept" if kept.is_stored else "keep.refused")
            if asked.term == self.mind.reign and self.ballot.handle_replication_response(
                kept, asked.state_number
            ):
                self.mind.kept(asked.state_number)
                self.pay()
                self.hurry()

    def hurry(self) -> None:
        """What the platform is to be asked may be asked now."""
        if self.platform is not None and self.mind.orders(self.scheduler.now):
            self.platform.hurry()

    # ---- the door --------------------------------------------------------------------------------------

    def serve(self, guest: IncomingConnection, method: str, value: bytes) -> bytes | DeferredReply:
        serve: Callable[[IncomingConnection, bytes, int], bytes | DeferredReply] | None = {
            "report": self.take_report,
            "ask": self.take_ask,
            "keep": self.take_keep,
            "wish": self.take_wish,
            "want": self.take_want,
            "release": self.take_word,
        }.get(method)
        if serve is None:
            raise InvalidInputError(f"no such method: {method[:40]!r}")
        return serve(guest, value, self.scheduler.tell_time())

    def take_report(self, guest: IncomingConnection, value: bytes, now: int) -> bytes:
        self.counters.count("members.reports")
        try:
            report = decode(value, MemberReport)
        except InvalidInputError as trouble:
            self.counters.count("members.malformed")
            self.log.fault("a report that can't be read", why=str(trouble))
            raise
        reply = self.mind.hear(report, now)
        if guest.about is None or guest.about[1] != report.incarnation:
            self.forget(guest)
            guest.about = (report.name, report.incarnation)
            self.links.setdefault(report.name, set()).add(guest)
        return encode(reply)

    def take_ask(self, guest: IncomingConnection, value: bytes, now: int) -> bytes:
        ask = decode(value, VoteRequest)
        answer = self.ballot.handle_vote_request(ask, now)
        self.flush()
        if answer.granted:
            self.counters.count("vote.granted")
        answer.heard_suspects = self.mind.heard_here(ask.suspects, now)
        return encode(answer)

    def take_keep(self, guest: IncomingConnection, value: bytes, now: int) -> bytes:
        kept = self.ballot.handle_replication_request(decode(value, ReplicationRequest), now)
        self.flush()
        return encode(kept)

    def take_wish(self, guest: IncomingConnection, value: bytes, now: int) -> bytes:
        wish = decode(value, OperatorCommand)
        if wish.operation == "show":
            return msgspec.json.encode(self.mind.show(now))
        if wish.site not in self.mind.comebacks:
            raise InvalidInputError(
                f"no site is named {wish.site!r}; there are {', '.join(self.mind.comebacks)}"
            )
        if wish.operation == "what-if":
            return msgspec.json.encode(self.mind.foresee(wish.site))
        if not self.mind.rules(now):
            self.counters.count("wishes.refused")
            raise InvalidInputError(f"not the leader: ask {self.mind.silence(now).leader or 'again soon'}")
        if wish.operation == "evacuate":
            done = self.mind.evacuate(wish.site, wish.operator, wish.reason, now)
        else:
            done = self.mind.give_back(wish.site, wish.operator, now)
        self.counters.count("wishes.taken")
        return msgspec.json.encode({"done": done, "site": wish.site, "what": wish.operation})

    def take_want(self, guest: IncomingConnection, value: bytes, now: int) -> bytes | DeferredReply:
        """Told once a majority keeps it; one that loses its lead meanwhile says so, and the next one
        knows it.
        """
        want = decode(value, EvictionRequest)
        self.lead(now)
        number, granted = self.mind.want(want, now)
        return self.owe(number, encode(granted), now)

    def take_word(self, guest: IncomingConnection, value: bytes, now: int) -> bytes | DeferredReply:
        """Of releases: any planner shows them, the leader alone takes a word on them."""
        word = decode(value, RolloutCommand)
        if word.what in ("status", "history"):
            told = self.mind.told_releases(now, word.number, word.what == "history")
            return msgspec.json.encode({"leads": self.mind.rules(now), "releases": told})
        self.lead(now)
        number, said = self.mind.say(word, now)
        return self.owe(number, encode(said), now)

    def lead(self, now: int) -> None:
        """Who does not lead takes no word that changes anything."""
        if not self.mind.rules(now):
            self.counters.count("wants.refused")
            raise InvalidInputError(f"not the leader: ask {self.mind.silence(now).leader or 'again soon'}")
        self.counters.count("wants.taken")

    def owe(self, number: int, answer: bytes, now: int) -> bytes | DeferredReply:
        """The answer, once a majority keeps what it tells of."""
        if number <= self.mind.kept_number:
            return answer
        later = DeferredReply()
        self.owed.append((self.mind.reign, number, answer, later))
        self.have_kept(now)
        self.pay()
        return later

    def pay(self) -> None:
        """What a majority keeps now may be told."""
        left = []
        for reign, number, answer, later in self.owed:
            if reign != self.mind.reign:
                later.done(InvalidInputError("no longer the leader: ask the next one"))
            elif number <= self.mind.kept_number:
                later.done(answer)
            else:
                left.append((reign, number, answer, later))
        self.owed = left

    def gone(self, guest: IncomingConnection, why: str) -> None:
        self.forget(guest)

    def forget(self, guest: IncomingConnection) -> None:
        """A member whose last link here has ended is suspected at once."""
        if guest.about is None:
            return
        name, incarnation = guest.about
        guest.about = None
        links = self.links.get(name, set())
        links.discard(guest)
        if not any(one.about == (name, incarnation) for one in links):
            self.counters.count("members.broken")
            self.mind.membership.broke(name, incarnation)


def run_planner(fleet: Fleet, name: str, folder: Path, listen: str = "", path: str = "") -> None:
    Planner(fleet, name, folder, listen, path).run()
