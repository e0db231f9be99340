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
from .clients import Profile, Server
from .dying import POINTS
from .processes import Process
from .truth import SECOND
from .world import TENANTS, Told, World

ORDER = Profile("order", 1.0, 150, SECOND, 2 * SECOND, 1.0, True)
WINDOW = 8 * SECOND
AGAIN = 0.25  # of the answered ones are asked for again
BOUND = 1 << 20
LATEST = WINDOW - SECOND  # after its first try no label is asked for any more
STALL_MOST = 2 * SECOND
SURGE, SMALL = 6.0, 700  # times its usual that an account asks; labels that its store holds
SURGED = "blue"
LIVES = (2_000, 12_000)  # between a start and its kill
POINTS_EACH = 0.5  # of the kills are at a chosen point

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
class KeptTold(Told):
    labels: int = 10_000
    kills: int = 200
    rate: float = 60.0  # new labels a second
    kept: bool = True
    work: int = ORDER.work  # tenths of a millisecond on a core, in the mean
    again: float = AGAIN  # of the answered ones are asked for again


@dataclass(eq=False)
class Asked:
    """One label as its client knows it."""

    label: str
    body: bytes
    born: int
    tenant: str = "blue"
    surging: bool = False  # whether the surge was on when it was asked for
    tries: int = 0
    open: int = 0
    result: bytes | None = None
    at: int = 0
    life: int = 0  # in which it was asked for first
    under_way: bool = False  # at a kill, sent and not answered
    unknown: bool = False  # a try was written off in a later life
    shed_at: int = 0
    over: bool = False


@dataclass(eq=False)
class Try:
    asked: Asked
    at: int
    answered: str = ""
    excused: bool = False


@dataclass(eq=False)
class Tally:
    tries: list[Try] = field(default_factory=list)
    again_same: int = 0
    again_other: int = 0
    strange: Counter[str] = field(default_factory=Counter)


