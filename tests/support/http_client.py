"""What a client sends, and how it leaves."""

from __future__ import annotations

import socket
import struct
from typing import Any

from tests.support.loopback import Client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


SILENT = "60.000"  # a client's time that no step of a test takes


def sent(w: Any) -> int:
    return sum(len(b.requests) for b in w.backends)


def leave(client: Client, how: str) -> None:
    if how == "reset":
        sock = client.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()
