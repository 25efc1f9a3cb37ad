"""A front against a bare relay, side by side: `python -m benchmarks.front_against_relay`.

The relay is the same HTTP server and client without any decision: it passes each job to one engine and the
bytes back. Engines answer at once with a short stream.  Closed loop, one process each for load, engines,
relay and front. Printed: jobs a second, delay at one job at a time, the module's part of the front's CPU, and
memory for each of 2,000 open streams.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from worksmux.api import chat
from worksmux.api import engine as calls
from worksmux.api.events import DONE, event
from worksmux.api.listing import Line
from worksmux.fakes.journal import Journal
from worksmux.fakes.registry import Registry
from worksmux.fault_trial.processes import gateway_ports
from worksmux.net import client, clock
from worksmux.net.loop import listen, the_reactor
from worksmux.net.server import Exchange, Server

TOKENS = 8
BODY = json.dumps(
    {
        "model": "hint",
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [
            {"role": "system", "content": "guide " * 80},
            {"role": "user", "content": "why does it fall? " * 20},
        ],
    }
).encode()
CHUNKS = b"".join(event(chat.chunk("c", "hint", f"w{at} ")) for at in range(TOKENS))
END = (
    event(chat.chunk("c", "hint", finish="stop"))
    + event(chat.chunk("c", "hint", usage=chat.Usage(9, 8, 17)))
    + DONE
)
JSON = [("Content-Type", "application/json")]


def engine(reader: bool, slow: bool) -> None:
    """Answers each job at once; a slow one sends a first token and then nothing."""
    reactor = the_reactor()

    def answer(exchange: Exchange) -> None:
        if exchange.path != calls.CHAT.encode():
            return exchange.answer(200, b"{}")
        if reader:
            return exchange.answer(
                200,
                chat.ENCODER.encode(
                    chat.PrefillReply(chat.KvParams("r", "127.0.0.1", 1), chat.Usage(9, 1, 10))
                ),
            )
        exchange.begin("text/event-stream")
        if slow:
            return exchange.send_chunk(event(chat.chunk("c", "hint", "w0 ")))
        exchange.send_chunk(CHUNKS + END)
        exchange.end()

    _, port = listen(reactor, ("127.0.0.1", 0), Server(answer, 2**20, 65_536, 120_000.0, reactor))
    print(port, flush=True)
    reactor.run()


class Passing:
    """Hands an engine's reply on as it comes."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        self.exchange.begin(headers.get("content-type", ""))

    def body_received(self, data: bytes) -> None:
        self.exchange.send_chunk(data)

    def done(self) -> None:
        self.exchange.end()

    def failed(self, trouble: client.CallError) -> None:
        self.exchange.truncate()


def relay(port: int) -> None:
    reactor = the_reactor()
    pool = client.Pool(reactor, "127.0.0.1", port, 500.0, 60_000.0, 64, 65_536)

    def answer(exchange: Exchange) -> None:
        pool.call("POST", calls.CHAT, Passing(exchange), JSON, exchange.body())

    _, own = listen(reactor, ("127.0.0.1", 0), Server(answer, 2**20, 65_536, 120_000.0, reactor))
    print(own, flush=True)
    reactor.run()


class Loader:
    """Keeps `width` jobs out for `seconds`; or opens `width` streams and holds them."""

    def __init__(self, port: int, width: int, seconds: float, hold: bool) -> None:
        self.reactor: Any = the_reactor()
        self.pool = client.Pool(self.reactor, "127.0.0.1", port, 2000.0, 60_000.0, width, 65_536)
        self.width, self.end, self.hold = width, clock.now() + 1000 * seconds, hold
        self.delays: list[float] = []
        self.bad = self.first = 0

    def run(self) -> dict[str, float]:
        start = clock.now()
        for _ in range(self.width):
            self.ask()
        self.reactor.callLater((self.end - start) / 1000 + 2, self.reactor.stop)
        self.reactor.run()
        delays = sorted(self.delays) or [0.0]
        return {
            "rate": 1000 * len(self.delays) / (self.end - start),
            "p50": statistics.median(delays),
            "p99": delays[int(0.99 * (len(delays) - 1))],
            "bad": self.bad,
            "first": self.first,
        }

    def ask(self) -> None:
        sent, loader = clock.now(), self

        class One(client.BufferedResponse):
            def body_received(self, data: bytes) -> None:
                loader.first += not self.body
                super().body_received(data)

        def ended(status: int, headers: dict[str, str], body: bytes, trouble: Any) -> None:
            if trouble or status != 200 or b"[DONE]" not in body:
                self.bad += 1
            elif clock.now() < self.end:
                self.delays.append(clock.now() - sent)
            if clock.now() < self.end and not self.hold:
                self.ask()

        self.pool.call("POST", calls.CHAT, One(2**20, ended), [("Content-Type", "application/json")], BODY)


def load(port: int, width: int, seconds: float, hold: bool = False) -> dict[str, float]:
    done = subprocess.run(
        [sys.executable, "-m", __spec__.name, "load", str(port), str(width), str(seconds), str(int(hold))],
        capture_output=True,
        text=True,
        check=True,
    )
    found: dict[str, float] = json.loads(done.stdout)
    return found


