"""One real app server: `python -m birchslip`, told where it stands by `PROXY_CONFIG`."""

import gc
import os
import signal
import sys
import traceback

from .errors import InvalidInputError
from .net.program import Program
from .net.site import read_site


def join(program: Program, path: str) -> None:
    """The fleet's side is loaded where a fleet file is named, and nowhere else."""
    from .cluster.fleet_reader import read_fleet
    from .cluster.planner_link import PlannerLink

    site = program.site
    bond = PlannerLink(
        program.scheduler,
        program.counters,
        program.log,
        read_fleet(path),
        site.name,
        site.deployment,
        site.tenants,
        site.profiles,
    )
    program.attach_fleet_member(bond)


def keep(program: Program, path: str) -> None:
    """Kept results are loaded where a file names their folder, and nowhere else."""
    from .idempotency.result_store import ResultStore
    from .idempotency.settings_file import read_store_settings

    settings = read_store_settings(path)
    site = program.site
    request_classes = site.deployment.request_classes
    program.attach_result_store(
        ResultStore(program.scheduler, program.counters, program.log, settings, site.name, request_classes)
    )


def main() -> int:
    """Run the app server, or the command line if there are arguments; returns the exit code."""
    if len(sys.argv) > 1:
        from .cli import main as command

        return command()
    # Until the program listens for them: there is nothing to read again, and nothing to tell, yet.
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)
    try:
        site = read_site(os.environ)
        program = Program(site)
        if os.environ.get("BIRCHSLIP_FLEET"):
            join(program, os.environ["BIRCHSLIP_FLEET"])
        if os.environ.get("BIRCHSLIP_KEEP"):
            keep(program, os.environ["BIRCHSLIP_KEEP"])
    except (InvalidInputError, OSError) as trouble:
        print(f"birchslip: {trouble}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    try:
        program.run()
    except OSError as trouble:
        print(f"birchslip: {trouble}", file=sys.stderr)
        return 1
    except Exception:
        # One in a task or a transaction's stages is caught there: this one is the scheduler's own.
        print(f"birchslip: ended by a fault\n{traceback.format_exc()}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
