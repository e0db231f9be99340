"""Answers batches from standard input on standard output: `python -m birchslip.simulator`."""

import gc
import sys

from .host import serve

if __name__ == "__main__":
    gc.freeze()
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
