"""Named fault schedules of a site loss.

Times are in tenths of a millisecond from the moment of the loss. A schedule depends only on its fault, its
seed and its other arguments, so the same seed gives the same run.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

SECOND = 10_000
MINUTE = 60 * SECOND

FAULTS = {
    "none": "nothing fails",
    "kill": "the whole site is killed at once and comes back cold",
    "kill-surge": "the whole site is killed in the middle of a surge from one tenant",
    "kill-slow-second": "the whole site is killed, and a second site slows down during its outage",
    "kill-two": "two sites are killed: the remaining capacity is too small for the load",
    "pause": "the site is paused instead of killed, and resumes with old plans and leases",
    "cut": "the site is cut off from the planners and still serves its routers",
    "cut-one-way": "the site's reports reach the planners, but their replies do not reach the site",
    "cut-heals": "the site is paused and cut off, and is back and reachable while it is being evacuated",
    "leader-killed": "the leading planner is killed between deciding on a plan and sending it",
    "leader-paused": "the leading planner is paused when the site is lost, and resumes unaware of the pause",
    "planners-gone": "all planners are killed during the loss and started again before its end",
    "planners-gone-minute": "all planners are killed for a minute during the loss, whatever --pace says",
    "planner-empty": "a planner restarts with an empty disk before the loss; another dies during it",
    "planner-cut-short": "a planner restarts with a truncated file before the loss; another dies during it",
    "planner-old": "a planner restarts with an older disk before the loss; another dies during it",
    "planners-split": "the leading planner is cut off from the other planners while the site is out",
    "rush": "the site returns cold, and no router follows the advice of the app servers",
    "dies-again": "the site is killed again at the second step of its recovery ramp",
    "flaps": "the site is killed and comes back five times",
    "late-links": "all messages between members and planners arrive 120 ms late, in both directions",
    "shaken-links": "connections between members and planners are reset again and again",
    "half-open": "connections of the paused site stay half open, so the planners see no end of them",
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step: `action` is applied to `target` at the time `at`, with `value` if it takes a number."""

    at: int
    action: str
    target: str = ""
    value: float = 0.0


def schedule(fault: str, seed: int, sites: list[str], planners: list[str], outage_span: int) -> list[Step]:
    """Return the steps of a fault in order of time.

    The targets `leader`, `other`, `follower`, `last` and `all` select planners when the step runs; see
    `Testbed.resolve_planners`.

    Args:
        fault: Name of the fault, one of `FAULTS`.
        seed: Seed of the jitter of up to 200 ms that some steps have.
        sites: Names of the sites, at least two; the first is the one that is lost.
        planners: Names of the planners; no step depends on them.
        outage_span: How long the first site is out.
    """
    rng = random.Random(seed)
    first_site, second_site = sites[0], sites[1]
    jitter = int(rng.random() * 2_000)

    def outage(site: str, at: int, until: int, action: str = "kill") -> list[Step]:
        """Return the steps that kill or pause a site at `at` and bring it back at `until`."""
        end_action = {"kill": "start", "pause": "resume"}[action]
        return [Step(at, action, site), Step(until, end_action, site)]

    steps = {
        "none": [],
        "kill": outage(first_site, 0, outage_span),
        "kill-surge": [
            Step(-10_000, "surge", "blue", 2.5),
            *outage(first_site, 0, outage_span),
            Step(25_000, "surge", "blue", 1.0),
        ],
        "kill-slow-second": [
            *outage(first_site, 0, outage_span),
            Step(8_000, "slow", second_site, 1.8),
            Step(outage_span * 2 // 3, "slow", second_site, 1.0),
        ],
        "kill-two": [*outage(first_site, 0, outage_span), *outage(second_site, jitter, outage_span)],
        "pause": outage(first_site, 0, outage_span, "pause"),
        "cut": [Step(0, "cut", first_site), Step(outage_span, "heal", first_site)],
        "cut-one-way": [Step(0, "deaf", first_site), Step(outage_span, "heal", first_site)],
        "cut-heals": [
            *outage(first_site, 0, 12_000 + jitter, "pause"),
            Step(0, "silent", first_site),
            Step(12_000 + jitter, "heal", first_site),
        ],
        "leader-killed": [
            *outage(first_site, 0, outage_span),
            Step(2_000 + jitter, "kill-planner", "leader"),
            Step(outage_span, "start-planner", "last"),
        ],
        "leader-paused": [
            *outage(first_site, 0, outage_span),
            Step(1_000, "pause-planner", "leader"),
            Step(outage_span * 2 // 3, "resume-planner", "last"),
        ],
        "planners-gone": [
            *outage(first_site, 0, outage_span),
            Step(10_000, "kill-planner", "all"),
            Step(outage_span * 2 // 3, "start-planner", "all"),
        ],
        "planners-gone-minute": [
            *outage(first_site, 0, MINUTE + 50_000),
            Step(10_000, "kill-planner", "all"),
            Step(10_000 + MINUTE, "start-planner", "all"),
        ],
        "planner-empty": planner_restart_steps(first_site, outage_span, "empty"),
        "planner-cut-short": planner_restart_steps(first_site, outage_span, "cut-short"),
        "planner-old": [
            Step(-30_000, "save-disk", "follower"),
            *planner_restart_steps(first_site, outage_span, "old"),
        ],
        "planners-split": [
            *outage(first_site, 0, outage_span),
            Step(-1_000, "split", "leader"),
            Step(outage_span, "heal-planners"),
        ],
        "rush": [*outage(first_site, 0, outage_span), Step(outage_span - 1_000, "heed", "", 0.0)],
        "dies-again": [
            *outage(first_site, 0, outage_span),
            Step(0, "on-step", first_site, 2),
        ],
        "flaps": [step for n in range(5) for step in outage(first_site, n * 25_000, n * 25_000 + 12_000)],
        "late-links": [Step(-20_000, "late", "", 1_200), *outage(first_site, 0, outage_span)],
        "shaken-links": [
            *outage(first_site, 0, outage_span),
            *(Step(at, "shake") for at in range(-20_000, outage_span, 7_000)),
        ],
        "half-open": [
            Step(0, "silent", first_site),
            *outage(first_site, 0, outage_span, "pause"),
            Step(outage_span, "heal", first_site),
        ],
    }[fault]
    return sorted(steps, key=lambda step: step.at)


def planner_restart_steps(site: str, outage_span: int, disk_state: str) -> list[Step]:
    """Return the steps that restart a follower with another disk, lose the site and kill one more planner.

    `disk_state` is "empty", "cut-short" or "old". The follower restarts 1.8 s before the loss, and the other
    planner is out from 0.5 s after it until the site returns.
    """
    return [
        Step(-20_000, "kill-planner", "follower"),
        Step(-19_000, f"disk-{disk_state}", "last"),
        Step(-18_000, "start-planner", "last"),
        Step(0, "kill", site),
        Step(5_000, "kill-planner", "other"),
        Step(outage_span, "start-planner", "last"),
        Step(outage_span, "start", site),
    ]
