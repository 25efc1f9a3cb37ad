"""Derives the admission controller's settings from those of the gateway."""

from __future__ import annotations

from ..admission.controller import AdmissionSettings, ClassSettings
from ..settings.front import Admission, GatewaySettings
from ..settings.shared import RequestClass

CHAT_POOL = "chat"
# Time constants of load shedding, as multiples of the bound on the event loop's lag.
SHED_RISE_LAGS = 2
SHED_FALL_LAGS = 20


def admission_settings(settings: GatewaySettings, bounds: Admission) -> AdmissionSettings:
    """Builds the settings of the admission controller.

    The request classes of chat come first; they are shed but never queued.  The request classes of each
    single-stage API follow.
    """
    classes = [
        _class_settings(request_class, bounds, CHAT_POOL, 0.0, 0)
        for request_class in settings.request_classes
    ]
    for stage in settings.stages:
        classes += [
            _class_settings(request_class, bounds, stage.call, float(bounds.line_tokens), bounds.line_calls)
            for request_class in stage.request_classes
        ]
    min_retry_after_ms, max_retry_after_ms = bounds.stay_away
    return AdmissionSettings(
        request_classes=classes,
        retry_ratio=bounds.repeat_ratio,
        retry_burst=bounds.repeat_burst,
        min_retry_after_ms=min_retry_after_ms,
        max_retry_after_ms=max_retry_after_ms,
        shed_rise_ms=SHED_RISE_LAGS * bounds.loop_lag,
        shed_fall_ms=SHED_FALL_LAGS * bounds.loop_lag,
    )


def _class_settings(
    request_class: RequestClass, bounds: Admission, pool: str, max_queued_cost: float, max_queued: int
) -> ClassSettings:
    return ClassSettings(
        name=request_class.name,
        value=request_class.credit,
        weight=request_class.share,
        max_part_cost=float(bounds.load_tokens),
        max_queued_cost=max_queued_cost,
        max_queued_requests=max_queued,
        latency_target_ms=request_class.promised_time,
        pool=pool,
    )
