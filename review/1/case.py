"""One stream of one engine comes spoilt: in place of its events comes noise that never ends."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.settings import ZONES, settings
from common.world import (
    EVENT,
    HOST,
    TROUBLE,
    CouldNotRunError,
    Discovery,
    Engine,
    Node,
    World,
    chunk,
    run_case,
    say,
)

ENGINES = 10
CHUNK_BYTES, BLOCK_BYTES = len(EVENT), 2**16  # of the noise: each chunk, and what is written at once
SPOILT_STREAMS = 1
SPOILT_AT_S, TRAFFIC_S = 4.0, 14.0
JOBS_PER_S = 6.0  # the usual third of the site's 14, and a little more, for one of three fronts
FEEDBACK_SHARE = 0.69  # of the jobs; the others are of mark-entry
LATE_ANSWER_S = 0.5 + 0.05  # after the client's time
LATE_END_S = 1.0 + 0.05  # after the engine wrote the end of a stream
MAX_OWN_LAG_S = 0.3  # of these stand-ins, for the times to count
LAG_STEP_S = 0.02


async def watch_own_lag(lags: list[float], world: World) -> None:
    while True:
        before = world.record.now()
        await asyncio.sleep(LAG_STEP_S)
        lags[0] = max(lags[0], world.record.now() - before - LAG_STEP_S)


async def play(world: World, folder: Path) -> list[str]:
    random = Random(60)
    for number in range(ENGINES):
        kind, zone = ("prefill", "decode")[number % 2], number % 3
        engine = Engine(world, f"s-{number:02x}", kind, ZONES[zone], zone + 1)
        await engine.start()
        world.engines.append(engine)
    agent = Discovery(world)
    await agent.start()
    config = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:{agent.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.85, "memory_mb": 112, "sockets": 768},
        "known": world.list_object(),
        "settings": settings(0, 3),
    }
    node = Node(world, "n0", folder, config)
    world.nodes.append(node)
    await node.start()
    lags = [0.0]
    world.tasks.append(asyncio.create_task(watch_own_lag(lags, world)))
    broken: list[str] = []
    ends: dict[str, int] = {}

    async def usual(key: str, name: str, wait_ms: int) -> None:
        sent_at = world.record.now()
        result = await world.request(node, key, name, wait_ms, random.randint(500, 2000))
        took_s = world.record.now() - sent_at
        sent_at = world.sent_at.get(key, sent_at)  # its time counts from its last byte
        ends[result] = ends.get(result, 0) + 1
        first_s = world.first_byte.get(key, sent_at + took_s) - sent_at
        if result in ("closed without an answer", "no answer"):
            broken.append(f"lost: {key} ({name}) ended as: {result}")
        elif first_s > wait_ms / 1000 + LATE_ANSWER_S:
            broken.append(f"lost: {key} ({name}, {wait_ms} ms): answer {result} began after {first_s:.2f} s")
        elif result == "200" and world.record.now() - world.last_end[key] > LATE_END_S:
            late_s = world.record.now() - world.last_end[key]
            broken.append(f"lost: {key} ({name}): its stream's end was passed on {late_s:.2f} s late")

    start = world.record.now()
    tasks = []
    number = 0
    spoils = False
    while (elapsed := world.record.now() - start) < TRAFFIC_S:
        if TROUBLE and not spoils and elapsed > SPOILT_AT_S:
            spoils = True
            noise = chunk(b"~" * CHUNK_BYTES)
            writer = world.engines[1]
            writer.spoilt_block, writer.spoilt_left = noise * (BLOCK_BYTES // len(noise)), SPOILT_STREAMS
        number += 1
        name = "feedback" if random.random() < FEEDBACK_SHARE else "mark-entry"
        wait_ms = int((6000 if name == "feedback" else 10000) * random.uniform(0.5, 1.0))
        tasks.append(asyncio.create_task(usual(f"{number:016x}", name, wait_ms)))
        await asyncio.sleep(random.expovariate(JOBS_PER_S))
    await asyncio.gather(*tasks)
    text = f"usual clients: {ends}; lost: {len(broken)}; the stand-ins were late by {lags[0]:.3f} s at most"
    world.record.write("clients", text)
    say(text)
    if lags[0] > MAX_OWN_LAG_S:
        raise CouldNotRunError(f"the stand-ins were late by {lags[0]:.2f} s: the machine is busy")
    return broken


def main() -> int:
    return run_case(play, Path(__file__).resolve().parent)


if __name__ == "__main__":
    sys.exit(main())
