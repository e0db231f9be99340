"""Every history of permits in a small scope: three planners, three members, a budget of one.

The real `DisruptionBudget` decides; around it all orders of events are tried, each state once: asks, keeps
that reach a planner or never do, tells that come late, twice or never, members that go, come back or crash,
leaders that die and others that take over from any majority. After each event it is checked that no more
members are out by a permit than the budget allows, that no permit is used by two lives, and, where a
majority lives, that somebody can still go on.

`mistake` takes one rule out, to show that it is found: `minority` tells what one planner keeps, `no flush`
lets a planner answer before it keeps, `no incarnation` lets a later life use an earlier one's permit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import msgspec

from ..cluster.disruption_budget import (
    BudgetGroup,
    BudgetState,
    DisruptionBudget,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
)
from ..cluster.messages import Incarnation

NAMES = ("m0", "m1", "m2")
GROUPS = [BudgetGroup("all", frozenset(NAMES), most=1)]
EMPTY = msgspec.json.encode(BudgetState())


class Fault(AssertionError):
    """What must not be, with the events that led there."""


@dataclass(frozen=True, slots=True)
class Kept:
    """What one planner has on its disk."""

    epoch: int = 0
    number: int = 0
    book: bytes = EMPTY

    @property
    def age(self) -> tuple[int, int]:
        return self.epoch, self.number


@dataclass(frozen=True, slots=True)
class Life:
    """One member: which life, where it is, and whether a permit let it out."""

    mark: int = 1
    where: str = "in"  # in, out, cold
    planned: bool = False


@dataclass(frozen=True, slots=True)
class World:
    disks: tuple[Kept, ...] = (Kept(), Kept(), Kept())
    lives: tuple[Life, ...] = (Life(), Life(), Life())
    leader: int = -1
    epoch: int = 0
    number: int = 0
    book: bytes = EMPTY
    kept_by: frozenset[int] = frozenset()
    tells: frozenset[tuple[int, int]] = (
        frozenset()
    )  # member, mark: a permit that was told, which may come any time
    elections: int = 0


class Scope:
    """`elections` and `marks`, the lives of each member, bound the histories."""

    def __init__(
        self, mistake: str = "", elections: int = 2, marks: tuple[int, int, int] = (1, 1, 1)
    ) -> None:
        self.mistake, self.elections, self.marks = mistake, elections, marks

    # ---- the permits -----------------------------------------------------------------------------------

    @staticmethod
    def seen(world: World) -> dict[str, MemberObservation]:
        why = {"in": None, "out": UnavailabilityReason.SILENT, "cold": UnavailabilityReason.COLD}
        return {
            name: MemberObservation(Incarnation(nonce=life.mark), 1.0, why[life.where])
            for name, life in zip(NAMES, world.lives, strict=True)
        }

    @staticmethod
    def permits(book: bytes) -> DisruptionBudget:
        made = DisruptionBudget(GROUPS)
        made.take(book)
        return made

    def decided(self, world: World, permits: DisruptionBudget) -> World:
        """A changed book is on the leader's own disk first."""
        permits.book.record.clear()
        # Only the order of grants matters, not how many there were before.
        for place, permit in enumerate(permits.book.permits, 1):
            permit.number = place
        permits.book.number = len(permits.book.permits)
        book = permits.keep()
        if book == world.book:
            return world
        number = world.number + 1
        disks = list(world.disks)
        disks[world.leader] = Kept(world.epoch, number, book)
        kept_by = frozenset((world.leader,))
        return replace(world, book=book, number=number, disks=tuple(disks), kept_by=kept_by)

    # ---- what may happen next --------------------------------------------------------------------------

    def events(self, world: World) -> Iterator[tuple[str, World]]:
        if world.leader >= 0:
            yield from self.of_leader(world)
            yield "the leader dies", replace(world, leader=-1, kept_by=frozenset())
        elif world.elections < self.elections:
            yield from self.takeovers(world)
        for n, life in enumerate(world.lives):
            yield from self.of_member(world, n, life)

    def of_leader(self, world: World) -> Iterator[tuple[str, World]]:
        seen = self.seen(world)
        for n, life in enumerate(world.lives):
            if life.where == "in":
                permits = self.permits(world.book)
                permits.ask(
                    EvictionWaiter(holder=NAMES[n], incarnation=Incarnation(nonce=life.mark), why=""), seen
                )
                yield f"{NAMES[n]} asks", self.decided(world, permits)
        permits = self.permits(world.book)
        permits.look(seen)
        yield "a look", self.decided(world, permits)
        for p, disk in enumerate(world.disks):
            if p in world.kept_by or disk.epoch > world.epoch:
                continue
            disks = list(world.disks)
            if self.mistake != "no flush":
                disks[p] = Kept(world.epoch, world.number, world.book)
            yield f"planner {p} keeps", replace(world, disks=tuple(disks), kept_by=world.kept_by | {p})
        if len(world.kept_by) >= (1 if self.mistake == "minority" else 2):
            told = {
                (NAMES.index(one.holder), one.incarnation.nonce)
                for one in self.permits(world.book).book.permits
            }
            yield "tells", replace(world, tells=world.tells | told)

    def takeovers(self, world: World) -> Iterator[tuple[str, World]]:
        """Any planner by any majority; it takes the newest that its voters keep, under an epoch of its
        own.
        """
        for p in range(3):
            for other in range(3):
                if other == p:
                    continue
                newest = max(world.disks[p], world.disks[other], key=lambda one: one.age)
                epoch = world.epoch + 1
                disks = list(world.disks)
                disks[p] = Kept(epoch, 1, newest.book)
                yield (
                    f"planner {p} leads by {other}",
                    replace(
                        world,
                        disks=tuple(disks),
                        leader=p,
                        epoch=epoch,
                        number=1,
                        book=newest.book,
                        kept_by=frozenset((p,)),
                        elections=world.elections + 1,
                    ),
                )

    def of_member(self, world: World, n: int, life: Life) -> Iterator[tuple[str, World]]:
        def become(then: Life) -> World:
            lives = list(world.lives)
            lives[n] = then
            return replace(world, lives=tuple(lives))

        if life.where == "in":
            marks = {mark for member, mark in world.tells if member == n}
            if life.mark in marks or (self.mistake == "no incarnation" and marks):
                yield f"{NAMES[n]} goes", become(Life(life.mark, "out", True))
            if life.mark < self.marks[n]:
                yield f"{NAMES[n]} crashes", become(Life(life.mark + 1, "cold", False))
        elif life.where == "out" and life.mark < self.marks[n]:
            yield f"{NAMES[n]} starts", become(Life(life.mark + 1, "cold", True))
        elif life.where == "cold":
            yield f"{NAMES[n]} is warm", become(Life(life.mark, "in", False))

    # ---- all of it -------------------------------------------------------------------------------------

    def explore(self, most: int = 2_000_000) -> int:
        """How many states there are; Fault at the first that must not be, with the shortest way there."""
        start = World()
        came: dict[World, tuple[World, str] | None] = {start: None}
        waiting = deque((start,))
        while waiting:
            world = waiting.popleft()
            for event, then in self.events(world):
                then = self.plain(then)
                if then in came:
                    continue
                came[then] = (world, event)
                if len(came) > most:
                    raise MemoryError(f"more than {most} states")
                wrong = self.wrong(then)
                if wrong:
                    raise Fault(f"{wrong}: {', '.join(self.way(came, then))}")
                waiting.append(then)
        return len(came)

    @staticmethod
    def plain(world: World) -> World:
        """Numbers by their order alone, and books of one age alike: histories that differ in nothing else
        are one.
        """
        ages = sorted({disk.age for disk in world.disks} | {(world.epoch, world.number)})
        epochs = sorted({epoch for epoch, _ in ages})
        place: dict[tuple[int, int], tuple[int, int]] = {}
        for epoch in epochs:
            for n, age in enumerate([age for age in ages if age[0] == epoch]):
                place[age] = (epochs.index(epoch), n)
        disks = tuple(Kept(*place[disk.age], disk.book) for disk in world.disks)
        epoch, number = place[world.epoch, world.number]
        return replace(world, disks=disks, epoch=epoch, number=number)

    @staticmethod
    def wrong(world: World) -> str:
        out = [NAMES[n] for n, life in enumerate(world.lives) if life.planned]
        return f"{' and '.join(out)} are out at once, and one may be" if len(out) > 1 else ""

    @staticmethod
    def way(came: dict[World, tuple[World, str] | None], world: World) -> list[str]:
        events = []
        step = came[world]
        while step is not None:
            events.append(step[1])
            step = came[step[0]]
        return events[::-1]
