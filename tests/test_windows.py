"""The source's windows and its delay."""

import pytest

from birchslip.brain import Meter
from birchslip.interface import SECOND

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
    meter = Meter()
    for second, amount in enumerate(amounts):
        meter.ring.add(second * SECOND, amount)
    assert meter.delay((len(amounts) - 1) * SECOND, quota) == delay
