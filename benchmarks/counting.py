"""Counting under load: `python -m benchmarks.counting [SECONDS]`.

150 prompts a second in sessions that grow, shared beginnings and one-time prompts, through one front's token
service: the delay that counting adds, the reactor's longest stall, bytes kept against the bound, and memory.
Variants: as it is; with a stream of giant prompts; with a change of version half-way; and each prompt counted
whole on the reactor. Then the same pieces through three caches.
"""

from __future__ import annotations

import json
import random
import resource
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from worksmux.net import clock
from worksmux.net.loop import the_reactor
from worksmux.settings.front import Counting
from worksmux.tokenization.cache import LruCache, TinyLfuCache, entry_bytes
from worksmux.tokenization.pieces import cut, render
from worksmux.tokenization.samples import SAMPLES
from worksmux.tokenization.service import Result, TokenService
from worksmux.tokenization.vocabulary import load, tokens

RATE, CACHE = 150, 8 << 20
BOUNDS = Counting(CACHE, 3, 1, 65_536, 16 << 20, 4000, 64, 200_000, 2, 5_000.0)
Messages = list[tuple[str, str]]


def sessions(seed: int) -> Iterator[tuple[int, Messages]]:
    """Endless turns of sessions: 60 shared beginnings of 1 to 3 thousand tokens, four turns, a third come
    once."""
    chance = random.Random(seed)
    texts = list(SAMPLES.values())
    shared = [" ".join(chance.choices(texts, k=chance.randint(10, 30))) for _ in range(60)]
    live: list[tuple[int, Messages]] = []
    number = 0
    while True:
        number += 1
        if chance.random() < 0.33:
            yield number, [("user", f"{number} " + " ".join(chance.choices(texts, k=12)))]
            continue
        if len(live) < 200:
            live.append((number, [("system", shared[min(59, int(chance.expovariate(0.08)))])]))
        at = chance.randrange(len(live))
        session, messages = live[at]
        messages.append(("user", f"{number} {chance.choice(texts)}"))
        yield session, list(messages)
        messages.append(("assistant", f"{number} {chance.choice(texts)}"))
        if len(messages) > 8:
            del live[at]


def run(variant: str, seconds: float) -> dict[str, Any]:
    """One variant in this process."""
    reactor: Any = the_reactor()
    first, second = (load(f"examples/tokenizers/lab-{at}.json") for at in (1, 2))
    service = TokenService(reactor, BOUNDS, [first])
    opened = first.open()
    delays: list[float] = []
    found: dict[str, Any] = {"variant": variant, "stale": 0, "bounds": 0, "corrected": 0, "giants": 0}
    trace = sessions(7)
    beat = {"last": clock.now(), "longest": 0.0, "most": 0}
    start = clock.now() + 1500
    sent = 0

    def look() -> None:
        now = clock.now()
        beat["longest"] = max(beat["longest"], now - beat["last"] - 2.0) if now > start else 0.0
        beat["last"], beat["most"] = now, max(beat["most"], service.cache.used)
        reactor.callLater(0.002, look)

    def one(due: float) -> None:
        session, messages = next(trace)
        told = [False]

        def result(what: Result) -> None:
            if told[0]:
                found["corrected"] += 1
                return
            told[0] = True
            found["stale"] += what.version != service.vocabularies[0].version
            found["bounds"] += not what.exact
            delays.append(clock.now() - due)

        if variant.startswith("whole"):
            tokens(opened, render(messages))
            delays.append(clock.now() - due)
        else:
            service.count(messages, 0, 10**9, 2000.0, session, result)

    def send() -> None:
        nonlocal sent
        now = clock.now()
        while sent < RATE * (now - start) / 1000:
            one(start + 1000 * sent / RATE)  # from the intended time: a stall stands in the delays
            sent += 1
        if now < start + 1000 * seconds:
            reactor.callLater(0.002, send)
        else:
            reactor.callLater(0.5, reactor.stop)

    def giant() -> None:
        found["giants"] += 1
        kinds = ["x" * 2_000_000, "\U0001f600" * 1_000_000, SAMPLES["lab log"] * 4000]
        messages = [("user", f"{found['giants']} " + kinds[found["giants"] % 3])]
        if variant.startswith("whole"):
            tokens(opened, render(messages))
        else:
            service.count(messages, 0, 10**9, 2000.0, 0, lambda what: None)
        reactor.callLater(1.0, giant)

    if variant.endswith("giants"):
        reactor.callLater(2.0, giant)
    if variant == "version change":
        reactor.callLater(1.5 + seconds / 2, service.switch_vocabularies, [second])
    service.start()
    reactor.callLater(0, look)
    reactor.callLater(1.5, send)
    reactor.run()
    service.stop()
    delays.sort()
    return found | {
        "prompts": len(delays),
        "p50": delays[len(delays) // 2],
        "p99": delays[int(len(delays) * 0.99)],
        "p99.9": delays[int(len(delays) * 0.999)],
        "stall": beat["longest"],
        "kept MiB": beat["most"] / 2**20,
        "hit rate": service.hits / max(1, service.hits + service.misses),
        "cpu": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]) / seconds,
        "memory MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def caches(prompts: int) -> None:
    """The same pieces through three caches; a miss costs the bytes that have to be counted."""
    vocabulary = load("examples/tokenizers/lab-1.json")
    opened, ids, trace = vocabulary.open(), {}, []  # type: Any, dict[int, bytes], list[Any]
    source = sessions(11)
    for _ in range(prompts):
        for piece in cut(next(source)[1], vocabulary.cuts, BOUNDS.piece):
            if piece.key not in ids:
                ids[piece.key] = tokens(opened, piece.text)
            trace.append(piece)
    whole = sum(map(entry_bytes, ids.values()))
    print(f"{len(trace)} pieces of {prompts} prompts, {len(ids)} different; {whole / 2**20:.1f} MiB for all")
    for part in (0.05, 0.1, 0.25):
        rates = []
        for cache in (LruCache(int(part * whole)), TinyLfuCache(int(part * whole)), LruCache(2 * whole)):
            hit = 0
            for piece in trace:
                if cache.get(piece.key) is not None:
                    hit += piece.size
                else:
                    cache.put(piece.key, ids[piece.key])
            rates.append(hit / sum(piece.size for piece in trace))
        print(
            f"bound {part:.2f} of it: bytes found kept {rates[0]:.3f} recent, {rates[1]:.3f} frequent, "
            f"{rates[2]:.3f} unbounded"
        )


def main(seconds: float) -> None:
    base = 0.0
    for variant in ("as it is", "giants", "version change", "whole on the reactor", "whole, giants"):
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.counting", variant, str(seconds)],
            capture_output=True,
            text=True,
            check=True,
        )
        told = json.loads(done.stdout)
        base = base or told["p99"]
        delay = ", ".join(f"{name} {told[name]:.2f}" for name in ("p50", "p99", "p99.9"))
        print(
            f"{variant:>20}: {told['prompts']} prompts, delay {delay} ms "
            f"(p99 {told['p99'] / base:.1f} times), "
            f"stall {told['stall']:.1f} ms, kept {told['kept MiB']:.2f} of {CACHE / 2**20:.0f} MiB, "
            f"pieces kept {told['hit rate']:.2f}, the front's CPU {told['cpu']:.2f}, "
            f"memory {told['memory MiB']:.0f} MiB, "
            f"bounds {told['bounds']}, stale {told['stale']}, giants {told['giants']}"
        )
    caches(6000)


if __name__ == "__main__":
    if len(sys.argv) > 2:
        print(json.dumps(run(sys.argv[1], float(sys.argv[2]))))
    else:
        main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0)
