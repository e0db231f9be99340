"""What operators see on a terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Console
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
