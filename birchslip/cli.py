"""The command line: planners, the fleet file, operators' wishes. `python -m birchslip` alone is the app
server.

Exit codes: 0 good, 1 it did not hold, 2 it could not be asked.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import time
from collections.abc import Callable
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
from .net.clients import read_messages
from .net.messagepack import pack

PATIENCE = 2.0  # seconds for one planner
FLEET = click.option(
    "--fleet", "path", type=click.Path(), envvar="BIRCHSLIP_FLEET", required=True, help="The fleet file."
)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
Command = TypeVar("Command", bound=Callable[..., Any])


class NotAsked(click.ClickException):
    """It could not be asked, or not be started."""

    exit_code = 2


def fleet_of(path: str) -> Fleet:
    try:
        return read_fleet(path)
    except (InvalidInputError, OSError) as trouble:
        raise NotAsked(str(trouble)) from None


METHODS = {OperatorCommand: "wish", EvictionRequest: "want", RolloutCommand: "release"}


def ask(address: str, wish: OperatorCommand | EvictionRequest | RolloutCommand) -> Any:
    """One question to one planner; OSError or Malformed says why there is no answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), PATIENCE) as link:
        link.settimeout(PATIENCE)
        link.sendall(pack([0, 1, METHODS[type(wish)], [encode(wish)]]))
        buffer = Buffer(1 << 22)
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            if not buffer.fill(link):
                raise OSError("ended by the planner")
            read, trouble = read_messages(buffer)
            if trouble:
                raise OSError(trouble)
            for message in read:
                _, _, error, result = message
                if error is not None:
                    raise InvalidInputError(str(error))
                return json.loads(b"".join(result))
        raise OSError("no answer in time")


def ask_any(fleet: Fleet, wish: OperatorCommand | EvictionRequest | RolloutCommand, planner: str = "") -> Any:
    """The leader where it can be found, else whoever answers; wishes that change something want the
    leader.
    """
    planners = [one for one in fleet.planners if planner in ("", one.name)]
    if not planners:
        raise NotAsked(f"no planner is named {planner!r}")
    operation = wish.action if isinstance(wish, RolloutCommand) else wish.operation
    shows_only = operation is OperatorOperation.SHOW or operation in READ_ACTIONS
    answers, troubles = [], []
    for one in planners:
        try:
            answer = ask(one.address, wish)
            if not shows_only or answer.get("leads") or planner:
                return answer
            answers.append(answer)
        except (OSError, ValueError) as trouble:
            troubles.append(f"{one.name} at {one.address}: {trouble}")
    if answers:
        return answers[0]
    raise NotAsked("no planner could be asked\n" + "\n".join(troubles))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """birchslip: admission for app servers, and the fleet around them."""


@cli.command()
@FLEET
@click.option("--name", required=True, help="Which planner of the fleet file this is.")
@click.option("--folder", type=click.Path(path_type=Path), required=True, help="For what must survive.")
def planner(path: str, name: str, folder: Path) -> None:
    """Run one planner in the foreground until SIGTERM."""
    from .cluster.planner import run_planner

    try:
        run_planner(fleet_of(path), name, folder, path=path)
    except (InvalidInputError, OSError) as trouble:
        raise NotAsked(str(trouble)) from None


@cli.group()
def fleet() -> None:
    """The fleet file, and the fleet as it is."""


@fleet.command()
@click.argument("path", type=click.Path())
@AS_JSON
def check(path: str, as_json: bool) -> None:
    """Check a fleet file whole; a line for each trouble and exit code 2."""
    told = fleet_of(path)
    members = sum(len(site.members) for site in told.sites)
    if as_json:
        click.echo(json.dumps({"planners": len(told.planners), "sites": len(told.sites), "members": members}))
    else:
        click.echo(f"good: {len(told.planners)} planners, {len(told.sites)} sites, {members} members")


@fleet.command("schema")
def print_schema() -> None:
    """The JSON Schema of the fleet file."""
    click.echo(json.dumps(fleet_schema(), indent=2))


@fleet.command()
@FLEET
@AS_JSON
@click.option("--planner", "name", default="", help="Ask this one; else the leader.")
def show(path: str, as_json: bool, name: str) -> None:
    """Members, sites, epoch, the plan in force and why."""
    told = ask_any(fleet_of(path), OperatorCommand(operation=OperatorOperation.SHOW), name)
    if as_json:
        click.echo(json.dumps(told))
        return
    from .cluster.tables import show_fleet

    show_fleet(told)


