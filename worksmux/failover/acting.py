"""What a front makes of the plan: under a lease as it says, alone as is safe.  Pure.

Alone means that nothing newer may have been agreed without this front knowing.  Then jobs stay in the zone
that reads them, what the last plan moved stays moved and no more, a zone that this front itself finds lost is
taken for lost, and what was to be deferred still is.
"""

from __future__ import annotations

from ..policy.events import FailoverPlan
from .plan import Plan
from .tally import Tally


def told(
    plan: Plan,
    zones: list[str],
    request_classes: list[str],
    alone: bool,
    home: str = "",
    own: Tally | None = None,
) -> FailoverPlan | None:
    """The event for the module; None where there is nothing to tell it, as in calm under a lease."""
    rows = plan.rows
    if alone and own is not None:
        rows = {
            **rows,
            **{
                name: {home: 1.0}
                for name, zone in own.zones.items()
                if zone.lost and name != home and name not in rows and not own.zones[home].lost
            },
        }
    if not alone and plan.calm:
        return None
    at = {name: place for place, name in enumerate(zones)}
    known = {
        at[name]: [(at[other], share) for other, share in row.items() if other in at]
        for name, row in rows.items()
        if name in at
    }
    shed = {
        at[name]: [one.get(request_class, 0.0) for request_class in request_classes]
        for name, one in plan.shed.items()
        if name in at
    }
    return FailoverPlan({zone: row for zone, row in known.items() if row}, shed, plan.stay_away, alone)
