"""The project's own parsers: whole or cut at any byte, at their limits, and fed with rubbish."""

import msgpack
import pytest

from birchslip.admission.settings import SettingsReader, flatten, read_admission_settings
from birchslip.admission.types import Idempotency
from birchslip.errors import InvalidInputError
from birchslip.net import http
from birchslip.net.buffer import INITIAL_BYTES, Buffer, MalformedMessageError
from birchslip.net.clients import read_messages
from birchslip.net.messagepack import MAX_DEPTH, MAX_ITEMS, MAX_VALUE_BYTES, pack
from birchslip.net.vault import parse_reply_line

VALUES = [
    None,
    True,
    False,
    *(0, 1, 127, 128, 255, 256, 65_535, 65_536, 2**32 - 1, 2**32, 2**64 - 1),
    *(-1, -32, -33, -128, -129, -32_768, -32_769, -(2**31), -(2**31) - 1, -(2**63)),
    0.625,
    "",
    "a" * 31,
    "a" * 32,
    "ção" * 100,
    "a" * MAX_VALUE_BYTES,
    b"",
    b"x" * 255,
    b"x" * 256,
    b"x" * MAX_VALUE_BYTES,
    [1, [2, [3]]],
    list(range(16)),
    {"req": "9b1f", "ts": "1"},
    {str(place): place for place in range(16)},
    [0, 7, "checkout", [{"req": "9b1f03aa5c7e2d41"}, b"\x00" * 2048]],
]


def buffer_of(raw, bound=1 << 20):
    buffer = Buffer(bound)
    buffer.feed(raw)
    return buffer


@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:30])
def test_messagepack_agrees_with_the_library_both_ways(value):
    assert msgpack.unpackb(pack(value), strict_map_key=False) == value
    assert read_messages(buffer_of(msgpack.packb(value))) == ([value], "")


def test_messages_cut_at_each_byte_come_out_whole_and_once():
    sent = [[0, 7, "lookup", [{"ts": "17"}, b"body"]], [2, "abort", [7]], [0, 300, "ping", [{}]]]
    raw = b"".join(pack(message) for message in sent)
    for cut in range(len(raw) + 1):
        buffer = buffer_of(raw[:cut])
        first, trouble = read_messages(buffer)
        buffer.feed(raw[cut:])
        second, trouble_then = read_messages(buffer)
        assert first + second == sent
        assert not trouble
        assert not trouble_then
        assert not len(buffer)


@pytest.mark.parametrize(
    ("raw", "named"),
    [
        (b"\xc1", "type byte 0xc1"),
        (b"\xd4\x01\x00", "type byte 0xd4"),
        (b"\xdb\x7f\xff\xff\xff", "bytes in one value"),
        (b"\xc5" + (MAX_VALUE_BYTES + 1).to_bytes(2, "big"), "bytes in one value"),
        (b"\xdd\x7f\xff\xff\xff", "items in one array"),
        (b"\xdc" + (MAX_ITEMS + 1).to_bytes(2, "big"), "items in one array"),
        (b"\xdf\x7f\xff\xff\xff", "pairs in one map"),
        (b"\x91" * (MAX_DEPTH + 2), "nested too deeply"),
        (b"\x81\x90\x01", "as the name in a map"),
        (b"\xa2\xff\xfe", "not UTF-8"),
    ],
)
def test_messagepack_past_its_limits_is_named(raw, named):
    good = pack([2, "abort", [1]])
    taken, trouble = read_messages(buffer_of(good + raw))
    assert taken == [[2, "abort", [1]]]
    assert named in trouble


@pytest.mark.parametrize("value", [2**64, -(2**63) - 1, object()])
def test_what_has_no_form_is_refused(value):
    with pytest.raises((OverflowError, TypeError)):
        pack(value)


def test_a_buffer_grows_to_its_bound_and_is_compacted_in_place():
    buffer = Buffer(4 * INITIAL_BYTES)
    buffer.feed(b"a" * INITIAL_BYTES)
    assert buffer.take(INITIAL_BYTES - 10) == b"a" * (INITIAL_BYTES - 10)
    buffer.feed(b"b" * 100)  # fits once what was taken has made way
    assert len(buffer.data) == INITIAL_BYTES
    assert buffer.take(110) == b"a" * 10 + b"b" * 100
    buffer.feed(b"c" * 4 * INITIAL_BYTES)
    assert len(buffer.data) == 4 * INITIAL_BYTES
    assert len(buffer) == 4 * INITIAL_BYTES
    with pytest.raises(MalformedMessageError, match="not a whole message"):
        buffer.make_room()


