"""The headers of the responses that clients get."""

from __future__ import annotations

from sumacpost.http1 import Response
from sumacpost.pending_request import Headers

FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding")


def forwarded_headers(response: Response) -> Headers:
    """Return those of a backend's headers that its client gets."""
    headers = response.headers
    return tuple((name, headers[name]) for name in FORWARDED_RESPONSE_HEADERS if name in headers)


def retry_after_header(retry_after_ms: float) -> Headers:
    """Return the Retry-After header in seconds; none for 0."""
    if retry_after_ms <= 0:
        return ()
    return ((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)),)
