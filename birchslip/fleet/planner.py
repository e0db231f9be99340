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

from ..deployment import Malformed
from ..net.counters import Counters
from ..net.log import Log
from ..net.program import memory
from ..net.scheduler import READ, Scheduler
from ..net.site import address
from .fleetfile import Fleet
from .mind import LOOK, Mind
from .records import Answer, Ask, Granted, Keep, Kept, Record, Report, Want, Wish, decode, encode
from .steady import steady_clock
from .store import Store, Unkept
from .vote import Ballot
from .wire import Door, Guest, Later, Line

TICK = 250  # the vote is looked at forty times a second
LIMIT = 3_000  # an answer of another planner that takes longer than 300 ms is none
KEEP_AGAIN = 2_500  # what a majority does not keep yet is told again
DESCRIPTORS = 32  # kept for the disk, the log, other planners and operators
STORY = (
    "vote.asked vote.granted vote.won vote.lost keep.told keep.kept keep.refused "
    "members.reports members.malformed members.broken wishes.taken wishes.refused "
    "wants.taken wants.refused disk.flushes disk.failed"
).split()


class Peer:
    """Another planner: the newest question of each kind waits until the one before is over."""

    def __init__(self, planner: Planner, name: str, line: Line) -> None:
        self.planner, self.name, self.line = planner, name, line
        self.waiting: dict[str, Record] = {}
        self.busy = False

    def put(self, method: str, record: Record) -> None:
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
                except (OSError, Malformed) as trouble:
                    self.planner.log.fault("a planner can't be asked", planner=self.name, why=str(trouble))
        finally:
            self.busy = False


