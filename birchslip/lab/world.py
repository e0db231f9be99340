"""Base of all scenario runs: app servers and planners as real processes, everything else as stand-ins.

The history of what happened is recorded here, outside the program, and never taken from the program.
"""

from __future__ import annotations

import json
import random
import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..net.scheduler import Scheduler
from .clients import AppServer, RequestClass, Router
from .peers import Agent, Catalog, Vault
from .processes import Process
from .truth import SECOND, HistoryChecker
from .wires import FaultProxy, free_port

# Times are tenths of a millisecond where a name has no unit.
CORES_PER_SERVER = 2
COLD_SPEED, WARM_UP_SPAN = 0.4, 4 * SECOND  # share of full speed at a cold start, and time to full speed
LOOKUP = RequestClass("lookup", 0.7, 700, SECOND, 3 * SECOND, 1.0, False)
ORDER = RequestClass("order", 0.3, 1_050, SECOND * 3 // 2, 3 * SECOND, 1.5, True)
REQUEST_CLASSES = [LOOKUP, ORDER]
RETENTION_WINDOW = 6 * SECOND  # how long an app server stores the result of an idempotency key
TENANT_SHARES = {"blue": 0.5, "green": 0.3, "red": 0.2}
CALLS_PER_SERVER = 3.0  # downstream calls at the same time that the vault allows, for each app server
STOP_MS = 2_000  # `stop_ms` of the configuration below
SITES = ("north", "south", "east", "west", "upper", "lower", "inner", "outer", "far")
END_SPAN = 3 * SECOND  # for open requests, and then for the drains, at the end of a run
END_TOLERANCE = 2_000  # above `ABORT_DELAY` of the routers, so that overdue attempts are aborted by then
DRAIN_GRACE = 5_000  # `drain_grace_s` of the configuration below


@dataclass(frozen=True)
class ScenarioOptions:
    """Options of every scenario run.

    Attributes:
        seed: Seed of arrivals, schedules and latencies.
        sites: Number of sites.
        each: App servers per site.
        planners: Number of planners.
        load: Arrival rate as a share of the capacity; above 1 is overload.
        fault: Name of the fault schedule.
        logs: Folder that keeps files and logs; a temporary one if None.
        alone: Whether the run for comparison is left out.
        fleet: Whether there are planners.
    """

    seed: int
    sites: int = 3
    each: int = 4
    planners: int = 3
    load: float = 0.9
    fault: str = "kill"
    logs: Path | None = None
    alone: bool = False
    fleet: bool = True


class Testbed:
    """Processes and stand-ins of one scenario run, and the actions that schedules take on them.

    Times are tenths of a millisecond. Subclasses override `prepare` to create what the files of the processes
    must name, and `extend_fleet_file` and `get_vault` to change these files.

    Attributes:
        faults: Exceptions of the testbed's own tasks, and other faults of the run, as text.
        history: Record of what happened.
        written_at: When each request id was written to an app server.
        mean_work: Mean core time of a run, over all request classes by their shares.
        capacity: Requests per second that all cores can serve at full speed.
        lost_sites: Sites that are dead or paused.
        proxies: Fault proxies by the names of the process that connects and of the planner it connects to.
        last_targets: Planners that the last planner action applied to.
        spans: Start and end of named parts of the run, relative to `started_at`.
        started_at: When all app servers were listed and the load began.
    """

    request_classes = REQUEST_CLASSES
    warm_up_span = WARM_UP_SPAN
    retention_window = RETENTION_WINDOW

    def __init__(self, options: ScenarioOptions, folder: Path) -> None:
        """Create the stand-ins and write the files of all processes into `folder`."""
        self.base_options, self.folder = options, folder
        self.scheduler = Scheduler(lambda: None, self.record_fault)
        self.faults: list[str] = []
        self.history = HistoryChecker()
        self.written_at: dict[str, int] = {}
        self.sites = list(SITES[: options.sites])
        self.servers = [
            AppServer(f"{site}-{n + 1}", site, ("127.0.0.1", free_port()))
            for site in self.sites
            for n in range(options.each)
        ]
        self.mean_work = sum(
            request_class.share * request_class.mean_work for request_class in self.request_classes
        ) / sum(request_class.share for request_class in self.request_classes)
        self.capacity = len(self.servers) * CORES_PER_SERVER * SECOND / self.mean_work
        random_source = random.Random(options.seed)
        self.draw_vault_latency = lambda: int(random_source.uniform(150, 250))
        self.vault = Vault(self.scheduler, self.history, self.draw_vault_latency)
        self.history.vault_limit = int(CALLS_PER_SERVER * len(self.servers))
        self.catalog = Catalog(self.scheduler)
        self.agents = {server.name: self.create_agent(server) for server in self.servers}
        self.routers = [
            Router(
                self.scheduler,
                self.history,
                index + 1,
                site,
                self.servers,
                self.request_classes,
                TENANT_SHARES,
                options.seed * 64 + index,
                self.written_at,
            )
            for index, site in enumerate(self.sites)
        ]
        self.lost_sites: set[str] = set()
        for router in self.routers:
            router.get_lost_sites = lambda: self.lost_sites
            router.charge_cores = lambda server, work: self.agents[server.name].charge_cores(work)
            router.arrival_rate = options.load * self.capacity / len(self.routers)
        self.planner_names = [f"planner-{n + 1}" for n in range(options.planners)]
        self.planner_ports = {name: free_port() for name in self.planner_names}
        self.proxies: dict[tuple[str, str], FaultProxy] = {}
        self.planners: dict[str, Process] = {}
        self.last_targets: list[str] = []
        self.spans: dict[str, tuple[int, int]] = {}
        self.started_at = 0
        self.prepare()
        if options.fleet:
            self.write_planner_files()
        self.members = {server.name: self.write_member_files(server) for server in self.servers}

    def prepare(self) -> None:
        """Create what the files of the processes must name; called before they are written."""

    def record_fault(self, name: str, error: Exception) -> None:
        """Record an exception of the testbed's task `name`, which is not passed on."""
        self.faults.append(f"{name}: {type(error).__name__}: {error}")

    # ---- files and processes ---------------------------------------------------------------------------

    def create_agent(self, server: AppServer) -> Agent:
        """Create the agent of an app server, which knows when each request was written to it."""
        return Agent(
            self.scheduler,
            self.history,
            server.name,
            CORES_PER_SERVER,
            COLD_SPEED,
            self.warm_up_span,
            lambda name: self.written_at.get(name, self.scheduler.now),
        )

    def add_proxy(self, source: str, target: str) -> str:
        """Put a fault proxy between the process `source` and the planner `target`; return its address."""
        proxy = self.proxies[source, target] = FaultProxy(
            self.scheduler, ("127.0.0.1", self.planner_ports[target])
        )
        return proxy.address

    def planner_address(self, source: str, target: str) -> str:
        """Return the address at which `source` reaches the planner `target`.

        A planner reaches itself at its own port, and other processes reach it through a proxy each.
        """
        if source == target:
            return f"127.0.0.1:{self.planner_ports[target]}"
        proxy = self.proxies.get((source, target))
        return proxy.address if proxy is not None else self.add_proxy(source, target)

    def write_fleet_file(self, reader: str) -> Path:
        """Write the fleet file of one process and return its path.

        The fleet is the same for all processes, but each reaches the planners through proxies of its own.
        """
        fleet: dict[str, Any] = {
            "planners": [
                {"name": planner, "address": self.planner_address(reader, planner)}
                for planner in self.planner_names
            ],
            "sites": [
                {
                    "name": site,
                    "routers": [index + 1],
                    "members": [
                        {"name": server.name, "address": f"{server.address[0]}:{server.address[1]}"}
                        for server in self.servers
                        if server.site == site
                    ],
                }
                for index, site in enumerate(self.sites)
            ],
            "tenants": TENANT_SHARES,
            "vault": {"total": CALLS_PER_SERVER * len(self.servers), "kept": 0.5, "lease_ms": 3_000},
        }
        self.extend_fleet_file(fleet, reader)
        path = self.folder / f"{reader}.fleet.json"
        path.write_text(json.dumps(fleet))
        return path

    def extend_fleet_file(self, fleet: dict[str, Any], reader: str) -> None:
        """Add what a scenario needs beside the base fleet; does nothing by default."""

    def write_planner_files(self) -> None:
        """Write the fleet files of all planners and create their processes."""
        for name in self.planner_names:
            path = self.write_fleet_file(name)
            folder = str(self.folder / name)
            arguments = ["planner", "--fleet", str(path), "--name", name, "--folder", folder]
            self.planners[name] = Process(name, arguments, {}, self.folder)

    def get_vault(self, server: AppServer) -> Vault:
        """Return the vault that an app server calls; one for all by default."""
        return self.vault

    def write_member_files(self, server: AppServer) -> Process:
        """Write the configuration of an app server and create its process."""
        settings = {
            "classes": [
                {
                    "name": request_class.name,
                    "effect": "by_key" if request_class.is_keyed else "repeatable",
                    "aim_s": request_class.latency_objective / SECOND,
                    "hard_limit_s": request_class.deadline / SECOND,
                    "window_s": self.retention_window / SECOND,
                    "credit": request_class.priority_weight,
                }
                for request_class in self.request_classes
            ],
            "tenants": [
                {"name": name, "quota_per_s": share * self.capacity} for name, share in TENANT_SHARES.items()
            ],
            "group_size": len(self.servers),
            "ceilings": {"retry_after": True, "max_retry_after_s": 1.0},
            "contract": {
                "fall_multiple": 8.0,
                "drain_grace_s": DRAIN_GRACE / SECOND,
                "cold_from": COLD_SPEED,
                "cold_s": self.warm_up_span / SECOND,
            },
            "family_info": {
                "cores": CORES_PER_SERVER,
                "mem_limit_kb": 8000.0,
                "run_factor": 4.0,
                "key_kb": 1.0,
                "halt": "drop",
                "downstream": "shared",
                "calls_out": CALLS_PER_SERVER,
                "share_span_s": 5.0,
                "linger_s": 0.0,
                "class_skip_worth": [0.0, 0.0],
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
            },
        }
        configuration = {
            "name": server.name,
            "listen": f"{server.address[0]}:{server.address[1]}",
            "agent": self.agents[server.name].address,
            "directory": self.catalog.address,
            "vault": self.get_vault(server).address,
            "seed": f"{self.base_options.seed:x}",
            "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }
        path = self.folder / f"{server.name}.json"
        path.write_text(json.dumps(configuration))
        environment = {"PROXY_CONFIG": str(path)}
        if self.base_options.fleet:
            environment["BIRCHSLIP_FLEET"] = str(self.write_fleet_file(server.name))
        return Process(server.name, [], environment, self.folder)

    # ---- course of a run -------------------------------------------------------------------------------

    def start_all(self) -> None:
        """Start all processes, wait up to 30 s until all app servers are listed, and start the load.

        Raises:
            RuntimeError: Not all app servers were listed in time.
        """
        for process in self.planners.values():
            process.start()
        for server in self.servers:
            self.members[server.name].start()
            server.incarnation, server.is_up = 1, True
        self.wait_for(lambda: len(self.catalog.get_listed_servers()) == len(self.servers), 30 * SECOND)
        for router in self.routers:
            router.listed_servers = self.catalog.get_listed_servers()
            router.start(self.catalog.get_listed_servers)
        self.started_at = self.scheduler.now

    def drain_all(self) -> None:
        """Stop the load, let open requests end, drain all app servers and wait `END_SPAN` for that."""
        scheduler = self.scheduler
        for router in self.routers:
            router.is_stopped = True
        scheduler.sleep(scheduler.now + END_SPAN + END_TOLERANCE)
        for server in self.servers:
            self.drain_server(server)
        scheduler.sleep(scheduler.now + END_SPAN)

    def drain_server(self, server: AppServer) -> None:
        """Send SIGTERM to an app server and record the end of its drain grace.

        The app server may launch no request that is written to it after that end.
        """
        self.history.drain_deadlines[server.name, self.agents[server.name].incarnation] = (
            self.scheduler.now + DRAIN_GRACE
        )
        self.members[server.name].terminate()

    def excuse_pending_attempts(self, server: AppServer) -> None:
        """Excuse all pending attempts at an app server that is killed, paused or resumed.

        They are owed no response.
        """
        for router in self.routers:
            for link in router.links[server]:
                for _, attempt in link.pending.values():
                    attempt.excuse = "down"

    def wait_for(self, condition: Callable[[], bool], timeout: int) -> None:
        """Wait in the calling task until the condition holds; it is checked every 50 ms.

        Args:
            condition: What is awaited.
            timeout: Longest wait, in tenths of a millisecond.

        Raises:
            RuntimeError: The condition did not hold within the timeout.
        """
        until = self.scheduler.now + timeout
        while not condition() and self.scheduler.now < until:
            self.scheduler.sleep(self.scheduler.now + 500)
        if not condition():
            raise RuntimeError(f"condition not met within {timeout / SECOND:g} s")

    def run_director(self, director: Callable[[], None]) -> None:
        """Run `director` in a task of its own, and the scheduler until the director ends.

        An exception of the director is recorded as a fault and ends the run too.
        """

        def guarded() -> None:
            try:
                director()
            except Exception as error:
                self.record_fault("director", error)
            finally:
                self.scheduler.stop()

        self.scheduler.spawn("director", guarded)
        self.scheduler.run()

    # ---- planners --------------------------------------------------------------------------------------

    def find_leader(self) -> str:
        """Return the planner whose log has the latest leadership acquisition; the first one if none has."""
        event = "event=leadership_acquired"
        announcements = [
            (time, name)
            for name, process in self.planners.items()
            for time, _ in process.find_log_lines(event)
        ]
        return max(announcements)[1] if announcements else self.planner_names[0]

    def resolve_planners(self, selector: str) -> list[str]:
        """Return the names of the planners that a selector means.

        Args:
            selector: "all", "leader", or "last" for those of the last action; anything else for a follower,
                if possible one that the last action did not apply to.
        """
        if not self.planners:
            return []
        if selector == "all":
            return list(self.planner_names)
        if selector == "last":
            return self.last_targets
        leader = self.find_leader()
        if selector == "leader":
            return [leader]
        others = [name for name in self.planner_names if name != leader and name not in self.last_targets]
        return others[:1] or [name for name in self.planner_names if name != leader][:1]

    def apply_to_planners(self, action: str, selector: str) -> None:
        """Apply a fault or repair action to the planners that `selector` means; see `resolve_planners`.

        An unknown action does nothing, and so does "disk-old" if no disk was saved. "disk-cut-short" leaves
        half of the planner's file and 100 bytes.
        """
        names = self.resolve_planners(selector)
        for name in names:
            process = self.planners[name]
            folder = self.folder / name
            saved_folder = self.folder / f"{name}.saved"
            match action:
                case "kill-planner":
                    process.kill()
                case "start-planner":
                    process.start()
                case "pause-planner":
                    process.pause()
                case "resume-planner":
                    process.resume()
                case "save-disk":
                    shutil.copytree(folder, saved_folder, dirs_exist_ok=True)
                case "disk-empty":
                    shutil.rmtree(folder)
                case "disk-cut-short":
                    path = folder / f"{name}.planner"
                    content = path.read_bytes()
                    path.write_bytes(content[: len(content) // 2 + 100])
                    for suffix in ("-wal", "-shm"):
                        path.with_name(path.name + suffix).unlink(missing_ok=True)
                case "disk-full":
                    process.forbid_file_growth()
                case "disk-emptied":
                    process.allow_file_growth()
                case "disk-old" if saved_folder.exists():
                    shutil.rmtree(folder)
                    shutil.copytree(saved_folder, folder)
        self.last_targets = names

    def set_planner_proxies(self, mode: str, planner: str) -> None:
        """Set the mode of all proxies between `planner` and the other planners, in both directions."""
        for (source, target), proxy in self.proxies.items():
            if source in self.planners and planner in (source, target):
                proxy.set_mode(mode)

    # ---- end of a run ----------------------------------------------------------------------------------

    def terminate_all(self) -> None:
        """Terminate all processes and wait up to 5 s for each; one that still runs then is killed."""
        for member in self.members.values():
            member.terminate()
        for member in self.members.values():
            member.wait(5)
        for planner in self.planners.values():
            planner.terminate()
        for planner in self.planners.values():
            planner.wait(5)

    def get_span(self, name: str) -> tuple[int, int]:
        """Return a named part of the run as absolute start and end times."""
        start, end = self.spans[name]
        return self.started_at + start, self.started_at + end

    def list_unexpected_exits(self) -> list[str]:
        """Return name and exit codes of each process that exited by itself or with a nonzero code."""
        processes = [*self.members.values(), *self.planners.values()]
        return [
            f"{process.name}: {process.unexpected_exit_codes}"
            for process in processes
            if process.unexpected_exit_codes
        ]
