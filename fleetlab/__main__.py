"""Entry point of `python -m fleetlab`."""

from __future__ import annotations

import sys

from fleetlab.command import main

if __name__ == "__main__":
    sys.exit(main())
