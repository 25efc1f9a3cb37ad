"""Counts prompts for one front: cuts them, looks kept pieces up, and has workers count the rest as the desk
decides."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..settings.front import Counting
from .blocks import WIDTH, Shared, chain
from .cache import Cache, TinyLfuCache
from .pieces import Parts, Piece, cut
from .pool import Worker, Workers
from .scheduler import Ask, CountScheduler, Verdict
from .vocabulary import Vocabulary
from .worker import Counted

LOG = structlog.get_logger()
DEEPEST = 1 / 256  # of the blocks kept: how many of one prompt are followed as its beginning
ODD = 0x9E3779B97F4A7C15F39CC0605CEDC835


@dataclass(frozen=True, slots=True)
class Result:
    """What is known of a prompt; tokens."""

    verdict: Verdict
    prompt: float
    exact: bool
    version: int
    prefix: int = 0
    prefix_tokens: float = 0.0
    min_tokens: int = 0


OnResult = Callable[[Result], None]


class Prompt:
    """One prompt on its way; its `on_result` is called once, and once more if a bound is corrected."""

    def __init__(
        self,
        messages: Parts,
        request_class: int,
        limit: int,
        promised_time: float,
        session: int,
        on_result: OnResult,
    ) -> None:
        self.messages, self.request_class, self.limit = messages, request_class, limit
        self.promised_time, self.session, self.on_result = promised_time, session, on_result
        self.arrived = clock.now()
        self.vocabulary: Vocabulary | None = None
        self.pieces: list[Piece] = []
        self.ids: list[bytes | None] = []
        self.more: dict[int, int] = {}  # tokens of a piece beyond its ids
        self.ask: Ask | None = None
        self.told = self.over = False


class TokenService:
    """`vocabularies` gives each offering's, in their order."""

    def __init__(
        self,
        reactor: Reactor,
        bounds: Counting,
        vocabularies: list[Vocabulary],
        make: Callable[[int], Cache] = TinyLfuCache,
    ) -> None:
        self.reactor, self.bounds = reactor, bounds
        self.vocabularies = vocabularies
        self.cache = make(bounds.cache)
        self.shared = Shared(bounds.shared_blocks, bounds.shared_sessions)
        self.deepest = max(1, round(DEEPEST * bounds.shared_blocks))
        self.scheduler = CountScheduler(
            bounds.long, bounds.line, bounds.workers, bounds.long_workers, bounds.time_limit
        )
        self.workers = Workers(reactor, bounds.workers, bounds.long_workers, bounds.time_limit, self._feed)
        self.open: dict[Ask, Prompt] = {}  # counted or waiting
        self.strangers = 0  # jobs without a session: each is one of its own
        self.hits = self.misses = self.bytes_counted = self.recounted = 0
        self.timer: Any = None

    def start(self) -> None:
        self.workers.start(self.vocabularies)

    def stop(self) -> None:
        self.workers.stop()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # Prompts.

    def count(
        self,
        messages: Parts,
        request_class: int,
        limit: int,
        promised_time: float,
        session: int,
        on_result: OnResult,
    ) -> Prompt:
        """Counts a prompt; where nothing has to be waited for, `on_result` is called before this returns."""
        if not session:
            self.strangers += 1
            session = -self.strangers
        prompt = Prompt(messages, request_class, limit, promised_time, session, on_result)
        self._begin(prompt)
        return prompt

    def _key(self, vocabulary: Vocabulary, piece: Piece) -> int:
        return piece.key ^ (vocabulary.version * ODD & (2**128 - 1))

    def _look_up(self, prompt: Prompt) -> None:
        assert prompt.vocabulary
        for at, piece in enumerate(prompt.pieces):
            if prompt.ids[at] is None:
                prompt.ids[at] = self.cache.get(self._key(prompt.vocabulary, piece))

    def _begin(self, prompt: Prompt) -> None:
        vocabulary = prompt.vocabulary = self.vocabularies[prompt.request_class]
        prompt.pieces = cut(prompt.messages, vocabulary.cuts, self.bounds.piece)
        prompt.ids, prompt.more = [None] * len(prompt.pieces), {}
        self._look_up(prompt)
        known = sum(len(ids) for ids in prompt.ids if ids is not None) // WIDTH
        missing = sum(piece.size for piece, ids in zip(prompt.pieces, prompt.ids, strict=True) if ids is None)
        self.hits += sum(ids is not None for ids in prompt.ids)
        self.misses += sum(ids is None for ids in prompt.ids)
        ask = prompt.ask = Ask(
            known,
            missing,
            prompt.limit,
            vocabulary.longest_token,
            prompt.promised_time,
            prompt.arrived,
            vocabulary.version,
        )
        verdict = self.scheduler.arrive(ask)
        if verdict is Verdict.COUNTED:
            return self._counted(prompt)
        if verdict in (Verdict.WAIT, Verdict.BOUND) and not ask.over and ask.wait_until:
            self.open[ask] = prompt
            self._feed(ask.long)
            self._watch()
        if verdict is not Verdict.WAIT:
            self._tell(prompt, verdict)

    def cancel(self, prompt: Prompt) -> None:
        """Nobody waits for it any more."""
        prompt.over = True
        if prompt.ask in self.open:
            del self.open[prompt.ask]
            self.scheduler.gone(prompt.ask)

    def _tell(self, prompt: Prompt, verdict: Verdict) -> None:
        if prompt.told or prompt.over or not prompt.ask or not prompt.vocabulary:
            return
        prompt.told = True
        prompt.on_result(
            Result(
                verdict, float(prompt.ask.most), False, prompt.vocabulary.version, min_tokens=prompt.ask.least
            )
        )

    def _counted(self, prompt: Prompt) -> None:
        """All pieces are known; a count over the limit is refused, also where a bound went before it."""
        assert prompt.vocabulary
        if prompt.over:
            return
        prompt.told = prompt.over = True
        total = sum(len(one) for one in prompt.ids if one is not None) // WIDTH + sum(prompt.more.values())
        if total > prompt.limit:
            prompt.on_result(
                Result(Verdict.TOO_LONG, total, True, prompt.vocabulary.version, min_tokens=total)
            )
            return
        hashes = chain(self._beginning(prompt), self.bounds.block, prompt.vocabulary.version)
        depth = self.shared.show(hashes, prompt.session)
        prompt.on_result(
            Result(
                Verdict.COUNTED,
                total,
                True,
                prompt.vocabulary.version,
                hashes[depth - 1] if depth else 0,
                float(depth * self.bounds.block),
                total,
            )
        )

    def _beginning(self, prompt: Prompt) -> bytes:
        """The ids from the front, as far as a beginning is followed."""
        found, most = bytearray(), self.deepest * self.bounds.block * WIDTH
        for at, ids in enumerate(prompt.ids):
            found += ids or b""
            if len(found) >= most or prompt.more.get(at):
                break
        return bytes(found[:most])

    # Workers.

    def _feed(self, long: bool) -> None:
        """Gives idle workers of a queue what is next."""
        while worker := self.workers.take(long):
            ask = self.scheduler.next(long)
            if ask is None:
                return self.workers.back(worker)
            prompt = self.open[ask]
            self._look_up(prompt)  # another prompt may have had the same pieces counted
            missing = [at for at, ids in enumerate(prompt.ids) if ids is None]
            if missing:
                self._send(worker, prompt, ask, missing)
            else:
                self.workers.back(worker)
                ask.begun = clock.now()
                self._finish(prompt, ask)

    def _send(self, worker: Worker, prompt: Prompt, ask: Ask, missing: list[int]) -> None:
        def counted(told: Counted | None) -> None:
            if ask not in self.open:  # cancelled, or begun anew under another version
                return
            if told is None or told.error:
                if told:
                    LOG.error("a prompt cannot be counted", why=told.error)
                return self._lost(prompt, ask)
            assert prompt.vocabulary
            for at, ids, more in zip(missing, told.ids, told.more, strict=True):
                prompt.ids[at], prompt.more[at] = ids, more
                if not more:
                    self.cache.put(self._key(prompt.vocabulary, prompt.pieces[at]), ids)
            self._finish(prompt, ask)

        patience = self.scheduler.begin(ask, clock.now())
        texts = [prompt.pieces[at].text for at in missing]
        self.bytes_counted += sum(prompt.pieces[at].size for at in missing)
        worker.count(ask.version, texts, self.deepest * self.bounds.block, patience, counted)

    def _finish(self, prompt: Prompt, ask: Ask) -> None:
        self.open.pop(ask, None)
        self.scheduler.done(ask, clock.now())
        self._counted(prompt)

    def _lost(self, prompt: Prompt, ask: Ask) -> None:
        verdict = self.scheduler.lost(ask, clock.now())
        if verdict is not Verdict.WAIT:
            self.open.pop(ask, None)
            self._tell(prompt, verdict)
        self._feed(ask.long)

    def _watch(self) -> None:
        at = self.scheduler.next_deadline()
        if at is not None and (self.timer is None or not self.timer.active()):
            self.timer = self.reactor.callLater(max(0.0, at - clock.now()) / 1000, self._late)

    def _late(self) -> None:
        for ask, verdict in self.scheduler.late(clock.now()):
            if ask in self.open:
                self._tell(self.open[ask], verdict)
                if verdict is Verdict.REJECT:
                    self.cancel(self.open[ask])
        self._watch()

    # Versions.

    def switch_vocabularies(self, vocabularies: list[Vocabulary]) -> None:
        """A change of versions in service: what is waiting or half counted begins anew under the new ones.

        No result under an old version is given after this returns.
        """
        self.vocabularies = vocabularies
        self.workers.switch_vocabularies(vocabularies)
        for ask, prompt in list(self.open.items()):
            if vocabularies[prompt.request_class].version != ask.version:
                del self.open[ask]
                self.scheduler.gone(ask)
                self.recounted += 1
                if not prompt.over:
                    self._begin(prompt)
