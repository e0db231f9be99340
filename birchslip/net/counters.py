"""Counters of the app server, named `part.name`, where the part is a peer or a stage."""

from __future__ import annotations

from collections import Counter

# Reported even while they are 0, so that every report has the same names.
COUNTER_NAMES = (
    "clients.opened clients.closed clients.turned_away clients.pings clients.malformed clients.too_many "
    "clients.silent clients.made_room "
    "take_in.taken take_in.malformed admit.repeats admit.mislabelled "
    "book.honoured book.erred book.shed book.written_off book.gone book.faults "
    "send.launched send.stopped send.honoured send.erred send.recalled send.moot send.refused send.withdrawn "
    "relay.wanted relay.called relay.skipped relay.honoured relay.erred relay.overdue relay.severed "
    "relay.saturated relay.unreached relay.moot "
    "agent.links agent.lost agent.silent agent.declined agent.asides agent.malformed agent.samples "
    "agent.repeated_launch agent.repeated_freeze agent.repeated_forgo agent.unconfirmed_replies "
    "vault.links vault.unreached vault.lost vault.malformed vault.strays "
    "catalog.reports catalog.missed catalog.malformed "
    "program.reloads program.not_reloaded"
).split()


class Counters:
    """Counts, and peaks of values.

    Attributes:
        counts: Number of events, by name.
        peaks: Highest value seen, by name.
    """

    def __init__(self, names: list[str] = COUNTER_NAMES) -> None:
        """Start all names at 0, and without peaks."""
        self.counts: Counter[str] = Counter(dict.fromkeys(names, 0))
        self.peaks: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counts[name] += amount

    def peak(self, name: str, value: int) -> None:
        """Record a value; only the highest one of each name is kept."""
        if value > self.peaks.get(name, 0):
            self.peaks[name] = value

    def report(self) -> dict[str, dict[str, int]]:
        """Return all values by part and name; names of peaks end in `_most`."""
        report: dict[str, dict[str, int]] = {}
        for name, value in [*self.counts.items(), *((f"{name}_most", n) for name, n in self.peaks.items())]:
            group, _, what = name.partition(".")
            report.setdefault(group, {})[what] = value
        return report
