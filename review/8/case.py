"""Discovery is slow: a node that is told a drain goes on sending to the engine for ever."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from standins import OK, TROUBLE, Case, Client, play, settings

SLOW_S = 3.5  # until discovery's first answer to a call; each change then comes at once
TOLD_AFTER_S = 6.0  # the latest time at which a change counts as told
GRACE_S = 0.25 + 0.05  # `rules.drain_grace`, and 50 ms on sockets
LOAD_S, PER_S = 12.0, 8.0


async def body(case: Case) -> bool:
    """A node starts with an old list while two of the writers drain; later they are gone."""
    readers = [await case.engine(f"r{number}", "prefill") for number in range(2)]
    old = [await case.engine(f"w{number}", "decode") for number in range(2)]
    new = [await case.engine(f"w{number}", "decode") for number in range(2, 4)]
    known = {
        "index": 41,
        "snapshot": True,
        "endpoints": [engine.entry() for engine in (*readers, *old)],
    }
    discovery = await case.discovery("discovery", known["endpoints"], 41)
    for engine in old:
        engine.draining = True
    discovery.change(42, *(engine.entry("DRAINING") for engine in old), *(engine.entry() for engine in new))
    discovery.first_answer_after_s = SLOW_S if TROUBLE else 0.0
    told_at = case.record.now() + TOLD_AFTER_S
    node = await case.node("n0", discovery, known, settings())
    client = Client(node, case.record)
    await client.load("a", PER_S, LOAD_S)
    discovery.change(43, *(engine.entry("DELETED") for engine in old))
    for engine in old:
        await engine.stop()
    await asyncio.sleep(0.5)
    gone_from = case.record.now()
    await client.load("b", PER_S, LOAD_S)

    names = {engine.name for engine in old}
    late = [send for send in case.fleet.sends if send.engine in names and send.at > told_at + GRACE_S]
    after = [answer for answer in client.answers if answer.sent_at > gone_from]
    served = sum(answer.status == OK and answer.whole for answer in after)
    lists = [line["index"] for line in node.log_lines() if line.get("event") == "endpoint list"]
    case.record.line(f"lists that the node applied: {lists}")
    case.record.line(f"served after the old writers were gone: {served} of {len(after)}")
    case.record.line(
        f"attempts at draining engines later than {told_at + GRACE_S:.3f}: {len(late)} "
        f"{[(round(send.at, 3), send.engine, send.request) for send in late[:5]]}"
    )
    print(f"late attempts {len(late)}; served at the end {served} of {len(after)}; lists {lists}")
    return not late


def main() -> int:
    """Plays the case."""
    return play(__file__, body)


if __name__ == "__main__":
    sys.exit(main())
