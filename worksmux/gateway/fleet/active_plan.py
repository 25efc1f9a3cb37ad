"""The failover plan that this node acts on: taken from the replicated state, published to the policy."""

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
from ...settings.front import FrontSettings
from ..chat_engine_client import ChatEngineClient
from .zone_reports import ZoneReports

LOG = structlog.get_logger()
MAX_HISTORY = 200  # plans kept for the status


@dataclass(frozen=True, slots=True)
class PlanRecord:
    """A plan as it was taken here, named as the JSON keys of the status; `at` is wall clock milliseconds."""

    at: float
    number: int
    event: int
    why: str
    rows: dict[str, dict[str, float]]
    shed: dict[str, dict[str, float]]


class ActivePlan:
    """The newest plan, and whether the lease still lets this node act on it in full."""

    def __init__(
        self, settings: FrontSettings, core: ChatEngineClient, replica: Replica, reports: ZoneReports
    ) -> None:
        self._settings, self._core, self._replica, self._reports = settings, core, replica, reports
        self._home_zone = settings.zones[settings.module.zone]
        self._request_classes = [request_class.name for request_class in settings.request_classes]
        self._published: FailoverPlan | None = None
        self.plan = Plan()
        self.has_lease = False
        self.history: deque[PlanRecord] = deque(maxlen=MAX_HISTORY)

    def take(self, value: VersionedValue) -> None:
        """Takes a replicated plan if it is newer; one that cannot be read is logged and changes nothing."""
        try:
            plan = decode(value.value)
        except msgspec.DecodeError as error:
            LOG.error("a plan cannot be read; the last one stays", why=str(error))
            return
        if plan.number <= self.plan.number:
            return
        self.plan = plan
        self.history.append(
            PlanRecord(clock.wall(), plan.number, plan.event, plan.reason, plan.routes, plan.shed)
        )
        LOG.info("plan", number=plan.number, of_event=plan.event, why=plan.reason)
        self._core.wake()  # the policy acts on it now, not with the next request

    def publish(self, now: float) -> None:
        """Looks at the lease, and passes the plan to the policy if what it may act on has changed."""
        self._check_lease(now)
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

    def _check_lease(self, now: float) -> None:
        has_lease = self._replica.holds_lease(now)
        if has_lease == self.has_lease:
            return
        self.has_lease = has_lease
        message = (
            "with the others again" if has_lease else "alone: what was decided in common is too old to act on"
        )
        LOG.warning(message, plan=self.plan.number)

    def header_value(self) -> str:
        """The plan's number and whether the lease is over, as calls to engines carry it."""
        return str(self.plan.number) if self.has_lease else f"{self.plan.number} alone"

    def readiness_text(self) -> str:
        """In a few words, for `/ready`."""
        number = self.plan.number
        return f"plan {number}" if self.has_lease else f"alone, with plan {number} as a bound"
