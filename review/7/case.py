"""While bad clients send several requests at once, kept connections are not read for seconds."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from standins import (
    HOST,
    TROUBLE,
    Answer,
    Case,
    CouldNotRunError,
    Node,
    play,
    read_head,
    request_bytes,
    settings,
)

BAD_CLIENTS, BAD_S = 320, 10.0
USUAL_CLIENTS, REST_S, LOAD_S, BEFORE_S = 12, 0.3, 16.0, 2.0
TIMEOUTS_MS = (2000, 1500, 1000)  # 50 to 100% of the outer limit
SERVICES = [
    {"name": "feedback", "aim": 1000.0, "deadline": 2000.0, "worth": 2.0, "late_worth": 0.2}
    | {"repeat": "free", "group": "all", "window": 5000.0, "stream": True},
    {"name": "mark-entry", "aim": 1000.0, "deadline": 2000.0, "worth": 6.0, "late_worth": 0.2}
    | {"repeat": "single_shot", "group": "all", "window": 5000.0, "stream": True},
]
LATE_S = 0.5 + 0.05  # after the client's time an answer only earns nothing; 50 ms more on sockets
WAIT_S = 12.0  # that the case waits for an answer after the client's time
MAX_OWN_LATENESS_S = 0.3


async def usual(case: Case, node: Node, name: str, timeout_ms: int, end_s: float, answers: list[Any]) -> None:
    """A usual client: one request after the other on a connection that it keeps, with short rests."""
    record, number, kept = case.record, 0, None
    while record.now() < end_s:
        number += 1
        key = f"{name}{number:04x}"
        if kept is None or kept[0].at_eof():
            kept = await asyncio.open_connection(HOST, node.port)
            first_on_connection = True
        reader, writer = kept
        writer.write(request_bytes(key, "feedback", timeout_ms))
        await writer.drain()
        sent_at = record.now()
        status, begun_at, why, is_closed = 0, 0.0, "", True
        try:
            first, headers = await asyncio.wait_for(read_head(reader), timeout_ms / 1000 + WAIT_S)
            status, begun_at = int(first.split(" ")[1]), record.now()
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    await reader.readexactly(size + 2)
                await reader.readexactly(2)
            else:
                await reader.readexactly(int(headers.get("content-length", "0")))
            is_closed = headers.get("connection", "").lower() == "close"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            why = type(error).__name__
        except TimeoutError:
            why = "no answer"
        if is_closed:
            writer.close()
            kept = None
        after_s = begun_at - sent_at if begun_at else -1.0
        record.line(
            f"client: {key} sent at {sent_at:.3f}, time {timeout_ms} ms, first {first_on_connection}: "
            f"{status} after {after_s:.3f} s {why}"
        )
        if why and status == 0 and not first_on_connection:
            continue  # the close crossed the request: it is sent once more, on a new connection
        first_on_connection = False
        answers.append((timeout_ms, Answer(key, sent_at, status, not why, begun_at, why)))
        await asyncio.sleep(REST_S)


async def own_lateness(case: Case, lateness: list[float]) -> None:
    """Measures how late this process is."""
    while True:
        due = case.record.now() + 0.02
        await asyncio.sleep(0.02)
        lateness.append(case.record.now() - due)


async def body(case: Case) -> bool:
    """Usual clients send on connections that they keep, with 320 bad clients beside them for 10 s."""
    readers = [await case.engine(f"r{number}", "prefill") for number in range(2)]
    writers = [await case.engine(f"w{number}", "decode") for number in range(3)]
    entries = [engine.entry() for engine in (*readers, *writers)]
    known = {"index": 41, "snapshot": True, "endpoints": entries}
    discovery = await case.discovery("discovery", entries, 41)
    node = await case.node("n0", discovery, known, settings(services=SERVICES))
    lateness: list[float] = []
    measuring = asyncio.create_task(own_lateness(case, lateness))
    answers: list[Any] = []
    tasks = [
        asyncio.create_task(
            usual(case, node, f"a{number:03x}", TIMEOUTS_MS[number % len(TIMEOUTS_MS)], LOAD_S, answers)
        )
        for number in range(USUAL_CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    flood = None
    if TROUBLE:
        flood = await case.program(
            str(Path(__file__).resolve().parent / "flood.py"),
            *(str(value) for value in (node.port, BAD_CLIENTS, BAD_S)),
        )
        case.record.line(f"{BAD_CLIENTS} bad clients begin")
    await asyncio.gather(*tasks)
    measuring.cancel()
    if flood is not None and flood.stdout is not None:
        case.record.line(f"bad clients: {(await flood.stdout.read()).decode().strip()}")
        await flood.wait()
    stood_still = [
        (line["ms"], line["client_reads"], line["client_bytes"])
        for line in node.log_lines()
        if line.get("event") == "event loop was late"
    ]
    case.record.line(f"the node stood still, with ms, reads and bytes of clients: {stood_still}")
    lost = [
        (answer.request, timeout_ms, round(answer.ended_at - answer.sent_at, 3), answer.why)
        for timeout_ms, answer in answers
        if answer.why == "no answer"
        or answer.status
        and answer.ended_at - answer.sent_at > timeout_ms / 1000 + LATE_S
    ]
    # A first request on a new connection that is closed unread has failed, and is not lost (DAYS).
    excused = sum(not answer.status and answer.why != "no answer" for _, answer in answers)
    case.record.line(f"closed without an answer, and not counted: {excused}")
    counts = Counter(answer.status for _, answer in answers)
    longest = max(answer.ended_at - answer.sent_at for _, answer in answers)
    case.record.line(f"lost, with the client's time in ms and the seconds to the answer: {lost}")
    print(
        f"closed {excused}; lost {len(lost)} of {len(answers)} {lost[:3]}; {dict(counts)}; "
        f"longest {longest:.2f} s; "
        f"node stood still {stood_still}; own lateness {max(lateness):.2f} s"
    )
    if max(lateness) > MAX_OWN_LATENESS_S:
        raise CouldNotRunError("the stand-ins themselves were late")
    return not lost


def main() -> int:
    """Plays the case."""
    return play(__file__, body)


if __name__ == "__main__":
    sys.exit(main())
