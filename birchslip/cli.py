"""The command line: planners, the fleet file and operators' commands.

`python -m birchslip` without a command is the app server. Exit codes: 0 success; 1 a check failed or a
request was not granted; 2 the command could not be carried out. The doc comments of commands are their help
texts.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import time
from collections.abc import Callable, Collection, Iterable
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from .cluster.fleet_file import Fleet
from .cluster.fleet_reader import fleet_schema, read_fleet
from .cluster.messages import (
    EvictionOperation,
    EvictionRequest,
    OperatorCommand,
    OperatorOperation,
    encode,
)
from .cluster.release_file import read_release, release_schema
from .cluster.rollout_batches import find_unknown_part, plan_batches
from .cluster.rollout_messages import READ_ACTIONS, RolloutAction, RolloutCommand
from .cluster.rollout_types import RolloutSpec
from .errors import InvalidInputError
from .net.buffer import Buffer
from .net.message_reader import read_messages
from .net.messagepack import pack

PLANNER_TIMEOUT_S = 2.0  # to connect to one planner, and again to wait for its answer
FAULTS_HINT = "`lab faults` lists all"
MIN_DETECTED_FRACTION = 0.9  # of the changes that `expect mutate` makes to the settings
FLEET_OPTION = click.option(
    "--fleet", "path", type=click.Path(), envvar="BIRCHSLIP_FLEET", required=True, help="The fleet file."
)
REPORT_OPTION = click.option(
    "--json", "out", type=click.Path(path_type=Path), default=None, help="File for the report."
)
LOGS_OPTION = click.option(
    "--logs",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory in which to keep the processes' logs.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
Command = TypeVar("Command", bound=Callable[..., Any])


class CommandError(click.ClickException):
    """A command could not be carried out; the message is shown to the operator, and the exit code is 2."""

    exit_code = 2


def require_known(kind: str, name: str, known: Collection[str], hint: str = "") -> None:
    """Check the value of the option `--KIND`, which names one of `known`.

    Args:
        kind: What is named: the option without its dashes.
        name: The value of the option.
        known: The names that exist.
        hint: What the error says in place of the list of `known`.

    Raises:
        CommandError: The name is not among `known`.
    """
    if name not in known:
        expected = f"expected one of {', '.join(known)}"
        raise CommandError(f"--{kind}: no {kind} is named {name!r}; {hint or expected}")


def split_evenly(servers: int, sites: int) -> int:
    """Return the number of app servers per site.

    Raises:
        CommandError: The app servers can't be spread evenly.
    """
    if servers % sites:
        raise CommandError(f"--servers: {servers} app servers can't be spread evenly over {sites} sites")
    return servers // sites


def output_report(report: dict[str, Any], path: Path | None, summary_keys: Iterable[str]) -> None:
    """Print a scenario's report, or write it to a file and print only the `summary_keys`."""
    text = json.dumps(report, indent=2)
    if path is None:
        click.echo(text)
        return
    path.write_text(text + "\n")
    click.echo(json.dumps({key: report[key] for key in summary_keys}))


def load_fleet(path: str) -> Fleet:
    """Read and validate a fleet file.

    Raises:
        CommandError: The file cannot be read or is invalid.
    """
    try:
        return read_fleet(path)
    except (InvalidInputError, OSError) as error:
        raise CommandError(str(error)) from None


# By type of request, the method of the planner that handles it.
RPC_METHODS = {OperatorCommand: "wish", EvictionRequest: "want", RolloutCommand: "release"}


