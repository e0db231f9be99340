"""Plays a small deployment of brunswick-parts while the link to the agent breaks, and judges the replies."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins import (
    BRUNSWICK_PARTS,
    Agent,
    AppServer,
    Catalog,
    Router,
    Try,
    Vault,
    World,
    configuration,
    run_case,
)

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 50
PLAY_S = 95
REQUESTS_PER_S = 50
SHARES = {"stock-check": 43, "draft-save": 29, "order-place": 29}
CALLS = {"stock-check": 1.4, "draft-save": 1.4, "order-place": 1.0}  # of a run, in the mean
CALL_MS = (10, 30)
BREAK_S = (1.0, 3.0)  # between two breaks of the link
PIECE_DELAY_S = 0.01  # between the two pieces of a message


async def break_link(agent: Agent, chance: random.Random) -> None:
    """Reset the link to the agent now and then."""
    while True:
        await asyncio.sleep(chance.uniform(*BREAK_S))
        agent.break_link()


def next_try(chance: random.Random, router: Router) -> Try:
    """Create a request of a class drawn by the shares."""
    kind = chance.choices(list(SHARES), list(SHARES.values()))[0]
    calls = 1 + (chance.random() < CALLS[kind] - 1)
    parts = [str(chance.randint(25, 50)) for _ in range(calls + 1)]
    key = f"{chance.getrandbits(128):032x}" if kind == "order-place" else ""
    return router.new_try(kind, ",".join(parts).encode(), 4400, key)


async def play(world: World, folder: Path) -> tuple[bool, str]:
    """Play the deployment; return whether the rule held, and the figures."""
    chance = random.Random(SEED)
    agent, catalog, vault = Agent(world, cores=6), Catalog(world), Vault(world, 16, *CALL_MS, SEED)
    for peer in (agent, vault, catalog):
        await peer.listen()
    figures = configuration(BRUNSWICK_PARTS, agent, vault, catalog, cores=6, calls_out=8.0)
    server = AppServer(world, folder, figures)
    side = [asyncio.create_task(agent.write_pieces())]
    if TROUBLE:
        agent.piece_delay = PIECE_DELAY_S
        side.append(asyncio.create_task(break_link(agent, chance)))
    try:
        await server.start()
        routers = [Router(world, number, str(server.configuration["listen"])) for number in range(6)]
        for router in routers:
            router.aborts = False  # an order box does not hear when a caller gives up
        sending = []
        ends = time.monotonic() + PLAY_S
        while time.monotonic() < ends:
            router = chance.choice(routers)
            sending.append(asyncio.create_task(router.send(next_try(chance, router))))
            await asyncio.sleep(chance.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*sending)
    finally:
        for task in side:
            task.cancel()
        server.stop()
    return judge(world)


def judge(world: World) -> tuple[bool, str]:
    """Note what broke the rule; return whether it held, and the figures."""
    wrong = 0
    for attempt in world.tries.values():
        for call in attempt.calls.values():
            if any(reply != call.reply for reply in call.delivered):
                wrong += 1
                word = attempt.answers[0][1] if attempt.answers else "not answered"
                world.note(f"WRONG REPLY to {call.body.decode()}: {call.delivered}; its request: {word}")
    served = sum(bool(attempt.results) for attempt in world.tries.values())
    if not served:
        raise RuntimeError("nothing was served")
    return not wrong, (
        f"{len(world.tries)} requests, {served} runs done, the link broken {world.counts['breaks']} times; "
        f"runs handed the reply of another call: {wrong}"
    )


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
