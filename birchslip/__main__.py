"""One real app server: `python -m birchslip`, told where it stands by `PROXY_CONFIG`."""

import gc
import os
import signal
import sys
import traceback

from .deployment import Malformed
from .net.program import Program
from .net.site import read_site


def main() -> int:
    # Until the program listens for it: there is nothing to read again yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        site = read_site(os.environ)
        program = Program(site)
    except (Malformed, OSError) as trouble:
        print(f"birchslip: {trouble}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    try:
        program.run()
    except OSError as trouble:
        print(f"birchslip: {trouble}", file=sys.stderr)
        return 1
    except Exception:
        # One in a task or a transaction's stages is caught there: this one is the scheduler's own.
        print(f"birchslip: ended by a fault\n{traceback.format_exc()}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