def call_planner(address: str, request: OperatorCommand | EvictionRequest | RolloutCommand) -> dict[str, Any]:
    """Send one request to the planner at `address` (HOST:PORT) and return its decoded answer.

    Raises:
        OSError: The planner cannot be reached, ends the connection or does not answer in time.
        ValueError: The planner refuses the request (`InvalidInputError`), or its answer is malformed.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), PLANNER_TIMEOUT_S) as connection:
        connection.settimeout(PLANNER_TIMEOUT_S)
        connection.sendall(pack([0, 1, RPC_METHODS[type(request)], [encode(request)]]))
        buffer = Buffer(1 << 22)
        give_up_at = time.monotonic() + PLANNER_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if not buffer.fill(connection):
                raise OSError("the planner closed the connection before it answered")
            messages, problem = read_messages(buffer)
            if problem:
                raise OSError(problem)
            for message in messages:
                _, _, error, result = message
                if error is not None:
                    raise InvalidInputError(str(error))
                answer: dict[str, Any] = json.loads(b"".join(result))
                return answer
        raise OSError(f"no complete answer within {PLANNER_TIMEOUT_S:g} s")


def call_leader(
    fleet: Fleet, request: OperatorCommand | EvictionRequest | RolloutCommand, planner_name: str = ""
) -> dict[str, Any]:
    """Send a request to the planners in turn and return an answer.

    For the status of the fleet, and the status and history of rollouts, the leader's answer is returned, or
    the first answer if no planner leads. For other requests the first answer that is not an error is
    returned: planners that do not lead refuse changes, but any planner answers `what-if`.

    Args:
        fleet: The fleet file, which lists the planners.
        request: The request to send.
        planner_name: The only planner to ask; empty for all of them.

    Raises:
        CommandError: No planner has this name, or none answers without an error.
    """
    if planner_name:
        require_known("planner", planner_name, [planner.name for planner in fleet.planners])
    planners = [planner for planner in fleet.planners if planner_name in ("", planner.name)]
    operation = request.action if isinstance(request, RolloutCommand) else request.operation
    shows_only = operation is OperatorOperation.SHOW or operation in READ_ACTIONS
    answers, errors = [], []
    for planner in planners:
        try:
            answer = call_planner(planner.address, request)
            if not shows_only or answer.get("leads") or planner_name:
                return answer
            answers.append(answer)
        except (OSError, ValueError) as error:
            errors.append(f"{planner.name} at {planner.address}: {error}")
    if answers:
        return answers[0]
    raise CommandError("no planner carried out the request:\n" + "\n".join(errors))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Run and operate birchslip: admission control for app servers, and the fleet around them."""


@cli.command()
@FLEET_OPTION
@click.option("--name", required=True, help="Name of this planner in the fleet file.")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    required=True,
    help="Directory for the state that must survive a restart.",
)
def planner(path: str, name: str, folder: Path) -> None:
    """Run one planner in the foreground until SIGTERM."""
    from .cluster.planner import run_planner

    try:
        run_planner(load_fleet(path), name, folder, path=path)
    except (InvalidInputError, OSError) as error:
        raise CommandError(str(error)) from None


@cli.group()
def fleet() -> None:
    """Check the fleet file, and show and change the running fleet."""


@fleet.command()
@click.argument("path", type=click.Path())
@JSON_OPTION
def check(path: str, as_json: bool) -> None:
    """Check a fleet file; print a line for each violation, and exit with code 2 if there is one."""
    loaded = load_fleet(path)
    members = sum(len(site.members) for site in loaded.sites)
    if as_json:
        click.echo(
            json.dumps({"planners": len(loaded.planners), "sites": len(loaded.sites), "members": members})
        )
    else:
        click.echo(f"good: {len(loaded.planners)} planners, {len(loaded.sites)} sites, {members} members")


@fleet.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of the fleet file."""
    click.echo(json.dumps(fleet_schema(), indent=2))


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.option("--planner", "name", default="", help="Ask this planner instead of the leader.")
def show(path: str, as_json: bool, name: str) -> None:
    """Show the members, the sites and why they are in their stage, and the leader's epoch and plan."""
    answer = call_leader(load_fleet(path), OperatorCommand(operation=OperatorOperation.SHOW), name)
    if as_json:
        click.echo(json.dumps(answer))
        return
    from .cluster.tables import show_fleet

    show_fleet(answer)


