"""Named faults of a release and the steps of each.

Steps wait for an event of the release rather than for a time, so that every run is hit at the same point,
however long its parts take.

| moment | when |
| --- | --- |
| `start` | the release has begun |
| `granted` | the platform receives the first drain order |
| `drained` | the platform has begun the first drain |
| `stopped` | the first member has stopped |
| `batch N` | the first drain order of the Nth batch has arrived |
| a number | so long after the step before, in tenths of a millisecond |

With the faults `killed-granted` and `holder-dies` the first drain order is not carried out.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 10_000

FAULTS = {
    "none": "nothing else fails",
    "killed-granted": "the conductor is killed between the grant and the telling of the first drain",
    "killed-draining": "the conductor is killed when the first member has stopped and not been started",
    "killed-halting": "the conductor is killed while an operator halts the release",
    "all-restarted": "all planners are killed half-way and started again",
    "halt-restart": "it is halted, all planners are restarted, and it stays halted until a person resumes it",
    "holder-dies": "the first member dies in the moment in which it is to drain",
    "holder-paused": "the first member is paused while it drains, past any lease, and wakes",
    "two-releases": "a second release and a drain by hand begin in the same second",
    "budget-lowered": "the fleet's budget is lowered below what is out, and raised again",
    "members-change": "a member leaves the fleet half-way and comes back under its name in another life",
    "split": "the conductor is cut off from the other planners, and somebody asks for permits on both sides",
    "one-way": "reports of members on their way out do not reach the conductor for a while",
    "crashes": "members of another site crash in the middle of a batch and use up the budget",
    "below-drains": "a service below drains while app servers that need it are in a batch",
    "surge": "a surge of one account begins with the first batch",
    "back-fails": "on the way back one member does not start in the old version either",
    "site-lost": "a whole site is lost half-way; its return resumes nothing, a person does",
    "disk-full": "the conductor's disk takes nothing more for a while",
    "disk-empty": "a planner comes back with an empty disk",
    "disk-torn": "a planner comes back with a file that is cut short",
    "late-links": "all that members and planners say to each other comes 120 ms late",
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step: `wait` is a moment, or the time after the step before in tenths of a millisecond."""

    wait: str | int
    action: str
    value: float = 0.0


STEPS = {
    "none": [],
    "killed-granted": [Step("granted", "kill-leader"), Step(3 * SECOND, "start-planners")],
    "killed-draining": [Step("stopped", "kill-leader"), Step(3 * SECOND, "start-planners")],
    "killed-halting": [
        Step("batch 2", "halt-and-kill"),
        Step(3 * SECOND, "start-planners"),
        Step(SECOND, "check-halted"),
        Step(0, "resume"),
    ],
    "all-restarted": [Step("batch 2", "kill-planners"), Step(SECOND, "start-planners")],
    "halt-restart": [
        Step("batch 2", "halt"),
        Step(0, "kill-planners"),
        Step(SECOND // 2, "start-planners"),
        Step(3 * SECOND, "check-halted"),
        Step(0, "resume"),
    ],
    "holder-dies": [Step("granted", "kill-holder")],
    "holder-paused": [Step("drained", "pause-holder", 6.0)],
    "two-releases": [Step("start", "second-release"), Step(0, "drain-by-hand")],
    "budget-lowered": [Step("batch 2", "lower"), Step(4 * SECOND, "raise")],
    "members-change": [Step("batch 2", "leave"), Step(4 * SECOND, "rejoin")],
    "split": [Step("batch 2", "split"), Step(4 * SECOND, "heal-planners")],
    "one-way": [Step("drained", "mute-holder"), Step(5 * SECOND, "heal-holder")],
    "crashes": [Step("batch 2", "crash-others", 2)],
    "below-drains": [Step("batch 2", "service-down"), Step(4 * SECOND, "service-up")],
    "surge": [Step("start", "surge", 2.0), Step(8 * SECOND, "surge", 1.0)],
    "back-fails": [Step("start", "break-old")],
    "site-lost": [
        Step("batch 2", "lose-site"),
        Step(5 * SECOND, "site-back"),
        Step(0, "wait-home"),
        Step(0, "check-halted"),
        Step(0, "resume"),
    ],
    "disk-full": [Step("batch 2", "fill-disk"), Step(4 * SECOND, "empty-disk")],
    "disk-empty": [Step("batch 2", "empty-follower"), Step(SECOND, "start-planners")],
    "disk-torn": [Step("batch 2", "cut-follower"), Step(SECOND, "start-planners")],
    "late-links": [Step("start", "late", 1_200.0)],
}
