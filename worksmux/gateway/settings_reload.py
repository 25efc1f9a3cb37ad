"""Finds changes of the settings that need a restart of the gateway."""

from __future__ import annotations

from ..settings.front import GatewaySettings

RESTART_ONLY_SECTIONS = {  # the name in the log, and the attribute of GatewaySettings
    "name": "name",
    "listen": "listen",
    "watch": "watch",
    "turn": "tick_ms",
    "policy": "policy",
    "zones": "zones",
    "kinds": "kinds",
    "module": "policy_settings",
    "lanes": "stages",
    "admission": "admission",
    "source": "source",
    "memory": "endpoint_cache",
    "regions": "regions",
    "fleet": "fleet",
    "log_format": "log_format",
}


def changes_that_need_a_restart(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    """The names of changed sections that need a restart; empty if all of `new` can be applied."""
    changed_sections = [
        section
        for section, attribute in RESTART_ONLY_SECTIONS.items()
        if getattr(old, attribute) != getattr(new, attribute)
    ]
    if [request_class.name for request_class in old.request_classes] != [
        request_class.name for request_class in new.request_classes
    ]:
        changed_sections.append("offerings")
    if (old.counting is None) != (new.counting is None):
        changed_sections.append("counting")
    return changed_sections