@fleet.command("what-if")
@FLEET_OPTION
@JSON_OPTION
@click.option("--lose", required=True, help="The site that is lost.")
def show_site_loss(path: str, as_json: bool, lose: str) -> None:
    """Show what the loss of a site would mean now; exit code 1 if capacity or vault calls would be short."""
    answer = call_leader(load_fleet(path), OperatorCommand(operation=OperatorOperation.WHAT_IF, site=lose))
    if as_json:
        click.echo(json.dumps(answer))
    else:
        from .cluster.tables import show_loss

        show_loss(answer)
    if answer["short_by"] > 0 or answer.get("vault", {}).get("short_by", 0) > 0:
        raise SystemExit(1)


def submit_site_command(path: str, as_json: bool, command: OperatorCommand) -> None:
    """Submit an operator's command for a site and print the outcome; exit with code 1 if nothing changed."""
    answer = call_leader(load_fleet(path), command)
    outcome = "done" if answer["done"] else "nothing to do"
    click.echo(json.dumps(answer) if as_json else f"{command.operation} {command.site}: {outcome}")
    if not answer["done"]:
        raise SystemExit(1)


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.argument("site")
@click.option("--who", required=True)
@click.option("--why", required=True)
def evacuate(path: str, as_json: bool, site: str, who: str, why: str) -> None:
    """Evacuate a site by hand: its load goes elsewhere until the site is let back by `return`."""
    submit_site_command(
        path,
        as_json,
        OperatorCommand(operation=OperatorOperation.EVACUATE, site=site, operator=who, reason=why),
    )


@fleet.command("return")
@FLEET_OPTION
@JSON_OPTION
@click.argument("site")
@click.option("--who", required=True)
def return_site(path: str, as_json: bool, site: str, who: str) -> None:
    """Let a site back that was evacuated by hand; it recovers in the usual steps."""
    submit_site_command(
        path, as_json, OperatorCommand(operation=OperatorOperation.RESTORE, site=site, operator=who)
    )


def submit_eviction_request(path: str, as_json: bool, request: EvictionRequest) -> None:
    """Submit a request about an eviction permit and print the answer; exit with code 1 if not granted."""
    answer = call_leader(load_fleet(path), request)
    if as_json:
        click.echo(json.dumps(answer))
    elif answer["granted"]:
        click.echo(
            f"{request.operation} {request.holder}: granted"
            + (f", permit {answer['number']}" if answer["number"] else "")
        )
    else:
        position = f", place {answer['place']}" if answer["place"] else ""
        click.echo(f"{request.operation} {request.holder}: not granted{position}: {answer['why']}")
    if not answer["granted"]:
        raise SystemExit(1)


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.argument("member")
@click.option("--why", required=True)
@click.option("--past", is_flag=True, help="Go past the budgets, by an override that is in force.")
def permit(path: str, as_json: bool, member: str, why: str, past: bool) -> None:
    """Request a permit for a member to be out; asking again keeps its place, or returns the same permit."""
    operation = EvictionOperation.BYPASS_BUDGET if past else EvictionOperation.REQUEST_PERMIT
    submit_eviction_request(path, as_json, EvictionRequest(operation=operation, holder=member, reason=why))


@fleet.command("hand-back")
@FLEET_OPTION
@JSON_OPTION
@click.argument("member")
def hand_back(path: str, as_json: bool, member: str) -> None:
    """Hand back the unused permit of a member that has not gone out.

    The permit of a member that is out ends by itself when the member is back.
    """
    submit_eviction_request(
        path, as_json, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=member)
    )


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.argument("member")
@click.option("--who", required=True)
def strike(path: str, as_json: bool, member: str, who: str) -> None:
    """End the permit, or the waiting request, of a member that will not come back."""
    submit_eviction_request(
        path, as_json, EvictionRequest(operation=EvictionOperation.REVOKE_PERMIT, holder=member, operator=who)
    )


@fleet.command()
@FLEET_OPTION
@JSON_OPTION
@click.option("--who", required=True)
@click.option("--why", required=True)
@click.option("--count", type=click.IntRange(1, 3), default=1, show_default=True)
@click.option("--minutes", type=click.IntRange(1, 60), default=10, show_default=True)
def override(path: str, as_json: bool, who: str, why: str, count: int, minutes: int) -> None:
    """Allow --count members to be out past the budgets, in an emergency; the audit log records it."""
    override_span = minutes * 60 * 10_000  # in tenths of a millisecond
    submit_eviction_request(
        path,
        as_json,
        EvictionRequest(
            operation=EvictionOperation.GRANT_OVERRIDE,
            operator=who,
            reason=why,
            count=count,
            span=override_span,
        ),
    )


