"""Loopback addresses for the servers of one run, which no other run on the machine uses."""

from __future__ import annotations

import os

INGRESS_PORT = 8081
ADDRESSES_PER_RUN = 250


def ingress_address(number: int) -> str:
    """Return the address of an ingress: its own host, so that a restart finds its port free.

    Connections that the system makes on loopback come from 127.0.0.1 and take no port there.
    """
    if not 0 <= number < ADDRESSES_PER_RUN:
        raise ValueError(f"{number} is not the number of an ingress")
    pid = os.getpid()
    return f"127.{16 + (pid >> 8) % 200}.{pid % 256}.{number + 1}:{INGRESS_PORT}"
