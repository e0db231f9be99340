"""A toy world around one app server: an agent that sleeps instead of working, a vault, a catalog, a router.

    python examples/toy.py             the peers that app-server.json names, until interrupted
    python examples/toy.py ask 20      twenty transactions to the app server, and what became of them

The stand-ins are the lab's.
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


def peers() -> None:
    told = json.loads(CONFIGURATION.read_text())
    for kind, name in ((Agent, "agent"), (Vault, "vault"), (Catalog, "directory")):
        host, _, port = told[name].rpartition(":")
        print(f"{kind.__name__.lower()} at {kind(host, int(port)).address}")
    with suppress(KeyboardInterrupt):
        threading.Event().wait()


def ask(count: int) -> None:
    router = Router(json.loads(CONFIGURATION.read_text())["listen"])
    sent = {}
    for place in range(count):
        if place % 3:
            number = router.call("lookup", b"200 ms", owner="green" if place % 2 else "blue")
        else:
            number = router.call("order", b"100 ms call", opkey=os.urandom(16).hex())
        sent[number] = time.time()
    while sent:
        message = router.message()
        if message[0] == 1:
            took = (time.time() - sent.pop(message[1])) * 1000
            print(f"{message[1]:4} after {took:5.0f} ms: {message[2] or message[3]}")


if __name__ == "__main__":
    if sys.argv[1:2] == ["ask"]:
        ask(int((sys.argv[2:] or ["20"])[0]))
    else:
        peers()