@cli.group()
def release() -> None:
    """Release a version through the fleet, within its budgets: start, watch, halt or take back."""


@release.command("check")
@FLEET_OPTION
@JSON_OPTION
@click.argument("file", type=click.Path())
def check_release(path: str, as_json: bool, file: str) -> None:
    """Check a release file against the fleet file, and print the members of each batch; start nothing."""
    spec, scopes = load_release(file), load_fleet(path).rollout_scopes()
    unknown_part = find_unknown_part(spec, scopes)
    if unknown_part:
        raise CommandError(f"{file}: {unknown_part}")
    batches = plan_batches(spec, scopes)
    if as_json:
        click.echo(json.dumps({"batches": batches}))
    else:
        for index, batch in enumerate(batches):
            click.echo(f"{'canaries' if not index else f'batch {index}'}: {', '.join(batch)}")


@release.command("schema")
def print_release_schema() -> None:
    """Print the JSON Schema of a release file."""
    click.echo(json.dumps(release_schema(), indent=2))


def load_release(file: str) -> RolloutSpec:
    """Read and check a release file.

    Raises:
        CommandError: The file cannot be read or is invalid.
    """
    try:
        return read_release(file)
    except (InvalidInputError, OSError) as error:
        raise CommandError(str(error)) from None


def submit_rollout_command(path: str, as_json: bool, command: RolloutCommand) -> None:
    """Submit a rollout command and print the outcome; exit with code 1 if it was refused."""
    answer = call_leader(load_fleet(path), command)
    if as_json:
        click.echo(json.dumps(answer))
    else:
        number = f" {answer['number']}" if answer["number"] else ""
        click.echo(
            f"{command.action.value}{number}: done"
            if answer["done"]
            else f"{command.action.value}{number}: refused: {answer['why']}"
        )
    if not answer["done"]:
        raise SystemExit(1)


NUMBER_OPTION = click.option(
    "--number", type=int, default=0, help="Number of the release, if there are several."
)
OPERATOR_OPTION = click.option("--who", required=True)


@release.command("start")
@FLEET_OPTION
@JSON_OPTION
@OPERATOR_OPTION
@click.argument("file", type=click.Path())
def start_release(path: str, as_json: bool, who: str, file: str) -> None:
    """Start a release; whatever would stop it later is checked before the first drain."""
    submit_rollout_command(
        path, as_json, RolloutCommand(action=RolloutAction.START, operator=who, spec=load_release(file))
    )


@release.command()
@FLEET_OPTION
@JSON_OPTION
@NUMBER_OPTION
@OPERATOR_OPTION
@click.option("--why", default="")
def halt(path: str, as_json: bool, number: int, who: str, why: str) -> None:
    """Halt a release, so that no further drain begins; without --number, halt all that run."""
    submit_rollout_command(
        path, as_json, RolloutCommand(action=RolloutAction.HALT, number=number, operator=who, reason=why)
    )


@release.command()
@FLEET_OPTION
@JSON_OPTION
@NUMBER_OPTION
@OPERATOR_OPTION
def resume(path: str, as_json: bool, number: int, who: str) -> None:
    """Resume a halted release, unless its version was found bad."""
    submit_rollout_command(
        path, as_json, RolloutCommand(action=RolloutAction.RESUME, number=number, operator=who)
    )


@release.command()
@FLEET_OPTION
@JSON_OPTION
@NUMBER_OPTION
@OPERATOR_OPTION
def back(path: str, as_json: bool, number: int, who: str) -> None:
    """Take every released member back to the previous version, the newest batch first."""
    submit_rollout_command(
        path, as_json, RolloutCommand(action=RolloutAction.ROLL_BACK, number=number, operator=who)
    )


