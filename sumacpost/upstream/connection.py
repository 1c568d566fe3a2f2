"""One connection to a backend; it carries one attempt at a time."""

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
from sumacpost.model import Outcome
from sumacpost.timer import Timer
from sumacpost.upstream.attempt import Attempt, AttemptState, classify_response
from sumacpost.upstream.reuse_limit import ReuseLimit

log = logging.getLogger(__name__)

# A response that has begun and brings nothing for so long will not be completed.
RESPONSE_STALL_TIMEOUT_S = 0.3


class ConnectionState(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    WRITING = "writing"  # the request; the backend can't run what it has not received whole
    WRITTEN = "written"  # the request, whole: the backend may be running it
    CLOSED = "closed"


class CloseReason(Enum):
    """Why a connection to a backend has ended; the values are for the log."""

    LOST = "lost"  # the backend closed it, or the path broke
    STALE = "stale"  # idle for too long, or found closed as it was to be used
    EVICTED = "evicted"  # its place was needed
    RETIRED = "retired"  # its backend has moved, restarted or gone, or the ingress ends
    ATTEMPT_ABANDONED = "attempt_abandoned"
    INVALID_RESPONSE = "invalid_response"
    RESPONSE_STALLED = "response_stalled"
    RESPONSE_WAS_LAST = "response_was_last"  # the response leaves it of no further use


class ConnectionOwner(Protocol):
    """What a connection reports to: the pool that it belongs to."""

    endpoint: Address
    max_body_bytes: int
    reuse_limit: ReuseLimit
    recorder: EventRecorder

    def add_idle(self, connection: BackendConnection) -> None:
        """Keep a connection that is free for another attempt."""

    def remove_connection(self, connection: BackendConnection) -> None:
        """Drop a connection that is closing."""

    def end_attempt(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
        """Report the outcome of an attempt."""


class BackendConnection(asyncio.Protocol):
    """A connection to a backend, as the protocol of its transport."""

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        self.attempt: Attempt | None = None
        self.idle_since = 0.0  # by the loop's clock; 0 until it is parked for the first time
        self._pool = pool
        self._sock = sock
        self._state = ConnectionState.IDLE
        self._request_started_at = 0.0  # by the loop's clock
        self._reader = ResponseReader(pool.max_body_bytes)
        self._stall_timer: Timer | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport up to say when the kernel has taken the last byte of a request."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's does not inherit from it
        # without a buffer, resume_writing is called only once the kernel has all of it
        self._transport.set_write_buffer_limits(high=0)

    def start(self, attempt: Attempt) -> None:
        """Write the request of an attempt; from its last byte on the backend may run it."""
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
        """Note that the kernel has taken the whole request."""
        if self._state is ConnectionState.WRITING:
            self._state = ConnectionState.WRITTEN

    def is_usable(self) -> bool:
        """Return whether another request may be written.

        Looks at the socket itself: the peer may have closed it without the loop having read that.
        """
        if self._state is ConnectionState.CLOSED or self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # closed, or bytes that belong to no request

    def data_received(self, data: bytes) -> None:
        """Read on in the response, and end the attempt once that is complete."""
        try:
            response = self._reader.feed(data)
        except ResponseError as error:
            self._reject_response(error)
            return
        if self.attempt is None:
            self._reject_response("bytes without a request")
            return
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        if response is None:
            # a wrong Content-Length may promise bytes that never come on a connection kept open
            self._stall_timer = Timer(RESPONSE_STALL_TIMEOUT_S, self._on_response_stalled)
            return
        # after a response that overtook the request's last byte the connection can't be reused
        reusable = response.keep_alive and self._state is ConnectionState.WRITTEN
        self._end_attempt(classify_response(response), response, reusable)

    def eof_received(self) -> None:
        """End the attempt with its response, if the end of the backend's sending completes that.

        After a reset this is not called: it cuts a response short.
        """
        response = self._reader.feed_eof()
        if response is not None and self.attempt is not None:
            self._end_attempt(classify_response(response), response, reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in flight, if there is one."""
        del exc  # a connection that the peer closed and one that it reset count alike
        self._fail(CloseReason.LOST)

    def close(self, reason: CloseReason) -> None:
        """Close at once; nothing more is read or reported."""
        if self._state is ConnectionState.CLOSED:
            return
        self._pool.recorder.record(
            EventKind.BACKEND_CONNECTION_CLOSED,
            reason.value,
            self._pool.endpoint,
            "state=%s",
            self._state.value,
        )
        self._state = ConnectionState.CLOSED
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        self._pool.remove_connection(self)
        # the transport closes only in the next turn of the loop, and the backend should know before
        # another attempt of the same request is written
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._transport.abort()

    def abandon_attempt(self) -> None:
        """Close the connection without an outcome for the attempt that it carries."""
        self.attempt = None
        self.close(CloseReason.ATTEMPT_ABANDONED)

    def _reject_response(self, error: object) -> None:
        host, port = self._pool.endpoint
        log.warning("response rejected: backend=%s:%d error=%s", host, port, error)
        self._fail(CloseReason.INVALID_RESPONSE)

    def _on_response_stalled(self) -> None:
        host, port = self._pool.endpoint
        log.warning(
            "response stalled: backend=%s:%d timeout_s=%s", host, port, RESPONSE_STALL_TIMEOUT_S
        )
        self._fail(CloseReason.RESPONSE_STALLED)

    def _fail(self, reason: CloseReason) -> None:
        """Close, and end the attempt: the backend may have run it if it was written whole."""
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
        """Free or close the connection, then report the outcome of the attempt that it carried."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        attempt = self.attempt
        self.attempt = None
        if reusable:
            self._state = ConnectionState.IDLE
            self._pool.reuse_limit.record_success()
            self._pool.add_idle(self)
        else:
            self.close(CloseReason.RESPONSE_WAS_LAST)
        if attempt is not None:
            self._pool.end_attempt(attempt, outcome, response)
