"""Real processes of the program: started, stopped, paused and ended by id, with their logs in files."""

from __future__ import annotations

import os
import resource
import signal
import subprocess
import sys
from datetime import datetime
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


class Process:
    """One process that may live several times. `expected` says whether its end was of the schedule's
    making.
    """

    def __init__(
        self, name: str, arguments: list[str], environment: dict[str, str], log_folder: Path
    ) -> None:
        self.name, self.arguments, self.environment = name, arguments, environment
        self.module = "birchslip"
        self.log_path = log_folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = self.is_terminating = False
        self.unexpected_exit_codes: list[int] = []  # codes of ends that were not of the schedule's making

    def start(self) -> None:
        if self.is_running():
            return
        with self.log_path.open("ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                cwd=ROOT,
                env={**os.environ, **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self.is_paused = self.is_terminating = False

    def is_running(self) -> bool:
        if self.process is None:
            return False
        code = self.process.poll()
        if code is not None:
            if code or not self.is_terminating:
                self.unexpected_exit_codes.append(code)
            self.process = None
        return code is None

    def kill(self) -> None:
        if self.process is not None and self.is_running():
            self.process.kill()
            self.process.wait()
        self.process = None

    def pause(self) -> None:
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_paused = True

    def resume(self) -> None:
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.is_paused = False

    def terminate(self) -> None:
        if not self.is_terminating and self.process is not None and self.is_running():
            # Once: a second notice may find an interpreter that no longer listens, and kill it.
            self.resume()
            self.is_terminating = True
            self.process.send_signal(signal.SIGTERM)

    def wait(self, seconds: float) -> None:
        """After `leave`: its end is expected now."""
        if self.process is None:
            return
        try:
            code = self.process.wait(seconds)
            if code:
                self.unexpected_exit_codes.append(code)
        except subprocess.TimeoutExpired:
            self.unexpected_exit_codes.append(-1)
            self.process.kill()
            self.process.wait()
        self.process = None

    def reload(self) -> None:
        """SIGHUP: its file has changed."""
        if self.process is not None and self.is_running():
            self.process.send_signal(signal.SIGHUP)

    def forbid_file_growth(self) -> None:
        """No file of it may grow any more: what a full disk is to a process, without filling one."""
        if self.process is not None and self.is_running():
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0, hard))

    def allow_file_growth(self) -> None:
        if self.process is not None and self.is_running():
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (hard, hard))

    def measure_usage(self) -> tuple[float, int]:
        """Seconds of processor time and resident KB of the life that runs."""
        if self.process is None:
            return 0.0, 0
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0, 0
        ticks = int(fields[11]) + int(fields[12])
        resident_kb = next(
            (int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")), 0
        )
        return ticks / os.sysconf("SC_CLK_TCK"), resident_kb

    def find_log_lines(self, text: str) -> list[tuple[int, str]]:
        """Lines of its log that hold this, with their time in tenths of a millisecond."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []:
            if text in line and line.startswith("timestamp="):
                stamp = line.split(" ", 1)[0].removeprefix("timestamp=").strip('"')
                at = datetime.fromisoformat(stamp.replace("Z", "+00:00")).timestamp()
                found.append((int(at * 10_000), line))
        return found
