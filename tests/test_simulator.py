"""The simulator's wire: absent values, unknown keys, bad input, restarts, conservative rounding."""

import io

import pytest

from birchslip.admission.log_events import (
    DrainStarted,
    HealthChanged,
    PlanApplied,
    PlanExpired,
    QuotasBind,
)
from birchslip.admission.settings import round_down_seconds, round_up_seconds
from birchslip.simulator.codec import encode_server_action
from birchslip.simulator.host import SimulatorHost, serve

HELLO = "hello\t7\tclasses.count=1\tclasses.0.effect=by_key\tclasses.0.aim_s=1.0\tclasses.0.hard_limit_s=4.0"
HELLO += "\tclasses.0.window_s=5.0\tfamily_info.cores=2\tnew.key=1"


def run_batches(*batches):
    """Return the replies to batches of lines, and the text written to the error stream."""
    errors = io.StringIO()
    host = SimulatorHost(errors)
    return [host.batch(["sync\t1.0", "to\t3", *batch]) for batch in batches], errors.getvalue()


@pytest.mark.parametrize(
    ("line", "reply"),
    [
        ("call\t5\t0\t0\t-\t-\t-\t-\t-\t-\t-\t-\t-", ["remember\t5\t5.0000", "dispatch\t5"]),
        (
            "call\t5\t0\t0\t-\t9.5\t0.01\t3.5\t0.1\t1\t2\t0.001\t0\textra",
            ["remember\t5\t5.0000", "dispatch\t5"],
        ),
        (
            "call\t5\t0\t0\t-\t9.5\t-\t3.5\t-\t1\t2\t-\t77",
            ["attach\t5"],
        ),  # an unknown original counts as one that has run
        ("hangup\t99", []),
        ("completed\t99\tcompleted\t0.1", []),
        ("news\twithout\tmeaning", []),
    ],
)
def test_absent_values_extra_parts_and_unknown_events_are_no_errors(line, reply):
    replies, errors = run_batches([HELLO], [line])
    assert replies[1][1:] == reply
    assert not errors


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([HELLO, "call\tfive\t0"], "request_id"),
        ([HELLO, "call\t5\t4\t0"], "no such priority: 4"),
        ([HELLO, "completed\t5\tsplendid\t0.1"], "unknown outcome: 'splendid'"),
        ([HELLO, "completed\t5"], "completed has 1 parts"),
        ([HELLO, "wakeup\ttick\tcore_use:much"], "gauge core_use"),
        ([HELLO, "wind_down\tsoon"], "the end of a wind_down"),
        (["hello\tx"], "prng"),
        (["hello\t7\tclasses.count=1\tclasses.0.effect=maybe"], "classes.0.effect is unknown"),
        (["wakeup\ttick\t-"], "an event for an app server that has not started"),
    ],
)
def test_bad_input_gives_one_error_line_and_crash_reply(lines, message):
    replies, errors = run_batches(lines)
    assert any(line.startswith("crash\t") and message in line for line in replies[0])
    assert message in errors
    assert errors.count("\n") == 1


def test_restart_in_one_batch_drops_earlier_requests():
    replies, errors = run_batches(
        [HELLO, "call\t5\t0\t0\t-\t-"], ["crash_now", HELLO, "completed\t5\tcompleted\t0.1"]
    )
    assert not errors
    assert "mark_health\t1\t1" in replies[1]


def test_last_batch_of_stream_is_acknowledged():
    sink = io.BytesIO()
    assert serve(io.BytesIO(b"sync\t8.41225\ngo\n"), sink, io.StringIO()) == 0
    assert sink.getvalue() == b"ack\n"


@pytest.mark.parametrize(
    ("seconds", "down", "up"), [(0.00015, 1, 2), (8.65225, 86522, 86523), (0.3, 3000, 3000)]
)
def test_seconds_are_rounded_down_and_up(seconds, down, up):
    """Conversion is conservative: deadlines are rounded down, timers and durations up."""
    assert (round_down_seconds(seconds), round_up_seconds(seconds)) == (down, up)


@pytest.mark.parametrize(
    ("event", "text"),
    [
        (QuotasBind(3, 6), "quota binds: 3 held, 6 on the cores"),
        (HealthChanged(False, 4.51), "health bad: runs take 4.5 times the usual"),
        (HealthChanged(True, 1.95), "health good: runs take 1.9 times the usual"),
        (
            PlanApplied(64, 2, 0.25, (5, 7), True),
            "plan 64.2 in force: level 0.25, visitors [5, 7], short True",
        ),
        (PlanExpired(64, 2), "plan 64.2 has run out"),
        (DrainStarted(), "leaving"),
    ],
    ids=lambda value: value.name if hasattr(value, "name") else "",
)
def test_log_event_has_the_text_that_operators_read(event, text):
    assert encode_server_action(event) == f"record\t{text}"
