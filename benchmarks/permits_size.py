"""Measure one real planner with 1,000 reporting members and ten permit requests a second, on loopback.

    python benchmarks/permits_size.py [MEMBERS] [REQUESTS_PER_S] [SECONDS]

The members are tasks of one process, and each reports as often as the planner requests. The figures are the
planner process's share of one core, its resident memory, and the times of permit requests with their flushes.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.cluster.messages import (
    EvictionOperation,
    EvictionRequest,
    Incarnation,
    MemberReport,
    encode,
)
from birchslip.cluster.planner import raise_descriptor_limit
from birchslip.cluster.transport import PeerConnection
from birchslip.lab.processes import ROOT
from birchslip.lab.wires import free_port
from birchslip.net.scheduler import Scheduler

SECOND = 10_000  # times are in tenths of a millisecond
SITES = 10
SEQUENCE_PLACEHOLDER = 10**9  # replaced in the encoded report, as encoding a thousand reports anew is slow
FIRST_REPORT_INTERVAL = 5_000  # until the planner's first reply gives another


def make_report(name: str, site: str) -> bytes:
    """Return an encoded report whose sequence number is the placeholder."""
    metrics = {f"{kind}:{tenant}": (9, 9_000) for kind in ("late", "shed", "written_off") for tenant in "abc"}
    report = MemberReport(
        name=name,
        site=site,
        incarnation=Incarnation(nonce=1),
        sequence=SEQUENCE_PLACEHOLDER,
        address="127.0.0.1:1",
        uptime=10**6,
        is_serving=True,
        is_draining=False,
        is_warm=True,
        capacity=100.0,
        slowdown=1.0,
        local_load={"blue": 40.0, "green": 20.0},
        evacuated_load=0.0,
        retries=0.0,
        served=60.0,
        rejected=0.0,
        calls_in_flight=1.0,
        call_limit=1.0,
        lease_remaining=0,
        plan_term=0,
        plan_number=0,
        metrics=metrics,
        latency_histograms={tenant: [7] * 20 for tenant in "abc"},
        resident_memory_kb=30_000,
    )
    return encode(report)


def planner_arguments(fleet_path: Path, folder: Path) -> list[str]:
    """Return the command-line arguments of the planner."""
    return ["planner", "--fleet", str(fleet_path), "--name", "p", "--folder", str(folder / "p")]


def main() -> None:
    """Run the planner under load and print its figures."""
    arguments = [int(argument) for argument in sys.argv[1:]] + [1_000, 10, 20][len(sys.argv) - 1 :]
    count, requests_per_s, seconds = arguments
    raise_descriptor_limit()  # this process holds a connection for each member
    folder = Path(tempfile.mkdtemp(prefix="birchslip-size-"))
    port = free_port()
    site_by_member = {f"m{n}": f"site-{n % SITES}" for n in range(count)}
    fleet = {
        "planners": [{"name": "p", "address": f"127.0.0.1:{port}"}],
        "sites": [
            {
                "name": f"site-{site}",
                "members": [
                    {"name": name, "address": f"127.0.0.2:{1 + int(name[1:])}"}
                    for name, home in site_by_member.items()
                    if home == f"site-{site}"
                ],
            }
            for site in range(SITES)
        ],
        "groups": [
            {"name": "fleet", "all": True, "share_out": 0.1},
            *({"name": f"site-{site}", "sites": [f"site-{site}"], "share_out": 0.2} for site in range(SITES)),
        ],
    }
    fleet_path = folder / "fleet.json"
    fleet_path.write_text(json.dumps(fleet))
    with (folder / "planner.log").open("w") as log:
        planner = subprocess.Popen(
            [sys.executable, "-m", "birchslip", *planner_arguments(fleet_path, folder)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
    faults: list[str] = []
    scheduler = Scheduler(lambda: None, lambda name, error: faults.append(f"{name}: {error}"))
    times_ms: list[float] = []
    rng = random.Random(1)
    usage: dict[str, float] = {}

    def cpu_seconds() -> float:
        """Return the processor time that the planner has used so far."""
        fields = Path(f"/proc/{planner.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def run_member(name: str) -> None:
        """Report as this member until the scheduler stops."""
        connection = PeerConnection(scheduler, ("127.0.0.1", port))
        sequence, report_interval = SEQUENCE_PLACEHOLDER, FIRST_REPORT_INTERVAL
        head, tail = make_report(name, site_by_member[name]).split(str(SEQUENCE_PLACEHOLDER).encode())
        scheduler.sleep(scheduler.now + rng.randrange(5_000))
        while True:
            sequence += 1
            started_at = scheduler.update_clock()
            try:
                answer = connection.call("report", head + str(sequence).encode() + tail, started_at + SECOND)
                if report_interval == FIRST_REPORT_INTERVAL:
                    report_interval = json.loads(answer)["every"]
            except OSError as error:
                faults.append(str(error))
                connection.close()
            scheduler.sleep(max(scheduler.now + 100, started_at + report_interval))

    def request_permit(name: str) -> None:
        """Request a permit for this member, record the time, and return the permit ten seconds later."""
        connection = PeerConnection(scheduler, ("127.0.0.1", port))
        started_at = time.perf_counter()
        try:
            connection.call(
                "want",
                encode(
                    EvictionRequest(
                        operation=EvictionOperation.REQUEST_PERMIT, holder=name, reason="a measurement"
                    )
                ),
                scheduler.now + SECOND,
            )
            times_ms.append((time.perf_counter() - started_at) * 1000)
            scheduler.sleep(scheduler.now + 10 * SECOND)  # the member is out, or waits, for ten seconds
            connection.call(
                "want",
                encode(EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=name)),
                scheduler.now + SECOND,
            )
        except OSError as error:
            faults.append(str(error))
        finally:
            connection.close()

    def run_schedule() -> None:
        """Start the members, then request permits at the given rate and measure the planner meanwhile."""
        for name in site_by_member:
            scheduler.spawn(name, lambda name=name: run_member(name))  # type: ignore[misc]
        scheduler.sleep(scheduler.now + 8 * SECOND)
        faults.clear()  # only faults during the measurement are printed
        usage["cpu"] = cpu_seconds()
        started_at = scheduler.now
        for n in range(requests_per_s * seconds):
            scheduler.sleep(max(scheduler.now, started_at + n * SECOND // requests_per_s))
            name = rng.choice(list(site_by_member))
            scheduler.spawn("ask", lambda name=name: request_permit(name))  # type: ignore[misc]
        usage["share"] = (cpu_seconds() - usage["cpu"]) / ((scheduler.update_clock() - started_at) / SECOND)
        status = Path(f"/proc/{planner.pid}/status").read_text()
        usage["kb"] = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
        scheduler.stop()

    scheduler.spawn("director", run_schedule)
    try:
        scheduler.run()
    finally:
        planner.terminate()
        planner.wait(10)
    times_ms.sort()
    print(
        f"{count} members, {requests_per_s} requests a second for {seconds} s: "
        f"{usage['share']:.2f} of a core, {usage['kb'] / 1024:.0f} MB; {len(times_ms)} answers, "
        f"median {times_ms[len(times_ms) // 2]:.1f} ms, "
        f"p99 {times_ms[int(0.99 * len(times_ms))]:.1f} ms, worst {times_ms[-1]:.1f} ms; "
        f"faults: {faults[:1] or 'none'}"
    )


if __name__ == "__main__":
    main()