def start(*args: str) -> tuple[subprocess.Popen[str], int]:
    child = subprocess.Popen([sys.executable, "-m", __spec__.name, *args], stdout=subprocess.PIPE, text=True)
    assert child.stdout
    return child, int(child.stdout.readline())


def registry(kinds: list[tuple[str, int]]) -> None:
    reactor = the_reactor()
    one = Registry(reactor, Journal(os.devnull, "registry"), (0.0, 0.0), False, 1)
    for at, (kind, port) in enumerate(kinds):
        one.change(Line(f"e{at}", "127.0.0.1", port, kind, "ready", "north", 0), at_once=True)
    print(one.start(), flush=True)
    reactor.run()


def front(kinds: list[tuple[str, int]], folder: Path) -> tuple[list[subprocess.Popen[str]], int, int]:
    """A registry with these engines and a front on them."""
    listing, port = start("registry", json.dumps(kinds))
    text = Path("benchmarks/front.kdl").read_text().replace("127.0.0.1:7000", f"127.0.0.1:{port}")
    path = folder / f"front-{port}.kdl"
    path.write_text(text)
    child = subprocess.Popen(
        [sys.executable, "-m", "worksmux", "serve", str(path)], stderr=subprocess.PIPE, text=True
    )
    assert child.stderr
    while True:
        ports = gateway_ports(child.stderr.readline().encode())
        if ports:
            break
    log = child.stderr

    def drain() -> None:
        for _ in log:
            pass

    import threading

    threading.Thread(target=drain, daemon=True).start()
    time.sleep(0.5)  # the list arrives; no measure depends on it
    return [listing, child], *ports


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid: int) -> float:
    """KiB held in memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1024


def turns(watch: int) -> float:
    """Seconds that the front says it spent in its module."""
    from urllib.request import urlopen

    text = urlopen(f"http://127.0.0.1:{watch}/metrics").read().decode()
    wanted = "worksmux_turn_seconds_sum"
    return float(next(line.split()[1] for line in text.splitlines() if line.startswith(wanted)))


def main() -> None:
    children: list[subprocess.Popen[str]] = []
    seconds, width = 6.0, 32
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        engines = [start("engine", "0", "0") for _ in range(4)]
        readers = [start("engine", "1", "0") for _ in range(2)]
        slow = start("engine", "0", "1")
        children += [child for child, _ in [*engines, *readers, slow]]
        bare, bare_port = start("relay", str(engines[0][1]))
        children.append(bare)
        mixed, mixed_port, mixed_watch = front([("mixed", port) for _, port in engines], folder)
        split, split_port, _ = front(
            [("prefill", port) for _, port in readers] + [("decode", port) for _, port in engines[:2]], folder
        )
        held, held_port, _ = front([("mixed", slow[1])], folder)
        children += [*mixed, *split, *held]
        try:
            rates: dict[str, list[float]] = {"relay": [], "front": [], "two stages": []}
            ones: dict[str, dict[str, float]] = {}
            used, inside = cpu(mixed[1].pid), turns(mixed_watch)
            for _ in range(3):  # in turn, so that drift of the machine hits all alike
                for what, port in (("relay", bare_port), ("front", mixed_port), ("two stages", split_port)):
                    found = load(port, width, seconds)
                    assert not found["bad"], f"{what}: {found['bad']} jobs failed"
                    rates[what].append(found["rate"])
            used, inside = cpu(mixed[1].pid) - used, turns(mixed_watch) - inside
            for what, port in (("relay", bare_port), ("front", mixed_port), ("two stages", split_port)):
                ones[what] = load(port, 1, seconds)
            for what, found_rates in rates.items():
                rate = statistics.median(found_rates)
                print(
                    f"{what:>11}: {rate:6.0f} jobs a second "
                    f"({rate / statistics.median(rates['relay']):.2f} of the relay)"
                    f", delay at one at a time p50 {ones[what]['p50']:.2f} ms, p99 {ones[what]['p99']:.2f} ms"
                    f" ({ones[what]['p50'] / ones['relay']['p50']:.2f} and "
                    f"{ones[what]['p99'] / ones['relay']['p99']:.2f} times the relay's)"
                )
            print(f"the module takes {inside / used:.2f} of the front's CPU")
            before = memory(held[1].pid)
            child = subprocess.Popen(
                [sys.executable, "-m", __spec__.name, "load", str(held_port), "2000", "8", "1"],
                stdout=subprocess.PIPE,
                text=True,
            )
            peak = before
            while child.poll() is None:
                peak = max(peak, memory(held[1].pid))
                time.sleep(0.1)
            assert child.stdout
            opened = json.loads(child.stdout.read())["first"]
            print(f"{opened} open streams: {(peak - before) / max(1, opened):.1f} KiB each at the front")
        finally:
            for child in children:
                child.kill()


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["engine", reads, slow_one]:
            engine(reads == "1", slow_one == "1")
        case ["relay", to]:
            relay(int(to))
        case ["registry", text]:
            registry([(kind, port) for kind, port in json.loads(text)])
        case ["load", port, width, seconds, hold]:
            print(json.dumps(Loader(int(port), int(width), float(seconds), hold == "1").run()))
        case _:
            main()
