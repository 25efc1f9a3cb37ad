"""The settings that an operator's platform hands to a front, as the plain map for the module.

The simulator's first message and the platform's configuration carry the same object, so that the module is
given the same by both.  Standard library only: where the simulator runs the adapter nothing else is
installed.
"""

from __future__ import annotations

import json
from typing import Any

from ..policy.settings import Settings

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


def settings_from(told: Any, place: str = "settings") -> Settings:
    """The module's settings in worksmux's words; keys not known here are left out.  Raises Untold."""
    if not isinstance(told, dict):
        raise Untold(f"{place}: an object was expected, found {json.dumps(told)[:40]}")
    root = Place(told, place)
    limits, extra, rules = root.part("limits"), root.part("extra"), root.part("rules")
    prices, stats = root.part("prices", {}), root.part("stats", {})
    per_k, paces = extra.numbers("aim_us_per_1000_prompt_tokens", []), extra.numbers("token_aim", [])
    request_classes = [
        Place(one, f"{place}.services[{at}]")
        for at, one in enumerate(root.list("services", (dict,), "object"))
    ]
    if not request_classes:
        raise Untold(f"{place}.services: at least one class was expected, there is none")
    if root.number("balancers") < 1:
        raise Untold(f"{place}.balancers: at least 1 was expected, found {told['balancers']}")
    return {
        "me": root.number("me"),
        "fronts": root.number("balancers"),
        "zone": root.number("zone", 0),
        "tick": root.number("tick"),
        "offerings": [
            {
                "promised_time": one.number("aim"),
                "outer_limit": one.number("deadline"),
                "credit": one.number("worth", 1.0),
                "late_credit": one.number("late_worth", 0.0),
                "effect": one.choice("repeat", EFFECTS),
                "group": one.text("group", "all"),
                "remembered": one.number("window", 0.0),
                "promised_per_k": per_k[at] / 1000 if at < len(per_k) else 0.0,
                "token_time": paces[at] if at < len(paces) else 0.0,
            }
            for at, one in enumerate(request_classes)
        ],
        "parties": root.list("parties", (dict,), "object", []),
        "roles": extra.texts("duty_by_kind"),
        "kind_memory": extra.numbers("kind_memory_tokens", []),
        "may_hold": extra.flag("holds_allowed"),
        "writers_read": extra.flag("read_in_place"),
        "resume": extra.flag("resume"),
        "release_within": extra.number("release_within", 0.0),
        "far_price": extra.number("move_fee", 0.0),
        "may_cancel": limits.flag("cancel"),
        "may_probe": limits.flag("probes"),
        "second_copies": limits.flag("second_copies"),
        "stay_away": limits.number("max_retry_after", 0.0) if limits.flag("retry_after") else 0.0,
        "most_trips": limits.number("try_limit"),
        "connect_time_out": limits.number("connect_timeout", 0.0),
        "ask_for_list": root.text("membership_mode", "") == "subscribe",
        "reports": stats.text("via", "off"),
        "report_fields": stats.texts("fields", []),
        "price_late": prices.number("late_fail", 0.0),
        "price_cross": prices.number("cross_zone", 0.0),
        "price_waste": prices.number("waste", 0.0),
        "price_probe": prices.number("probe", 0.0),
        "answer_slack": rules.number("answer_slack", 0.0),
        "drain_grace": rules.number("drain_grace", 0.0),
        "cold_share": rules.number("cold_share"),
        "warm_up": rules.number("warm_up"),
        "fall_multiple": rules.number("tip_multiple"),
        "fall_time": rules.number("fall"),
    }
