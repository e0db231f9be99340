"""Restarts: how long until a process is ready, and of what that consists.

    python benchmarks/restarts.py [PROCESSES [ROUNDS]]

So many processes start together on one core, each with its share of it, in so many rounds; then once more
with an agent and a catalog that can be reached only seconds later. Ready is an app server that has been
greeted, answers a health check and has had a report taken. The stand-ins are this project's own.
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

LIMIT = 60.0
PARTS = """
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


def parts(folder: Path) -> dict[str, float]:
    """Medians of ten: the bare interpreter, the imports, the configuration, the program's own making."""
    told = folder / "parts.json"
    told.write_text(json.dumps(json.loads(CONFIGURATION.read_text()) | {"listen": "127.0.0.1:0"}))
    bare, rest = [], []
    for _ in range(10):
        began = time.perf_counter()
        subprocess.run([sys.executable, "-c", "pass"], check=True, cwd=ROOT)
        bare.append(time.perf_counter() - began)
        done = subprocess.run(
            [sys.executable, "-c", PARTS],
            check=True,
            cwd=ROOT,
            env=os.environ | {"PROXY_CONFIG": str(told)},
            capture_output=True,
            text=True,
        )
        rest.append([float(word) for word in done.stdout.split()])
    names = ("imports", "configuration", "making")
    medians = {name: statistics.median(one[place] for one in rest) for place, name in enumerate(names)}
    return {"interpreter": statistics.median(bare)} | medians


class One:
    """One app server with peers of its own, and the moments of its start in seconds after it was begun."""

    def __init__(self, folder: Path, number: int, late: float, core: int) -> None:
        self.agent, self.vault, self.catalog = Agent(), Vault(), Catalog()
        told = json.loads(CONFIGURATION.read_text()) | {
            "listen": "127.0.0.1:0",
            "name": f"n{number}",
            "agent": self.agent.address,
            "vault": self.vault.address,
            "directory": self.catalog.address,
        }
        path = folder / f"{number}.json"
        path.write_text(json.dumps(told))
        self.moments: dict[str, float] = {}
        if late:
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
        self.threads = [threading.Thread(target=work, daemon=True) for work in (self.read, self.wait_report)]
        if late:
            self.threads.append(threading.Thread(target=self.hear, args=(late,), daemon=True))
        for thread in self.threads:
            thread.start()

    def hear(self, late: float) -> None:
        time.sleep(late)
        for peer in (self.agent, self.catalog):
            peer.listen(peer.host, peer.port)
        self.moments["peers"] = time.perf_counter() - self.began

    def read(self) -> None:
        for line in self.process.stderr or ():
            now = time.perf_counter() - self.began
            if "event=listening" in line:
                self.moments["listening"] = now
                router = Router(line.split("address=")[1].strip(), LIMIT)
                router.answer(router.ping())
                self.moments["checked"] = time.perf_counter() - self.began
                router.connection.close()
            elif "now=serving" in line:
                self.moments["serving"] = now

    def wait_report(self) -> None:
        self.catalog.received.get(timeout=LIMIT)
        self.moments["reported"] = time.perf_counter() - self.began

    def ready(self) -> float:
        wanted = {"listening", "checked", "serving", "reported"}
        until = time.perf_counter() + LIMIT
        while not wanted <= self.moments.keys() and time.perf_counter() < until:
            time.sleep(0.01)
        return max(self.moments.get(name, float("inf")) for name in wanted)

    def stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(LIMIT)
        for peer in (self.agent, self.vault, self.catalog):
            peer.stop()


def play(folder: Path, processes: int, rounds: int, late: float) -> None:
    core = min(os.sched_getaffinity(0))
    ready: list[float] = []
    moments: dict[str, list[float]] = {}
    for _ in range(rounds):
        some = [One(folder, number, late, core) for number in range(processes)]
        for one in some:
            ready.append(one.ready())
            for name, moment in one.moments.items():
                moments.setdefault(name, []).append(moment)
        for one in some:
            one.stop()
    ready.sort()
    ninth = ready[int(0.9 * len(ready))]
    print(
        f"{len(ready)} restarts, {processes} together on one core, peers {late:g} s late: ready median "
        f"{statistics.median(ready):.2f} s, nine in ten {ninth:.2f} s, most {ready[-1]:.2f} s"
    )
    for name, some_moments in moments.items():
        print(f"  {name}: median {statistics.median(some_moments):.2f} s, most {max(some_moments):.2f} s")


def main() -> None:
    processes = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 4
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        print(*(f"{part} {1000 * span:.0f} ms" for part, span in parts(folder).items()), sep=", ")
        play(folder, 1, 4 * rounds, 0.0)
        play(folder, processes, rounds, 0.0)
        play(folder, processes, rounds, 5.0)


if __name__ == "__main__":
    main()