class Play(World):
    profiles = [ORDER]  # noqa: RUF012
    window = WINDOW

    def __init__(self, told: KeptTold, folder: Path) -> None:
        self.told = told
        super().__init__(told, folder)
        self.chance = random.Random(told.seed)
        self.server, self.member = self.servers[0], self.members[self.servers[0].name]
        self.agent = self.agents[self.server.name]
        self.asked: list[Asked] = []
        self.tally = Tally()
        self.link: Connection | None = None
        self.open: dict[int, Try] = {}
        self.number = self.kills = self.lives = 0
        self.by_point: Counter[str] = Counter()
        self.finished = False
        self.cpu = 0.0

    def lay_member(self, server: Server) -> Process:
        member = super().lay_member(server)
        if self.told.kept:
            path = self.folder / "keep.json"
            entries = SMALL if self.told.fault == "filling" else 20_000
            told = {"folder": str(self.folder / "kept"), "bytes": 4 << 20, "entries": entries}
            path.write_text(json.dumps(told))
            member.environment["BIRCHSLIP_KEEP"] = str(path)
        member.module = "birchslip.lab.dying"
        return member

    # ---- the process -----------------------------------------------------------------------------------

    def start(self, point: str, count: int) -> None:
        flush = {"slow-disk": 30, "stalled-disk": 600}.get(self.told.fault, 0)
        self.member.words = [point, str(count), str(flush)]
        self.lives += 1
        self.server.life += 1
        self.member.start()
        self.server.up = True

    def live(self) -> None:
        """One life after the other, until all kills are done and all labels asked for."""
        while not self.finished:
            fault, chosen = (
                self.told.fault,
                self.chance.random() < POINTS_EACH and self.kills < self.told.kills,
            )
            point = self.chance.choice(list(POINTS)) if chosen else "none"
            self.start(point, self.chance.randint(1, 40))
            began = self.scheduler.now
            life = self.chance.randint(*LIVES)
            filled = False
            while self.member.running() and not self.finished:
                self.scheduler.sleep(self.scheduler.now + 100)
                over = self.scheduler.now - began
                if self.kills >= self.told.kills:
                    continue
                if fault == "full-disk" and not filled and over > life // 3:
                    filled = True
                    self.member.fill_disk()
                    self.scheduler.at(self.scheduler.now + SECOND // 2, self.member.empty_disk)
                if fault == "notices" and self.kills % 3 == 1 and over > life // 2:
                    self.member.hang_up()
                    self.drain(self.server)
                    while self.member.running():
                        self.scheduler.sleep(self.scheduler.now + 100)
                elif over > life + (2 * SECOND if chosen else 0):
                    self.member.kill()
            if not self.finished:
                self.died(point if chosen else "random")

    def died(self, how: str) -> None:
        self.kills += 1
        self.by_point[how] += 1
        self.member.unexpected.clear()
        self.server.up = False
        if self.told.fault == "agent-too":
            self.agent.start(cold=False)
        # What was on its way is asked for again; nothing is owed on links of the dead.
        for one in list(self.open.values()):
            one.excused = True
            one.asked.under_way = True
        for asked in self.asked[-400:]:
            # Shed as the disk stalled: that it never ran may be on its way to the disk still.
            asked.under_way = asked.under_way or self.scheduler.now - asked.shed_at < STALL_MOST
        if self.link is not None:
            self.link.close("dead")

    # ---- the client ------------------------------------------------------------------------------------

    def keep_link(self) -> None:
        while not self.finished:
            try:
                link = Connection(self.scheduler, connect(self.scheduler, self.server.address), BOUND, BOUND)
            except OSError:
                self.scheduler.sleep(self.scheduler.now + 300)
                continue
            self.link = link
            link.serve(self.take)
            self.link = None
            lost, self.open = list(self.open.values()), {}
            for one in lost:
                one.excused = True
                one.asked.open -= 1
                one.asked.under_way = True
                self.later(one.asked, self.chance.randint(0, 2_000))

    def take(self, buffer: Buffer) -> None:
        read, trouble = read_messages(buffer)
        for message in read:
            match message:
                case [1, int(number), error, result]:
                    self.answered(number, error, result)
                case [2, "closing", []]:
                    pass
                case _:
                    raise MalformedMessageError("no message of an app server's")
        if trouble:
            raise MalformedMessageError(trouble)

    def arrive(self) -> None:
        if self.finished or len(self.asked) >= self.told.labels:
            return
        filling = self.told.fault == "filling"
        surging = filling and 0.2 < len(self.asked) / self.told.labels < 0.8
        weights = {
            name: share * (SURGE if surging and name == SURGED else 1.0) for name, share in TENANTS.items()
        }
        gap = int(self.chance.expovariate(self.told.rate * sum(weights.values())) * SECOND) + 1
        self.scheduler.at(self.scheduler.now + gap, self.arrive)
        # No more than a life has room for waits meanwhile: the clients of a dead app server wait as well.
        if not filling and sum(1 for one in self.asked[-400:] if not one.over) > 120:
            return
        tenant = self.chance.choices(list(weights), list(weights.values()))[0] if filling else SURGED
        label = self.chance.randbytes(16).hex()
        # Where a store is to fill, the cores are not what is short.
        mean = self.told.work / (3 if filling else 1)
        work = max(1, int(self.chance.gammavariate(4, mean / 4) / 10))
        asked = Asked(label, f"{work} L{label}".encode(), self.scheduler.now, tenant, surging)
        self.asked.append(asked)
        self.send(asked)

    def later(self, asked: Asked, wait: int) -> None:
        self.scheduler.at(self.scheduler.now + wait, partial(self.send, asked))

    def send(self, asked: Asked) -> None:
        now = self.scheduler.now
        if self.finished or now - asked.born > LATEST:
            asked.over = True
            return
        if self.link is None or not self.link.open or len(self.open) >= 24:
            self.later(asked, 500)
            return
        self.number += 1
        one = self.open[self.number] = Try(asked, now)
        self.tally.tries.append(one)
        fields = {
            "req": os.urandom(8).hex(),
            "ts": str(now // 10),
            "via": "1",
            "owner": asked.tenant,
            "timeout": str(ORDER.deadline // 10),
            "need": "10",
            "level": "0.5",
            "opkey": asked.label,
        }
        asked.life = asked.life or self.lives
        if asked.tries:
            fields["resent"] = "1"
        asked.tries += 1
        asked.open += 1
        self.link.write(pack([0, self.number, ORDER.name, [fields, asked.body]]))

    def answered(self, number: int, error: Any, result: Any) -> None:
        one = self.open.pop(number, None)
        if one is None:
            self.tally.strange["an answer to nobody"] += 1
            return
        asked, now = one.asked, self.scheduler.now
        asked.open -= 1
        if error is None:
            one.answered = "honoured"
            if asked.result is None:
                asked.result, asked.at = result[0], now
                if not result[0].startswith(b"made of " + asked.body):
                    self.tally.strange["a result of another label"] += 1
            elif asked.result == result[0]:
                self.tally.again_same += 1
            else:
                self.tally.again_other += 1
            if self.chance.random() < self.told.again:
                self.later(asked, self.chance.randint(0, 2 * SECOND))
            else:
                asked.over = True
        elif error[0] == "Overloaded":
            one.answered = "shed"
            asked.shed_at = self.scheduler.now
            self.later(asked, self.chance.randint(500, 2_000))
        else:
            one.answered = "written off"
            asked.unknown = asked.unknown or self.lives > asked.life
            self.later(asked, self.chance.randint(2_000, SECOND))

    # ---- the course ------------------------------------------------------------------------------------

    def direct(self) -> None:
        self.scheduler.spawn("lives", self.live)
        self.scheduler.spawn("link", self.keep_link)
        self.wait_for(lambda: self.server.name in self.catalog.listed(), 15 * SECOND)
        self.scheduler.at(self.scheduler.now, self.arrive)
        longest = (
            int(self.told.labels / self.told.rate * 4 * SECOND) + self.told.kills * 3 * SECOND + 60 * SECOND
        )
        until = self.scheduler.now + longest
        while self.scheduler.now < until and not self.all_over():
            self.scheduler.sleep(self.scheduler.now + SECOND // 2)
        self.cpu = self.member.usage()[0]
        if not self.all_over():
            self.faults.append("it did not come to its end in time")
        self.scheduler.sleep(self.scheduler.now + 2 * ORDER.deadline)
        self.finished = True
        self.scheduler.sleep(self.scheduler.now + SECOND)

    def all_over(self) -> bool:
        asked = len(self.asked) >= self.told.labels and self.kills >= self.told.kills
        return asked and all(one.over for one in self.asked[-500:])

    # ---- what is told of it ----------------------------------------------------------------------------

    def in_time(self) -> dict[str, float]:
        """Of each account's labels of the surge: honoured within the latency goal."""
        found = {}
        for tenant in TENANTS:
            mine = [one for one in self.asked if one.surging and one.tenant == tenant]
            good = sum(1 for one in mine if one.result is not None and one.at - one.born <= ORDER.goal)
            if mine:
                found[tenant] = round(good / len(mine), 4)
        return found

    def sheds_each(self) -> dict[str, float]:
        """Of each account's labels of the surge: how often one was shed in the mean."""
        made: Counter[str] = Counter()
        sheds: Counter[str] = Counter()
        for one in self.asked:
            if one.surging:
                made[one.tenant] += 1
        for tried in self.tally.tries:
            if tried.asked.surging and tried.answered == "shed":
                sheds[tried.asked.tenant] += 1
        return {tenant: round(sheds[tenant] / made[tenant], 2) for tenant in sorted(made)}

    def flushes(self) -> dict[str, Any]:
        """As the program logged them, every 256."""
        lines = [line for _, line in self.member.lines("event=store_flush_latency")]
        told = [dict(word.split("=", 1) for word in line.split() if "=" in word) for line in lines]
        spans = {name: sorted(float(one[name]) for one in told) for name in ("p50_ms", "p99_ms")}
        return {
            "flushes": sum(int(one["flushes"]) for one in told),
            "flush_ms": {name[:3]: span[len(span) // 2] if span else None for name, span in spans.items()},
        }

    def outcome(self) -> dict[str, Any]:
        launches = Counter(label for (_, _, label), times in self.truth.launches.items() for _ in times)
        now = self.scheduler.now
        unanswered = [
            one
            for one in self.tally.tries
            if not one.answered and not one.excused and now - one.at > ORDER.deadline + SECOND // 2
        ]
        unknown = [one for one in self.asked if one.unknown]
        honoured = [one for one in self.asked if one.result is not None]
        took = sorted((one.at - one.born) / 10 for one in honoured)
        span = max((one.at for one in honoured), default=0) - min((one.born for one in honoured), default=0)
        return {
            "labels": len(self.asked),
            "kills": self.kills,
            "lives": self.lives,
            "killed_at": dict(self.by_point),
            "double_runs": sum(1 for count in launches.values() if count > 1),
            "unanswered": len(unanswered),
            "first_answer_again": self.tally.again_same,
            "other_answer": self.tally.again_other,
            "strange": dict(self.tally.strange),
            "unknown": len(unknown),
            "unknown_beyond": sum(1 for one in unknown if not one.under_way),
            "service": round(len(honoured) / max(1, len(self.asked)), 4),
            "took_ms": {f"p{part}": took[len(took) * part // 100] if took else None for part in (50, 99)},
            "rate": round(len(honoured) / max(1, span) * SECOND, 1),
            "program_cpu_s": round(self.cpu, 2),
            "tries": dict(Counter(one.answered or "cut" for one in self.tally.tries)),
            "in_time": self.in_time(),
            "sheds_each": self.sheds_each(),
            "trouble": self.faults[:5],
            "dead": self.dead(),
            **self.flushes(),
        }


def play_once(told: KeptTold, folder: Path) -> dict[str, Any]:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    play = Play(told, folder)
    try:
        play.play(play.direct)
    finally:
        play.finished = True
        play.finish()
    return play.outcome()


UNKEPT = ("full-disk", "stalled-disk")
BAD = ("double_runs", "unanswered", "other_answer", "strange", "unknown_beyond", "trouble", "dead")


def play_kept(told: KeptTold) -> dict[str, Any]:
    """The report of the command; without a store the same schedule shows what one is for."""
    kept = told.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        report = {"seed": told.seed, "fault": told.fault, **play_once(told, kept / "kept")}
        if not told.alone:
            without = play_once(replace(told, kept=False), kept / "without")
            report["without"] = {name: without[name] for name in ("double_runs", "service")}
    finally:
        if told.logs is None:
            shutil.rmtree(kept, ignore_errors=True)
    # On a disk that takes nothing an answer goes out unkept: killed then, its label is unknown.
    borne = ("unknown_beyond",) if told.fault in UNKEPT else ()
    report["broken"] = [f"{name}: {report[name]}" for name in BAD if report[name] and name not in borne]
    return report
