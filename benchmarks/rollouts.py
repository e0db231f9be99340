"""Run rollouts in virtual time, with a simulated platform and simulated members.

The disruption budget, the canary analysis and the rollout are the program's own.

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
    started_at, end_counts, halt_times = time.monotonic(), Counter(), []
    violations, max_exposed, max_took_s = Counter(), 0, 0.0
    for seed in range(count if version != "good" else 5 * count):
        report = RolloutScenario(seed, version).run(timeout_s=600).report()
        end_counts[report["ended"]] += 1
        violations["breaches"] += bool(report["breaches"])
        violations["drained twice"] += bool(report["drained_twice"])
        violations["stuck"] += bool(report["stuck"])
        max_exposed, max_took_s = max(max_exposed, report["exposed"]), max(max_took_s, report["took_s"])
        halt_times += [report["halt_s"]] if report["halt_s"] is not None else []
    halt_times.sort()
    halt_text = (
        f"halt median {halt_times[len(halt_times) // 2]} s, worst {halt_times[-1]} s, " if halt_times else ""
    )
    print(
        f"{version:8} {dict(end_counts)} {dict(violations)} {halt_text}"
        f"exposed {max_exposed} at most, longest {max_took_s} s, {time.monotonic() - started_at:.0f} s"
    )
