"""A connection to a backend, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from enum import Enum
from typing import Protocol, cast

from sumacpost.address import Address
from sumacpost.diagnostics.event_recorder import EventKind, EventRecorder
from sumacpost.errors import ResponseError
from sumacpost.http1 import Response, ResponseReader
from sumacpost.http_message import SLICE_BYTES
from sumacpost.memory_budget import MemoryBudget
from sumacpost.model import Outcome
from sumacpost.timer import Timer
from sumacpost.turn_scheduler import TurnScheduler
from sumacpost.upstream.attempt import Attempt, AttemptState, classify_response
from sumacpost.upstream.reuse_limit import ReuseLimit

log = logging.getLogger(__name__)

# Longest pause in an incomplete response. After a longer one, the rest is not expected to arrive.
RESPONSE_STALL_TIMEOUT_S = 0.3


class ConnectionState(Enum):
    """The states of a connection."""

    IDLE = "idle"
    WRITING = "writing"  # a request is partly written; the backend can't run an incomplete request
    WRITTEN = "written"  # the request is completely written; the backend may be running it
    CLOSED = "closed"


class CloseReason(Enum):
    """Why a connection to a backend was closed; the values appear in the log."""

    LOST = "lost"  # closed by the backend, or broken on the network path
    STALE = "stale"  # idle for too long, or found closed when it was to be used
    EVICTED = "evicted"  # closed to keep within the connection limit
    RETIRED = "retired"  # the backend moved, restarted or was removed, or the ingress stops
    ATTEMPT_CANCELLED = "attempt_abandoned"
    INVALID_RESPONSE = "invalid_response"
    RESPONSE_STALLED = "response_stalled"
    RESPONSE_WAS_LAST = "response_was_last"  # the connection can't be reused after this response


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to and reports to."""

    address: Address
    max_body_bytes: int
    reuse_limit: ReuseLimit
    recorder: EventRecorder
    memory: MemoryBudget
    turns: TurnScheduler

    def add_idle(self, connection: BackendConnection) -> None:
        """Add a connection that is free for another attempt."""

    def remove_connection(self, connection: BackendConnection) -> None:
        """Remove a connection that is being closed."""

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Report the outcome of an attempt."""


class BackendConnection(asyncio.Protocol):
    """A connection to a backend, as the asyncio protocol of its transport."""

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # s, on the clock of the event loop; 0 before it is first idle
        self._pool = pool
        self._sock = sock
        self._state = ConnectionState.IDLE
        self._request_started_at = 0.0  # s, on the clock of the event loop
        self._reader = ResponseReader(pool.max_body_bytes)
        self._unparsed = b""  # while there are such bytes, reading is paused
        self._parsed_bytes = 0  # how many of them have been parsed
        self._holds_memory = False  # for an incomplete response
        self._stall_timer: Timer | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the transport to report when the kernel has accepted a whole request."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass
        # with a limit of 0, resume_writing is called only once the kernel has accepted all bytes
        self._transport.set_write_buffer_limits(high=0)

    def start(self, attempt: Attempt) -> None:
        """Write the request of an attempt. The backend may run it once its last byte is written."""
        self.attempt = attempt
        attempt.connection = self
        attempt.state = AttemptState.IN_FLIGHT
        attempt.written = True
        self._request_started_at = asyncio.get_running_loop().time()
        self._state = ConnectionState.WRITING
        self._transport.write(attempt.encode())
        if self._transport.get_write_buffer_size() == 0 and not self._transport.is_closing():
            self._state = ConnectionState.WRITTEN

    def resume_writing(self) -> None:
        """Record that the kernel has accepted the whole request."""
        if self._state is ConnectionState.WRITING:
            self._state = ConnectionState.WRITTEN

    def is_usable(self) -> bool:
        """Return whether another request may be written.

        Checks the socket itself, since the peer may have closed the connection before the event
        loop has read the end of the stream.
        """
        if self._state is ConnectionState.CLOSED or self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed, or unexpected bytes without a request

    def data_received(self, data: bytes) -> None:
        """Parse more of the response, in turns if there is much of it."""
        if self._state is ConnectionState.CLOSED:
            return
        if len(data) <= SLICE_BYTES and not self._unparsed:
            self._parse(data)
            return
        self._unparsed = self._unparsed[self._parsed_bytes :] + data
        self._parsed_bytes = 0
        self._transport.pause_reading()  # the end of the stream may be read only after these bytes
        self._pool.turns.request_turns(self)

    def take_turn(self) -> bool:
        """Parse a slice of the response; return whether there is more."""
        if not self._unparsed:
            return False
        end = self._parsed_bytes + self._reader.slice_bytes
        data = self._unparsed[self._parsed_bytes : end]
        self._parsed_bytes = end
        if end >= len(self._unparsed):
            self._forget_unparsed()
            self._transport.resume_reading()
        self._parse(data)
        return bool(self._unparsed)

    def _forget_unparsed(self) -> None:
        self._unparsed = b""
        self._parsed_bytes = 0

    def abort(self) -> None:
        """Close the connection, and fail its attempt."""
        self._fail(CloseReason.INVALID_RESPONSE)

    def _parse(self, data: bytes) -> None:
        """Parse some bytes, and end the attempt once the response is complete."""
        try:
            response = self._reader.feed(data)
        except ResponseError as error:
            self._reject_response(error)
            return
        if self.attempt is None:
            self._reject_response("bytes received without a request")
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if response is None:
            # a wrong Content-Length may announce bytes that never arrive on an open connection
            self._stall_timer = Timer(RESPONSE_STALL_TIMEOUT_S, self._on_response_stalled)
            self._holds_memory = True
            held_bytes = self._reader.held_bytes + len(self._unparsed)
            self._pool.memory.set_held(self, held_bytes)
            self._pool.memory.enforce()
            return
        # a response received before the whole request was written rules out reuse, and so do bytes
        # after the response
        reusable = (
            response.keep_alive and self._state is ConnectionState.WRITTEN and not self._unparsed
        )
        self._end_attempt(classify_response(response), response, reusable)
        self._pool.memory.enforce()  # the response may wait for its client

    def eof_received(self) -> None:
        """End the attempt if the end of the stream completes its response.

        The event loop does not call this after a reset, which truncates the response.
        """
        response = self._reader.feed_eof()
        if response is not None and self.attempt is not None:
            self._end_attempt(classify_response(response), response, reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in flight, if any, because the connection is closed."""
        del exc  # an orderly close and a reset have the same effect
        self._fail(CloseReason.LOST)
        self._reader.close()

    def close(self, reason: CloseReason) -> None:
        """Close the connection immediately, without reading further or reporting an outcome."""
        if self._state is ConnectionState.CLOSED:
            return
        self._pool.recorder.record(
            EventKind.BACKEND_CONNECTION_CLOSED,
            reason.value,
            self._pool.address,
            "state=%s",
            self._state.value,
        )
        self._state = ConnectionState.CLOSED
        self._forget_unparsed()
        self._forget_memory()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._pool.remove_connection(self)
        # The transport closes the socket only in the next iteration of the event loop. The backend
        # has to see the end before another attempt of the same request is written.
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._transport.abort()

    def cancel_attempt(self) -> None:
        """Close the connection without reporting an outcome for its attempt."""
        self.attempt = None
        self.close(CloseReason.ATTEMPT_CANCELLED)

    def release_memory(self) -> None:
        """Reject the incomplete response, which holds memory that is needed."""
        self._reject_response("the responses in progress hold too much memory")

    def _forget_memory(self) -> None:
        if self._holds_memory:
            self._holds_memory = False
            self._pool.memory.set_held(self, 0)

    def _reject_response(self, error: object) -> None:
        host, port = self._pool.address
        log.warning("response rejected: backend=%s:%d error=%s", host, port, error)
        self._fail(CloseReason.INVALID_RESPONSE)

    def _on_response_stalled(self) -> None:
        host, port = self._pool.address
        log.warning(
            "response stalled: backend=%s:%d timeout_s=%s", host, port, RESPONSE_STALL_TIMEOUT_S
        )
        self._fail(CloseReason.RESPONSE_STALLED)

    def _fail(self, reason: CloseReason) -> None:
        """Close the connection and end the attempt.

        The outcome is RESET after a completely written request, which the backend may have run,
        and CONNECT_FAILED otherwise.
        """
        written = self._state is ConnectionState.WRITTEN
        self.close(reason)
        if self.attempt is not None and self.idle_since and not self._reader.response_started:
            self._pool.reuse_limit.record_reset(
                idle_s=self._request_started_at - self.idle_since,
                elapsed_s=asyncio.get_running_loop().time() - self._request_started_at,
            )
        outcome = Outcome.RESET if written else Outcome.CONNECT_FAILED
        self._end_attempt(outcome, None, reusable=False)

    def _end_attempt(self, outcome: Outcome, response: Response | None, reusable: bool) -> None:
        """Make the connection idle or close it, then report the outcome of its attempt."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        attempt = self.attempt
        self.attempt = None
        self._forget_memory()
        if reusable:
            self._state = ConnectionState.IDLE
            self._pool.reuse_limit.record_success()
            self._pool.add_idle(self)
        else:
            self.close(CloseReason.RESPONSE_WAS_LAST)
        if attempt is not None:
            self._pool.end_attempt(attempt, outcome, response)
