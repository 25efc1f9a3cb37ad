"""Errors of the store."""

from __future__ import annotations

from ..errors import WorksmuxError


class StorageError(WorksmuxError):
    """Base of all errors of this package."""


class StoreUnusableError(StorageError):
    """The file must be left alone; the message names the file, the reason and what to do."""
