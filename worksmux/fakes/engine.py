"""An engine stand-in in a process of its own: the chat form, the small calls, and faults by a control call.

`python -m worksmux.fakes.engine SPEC` takes a `Spec` in JSON, prints its port on standard output and
serves until it is ended.  Its text is numbered words, so that who reads it can tell a gap or a repeat.
"""

from __future__ import annotations

import random
import signal
import sys
from typing import Any

import msgspec
import xxhash

from ..api import chat, embeddings, errors, rerank
from ..api import engine as calls
from ..api.events import DONE, event
from ..net import client, clock
from ..net.loop import Reactor, listen, the_reactor
from ..net.server import Exchange, Server
from ..tokenization.pieces import render
from ..tokenization.vocabulary import load, tokens
from .generator import EngineModel, Spec, Work
from .journal import Journal
from .vectors import Vectors

BOUND = 16 * 2**20
TICK = 5.0  # milliseconds between two looks at the work
ANSWER = "x-standin-answer-tokens"  # in the session's text: how long the true answer is


class Request(msgspec.Struct):
    """What the stand-in reads of a job."""

    model: str
    messages: list[chat.Message]
    max_tokens: int
    stream: bool = False
    kv_transfer_params: dict[str, Any] | None = None


class Pull(msgspec.Struct):
    """A writer asks a reader for a job's state."""

    request: str = msgspec.field(name="job")
    by: str
    zone: str
    cell: int
    ahead: bool = False


class Fault(msgspec.Struct):
    """A fault that is put on or off; which fields count depends on its name."""

    name: str
    on: bool = True
    share: float = 1.0
    factor: float = 1.0
    request_class: str = msgspec.field(default="", name="offering")


