"""Connections and control calls to engines, shared by gateway and node."""

from __future__ import annotations

from collections.abc import Callable

from ..net import client, clock
from ..net.loop import Reactor
from ..policy.events import EndpointListUpdate, Event, HealthCheckEnded
from ..policy.id_map import IdMap
from ..policy.state import Engine, Outcome
from .attempt import outcome_of
from .control_call import ControlCall, OutgoingCall, UnreachableCall
from .counters import Counters
from .decision_loop import DecisionLoop


class EngineClient(DecisionLoop):
    """A decision loop with a connection pool for each engine; subclasses define the protocol of the calls."""

    def __init__(self, id_map: IdMap, reactor: Reactor, metrics: Counters) -> None:
        super().__init__(id_map, reactor, metrics)
        self.pools: dict[Engine, client.Pool] = {}

    # Implemented by each protocol.

    def _new_pool(self, host: str, port: int) -> client.Pool:
        """Returns a connection pool for an engine's address."""
        raise NotImplementedError

    def _control_call_limits(self) -> tuple[float, int, client.Headers]:
        """Returns timeout in ms, maximum reply size in bytes, and headers of control calls."""
        raise NotImplementedError

    def _health_check_path(self) -> str:
        raise NotImplementedError

    def _health_check_result(
        self, status: int, headers: dict[str, str], reply: bytes
    ) -> tuple[Outcome, dict[str, float] | None]:
        """Returns outcome and load report of a complete reply to a health check."""
        raise NotImplementedError

    # Control calls.

    def control_call(
        self, engine: Engine, method: str, path: str, body: bytes, on_end: client.ResponseCallback
    ) -> OutgoingCall:
        """Sends a control call; the call fails as unreachable if the engine was never listed."""
        if engine not in self.pools:
            return UnreachableCall(self.reactor, on_end)
        timeout_ms, max_reply_bytes, headers = self._control_call_limits()
        return ControlCall(
            self.reactor, self.pools[engine], method, path, headers, body, max_reply_bytes, timeout_ms, on_end
        )

    def check_health(self, engine: Engine, on_result: Callable[[Event], None]) -> None:
        """Sends a health check and passes the resulting event to `on_result`."""
        sent_at = clock.now()

        def ended(status: int, headers: dict[str, str], reply: bytes, error: client.CallError | None) -> None:
            report = None
            if error is not None:
                outcome = outcome_of(error)
            elif not status:
                outcome = Outcome.TIMED_OUT
            else:
                outcome, report = self._health_check_result(status, headers, reply)
            self.metrics.probe(outcome.value)
            on_result(HealthCheckEnded(engine, outcome, clock.now() - sent_at, report))

        self.control_call(engine, "GET", self._health_check_path(), b"", ended)

    # The endpoint list.

    def endpoints_updated(self, event: EndpointListUpdate) -> None:
        """Applies a change of the endpoint list and reports it to the policy."""
        for entry in event.entries:
            if entry.state == "gone":
                self._close_connections(entry.engine)
        self._tell_endpoints(event)

    def address_changed(self, engine: Engine, host: str, port: int) -> None:
        """Replaces the pool of an engine with a new or first address; attempts in flight are unaffected."""
        self._close_connections(engine)
        self.pools[engine] = self._new_pool(host, port)

    def _tell_endpoints(self, event: EndpointListUpdate) -> None:
        self.tell(event)

    def _close_connections(self, engine: Engine) -> None:
        """Closes the idle connections to an engine, if it has a pool."""
        if engine in self.pools:
            self.pools[engine].close()
