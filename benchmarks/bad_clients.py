"""Measure what honest requests get, and the memory in use, while other clients misuse an app server.

    python benchmarks/bad_clients.py KIND [--clients N] [--memory MB] [--seconds S] [--verbose]

One app server runs among this project's stand-ins. Two honest routers send a request of 20 ms each 100 ms.
The bad clients of one kind (`birchslip/lab/bad_clients.py`) run in a process of their own from the third
second on. The report has the honest requests by outcome, how many were answered past the aim and the deadline
of their class, the highest resident memory, and the counters of the app server.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from birchslip.lab.bad_clients import BadClientKind, run_bad_clients  # noqa: E402
from birchslip.lab.toy import Agent, Catalog, Router, Vault  # noqa: E402
from birchslip.lab.wires import free_port  # noqa: E402
from birchslip.net.program import read_memory_kb  # noqa: E402
from examples.toy import CONFIGURATION  # noqa: E402

AIM_S, DEADLINE_S = 1.0, 4.0  # of the class "lookup" in the example configuration
CALM_S = 2.0
PAUSE_S = 0.1


def send_honest_requests(address: str, number: int, ends_at: float, outcomes: Counter) -> None:
    """Send requests one after another and count how each ended."""
    router = None
    while time.monotonic() < ends_at:
        began = time.monotonic()
        try:
            router = router or Router(address, DEADLINE_S + 1)
            error, _ = router.answer(router.call("lookup", b"20 ms", via=str(number)))
            took = time.monotonic() - began
            outcomes["served" if error is None else error[0]] += 1
            outcomes["late"] += took > DEADLINE_S
            outcomes["past aim"] += took > AIM_S
            outcomes["slowest ms"] = max(outcomes["slowest ms"], round(took * 1000))
        except (OSError, EOFError) as error:
            outcomes[type(error).__name__] += 1
            router = None
        time.sleep(PAUSE_S)


def play(kind: BadClientKind, clients: int, memory_mb: int, seconds: float) -> dict[str, object]:
    """Run one app server with honest routers and bad clients, and return the report."""
    agent, vault, catalog = Agent(), Vault(), Catalog()
    address = f"127.0.0.1:{free_port()}"
    document = json.loads(CONFIGURATION.read_text())
    document |= {"listen": address, "agent": agent.address, "vault": vault.address}
    document |= {"directory": catalog.address}
    document["limits"] |= {"memory_mb": memory_mb, "sockets": 512}
    document["settings"]["family_info"]["mem_limit_kb"] = 20_000.0
    outcomes: Counter = Counter()
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "config.json").write_text(json.dumps(document))
        with (Path(folder) / "log").open("w+") as log:
            server = subprocess.Popen(
                [sys.executable, "-m", "birchslip"],
                cwd=ROOT,
                env=os.environ | {"PROXY_CONFIG": f"{folder}/config.json"},
                stderr=log,
            )
            time.sleep(1)
            ends_at = time.monotonic() + CALM_S + seconds
            routers = [
                threading.Thread(target=send_honest_requests, args=(address, n, ends_at, outcomes))
                for n in (1, 2)
            ]
            for router in routers:
                router.start()
            time.sleep(CALM_S)
            attack = multiprocessing.get_context("spawn").Process(
                target=run_bad_clients, args=(address, kind, clients, seconds)
            )
            attack.start()
            for router in routers:
                router.join()
            peak_kb, end_kb = read_memory_kb("VmHWM", server.pid), read_memory_kb("VmRSS", server.pid)
            attack.join()
            server.send_signal(signal.SIGUSR1)
            time.sleep(0.5)
            cpu_line = next((line for line in reversed(log_lines(log)) if "cpu_ms" in line), "")
            counters = [line.split("part=")[1].strip() for line in log_lines(log) if "event=counters" in line]
            server.kill()
            server.wait()
    return {
        "honest": dict(outcomes),
        "peak_mb": round(peak_kb / 1024, 1),
        "end_mb": round(end_kb / 1024, 1),
        "limit_mb": memory_mb,
        "cpu": cpu_line.partition("cpu_ms=")[2].split()[:1],
        "counters": counters,
        "launched": len(agent.launched_run_ids),
        "launched_twice": len(agent.launched_run_ids) - len(set(agent.launched_run_ids)),
    }


def log_lines(log) -> list[str]:
    """Return the lines of the app server's log so far."""
    log.seek(0)
    return log.readlines()


def main() -> None:
    """Run the measurement, or the bad clients alone."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("kind", choices=[kind.value for kind in BadClientKind])
    parser.add_argument("--clients", type=int, default=1)
    parser.add_argument("--memory", type=int, default=192)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    kind = BadClientKind(options.kind)
    report = play(kind, options.clients, options.memory, options.seconds)
    if not options.verbose:
        del report["counters"]
    print(kind.value, json.dumps(report, indent=2 if options.verbose else None))


if __name__ == "__main__":
    main()
