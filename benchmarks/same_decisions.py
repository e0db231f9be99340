"""Compare the reports of simulated days of two checkouts for equality, apart from processor time and memory.

    python benchmarks/same_decisions.py --bench LBSIM --why NOTE --checkout BEFORE --record FILE SITE...
    python benchmarks/same_decisions.py --bench LBSIM --why NOTE --checkout AFTER --against FILE SITE...

The first command records the reports of one checkout, the second compares those of another with the record.
For each site, the bench simulates one day of each kind in `KINDS`, always with the same seeds. It runs in the
checkout's folder and adds an entry to the journal of that checkout for each day, so the checkout should be a
scratch clone. The exit code is 1 if any two reports differ.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

KINDS = ("trouble", "overload")
SEEDS = {"trouble": 7001, "overload": 7002}
CONCURRENT_DAYS = 2
MAX_DIFFERENCES_SHOWN = 12
DAY_TIMEOUT_S = 300
UNSTABLE_KEYS = frozenset({"snapshot", "usage", "wall_ms"})  # the journal entry, processor time, memory


class Day(NamedTuple):
    """One day to simulate: a site file and the kind of day drawn from it."""

    site: Path
    kind: str

    @property
    def name(self) -> str:
        """The day's key in a record: site, kind and seed."""
        return f"{self.site.stem} {self.kind} {SEEDS[self.kind]}"


def simulate_day(bench: Path, checkout: Path, day: Day, note: str) -> object:
    """Simulate one day in the checkout's folder.

    Returns:
        The bench's report without the keys in `UNSTABLE_KEYS`.

    Raises:
        RuntimeError: If the bench fails.
    """
    command = [str(bench), "run", str(day.site), "--seed", str(SEEDS[day.kind]), "--kind", day.kind]
    command += ["--json", "--why", note]
    completed = subprocess.run(
        command, cwd=checkout, capture_output=True, text=True, timeout=DAY_TIMEOUT_S, check=False
    )
    if completed.returncode != 0:
        raise RuntimeError(f"{day.name}: exit code {completed.returncode}: {completed.stderr[-500:]}")
    return without_unstable_keys(json.loads(completed.stdout))


def without_unstable_keys(report: object) -> object:
    """Copy a report without the keys in `UNSTABLE_KEYS`, which differ between runs of the same code."""
    if isinstance(report, dict):
        return {key: value for key, value in report.items() if key not in UNSTABLE_KEYS}
    return report


def find_differences(before: object, after: object, path: str = "") -> Iterator[str]:
    """Yield the path and both values of every difference between two reports."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from find_differences(before.get(key), after.get(key), f"{path}.{key}")
    elif isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        for index, (old, new) in enumerate(zip(before, after, strict=True)):
            yield from find_differences(old, new, f"{path}[{index}]")
    elif before != after:
        yield f"{path}: {before!r} before, {after!r} after"


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("sites", nargs="+", type=Path, help="site files of the bench")
    parser.add_argument("--bench", required=True, type=Path, help="the program lbsim")
    parser.add_argument("--checkout", required=True, type=Path, help="the folder in which the bench runs")
    parser.add_argument("--why", required=True, help="the note for the journal entries")
    result = parser.add_mutually_exclusive_group(required=True)
    result.add_argument("--record", type=Path, help="write the reports to this file")
    result.add_argument("--against", type=Path, help="compare with the reports in this file")
    return parser.parse_args()


def main() -> int:
    """Simulate all days, then record their reports or compare them with a record."""
    arguments = parse_arguments()
    days = [Day(site.resolve(), kind) for site in arguments.sites for kind in KINDS]
    with ThreadPoolExecutor(CONCURRENT_DAYS) as pool:
        reports = list(
            pool.map(lambda day: simulate_day(arguments.bench, arguments.checkout, day, arguments.why), days)
        )
    reports_by_day = {day.name: report for day, report in zip(days, reports, strict=True)}
    if arguments.record is not None:
        arguments.record.write_text(json.dumps(reports_by_day, indent=1, sort_keys=True) + "\n")
        print(f"{len(reports_by_day)} days recorded in {arguments.record}")
        return 0
    recorded = json.loads(arguments.against.read_text())
    return compare(recorded, reports_by_day)


def compare(recorded: dict[str, object], current: dict[str, object]) -> int:
    """Print the differences between two sets of reports; return exit code 1 if there are any, else 0."""
    different_days = 0
    for name, report in current.items():
        differences = list(find_differences(recorded[name], report))
        different_days += bool(differences)
        print(f"{name}: {'same' if not differences else f'{len(differences)} differences'}", flush=True)
        for line in differences[:MAX_DIFFERENCES_SHOWN]:
            print(f"    {line}")
    print(f"{len(current) - different_days} of {len(current)} days are the same")
    return 1 if different_days else 0


if __name__ == "__main__":
    sys.exit(main())
