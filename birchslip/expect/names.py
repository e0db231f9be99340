"""The names that statements may use, as the settings know them; who is meant where one is not known."""

from __future__ import annotations

from collections.abc import Iterator
from difflib import get_close_matches

from ..lab.model.world import Setting
from .words import Kind, Statement, Subject, atoms, subjects

SHOWN = 6  # names that are listed where none is near


class Names:
    def __init__(self, setting: Setting) -> None:
        sites = setting.sites()
        fleet = setting.fleet
        self.of: dict[Kind, list[str]] = {
            Kind.ROUTER: [str(one.number) for one in setting.routers()],
            Kind.TENANT: list(setting.tenants),
            Kind.PROFILE: list(setting.profiles),
            Kind.SITE: list(sites),
            Kind.SERVER: [name for names in sites.values() for name in names],
            Kind.SERVICE: [one.name for one in fleet.services] if fleet is not None else [],
            Kind.GROUP: [one.name for one in fleet.disruption_budgets] if fleet is not None else [],
            Kind.FLEET: [""],
        }
        self.known = {kind: set(names) for kind, names in self.of.items()}

    def some(self, subject: Subject) -> list[Subject]:
        """The one, or each there is of the kind."""
        if not subject.each:
            return [subject]
        return [Subject(subject.kind, name) for name in self.of[subject.kind]]

    def trouble(self, statement: Statement) -> str:
        """What the statement names that is not there; nothing where all is."""
        for atom in atoms(statement.claim):
            for subject in subjects(atom):
                if subject.each and not self.of[subject.kind]:
                    return f"there is no {subject.kind.value} in these settings"
                if not subject.each and subject.name not in self.known[subject.kind]:
                    return self.unknown(subject.kind, subject.name)
        when = statement.when
        for kind, name in ((Kind.SITE, when.lost), (Kind.TENANT, when.surge)):
            if name and name not in self.known[kind]:
                return self.unknown(kind, name)
        return ""

    def unknown(self, kind: Kind, name: str) -> str:
        """It may be the name of another kind of thing, or nearly one of this kind."""
        others = [one.value for one in self.kinds_of(name)]
        if others:
            return f"{name!r} is a {' and a '.join(others)}, not a {kind.value}"
        near = get_close_matches(name, self.of[kind], 1, 0.6)
        if near:
            return f"no {kind.value} is named {name!r}, was {near[0]!r} meant?"
        there = self.of[kind]
        if not there:
            return f"no {kind.value} is named {name!r}: there is none at all"
        more = " ..." if len(there) > SHOWN else ""
        return f"no {kind.value} is named {name!r}; there are {', '.join(there[:SHOWN])}{more}"

    def kinds_of(self, name: str) -> Iterator[Kind]:
        return (kind for kind, names in self.known.items() if name in names and kind is not Kind.FLEET)
