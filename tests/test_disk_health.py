"""Health of the store's disk: transitions between its states."""

from birchslip.idempotency.disk_health import MIN_PROBE_INTERVAL, DiskHealth, DiskState


def test_a_disk_that_stalls_or_fails_changes_its_state_and_recovers():
    disk = DiskHealth(stall_limit=2_500)
    disk.flush_requested(0)
    assert not disk.detect_stall(2_499)
    assert disk.is_healthy
    assert disk.detect_stall(2_500)
    assert disk.state is DiskState.STALLED
    assert "250 ms" in disk.reason
    assert disk.flush_succeeded(4_000, more_pending=False)
    assert disk.is_healthy
    assert disk.flush_failed(5_000, "no space")
    assert disk.state is DiskState.FAILED
    assert not disk.needs_probe(5_000)
    assert disk.needs_probe(5_000 + MIN_PROBE_INTERVAL)
    disk.flush_requested(10_000)
    assert not disk.needs_probe(99_999)  # a probe is pending
    assert not disk.flush_failed(10_001, "no space")
    assert not disk.needs_probe(10_001 + MIN_PROBE_INTERVAL)
    assert disk.needs_probe(10_001 + 2 * MIN_PROBE_INTERVAL)
    disk.flush_requested(30_000)
    assert disk.flush_succeeded(30_001, more_pending=False)
    assert disk.is_healthy
    assert not disk.detect_stall(99_999)