@release.command()
@FLEET_OPTION
@JSON_OPTION
@NUMBER_OPTION
@click.option(
    "--follow",
    is_flag=True,
    help="Show changes until no release runs; exit code 1 unless all are done or back.",
)
def status(path: str, as_json: bool, number: int, follow: bool) -> None:
    """Show the phase of each release, what it waits for, and the figures by which it is judged."""
    loaded = load_fleet(path)
    command = RolloutCommand(action=RolloutAction.STATUS, number=number)
    if follow:
        from .cluster.tables import follow_rollouts

        phases = follow_rollouts(lambda: call_leader(loaded, command)["releases"], as_json)
        raise SystemExit(0 if set(phases) <= {"done", "back"} else 1)
    answer = call_leader(loaded, command)
    if as_json:
        click.echo(json.dumps(answer))
    else:
        from .cluster.tables import show_rollouts

        show_rollouts(answer["releases"])


@release.command()
@FLEET_OPTION
@JSON_OPTION
@NUMBER_OPTION
def history(path: str, as_json: bool, number: int) -> None:
    """Print the history of each release, one line for each event since its start."""
    answer = call_leader(load_fleet(path), RolloutCommand(action=RolloutAction.HISTORY, number=number))
    if as_json:
        click.echo(json.dumps(answer))
        return
    for rollout in reversed(answer["releases"]):
        click.echo(f"release {rollout['number']} of {rollout['version']}: {rollout['phase']}")
        for line in rollout["history"]:
            click.echo(f"  {line}")


@cli.group()
def keep() -> None:
    """Examine and compact a result store, which holds the results of requests with an idempotency key."""


FOLDER_ARGUMENT = click.argument("folder", type=click.Path(path_type=Path))


def print_store_report(operation: Callable[[], msgspec.Struct], as_json: bool) -> dict[str, Any]:
    """Run an operation on a result store, print its report and return it as a dictionary.

    Raises:
        CommandError: The store cannot be read, or a program uses it and the operation does not allow that.
    """
    try:
        report: dict[str, Any] = msgspec.to_builtins(operation())
    except (ValueError, OSError) as error:
        raise CommandError(str(error)) from None
    if as_json:
        click.echo(json.dumps(report))
    else:
        for name, value in report.items():
            click.echo(f"{name:14} {value}")
    return report


def unix_time_now() -> int:
    """Return the time since the Unix epoch, in tenths of a millisecond."""
    return time.time_ns() // 100_000


@keep.command("show")
@FOLDER_ARGUMENT
@JSON_OPTION
def show_kept(folder: Path, as_json: bool) -> None:
    """Show the keys, expiries, size and damaged records of a store; also while a program uses it."""
    from .idempotency.maintenance import show_store

    print_store_report(lambda: show_store(folder, unix_time_now()), as_json)


@keep.command("verify")
@FOLDER_ARGUMENT
@JSON_OPTION
def verify_kept(folder: Path, as_json: bool) -> None:
    """Read every record of a store; exit code 1 if a record or the header of a file is damaged."""
    from .idempotency.maintenance import verify_store

    report = print_store_report(lambda: verify_store(folder), as_json)
    if report["troubles"] or not report["heads"]:
        raise SystemExit(1)


@keep.command("compact")
@FOLDER_ARGUMENT
@JSON_OPTION
def compact_kept(folder: Path, as_json: bool) -> None:
    """Write the records that have not expired to one file; only while no program uses the store."""
    from .idempotency.maintenance import compact_store

    print_store_report(lambda: compact_store(folder, unix_time_now()), as_json)


@keep.command("schema")
def print_keep_schema() -> None:
    """Print the JSON Schema of the settings file of a store."""
    from .idempotency.settings_file import store_settings_schema

    click.echo(json.dumps(store_settings_schema(), indent=2))


@cli.group()
def expect() -> None:
    """Check expectations of routing, which stand in files beside the configuration, without any traffic."""


PATHS_ARGUMENT = click.argument("paths", nargs=-1, type=click.Path())  # default: the current folder
SEED_OPTION = click.option("--seed", type=int, default=1, show_default=True)


