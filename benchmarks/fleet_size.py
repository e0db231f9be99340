"""What the I/O-free part of the fleet costs at size: a plan, a look at all sites, a report.

python benchmarks/fleet_size.py
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections.abc import Callable
from functools import partial
from math import log2
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election import Election
from birchslip.cluster.fleet_file import Fleet, Member, Planner, Site, Vault
from birchslip.cluster.messages import Incarnation, MemberReport, decode, encode
from birchslip.cluster.planner_state import PlannerState

SECOND = 10_000


def took(act: Callable[[], object], times: int = 5) -> float:
    """Median milliseconds."""
    found = []
    for _ in range(times):
        began = time.perf_counter()
        act()
        found.append((time.perf_counter() - began) * 1000)
    return statistics.median(found)


def report(name: str, site: str, number: int) -> MemberReport:
    load = {f"t{n}": 5.0 for n in range(8)}
    return MemberReport(
        name=name,
        site=site,
        incarnation=Incarnation(nonce=1),
        sequence=number,
        address="127.0.0.1:1",
        uptime=SECOND,
        is_serving=True,
        is_draining=False,
        is_warm=True,
        capacity=50.0,
        slowdown=1.0,
        local_load=load,
        evacuated_load=0.0,
        retries=0.0,
        served=40.0,
        rejected=0.0,
        calls_in_flight=1.0,
        call_limit=2.0,
        lease_remaining=0,
        plan_term=0,
        plan_number=0,
    )


def main() -> None:
    print("members  plan ms  per n log n  look ms  report us (decoded, heard, encoded)")
    for members in (10, 100, 1_000, 10_000):
        sites = min(9, members)
        told = [
            Site(
                name=f"s{n}",
                routers=[n],
                members=[
                    Member(name=f"s{n}-{m}", address=f"127.0.0.1:{1 + m}") for m in range(members // sites)
                ],
            )
            for n in range(sites)
        ]
        fleet = Fleet(
            planners=[Planner(name="p0", address="127.0.0.1:1")],
            sites=told,
            vault=Vault(total_calls=float(members)),
            tenant_shares={f"t{n}": 0.125 for n in range(8)},
        )
        ballot = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
        state = PlannerState(fleet, ballot, 0)
        now = 3 * SECOND
        names = [(member.name, site.name) for site in told for member in site.members]
        for step in range(8):
            now += state.report_interval()
            ask = ballot.next_vote_request(now)
            if ask is not None:
                ballot.handle_vote_response(ballot.handle_vote_request(ask, now), ask.term, now, now)
            for name, site in names:
                state.receive_report(report(name, site, step + 1), now)
            state.tick(now)
            keep = state.replication_request()
            if keep is not None and ballot.handle_replication_response(
                ballot.handle_replication_request(keep, now), keep.state_number
            ):
                state.mark_replicated(keep.state_number)
        state.evacuate_site("s0", "bench", "bench", now)
        planned = took(partial(state.replan, now))
        looked = took(partial(state.tick, now))
        raws = [encode(report(name, site, 100)) for name, site in names[:500]]
        began = time.perf_counter()
        for raw in raws:
            encode(state.receive_report(decode(raw, MemberReport), now))
        each = (time.perf_counter() - began) / len(raws) * 1e6
        scale = planned / (members * log2(members)) * 1e3
        print(f"{members:7} {planned:8.2f} {scale:12.3f} {looked:8.2f} {each:10.0f}")


if __name__ == "__main__":
    main()
