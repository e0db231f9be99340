"""Releases in virtual time: the real permits, judgement and course among a played platform and members.

python benchmarks/rollouts.py [RELEASES OF EACH VERSION]
"""

import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.rollouts import VERSIONS, RolloutScenario

count = int((sys.argv[1:] or ["200"])[0])
for version in VERSIONS:
    began, ended, halts = time.monotonic(), Counter(), []
    broken, exposed, took = Counter(), 0, 0.0
    for seed in range(count if version != "good" else 5 * count):
        told = RolloutScenario(seed, version).run(longest=600).told()
        ended[told["ended"]] += 1
        broken["breaches"] += bool(told["breaches"])
        broken["drained twice"] += bool(told["drained_twice"])
        broken["stuck"] += bool(told["stuck"])
        exposed, took = max(exposed, told["exposed"]), max(took, told["took_s"])
        halts += [told["halt_s"]] if told["halt_s"] is not None else []
    halts.sort()
    halted = f"halt median {halts[len(halts) // 2]} s, worst {halts[-1]} s, " if halts else ""
    print(
        f"{version:8} {dict(ended)} {dict(broken)} {halted}"
        f"exposed {exposed} at most, longest {took} s, {time.monotonic() - began:.0f} s"
    )
