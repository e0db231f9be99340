"""The program in another version with a chosen fault: `python -m birchslip.lab.versions KIND AFTER_MS`.

| kind | fault of the process |
| --- | --- |
| nostart | exits before it listens |
| crash | exits by itself, without a log line, AFTER_MS after its start |
| leak | allocates more and more memory, from AFTER_MS after its start up to `MAX_LEAK_MB` |

Faults in the runs themselves (slow under load, one request class that always fails) are injected by the
stand-in agent, which executes the runs.
"""

from __future__ import annotations

import os
import sys
import threading
import time

FAULT_KINDS = {
    "good": "as good as the previous version",
    "slow": "runs take half as long again, and only while the cores are busy",
    "crash": "each process exits by itself a while after its start",
    "nostart": "no process comes up",
    "leak": "each process holds more and more memory",
    "profile": "no request of one request class is honoured",
}
IN_PROCESS_KINDS = ("crash", "nostart", "leak")
LEAK_STEP_MB, LEAK_INTERVAL_S, MAX_LEAK_MB = 4, 0.1, 160
CRASH_EXIT_CODE = 70


def leak_memory(delay_s: float) -> None:
    """Allocate memory in steps after a delay, up to `MAX_LEAK_MB`, and hold it for good."""
    time.sleep(delay_s)
    chunks: list[bytes] = []
    while len(chunks) * LEAK_STEP_MB < MAX_LEAK_MB:
        chunks.append(os.urandom(1 << 10) * (LEAK_STEP_MB << 10))
        time.sleep(LEAK_INTERVAL_S)
    threading.Event().wait()  # keep the memory allocated


def crash_after(delay_s: float) -> None:
    """Exit the process with `CRASH_EXIT_CODE`, without cleanup, after a delay."""
    time.sleep(delay_s)
    os._exit(CRASH_EXIT_CODE)


def main(arguments: list[str]) -> int:
    """Run the program with the fault of the arguments KIND and AFTER_MS, and return its exit code."""
    kind, delay_s = arguments[0], int(arguments[1]) / 1000
    if kind == "nostart":
        print("birchslip: this version does not start", file=sys.stderr)
        return 3
    threading.Thread(
        target={"leak": leak_memory, "crash": crash_after}[kind], args=(delay_s,), daemon=True
    ).start()
    from ..__main__ import main as program

    sys.argv[1:] = []
    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
