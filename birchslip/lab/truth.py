"""History of what really happened in a scenario run, and the checks over it.

The testbed records the history itself and never asks the program for it. `HistoryChecker.check_rules`
counts violations of the four rules: no lost request, no double run, no launch after a drain, and no more
downstream calls than the vault allows.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise

SECOND = 10_000
# A quarter of a second, because the stand-ins and all processes share the cores of one machine.
TOLERANCE = 2_500


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of an operation, as written to one app server.

    Times are tenths of a millisecond. `outcome` is empty until a response arrives, then "honoured", "shed" or
    "written off". `excuse` says why no response is owed, and is empty if one is.
    """

    server: str
    incarnation: int
    sent_at: int
    deadline: int
    is_retry: bool
    outcome: str = ""
    response_count: int = 0
    excuse: str = ""


@dataclass(eq=False, slots=True)
class Operation:
    """One logical request of a client over all its attempts.

    Times are tenths of a millisecond. `key` is the idempotency key, empty for classes without one.
    """

    number: int
    request_class: str
    tenant: str
    home_site: str
    priority_weight: float
    latency_objective: int
    created_at: int
    work: int  # core time
    key: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    honoured_at: int = 0
    is_finished: bool = False

    @property
    def met_objective(self) -> bool:
        """Whether the operation was honoured within its latency objective."""
        return bool(self.honoured_at) and self.honoured_at - self.created_at <= self.latency_objective


class HistoryChecker:
    """Records launches, calls, attempts and outages, and checks the four rules over them.

    Attributes:
        launches: Launch times by server, incarnation and idempotency key.
        drain_deadlines: End of the drain grace by server and incarnation.
        site_outages: Spans by site in which it was dead or paused.
        broken_attempts: Server, incarnation and open attempts of each connection that broke while its server
            was running.
        broken_links: Reasons of connections that a running app server closed with attempts open.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.operations: list[Operation] = []
        self.launches: dict[tuple[str, int, str], list[int]] = {}
        self.drain_deadlines: dict[tuple[str, int], int] = {}
        self.launches_after_drain = 0
        self.open_calls: dict[str, int] = {}
        self.open_call_total = self.peak_calls = self.vault_limit_breaches = 0
        self.vault_limit = 0
        self.shed_counts: Counter[str] = Counter()
        self.site_outages: dict[str, list[tuple[int, int]]] = {}
        self.broken_attempts: list[tuple[str, int, list[Attempt]]] = []
        self.broken_links: list[str] = []

    def excuse_broken_attempts(self, server: str, incarnation: int) -> None:
        """Excuse the attempts on connections that broke because this incarnation died.

        A connection can break before the testbed notices the end of the process; no response is owed then.
        """
        for broken_server, broken_incarnation, attempts in self.broken_attempts:
            if (broken_server, broken_incarnation) == (server, incarnation):
                for attempt in attempts:
                    attempt.excuse = attempt.excuse or "down"

    # ---- rules -----------------------------------------------------------------------------------------

    def record_launch(self, server: str, incarnation: int, key: str, written_at: int, now: int) -> None:
        """Record a launch by an agent.

        Args:
            server: Name of the app server.
            incarnation: Incarnation of its agent.
            key: Idempotency key; empty for none.
            written_at: When the request was written to the app server.
            now: Time of the launch.
        """
        if key:
            self.launches.setdefault((server, incarnation, key), []).append(now)
        drain_deadline = self.drain_deadlines.get((server, incarnation))
        if drain_deadline is not None and written_at > drain_deadline + TOLERANCE:
            self.launches_after_drain += 1

    def record_call_change(self, server: str, change: int) -> None:
        """Record that `change` downstream calls began (positive) or ended (negative)."""
        self.open_calls[server] = self.open_calls.get(server, 0) + change
        self.open_call_total += change
        self.peak_calls = max(self.peak_calls, self.open_call_total)
        if change > 0 and self.open_call_total > self.vault_limit:
            self.vault_limit_breaches += 1

    def find_lost_attempts(self, now: int) -> list[tuple[Operation, Attempt]]:
        """Return attempts that were owed a response and had none by their deadline plus the tolerance."""
        return [
            (operation, attempt)
            for operation in self.operations
            for attempt in operation.attempts
            if not attempt.outcome and not attempt.excuse and attempt.deadline + TOLERANCE < now
        ]

    def count_double_runs(self, window: int) -> int:
        """Count repeated launches of a key within `window` by one incarnation of one app server."""
        count = 0
        for launch_times in self.launches.values():
            count += sum(1 for earlier, later in pairwise(launch_times) if later - earlier <= window)
        return count

    def count_duplicate_responses(self) -> int:
        """Count attempts with more than one response."""
        return sum(
            1 for operation in self.operations for attempt in operation.attempts if attempt.response_count > 1
        )

    def check_rules(self, now: int, window: int) -> dict[str, int]:
        """Return the number of violations of each rule, by rule name."""
        return {
            "lost": len(self.find_lost_attempts(now)),
            "double_runs": self.count_double_runs(window) + self.count_duplicate_responses(),
            "late_after_drain": self.launches_after_drain,
            "vault_over": self.vault_limit_breaches,
        }

    # ---- service ---------------------------------------------------------------------------------------

    def select_operations(self, span: tuple[int, int]) -> list[Operation]:
        """Return the operations created within the half-open span."""
        return [operation for operation in self.operations if span[0] <= operation.created_at < span[1]]

    def compute_service(self, span: tuple[int, int]) -> float:
        """Return the share of priority weight honoured within the latency objective.

        It is 1.0 for a span without operations.
        """
        operations = self.select_operations(span)
        requested = sum(operation.priority_weight for operation in operations)
        return (
            sum(operation.priority_weight for operation in operations if operation.met_objective) / requested
            if requested
            else 1.0
        )

    def compute_attempts_per_operation(self, span: tuple[int, int]) -> float:
        """Return the mean number of attempts per operation; 1.0 for a span without operations."""
        operations = self.select_operations(span)
        return (
            sum(len(operation.attempts) for operation in operations) / len(operations) if operations else 1.0
        )

    def was_site_out(self, site: str, time: int) -> bool:
        """Return whether the site was dead or paused at that time."""
        return any(start <= time <= end for start, end in self.site_outages.get(site, ()))
