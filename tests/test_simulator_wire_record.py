"""A recorded session on the simulator's wire: the replies stay the same to the byte.

The input is a closed loop of two app servers over 26 s: arrivals under changing load, run times, calls,
repeats, a slow spell, drains and one malformed event. The replies and the complaints were written by
commit 98cbd97, before the decisions were split into modules.
"""

import io
from pathlib import Path

from birchslip.simulator.host import serve

RECORDED = Path(__file__).parent / "recorded"


def read(suffix):
    return (RECORDED / f"simulator_session.{suffix}").read_bytes()


def test_replies_to_recorded_session_are_byte_identical():
    sink, errors = io.BytesIO(), io.StringIO()
    assert serve(io.BytesIO(read("in")), sink, errors) == 0
    replies, recorded = sink.getvalue().split(b"ack\n"), read("out").split(b"ack\n")
    different = [
        place for place, pair in enumerate(zip(replies, recorded, strict=True)) if pair[0] != pair[1]
    ]
    assert [(replies[place], recorded[place]) for place in different[:1]] == []
    assert sink.getvalue() == read("out")
    assert errors.getvalue() == read("err").decode()
