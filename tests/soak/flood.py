"""Bad clients of one node, as a process of their own: many connections that send much at once.

Call: python flood.py HOST PORT KIND CLIENTS, with one of the kinds of `REQUESTS` or `REPEATED_REQUESTS`.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from collections.abc import Iterator

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
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
COSTLY_CHUNKS, TRAILERS = 3000, 16_000
REPEATED_REQUESTS = {  # sent again and again, each on a new connection; %x is a new number each time
    "costly chunks": CHUNKED + b"1\r\nx\r\n" * COSTLY_CHUNKS + b"no size\r\n",
    "costly pipelined chunks": READY + CHUNKED + b"1\r\nx\r\n" * COSTLY_CHUNKS + b"no size\r\n",
    "trailers": CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * TRAILERS,
    "long field names": READY[:-2] + b"x%x" + b"y" * HEAD_BYTES + b": 1\r\n\r\n",
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


async def repeating_client(host: str, port: int, data: bytes, numbers: Iterator[int]) -> None:
    """Sends the data, and the same again as soon as it is turned away, for some seconds."""
    end = time.monotonic() + STAY_S
    while time.monotonic() < end:
        await client(host, port, data.replace(b"%x", b"%x" % next(numbers)))
        await asyncio.sleep(0)


async def main(host: str, port: str, kind: str, clients: str) -> None:
    """Runs all clients at once."""
    count, numbers = int(clients), itertools.count()
    if kind in REQUESTS:
        running = [client(host, int(port), REQUESTS[kind]) for _ in range(count)]
    else:
        data = REPEATED_REQUESTS[kind]
        running = [repeating_client(host, int(port), data, numbers) for _ in range(count)]
    await asyncio.gather(*running)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:5]))
