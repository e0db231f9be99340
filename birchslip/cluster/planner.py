"""The process of one planner: its endpoint, periodic evaluation, signals and log.

`election.py` decides which planner leads and `planner_state.py` makes the plan; `planner_service.py` and
`state_replicator.py` do the I/O. No request of a caller ever waits for a planner.
"""

from __future__ import annotations

import os
import random
import resource
import signal
import socket
from contextlib import suppress
from pathlib import Path

from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.program import read_memory_kb
from ..net.scheduler import READ, Scheduler
from ..net.site import parse_address
from . import fleet_file
from .election import Election
from .election_store import ElectionStore
from .fleet_file import Fleet, span
from .fleet_reader import read_fleet
from .monotonic_clock import monotonic_now
from .planner_service import PlannerService
from .planner_state import EVALUATION_INTERVAL, PlannerState
from .platform_link import PlatformLink
from .state_replicator import StateReplicator
from .transport import PeerConnection, PlannerEndpoint

TICK_INTERVAL = 250  # 25 ms
MAX_DESCRIPTORS = 16_384
RESERVED_DESCRIPTORS = 32  # for the vote file, the log, the other planners and operators
NONCE_BITS = 48
MAX_SIGNALS_PER_READ = 64  # the wakeup socket receives one byte per signal
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
COUNTER_NAMES = [
    "vote.asked",
    "vote.granted",
    "vote.won",
    "vote.lost",
    "keep.told",
    "keep.kept",
    "keep.refused",
    "members.reports",
    "members.malformed",
    "members.broken",
    "wishes.taken",
    "wishes.refused",
    "wants.taken",
    "wants.refused",
    "disk.flushes",
    "disk.failed",
    "fleet.taken_over",
    "fleet.not_taken_over",
    "platform.listings",
    "platform.missed",
    "platform.orders",
    "platform.refused",
]


