"""Measure the processor time of the emulator for 60 virtual seconds, by number of app servers.

    python benchmarks/model_size.py [LOAD] [COUNT ...]

Each app server has one core and gets LOAD of its capacity, 2.5 requests a second at 0.8. One in ten crashes
at 25 s and is started again at 35 s. There are no planners: `fleet_size.py` measures those.
"""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.admission.settings import SettingsReader, flatten, read_admission_settings
from birchslip.lab.model.clock import SECOND
from birchslip.lab.model.layout import Layout, RouterTold, Work
from birchslip.lab.model.world import Setting, Step, World

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "app-server.json"
DURATION = 60 * SECOND  # in tenths of a millisecond


def make_setting(count, load):
    """Return the settings of `count` app servers with one core each; `load` is a share of their capacity."""
    settings = json.loads(EXAMPLE.read_text())["settings"]
    settings["family_info"] |= {"cores": 1, "calls_out": 2.0}
    settings["group_size"] = count
    for tenant in settings["tenants"]:
        tenant["quota_per_s"] = count * 1.5
    deployment = read_admission_settings(1, SettingsReader(flatten(settings)))
    layout = Layout(
        profiles={
            "lookup": Work(share=0.7, work_ms=300.0),
            "order": Work(share=0.3, work_ms=367.0, calls=1.0),
        },
        routers=[RouterTold(number=n, site="here") for n in range(1, 1 + max(2, count // 30))],
        servers=count,
        load=load,
    )
    return Setting(deployment, ["lookup", "order"], ["blue", "green"], layout)


def main():
    """Print the processor time of each fleet size."""
    load = float((sys.argv[1:] or ["0.8"])[0])
    for count in [int(word) for word in sys.argv[2:]] or [30, 100, 300, 1_000]:
        world = World(make_setting(count, load), 1)
        lost = [server.name for server in world.servers[::10]]
        steps = [Step(25 * SECOND, "kill", name) for name in lost] + [
            Step(35 * SECOND, "start", name) for name in lost
        ]
        started_at = time.process_time()
        world.run(steps, DURATION)
        cpu_s = time.process_time() - started_at
        us_per_request = cpu_s / len(world.requests) * 1e6
        print(
            f"{count:5} app servers: {cpu_s:6.1f} s of CPU time for 60 virtual seconds, "
            f"{len(world.requests)} requests, {us_per_request:4.0f} us each; "
            f"service {world.service((0, DURATION)):.3f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
