"""`python -m worksmux`: the command line."""

from .commands import main

if __name__ == "__main__":
    main()
