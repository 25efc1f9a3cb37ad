"""Stand-ins around real node processes: engines, discovery, clients and the platform; standard library only.

All run in one process on loopback addresses and ports that the system chooses.  Nodes are started with the
command `run` of deploy/balancer.toml.  The engines keep to the protocol page of the operators: a reader reads
a prompt and holds what it has read, a writer takes that state and streams, DELETE lets go of everything that
is held for a request.  Times are seconds of the steady clock since the start of the record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
LAST_EVENTS = (
    b'data: {"choices":[{"index":0,"delta":{"content":"."},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":9,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\ndata: [DONE]\n\n'
)
MAX_SPOILT_BYTES = 2**24
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def say(text: str) -> None:
    """Prints, whether or not somebody still reads it."""
    with contextlib.suppress(OSError):
        print(text, flush=True)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def reply(status: str, headers: str = "", body: bytes = b"") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Record:
    """What was sent, answered and run: one line each, in record.txt of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, who: str, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {who:<10} {text}\n")
        self._file.flush()


# Engines.


class _Connection(asyncio.Protocol):
    """One connection of a node to an engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.buffer, self.closed = engine, b"", False
        self.transport: Any = None
        self.first_byte_at = 0.0
        self.on_closed: Callable[[], None] = lambda: None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.engine.connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.first_byte_at = self.first_byte_at or self.engine.world.record.now()
        self.buffer += data
        self.pump()

    def connection_lost(self, _error: Exception | None) -> None:
        self.closed = True
        self.engine.connections.discard(self)
        self.on_closed()

    def pump(self) -> None:
        head, end, rest = self.buffer.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        size = int(length[1]) if length else 0
        if end and len(rest) >= size:
            self.buffer = rest[size:]
            self.engine.handle(self, head.decode("latin-1"), rest[:size])

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.transport.write(data)


class Engine:
    """A reader or writer."""

    def __init__(self, world: World, name: str, kind: str, zone: str, group: int) -> None:
        self.world, self.name, self.kind, self.zone, self.group = world, name, kind, zone, group
        self.status, self.since_ms = "SERVING", 0
        self.connections: set[_Connection] = set()
        self.port = 0
        self.slots, self.queue_limit = 6, 50  # requests at once, and further ones that may wait
        self.tokens_per_s = 15_000.0  # of all prompts that are read at once together
        self.events, self.event_gap_s = 12, 0.05
        self.waiting: list[tuple[_Connection, str, float]] = []
        self.reading: list[list[Any]] = []  # connection, id, tokens left
        self.spoilt_block = b""  # chunks that come for ever in place of each stream's events; empty: none
        self.spoilt_left = 0  # streams that still come spoilt
        self._server: Any = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        if self.kind == "prefill":
            self.world.tasks.append(asyncio.create_task(self._read()))

    def entry(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    def handle(self, connection: _Connection, head: str, body: bytes) -> None:
        method, path = head.split(" ")[:2]
        if method == "DELETE":
            key = path.rpartition("/")[2]
            self.world.released(key, self.name)
            connection.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif method == "GET":
            load = f"inflight={len(self.reading) + len(self.waiting)},queue={len(self.waiting)},x0=0.1,x1=0.1"
            connection.write(reply("200 OK", f"X-Server-Load: {load}\r\n", load.encode()))
        else:
            self._take(connection, head, body)

    def _take(self, connection: _Connection, head: str, body: bytes) -> None:
        match = re.search(r"(?i)\r\nx-request-id: *(\S+)", head)
        key = match[1] if match else "?"
        self.world.attempt_began(key, self.name, connection.first_byte_at)
        connection.first_byte_at = 0.0
        connection.on_closed = lambda: self.world.attempt_ended(key, self.name, "closed by the node")
        if self.kind != "prefill":
            self.world.tasks.append(asyncio.create_task(self._write(connection, key)))
        elif len(self.waiting) >= self.queue_limit:
            self._answer(connection, key, reply("503 Busy", "X-Not-Processed: 1\r\n"), "turned away")
        else:
            self.waiting.append((connection, key, len(body) / 4))

    def _answer(self, connection: _Connection, key: str, data: bytes, text: str) -> None:
        connection.on_closed = lambda: None
        connection.write(data)
        self.world.attempt_ended(key, self.name, text)

    async def _read(self) -> None:
        """Reads up to `slots` prompts at once, the others in order; a close or time-out stops nothing."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            passed, last = now - last, now
            while self.waiting and len(self.reading) < self.slots:
                self.reading.append(list(self.waiting.pop(0)))
            for item in list(self.reading):
                item[2] -= passed * self.tokens_per_s / len(self.reading)
            for item in [item for item in self.reading if item[2] <= 0]:
                self.reading.remove(item)
                connection, key, _ = item
                self.world.read(key, self.name)
                if not connection.closed:
                    self._answer(
                        connection, key, reply("202 Accepted", "", b'{"cached_tokens":0}'), "read, 202"
                    )

    async def _write(self, connection: _Connection, key: str) -> None:
        if not self.world.take(key, self.name):
            return self._answer(connection, key, reply("410 Gone", "X-Not-Processed: 1\r\n"), "no state, 410")
        self.world.record.write(self.name, f"RUNS {key}")
        self.world.runs[key] += 1
        await asyncio.sleep(0.03)
        connection.write(STREAM_HEAD)
        if self.spoilt_left:
            return await self._spoil(connection, key)
        for _ in range(self.events):
            if connection.closed:
                return None
            connection.write(chunk(EVENT))
            await asyncio.sleep(self.event_gap_s)
        return self._answer(connection, key, chunk(LAST_EVENTS) + b"0\r\n\r\n", "streamed to its end")

    async def _spoil(self, connection: _Connection, key: str) -> None:
        """Sends noise without an end, as fast as the node takes it, until the node closes the connection."""
        self.spoilt_left -= 1
        self.world.record.write(self.name, f"the stream of {key} is SPOILT: noise that never ends")
        sent = 0
        while not connection.closed and sent < MAX_SPOILT_BYTES:
            if connection.transport.get_write_buffer_size() < len(self.spoilt_block):
                connection.write(self.spoilt_block)
                sent += len(self.spoilt_block)
            await asyncio.sleep(0.001)
        self.world.record.write(self.name, f"the node took up to {sent} bytes of it")


