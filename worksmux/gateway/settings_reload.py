"""Finds changes of the settings that need a restart of the gateway."""

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
    """The names of changed sections that need a restart; empty if all of `new` can be applied."""
    changed_sections = [name for name in RESTART_ONLY_SECTIONS if getattr(old, name) != getattr(new, name)]
    if [request_class.name for request_class in old.request_classes] != [
        request_class.name for request_class in new.request_classes
    ]:
        changed_sections.append("offerings")
    if (old.counting is None) != (new.counting is None):
        changed_sections.append("counting")
    return changed_sections