def with_source_options(command: Command) -> Command:
    """Add the options that name the files against which expectations are checked."""
    for option in (
        click.option(
            "--world",
            type=click.Path(),
            default=None,
            help="World file: routers, costs of requests, downstream service.",
        ),
        click.option("--fleet", type=click.Path(), envvar="BIRCHSLIP_FLEET", default=None),
        click.option("--config", type=click.Path(), envvar="PROXY_CONFIG", required=True),
    ):
        command = option(command)
    return command


def read_expectations(paths: tuple[str, ...], config: str, fleet: str | None, world: str | None) -> Any:
    """Return the sources, the statements, and the names of the files without statements, as a tuple.

    Raises:
        CommandError: A file cannot be read or is invalid.
    """
    from .expect.check import read_statements
    from .expect.sources import read_sources

    try:
        sources = read_sources(config, fleet, world)
        return sources, *read_statements(paths or (".",), sources)
    except (InvalidInputError, OSError) as error:
        raise CommandError(str(error)) from None


@expect.command("check")
@PATHS_ARGUMENT
@with_source_options
@SEED_OPTION
@click.option(
    "--seeds",
    type=click.IntRange(1, 64),
    default=3,
    show_default=True,
    help="Scenario runs of each situation.",
)
@click.option(
    "--jobs", type=click.IntRange(0, 64), default=0, help="Scenario runs at a time; 0 for one for each core."
)
@click.option(
    "--no-search", is_flag=True, help="Skip the search for histories and settings that explain failures."
)
@click.option(
    "--junit", type=click.Path(path_type=Path), default=None, help="File for a report in JUnit XML, for CI."
)
@REPORT_OPTION
def check_expectations(
    paths: tuple[str, ...],
    config: str,
    fleet: str | None,
    world: str | None,
    seed: int,
    seeds: int,
    jobs: int,
    no_search: bool,
    junit: Path | None,
    out: Path | None,
) -> None:
    """Check whether all expectations hold; exit code 1 if one fails, 2 if one can't be decided."""
    from .expect.check import Check
    from .expect.report import junit as as_junit
    from .expect.report import report_lines, to_json_text

    sources, statements, empty = read_expectations(paths, config, fleet, world)
    checking = Check(sources, statements, seed, seeds, search=not no_search, jobs=jobs)
    checking.report.empty = empty
    report = checking.run()
    for line in report_lines(report):
        click.echo(line)
    if junit is not None:
        junit.write_bytes(as_junit(report))
    if out is not None:
        out.write_text(to_json_text(report) + "\n")
    raise SystemExit(report.exit_code)


@expect.command("list")
@PATHS_ARGUMENT
@with_source_options
def list_expectations(paths: tuple[str, ...], config: str, fleet: str | None, world: str | None) -> None:
    """List every statement with its place in the files, as it was understood."""
    _, statements, empty = read_expectations(paths, config, fleet, world)
    for statement in statements:
        click.echo(f"{statement.name:28} {statement.location.describe()}: {statement.describe()}")
    for name in empty:
        click.echo(f"{name}: the file holds no statement")


@expect.command("explain")
@click.argument("name")
@PATHS_ARGUMENT
@with_source_options
@SEED_OPTION
def explain_expectation(
    name: str, paths: tuple[str, ...], config: str, fleet: str | None, world: str | None, seed: int
) -> None:
    """Explain the verdict on one statement: what it measures, what was run, and with which result."""
    from .expect.check import Check
    from .expect.report import explain_statement

    sources, statements, _ = read_expectations(paths, config, fleet, world)
    matching = [statement for statement in statements if statement.name == name]
    if not matching:
        from difflib import get_close_matches

        close_names = get_close_matches(name, [statement.name for statement in statements], 1, 0.5)
        raise CommandError(
            f"no statement is named {name!r}" + (f", was {close_names[0]!r} meant?" if close_names else "")
        )
    report = Check(sources, matching, seed).run()
    for line in explain_statement(matching[0], report, sources):
        click.echo(line)
    raise SystemExit(report.exit_code)


