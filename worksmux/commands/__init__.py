"""The command line of worksmux.

Exit codes: 0 success; 1 the command ran and something failed; 2 the call or its file is invalid.
"""

from __future__ import annotations

import os
import sys


def main() -> None:
    """Runs a command.

    `node` runs without the imports of the other commands: it has only part of a core, and these imports would
    delay its start and enlarge its memory.
    """
    if sys.argv[1:] == ["node"]:
        from ..node.serve import run

        sys.exit(run(os.environ))
    from .main import main as run_command

    run_command()


__all__ = ["main"]
