"""What this node has in flight: attempts and the decode slots that its prefills have reserved."""

from __future__ import annotations

from .state import Attempt, Engine, Request


class InFlight:
    """Counts of attempts that have not ended and of reserved decode slots."""

    def __init__(self) -> None:
        self.decode_requests = 0  # decoding, or paired with a decode engine
        self.prefill_tokens = 0.0  # of prompts at prefill engines
        self.busy_engines: dict[Engine, None] = {}  # with an attempt

    def start(self, attempt: Attempt) -> None:
        self.decode_requests += not attempt.is_prefill
        self.prefill_tokens += attempt.is_prefill * attempt.prefill_tokens
        attempt.engine.attempts[attempt] = None
        self.busy_engines[attempt.engine] = None

    def end(self, attempt: Attempt) -> None:
        engine = attempt.engine
        engine.attempts.pop(attempt, None)
        if not engine.attempts:
            self.busy_engines.pop(engine, None)
        self.decode_requests -= not attempt.is_prefill
        # Guards against rounding: a sum that ended below 0 would leave no prefill engine any capacity.
        self.prefill_tokens = max(0.0, self.prefill_tokens - attempt.is_prefill * attempt.prefill_tokens)

    def reserve(self, request: Request, engine: Engine) -> None:
        """Pairs a request in prefill with the decode engine that is to get its KV cache."""
        request.decode_engine = engine
        engine.reserved[request] = None
        self.decode_requests += 1

    def release(self, request: Request) -> None:
        """Drops the request's reservation, if it has one."""
        if request.decode_engine:
            request.decode_engine.reserved.pop(request, None)
            request.decode_engine = None
            self.decode_requests -= 1
