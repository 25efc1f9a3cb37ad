"""Bad clients: each sends hundreds of requests at once on one connection, reads the answers and goes."""

from __future__ import annotations

import asyncio
import sys

REQUEST = b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
STAY_S = 20.0


async def client(host: str, port: int, requests: int) -> int:
    """Returns how many answers came."""
    answers = 0
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0
    try:
        writer.write(REQUEST * requests)
        async with asyncio.timeout(STAY_S):
            while answers < requests and (data := await reader.read(2**16)):
                answers += data.count(b"HTTP/1.1 ")
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return answers


async def main(host: str, port: str, clients: str, requests: str) -> None:
    answers = await asyncio.gather(*(client(host, int(port), int(requests)) for _ in range(int(clients))))
    print(f"{len(answers)} clients with {requests} requests each got {sum(answers)} answers")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:5]))
