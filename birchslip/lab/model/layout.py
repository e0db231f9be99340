"""What the settings do not tell of the world around app servers: what transactions cost, who routes them, how
the service below behaves. JSON with a schema; where nothing is told, a world is made to fit the settings.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ...cluster.messages import Fraction, Message, Name
from .habits import ROUTING_POLICIES

MAX_SERVERS = 1_000
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class Work(Message):
    """Of one profile: its part of the traffic, what a run takes on one core, how often it calls below."""

    share: Weight = 1.0
    work_ms: Positive | None = None  # an eighth of the latency goal where it is not told
    calls: Fraction = 0.0


class RouterTold(Message):
    """One router; without a site it is at home everywhere."""

    number: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    site: Name | None = None
    share: Weight = 1.0
    habit: Name = "usual"


class Below(Message):
    """The service below. Past `holds` calls in hand each takes longer in proportion; past `survives` it
    falls.
    """

    took_ms: Positive = 20.0
    holds: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    survives: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None


class Layout(Message):
    """A world file."""

    profiles: dict[Name, Work] = msgspec.field(default_factory=dict)
    tenants: dict[Name, Weight] = msgspec.field(default_factory=dict)
    routers: list[RouterTold] = msgspec.field(default_factory=list)
    servers: Annotated[int, msgspec.Meta(ge=1, le=MAX_SERVERS)] | None = None  # where no fleet file names any
    below: Below = msgspec.field(default_factory=Below)
    load: Positive = 0.7  # of all cores, while nothing else is said
    rate: Positive | None = None  # the same in transactions a second: then loads are parts of what that makes
    link_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.5
    reading_ms: Annotated[float, msgspec.Meta(ge=0, le=1_000)] = 2.0
    handshake_ms: Annotated[float, msgspec.Meta(ge=0, le=1_000)] = 20.0
    size: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 300  # bytes of a transaction
    crowd: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = (
        0  # on the cores, from where less gets done in all
    )
    loss: Fraction = 0.0  # for each one more

    def validation_errors(self, profiles: list[str], tenants: list[str], sites: list[str]) -> list[str]:
        """Names that nothing else knows, a line each."""
        errors = []
        for name in self.profiles:
            if name not in profiles:
                errors.append(f"profiles: no profile is named {name!r}; there are {', '.join(profiles)}")
        for name in self.tenants:
            if name not in tenants:
                errors.append(
                    f"tenants: no tenant is named {name!r}; there are {', '.join(tenants) or 'none'}"
                )
        numbers: set[int] = set()
        for index, router in enumerate(self.routers):
            if router.number in numbers:
                errors.append(f"routers[{index}]: the router {router.number} stands there twice")
            numbers.add(router.number)
            if router.site is not None and router.site not in sites:
                errors.append(f"routers[{index}].site: no site is named {router.site!r}")
            if router.habit not in ROUTING_POLICIES:
                known_policies = ", ".join(ROUTING_POLICIES)
                errors.append(
                    f"routers[{index}].habit: no habit is named {router.habit!r}; there are {known_policies}"
                )
        if self.profiles and not sum(work.share for work in self.profiles.values()):
            errors.append("profiles: no profile has any share")
        return errors


def layout_schema() -> dict[str, Any]:
    """The JSON Schema, as it stands in `deploy/world.schema.json`."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(Layout)}
