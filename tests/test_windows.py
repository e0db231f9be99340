"""The windows and the delay of KIP-13, and the samples of service times."""

import pytest

from birchslip.admission.quota_meter import QuotaMeter
from birchslip.admission.types import SECOND
from birchslip.admission.windows import QUANTILE_SAMPLES_PER_BUCKET, QuantileWindow

MB = 1_000_000


@pytest.mark.parametrize(
    ("amounts", "quota", "delay"),
    [
        ([5 * MB] * 9 + [15 * MB], 5 * MB, 2 * SECOND),  # the example in KIP-13
        ([5 * MB] * 10, 5 * MB, 0),
        ([5 * MB] * 20 + [15 * MB], 5 * MB, 2 * SECOND),  # amounts older than ten seconds don't count
        ([60 * MB] + [0] * 9, 5 * MB, 2 * SECOND),
        ([60 * MB] + [0] * 10, 5 * MB, 0),
        ([43], 4.25, 1177),  # a configured quota in requests; rounded up
    ],
)
def test_delay_brings_rate_back_to_quota(amounts, quota, delay):
    meter = QuotaMeter()
    for second, amount in enumerate(amounts):
        meter.admitted.add(second * SECOND, amount)
    assert meter.delay((len(amounts) - 1) * SECOND, quota) == delay


def test_quantile_window_keeps_limited_samples_per_second():
    times = QuantileWindow()
    for sample in range(20 * QUANTILE_SAMPLES_PER_BUCKET):
        times.add(sample * SECOND // (10 * QUANTILE_SAMPLES_PER_BUCKET), sample % 10)
    assert len(times.ordered) == 2 * QUANTILE_SAMPLES_PER_BUCKET
    assert times.count == 20 * QUANTILE_SAMPLES_PER_BUCKET
    assert (times.low, times.high) == (2, 8)
    assert times.mean == 4.5
