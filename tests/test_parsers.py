"""Parsers of data from outside: complete or split at any byte, at their limits, and malformed."""

import functools
import itertools

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from birchslip.admission.settings import SettingsReader, flatten, read_admission_settings
from birchslip.admission.types import Idempotency
from birchslip.errors import InvalidInputError
from birchslip.net import http, message_reader
from birchslip.net.buffer import INITIAL_BYTES, Buffer, MalformedMessageError
from birchslip.net.message_reader import MAX_VALUES, MessageReader, read_messages
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
    {str(number): number for number in range(16)},
    [0, 7, "checkout", [{"req": "9b1f03aa5c7e2d41"}, b"\x00" * 2048]],
]


def buffer_of(raw, bound=1 << 20):
    buffer = Buffer(bound)
    buffer.feed(raw)
    return buffer


@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:30])
def test_messagepack_agrees_with_library_in_both_directions(value):
    assert msgpack.unpackb(pack(value), strict_map_key=False) == value
    assert read_messages(buffer_of(msgpack.packb(value))) == ([value], "")


def test_messages_split_at_any_byte_are_read_once():
    sent = [[0, 7, "lookup", [{"ts": "17"}, b"body"]], [2, "abort", [7]], [0, 300, "ping", [{}]]]
    raw = b"".join(pack(message) for message in sent)
    for split in range(len(raw) + 1):
        buffer = buffer_of(raw[:split])
        first, reason = read_messages(buffer)
        buffer.feed(raw[split:])
        second, second_reason = read_messages(buffer)
        assert first + second == sent
        assert not reason
        assert not second_reason
        assert not len(buffer)


VALUE_TREES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=40) | st.binary(),
    lambda trees: st.lists(trees, max_size=6) | st.dictionaries(st.text(max_size=9), trees, max_size=6),
    max_leaves=60,
)


@given(st.lists(VALUE_TREES, max_size=6), st.lists(st.integers(1, 50), min_size=1, max_size=40))
def test_messages_in_pieces_of_any_size_are_read_as_they_were_sent(sent, sizes):
    raw = b"".join(pack(value) for value in sent)
    buffer, reader, received, position = Buffer(1 << 20), MessageReader(), [], 0
    for size in itertools.cycle(sizes):
        if position >= len(raw):
            break
        buffer.feed(raw[position : position + size])
        position += size
        messages, reason = read_messages(buffer, reader)
        assert not reason
        received += messages
    assert received == sent
    assert not len(buffer)


# Guards against a message that is decoded again from its start with each of its pieces: some hundred clients
# that wrote slowly kept honest requests from being served in time.
@pytest.mark.parametrize(
    "message",
    [
        [0, 1, "order", [{"req": "9b1f03aa5c7e2d41"}, b"x" * 2048]],
        [0, 1, "lookup", [{f"f{number}": "" for number in range(MAX_ITEMS)}, b""]],
        [[1] * MAX_ITEMS] * 6,
        functools.reduce(lambda inner, _: [inner], range(MAX_DEPTH), 1),
    ],
    ids=["large body", "short fields", "short values", "deep nesting"],
)
@pytest.mark.parametrize("size", [1, 7, 64])
def test_work_on_an_unfinished_message_is_linear_in_its_bytes(monkeypatch, message, size):
    looked_at, decoded = [], []

    class CountingList(list):
        def __getitem__(self, type_byte):  # once for each value that is looked at
            looked_at.append(type_byte)
            return super().__getitem__(type_byte)

    decode = message_reader.unpack
    monkeypatch.setattr(message_reader, "FIXED_SIZES", CountingList(message_reader.FIXED_SIZES))
    monkeypatch.setattr(message_reader, "unpack", lambda *args: decoded.append(1) or decode(*args))
    raw, buffer, reader = pack(message), Buffer(1 << 16), MessageReader()
    for start in range(0, len(raw), size):
        assert not decoded
        buffer.feed(raw[start : start + size])
        read_messages(buffer, reader)
    pieces = -(-len(raw) // size)
    assert len(decoded) == 1
    assert 0 < len(looked_at) <= len(raw) + pieces


def test_message_of_too_many_values_is_rejected_before_its_end():
    raw = pack([[[1] * MAX_ITEMS] * MAX_ITEMS] * 4)
    buffer = buffer_of(raw[: 2 * MAX_VALUES])
    assert "values in one message" in read_messages(buffer)[1]


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"\xc1", "type byte 0xc1"),
        (b"\xd4\x01\x00", "type byte 0xd4"),
        (b"\xdb\x7f\xff\xff\xff", "bytes in one value"),
        (b"\xc5" + (MAX_VALUE_BYTES + 1).to_bytes(2, "big"), "bytes in one value"),
        (b"\xdd\x7f\xff\xff\xff", "items in one array"),
        (b"\xdc" + (MAX_ITEMS + 1).to_bytes(2, "big"), "items in one array"),
        (b"\xdf\x7f\xff\xff\xff", "pairs in one map"),
        (b"\x91" * (MAX_DEPTH + 2), "nested too deeply"),
        (b"\x81\x90\x01", "an array or a map as a key of a map"),
        (b"\xa2\xff\xfe", "not UTF-8"),
    ],
)
def test_messagepack_beyond_limits_is_rejected_with_reason(raw, expected):
    good = pack([2, "abort", [1]])
    messages, reason = read_messages(buffer_of(good + raw))
    assert messages == [[2, "abort", [1]]]
    assert expected in reason


