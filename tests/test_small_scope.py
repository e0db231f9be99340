"""Every history of permits in a small scope is safe, and each omitted rule is found."""

import pytest

from birchslip.lab.small_scope import BudgetViolationError, ScopeExplorer


@pytest.mark.parametrize(
    ("max_elections", "max_incarnations", "min_states"), [(2, (1, 1, 1), 30_000), (1, (2, 1, 1), 30_000)]
)
def test_no_history_exceeds_the_budget(max_elections, max_incarnations, min_states):
    explorer = ScopeExplorer(max_elections=max_elections, max_incarnations=max_incarnations)
    assert explorer.explore() > min_states  # fewer would mean that some orders of events were not tried


@pytest.mark.parametrize(
    ("omitted_rule", "max_elections", "max_incarnations"),
    [("minority", 2, (1, 1, 1)), ("no flush", 2, (1, 1, 1)), ("no incarnation", 1, (2, 1, 1))],
    ids=["minority", "no flush", "no incarnation"],
)
def test_each_omitted_rule_is_found(omitted_rule, max_elections, max_incarnations):
    with pytest.raises(BudgetViolationError, match="m0 and m1 are out at once"):
        ScopeExplorer(omitted_rule, max_elections, max_incarnations).explore()
