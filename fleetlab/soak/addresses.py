"""Loopback addresses for the servers of one run, which no other run on the machine uses."""

from __future__ import annotations

import os

INGRESS_PORT = 8081
MAX_INGRESSES = 250


def ingress_address(number: int) -> str:
    """Return the address of an ingress: its own host, so that a restart finds its port free.

    Connections that the system makes on loopback come from 127.0.0.1 and take no port there.
    """
    if not 0 <= number < MAX_INGRESSES:
        raise ValueError(f"{number} is not the number of an ingress")
    process = os.getpid()
    return f"127.{16 + (process >> 8) % 200}.{process % 256}.{number + 1}:{INGRESS_PORT}"
