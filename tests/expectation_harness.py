"""Helpers of the tests of expectations: the example settings, and statements from single lines."""

from functools import cache
from pathlib import Path

from birchslip.expect.parse import parse
from birchslip.expect.sources import read_sources

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
EXPECTATIONS = EXAMPLES / "expectations"


@cache
def sources():
    """Return the example settings; they are read once and shared, so tests must not change them."""
    return read_sources(EXAMPLES / "fleet-server.json", EXAMPLES / "fleet.json", EXAMPLES / "world.json")


def statements(*lines):
    """Parse lines into statements; each line is given without its leading `expect`."""
    return parse("\n".join(f"expect {line}" for line in lines), "t.expect")
