"""The text of requests and responses at the soak's backends."""

from __future__ import annotations


def head_with_length(body: bytes, extra_headers: bytes = b"") -> bytes:
    """Return the head of a response with this body; each extra header ends with CR LF."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n" % (extra_headers, len(body))


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """Return the headers of a request by their names in lower case."""
    headers = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return headers
