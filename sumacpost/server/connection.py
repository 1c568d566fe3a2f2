"""One client connection: its input, its responses in the order of their requests, and its end."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.errors import RequestError
from sumacpost.http1 import MAX_BODY_BYTES, MAX_HEAD_BYTES
from sumacpost.policy.connection_rules import (
    ConnectionSnapshot,
    NotClosedReason,
    is_last_response,
    not_closed_reason,
)
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_registry import ConnectionRegistry
from sumacpost.server.request_handler import RequestHandler
from sumacpost.server.request_reader import RequestMessage, RequestReader
from sumacpost.server.response import PendingResponse
from sumacpost.server.socket_state import has_unread_input, peer_has_disconnected

# Responses pending on one connection, before further input is buffered unread.
MAX_PIPELINED = 8
# Input buffered so, which is one more request of any size; beyond it the connection ends.
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES


class ConnectionState(Enum):
    """Whether a connection still takes requests."""

    READING = auto()
    FINISHING = auto()  # nothing more is taken from the socket; what has been read is answered
    CLOSING = auto()  # input is discarded; the connection ends after the pending responses


# Why a connection may end with responses owed: there is nobody to read them.
_REASONS_WITHOUT_READER = frozenset((CloseReason.CLIENT_LEFT, CloseReason.INVALID_INPUT))
# Up to Python 3.11 each access to a member through its class costs a call.
_READING = ConnectionState.READING
_FINISHING = ConnectionState.FINISHING
_CLOSING = ConnectionState.CLOSING


@dataclass(slots=True)
class ReceivedData:
    """Bytes that were received together."""

    received_at: float  # monotonic seconds
    data: bytes


class ClientConnection(asyncio.Protocol):
    """A connection of a client; requests may come in pieces, pipelined, or chunked."""

    def __init__(
        self,
        sock: socket.socket,
        registry: ConnectionRegistry[ClientConnection],
        handler: RequestHandler,
        unread_age_s: float = 0.0,
    ) -> None:
        """Take a socket whose first bytes have stood in it for so long."""
        self._sock = sock
        self._registry = registry
        self._handler = handler
        self._reader = RequestReader(self._on_request)
        self._state = _READING
        self._close_reason = CloseReason.CLIENT_LEFT  # until the ingress closes it itself
        self._finish_reason = CloseReason.DRAIN_DEADLINE
        self._pending_responses: deque[PendingResponse] = deque()
        self._buffered_input: deque[ReceivedData] = deque()
        self._buffered_bytes = 0
        self._buffer_overflowed = False  # unread input has gone beyond its bound
        self._unread_age_s = unread_age_s
        self._received_at = 0.0  # monotonic seconds: when the bytes being parsed were received
        self._parsing = False
        self._writing_paused = False  # the client does not take its responses
        self._transport: asyncio.Transport

    # ---- callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's does not inherit from it
        self._registry.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the input, and parse as much of it as the pending responses allow.

        Reading from the socket is never paused: only its end tells that the client has left.
        """
        if self._state is _CLOSING:
            return
        self._buffered_input.append(ReceivedData(time.monotonic() - self._unread_age_s, data))
        self._unread_age_s = 0.0
        self._buffered_bytes += len(data)
        self.advance()
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffer_overflowed = True
            self._close_reason = CloseReason.INVALID_INPUT
            self._reject(429)

    def pause_writing(self) -> None:
        """Write and parse no more, as the client does not take its responses."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on, as the client takes its responses again."""
        self._writing_paused = False
        self.advance()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the requests whose responses are still pending."""
        self._discard_input()
        self._registry.connection_closed(self)
        unsent = self._pending_responses
        self._pending_responses = deque()
        for response in unsent:
            self._handler.cancel(response)
        if unsent and self._close_reason not in _REASONS_WITHOUT_READER:
            self._handler.recorder.record_violation(
                "closed_with_response_owed",
                self._transport.get_extra_info("peername"),
                "reason=%s owed=%d",
                self._close_reason.value,
                len(unsent),
            )
        self._handler.recorder.record(
            EventKind.CLIENT_CONNECTION_CLOSED,
            self._close_reason.value,
            self._transport.get_extra_info("peername"),
            "responses_owed=%d incomplete_bytes=%d",
            len(unsent),
            self._reader.incomplete_bytes,
        )

    # ---- requests and responses

    def advance(self) -> None:
        """Write the responses that are due, and parse on as far as those still pending allow."""
        if self._parsing:
            return  # responses that are ready at once go out when the bytes have been parsed
        wrote = self._write_due_responses()
        while (
            self._buffered_input
            and self._state is not _CLOSING
            and not self._writing_paused
            and len(self._pending_responses) < MAX_PIPELINED
        ):
            self._parse_next()
            wrote = self._write_due_responses() or wrote
        if self._state is _FINISHING and not (self._pending_responses or self._buffered_input):
            self._end_after_input(self._finish_reason)
        self._update_registry(wrote)

    def has_disconnected(self) -> bool:
        """Return whether the client has gone, even if the loop has not learnt that yet."""
        return peer_has_disconnected(self._sock)

    def not_closed_reason(self) -> NotClosedReason | None:
        """Return why the connection may not simply be closed now, if anything."""
        return not_closed_reason(
            ConnectionSnapshot(
                responses_owed=len(self._pending_responses),
                buffered_bytes=self._buffered_bytes,
                has_partial_message=self._reader.has_partial_message,
                has_unread_input=has_unread_input(self._sock),
            )
        )

    def _parse_next(self) -> None:
        received = self._buffered_input.popleft()
        self._received_at = received.received_at
        self._buffered_bytes -= len(received.data)
        self._parsing = True
        try:
            self._reader.feed(received.data)
        except RequestError as error:
            self._close_reason = CloseReason.INVALID_INPUT
            self._handler.recorder.record(
                EventKind.REQUEST_REFUSED, str(error.status), "", "error=%s", error
            )
            self._reject(error.status)
        finally:
            self._parsing = False

    def _on_request(self, message: RequestMessage) -> None:
        """Handle a complete request; called by the reader."""
        if self._state is _CLOSING:
            return
        if self.has_disconnected():
            self._discard_input()
            return
        response = PendingResponse(self, message.keep_alive, self._received_at)
        self._pending_responses.append(response)
        if not message.keep_alive:
            self._discard_input()
        self._handler.handle(message, response)

    def _reject(self, status: int) -> None:
        """Answer input that is no request; where the next would begin can't be told."""
        if self._state is _CLOSING:
            return
        response = PendingResponse(self, keep_alive=False, received_at=self._received_at)
        self._pending_responses.append(response)
        self._discard_input()
        response.send(status)

    def _write_due_responses(self) -> bool:
        """Write the responses that are due, in the order of their requests; return if any was."""
        wrote = False
        while self._pending_responses:
            response = self._pending_responses[0]
            if response.head is None:
                break
            self._pending_responses.popleft()
            wrote = True
            is_last = is_last_response(
                response.keep_alive,
                self._handler.draining,
                bool(self._pending_responses or self._buffered_input),
            )
            self._write(response.head, response.body, is_last)
            if is_last:
                self._end_after_last_response()
        return wrote

    def _write(self, head: bytes, body: bytes, is_last: bool) -> None:
        head += b"\r\nConnection: close\r\n\r\n" if is_last else b"\r\n\r\n"
        if len(body) > MAX_BODY_BYTES:
            self._transport.write(head)
            self._transport.write(body)  # not copied, as it may be large
        else:
            self._transport.write(head + body)

    def _update_registry(self, wrote: bool) -> None:
        """Tell the registry what the connection waits for now."""
        if self._pending_responses:
            self._registry.mark_busy(self)
        elif self._state is _CLOSING:
            return
        elif self._reader.has_partial_message:
            if wrote or self in self._registry.idle:
                self._registry.mark_waiting(self)
        elif wrote:
            self._registry.mark_idle(self)

    # ---- ways to end

    def on_request_timeout(self, reason: CloseReason) -> None:
        """Answer a request that has not come whole in its time, or end a silent connection."""
        if self._reader.has_partial_message and self._state is not _CLOSING:
            self._close_reason = reason
            self._reject(408)
        else:
            self.close(reason)

    def finish(self, reason: CloseReason) -> None:
        """Read no more from the socket, answer what has been read, and close then."""
        if self._state is not _READING or self._transport.is_closing():
            return
        self._state = _FINISHING
        self._finish_reason = reason
        self._transport.pause_reading()
        self.advance()

    def _end_after_input(self, reason: CloseReason) -> None:
        """End a connection that owes no response: reject what is left of a request."""
        if self._reader.has_partial_message:
            self.on_request_timeout(reason)
        else:
            self._close_reason = reason
            self._end_after_last_response()

    def close(self, reason: CloseReason) -> None:
        """Close the connection between requests, once its last response is written."""
        self._close_reason = reason
        self._state = _CLOSING
        self._close_transport()

    def evict(self) -> None:
        """Close at once, as the place is needed: a client that reads nothing would keep it."""
        self._close_reason = CloseReason.EVICTED
        self._state = _CLOSING
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self, reason: CloseReason | None = None) -> None:
        """Close at once: the client has left, or never reads its response or ends its request."""
        if reason is not None:
            self._close_reason = reason
        self._state = _CLOSING
        self._transport.abort()

    def _discard_input(self) -> None:
        self._state = _CLOSING
        self._buffered_input.clear()
        self._buffered_bytes = 0

    def _end_after_last_response(self) -> None:
        """End the connection after its last response.

        Where more input may come, the socket is read on for a while: closing it with unread bytes
        would reset the connection, and the response could be lost with it.
        """
        if self._close_reason is CloseReason.CLIENT_LEFT:
            self._close_reason = CloseReason.RESPONSE_WAS_LAST
        self._discard_input()
        self._registry.mark_closing(self)
        if self._reader.incomplete_bytes or self._buffer_overflowed:
            if self._transport.can_write_eof():
                self._transport.write_eof()
        else:
            self._close_transport()

    def _close_transport(self) -> None:
        """Close the connection; in a drain end the sending alone, until the client has closed.

        A client that has sent more by then would get a reset, and could lose a response that it has
        not read. What it has sent stays unread: it is told so that it was not taken.
        """
        if self._transport.is_closing():
            return
        if self._handler.draining and self._transport.can_write_eof():
            self._transport.write_eof()
            self._transport.pause_reading()
        else:
            self._transport.close()
