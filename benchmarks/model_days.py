"""The model against the program: days of the lab with real processes, and the same days in virtual time.

    python benchmarks/model_days.py --at-a-time 3 --out FOLDER

A day is laid out from the very files that its processes were started with.
"""

import argparse
import json
import subprocess
import sys
from pathlib import Path

from birchslip.expect.sources import Sources, read_json
from birchslip.lab.faults import schedule
from birchslip.lab.model.world import BEGIN, Step, World
from birchslip.lab.site_loss import SiteLossOptions, schedule_spans
from birchslip.lab.world import PROFILES, SITES

DAYS = [
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
WORDS = {"kill": "lose", "start": "restore", "pause": "pause", "resume": "resume", "slow": "slow"}
NEAR = 0.05


def start(day, folder):
    fault, load, seed = day
    words = [
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
    words += ["--logs", str(logs), "--json", str(folder / f"{fault}-{load}.json")]
    return subprocess.Popen([sys.executable, "-m", "birchslip", *words], stdout=subprocess.DEVNULL)


def model(day, folder):
    """The same day in virtual time: service in each of its parts."""
    fault, load, seed = day
    logs = folder / f"{fault}-{load}" / "fleet"
    first = f"{SITES[0]}-1"
    world = {
        "profiles": {
            one.name: {"share": one.share, "work_ms": one.work / 10, "calls": float(one.label)}
            for one in PROFILES
        },
        "below": {"took_ms": 20.0},
        "load": load,
        "size": 60,
    }
    sources = Sources(read_json(logs / f"{first}.json"), read_json(logs / f"{first}.fleet.json"), world)
    told = SiteLossOptions(seed=seed, fault=fault, load=load)
    steps = schedule(fault, seed, list(SITES[:3]), ["planner-1", "planner-2", "planner-3"], told.outage_span)
    spans = schedule_spans(told, steps)
    zero = BEGIN + spans["before"][1]
    script = [Step(zero + one.at, WORDS.get(one.action, one.action), one.target, one.value) for one in steps]
    played = World(sources.setting, seed)
    played.run(script, BEGIN + spans["after"][1] + 20_000)
    return {
        "service": {name: played.service((BEGIN + a, BEGIN + b)) for name, (a, b) in spans.items()},
        "attempts": {name: played.attempts((BEGIN + a, BEGIN + b)) for name, (a, b) in spans.items()},
    }


def main():
    words = argparse.ArgumentParser()
    words.add_argument("--at-a-time", type=int, default=3)
    words.add_argument("--out", type=Path, required=True)
    words.add_argument("--again", action="store_true", help="the model alone, against what was played before")
    told = words.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    for at in range(0, len(DAYS) if not told.again else 0, told.at_a_time):
        for one in [start(day, told.out) for day in DAYS[at : at + told.at_a_time]]:
            one.wait(240)
    near = parts = 0
    for day in DAYS:
        fault, load, _ = day
        real = json.loads((told.out / f"{fault}-{load}.json").read_text())
        made = model(day, told.out)
        row = []
        for name in ("before", "during", "back", "after"):
            there = real["after"] if name == "after" else real["service"][name]
            off = made["service"][name] - there
            near, parts = near + (abs(off) <= NEAR), parts + 1
            row.append(f"{name} {there:.3f} {made['service'][name]:.3f} ({off:+.3f})")
        tries = " ".join(
            f"{name} {real['attempts_each'][name]:.2f} {made['attempts'][name]:.2f}"
            for name in ("before", "during", "after")
        )
        print(f"{fault:18} {load:.1f}  {'; '.join(row)}; tries {tries}", flush=True)
    print(f"{near} of {parts} parts within {NEAR}")


if __name__ == "__main__":
    main()
