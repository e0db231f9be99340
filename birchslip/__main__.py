"""One real app server: `python -m birchslip`, told where it stands by `PROXY_CONFIG`."""

import gc
import os
import sys

from .deployment import Malformed
from .net.program import Program
from .net.site import read_site


def main() -> int:
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
    return 0


if __name__ == "__main__":
    sys.exit(main())
