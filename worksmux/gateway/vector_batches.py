"""Batches of embeddings or rerank inputs that are sent to engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from ..batching.planner import BatchedRequest, BatchFailure, InputBatch, Planner, Step
from ..net import clock
from .stage import BatchContext
from .vector_requests import VectorRequest

LOG = structlog.get_logger()
MAX_LOGGED_CHARACTERS = 200


class VectorBatch:
    """A batch of the planner in the form of a dispatcher's `Batch`.

    `on_end` is called with the planner's next step when the batch ends.
    """

    def __init__(
        self, input_batch: InputBatch, planner: Planner, on_end: Callable[[VectorBatch, Step], None]
    ) -> None:
        self.input_batch = input_batch
        self.context: BatchContext | None = None  # set when it is submitted
        # All requests of a batch share its group.
        self.first_request: VectorRequest = input_batch.inputs[0][0].item
        self._planner = planner
        self._on_end = on_end
        # Inputs of the last attempt, as request and index.
        self._inputs: list[tuple[BatchedRequest, int]] = []
        self._results: dict[int, Any] = {}  # results by position in `_inputs`

    def path(self) -> str:
        """The HTTP path of the batch's requests."""
        return self.first_request.path

    def body(self) -> bytes:
        """The body of the next attempt, with the inputs that have no result yet."""
        self._inputs = self.input_batch.missing_inputs()
        self._results = {}
        return self.first_request.engine_body([(batched.item, index) for batched, index in self._inputs])

    def take_response(self, body: bytes) -> bool:
        """Stores the results of a response; returns whether all needed results are present."""
        try:
            self._results, usage = self.first_request.read_response(body, len(self._inputs))
        except ValueError as error:
            LOG.warning(
                "malformed engine response; the attempt counts as an error",
                call=self.path(),
                why=str(error)[:MAX_LOGGED_CHARACTERS],
            )
            return False
        self._share_out_tokens(usage.total_tokens)
        if len(self._results) == len(self._inputs):
            return True
        LOG.warning(
            "engine response lacks results; missing inputs are sent again",
            call=self.path(),
            wanted=len(self._inputs),
            got=len(self._results),
        )
        self._planner.add_results(self.input_batch, self._inputs, self._results)
        return not self.input_batch.missing_inputs()  # clients of missing results may have disconnected

    def served(self) -> None:
        """Passes the results to the planner."""
        self._on_end(self, self._planner.batch_served(self.input_batch, self._inputs, self._results))

    def input_rejected(self, message: str) -> None:
        """Reports to the planner that an engine rejected the input."""
        self._on_end(self, self._planner.input_rejected(self.input_batch, message))

    def failed(self, is_rejected: bool) -> None:
        """Reports to the planner that no engine served the batch."""
        batch_end = BatchFailure.REJECTED if is_rejected else BatchFailure.ABORTED
        self._on_end(self, self._planner.batch_failed(clock.now(), self.input_batch, batch_end))

    def _share_out_tokens(self, tokens: int) -> None:
        """Adds the engine's token count to the requests, in proportion to the costs of their inputs."""
        total_cost = sum(batched.costs[index] for batched, index in self._inputs) or 1.0
        for batched, index in self._inputs:
            batched.item.engine_tokens += tokens * batched.costs[index] / total_cost
