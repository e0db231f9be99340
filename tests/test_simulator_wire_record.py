"""A recorded session on the simulator's wire: the replies must stay identical to the byte.

The input is a closed loop of two app servers over 26 s: arrivals under changing load, run times, calls,
repeats, a slow period, drains and one malformed event. The recorded replies and error lines were written by
commit 98cbd97.
"""

import io
from pathlib import Path

from birchslip.simulator.host import serve

RECORDED = Path(__file__).parent / "recorded"


def read_recorded(suffix):
    return (RECORDED / f"simulator_session.{suffix}").read_bytes()


def test_replies_to_recorded_session_are_byte_identical():
    sink, errors = io.BytesIO(), io.StringIO()
    assert serve(io.BytesIO(read_recorded("in")), sink, errors) == 0
    replies, recorded = sink.getvalue().split(b"ack\n"), read_recorded("out").split(b"ack\n")
    different = [
        index for index, pair in enumerate(zip(replies, recorded, strict=True)) if pair[0] != pair[1]
    ]
    assert [(replies[index], recorded[index]) for index in different[:1]] == []
    assert sink.getvalue() == read_recorded("out")
    assert errors.getvalue() == read_recorded("err").decode()
