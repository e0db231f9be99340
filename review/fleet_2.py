"""Stand-in members of a fleet, and what an operator sees of its planners, for the fleet cases."""

from __future__ import annotations

import socket
import threading
import time
from typing import Any

from birchslip.cli import call_planner
from birchslip.cluster.messages import Incarnation, MemberReport, OperatorCommand, OperatorOperation, encode
from birchslip.net.buffer import Buffer
from birchslip.net.clients import read_messages
from birchslip.net.messagepack import pack

FIRST_PORT = 40_000  # of the members' addresses, at which nobody listens
LINK_TIMEOUT_S = 5.0
REQUESTS_PER_REPORT = 200  # all of them in time
NEXT_NONCE = 100_000  # from one incarnation of a member to the next


class Member:
    """One app server as its planners see it: it reports, and is restarted when the operator says so."""

    def __init__(self, name: str, site: str, port: int) -> None:
        """Create a member that serves."""
        self.name, self.site, self.address = name, site, f"127.0.0.1:{port}"
        self.nonce, self.sequence, self.is_draining, self.is_down = port, 0, False, False
        self.lock = threading.Lock()

    def drain(self) -> None:
        """Stop to serve, as on SIGTERM; it still reports."""
        self.is_draining = True

    def stop(self) -> None:
        """End the process: nothing is reported any more."""
        self.is_down = True

    def start(self) -> None:
        """Start a new process, which is warm at once."""
        self.nonce, self.is_draining, self.is_down = self.nonce + NEXT_NONCE, False, False

    def report(self) -> MemberReport:
        """Return the next report of a warm app server, or of one that drains."""
        with self.lock:
            self.sequence += 1
            return MemberReport(
                name=self.name,
                site=self.site,
                incarnation=Incarnation(nonce=self.nonce),
                sequence=self.sequence,
                address=self.address,
                uptime=1_000_000,
                is_serving=not self.is_draining,
                is_draining=self.is_draining,
                is_warm=True,
                capacity=100.0,
                slowdown=1.0,
                local_load={"blue": 20.0, "green": 20.0},
                evacuated_load=0.0,
                retries=0.0,
                served=40.0,
                rejected=0.0,
                calls_in_flight=1.0,
                call_limit=0.0,
                lease_remaining=0,
                plan_term=0,
                plan_number=0,
                metrics={"late:lookup": (0, REQUESTS_PER_REPORT * self.sequence)},
            )


def make_members(sites: tuple[str, ...], members_per_site: int) -> list[Member]:
    """Return the members of all sites."""
    return [
        Member(f"{site}-{number}", site, FIRST_PORT + index * members_per_site + number)
        for index, site in enumerate(sites)
        for number in range(1, members_per_site + 1)
    ]


def fleet_document(members: list[Member], planners: list[str], report_s: float) -> dict[str, Any]:
    """Return the content of a fleet file.

    Args:
        members: The members of all sites.
        planners: The planners' addresses; their names are p1, p2 and so on.
        report_s: How often a member reports, in seconds.
    """
    sites = list(dict.fromkeys(member.site for member in members))
    return {
        "planners": [{"name": f"p{n}", "address": address} for n, address in enumerate(planners, 1)],
        "sites": [
            {
                "name": site,
                "routers": [index],
                "members": [{"name": m.name, "address": m.address} for m in members if m.site == site],
            }
            for index, site in enumerate(sites, 1)
        ],
        "tenants": {"blue": 0.5, "green": 0.5},
        "vault": {"total": 4 * len(members), "kept": 0.5, "lease_ms": 5000},
        "report_ms": int(report_s * 1000),
        "plan_ms": int(report_s * 5000),
    }


def start_reports(planners: list[str], members: list[Member], report_s: float) -> None:
    """Let all members report to all planners from now on."""
    for planner in planners:
        threading.Thread(target=report_to, args=(planner, members, report_s), daemon=True).start()


def report_to(planner: str, members: list[Member], report_s: float) -> None:
    """Send the reports of all members to one planner, each on a connection of its own, for ever."""
    host, _, port = planner.rpartition(":")
    links: dict[str, tuple[socket.socket, Buffer]] = {}
    while True:
        started_at = time.monotonic()
        for member in members:
            if member.is_down:
                if member.name in links:
                    links.pop(member.name)[0].close()
                continue
            try:
                if member.name not in links:
                    link = socket.create_connection((host, int(port)), LINK_TIMEOUT_S)
                    links[member.name] = (link, Buffer(1 << 20))
                send_report(*links[member.name], member)
            except OSError:
                links.pop(member.name, None)
                time.sleep(0.05)
        time.sleep(max(0.0, report_s - (time.monotonic() - started_at)))


def send_report(link: socket.socket, buffer: Buffer, member: Member) -> None:
    """Send one report and wait for its reply.

    Raises:
        OSError: The planner has closed the connection or does not reply.
    """
    report = member.report()
    link.sendall(pack([0, report.sequence, "report", [encode(report)]]))
    while not read_messages(buffer)[0]:
        if not buffer.fill(link):
            raise OSError("closed")


def show(planner: str) -> dict[str, Any]:
    """Return what a planner shows of the fleet; empty if it does not answer."""
    try:
        return call_planner(planner, OperatorCommand(operation=OperatorOperation.SHOW))
    except (OSError, ValueError):
        return {}


def is_ready(planners: list[str], members: list[Member]) -> bool:
    """Return whether a planner leads and all planners hear all members."""
    statuses = [show(planner) for planner in planners]
    heard = all(len(status.get("members", ())) == len(members) for status in statuses)
    return heard and any(status.get("leads") for status in statuses)


def leader_of(planners: list[str]) -> str:
    """Return the address of the planner that leads; empty if none does."""
    return next((planner for planner in planners if show(planner).get("leads")), "")