@expect.command("mutate")
@PATHS_ARGUMENT
@with_source_options
@SEED_OPTION
@click.option("--seeds", type=click.IntRange(1, 64), default=1, show_default=True)
@REPORT_OPTION
def mutate_settings(
    paths: tuple[str, ...],
    config: str,
    fleet: str | None,
    world: str | None,
    seed: int,
    seeds: int,
    out: Path | None,
) -> None:
    """Break the settings one value at a time; exit code 1 if expectations see under nine in ten breaks."""
    from .expect.mutate import mutate

    sources, statements, _ = read_expectations(paths, config, fleet, world)

    def print_mutation(mutation: Any) -> None:
        detector = f": {mutation.detected_by}" if mutation.detected_by else ""
        verdict = "seen" if mutation.is_detected else "NOT "
        click.echo(
            f"{verdict}  {mutation.path_label}: {mutation.change.old} -> {mutation.change.new}: "
            f"{mutation.detection.value}{detector}"
        )

    mutations = mutate(sources, statements, seed, seeds, print_mutation)
    seen = sum(1 for mutation in mutations if mutation.is_detected)
    click.echo(f"{seen} of {len(mutations)} breaks are seen")
    if out is not None:
        rows = [
            {
                "place": mutation.path_label,
                "was": mutation.change.old,
                "then": mutation.change.new,
                "seen": mutation.detection.value,
                "by": mutation.detected_by,
            }
            for mutation in mutations
        ]
        out.write_text(json.dumps({"breaks": rows, "seen": seen, "of": len(mutations)}, indent=2) + "\n")
    if seen < MIN_DETECTED_FRACTION * len(mutations):
        raise SystemExit(1)


@expect.command("schema")
def print_world_schema() -> None:
    """Print the JSON Schema of a world file."""
    from .lab.model.layout import layout_schema

    click.echo(json.dumps(layout_schema(), indent=2))


@cli.group()
def lab() -> None:
    """Run scenarios in the testbed: real processes among stand-ins, with injected faults."""


@lab.command("faults")
@JSON_OPTION
def faults(as_json: bool) -> None:
    """List the names that --fault takes, by scenario."""
    from .lab.faults import FAULTS
    from .lab.kept_play import FAULTS as KEPT_FAULTS
    from .lab.release_faults import FAULTS as RELEASE_FAULTS

    faults_by_scenario = {"site-loss": FAULTS, "release": RELEASE_FAULTS, "kept": KEPT_FAULTS}
    if as_json:
        click.echo(json.dumps(faults_by_scenario))
        return
    for scenario, descriptions in faults_by_scenario.items():
        for name, description in descriptions.items():
            click.echo(f"{scenario:10} {name:24} {description}")


@lab.command("stand")
@click.option("--servers", type=click.IntRange(4, 96), default=6, show_default=True)
@click.option("--version", default="good", show_default=True, help="Behaviour of the new version.")
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=0.5, show_default=True)
@click.option("--minutes", type=click.FloatRange(0.1, 120), default=10, show_default=True)
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    required=True,
    help="Directory for logs and files, which are kept.",
)
def run_interactive_fleet(servers: int, version: str, load: float, minutes: float, folder: Path) -> None:
    """Run a small fleet among stand-ins, for releases by hand from another shell."""
    from .lab.release_play import ReleaseOptions, run_interactive
    from .lab.versions import FAULT_KINDS

    require_known("version", version, FAULT_KINDS)
    each = split_evenly(servers, 2)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    options = ReleaseOptions(seed=1, sites=2, each=each, load=load, version=version, fault="none")
    run_interactive(options, folder, minutes, click.echo)


@lab.group()
def play() -> None:
    """Run a scenario: a schedule of faults among real processes."""
    # Exiting by SystemExit runs the cleanup that ends the child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))


