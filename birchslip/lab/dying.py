"""The program with a crash point: `python -m birchslip.lab.dying POINT COUNT FLUSH_MS`.

The process kills itself with SIGKILL at a chosen point in the handling of a request with an idempotency key.

| point | state of the request |
| --- | --- |
| before-begun | it may run; nothing is written yet |
| after-begun | the start record is flushed; it is not launched yet |
| after-launch | the launch has been ordered |
| before-concluded | its outcome has arrived; no completion record is written yet |
| after-concluded | the completion record is flushed; it is not answered yet |
| after-answer | the answer is being sent |
| compacting | an expired segment is about to be deleted |

COUNT is the pass through the point at which the process dies. FLUSH_MS is added to each flush of the store.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

# Module, class and method of each point, and whether the process dies before or after the call.
CRASH_POINTS = {
    "before-begun": ("birchslip.idempotency.result_store", "ResultStore", "record_start", True),
    "after-begun": ("birchslip.net.stages.run_dispatcher", "RunDispatcher", "on_start_recorded", True),
    "after-launch": ("birchslip.net.servers", "Agent", "launch", False),
    "before-concluded": ("birchslip.idempotency.result_store", "ResultStore", "record_completion", True),
    "after-concluded": ("birchslip.net.stages.run_dispatcher", "RunDispatcher", "complete", True),
    "after-answer": ("birchslip.net.connection", "Connection", "flush", False),
    "compacting": ("birchslip.idempotency.segment_files", "SegmentFiles", "delete_segment", True),
}


def install_crash_point(point: str, count: int) -> None:
    """Patch the method of a crash point to kill the process at its `count`-th call."""
    from importlib import import_module

    module_name, class_name, method_name, kills_before = CRASH_POINTS[point]
    owner = getattr(import_module(module_name), class_name)
    original: Callable[..., Any] = getattr(owner, method_name)
    calls_left = count

    def crashing(*arguments: object, **keywords: object) -> object:
        nonlocal calls_left
        calls_left -= 1
        if calls_left <= 0 and kills_before:
            os.kill(os.getpid(), signal.SIGKILL)
        result = original(*arguments, **keywords)
        if calls_left <= 0:
            os.kill(os.getpid(), signal.SIGKILL)
        return result

    setattr(owner, method_name, crashing)


def install_flush_delay(milliseconds: int) -> None:
    """Patch the file system of the store so that each flush takes longer."""
    from ..idempotency.file_system import FileSystem

    original = FileSystem.flush

    def flush(self: FileSystem, descriptor: int) -> None:
        time.sleep(milliseconds / 1000)
        original(self, descriptor)

    FileSystem.flush = flush  # type: ignore[method-assign]


def main(arguments: list[str]) -> int:
    """Run the program with the crash point and flush delay given, and return its exit code."""
    from ..__main__ import main as program

    point, count, flush_delay_ms = arguments[0], int(arguments[1]), int(arguments[2])
    if point in CRASH_POINTS:
        install_crash_point(point, count)
    if flush_delay_ms:
        install_flush_delay(flush_delay_ms)
    sys.argv[1:] = []
    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