@fleet.command("what-if")
@FLEET
@AS_JSON
@click.option("--lose", required=True, help="The site that is lost.")
def foresee(path: str, as_json: bool, lose: str) -> None:
    """What the loss of a site would mean today; exit code 1 where load would be refused."""
    told = ask_any(fleet_of(path), OperatorCommand(operation=OperatorOperation.WHAT_IF, site=lose))
    if as_json:
        click.echo(json.dumps(told))
    else:
        from .cluster.tables import show_loss

        show_loss(told)
    if told["short_by"] > 0 or told.get("vault", {}).get("short_by", 0) > 0:
        raise SystemExit(1)


def by_hand(path: str, as_json: bool, wish: OperatorCommand) -> None:
    told = ask_any(fleet_of(path), wish)
    done = "done" if told["done"] else "nothing to do"
    click.echo(json.dumps(told) if as_json else f"{wish.operation} {wish.site}: {done}")
    if not told["done"]:
        raise SystemExit(1)


@fleet.command()
@FLEET
@AS_JSON
@click.argument("site")
@click.option("--who", required=True)
@click.option("--why", required=True)
def evacuate(path: str, as_json: bool, site: str, who: str, why: str) -> None:
    """Send a site's load elsewhere by hand; only `return` lets it back."""
    by_hand(
        path,
        as_json,
        OperatorCommand(operation=OperatorOperation.EVACUATE, site=site, operator=who, reason=why),
    )


@fleet.command("return")
@FLEET
@AS_JSON
@click.argument("site")
@click.option("--who", required=True)
def give_back(path: str, as_json: bool, site: str, who: str) -> None:
    """Let a site back that was evacuated by hand, in the usual steps."""
    by_hand(path, as_json, OperatorCommand(operation=OperatorOperation.RESTORE, site=site, operator=who))


def wanted(path: str, as_json: bool, want: EvictionRequest) -> None:
    """Exit code 1 where it is not granted."""
    told = ask_any(fleet_of(path), want)
    if as_json:
        click.echo(json.dumps(told))
    elif told["granted"]:
        click.echo(
            f"{want.operation} {want.holder}: granted"
            + (f", permit {told['number']}" if told["number"] else "")
        )
    else:
        place = f", place {told['place']}" if told["place"] else ""
        click.echo(f"{want.operation} {want.holder}: not granted{place}: {told['why']}")
    if not told["granted"]:
        raise SystemExit(1)


@fleet.command()
@FLEET
@AS_JSON
@click.argument("member")
@click.option("--why", required=True)
@click.option("--past", is_flag=True, help="Past the budgets, by an override that stands.")
def permit(path: str, as_json: bool, member: str, why: str, past: bool) -> None:
    """Ask that a member may be out; asking again keeps its place, or tells of the same permit."""
    operation = EvictionOperation.BYPASS_BUDGET if past else EvictionOperation.REQUEST_PERMIT
    wanted(path, as_json, EvictionRequest(operation=operation, holder=member, reason=why))


@fleet.command("hand-back")
@FLEET
@AS_JSON
@click.argument("member")
def hand_back(path: str, as_json: bool, member: str) -> None:
    """A member that has not gone out will not go; one that has is seen back by itself."""
    wanted(path, as_json, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=member))


@fleet.command()
@FLEET
@AS_JSON
@click.argument("member")
@click.option("--who", required=True)
def strike(path: str, as_json: bool, member: str, who: str) -> None:
    """A member will not come back: its permit ends."""
    wanted(
        path, as_json, EvictionRequest(operation=EvictionOperation.REVOKE_PERMIT, holder=member, operator=who)
    )


@fleet.command()
@FLEET
@AS_JSON
@click.option("--who", required=True)
@click.option("--why", required=True)
@click.option("--count", type=click.IntRange(1, 3), default=1, show_default=True)
@click.option("--minutes", type=click.IntRange(1, 60), default=10, show_default=True)
def override(path: str, as_json: bool, who: str, why: str, count: int, minutes: int) -> None:
    """In an emergency: let so many out past the budgets. It stands in the record."""
    span = minutes * 60 * 10_000
    wanted(
        path,
        as_json,
        EvictionRequest(
            operation=EvictionOperation.GRANT_OVERRIDE, operator=who, reason=why, count=count, span=span
        ),
    )


@cli.group()
def release() -> None:
    """A release through the fleet, within its budgets: begun, watched, halted, taken back."""


