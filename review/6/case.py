"""Bad clients send what is costly to read: the node stands still, and usual answers come too late."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

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

BAD_CLIENTS, BAD_S = 280, 10.0
MAX_CLIENTS = 1024 // 3  # "Clients hold at most a third of the descriptors for requests"
PER_S, LOAD_S, BEFORE_S = 8.0, 16.0, 2.0
TIMEOUTS_MS = (3000, 4000, 5000, 6000)  # 50 to 100% of the outer limit of `feedback`
LATE_S = 0.5 + 0.05  # after the client's time an answer only earns nothing; 50 ms more on sockets
WAIT_S = 12.0  # that the case waits for an answer after the client's time
MAX_OWN_LATENESS_S = 0.3


async def ask(case: Case, node: Node, key: str, timeout_ms: int) -> Answer:
    """Sends one request on a new connection and waits for its answer, also after its time."""
    record = case.record
    reader, writer = await asyncio.open_connection(HOST, node.port)
    writer.write(request_bytes(key, "feedback", timeout_ms))
    await writer.drain()
    sent_at = record.now()
    status, begun_at, why = 0, 0.0, ""
    try:
        first, headers = await asyncio.wait_for(read_head(reader), timeout_ms / 1000 + WAIT_S)
        status, begun_at = int(first.split(" ")[1]), record.now()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        why = type(error).__name__
    except TimeoutError:
        why = "no answer"
    writer.close()
    after_s = begun_at - sent_at if begun_at else -1.0
    record.line(
        f"client: {key} sent at {sent_at:.3f}, time {timeout_ms} ms: {status} after {after_s:.3f} s {why}"
    )
    return Answer(key, sent_at, status, not why, begun_at, why)


async def own_lateness(case: Case, lateness: list[float]) -> None:
    """Measures how late this process is."""
    while True:
        due = case.record.now() + 0.02
        await asyncio.sleep(0.02)
        lateness.append(case.record.now() - due)


async def body(case: Case) -> bool:
    """Usual clients send on new connections, with 280 bad clients beside them for 10 s."""
    readers = [await case.engine(f"r{number}", "prefill") for number in range(2)]
    writers = [await case.engine(f"w{number}", "decode") for number in range(3)]
    entries = [engine.entry() for engine in (*readers, *writers)]
    known = {"index": 41, "snapshot": True, "endpoints": entries}
    discovery = await case.discovery("discovery", entries, 41)
    node = await case.node("n0", discovery, known, settings())
    lateness: list[float] = []
    measuring = asyncio.create_task(own_lateness(case, lateness))
    tasks, flood = [], None
    for number in range(round(PER_S * LOAD_S)):
        if TROUBLE and flood is None and number / PER_S >= BEFORE_S:
            flood = await case.program(
                str(Path(__file__).resolve().parent / "flood.py"),
                *(str(value) for value in (node.port, BAD_CLIENTS, BAD_S)),
            )
            case.record.line(f"{BAD_CLIENTS} bad clients begin")
        timeout_ms = TIMEOUTS_MS[number % len(TIMEOUTS_MS)]
        tasks.append((timeout_ms, asyncio.create_task(ask(case, node, f"a{number:07x}", timeout_ms))))
        await asyncio.sleep(1 / PER_S)
    answers = [(timeout_ms, await task) for timeout_ms, task in tasks]
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
    times = [(answer.sent_at, answer.ended_at) for _, answer in answers if answer.ended_at]
    open_at_once = max(sum(begin <= sent_at < end for begin, end in times) for sent_at, _ in times)
    case.record.line(f"usual requests open at once: {open_at_once}")
    if BAD_CLIENTS + open_at_once > MAX_CLIENTS:
        raise CouldNotRunError(f"{BAD_CLIENTS} bad clients and {open_at_once} usual requests are too many")
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
        f"usual ones open at once {open_at_once}; node stood still {stood_still}; "
        f"own lateness {max(lateness):.2f} s"
    )
    if max(lateness) > MAX_OWN_LATENESS_S:
        raise CouldNotRunError("the stand-ins themselves were late")
    return not lost


def main() -> int:
    """Plays the case."""
    return play(__file__, body)


if __name__ == "__main__":
    sys.exit(main())
