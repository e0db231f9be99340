"""One app server on sockets: `python -m birchslip`, configured by the file that `PROXY_CONFIG` names."""

import gc
import os
import signal
import sys
import traceback

from .errors import InvalidInputError
from .net.program import Program
from .net.site import read_config


def attach_planner_link(program: Program, path: str) -> None:
    """Connect the app server to the planners that a fleet file lists.

    The fleet code is imported here, so that an app server without a fleet file does not load it.

    Raises:
        InvalidInputError: The fleet file is invalid, or does not list this app server.
        OSError: The fleet file can't be read.
    """
    from .cluster.fleet_reader import read_fleet
    from .cluster.planner_link import PlannerLink

    site = program.config
    planner_link = PlannerLink(
        program.scheduler,
        program.counters,
        program.log,
        read_fleet(path),
        site.name,
        site.settings,
        site.tenant_names,
        site.class_names,
    )
    program.attach_fleet_member(planner_link)


def attach_result_store(program: Program, path: str) -> None:
    """Open the result store that a settings file describes.

    The code of the store is imported here, so that an app server without such a file does not load it.

    Raises:
        InvalidInputError: The settings file is invalid, or the store can't be opened.
        OSError: The settings file can't be read.
    """
    from .idempotency.result_store import ResultStore
    from .idempotency.settings_file import read_store_settings

    settings = read_store_settings(path)
    site = program.config
    request_classes = site.settings.request_classes
    program.attach_result_store(
        ResultStore(program.scheduler, program.counters, program.log, settings, site.name, request_classes)
    )


def main() -> int:
    """Run the app server, or the command line if there are arguments; return the exit code.

    Exit codes of the app server: 0 it was stopped; 1 it failed after its set-up, for example because its
    address is in use; 2 its configuration, or a file that the configuration names, is invalid or unreadable.
    """
    if len(sys.argv) > 1:
        from .cli import main as command

        return command()
    # Ignored until the program installs its handlers: before that there is nothing to reload or report.
    for signal_number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(signal_number, signal.SIG_IGN)
    try:
        site = read_config(os.environ)
        program = Program(site)
        if os.environ.get("BIRCHSLIP_FLEET"):
            attach_planner_link(program, os.environ["BIRCHSLIP_FLEET"])
        if os.environ.get("BIRCHSLIP_KEEP"):
            attach_result_store(program, os.environ["BIRCHSLIP_KEEP"])
    except (InvalidInputError, OSError) as error:
        print(f"birchslip: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    try:
        program.run()
    except OSError as error:
        print(f"birchslip: {error}", file=sys.stderr)
        return 1
    except Exception:
        # Exceptions of tasks and request stages are caught earlier, so this one comes from the scheduler.
        print(f"birchslip: stopped by an unhandled exception\n{traceback.format_exc()}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
