"""One client connection: reads requests, writes responses in request order, and ends."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import cast

from sumacpost.address import Address
from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.errors import RequestError
from sumacpost.policy.connection_rules import (
    CloseAction,
    CloseCause,
    ConnectionSnapshot,
    close_action,
    is_last_response,
)
from sumacpost.policy.memory_limits import ReleaseAction
from sumacpost.server.client_input import ClientInput
from sumacpost.server.client_output import ClientOutput
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_memory import ConnectionMemory
from sumacpost.server.connection_registry import ConnectionRegistry
from sumacpost.server.connection_state import ConnectionState
from sumacpost.server.request_handler import RequestHandler
from sumacpost.server.request_reader import RequestMessage
from sumacpost.server.response import PendingResponse
from sumacpost.server.socket_state import has_unread_input, peer_has_disconnected

# With this many responses pending on a connection, further input is buffered without being parsed.
MAX_PIPELINED = 8

# Enum members as module constants: up to Python 3.11, each access through the class costs a call.
_READING = ConnectionState.READING
_FINISHING = ConnectionState.FINISHING
_CLOSING = ConnectionState.CLOSING

# What ends a connection because nothing has happened on it for some time.
_TIMEOUTS = frozenset(
    (CloseCause.IDLE_TIMEOUT, CloseCause.REQUEST_TIMEOUT, CloseCause.LINGER_TIMEOUT)
)


class ClientConnection(asyncio.Protocol):
    """A client connection; requests may arrive in pieces, pipelined, or chunked."""

    def __init__(
        self,
        sock: socket.socket,
        registry: ConnectionRegistry[ClientConnection],
        handler: RequestHandler,
        unread_age_s: float = 0.0,
    ) -> None:
        """Create the connection of an accepted socket.

        unread_age_s: how long the first input has already been waiting in the socket, in seconds.
        """
        self._sock = sock
        self._registry = registry
        self._handler = handler
        self._state = _READING
        # The close reason until the ingress closes the connection.
        self._close_reason = CloseReason.CLIENT_DISCONNECTED
        self._finish_reason = CloseReason.DRAIN_DEADLINE
        self._pending_responses: deque[PendingResponse] = deque()
        self._input = ClientInput(sock, self._on_request, unread_age_s)
        self._parsing = False
        self._output = ClientOutput(self._on_output_unread)
        self._memory = ConnectionMemory(
            handler.memory, self, self._input, self._output, self._pending_responses
        )
        self._transport: asyncio.Transport

    # ---- event loop callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        # A cast, because uvloop's transport does not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._input.open(self._transport)
        self._output.open(self._transport)
        self._registry.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the input, and parse it in turns as far as the pending responses allow.

        Pending responses never pause reading from the socket: the event loop detects a disconnected
        client only by reading to the end of the input.
        """
        if self._state is _CLOSING:
            return
        self._input.receive(data)
        self._handler.turns.request_turns(self)
        if self._input.size:
            self._limit_input()
            self._update(wrote=False)
        self._memory.enforce_limit()

    def pause_writing(self) -> None:
        """Stop parsing, because the client does not read its responses."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Resume parsing, because the client reads its responses again."""
        self._output.resume()
        self.advance()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the requests whose responses are pending, and record the end of the connection."""
        unhandled_bytes = self._input.size
        self._discard_input()
        self._registry.connection_closed(self)
        unsent = list(self._pending_responses)
        self._pending_responses.clear()
        self._handler.end_connection(
            self._peer,
            self._close_reason,
            unsent,
            self._input.reader.incomplete_bytes,
            unhandled_bytes,
        )
        self._input.close()
        self._output.resume()
        self._memory.update()

    @property
    def _peer(self) -> Address:
        peer: Address = self._transport.get_extra_info("peername")
        return peer

    # ---- requests and responses

    def advance(self) -> None:
        """Write the responses that are due, and parse as much input as pending responses allow."""
        if self._parsing:
            return  # responses that are ready immediately are written after parsing
        wrote = self._write_due_responses()
        if self._input.size:
            self._handler.turns.request_turns(self)
        self._update(wrote)

    def take_turn(self) -> bool:
        """Parse a part of the input and write responses; return whether more can be parsed now."""
        if not self._may_parse():
            return False
        self._parse_part()
        self._update(self._write_due_responses())
        if not (self._input.size or self._input.reading_paused):
            return False
        self._limit_input()
        return self._may_parse()

    def release_memory(self) -> None:
        """Give up the input, responses that wait, or responses that the client does not read."""
        match self._memory.release_action:
            case ReleaseAction.REFUSE_INPUT:
                self.request_close(CloseCause.INPUT_MEMORY, CloseReason.INVALID_INPUT)
            case ReleaseAction.DROP_RESPONSES:
                for response in self._pending_responses:
                    response.drop_body()
                self._memory.update()
            case ReleaseAction.ABORT:
                self.request_close(CloseCause.OUTPUT_MEMORY, CloseReason.OUTPUT_UNREAD)
                self._output.resume()  # the output is discarded, though not at once
                self._memory.update()

    def _on_output_unread(self) -> None:
        """Count output that the client has not read in time."""
        self._memory.update()
        self._memory.enforce_limit()

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""
        return peer_has_disconnected(self._sock)

    def _may_parse(self) -> bool:
        """Return whether there is input that may be parsed now."""
        return (
            self._input.size > 0
            and self._state is not _CLOSING
            and not self._output.paused
            and len(self._pending_responses) < MAX_PIPELINED
        )

    def _parse_part(self) -> None:
        self._parsing = True
        try:
            self._input.parse_part()
        except RequestError as error:
            self._refuse(error.status, str(error))
        finally:
            self._parsing = False

    def _limit_input(self) -> None:
        """Limit the input that waits: for its turn by pausing, and otherwise by refusing it."""
        if self._may_parse():
            if self._state is _READING:
                self._input.control_reading()
        elif self._input.overflowed:
            self.request_close(CloseCause.INPUT_MEMORY, CloseReason.INVALID_INPUT)
        else:
            self._input.resume_reading()

    def _on_request(self, message: RequestMessage) -> None:
        """Pass a complete request to the handler; called by the reader."""
        if self._state is _CLOSING:
            return
        if self.has_disconnected():
            self._discard_input()
            return
        response = PendingResponse(self, message.keep_alive, self._input.received_at)
        self._pending_responses.append(response)
        if not message.keep_alive:
            self._discard_input()
        self._handler.handle(message, response)

    def _refuse(self, status: int, error: str) -> None:
        """Record why the input can't be handled, and reject it."""
        self._close_reason = CloseReason.INVALID_INPUT
        self._handler.recorder.record(EventKind.REQUEST_REFUSED, str(status), "", "error=%s", error)
        self._reject(status)

    def _refuse_input(self, cause: CloseCause, reason: CloseReason) -> None:
        """Refuse each request of the input that waits with status 429; the connection then ends.

        What the client sends after that is left in the socket.
        """
        if self._state is _CLOSING:
            return
        self._close_reason = reason
        count = max(1, self._input.drop_requests())
        self._handler.recorder.record(
            EventKind.REQUEST_REFUSED, "429", "", "error=%s requests=%d", cause.value, count
        )
        self._input.stop_reading()
        self._reject(429, count)

    def _reject(self, status: int, requests: int = 1) -> None:
        """Send an error response for input that can't be handled; the connection ends after it.

        No later request can be read, as the position of its first byte is unknown.
        """
        if self._state is _CLOSING:
            return
        received_at = self._input.received_at
        response = PendingResponse(
            self, keep_alive=False, received_at=received_at, requests=requests
        )
        self._pending_responses.append(response)
        self._discard_input()
        response.send(status)

    def _write_due_responses(self) -> bool:
        """Write the responses that are due in request order; return whether any was written."""
        wrote = False
        while self._pending_responses:
            response = self._pending_responses[0]
            if response.head is None:
                break
            self._pending_responses.popleft()
            wrote = True
            is_last = is_last_response(
                response.keep_alive,
                self._handler.draining or self._input.stopped,
                bool(self._pending_responses or self._input.size),
            )
            self._output.write(response.head, response.body, is_last, response.requests)
            if is_last:
                self._end_after_last_response()
        return wrote

    def _update(self, wrote: bool) -> None:
        """End the connection if all is done; report what it waits for and holds otherwise."""
        if self._state is _FINISHING and not (self._pending_responses or self._input.size):
            self.request_close(CloseCause.LAST_RESPONSE, self._finish_reason)
        self._update_registry(wrote)
        self._memory.update()

    def _update_registry(self, wrote: bool) -> None:
        """Report to the registry what the connection is waiting for now."""
        if self._pending_responses:
            self._registry.mark_busy(self)
        elif self._state is _CLOSING:
            return
        elif self._input.reader.has_partial_message or self._input.size:
            if wrote or self not in self._registry.waiting:
                self._registry.mark_waiting(self)
            self._registry.mark_input(self, waits_for_turn=self._input.size > 0)
        elif wrote:
            self._registry.mark_idle(self)

    # ---- ending the connection

    def request_close(self, cause: CloseCause, reason: CloseReason) -> bool:
        """End the connection if the policy permits that now; return whether it ends.

        reason: what is recorded of the end.
        """
        snapshot = self._snapshot(cause)
        match close_action(cause, snapshot):
            case CloseAction.KEEP:
                return False
            case CloseAction.ABORT:
                self.abort(CloseReason.OUTPUT_UNREAD if snapshot.is_output_stalled else reason)
                return True
            case CloseAction.REJECT if cause is CloseCause.EVICTION:
                self._output.write_error(408)
                self._discard_input()
            case CloseAction.REJECT:
                self._close_reason = reason
                self._input.stop_reading()
                self._reject(408)
                return True
            case CloseAction.REFUSE:
                self._refuse_input(cause, reason)
                return True
        self._close_reason = reason
        if cause is CloseCause.LAST_RESPONSE:
            self._end_after_last_response()
        elif cause is CloseCause.EVICTION:
            self._state = _CLOSING
            self._transport.close()
        else:
            self._state = _CLOSING
            self._registry.mark_closing(self)
            self._end_output()
        return True

    def _snapshot(self, cause: CloseCause) -> ConnectionSnapshot:
        partial = self._input.reader.has_partial_message and self._state is not _CLOSING
        return ConnectionSnapshot(
            responses_owed=len(self._pending_responses),
            buffered_bytes=self._input.size,
            has_partial_message=partial,
            has_unread_input=has_unread_input(self._sock),
            unsent_bytes=self._output.unsent_bytes,
            is_output_stalled=cause in _TIMEOUTS and self._output.is_stalled(),
        )

    def finish(self, reason: CloseReason) -> None:
        """Stop reading from the socket, answer the requests already read, then close."""
        if self._state is not _READING or self._transport.is_closing():
            return
        self._state = _FINISHING
        self._finish_reason = reason
        self._input.stop_reading()
        self.advance()

    def abort(self, reason: CloseReason | None = None) -> None:
        """Close immediately, and discard pending requests and unsent output.

        For clients that have disconnected, that never read their response or never complete their
        request, and for connections whose normal end has failed.
        """
        if reason is not None:
            self._close_reason = reason
            self._handler.record_unsent_output(self._peer, reason, self._output.unsent_bytes)
        self._state = _CLOSING
        self._transport.abort()

    def _discard_input(self) -> None:
        self._state = _CLOSING
        self._input.discard()

    def _end_after_last_response(self) -> None:
        """End the connection after its last response.

        If more input may follow, only the sending direction is closed, and input is read and
        discarded until the client closes or LINGER_TIMEOUT_S has elapsed: closing a socket with
        unread bytes would reset the connection, and the response could be lost.
        """
        if self._close_reason is CloseReason.CLIENT_DISCONNECTED:
            self._close_reason = CloseReason.RESPONSE_WAS_LAST
        self._discard_input()
        self._registry.mark_closing(self)
        if self._input.reader.incomplete_bytes and not self._input.stopped:
            self._output.end_sending()
        else:
            self._end_output()

    def _end_output(self) -> None:
        self._output.end(leaves_input=self._handler.draining or self._input.stopped)
