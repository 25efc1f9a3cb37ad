"""The command line.  Exit codes: 0 all is well, 1 it ran and something failed, 2 the call or its file is
wrong."""
from .main import app, main

__all__ = ["app", "main"]
