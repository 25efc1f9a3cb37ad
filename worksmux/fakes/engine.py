"""A fake engine process: serves chat requests and engine calls, and injects faults by a control call.

`python -m worksmux.fakes.engine SPEC` takes a `Spec` in JSON, prints its port on standard output and serves
until SIGTERM.  An answer's text is numbered words, so that the client detects a missing or repeated one.
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

MAX_BODY_BYTES = 16 * 2**20
TICK_MS = 5.0  # between two advances of the model
ANSWER_TOKENS_MARKER = "x-standin-answer-tokens"  # in the prompt: the true length of the answer


class Request(msgspec.Struct):
    """The fields of a chat request that the fake engine reads."""

    model: str
    messages: list[chat.Message]
    max_tokens: int
    stream: bool = False
    kv_transfer_params: dict[str, Any] | None = None


class Pull(msgspec.Struct):
    """A decode engine's request to a prefill engine for the KV cache of a request.

    With `ahead` set, the pull may arrive before the prefill is complete.
    """

    request: str = msgspec.field(name="job")
    by: str
    zone: str
    cell: int
    ahead: bool = False


class Fault(msgspec.Struct):
    """Switches a fault on or off; the name decides which other fields apply."""

    name: str
    on: bool = True
    share: float = 1.0
    factor: float = 1.0
    request_class: str = msgspec.field(default="", name="offering")


class EngineProcess:
    """Serves one engine's HTTP calls, driven by an `EngineModel`."""

    def __init__(self, spec: Spec, reactor: Reactor) -> None:
        self.spec, self.reactor = spec, reactor
        self.model = EngineModel(spec, clock.now())
        self.journal = Journal(spec.journal, spec.id)
        self.random_source = random.Random(spec.seed)
        self.faults: dict[str, Fault] = {}
        self.open_work: dict[Exchange, Work] = {}
        self.waiting_pulls: dict[str, list[tuple[Exchange, Pull]]] = {}  # for unfinished prefills
        self.pools: dict[tuple[str, int], client.Pool] = {}
        self.link_free_at_ms = {"near": 0.0, "far": 0.0}
        self.load_history: list[tuple[float, dict[str, float]]] = []
        self.server = Server(self._handle_request, MAX_BODY_BYTES, 65_536, 120_000.0, reactor)
        self.server.on_connection = self._handle_connection
        self.vectors = Vectors(self, lambda how, **facts: self.journal.note("end", how=how, **facts))
        self.port_object: Any = None
        self.port = 0
        self.ticking = False
        self.started_at_ms = clock.wall()
        self.tokenizer = load(spec.tokenizer).open() if spec.tokenizer else None

    def start(self) -> int:
        """Starts to listen and returns the port."""
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

    def _handle_connection(self, channel: Any) -> None:
        """Resets a connection to a fallen engine; delays it under the fault `slow_connections`."""
        fault = self.faults.get("slow_connections")
        if self.model.fallen:
            channel.transport.abortConnection()
        elif fault and self.random_source.random() < fault.share:
            channel.transport.pauseProducing()
            self.reactor.callLater(fault.factor / 1000, channel.transport.resumeProducing)

    # Calls.

    def _handle_request(self, exchange: Exchange) -> None:
        if self.model.fallen:
            exchange.abort()
            return
        path = exchange.path.decode("latin-1")
        try:
            if path == calls.CONTROL:
                self._control(msgspec.json.decode(exchange.body(), type=Fault), exchange)
            elif "hang" in self.faults:
                self._record_unanswered(path, exchange)
            elif path == calls.CHAT:
                self._chat(exchange)
            elif path in (embeddings.PATH, rerank.PATH):
                self.vectors.handle(path, exchange)
            elif path == calls.PROBE:
                exchange.answer(
                    200,
                    msgspec.json.encode(self._probe_reply()),
                    headers=(calls.load_header(self._current_load()),),
                )
            elif path == calls.RESERVE_SLOT:
                self._reserve_slot(msgspec.json.decode(exchange.body(), type=calls.ReserveSlot), exchange)
            elif path == calls.RELEASE:
                self._handle_release(msgspec.json.decode(exchange.body(), type=calls.Release).request)
                exchange.answer(200, b"{}")
            elif path == calls.PULL:
                self._handle_pull(msgspec.json.decode(exchange.body(), type=Pull), exchange)
            else:
                exchange.answer(404, errors.error(f"there is no {path}", "invalid_request_error"))
        except msgspec.DecodeError as error:
            exchange.answer(400, errors.error(str(error), "invalid_request_error"))

    def _probe_reply(self) -> calls.ProbeReply:
        """The engine's identity and drain state, for gateways that have no endpoint list."""
        self.journal.note("probed")
        return calls.ProbeReply(
            self._current_load(),
            self.spec.id,
            self.spec.kind,
            self.started_at_ms if self.spec.cold else 0.0,
            "drain" in self.faults,
        )

    def _record_unanswered(self, path: str, exchange: Exchange) -> None:
        """Records a call to a hung engine in the journal and leaves it unanswered."""
        if path == calls.CHAT:
            facts = self._journal_facts(exchange, msgspec.json.decode(exchange.body(), type=Request))
            self.journal.note("got", **facts)
            exchange.on_disconnect = lambda: self.journal.note("end", how="hung", **facts)
        elif path == calls.RELEASE:
            self.journal.note("release", job=msgspec.json.decode(exchange.body(), type=calls.Release).request)
        elif path == calls.RESERVE_SLOT:
            reservation = msgspec.json.decode(exchange.body(), type=calls.ReserveSlot)
            self.journal.note(
                "place asked", job=reservation.request, front=exchange.header(calls.GATEWAY) or ""
            )

    def _current_load(self) -> dict[str, float]:
        """The current load, or an old one while the fault `late_reports` is on."""
        now = clock.now()
        fault = self.faults.get("late_reports")
        self.load_history = [
            (time_ms, load) for time_ms, load in self.load_history if time_ms > now - 20_000
        ] + [(now, self.model.load_report())]
        if fault:
            return next(
                (load for time_ms, load in reversed(self.load_history) if time_ms <= now - fault.factor),
                self.load_history[0][1],
            )
        return self.load_history[-1][1]

    def _control(self, fault: Fault, exchange: Exchange) -> None:
        self.journal.note("fault", name=fault.name, on=fault.on)
        if fault.on:
            self.faults[fault.name] = fault
        else:
            self.faults.pop(fault.name, None)
        match fault.name:
            case "slow":
                self.model.slowdown = fault.factor if fault.on else 0.0
            case "neighbour":
                self.model.neighbour_share = fault.share if fault.on else 0.0
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

    def _journal_facts(self, exchange: Exchange, request: Request | None = None) -> dict[str, Any]:
        return {
            "job": exchange.header(calls.REQUEST) or "",
            "trip": exchange.header(chat.REQUEST_ID) or "",
            "front": exchange.header(calls.GATEWAY) or "",
            "try": exchange.header(calls.CLIENT_ATTEMPT) or "",
            "label": exchange.header(chat.IDEMPOTENCY_KEY) or "",
            "offering": request.model if request else "",
            **({"plan": plan} if (plan := exchange.header(calls.PLAN)) else {}),
        }

    def journal_facts(self, exchange: Exchange, request_class: str) -> dict[str, Any]:
        """The journal fields that identify an attempt."""
        return {**self._journal_facts(exchange), "offering": request_class}

    def _chat(self, exchange: Exchange) -> None:
        now = clock.now()
        request = msgspec.json.decode(exchange.body(), type=Request)
        facts = self._journal_facts(exchange, request)
        self.journal.note("got", **facts)
        if self.model.record_arrival(now, 1.0):
            self.journal.note("fell", front=facts["front"])
            return self.fall()
        fault = self.faults.get("fail_fast")
        if fault and fault.request_class in ("", request.model) and self.random_source.random() < fault.share:
            self.journal.note("end", how="error", **facts)
            return exchange.answer(500, errors.error("an injected fault", "server_error"))
        fault = self.faults.get("silence")
        if fault and fault.request_class in ("", request.model) and self.random_source.random() < fault.share:
            exchange.on_disconnect = lambda: self.journal.note("end", how="silent", **facts)
            return None
        if "drain" in self.faults:
            return self._reject(exchange, facts, calls.DRAINING)
        work = self._make_work(exchange, request, facts)
        if (
            self.spec.role == "write"
            and work.kv_params is None
            and work.request not in self.model.reserved_slots
        ):
            return self._reject(exchange, facts, calls.STATE_LOST)
        if not self.model.enqueue(work, now):
            return self._reject(exchange, facts, calls.FULL)
        self.open_work[exchange] = work
        exchange.on_disconnect = lambda: self._handle_disconnect(exchange)
        self._start_ticking()

    def _make_work(self, exchange: Exchange, request: Request, facts: dict[str, Any]) -> Work:
        """The work of a chat request: the lengths of prompt and answer, and a hash of each prompt prefix."""
        texts = [message.content if isinstance(message.content, str) else "" for message in request.messages]
        prompt_tokens = max(1.0, sum(len(text.encode()) for text in texts) / chat.BYTES_PER_TOKEN)
        prefix_hash, keys, prefix_tokens, total_tokens = xxhash.xxh3_64(), [], [], 0.0
        for text in texts:
            prefix_hash.update(text.encode())
            total_tokens += len(text.encode()) / chat.BYTES_PER_TOKEN
            keys.append(prefix_hash.intdigest())
            prefix_tokens.append(total_tokens)
        if self.tokenizer is not None:  # count the rendered prompt, to check the gateway's count
            rendered = render([(message.role, chat.text_of(message.content)) for message in request.messages])
            estimated_tokens = prompt_tokens
            prompt_tokens = float(len(tokens(self.tokenizer, rendered)) // 4)
            prefix_tokens = [
                tokens_so_far * prompt_tokens / estimated_tokens for tokens_so_far in prefix_tokens
            ]
            counted_by_gateway = exchange.header(calls.PROMPT_TOKENS)
            if counted_by_gateway is not None:
                self.journal.note(
                    "counted", job=facts["job"], by_front=int(counted_by_gateway), own=int(prompt_tokens)
                )
        marked_length = texts[-1].rpartition(ANSWER_TOKENS_MARKER + "=")[2].split(" ", 1)[0]
        answer_tokens = (
            min(request.max_tokens, int(marked_length)) if marked_length.isdigit() else request.max_tokens
        )
        state = (
            request.kv_transfer_params
            if request.kv_transfer_params and not request.kv_transfer_params.get("do_remote_decode")
            else None
        )
        return Work(
            facts["job"],
            request.model,
            prompt_tokens,
            request.max_tokens if self.spec.role != "read" else 1,
            keys,
            max(1, answer_tokens),
            state,
            exchange=exchange,
            facts={**facts, "parts": prefix_tokens},
        )

    def _end_work(self, work: Work, outcome: str) -> None:
        facts = {key: value for key, value in work.facts.items() if key != "parts"}
        self.journal.note("end", how=outcome, made=work.tokens_sent, **facts)
        self.open_work.pop(work.exchange, None)
        work.exchange.on_disconnect = None
        self.model.drop(work)

    def _reject(self, exchange: Exchange, facts: dict[str, Any], code: str) -> None:
        self.journal.note("end", how=code, **facts)
        exchange.answer(
            429,
            errors.error(f"turned away: {code}", "rate_limit_error", code=code),
            headers=(calls.load_header(self._current_load()),),
        )

    def _handle_disconnect(self, exchange: Exchange) -> None:
        """Drops the work of a request that the gateway disconnected, and answers pulls of its KV cache."""
        work = self.open_work.get(exchange)
        if work:
            self._end_work(work, "cut")
            for waiting, _ in self.waiting_pulls.pop(work.request, []):
                waiting.answer(404, b"{}")
            self._start_ticking()

    def fall(self) -> None:
        """Ends all work and resets all connections, as an overloaded cold engine does."""
        for work in list(self.open_work.values()):
            self._end_work(work, "fell")
        for channel in list(self.server.channels):
            channel.transport.abortConnection()

    # Work.

    def _start_ticking(self) -> None:
        if not self.ticking:
            self.ticking = True
            self.model.advanced_at_ms = clock.now()
            self.reactor.callLater(0, self._tick)

    def _tick(self) -> None:
        now = clock.now()
        model = self.model
        self._expire(now)
        if "hang" not in self.faults and not model.fallen:
            prefilled, with_new_tokens = model.advance(now)
            for work in prefilled:
                self._finish_prefill(work, now)
            for work in with_new_tokens:
                self._send_tokens(work)
            for work in model.admit(now):
                self._fetch_state(work)
        else:
            model.advanced_at_ms = now
        self.ticking = bool(
            model.queue
            or model.prefilling
            or model.decoding
            or model.fetching
            or model.states
            or model.reserved_slots
        )
        if self.ticking:
            self.reactor.callLater(TICK_MS / 1000, self._tick)

    def _expire(self, now: float) -> None:
        for request, state in list(self.model.states.items()):
            if not state.is_claimed and now > state.since_ms + self.spec.lease:
                self._release_state(request, "lease")
        for request, slot in list(self.model.reserved_slots.items()):
            if now > slot.since_ms + self.spec.lease:
                self._release_slot(request, "lease")

    def _release_state(self, request: str, reason: str) -> None:
        if self.model.release_state(request):
            self.journal.note("freed", job=request, why=reason)

    def _release_slot(self, request: str, reason: str) -> None:
        if self.model.release_slot(request):
            self.journal.note("unplaced", job=request, why=reason)

    def _finish_prefill(self, work: Work, now: float) -> None:
        if self.spec.role == "both":
            work.is_ready = True
            self.model.decoding[work] = None
            return
        exchange = work.exchange
        self.model.store_state(work, now)
        work.memory_tokens = 0.0
        self.journal.note("held", job=work.request, tokens=work.prompt_tokens, front=work.facts["front"])
        reply = chat.PrefillReply(
            chat.KvParams(self.spec.id, "127.0.0.1", self.port, [], work.request),
            chat.Usage(
                int(work.prompt_tokens),
                1,
                int(work.prompt_tokens) + 1,
                {"cached_tokens": int(work.cached_tokens)},
            ),
        )
        self._end_work(work, "read")
        exchange.answer(200, msgspec.json.encode(reply), headers=(calls.load_header(self._current_load()),))
        for waiting, pull in self.waiting_pulls.pop(work.request, []):
            self._transfer_state(waiting, pull)

    def _send_tokens(self, work: Work) -> None:
        exchange, words = work.exchange, []
        if not work.tokens_sent:
            self.journal.note("first", job=work.request, trip=work.facts["trip"], front=work.facts["front"])
            exchange.begin("text/event-stream", (calls.load_header(self._current_load()),))
        fault = self.faults.get("drop_streams")
        if (
            fault
            and work.tokens_made > work.answer_tokens / 2
            and self.random_source.random() < fault.share / 4
        ):
            self._end_work(work, "dropped")
            exchange.abort()
            return
        if "garbage" in self.faults:
            exchange.send_chunk(b"data: {not json\n\n")
        target = min(int(work.tokens_made), work.answer_tokens)
        while work.tokens_sent < target:
            words.append(f"w{work.tokens_sent} ")
            work.tokens_sent += 1
        exchange.send_chunk(event(chat.chunk(work.request, work.request_class, "".join(words))))
        if work.tokens_sent >= work.answer_tokens:
            usage = chat.Usage(
                int(work.prompt_tokens),
                work.tokens_sent,
                int(work.prompt_tokens) + work.tokens_sent,
                {"cached_tokens": int(work.cached_tokens)},
            )
            exchange.send_chunk(
                event(chat.chunk(work.request, work.request_class, finish="stop"))
                + event(chat.chunk(work.request, work.request_class, usage=usage))
                + DONE
            )
            self._end_work(work, "done")
            exchange.end()

    # KV cache transfer between engines.

    def _pool(self, host: str, port: int) -> client.Pool:
        if (host, port) not in self.pools:
            self.pools[host, port] = client.Pool(self.reactor, host, port, 1_000.0, 5_000.0, 16, 65_536)
        return self.pools[host, port]

    def _request_state(
        self, kv_params: dict[str, Any], request: str, early: bool, on_end: client.ResponseCallback
    ) -> None:
        pool = self._pool(
            str(kv_params.get("remote_host", "127.0.0.1")), int(kv_params.get("remote_port") or 0)
        )
        body = msgspec.json.encode(Pull(request, self.spec.id, self.spec.zone, self.spec.cell, early))
        pool.call("POST", calls.PULL, client.BufferedResponse(MAX_BODY_BYTES, on_end), (), body)

    def _fetch_state(self, work: Work) -> None:
        def ended(status: int, headers: dict[str, str], body: bytes, error: client.CallError | None) -> None:
            if work not in self.model.fetching:
                return
            if error is None and status == 200:
                self.model.state_arrived(work)
                self._start_ticking()
            else:
                exchange = work.exchange
                facts = {key: value for key, value in work.facts.items() if key != "parts"}
                self.open_work.pop(exchange, None)
                self.model.drop(work)
                exchange.on_disconnect = None
                self._reject(exchange, facts, calls.STATE_LOST)

        self._request_state(work.kv_params, work.request, False, ended)

    def _handle_pull(self, pull: Pull, exchange: Exchange) -> None:
        if pull.request in self.model.states:
            self._transfer_state(exchange, pull)
        elif pull.ahead and any(work.request == pull.request for work in self.open_work.values()):
            self.waiting_pulls.setdefault(pull.request, []).append((exchange, pull))
        else:
            exchange.answer(404, b"{}")

    def _transfer_state(self, exchange: Exchange, pull: Pull) -> None:
        """Sends held KV cache over the link inside the cell or the link out of the cell.

        Transfers on one link run one after the other.
        """
        state = self.model.states[pull.request]
        state.is_claimed = True
        same_cell = pull.cell == self.spec.cell
        tokens_per_s = (
            self.spec.near
            if same_cell
            else self.spec.far / (1.0 if pull.zone == self.spec.zone else self.spec.zone_slower)
        )
        fault = self.faults.get("slow_links")
        if fault and not same_cell:
            tokens_per_s /= fault.factor
        link, now = "near" if same_cell else "far", clock.now()
        self.link_free_at_ms[link] = max(now, self.link_free_at_ms[link]) + 1000 * state.tokens / tokens_per_s

        def finish_transfer() -> None:
            if pull.request not in self.model.states or exchange.over:
                state.is_claimed = False
                return exchange.answer(404, b"{}")
            self.model.release_state(pull.request)
            self.journal.note("pulled", job=pull.request, by=pull.by, near=same_cell, tokens=state.tokens)
            exchange.answer(200, bytes(min(65_536, int(state.tokens))), "application/octet-stream")

        self.reactor.callLater((self.link_free_at_ms[link] - now) / 1000, finish_transfer)

    def _reserve_slot(self, reservation: calls.ReserveSlot, exchange: Exchange) -> None:
        self.journal.note("place asked", job=reservation.request, front=exchange.header(calls.GATEWAY) or "")
        request_arrived = any(
            work.request == reservation.request for work in self.open_work.values()
        )  # the reservation came after the attempt
        held = (
            not request_arrived
            and "drain" not in self.faults
            and self.model.reserve_slot(reservation.request, reservation.tokens * 1.2, clock.now())
        )
        if held:
            self.journal.note("placed", job=reservation.request, front=exchange.header(calls.GATEWAY) or "")
            self._start_ticking()
            if reservation.kv_source is not None:
                self._pull_early(reservation.request, reservation.kv_source)
        exchange.answer(200, msgspec.json.encode(calls.ReserveSlotReply(held)))

    def _pull_early(self, request: str, prefill_params: chat.KvParams) -> None:
        """Pulls the KV cache of a reserved slot as soon as the prefill completes.

        An attempt that arrives during the pull waits for it.
        """
        self.model.reserved_slots[request].is_pulling = True

        def handle_pulled(
            status: int, headers: dict[str, str], body: bytes, error: client.CallError | None
        ) -> None:
            arrived = error is None and status == 200
            slot, work = (
                self.model.reserved_slots.get(request),
                self.model.waiting_for_early_state.pop(request, None),
            )
            if slot:
                slot.is_pulling, slot.is_claimed = False, arrived
            elif work in self.model.fetching and arrived:
                self.model.state_arrived(work)
            elif work in self.model.fetching:
                self._fetch_state(work)

        self._request_state(
            {"remote_host": prefill_params.remote_host, "remote_port": prefill_params.remote_port},
            request,
            True,
            handle_pulled,
        )

    def _handle_release(self, request: str) -> None:
        self.journal.note("release", job=request)
        state = self.model.states.get(request)
        if state and not state.is_claimed:
            self._release_state(request, "release")
        self._release_slot(request, "release")


def main(text: str) -> None:
    """Runs the engine that a JSON `Spec` describes."""
    reactor = the_reactor()
    engine = EngineProcess(msgspec.json.decode(text, type=Spec), reactor)
    print(engine.start(), flush=True)
    reactor.callLater(
        0, lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    )
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1])
