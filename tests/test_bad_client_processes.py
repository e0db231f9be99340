"""The app server as a process among clients that misuse it: what honest requests get, and its memory."""

import json
import multiprocessing
import time

import pytest

from birchslip.lab.bad_clients import BadClientKind, run_bad_clients
from examples.toy import CONFIGURATION

from .test_program import start  # noqa: F401  the fixture that starts an app server

pytestmark = pytest.mark.xdist_group("processes")
ATTACK_S = 4.0
PAUSE_S = 0.05
CROWD = 320
SETTINGS = json.loads(CONFIGURATION.read_text())["settings"]
LOOKUP = SETTINGS["classes"][0]


def send_honest_requests(server, ends_at):
    """Send requests one after another until a monotonic time.

    A request on a connection that the app server closes with nothing run is sent once more, on a new one.

    Returns:
        How long each request took in seconds, and the errors of those that were not served.
    """
    router, durations, errors = server.connect_router(), [], []
    while time.monotonic() < ends_at:
        began_at = time.monotonic()
        try:
            error, _ = router.answer(router.call("lookup", b"5 ms"))
        except (EOFError, ConnectionError):
            router.connection.close()
            router = server.connect_router()
            error, _ = router.answer(router.call("lookup", b"5 ms"))
        durations.append(time.monotonic() - began_at)
        if error is not None:
            errors.append(error[0])
        time.sleep(PAUSE_S)
    return durations, errors


def attack(server, kind, clients):
    """Run bad clients in a process of their own; return the honest requests' durations and errors."""
    context = multiprocessing.get_context("spawn")
    attackers = context.Process(target=run_bad_clients, args=(server.address, kind, clients, ATTACK_S))
    attackers.start()
    try:
        return send_honest_requests(server, time.monotonic() + ATTACK_S)
    finally:
        attackers.join(20)
        attackers.kill()


def check(server, memory_mb, durations, errors):
    """Check that honest requests were served within the aim of their class, within the limit of memory."""
    assert server.process.poll() is None
    assert not errors
    assert max(durations) <= LOOKUP["hard_limit_s"]
    assert sorted(durations)[len(durations) * 9 // 10] <= LOOKUP["aim_s"]
    counters = server.counters()
    assert counters["process.memory_kb_most"] < memory_mb << 10
    assert counters["book.faults"] == counters.get("program.faults", 0) == 0


# Guards against clients that write slowly or stop half way: by hundreds they took the time or the memory.
@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@pytest.mark.parametrize("kind", [BadClientKind.SHORT_FIELDS, BadClientKind.HALF], ids=str)
def test_hundreds_of_unfinished_messages_leave_honest_requests_served(start, kind, memory_mb):  # noqa: F811
    server = start(limits={"sockets": 512, "memory_mb": memory_mb})
    check(server, memory_mb, *attack(server, kind, CROWD))


# Guards against one client at full speed that has others answered late, or memory grow with each new name.
@pytest.mark.parametrize("kind", [BadClientKind.PINGS, BadClientKind.UNSOUND, BadClientKind.UNKNOWN_TENANTS])
def test_client_at_full_speed_leaves_honest_requests_served(start, kind):  # noqa: F811
    server = start(limits={"sockets": 512, "memory_mb": 64})
    check(server, 64, *attack(server, kind, 1))


# Guards against requests taken back at once that stay in memory (review case 6), also of one client.
def test_client_that_takes_requests_back_at_once_does_not_grow_memory(start):  # noqa: F811
    server = start(limits={"sockets": 512, "memory_mb": 32})
    check(server, 32, *attack(server, BadClientKind.TAKEN_BACK, 4))
    assert server.counters()["book.gone"] > 500
