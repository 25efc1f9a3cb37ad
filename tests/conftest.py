"""The same verdict every time: hypothesis draws the same examples, but for long runs of a person's own."""
from __future__ import annotations

import os

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.register_profile("long", deadline=None)
settings.load_profile("long" if os.environ.get("WORKSMUX_LONG") else "same")
