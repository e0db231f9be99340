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
    "kill-surge": "the same in the middle of a surge from one account",
    "kill-slow-second": "a second site slows during the first one's loss",
    "kill-two": "two sites are killed: what is left does not have the room",
    "pause": "the site is paused for the time, not dead, and wakes with old plans and leases",
    "cut": "the site is cut off from the planners and still serves its routers",
    "cut-one-way": "the site's reports reach the planners, and no word of theirs comes back",
    "cut-heals": "the site is paused and cut off, and wakes and is heard again while it is being evacuated",
    "leader-killed": "the leading planner is killed between deciding and telling",
    "leader-paused": "the leading planner is paused when the site is lost and wakes as if nothing had been",
    "planners-gone": "all planners are killed during the loss and started again before its end",
    "planners-gone-minute": "the same for a minute, at any pace of the play",
    "planner-empty": "a planner is killed and comes back with an empty disk while the site is out",
    "planner-cut-short": "a planner is killed and comes back with a file that is cut short",
    "planner-old": "a planner is killed and comes back with a disk of an earlier hour",
    "planners-split": "the leading planner is cut off from the two others while the site is out",
    "rush": "the site returns cold and no router heeds any advice",
    "dies-again": "the site dies again at its second step",
    "flaps": "the site dies and returns five times",
    "late-links": "all that members and planners say to each other comes 120 ms late",
    "shaken-links": "links between members and planners break again and again",
    "half-open": "links of the lost site's members stay half open, and planners are never told of an end",
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step: `action` is applied to `target` at a time, with `value` where it takes a number."""

    at: int
    action: str
    target: str = ""
    value: float = 0.0


def schedule(fault: str, seed: int, sites: list[str], planners: list[str], outage_span: int) -> list[Step]:
    """Returns the steps of a fault in order of time. `outage_span` is how long the first site is out.

    The targets `leader`, `other`, `follower` and `last` name planners by their role when the step runs.
    """
    rng = random.Random(seed)
    first_site, second_site = sites[0], sites[1]
    jitter = int(rng.random() * 2_000)

    def outage(site: str, at: int, until: int, action: str = "kill") -> list[Step]:
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
    """Restarts a follower with another disk before the loss, and kills one more planner during it."""
    return [
        Step(-20_000, "kill-planner", "follower"),
        Step(-19_000, f"disk-{disk_state}", "last"),
        Step(-18_000, "start-planner", "last"),
        Step(0, "kill", site),
        Step(5_000, "kill-planner", "other"),
        Step(outage_span, "start-planner", "last"),
        Step(outage_span, "start", site),
    ]
