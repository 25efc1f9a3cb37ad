"""The base class of the errors that the program raises for faults outside it: in files, peers and settings.

Each package derives its own errors from this class.  Their names end in `Error`.  A message states what went
wrong, where, and what was expected.
"""

from __future__ import annotations


class WorksmuxError(Exception):
    """The base class of all errors that the program defines."""
