"""A reader takes jobs and answers none for some seconds, and then goes on with what it has taken."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.settings import ZONES, settings
from common.world import HOST, TROUBLE, Discovery, Engine, Node, World, run_case, say

NODES, ENGINES = 4, 10
JOBS_PER_S, TRAFFIC_S = 14.0, 36.0
FEEDBACK_SHARE = 0.69  # of the jobs; the others are of mark-entry
HANG_AT_S, HANG_S = 5.0, 24.0
SLOTS, TOKENS_PER_S = 5, 12_000.0  # of a reader
PROMPT_TOKENS = 1500, 4000  # that a reader has not kept
LIMIT_S = 0.5 + 0.3  # of the settings, and the slack of the pages
SETTLE_S = 6.0


async def traffic(world: World, random: Random, ends: dict[str, int]) -> None:
    tasks = []
    number = 0
    end = world.record.now() + TRAFFIC_S

    async def one(key: str, name: str, wait_ms: int, tokens: int) -> None:
        result = await world.request(random.choice(world.nodes), key, name, wait_ms, tokens)
        ends[result] = ends.get(result, 0) + 1

    while world.record.now() < end:
        await asyncio.sleep(random.expovariate(JOBS_PER_S))
        number += 1
        name = "feedback" if random.random() < FEEDBACK_SHARE else "mark-entry"
        limit_ms = 6000 if name == "feedback" else 10000
        wait_ms = int(limit_ms * random.uniform(0.5, 1.0))
        tokens = random.randint(*PROMPT_TOKENS)
        tasks.append(asyncio.create_task(one(f"{number:016x}", name, wait_ms, tokens)))
    await asyncio.gather(*tasks)


async def judge(world: World, broken: dict[str, str]) -> None:
    """Looks for states that are held for too long while no attempt of their request is out."""
    while True:
        await asyncio.sleep(0.01)
        now = world.record.now()
        for key, readers in world.held.items():
            for reader, since in readers.items():
                start = max(since, world.last_end[key])
                if not world.out[key] and now - start > LIMIT_S and key not in broken:
                    broken[key] = f"pinned: {reader} holds the state of {key} since {since:.3f}"
                    world.record.write("judge", broken[key])


async def play(world: World, folder: Path) -> list[str]:
    random = Random(60)
    for number in range(ENGINES):
        kind, zone = ("prefill", "decode")[number % 2], number % 3
        engine = Engine(world, f"s-{number:02x}", kind, ZONES[zone], zone + 1)
        engine.slots, engine.tokens_per_s = SLOTS, TOKENS_PER_S
        await engine.start()
        world.engines.append(engine)
    for number in range(NODES):
        agent = Discovery(world, f"agent{number}")
        await agent.start()
        config = {
            "name": f"n{number}",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{agent.port}",
            "seed": f"8c1f30d27a5be96{number}",
            "limits": {"cores": 0.85, "memory_mb": 112, "sockets": 768},
            "known": world.list_object(),
            "settings": settings(number, NODES),
        }
        world.nodes.append(Node(world, f"n{number}", folder, config))
    await asyncio.gather(*(node.start() for node in world.nodes))
    broken: dict[str, str] = {}
    world.tasks.append(asyncio.create_task(judge(world, broken)))
    ends: dict[str, int] = {}
    load = asyncio.create_task(traffic(world, random, ends))
    await asyncio.sleep(HANG_AT_S)
    reader = world.engines[0]
    if TROUBLE:
        reader.hang(True)
        await asyncio.sleep(HANG_S)
        say(f"taken and not answered: {len(reader.waiting) + len(reader.reading)}")
        reader.hang(False)
    await load
    await asyncio.sleep(SETTLE_S)
    still = sum(len(readers) for readers in world.held.values())
    world.record.write("clients", f"ends: {ends}; still held at the end: {still}")
    say(f"ends: {ends}; states held too long: {len(broken)}; still held at the end: {still}")
    return list(broken.values())


def main() -> int:
    return run_case(play, Path(__file__).resolve().parent)


if __name__ == "__main__":
    sys.exit(main())
