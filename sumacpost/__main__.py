"""Run the ingress: `python -m sumacpost`, configured by the file that RELAY_CONFIG names."""

import sys

from sumacpost.service import main

if __name__ == "__main__":
    sys.exit(main())