@release.command("check")
@FLEET
@AS_JSON
@click.argument("file", type=click.Path())
def check_release(path: str, as_json: bool, file: str) -> None:
    """Check a release file against the fleet file, and say who goes when; nothing is begun."""
    plan, parts = plan_of(file), fleet_of(path).rollout_scopes()
    stranger = find_unknown_part(plan, parts)
    if stranger:
        raise NotAsked(f"{file}: {stranger}")
    batches = plan_batches(plan, parts)
    if as_json:
        click.echo(json.dumps({"batches": batches}))
    else:
        for place, batch in enumerate(batches):
            click.echo(f"{'canaries' if not place else f'batch {place}'}: {', '.join(batch)}")


@release.command("schema")
def print_release_schema() -> None:
    """The JSON Schema of a release file."""
    click.echo(json.dumps(release_schema(), indent=2))


def plan_of(file: str) -> RolloutSpec:
    try:
        return read_release(file)
    except (InvalidInputError, OSError) as trouble:
        raise NotAsked(str(trouble)) from None


def word(path: str, as_json: bool, told: RolloutCommand) -> None:
    """Exit code 1 where nothing came of it."""
    said = ask_any(fleet_of(path), told)
    if as_json:
        click.echo(json.dumps(said))
    else:
        number = f" {said['number']}" if said["number"] else ""
        click.echo(
            f"{told.action.value}{number}: done"
            if said["done"]
            else f"{told.action.value}{number}: no: {said['why']}"
        )
    if not said["done"]:
        raise SystemExit(1)


NUMBER = click.option("--number", type=int, default=0, help="Which release, where there are several.")
WHO = click.option("--who", required=True)


@release.command("start")
@FLEET
@AS_JSON
@WHO
@click.argument("file", type=click.Path())
def start_release(path: str, as_json: bool, who: str, file: str) -> None:
    """Begin a release; it is checked whole before the first drain."""
    word(path, as_json, RolloutCommand(action=RolloutAction.START, operator=who, spec=plan_of(file)))


@release.command()
@FLEET
@AS_JSON
@NUMBER
@WHO
@click.option("--why", default="")
def halt(path: str, as_json: bool, number: int, who: str, why: str) -> None:
    """No drain begins any more; all that run are meant where no number is told."""
    word(path, as_json, RolloutCommand(action=RolloutAction.HALT, number=number, operator=who, reason=why))


@release.command()
@FLEET
@AS_JSON
@NUMBER
@WHO
def resume(path: str, as_json: bool, number: int, who: str) -> None:
    """Go on with a release that was halted, and not because its version is bad."""
    word(path, as_json, RolloutCommand(action=RolloutAction.RESUME, number=number, operator=who))


@release.command()
@FLEET
@AS_JSON
@NUMBER
@WHO
def back(path: str, as_json: bool, number: int, who: str) -> None:
    """Take every released member back to the version before, the newest batch first."""
    word(path, as_json, RolloutCommand(action=RolloutAction.ROLL_BACK, number=number, operator=who))


@release.command()
@FLEET
@AS_JSON
@NUMBER
@click.option("--follow", is_flag=True, help="Until nothing runs any more; exit code 1 unless all is done.")
def status(path: str, as_json: bool, number: int, follow: bool) -> None:
    """Where each release stands, what it waits for, and the figures that it is judged by."""
    told = fleet_of(path)
    asked = RolloutCommand(action=RolloutAction.STATUS, number=number)
    if follow:
        from .cluster.tables import follow_rollouts

        phases = follow_rollouts(lambda: ask_any(told, asked)["releases"], as_json)
        raise SystemExit(0 if set(phases) <= {"done", "back"} else 1)
    answer = ask_any(told, asked)
    if as_json:
        click.echo(json.dumps(answer))
    else:
        from .cluster.tables import show_rollouts

        show_rollouts(answer["releases"])


@release.command()
@FLEET
@AS_JSON
@NUMBER
def history(path: str, as_json: bool, number: int) -> None:
    """What became of each release, line by line, from its start."""
    answer = ask_any(fleet_of(path), RolloutCommand(action=RolloutAction.HISTORY, number=number))
    if as_json:
        click.echo(json.dumps(answer))
        return
    for one in reversed(answer["releases"]):
        click.echo(f"release {one['number']} of {one['version']}: {one['phase']}")
        for line in one["history"]:
            click.echo(f"  {line}")


@cli.group()
def keep() -> None:
    """Kept results of labelled transactions: a store looked at from outside."""


FOLDER = click.argument("folder", type=click.Path(path_type=Path))


