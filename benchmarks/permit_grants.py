"""How long a permit takes at three real planners on this machine, flush and majority included.

    python benchmarks/permit_grants.py [ASKS]

The asker is one process on loopback, the members are threads that report as app servers would.
"""

import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.cli import ask
from birchslip.cluster.messages import EvictionOperation, EvictionRequest
from tests.test_permit_processes import PlannerCluster


def main() -> None:
    asks = int((sys.argv[1:] or ["300"])[0])
    place = PlannerCluster(Path(tempfile.mkdtemp(prefix="birchslip-grants-")))
    try:
        leader = place.leader()
        address = next(one.address for one in place.fleet.planners if one.name == leader)
        took = []
        for _ in range(asks):
            began = time.perf_counter()
            told = ask(
                address,
                EvictionRequest(
                    operation=EvictionOperation.REQUEST_PERMIT, holder="a-0", reason="a measurement"
                ),
            )
            took.append((time.perf_counter() - began) * 1000)
            assert told["granted"], told
            ask(address, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder="a-0"))
        took.sort()
        p99 = took[int(0.99 * len(took))]
        median = statistics.median(took)
        print(f"{asks} grants: median {median:.1f} ms, p99 {p99:.1f} ms, worst {took[-1]:.1f} ms")
        began = time.monotonic()
        place.kill(leader)
        place.evict("a-0")
        print(f"granted again {time.monotonic() - began:.2f} s after the leader's death (asked every 50 ms)")
    finally:
        place.stop()


if __name__ == "__main__":
    main()
