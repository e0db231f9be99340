"""Measure how long three real planners on this machine take to grant a permit and store it on a majority.

    python benchmarks/permit_grants.py [REQUESTS]

The times include the flushes of the planners. Requests come from one process on loopback; the members are
threads that report as app servers do.
"""

import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.cli import call_planner
from birchslip.cluster.messages import EvictionOperation, EvictionRequest
from tests.test_permit_processes import PlannerCluster


def main() -> None:
    """Print the times of grants, and the time from the kill of the leader to the next grant."""
    request_count = int((sys.argv[1:] or ["300"])[0])
    cluster = PlannerCluster(Path(tempfile.mkdtemp(prefix="birchslip-grants-")))
    try:
        leader = cluster.leader()
        address = next(planner.address for planner in cluster.fleet.planners if planner.name == leader)
        times_ms = []
        for _ in range(request_count):
            started_at = time.perf_counter()
            answer = call_planner(
                address,
                EvictionRequest(
                    operation=EvictionOperation.REQUEST_PERMIT, holder="a-0", reason="a measurement"
                ),
            )
            times_ms.append((time.perf_counter() - started_at) * 1000)
            assert answer["granted"], answer
            call_planner(address, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder="a-0"))
        times_ms.sort()
        p99 = times_ms[int(0.99 * len(times_ms))]
        median = statistics.median(times_ms)
        print(
            f"{request_count} grants: median {median:.1f} ms, p99 {p99:.1f} ms, worst {times_ms[-1]:.1f} ms"
        )
        started_at = time.monotonic()
        cluster.kill(leader)
        cluster.evict("a-0")
        print(
            f"granted again {time.monotonic() - started_at:.2f} s after the leader was killed "
            "(requested every 50 ms)"
        )
    finally:
        cluster.stop()


if __name__ == "__main__":
    main()