def of_store(act: Callable[[], msgspec.Struct], as_json: bool) -> dict[str, Any]:
    try:
        told: dict[str, Any] = msgspec.to_builtins(act())
    except (ValueError, OSError) as trouble:
        raise NotAsked(str(trouble)) from None
    if as_json:
        click.echo(json.dumps(told))
    else:
        for name, value in told.items():
            click.echo(f"{name:14} {value}")
    return told


def unix_now() -> int:
    return time.time_ns() // 100_000


@keep.command("show")
@FOLDER
@AS_JSON
def show_kept(folder: Path, as_json: bool) -> None:
    """Entries, ages, bytes, unknown and torn ones; also while a program has the store."""
    from .idempotency.maintenance import show_store

    of_store(lambda: show_store(folder, unix_now()), as_json)


@keep.command("verify")
@FOLDER
@AS_JSON
def verify_kept(folder: Path, as_json: bool) -> None:
    """Read every record whole; exit code 1 where one can't be."""
    from .idempotency.maintenance import verify_store

    told = of_store(lambda: verify_store(folder), as_json)
    if told["troubles"] or not told["heads"]:
        raise SystemExit(1)


@keep.command("compact")
@FOLDER
@AS_JSON
def compact_kept(folder: Path, as_json: bool) -> None:
    """What is in its window, in one file; only while no program has the store."""
    from .idempotency.maintenance import compact_store

    of_store(lambda: compact_store(folder, unix_now()), as_json)


@keep.command("schema")
def print_keep_schema() -> None:
    """The JSON Schema of the file that names a store."""
    from .idempotency.settings_file import store_settings_schema

    click.echo(json.dumps(store_settings_schema(), indent=2))


@cli.group()
def expect() -> None:
    """Expectations of routing, written beside the configuration and checked with no traffic."""


PATHS = click.argument("paths", nargs=-1, type=click.Path())  # this folder where none is told
SEED = click.option("--seed", type=int, default=1, show_default=True)


def against(act: Command) -> Command:
    """The files that expectations are held against."""
    for option in (
        click.option("--world", type=click.Path(), default=None, help="What is around: a world file."),
        click.option("--fleet", type=click.Path(), envvar="BIRCHSLIP_FLEET", default=None),
        click.option("--config", type=click.Path(), envvar="PROXY_CONFIG", required=True),
    ):
        act = option(act)
    return act


def read_expectations(paths: tuple[str, ...], config: str, fleet: str | None, world: str | None) -> Any:
    """Settings, statements and the files that hold none."""
    from .expect.check import read_statements
    from .expect.sources import read_sources

    try:
        sources = read_sources(config, fleet, world)
        return sources, *read_statements(paths or (".",), sources)
    except (InvalidInputError, OSError) as trouble:
        raise NotAsked(str(trouble)) from None


@expect.command("check")
@PATHS
@against
@SEED
@click.option(
    "--seeds", type=click.IntRange(1, 64), default=3, show_default=True, help="Plays of each situation."
)
@click.option("--jobs", type=click.IntRange(0, 64), default=0, help="Plays at a time; 0: as cores allow.")
@click.option("--no-search", is_flag=True, help="No histories and no settings of what fails.")
@click.option("--junit", type=click.Path(path_type=Path), default=None, help="For CI: JUnit XML.")
@click.option("--json", "out", type=click.Path(path_type=Path), default=None, help="Where the report goes.")
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
    """Whether all that is expected holds; exit code 1 where something fails, 2 where it can't be told."""
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
@PATHS
@against
def list_expectations(paths: tuple[str, ...], config: str, fleet: str | None, world: str | None) -> None:
    """Every statement with its place, as it was understood."""
    _, statements, empty = read_expectations(paths, config, fleet, world)
    for one in statements:
        click.echo(f"{one.name:28} {one.location.describe()}: {one.describe()}")
    for name in empty:
        click.echo(f"{name}: nothing is expected there")


@expect.command("explain")
@click.argument("name")
@PATHS
@against
@SEED
def explain_expectation(
    name: str, paths: tuple[str, ...], config: str, fleet: str | None, world: str | None, seed: int
) -> None:
    """How the verdict on one is come by: what it measures, what is played, what came of it."""
    from .expect.check import Check
    from .expect.report import explain_statement

    sources, statements, _ = read_expectations(paths, config, fleet, world)
    some = [one for one in statements if one.name == name]
    if not some:
        from difflib import get_close_matches

        near = get_close_matches(name, [one.name for one in statements], 1, 0.5)
        raise NotAsked(f"nothing is named {name!r}" + (f", was {near[0]!r} meant?" if near else ""))
    report = Check(sources, some, seed).run()
    for line in explain_statement(some[0], report, sources):
        click.echo(line)
    raise SystemExit(report.exit_code)


