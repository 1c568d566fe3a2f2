"""The response to a client's request, from the request's arrival until it is written."""

from __future__ import annotations

from http import HTTPStatus

from sumacpost.proxied_request import Headers, ProxiedRequest
from sumacpost.server.connection_protocols import ResponseOwner

# Shorter bodies are not worth dropping.
MIN_DROPPED_BODY_BYTES = 1024
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def response_head(status: int, content_length: int, headers: Headers = ()) -> bytes:
    """Return a status line and headers, without Connection and the empty line at the end."""
    lines = [
        b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b"")),
        b"Content-Length: %d" % content_length,
    ]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines)


class PendingResponse:
    """A response's position on its client connection, and its content once it is available.

    Attributes:
        connection: the client connection.
        keep_alive: whether the connection stays open after this response.
        requests: how many requests it answers; several if they are refused together.
        received_at: when the last byte of the request was received, in monotonic seconds.
        request: the request, once the ingress has accepted it.
        head: the status line and headers, once available; without the Connection header and the
            empty line at the end.
        body: the body.
    """

    __slots__ = ("body", "connection", "head", "keep_alive", "received_at", "request", "requests")

    def __init__(
        self, connection: ResponseOwner, keep_alive: bool, received_at: float, requests: int = 1
    ) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.received_at = received_at
        self.requests = requests
        self.request: ProxiedRequest | None = None
        self.head: bytes | None = None
        self.body = b""

    @property
    def held_bytes(self) -> int:
        """The memory of the content, in bytes; 0 before it is available."""
        return 0 if self.head is None else len(self.head) + len(self.body)

    def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Set the final response; it is written after those before it on the connection.

        Raise RuntimeError if the request already has a response.
        """
        self.set_content(status, body, headers)
        self.connection.advance()

    def set_content(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Set the final response without writing it.

        Raise RuntimeError if the request already has a response.
        """
        if self.head is not None:
            raise RuntimeError("the request already has a response")
        self.head = response_head(status, len(body), headers)
        self.body = body
        self.request = None  # breaks the reference cycle with the request

    def drop_body(self) -> None:
        """Replace a long response that waits for others by an error, which needs no memory.

        The request may have been executed, so the client is not told to send it again.
        """
        if len(self.body) >= MIN_DROPPED_BODY_BYTES:
            self.head = None
            self.set_content(HTTPStatus.BAD_GATEWAY)

    def client_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""
        return self.connection.has_disconnected()
