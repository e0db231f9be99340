"""Changes of the fleet file: which may be applied while planners run, and which need a restart.

| part | may change while planners run |
| --- | --- |
| `groups`, `services`, `platform.stale_ms` | yes: an exceeded budget grants nothing until members return |
| members, `needs`, `routers`, `links`, `tenants`, `refuse` | yes, if all members that stay keep their quota |
| `planners` | no: planners would count different majorities |
| names of sites, `vault` | no: plans and leases in force depend on them |
| `report_ms`, `plan_ms`, `fade_ms`, `patience_ms` | no: leases and plans in force depend on them |

Without `calls` a member's quota of the vault is an even share, so a member that joins would reduce the quota
of all others, and each would exceed its new quota until it read the file again. Giving `calls` for each
member avoids that.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .fleet_file import Fleet

RESTART_ONLY_FIELDS = ("planners", "vault", "report_ms", "plan_ms", "fade_ms", "patience_ms")
QUOTA_TOLERANCE = 1e-9  # calls


class MemberChanges(NamedTuple):
    """Sorted names of members that leave and that join; one that changes its site is in both lists."""

    left: list[str]
    joined: list[str]


def blocked_changes(old: Fleet, new: Fleet) -> Iterator[str]:
    """Yield a line for each kind of change that needs a restart of the planners."""
    for field in RESTART_ONLY_FIELDS:
        if getattr(old, field) != getattr(new, field):
            yield f"{field}: can't be changed without a restart of the planners"
    if [site.name for site in old.sites] != [site.name for site in new.sites]:
        yield "sites: the names of sites can't be changed without a restart of the planners"
    yield from _changed_quota(old, new)
    yield from _changed_platform(old, new)


def _changed_quota(old: Fleet, new: Fleet) -> Iterator[str]:
    """Yield a line for one of the members whose quota would change, if there are any."""
    before = old.base_calls()
    after = new.base_calls()
    for name in before.keys() & after.keys():
        if abs(before[name] - after[name]) > QUOTA_TOLERANCE:
            yield (
                f"sites: the vault quota of member {name!r} can't change from {before[name]:g} to "
                f"{after[name]:g} calls without a restart of the planners; give each member its 'calls' to "
                "keep all quotas"
            )
            return


def _changed_platform(old: Fleet, new: Fleet) -> Iterator[str]:
    if (old.platform is None) != (new.platform is None):
        yield "platform: can't be added or removed without a restart of the planners"
    if old.platform is None or new.platform is None:
        return
    if old.platform.address != new.platform.address:
        yield "platform.address: can't be changed without a restart of the planners"


def member_changes(old: Fleet, new: Fleet) -> MemberChanges:
    """Return the members that leave and that join; a member that changes its site does both."""
    before = {(member.name, site.name) for site in old.sites for member in site.members}
    after = {(member.name, site.name) for site in new.sites for member in site.members}
    return MemberChanges(
        left=sorted(name for name, _ in before - after),
        joined=sorted(name for name, _ in after - before),
    )
