"""Messages to routers, agent, vault and catalog are byte for byte those that an earlier version wrote."""

import json
from types import SimpleNamespace

import pytest

from birchslip.net import http
from birchslip.net.client import Client
from birchslip.net.messagepack import pack, unpack
from birchslip.net.program import Program
from birchslip.net.request_decoding import decode_request
from birchslip.net.site import parse_config
from examples.toy import CONFIGURATION

NAME = "0123456789abcdef"
FIELDS = {
    "req": NAME,
    "ts": "1764745200000",
    "via": "3",
    "owner": "green",
    "need": "1.5",
    "level": "0.25",
    "timeout": "2500",
    "resent": "1",
    "opkey": "f" * 32,
}
REQUEST = [0, 7, "lookup", [FIELDS, b"body"]]


class RecordedConnection:
    """A connection that records what is written to it."""

    def __init__(self):
        self.open = True
        self.written = []

    def write(self, message):
        self.written.append(message)


class Listener:
    """The part of the listener that the connection of a router uses."""

    def __init__(self):
        self.healthy = True
        self.counters = SimpleNamespace(count=lambda name: None)
        self.scheduler = SimpleNamespace(now=0, at=lambda due, action: None)

    def health_details(self):
        return {"store": "full"}

    def update_idle(self, client):
        pass


def to_router(write):
    connection = RecordedConnection()
    write(Client(Listener(), connection))
    return b"".join(connection.written)


def program():
    configuration = json.loads(CONFIGURATION.read_text())
    configuration |= {"name": "n 3", "listen": "127.0.0.1:0", "agent": "127.0.0.1:1", "vault": "127.0.0.1:2"}
    return Program(parse_config(configuration | {"directory": "127.0.0.1:3"}, {}))


def to_agent(write):
    run = SimpleNamespace(
        request_id=NAME, class_name="lookup", body=b"body", call_notice_number=5, pending_orders=[]
    )
    write(program().agent, run)
    return b"".join(order.line for order in run.pending_orders)


def to_vault():
    vault = program().vault
    vault.call(SimpleNamespace(request_id=NAME), 250, b"question")
    return vault.calls[NAME].message


def to_catalog(state):
    catalog = program().catalog
    return http.encode_request("PUT", catalog.path, catalog.host, state)


MESSAGES = {
    "served": lambda: to_router(lambda client: client.send_result(7, b"made")),
    "rejected with Retry-After": lambda: to_router(lambda client: client.send_rejection(8, 12_345, True)),
    "rejected": lambda: to_router(lambda client: client.send_rejection(9, 0, False)),
    "failed": lambda: to_router(lambda client: client.send_error(10)),
    "failed with a reason": lambda: to_router(lambda client: client.send_error(11, "need is 0")),
    "health check": lambda: to_router(lambda client: client.handle_message([0, 12, "ping", [{}]])),
    "closing": lambda: to_router(lambda client: client.send_closing()),
    "launch": lambda: to_agent(lambda agent, run: agent.launch(run)),
    "freeze": lambda: to_agent(lambda agent, run: agent.stop_run(run)),
    "deliver": lambda: to_agent(lambda agent, run: agent.deliver(run, b"reply")),
    "forgo": lambda: to_agent(lambda agent, run: agent.skip_call(run)),
    "call": to_vault,
    "report": lambda: to_catalog(b'{"status":"passing"}'),
    "request": lambda: pack(REQUEST),
}

RECORDED = {
    "served": b"\x94\x01\x07\xc0\x92\xc4\x04made\x80",
    "rejected with Retry-After": b"\x94\x01\x08\x92\xaaOverloaded\x82\xa7holdoff\xa41235\xa6nomore\xa11\xc0",
    "rejected": b"\x94\x01\t\x92\xaaOverloaded\x80\xc0",
    "failed": b"\x94\x01\n\x92\xa6Failed\x80\xc0",
    "failed with a reason": b"\x94\x01\x0b\x92\xa9need is 0\x80\xc0",
    "health check": b"\x94\x01\x0c\xc0\x92\xc3\x81\xa5store\xa4full",
    "closing": b"\x93\x02\xa7closing\x90",
    "launch": b'{"op":"launch","id":"0123456789abcdef","class":"lookup","body":"Ym9keQ=="}\n',
    "freeze": b'{"op":"freeze","id":"0123456789abcdef"}\n',
    "deliver": b'{"op":"deliver","id":"0123456789abcdef","body":"cmVwbHk="}\n',
    "forgo": b'{"op":"forgo","id":"0123456789abcdef","seq":5}\n',
    "call": b"ask 0123456789abcdef 250 8\r\nquestion\r\n",
    "report": b"PUT /catalog/register/n%203 HTTP/1.1\r\nHost: 127.0.0.1:3\r\n"
    b"Content-Type: application/json\r\n"
    b'Content-Length: 20\r\n\r\n{"status":"passing"}',
    "request": b"\x94\x00\x07\xa6lookup\x92\x89\xa3req\xb00123456789abcdef\xa2ts\xad1764745200000\xa3via\xa13"
    b"\xa5owner\xa5green\xa4need\xa31.5\xa5level\xa40.25\xa7timeout\xa42500\xa6resent\xa11\xa5opkey\xd9 "
    b"ffffffffffffffffffffffffffffffff\xc4\x04body",
}


@pytest.mark.parametrize("name", RECORDED)
def test_message_is_encoded_as_recorded(name):
    assert MESSAGES[name]() == RECORDED[name]


def test_every_recorded_message_has_an_encoder():
    assert sorted(MESSAGES) == sorted(RECORDED)


def test_recorded_request_is_decoded():
    raw = RECORDED["request"]
    message, end = unpack(memoryview(raw), 0, len(raw))
    assert end == len(raw)
    kind, number, method, parameters = message
    assert (kind, number, method) == (0, 7, "lookup")
    request = decode_request(method, parameters)
    assert (request.request_id, request.class_name, request.body) == (NAME, "lookup", b"body")
    # Tenths of a millisecond.
    assert (request.router_timestamp, request.timeout) == (17_647_452_000_000, 25_000)
    assert (request.caller, request.tenant, request.size) == (3, "green", 1536)
    assert (request.is_retry, request.idempotency_key, request.has_subject) == (True, "f" * 32, False)
