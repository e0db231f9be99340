"""Compare the program's processor time per request with that of an earlier revision, in pairs of runs.

    python benchmarks/cpu_pairs.py REVISION [PAIRS]

Each run has six app servers at 60% load for 25 seconds, without faults and without stored results. The two
revisions run alternately, each with its own testbed. The earlier revision is checked out in a temporary
worktree that is removed at the end.
"""

import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN_ARGUMENTS = [
    "lab",
    "play",
    "site-loss",
    "--fault",
    "none",
    "--each",
    "2",
    "--load",
    "0.6",
    "--pace",
    "0.7",
    "--alone",
]


def cpu_per_request_us(checkout, seed, report_path):
    """Run the checkout's testbed once and return the app servers' processor time per request in us."""
    command = [
        sys.executable,
        "-m",
        "birchslip",
        *RUN_ARGUMENTS,
        "--seed",
        str(seed),
        "--json",
        str(report_path),
    ]
    subprocess.run(command, cwd=checkout, check=True, stdout=subprocess.DEVNULL)
    report = json.loads(report_path.read_text())
    # `member_cpu_s` is the mean over the members outside the first site; the load is that of all members.
    reported_members = 6 - 2
    return report["member_cpu_s"] * (reported_members + 2) / report["transactions"] * 1e6


def main():
    """Run the pairs and print both times and their ratio for each, then the median ratio."""
    revision, pair_count = sys.argv[1], int((sys.argv[2:] or ["3"])[0])
    with tempfile.TemporaryDirectory() as folder:
        earlier_checkout = Path(folder) / "before"
        subprocess.run(
            ["git", "worktree", "add", "--detach", "-f", str(earlier_checkout), revision],
            cwd=ROOT,
            check=True,
        )
        try:
            ratios = []
            for pair in range(1, pair_count + 1):
                earlier_us, current_us = (
                    cpu_per_request_us(checkout, pair, Path(folder) / "play.json")
                    for checkout in (earlier_checkout, ROOT)
                )
                ratios.append(current_us / earlier_us)
                print(
                    f"pair {pair}: {earlier_us:5.0f} us before, {current_us:5.0f} us now, "
                    f"ratio {current_us / earlier_us:.3f}",
                    flush=True,
                )
            print(f"median ratio {statistics.median(ratios):.3f}")
        finally:
            subprocess.run(
                ["git", "worktree", "remove", "--force", str(earlier_checkout)], cwd=ROOT, check=True
            )


if __name__ == "__main__":
    main()