@play.command("site-loss")
@click.option("--seed", type=int, required=True)
@click.option("--sites", type=click.IntRange(2, 9), default=3, show_default=True)
@click.option(
    "--each", type=click.IntRange(1, 32), default=4, show_default=True, help="App servers per site."
)
@click.option("--planners", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=0.9, show_default=True)
@click.option("--fault", default="kill", show_default=True)
@REPORT_OPTION
@LOGS_OPTION
@click.option(
    "--alone/--with-single-level",
    "alone",
    default=False,
    help="Skip the run for comparison, without planners.",
)
@click.option(
    "--pace",
    type=click.FloatRange(0.3, 4.0),
    default=1.0,
    help="Factor on the lengths of the schedule's parts.",
)
def run_site_loss_scenario(**options: Any) -> None:
    """Lose a site and let it return; exit code 1 if a rule is broken or a process has died."""
    from .lab.faults import FAULTS
    from .lab.site_loss import SiteLossOptions, run_site_loss

    require_known("fault", options["fault"], FAULTS, FAULTS_HINT)
    report_path = options.pop("out")
    report = run_site_loss(SiteLossOptions(**options))
    output_report(report, report_path, ("rules", "service", "dead"))
    if any(report["rules"].values()) or report["dead"]:
        raise SystemExit(1)


@play.command("release")
@click.option("--seed", type=int, required=True)
@click.option("--servers", type=click.IntRange(4, 96), default=24, show_default=True)
@click.option("--sites", type=click.IntRange(2, 9), default=3, show_default=True)
@click.option("--planners", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=1.0, show_default=True)
@click.option("--version", default="good", show_default=True, help="Behaviour of the new version.")
@click.option("--fault", default="none", show_default=True)
@REPORT_OPTION
@LOGS_OPTION
@click.option(
    "--alone/--with-comparison",
    "alone",
    default=False,
    help="Skip the run for comparison, without a release.",
)
@click.option("--margins", type=click.FloatRange(0.1, 20), default=1.0, help="Factor on the usual margins.")
def run_release_scenario(**options: Any) -> None:
    """Release a version through the fleet; exit code 1 if a rule or a budget is broken, or it is stuck."""
    from .lab.release_faults import FAULTS
    from .lab.release_play import ReleaseOptions, run_release
    from .lab.versions import FAULT_KINDS

    require_known("fault", options["fault"], FAULTS, FAULTS_HINT)
    require_known("version", options["version"], FAULT_KINDS)
    each = split_evenly(options.pop("servers"), options["sites"])
    report_path = options.pop("out")
    report = run_release(ReleaseOptions(each=each, **options))
    summary_keys = ("ended", "why", "halt_s", "exposed", "service", "took_s", "least_s", "broken")
    output_report(report, report_path, summary_keys)
    if report["broken"]:
        raise SystemExit(1)


@play.command("kept")
@click.option("--seed", type=int, required=True)
@click.option("--labels", type=click.IntRange(10, 1_000_000), default=10_000, show_default=True)
@click.option("--kills", type=click.IntRange(0, 100_000), default=200, show_default=True)
@click.option("--fault", default="none", show_default=True)
@REPORT_OPTION
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    default=None,
    help="Directory in which to keep the store and logs.",
)
@click.option(
    "--alone/--with-comparison", "alone", default=False, help="Skip the run for comparison, without a store."
)
def run_kept_scenario(**options: Any) -> None:
    """Send labelled requests to an app server that is killed repeatedly; exit code 1 if a rule is broken."""
    from .lab.kept_play import FAULTS, ResultStoreOptions, run_result_store_scenario

    require_known("fault", options["fault"], FAULTS)
    report_path = options.pop("out")
    report = run_result_store_scenario(
        ResultStoreOptions(sites=1, each=1, planners=0, fleet=False, **options)
    )
    summary_keys = ("labels", "kills", "double_runs", "unanswered", "first_answer_again", "unknown", "broken")
    output_report(report, report_path, summary_keys)
    if report["broken"]:
        raise SystemExit(1)


def main() -> int:
    """Run the command line and return the exit code."""
    try:
        cli.main(prog_name="python -m birchslip", standalone_mode=False)
    except click.ClickException as error:
        error.show(sys.stderr)
        return 2 if isinstance(error, click.UsageError) else error.exit_code
    except (click.Abort, KeyboardInterrupt):
        return 2
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0
