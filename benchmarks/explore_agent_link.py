"""Explore random histories of orders over lost links to the agent; stop at the first violation.

python benchmarks/explore_agent_link.py HISTORIES STEPS [FIRST_SEED]
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.explore_agent_link import explore

count, steps, first = (int(word) for word in [*sys.argv[1:], "0"][:3])
started_at = time.monotonic()
print(explore(range(first, first + count), steps), f"{time.monotonic() - started_at:.0f} s")
