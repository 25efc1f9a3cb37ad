"""The failover plan that this node applies: read from the replicated state, published to the policy."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec
import structlog

from ...consensus.replica import Replica
from ...consensus.state_machine import VersionedValue
from ...failover import policy_event
from ...failover.plan import Plan, decode
from ...net import clock
from ...policy.events import FailoverPlan
from ...settings.front import GatewaySettings
from ..chat_engine_client import ChatEngineClient
from .zone_reports import ZoneReports

LOG = structlog.get_logger()
MAX_HISTORY = 200  # plans kept for the status


@dataclass(frozen=True, slots=True)
class PlanRecord:
    """A plan applied by this node. The fields are named as the JSON keys of the status.

    `at` is when the plan was applied, in milliseconds of the wall clock.
    """

    at: float
    number: int
    event: int
    why: str
    rows: dict[str, dict[str, float]]
    shed: dict[str, dict[str, float]]


class ActivePlan:
    """The newest plan, and whether this node holds the lease that is required to apply all of it."""

    def __init__(
        self, settings: GatewaySettings, core: ChatEngineClient, replica: Replica, reports: ZoneReports
    ) -> None:
        self._settings, self._core, self._replica, self._reports = settings, core, replica, reports
        self._home_zone = settings.zones[settings.policy_settings.zone]
        self._request_classes = [request_class.name for request_class in settings.request_classes]
        self._published: FailoverPlan | None = None
        self.plan = Plan()
        self.has_lease = False
        self.history: deque[PlanRecord] = deque(maxlen=MAX_HISTORY)

    def take(self, value: VersionedValue) -> None:
        """Applies a replicated plan if it is newer; a plan that cannot be decoded is logged and ignored."""
        try:
            plan = decode(value.value)
        except msgspec.DecodeError as error:
            LOG.error("failover plan cannot be decoded; the plan in force stays", error=str(error))
            return
        if plan.number <= self.plan.number:
            return
        self.plan = plan
        self.history.append(
            PlanRecord(clock.wall(), plan.number, plan.event, plan.reason, plan.routes, plan.shed)
        )
        LOG.info("failover plan applied", number=plan.number, failover_event=plan.event, reason=plan.reason)
        self._core.wake()  # the policy applies the plan now instead of with the next request

    def publish(self, now_ms: float) -> None:
        """Checks the lease, and sends the policy an event if the plan or the lease has changed it."""
        self._check_lease(now_ms)
        event = policy_event.plan_event(
            self.plan,
            self._settings.zones,
            self._request_classes,
            not self.has_lease,
            self._home_zone,
            self._reports.latest,
        )
        if event != self._published:
            self._published = event
            self._core.tell(event or FailoverPlan({}, {}, 0.0))

    def _check_lease(self, now_ms: float) -> None:
        has_lease = self._replica.holds_lease(now_ms)
        if has_lease == self.has_lease:
            return
        self.has_lease = has_lease
        message = (
            "lease on the replicated state regained"
            if has_lease
            else "lease on the replicated state expired; only the safe part of the failover plan is applied"
        )
        LOG.warning(message, plan=self.plan.number)

    def header_value(self) -> str:
        """Returns the plan's number and whether the lease has expired, for the header of calls to engines."""
        return str(self.plan.number) if self.has_lease else f"{self.plan.number} alone"

    def readiness_text(self) -> str:
        """Returns the plan's number and whether the lease has expired, for `/ready`."""
        number = self.plan.number
        return f"plan {number}" if self.has_lease else f"alone, with plan {number} as a bound"
