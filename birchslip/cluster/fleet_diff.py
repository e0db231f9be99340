"""What of a later fleet file may be taken over while planners run, and what needs their restart.

| part | may change under way |
| --- | --- |
| `groups`, `services`, `platform.stale_ms` | yes: a budget below what is out grants nothing for a while |
| members, `needs`, `routers`, `links`, `tenants`, `refuse` | yes, where all who stay keep their share |
| `planners` | no: who is a majority would be told differently to each |
| sites by name, `vault` | no: plans, and leases that are out, rest on them |
| spans | no: leases and plans were told by them |

A member's share of the vault is even where it isn't told, so one that joins would make all others' smaller:
each of them would go on using more until it read the file again. `calls` told for each member avoids that.
"""

from __future__ import annotations

from collections.abc import Iterator

from .fleet_file import Fleet

FIXED = ("planners", "vault", "report_ms", "plan_ms", "fade_ms", "patience_ms")


def hindered(old: Fleet, new: Fleet) -> Iterator[str]:
    """Why the later file can't be taken over under way, a line each."""
    for part in FIXED:
        if getattr(old, part) != getattr(new, part):
            yield f"{part}: changes at a restart of the planners only"
    if [site.name for site in old.sites] != [site.name for site in new.sites]:
        yield "sites: their names change at a restart of the planners only"
    before, after = old.base_calls(), new.base_calls()
    for name in before.keys() & after.keys():
        if abs(before[name] - after[name]) > 1e-9:
            yield (
                f"sites: {name!r} would have {after[name]:g} calls of the vault, "
                f"where it has {before[name]:g}: tell `calls` of each member"
            )
            break
    if (old.platform is None) != (new.platform is None):
        yield "platform: comes and goes at a restart of the planners only"
    elif (
        old.platform is not None and new.platform is not None and old.platform.address != new.platform.address
    ):
        yield "platform.address: changes at a restart of the planners only"


def moved(old: Fleet, new: Fleet) -> tuple[list[str], list[str]]:
    """Members that leave and that join; one at another site does both."""
    before = {(one.name, site.name) for site in old.sites for one in site.members}
    after = {(one.name, site.name) for site in new.sites for one in site.members}
    return sorted(name for name, _ in before - after), sorted(name for name, _ in after - before)
