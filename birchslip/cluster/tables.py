"""Terminal output of the commands: the fleet, the forecast of a site loss, and rollouts.

Only formats the replies of planners; the columns are keys of the JSON reports, which operators' tools read
too. Rates are in requests per second.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.live import Live
from rich.table import Table

JsonObject = dict[str, Any]

SITE_COLUMNS = ("name", "verdict", "stage", "level", "flaps", "load", "visiting", "refused", "why")
MEMBER_COLUMNS = (
    "name",
    "site",
    "life",
    "phi",
    "room",
    "load",
    "visits",
    "shed",
    "pace",
    "calls",
    "share",
    "plan",
    "restarts",
)
BUDGET_COLUMNS = ("name", "allowed", "out")
ROLLOUT_COLUMNS = ("number", "version", "before", "phase", "batch", "released", "why")
METRIC_COLUMNS = ("name", "released", "others", "of", "margin", "verdict", "surety")
ACTIVE_PHASES = frozenset({"running", "backing"})  # in which a rollout changes without an operator
FOLLOW_INTERVAL_SECONDS = 0.5


def make_table(title: str, columns: Sequence[str], rows: Sequence[JsonObject]) -> Table:
    """Return a table without borders; keys that a row lacks become empty cells."""
    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    return table


def show_fleet(report: JsonObject) -> None:
    """Print a planner's report of the fleet, as `fleet show` gives it."""
    console = Console()
    role = "leads" if report["leads"] else f"follows {report['leader'] or 'no leader'}"
    console.print(f"{report['planner']} {role}, epoch {report['epoch']}, plan {report['plan']}", end="")
    blank = ", stored state may be out of date" if report["blank"] else ""
    short = ", CAPACITY IS SHORT" if report["short"] else ""
    console.print(blank, short)
    for tier, rate in report["refused"].items():
        console.print(f"refused: {rate} requests per second of the tier {tier!r}")
    console.print(make_table("sites", SITE_COLUMNS, report["sites"]))
    console.print(make_table("members", MEMBER_COLUMNS, report["members"]))
    if report["groups"]:
        show_permits(console, report)


def show_permits(console: Console, report: JsonObject) -> None:
    """Print the disruption budgets, the permits and the holders that wait for one."""
    console.print(make_table("groups", BUDGET_COLUMNS, report["groups"]))
    for permit in report["permits"]:
        override = ", past the budgets" if permit["override"] else ""
        console.print(f"permit {permit['number']}: {permit['holder']}: {permit['why']}{override}")
    console.print(f"waiting: {', '.join(report['waiting']) or 'nobody'}")


def show_loss(report: JsonObject) -> None:
    """Print the forecast of the loss of a site, as `fleet what-if` gives it."""
    console = Console()
    lost = report["lose"]
    console.print(f"without {lost}: {report['load']:.1f} requests per second to serve elsewhere")
    for _, site, rate in report["flows"]:
        console.print(f"  to {site}: {rate:.1f} (its capacity: {report['room'].get(site, 0.0):.1f})")
    for tier, rate in report["refused"].items():
        console.print(f"  refused: {rate:.1f} of the tier {tier!r}")
    vault = report.get("vault")
    if vault is None:
        return
    console.print(
        f"  vault: {vault['calls']:g} calls in flight, {vault['may_be']:g} allowed without {lost}", end=""
    )
    console.print(f", short by {vault['short_by']:g}" if vault["short_by"] else "")


def render_rollouts(rollouts: Sequence[JsonObject]) -> Group:
    """Return a table of rollouts, followed by the progress and metrics of each.

    Args:
        rollouts: Rollouts as planners report them (`RolloutReport`).
    """
    rows = [
        {
            **rollout,
            "batch": f"{rollout['batch']} of {rollout['batches']}",
            "released": f"{rollout['released']} of {rollout['members']}",
        }
        for rollout in rollouts
    ]
    parts: list[RenderableType] = [make_table("releases", ROLLOUT_COLUMNS, rows)]
    for rollout in rollouts:
        number = rollout["number"]
        if rollout["doing"]:
            parts.append(f"{number}: {rollout['doing']}")
        if rollout["left_out"]:
            parts.append(f"{number}: left out: {', '.join(rollout['left_out'])}")
        if rollout["figures"]:
            parts.append(make_table(f"{number}: {rollout['verdict']}", METRIC_COLUMNS, rollout["figures"]))
    return Group(*parts)


def show_rollouts(rollouts: Sequence[JsonObject]) -> None:
    """Print the rollouts and their metrics, or that there are none."""
    console = Console()
    console.print(render_rollouts(rollouts) if rollouts else "there are no releases")


def follow_rollouts(query: Callable[[], list[JsonObject]], as_json: bool) -> list[str]:
    """Show rollouts and their changes until none is active; a query that fails is repeated.

    Args:
        query: Returns the rollouts as reported by the planners.
        as_json: Whether to print one line of JSON per change of phases instead of tables.

    Returns:
        The final phases of the rollouts.
    """
    last_phases: list[str] | None = None
    with Live(console=Console(), auto_refresh=False, transient=False) as live:
        while True:
            try:
                rollouts = query()
            except Exception as error:  # if the leader has failed, another one will respond
                live.console.print(f"no answer, asking again: {error}", style="dim")
                time.sleep(FOLLOW_INTERVAL_SECONDS)
                continue
            phases = [rollout["phase"] for rollout in rollouts]
            if not as_json:
                live.update(render_rollouts(rollouts), refresh=True)
            elif phases != last_phases:
                print(json.dumps(rollouts), flush=True)
            last_phases = phases
            if ACTIVE_PHASES.isdisjoint(phases):
                return phases
            time.sleep(FOLLOW_INTERVAL_SECONDS)
