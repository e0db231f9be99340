"""Measure keyed requests with a result store and without: their rate, and the latency that flushes add.

    python benchmarks/keep_rate.py [PAIRS]

One app server with a stand-in agent and client, on this disk; the two runs of a pair follow one another.
"""

import shutil
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.kept_play import ResultStoreOptions, run_scenario

CASES = {
    "190 a second": {"labels": 3_000, "arrival_rate": 190.0, "mean_work": 50},
    "as many as it can": {"labels": 4_000, "arrival_rate": 4_000.0, "mean_work": 20},
}


def main() -> None:
    """Run each case with and without a result store and print its figures."""
    pairs = int((sys.argv[1:] or ["2"])[0])
    folder = Path(tempfile.mkdtemp(prefix="birchslip-rate-"))
    try:
        for name, case in CASES.items():
            for pair in range(pairs):
                for has_result_store in (True, False):
                    options = ResultStoreOptions(
                        seed=pair,
                        sites=1,
                        each=1,
                        planners=0,
                        fleet=False,
                        kills=0,
                        repeat_fraction=0.0,
                        has_result_store=has_result_store,
                        **case,  # type: ignore[arg-type]
                    )
                    report = run_scenario(options, folder / "run")
                    latency, flush = report["took_ms"], report["flush_ms"]
                    cpu = report["program_cpu_s"] / max(1, report["labels"]) * 1e6
                    print(
                        f"{name:18} {'kept' if has_result_store else 'not kept':8} "
                        f"{report['rate']:7.1f} a second, p50 "
                        f"{latency['p50']:6.1f} ms, p99 {latency['p99']:6.1f} ms, "
                        f"{cpu:5.0f} us of CPU time each, "
                        f"flush p50 {flush['p50']} p99 {flush['p99']} ms {report['trouble'] or ''}",
                        flush=True,
                    )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
