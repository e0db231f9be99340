"""The program, killed by itself at a chosen point: `python -m birchslip.lab.dying POINT COUNT FLUSH_MS`.

| point | where in the path of a labelled transaction |
| --- | --- |
| before-begun | it may run; nothing is written yet |
| after-begun | that it begins is flushed; it is not launched yet |
| after-launch | the launch has been ordered |
| before-concluded | its outcome has come; nothing is written of it yet |
| after-concluded | what came of it is flushed; it is not answered yet |
| after-answer | the answer is on its way |
| compacting | a file whose windows are over is about to be dropped |

COUNT is which time it is there. FLUSH_MS is what each flush of the store takes longer.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

POINTS = {
    "before-begun": ("birchslip.idempotency.result_store", "ResultStore", "record_start", True),
    "after-begun": ("birchslip.net.stages.run_dispatcher", "RunDispatcher", "on_start_recorded", True),
    "after-launch": ("birchslip.net.servers", "Agent", "launch", False),
    "before-concluded": ("birchslip.idempotency.result_store", "ResultStore", "record_completion", True),
    "after-concluded": ("birchslip.net.stages.run_dispatcher", "RunDispatcher", "complete", True),
    "after-answer": ("birchslip.net.connection", "Connection", "flush", False),
    "compacting": ("birchslip.idempotency.segment_files", "SegmentFiles", "delete_segment", True),
}


def die_at(point: str, count: int) -> None:
    from importlib import import_module

    where, kind, name, before = POINTS[point]
    owner = getattr(import_module(where), kind)
    inner: Callable[..., Any] = getattr(owner, name)
    left = count

    def there(*words: Any, **more: Any) -> Any:
        nonlocal left
        left -= 1
        if left <= 0 and before:
            os.kill(os.getpid(), signal.SIGKILL)
        made = inner(*words, **more)
        if left <= 0:
            os.kill(os.getpid(), signal.SIGKILL)
        return made

    setattr(owner, name, there)


def slow_flush(milliseconds: int) -> None:
    from ..idempotency.file_system import FileSystem

    inner = FileSystem.flush

    def flush(self: FileSystem, descriptor: int) -> None:
        time.sleep(milliseconds / 1000)
        inner(self, descriptor)

    FileSystem.flush = flush  # type: ignore[method-assign]


def main(words: list[str]) -> int:
    from ..__main__ import main as program

    point, count, flush = words[0], int(words[1]), int(words[2])
    if point in POINTS:
        die_at(point, count)
    if flush:
        slow_flush(flush)
    sys.argv[1:] = []
    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
