"""A node beside a bare relay: `python -m benchmarks.front_against_relay`.

The relay is the same HTTP server and client without any decision: it passes each request to one engine and
the bytes back. Engines answer at once with a short stream. The load is a closed loop, with one process each
for load, engines, relay and node. Printed are requests a second, the delay at one request at a time, the
policy's share of the node's CPU, and the memory for each of 2,000 open streams.
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
CHUNKS = b"".join(event(chat.chunk("c", "hint", f"w{index} ")) for index in range(TOKENS))
END = (
    event(chat.chunk("c", "hint", finish="stop"))
    + event(chat.chunk("c", "hint", usage=chat.Usage(9, 8, 17)))
    + DONE
)
JSON = [("Content-Type", "application/json")]


def engine(is_prefill: bool, is_slow: bool) -> None:
    """Runs an engine that answers each request at once; a slow one sends a first token and then nothing."""
    reactor = the_reactor()

    def answer(exchange: Exchange) -> None:
        if exchange.path != calls.CHAT.encode():
            return exchange.answer(200, b"{}")
        if is_prefill:
            return exchange.answer(
                200,
                chat.ENCODER.encode(
                    chat.PrefillReply(chat.KvParams("r", "127.0.0.1", 1), chat.Usage(9, 1, 10))
                ),
            )
        exchange.begin("text/event-stream")
        if is_slow:
            return exchange.send_chunk(event(chat.chunk("c", "hint", "w0 ")))
        exchange.send_chunk(CHUNKS + END)
        exchange.end()

    _, port = listen(reactor, ("127.0.0.1", 0), Server(answer, 2**20, 65_536, 120_000.0, reactor))
    print(port, flush=True)
    reactor.run()


class RelayedResponse:
    """Passes an engine's reply on as it arrives."""

    buffered_bytes = 0

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    def head_received(self, status: int, headers: dict[str, str]) -> None:
        """Starts the reply to the client."""
        self.exchange.begin(headers.get("content-type", ""))

    def body_received(self, data: bytes) -> None:
        """Passes on a part of the body."""
        self.exchange.send_chunk(data)

    def done(self) -> None:
        """Ends the reply."""
        self.exchange.end()

    def failed(self, error: client.CallError) -> None:
        """Cuts the reply off."""
        self.exchange.truncate()


def relay(port: int) -> None:
    """Runs a relay to one engine's port."""
    reactor = the_reactor()
    pool = client.Pool(reactor, "127.0.0.1", port, 500.0, 60_000.0, 64, 65_536)

    def answer(exchange: Exchange) -> None:
        pool.call("POST", calls.CHAT, RelayedResponse(exchange), JSON, exchange.body())

    _, own_port = listen(reactor, ("127.0.0.1", 0), Server(answer, 2**20, 65_536, 120_000.0, reactor))
    print(own_port, flush=True)
    reactor.run()


class Loader:
    """Keeps `concurrency` requests in flight for `seconds`, or opens `concurrency` streams and holds them."""

    def __init__(self, port: int, concurrency: int, seconds: float, holds_streams: bool) -> None:
        self.reactor: Any = the_reactor()
        self.pool = client.Pool(self.reactor, "127.0.0.1", port, 2000.0, 60_000.0, concurrency, 65_536)
        self.concurrency, self.end_at, self.holds_streams = (
            concurrency,
            clock.now() + 1000 * seconds,
            holds_streams,
        )
        self.delays_ms: list[float] = []
        self.failed_count = self.first_token_count = 0

    def run(self) -> dict[str, float]:
        """Runs the load and returns its figures."""
        start = clock.now()
        for _ in range(self.concurrency):
            self.send_request()
        self.reactor.callLater((self.end_at - start) / 1000 + 2, self.reactor.stop)
        self.reactor.run()
        delays = sorted(self.delays_ms) or [0.0]
        return {
            "rate": 1000 * len(self.delays_ms) / (self.end_at - start),
            "p50": statistics.median(delays),
            "p99": delays[int(0.99 * (len(delays) - 1))],
            "bad": self.failed_count,
            "first": self.first_token_count,
        }

    def send_request(self) -> None:
        """Sends a request, and the next one when it has ended."""
        sent_at, loader = clock.now(), self

        class Response(client.BufferedResponse):
            def body_received(self, data: bytes) -> None:
                loader.first_token_count += not self.body
                super().body_received(data)

        def ended(status: int, headers: dict[str, str], body: bytes, error: Any) -> None:
            if error or status != 200 or b"[DONE]" not in body:
                self.failed_count += 1
            elif clock.now() < self.end_at:
                self.delays_ms.append(clock.now() - sent_at)
            if clock.now() < self.end_at and not self.holds_streams:
                self.send_request()

        self.pool.call(
            "POST", calls.CHAT, Response(2**20, ended), [("Content-Type", "application/json")], BODY
        )


