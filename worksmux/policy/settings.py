"""Settings of the policy."""

from __future__ import annotations

from typing import Any

Settings = dict[str, Any]
