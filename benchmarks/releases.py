"""Releases through fleets of real processes among stand-ins, over all versions and faults.

    python benchmarks/releases.py --plays 100 --servers 12 --at-a-time 5 --out FOLDER

The Nth play has seed N; versions and faults take turns. A line for each play, then a summary.
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
BAD_ONLY = ("back-fails",)  # needs a way back


def schedules(plays: int) -> list[tuple[int, str, str]]:
    """Every fault with a good version, every bad version, then mixtures of both, in turns."""
    good = [("good", fault) for fault in FAULTS if fault not in BAD_ONLY]
    bad = [(version, "none") for version in FAULT_KINDS if version != "good"]
    both = [
        (version, fault)
        for fault in FAULTS
        for version in FAULT_KINDS
        if version != "good" and fault != "none"
    ]
    mixed = sorted(both, key=lambda one: hash_of(*one))
    made = [one for pair in zip(good, [*bad, *mixed], strict=False) for one in pair] + mixed[len(good) :]
    while len(made) < plays:
        made += made
    return [(seed, *one) for seed, one in enumerate(made[:plays], 1)]


def hash_of(version: str, fault: str) -> int:
    """The same order in every run."""
    return sum(ord(letter) * (place + 7) ** 3 for place, letter in enumerate(version + fault)) % 9973


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=100)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--at-a-time", type=int, default=5)
    parser.add_argument("--compare", action="store_true", help="Each also without a release.")
    parser.add_argument("--only", default="", help="VERSION/FAULT,... instead")
    parser.add_argument("--out", type=Path, required=True)
    told = parser.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    waiting = schedules(told.first + told.plays - 1)[told.first - 1 :]
    if told.only:
        waiting = [(told.first + n, *one.split("/")) for n, one in enumerate(told.only.split(","))]
    running: dict[subprocess.Popen[bytes], tuple[int, str, str]] = {}
    found: list[dict] = []
    while waiting or running:
        while waiting and len(running) < told.at_a_time:
            seed, version, fault = waiting.pop(0)
            name = f"{seed:03}-{version}-{fault}"
            words = [sys.executable, "-m", "birchslip", "lab", "play", "release", "--seed", str(seed)]
            words += ["--servers", str(told.servers), "--load", str(told.load), "--version", version]
            words += ["--fault", fault, "--json", str(told.out / f"{name}.json")]
            words += ["--logs", str(told.out / name)] + ([] if told.compare else ["--alone"])
            with (told.out / f"{name}.out").open("w") as out:
                running[subprocess.Popen(words, cwd=ROOT, stdout=out, stderr=out)] = (seed, version, fault)
        time.sleep(0.5)
        for process in [one for one in running if one.poll() is not None]:
            seed, version, fault = running.pop(process)
            path = told.out / f"{seed:03}-{version}-{fault}.json"
            report = json.loads(path.read_text()) if path.exists() else None
            if report is None:
                print(
                    f"{seed:3} {version:8} {fault:16} no report, exit code {process.returncode}", flush=True
                )
                found.append(
                    {"ended": "no report", "broken": ["no report"], "version": version, "fault": fault}
                )
                continue
            found.append(report)
            without = report.get("without", {}).get("service", {}).get("during", "")
            print(
                f"{seed:3} {version:8} {fault:16} {report['ended']:7} took {report['took_s']:6} least "
                f"{report['least_s']:5} halt {report['halt_s']!s:6} exposed {report['exposed']:2} "
                f"service {report['service']['during']} {without} {report['broken'] or ''} "
                f"{report['why'] if report['ended'] not in ('done', 'back') else ''}",
                flush=True,
            )
    summary(found)


def summary(found: list[dict]) -> None:
    print(f"{len(found)} plays, {sum(bool(one['broken']) for one in found)} with something broken")
    for version in FAULT_KINDS:
        some = [one for one in found if one["version"] == version and "took_s" in one]
        if not some:
            continue
        halts = sorted(one["halt_s"] for one in some if one["halt_s"] is not None)
        ends = dict(Counter(one["ended"] for one in some))
        line = f"{version:8} {ends}, exposed {max(one['exposed'] for one in some)} at most"
        if halts:
            line += f", halt median {halts[len(halts) // 2]} s, worst {halts[-1]} s"
        if version == "good":
            calm = [one["took_s"] / one["least_s"] for one in some if one["fault"] == "none"]
            line += f", took over least {max(calm, default=0):.2f} where nothing failed"
        print(line)


if __name__ == "__main__":
    main()
