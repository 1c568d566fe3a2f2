"""Host and port addresses, as written in the configuration file and in endpoint lists."""

from __future__ import annotations

Address = tuple[str, int]
"""Host and port, in the form that the socket functions accept."""

MAX_PORT = 65535
MAX_HOST_LENGTH = 255  # the longest name of a host


def parse_address(text: object) -> Address:
    """Parse a text such as "10.0.0.4:8081" into host and port; raise ValueError if invalid."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        if (
            0 < len(host) <= MAX_HOST_LENGTH
            and port.isascii()
            and port.isdigit()
            and int(port) <= MAX_PORT
        ):
            return host, int(port)
    raise ValueError(f"invalid address {text!r:.80}: expected host:port, port at most {MAX_PORT}")
