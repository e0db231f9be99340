"""One real planner that hears 1,000 members and is asked for permits ten times a second, on loopback.

    python benchmarks/permits_size.py [MEMBERS] [ASKS A SECOND] [SECONDS]

The members are tasks of one process, and each reports as often as the planner tells it to. Figures are of the
planner's process: share of one core, resident memory, and how long asks took, flush included.
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

SECOND = 10_000
SITES = 10


NUMBER = 10**9  # stands in a report until it is sent: this process has a thousand members to be


def report_of(name: str, site: str) -> bytes:
    figures = {f"{kind}:{one}": (9, 9_000) for kind in ("late", "shed", "written_off") for one in "abc"}
    told = MemberReport(
        name=name,
        site=site,
        incarnation=Incarnation(nonce=1),
        sequence=NUMBER,
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
        metrics=figures,
        latency_histograms={one: [7] * 20 for one in "abc"},
        resident_memory_kb=30_000,
    )
    return encode(told)


def words_of(path: Path, folder: Path) -> list[str]:
    return ["planner", "--fleet", str(path), "--name", "p", "--folder", str(folder / "p")]


def main() -> None:
    words = [int(word) for word in sys.argv[1:]] + [1_000, 10, 20][len(sys.argv) - 1 :]
    count, asks, seconds = words
    raise_descriptor_limit()  # one for each member here too
    folder = Path(tempfile.mkdtemp(prefix="birchslip-size-"))
    port = free_port()
    homes = {f"m{n}": f"site-{n % SITES}" for n in range(count)}
    told = {
        "planners": [{"name": "p", "address": f"127.0.0.1:{port}"}],
        "sites": [
            {
                "name": f"site-{site}",
                "members": [
                    {"name": name, "address": f"127.0.0.2:{1 + int(name[1:])}"}
                    for name, home in homes.items()
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
    path = folder / "fleet.json"
    path.write_text(json.dumps(told))
    with (folder / "planner.log").open("w") as out:
        planner = subprocess.Popen(
            [sys.executable, "-m", "birchslip", *words_of(path, folder)],
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )
    faults: list[str] = []
    scheduler = Scheduler(lambda: None, lambda name, trouble: faults.append(f"{name}: {trouble}"))
    took: list[float] = []
    chance = random.Random(1)
    usage: dict[str, float] = {}

    def cpu() -> float:
        fields = Path(f"/proc/{planner.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def member(name: str) -> None:
        line, number, every = PeerConnection(scheduler, ("127.0.0.1", port)), NUMBER, 5_000
        head, tail = report_of(name, homes[name]).split(str(NUMBER).encode())
        scheduler.sleep(scheduler.now + chance.randrange(5_000))
        while True:
            number += 1
            began = scheduler.update_clock()
            try:
                raw = line.call("report", head + str(number).encode() + tail, began + SECOND)
                if every == 5_000:
                    every = json.loads(raw)["every"]
            except OSError as trouble:
                faults.append(str(trouble))
                line.close()
            scheduler.sleep(max(scheduler.now + 100, began + every))

    def ask(name: str) -> None:
        line = PeerConnection(scheduler, ("127.0.0.1", port))
        began = time.perf_counter()
        try:
            line.call(
                "want",
                encode(
                    EvictionRequest(
                        operation=EvictionOperation.REQUEST_PERMIT, holder=name, reason="a measurement"
                    )
                ),
                scheduler.now + SECOND,
            )
            took.append((time.perf_counter() - began) * 1000)
            scheduler.sleep(scheduler.now + 10 * SECOND)  # it stays out, or waits, for ten seconds
            line.call(
                "want",
                encode(EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=name)),
                scheduler.now + SECOND,
            )
        except OSError as trouble:
            faults.append(str(trouble))
        finally:
            line.close()

    def direct() -> None:
        for name in homes:
            scheduler.spawn(name, lambda name=name: member(name))  # type: ignore[misc]
        scheduler.sleep(scheduler.now + 8 * SECOND)
        faults.clear()
        usage["cpu"] = cpu()
        began = scheduler.now
        for n in range(asks * seconds):
            scheduler.sleep(max(scheduler.now, began + n * SECOND // asks))
            name = chance.choice(list(homes))
            scheduler.spawn("ask", lambda name=name: ask(name))  # type: ignore[misc]
        usage["share"] = (cpu() - usage["cpu"]) / ((scheduler.update_clock() - began) / SECOND)
        status = Path(f"/proc/{planner.pid}/status").read_text()
        usage["kb"] = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
        scheduler.stop()

    scheduler.spawn("director", direct)
    try:
        scheduler.run()
    finally:
        planner.terminate()
        planner.wait(10)
    took.sort()
    print(
        f"{count} members, {asks} asks a second for {seconds} s: {usage['share']:.2f} of a core, "
        f"{usage['kb'] / 1024:.0f} MB; {len(took)} answers, median {took[len(took) // 2]:.1f} ms, "
        f"p99 {took[int(0.99 * len(took))]:.1f} ms, worst {took[-1]:.1f} ms; faults: {faults[:1] or 'none'}"
    )


if __name__ == "__main__":
    main()
