"""Settings that an operator's platform hands to a node, in the policy's terms.

The simulator's first message and the platform's configuration carry the same JSON object.  Its names stand
here alone; the rest of the program knows PolicySettings.  Standard library only: where the simulator runs the
adapter nothing else is installed.
"""

from __future__ import annotations

import json
from typing import Any

from ..errors import WorksmuxError
from ..policy.settings import (
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SCOPE_ALL,
    PolicySettings,
    RequestClassSettings,
)

EFFECTS = {"free": IDEMPOTENT, "guarded": DEDUPLICATED, "single_shot": NON_IDEMPOTENT}
POLL_MODE = "subscribe"  # the node asks for the endpoint list; in any other mode changes are pushed
REPORTS_OFF = "off"
MAX_SHOWN_CHARACTERS = 40  # of a wrong value, in an error
REQUIRED: Any = object()  # the default of a key that must be given


class PlatformSettingsError(WorksmuxError, ValueError):
    """A setting is missing or wrong: its place in the object, what was expected, what was found."""


class JsonObject:
    """An object of the settings, with its place for errors.

    Each getter takes a key and a default, and raises PlatformSettingsError for a wrong value, or for a
    missing one that has no default.

    >>> JsonObject({"limits": {"tries": 4}}, "settings").part("limits").number("tries")
    4
    >>> JsonObject({"limits": {}}, "s").part("limits").number("tries")
    Traceback (most recent call last):
    worksmux.settings.platform.PlatformSettingsError: s.limits.tries: a number was expected, it is missing
    """

    def __init__(self, value: Any, place: str) -> None:
        self.value, self.place = value, place

    def _get(self, key: str, kinds: tuple[type, ...], expected: str, default: Any) -> Any:
        found = self.value.get(key, default)
        if found is REQUIRED:
            raise self._error(key, expected, "it is missing")
        if found is default:
            return found
        if found is None and default is not REQUIRED:
            return default
        if not isinstance(found, kinds) or (isinstance(found, bool) and bool not in kinds):
            raise self._error(key, expected, f"found {_shown(found)}")
        return found

    def _error(self, key: str, expected: str, found: str) -> PlatformSettingsError:
        return PlatformSettingsError(f"{self.place}.{key}: {expected} was expected, {found}")

    def number(self, key: str, default: Any = REQUIRED) -> Any:
        """A number."""
        return self._get(key, (int, float), "a number", default)

    def text(self, key: str, default: Any = REQUIRED) -> Any:
        """A text."""
        return self._get(key, (str,), "a text", default)

    def flag(self, key: str, default: Any = False) -> Any:
        """A value that is true or false."""
        return self._get(key, (bool,), "true or false", default)

    def part(self, key: str, default: Any = REQUIRED) -> JsonObject:
        """An object inside this object."""
        return JsonObject(self._get(key, (dict,), "an object", default), f"{self.place}.{key}")

    def list(self, key: str, kinds: tuple[type, ...], expected: str, default: Any = REQUIRED) -> Any:
        """A list whose items are of `kinds`, which `expected` names in the singular."""
        found = self._get(key, (list,), f"a list of {expected}s", default)
        for index, item in enumerate(found):
            if not isinstance(item, kinds):
                raise self._error(f"{key}[{index}]", f"a {expected}", f"found {_shown(item)}")
        return found

    def numbers(self, key: str, default: Any = REQUIRED) -> Any:
        """A list of numbers."""
        return self.list(key, (int, float), "number", default)

    def texts(self, key: str, default: Any = REQUIRED) -> Any:
        """A list of texts."""
        return self.list(key, (str,), "text", default)

    def choice(self, key: str, choices: dict[str, str]) -> str:
        """What a text stands for; `choices` are the texts that may be given."""
        found = self.text(key)
        if found not in choices:
            expected = f"one of {', '.join(choices)}"
            raise self._error(key, expected, f"found {found[:MAX_SHOWN_CHARACTERS]}")
        return choices[found]


