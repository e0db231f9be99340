"""Run the loss of a site over seeds and all named faults, some at a time; print a table and medians.

python benchmarks/site_loss.py --seeds 20 --at-a-time 4 --out FOLDER
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.faults import FAULTS

ROOT = Path(__file__).resolve().parent.parent


def run_fault(seed: int, fault: str, out: Path) -> dict[str, Any] | None:
    """Run one seed and fault, print a line and return the report, or None if the run wrote none."""
    path = out / f"{fault}-{seed}.json"
    arguments = ["lab", "play", "site-loss", "--seed", str(seed), "--fault", fault, "--json", str(path)]
    finished = subprocess.run(
        [sys.executable, "-m", "birchslip", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    if not path.exists():
        print(f"{fault} {seed}: exit {finished.returncode}: {finished.stderr[-300:]}", flush=True)
        return None
    report: dict[str, Any] = json.loads(path.read_text())
    service, single_level = report["service"], report["single_level"]["service"]
    attempts = report["attempts_each"]
    print(
        f"{fault:18} {seed:3} exit {finished.returncode} rules {sum(report['rules'].values())}"
        f" during {service['during']:.3f} single {single_level['during']:.3f}"
        f" ideal {report['ideal']['during']:.3f}"
        f" back {service['back']:.3f} single {single_level['back']:.3f}"
        f" tries {attempts['before']:.2f} {attempts['during']:.2f} {attempts['after']:.2f}"
        f" in force {report['in_force_s']} back_s {report['back_s']} false {report['false_evacuations']}"
        f" dead {len(report['dead'])}",
        flush=True,
    )
    return report


@click.command()
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--at-a-time", default=4)
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(seeds: int, first: int, at_a_time: int, out: Path) -> None:
    """Run the loss of a site once for each seed, with the named faults in turn."""
    out.mkdir(parents=True, exist_ok=True)
    names = [name for name in FAULTS if name != "none"]
    with ThreadPoolExecutor(at_a_time) as pool:
        results = list(pool.map(lambda n: run_fault(first + n, names[n % len(names)], out), range(seeds)))
    reports = [report for report in results if report is not None]
    in_force_times = [report["in_force_s"] for report in reports if report["in_force_s"] is not None]
    losses = [report for report in reports if report["evacuations"]]
    ratios = [report["service"]["during"] / report["ideal"]["during"] for report in losses]
    gains = [report["service"]["during"] - report["single_level"]["service"]["during"] for report in losses]
    attempt_ratios = [
        report["attempts_each"]["after"] / report["attempts_each"]["before"] for report in reports
    ]
    return_times = [report["back_s"] for report in losses if report["back_s"] is not None]
    print(
        f"{len(reports)} reports of {seeds} runs, "
        f"rules broken {sum(sum(report['rules'].values()) for report in reports)}"
    )
    print(
        f"dead {sum(len(report['dead']) for report in reports)}, "
        f"false {sum(report['false_evacuations'] for report in reports)}"
    )
    if losses:
        print(
            f"in force: median {statistics.median(in_force_times):.2f} s, worst {max(in_force_times):.2f} s"
        )
        print(f"during over ideal: least {min(ratios):.3f}, median {statistics.median(ratios):.3f}")
        print(f"during above single: least {min(gains):+.3f}, median {statistics.median(gains):+.3f}")
        print(
            f"tries after over before: worst {max(attempt_ratios):.3f}; "
            f"back at home: worst {max(return_times):.2f} s"
        )


if __name__ == "__main__":
    main()
