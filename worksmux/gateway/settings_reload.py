"""Which changes of the settings a running gateway can't take over."""

from __future__ import annotations

from ..settings.front import FrontSettings

RESTART_ONLY_SECTIONS = (
    "name",
    "listen",
    "watch",
    "turn",
    "policy",
    "zones",
    "kinds",
    "module",
    "lanes",
    "admission",
    "source",
    "memory",
    "regions",
    "fleet",
    "log_format",
)


def changes_that_need_a_restart(old: FrontSettings, new: FrontSettings) -> list[str]:
    """The sections, by name; empty where `new` can be taken over as a whole."""
    changed = [name for name in RESTART_ONLY_SECTIONS if getattr(old, name) != getattr(new, name)]
    if [one.name for one in old.request_classes] != [one.name for one in new.request_classes]:
        changed.append("offerings")
    if (old.counting is None) != (new.counting is None):
        changed.append("counting")
    return changed