def raise_descriptor_limit() -> int:
    """Raise the limit of open files to `MAX_DESCRIPTORS` as far as allowed; return the limit in force."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = MAX_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MAX_DESCRIPTORS)
    if soft < target:
        with suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def find_planner(fleet: Fleet, name: str) -> fleet_file.Planner:
    """Return the planner of that name in the fleet file.

    Raises:
        InvalidInputError: If the fleet has none.
    """
    for planner in fleet.planners:
        if planner.name == name:
            return planner
    names = ", ".join(planner.name for planner in fleet.planners)
    raise InvalidInputError(f"planners: no planner is named {name!r}; expected one of {names}")


class Planner:
    """One planner process."""

    def __init__(self, fleet: Fleet, name: str, folder: Path, listen: str = "", path: str = "") -> None:
        """Open the vote file and create all components, without listening yet.

        Args:
            fleet: The fleet file's content.
            name: The planner's name in the fleet file.
            folder: Folder of the vote file.
            listen: HOST:PORT to listen at; by default the address in the fleet file.
            path: Path of the fleet file, which is read again on SIGHUP.

        Raises:
            InvalidInputError: If the fleet has no such planner, or an address is malformed.
            StoreWriteError: If the vote can't be stored.
        """
        own_entry = find_planner(fleet, name)
        self.path = path
        self.address = parse_address(listen or own_entry.address, "address")
        self.scheduler = Scheduler(lambda: None, self.log_fault, monotonic_now)
        self.log = Log(self.scheduler, name)
        self.counters = Counters(COUNTER_NAMES)
        self.store = ElectionStore(folder, name)
        self.election = self.make_election(fleet, name)
        self.state = PlannerState(fleet, self.election, self.scheduler.now)
        self.platform = self.make_platform_link(fleet)
        self.replicator = self.make_replicator(fleet, name)
        self.replicator.flush()
        self.service = PlannerService(self.scheduler, self.counters, self.log, self.state, self.replicator)
        self.endpoint = PlannerEndpoint(
            self.scheduler,
            raise_descriptor_limit() - RESERVED_DESCRIPTORS,
            self.service.handle,
            self.service.handle_close,
        )
        self.signals, self.wakeup = socket.socketpair()
        self.next_evaluation_at = 0
        self.was_leading = False

    def make_election(self, fleet: Fleet, name: str) -> Election:
        """Create the election with the stored vote."""
        rng = random.Random(int.from_bytes(os.urandom(8)))
        planners = [planner.name for planner in fleet.planners]
        nonce = rng.getrandbits(NONCE_BITS)
        return Election(name, planners, self.store.vote, nonce, self.scheduler.now, rng)

    def make_platform_link(self, fleet: Fleet) -> PlatformLink | None:
        """Create the link to the platform if the fleet has one."""
        platform = fleet.platform
        if platform is None:
            return None
        platform_address = parse_address(platform.address, "platform.address")
        return PlatformLink(
            self.scheduler, self.counters, self.log, platform_address, self.state, span(platform.ask_ms)
        )

    def make_replicator(self, fleet: Fleet, name: str) -> StateReplicator:
        """Create the replicator with connections to the other planners.

        The replicator wakes the platform link each time a quorum has stored the newest state.
        """
        peers = {
            planner.name: PeerConnection(self.scheduler, parse_address(planner.address, "address"))
            for planner in fleet.planners
            if planner.name != name
        }
        return StateReplicator(
            self.scheduler,
            self.counters,
            self.log,
            self.store,
            self.election,
            self.state,
            peers,
            self.wake_platform_link,
        )

    # ---- the process -----------------------------------------------------------------------------------

    def run(self) -> None:
        """Listen and run until SIGTERM or SIGINT."""
        self.install_signal_handlers()
        self.listen()
        self.scheduler.spawn("accept", self.endpoint.accept)
        self.scheduler.spawn("signals", self.handle_signals)
        if self.platform is not None:
            self.scheduler.spawn("platform", self.platform.run)
        self.scheduler.at(self.scheduler.now, self.tick)
        try:
            self.scheduler.run()
        finally:
            self.log_counters()
            self.store.close()
            self.log.writer.flush()

    def install_signal_handlers(self) -> None:
        """Have signals written to a socket, from which `handle_signals` reads them."""
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def listen(self) -> None:
        """Start to listen and log the address and the state of the vote file."""
        host, port = self.endpoint.listen(self.address)
        damage = {"put_aside": self.store.damage} if self.store.damage else {}
        self.log.info(
            "listening",
            address=f"{host}:{port}",
            life=self.election.durable.generation,
            blank=self.election.durable.is_blank,
            **damage,
        )

    def handle_signals(self) -> None:
        """Handle signals as they arrive. Runs as a task that never ends."""
        while True:
            self.scheduler.wait(self.signals.fileno(), READ)
            try:
                numbers = self.signals.recv(MAX_SIGNALS_PER_READ)
            except BlockingIOError:
                continue
            if signal.SIGUSR1 in numbers:
                self.log_counters()
            if signal.SIGHUP in numbers:
                self.reload_fleet_file()
            if signal.SIGTERM in numbers or signal.SIGINT in numbers:
                self.scheduler.stop()

    def reload_fleet_file(self) -> None:
        """Read the fleet file again; if it can't be applied, the previous one stays in force."""
        try:
            violations = self.state.apply_fleet(read_fleet(self.path), self.scheduler.update_clock())
        except (InvalidInputError, OSError) as error:
            violations = str(error).splitlines()
        self.counters.count("fleet.not_taken_over" if violations else "fleet.taken_over")
        for violation in violations:
            self.log.info("fleet_file_rejected", why=violation)

    def log_counters(self) -> None:
        """Log all counters."""
        for part, counts in self.counters.report().items():
            self.log.info("counters", part=part, **counts)
        self.log.info("counters", part="process", memory_kb_most=read_memory_kb("VmHWM"))

    def log_fault(self, task: str, error: Exception) -> None:
        """Count and log an unhandled exception of a task or timer."""
        self.counters.count("planner.faults")
        self.log.trace("unhandled_exception", error, task=task)

    # ---- clock ticks -----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Send due requests, evaluate the state, log events and schedule the next tick."""
        now = self.scheduler.update_clock()
        self.scheduler.at(now + TICK_INTERVAL, self.tick)
        self.replicator.request_votes(now)
        if now >= self.next_evaluation_at:
            self.next_evaluation_at = now + EVALUATION_INTERVAL
            self.state.tick(now)
        self.check_leadership(now)
        self.replicator.replicate(now)
        self.replicator.complete_replies()
        for event, fields in self.state.drain_events():
            self.log.info(event, **fields)

    def check_leadership(self, now: int) -> None:
        """Evaluate the state immediately if the leadership was acquired or lost."""
        is_leading = self.election.is_leading(now)
        if is_leading == self.was_leading:
            return
        self.was_leading = is_leading
        self.counters.count("vote.won" if is_leading else "vote.lost")
        self.state.tick(now)

    def wake_platform_link(self) -> None:
        """Wake the platform link immediately if there is an order to send."""
        if self.platform is not None and self.state.platform_orders(self.scheduler.now):
            self.platform.wake()


def run_planner(fleet: Fleet, name: str, folder: Path, listen: str = "", path: str = "") -> None:
    """Run a planner until it is stopped; the arguments are those of `Planner`."""
    Planner(fleet, name, folder, listen, path).run()
