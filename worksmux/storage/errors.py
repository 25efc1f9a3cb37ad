"""Errors of the durable store."""

from __future__ import annotations

from ..errors import WorksmuxError


class StorageError(WorksmuxError):
    """Base class of the errors of this package."""


class StoreUnusableError(StorageError):
    """Reports that the file cannot be used and is left unchanged.

    The message names the file, the reason and, where there is one, the remedy.
    """
