"""What operators see on a terminal."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

SITE = ("name", "verdict", "stage", "level", "flaps", "load", "visiting", "refused", "why")
MEMBER = (
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


def table(title: str, columns: tuple[str, ...], rows: list[dict[str, Any]]) -> Table:
    made = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        made.add_column(column)
    for row in rows:
        made.add_row(*(str(row.get(column, "")) for column in columns))
    return made


def show_fleet(told: dict[str, Any]) -> None:
    console = Console()
    leads = "leads" if told["leads"] else f"follows {told['leader'] or 'nobody'}"
    console.print(f"{told['planner']} {leads}, epoch {told['epoch']}, plan {told['plan']}", end="")
    console.print(", blank" if told["blank"] else "", ", SHORT" if told["short"] else "")
    for kind, rate in told["refused"].items():
        console.print(f"refused: {kind} {rate} a second")
    console.print(table("sites", SITE, told["sites"]))
    console.print(table("members", MEMBER, told["members"]))
    if told["groups"]:
        console.print(table("groups", ("name", "allowed", "out"), told["groups"]))
        for one in told["permits"]:
            past = ", past the budgets" if one["override"] else ""
            console.print(f"permit {one['number']}: {one['holder']}: {one['why']}{past}")
        console.print(f"waiting: {', '.join(told['waiting']) or 'nobody'}")


def show_loss(told: dict[str, Any]) -> None:
    console = Console()
    console.print(f"without {told['lose']}: {told['load']:.1f} transactions a second look for another place")
    for _, site, rate in told["flows"]:
        console.print(f"  to {site}: {rate:.1f} (room {told['room'].get(site, 0.0):.1f})")
    for kind, rate in told["refused"].items():
        console.print(f"  refused: {kind} {rate:.1f} a second")
    vault = told.get("vault")
    if vault is not None:
        console.print(f"  vault: {vault['calls']:g} calls in hand, {vault['may_be']:g} may be", end="")
        console.print(f", short by {vault['short_by']:g}" if vault["short_by"] else "")


RELEASE = ("number", "version", "before", "phase", "batch", "released", "why")
FIGURE = ("name", "released", "others", "of", "margin", "verdict", "surety")
FOLLOW_EVERY = 0.5  # seconds


def releases(told: list[dict[str, Any]]) -> Group:
    rows = [
        {
            **one,
            "batch": f"{one['batch']} of {one['batches']}",
            "released": f"{one['released']} of {one['members']}",
        }
        for one in told
    ]
    parts: list[Any] = [table("releases", RELEASE, rows)]
    for one in told:
        if one["doing"]:
            parts.append(f"{one['number']}: {one['doing']}")
        if one["left_out"]:
            parts.append(f"{one['number']}: left out: {', '.join(one['left_out'])}")
        if one["figures"]:
            parts.append(table(f"{one['number']}: {one['verdict']}", FIGURE, one["figures"]))
    return Group(*parts)


def show_releases(told: list[dict[str, Any]]) -> None:
    console = Console()
    console.print(releases(told) if told else "no release")


def follow_releases(ask: Callable[[], list[dict[str, Any]]], as_json: bool) -> list[str]:
    """Until none runs; with `as_json` a line for each change. The phases that it came to."""
    last: Any = None
    with Live(console=Console(), auto_refresh=False, transient=False) as live:
        while True:
            try:
                told = ask()
            except Exception as trouble:  # a leader that has died is followed by another
                live.console.print(f"not answered: {trouble}", style="dim")
                time.sleep(FOLLOW_EVERY)
                continue
            phases = [one["phase"] for one in told]
            if as_json:
                if phases != last:
                    print(json.dumps(told), flush=True)
                last = phases
            else:
                live.update(releases(told), refresh=True)
            if not {"running", "backing"} & set(phases):
                return phases
            time.sleep(FOLLOW_EVERY)
