"""Every history of permits in a small scope is safe, and each omitted rule is found."""

import pytest

from birchslip.lab.small_scope import Fault, Scope


@pytest.mark.parametrize(("elections", "marks", "least"), [(2, (1, 1, 1), 30_000), (1, (2, 1, 1), 30_000)])
def test_no_history_exceeds_the_budget(elections, marks, least):
    assert Scope(elections=elections, marks=marks).explore() > least  # or something was not tried


@pytest.mark.parametrize(
    ("mistake", "elections", "marks"),
    [("minority", 2, (1, 1, 1)), ("no flush", 2, (1, 1, 1)), ("no incarnation", 1, (2, 1, 1))],
    ids=["minority", "no flush", "no incarnation"],
)
def test_each_omitted_rule_is_found(mistake, elections, marks):
    with pytest.raises(Fault, match="m0 and m1 are out at once"):
        Scope(mistake, elections, marks).explore()
