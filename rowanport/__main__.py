"""Run the command line with ``python -m rowanport``."""

from .ui import main

main()
