"""Token counting under load: `python -m benchmarks.counting [SECONDS]`.

150 prompts a second (growing sessions, shared prefixes and prompts that come once) go through one node's
token service. Printed are the delay that counting adds, the reactor's longest stall, cached bytes against the
limit, and memory. The variants are: as it is; with a stream of giant prompts; with a change of the tokenizer
version half-way; and with each prompt counted as a whole on the reactor. Then the same pieces go through
three caches.
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

PROMPTS_PER_S, CACHE_BYTES = 150, 8 << 20
LIMITS = Counting(CACHE_BYTES, 3, 1, 65_536, 16 << 20, 4000, 64, 200_000, 2, 5_000.0)
Messages = list[tuple[str, str]]


def sessions(seed: int) -> Iterator[tuple[int, Messages]]:
    """Yields prompts of sessions without end.

    There are 60 shared prefixes of 1 to 3 thousand tokens and four turns a session; a third of the prompts
    come once.
    """
    random_source = random.Random(seed)
    texts = list(SAMPLES.values())
    shared = [" ".join(random_source.choices(texts, k=random_source.randint(10, 30))) for _ in range(60)]
    open_sessions: list[tuple[int, Messages]] = []
    number = 0
    while True:
        number += 1
        if random_source.random() < 0.33:
            yield number, [("user", f"{number} " + " ".join(random_source.choices(texts, k=12)))]
            continue
        if len(open_sessions) < 200:
            open_sessions.append(
                (number, [("system", shared[min(59, int(random_source.expovariate(0.08)))])])
            )
        index = random_source.randrange(len(open_sessions))
        session, messages = open_sessions[index]
        messages.append(("user", f"{number} {random_source.choice(texts)}"))
        yield session, list(messages)
        messages.append(("assistant", f"{number} {random_source.choice(texts)}"))
        if len(messages) > 8:
            del open_sessions[index]


def run_variant(variant: str, seconds: float) -> dict[str, Any]:
    """Runs one variant in this process and returns its figures."""
    reactor: Any = the_reactor()
    first, second = (load(f"examples/tokenizers/lab-{number}.json") for number in (1, 2))
    service = TokenService(reactor, LIMITS, [first])
    tokenizer = first.open()
    delays: list[float] = []
    counters: dict[str, Any] = {"variant": variant, "stale": 0, "bounds": 0, "corrected": 0, "giants": 0}
    trace = sessions(7)
    reactor_state = {"last": clock.now(), "longest": 0.0, "most": 0}
    start = clock.now() + 1500
    sent = 0

    def measure_stall() -> None:
        now = clock.now()
        reactor_state["longest"] = (
            max(reactor_state["longest"], now - reactor_state["last"] - 2.0) if now > start else 0.0
        )
        reactor_state["last"], reactor_state["most"] = now, max(reactor_state["most"], service.cache.used)
        reactor.callLater(0.002, measure_stall)

    def count_prompt(due_at: float) -> None:
        session, messages = next(trace)
        is_counted = [False]

        def on_result(result: Result) -> None:
            if is_counted[0]:
                counters["corrected"] += 1
                return
            is_counted[0] = True
            counters["stale"] += result.version != service.vocabularies[0].version
            counters["bounds"] += not result.exact
            delays.append(clock.now() - due_at)

        if variant.startswith("whole"):
            tokens(tokenizer, render(messages))
            delays.append(clock.now() - due_at)
        else:
            service.count(messages, 0, 10**9, 2000.0, session, on_result)

    def send() -> None:
        nonlocal sent
        now = clock.now()
        while sent < PROMPTS_PER_S * (now - start) / 1000:
            # From the intended time, so that delays include stalls.
            count_prompt(start + 1000 * sent / PROMPTS_PER_S)
            sent += 1
        if now < start + 1000 * seconds:
            reactor.callLater(0.002, send)
        else:
            reactor.callLater(0.5, reactor.stop)

    def send_giant_prompt() -> None:
        counters["giants"] += 1
        texts = ["x" * 2_000_000, "\U0001f600" * 1_000_000, SAMPLES["lab log"] * 4000]
        messages = [("user", f"{counters['giants']} " + texts[counters["giants"] % 3])]
        if variant.startswith("whole"):
            tokens(tokenizer, render(messages))
        else:
            service.count(messages, 0, 10**9, 2000.0, 0, lambda result: None)
        reactor.callLater(1.0, send_giant_prompt)

    if variant.endswith("giants"):
        reactor.callLater(2.0, send_giant_prompt)
    if variant == "version change":
        reactor.callLater(1.5 + seconds / 2, service.switch_vocabularies, [second])
    service.start()
    reactor.callLater(0, measure_stall)
    reactor.callLater(1.5, send)
    reactor.run()
    service.stop()
    delays.sort()
    return counters | {
        "prompts": len(delays),
        "p50": delays[len(delays) // 2],
        "p99": delays[int(len(delays) * 0.99)],
        "p99.9": delays[int(len(delays) * 0.999)],
        "stall": reactor_state["longest"],
        "kept MiB": reactor_state["most"] / 2**20,
        "hit rate": service.hits / max(1, service.hits + service.misses),
        "cpu": sum(resource.getrusage(resource.RUSAGE_SELF)[:2]) / seconds,
        "memory MiB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def compare_caches(prompts: int) -> None:
    """Prints the hit rates of three caches for the same pieces; a miss costs the bytes to be counted."""
    vocabulary = load("examples/tokenizers/lab-1.json")
    tokenizer, ids, trace = vocabulary.open(), {}, []  # type: Any, dict[int, bytes], list[Any]
    source = sessions(11)
    for _ in range(prompts):
        for piece in cut(next(source)[1], vocabulary.cuts, LIMITS.piece):
            if piece.key not in ids:
                ids[piece.key] = tokens(tokenizer, piece.text)
            trace.append(piece)
    total_bytes = sum(map(entry_bytes, ids.values()))
    print(
        f"{len(trace)} pieces of {prompts} prompts, {len(ids)} different; "
        f"{total_bytes / 2**20:.1f} MiB for all"
    )
    for share in (0.05, 0.1, 0.25):
        hit_rates = []
        for cache in (
            LruCache(int(share * total_bytes)),
            TinyLfuCache(int(share * total_bytes)),
            LruCache(2 * total_bytes),
        ):
            hit_bytes = 0
            for piece in trace:
                if cache.get(piece.key) is not None:
                    hit_bytes += piece.size
                else:
                    cache.put(piece.key, ids[piece.key])
            hit_rates.append(hit_bytes / sum(piece.size for piece in trace))
        print(
            f"limit {share:.2f} of it: hit rate by bytes {hit_rates[0]:.3f} recent, "
            f"{hit_rates[1]:.3f} frequent, "
            f"{hit_rates[2]:.3f} unlimited"
        )


def main(seconds: float) -> None:
    """Runs each variant in a process of its own and prints its figures."""
    base_p99 = 0.0
    for variant in ("as it is", "giants", "version change", "whole on the reactor", "whole, giants"):
        process = subprocess.run(
            [sys.executable, "-m", "benchmarks.counting", variant, str(seconds)],
            capture_output=True,
            text=True,
            check=True,
        )
        figures = json.loads(process.stdout)
        base_p99 = base_p99 or figures["p99"]
        delay = ", ".join(f"{name} {figures[name]:.2f}" for name in ("p50", "p99", "p99.9"))
        print(
            f"{variant:>20}: {figures['prompts']} prompts, delay {delay} ms "
            f"(p99 {figures['p99'] / base_p99:.1f} times), "
            f"stall {figures['stall']:.1f} ms, "
            f"kept {figures['kept MiB']:.2f} of {CACHE_BYTES / 2**20:.0f} MiB, "
            f"pieces kept {figures['hit rate']:.2f}, CPU {figures['cpu']:.2f}, "
            f"memory {figures['memory MiB']:.0f} MiB, "
            f"bounds {figures['bounds']}, stale {figures['stale']}, giants {figures['giants']}"
        )
    compare_caches(6000)


if __name__ == "__main__":
    if len(sys.argv) > 2:
        print(json.dumps(run_variant(sys.argv[1], float(sys.argv[2]))))
    else:
        main(float(sys.argv[1]) if len(sys.argv) > 1 else 60.0)
