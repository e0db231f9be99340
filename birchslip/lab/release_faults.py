"""Named faults of a release and the steps of each.

A fault's first step waits for a moment of the release rather than for a time, so that every run is hit at
the same point, however long its parts take.

| moment | when |
| --- | --- |
| `start` | the release has begun |
| `granted` | the platform receives the first drain order |
| `drained` | the platform has begun the first drain |
| `stopped` | the first member has stopped |
| `batch N` | the first drain order of the Nth batch has arrived |
| a number | that time after the step before, in tenths of a millisecond |

With the faults `killed-granted` and `holder-dies` the first drain order is not carried out.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 10_000  # in tenths of a millisecond

FAULTS = {
    "none": "nothing fails, apart from what a bad version does",
    "killed-granted": "the leader is killed after the first grant, before its drain order is carried out",
    "killed-draining": "the leader is killed when the first member has stopped and is not started again yet",
    "killed-halting": "the leader is killed while an operator halts the release",
    "all-restarted": "all planners are killed in the second batch and started again",
    "halt-restart": "all planners restart during a halt, which lasts until an operator resumes the release",
    "holder-dies": "the first member is killed at the moment in which its drain order arrives",
    "holder-paused": "the first member is paused while it drains, past any lease, and then resumes",
    "two-releases": "a second release and a drain by hand begin in the same second as the first release",
    "budget-lowered": "the fleet's budget is lowered below the number of members out, and raised again",
    "members-change": "a member leaves the fleet in the second batch and returns under its name, restarted",
    "split": "the leader is cut off from the other planners, and permits are requested on both sides",
    "one-way": "reports of the first draining member reach no planner for a while",
    "crashes": "members of another site crash in the middle of a batch and use up the disruption budget",
    "below-drains": "a downstream service drains while app servers that need it are in a batch",
    "surge": "a load surge of one tenant begins with the release",
    "back-fails": "during the rollback one member does not start in the old version either",
    "site-lost": "a whole site is lost in batch 2 and returns; only an operator resumes the halted release",
    "disk-full": "the leader's disk is full for a while",
    "disk-empty": "a follower is killed and comes back with an empty disk",
    "disk-torn": "a follower is killed and comes back with a truncated file",
    "late-links": "all data between members and planners, and between planners, arrives 120 ms late",
}


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a fault.

    Attributes:
        wait: The moment of the step, or the time after the step before in tenths of a millisecond.
        action: Name of the action; see `release_play.ReleaseRun.apply_step`.
        value: Seconds of a pause, factor of a surge, number of members to crash, or delay of the links in
            tenths of a millisecond; unused by other actions.
    """

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
