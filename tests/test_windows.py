"""The source's windows and its delay."""

import pytest

from birchslip.admission.controller import CELL, QuantileWindow, QuotaMeter
from birchslip.admission.types import SECOND

MB = 1_000_000


@pytest.mark.parametrize(
    ("amounts", "quota", "delay"),
    [
        ([5 * MB] * 9 + [15 * MB], 5 * MB, 2 * SECOND),  # the source's worked example
        ([5 * MB] * 10, 5 * MB, 0),
        ([5 * MB] * 20 + [15 * MB], 5 * MB, 2 * SECOND),  # seconds older than ten count no more
        ([60 * MB] + [0] * 9, 5 * MB, 2 * SECOND),
        ([60 * MB] + [0] * 10, 5 * MB, 0),
        ([43], 4.25, 1177),  # a told quota in transactions; rounded up
    ],
)
def test_delay(amounts, quota, delay):
    meter = QuotaMeter()
    for second, amount in enumerate(amounts):
        meter.ring.add(second * SECOND, amount)
    assert meter.delay((len(amounts) - 1) * SECOND, quota) == delay


def test_the_times_of_a_fast_server_are_a_sample_of_each_second():
    times = QuantileWindow()
    for place in range(20 * CELL):
        times.add(place * SECOND // (10 * CELL), place % 10)
    assert len(times.ordered) == 2 * CELL and times.number == 20 * CELL
    assert (times.base, times.high) == (2, 8) and times.usual == 4.5