class EngineProcess:
    def __init__(self, spec: Spec, reactor: Reactor) -> None:
        self.spec, self.reactor = spec, reactor
        self.model = EngineModel(spec, clock.now())
        self.journal = Journal(spec.journal, spec.id)
        self.chance = random.Random(spec.seed)
        self.faults: dict[str, Fault] = {}
        self.works: dict[Exchange, Work] = {}
        self.pulls: dict[str, list[tuple[Exchange, Pull]]] = {}  # state that is asked for before it is read
        self.pools: dict[tuple[str, int], client.Pool] = {}
        self.link_free = {"near": 0.0, "far": 0.0}
        self.reports: list[tuple[float, dict[str, float]]] = []
        self.server = Server(self._taken, BOUND, 65_536, 120_000.0, reactor)
        self.server.on_connection = self._connected
        self.vectors = Vectors(self, lambda how, **facts: self.journal.note("end", how=how, **facts))
        self.port_object: Any = None
        self.port = 0
        self.ticking = False
        self.began = clock.wall()
        self.tokenizer = load(spec.tokenizer).open() if spec.tokenizer else None

    def start(self) -> int:
        self.port_object, self.port = listen(self.reactor, ("127.0.0.1", self.spec.port), self.server)
        self.journal.note(
            "start",
            role=self.spec.role,
            zone=self.spec.zone,
            cell=self.spec.cell,
            cold=self.spec.cold,
            port=self.port,
        )
        return self.port

    def _connected(self, channel: Any) -> None:
        slow = self.faults.get("slow_connections")
        if self.model.fallen:
            channel.transport.abortConnection()
        elif slow and self.chance.random() < slow.share:
            channel.transport.pauseProducing()
            self.reactor.callLater(slow.factor / 1000, channel.transport.resumeProducing)

    # Calls.

    def _taken(self, exchange: Exchange) -> None:
        if self.model.fallen:
            exchange.abort()
            return
        path = exchange.path.decode("latin-1")
        try:
            if path == calls.CONTROL:
                self._control(msgspec.json.decode(exchange.body(), type=Fault), exchange)
            elif "hang" in self.faults:
                self._hung(path, exchange)
            elif path == calls.CHAT:
                self._chat(exchange)
            elif path in (embeddings.PATH, rerank.PATH):
                self.vectors.take(path, exchange)
            elif path == calls.PROBE:
                exchange.answer(
                    200, msgspec.json.encode(self._self()), headers=(calls.load_header(self._report()),)
                )
            elif path == calls.RESERVE_SLOT:
                self._place(msgspec.json.decode(exchange.body(), type=calls.ReserveSlot), exchange)
            elif path == calls.RELEASE:
                self._release(msgspec.json.decode(exchange.body(), type=calls.Release).request)
                exchange.answer(200, b"{}")
            elif path == calls.PULL:
                self._pull(msgspec.json.decode(exchange.body(), type=Pull), exchange)
            else:
                exchange.answer(404, errors.error(f"there is no {path}", "invalid_request_error"))
        except msgspec.DecodeError as error:
            exchange.answer(400, errors.error(str(error), "invalid_request_error"))

    def _self(self) -> calls.ProbeReply:
        """Who it is, and whether it drains; fronts that have no list ask."""
        self.journal.note("probed")
        return calls.ProbeReply(
            self._report(),
            self.spec.id,
            self.spec.kind,
            self.began if self.spec.cold else 0.0,
            "drain" in self.faults,
        )

    def _hung(self, path: str, exchange: Exchange) -> None:
        """Takes what comes and answers nothing; what was sent is written down all the same."""
        if path == calls.CHAT:
            facts = self._facts(exchange, msgspec.json.decode(exchange.body(), type=Request))
            self.journal.note("got", **facts)
            exchange.on_disconnect = lambda: self.journal.note("end", how="hung", **facts)
        elif path == calls.RELEASE:
            self.journal.note("release", job=msgspec.json.decode(exchange.body(), type=calls.Release).request)
        elif path == calls.RESERVE_SLOT:
            wanted = msgspec.json.decode(exchange.body(), type=calls.ReserveSlot)
            self.journal.note("place asked", job=wanted.request, front=exchange.header(calls.GATEWAY) or "")

    def _report(self) -> dict[str, float]:
        """The load as it was a while ago, where reports are late."""
        now = clock.now()
        late = self.faults.get("late_reports")
        self.reports = [(at, load) for at, load in self.reports if at > now - 20_000] + [
            (now, self.model.report())
        ]
        if late:
            return next(
                (load for at, load in reversed(self.reports) if at <= now - late.factor), self.reports[0][1]
            )
        return self.reports[-1][1]

    def _control(self, fault: Fault, exchange: Exchange) -> None:
        self.journal.note("fault", name=fault.name, on=fault.on)
        if fault.on:
            self.faults[fault.name] = fault
        else:
            self.faults.pop(fault.name, None)
        match fault.name:
            case "slow":
                self.model.slow = fault.factor if fault.on else 0.0
            case "neighbour":
                self.model.taken = fault.share if fault.on else 0.0
            case "refuse":
                if fault.on:
                    self.port_object.stopListening()
                else:
                    self.port_object, _ = listen(self.reactor, ("127.0.0.1", self.port), self.server)
            case "hang" if not fault.on:
                for channel in list(self.server.channels):
                    channel.transport.abortConnection()
            case _:
                pass
        exchange.answer(200, b"{}")

    def _facts(self, exchange: Exchange, request: Request | None = None) -> dict[str, Any]:
        return {
            "job": exchange.header(calls.REQUEST) or "",
            "trip": exchange.header(chat.REQUEST_ID) or "",
            "front": exchange.header(calls.GATEWAY) or "",
            "try": exchange.header(calls.CLIENT_ATTEMPT) or "",
            "label": exchange.header(chat.IDEMPOTENCY_KEY) or "",
            "offering": request.model if request else "",
            **({"plan": plan} if (plan := exchange.header(calls.PLAN)) else {}),
        }

    def facts(self, exchange: Exchange, request_class: str) -> dict[str, Any]:
        return {**self._facts(exchange), "offering": request_class}

    def _chat(self, exchange: Exchange) -> None:
        now = clock.now()
        request = msgspec.json.decode(exchange.body(), type=Request)
        facts = self._facts(exchange, request)
        self.journal.note("got", **facts)
        if self.model.press(now, 1.0):
            self.journal.note("fell", front=facts["front"])
            return self.fall()
        fault = self.faults.get("fail_fast")
        if fault and fault.request_class in ("", request.model) and self.chance.random() < fault.share:
            self.journal.note("end", how="error", **facts)
            return exchange.answer(500, errors.error("an injected fault", "server_error"))
        fault = self.faults.get("silence")
        if fault and fault.request_class in ("", request.model) and self.chance.random() < fault.share:
            exchange.on_disconnect = lambda: self.journal.note("end", how="silent", **facts)
            return None
        if "drain" in self.faults:
            return self._refuse(exchange, facts, calls.DRAINING)
        work = self._work(exchange, request, facts)
        if self.spec.role == "write" and work.state is None and work.request not in self.model.places:
            return self._refuse(exchange, facts, calls.STATE_LOST)
        if not self.model.offer(work, now):
            return self._refuse(exchange, facts, calls.FULL)
        self.works[exchange] = work
        exchange.on_disconnect = lambda: self._gone(exchange)
        self._tick_on()

    def _work(self, exchange: Exchange, request: Request, facts: dict[str, Any]) -> Work:
        """The lengths of prompt and answer, and the identities of what the prompt begins with."""
        texts = [message.content if isinstance(message.content, str) else "" for message in request.messages]
        prompt = max(1.0, sum(len(text.encode()) for text in texts) / chat.BYTES_PER_TOKEN)
        chain, keys, parts, length = xxhash.xxh3_64(), [], [], 0.0
        for text in texts:
            chain.update(text.encode())
            length += len(text.encode()) / chat.BYTES_PER_TOKEN
            keys.append(chain.intdigest())
            parts.append(length)
        if self.tokenizer is not None:  # counted whole, as the reference for the front's count
            whole = render([(message.role, chat.text_of(message.content)) for message in request.messages])
            scale = prompt
            prompt = float(len(tokens(self.tokenizer, whole)) // 4)
            parts = [part * prompt / scale for part in parts]
            told = exchange.header(calls.PROMPT_TOKENS)
            if told is not None:
                self.journal.note("counted", job=facts["job"], by_front=int(told), own=int(prompt))
        wanted = texts[-1].rpartition(ANSWER + "=")[2].split(" ", 1)[0]
        answer = min(request.max_tokens, int(wanted)) if wanted.isdigit() else request.max_tokens
        state = (
            request.kv_transfer_params
            if request.kv_transfer_params and not request.kv_transfer_params.get("do_remote_decode")
            else None
        )
        return Work(
            facts["job"],
            request.model,
            prompt,
            request.max_tokens if self.spec.role != "read" else 1,
            keys,
            max(1, answer),
            state,
            door=exchange,
            facts={**facts, "parts": parts},
        )

    def _end(self, work: Work, how: str) -> None:
        facts = {key: value for key, value in work.facts.items() if key != "parts"}
        self.journal.note("end", how=how, made=work.sent, **facts)
        self.works.pop(work.door, None)
        work.door.on_disconnect = None
        self.model.drop(work)

    def _refuse(self, exchange: Exchange, facts: dict[str, Any], code: str) -> None:
        self.journal.note("end", how=code, **facts)
        exchange.answer(
            429,
            errors.error(f"turned away: {code}", "rate_limit_error", code=code),
            headers=(calls.load_header(self._report()),),
        )

    def _gone(self, exchange: Exchange) -> None:
        """The front closed the connection: what waits is dropped, what runs stops."""
        work = self.works.get(exchange)
        if work:
            self._end(work, "cut")
            for waiting, _ in self.pulls.pop(work.request, []):
                waiting.answer(404, b"{}")
            self._tick_on()

    def fall(self) -> None:
        for work in list(self.works.values()):
            self._end(work, "fell")
        for channel in list(self.server.channels):
            channel.transport.abortConnection()

    # Work.

    def _tick_on(self) -> None:
        if not self.ticking:
            self.ticking = True
            self.model.at = clock.now()
            self.reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        now = clock.now()
        model = self.model
        self._expire(now)
        if "hang" not in self.faults and not model.fallen:
            done, grown = model.advance(now)
            for work in done:
                self._read(work, now)
            for work in grown:
                self._grow(work)
            for work in model.admit(now):
                self._fetch(work)
        else:
            model.at = now
        self.ticking = bool(
            model.line or model.reading or model.answering or model.fetching or model.states or model.places
        )
        if self.ticking:
            self.reactor.callLater(TICK / 1000, self._tick)

    def _expire(self, now: float) -> None:
        for request, state in list(self.model.states.items()):
            if not state.asked and now > state.since + self.spec.lease:
                self._freed(request, "lease")
        for request, place in list(self.model.places.items()):
            if now > place.since + self.spec.lease:
                self._unplaced(request, "lease")

    def _freed(self, request: str, why: str) -> None:
        if self.model.free_state(request):
            self.journal.note("freed", job=request, why=why)

    def _unplaced(self, request: str, why: str) -> None:
        if self.model.free_place(request):
            self.journal.note("unplaced", job=request, why=why)

    def _read(self, work: Work, now: float) -> None:
        if self.spec.role == "both":
            work.ready = True
            self.model.answering[work] = None
            return
        exchange = work.door
        self.model.hold_state(work, now)
        work.memory = 0.0
        self.journal.note("held", job=work.request, tokens=work.prompt, front=work.facts["front"])
        reply = chat.PrefillReply(
            chat.KvParams(self.spec.id, "127.0.0.1", self.port, [], work.request),
            chat.Usage(int(work.prompt), 1, int(work.prompt) + 1, {"cached_tokens": int(work.cached)}),
        )
        self._end(work, "read")
        exchange.answer(200, msgspec.json.encode(reply), headers=(calls.load_header(self._report()),))
        for waiting, pull in self.pulls.pop(work.request, []):
            self._hand_over(waiting, pull)

    def _grow(self, work: Work) -> None:
        exchange, words = work.door, []
        if not work.sent:
            self.journal.note("first", job=work.request, trip=work.facts["trip"], front=work.facts["front"])
            exchange.begin("text/event-stream", (calls.load_header(self._report()),))
        drop = self.faults.get("drop_streams")
        if drop and work.made > work.answer / 2 and self.chance.random() < drop.share / 4:
            self._end(work, "dropped")
            exchange.abort()
            return
        if "garbage" in self.faults:
            exchange.send_chunk(b"data: {not json\n\n")
        target = min(int(work.made), work.answer)
        while work.sent < target:
            words.append(f"w{work.sent} ")
            work.sent += 1
        exchange.send_chunk(event(chat.chunk(work.request, work.request_class, "".join(words))))
        if work.sent >= work.answer:
            usage = chat.Usage(
                int(work.prompt), work.sent, int(work.prompt) + work.sent, {"cached_tokens": int(work.cached)}
            )
            exchange.send_chunk(
                event(chat.chunk(work.request, work.request_class, finish="stop"))
                + event(chat.chunk(work.request, work.request_class, usage=usage))
                + DONE
            )
            self._end(work, "done")
            exchange.end()

    # State between engines.

    def _pool(self, host: str, port: int) -> client.Pool:
        if (host, port) not in self.pools:
            self.pools[host, port] = client.Pool(self.reactor, host, port, 1_000.0, 5_000.0, 16, 65_536)
        return self.pools[host, port]

    def _ask(
        self, handle: dict[str, Any], request: str, ahead: bool, on_end: client.ResponseCallback
    ) -> None:
        pool = self._pool(str(handle.get("remote_host", "127.0.0.1")), int(handle.get("remote_port") or 0))
        body = msgspec.json.encode(Pull(request, self.spec.id, self.spec.zone, self.spec.cell, ahead))
        pool.call("POST", calls.PULL, client.BufferedResponse(BOUND, on_end), (), body)

    def _fetch(self, work: Work) -> None:
        def ended(
            status: int, headers: dict[str, str], body: bytes, trouble: client.CallError | None
        ) -> None:
            if work not in self.model.fetching:
                return
            if trouble is None and status == 200:
                self.model.fetched(work)
                self._tick_on()
            else:
                exchange = work.door
                facts = {key: value for key, value in work.facts.items() if key != "parts"}
                self.works.pop(exchange, None)
                self.model.drop(work)
                exchange.on_disconnect = None
                self._refuse(exchange, facts, calls.STATE_LOST)

        self._ask(work.state, work.request, False, ended)

    def _pull(self, pull: Pull, exchange: Exchange) -> None:
        if pull.request in self.model.states:
            self._hand_over(exchange, pull)
        elif pull.ahead and any(work.request == pull.request for work in self.works.values()):
            self.pulls.setdefault(pull.request, []).append((exchange, pull))
        else:
            exchange.answer(404, b"{}")

    def _hand_over(self, exchange: Exchange, pull: Pull) -> None:
        """The state leaves over the port, or over this engine's part of the cell's link, one after the
        other."""
        state = self.model.states[pull.request]
        state.asked = True
        near = pull.cell == self.spec.cell
        rate = (
            self.spec.near
            if near
            else self.spec.far / (1.0 if pull.zone == self.spec.zone else self.spec.zone_slower)
        )
        slow = self.faults.get("slow_links")
        if slow and not near:
            rate /= slow.factor
        way, now = "near" if near else "far", clock.now()
        self.link_free[way] = max(now, self.link_free[way]) + 1000 * state.tokens / rate

        def moved() -> None:
            if pull.request not in self.model.states or exchange.over:
                state.asked = False
                return exchange.answer(404, b"{}")
            self.model.free_state(pull.request)
            self.journal.note("pulled", job=pull.request, by=pull.by, near=near, tokens=state.tokens)
            exchange.answer(200, bytes(min(65_536, int(state.tokens))), "application/octet-stream")

        self.reactor.callLater((self.link_free[way] - now) / 1000, moved)

    def _place(self, wanted: calls.ReserveSlot, exchange: Exchange) -> None:
        self.journal.note("place asked", job=wanted.request, front=exchange.header(calls.GATEWAY) or "")
        known = any(
            work.request == wanted.request for work in self.works.values()
        )  # it came after its job's trip
        held = (
            not known
            and "drain" not in self.faults
            and self.model.place(wanted.request, wanted.tokens * 1.2, clock.now())
        )
        if held:
            self.journal.note("placed", job=wanted.request, front=exchange.header(calls.GATEWAY) or "")
            self._tick_on()
            if wanted.kv_source is not None:
                self._pull_ahead(wanted.request, wanted.kv_source)
        exchange.answer(200, msgspec.json.encode(calls.ReserveSlotReply(held)))

    def _pull_ahead(self, request: str, reader: chat.KvParams) -> None:
        """The state comes as soon as it is read; a trip that arrives meanwhile waits for it."""
        self.model.places[request].pulling = True

        def pulled(
            status: int, headers: dict[str, str], body: bytes, trouble: client.CallError | None
        ) -> None:
            here = trouble is None and status == 200
            place, work = self.model.places.get(request), self.model.attached.pop(request, None)
            if place:
                place.pulling, place.asked = False, here
            elif work in self.model.fetching and here:
                self.model.fetched(work)
            elif work in self.model.fetching:
                self._fetch(work)

        self._ask(
            {"remote_host": reader.remote_host, "remote_port": reader.remote_port}, request, True, pulled
        )

    def _release(self, request: str) -> None:
        self.journal.note("release", job=request)
        state = self.model.states.get(request)
        if state and not state.asked:
            self._freed(request, "release")
        self._unplaced(request, "release")


def main(text: str) -> None:
    reactor = the_reactor()
    engine = EngineProcess(msgspec.json.decode(text, type=Spec), reactor)
    print(engine.start(), flush=True)
    reactor.callLater(
        0, lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    )
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1])
