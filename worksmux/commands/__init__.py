"""The command line.  Exit codes: 0 all is well, 1 it ran and something failed, 2 the call or its file is
wrong."""

from __future__ import annotations

import os
import sys


def main() -> None:
    """Guards against a node that starts late and large: it has part of a core, and needs none of what the
    other commands import."""
    if sys.argv[1:] == ["node"]:
        from ..node.serve import run

        sys.exit(run(os.environ))
    from .main import main as others

    others()


__all__ = ["main"]