class Planner:
    """`Unkept`, `OSError` or `Malformed` at its making says in a line why it can't be."""

    def __init__(self, fleet: Fleet, name: str, folder: Path, listen: str = "") -> None:
        mine = next((one for one in fleet.planners if one.name == name), None)
        if mine is None:
            names = ", ".join(one.name for one in fleet.planners)
            raise Malformed(f"planners: none is named {name!r}; there are {names}")
        self.fleet, self.name, self.address = fleet, name, address(listen or mine.address, "address")
        self.scheduler = Scheduler(lambda: None, self.fault, steady_clock)
        self.log = Log(self.scheduler, name)
        self.counters = Counters(STORY)
        self.store = Store(folder, name)
        chance = random.Random(int.from_bytes(os.urandom(8)))
        self.ballot = Ballot(
            name,
            [one.name for one in fleet.planners],
            self.store.found,
            chance.getrandbits(48),
            self.scheduler.now,
            chance,
        )
        self.flush()
        self.mind = Mind(fleet, self.ballot, self.scheduler.now)
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - DESCRIPTORS
        self.door = Door(self.scheduler, most, self.serve, self.gone)
        self.peers = [
            Peer(self, one.name, Line(self.scheduler, address(one.address, "address")))
            for one in fleet.planners
            if one.name != name
        ]
        self.links: dict[str, set[Guest]] = {}
        self.next_look = self.next_keep = 0
        self.keeping = 0
        self.owed: list[tuple[int, int, Granted, Later]] = []  # answers that a majority has to keep first
        self.signals, self.wakeup = socket.socketpair()
        self.led = False

    # ---- the process -----------------------------------------------------------------------------------

    def run(self) -> None:
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1):
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        host, port = self.door.listen(self.address)
        self.log.info(
            "listening",
            address=f"{host}:{port}",
            life=self.ballot.durable.life,
            blank=self.ballot.durable.blank,
            **({"put_aside": self.store.trouble} if self.store.trouble else {}),
        )
        self.scheduler.spawn("door", self.door.accept)
        self.scheduler.spawn("signals", self.take_signals)
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
            if signal.SIGTERM in numbers or signal.SIGINT in numbers:
                self.scheduler.stop()

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
        if self.ballot.dirty:
            try:
                self.store.save(self.ballot.durable)
            except Unkept as trouble:
                self.counters.count("disk.failed")
                self.log.fault("the disk does not keep what it must", why=str(trouble))
                raise
            self.counters.count("disk.flushes")
            self.ballot.dirty = False

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.scheduler.tell_time()
        self.scheduler.at(now + TICK, self.tick)
        self.vote(now)
        if now >= self.next_look:
            self.next_look = now + LOOK
            self.mind.look(now)
        leads = self.ballot.leads(now)
        if leads != self.led:
            self.led = leads
            self.counters.count("vote.won" if leads else "vote.lost")
            self.mind.look(now)
        self.have_kept(now)
        self.pay()
        for event, more in self.mind.take_remarks():
            self.log.info(event, **more)

    def vote(self, now: int) -> None:
        ask = self.ballot.ask(now)
        if ask is None:
            return
        self.counters.count("vote.asked")
        own = self.ballot.asked(ask, now)
        self.flush()
        self.ballot.answered(own, ask.epoch, now, now)
        ask.doubt = [one.name for one in self.mind.doubt][:64]
        for peer in self.peers:
            peer.put("ask", ask)

    def have_kept(self, now: int) -> None:
        """What is decided is kept by a majority before anybody is told."""
        told = self.mind.keep()
        if told is None or (told.number == self.keeping and now < self.next_keep):
            return
        self.keeping, self.next_keep = told.number, now + KEEP_AGAIN
        self.counters.count("keep.told")
        own = self.ballot.keep(told, now)
        # A leader whose disk is full is none of its own keepers; the others may still be a majority.
        with suppress(Unkept):
            self.flush()
            if self.ballot.kept(own, told.number):
                self.mind.kept(told.number)
        for peer in self.peers:
            peer.put("keep", told)

    def heard(self, asked: Record, raw: bytes, sent: int) -> None:
        """Another planner's answer."""
        now = self.scheduler.tell_time()
        if isinstance(asked, Ask):
            answer = decode(raw, Answer)
            self.ballot.answered(answer, asked.epoch, sent, now)
            if answer.granted:
                self.mind.membership.heard_elsewhere(answer.heard, now)
            self.flush()
        elif isinstance(asked, Keep):
            kept = decode(raw, Kept)
            self.counters.count("keep.kept" if kept.kept else "keep.refused")
            if asked.epoch == self.mind.reign and self.ballot.kept(kept, asked.number):
                self.mind.kept(asked.number)
                self.pay()

    # ---- the door --------------------------------------------------------------------------------------

    def serve(self, guest: Guest, method: str, value: bytes) -> bytes | Later:
        serve: Callable[[Guest, bytes, int], bytes | Later] | None = {
            "report": self.take_report,
            "ask": self.take_ask,
            "keep": self.take_keep,
            "wish": self.take_wish,
            "want": self.take_want,
        }.get(method)
        if serve is None:
            raise Malformed(f"no such method: {method[:40]!r}")
        return serve(guest, value, self.scheduler.tell_time())

    def take_report(self, guest: Guest, value: bytes, now: int) -> bytes:
        self.counters.count("members.reports")
        try:
            report = decode(value, Report)
        except Malformed as trouble:
            self.counters.count("members.malformed")
            self.log.fault("a report that can't be read", why=str(trouble))
            raise
        reply = self.mind.hear(report, now)
        if guest.about is None or guest.about[1] != report.incarnation:
            self.forget(guest)
            guest.about = (report.name, report.incarnation)
            self.links.setdefault(report.name, set()).add(guest)
        return encode(reply)

    def take_ask(self, guest: Guest, value: bytes, now: int) -> bytes:
        ask = decode(value, Ask)
        answer = self.ballot.asked(ask, now)
        self.flush()
        if answer.granted:
            self.counters.count("vote.granted")
        answer.heard = self.mind.heard_here(ask.doubt, now)
        return encode(answer)

    def take_keep(self, guest: Guest, value: bytes, now: int) -> bytes:
        kept = self.ballot.keep(decode(value, Keep), now)
        self.flush()
        return encode(kept)

    def take_wish(self, guest: Guest, value: bytes, now: int) -> bytes:
        wish = decode(value, Wish)
        if wish.what == "show":
            return msgspec.json.encode(self.mind.show(now))
        if wish.site not in self.mind.comebacks:
            raise Malformed(f"no site is named {wish.site!r}; there are {', '.join(self.mind.comebacks)}")
        if wish.what == "what-if":
            return msgspec.json.encode(self.mind.foresee(wish.site))
        if not self.mind.rules(now):
            self.counters.count("wishes.refused")
            raise Malformed(f"not the leader: ask {self.mind.silence(now).leader or 'again soon'}")
        if wish.what == "evacuate":
            done = self.mind.evacuate(wish.site, wish.who, wish.why, now)
        else:
            done = self.mind.give_back(wish.site, wish.who, now)
        self.counters.count("wishes.taken")
        return msgspec.json.encode({"done": done, "site": wish.site, "what": wish.what})

    def take_want(self, guest: Guest, value: bytes, now: int) -> bytes | Later:
        """Told once a majority keeps it; one that loses its lead meanwhile says so, and the next one
        knows it.
        """
        want = decode(value, Want)
        if not self.mind.rules(now):
            self.counters.count("wants.refused")
            raise Malformed(f"not the leader: ask {self.mind.silence(now).leader or 'again soon'}")
        self.counters.count("wants.taken")
        number, granted = self.mind.want(want, now)
        if number <= self.mind.kept_number:
            return encode(granted)
        later = Later()
        self.owed.append((self.mind.reign, number, granted, later))
        self.have_kept(now)
        self.pay()
        return later

    def pay(self) -> None:
        """What a majority keeps now may be told."""
        left = []
        for reign, number, granted, later in self.owed:
            if reign != self.mind.reign:
                later.done(Malformed("no longer the leader: ask the next one"))
            elif number <= self.mind.kept_number:
                later.done(encode(granted))
            else:
                left.append((reign, number, granted, later))
        self.owed = left

    def gone(self, guest: Guest, why: str) -> None:
        self.forget(guest)

    def forget(self, guest: Guest) -> None:
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


def run_planner(fleet: Fleet, name: str, folder: Path, listen: str = "") -> None:
    Planner(fleet, name, folder, listen).run()
