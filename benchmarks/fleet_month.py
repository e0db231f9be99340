"""Simulate a month of noise, pauses and restarts in virtual time; only a site that is down may be evacuated.

python benchmarks/fleet_month.py [DAYS] [SEED]
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.months import simulate_days

days, seed = float((sys.argv[1:] or ["30"])[0]), int((sys.argv[2:] or ["1"])[0])
started_at = time.monotonic()
print(days, "days, seed", seed, simulate_days(days, seed), f"{time.monotonic() - started_at:.0f} s")
