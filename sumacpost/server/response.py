"""The pending response to a request of a client."""

from __future__ import annotations

from http import HTTPStatus

from sumacpost.pending_request import Headers, ProxiedRequest
from sumacpost.server.connection_protocols import ResponseOwner

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class PendingResponse:
    """The place of a response on its client's connection, and the response once there is one."""

    __slots__ = ("body", "connection", "head", "keep_alive", "received_at", "request")

    def __init__(self, connection: ResponseOwner, keep_alive: bool, received_at: float) -> None:
        self.connection = connection
        self.keep_alive = keep_alive  # the connection stays open after this response
        self.received_at = received_at  # monotonic seconds: when the request's last byte came
        self.request: ProxiedRequest | None = None  # once the ingress has accepted it
        self.head: bytes | None = None  # without its Connection header and the empty line
        self.body = b""

    def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Send the final response once those before it on the connection are sent.

        Raise RuntimeError if there has been one.
        """
        if self.head is not None:
            raise RuntimeError("a second response to one request")
        lines = [
            b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b"")),
            b"Content-Length: %d" % len(body),
        ]
        lines += [b"%b: %b" % header for header in headers]
        self.head = b"\r\n".join(lines)
        self.body = body
        self.connection.advance()

    def client_disconnected(self) -> bool:
        """Return whether the client has gone, even if the loop has not learnt that yet."""
        return self.connection.has_disconnected()