# Discovery.


class Discovery:
    """The agent of one node; `delay_s` after a call it writes the first object of its answer."""

    def __init__(self, world: World, name: str = "agent") -> None:
        self.world, self.name = world, name
        self.delay_s = 0.0
        self.port = 0
        self.writers: list[asyncio.StreamWriter] = []  # of watches that have had their first object
        self._server: Any = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._watch, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.world.tasks.append(asyncio.create_task(self._heartbeats()))

    def close_listener(self) -> None:
        """Takes no new connection any more; open ones go on."""
        self._server.close()

    def close_watches(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            call = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0].decode()
            self.world.record.write(self.name, f"called: {call}")
            await asyncio.sleep(self.delay_s)
            if reader.at_eof() or reader.exception():
                self.world.record.write(self.name, "the node had closed the call before its first object")
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(chunk(self.world.list_line()))
            self.world.record.write(self.name, f"wrote the list, index {self.world.index}")
            self.writers.append(writer)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def send(self, line: bytes) -> int:
        """Writes a line to all watches; returns how many there are."""
        for writer in self.writers:
            writer.write(chunk(line))
        return len(self.writers)

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            self.send(b"\n")


# The platform.


class Node:
    """One node process, started by `run` of the deploy file."""

    def __init__(self, world: World, name: str, folder: Path, config: dict[str, Any]) -> None:
        self.world, self.name, self.config = world, name, config
        self.path, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.process: Any = None
        self.port = 0
        self.killed_for_memory = False
        self.peak_mb = 0.0

    def write_config(self) -> None:
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(self.config))
        written.replace(self.path)

    async def start(self) -> None:
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env={**os.environ, "LB_CONFIG": str(self.path), "LB_NAME": self.name},
                stdout=log,
                stderr=log,
            )
        for _ in range(300):
            await asyncio.sleep(0.1)
            found = re.search(rb'"port":(\d+).*"event":"serving"', self.log.read_bytes())
            if found:
                self.port = int(found[1])
                self.world.record.write(self.name, "serves")
                return
            if self.process.poll() is not None:
                break
        raise CouldNotRunError(f"{self.name} does not serve: {self.log.read_bytes()[-500:]!r}")

    def used_mb(self) -> float:
        """Returns the memory of the process alone, without the libraries that it maps."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        return sum(int(size) for size in re.findall(r"Rss(?:Anon|Shmem):\s+(\d+) kB", status)) / 1024

    async def watch_memory(self) -> None:
        """Kills the node once it is over its limit, as the platform does."""
        limit = self.config["limits"]["memory_mb"]
        while self.process.poll() is None:
            used = self.used_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > limit:
                self.world.record.write("platform", f"{self.name} uses {used:.0f} MB of {limit}: killed")
                self.killed_for_memory = True
                self.process.kill()
                return
            await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        self.world.record.write("platform", f"{number.name} to {self.name}")
        self.process.send_signal(number)

    @property
    def runs(self) -> bool:
        return bool(self.process.poll() is None)

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class CouldNotRunError(Exception):
    """The case could not run."""


class World:
    """All stand-ins of one run, and what is held for requests."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.index = 1
        self.held: dict[str, dict[str, float]] = defaultdict(dict)  # by id: reader, and since when
        self.out: dict[str, int] = defaultdict(int)  # by id: attempts that are out
        self.last_end: dict[str, float] = defaultdict(float)
        self.runs: dict[str, int] = defaultdict(int)
        self.sends: list[tuple[float, str, str]] = []  # first byte, engine, id
        self.sent_at: dict[str, float] = {}  # by id: when the last byte of the request was written
        self.first_byte: dict[str, float] = {}  # by id: when its client had the first byte of its answer

    # The list.

    def list_object(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": [item.entry() for item in self.engines]}

    def list_line(self) -> bytes:
        return json.dumps(self.list_object()).encode() + b"\n"

    def change_line(self, *engines: Engine) -> bytes:
        self.index += 1
        entries = [engine.entry() for engine in engines]
        change = {"index": self.index, "snapshot": False, "endpoints": entries}
        return json.dumps(change).encode() + b"\n"

    # Attempts and states.

    def attempt_began(self, key: str, engine: str, first_byte_at: float) -> None:
        self.out[key] += 1
        self.sends.append((first_byte_at, engine, key))
        self.record.write(engine, f"attempt of {key} arrived")

    def attempt_ended(self, key: str, engine: str, text: str) -> None:
        self.out[key] -= 1
        self.last_end[key] = self.record.now()
        self.record.write(engine, f"attempt of {key} ended: {text}")

    def read(self, key: str, engine: str) -> None:
        self.held[key][engine] = self.record.now()
        self.record.write(engine, f"has read {key} and HOLDS its state")

    def take(self, key: str, engine: str) -> bool:
        if not self.held[key]:
            return False
        reader = next(reversed(self.held[key]))
        del self.held[key][reader]
        self.record.write(engine, f"takes the state of {key} from {reader}")
        return True

    def released(self, key: str, engine: str) -> None:
        readers = list(self.held.pop(key, {}))
        self.record.write(engine, f"DELETE {key}: lets go at {readers or 'none'}")

    # Clients.

    async def request(
        self,
        node: Node,
        key: str,
        request_class: str,
        wait_ms: int,
        prompt_tokens: int,
        session: str = "",
        leave_after_s: float = 0.0,
    ) -> str:
        """Sends a request on a connection of its own; returns how it ended for its client."""
        text = "x" * (4 * prompt_tokens)
        body = json.dumps(
            {"model": "chat", "stream": True, "messages": [{"role": "user", "content": text}]}
        ).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {key}\r\n"
            f"X-Priority-Class: {request_class}\r\nX-Route-Key: {session or key}\r\n"
            f"X-Timeout-Ms: {wait_ms}\r\nX-Attrs: prompt_len={prompt_tokens},max_out=300\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        result = "no connection"
        writer = None
        sent_at = self.record.now()
        try:
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(head + body)
            await writer.drain()
            sent_at = self.sent_at[key] = self.record.now()  # the last byte is on its way
            self.record.write("client", f"sent {key} ({request_class}, {wait_ms} ms) to {node.name}")
            result = "closed without an answer"
            limit_s = leave_after_s or wait_ms / 1000 + 30.0
            result = await asyncio.wait_for(self._answer(reader, key), limit_s)
        except TimeoutError:
            result = "left" if leave_after_s else "no answer"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        took_ms = 1000 * (self.record.now() - sent_at)
        self.record.write("client", f"{key}: {result} after {took_ms:.0f} ms")
        return result

    async def _answer(self, reader: asyncio.StreamReader, key: str) -> str:
        head = await reader.readuntil(b"\r\n\r\n")
        self.first_byte[key] = self.record.now()
        status = head[9:12].decode()
        if b"chunked" not in head.lower():
            return status
        try:
            while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
                await reader.readexactly(size + 2)
        except (OSError, asyncio.IncompleteReadError):
            return "200, cut"
        return status

    def close(self) -> None:
        for node in self.nodes:
            node.end()
        for task in self.tasks:
            task.cancel()


def run_case(play: Callable[[World, Path], Any], folder: Path, limit_s: float = 110.0) -> int:
    """Plays a case in a temporary folder; returns the exit code."""
    import tempfile

    async def main(temporary: Path) -> int:
        world = World(folder)
        this_task = asyncio.current_task()
        if this_task is not None:  # a script that is told to end ends its processes
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this_task.cancel)
        world.record.write("case", "with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
        try:
            async with asyncio.timeout(limit_s):
                broken: list[str] = await play(world, temporary)
        except (Exception, asyncio.CancelledError) as error:  # a fault of the stand-ins breaks no rule
            world.record.write("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            world.close()
        verdict = "the rule was BROKEN" if broken else "the rule held"
        for line in (*broken, verdict):
            world.record.write("judge", line)
            say(line)
        return BROKEN if broken else HELD

    with tempfile.TemporaryDirectory() as name:
        return asyncio.run(main(Path(name)))
