"""The headers of the responses to clients."""

from __future__ import annotations

from sumacpost.http1 import Response
from sumacpost.proxied_request import Headers

FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding")


def forwarded_headers(response: Response) -> Headers:
    """Return the headers of a backend's response that are forwarded to the client."""
    headers = response.headers
    return tuple((name, headers[name]) for name in FORWARDED_RESPONSE_HEADERS if name in headers)


def retry_after_header(retry_after_ms: float) -> Headers:
    """Return the Retry-After header, in seconds; no header for 0 or less."""
    if retry_after_ms <= 0:
        return ()
    return ((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)),)
