"""Counts the tokens of prompts for one gateway.

A prompt is cut into pieces.  Token ids of pieces come from the cache or from worker processes, in the order
that the scheduler decides.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from ..net import clock
from ..net.loop import Reactor
from ..settings.front import Counting
from .blocks import WIDTH, SharedPrefixes, block_hashes
from .cache import Cache, TinyLfuCache
from .pieces import Messages, Piece, cut
from .pool import Worker, Workers
from .scheduler import CountRequest, CountScheduler, Verdict
from .vocabulary import Vocabulary
from .worker import Counted

LOG = structlog.get_logger()
PREFIX_SHARE = 1 / 256  # of the remembered blocks: the longest prefix of one prompt
VERSION_MULTIPLIER = 0x9E3779B97F4A7C15F39CC0605CEDC835


@dataclass(frozen=True, slots=True)
class Result:
    """What is known of a prompt; `prompt` is its count, or an upper bound if `exact` is false."""

    verdict: Verdict
    prompt: float
    exact: bool
    version: int
    prefix: int = 0  # the hash of the shared prefix
    prefix_tokens: float = 0.0
    min_tokens: int = 0


OnResult = Callable[[Result], None]


class Prompt:
    """One prompt that is being counted.

    `on_result` is called once, and a second time if an upper bound is corrected.
    """

    def __init__(
        self,
        messages: Messages,
        request_class: int,
        limit: int,
        latency_target_ms: float,
        session: int,
        on_result: OnResult,
    ) -> None:
        self.messages, self.request_class, self.limit = messages, request_class, limit
        self.latency_target_ms, self.session, self.on_result = latency_target_ms, session, on_result
        self.arrived_at = clock.now()
        self.vocabulary: Vocabulary | None = None
        self.pieces: list[Piece] = []
        self.ids: list[bytes | None] = []
        self.more: dict[int, int] = {}  # tokens of a piece beyond its transferred ids, by index
        self.request: CountRequest | None = None
        self.reported = self.finished = False


class TokenService:
    """Counts prompts, with one vocabulary for each request class in `vocabularies`."""

    def __init__(
        self,
        reactor: Reactor,
        bounds: Counting,
        vocabularies: list[Vocabulary],
        make_cache: Callable[[int], Cache] = TinyLfuCache,
    ) -> None:
        self.reactor, self.bounds = reactor, bounds
        self.vocabularies = vocabularies
        self.cache = make_cache(bounds.cache)
        self.shared_prefixes = SharedPrefixes(bounds.shared_blocks, bounds.shared_sessions)
        self.max_prefix_blocks = max(1, round(PREFIX_SHARE * bounds.shared_blocks))
        self.scheduler = CountScheduler(
            bounds.long, bounds.line, bounds.workers, bounds.long_workers, bounds.time_limit
        )
        self.workers = Workers(
            reactor, bounds.workers, bounds.long_workers, bounds.time_limit, self._dispatch
        )
        self.open: dict[CountRequest, Prompt] = {}  # waiting or being counted
        self.sessionless_count = 0  # each prompt without a session counts as a session of its own
        self.hits = self.misses = self.bytes_counted = self.recounted = 0
        self.timer: Any = None

    def start(self) -> None:
        """Starts the worker processes."""
        self.workers.start(self.vocabularies)

    def stop(self) -> None:
        """Stops the worker processes and the timer."""
        self.workers.stop()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # Prompts.

    def count(
        self,
        messages: Messages,
        request_class: int,
        limit: int,
        latency_target_ms: float,
        session: int,
        on_result: OnResult,
    ) -> Prompt:
        """Counts a prompt; if nothing has to be waited for, `on_result` is called before this returns."""
        if not session:
            self.sessionless_count += 1
            session = -self.sessionless_count
        prompt = Prompt(messages, request_class, limit, latency_target_ms, session, on_result)
        self._begin(prompt)
        return prompt

    def _key(self, vocabulary: Vocabulary, piece: Piece) -> int:
        return piece.key ^ (vocabulary.version * VERSION_MULTIPLIER & (2**128 - 1))

    def _look_up(self, prompt: Prompt) -> None:
        assert prompt.vocabulary
        for index, piece in enumerate(prompt.pieces):
            if prompt.ids[index] is None:
                prompt.ids[index] = self.cache.get(self._key(prompt.vocabulary, piece))

    def _begin(self, prompt: Prompt) -> None:
        vocabulary = prompt.vocabulary = self.vocabularies[prompt.request_class]
        prompt.pieces = cut(prompt.messages, vocabulary.cuts, self.bounds.piece)
        prompt.ids, prompt.more = [None] * len(prompt.pieces), {}
        self._look_up(prompt)
        known = sum(len(ids) for ids in prompt.ids if ids is not None) // WIDTH
        missing = sum(piece.size for piece, ids in zip(prompt.pieces, prompt.ids, strict=True) if ids is None)
        self.hits += sum(ids is not None for ids in prompt.ids)
        self.misses += sum(ids is None for ids in prompt.ids)
        request = prompt.request = CountRequest(
            known,
            missing,
            prompt.limit,
            vocabulary.longest_token,
            prompt.latency_target_ms,
            prompt.arrived_at,
            vocabulary.version,
        )
        verdict = self.scheduler.arrive(request)
        if verdict is Verdict.COUNTED:
            return self._counted(prompt)
        if verdict in (Verdict.WAIT, Verdict.UPPER_BOUND) and not request.finished and request.wait_until:
            self.open[request] = prompt
            self._dispatch(request.long)
            self._set_timer()
        if verdict is not Verdict.WAIT:
            self._report(prompt, verdict)

    def cancel(self, prompt: Prompt) -> None:
        """Drops a prompt whose client does not wait any more."""
        prompt.finished = True
        if prompt.request in self.open:
            del self.open[prompt.request]
            self.scheduler.cancel(prompt.request)

    def _report(self, prompt: Prompt, verdict: Verdict) -> None:
        if prompt.reported or prompt.finished or not prompt.request or not prompt.vocabulary:
            return
        prompt.reported = True
        prompt.on_result(
            Result(
                verdict,
                float(prompt.request.max_tokens),
                False,
                prompt.vocabulary.version,
                min_tokens=prompt.request.min_tokens,
            )
        )

    def _counted(self, prompt: Prompt) -> None:
        """Reports an exact count.

        A count over the limit is TOO_LONG, also after the prompt has proceeded with an upper bound.
        """
        assert prompt.vocabulary
        if prompt.finished:
            return
        prompt.reported = prompt.finished = True
        total = sum(len(ids) for ids in prompt.ids if ids is not None) // WIDTH + sum(prompt.more.values())
        if total > prompt.limit:
            prompt.on_result(
                Result(Verdict.TOO_LONG, total, True, prompt.vocabulary.version, min_tokens=total)
            )
            return
        hashes = block_hashes(self._prefix_ids(prompt), self.bounds.block, prompt.vocabulary.version)
        depth = self.shared_prefixes.observe(hashes, prompt.session)
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

    def _prefix_ids(self, prompt: Prompt) -> bytes:
        """The first ids of a prompt, up to the longest prefix that is followed."""
        prefix, max_bytes = bytearray(), self.max_prefix_blocks * self.bounds.block * WIDTH
        for index, ids in enumerate(prompt.ids):
            prefix += ids or b""
            if len(prefix) >= max_bytes or prompt.more.get(index):
                break
        return bytes(prefix[:max_bytes])

    # Workers.

    def _dispatch(self, long: bool) -> None:
        """Gives the next prompts of a queue to its idle workers."""
        while worker := self.workers.take(long):
            request = self.scheduler.next(long)
            if request is None:
                return self.workers.put_back(worker)
            prompt = self.open[request]
            self._look_up(prompt)  # another prompt may have had the same pieces counted
            missing = [index for index, ids in enumerate(prompt.ids) if ids is None]
            if missing:
                self._send(worker, prompt, request, missing)
            else:
                self.workers.put_back(worker)
                request.started_at = clock.now()
                self._finish(prompt, request)

    def _send(self, worker: Worker, prompt: Prompt, request: CountRequest, missing: list[int]) -> None:
        def counted(reply: Counted | None) -> None:
            if request not in self.open:  # cancelled, or restarted with another version
                return
            if reply is None or reply.error:
                if reply:
                    LOG.error(
                        "prompt not counted; it is tried once more or continues without a count",
                        why=reply.error,
                    )
                return self._lost(prompt, request)
            assert prompt.vocabulary
            for index, ids, more in zip(missing, reply.ids, reply.more, strict=True):
                prompt.ids[index], prompt.more[index] = ids, more
                if not more:
                    self.cache.put(self._key(prompt.vocabulary, prompt.pieces[index]), ids)
            self._finish(prompt, request)

        hang_timeout_ms = self.scheduler.begin(request, clock.now())
        texts = [prompt.pieces[index].text for index in missing]
        self.bytes_counted += sum(prompt.pieces[index].size for index in missing)
        worker.count(
            request.version, texts, self.max_prefix_blocks * self.bounds.block, hang_timeout_ms, counted
        )

    def _finish(self, prompt: Prompt, request: CountRequest) -> None:
        self.open.pop(request, None)
        self.scheduler.done(request, clock.now())
        self._counted(prompt)

    def _lost(self, prompt: Prompt, request: CountRequest) -> None:
        verdict = self.scheduler.lost(request, clock.now())
        if verdict is not Verdict.WAIT:
            self.open.pop(request, None)
            self._report(prompt, verdict)
        self._dispatch(request.long)

    def _set_timer(self) -> None:
        deadline = self.scheduler.next_deadline()
        if deadline is not None and (self.timer is None or not self.timer.active()):
            self.timer = self.reactor.callLater(max(0.0, deadline - clock.now()) / 1000, self._expire)

    def _expire(self) -> None:
        for request, verdict in self.scheduler.expire(clock.now()):
            if request in self.open:
                self._report(self.open[request], verdict)
                if verdict is Verdict.REJECT:
                    self.cancel(self.open[request])
        self._set_timer()

    # Versions.

    def switch_vocabularies(self, vocabularies: list[Vocabulary]) -> None:
        """Replaces the vocabularies; open prompts whose version changed are counted again from the start.

        After this returns, no result of an old version is reported.
        """
        self.vocabularies = vocabularies
        self.workers.switch_vocabularies(vocabularies)
        for request, prompt in list(self.open.items()):
            if vocabularies[prompt.request_class].version != request.version:
                del self.open[request]
                self.scheduler.cancel(request)
                self.recounted += 1
                if not prompt.finished:
                    self._begin(prompt)
