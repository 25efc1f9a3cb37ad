"""The settings that an operator's platform hands to a node, in the policy's terms.

The simulator's first message and the platform's configuration carry the same object, so that the module is
given the same by both.  Standard library only: where the simulator runs the adapter nothing else is
installed.
"""

from __future__ import annotations

import json
from typing import Any

from ..policy.settings import PolicySettings, RequestClassSettings

EFFECTS = {"free": "redoable", "guarded": "labelled", "single_shot": "irreversible"}
MISSING: Any = object()


class Untold(ValueError):
    """What is missing or wrong, with its place."""


class Place:
    """A part of the object, and where it stands.

    >>> Place({"limits": {"tries": 4}}, "settings").part("limits").number("tries")
    4
    >>> Place({"limits": {}}, "settings").part("limits").number("tries")
    Traceback (most recent call last):
    worksmux.settings.platform.Untold: settings.limits.tries: a number was expected, it is missing
    """

    def __init__(self, value: Any, place: str) -> None:
        self.value, self.place = value, place

    def _found(self, key: str, kinds: tuple[type, ...], wanted: str, otherwise: Any) -> Any:
        found = self.value.get(key, otherwise)
        if found is None and otherwise is not MISSING:
            return otherwise
        wrong = not isinstance(found, kinds) or (isinstance(found, bool) and bool not in kinds)
        if found is not otherwise and wrong or found is MISSING:
            told = "it is missing" if found is MISSING else f"found {json.dumps(found)[:40]}"
            raise Untold(f"{self.place}.{key}: {wanted} was expected, {told}")
        return found

    def number(self, key: str, otherwise: Any = MISSING) -> Any:
        return self._found(key, (int, float), "a number", otherwise)

    def text(self, key: str, otherwise: Any = MISSING) -> Any:
        return self._found(key, (str,), "a text", otherwise)

    def flag(self, key: str, otherwise: Any = False) -> Any:
        return self._found(key, (bool,), "true or false", otherwise)

    def part(self, key: str, otherwise: Any = MISSING) -> Place:
        return Place(self._found(key, (dict,), "an object", otherwise), f"{self.place}.{key}")

    def list(self, key: str, kinds: tuple[type, ...], wanted: str, otherwise: Any = MISSING) -> Any:
        found = self._found(key, (list,), f"a list of {wanted}s", otherwise)
        for at, one in enumerate(found):
            if not isinstance(one, kinds):
                told = json.dumps(one)[:40]
                raise Untold(f"{self.place}.{key}[{at}]: a {wanted} was expected, found {told}")
        return found

    def numbers(self, key: str, otherwise: Any = MISSING) -> Any:
        return self.list(key, (int, float), "number", otherwise)

    def texts(self, key: str, otherwise: Any = MISSING) -> Any:
        return self.list(key, (str,), "text", otherwise)

    def choice(self, key: str, choices: dict[str, str]) -> str:
        found = self.text(key)
        if found not in choices:
            raise Untold(f"{self.place}.{key}: one of {', '.join(choices)} was expected, found {found[:40]}")
        return choices[found]


def settings_from(told: Any, place: str = "settings") -> PolicySettings:
    """The policy's settings; keys not known here are left out.  Raises Untold."""
    if not isinstance(told, dict):
        raise Untold(f"{place}: an object was expected, found {json.dumps(told)[:40]}")
    root = Place(told, place)
    limits, extra, rules = root.part("limits"), root.part("extra"), root.part("rules")
    stats = root.part("stats", {})
    per_k, paces = extra.numbers("aim_us_per_1000_prompt_tokens", []), extra.numbers("token_aim", [])
    request_classes = [
        Place(one, f"{place}.services[{at}]")
        for at, one in enumerate(root.list("services", (dict,), "object"))
    ]
    if not request_classes:
        raise Untold(f"{place}.services: at least one class was expected, there is none")
    if root.number("balancers") < 1:
        raise Untold(f"{place}.balancers: at least 1 was expected, found {told['balancers']}")
    _check_unused(root, extra, limits, rules)
    return PolicySettings(
        node_index=root.number("me"),
        node_count=root.number("balancers"),
        zone=root.number("zone", 0),
        tick_ms=root.number("tick"),
        request_classes=tuple(
            RequestClassSettings(
                latency_target_ms=one.number("aim"),
                deadline_ms=one.number("deadline"),
                value=one.number("worth", 1.0),
                late_value=one.number("late_worth", 0.0),
                effect=one.choice("repeat", EFFECTS),
                deduplication_scope=one.text("group", "all"),
                deduplication_window_ms=one.number("window", 0.0),
                latency_target_per_1000_tokens_ms=per_k[at] / 1000 if at < len(per_k) else 0.0,
                token_interval_ms=paces[at] if at < len(paces) else 0.0,
            )
            for at, one in enumerate(request_classes)
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
        polls_endpoint_list=root.text("membership_mode", "") == "subscribe",
        load_reports=stats.text("via", "off"),
        load_report_fields=tuple(stats.texts("fields", [])),
        answer_slack_ms=rules.number("answer_slack", 0.0),
        slow_start_share=rules.number("cold_share"),
        slow_start_ms=rules.number("warm_up"),
        overload_multiple=rules.number("tip_multiple"),
        overload_window_ms=rules.number("fall"),
    )


def _check_unused(root: Place, extra: Place, limits: Place, rules: Place) -> None:
    """Names faults of settings that the policy does not use; a file with one is refused."""
    root.list("parties", (dict,), "object", [])
    extra.flag("resume")
    limits.flag("second_copies")
    rules.number("drain_grace", 0.0)
    prices = root.part("prices", {})
    for key in ("late_fail", "cross_zone", "waste", "probe"):
        prices.number(key, 0.0)
