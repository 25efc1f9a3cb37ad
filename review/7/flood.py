"""Bad clients: each sends two requests at once, the second of which can't be read, and the same again.

Call: flood.py PORT CLIENTS SECONDS. Prints how many requests were sent and how they ended.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter

HOST = "127.0.0.1"
FIRST = b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %016x\r\n"
    b"X-Priority-Class: feedback\r\nX-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CHUNK, BAD_CHUNK = b"1\r\nx\r\n", b"no size\r\n"
SIZE = 16_000  # bytes of one request
GIVE_UP_S = 6.0


async def client(port: int, number: int, end: float, counts: Counter[str]) -> None:
    """Sends one request after the other, each on a new connection."""
    while time.monotonic() < end:
        number += 1_000
        head = FIRST + HEAD % number
        data = head + CHUNK * ((SIZE - len(head)) // len(CHUNK)) + BAD_CHUNK
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            counts["no connection"] += 1
            await asyncio.sleep(0.01)
            continue
        try:
            writer.write(data)
            answer = await asyncio.wait_for(reader.read(), GIVE_UP_S)
            counts[answer[answer.rfind(b"HTTP/1.1 ") + 9 :][:3].decode("latin-1") or "closed"] += 1
        except TimeoutError:
            counts["neither in time"] += 1
        except ConnectionError:
            counts["reset"] += 1
        finally:
            writer.close()


async def main(port: int, clients: int, seconds: float) -> None:
    """Runs all clients."""
    counts: Counter[str] = Counter()
    end = time.monotonic() + seconds
    await asyncio.gather(*(client(port, number, end, counts) for number in range(clients)))
    print(dict(counts))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
