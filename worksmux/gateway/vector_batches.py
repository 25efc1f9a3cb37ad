"""One batch of embeddings or rerank inputs on its way to an engine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from ..batching.planner import Call, How, Load, Planner, Step
from ..net import clock
from .stage import BatchContext
from .vector_requests import VectorRequest

LOG = structlog.get_logger()
MAX_LOGGED_CHARACTERS = 200


class VectorBatch:
    """A planner's load as a dispatcher's `Batch`; `on_end` is called with what follows from its end."""

    def __init__(self, load: Load, planner: Planner, on_end: Callable[[VectorBatch, Step], None]) -> None:
        self.load = load
        self.context: BatchContext | None = None  # once it is submitted
        self.first_request: VectorRequest = load.wanted[0][0].item  # all share its group
        self._planner = planner
        self._on_end = on_end
        self._asked: list[tuple[Call, int]] = []  # the inputs of the latest attempt
        self._results: dict[int, Any] = {}  # by their place in it

    def path(self) -> str:
        return self.first_request.path

    def body(self) -> bytes:
        self._asked = self.load.needs()
        self._results = {}
        return self.first_request.engine_body([(call.item, index) for call, index in self._asked])

    def take_response(self, body: bytes) -> bool:
        try:
            self._results, usage = self.first_request.read_response(body, len(self._asked))
        except ValueError as error:
            LOG.warning(
                "an engine's reply makes no sense", call=self.path(), why=str(error)[:MAX_LOGGED_CHARACTERS]
            )
            return False
        self._share_out_tokens(usage.total_tokens)
        if len(self._results) == len(self._asked):
            return True
        LOG.warning(
            "an engine's reply lacks results",
            call=self.path(),
            wanted=len(self._asked),
            got=len(self._results),
        )
        self._planner.partial(self.load, self._asked, self._results)
        return not self.load.needs()  # the clients of what is missing may have disconnected meanwhile

    def delivered(self) -> None:
        self._on_end(self, self._planner.delivered(self.load, self._asked, self._results))

    def rejected_input(self, message: str) -> None:
        self._on_end(self, self._planner.refused(self.load, message))

    def failed(self, deferred: bool) -> None:
        how = How.DEFERRED if deferred else How.BROKEN
        self._on_end(self, self._planner.failed(clock.now(), self.load, how))

    def _share_out_tokens(self, tokens: int) -> None:
        """Adds the engine's count to the requests, in proportion to the costs of their inputs."""
        total_cost = sum(call.costs[index] for call, index in self._asked) or 1.0
        for call, index in self._asked:
            call.item.engine_tokens += tokens * call.costs[index] / total_cost
