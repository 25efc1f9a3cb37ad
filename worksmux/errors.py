"""The root of all errors that this program raises for what lies outside it: files, peers, settings.

Each package derives its own from it; a name ends in `Error`, and a message says what went wrong, where, and
what was expected.
"""

from __future__ import annotations


class WorksmuxError(Exception):
    """Base of the program's own errors."""
