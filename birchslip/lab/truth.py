"""What really happened, kept by the world and never asked of the program; and the checkers of the four
rules.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise

SECOND = 10_000
TOLERANCE = 2_500  # a quarter of a second: the stand-ins and the machine have one core each for much


@dataclass(eq=False, slots=True)
class Attempt:
    """One try, as it was written to one app server."""

    server: str
    incarnation: int
    sent_at: int
    deadline: int
    is_retry: bool
    outcome: str = ""  # honoured, shed, written off
    response_count: int = 0
    excuse: str = ""  # why no answer is owed


@dataclass(eq=False, slots=True)
class Operation:
    """One transaction of a client, over all its tries."""

    number: int
    request_class: str
    tenant: str
    home_site: str
    priority_weight: float
    latency_objective: int
    created_at: int
    work: int  # on a core, tenths of a millisecond
    key: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    honoured_at: int = 0
    is_finished: bool = False

    @property
    def met_objective(self) -> bool:
        return bool(self.honoured_at) and self.honoured_at - self.created_at <= self.latency_objective


class HistoryChecker:
    def __init__(self) -> None:
        self.operations: list[Operation] = []
        self.launches: dict[tuple[str, int, str], list[int]] = {}  # server, life, label: when
        self.drain_deadlines: dict[tuple[str, int], int] = {}  # server, life: when its grace was over
        self.launches_after_drain = 0
        self.open_calls: dict[str, int] = {}
        self.open_call_total = self.peak_calls = self.vault_limit_breaches = 0
        self.vault_limit = 0
        self.shed_counts: Counter[str] = Counter()
        self.site_outages: dict[
            str, list[tuple[int, int]]
        ] = {}  # site: spans in which it was dead, paused or both
        self.broken_attempts: list[tuple[str, int, list[Attempt]]] = []  # those of these links: server, life
        self.broken_links: list[str] = []  # links that a living app server ended with a try open

    def excuse_broken_attempts(self, server: str, incarnation: int) -> None:
        """What its links held when they broke is owed no answer: nobody was there any more."""
        for broken_server, broken_incarnation, attempts in self.broken_attempts:
            if (broken_server, broken_incarnation) == (server, incarnation):
                for attempt in attempts:
                    attempt.excuse = attempt.excuse or "down"

    # ---- the rules -------------------------------------------------------------------------------------

    def record_launch(self, server: str, incarnation: int, key: str, written_at: int, now: int) -> None:
        if key:
            self.launches.setdefault((server, incarnation, key), []).append(now)
        drain_deadline = self.drain_deadlines.get((server, incarnation))
        if drain_deadline is not None and written_at > drain_deadline + TOLERANCE:
            self.launches_after_drain += 1

    def record_call_change(self, server: str, change: int) -> None:
        self.open_calls[server] = self.open_calls.get(server, 0) + change
        self.open_call_total += change
        self.peak_calls = max(self.peak_calls, self.open_call_total)
        if change > 0 and self.open_call_total > self.vault_limit:
            self.vault_limit_breaches += 1

    def find_lost_attempts(self, now: int) -> list[tuple[Operation, Attempt]]:
        """Tries that were owed an answer and never had one in their time."""
        return [
            (operation, attempt)
            for operation in self.operations
            for attempt in operation.attempts
            if not attempt.outcome and not attempt.excuse and attempt.deadline + TOLERANCE < now
        ]

    def count_double_runs(self, window: int) -> int:
        """Second launches of a label within its window, at one life of one app server."""
        count = 0
        for launch_times in self.launches.values():
            count += sum(1 for earlier, later in pairwise(launch_times) if later - earlier <= window)
        return count

    def count_duplicate_responses(self) -> int:
        return sum(
            1 for operation in self.operations for attempt in operation.attempts if attempt.response_count > 1
        )

    def check_rules(self, now: int, window: int) -> dict[str, int]:
        return {
            "lost": len(self.find_lost_attempts(now)),
            "double_runs": self.count_double_runs(window) + self.count_duplicate_responses(),
            "late_after_drain": self.launches_after_drain,
            "vault_over": self.vault_limit_breaches,
        }

    # ---- service ---------------------------------------------------------------------------------------

    def select_operations(self, span: tuple[int, int]) -> list[Operation]:
        return [operation for operation in self.operations if span[0] <= operation.created_at < span[1]]

    def compute_service(self, span: tuple[int, int]) -> float:
        """Payoff honoured within the latency goal over payoff asked for."""
        operations = self.select_operations(span)
        requested = sum(operation.priority_weight for operation in operations)
        return (
            sum(operation.priority_weight for operation in operations if operation.met_objective) / requested
            if requested
            else 1.0
        )

    def compute_attempts_per_operation(self, span: tuple[int, int]) -> float:
        operations = self.select_operations(span)
        return (
            sum(len(operation.attempts) for operation in operations) / len(operations) if operations else 1.0
        )

    def was_site_out(self, site: str, time: int) -> bool:
        return any(start <= time <= end for start, end in self.site_outages.get(site, ()))