@pytest.mark.parametrize("value", [2**64, -(2**63) - 1, object()])
def test_rejects_value_without_encoding(value):
    with pytest.raises((OverflowError, TypeError)):
        pack(value)


def test_buffer_grows_to_its_bound_and_is_compacted():
    buffer = Buffer(4 * INITIAL_BYTES)
    buffer.feed(b"a" * INITIAL_BYTES)
    assert buffer.take(INITIAL_BYTES - 10) == b"a" * (INITIAL_BYTES - 10)
    buffer.feed(b"b" * 100)  # fits after compaction
    assert len(buffer.data) == INITIAL_BYTES
    assert buffer.take(110) == b"a" * 10 + b"b" * 100
    buffer.feed(b"c" * 4 * INITIAL_BYTES)
    assert len(buffer.data) == 4 * INITIAL_BYTES
    assert len(buffer) == 4 * INITIAL_BYTES
    with pytest.raises(MalformedMessageError, match="bytes without a complete message"):
        buffer.make_room()


@pytest.mark.parametrize(
    ("pieces", "lines"),
    [
        ([b"one\ntwo\r\n"], [b"one", b"two"]),
        ([b"o", b"ne", b"\n\n", b"tw"], [b"one", b""]),
        ([b"x" * 99 + b"\r", b"\nrest"], [b"x" * 99]),
    ],
)
def test_reads_lines_received_in_pieces(pieces, lines):
    buffer, read = Buffer(1 << 16), []
    for piece in pieces:
        buffer.feed(piece)
        while (line := buffer.read_line(100)) is not None:
            read.append(line)
    assert read == lines


@pytest.mark.parametrize("raw", [b"x" * 102, b"x" * 102 + b"\n"])
def test_rejects_line_that_is_too_long(raw):
    with pytest.raises(MalformedMessageError, match="more than 100"):
        buffer_of(raw).read_line(100)


HTTP_RESPONSES = [
    (b"HTTP/1.1 204 No Content\r\n\r\n", 204, True),
    (b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", 204, False),
    (b"HTTP/1.0 204 Fine\r\n\r\n", 204, False),
    (b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nX-More: a: b\r\n\r\nbusy", 503, True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Then\r\n\r\n", 204, True),
]


@pytest.mark.parametrize(("raw", "status", "keeps_alive"), HTTP_RESPONSES)
def test_reads_http_response_split_at_any_byte(raw, status, keeps_alive):
    for split in range(len(raw)):
        buffer, response = buffer_of(raw[:split]), http.Response()
        assert not response.read(buffer)
        buffer.feed(raw[split:])
        assert response.read(buffer)
        assert (response.status, response.keeps_alive) == (status, keeps_alive)
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
def test_rejects_unsupported_http_response(raw):
    with pytest.raises(MalformedMessageError):
        http.Response().read(buffer_of(raw))


@pytest.mark.parametrize(
    ("line", "expected"),
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
def test_reads_reply_lines_of_vault_and_rejects_malformed_ones(line, expected):
    if expected is None:
        with pytest.raises(MalformedMessageError):
            parse_reply_line(line)
    else:
        request_id, word, length = parse_reply_line(line)
        assert (request_id, word.decode(), length) == expected


SETTINGS = {
    "classes": [{"name": "order taking", "effect": "by_key", "aim_s": 1.5, "hard_limit_s": 4, "window_s": 6}],
    "family_info": {"cores": 3, "class_skip_worth": [0.3], "cold": True, "mem_limit_kb": None},
    "tenants": [{"name": "blue", "quota_per_s": 20.0}],
    "azs": ["a", "b"],
}


def test_nested_settings_are_read_like_pairs_of_the_wire():
    reader = SettingsReader(flatten(SETTINGS))
    settings = read_admission_settings(7, reader)
    request_class = settings.request_classes[0]
    assert reader.names("classes") == ["order taking"]
    assert reader.text("azs", "") == "a,b"
    assert (request_class.idempotency, request_class.latency_objective, request_class.key_retention) == (
        Idempotency.KEYED,
        15_000,
        60_000,
    )
    assert (
        request_class.weight_without_call,
        settings.cores,
        settings.starts_cold,
        settings.tenants[0].quota,
    ) == (
        0.3,
        3,
        True,
        20.0,
    )
    assert settings.memory_limit == 1 << 30  # absent: the default applies


@pytest.mark.parametrize("wrong", [{"effect": "perhaps"}, {"aim_s": "soon"}, {"hard_limit_s": float("nan")}])
def test_invalid_setting_is_named(wrong):
    with pytest.raises(InvalidInputError, match=next(iter(wrong))):
        read_admission_settings(7, SettingsReader(flatten({"classes": [SETTINGS["classes"][0] | wrong]})))
