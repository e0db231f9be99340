"""Run releases through fleets of real processes among stand-ins, over all versions and faults.

    python benchmarks/releases.py --plays 100 --servers 12 --at-a-time 5 --out FOLDER

The Nth run has seed N. A line is printed for each run, then a summary.
"""

import argparse
import json
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.release_faults import FAULTS
from birchslip.lab.versions import FAULT_KINDS

ROOT = Path(__file__).resolve().parent.parent
BAD_VERSION_FAULTS = ("back-fails",)  # only apply while a bad version is rolled back


def schedules(run_count: int) -> list[tuple[int, str, str]]:
    """Return seed, version and fault of each run.

    Runs of the good version with each fault alternate with runs of each bad version without a fault, then
    with combinations of a bad version and a fault; further combinations follow. After that the schedule
    repeats with other seeds.
    """
    good_runs = [("good", fault) for fault in FAULTS if fault not in BAD_VERSION_FAULTS]
    bad_runs = [(version, "none") for version in FAULT_KINDS if version != "good"]
    combinations = [
        (version, fault)
        for fault in FAULTS
        for version in FAULT_KINDS
        if version != "good" and fault != "none"
    ]
    mixed = sorted(combinations, key=lambda run: stable_hash(*run))
    schedule = [run for pair in zip(good_runs, [*bad_runs, *mixed], strict=False) for run in pair] + mixed[
        len(good_runs) :
    ]
    while len(schedule) < run_count:
        schedule += schedule
    return [(seed, *run) for seed, run in enumerate(schedule[:run_count], 1)]


def stable_hash(version: str, fault: str) -> int:
    """Return a hash that is the same in every process, by which the combinations are ordered."""
    return sum(ord(letter) * (index + 7) ** 3 for index, letter in enumerate(version + fault)) % 9973


def main() -> None:
    """Run the releases, `--at-a-time` of them at once, and print a line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--at-a-time", type=int, default=5)
    parser.add_argument("--compare", action="store_true", help="run each also without a release")
    parser.add_argument("--only", default="", help="run these pairs VERSION/FAULT,... instead")
    parser.add_argument("--out", type=Path, required=True)
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    pending = schedules(arguments.first + arguments.plays - 1)[arguments.first - 1 :]
    if arguments.only:
        pending = [(arguments.first + n, *run.split("/")) for n, run in enumerate(arguments.only.split(","))]
    running: dict[subprocess.Popen[bytes], tuple[int, str, str]] = {}
    reports: list[dict] = []
    while pending or running:
        while pending and len(running) < arguments.at_a_time:
            seed, version, fault = pending.pop(0)
            name = f"{seed:03}-{version}-{fault}"
            command = [sys.executable, "-m", "birchslip", "lab", "play", "release", "--seed", str(seed)]
            command += [
                "--servers",
                str(arguments.servers),
                "--load",
                str(arguments.load),
                "--version",
                version,
            ]
            command += ["--fault", fault, "--json", str(arguments.out / f"{name}.json")]
            command += ["--logs", str(arguments.out / name)] + ([] if arguments.compare else ["--alone"])
            with (arguments.out / f"{name}.out").open("w") as out:
                running[subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)] = (seed, version, fault)
        time.sleep(0.5)
        for process in [process for process in running if process.poll() is not None]:
            seed, version, fault = running.pop(process)
            path = arguments.out / f"{seed:03}-{version}-{fault}.json"
            report = json.loads(path.read_text()) if path.exists() else None
            if report is None:
                print(
                    f"{seed:3} {version:8} {fault:16} no report, exit code {process.returncode}", flush=True
                )
                reports.append(
                    {"ended": "no report", "broken": ["no report"], "version": version, "fault": fault}
                )
                continue
            reports.append(report)
            service_without_rollout = report.get("without", {}).get("service", {}).get("during", "")
            print(
                f"{seed:3} {version:8} {fault:16} {report['ended']:7} took {report['took_s']:6} least "
                f"{report['least_s']:5} halt {report['halt_s']!s:6} exposed {report['exposed']:2} "
                f"service {report['service']['during']} {service_without_rollout} {report['broken'] or ''} "
                f"{report['why'] if report['ended'] not in ('done', 'back') else ''}",
                flush=True,
            )
    print_summary(reports)


def print_summary(reports: list[dict]) -> None:
    """Print the results by version."""
    print(f"{len(reports)} runs, {sum(bool(report['broken']) for report in reports)} with something broken")
    for version in FAULT_KINDS:
        version_reports = [
            report for report in reports if report["version"] == version and "took_s" in report
        ]
        if not version_reports:
            continue
        halt_times = sorted(report["halt_s"] for report in version_reports if report["halt_s"] is not None)
        end_counts = dict(Counter(report["ended"] for report in version_reports))
        max_exposed = max(report["exposed"] for report in version_reports)
        line = f"{version:8} {end_counts}, exposed {max_exposed} at most"
        if halt_times:
            line += f", halt median {halt_times[len(halt_times) // 2]} s, worst {halt_times[-1]} s"
        if version == "good":
            ratios = [
                report["took_s"] / report["least_s"]
                for report in version_reports
                if report["fault"] == "none"
            ]
            line += f", took at most {max(ratios, default=0):.2f} times the least where nothing failed"
        print(line)


if __name__ == "__main__":
    main()
