"""A test rig in one process: registry, engines, gateways and clients on loopback, with its own reactor."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.epollreactor import EPollReactor

from worksmux.api import engine as calls
from worksmux.checker.records import Records, load
from worksmux.checker.rules import RuleParameters
from worksmux.fakes.clients import Clients, ClientsSpec, FrontSpec, RequestClassSpec
from worksmux.fakes.engine import EngineProcess, Fault
from worksmux.fakes.journal import Journal
from worksmux.fakes.registry import Registry
from worksmux.gateway.serve import GatewayProcess
from worksmux.net import client, clock
from worksmux.policy.id_map import PolicyFactory
from worksmux.settings.document import parse
from worksmux.settings.front import GatewaySettings, read_gateway_settings

from .small_engines import list_entry, small_spec

SETTINGS = """
front "a" {
    listen "127.0.0.1:0"
    zone "north"
    fronts 1
    turn "2ms"
    seed 5
}
registry {
    address "127.0.0.1:1"
    least-pause "20ms"
    most-pause "200ms"
    longest-line "1MiB"
    silence "5s"
}
zones "north" "south"
kind "prefill" role="read" memory=100000
kind "decode" role="write" memory=100000
kind "mixed" role="both" memory=100000
offering "hint" {
    promised-time "1s"
    outer-limit "3s"
    token-time "60ms"
    most-answer 60
    effect "redoable"
}
offering "mark" {
    promised-time "1s"
    outer-limit "3s"
    token-time "60ms"
    most-answer 60
    effect "irreversible"
}
offering "note" {
    promised-time "1s"
    outer-limit "3s"
    token-time "60ms"
    most-answer 60
    effect "labelled"
    group "cell"
    remembered "2s"
}
rules {
    answer-slack "8ms"
    drain-grace "250ms"
    release-within "300ms"
    cold-share 0.3
    warm-up "4s"
    fall-multiple 3
    fall-time "1s"
}
limits {
    trips 5
    hold true
}
transport {
    connect-time-out "250ms"
    keep-alive "5s"
    stream-silence "500ms"
    call-time-out "250ms"
    answer-margin "30ms"
    body "64KiB"
    head "16KiB"
    reply "64KiB"
    open-jobs 1000
    drain-time "3s"
}
"""
# The slack covers delays on a busy machine: the whole rig runs in one process.
FIGURES = RuleParameters(8.0, 250.0, 300.0, 1000.0, {"note": "cell"}, {"note": 2000.0}, slack=400.0)


def plain_request_class(
    name: str, effect: str, answer_tokens: tuple[float, float], beginnings: int
) -> RequestClassSpec:
    """The traffic of the rigs' clients: small prompts and short answers."""
    return RequestClassSpec(
        name=name,
        share=1.0,
        promised_time=1000.0,
        promised_per_k=0.0,
        outer_limit=3000.0,
        token_time=60.0,
        most_answer=60,
        credit=1.0,
        late_credit=0.1,
        effect=effect,
        new_tokens=(20, 60),
        answer_tokens=answer_tokens,
        turns=(1, 1),
        think=(100, 200),
        beginnings=beginnings,
        beginning_tokens=(100, 200),
        beginning_share=0.8,
    )


