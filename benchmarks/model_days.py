"""Compare the emulator with real processes: run the lab's site-loss scenarios with both.

    python benchmarks/model_days.py --at-a-time 3 --out FOLDER

Each emulated run is built from the very files that its processes were started with. For each part of a
scenario the service of the processes, that of the emulator and the difference are printed.
"""

import argparse
import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.expect.sources import Sources, read_json
from birchslip.lab.faults import schedule
from birchslip.lab.model.world import TRAFFIC_START, Step, World
from birchslip.lab.site_loss import SiteLossOptions, schedule_spans
from birchslip.lab.world import REQUEST_CLASSES, SITES

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = [  # fault, load as a share of capacity, seed
    ("none", 0.9, 1),
    ("none", 1.2, 2),
    ("kill", 0.6, 3),
    ("kill", 0.9, 4),
    ("kill-surge", 0.8, 5),
    ("kill-two", 0.7, 6),
    ("kill-slow-second", 0.8, 7),
    ("pause", 0.8, 8),
    ("rush", 0.9, 9),
    ("flaps", 0.7, 10),
]
# The emulator's names of the actions in fault schedules; other actions have the same name.
ACTIONS = {"kill": "lose", "start": "restore", "pause": "pause", "resume": "resume", "slow": "slow"}
TOLERANCE = 0.05  # largest difference of the service, a share from 0 to 1, at which a part agrees


def start(scenario, folder):
    """Start a scenario with real processes and return its process, which writes a JSON file to the folder."""
    fault, load, seed = scenario
    arguments = [
        "lab",
        "play",
        "site-loss",
        "--seed",
        str(seed),
        "--fault",
        fault,
        "--load",
        str(load),
        "--alone",
    ]
    logs = folder / f"{fault}-{load}"
    arguments += ["--logs", str(logs), "--json", str(folder / f"{fault}-{load}.json")]
    return subprocess.Popen(
        [sys.executable, "-m", "birchslip", *arguments], cwd=ROOT, stdout=subprocess.DEVNULL
    )


def emulate(scenario, folder):
    """Run a scenario in virtual time, with the files that `start` left in the folder.

    Returns:
        The service and the mean attempts per request, each by part of the scenario.
    """
    fault, load, seed = scenario
    logs = folder / f"{fault}-{load}" / "fleet"
    first_server = f"{SITES[0]}-1"
    world_file = {
        "profiles": {
            profile.name: {
                "share": profile.share,
                "work_ms": profile.mean_work / 10,
                "calls": float(profile.is_keyed),
            }
            for profile in REQUEST_CLASSES
        },
        "below": {"took_ms": 20.0},
        "load": load,
        "size": 60,
    }
    sources = Sources(
        read_json(logs / f"{first_server}.json"), read_json(logs / f"{first_server}.fleet.json"), world_file
    )
    options = SiteLossOptions(seed=seed, fault=fault, load=load)
    steps = schedule(
        fault, seed, list(SITES[:3]), ["planner-1", "planner-2", "planner-3"], options.outage_span
    )
    spans = schedule_spans(options, steps)
    script_start = TRAFFIC_START + spans["before"][1]
    script = [
        Step(script_start + step.at, ACTIONS.get(step.action, step.action), step.target, step.value)
        for step in steps
    ]
    emulated = World(sources.setting, seed)
    emulated.run(script, TRAFFIC_START + spans["after"][1] + 20_000)
    return {
        "service": {
            name: emulated.service((TRAFFIC_START + first, TRAFFIC_START + last))
            for name, (first, last) in spans.items()
        },
        "attempts": {
            name: emulated.mean_attempts((TRAFFIC_START + first, TRAFFIC_START + last))
            for name, (first, last) in spans.items()
        },
    }


def main():
    """Run all scenarios, print one row for each and how many parts agree."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--at-a-time", type=int, default=3)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument(
        "--again",
        action="store_true",
        help="run only the emulator, and compare with the results of an earlier run",
    )
    options = parser.parse_args()
    options.out = options.out.resolve()  # processes start in ROOT, where a relative path means another folder
    options.out.mkdir(parents=True, exist_ok=True)
    for at in range(0, len(SCENARIOS) if not options.again else 0, options.at_a_time):
        for process in [start(scenario, options.out) for scenario in SCENARIOS[at : at + options.at_a_time]]:
            process.wait(240)
    near_count = part_count = 0
    for scenario in SCENARIOS:
        fault, load, _ = scenario
        real = json.loads((options.out / f"{fault}-{load}.json").read_text())
        emulated = emulate(scenario, options.out)
        row = []
        for name in ("before", "during", "back", "after"):
            measured = real["after"] if name == "after" else real["service"][name]
            difference = emulated["service"][name] - measured
            near_count, part_count = near_count + (abs(difference) <= TOLERANCE), part_count + 1
            row.append(f"{name} {measured:.3f} {emulated['service'][name]:.3f} ({difference:+.3f})")
        attempts = " ".join(
            f"{name} {real['attempts_each'][name]:.2f} {emulated['attempts'][name]:.2f}"
            for name in ("before", "during", "after")
        )
        print(f"{fault:18} {load:.1f}  {'; '.join(row)}; tries {attempts}", flush=True)
    print(f"{near_count} of {part_count} parts within {TOLERANCE}")


if __name__ == "__main__":
    main()
