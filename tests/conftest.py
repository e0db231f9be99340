"""Tests known to fail for a real fault: KNOWN-RED.txt at the root names each, its cause and its issue.

They are run and may fail, and no other may. A line whose test passes, that names no test, or that can't be
read fails the run, as does a fourth one; the lines are printed with each run.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST = 3
lines = pytest.StashKey[dict[str, str]]()


def read_known_red(text):
    """The lines by the test that each names: `test | cause | issue`. Blank ones and remarks say nothing."""
    known = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.rsplit(" | ", 2)]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`: {line!r}")
        if parts[0] in known:
            raise pytest.UsageError(f"KNOWN-RED.txt: named twice: {parts[0]!r}")
        known[parts[0]] = line.strip()
    if len(known) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(known)} lines, {MOST} at most")
    return known


def pytest_configure(config):
    text = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    config.stash[lines] = read_known_red(text)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(session, config, items):
    known = config.stash[lines]
    collected = {item.nodeid: item for item in items}  # before xdist adds its groups to the names
    files = {name.partition("::")[0] for name in collected}
    for name, line in known.items():
        if name in collected:
            collected[name].add_marker(pytest.mark.xfail(reason=line, strict=True))
        elif name.partition("::")[0] in files or not (config.rootpath / name.partition("::")[0]).exists():
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {name!r}")


def pytest_terminal_summary(terminalreporter, config):
    known = config.stash[lines]
    if known:
        terminalreporter.section(f"known red, {len(known)} of {MOST} at most")
        for line in known.values():
            terminalreporter.write_line(line)