class Rig:
    """A registry, fake engines, gateways and clients.

    `engines` are (kind, cell) pairs in zone north; engine k has the id e<k>.
    """

    def __init__(
        self,
        folder: Path,
        engines: list[tuple[str, int]],
        policy_factory: PolicyFactory | None = None,
        text: str = SETTINGS,
        **spec: Any,
    ) -> None:
        self.folder, self.policy_factory, self.text, self.spec = folder, policy_factory, text, spec
        self.reactor: Any = EPollReactor()  # type: ignore[no-untyped-call]
        self.registry = Registry(
            self.reactor, Journal(folder / "registry.jsonl", "registry"), (0.0, 0.0), False, 1
        )
        self.registry.start()
        self.engines: list[EngineProcess] = []
        for kind, cell in engines:
            self.add_engine(kind, cell)
        self.fronts: list[GatewayProcess] = []
        self.clients: Clients | None = None
        self.failed: BaseException | None = None

    def add_engine(self, kind: str, cell: int = 0, cold: bool = False, listed: bool = True) -> EngineProcess:
        """Starts an engine and announces it, unless `listed` is False."""
        spec = small_spec(self.folder, f"e{len(self.engines)}", kind, "north", cell, cold)
        engine = EngineProcess(msgspec.structs.replace(spec, **self.spec), self.reactor)
        engine.start()
        self.engines.append(engine)
        if listed:
            self.announce(engine, "ready", clock.wall() if cold else 0.0)
        return engine

    def announce(self, engine: EngineProcess, state: Any, started: float = 0.0) -> None:
        """Publishes an engine's state in the registry at once."""
        self.registry.change(list_entry(engine, state, started), at_once=True)

    def settings(self) -> GatewaySettings:
        """The gateway settings with the registry's port."""
        return read_gateway_settings(
            parse(self.text.replace('127.0.0.1:1"', f'127.0.0.1:{self.registry.port}"'))
        )

    def front(self) -> GatewayProcess:
        """Starts a gateway."""
        gateway = GatewayProcess(self.settings(), self.reactor, self.policy_factory)
        gateway.start()
        self.fronts.append(gateway)
        return gateway

    def inject_fault(self, engine: EngineProcess, name: str, on: bool = True, **fields: Any) -> None:
        """Switches a fault of an engine on or off by a control call."""
        pool = client.Pool(self.reactor, "127.0.0.1", engine.port, 500.0, 100.0, 0, 65_536)
        body = msgspec.json.encode(Fault(name, on, **fields))
        pool.call("POST", calls.CONTROL, client.BufferedResponse(65_536, lambda *_: None), (), body)

    def at(self, delay_ms: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedules `call` for this time after the clients' start."""
        self.reactor.callLater((delay_ms + 200) / 1000, call, *args)

    def run_clients(
        self,
        request_class: str = "hint",
        length: float = 1500.0,
        rate: float = 20.0,
        retries: float = 0.0,
        patience: float = 1.0,
        answer_tokens: tuple[float, float] = (5, 15),
        effect: str = "redoable",
    ) -> Records:
        """Runs clients of one request class until every request has ended; returns the records.

        The reactor runs for another 0.6 s, so that KV cache that is still held is released.
        """
        if not self.fronts:
            self.front()
        traffic = plain_request_class(request_class, effect, answer_tokens, beginnings=3)
        spec = ClientsSpec(
            str(self.folder / "clients.jsonl"),
            3,
            clock.now() + 200,
            length,
            rate,
            [traffic],
            [FrontSpec(gateway.settings.name, gateway.port, "north") for gateway in self.fronts],
            [],
            (retries, retries),
            (50.0, 150.0),
            (patience, patience),
            0.7,
            500.0,
        )
        self.clients = Clients(spec, self.reactor)
        stop = self.reactor.stop
        self.reactor.stop = lambda: self.reactor.callLater(0.6, stop)
        self.clients.start()
        self.run()
        return load(self.folder)

    def run(self, within_s: float = 30.0) -> None:
        """Runs until something stops the reactor; raises TimeoutError after `within_s` seconds."""

        def time_out() -> None:
            self.failed = TimeoutError(f"the reactor was not stopped within {within_s} s")
            self.reactor.crash()

        timer = self.reactor.callLater(within_s, time_out)
        self.reactor.run(installSignalHandlers=False)
        if timer.active():
            timer.cancel()
        if self.failed:
            raise self.failed

    def send_request(
        self,
        body: bytes,
        on_end: Callable[[int, dict[str, str], bytes, Any], None],
        method: str = "POST",
        path: str = "/v1/chat/completions",
        **headers: str,
    ) -> client.Call:
        """Sends one request to the first gateway."""
        gateway = self.fronts[0]
        pool = client.Pool(self.reactor, "127.0.0.1", gateway.port, 500.0, 100.0, 0, 65_536)
        header_list = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return pool.call(method, path, client.BufferedResponse(2**20, on_end), header_list, body)
