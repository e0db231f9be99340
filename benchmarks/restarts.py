"""Measure how long a restarted process takes to be ready, and what the time consists of.

    python benchmarks/restarts.py [PROCESSES [ROUNDS]]

PROCESSES processes start together and share one core, ROUNDS times; before that, one process starts alone,
4 * ROUNDS times. Then PROCESSES processes start with an agent and a catalog that can be reached only 5 s
later, ROUNDS times. An app server is ready once the agent has greeted it, it
answers a health check, and the catalog has received a report. Agent, vault and catalog are this project's
stand-ins.
"""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from birchslip.lab.toy import Agent, Catalog, Router, Vault  # noqa: E402
from examples.toy import CONFIGURATION  # noqa: E402

TIMEOUT_S = 60.0
STARTUP_SCRIPT = """
import time, sys, os
began = time.perf_counter()
import birchslip.__main__ as main
imports = time.perf_counter()
site = main.read_config(os.environ)
read = time.perf_counter()
program = main.Program(site)
made = time.perf_counter()
print(imports - began, read - imports, made - read)
"""


def measure_startup(folder: Path) -> dict[str, float]:
    """Return the median of ten times, in seconds, of each part of a start.

    The parts are the bare interpreter, the imports, reading the configuration, and creating the program.
    """
    configuration = folder / "parts.json"
    configuration.write_text(json.dumps(json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0"}))
    interpreter_times, samples = [], []
    for _ in range(10):
        began = time.perf_counter()
        subprocess.run([sys.executable, "-c", "pass"], check=True, cwd=ROOT)
        interpreter_times.append(time.perf_counter() - began)
        finished = subprocess.run(
            [sys.executable, "-c", STARTUP_SCRIPT],
            check=True,
            cwd=ROOT,
            env=os.environ | {"PROXY_CONFIG": str(configuration)},
            capture_output=True,
            text=True,
        )
        samples.append([float(word) for word in finished.stdout.split()])
    part_names = ("imports", "configuration", "program")
    medians = {
        name: statistics.median(sample[index] for sample in samples) for index, name in enumerate(part_names)
    }
    return {"interpreter": statistics.median(interpreter_times)} | medians


class AppServerUnderTest:
    """One app server with stand-ins of its own, and the moments of its start.

    Attributes:
        moments: Seconds from the start of the process to each event, by name.
    """

    def __init__(self, folder: Path, number: int, peer_delay_s: float, core: int) -> None:
        """Start the app server on one core.

        The agent and the catalog are unreachable for the first `peer_delay_s` seconds.
        """
        self.agent, self.vault, self.catalog = Agent(), Vault(), Catalog()
        configuration = json.loads(CONFIGURATION.read_text()) | {
            "listen": "127.0.0.1:0",
            "name": f"n{number}",
            "agent": self.agent.address,
            "vault": self.vault.address,
            "directory": self.catalog.address,
        }
        path = folder / f"{number}.json"
        path.write_text(json.dumps(configuration))
        self.moments: dict[str, float] = {}
        if peer_delay_s:
            for peer in (self.agent, self.catalog):
                peer.stop_listening()
        self.began = time.perf_counter()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "birchslip"],
            cwd=ROOT,
            env=os.environ | {"PROXY_CONFIG": str(path)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=lambda: os.sched_setaffinity(0, {core}),
        )
        self.threads = [
            threading.Thread(target=work, daemon=True) for work in (self.read_log, self.wait_for_report)
        ]
        if peer_delay_s:
            self.threads.append(
                threading.Thread(target=self.restore_peers, args=(peer_delay_s,), daemon=True)
            )
        for thread in self.threads:
            thread.start()

    def restore_peers(self, peer_delay_s: float) -> None:
        """Wait `peer_delay_s` seconds and make the agent and the catalog reachable."""
        time.sleep(peer_delay_s)
        for peer in (self.agent, self.catalog):
            peer.listen(peer.host, peer.port)
        self.moments["peers"] = time.perf_counter() - self.began

    def read_log(self) -> None:
        """Record the moments that the log shows, and make a health check once the app server listens."""
        for line in self.process.stderr or ():
            now = time.perf_counter() - self.began
            if "event=listening" in line:
                self.moments["listening"] = now
                router = Router(line.split("address=")[1].strip(), TIMEOUT_S)
                router.answer(router.ping())
                self.moments["checked"] = time.perf_counter() - self.began
                router.connection.close()
            elif "now=serving" in line:
                self.moments["serving"] = now

    def wait_for_report(self) -> None:
        """Wait up to `TIMEOUT_S` for the first report to the catalog and record its moment."""
        self.catalog.received.get(timeout=TIMEOUT_S)
        self.moments["reported"] = time.perf_counter() - self.began

    def wait_until_ready(self) -> float:
        """Wait until the app server is ready and return the seconds that this took since its start.

        If it is not ready within `TIMEOUT_S`, return infinity.
        """
        expected_moments = {"listening", "checked", "serving", "reported"}
        give_up_at = time.perf_counter() + TIMEOUT_S
        while not expected_moments <= self.moments.keys() and time.perf_counter() < give_up_at:
            time.sleep(0.01)
        return max(self.moments.get(name, float("inf")) for name in expected_moments)

    def stop(self) -> None:
        """Stop the app server and its stand-ins."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(TIMEOUT_S)
        for peer in (self.agent, self.vault, self.catalog):
            peer.stop()


def measure_restarts(folder: Path, processes: int, rounds: int, peer_delay_s: float) -> None:
    """Restart `processes` at once on one core, `rounds` times, and print the times until they were ready."""
    core = min(os.sched_getaffinity(0))
    ready: list[float] = []
    moments: dict[str, list[float]] = {}
    for _ in range(rounds):
        servers = [AppServerUnderTest(folder, number, peer_delay_s, core) for number in range(processes)]
        for server in servers:
            ready.append(server.wait_until_ready())
            for name, moment in server.moments.items():
                moments.setdefault(name, []).append(moment)
        for server in servers:
            server.stop()
    ready.sort()
    ninth_decile = ready[int(0.9 * len(ready))]
    print(
        f"{len(ready)} restarts, {processes} together on one core, peers {peer_delay_s:g} s late: "
        f"ready after median {statistics.median(ready):.2f} s, nine in ten {ninth_decile:.2f} s, "
        f"max {ready[-1]:.2f} s"
    )
    for name, times in moments.items():
        print(f"  {name}: median {statistics.median(times):.2f} s, max {max(times):.2f} s")


def main() -> None:
    """Print the parts of a start, then the times of restarts alone, together, and with late peers."""
    processes = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 4
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        print(
            *(f"{part} {1000 * span_s:.0f} ms" for part, span_s in measure_startup(folder).items()), sep=", "
        )
        measure_restarts(folder, 1, 4 * rounds, 0.0)
        measure_restarts(folder, processes, rounds, 0.0)
        measure_restarts(folder, processes, rounds, 5.0)


if __name__ == "__main__":
    main()