def _shown(value: Any) -> str:
    return json.dumps(value)[:MAX_SHOWN_CHARACTERS]


def settings_from(value: Any, place: str = "settings") -> PolicySettings:
    """The policy's settings; keys not known here are left out.  Raises PlatformSettingsError."""
    if not isinstance(value, dict):
        raise PlatformSettingsError(f"{place}: an object was expected, found {_shown(value)}")
    root = JsonObject(value, place)
    limits, extra, rules = root.part("limits"), root.part("extra"), root.part("rules")
    stats = root.part("stats", {})
    target_us_per_1000_tokens, token_intervals_ms = (
        extra.numbers("aim_us_per_1000_prompt_tokens", []),
        extra.numbers("token_aim", []),
    )
    request_classes = [
        JsonObject(item, f"{place}.services[{index}]")
        for index, item in enumerate(root.list("services", (dict,), "object"))
    ]
    if not request_classes:
        raise PlatformSettingsError(f"{place}.services: at least one class was expected, there is none")
    if root.number("balancers") < 1:
        raise PlatformSettingsError(f"{place}.balancers: at least 1 was expected, found {value['balancers']}")
    _check_unused(root, extra, limits, rules)
    return PolicySettings(
        node_index=root.number("me"),
        node_count=root.number("balancers"),
        zone=root.number("zone", 0),
        tick_ms=root.number("tick"),
        request_classes=tuple(
            RequestClassSettings(
                latency_target_ms=request_class.number("aim"),
                deadline_ms=request_class.number("deadline"),
                value=request_class.number("worth", 1.0),
                late_value=request_class.number("late_worth", 0.0),
                effect=request_class.choice("repeat", EFFECTS),
                deduplication_scope=request_class.text("group", SCOPE_ALL),
                deduplication_window_ms=request_class.number("window", 0.0),
                latency_target_per_1000_tokens_ms=target_us_per_1000_tokens[index] / 1000
                if index < len(target_us_per_1000_tokens)
                else 0.0,
                token_interval_ms=token_intervals_ms[index] if index < len(token_intervals_ms) else 0.0,
            )
            for index, request_class in enumerate(request_classes)
        ),
        engine_roles=tuple(extra.texts("duty_by_kind")),
        kind_memory_tokens=tuple(extra.numbers("kind_memory_tokens", [])),
        may_reserve=extra.flag("holds_allowed"),
        decode_engines_may_prefill=extra.flag("read_in_place"),
        release_within_ms=extra.number("release_within", 0.0),
        migration_price=extra.number("move_fee", 0.0),
        may_cancel=limits.flag("cancel"),
        may_check_health=limits.flag("probes"),
        max_retry_after_ms=limits.number("max_retry_after", 0.0) if limits.flag("retry_after") else 0.0,
        max_attempts=limits.number("try_limit"),
        connect_timeout_ms=limits.number("connect_timeout", 0.0),
        polls_endpoint_list=root.text("membership_mode", "") == POLL_MODE,
        load_reports=stats.text("via", REPORTS_OFF),
        load_report_fields=tuple(stats.texts("fields", [])),
        answer_slack_ms=rules.number("answer_slack", 0.0),
        slow_start_share=rules.number("cold_share"),
        slow_start_ms=rules.number("warm_up"),
        overload_multiple=rules.number("tip_multiple"),
        overload_window_ms=rules.number("fall"),
    )


def _check_unused(root: JsonObject, extra: JsonObject, limits: JsonObject, rules: JsonObject) -> None:
    """Names faults of settings that the policy does not use; a file with one is refused."""
    root.list("parties", (dict,), "object", [])
    extra.flag("resume")
    limits.flag("second_copies")
    rules.number("drain_grace", 0.0)
    prices = root.part("prices", {})
    for key in ("late_fail", "cross_zone", "waste", "probe"):
        prices.number(key, 0.0)
