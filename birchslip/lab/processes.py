"""Child processes of the program: started, signalled and ended by process id, with their logs in files."""

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
    """One process of the program, which may be started several times.

    Attributes:
        module: Python module that is run.
        is_paused: Whether the process was stopped by SIGSTOP.
        is_terminating: Whether SIGTERM was sent, so that exit code 0 is expected.
        unexpected_exit_codes: Exit codes of ends that the schedule did not cause.
    """

    def __init__(
        self, name: str, arguments: list[str], environment: dict[str, str], log_folder: Path
    ) -> None:
        """Describe the process; `start` starts it.

        Args:
            name: Name of the process, also of its log file.
            arguments: Command line arguments after the module.
            environment: Environment variables beside those of this process.
            log_folder: Folder of the log file.
        """
        self.name, self.arguments, self.environment = name, arguments, environment
        self.module = "birchslip"
        self.log_path = log_folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = self.is_terminating = False
        self.unexpected_exit_codes: list[int] = []

    def start(self) -> None:
        """Start the process if it is not running; its output is appended to the log file."""
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
        """Return whether the process runs.

        An end is recorded as unexpected unless the process was asked to terminate and exited with code 0.
        """
        if self.process is None:
            return False
        code = self.process.poll()
        if code is not None:
            if code or not self.is_terminating:
                self.unexpected_exit_codes.append(code)
            self.process = None
        return code is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        if self.process is not None and self.is_running():
            self.process.kill()
            self.process.wait()
        self.process = None

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_paused = True

    def resume(self) -> None:
        """Continue a stopped process with SIGCONT."""
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.is_paused = False

    def terminate(self) -> None:
        """Ask the process to drain and exit, once, with SIGTERM."""
        if not self.is_terminating and self.process is not None and self.is_running():
            # Only once: a second SIGTERM during interpreter shutdown would kill the process.
            self.resume()
            self.is_terminating = True
            self.process.send_signal(signal.SIGTERM)

    def wait(self, seconds: float) -> None:
        """Wait for the end after `terminate`; kill the process after `seconds` and record -1."""
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
        """Send SIGHUP, which makes the process read its file again."""
        if self.process is not None and self.is_running():
            self.process.send_signal(signal.SIGHUP)

    def forbid_file_growth(self) -> None:
        """Set the file size limit of the process to 0, so that no file of it can grow.

        To the process this looks like a full disk, and the machine's disk need not be filled.
        """
        if self.process is not None and self.is_running():
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0, hard))

    def allow_file_growth(self) -> None:
        """Lift the limit set by `forbid_file_growth`."""
        if self.process is not None and self.is_running():
            _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (hard, hard))

    def measure_usage(self) -> tuple[float, int]:
        """Return CPU seconds and resident KB of the running process; zeros if there is none."""
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
        """Return log lines that contain `text`, with their times in tenths of a millisecond."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []:
            if text in line and line.startswith("timestamp="):
                timestamp = line.split(" ", 1)[0].removeprefix("timestamp=").strip('"')
                logged_at = datetime.fromisoformat(timestamp.replace("Z", "+00:00")).timestamp()
                found.append((int(logged_at * 10_000), line))
        return found
