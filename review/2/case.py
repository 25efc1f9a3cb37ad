"""Hundreds of clients stop in the middle of a request and stay, each within the limit of a body.

The node is given the limits that the operators' bench gave a node of this site: 112 MB, 992 descriptors.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.settings import ZONES, settings
from common.world import HOST, TROUBLE, Discovery, Engine, Node, World, run_case, say

MEMORY_MB, SOCKETS = 112, 992
BAD_CLIENTS = 320
BODY_BYTES = 256 * 1024  # announced: no body exceeds it
MISSING_BYTES = 100  # never sent
OWED_WITHIN_S = 3.0  # an error or a close
USUAL_CLIENTS, USUAL_REQUESTS, PAUSE_S = 6, 12, 0.5


async def bad_client(world: World, node: Node, number: int, ends: dict[str, int]) -> None:
    """Sends a request but for its last bytes, and stays until the node ends the connection."""
    try:
        reader, writer = await asyncio.open_connection(HOST, node.port)
    except OSError:
        ends["no connection"] = ends.get("no connection", 0) + 1
        return
    started = world.record.now()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: bad{number:05x}\r\n"
        f"X-Priority-Class: feedback\r\nX-Timeout-Ms: 6000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    ).encode()
    opening = b'{"model":"chat","stream":true,"messages":[{"role":"user","content":"'
    try:
        writer.write(head + opening + b"x" * (BODY_BYTES - MISSING_BYTES - len(opening)))
        answer = await reader.read(100)
        end = answer[9:12].decode() or "closed"
    except OSError:
        end = "reset"
    finally:
        writer.transport.abort()
    late = " late" if world.record.now() - started > OWED_WITHIN_S else ""
    ends[end + late] = ends.get(end + late, 0) + 1


async def usual_client(world: World, node: Node, number: int, ends: dict[str, int]) -> None:
    for turn in range(USUAL_REQUESTS):
        key = f"{number:04x}{turn:04x}"
        result = await world.request(node, key, "feedback", 6000, 800, f"5e55{number:04x}")
        ends[result] = ends.get(result, 0) + 1
        await asyncio.sleep(PAUSE_S)


async def play(world: World, folder: Path) -> list[str]:
    for number in range(10):
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
        "limits": {"cores": 0.85, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": world.list_object(),
        "settings": settings(0, 3),
    }
    node = Node(world, "n0", folder, config)
    world.nodes.append(node)
    await node.start()
    memory = asyncio.create_task(node.watch_memory())
    world.tasks.append(memory)
    usual_ends: dict[str, int] = {}
    bad_ends: dict[str, int] = {}
    usual = [
        asyncio.create_task(usual_client(world, node, number, usual_ends)) for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(3.0)
    before_mb = node.used_mb()
    if TROUBLE:
        world.record.write("clients", f"{BAD_CLIENTS} bad clients send a request but for its last bytes")
        await asyncio.gather(*(bad_client(world, node, number, bad_ends) for number in range(BAD_CLIENTS)))
    await asyncio.gather(*usual)
    world.record.write("clients", f"bad clients: {bad_ends}; usual clients: {usual_ends}")
    world.record.write("platform", f"memory: {before_mb:.0f} MB before, {node.peak_mb:.0f} MB at most")
    say(f"memory: {before_mb:.0f} MB before, {node.peak_mb:.0f} MB at most, limit {MEMORY_MB} MB")
    say(f"bad clients: {bad_ends}; usual clients: {usual_ends}")
    if node.killed_for_memory:
        return [f"crash: the node was over its {MEMORY_MB} MB and was killed"]
    return [] if node.runs else [f"crash: the node ended with {node.process.returncode}"]


def main() -> int:
    return run_case(play, Path(__file__).resolve().parent)


if __name__ == "__main__":
    sys.exit(main())
