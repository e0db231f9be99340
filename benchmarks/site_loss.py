"""Plays of the loss of a site over seeds and all named faults, some at a time; a table and the medians.

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


def play(seed: int, fault: str, out: Path) -> dict[str, Any] | None:
    path = out / f"{fault}-{seed}.json"
    words = ["lab", "play", "site-loss", "--seed", str(seed), "--fault", fault, "--json", str(path)]
    done = subprocess.run(
        [sys.executable, "-m", "birchslip", *words], cwd=ROOT, capture_output=True, text=True
    )
    if not path.exists():
        print(f"{fault} {seed}: exit {done.returncode}: {done.stderr[-300:]}", flush=True)
        return None
    told: dict[str, Any] = json.loads(path.read_text())
    service, single = told["service"], told["single_level"]["service"]
    tries = told["attempts_each"]
    print(
        f"{fault:18} {seed:3} exit {done.returncode} rules {sum(told['rules'].values())}"
        f" during {service['during']:.3f} single {single['during']:.3f} ideal {told['ideal']['during']:.3f}"
        f" back {service['back']:.3f} single {single['back']:.3f}"
        f" tries {tries['before']:.2f} {tries['during']:.2f} {tries['after']:.2f}"
        f" in force {told['in_force_s']} back_s {told['back_s']} false {told['false_evacuations']}"
        f" dead {len(told['dead'])}",
        flush=True,
    )
    return told


@click.command()
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--at-a-time", default=4)
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(seeds: int, first: int, at_a_time: int, out: Path) -> None:
    """Each seed plays the next named fault, so that all come up in turn."""
    out.mkdir(parents=True, exist_ok=True)
    names = [name for name in FAULTS if name != "none"]
    with ThreadPoolExecutor(at_a_time) as some:
        plays = list(some.map(lambda n: play(first + n, names[n % len(names)], out), range(seeds)))
    told = [one for one in plays if one is not None]
    forces = [one["in_force_s"] for one in told if one["in_force_s"] is not None]
    losses = [one for one in told if one["evacuations"]]
    ratios = [one["service"]["during"] / one["ideal"]["during"] for one in losses]
    above = [one["service"]["during"] - one["single_level"]["service"]["during"] for one in losses]
    storms = [one["attempts_each"]["after"] / one["attempts_each"]["before"] for one in told]
    backs = [one["back_s"] for one in losses if one["back_s"] is not None]
    print(f"plays {len(told)} of {seeds}, rules broken {sum(sum(one['rules'].values()) for one in told)}")
    print(
        f"dead {sum(len(one['dead']) for one in told)}, false {sum(one['false_evacuations'] for one in told)}"
    )
    if losses:
        print(f"in force: median {statistics.median(forces):.2f} s, worst {max(forces):.2f} s")
        print(f"during over ideal: least {min(ratios):.3f}, median {statistics.median(ratios):.3f}")
        print(f"during above single: least {min(above):+.3f}, median {statistics.median(above):+.3f}")
        print(f"tries after over before: worst {max(storms):.3f}; back at home: worst {max(backs):.2f} s")


if __name__ == "__main__":
    main()
