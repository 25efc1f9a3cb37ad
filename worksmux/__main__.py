"""Runs the command line: `python -m worksmux`."""

from .commands import main

if __name__ == "__main__":
    main()
