"""Stand-ins for the systems around one app server: an agent whose runs are sleeps, a vault and a catalog.

    python examples/toy.py             run the peers that app-server.json names, until interrupted
    python examples/toy.py ask 20      send twenty requests to the app server and print the responses

The stand-ins are those of `birchslip.lab.toy`.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from birchslip.lab.toy import Agent, Catalog, Router, Vault

CONFIGURATION = Path(__file__).with_name("app-server.json")


def run_peers() -> None:
    """Run agent, vault and catalog at their configured addresses until interrupted."""
    configuration = json.loads(CONFIGURATION.read_text())
    for kind, name in ((Agent, "agent"), (Vault, "vault"), (Catalog, "directory")):
        host, _, port = configuration[name].rpartition(":")
        print(f"{kind.__name__.lower()} at {kind(host, int(port)).address}")
    with suppress(KeyboardInterrupt):
        threading.Event().wait()


def send_requests(count: int) -> None:
    """Send `count` requests, a third of class `order` and the others of `lookup`, and print each response.

    The time printed runs from the request to its response, in milliseconds.
    """
    router = Router(json.loads(CONFIGURATION.read_text())["listen"])
    sent = {}
    for index in range(count):
        if index % 3:
            number = router.call("lookup", b"200 ms", owner="green" if index % 2 else "blue")
        else:
            number = router.call("order", b"100 ms call", opkey=os.urandom(16).hex())
        sent[number] = time.time()
    while sent:
        message = router.message()
        if message[0] == 1:
            elapsed_ms = (time.time() - sent.pop(message[1])) * 1000
            print(f"{message[1]:4} after {elapsed_ms:5.0f} ms: {message[2] or message[3]}")


if __name__ == "__main__":
    if sys.argv[1:2] == ["ask"]:
        send_requests(int((sys.argv[2:] or ["20"])[0]))
    else:
        run_peers()
