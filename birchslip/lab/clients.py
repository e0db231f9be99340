"""Stand-ins for routers and the clients behind them: one router a site, with habits of its own.

A router sends to listed app servers of its own site, and to the others only where there is none. What was
shed, refused or cut is tried again elsewhere, up to `TRIES` times, marked as a further try. `heed` is the
share of advice that it follows: when to come back, and not to try elsewhere.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from ..net.buffer import Buffer, MalformedMessageError
from ..net.clients import read_messages
from ..net.connection import Connection, connect
from ..net.messagepack import pack
from ..net.scheduler import Scheduler
from .cores import HANDSHAKE, READING
from .truth import SECOND, Deed, Truth, Try

BOUND = 1 << 20
TRIES = 4
HEED = 0.6
FIRST_WAIT = 500  # before a further try: 50 ms at first, twice as long each time, half of it by chance
LINKS = 4  # to one app server
OPEN_MOST = 24  # on one link
NOWHERE = 3_000
AWAY = 5_000  # one that can't be reached is left alone for half a second
NEWS = 8_000  # the catalog's list reaches routers within 0.8 s
PING = 5_000
PING_LIMIT = 4_000


class Profile:
    """A kind of transaction: its work, spans and payoff."""

    def __init__(
        self, name: str, share: float, work: int, goal: int, deadline: int, payoff: float, label: bool
    ) -> None:
        self.name, self.share, self.work, self.goal, self.deadline = name, share, work, goal, deadline
        self.payoff, self.label = payoff, label


class Server:
    """An app server as routers know it, with what really becomes of it."""

    def __init__(self, name: str, site: str, address: tuple[str, int]) -> None:
        self.name, self.site, self.address = name, site, address
        self.life = 0
        self.up = False  # whether its process is there and not paused


class Link:
    """One connection of a router to one app server."""

    def __init__(self, router: Router, server: Server, connection: Connection) -> None:
        self.router, self.server, self.connection = router, server, connection
        self.life = server.life
        self.number = 0
        self.open: dict[int, tuple[Deed, Try]] = {}
        self.closing = False

    def take(self, buffer: Buffer) -> None:
        read, trouble = read_messages(buffer)
        for message in read:
            match message:
                case [1, int(number), error, result]:
                    self.router.answered(self, number, error, result)
                case [2, "closing", []]:
                    self.closing = True
                case _:
                    raise MalformedMessageError("no message of an app server's")
        if trouble:
            raise MalformedMessageError(trouble)

    def serve(self) -> None:
        why = self.connection.serve(self.take)
        self.router.ended(self, why)


class Router:
    def __init__(
        self,
        scheduler: Scheduler,
        truth: Truth,
        number: int,
        site: str,
        servers: list[Server],
        profiles: list[Profile],
        tenants: dict[str, float],
        seed: int,
        written: dict[str, int],
    ) -> None:
        self.scheduler, self.truth, self.number, self.site = scheduler, truth, number, site
        self.servers, self.profiles, self.tenants, self.written = servers, profiles, tenants, written
        self.chance = random.Random(seed)
        self.asked = random.Random(seed + 1)  # arrivals are the same whatever becomes of them
        self.heed = HEED
        self.links: dict[Server, list[Link]] = {server: [] for server in servers}
        self.away: dict[Server, int] = {}
        self.listed: set[str] = set()
        self.bad: set[Server] = set()
        self.rate = 0.0
        self.surge: dict[str, float] = {}
        self.serial = 0
        self.stopped = False
        self.lost_sites: Callable[[], set[str]] = set
        self.cost: Callable[[Server, int], None] = lambda server, span: None

    # ---- arrivals --------------------------------------------------------------------------------------

    def start(self, catalog: Callable[[], set[str]]) -> None:
        self.learn(catalog)
        self.next_arrival = self.scheduler.now
        self.scheduler.at(self.next_arrival, self.arrive)
        for server in self.servers:
            self.scheduler.spawn("pings", partial(self.keep_pinging, server))

    def learn(self, catalog: Callable[[], set[str]]) -> None:
        """The list, as late as news is."""
        told = catalog()
        self.scheduler.at(self.scheduler.now + NEWS, lambda: setattr(self, "listed", told))
        if not self.stopped:
            self.scheduler.at(self.scheduler.now + NEWS // 4, lambda: self.learn(catalog))

    def arrive(self) -> None:
        if self.stopped:
            return
        weights = {name: share * self.surge.get(name, 1.0) for name, share in self.tenants.items()}
        rate = self.rate * sum(weights.values())
        gap = self.asked.expovariate(max(0.1, rate)) * SECOND
        self.next_arrival += int(gap)
        self.scheduler.at(self.next_arrival, self.arrive)
        if rate <= 0:
            return
        tenant = self.asked.choices(list(weights), list(weights.values()))[0]
        profile = self.asked.choices(self.profiles, [one.share for one in self.profiles])[0]
        work = max(5, int(self.asked.gammavariate(4, profile.work / 4) / 10))
        self.serial += 1
        label = self.asked.randbytes(16).hex() if profile.label else ""
        deed = Deed(
            self.serial,
            profile.name,
            tenant,
            self.site,
            profile.payoff,
            profile.goal,
            self.scheduler.now,
            work * 10,
            label,
        )
        self.truth.deeds.append(deed)
        call = f" call L{label}" if profile.label else ""
        self.send(deed, profile, f"{work}{call}".encode(), None)

    # ---- tries -----------------------------------------------------------------------------------------

    def pick(self, but: set[str]) -> Server | None:
        now = self.scheduler.now
        able = [
            server
            for server in self.servers
            if server.name in self.listed and self.away.get(server, 0) <= now and server not in self.bad
        ]
        fresh = [server for server in able if server.name not in but] or able
        own = [server for server in fresh if server.site == self.site]
        # Own app servers first; a further try goes wherever it has not been.
        some = own if own and not but else fresh
        if not some:
            return None
        a, b = self.chance.choice(some), self.chance.choice(some)
        return a if self.load(a) <= self.load(b) else b

    def load(self, server: Server) -> int:
        return sum(len(link.open) for link in self.links[server])

    def send(self, deed: Deed, profile: Profile, body: bytes, same: Server | None) -> None:
        now = self.scheduler.now
        if deed.ended or deed.honoured_at or now >= deed.born + profile.deadline - 500:
            deed.ended = True
            return
        server = same or self.pick({one.server for one in deed.tries})
        if server is None:
            # Nowhere to send it: it waits a moment at its router, and then its client hears that it can't be.
            deed.ended = now - deed.born > NOWHERE
            self.again(deed, profile, body, None)
            return
        link = self.link_to(server)
        if link is None:
            # It is opened in a task of its own; the try goes out on it.
            self.scheduler.spawn("router", partial(self.open, deed, profile, body, server))
            return
        self.write(deed, profile, body, link)

    def link_to(self, server: Server) -> Link | None:
        links = [one for one in self.links[server] if one.connection.open and not one.closing]
        best = min(links, key=lambda one: len(one.open), default=None)
        if best is None or (len(best.open) >= OPEN_MOST // 4 and len(links) < LINKS):
            return None
        return best if len(best.open) < OPEN_MOST else None

    def open(self, deed: Deed, profile: Profile, body: bytes, server: Server) -> None:
        links = [one for one in self.links[server] if one.connection.open]
        if len(links) >= LINKS:
            self.again(deed, profile, body, None)
            return
        try:
            sock = connect(self.scheduler, server.address)
        except OSError:
            self.away[server] = self.scheduler.now + AWAY
            deed.tries.append(
                Try(server.name, server.life, self.scheduler.now, 0, bool(deed.tries), excused="refused")
            )
            self.again(deed, profile, body, None)
            return
        link = Link(self, server, Connection(self.scheduler, sock, BOUND, BOUND))
        self.links[server].append(link)
        self.cost(server, HANDSHAKE)
        self.scheduler.spawn("link", link.serve)
        self.write(deed, profile, body, link)

    def write(self, deed: Deed, profile: Profile, body: bytes, link: Link) -> None:
        now = self.scheduler.now
        patience = min(profile.deadline, deed.born + profile.deadline - now)
        one = Try(link.server.name, link.life, now, now + patience, bool(deed.tries))
        deed.tries.append(one)
        if not link.server.up:
            one.excused = "down"
        self.cost(link.server, READING)
        link.number += 1
        number = link.number
        link.open[number] = (deed, one)
        name = os.urandom(8).hex()
        self.written[name] = now
        fields = {
            "req": name,
            "ts": str(now // 10),
            "via": str(self.number),
            "owner": deed.tenant,
            "timeout": str(max(1, patience // 10)),
            "need": "10",
            "level": "0.5",
        }
        if one.again:
            fields["resent"] = "1"
        if deed.label:
            fields["opkey"] = deed.label
        link.connection.write(pack([0, number, profile.name, [fields, body]]))
        # Of redoable ones a silent try is followed by another one elsewhere once half the goal is over.
        wait = patience if deed.label else min(patience, profile.goal * 3 // 4)
        self.scheduler.at(now + wait, lambda: self.overdue(deed, profile, body, link, number))
        link.router.profile_of[deed] = (profile, body)

    profile_of: dict[Deed, tuple[Profile, bytes]] = {}  # noqa: RUF012

    def overdue(self, deed: Deed, profile: Profile, body: bytes, link: Link, number: int) -> None:
        if number not in link.open:
            return
        _, one = link.open[number]
        now = self.scheduler.now
        if now < one.due:
            # It may still come; the answer is owed until it is aborted.
            if len([other for other in deed.tries if not other.answered and not other.excused]) < 2:
                self.again(deed, profile, body, None, soon=True)
            self.scheduler.at(one.due + 1_500, lambda: self.give_up(link, number))
            return
        self.scheduler.at(one.due + 1_500, lambda: self.give_up(link, number))

    def give_up(self, link: Link, number: int) -> None:
        """Past its time: an app server that was there all along should have answered."""
        entry = link.open.pop(number, None)
        if entry is None:
            return
        deed, one = entry
        if not link.server.up or link.life != link.server.life or not link.connection.open:
            one.excused = "down"
        link.connection.write(pack([2, "abort", [number]]))
        deed.ended = deed.ended or self.scheduler.now >= deed.born + self.profile_of[deed][0].deadline

    def again(
        self, deed: Deed, profile: Profile, body: bytes, same: Server | None, soon: bool = False
    ) -> None:
        if deed.ended or deed.honoured_at or len(deed.tries) >= TRIES:
            deed.ended = deed.ended or len(deed.tries) >= TRIES
            return
        wait = (
            0 if soon else int(FIRST_WAIT * 2 ** max(0, len(deed.tries) - 1) * (0.5 + self.chance.random()))
        )
        self.scheduler.at(self.scheduler.now + wait, lambda: self.send(deed, profile, body, same))

    # ---- answers ---------------------------------------------------------------------------------------

    def answered(self, link: Link, number: int, error: Any, result: Any) -> None:
        entry = link.open.pop(number, None)
        if entry is None:
            return
        deed, one = entry
        profile, body = self.profile_of[deed]
        one.answers += 1
        now = self.scheduler.now
        if error is None:
            one.answered = "honoured"
            if result[0][:8] != b"made of " or not result[0][8:].startswith(body):
                self.truth.broken.append("an answer that no run made")
            if not deed.honoured_at:
                deed.honoured_at = now
            return
        word, fields = error
        if word != "Overloaded":
            one.answered = "written off"
            if not deed.label:
                self.again(deed, profile, body, None)
            return
        one.answered = "shed"
        lost = self.lost_sites()
        kind = "again" if one.again else "visitor" if deed.home in lost else "home"
        self.truth.sheds[kind] += 1
        heeds = self.chance.random() < self.heed
        if "holdoff" in fields and heeds:
            self.away[link.server] = max(self.away.get(link.server, 0), now + int(fields["holdoff"]) * 10)
        if "nomore" in fields and heeds:
            deed.ended = True
            return
        self.again(deed, profile, body, None)

    def ended(self, link: Link, why: str) -> None:
        if link in self.links[link.server]:
            self.links[link.server].remove(link)
        if link.open and link.server.up and link.life == link.server.life and not self.stopped:
            self.truth.broken.append(f"{link.server.name}: {why}")
            self.truth.cut.append((link.server.name, link.life, [one for _, one in link.open.values()]))
        else:
            for _, one in link.open.values():
                one.excused = "down"
        for deed, _ in list(link.open.values()):
            profile, body = self.profile_of[deed]
            if not deed.label:
                self.again(deed, profile, body, None)
        link.open.clear()

    # ---- health checks ---------------------------------------------------------------------------------

    def keep_pinging(self, server: Server) -> None:
        """A health check now and then, on a connection of its own."""
        missed = 0
        while not self.stopped:
            good = self.ping(server)
            missed = 0 if good else missed + 1
            if missed >= 2:
                self.bad.add(server)
            elif good:
                self.bad.discard(server)
            self.scheduler.sleep(self.scheduler.now + PING + int(self.chance.random() * 1_000))

    def ping(self, server: Server) -> bool:
        try:
            link = Connection(self.scheduler, connect(self.scheduler, server.address), BOUND, BOUND)
        except OSError:
            return False
        heard: list[Any] = []
        try:
            link.write(pack([0, 1, "ping", [{}]]))
            limit = self.scheduler.now + PING_LIMIT
            while link.open and not heard and self.scheduler.now < limit:
                link.step(lambda buffer: heard.extend(read_messages(buffer)[0]), limit)
        finally:
            link.close("asked")
        return bool(heard) and heard[0][0] == 1 and heard[0][2] is None and heard[0][3][0] is True
