"""The world file: what the settings do not state about the surroundings of the app servers.

It states what requests cost, how routers behave and how the downstream service behaves. It is JSON with a
schema; values that it leaves out have defaults that fit the settings.
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
    """The requests of one profile.

    Attributes:
        share: Weight of the profile in the traffic.
        work_ms: Mean time of a run on one core; an eighth of the latency objective by default.
        calls: Share of runs that call the downstream service.
    """

    share: Weight = 1.0
    work_ms: Positive | None = None
    calls: Fraction = 0.0


class RouterTold(Message):
    """One router.

    Attributes:
        number: Number by which app servers know the router.
        site: The home site; without one the router prefers no site.
        share: Weight of the router in the traffic.
        habit: Name of the routing policy.
    """

    number: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    site: Name | None = None
    share: Weight = 1.0
    habit: Name = "usual"


class Below(Message):
    """The downstream service.

    Attributes:
        took_ms: Mean duration of a call at full speed.
        holds: Calls in flight past which calls slow down in proportion; without it they never do.
        survives: Calls in flight past which the service goes down; without it the service never does.
    """

    took_ms: Positive = 20.0
    holds: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None = None
    survives: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] | None = None


class Layout(Message):
    """A world file.

    Attributes:
        profiles: The requests of each profile, by name.
        tenants: Weight of each tenant in the traffic, by name; by default the shares of the fleet file,
            otherwise equal weights.
        routers: The routers; by default those of the fleet file, otherwise two for each site.
        servers: Number of app servers if there is no fleet file; by default the group size of the settings.
        below: The downstream service.
        load: Traffic as a fraction of the capacity of all cores, until the script changes it.
        rate: Traffic in requests per second at `load`; it defines the capacity in place of the cores.
        link_ms: Delay of a message in one direction.
        reading_ms: Core time for reading one attempt of a request.
        handshake_ms: Core time for accepting a connection.
        size: Size of a request in bytes.
        crowd: Requests running on the cores of one app server past which its throughput falls; 0 for never.
        loss: Fraction of throughput lost for each running request past `crowd`.
    """

    profiles: dict[Name, Work] = msgspec.field(default_factory=dict)
    tenants: dict[Name, Weight] = msgspec.field(default_factory=dict)
    routers: list[RouterTold] = msgspec.field(default_factory=list)
    servers: Annotated[int, msgspec.Meta(ge=1, le=MAX_SERVERS)] | None = None
    below: Below = msgspec.field(default_factory=Below)
    load: Positive = 0.7
    rate: Positive | None = None
    link_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.5
    reading_ms: Annotated[float, msgspec.Meta(ge=0, le=1_000)] = 2.0
    handshake_ms: Annotated[float, msgspec.Meta(ge=0, le=1_000)] = 20.0
    size: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 300
    crowd: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    loss: Fraction = 0.0

    def validation_errors(self, profiles: list[str], tenants: list[str], sites: list[str]) -> list[str]:
        """Check names against the settings.

        Args:
            profiles: Names of the profiles in the settings.
            tenants: Names of the tenants in the settings.
            sites: Names of the sites.

        Returns:
            One message for each unknown name and repeated router number, and one if profiles are given and
            all their shares are 0. Each message starts with the path of the value.
        """
        errors = []
        for name in self.profiles:
            if name not in profiles:
                errors.append(
                    f"profiles: no profile is named {name!r}; the settings have {', '.join(profiles)}"
                )
        for name in self.tenants:
            if name not in tenants:
                errors.append(
                    f"tenants: no tenant is named {name!r}; the settings have {', '.join(tenants) or 'none'}"
                )
        numbers: set[int] = set()
        for index, router in enumerate(self.routers):
            if router.number in numbers:
                errors.append(f"routers[{index}].number: router {router.number} is listed twice")
            numbers.add(router.number)
            if router.site is not None and router.site not in sites:
                errors.append(
                    f"routers[{index}].site: no site is named {router.site!r};"
                    f" expected one of {', '.join(sites)}"
                )
            if router.habit not in ROUTING_POLICIES:
                known_policies = ", ".join(ROUTING_POLICIES)
                errors.append(
                    f"routers[{index}].habit: no habit is named {router.habit!r};"
                    f" expected one of {known_policies}"
                )
        if self.profiles and not sum(work.share for work in self.profiles.values()):
            errors.append("profiles: the share of every profile is 0; at least one must be above 0")
        return errors


def layout_schema() -> dict[str, Any]:
    """Return the JSON Schema of a world file, which `deploy/world.schema.json` holds."""
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **msgspec.json.schema(Layout)}
