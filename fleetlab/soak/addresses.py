"""Loopback addresses for the ingresses of one run, derived from the process id of the soak.

Runs whose process ids differ modulo 51200 use different addresses.
"""

from __future__ import annotations

import os

INGRESS_PORT = 8081
ADDRESSES_PER_RUN = 250


def ingress_address(number: int) -> str:
    """Return the host and port of an ingress.

    Each ingress has a host of its own, so that its port is free when it restarts: outgoing loopback
    connections have the source address 127.0.0.1 and occupy no port of that host.

    Raise ValueError if the number is out of range.
    """
    if not 0 <= number < ADDRESSES_PER_RUN:
        raise ValueError(
            f"ingress number {number} is not in the range 0 to {ADDRESSES_PER_RUN - 1}"
        )
    pid = os.getpid()
    return f"127.{16 + (pid >> 8) % 200}.{pid % 256}.{number + 1}:{INGRESS_PORT}"
