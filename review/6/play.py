"""Case 6: keyed requests that clients take back at once stay in memory, until the app server is killed."""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common_2 import Case, run_case, server_settings, write_config  # noqa: E402

from birchslip.lab.toy import Agent, Catalog, Router, Vault  # noqa: E402
from birchslip.lab.wires import free_port  # noqa: E402
from birchslip.net.messagepack import pack  # noqa: E402

MEMORY_MB = 96  # within the 32 to 192 MB that the pages give
CONNECTIONS = 8  # of the bad client: with 31 requests each, hundreds are taken back at once
OPEN_REQUESTS = 31  # a connection carries up to 32
BODY_BYTES = 2048  # a body has at most 2 KiB
ROUTERS, PAUSE_S = 2, 0.1
SECONDS = 50.0
LOOK_S = 0.1
MS_PER_S = 1000


class KnowingAgent(Agent):
    """An agent that refuses runs of requests that did not come to it by a router.

    Attributes:
        known_ids: Ids of the routers' requests.
        refused: Number of launches refused.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.known_ids: set[str] = set()
        self.refused = 0
        super().__init__()

    def handle_order(self, connection: socket.socket, order: dict[str, Any]) -> None:
        """Carry out one order, or refuse the launch of a request that no router sent."""
        if order["op"] == "launch" and order["id"] not in self.known_ids:
            self.refused += 1
            self.send(op="refusal", end="launch", id=order["id"])
        else:
            super().handle_order(connection, order)


class BadClient:
    """A client that takes back its requests at once and sends new ones, at full speed, on one connection.

    Attributes:
        sent: Number of requests sent.
    """

    def __init__(self, address: str) -> None:
        """Connect and begin."""
        self.router = Router(address)
        self.sent = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Send requests until the connection ends, and read all that is sent back."""
        numbers: list[int] = []
        body = os.urandom(BODY_BYTES)
        try:
            while True:
                pieces = [pack([2, "abort", [number]]) for number in numbers]
                numbers = []
                for _ in range(OPEN_REQUESTS):
                    self.router.number += 1
                    numbers.append(self.router.number)
                    pieces.append(pack([0, self.router.number, "order", [make_fields(), body]]))
                self.router.number += 1
                pieces.append(pack([0, self.router.number, "ping", [{}]]))
                self.router.connection.sendall(b"".join(pieces))
                self.sent += OPEN_REQUESTS
                while self.router.message()[:2] != [1, self.router.number]:
                    pass
        except (OSError, EOFError):
            return


def make_fields() -> dict[str, str]:
    """Return the fields of a keyed request with a new id and a new key."""
    return {
        "req": os.urandom(8).hex(),
        "ts": str(time.time_ns() * MS_PER_S // 1_000_000_000),
        "via": "9",
        "owner": "green",
        "timeout": "3900",
        "need": "1",
        "level": "0.5",
        "opkey": os.urandom(16).hex(),
    }


def route(case: Case, agent: KnowingAgent, address: str) -> None:
    """Send honest requests, one after another, until the connection ends."""
    counts: dict[str, int] = {}
    try:
        router = Router(address)
        while True:
            run_id = os.urandom(8).hex()
            agent.known_ids.add(run_id)
            error, _ = router.answer(router.call("order", b"20 ms", req=run_id, opkey=os.urandom(16).hex()))
            outcome = error[0] if error else "served"
            counts[outcome] = counts.get(outcome, 0) + 1
            time.sleep(PAUSE_S)
    except (OSError, EOFError) as error:
        case.note(f"router: its connection ended ({type(error).__name__}), answers until then {counts}")


def memory_kb(process_id: int) -> int:
    """Return the anonymous memory of a process in KB, which leaves out files that it has mapped."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("RssAnon:"))


def play(case: Case) -> None:
    """Run one app server with two routers and a bad client, and kill it if it goes over its memory."""
    agent, vault, catalog = KnowingAgent(), Vault(), Catalog()
    address = f"127.0.0.1:{free_port()}"
    peers = {"agent": agent.address, "vault": vault.address, "directory": catalog.address}
    environment = write_config(case.folder / "config.json", "n1", address, peers, server_settings())
    config = json.loads((case.folder / "config.json").read_text())
    config["limits"]["memory_mb"] = MEMORY_MB
    (case.folder / "config.json").write_text(json.dumps(config))
    process = case.start("n1", [], environment)
    case.wait_until("the app server serves", lambda: "now=serving" in case.log_of("n1"))
    case.note(f"memory at the start: {memory_kb(process.pid)} KB of {MEMORY_MB << 10} KB")
    for _ in range(ROUTERS):
        threading.Thread(target=route, args=(case, agent, address), daemon=True).start()
    bad_clients = [BadClient(address) for _ in range(CONNECTIONS)] if case.is_disturbed else []
    ends_at = time.monotonic() + SECONDS
    noted_at = 0.0
    while time.monotonic() < ends_at:
        time.sleep(LOOK_S)
        if process.poll() is not None:
            case.break_rule(f"the app server ended by itself with code {process.poll()}")
            return
        used = memory_kb(process.pid)
        if time.monotonic() - noted_at > 1 or used > MEMORY_MB << 10:
            noted_at = time.monotonic()
            sent = sum(client.sent for client in bad_clients)
            case.note(f"memory {used} KB; {sent} requests taken back, {agent.refused} launches refused")
        if used > MEMORY_MB << 10:
            case.break_rule(f"the app server went over its {MEMORY_MB} MB, and is killed for it")
            case.signal("n1", process, signal.SIGKILL)
            time.sleep(1)
            return


if __name__ == "__main__":
    run_case(FOLDER, play)
