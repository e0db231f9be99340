"""One transaction's way through the program: what the door knows of it, beside what the decisions know."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..admission.types import Outcome, Request
from .scheduler import Timer


class Caller(Protocol):
    """Who is answered: the connection that a transaction came on."""

    open: dict[int, Passage]

    def honour(self, number: int, result: bytes) -> None: ...
    def shed(self, number: int, after: int, last: bool) -> None: ...
    def write_off(self, number: int) -> None: ...


@dataclass(slots=True)
class Told:
    """What a peer told of a transaction, in this program's units; each protocol fills it its own way."""

    name: str
    profile: str
    body: bytes
    stamp: int  # when it came to the machine
    wait: int  # how long its caller waits from then on
    caller: int
    tenant: str
    size: int
    again: bool
    label: str
    about: bool = False  # whether it names what it reads


@dataclass(eq=False, slots=True)
class Passage:
    """`name` is the id it has with every peer; `number` is that of its message on its router's connection."""

    client: Caller
    number: int
    name: str
    profile: str
    body: bytes
    transaction: Request
    stamp: int  # when it came to the machine, as told, and never ahead of our clock
    label_name: str = ""
    label: Label | None = None
    answered: bool = False
    launched: bool = False  # since then nobody may say that it never ran
    launched_at: int = 0
    # the call that its run waits for: the notice's number and body, and what was asked of the vault
    need: int = 0
    need_body: bytes = b""
    call_at: int = 0
    call_timer: Timer | None = None  # set while the call is out
    # the last order to the agent that no notice has answered yet: given again if the link is lost meanwhile
    order: bytes = b""
    told_stamp: int = 0  # as told, also where it lies ahead of our clock

    @property
    def window_from(self) -> int:
        """From when on its label's window is counted: by the later of two clocks, which is the safe one."""
        return max(self.stamp, self.told_stamp)


@dataclass(eq=False, slots=True)
class Conclusion:
    """How a run ended, and what it made."""

    outcome: Outcome
    result: bytes = field(default=b"", repr=False)


@dataclass(eq=False, slots=True)
class Label:
    """One entry. `until` is the last arrival that it stands for, `ran` the try that holds the claim; `asked`
    tells whether a try asks the same where the one that ran was of an earlier life.
    """

    name: str
    holder: Passage
    until: int
    ran: Passage | None = None
    conclusion: Conclusion | None = None
    waiting: list[Passage] = field(default_factory=list)
    asked: Callable[[Passage], bool] | None = None

    @property
    def original(self) -> Passage:
        """The try that the others repeat: the one that ran, else the one with the entry."""
        return self.ran or self.holder

    def same(self, passage: Passage) -> bool:
        """All tries of one label are the same: what is not, shares neither its run nor its outcome."""
        if self.asked is not None:
            return self.asked(passage)
        return (self.original.body, self.original.profile) == (passage.body, passage.profile)

    def leave(self, *passages: Passage) -> None:
        """It needs its entry no longer: kept, each would keep the other in memory."""
        for passage in passages:
            passage.label = None
