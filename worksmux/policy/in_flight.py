"""Counts this node's attempts in flight and the decode slots reserved for its prefills."""

from __future__ import annotations

from .state import Attempt, Engine, Request


class InFlight:
    """Tracks attempts that have not ended and reserved decode slots."""

    def __init__(self) -> None:
        self.decode_requests = 0  # decoding, or with a reserved decode slot
        self.prefill_tokens = 0.0  # of prompts in prefill
        self.busy_engines: dict[Engine, None] = {}  # engines with an attempt in flight

    def start(self, attempt: Attempt) -> None:
        """Counts an attempt that is sent."""
        self.decode_requests += not attempt.is_prefill
        self.prefill_tokens += attempt.is_prefill * attempt.prefill_tokens
        attempt.engine.attempts[attempt] = None
        self.busy_engines[attempt.engine] = None

    def end(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        engine = attempt.engine
        engine.attempts.pop(attempt, None)
        if not engine.attempts:
            self.busy_engines.pop(engine, None)
        self.decode_requests -= not attempt.is_prefill
        # A rounding error could leave the sum below 0, and then no prefill engine would have capacity.
        self.prefill_tokens = max(0.0, self.prefill_tokens - attempt.is_prefill * attempt.prefill_tokens)

    def reserve(self, request: Request, engine: Engine) -> None:
        """Reserves a decode slot for a request in prefill at the engine that is to get its KV cache."""
        request.decode_engine = engine
        engine.reserved[request] = None
        self.decode_requests += 1

    def release(self, request: Request) -> None:
        """Drops the request's reservation, if it has one."""
        if request.decode_engine:
            request.decode_engine.reserved.pop(request, None)
            request.decode_engine = None
            self.decode_requests -= 1