@pytest.mark.parametrize(
    ("pieces", "lines"),
    [
        ([b"one\ntwo\r\n"], [b"one", b"two"]),
        ([b"o", b"ne", b"\n\n", b"tw"], [b"one", b""]),
        ([b"x" * 99 + b"\r", b"\nrest"], [b"x" * 99]),
    ],
)
def test_lines_in_pieces(pieces, lines):
    buffer, read = Buffer(1 << 16), []
    for piece in pieces:
        buffer.feed(piece)
        while (line := buffer.read_line(100)) is not None:
            read.append(line)
    assert read == lines


@pytest.mark.parametrize("raw", [b"x" * 102, b"x" * 102 + b"\n"])
def test_a_line_too_long_is_refused_whole_or_not(raw):
    with pytest.raises(MalformedMessageError, match="more than 100"):
        buffer_of(raw).read_line(100)


ANSWERS = [
    (b"HTTP/1.1 204 No Content\r\n\r\n", 204, True),
    (b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", 204, False),
    (b"HTTP/1.0 204 Fine\r\n\r\n", 204, False),
    (b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nX-More: a: b\r\n\r\nbusy", 503, True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Then\r\n\r\n", 204, True),
]


@pytest.mark.parametrize(("raw", "status", "keeps"), ANSWERS)
def test_http_answers_cut_at_each_byte(raw, status, keeps):
    for cut in range(len(raw)):
        buffer, answer = buffer_of(raw[:cut]), http.Response()
        assert not answer.read(buffer)
        buffer.feed(raw[cut:])
        assert answer.read(buffer)
        assert (answer.status, answer.keeps_alive) == (status, keeps)
        assert not len(buffer)


@pytest.mark.parametrize(
    "raw",
    [
        b"SSH-2.0-x\r\n",
        b"HTTP/2 204\r\n",
        b"HTTP/1.1 two\r\n",
        b"HTTP/1.1 099 x\r\n",
        b"HTTP/1.1 200 x\r\nno colon\r\n",
        b"HTTP/1.1 200 x\r\n folded: x\r\n",
        b"HTTP/1.1 200 x\r\nContent-Length: -4\r\n",
        b"HTTP/1.1 200 x\r\nContent-Length: 99999999\r\n",
        b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n",
        b"HTTP/1.1 200 x\r\n" + b"a: b\r\n" * 70,
        b"x" * 5000,
    ],
)
def test_http_that_is_not_read_here(raw):
    with pytest.raises(MalformedMessageError):
        http.Response().read(buffer_of(raw))


@pytest.mark.parametrize(
    ("line", "said"),
    [
        (b"9b1f yes 140", ("9b1f", "yes", 140)),
        (b"9b1f notnow", ("9b1f", "notnow", 0)),
        (b"9b1f pointless", ("9b1f", "pointless", 0)),
        (b"", None),
        (b"9b1f", None),
        (b"9b1f maybe", None),
        (b"9b1f yes", None),
        (b"9b1f yes -1", None),
        (b"9b1f yes 99999999", None),
        (b"9b1f failed 3", None),
        (b"\xff\xfe yes 3", None),
    ],
)
def test_the_vaults_lines(line, said):
    if said is None:
        with pytest.raises(MalformedMessageError):
            parse_reply_line(line)
    else:
        name, word, length = parse_reply_line(line)
        assert (name, word.decode(), length) == said


SETTINGS = {
    "classes": [{"name": "order taking", "effect": "by_key", "aim_s": 1.5, "hard_limit_s": 4, "window_s": 6}],
    "family_info": {"cores": 3, "class_skip_worth": [0.3], "cold": True, "mem_limit_kb": None},
    "tenants": [{"name": "blue", "quota_per_s": 20.0}],
    "azs": ["a", "b"],
}


def test_nested_settings_are_read_as_the_wires_pairs():
    setup = SettingsReader(flatten(SETTINGS))
    told = read_admission_settings(7, setup)
    profile = told.request_classes[0]
    assert setup.names("classes") == ["order taking"]
    assert setup.text("azs", "") == "a,b"
    assert (profile.idempotency, profile.latency_objective, profile.key_retention) == (
        Idempotency.KEYED,
        15_000,
        60_000,
    )
    assert (profile.weight_without_call, told.cores, told.starts_cold, told.tenants[0].quota) == (
        0.3,
        3,
        True,
        20.0,
    )
    assert told.memory_limit == 1 << 30  # absent: the default holds


@pytest.mark.parametrize("wrong", [{"effect": "perhaps"}, {"aim_s": "soon"}, {"hard_limit_s": float("nan")}])
def test_settings_that_cannot_be_are_named(wrong):
    with pytest.raises(InvalidInputError, match=next(iter(wrong))):
        read_admission_settings(7, SettingsReader(flatten({"classes": [SETTINGS["classes"][0] | wrong]})))
