"""Labelled transactions with kept results and without: the rate that is sustained, and what a flush adds.

    python benchmarks/keep_rate.py [PAIRS]

One app server, its agent and client stand-ins, on this disk; each pair is played one after the other.
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
    pairs = int((sys.argv[1:] or ["2"])[0])
    folder = Path(tempfile.mkdtemp(prefix="birchslip-rate-"))
    try:
        for name, more in CASES.items():
            for pair in range(pairs):
                for kept in (True, False):
                    told = ResultStoreOptions(
                        seed=pair,
                        sites=1,
                        each=1,
                        planners=0,
                        fleet=False,
                        kills=0,
                        repeat_fraction=0.0,
                        has_result_store=kept,
                        **more,  # type: ignore[arg-type]
                    )
                    made = run_scenario(told, folder / "play")
                    took, flush = made["took_ms"], made["flush_ms"]
                    cpu = made["program_cpu_s"] / max(1, made["labels"]) * 1e6
                    print(
                        f"{name:18} {'kept' if kept else 'not kept':8} {made['rate']:7.1f} a second, p50 "
                        f"{took['p50']:6.1f} ms, p99 {took['p99']:6.1f} ms, {cpu:5.0f} us of processor each, "
                        f"flush p50 {flush['p50']} p99 {flush['p99']} ms {made['trouble'] or ''}",
                        flush=True,
                    )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