@expect.command("mutate")
@PATHS
@against
@SEED
@click.option("--seeds", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path), default=None, help="Where the report goes.")
def mutate_settings(
    paths: tuple[str, ...],
    config: str,
    fleet: str | None,
    world: str | None,
    seed: int,
    seeds: int,
    out: Path | None,
) -> None:
    """Break the settings one value at a time; exit code 1 where no expectation sees more than one in ten."""
    from .expect.mutate import mutate

    sources, statements, _ = read_expectations(paths, config, fleet, world)

    def tell(one: Any) -> None:
        by = f": {one.detected_by}" if one.detected_by else ""
        mark = "seen" if one.is_detected else "NOT "
        click.echo(
            f"{mark}  {one.path_label}: {one.change.old} -> {one.change.new}: {one.detection.value}{by}"
        )

    found = mutate(sources, statements, seed, seeds, tell)
    seen = sum(1 for one in found if one.is_detected)
    click.echo(f"{seen} of {len(found)} breaks are seen")
    if out is not None:
        rows = [
            {
                "place": one.path_label,
                "was": one.change.old,
                "then": one.change.new,
                "seen": one.detection.value,
                "by": one.detected_by,
            }
            for one in found
        ]
        out.write_text(json.dumps({"breaks": rows, "seen": seen, "of": len(found)}, indent=2) + "\n")
    if seen < 0.9 * len(found):
        raise SystemExit(1)


@expect.command("schema")
def print_world_schema() -> None:
    """The JSON Schema of a world file."""
    from .lab.model.layout import layout_schema

    click.echo(json.dumps(layout_schema(), indent=2))


@cli.group()
def lab() -> None:
    """Rehearsals: real processes among stand-ins, with faults between them."""


@lab.command("faults")
@AS_JSON
def faults(as_json: bool) -> None:
    """The names that --fault takes."""
    from .lab.faults import FAULTS
    from .lab.kept_play import FAULTS as KEPT_FAULTS
    from .lab.release_faults import FAULTS as RELEASE_FAULTS

    told = {"site-loss": FAULTS, "release": RELEASE_FAULTS, "kept": KEPT_FAULTS}
    if as_json:
        click.echo(json.dumps(told))
        return
    for play_of, some in told.items():
        for name, what in some.items():
            click.echo(f"{play_of:10} {name:24} {what}")


@lab.command("stand")
@click.option("--servers", type=click.IntRange(4, 96), default=6, show_default=True)
@click.option("--version", default="good", show_default=True, help="What the new version does.")
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=0.5, show_default=True)
@click.option("--minutes", type=click.FloatRange(0.1, 120), default=10, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path), required=True, help="Logs and files; kept.")
def stand_up(servers: int, version: str, load: float, minutes: float, folder: Path) -> None:
    """Stand up a small fleet among stand-ins, for releases by hand from another shell."""
    from .lab.release_play import ReleaseTold, stand
    from .lab.versions import FAULT_KINDS

    if version not in FAULT_KINDS:
        raise NotAsked(f"no version is named {version!r}; there are {', '.join(FAULT_KINDS)}")
    if servers % 2:
        raise NotAsked(f"{servers} app servers can't be spread evenly over 2 sites")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    told = ReleaseTold(seed=1, sites=2, each=servers // 2, load=load, version=version, fault="none")
    stand(told, folder, minutes, click.echo)


@lab.group()
def play() -> None:
    """Play a schedule of faults among real processes."""
    # One that is ended ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))


@play.command("site-loss")
@click.option("--seed", type=int, required=True)
@click.option("--sites", type=click.IntRange(2, 9), default=3, show_default=True)
@click.option("--each", type=click.IntRange(1, 32), default=4, show_default=True, help="App servers a site.")
@click.option("--planners", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=0.9, show_default=True)
@click.option("--fault", default="kill", show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path), default=None, help="Where the report goes.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Keep the processes' logs here.")
@click.option("--alone/--with-single-level", "alone", default=False, help="Without the comparison.")
@click.option("--pace", type=click.FloatRange(0.3, 4.0), default=1.0, help="Lengths of the schedule's parts.")
def site_loss(**told: Any) -> None:
    """The loss of a site and its return; exit code 1 where a rule is broken."""
    from .lab.faults import FAULTS
    from .lab.site_loss import Told, play_site_loss

    if told["fault"] not in FAULTS:
        raise NotAsked(f"no fault is named {told['fault']!r}: see `lab faults`")
    out = told.pop("out")
    report = play_site_loss(Told(**told))
    text = json.dumps(report, indent=2)
    if out is None:
        click.echo(text)
    else:
        out.write_text(text + "\n")
        told = {name: report[name] for name in ("rules", "service", "dead")}
        click.echo(json.dumps(told))
    if any(report["rules"].values()) or report["dead"]:
        raise SystemExit(1)


