"""The program in another version, with a fault to choose: `python -m birchslip.lab.versions KIND AFTER_MS`.

| kind | what it does |
| --- | --- |
| nostart | ends before it listens |
| crash | ends by itself, without a word, some time after its start |
| leak | holds more and more memory, up to a bound |

What is wrong in the runs themselves (slow only under load, one profile that is never honoured) is in the
stand-in of the agent, which does the runs.
"""

from __future__ import annotations

import os
import sys
import threading
import time

FAULT_KINDS = {
    "good": "as good as the one before",
    "slow": "runs take half as long again, and only while the cores are busy",
    "crash": "each process ends by itself a while after its start",
    "nostart": "no process comes up",
    "leak": "each process holds more and more memory",
    "profile": "no transaction of one profile is honoured",
}
IN_PROCESS_KINDS = ("crash", "nostart", "leak")
LEAK_STEP_MB, LEAK_INTERVAL_S, MAX_LEAK_MB = 4, 0.1, 160  # MB a time, seconds between, MB in all
CRASH_EXIT_CODE = 70


def leak_memory(delay_s: float) -> None:
    time.sleep(delay_s)
    chunks: list[bytes] = []
    while len(chunks) * LEAK_STEP_MB < MAX_LEAK_MB:
        chunks.append(os.urandom(1 << 10) * (LEAK_STEP_MB << 10))
        time.sleep(LEAK_INTERVAL_S)
    threading.Event().wait()  # what is held stays held


def crash_after(delay_s: float) -> None:
    time.sleep(delay_s)
    os._exit(CRASH_EXIT_CODE)


def main(arguments: list[str]) -> int:
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
