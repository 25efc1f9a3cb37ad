"""Settings of a small deployment with the figures of the site jyvaskyla-reports."""

from __future__ import annotations

from typing import Any

ZONES = ["hall-a", "hall-b", "hall-c"]


def settings(node: int, nodes: int) -> dict[str, Any]:
    return {
        "me": node,
        "balancers": nodes,
        "zone": node % len(ZONES),
        "zones": ZONES,
        "tick": 2.0,
        "kinds": ["prefill", "decode"],
        "membership_mode": "automatic",
        "services": [
            {
                "name": "feedback",
                "aim": 1500.0,
                "deadline": 6000.0,
                "worth": 1.0,
                "late_worth": 0.1,
                "repeat": "free",
                "group": "all",
                "window": 5000.0,
                "stream": True,
            },
            {
                "name": "mark-entry",
                "aim": 2500.0,
                "deadline": 10000.0,
                "worth": 5.0,
                "late_worth": 0.2,
                "repeat": "single_shot",
                "group": "all",
                "window": 5000.0,
                "stream": True,
            },
        ],
        "limits": {
            "cancel": True,
            "connect_timeout": 250.0,
            "keepalive": 15000.0,
            "probes": True,
            "retry_after": False,
            "second_copies": False,
            "try_limit": 5,
        },
        "extra": {
            "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0],
            "token_aim": [70.0, 80.0],
            "duty_by_kind": ["read", "write"],
            "holds_allowed": False,
            "kind_memory_tokens": [220000, 150000],
            "move_fee": 0.02,
            "read_in_place": False,
            "release_within": 500.0,
            "resume": False,
        },
        "prices": {"cross_zone": 0.014, "late_fail": 0.033, "probe": 0.003, "waste": 0.071},
        "rules": {
            "answer_slack": 8.0,
            "cold_share": 0.26,
            "drain_grace": 250.0,
            "fall": 2000.0,
            "tip_multiple": 4.0,
            "warm_up": 13000.0,
        },
        "stats": {"fields": ["busy_reqs", "pending", "x0", "x1"], "via": "on_probe"},
    }
