"""Measure a planner's decisions, without I/O, at four fleet sizes: a plan, a tick over all sites, a report.

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

SECOND = 10_000  # times are in tenths of a millisecond


def median_ms(action: Callable[[], object], rounds: int = 5) -> float:
    """Perform an action `rounds` times and return its median time in milliseconds."""
    times_ms = []
    for _ in range(rounds):
        started_at = time.perf_counter()
        action()
        times_ms.append((time.perf_counter() - started_at) * 1000)
    return statistics.median(times_ms)


def make_report(name: str, site: str, sequence: int) -> MemberReport:
    """Return a report of a member under load."""
    load = {f"t{n}": 5.0 for n in range(8)}
    return MemberReport(
        name=name,
        site=site,
        incarnation=Incarnation(nonce=1),
        sequence=sequence,
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
    """Print a line of times for each fleet size."""
    print("members  plan ms  us/n log2 n  tick ms  report us (decode, handle, encode)")
    for members in (10, 100, 1_000, 10_000):
        sites = min(9, members)
        fleet_sites = [
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
            sites=fleet_sites,
            vault=Vault(total_calls=float(members)),
            tenant_shares={f"t{n}": 0.125 for n in range(8)},
        )
        election = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
        state = PlannerState(fleet, election, 0)
        now = 3 * SECOND
        names = [(member.name, site.name) for site in fleet_sites for member in site.members]
        for step in range(8):
            now += state.report_interval()
            vote_request = election.next_vote_request(now)
            if vote_request is not None:
                election.handle_vote_response(
                    election.handle_vote_request(vote_request, now), vote_request.term, now, now
                )
            for name, site in names:
                state.receive_report(make_report(name, site, step + 1), now)
            state.tick(now)
            replication_request = state.replication_request()
            if replication_request is not None and election.handle_replication_response(
                election.handle_replication_request(replication_request, now),
                replication_request.state_number,
            ):
                state.mark_replicated(replication_request.state_number)
        state.evacuate_site("s0", "bench", "bench", now)
        plan_ms = median_ms(partial(state.replan, now))
        tick_ms = median_ms(partial(state.tick, now))
        encoded_reports = [encode(make_report(name, site, 100)) for name, site in names[:500]]
        started_at = time.perf_counter()
        for encoded in encoded_reports:
            encode(state.receive_report(decode(encoded, MemberReport), now))
        report_us = (time.perf_counter() - started_at) / len(encoded_reports) * 1e6
        us_per_n_log2_n = plan_ms / (members * log2(members)) * 1e3
        print(f"{members:7} {plan_ms:8.2f} {us_per_n_log2_n:12.3f} {tick_ms:8.2f} {report_us:10.0f}")


if __name__ == "__main__":
    main()