@play.command("release")
@click.option("--seed", type=int, required=True)
@click.option("--servers", type=click.IntRange(4, 96), default=24, show_default=True)
@click.option("--sites", type=click.IntRange(2, 9), default=3, show_default=True)
@click.option("--planners", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--load", type=click.FloatRange(0.05, 3.0), default=1.0, show_default=True)
@click.option("--version", default="good", show_default=True, help="What the new version does.")
@click.option("--fault", default="none", show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path), default=None, help="Where the report goes.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Keep the processes' logs here.")
@click.option("--alone/--with-comparison", "alone", default=False, help="Not also without the release.")
@click.option("--margins", type=click.FloatRange(0.1, 20), default=1.0, help="Times the usual margins.")
def play_a_release(**told: Any) -> None:
    """A release through the fleet; exit code 1 where a rule or a budget is broken, or it is stuck."""
    from .lab.release_faults import FAULTS
    from .lab.release_play import ReleaseTold, play_release
    from .lab.versions import FAULT_KINDS

    if told["fault"] not in FAULTS:
        raise NotAsked(f"no fault is named {told['fault']!r}: see `lab faults`")
    if told["version"] not in FAULT_KINDS:
        raise NotAsked(f"no version is named {told['version']!r}; there are {', '.join(FAULT_KINDS)}")
    servers, sites = told.pop("servers"), told["sites"]
    if servers % sites:
        raise NotAsked(f"{servers} app servers can't be spread evenly over {sites} sites")
    out = told.pop("out")
    report = play_release(ReleaseTold(each=servers // sites, **told))
    text = json.dumps(report, indent=2)
    if out is None:
        click.echo(text)
    else:
        out.write_text(text + "\n")
        names = ("ended", "why", "halt_s", "exposed", "service", "took_s", "least_s", "broken")
        click.echo(json.dumps({name: report[name] for name in names}))
    if report["broken"]:
        raise SystemExit(1)


@play.command("kept")
@click.option("--seed", type=int, required=True)
@click.option("--labels", type=click.IntRange(10, 1_000_000), default=10_000, show_default=True)
@click.option("--kills", type=click.IntRange(0, 100_000), default=200, show_default=True)
@click.option("--fault", default="none", show_default=True)
@click.option("--json", "out", type=click.Path(path_type=Path), default=None, help="Where the report goes.")
@click.option("--logs", type=click.Path(path_type=Path), default=None, help="Keep the store and logs here.")
@click.option("--alone/--with-comparison", "alone", default=False, help="Not also without a store.")
def play_kept_results(**told: Any) -> None:
    """Labels at an app server that is killed again and again; exit code 1 where one ran twice."""
    from .lab.kept_play import FAULTS, ResultStoreOptions, run_result_store_scenario

    if told["fault"] not in FAULTS:
        raise NotAsked(f"no fault is named {told['fault']!r}; there are {', '.join(FAULTS)}")
    out = told.pop("out")
    report = run_result_store_scenario(ResultStoreOptions(sites=1, each=1, planners=0, fleet=False, **told))
    text = json.dumps(report, indent=2)
    if out is None:
        click.echo(text)
    else:
        out.write_text(text + "\n")
        names = ("labels", "kills", "double_runs", "unanswered", "first_answer_again", "unknown", "broken")
        click.echo(json.dumps({name: report[name] for name in names}))
    if report["broken"]:
        raise SystemExit(1)


def main() -> int:
    try:
        cli.main(prog_name="python -m birchslip", standalone_mode=False)
    except click.ClickException as trouble:
        trouble.show(sys.stderr)
        return 2 if isinstance(trouble, click.UsageError) else trouble.exit_code
    except (click.Abort, KeyboardInterrupt):
        return 2
    except SystemExit as end:
        return int(end.code or 0)
    return 0