def run_loader(port: int, concurrency: int, seconds: float, holds_streams: bool = False) -> dict[str, float]:
    """Runs a loader in a process of its own and returns its figures."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            __spec__.name,
            "load",
            str(port),
            str(concurrency),
            str(seconds),
            str(int(holds_streams)),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    figures: dict[str, float] = json.loads(done.stdout)
    return figures


def start(*args: str) -> tuple[subprocess.Popen[str], int]:
    """Starts a part of this benchmark in a process of its own; returns it and its port."""
    process = subprocess.Popen(
        [sys.executable, "-m", __spec__.name, *args], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout
    return process, int(process.stdout.readline())


def registry(kinds: list[tuple[str, int]]) -> None:
    """Runs a registry with engines of these kinds and ports."""
    reactor = the_reactor()
    registry_server = Registry(reactor, Journal(os.devnull, "registry"), (0.0, 0.0), False, 1)
    for index, (kind, port) in enumerate(kinds):
        registry_server.change(Line(f"e{index}", "127.0.0.1", port, kind, "ready", "north", 0), at_once=True)
    print(registry_server.start(), flush=True)
    reactor.run()


def start_node(kinds: list[tuple[str, int]], folder: Path) -> tuple[list[subprocess.Popen[str]], int, int]:
    """Starts a registry with these engines, and a node on them.

    Returns the processes, the port of the API and the port of the metrics.
    """
    registry_process, port = start("registry", json.dumps(kinds))
    text = Path("benchmarks/front.kdl").read_text().replace("127.0.0.1:7000", f"127.0.0.1:{port}")
    path = folder / f"front-{port}.kdl"
    path.write_text(text)
    process = subprocess.Popen(
        [sys.executable, "-m", "worksmux", "serve", str(path)], stderr=subprocess.PIPE, text=True
    )
    assert process.stderr
    while True:
        ports = gateway_ports(process.stderr.readline().encode())
        if ports:
            break
    log = process.stderr

    def drain_log() -> None:
        for _ in log:
            pass

    import threading

    threading.Thread(target=drain_log, daemon=True).start()
    time.sleep(0.5)  # waits for the endpoint list; no figure depends on it
    return [registry_process, process], *ports


def cpu_time(pid: int) -> float:
    """Returns the seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kib(pid: int) -> float:
    """Returns the KiB that a process holds in memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1024


def decision_seconds(metrics_port: int) -> float:
    """Returns the seconds that a node reports to have spent in its policy."""
    from urllib.request import urlopen

    text = urlopen(f"http://127.0.0.1:{metrics_port}/metrics").read().decode()
    metric_name = "worksmux_turn_seconds_sum"
    return float(next(line.split()[1] for line in text.splitlines() if line.startswith(metric_name)))


def main() -> None:
    """Runs all loads and prints their figures."""
    processes: list[subprocess.Popen[str]] = []
    seconds, concurrency = 6.0, 32
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        engines = [start("engine", "0", "0") for _ in range(4)]
        prefill_engines = [start("engine", "1", "0") for _ in range(2)]
        slow_engine = start("engine", "0", "1")
        processes += [process for process, _ in [*engines, *prefill_engines, slow_engine]]
        relay_process, relay_port = start("relay", str(engines[0][1]))
        processes.append(relay_process)
        combined, combined_port, combined_metrics_port = start_node(
            [("mixed", port) for _, port in engines], folder
        )
        split, split_port, _ = start_node(
            [("prefill", port) for _, port in prefill_engines]
            + [("decode", port) for _, port in engines[:2]],
            folder,
        )
        streaming_node, streaming_port, _ = start_node([("mixed", slow_engine[1])], folder)
        processes += [*combined, *split, *streaming_node]
        try:
            rates: dict[str, list[float]] = {"relay": [], "front": [], "two stages": []}
            sequential: dict[str, dict[str, float]] = {}
            cpu_seconds, in_policy = cpu_time(combined[1].pid), decision_seconds(combined_metrics_port)
            for _ in range(3):  # alternates, so that drift of the machine affects all alike
                for target, port in (
                    ("relay", relay_port),
                    ("front", combined_port),
                    ("two stages", split_port),
                ):
                    figures = run_loader(port, concurrency, seconds)
                    assert not figures["bad"], f"{target}: {figures['bad']} requests failed"
                    rates[target].append(figures["rate"])
            cpu_seconds, in_policy = (
                cpu_time(combined[1].pid) - cpu_seconds,
                decision_seconds(combined_metrics_port) - in_policy,
            )
            for target, port in (("relay", relay_port), ("front", combined_port), ("two stages", split_port)):
                sequential[target] = run_loader(port, 1, seconds)
            for target, target_rates in rates.items():
                rate = statistics.median(target_rates)
                print(
                    f"{target:>11}: {rate:6.0f} requests a second "
                    f"({rate / statistics.median(rates['relay']):.2f} of the relay)"
                    f", delay at one at a time p50 {sequential[target]['p50']:.2f} ms, "
                    f"p99 {sequential[target]['p99']:.2f} ms"
                    f" ({sequential[target]['p50'] / sequential['relay']['p50']:.2f} and "
                    f"{sequential[target]['p99'] / sequential['relay']['p99']:.2f} times the relay's)"
                )
            print(f"the policy takes {in_policy / cpu_seconds:.2f} of the node's CPU")
            before = memory_kib(streaming_node[1].pid)
            process = subprocess.Popen(
                [sys.executable, "-m", __spec__.name, "load", str(streaming_port), "2000", "8", "1"],
                stdout=subprocess.PIPE,
                text=True,
            )
            peak = before
            while process.poll() is None:
                peak = max(peak, memory_kib(streaming_node[1].pid))
                time.sleep(0.1)
            assert process.stdout
            opened_count = json.loads(process.stdout.read())["first"]
            print(
                f"{opened_count} open streams: "
                f"{(peak - before) / max(1, opened_count):.1f} KiB each at the node"
            )
        finally:
            for process in processes:
                process.kill()


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["engine", prefill_flag, slow_flag]:
            engine(prefill_flag == "1", slow_flag == "1")
        case ["relay", to]:
            relay(int(to))
        case ["registry", text]:
            registry([(kind, port) for kind, port in json.loads(text)])
        case ["load", port, concurrency, seconds, holds_streams]:
            print(json.dumps(Loader(int(port), int(concurrency), float(seconds), holds_streams == "1").run()))
        case _:
            main()
