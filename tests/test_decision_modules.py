"""Decision modules do no I/O, read no clock, have no import cycles and are listed in the deploy file."""

import ast
import tomllib
from graphlib import TopologicalSorter

import pytest

from .decision_harness import ROOT

ADMISSION = ROOT / "birchslip" / "admission"
PURE_LIBRARY = {"__future__", "bisect", "collections", "dataclasses", "enum", "heapq", "math", "typing"}
# Modules that only hold types or connect the decisions to the server.
NOT_DECISIONS = {"__init__", "driver", "log_events", "settings", "types", "units"}
MODULES = {path.stem: path for path in sorted(ADMISSION.glob("*.py"))}
DECISIONS = sorted(MODULES.keys() - NOT_DECISIONS)


def imports(name):
    """Return the modules of the package that a module imports anywhere, and the other modules it imports."""
    inner, outer = set(), set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.Import):
            outer |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level == 1:
            inner.add(node.module)
        elif isinstance(node, ast.ImportFrom):
            outer.add("." * node.level + node.module.split(".")[0])
    return inner, outer


def test_every_decision_module_is_listed_as_policy():
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(listed) == [f"birchslip/admission/{name}.py" for name in DECISIONS]


@pytest.mark.parametrize("name", DECISIONS)
def test_decision_modules_import_no_io_or_clock(name):
    inner, outer = imports(name)
    assert outer <= PURE_LIBRARY
    assert not inner & {"driver", "settings"}


def test_admission_modules_have_no_import_cycle():
    graph = {name: imports(name)[0] for name in MODULES}
    assert set(TopologicalSorter(graph).static_order()) == MODULES.keys()
