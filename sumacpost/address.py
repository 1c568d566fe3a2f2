"""Addresses as the configuration and discovery write them."""

from __future__ import annotations

Address = tuple[str, int]
"""Host and port, as the socket functions take them."""

MAX_PORT = 65535


def parse_address(text: object) -> Address:
    """Return the host and port of a text such as "10.0.0.4:8081"; raise ValueError otherwise."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        if host and port.isascii() and port.isdigit() and int(port) <= MAX_PORT:
            return host, int(port)
    raise ValueError(f"{text!r} is not an address")
