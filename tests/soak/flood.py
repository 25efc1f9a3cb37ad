"""Bad clients of one node, as a process of their own: many connections that send much at once.

Call: python flood.py HOST PORT KIND CLIENTS, with one of the kinds of `REQUESTS`.
"""

from __future__ import annotations

import asyncio
import sys

READY = b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
PIPELINED = 500
BODY_BYTES, MISSING_BYTES = 2**18, 100
HEAD_BYTES = 15_000
STAY_S = 4.0
POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
REQUESTS = {
    "half bodies": POST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - MISSING_BYTES),
    "half heads": POST + b"X-Filler: %s\r\n" % (b"x" * 100) * (HEAD_BYTES // 114),
    "pipelined requests": READY * PIPELINED,
}


async def client(host: str, port: int, data: bytes) -> None:
    """Sends the data at full speed, and reads what comes until the node closes, or for some seconds."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return
    try:
        async with asyncio.timeout(STAY_S):
            writer.write(data)
            while await reader.read(2**16):
                pass
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


async def main(host: str, port: str, kind: str, clients: str) -> None:
    """Runs all clients at once."""
    await asyncio.gather(*(client(host, int(port), REQUESTS[kind]) for _ in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:5]))
