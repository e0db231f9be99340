"""Parts that the cases 6 to 10 share: processes of the deploy file, the record and the end of a case."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

HELD, NOT_RUN, BROKEN = 0, 2, 3  # an interpreter that fails exits with 1; `run.sh` turns 3 into 1
MAX_RUN_S = 115  # a script may run for 120 s
STOP_S = 5.0


def deploy_command(key: str) -> str:
    """Return a command of the deploy file."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[key]
    return command


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Case:
    """One run of a case.

    Attributes:
        is_disturbed: Whether the disruption is to happen; `TROUBLE=0` leaves it out.
        folder: Temporary folder of this run.
        violations: One line for each time that the rule was seen broken.
    """

    def __init__(self, folder: Path) -> None:
        """Begin the record in `folder`."""
        self.is_disturbed = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.violations: list[str] = []
        self.started_at = time.monotonic()
        self._lock = threading.Lock()
        self._record = (folder / "record.txt").open("w")
        self._processes: list[subprocess.Popen[bytes]] = []
        self.note(f"disruption: {'yes' if self.is_disturbed else 'no'}")

    def note(self, text: str) -> None:
        """Write a line with the time in seconds since the start to the record."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
            self._record.flush()

    def break_rule(self, text: str) -> None:
        """Record that the rule was seen broken."""
        self.violations.append(text)
        self.note(f"RULE BROKEN: {text}")

    def start(self, name: str, arguments: list[str], environment: dict[str, str]) -> subprocess.Popen[bytes]:
        """Start the deploy file's `run` with arguments; its log goes to a file of the temporary folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", f'{deploy_command("run")} "$@"', "sh", *arguments],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        self.note(f"started {name} {' '.join(arguments[:1])}, process {process.pid}")
        return process

    def signal(self, name: str, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.note(f"{number.name} to {name}")
        process.send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what a process has logged so far."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def wait_until(self, what: str, condition: Callable[[], object], seconds: float = 20.0) -> None:
        """Wait until a condition of the set-up holds.

        Raises:
            CaseError: It does not hold in time.
        """
        give_up_at = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > give_up_at:
                raise CaseError(f"not in {seconds} s: {what}")
            time.sleep(0.02)

    def close(self) -> None:
        """End all processes of this case and remove its folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        give_up_at = time.monotonic() + STOP_S
        for process in self._processes:
            try:
                process.wait(max(0.1, give_up_at - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], None]) -> None:
    """Play a case and exit: 3 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(folder)
    code = NOT_RUN
    threading.Timer(MAX_RUN_S, lambda: give_up(case)).start()
    try:
        play(case)
        code = BROKEN if case.violations else HELD
        case.note(f"result: {'the rule was broken' if case.violations else 'the rule held'}")
    except Exception:
        case.note(f"the case could not run: {traceback.format_exc()}")
    finally:
        case.close()
        result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[code]
        print(f"case {folder.name}: {result}, seen {len(case.violations)} times", flush=True)
        os._exit(code)


def give_up(case: Case) -> None:
    """End a case that takes too long: it could not run."""
    case.note("the case could not run: no end in time")
    case.close()
    os._exit(NOT_RUN)


def server_settings(**family: object) -> dict[str, Any]:
    """Return the settings of a small deployment: reads that may run again, and keyed orders."""
    names = ["core_use", "on_cores", "heap_share", "links"]
    lookup = {"name": "lookup", "effect": "repeatable", "aim_s": 1.5, "hard_limit_s": 4.0, "credit": 1.0}
    order = {**lookup, "name": "order", "effect": "by_key", "window_s": 17.0}
    return {
        "classes": [lookup, order],
        "tenants": [
            {"name": "blue", "quota_per_s": 50.0, "share": 0.5},
            {"name": "green", "quota_per_s": 50.0, "share": 0.5},
        ],
        "group_size": 1,
        "ceilings": {"retry_after": True, "max_retry_after_s": 1.0},
        "contract": {"fall_multiple": 8.0, "drain_grace_s": 2.5, "cold_from": 0.5, "cold_s": 5.0},
        "family_info": {
            "cores": 2,
            "mem_limit_kb": 20000.0,
            "run_factor": 4.0,
            "key_kb": 1.0,
            "halt": "drop",
            "downstream": "shared",
            "calls_out": 8.0,
            "share_span_s": 5.0,
            "linger_s": 0.1,
            "class_skip_worth": [0.0, 0.0],
            "gauges": names,
            **family,
        },
    }


def write_config(
    path: Path, name: str, listen: str, peers: dict[str, str], settings: dict[str, Any]
) -> dict[str, str]:
    """Write the configuration of an app server and return its environment variables.

    Args:
        path: Path of the file.
        name: Name of the app server.
        listen: HOST:PORT where routers find it.
        peers: Addresses of `agent`, `vault` and `directory`.
        settings: The settings, as the deployment states them.
    """
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512}
    document = {"name": name, "listen": listen, **peers, "seed": "1f", "stop_ms": 3200, "limits": limits}
    path.write_text(json.dumps({**document, "settings": settings}))
    return {"PROXY_CONFIG": str(path), "PROXY_NAME": name, "PROXY_LISTEN": listen}
