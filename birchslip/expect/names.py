"""The names that statements may refer to, taken from the settings, and suggestions for unknown names."""

from __future__ import annotations

from collections.abc import Iterator
from difflib import get_close_matches

from ..lab.model.world import Setting
from .words import Statement, Subject, SubjectKind, atoms, subjects_of

MAX_NAMES_SHOWN = 6  # in the error for an unknown name without a close match


class KnownNames:
    """The names that statements may use for their subjects.

    Attributes:
        by_kind: The names of each kind, in the order of the settings. A router's name is its number, and the
            only name of the fleet is empty.
        name_sets: The same names as sets, for lookups.
    """

    def __init__(self, setting: Setting) -> None:
        """Collect the names of the sites, app servers, routers, tenants and other subjects."""
        sites = setting.sites()
        fleet = setting.fleet
        self.by_kind: dict[SubjectKind, list[str]] = {
            SubjectKind.ROUTER: [str(router.number) for router in setting.routers()],
            SubjectKind.TENANT: list(setting.tenants),
            SubjectKind.PROFILE: list(setting.profiles),
            SubjectKind.SITE: list(sites),
            SubjectKind.SERVER: [name for names in sites.values() for name in names],
            SubjectKind.SERVICE: [service.name for service in fleet.services] if fleet is not None else [],
            SubjectKind.GROUP: [budget.name for budget in fleet.disruption_budgets]
            if fleet is not None
            else [],
            SubjectKind.FLEET: [""],
        }
        self.name_sets = {kind: set(names) for kind, names in self.by_kind.items()}

    def expand(self, subject: Subject) -> list[Subject]:
        """Return the subject itself, or every subject of its kind if it says `each`."""
        if not subject.each:
            return [subject]
        return [Subject(subject.kind, name) for name in self.by_kind[subject.kind]]

    def find_error(self, statement: Statement) -> str:
        """Return an error message for the first unknown name in a statement, or an empty string."""
        for atom in atoms(statement.claim):
            for subject in subjects_of(atom):
                if subject.each and not self.by_kind[subject.kind]:
                    return f"'each {subject.kind.value}' is empty: the settings have no {subject.kind.value}"
                if not subject.each and subject.name not in self.name_sets[subject.kind]:
                    return self.unknown_name_error(subject.kind, subject.name)
        condition = statement.condition
        for kind, name in ((SubjectKind.SITE, condition.lost), (SubjectKind.TENANT, condition.surge)):
            if name and name not in self.name_sets[kind]:
                return self.unknown_name_error(kind, name)
        return ""

    def unknown_name_error(self, kind: SubjectKind, name: str) -> str:
        """Return an error message for an unknown name.

        The message names the other kinds that have a subject of this name, else the known name that is most
        like it, else the first known names.
        """
        other_kinds = [other.value for other in self.kinds_of(name)]
        if other_kinds:
            return f"no {kind.value} is named {name!r}, which is the name of: {', '.join(other_kinds)}"
        close_matches = get_close_matches(name, self.by_kind[kind], 1, 0.6)
        if close_matches:
            return f"no {kind.value} is named {name!r}, was {close_matches[0]!r} meant?"
        known_names = self.by_kind[kind]
        if not known_names:
            return f"no {kind.value} is named {name!r}; the settings have no {kind.value}"
        ellipsis = " ..." if len(known_names) > MAX_NAMES_SHOWN else ""
        shown = ", ".join(known_names[:MAX_NAMES_SHOWN])
        return f"no {kind.value} is named {name!r}; expected one of {shown}{ellipsis}"

    def kinds_of(self, name: str) -> Iterator[SubjectKind]:
        """Yield the kinds that have a subject of this name."""
        return (
            kind for kind, names in self.name_sets.items() if name in names and kind is not SubjectKind.FLEET
        )
