"""The requests of the discovery protocol, and the checks of its responses."""

from __future__ import annotations

from sumacpost.errors import EndpointListError
from sumacpost.http1 import HTTP_OK, Response
from sumacpost.model import EndpointListUpdate, UpdateKind


def encode_poll(since_version: int | None, hold_ms: int) -> bytes:
    """Return the request for changes since a version, or for the full list if it is None."""
    query = "" if since_version is None else f"?from={since_version}&hold_ms={hold_ms}"
    return f"GET /v1/servers{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()


def check_status(response: Response) -> None:
    """Raise EndpointListError if the agent reports an error."""
    if response.status != HTTP_OK:
        raise EndpointListError(f"the discovery agent responded with status {response.status}")


def check_version(update: EndpointListUpdate, since_version: int | None) -> None:
    """Raise EndpointListError for unrequested changes, or changes up to an earlier version."""
    if update.kind is UpdateKind.CHANGES and (
        since_version is None or update.version < since_version
    ):
        raise EndpointListError(
            f"unexpected changes up to version {update.version}; polled from {since_version}"
        )
